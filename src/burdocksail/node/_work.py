"""Requests at the leader of their group: placement, dispatch and results.

After a lost result only reads, requests with a request key and requests marked
as repeatable are retried, within a retry budget; no other request is run again
once it may have run.
"""

import heapq
from dataclasses import dataclass, replace
from datetime import timedelta

from burdocksail.core import (
    Answer,
    AnswerError,
    Freshness,
    Instance,
    Outcome,
    Request,
    StatementKind,
    WorkClass,
    fingerprint_statement,
    seconds,
)
from burdocksail.node import (
    _admission,
    _connections,
    _outcomes,
    _routing,
    _transactions,
)
from burdocksail.node._board import Blackboard
from burdocksail.node._events import (
    OperationFinished,
    UpstreamClosed,
    UpstreamConnected,
)
from burdocksail.node._groups import (
    ConnectionUse,
    GroupRuntime,
    Hold,
    Phase,
    RunningOperation,
    ServerState,
    Work,
    WorkState,
)
from burdocksail.node._upstream import OperationResult, OperationStatus
from burdocksail.records import Group

MAX_ATTEMPTS = 4
# The expected wait is an average: work admitted without a margin could expire
# after it has taken a slot.
WAIT_SAFETY_FACTOR = 1.25
# As long as the longest deadline that a record or a caller may set.
STUCK_OPERATION_TIMEOUT = seconds(3600)
RETRY_TOKENS_PER_REQUEST = 0.1
MAX_RETRY_TOKENS = 20.0
# MySQL error codes by which a server reports that it temporarily cannot run a
# statement and did not run this one: too many connections, shutdown in progress,
# read-only, super read-only.
TRANSIENT_ERROR_CODES = frozenset({1040, 1053, 1290, 1836})


def accept_request(
    board: Blackboard, request: Request, origin: Instance | None
) -> None:
    """Accept a request of a group that this instance leads."""
    if request.request_id in board.work.work_by_request_id:
        # The request was sent again over a new connection, so the answer of
        # the running one is sent there.
        board.work.work_by_request_id[request.request_id].origin = origin
        return
    runtime = board.work.runtimes[request.group]
    work = make_work(board, request, origin)
    board.work.work_by_request_id[request.request_id] = work
    heapq.heappush(board.work.deadlines, (work.deadline, request.request_id))
    tokens = board.work.retry_tokens + RETRY_TOKENS_PER_REQUEST
    board.work.retry_tokens = min(MAX_RETRY_TOKENS, tokens)
    runtime.last_request_at = board.now
    if request.freshness is Freshness.STATED_AGE:
        runtime.last_stated_age_read_at = board.now
    place_work(board, runtime, work)


def make_work(board: Blackboard, request: Request, origin: Instance | None) -> Work:
    """Return the work of a request that arrives now; changes nothing."""
    service = board.configuration.services.get(request.service_name)
    fingerprint = fingerprint_statement(request.sql)
    work_class = request.work_class or _admission.classify_work(
        board, request.sql, service, fingerprint
    )
    return Work(
        request=request,
        origin=origin,
        arrived_at=board.now,
        deadline=board.now + request.time_left,
        work_class=work_class,
        fingerprint=fingerprint,
    )


@dataclass(frozen=True, slots=True)
class Placement:
    """Where work outside of a transaction goes now.

    Attributes
    ----------
    server : ServerState or None
        Server whose queue it joins; None if it is parked or refused.
    reason : str
        Why it is parked or refused.
    error : AnswerError
        With which it is refused; ``NONE`` if it is not.
    wait_seconds : float
        Expected wait in the queue.
    """

    server: ServerState | None = None
    reason: str = ""
    error: AnswerError = AnswerError.NONE
    wait_seconds: float = 0.0


