"""Token buckets of the leader, from which instances lease the right to operations.

Load pattern: one workspace sends several times its usual load for some seconds, at
instances that change within a second. No instance sees the load of the others, and
static shares would reject requests at busy instances while idle ones have tokens left.
"""

import math
from collections import deque
from dataclasses import dataclass, field

# Seconds from the grant of a token until it can no longer be used: two renewals, with
# the way of their answers. What is filled in during a longer life would be taken from
# the rate and the burst, as the bound counts it twice.
TOKEN_LIFETIME = 0.85
# Share of what the bound allows beyond rate and burst that is added to the depth. The
# rest is added to the rate.
DEPTH_SHARE = 0.45
# Longest possible depth of a bucket is kept at this share of the rate at least: a
# shallower one could not hold what several instances take at the same time.
MIN_DEPTH_SECONDS = 0.2
# Tokens with which all leaders in one window may begin together: they let the first
# operations of small workspaces through, which would wait for seconds otherwise.
CREDIT_SHARE = 0.2  # of what the bound allows beyond the rate
MAX_CREDITS = 12.0
# Tokens are scarce if there are fewer than are filled in during this time.
SCARCE_SECONDS = 0.2
# Seconds over which instances average their demand. An excess of some deviations of the
# operations in that time is no overload: otherwise a workspace with 1.9 operations/s
# was told to wait for 16 s with 2.7 tokens in the bucket.
DEMAND_AVERAGE = 0.5
EXCESS_DEVIATIONS = 2.0
# Part of the time until an instance's next token that operations are told to wait.
# The way of the next request takes the rest; at 1 the bucket overflowed.
WAIT_SHARE = 0.7
SLOT = 0.1  # seconds; grants are recorded with this precision
RETURN_MARGIN = 1.0  # seconds after their life in which tokens can be returned
STOCK_TIME = 30.0  # seconds for which an instance that served a workspace has a stock
# Tokens that are not granted for stocks: one, and what is filled in during this time.
STOCK_RESERVE_SECONDS = 0.05
# Part of the depth that stocks leave to operations that wait: where callers of a small
# workspace come to most instances, stocks would hold all of its tokens.
STOCK_RESERVE_SHARE = 0.5
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
    credits : float
        Tokens with which all leaders in one window may begin together.
    """

    rate: float
    depth: float
    floor_rate: float
    floor_depth: float
    credits: float


def compute_credit_share(leaderships: int) -> float:
    """Return the share of the credits for a leadership.

    The shares of any number of leaderships add up to 1. A leader that has just started
    does not know of earlier ones, as after a restart of all instances. It takes a
    half like the first: tokens that were out are lost then, and the bound would need
    three such restarts within one window to be exceeded.

    Parameters
    ----------
    leaderships : int
        Others that began in the same window.
    """
    return 0.5 ** (1 + leaderships)


def compute_limit(
    rate: float, burst: float, bound: float, window: float, slack: float, instances: int
) -> AllowanceLimit:
    """Return the limit for a workspace in a fleet of `instances`.

    A token is used within its life, so operations keep to the bound in every window
    if grants do so in a window that is longer by that life. Tokens of a floor are
    used where they are made, without that delay.

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
    extra = max(0.0, bound - rate * span - burst)
    reserved = max(1.0 + MIN_DEPTH_SECONDS * rate, burst + DEPTH_SHARE * extra)
    filled = (bound - min(bound, reserved)) / span
    spare = bound - filled * span
    floor_rate = filled / instances
    credits = min(CREDIT_SHARE * spare, MAX_CREDITS)
    unfilled = max(0.0, 1.0 - floor_rate * TOKEN_LIFETIME)
    has_floor = instances * unfilled <= spare - credits
    return AllowanceLimit(
        rate=filled,
        depth=min(max(burst + slack, 1.0), spare - credits),
        floor_rate=floor_rate if has_floor else 0.0,
        floor_depth=max(1.0, floor_rate) if has_floor else 0.0,
        credits=credits,
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
    credit : float
        Tokens besides those of the rate; the depth does not limit them.
    """

    def __init__(self, now: float, credit: float):
        self.credit = credit
        self._level = 0.0
        self._depth = 0.0
        self._base = 0.0  # level before the first slot
        self._slots = deque([_Slot(find_slot(now))])

    @property
    def level(self) -> float:
        """Return the tokens that can be granted."""
        return self._level + self.credit

    def fill(self, now: float, amount: float, depth: float) -> None:
        """Add `amount` tokens; hold at most `depth`."""
        index = find_slot(now)
        if index != self._slots[-1].index:
            self._slots.append(_Slot(index))
        self._slots[-1].filled += amount
        self._depth = depth
        self._level = min(depth, self._level + amount)
        oldest = index - (TOKEN_LIFETIME + RETURN_MARGIN) / SLOT
        while self._slots[0].index < oldest:
            self._base = self._apply(self._base, self._slots.popleft())

    def add(self, count: float) -> None:
        """Add tokens besides those of the rate."""
        self._slots[-1].filled += count
        self._level = min(self._depth, self._level + count)

    def take(self, wanted: int) -> int:
        """Take up to `wanted` whole tokens and return how many."""
        granted = max(0, min(wanted, int(self.level)))
        # Credit makes up what the level lacks, also a part of a token.
        credited = min(granted, math.ceil(max(0.0, granted - self._level)))
        if credited > self.credit:
            credited = int(self.credit)
            granted = min(granted, credited + int(max(0.0, self._level)))
        self.credit -= credited
        self._level -= granted - credited
        # Credit is filled in when it is granted, so that it can be returned.
        self._slots[-1].filled += credited
        self._slots[-1].granted += granted
        return granted

    def lapse_credit(self) -> None:
        """Move the rest of the credit to the level."""
        if self.credit:
            self.add(self.credit)
            self.credit = 0.0

    def give_back(self, slot_index: int, count: int) -> int:
        """Undo the grant of `count` tokens in a slot; return how many were undone."""
        for slot in self._slots:
            if slot.index == slot_index:
                undone = max(0, min(count, slot.granted))
                slot.granted -= undone
                self._level = max(self._level, self._compute_level())
                return undone
        return 0

    def _compute_level(self) -> float:
        level = self._base
        for slot in self._slots:
            level = self._apply(level, slot)
        return level

    def _apply(self, level: float, slot: _Slot) -> float:
        return min(self._depth, level + slot.filled) - slot.granted


@dataclass(frozen=True, slots=True)
class TokenDemand:
    """What an instance wants for one workspace.

    Attributes
    ----------
    instance : str
        Name of the instance.
    wanted : int
        Tokens that it wants.
    urgent : int
        Those among them for which operations wait.
    rate : float
        Operations per second that arrive there.
    idle : float
        Seconds since the last of them.
    returned : int
        Tokens that it has just returned.
    preferred : int or None
        Operations of the first priority among the urgent ones; None if operations do
        not differ in priority.
    """

    instance: str
    wanted: int
    urgent: int
    rate: float
    idle: float
    returned: int = 0
    preferred: int | None = None


@dataclass(slots=True)
class DemandShares:
    """Recent demand of each instance for the operations of one workspace."""

    total: float = 0.0
    _rates: dict[str, tuple[float, float]] = field(default_factory=dict)
    _used_at: dict[str, float] = field(default_factory=dict)

    def record(self, demand: TokenDemand, now: float) -> float:
        """Record a demand; return the instance's share of the total."""
        # Kept in the order of the reports, so that the oldest is first.
        known = self._rates.pop(demand.instance, None)
        if known is not None:
            self.total -= known[0]
        self._rates[demand.instance] = (demand.rate, now)
        self._used_at[demand.instance] = now - demand.idle
        self.total += demand.rate
        for name, (old_rate, at) in list(self._rates.items()):
            if at >= now - DEMAND_LIFETIME:
                break
            del self._rates[name]
            self.total -= old_rate
        is_alone = self.total <= demand.rate or demand.rate <= 0
        return 1.0 if is_alone else demand.rate / self.total

    def count_recent(self) -> int:
        """Return how many instances have lately served the workspace."""
        return max(1, len(self._used_at))

    def count_later(self, instance: str, now: float) -> int:
        """Return how many other instances have served the workspace later."""
        limit = now - STOCK_TIME
        for name in [n for n, at in self._used_at.items() if at < limit]:
            del self._used_at[name]
        used_at = self._used_at.get(instance, -math.inf)
        return sum(at > used_at for at in self._used_at.values())


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
        depth = limit.depth * heard.share
        self.bucket.fill(now, amount, depth)

    def grant(
        self, demand: TokenDemand, now: float, rate: float, depth: float
    ) -> tuple[int, float]:
        """Return the tokens granted to an instance, and the seconds until more.

        In order of arrival while there are enough. When they are scarce and the fleet
        wants more than the rate, operations of the first priority get what there is.
        Where operations do not differ in priority, an instance gets its share, and one
        token at least for an operation that waits.

        Parameters
        ----------
        rate : float
            Tokens per second with which the bucket is filled.
        depth : float
            Tokens that the bucket can hold.
        """
        share = self.shares.record(demand, now)
        urgent = min(demand.wanted, demand.urgent)
        limit = urgent + self._limit_stock(demand, now, rate, depth)
        excess = 0.0
        is_scarce = self.bucket.level < SCARCE_SECONDS * rate
        if is_scarce and self._is_overloaded(rate):
            excess = 1.0 - rate / self.shares.total
            fair = int(self.bucket.level * share)
            if demand.preferred is None:
                limit = min(demand.wanted, max(fair, min(1, urgent)))
            else:
                limit = min(urgent, demand.preferred, max(fair, 1))
        granted = self.bucket.take(limit)
        self.granted += granted
        if granted >= demand.wanted:
            return granted, 0.0
        if rate <= 0:
            return granted, DEMAND_LIFETIME
        until_next = max(0.0, 1.0 - self.bucket.level) / rate
        # An instance's next token comes after 1 / (share * rate), of which the excess
        # is the part for which it has to wait.
        # The demand of an instance may be underestimated.
        turn = WAIT_SHARE * excess / (share * rate)
        return granted, max(until_next, min(turn, DEMAND_LIFETIME))

    def _is_overloaded(self, rate: float) -> bool:
        """Return whether the fleet wants more than the rate, beyond what is random."""
        random_part = EXCESS_DEVIATIONS * math.sqrt(rate / DEMAND_AVERAGE)
        return self.shares.total > rate + random_part

    def _limit_stock(
        self, demand: TokenDemand, now: float, rate: float, depth: float
    ) -> int:
        """Return how many tokens an instance may get besides the urgent ones.

        Those that it has just returned, or its part of what the bucket can spare, if
        it is one of the last that served the workspace. The credit is left to
        operations that wait.
        """
        stock = max(0, demand.wanted - demand.urgent)
        if not stock or self.shares.count_later(demand.instance, now) >= depth - 1:
            return 0
        reserve = max(1.0 + STOCK_RESERVE_SECONDS * rate, STOCK_RESERVE_SHARE * depth)
        level = self.bucket.level - self.bucket.credit
        spare = int(level - reserve) - demand.urgent
        part = math.ceil(spare / self.shares.count_recent())
        return min(stock, max(demand.returned, part, 0))

    def give_back(self, slot_index: int, count: int) -> int:
        """Undo the grant of tokens that an instance has not used; return how many."""
        undone = self.bucket.give_back(slot_index, count)
        self.returned += undone
        return undone
