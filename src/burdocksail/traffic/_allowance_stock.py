"""Tokens that an instance holds for a workspace, and how many more it wants.

Load pattern: requests of a workspace arrive at one instance without pause, so a token
has to be there before the request; those of another come once in a minute, and a token
held for it would expire unused.
"""

import math
from collections import deque
from dataclasses import dataclass, field, replace

from burdocksail.traffic._allowances import STOCK_TIME, AllowanceLimit

# Part of a token's life that is left for the way of its operation to a server.
DELIVERY_MARGIN = 0.1  # seconds
# Tokens are exchanged from this time before their end: longer than from one renewal,
# every 0.3 s, to the answer of the next.
RETURN_BEFORE = 0.4  # seconds
STOCK_DEVIATIONS = 2.0  # of the operations in that time, kept besides
# Averaging times of the demand: the short one follows a peak.
SHORT_AVERAGE = 0.5  # seconds
LONG_AVERAGE = 8.0  # seconds
# Seconds since the first arrival that are counted at least: one operation alone would
# tell a high rate otherwise.
MIN_AVERAGE = 3.0
# Arrivals that the short average must hold until it counts for the stock.
PEAK_ARRIVALS = 2
FLOOR_DELAY = 1.5  # seconds without a leader until the floor begins to fill
# Seconds without an answer until a floor ends. A leader removes a silent instance after
# 60 s, and shares its part of the rate among the others from then on.
FLOOR_LIFETIME = 50.0
# Operations per second from which tokens are kept in stock. Where callers of a small
# workspace come to most instances, stocks would hold all of its tokens.
STOCK_RATE = 0.75
MAX_RETRY_SPREAD = 2.0  # seconds over which rejected operations are spread


@dataclass(slots=True)
class DemandEstimate:
    """Rate of arrivals, as moving averages over a short and a long time."""

    _short: float = 0.0
    _long: float = 0.0
    _updated_at: float = 0.0
    _began_at: float = math.inf
    _arrived_at: float = -math.inf

    def record(self, now: float) -> None:
        """Record an arrival."""
        self._decay(now)
        self._arrived_at = now
        self._began_at = min(self._began_at, now)
        self._short += 1.0 / SHORT_AVERAGE
        self._long += 1.0 / LONG_AVERAGE

    def estimate(self, now: float) -> float:
        """Return arrivals per second, of the average that is higher."""
        self._decay(now)
        return max(self._short, self._long)

    def estimate_others(self, now: float) -> float:
        """Return arrivals per second, without one that has arrived just now.

        An estimate at the moments of arrivals would be too high otherwise.
        """
        last = 1.0 / SHORT_AVERAGE if now == self._arrived_at else 0.0
        self._decay(now)
        return max(0.0, self._short - last)

    def compute_stock(self, now: float, seconds: float) -> int:
        """Return how many tokens should be in stock.

        Parameters
        ----------
        seconds : float
            Time for which they have to last.
        """
        self._decay(now)
        if now > self._arrived_at + STOCK_TIME:
            return 0
        age = max(MIN_AVERAGE, now - self._began_at)
        long_rate = self._long / (1.0 - math.exp(-age / LONG_AVERAGE))
        rate = max(long_rate, self._short - PEAK_ARRIVALS / SHORT_AVERAGE)
        if rate < STOCK_RATE:
            return 0
        expected = rate * seconds
        deviation = STOCK_DEVIATIONS * math.sqrt(expected)
        return max(1, math.ceil(expected + deviation))

    def compute_idle_time(self, now: float) -> float:
        """Return the seconds since the last arrival."""
        return now - self._arrived_at

    def _decay(self, now: float) -> None:
        elapsed = max(0.0, now - self._updated_at)
        self._updated_at = now
        self._short *= math.exp(-elapsed / SHORT_AVERAGE)
        self._long *= math.exp(-elapsed / LONG_AVERAGE)


@dataclass(slots=True)
class FloorBucket:
    """Tokens of an instance that hears no leader."""

    level: float = 0.0
    _began_at: float | None = None
    _filled_at: float = 0.0

    def fill(self, now: float, began_at: float | None, limit: AllowanceLimit) -> None:
        """Add the tokens of the time since the last call.

        Parameters
        ----------
        began_at : float or None
            When the floor began to fill; None while a leader is heard, which empties
            the bucket.
        """
        if began_at != self._began_at:
            self.level = 0.0
            self._began_at = began_at
            self._filled_at = math.inf if began_at is None else began_at
        if began_at is not None and now > self._filled_at:
            amount = limit.floor_rate * (now - self._filled_at)
            self.level = min(limit.floor_depth, self.level + amount)
            self._filled_at = now


def find_floor_start(
    heard_at: float | None, answered_at: float | None, now: float
) -> float | None:
    """Return when the floor began to fill, None if it does not fill now.

    Parameters
    ----------
    heard_at : float or None
        When any leader was last heard.
    answered_at : float or None
        When a leader last answered this instance.
    """
    if heard_at is None or answered_at is None:
        return None  # The number of instances has never been told.
    began_at = heard_at + FLOOR_DELAY
    return began_at if began_at <= now < answered_at + FLOOR_LIFETIME else None


