"""Tokens that an instance holds for a workspace, and how many more it wants.

Load pattern: requests of a workspace arrive at one instance without pause, so a token
has to be there before the request; those of another come once in a minute, and a token
held for it would expire unused.
"""

import math
from collections import deque
from dataclasses import dataclass, field

from burdocksail.traffic._allowances import TOKEN_LIFETIME, AllowanceLimit

# Part of a token's life that is left for the way of its operation to a server.
DELIVERY_MARGIN = 0.1  # seconds
USABLE_TIME = TOKEN_LIFETIME - DELIVERY_MARGIN
RETURN_BEFORE = 0.15  # seconds before a token can no longer be used
BATCH_SECONDS = 0.5  # of recent demand in a batch
RENEWAL_SECONDS = 0.25  # of recent demand left in stock when a batch is renewed
# Averaging times of the demand: the short one follows a peak, the long one tells
# whether requests come often enough for a token to be kept for the next.
SHORT_AVERAGE = 0.5  # seconds
LONG_AVERAGE = 2.0  # seconds
# Operations per second; at this rate half of the tokens kept in stock are used.
STOCK_RATE = 0.75
FLOOR_DELAY = 1.5  # seconds without a leader until the floor begins to fill
# Seconds without an answer until a floor ends. A leader removes a silent instance after
# 60 s, and shares its part of the rate among the others from then on.
FLOOR_LIFETIME = 50.0
MAX_RETRY_SPREAD = 2.0  # seconds over which rejected operations are spread


@dataclass(slots=True)
class DemandEstimate:
    """Rate of arrivals, as moving averages over a short and a long time."""

    _short: float = 0.0
    _long: float = 0.0
    _updated_at: float = 0.0
    _arrived_at: float = -math.inf

    def record(self, now: float) -> None:
        """Record an arrival."""
        self._decay(now)
        self._arrived_at = now
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

    def is_steady(self, now: float) -> bool:
        """Return whether a token in stock will probably be used before it expires."""
        self._decay(now)
        return self._long >= STOCK_RATE

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
    exhausted_until : float
        Clock reading before which the leader expects to have no tokens for this
        instance.
    retry_at : float
        Clock reading up to which rejected operations were told to come back.
    retry_interval : float
        Seconds between two such times.
    stock_paused_until : float
        Clock reading before which no tokens are asked for but for operations that
        wait, as the leader had none for the stock.
    """

    batches: deque[Batch] = field(default_factory=deque)
    floor: FloorBucket = field(default_factory=FloorBucket)
    demand: DemandEstimate = field(default_factory=DemandEstimate)
    reserved: int = 0
    exhausted_until: float = -math.inf
    retry_at: float = -math.inf
    retry_interval: float = 0.0
    stock_paused_until: float = -math.inf

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

    def take_unused(self, now: float, epoch: int) -> Batch | None:
        """Remove a batch that is about to expire, to be returned to its leader."""
        self.count(now)
        if not self.batches or self.batches[0].usable_until > now + RETURN_BEFORE:
            return None
        batch = self.batches.popleft()
        return batch if batch.epoch == epoch else None

    def compute_missing(self, now: float, waiting: int) -> int:
        """Return how many of the operations that are here have no token.

        Negative if there are more tokens than operations.

        Parameters
        ----------
        waiting : int
            Operations that wait for a token.
        """
        return waiting + self.reserved - self.count(now)

    def compute_wanted(self, now: float, waiting: int) -> int:
        """Return how many tokens to ask for, 0 if there are enough."""
        missing = self.compute_missing(now, waiting)
        if now < self.stock_paused_until or not self.demand.is_steady(now):
            return max(0, missing)
        rate = self.demand.estimate(now)
        if missing + max(1.0, RENEWAL_SECONDS * rate) <= 0:
            return 0
        return max(0, missing + math.ceil(max(1.0, BATCH_SECONDS * rate)))

    def record_refusal(self, now: float, wait: float, rate: float) -> None:
        """Record that the leader had fewer tokens than wanted.

        Parameters
        ----------
        wait : float
            Seconds until the leader expects to have more.
        rate : float
            Tokens per second of the workspace, over all instances.
        """
        self.exhausted_until = now + wait
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
