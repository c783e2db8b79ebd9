"""Token buckets of the leader, from which instances lease the right to operations.

Load pattern: one workspace sends several times its usual load for some seconds, at
instances that change within a second. No instance sees the load of the others, and
static shares would reject requests at busy instances while idle ones have tokens left.
"""

from collections import deque
from dataclasses import dataclass, field

# Seconds from the grant of a token until it can no longer be used.
TOKEN_LIFETIME = 1.0
# Longest possible depth of a bucket is kept at this share of the rate at least: a
# shallower one could not hold what several instances take at the same time.
MIN_DEPTH_SECONDS = 0.2
# Tokens with which all leaders in one window may begin together: they let the first
# operations of small workspaces through, which would wait for seconds otherwise.
CREDIT_SHARE = 0.25  # of what the bound allows beyond the rate
MAX_CREDITS = 8.0
# Tokens are scarce if there are fewer than are filled in during this time.
SCARCE_SECONDS = 0.2
SLOT = 0.1  # seconds; grants are recorded with this precision
RETURN_LIMIT = 2.0  # seconds after a grant in which its tokens can be returned
DEMAND_LIFETIME = 1.0  # seconds; an instance with demand reports it several times


@dataclass(frozen=True, slots=True)
class AllowanceLimit:
    """What a leader and the instances that hear none may hand out.

    Attributes
    ----------
    rate : float
        Tokens per second, of all together.
    depth : float
        Tokens that the leader's bucket holds while it hears from every instance.
    floor_rate : float
        Tokens per second of an instance that hears no leader.
    floor_depth : float
        Tokens that such an instance may save up; 0 if there are too many instances
        for each to have one within the bound.
    credit : float
        Tokens with which a leader begins if no other leadership began in the same
        window. Each further one begins with half as many as the one before.
    """

    rate: float
    depth: float
    floor_rate: float
    floor_depth: float
    credit: float


def compute_limit(
    rate: float, burst: float, bound: float, window: float, slack: float, instances: int
) -> AllowanceLimit:
    """Return the limit for a workspace in a fleet of `instances`.

    A token is used within `TOKEN_LIFETIME` after its grant, so operations keep to the
    bound in every window if grants do so in `window` + `TOKEN_LIFETIME`. Tokens of a
    floor are used where they are made, without that delay.

    Parameters
    ----------
    bound : float
        Largest number of operations in a window.
    window : float
        Length of the window in seconds.
    slack : float
        Operations that the bound allows beyond rate and burst.
    """
    span = window + TOKEN_LIFETIME
    reserved = min(bound, 1.0 + MIN_DEPTH_SECONDS * rate)
    filled = min(rate, (bound - reserved) / span)
    spare = bound - filled * span
    floor_rate = filled / instances
    unfilled = max(0.0, 1.0 - floor_rate * TOKEN_LIFETIME)
    has_floor = instances * unfilled <= spare
    credits = min(CREDIT_SHARE * spare, MAX_CREDITS)
    return AllowanceLimit(
        rate=filled,
        depth=min(max(burst + slack, 1.0), spare - credits),
        floor_rate=floor_rate if has_floor else 0.0,
        floor_depth=max(1.0, floor_rate * TOKEN_LIFETIME) if has_floor else 0.0,
        credit=credits / 2,
    )


def find_slot(now: float) -> int:
    """Return the slot of time in which tokens are granted at a clock reading."""
    return int(now / SLOT)


@dataclass(slots=True)
class _Slot:
    """Tokens that were filled in and granted in one slot of time."""

    index: int
    filled: float = 0.0
    granted: int = 0


class AllowanceBucket:
    """Token bucket that treats returned tokens as if they had not been granted.

    Crediting a returned token as a new one would let more be used in a window than
    the bucket allows: the window may begin between the grant and the return. The
    level is therefore computed anew from the grants of the last seconds.

    Attributes
    ----------
    level : float
        Tokens that can be granted.
    """

    def __init__(self, now: float):
        self.level = 0.0
        self._depth = 0.0
        self._base = 0.0  # level before the first slot
        self._slots = deque([_Slot(find_slot(now))])

    def fill(self, now: float, amount: float, depth: float) -> None:
        """Add `amount` tokens; hold at most `depth`."""
        index = find_slot(now)
        if index != self._slots[-1].index:
            self._slots.append(_Slot(index))
        self._slots[-1].filled += amount
        self._depth = depth
        self.level = min(depth, self.level + amount)
        while self._slots[0].index < index - RETURN_LIMIT / SLOT:
            self._base = self._apply(self._base, self._slots.popleft())

    def add(self, count: float) -> None:
        """Add tokens besides those of the rate."""
        self._slots[-1].filled += count
        self.level = min(self._depth, self.level + count)

    def take(self, wanted: int) -> int:
        """Take up to `wanted` whole tokens and return how many."""
        granted = max(0, min(wanted, int(self.level)))
        self.level -= granted
        self._slots[-1].granted += granted
        return granted

    def give_back(self, slot_index: int, count: int) -> int:
        """Undo the grant of `count` tokens in a slot; return how many were undone."""
        for slot in self._slots:
            if slot.index == slot_index:
                count = max(0, min(count, slot.granted))
                slot.granted -= count
                self.level = max(self.level, self._compute_level())
                return count
        return 0

    def _compute_level(self) -> float:
        level = self._base
        for slot in self._slots:
            level = self._apply(level, slot)
        return level

    def _apply(self, level: float, slot: _Slot) -> float:
        return min(self._depth, level + slot.filled) - slot.granted


