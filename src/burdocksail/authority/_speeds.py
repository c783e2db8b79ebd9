"""Speeds of servers that instances learn together, on renewals and grants.

Load pattern: many instances with little load each. Alone, each has to find out by
requests of its own callers that a server is slow, and later that it has recovered.
"""

from collections import defaultdict
from collections.abc import Iterable

from burdocksail.board import Blackboard, ServerSpeed

MAX_SPEEDS = 8  # in a message, of some 50 bytes each
# Servers that are about like their peers need no mention, unless others say that one
# is not. Smaller differences come from queues, and all would follow them at once.
MIN_LOG_RATIO = 1.1  # three times as slow or fast
MIN_WEIGHT = 1.0  # answers; fewer are mostly chance at little load
# The latest answers say more of a server that may have recovered than those before.
FRESHNESS_HALF_LIFE = 2.0  # seconds
# One instance alone may have a slow link, so it takes two, and none counts for more
# than this many answers.
MIN_REPORTERS = 2
MAX_REPORT_WEIGHT = 2.0
MAX_MERGED_WEIGHT = 3.0
# Beyond what any instance learns; another process may send anything.
MAX_LOG_RATIO = 5.0
MAX_WEIGHT = 100.0


def collect_speeds(board: Blackboard) -> tuple[ServerSpeed, ...]:
    """Return what this instance has learned that others may not know."""
    now = board.now()
    speeds = []
    for upstream_id, (speed, measured_at) in board.speeds.own.items():
        if upstream_id not in board.directory.upstreams:
            continue
        weight = speed.weight * 0.5 ** ((now - measured_at) / FRESHNESS_HALF_LIFE)
        is_notable = abs(speed.log_ratio) >= MIN_LOG_RATIO
        if weight >= MIN_WEIGHT and (is_notable or upstream_id in board.speeds.shared):
            speeds.append(
                ServerSpeed(upstream_id, speed.started_at_ms, speed.log_ratio, weight)
            )
    return _select(speeds)


def merge_speeds(reports: Iterable[Iterable[ServerSpeed]]) -> tuple[ServerSpeed, ...]:
    """Return what the reports of several instances say together."""
    by_server: dict[tuple[str, int], list[ServerSpeed]] = defaultdict(list)
    for report in reports:
        for speed in report:
            if _is_usable(speed):
                by_server[speed.upstream_id, speed.started_at_ms].append(speed)
    return _select(
        [
            _merge(key, speeds)
            for key, speeds in by_server.items()
            if len(speeds) >= MIN_REPORTERS
        ]
    )


def store_shared_speeds(board: Blackboard, speeds: Iterable[ServerSpeed]) -> None:
    """Replace what this instance knows of the others' experience."""
    now = board.now()
    board.speeds.shared = {s.upstream_id: (s, now) for s in speeds if _is_usable(s)}


def _merge(key: tuple[str, int], speeds: list[ServerSpeed]) -> ServerSpeed:
    weights = [min(speed.weight, MAX_REPORT_WEIGHT) for speed in speeds]
    total = sum(weights)
    mean = sum(w * s.log_ratio for w, s in zip(weights, speeds, strict=True)) / total
    return ServerSpeed(*key, mean, min(total, MAX_MERGED_WEIGHT))


def _is_usable(speed: ServerSpeed) -> bool:
    return abs(speed.log_ratio) <= MAX_LOG_RATIO and 0.0 < speed.weight <= MAX_WEIGHT


def _select(speeds: list[ServerSpeed]) -> tuple[ServerSpeed, ...]:
    """Return the most notable speeds, as many as fit a message."""
    speeds.sort(key=lambda s: (-abs(s.log_ratio), s.upstream_id))
    return tuple(speeds[:MAX_SPEEDS])
