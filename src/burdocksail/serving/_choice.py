"""Choice of the server for a statement, and the wait until one can run it."""

from collections.abc import Callable
from dataclasses import dataclass
from operator import itemgetter

from burdocksail.board import GroupState, GroupView
from burdocksail.catalog import Route, Upstream
from burdocksail.core import FailureKind
from burdocksail.serving._context import ServingContext
from burdocksail.serving._freshness import Floor, compute_floor
from burdocksail.serving._pools import Forecast, Pool, PooledConnection
from burdocksail.serving._replies import CommandFailed
from burdocksail.serving._requests import StatementRequest, reject
from burdocksail.serving._routing import rank_servers
from burdocksail.traffic import Obstacle

ACQUIRE_SHARE = 0.2  # of the target latency, to wait for a connection to one server
LEASE_WAIT_SHARE = 0.2  # of the target latency, to wait for a valid lease
WAIT_MARGIN = 2.0  # of the expected wait, before another server is tried
POLL_SHARE = 0.1  # of the time waited so far, where there are workspaces
POLL_INTERVAL = 0.015  # seconds, of what waits without a notification
QUEUES_TOO_LONG = "the queues are too long"

_OBSTACLE_REASONS = {
    Obstacle.STARTING: "this instance has just started",
    Obstacle.CHANGE_OF_PRIMARY: "the primary is being replaced",
    Obstacle.PRIMARY_UNREACHABLE: "the primary does not answer",
    Obstacle.NO_LEASE: "this instance has no evidence of who is primary",
}


@dataclass(frozen=True, slots=True)
class PrimaryCheck:
    """Whether statements may start at the primary now, and else what that waits for.

    Attributes
    ----------
    view : GroupView or None
        View under which they may start; None if they may not.
    upstream : Upstream or None
        The primary, if they may start.
    limit : float
        Clock reading until which the statement waits.
    opens_at : float
        Clock reading before which the group cannot open.
    """

    view: GroupView | None = None
    upstream: Upstream | None = None
    obstacle: Obstacle = Obstacle.NO_LEASE
    limit: float = 0.0
    opens_at: float = 0.0

    @property
    def reason(self) -> str:
        """Return what the statement waits for, as the caller is told."""
        return _OBSTACLE_REASONS[self.obstacle]

    def is_hopeless(self, now: float) -> bool:
        """Return whether the statement is rejected, as the wait would be too long."""
        return now >= self.limit or self.opens_at >= self.limit


def check_primary(request: StatementRequest, wait_until: float) -> PrimaryCheck:
    """Return whether a statement may start at the primary now; changes nothing.

    Parameters
    ----------
    wait_until : float
        Clock reading until which it would wait for a change of primary.
    """
    board, service = request.board, request.route.service
    view = board.get_view_for_new_work(service)
    if view is not None:
        upstream = board.directory.upstreams.get(view.primary_id)
        if upstream is not None and service not in board.authority.unreachable:
            return PrimaryCheck(view, upstream)
    limit, obstacle = _find_wait_limit(request, wait_until)
    opens_at = board.authority.opens_not_before.get(service, board.now())
    return PrimaryCheck(None, None, obstacle, limit, opens_at)


async def wait_for_primary(request: StatementRequest) -> tuple[GroupView, Pool]:
    """Wait until statements may start at the primary; return its view and its pool.

    A statement that is known to have to wait too long is rejected at once.

    Raises
    ------
    CommandFailed
        If that takes too long; the statement has had no lasting effect.
    """
    board = request.board
    wait_until = request.primary_deadline
    while True:
        check = check_primary(request, wait_until)
        if check.view is not None:
            return check.view, request.serving.pools.get(check.upstream)
        now = board.now()
        request.expected_wait = max(0.0, check.opens_at - now)
        if check.is_hopeless(now):
            raise reject(request, check.reason, check.obstacle)
        await board.changed.wait(min(check.limit - now, _find_poll_interval(request)))


def _find_poll_interval(request: StatementRequest) -> float:
    """Return the seconds until a statement looks again whether it may start.

    Where there are workspaces, many statements may wait for seconds, and the interval
    grows with the time that they have waited.
    """
    if not request.serving.has_workspaces:
        return POLL_INTERVAL
    waited = request.board.now() - request.arrived_at
    return max(POLL_INTERVAL, waited * POLL_SHARE)


def _find_wait_limit(
    request: StatementRequest, wait_until: float
) -> tuple[float, Obstacle]:
    """Return the deadline of the wait for the primary, and what it waits for.

    Without a valid lease the caller is usually refused early: another instance may hold
    one, and the caller can retry there. The wait is longer before the first lease
    after a start, as no instance may hold one then, and while the primary is being
    replaced: a change of primary ends for all instances at the same time, so waiting
    for it is worthwhile.
    """
    board = request.board
    view = board.authority.groups.get(request.route.service)
    if not board.authority.has_held_lease:
        return wait_until, Obstacle.STARTING
    if view is not None and (
        view.state is not GroupState.OPEN
        or not board.directory.may_start_work(view.primary_id, board.now())
    ):
        return wait_until, Obstacle.CHANGE_OF_PRIMARY
    if view is not None and board.now() < board.authority.lease_expires_at:
        return wait_until, Obstacle.PRIMARY_UNREACHABLE
    early_limit = request.arrived_at + request.route.target_latency * LEASE_WAIT_SHARE
    return early_limit, Obstacle.NO_LEASE


