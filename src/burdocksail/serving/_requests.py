"""A statement on its way: its time limits, its failed attempts and its rejection."""

import asyncio
from dataclasses import dataclass, field

from burdocksail.board import Blackboard, GroupView
from burdocksail.catalog import Route
from burdocksail.core import Commit, ExecutePrepared, FailureKind, Run
from burdocksail.ports import Reply, ReplyStatus
from burdocksail.serving._allowances import OperationAllowance
from burdocksail.serving._context import ServingContext, SessionState
from burdocksail.serving._freshness import Floor
from burdocksail.serving._pools import NoConnection, Pool
from burdocksail.serving._replies import CommandFailed
from burdocksail.traffic import Obstacle, compute_backoff, compute_order

RETRY_SHARE = 0.6  # of the target latency, for new attempts before a rejection
# Of the statement timeout, to wait for a change of primary; also limits retries.
PRIMARY_WAIT_SHARE = 0.45
# Minimum timeout of an attempt. With less time left, there is no retry.
MIN_TIMEOUT = 0.02  # seconds
# Seconds for which routing avoids a server after a failed attempt.
AVOID_BUSY = 0.04
AVOID_BROKEN = 0.5
# Obstacles that another instance meets as well.
STALLS = frozenset(
    {Obstacle.OVERLOAD, Obstacle.UNREACHABLE, Obstacle.PRIMARY_UNREACHABLE}
)


@dataclass(slots=True)
class StatementRequest:
    """A statement and its attempts so far.

    It stands outside of a transaction, or it is the first statement or the COMMIT that
    makes BEGIN due; in that case the attempts are those to send BEGIN.

    Attributes
    ----------
    arrived_at : float
        Clock reading at which the statement arrived.
    attempts : int
        Number of attempts so far.
    was_sent : bool
        Whether an attempt has been sent to a server; not set for BEGIN.
    sent_at : float
        Clock reading at which the last attempt was sent.
    last_error : str
        Why the last attempt failed.
    obstacle : Obstacle
        What the last attempt failed at.
    expected_wait : float
        Estimated seconds until that is gone, 0 if unknown.
    floor : Floor or None
        Floor of the last attempt of a read outside of a transaction; None if the
        primary ran it because the floor was unknown.
    allowance : OperationAllowance
        Token of the operation under its workspace's quota.
    tried_ids : set of str
        Upstreams that a read has tried since it last ran out of servers.
    """

    serving: ServingContext
    route: Route
    session: SessionState
    command: Run | ExecutePrepared | Commit
    arrived_at: float = 0.0
    attempts: int = 0
    was_sent: bool = False
    sent_at: float = 0.0
    last_error: str = "no server is known"
    obstacle: Obstacle = Obstacle.UNREACHABLE
    expected_wait: float = 0.0
    floor: Floor | None = None
    tried_ids: set[str] = field(default_factory=set)
    allowance: OperationAllowance = field(init=False)

    def __post_init__(self) -> None:
        serving = self.serving
        self.arrived_at = serving.board.now()
        self.allowance = OperationAllowance(
            serving.allowances,
            serving.board,
            self.session.workspace,
            self.route.priority,
        )
        self.serving.retry_budget.record_request()

    def record_run_time(self) -> None:
        """Record how long the server took to answer the last attempt."""
        seconds = self.board.now() - self.sent_at
        self.serving.get_run_time(self.route).record(seconds)

    @property
    def order(self) -> float:
        """Return the place of the statement among those that wait."""
        return compute_order(
            self.arrived_at, self.route.target_latency, self.route.priority
        )

    @property
    def board(self) -> Blackboard:
        """Return the blackboard of this instance."""
        return self.serving.board

    @property
    def deadline(self) -> float:
        """Return the clock reading at which the statement times out."""
        return min(
            self.arrived_at + self.route.statement_timeout,
            self.board.stop.requests_end_at,
        )

    @property
    def retry_deadline(self) -> float:
        """Return the clock reading after which a failed attempt is not retried.

        Where there are workspaces, the latest time at which the statement can be sent
        and is usually answered before its deadline.
        """
        if self.serving.has_workspaces:
            return self._latest_start
        return min(self.arrived_at + self.single_wait_limit, self.deadline)

    @property
    def single_wait_limit(self) -> float:
        """Return the seconds after which the primary of the wait is checked again."""
        limit = self.route.target_latency * RETRY_SHARE
        return min(limit, self.route.statement_timeout * PRIMARY_WAIT_SHARE)

    @property
    def begin_deadline(self) -> float:
        """Return the clock reading until which a server may answer BEGIN.

        Where there are workspaces, `retry_deadline` leaves the time for the answer.
        """
        return self.deadline if self.serving.has_workspaces else self.retry_deadline

    @property
    def primary_deadline(self) -> float:
        """Return the clock reading until which the statement waits for a primary."""
        if self.serving.has_workspaces:
            return self._latest_start
        limit = self.route.statement_timeout * PRIMARY_WAIT_SHARE
        return min(self.arrived_at + limit, self.deadline)

    @property
    def _latest_start(self) -> float:
        timeout = self.route.statement_timeout
        limit = self.serving.get_run_time(self.route).compute_wait_limit(timeout)
        return min(self.arrived_at + limit, self.deadline)

    @property
    def time_left(self) -> float:
        """Return the seconds until the deadline."""
        return self.deadline - self.board.now()


