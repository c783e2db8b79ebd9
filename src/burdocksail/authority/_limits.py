"""Time bounds on which the safety of a change of primary rests, in seconds.

They fit together: a change may wait for `RIGHT_DURATION` + `EVIDENCE_DURATION`
in the worst case, which with detection and promotion stays within the 17 s that
a change of primary may take.
"""

RENEW_INTERVAL = 0.3
EVIDENCE_DURATION = 3.0  # outlasts ten renewals and the takeover of a leadership
RIGHT_DURATION = 9.0  # a leader goes on for so long after it last saw its record
# A leader grants only while most of its recorded members renew with it, so that
# one that is cut off stops long before its right runs out.
MAJORITY_WINDOW = 1.5  # outlasts four renewals that are lost in a row
RENEWAL_TRANSIT = 0.6  # a renewal is lost rather than later than this
CLOCK_MARGIN = 0.1  # drift of two steady clocks over the durations above

ORDER_START_LIMIT = 1.0  # from the record of a change to the order to promote
ORDER_TIMEOUT = 1.5
# After this no order of an earlier leader can still arrive.
ORDER_LIMIT = ORDER_START_LIMIT + ORDER_TIMEOUT + 0.5

LEADER_SILENCE = 1.0  # three renewals lost in a row