def plan_work(board: Blackboard, runtime: GroupRuntime, work: Work) -> Placement:
    """Return where work outside of a transaction goes now; changes nothing."""
    group = board.configuration.groups[runtime.group]
    request = work.request
    if runtime.phase is not Phase.OPEN:
        return Placement(reason="the group is not open")
    if _is_held(runtime, work):
        return Placement(reason="new work waits for a handover or change of primary")
    if _routing.is_lost_write(runtime, request.floor):
        message = f"the write at {request.floor} was lost in a change of primary"
        return Placement(reason=message, error=AnswerError.LOST_WRITE)
    state = _choose_server(board, runtime, work, group)
    if state is None:
        return Placement(reason="no server can take it")
    wait_s = _admission.estimate_fair_wait_seconds(board, state, work, group.slots)
    run_s = _admission.estimate_run_seconds(state, work.work_class)
    left_s = (work.deadline - board.now).total_seconds()
    # After a wait, twice the expected run time has to be left.
    too_late = wait_s > 0 and wait_s * WAIT_SAFETY_FACTOR + run_s * 2 > left_s
    if too_late or _admission.is_queue_full(state, work):
        message = f"expected wait of {wait_s:.3f} s is too long"
        return Placement(None, message, AnswerError.OVERLOADED, wait_s)
    return Placement(state, wait_seconds=wait_s)


def place_work(board: Blackboard, runtime: GroupRuntime, work: Work) -> None:
    """Queue work at a server, park it, or answer it with an error."""
    if work.request.in_transaction:
        _transactions.run_in_transaction(board, runtime, work)
        return
    placement = plan_work(board, runtime, work)
    if placement.error is not AnswerError.NONE:
        if placement.error is AnswerError.OVERLOADED:
            board.metrics.count("refused_overloaded")
        _outcomes.fail_work(board, work, placement.error, placement.reason)
        return
    if placement.server is None:
        _park(runtime, work)
        return
    _admission.enqueue_work(board, placement.server, work)
    dispatch_queued_work(board, runtime, placement.server)


def dispatch_queued_work(
    board: Blackboard, runtime: GroupRuntime, state: ServerState
) -> None:
    """Start queued work on a server while slots and connections are free."""
    group = board.configuration.groups.get(runtime.group)
    if group is None or not state.reachable:
        return
    if runtime.phase is not Phase.OPEN:
        return  # A connection can become ready after the group left this phase.
    _connections.ensure_connections(board, runtime, state, group)
    while state.idle:
        work = _admission.take_next_work(board, runtime, state, group)
        if work is None:
            return
        run_s = _admission.estimate_run_seconds(state, work.work_class)
        if (work.deadline - board.now).total_seconds() < run_s:
            _outcomes.fail_work(
                board, work, AnswerError.DEADLINE, "the deadline has passed"
            )
            continue
        connection = _connections.take_idle_connection(board, state, ConnectionUse.BUSY)
        assert connection is not None
        _outcomes.start_operation(board, runtime, state, work, connection.connection_id)


def handle_operation_finished(board: Blackboard, event: OperationFinished) -> None:
    """Process the result of an operation."""
    operation = board.work.operations.pop(event.operation_id, None)
    if operation is None:
        return
    runtime = board.work.runtimes.get(operation.group)
    if runtime is None:
        return
    state = runtime.servers[operation.server]
    _admission.remove_running(state, operation.operation_id)
    broken = event.result.status in (OperationStatus.LOST, OperationStatus.NOT_SENT)
    if broken:
        _connections.remove_connection(board, state, operation.connection_id)
        state.connect_retry_at = board.now + _connections.CONNECT_RETRY_DELAY
        state.inspected_at = None
    _return_connection(board, runtime, state, operation, event.result)
    work = operation.work
    if work is not None:
        work.operations.discard(operation.operation_id)
        if event.result.status is OperationStatus.DONE:
            duration = board.now - operation.started_at
            _admission.update_duration_estimates(board, state, work, duration)
            board.metrics.record_duration("upstream", duration)
        if work.state is WorkState.RUNNING:
            _handle_result(board, runtime, state, operation, event.result)
    dispatch_queued_work(board, runtime, state)


def handle_upstream_connected(board: Blackboard, event: UpstreamConnected) -> None:
    """Make a new connection available."""
    connection = board.work.connections.get(event.connection_id)
    if connection is None:
        return
    runtime = board.work.runtimes[connection.group]
    state = runtime.servers[connection.server]
    _connections.release_connection(board, state, connection)
    dispatch_queued_work(board, runtime, state)


