"""How fast a server is, compared with its peers at the same work.

Load patterns: a server that slows down at once or gradually and recovers; servers of
different speeds; an instance that sends each server less than one statement in a
second. The estimate is moved by evidence only: it is 1 for equal servers, whatever
work they get, and returns to 1 within seconds without samples, so that a server that
may have recovered is tried again.
"""

import math
from dataclasses import dataclass, field

from burdocksail.traffic._averages import DecayingMean
from burdocksail.traffic._work import Comparison

# Without samples, the estimate loses half of its weight in the time of so many answers
# of all servers of the service together, so that trying a slow server again costs a
# small share of the requests, however few there are.
HALF_LIFE_ANSWERS = 30.0
MIN_HALF_LIFE = 3.0  # seconds
MAX_HALF_LIFE = 12.0  # seconds
MAX_WEIGHT = 8.0  # samples; at many a second, it follows within this many
PRIOR_WEIGHT = 0.5  # samples' worth of the assumption that servers are equal
# Spread of single run times of one kind of work (standard deviation of logarithms).
SPREAD = 0.4
# An answer that differs by this much is more likely a change of the server's speed
# than chance, so older samples keep only a part of their weight.
CHANGE_STEP = 1.0  # of the logarithm
CHANGE_SHARE = 0.25
MAX_LOG_RATIO = math.log(30.0)


@dataclass(slots=True)
class SpeedEstimate:
    """Factor on the run time of any work at a server, learned from its answers."""

    _mean: DecayingMean = field(
        default_factory=lambda: DecayingMean(MIN_HALF_LIFE, MAX_WEIGHT)
    )

    def record(self, comparison: Comparison, interval: float, now: float) -> None:
        """Record how an answer compares with the peers of the server.

        Parameters
        ----------
        interval : float
            Average seconds between two answers of any server of the service.
        """
        half_life = HALF_LIFE_ANSWERS * interval
        self._mean.half_life = min(max(half_life, MIN_HALF_LIFE), MAX_HALF_LIFE)
        log_ratio = min(max(comparison.log_ratio, -MAX_LOG_RATIO), MAX_LOG_RATIO)
        if abs(log_ratio - self._mean.mean) > CHANGE_STEP:
            self._mean.weight *= CHANGE_SHARE
        self._mean.add(log_ratio, now, comparison.weight)

    def compute_weight(self, now: float) -> float:
        """Return the number of answers that the estimate stands for."""
        return self._mean.compute_weight(now)

    @property
    def log_ratio(self) -> float:
        """Return the mean of the recorded ratios."""
        return self._mean.mean

    def compute_factor(
        self, now: float, other_log_ratio: float = 0.0, other_weight: float = 0.0
    ) -> float:
        """Return the factor on run times; 1 as far as is known.

        Differences that may be due to chance are left out.

        Parameters
        ----------
        other_log_ratio, other_weight : float
            What other instances have learned, and how many answers that stands for.
        """
        weight = self._mean.compute_weight(now)
        known = weight + other_weight + PRIOR_WEIGHT
        shrunk = (self._mean.mean * weight + other_log_ratio * other_weight) / known
        excess = abs(shrunk) - SPREAD / math.sqrt(known)
        if excess <= 0.0:
            return 1.0
        return math.exp(math.copysign(excess, shrunk))
