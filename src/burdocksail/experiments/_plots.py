"""Plot of served, late, rejected and waiting requests over time."""

from collections.abc import Sequence
from pathlib import Path

from burdocksail.core import BurdocksailError
from burdocksail.experiments._playback import Playback, RequestRecord

BUCKET_SECONDS = 0.5


class PlottingUnavailable(BurdocksailError):
    """matplotlib, an optional dependency, is not installed."""


def plot_playbacks(columns: Sequence[Playback], path: Path) -> None:
    """Plot playbacks side by side, a row for each priority.

    Raises
    ------
    PlottingUnavailable
        If matplotlib is not installed.
    """
    try:
        from matplotlib.figure import Figure
    except ImportError as error:
        raise PlottingUnavailable("install matplotlib to plot") from error
    priorities = sorted({r.request_class.priority for p in columns for r in p.requests})
    figure = Figure(figsize=(6 * len(columns), 2.5 * len(priorities)))
    axes = figure.subplots(len(priorities), len(columns), squeeze=False, sharex="col")
    for column, playback in enumerate(columns):
        for row, priority in enumerate(priorities):
            axis = axes[row][column]
            requests = [
                r for r in playback.requests if r.request_class.priority == priority
            ]
            for label, counts in count_over_time(playback, requests).items():
                times = [i * BUCKET_SECONDS for i in range(len(counts))]
                axis.step(times, counts, where="post", label=label)
            axis.set_title(f"{playback.pattern.name}, priority {priority}")
            axis.set_ylabel(f"requests in {BUCKET_SECONDS} s")
    axes[0][0].legend()
    axes[-1][0].set_xlabel("seconds")
    figure.tight_layout()
    figure.savefig(path)


def count_over_time(
    playback: Playback, requests: Sequence[RequestRecord]
) -> dict[str, list[int]]:
    """Return the counts of requests by the bucket of time in which they were asked.

    Those that wait are counted in each bucket that they wait through.
    """
    buckets = int(playback.pattern.duration / BUCKET_SECONDS) + 1
    counts = {
        label: [0] * buckets for label in ("in target", "late", "rejected", "waiting")
    }
    for request in requests:
        first = int(request.asked_at / BUCKET_SECONDS)
        label = "in target" if request.in_target else "late"
        counts[label if request.served else "rejected"][first] += 1
        last = min(int(request.ended_at / BUCKET_SECONDS), buckets - 1)
        for bucket in range(first + 1, last + 1):
            counts["waiting"][bucket] += 1
    return counts
