"""Counters and latency histograms of a node."""

from collections import Counter
from dataclasses import dataclass, field
from datetime import timedelta

from hdrh.histogram import HdrHistogram

MIN_DURATION_MICROSECONDS = 1
MAX_DURATION_MICROSECONDS = 3_600_000_000
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


@dataclass(slots=True)
class Metrics:
    """Counters and histograms of microseconds, by name."""

    counters: Counter[str] = field(default_factory=Counter)
    histograms: dict[str, HdrHistogram] = field(default_factory=dict)

    def count(self, name: str, amount: int = 1) -> None:
        """Add `amount` to the counter called `name`."""
        self.counters[name] += amount

    def record_duration(self, name: str, duration: timedelta) -> None:
        """Add a duration to the histogram called `name`.

        Durations are clamped to between 1 microsecond and 1 hour.
        """
        histogram = self.histograms.get(name)
        if histogram is None:
            histogram = make_histogram()
            self.histograms[name] = histogram
        microseconds = round(duration.total_seconds() * 1e6)
        histogram.record_value(
            min(max(microseconds, MIN_DURATION_MICROSECONDS), MAX_DURATION_MICROSECONDS)
        )

    def summarise_histograms(self) -> dict[str, dict[str, float]]:
        """Return count and percentiles in milliseconds of each histogram."""
        return {name: summarise_histogram(h) for name, h in self.histograms.items()}


def make_histogram() -> HdrHistogram:
    """Return an empty histogram of microseconds."""
    return HdrHistogram(
        MIN_DURATION_MICROSECONDS, MAX_DURATION_MICROSECONDS, SIGNIFICANT_DIGITS
    )


def summarise_histogram(histogram: HdrHistogram) -> dict[str, float]:
    """Return count and percentiles in milliseconds of a histogram."""
    summary: dict[str, float] = {"count": histogram.get_total_count()}
    for percentile in PERCENTILES:
        value = histogram.get_value_at_percentile(percentile)
        summary[f"p{percentile:g}_ms"] = value / 1000
    summary["max_ms"] = histogram.get_max_value() / 1000
    return summary