def handle_upstream_closed(board: Blackboard, event: UpstreamClosed) -> None:
    """Remove a connection that failed to open or broke between operations."""
    connection = board.work.connections.get(event.connection_id)
    if connection is None:
        return
    runtime = board.work.runtimes[connection.group]
    state = runtime.servers[connection.server]
    _connections.remove_connection(board, state, event.connection_id)
    state.connect_retry_at = board.now + _connections.CONNECT_RETRY_DELAY
    state.inspected_at = None
    if connection.use is ConnectionUse.TRANSACTION:
        _transactions.remove_by_connection(runtime, event.connection_id)


def end_all_work(board: Blackboard, runtime: GroupRuntime) -> None:
    """End all work of a group that this instance no longer leads.

    Work that may have run is answered as unknown; the rest is returned to the
    instances where it entered.
    """
    group_work = [
        w
        for w in board.work.work_by_request_id.values()
        if w.request.group == runtime.group
    ]
    for work in group_work:
        if work.sent:
            _outcomes.fail_work(
                board, work, AnswerError.UPSTREAM_LOST, "the leader changed"
            )
        else:
            work.state = WorkState.FINISHED
            board.work.work_by_request_id.pop(work.request.request_id, None)
            _outcomes.return_request(board, work.request, work.origin)
    for operation in list(board.work.operations.values()):
        if operation.group == runtime.group:
            del board.work.operations[operation.operation_id]


def expire_work(board: Blackboard) -> None:
    """Answer requests whose deadline has passed."""
    deadlines = board.work.deadlines
    while deadlines and deadlines[0][0] <= board.now:
        _, request_id = heapq.heappop(deadlines)
        work = board.work.work_by_request_id.get(request_id)
        if work is None or work.deadline > board.now:
            continue
        runtime = board.work.runtimes.get(work.request.group)
        error = AnswerError.DEADLINE
        if runtime is not None and runtime.phase is not Phase.OPEN:
            error = AnswerError.NO_PRIMARY
        _outcomes.fail_work(board, work, error, "the deadline has passed")


def release_waiting_work(board: Blackboard, runtime: GroupRuntime) -> None:
    """Send waiting answers and place parked work as far as server states allow."""
    _outcomes.release_waiting_answers(board, runtime)
    if runtime.parked:
        place_parked_work(board, runtime)


def resolve_writes_after_promotion(board: Blackboard, runtime: GroupRuntime) -> None:
    """Resolve writes of an earlier primary that still wait for a replica.

    Those that the new primary holds are acknowledged. The others are lost:
    they are retried if a request key or the mark as repeatable makes that safe,
    and otherwise answered as unknown.
    """
    waiting, runtime.awaiting_replica = runtime.awaiting_replica, []
    for work in waiting:
        if work.state is not WorkState.AWAITING_REPLICA or work.answer is None:
            continue
        assert work.position is not None
        if runtime.opening_vector.covers(work.position):
            _outcomes.answer_work(board, runtime, work, work.answer)
        else:
            board.metrics.count("writes_lost_unacknowledged")
            _retry_or_give_up(board, runtime, work, "the write was lost")
    place_parked_work(board, runtime)


def place_parked_work(board: Blackboard, runtime: GroupRuntime) -> None:
    """Try again to place work that waits for a server."""
    parked, runtime.parked = runtime.parked, []
    for work in parked:
        if work.state is WorkState.PARKED:
            place_work(board, runtime, work)


def requeue_work(board: Blackboard, runtime: GroupRuntime, state: ServerState) -> None:
    """Place the queued work of an unavailable server again."""
    for work in _admission.remove_all_work(state):
        work.state = WorkState.PARKED
        place_work(board, runtime, work)


def close_server_connections(
    board: Blackboard, runtime: GroupRuntime, state: ServerState
) -> None:
    """Close all connections to a server and place its queued work again.

    The operations that ran on them are handled as lost. Called for a lost server,
    and for a primary that is replaced or has to be determined again.
    """
    running = [
        operation
        for operation in board.work.operations.values()
        if operation.group == runtime.group and operation.server == state.name
    ]
    for connection in list(state.connections.values()):
        _connections.close_connection(board, state, connection)
        _transactions.remove_by_connection(runtime, connection.connection_id)
    lost = OperationResult(OperationStatus.LOST, message="the server was lost")
    for operation in running:
        handle_operation_finished(
            board, OperationFinished(operation.operation_id, lost)
        )
    requeue_work(board, runtime, state)


