"""Single statements: attempts at servers, timeouts and outcomes."""

from burdocksail.board import GroupView
from burdocksail.core import FailureKind
from burdocksail.ports import Reply, ReplyStatus, UpstreamLost
from burdocksail.serving._choice import (
    acquire_at_primary,
    acquire_for_read,
    choose_server,
    wait_for_primary,
)
from burdocksail.serving._exchange import exchange
from burdocksail.serving._freshness import compute_floor, record_sample
from burdocksail.serving._pools import NoConnection, Pool
from burdocksail.serving._replies import CommandFailed
from burdocksail.serving._requests import (
    AVOID_BROKEN,
    AVOID_BUSY,
    MIN_TIMEOUT,
    StatementRequest,
    back_off,
    describe_floor,
    may_send,
    record_commit,
    record_connection_failure,
    record_coverage,
    record_failed_attempt,
    reject,
)
from burdocksail.serving._work import estimate_answer_time, find_kind
from burdocksail.traffic import Obstacle

TOO_LITTLE_TIME = "too little time left"
FIRST_ATTEMPT_SHARE = 0.4  # of the statement timeout, for the first attempt of a read


async def run_read(request: StatementRequest, writes: bool = False) -> Reply:
    """Run a read on the lowest-cost server, and retry on others if that fails.

    A server that has not applied the floor refuses the read. `writes` is not used;
    `run_at_primary` takes the same arguments.

    Raises
    ------
    CommandFailed
        If it is malformed, did not succeed in time, or was run and failed in an
        attempt after the first.
    """
    try:
        while True:
            await request.allowance.reserve()
            pool = await choose_server(request)
            reply = await _attempt_read(request, pool)
            if reply is not None:
                return reply
            await back_off(request)
    finally:
        request.allowance.release()


async def run_at_primary(request: StatementRequest, writes: bool = True) -> Reply:
    """Run a statement at the primary while this instance's lease is valid.

    Raises
    ------
    CommandFailed
        If it is malformed, was not run in time, failed, or has an unknown outcome.
    """
    try:
        while True:
            await request.allowance.reserve()
            view, pool = await wait_for_primary(request)
            reply = await _attempt_at_primary(request, view, pool, writes)
            if reply is not None:
                return reply
            await back_off(request)
    finally:
        request.allowance.release()


async def _attempt_read(request: StatementRequest, pool: Pool) -> Reply | None:
    """Run a read on one server; return None if another attempt should follow."""
    board = request.board
    request.attempts += 1
    request.tried_ids.add(pool.upstream.id)
    try:
        connection = await acquire_for_read(request, pool)
    except NoConnection as error:
        record_connection_failure(request, pool, error)
        return None
    # Compute the floor again: samples may have become unusable while waiting for the
    # connection.
    floor = compute_floor(
        board, request.route, request.session.commits, request.arrived_at
    )
    view = board.get_view_for_new_work(request.route.service)
    is_primary = view is not None and view.primary_id == pool.upstream.id
    if (floor is None and not is_primary) or not may_send(request):
        pool.release(connection)
        return None
    timeout = _compute_read_timeout(request)
    request.floor = floor
    request.was_sent = True
    request.sent_at = asked_at = board.now()
    try:
        reply = await exchange(
            request.serving,
            request.route,
            pool,
            connection,
            request.session,
            request.command,
            timeout,
            None if floor is None else floor.position,
        )
    except UpstreamLost as error:
        request.allowance.use_up()
        record_failed_attempt(request, pool, "server lost", str(error), AVOID_BROKEN)
        if request.time_left <= MIN_TIMEOUT:
            raise CommandFailed(FailureKind.TIMEOUT, "no answer in time") from error
        return None
    finally:
        pool.release(connection)
    if view is not None and is_primary:
        record_sample(board, view, asked_at, reply.position)
    elif floor is not None:
        record_coverage(request.serving, pool, floor, reply.status)
    return _handle_read_reply(request, pool, reply)


def _compute_read_timeout(request: StatementRequest) -> float:
    """Return the timeout of one attempt of a read, in seconds.

    An answer may be lost, so the first attempt leaves time for another.
    """
    share = FIRST_ATTEMPT_SHARE if request.attempts == 1 else 1.0
    limit = request.route.statement_timeout * share
    return max(MIN_TIMEOUT, min(limit, request.time_left))