@dataclass(slots=True)
class Batch:
    """Tokens of one grant.

    Attributes
    ----------
    usable_until : float
        Clock reading until which an operation may be sent.
    slot : int
        When the leader granted them, as it told; it names them when they are returned.
    """

    count: int
    usable_until: float
    epoch: int
    slot: int


@dataclass(slots=True)
class AllowanceStock:
    """Tokens of one workspace at one instance.

    An operation reserves a token when it arrives, so that it need not wait for a
    connection in vain, and spends one when it is sent. Any token will do: one may
    expire and be replaced meanwhile.

    Attributes
    ----------
    reserved : int
        Operations that have reserved a token and not spent it.
    exhausted_until, preferred_until : float
        Clock readings before which the leader expects to have no tokens for this
        instance, and none even for operations of the first priority.
    asked : int
        Tokens that have been asked for, without an answer yet.
    retry_at : float
        Clock reading up to which rejected operations were told to come back.
    retry_interval : float
        Seconds between two such times.
    """

    batches: deque[Batch] = field(default_factory=deque)
    floor: FloorBucket = field(default_factory=FloorBucket)
    demand: DemandEstimate = field(default_factory=DemandEstimate)
    reserved: int = 0
    asked: int = 0
    exhausted_until: float = -math.inf
    preferred_until: float = -math.inf
    retry_at: float = -math.inf
    retry_interval: float = 0.0

    def count(self, now: float) -> int:
        """Return the tokens that can be used now."""
        while self.batches and (
            self.batches[0].usable_until <= now or not self.batches[0].count
        ):
            self.batches.popleft()
        return sum(batch.count for batch in self.batches) + int(self.floor.level)

    def reserve(self, now: float) -> bool:
        """Reserve a token; return whether there was one."""
        if self.count(now) <= self.reserved:
            return False
        self.reserved += 1
        return True

    def release(self) -> None:
        """Give up a reservation."""
        self.reserved -= 1

    def spend(self, now: float) -> float | None:
        """Spend a reserved token; None if there is none any more.

        Returns
        -------
        float or None
            Clock reading until which the operation may be sent.
        """
        self.reserved -= 1
        if self.count(now) < 1:
            return None
        if self.batches:
            self.batches[0].count -= 1
            return self.batches[0].usable_until
        self.floor.level -= 1.0
        return now

    def add(self, batch: Batch) -> None:
        """Add the tokens of a grant, in the order in which they expire."""
        if batch.count > 0:
            self.batches.append(batch)
            self.batches = deque(sorted(self.batches, key=lambda b: b.usable_until))

    def clear(self) -> None:
        """Drop all tokens, as the limit of the workspace has changed."""
        self.batches.clear()

    def take_unused(self, now: float, epoch: int) -> list[Batch]:
        """Remove the batches that are about to expire, to be returned to their leader.

        Operations that have reserved tokens keep them.
        """
        limit = now + RETURN_BEFORE
        spare = self.count(now) - self.reserved
        unused = []
        for batch in list(self.batches):
            if batch.usable_until > limit or spare <= 0:
                break
            if batch.epoch == epoch:
                count = min(batch.count, spare)
                unused.append(replace(batch, count=count))
                batch.count -= count
                spare -= count
        return unused

    def compute_missing(self, now: float, waiting: int) -> int:
        """Return how many of the operations that are here have no token.

        Negative if there are more tokens than operations.

        Parameters
        ----------
        waiting : int
            Operations that wait for a token.
        """
        return waiting + self.reserved - self.count(now) - self.asked

    def compute_wanted(self, now: float, waiting: int, seconds: float) -> int:
        """Return how many tokens to ask for, 0 if there are enough.

        Parameters
        ----------
        seconds : float
            Time for which the stock has to last.
        """
        missing = self.compute_missing(now, waiting)
        return max(0, missing + self.demand.compute_stock(now, seconds))

    def find_blocked_until(self, is_preferred: bool) -> float:
        """Return the clock reading before which the leader expects to have no token."""
        return self.preferred_until if is_preferred else self.exhausted_until

    def record_refusal(
        self, now: float, wait: float, rate: float, is_preferred: bool = True
    ) -> None:
        """Record that the leader had fewer tokens than wanted.

        Parameters
        ----------
        wait : float
            Seconds until the leader expects to have more.
        rate : float
            Tokens per second of the workspace, over all instances.
        is_preferred : bool
            Whether it had too few even for operations of the first priority.
        """
        self.exhausted_until = now + wait
        if is_preferred:
            self.preferred_until = now + wait
        self.retry_interval = max(wait, 1.0 / rate if rate > 0 else wait)

    def compute_retry_after(self, now: float) -> float:
        """Return the seconds after which a rejected operation finds a token.

        Each one is told a later time than the one before, as each takes a token.
        """
        earliest = max(now, self.exhausted_until)
        latest = earliest + max(MAX_RETRY_SPREAD, self.retry_interval)
        retry_at = max(earliest, self.retry_at + self.retry_interval)
        self.retry_at = min(retry_at, latest)
        return self.retry_at - now
