"""Single statements: where they go, when they are tried again, how they end."""

import asyncio
from dataclasses import dataclass, field

from burdocksail.board import Blackboard, GroupState, GroupView
from burdocksail.catalog import Route
from burdocksail.core import Commit, ExecutePrepared, LogPosition, Refusal, Run
from burdocksail.ports import Reply, Status, UpstreamLost
from burdocksail.serving._context import Serving, SessionValues
from burdocksail.serving._exchange import exchange
from burdocksail.serving._freshness import find_floor, note_position
from burdocksail.serving._pools import NoConnection, Pool
from burdocksail.serving._replies import Failure
from burdocksail.serving._routing import rank_servers

# Shares of the route's limits.
OFFER_SHARE = 0.6  # of the target latency, for tries before a refusal
WAIT_SHARE = 0.45  # of the statement timeout, to wait for a change of primary
ACQUIRE_SHARE = 0.2  # of the target latency, to wait for a connection of one server
FIRST_TRY_SHARE = 0.4  # of the statement timeout, for a read's first server
EVIDENCE_SHARE = 0.2  # of the target latency, to wait for evidence to return

BUSY_PAUSE = 0.015  # seconds; about the work of one short statement
# A full server takes whoever asks next, so who asks more often goes first.
PAUSE_FACTORS = (1, 1, 3, 5)  # by priority, the last for all lower ones
AVOID_BUSY = 0.04  # seconds
AVOID_BROKEN = 0.5  # seconds
AVOID_LAGGING = 0.15  # seconds; a usual replica catches up within this
MIN_TIMEOUT = 0.02  # seconds
RETRY_AFTER = 0.2  # seconds, told to callers whose request has not run


@dataclass(slots=True)
class Work:
    """One statement outside of a transaction, or the first of one."""

    serving: Serving
    route: Route
    values: SessionValues
    command: Run | ExecutePrepared | Commit
    arrived_at: float = 0.0
    tries: int = 0
    offered: bool = False
    last_problem: str = "no server is known"
    floor: LogPosition | None = None
    tried: set[str] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.arrived_at = self.serving.board.now()

    @property
    def board(self) -> Blackboard:
        """Return the blackboard."""
        return self.serving.board

    @property
    def deadline(self) -> float:
        """Return when the statement's own time ends."""
        return self.arrived_at + self.route.statement_timeout

    @property
    def offer_until(self) -> float:
        """Return up to when a server is looked for."""
        limit = self.route.target_latency * OFFER_SHARE
        return self.arrived_at + min(limit, self.route.statement_timeout * WAIT_SHARE)

    @property
    def time_left(self) -> float:
        """Return the seconds until the deadline."""
        return self.deadline - self.board.now()


async def run_read(work: Work, writes: bool = False) -> Reply:
    """Run a read at the best server that covers its floor."""
    while True:
        pool = await choose_server(work)
        reply = await _try_read(work, pool)
        if reply is not None:
            return reply
        await pause_before_retry(work)


async def run_write(work: Work, writes: bool = True) -> Reply:
    """Run a statement at the primary, under evidence that it is the primary."""
    while True:
        view, pool = await find_primary(work)
        reply = await _try_at_primary(work, view, pool, writes)
        if reply is not None:
            return reply
        await pause_before_retry(work)


async def find_primary(work: Work) -> tuple[GroupView, Pool]:
    """Wait until work may start at the primary.

    Raises
    ------
    Failure
        If that takes too long; the statement has not run.
    """
    board = work.board
    service = work.route.service
    patience = work.arrived_at + work.route.statement_timeout * WAIT_SHARE
    while True:
        now = board.now()
        view = board.authority.may_start(service, now)
        if view is not None:
            upstream = board.directory.upstreams.get(view.primary_id)
            if upstream is not None and service not in board.authority.unreachable:
                return view, work.serving.pools.get(upstream)
        limit, reason = _explain_wait(work, patience)
        if now >= limit:
            raise Failure(Refusal.BUSY, reason, retry_after=RETRY_AFTER)
        await board.changed.wait(min(limit - now, BUSY_PAUSE))


