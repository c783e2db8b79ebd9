"""Answers to callers: their outcome, and when they may be sent.

A request was *not run* only if no byte of it was sent to an upstream or the
upstream refused it. It was *answered* only if the lease was valid when the
answer was sent (except for a ROLLBACK) and, for a write, if the primary that ran
it had not been replaced or the new primary holds the write. Any other outcome is
*unknown*.
"""

from burdocksail.core import (
    Answer,
    AnswerError,
    Instance,
    LogPosition,
    Outcome,
    Request,
    StatementKind,
)
from burdocksail.node import _admission, _invariants, _routing
from burdocksail.node._board import Blackboard, LocalAnswer
from burdocksail.node._effects import RunOperation, Send
from burdocksail.node._groups import (
    GroupRuntime,
    Phase,
    RunningOperation,
    ServerState,
    Work,
    WorkState,
)
from burdocksail.node._messages import ForwardAnswer, NotLeader
from burdocksail.node._upstream import Operation, OperationMode, OperationResult
from burdocksail.records import AcknowledgeAfter

_OPERATION_MODES = {
    StatementKind.READ: OperationMode.READ,
    StatementKind.WRITE: OperationMode.WRITE,
    StatementKind.BEGIN: OperationMode.BEGIN,
    StatementKind.COMMIT: OperationMode.COMMIT,
    StatementKind.ROLLBACK: OperationMode.ROLLBACK,
}


def start_operation(
    board: Blackboard,
    runtime: GroupRuntime,
    state: ServerState,
    work: Work,
    connection_id: int,
) -> None:
    """Run work on a connection that is reserved for it."""
    request = work.request
    mode = _OPERATION_MODES[request.kind]
    if request.in_transaction and request.kind in (
        StatementKind.READ,
        StatementKind.WRITE,
    ):
        mode = OperationMode.STATEMENT
    elif request.kind is StatementKind.WRITE and request.request_key:
        mode = OperationMode.KEYED_WRITE
    _invariants.check_dispatch(board, runtime, state, work)
    operation_id = board.make_id()
    board.work.operations[operation_id] = RunningOperation(
        operation_id,
        runtime.group,
        state.name,
        connection_id,
        runtime.term,
        board.now,
        work,
        state.vector,
    )
    if not request.in_transaction:
        _admission.add_running(state, operation_id, work.work_class)
    work.operations.add(operation_id)
    work.state = WorkState.RUNNING
    work.server = state.name
    work.started_at = board.now
    work.sent = True
    work.attempts += 1
    board.metrics.count(f"operations.{mode.value}")
    board.emit(
        RunOperation(
            Operation(
                operation_id,
                connection_id,
                mode,
                request.database,
                request.sql,
                request.request_key,
            )
        )
    )


def deliver_answer(
    board: Blackboard, request: Request, origin: Instance | None, answer: Answer
) -> None:
    """Send an answer to the instance at which the request entered."""
    if origin is None:
        board.entry.answers.append(LocalAnswer(request, answer))
    else:
        board.emit(Send(origin, ForwardAnswer(request.request_id, answer)))


def return_request(
    board: Blackboard, request: Request, origin: Instance | None
) -> None:
    """Return a request that was not run because this instance does not lead."""
    if origin is None:
        board.entry.answers.append(LocalAnswer(request, None))
        return
    hint = board.authority.leader_hints.get(request.group)
    if hint is not None and hint.key == board.me.key:
        hint = None
    board.emit(Send(origin, NotLeader(request.request_id, request.group, hint)))


def answer_work(
    board: Blackboard, runtime: GroupRuntime, work: Work, answer: Answer
) -> None:
    """Answer a request, or delay the answer until the lease is valid."""
    work.answer = answer
    if answer.outcome is Outcome.ANSWERED and not _invariants.may_answer(
        board, runtime.group
    ):
        work.state = WorkState.AWAITING_LEASE
        runtime.awaiting_lease.append(work)
        board.metrics.count("answers_held_for_lease")
        return
    finish_work(board, work, answer)