def _handle_read_reply(
    request: StatementRequest, pool: Pool, reply: Reply
) -> Reply | None:
    if reply.status is ReplyStatus.DONE:
        request.record_run_time()
        request.serving.decisions.write(
            "read answered",
            request.command.request_id,
            upstream=pool.upstream.id,
            floor=describe_floor(request.floor),
            tries=request.attempts,
            took_ms=round((request.board.now() - request.arrived_at) * 1000, 1),
        )
        return reply
    _record_refusal(request, pool, reply)
    if reply.status is ReplyStatus.MALFORMED:
        raise CommandFailed(FailureKind.MALFORMED, reply.message)
    if reply.status is ReplyStatus.TIMEOUT or request.time_left <= MIN_TIMEOUT:
        raise CommandFailed(FailureKind.TIMEOUT, reply.message)
    if reply.status is ReplyStatus.FAILED and request.attempts > 1:
        raise CommandFailed(FailureKind.FAILED, reply.message)
    return None


def _record_refusal(request: StatementRequest, pool: Pool, reply: Reply) -> None:
    """Record that a server answered an attempt without success."""
    if reply.may_have_run:
        request.allowance.use_up()
    record_failed_attempt(request, pool, reply.status.value, reply.message, AVOID_BUSY)


async def _attempt_at_primary(
    request: StatementRequest, view: GroupView, pool: Pool, writes: bool
) -> Reply | None:
    """Run a statement at the primary; return None if it may be attempted again.

    A write may be attempted again only if it has not run.
    """
    board = request.board
    service = request.route.service
    request.attempts += 1
    try:
        connection = await acquire_at_primary(request, pool)
    except NoConnection as error:
        record_connection_failure(request, pool, error)
        return None
    if board.get_view_for_new_work(service) != view or not may_send(request):
        pool.release(connection)
        return None
    expected = estimate_answer(request, pool)
    if expected > request.time_left:
        # Sent now, it would most likely time out, and a write with unknown outcome.
        pool.release(connection)
        request.expected_wait = expected
        raise reject(request, TOO_LITTLE_TIME, Obstacle.OVERLOAD)
    in_flight = board.authority.in_flight
    in_flight[service] = in_flight.get(service, 0) + 1
    request.was_sent = True
    request.sent_at = asked_at = board.now()
    try:
        reply = await exchange(
            request.serving,
            request.route,
            pool,
            connection,
            request.session,
            request.command,
            max(MIN_TIMEOUT, request.time_left),
        )
    except UpstreamLost as error:
        request.allowance.use_up()
        board.authority.suspected.add(service)
        record_failed_attempt(request, pool, "server lost", str(error), AVOID_BROKEN)
        if writes:
            raise CommandFailed(
                FailureKind.UNKNOWN_OUTCOME, "no answer to a write"
            ) from error
        if request.time_left <= MIN_TIMEOUT:
            raise CommandFailed(FailureKind.TIMEOUT, "no answer in time") from error
        return None
    finally:
        in_flight[service] -= 1
        pool.release(connection)
    record_sample(board, view, asked_at, reply.position)
    return _handle_primary_reply(request, view, pool, reply, writes)


def estimate_answer(request: StatementRequest, pool: Pool) -> float:
    """Return the expected seconds until the primary answers a statement sent now.

    It is not sent if it times out before.
    """
    kind = find_kind(request.route, request.session, request.command)
    return estimate_answer_time(request.serving, request.route.service, kind, pool)


def _handle_primary_reply(
    request: StatementRequest, view: GroupView, pool: Pool, reply: Reply, writes: bool
) -> Reply | None:
    board = request.board
    if reply.status is ReplyStatus.DONE:
        if writes:
            if not board.authority.is_result_valid(view, board.now()):
                raise CommandFailed(
                    FailureKind.UNKNOWN_OUTCOME, "the primary may have been replaced"
                )
            record_commit(request.session, view, reply, board.now())
        request.record_run_time()
        request.serving.decisions.write(
            "answered at the primary",
            request.command.request_id,
            upstream=pool.upstream.id,
            change=view.change,
            tries=request.attempts,
            took_ms=round((board.now() - request.arrived_at) * 1000, 1),
        )
        return reply
    _record_refusal(request, pool, reply)
    if reply.status is ReplyStatus.MALFORMED:
        raise CommandFailed(FailureKind.MALFORMED, reply.message)
    if reply.status is ReplyStatus.TIMEOUT:
        raise CommandFailed(FailureKind.TIMEOUT, reply.message)
    if reply.status is ReplyStatus.FAILED and (writes or request.attempts > 1):
        raise CommandFailed(FailureKind.FAILED, reply.message)
    return None