def close_stuck_connections(board: Blackboard, runtime: GroupRuntime) -> None:
    """Close connections whose operation exceeds `STUCK_OPERATION_TIMEOUT`."""
    for operation in list(board.work.operations.values()):
        if operation.group != runtime.group:
            continue
        if board.now - operation.started_at < STUCK_OPERATION_TIMEOUT:
            continue
        state = runtime.servers[operation.server]
        connection = state.connections.get(operation.connection_id)
        if connection is not None:
            _connections.close_connection(board, state, connection)
        board.metrics.count("operations_stuck")
        lost = OperationResult(OperationStatus.LOST, message="no answer")
        handle_operation_finished(
            board, OperationFinished(operation.operation_id, lost)
        )


def hedge_slow_reads(board: Blackboard, runtime: GroupRuntime) -> None:
    """Run slow reads on a second replica as well, within the hedge budget."""
    group = board.configuration.groups.get(runtime.group)
    if group is None or runtime.hold is not Hold.NONE:
        return
    for operation in list(board.work.operations.values()):
        work = operation.work
        if work is None or operation.group != runtime.group:
            continue
        if _needs_hedge(board, runtime, operation, work):
            _hedge(board, runtime, work, group)


def _needs_hedge(
    board: Blackboard, runtime: GroupRuntime, operation: RunningOperation, work: Work
) -> bool:
    if work.request.kind is not StatementKind.READ or work.request.in_transaction:
        return False
    if len(work.operations) != 1 or work.request.freshness is Freshness.PRIMARY:
        return False
    if work.work_class is WorkClass.LONG or board.work.hedge_tokens < 1:
        return False
    state = runtime.servers[operation.server]
    # 4 times the mean duration of short statements, but at least 20 ms.
    hedge_after = seconds(max(0.02, 4 * state.short_seconds))
    return board.now - operation.started_at >= hedge_after


def _hedge(board: Blackboard, runtime: GroupRuntime, work: Work, group: Group) -> None:
    for state in runtime.servers.values():
        if state.name == work.server or not state.idle:
            continue
        if len(state.running) >= group.slots:
            continue
        if not _routing.may_serve_read(board, runtime, state, work.request, group):
            continue
        connection = _connections.take_idle_connection(board, state, ConnectionUse.BUSY)
        assert connection is not None
        board.work.hedge_tokens -= 1
        board.metrics.count("hedges")
        _outcomes.start_operation(board, runtime, state, work, connection.connection_id)
        return


def _choose_server(
    board: Blackboard, runtime: GroupRuntime, work: Work, group: Group
) -> ServerState | None:
    if work.request.kind is StatementKind.READ:
        return _routing.choose_read_server(board, runtime, work, group)
    primary = _routing.find_primary(runtime)
    if primary is None or not primary.reachable:
        return None
    is_begin = work.request.kind is StatementKind.BEGIN
    limit = _connections.max_open_transactions(group)
    if is_begin and len(runtime.transactions) >= limit:
        return None
    return primary


def _is_held(runtime: GroupRuntime, work: Work) -> bool:
    if runtime.hold is Hold.NONE:
        return False
    starts_long = (
        work.request.kind is StatementKind.BEGIN or work.work_class is WorkClass.LONG
    )
    return runtime.hold is Hold.ALL or starts_long


def _park(runtime: GroupRuntime, work: Work) -> None:
    work.state = WorkState.PARKED
    runtime.parked.append(work)


def _return_connection(
    board: Blackboard,
    runtime: GroupRuntime,
    state: ServerState,
    operation: RunningOperation,
    result: OperationResult,
) -> None:
    """Release a connection unless a transaction keeps it or it has to close."""
    connection = state.connections.get(operation.connection_id)
    if connection is None:
        _transactions.remove_by_connection(runtime, operation.connection_id)
        return
    if _transactions.keeps_connection(runtime, operation, result):
        connection.use = ConnectionUse.TRANSACTION
    elif _transactions.leaves_transaction_open(operation):
        # Its transaction is no longer tracked, so nothing else would end it.
        _connections.close_connection(board, state, connection)
    else:
        _connections.release_connection(board, state, connection)
    _transactions.update_transaction(board, runtime, operation, result)