async def choose_server(request: StatementRequest) -> Pool:
    """Return the pool of the lowest-cost server that a read has not tried yet.

    If all have been tried, they are tried again after a backoff. If the floor is
    unknown, the primary's pool is returned.

    Raises
    ------
    CommandFailed
        If there is no server by the retry deadline, or no primary in time; where there
        are workspaces, also if every queue takes too long.
    """
    board = request.board
    while True:
        plan = plan_read(request, rank_servers)
        if plan.floor is None:
            _, pool = await wait_for_primary(request)
            return pool
        if plan.pool is not None:
            if plan.excess > 0:
                workspace = request.session.workspace
                request.expected_wait = plan.pool.assign_return(workspace, plan.excess)
                raise reject(request, QUEUES_TOO_LONG, Obstacle.OVERLOAD)
            return plan.pool
        request.tried_ids.clear()
        if board.now() >= request.retry_deadline:
            raise reject(request, request.last_error, request.obstacle)
        await board.changed.wait(POLL_INTERVAL)


@dataclass(frozen=True, slots=True)
class ReadPlan:
    """Where a read goes now.

    Attributes
    ----------
    floor : Floor or None
        None if it is unknown; then the read has to go to the primary.
    pool : Pool or None
        Pool of the chosen server; None if no server is left to try.
    excess : float
        Seconds by which every queue takes longer than the read can wait; the read is
        rejected if that is above 0.
    """

    floor: Floor | None
    pool: Pool | None = None
    excess: float = 0.0


def plan_read(
    request: StatementRequest,
    rank: Callable[[ServingContext, Route, Floor], list[Upstream]],
) -> ReadPlan:
    """Return where a read goes now; changes nothing but what `rank` does.

    Parameters
    ----------
    rank : callable
        Returns the servers that may run the read, lowest cost first.
    """
    serving = request.serving
    floor = compute_floor(
        request.board, request.route, request.session.commits, request.arrived_at
    )
    if floor is None:
        return ReadPlan(None)
    ranked = rank(serving, request.route, floor)
    untried = [u for u in ranked if u.id not in request.tried_ids]
    if not untried:
        return ReadPlan(floor)
    if not serving.has_workspaces:
        return ReadPlan(floor, serving.pools.get(untried[0]))
    pools = [serving.pools.get(upstream) for upstream in untried]
    return ReadPlan(floor, *_find_short_queue(request, pools))


def _find_short_queue(
    request: StatementRequest, pools: list[Pool]
) -> tuple[Pool, float]:
    """Return the first pool with a short queue, else the shortest one.

    Also the seconds by which that takes longer than the statement can wait.
    """
    workspace, level = request.session.workspace, request.route.priority
    now = request.board.now()
    limit = find_read_wait_limit(request)
    waits = [(p.estimate_wait(request.order, workspace, level), p) for p in pools]
    # A server that has just failed has a short queue because it is avoided.
    usable = [w for w in waits if w[1].statistics.avoid_until <= now] or waits
    for wait, pool in usable:
        if wait <= limit:
            return pool, 0.0
    left = request.retry_deadline - now
    shortest, pool = min(usable, key=itemgetter(0))
    if shortest > left:
        shortest, pool = min(waits, key=itemgetter(0))
    return pool, max(0.0, shortest - left)


async def acquire_for_read(request: StatementRequest, pool: Pool) -> PooledConnection:
    """Return a connection for a read, which other servers can run as well.

    The wait for one server is short because it may be unreachable.

    Raises
    ------
    NoConnection
        If none becomes available in time.
    CommandFailed
        If the workspace is not configured any more.
    """
    return await _acquire(request, pool, find_read_wait_limit(request))


async def acquire_at_primary(request: StatementRequest, pool: Pool) -> PooledConnection:
    """Return a connection to the primary.

    Where there are workspaces, a statement may wait for so long that the primary is
    replaced meanwhile, so one wait is limited and another may follow.

    Raises
    ------
    NoConnection
        If none becomes available in time.
    CommandFailed
        If the workspace is not configured any more.
    """
    return await _acquire(request, pool, request.single_wait_limit)


def find_read_wait_limit(request: StatementRequest) -> float:
    """Return the seconds that a read waits for a connection to one server."""
    return request.route.target_latency * ACQUIRE_SHARE


def forecast_acquisition(
    request: StatementRequest, pool: Pool, limit: float
) -> Forecast:
    """Return what a statement would meet that acquires a connection; changes nothing.

    Parameters
    ----------
    limit : float
        Seconds of one wait, as for `acquire_for_read` and `acquire_at_primary`.

    Raises
    ------
    CommandFailed
        If the workspace is not configured any more.
    """
    workspace, level = request.session.workspace, request.route.priority
    if request.serving.has_workspaces:
        _check_workspace(request)
    longest = _find_longest_wait(request, limit)
    return pool.forecast(request.order, longest, workspace, level)


def _find_longest_wait(request: StatementRequest, limit: float) -> float:
    """Return the seconds that a statement can wait for a server in all."""
    left = request.retry_deadline - request.board.now()
    return left if request.serving.has_workspaces else min(limit, left)


async def _acquire(
    request: StatementRequest, pool: Pool, limit: float
) -> PooledConnection:
    workspace, level = request.session.workspace, request.route.priority
    left = _find_longest_wait(request, limit)
    if not request.serving.has_workspaces:
        return await pool.acquire(request.order, left, workspace)
    _check_workspace(request)
    expected = pool.estimate_wait(request.order, workspace, level)
    timeout = min(max(limit, expected * WAIT_MARGIN), left)
    return await pool.acquire(request.order, timeout, workspace, left, level)


def _check_workspace(request: StatementRequest) -> None:
    """Deny a statement whose workspace has been removed since it arrived."""
    workspace = request.session.workspace
    workspaces = request.board.catalog.catalog.workspaces
    if workspace and workspace not in workspaces.by_name:
        raise CommandFailed(FailureKind.DENIED, "the workspace is not configured")
