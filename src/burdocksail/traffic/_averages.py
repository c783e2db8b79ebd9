"""Averages of the recent past, by elapsed time as well as by number of samples.

Load pattern: any; an instance sees from hundreds of answers of a server in a second
to one in several seconds.
"""

from dataclasses import dataclass


@dataclass(slots=True)
class DecayingMean:
    """Mean whose samples lose half of their weight in each half-life.

    Attributes
    ----------
    mean : float
        Mean of the samples; 0 before the first.
    weight : float
        Samples that it stands for, at the time of the last one.
    """

    half_life: float
    max_weight: float
    mean: float = 0.0
    weight: float = 0.0
    _updated_at: float = float("-inf")

    def add(self, sample: float, now: float, weight: float = 1.0) -> None:
        """Add a sample that counts as much as `weight` full ones."""
        # Beyond the maximum, each sample replaces a fixed share of the older ones.
        self.weight = min(self.compute_weight(now), self.max_weight) + weight
        self._updated_at = now
        self.mean += weight / self.weight * (sample - self.mean)

    def compute_weight(self, now: float) -> float:
        """Return the number of samples that the mean still stands for."""
        if not self.weight:
            return 0.0
        elapsed = max(0.0, now - self._updated_at)
        return self.weight * 0.5 ** (elapsed / self.half_life)
