"""Tables of what became of the requests of a playback."""

from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass

from burdocksail.experiments._playback import Playback, RequestRecord

LARGEST_WORKSPACE = "workspace-0"


@dataclass(frozen=True, slots=True)
class ClassSummary:
    """Requests of one class, or of all, as shares of those that were asked.

    Attributes
    ----------
    late : float
        Share that was served after the target.
    rejected : float
        Share that was not served.
    wait_p50, wait_p99 : float
        Seconds from the request to its end, also of those that were not served.
    """

    name: str
    asked: int
    in_target: float
    late: float
    rejected: float
    wait_p50: float
    wait_p99: float


@dataclass(frozen=True, slots=True)
class Summary:
    """Summary of one or several playbacks of a pattern.

    Attributes
    ----------
    rejected_share : float
        Statements and connections that servers rejected, for each request.
    opened_share : float
        Connections opened, for each request.
    attempts : float
        Attempts of the callers for each request.
    worst_second : float
        Smallest share that was served of the requests of one second, over all
        playbacks together.
    workspaces : tuple of ClassSummary
        The largest workspace and all others together; empty if there are none.
    """

    pattern: str
    seeds: int
    classes: tuple[ClassSummary, ...]
    rejected_share: float
    opened_share: float
    attempts: float
    busiest_share: float
    worst_second: float
    workspaces: tuple[ClassSummary, ...] = ()

    @property
    def total(self) -> ClassSummary:
        """Return the summary of all classes together."""
        return self.classes[-1]

    def get_class(self, name: str) -> ClassSummary:
        """Return the summary of one class."""
        return next(c for c in self.classes if c.name == name)


def summarize(playback: Playback) -> Summary:
    """Return the summary of one playback."""
    return merge_summaries([playback])


def merge_summaries(playbacks: Sequence[Playback]) -> Summary:
    """Return the summary of several playbacks of one pattern together."""
    requests = [r for p in playbacks for r in p.requests]
    names = [c.name for c in playbacks[0].pattern.classes]
    classes = [
        _summarize_class(n, [r for r in requests if r.request_class.name == n])
        for n in names
    ]
    classes.append(_summarize_class("all", requests))
    asked = max(1, len(requests))
    return Summary(
        playbacks[0].pattern.name,
        len(playbacks),
        tuple(classes),
        sum(p.rejected for p in playbacks) / asked,
        sum(p.opened for p in playbacks) / asked,
        sum(r.attempts for r in requests) / asked,
        sum(p.busiest_share for p in playbacks) / len(playbacks),
        _find_worst_second(requests),
        _summarize_workspaces(requests),
    )


def _find_worst_second(requests: Sequence[RequestRecord]) -> float:
    seconds = defaultdict(list)
    for request in requests:
        seconds[int(request.asked_at)].append(request.served)
    return min((sum(s) / len(s) for s in seconds.values()), default=1.0)


def _summarize_workspaces(
    requests: Sequence[RequestRecord],
) -> tuple[ClassSummary, ...]:
    if not any(r.workspace for r in requests):
        return ()
    largest = [r for r in requests if r.workspace == LARGEST_WORKSPACE]
    others = [r for r in requests if r.workspace != LARGEST_WORKSPACE]
    return (_summarize_class("largest", largest), _summarize_class("others", others))


def _summarize_class(name: str, requests: Sequence[RequestRecord]) -> ClassSummary:
    asked = len(requests)
    in_target = sum(r.in_target for r in requests)
    served = sum(r.served for r in requests)
    waits = sorted(r.ended_at - r.asked_at for r in requests) or [0.0]
    return ClassSummary(
        name,
        asked,
        in_target / max(1, asked),
        (served - in_target) / max(1, asked),
        (asked - served) / max(1, asked),
        waits[len(waits) // 2],
        waits[int(len(waits) * 0.99)],
    )


def format_summaries(summaries: Sequence[Summary]) -> str:
    """Return the summaries as a table, one below the other."""
    lines = []
    for summary in summaries:
        lines.append(f"{summary.pattern}, {summary.seeds} seeds")
        lines.append(
            f"{'class':<12}{'asked':>8}{'in target':>11}{'late':>8}"
            f"{'rejected':>10}{'p50 ms':>9}{'p99 ms':>9}"
        )
        lines.extend(
            f"{c.name:<12}{c.asked:>8}{c.in_target:>11.4f}{c.late:>8.4f}"
            f"{c.rejected:>10.4f}{c.wait_p50 * 1000:>9.0f}{c.wait_p99 * 1000:>9.0f}"
            for c in summary.classes + summary.workspaces
        )
        lines.append(
            f"for each request: {summary.rejected_share:.3f} rejected by servers, "
            f"{summary.opened_share:.3f} connections opened, "
            f"{summary.attempts:.3f} attempts; busiest server "
            f"{summary.busiest_share:.2f} times the mean; worst second "
            f"{summary.worst_second:.3f} served"
        )
    return "\n".join(lines)