@dataclass(slots=True)
class DemandShares:
    """Recent demand of each instance for the operations of one workspace."""

    total: float = 0.0
    _demands: dict[str, tuple[float, float]] = field(default_factory=dict)

    def record(self, instance: str, rate: float, now: float) -> float:
        """Record operations per second; return the instance's share of the total.

        Parameters
        ----------
        instance : str
            Name of the instance.
        """
        # Kept in the order of the reports, so that the oldest is first.
        known = self._demands.pop(instance, None)
        if known is not None:
            self.total -= known[0]
        self._demands[instance] = (rate, now)
        self.total += rate
        for name, (old_rate, at) in list(self._demands.items()):
            if at >= now - DEMAND_LIFETIME:
                break
            del self._demands[name]
            self.total -= old_rate
        return 1.0 if self.total <= rate or rate <= 0 else rate / self.total


@dataclass(slots=True)
class HeardTime:
    """Time weighted by the share of the instances that hear a leader.

    An instance that hears no leader uses its floor, so that the leader must not hand
    out its part of the rate for that time, also if it looks at a bucket only later.

    Attributes
    ----------
    value : float
        Seconds for which all instances together have heard the leader.
    share : float
        Share of the instances that hear it now.
    """

    updated_at: float
    value: float = 0.0
    share: float = 0.0

    def advance(self, now: float, share: float) -> None:
        """Count the time since the last call with the lower of both shares."""
        elapsed = max(0.0, now - self.updated_at)
        self.value += elapsed * min(share, self.share)
        self.updated_at = max(now, self.updated_at)
        self.share = share


@dataclass(slots=True)
class AllowanceLedger:
    """A leader's state of one workspace.

    Attributes
    ----------
    heard_time : float
        Reading of `HeardTime` at which the bucket was last filled.
    granted, returned : int
        Tokens since this leadership began.
    """

    bucket: AllowanceBucket
    heard_time: float
    shares: DemandShares = field(default_factory=DemandShares)
    granted: int = 0
    returned: int = 0

    def fill(self, now: float, limit: AllowanceLimit, heard: HeardTime) -> None:
        """Fill the bucket by the share of the instances that hear this leader.

        Its depth is reduced to that share as well: the others may save up tokens in
        their floors or in the bucket of another leader.
        """
        amount = limit.rate * (heard.value - self.heard_time)
        self.heard_time = heard.value
        self.bucket.fill(now, amount, limit.depth * heard.share)

    def grant(
        self,
        instance: str,
        wanted: int,
        urgent: int,
        demand: float,
        now: float,
        rate: float,
    ) -> tuple[int, float]:
        """Return the tokens granted to an instance, and the seconds until more.

        In order of arrival while there are enough. When they are scarce, nothing is
        kept in stock at instances; if the fleet wants more than the rate as well, an
        instance gets its share of what there is, and one token at least for an
        operation that waits.

        Parameters
        ----------
        wanted : int
            Tokens that the instance wants.
        urgent : int
            Those among them for which operations wait.
        demand : float
            Operations per second that arrive there.
        rate : float
            Tokens per second with which the bucket is filled.
        """
        share = self.shares.record(instance, demand, now)
        limit = wanted
        excess = 0.0
        if self.bucket.level < SCARCE_SECONDS * rate:
            limit = min(wanted, urgent)
            if self.shares.total > rate:
                excess = 1.0 - rate / self.shares.total
                fair = int(self.bucket.level * share)
                limit = min(wanted, max(fair, min(1, urgent)))
        granted = self.bucket.take(limit)
        self.granted += granted
        if granted >= wanted:
            return granted, 0.0
        if rate <= 0:
            return granted, DEMAND_LIFETIME
        until_next = max(0.0, 1.0 - self.bucket.level) / rate
        # An instance's next token comes after 1 / (share * rate), of which the excess
        # is the part for which it has to wait.
        return granted, max(until_next, excess / (share * rate))

    def give_back(self, slot_index: int, count: int) -> None:
        """Undo the grant of tokens that an instance has not used."""
        self.returned += self.bucket.give_back(slot_index, count)