def _handle_result(
    board: Blackboard,
    runtime: GroupRuntime,
    state: ServerState,
    operation: RunningOperation,
    result: OperationResult,
) -> None:
    """Answer, retry or end the request of a finished operation."""
    work = operation.work
    assert work is not None
    if work.operations and result.status is not OperationStatus.DONE:
        return
    if work.request.in_transaction or work.request.kind is StatementKind.BEGIN:
        _transactions.handle_result(board, runtime, state, operation, result)
        return
    _RESULT_HANDLERS[result.status](board, runtime, state, operation, work, result)


def _handle_done(
    board: Blackboard,
    runtime: GroupRuntime,
    state: ServerState,
    operation: RunningOperation,
    work: Work,
    result: OperationResult,
) -> None:
    if work.request.kind is StatementKind.READ:
        _answer_read(board, runtime, state, operation, work, result)
        return
    answered = _outcomes.answer_write(board, runtime, state, operation, work, result)
    if not answered:
        _handle_lost(board, runtime, state, operation, work, result)


def _answer_read(
    board: Blackboard,
    runtime: GroupRuntime,
    state: ServerState,
    operation: RunningOperation,
    work: Work,
    result: OperationResult,
) -> None:
    request = work.request
    age = None
    if request.freshness is Freshness.STATED_AGE:
        # The rows are at least as new as what the server was known to have
        # applied when the read began; they age until the answer is sent.
        age = _routing.measure_age(
            board, runtime, state.name, operation.vector_at_start
        )
        if age is None or age > (request.max_age or timedelta()):
            board.metrics.count("reads_too_old")
            work.request = replace(request, freshness=Freshness.PRIMARY)
            work.state = WorkState.PARKED
            place_work(board, runtime, work)
            return
    if state.name != runtime.primary:
        board.metrics.count("reads_by_replica")
    else:
        board.metrics.count("reads_by_primary")
    answer = Answer(Outcome.ANSWERED, result.result, server=state.name, age=age)
    _outcomes.answer_work(board, runtime, work, answer)


def _handle_refused(
    board: Blackboard,
    runtime: GroupRuntime,
    state: ServerState,
    operation: RunningOperation,
    work: Work,
    result: OperationResult,
) -> None:
    if result.error_code in TRANSIENT_ERROR_CODES and work.attempts < MAX_ATTEMPTS:
        state.inspected_at = None
        work.state = WorkState.PARKED
        work.sent = work.earlier_result_lost
        runtime.parked.append(work)
        return
    # An earlier attempt whose result was lost may have run.
    answer = Answer(
        Outcome.UNKNOWN if work.earlier_result_lost else Outcome.NOT_RUN,
        error=AnswerError.UPSTREAM_ERROR,
        error_code=result.error_code,
        message=result.message,
        server=state.name,
    )
    _outcomes.finish_work(board, work, answer)


def _handle_not_sent(
    board: Blackboard,
    runtime: GroupRuntime,
    state: ServerState,
    operation: RunningOperation,
    work: Work,
    result: OperationResult,
) -> None:
    work.state = WorkState.PARKED
    work.sent = work.earlier_result_lost
    runtime.parked.append(work)


def _handle_lost(
    board: Blackboard,
    runtime: GroupRuntime,
    state: ServerState,
    operation: RunningOperation,
    work: Work,
    result: OperationResult,
) -> None:
    message = result.message or "the primary was replaced while the write ran"
    _retry_or_give_up(board, runtime, work, message)


def _retry_or_give_up(
    board: Blackboard, runtime: GroupRuntime, work: Work, message: str
) -> None:
    request = work.request
    work.earlier_result_lost = True
    may_repeat = not request.in_transaction and (
        request.kind is StatementKind.READ
        or bool(request.request_key)
        or request.repeatable
    )
    if may_repeat and board.work.retry_tokens >= 1 and work.attempts < MAX_ATTEMPTS:
        board.work.retry_tokens -= 1
        board.metrics.count("retries")
        work.state = WorkState.PARKED
        runtime.parked.append(work)
        return
    error = AnswerError.UPSTREAM_LOST
    answer = Answer(Outcome.UNKNOWN, error=error, message=message)
    _outcomes.finish_work(board, work, answer)


_RESULT_HANDLERS = {
    OperationStatus.DONE: _handle_done,
    OperationStatus.REFUSED: _handle_refused,
    OperationStatus.NOT_SENT: _handle_not_sent,
    OperationStatus.LOST: _handle_lost,
}
