"""Demands for tokens that a leader has not answered, and how fast it answers."""

import itertools
import random
from dataclasses import dataclass

from burdocksail.fleet import Address, AllowanceDemand, AllowanceDemands

MIN_RESEND_DELAY = 0.1  # seconds; four round trips between regions
# An operation waits for this time, so that a later resend would be in vain.
ANSWER_TIMEOUT = 0.15  # seconds
ROUND_TRIP_SHARE = 0.125  # of a new round trip in the average, as in TCP
DEVIATION_SHARE = 0.25
DEVIATIONS = 4.0
INITIAL_ROUND_TRIP = 0.025  # seconds; the longest between regions


@dataclass(slots=True)
class RoundTrips:
    """Average time from a renewal to its answer, and its deviation."""

    average: float = INITIAL_ROUND_TRIP
    deviation: float = 0.0

    def record(self, seconds: float) -> None:
        """Record the time of one answer."""
        error = seconds - self.average
        self.average += ROUND_TRIP_SHARE * error
        self.deviation += DEVIATION_SHARE * (abs(error) - self.deviation)

    def estimate_longest(self) -> float:
        """Return the time within which nearly all answers come."""
        return self.average + DEVIATIONS * self.deviation

    def compute_resend_delay(self) -> float | None:
        """Return when unanswered demands are sent again, None while answers are slow.

        A slow leader has more to answer than it can.
        """
        delay = max(MIN_RESEND_DELAY, self.estimate_longest())
        return delay if delay < ANSWER_TIMEOUT else None


@dataclass(slots=True)
class SentDemands:
    """Demands that have not been answered.

    Attributes
    ----------
    rides : bool
        Whether they are sent with renewals.
    is_awaited : bool
        Whether the tokens are expected, so that they are not asked for again.
    """

    demands: AllowanceDemands
    epoch: int
    address: Address
    sent_at: float
    rides: bool
    is_awaited: bool = True
    is_resent: bool = False


class AllowanceRequests:
    """Demands of one instance that have not been answered.

    Parameters
    ----------
    incarnation : str
        Sets the first number, so that an answer to an earlier run is not mistaken for
        one to this run.
    """

    def __init__(self, incarnation: str):
        self.round_trips = RoundTrips()
        self._sent: dict[int, SentDemands] = {}
        first = random.Random(incarnation).getrandbits(40)
        self._numbers = itertools.count(first)

    def open(
        self,
        demands: list[AllowanceDemand],
        epoch: int,
        address: Address,
        now: float,
        rides: bool,
    ) -> SentDemands:
        """Number demands and keep them until they are answered."""
        numbered = AllowanceDemands(next(self._numbers), tuple(demands))
        sent = SentDemands(numbered, epoch, address, now, rides)
        self._sent[numbered.number] = sent
        return sent

    def find_awaited(self, rides: bool) -> SentDemands | None:
        """Return the demands that are in flight with renewals, or without."""
        return next(
            (s for s in self._sent.values() if s.is_awaited and s.rides == rides), None
        )

    def find_overdue(self, now: float) -> SentDemands | None:
        """Return demands of a renewal whose answer should have come by now."""
        limit = now - max(MIN_RESEND_DELAY, self.round_trips.estimate_longest())
        return next(
            (
                s
                for s in self._sent.values()
                if s.is_awaited and s.rides and s.sent_at <= limit
            ),
            None,
        )

    def find_latest(self) -> float | None:
        """Return when the latest demands that are in flight were sent."""
        times = (s.sent_at for s in self._sent.values() if s.is_awaited)
        return max(times, default=None)

    def find(self, number: int) -> SentDemands | None:
        """Return unanswered demands by their number."""
        return self._sent.get(number)

    def close(self, number: int, epoch: int) -> SentDemands | None:
        """Remove demands that are answered; None if they are not known."""
        sent = self._sent.get(number)
        if sent is None or sent.epoch != epoch:
            return None
        del self._sent[number]
        return sent

    def expire(self, now: float, epoch: int, max_age: float) -> list[SentDemands]:
        """Return demands whose answer is no longer awaited, once each."""
        expired = []
        for number, sent in list(self._sent.items()):
            age = now - sent.sent_at
            is_over = age >= max_age
            if sent.is_awaited and (is_over or sent.epoch != epoch):
                sent.is_awaited = False
                expired.append(sent)
            if is_over:
                del self._sent[number]
        return expired
