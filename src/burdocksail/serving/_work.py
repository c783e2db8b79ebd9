"""Kinds of work, and what their run times say of the servers."""

import math
from collections.abc import Hashable

from burdocksail.board import Blackboard, ServerSpeed
from burdocksail.catalog import ReadPolicy, Route, Upstream
from burdocksail.core import ExecutePrepared, Run, UpstreamCommand, get_logger
from burdocksail.serving._context import ServingContext, SessionState
from burdocksail.serving._pools import Pool

_log = get_logger()

Kind = tuple[str, bool]

# Work is held back from a server only if its peers are faster by this factor. If all
# are as slow, they are as full, and holding work back would only move the queue.
SLOW_FACTOR = 3.0
SLOW_REPORT_FACTOR = 2.0
FAST_AGAIN_FACTOR = 1.3
REPORT_INTERVAL = 5.0  # seconds between two lines on one server
MIN_LENGTH = 0.1  # of the usual run time; shorter ones tell no more than this


def find_kind(
    route: Route, session: SessionState, statement: UpstreamCommand
) -> Kind | None:
    """Return the kind of work of a statement: its route, and whether it writes.

    None for BEGIN and COMMIT, which take too little time to compare servers by.
    """
    if isinstance(statement, Run):
        return (route.name, statement.writes)
    if isinstance(statement, ExecutePrepared):
        return (route.name, session.prepared[statement.name].writes)
    return None


def record_run_time(
    serving: ServingContext,
    route: Route,
    kind: Kind,
    pool: Pool,
    seconds: float,
    usual: float,
) -> None:
    """Record the time from a statement to its reply.

    Parameters
    ----------
    seconds : float
        Includes the round trip, which is left out of the run time.
    usual : float
        Usual run time of that kind of work.
    """
    now = serving.board.now()
    statistics = pool.statistics
    run_time = seconds - statistics.round_trip
    statistics.knee.record(math.log(max(run_time / usual, MIN_LENGTH)), now)
    has_peers = not kind[1] and route.policy is not ReadPolicy.PRIMARY
    work_times = serving.work_times[route.service]
    comparison = work_times.record(
        kind, _identify(pool.upstream), run_time, now, has_peers
    )
    if comparison is not None:
        statistics.speed.record(comparison, work_times.interval, now)
        _publish_speed(serving.board, pool, now)
    factor = statistics.speed.compute_factor(now)
    _report_change(serving, pool, factor)
    # The statement itself has been answered and is no longer among the pending ones.
    in_flight = len(statistics.pending) + 1
    is_delayed = factor >= SLOW_FACTOR and statistics.knee.is_exceeded
    statistics.concurrency.record_delay(is_delayed, in_flight, now)


def estimate_answer_time(
    serving: ServingContext, service: str, kind: Kind, pool: Pool
) -> float:
    """Return the expected seconds from a statement to its reply, without a queue."""
    now = serving.board.now()
    statistics = pool.statistics
    run_time = serving.work_times[service].estimate_at(
        kind, _identify(pool.upstream), statistics.speed.compute_factor(now), now
    )
    return statistics.round_trip + run_time


def _publish_speed(board: Blackboard, pool: Pool, now: float) -> None:
    """Write what has been learned of a server to the blackboard."""
    upstream, speed = pool.upstream, pool.statistics.speed
    board.speeds.own[upstream.id] = (
        ServerSpeed(
            upstream.id,
            upstream.started_at_ms,
            speed.log_ratio,
            speed.compute_weight(now),
        ),
        now,
    )


def _identify(upstream: Upstream) -> Hashable:
    """Return what names one run of a server; a server that was restarted is new."""
    return (upstream.id, upstream.started_at_ms, upstream.host, upstream.port)


def _report_change(serving: ServingContext, pool: Pool, factor: float) -> None:
    """Log that a server has become slower than its peers, or as fast again.

    The two factors differ, and lines have a minimum distance in time, so that a server
    between them is not reported with each answer.
    """
    statistics = pool.statistics
    was_slow = statistics.reported_slow
    limit = FAST_AGAIN_FACTOR if was_slow else SLOW_REPORT_FACTOR
    now = serving.board.now()
    if (factor >= limit) == was_slow or now < statistics.next_report_at:
        return
    statistics.reported_slow = not was_slow
    statistics.next_report_at = now + REPORT_INTERVAL
    event = "server as fast as others" if was_slow else "server slower than others"
    serving.board.metrics.count("servers_recovered" if was_slow else "servers_slow")
    _log.info(event, upstream=pool.upstream.id, factor=round(factor, 2))
