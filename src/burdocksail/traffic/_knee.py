"""When the answers of a server become longer because it has too much to do.

Load pattern: a server gets more statements than it runs at a time, and queues them in
order of arrival. Urgent statements wait there behind patient ones; held back at the
instances, they would be sent in the order of their targets.
"""

import math
from dataclasses import dataclass, field

from burdocksail.traffic._averages import DecayingMean

HALF_LIFE = 1.0  # seconds
MAX_WEIGHT = 6.0  # samples
MIN_WEIGHT = 2.5  # samples before answers are taken to be longer than before
WINDOW = 10.0  # seconds; the least of the last two windows counts
LONGER_STEP = math.log(3.0)  # above the least


@dataclass(slots=True)
class KneeEstimate:
    """Length of recent answers, compared with the least of the last seconds.

    Lengths are logarithms of run times over the usual ones of the same work, so that
    the kinds of work in flight do not matter.
    """

    _recent: DecayingMean = field(
        default_factory=lambda: DecayingMean(HALF_LIFE, MAX_WEIGHT)
    )
    _least: float = math.inf
    _previous: float = math.inf
    _window_ends_at: float = -math.inf

    def record(self, log_length: float, now: float) -> None:
        """Record the logarithm of a run time over the usual one."""
        self._recent.add(log_length, now)
        if now >= self._window_ends_at:
            self._previous, self._least = self._least, math.inf
            self._window_ends_at = now + WINDOW
        if self._recent.weight >= MIN_WEIGHT:
            self._least = min(self._least, self._recent.mean)

    @property
    def is_exceeded(self) -> bool:
        """Return whether the last answers are much longer than the shortest ones."""
        least = min(self._least, self._previous)
        return (
            self._recent.weight >= MIN_WEIGHT
            and self._recent.mean > least + LONGER_STEP
        )