def _explain_wait(work: Work, patience: float) -> tuple[float, str]:
    """Return up to when to wait for the primary, and what is missing.

    Another instance may have evidence when this one has none, so the caller is
    sent there soon. A change of primary ends for all at the same time.
    """
    board = work.board
    view = board.authority.groups.get(work.route.service)
    if board.authority.last_grant is None:
        return patience, "this instance has just started"
    if view is not None and view.state is not GroupState.OPEN:
        return patience, "the primary is being replaced"
    if view is not None and board.now() < board.authority.evidence_until:
        return patience, "the primary does not answer"
    soon = work.arrived_at + work.route.target_latency * EVIDENCE_SHARE
    return soon, "this instance has no evidence of who is primary"


async def choose_server(work: Work) -> Pool:
    """Wait for a server that may run a read and has not been tried."""
    board = work.board
    while True:
        floor = find_floor(board, work.route, work.values.floors, work.arrived_at)
        if floor is None:
            _, pool = await find_primary(work)
            return pool
        ranked = rank_servers(
            board, work.serving.pools, work.route.service, floor.position
        )
        untried = [c for c in ranked if c.upstream.id not in work.tried]
        if untried:
            return work.serving.pools.get(untried[0].upstream)
        work.tried.clear()
        if board.now() >= work.offer_until:
            raise Failure(Refusal.BUSY, work.last_problem, retry_after=RETRY_AFTER)
        await board.changed.wait(BUSY_PAUSE)


async def _try_read(work: Work, pool: Pool) -> Reply | None:
    """Run a read at one server; None if another try should follow."""
    board = work.board
    work.tries += 1
    work.tried.add(pool.upstream.id)
    try:
        connection = await pool.acquire(work.route.priority, limit_wait(work))
    except NoConnection as error:
        note_missing_connection(work, pool, error)
        return None
    # The floor is found again: waiting may have made older samples unusable.
    floor = find_floor(board, work.route, work.values.floors, work.arrived_at)
    view = board.authority.may_start(work.route.service, board.now())
    is_primary = view is not None and view.primary_id == pool.upstream.id
    if floor is None and not is_primary:
        pool.release(connection)
        return None
    timeout = _limit_try(work)
    work.floor = None if floor is None else floor.position
    work.offered = True
    asked_at = board.now()
    try:
        reply = await exchange(
            board,
            pool,
            connection,
            work.values,
            work.command,
            timeout,
            work.floor,
        )
    except UpstreamLost as error:
        note_problem(work, pool, "server lost", str(error), AVOID_BROKEN)
        if work.time_left <= MIN_TIMEOUT:
            raise Failure(Refusal.TIMEOUT, "no answer in time") from error
        return None
    finally:
        pool.release(connection)
    if view is not None and is_primary:
        note_position(board, view, asked_at, reply.position)
    return _judge_read(work, pool, reply)


def limit_wait(work: Work) -> float:
    """Return how long a read waits for a connection of one server.

    The server may be dark, and others can run the read as well.
    """
    limit = work.route.target_latency * ACQUIRE_SHARE
    return min(limit, work.offer_until - work.board.now())


def note_missing_connection(work: Work, pool: Pool, error: NoConnection) -> None:
    """Avoid a server that does not answer for longer than one that is full."""
    if error.unreachable:
        work.board.authority.suspected.add(work.route.service)
    avoid = AVOID_BROKEN if error.unreachable else AVOID_BUSY
    note_problem(work, pool, "no connection", str(error), avoid)


def _limit_try(work: Work) -> float:
    """Return how long one server has for a read.

    An answer may be lost, so the first server does not get all the time.
    """
    share = FIRST_TRY_SHARE if work.tries == 1 else 1.0
    limit = work.route.statement_timeout * share
    return max(MIN_TIMEOUT, min(limit, work.time_left))


def _judge_read(work: Work, pool: Pool, reply: Reply) -> Reply | None:
    if reply.status is Status.DONE:
        work.serving.decisions.write(
            "read answered",
            work.command.request_id,
            upstream=pool.upstream.id,
            floor=describe_position(work.floor),
            tries=work.tries,
            took_ms=round((work.board.now() - work.arrived_at) * 1000, 1),
        )
        return reply
    if reply.status is Status.LAGGING:
        pool.statistics.lagging_until = work.board.now() + AVOID_LAGGING
    note_problem(work, pool, reply.status.value, reply.message, AVOID_BUSY)
    if reply.status is Status.MALFORMED:
        raise Failure(Refusal.MALFORMED, reply.message)
    if reply.status is Status.TIMEOUT or work.time_left <= MIN_TIMEOUT:
        raise Failure(Refusal.TIMEOUT, reply.message)
    if reply.status is Status.FAILED and work.tries > 1:
        raise Failure(Refusal.FAILED, reply.message)
    return None