def finish_work(board: Blackboard, work: Work, answer: Answer) -> None:
    """Complete a request and send its final answer to where it entered."""
    if work.state is WorkState.FINISHED:
        return
    _invariants.check_answer(board, work, answer)
    if work.state is WorkState.QUEUED:
        runtime = board.work.runtimes.get(work.request.group)
        if runtime is not None:
            _admission.decrement_queue_length(runtime.servers[work.server], work)
    work.state = WorkState.FINISHED
    board.work.work_by_request_id.pop(work.request.request_id, None)
    if answer.position is not None:
        _raise_floor(board, work.request, answer.position)
    board.metrics.count(f"outcomes.{answer.outcome.value}")
    deliver_answer(board, work.request, work.origin, answer)


def _raise_floor(board: Blackboard, request: Request, position: LogPosition) -> None:
    """Raise an account's floor to its last acknowledged write.

    This happens on acknowledgement rather than on the write itself, so that
    the replica that the acknowledgement waited for can serve the next read.
    """
    runtime = board.work.runtimes.get(request.group)
    if runtime is None:
        return
    floor = runtime.floors.get(request.account)
    if floor is None or position > floor:
        runtime.floors[request.account] = position


def fail_work(board: Blackboard, work: Work, error: AnswerError, message: str) -> None:
    """Answer a request with an error, as unknown if it may have run."""
    outcome = Outcome.UNKNOWN if work.sent else Outcome.NOT_RUN
    finish_work(board, work, Answer(outcome, error=error, message=message))


def answer_write(
    board: Blackboard,
    runtime: GroupRuntime,
    state: ServerState,
    operation: RunningOperation,
    work: Work,
    result: OperationResult,
) -> bool:
    """Acknowledge a write or commit as its service's `acknowledge_after` requires.

    Returns
    -------
    bool
        True if the write was acknowledged or waits for a replica or the lease.
        False if the primary that ran it may have been replaced meanwhile, or
        if the result has no position; the request is left unanswered then.
    """
    replaced = operation.term != runtime.term or state.name != runtime.primary
    if replaced or runtime.phase is not Phase.OPEN or result.vector is None:
        return False
    state.vector = result.vector
    position = result.vector.last
    work.position = position
    work.answer = Answer(
        Outcome.ANSWERED,
        result.result,
        position=position,
        server=state.name,
        repeated=result.repeated,
    )
    if _must_await_replica(board, runtime, work) and not _is_replicated(runtime, work):
        work.state = WorkState.AWAITING_REPLICA
        runtime.awaiting_replica.append(work)
        board.work.groups_awaiting_replica.add(runtime.group)
        return True
    answer_work(board, runtime, work, work.answer)
    return True


def release_waiting_answers(board: Blackboard, runtime: GroupRuntime) -> None:
    """Send answers that waited for a valid lease or for a replica."""
    if runtime.awaiting_lease and _invariants.may_answer(board, runtime.group):
        waiting_work, runtime.awaiting_lease = runtime.awaiting_lease, []
        for work in waiting_work:
            if work.state is WorkState.AWAITING_LEASE and work.answer is not None:
                finish_work(board, work, work.answer)
    if runtime.awaiting_replica:
        release_replicated_answers(board, runtime)


def release_replicated_answers(board: Blackboard, runtime: GroupRuntime) -> None:
    """Send the answers of writes that a replica has applied meanwhile."""
    waiting = []
    for work in runtime.awaiting_replica:
        if work.state is not WorkState.AWAITING_REPLICA or work.answer is None:
            continue
        if _is_replicated(runtime, work):
            answer_work(board, runtime, work, work.answer)
        else:
            waiting.append(work)
    runtime.awaiting_replica = waiting


def _must_await_replica(board: Blackboard, runtime: GroupRuntime, work: Work) -> bool:
    service = board.configuration.services.get(work.request.service_name)
    rule = service.acknowledge_after if service else AcknowledgeAfter.REPLICA
    return rule is AcknowledgeAfter.REPLICA and len(runtime.servers) > 1


def _is_replicated(runtime: GroupRuntime, work: Work) -> bool:
    if work.position is None:
        return False
    return any(
        state.vector.covers(work.position)
        for state in runtime.servers.values()
        if state.name != runtime.primary and _routing.is_healthy_replica(runtime, state)
    )
