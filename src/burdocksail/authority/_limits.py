"""Durations on which the safety of a change of primary rests, in seconds.

Two leases are in use. A leader holds the leader lease while it keeps confirming
its record in the store and a majority of its recorded members renews with it. It
grants instances a shorter lease, under which they may rely on its view of the
primaries. In the worst case a change of primary waits for the sum of
`LEADER_LEASE_DURATION` and `LEASE_DURATION`, which together with detection and
promotion stays within the 17 s that a change of primary may take.
"""

RENEW_INTERVAL = 0.3
LEASE_DURATION = 3.0  # outlasts ten renewals and the election of another leader
LEADER_LEASE_DURATION = 9.0  # counts from the leader's last confirmed record
# A leader grants leases only while a majority of its recorded members renew with
# it, so that a partitioned leader stops long before `LEADER_LEASE_DURATION` has
# passed.
MAJORITY_WINDOW = 1.5  # outlasts four renewals that are lost in a row
MAX_RENEWAL_DELAY = 0.6  # a renewal arrives within this time or not at all
CLOCK_MARGIN = 0.1  # drift of two monotonic clocks over the durations above

PROMOTION_START_LIMIT = 1.0  # from the write of the record to the promotion order
PROMOTION_TIMEOUT = 1.5  # for the answer to a promotion order
# Seconds after the start of a leadership after which no promotion order of an
# earlier leader can still arrive.
PROMOTION_ORDER_LIFETIME = PROMOTION_START_LIMIT + PROMOTION_TIMEOUT + 0.5

# Seconds in which an instance that runs registers again what a restoration of the
# store has lost of it.
REGISTRATION_TIME = 3.0

# Longest time from a request to take over until the claim of the other instance.
TAKEOVER_TIMEOUT = 1.5

LEADER_TIMEOUT = 1.0  # three renewals lost in a row