def reject(request: StatementRequest, reason: str, obstacle: Obstacle) -> CommandFailed:
    """Return the failure of a statement without lasting effect, and when to return."""
    expected = request.expected_wait
    if not expected and obstacle in STALLS and request.serving.has_workspaces:
        # Without an estimate, what has lasted so long should last as long again.
        expected = request.board.now() - request.arrived_at
    retry_after = request.serving.compute_retry_after(obstacle, request.route, expected)
    return CommandFailed(FailureKind.BUSY, reason, retry_after)


def may_send(request: StatementRequest) -> bool:
    """Return whether a token is left for the attempt; record why it fails if not."""
    if request.allowance.spend():
        return True
    request.last_error = "the rate of the workspace is used up"
    request.obstacle, request.expected_wait = Obstacle.OVERLOAD, 0.0
    return False


def record_connection_failure(
    request: StatementRequest, pool: Pool, error: NoConnection
) -> None:
    """Record that no connection to a server was available.

    A server that does not answer is avoided for longer than one that is full.

    Raises
    ------
    CommandFailed
        If there are workspaces, and the queue takes longer than the statement can
        wait at any server.
    """
    avoid_for = AVOID_BROKEN if error.unreachable else AVOID_BUSY
    record_failed_attempt(request, pool, "no connection", str(error), avoid_for)
    request.expected_wait = error.expected_wait
    if request.serving.has_workspaces and error.expected_wait > 0:
        raise reject(request, request.last_error, request.obstacle)
    if error.unreachable:
        request.obstacle = Obstacle.UNREACHABLE
        request.board.authority.suspected.add(request.route.service)


def record_failed_attempt(
    request: StatementRequest, pool: Pool, kind: str, detail: str, avoid_for: float
) -> None:
    """Record why an attempt failed, and avoid the server for `avoid_for` seconds."""
    request.last_error = f"{kind}: {detail}" if detail else kind
    request.obstacle, request.expected_wait = Obstacle.OVERLOAD, 0.0
    statistics = pool.statistics
    until = request.board.now() + avoid_for
    statistics.avoid_until = max(statistics.avoid_until, until)
    request.board.metrics.count("tries_" + kind.replace(" ", "_"))
    request.serving.decisions.write(
        "try failed",
        request.command.request_id,
        upstream=pool.upstream.id,
        problem=request.last_error,
        floor=describe_floor(request.floor),
        tries=request.attempts,
        age_ms=round((request.board.now() - request.arrived_at) * 1000, 1),
    )


def describe_floor(floor: Floor | None) -> str | None:
    """Return the position of a floor as written in logs, ``term.sequence``."""
    if floor is None or floor.position is None:
        return None
    return f"{floor.position.term}.{floor.position.sequence}"


def record_coverage(
    serving: ServingContext, pool: Pool, floor: Floor, status: ReplyStatus
) -> None:
    """Record whether a replica covered the floor of a read or transaction."""
    now = serving.board.now()
    lag = pool.statistics.lag
    if status is ReplyStatus.LAGGING:
        lag.record_refusal(floor.compute_age(now), now, serving.random)
    elif status is ReplyStatus.DONE:
        lag.record_answer(floor.compute_age(now))


def record_commit(
    session: SessionState, view: GroupView | None, reply: Reply, now: float
) -> None:
    """Record the position of the session's commit, for floors of its later reads."""
    if view is not None and reply.position is not None:
        session.commits.record_commit(
            view.service_name, reply.position, view.change, now
        )


async def back_off(request: StatementRequest) -> None:
    """Wait before the next attempt; the second one follows without a delay.

    Raises
    ------
    CommandFailed
        If the next attempt would start after the retry deadline.
    """
    serving = request.serving
    backoff = compute_backoff(
        request.attempts,
        request.route.priority,
        serving.retry_budget.spend(),
        serving.random,
    )
    if request.board.now() + backoff >= request.retry_deadline:
        if request.was_sent and request.time_left <= MIN_TIMEOUT:
            raise CommandFailed(FailureKind.TIMEOUT, request.last_error)
        raise reject(request, request.last_error, request.obstacle)
    if backoff:
        await asyncio.sleep(backoff)
