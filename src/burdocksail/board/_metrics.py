"""Counters and latency histograms, rendered as text."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hdrh.histogram import HdrHistogram

LOWEST_MICROSECONDS = 1
HIGHEST_MICROSECONDS = 60_000_000  # longer than any caller's deadline
SIGNIFICANT_DIGITS = 1  # one digit keeps a histogram to a few kilobytes
PERCENTILES = (50.0, 90.0, 99.0)


@dataclass(slots=True)
class Metrics:
    """Counters, gauges and latency histograms (in microseconds), all by name."""

    counters: Counter[str] = field(default_factory=Counter)
    gauges: dict[str, Callable[[], float]] = field(default_factory=dict)
    histograms: dict[str, "HdrHistogram"] = field(default_factory=dict)

    def count(self, name: str, amount: int = 1) -> None:
        """Add `amount` to the counter called `name`."""
        self.counters[name] += amount

    def record(self, name: str, seconds: float) -> None:
        """Add a duration to the histogram called `name`.

        Durations outside the range of the histogram are clamped to it.
        """
        histogram = self.histograms.get(name)
        if histogram is None:
            histogram = self.histograms[name] = _make_histogram()
        microseconds = round(seconds * 1e6)
        histogram.record_value(
            min(max(microseconds, LOWEST_MICROSECONDS), HIGHEST_MICROSECONDS)
        )

    def render(self) -> str:
        """Return all metrics as text, one name and value per line."""
        lines = [
            f"burdocksail_{name}_total {value}"
            for name, value in sorted(self.counters.items())
        ]
        lines += [
            f"burdocksail_{name} {read()}" for name, read in sorted(self.gauges.items())
        ]
        for name, histogram in sorted(self.histograms.items()):
            for percentile in PERCENTILES:
                value = histogram.get_value_at_percentile(percentile) / 1e6
                label = f'quantile="{percentile / 100:g}"'
                lines.append(f"burdocksail_{name}_seconds{{{label}}} {value:.6f}")
            total = histogram.get_total_count()
            lines.append(f"burdocksail_{name}_seconds_count {total}")
        return "\n".join(lines) + "\n"


def _make_histogram() -> "HdrHistogram":
    # The first use imports it, after the process listens.
    from hdrh.histogram import HdrHistogram

    return HdrHistogram(LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS)