async def _try_at_primary(
    work: Work, view: GroupView, pool: Pool, writes: bool
) -> Reply | None:
    """Run a statement at the primary; None if it has not run and may again."""
    board = work.board
    service = work.route.service
    work.tries += 1
    wait = min(work.offer_until, work.deadline) - board.now()
    try:
        connection = await pool.acquire(work.route.priority, wait)
    except NoConnection as error:
        note_missing_connection(work, pool, error)
        return None
    if board.authority.may_start(service, board.now()) != view:
        pool.release(connection)
        return None
    in_flight = board.authority.in_flight
    in_flight[service] = in_flight.get(service, 0) + 1
    work.offered = True
    asked_at = board.now()
    try:
        reply = await exchange(
            board,
            pool,
            connection,
            work.values,
            work.command,
            max(MIN_TIMEOUT, work.time_left),
        )
    except UpstreamLost as error:
        board.authority.suspected.add(service)
        note_problem(work, pool, "server lost", str(error), AVOID_BROKEN)
        if writes:
            raise Failure(Refusal.UNKNOWN_OUTCOME, "no answer to a write") from error
        if work.time_left <= MIN_TIMEOUT:
            raise Failure(Refusal.TIMEOUT, "no answer in time") from error
        return None
    finally:
        in_flight[service] -= 1
        pool.release(connection)
    note_position(board, view, asked_at, reply.position)
    return _judge_at_primary(work, view, pool, reply, writes)


def _judge_at_primary(
    work: Work, view: GroupView, pool: Pool, reply: Reply, writes: bool
) -> Reply | None:
    board = work.board
    if reply.status is Status.DONE:
        if writes:
            if not board.authority.may_finish(view, board.now()):
                raise Failure(
                    Refusal.UNKNOWN_OUTCOME, "the primary may have been replaced"
                )
            note_commit(work.values, view, reply)
        work.serving.decisions.write(
            "answered at the primary",
            work.command.request_id,
            upstream=pool.upstream.id,
            change=view.change,
            tries=work.tries,
            took_ms=round((board.now() - work.arrived_at) * 1000, 1),
        )
        return reply
    note_problem(work, pool, reply.status.value, reply.message, AVOID_BUSY)
    if reply.status is Status.MALFORMED:
        raise Failure(Refusal.MALFORMED, reply.message)
    if reply.status is Status.TIMEOUT:
        raise Failure(Refusal.TIMEOUT, reply.message)
    if reply.status is Status.FAILED and (writes or work.tries > 1):
        raise Failure(Refusal.FAILED, reply.message)
    return None


def note_commit(values: SessionValues, view: GroupView | None, reply: Reply) -> None:
    """Raise the session's floor to a commit of its own."""
    if view is not None and reply.position is not None:
        values.floors.note_commit(view.service_name, reply.position, view.change)


def note_problem(work: Work, pool: Pool, kind: str, detail: str, avoid: float) -> None:
    """Note why a try failed, and avoid the server for `avoid` seconds."""
    work.last_problem = f"{kind}: {detail}" if detail else kind
    statistics = pool.statistics
    until = work.board.now() + avoid
    statistics.avoid_until = max(statistics.avoid_until, until)
    work.board.metrics.count("tries_" + kind.replace(" ", "_"))
    work.serving.decisions.write(
        "try failed",
        work.command.request_id,
        upstream=pool.upstream.id,
        problem=work.last_problem,
        floor=describe_position(work.floor),
        tries=work.tries,
        age_ms=round((work.board.now() - work.arrived_at) * 1000, 1),
    )


def describe_position(position: LogPosition | None) -> str | None:
    """Return a position as the logs show it."""
    return None if position is None else f"{position.term}.{position.sequence}"


async def pause_before_retry(work: Work) -> None:
    """Wait a moment; refuse when the time to look for a server is over."""
    if work.board.now() >= work.offer_until:
        if work.offered and work.time_left <= MIN_TIMEOUT:
            raise Failure(Refusal.TIMEOUT, work.last_problem)
        raise Failure(Refusal.BUSY, work.last_problem, retry_after=RETRY_AFTER)
    if work.tries > 1:
        await asyncio.sleep(find_retry_pause(work.route.priority))


def find_retry_pause(priority: int) -> float:
    """Return the seconds between tries of a statement at full servers."""
    return BUSY_PAUSE * PAUSE_FACTORS[min(priority, len(PAUSE_FACTORS) - 1)]
