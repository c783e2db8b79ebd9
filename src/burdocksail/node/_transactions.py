"""Transactions: one connection each, from BEGIN to COMMIT or ROLLBACK.

Statements of an open transaction bypass the queues. Work that waits for a lock
of the transaction may hold every slot, so a transaction that waited for a slot
could deadlock with it.
"""

from burdocksail.core import (
    Answer,
    AnswerError,
    Instance,
    Outcome,
    StatementKind,
    seconds,
)
from burdocksail.node import _connections, _membership, _outcomes
from burdocksail.node._board import Blackboard
from burdocksail.node._effects import RunOperation
from burdocksail.node._groups import (
    ConnectionUse,
    GroupRuntime,
    RunningOperation,
    ServerState,
    Transaction,
    Work,
    WorkState,
)
from burdocksail.node._upstream import (
    Operation,
    OperationMode,
    OperationResult,
    OperationStatus,
)

IDLE_TIMEOUT = seconds(60)

_ENDING_KINDS = frozenset({StatementKind.COMMIT, StatementKind.ROLLBACK})


def run_in_transaction(board: Blackboard, runtime: GroupRuntime, work: Work) -> None:
    """Run a statement on the connection of its session's transaction."""
    transaction = runtime.transactions.get(work.request.transaction_id)
    if transaction is None:
        _answer_without_transaction(board, work)
        return
    if transaction.busy:
        message = "the transaction is still running its last statement"
        _outcomes.fail_work(board, work, AnswerError.BAD_REQUEST, message)
        return
    transaction.busy = True
    transaction.last_used = board.now
    state = runtime.servers[transaction.server]
    _outcomes.start_operation(board, runtime, state, work, transaction.connection_id)


def keeps_connection(
    runtime: GroupRuntime,
    operation: RunningOperation,
    result: OperationResult,
) -> bool:
    """Return whether a transaction keeps the connection after an operation."""
    work = operation.work
    if work is None:
        return False
    kind = work.request.kind
    if kind is StatementKind.BEGIN:
        return result.status is OperationStatus.DONE
    if not work.request.in_transaction:
        return False
    if kind in _ENDING_KINDS:
        return False
    return _find_by_connection(runtime, operation.connection_id) is not None


def leaves_transaction_open(operation: RunningOperation) -> bool:
    """Return whether a transaction may be open on an operation's connection."""
    work = operation.work
    if work is None or not work.request.in_transaction:
        return False
    return work.request.kind not in _ENDING_KINDS


def handle_result(
    board: Blackboard,
    runtime: GroupRuntime,
    state: ServerState,
    operation: RunningOperation,
    result: OperationResult,
) -> None:
    """Answer or retry a transaction's statement according to its result."""
    work = operation.work
    assert work is not None
    handler = _RESULT_HANDLERS.get(work.request.kind, _handle_statement)
    handler(board, runtime, state, operation, work, result)


def update_transaction(
    board: Blackboard,
    runtime: GroupRuntime,
    operation: RunningOperation,
    result: OperationResult,
) -> None:
    """Update the transaction that an operation belonged to.

    Called for every operation of a transaction, even if its request has
    already been answered because its deadline passed.
    """
    work = operation.work
    if work is None:
        return
    kind = work.request.kind
    if kind is StatementKind.BEGIN and result.status is OperationStatus.DONE:
        _register_transaction(board, runtime, operation, work)
        return
    transaction = _find_by_connection(runtime, operation.connection_id)
    if transaction is None:
        return
    transaction.busy = False
    transaction.last_used = board.now
    if kind in _ENDING_KINDS:
        del runtime.transactions[transaction.transaction_id]


def roll_back_transaction(board: Blackboard, group: str, transaction_id: str) -> None:
    """Roll back a transaction that its session has abandoned."""
    runtime = board.work.runtimes.get(group)
    if runtime is None:
        return
    transaction = runtime.transactions.get(transaction_id)
    if transaction is not None:
        _roll_back_or_close(board, runtime, transaction)


def roll_back_transactions_from(board: Blackboard, origin: Instance) -> None:
    """Roll back the transactions of all sessions at a lost instance."""
    for runtime in board.work.runtimes.values():
        for transaction in list(runtime.transactions.values()):
            owner = transaction.origin
            if owner is not None and owner.key == origin.key:
                _roll_back_or_close(board, runtime, transaction)


def roll_back_idle_transactions(board: Blackboard, runtime: GroupRuntime) -> None:
    """Roll back transactions that are idle and abandoned.

    Those have been idle for `IDLE_TIMEOUT`, or their session was at an instance that
    has been restarted since.
    """
    for transaction in list(runtime.transactions.values()):
        if transaction.busy:
            continue
        origin = transaction.origin
        if origin is not None and _membership.is_superseded(board, origin, seconds(0)):
            _roll_back_or_close(board, runtime, transaction)
        elif board.now - transaction.last_used >= IDLE_TIMEOUT:
            board.metrics.count("transactions_timed_out")
            _roll_back_or_close(board, runtime, transaction)


def remove_by_connection(runtime: GroupRuntime, connection_id: int) -> None:
    """Remove the transaction of a connection that broke."""
    transaction = _find_by_connection(runtime, connection_id)
    if transaction is not None:
        del runtime.transactions[transaction.transaction_id]


def _register_transaction(
    board: Blackboard, runtime: GroupRuntime, operation: RunningOperation, work: Work
) -> None:
    transaction = Transaction(
        work.request.request_id,
        work.origin,
        operation.server,
        operation.connection_id,
        board.now,
    )
    runtime.transactions[transaction.transaction_id] = transaction
    if work.state is WorkState.FINISHED:
        # The caller has already been told that its BEGIN did not succeed.
        _roll_back(board, runtime, transaction)


def _roll_back_or_close(
    board: Blackboard, runtime: GroupRuntime, transaction: Transaction
) -> None:
    if not transaction.busy:
        _roll_back(board, runtime, transaction)
        return
    # The running statement may never return. The server rolls back the open
    # transaction of a closed connection.
    del runtime.transactions[transaction.transaction_id]
    state = runtime.servers[transaction.server]
    connection = state.connections.get(transaction.connection_id)
    if connection is not None:
        _connections.close_connection(board, state, connection)


def _roll_back(
    board: Blackboard, runtime: GroupRuntime, transaction: Transaction
) -> None:
    del runtime.transactions[transaction.transaction_id]
    state = runtime.servers[transaction.server]
    connection = state.connections.get(transaction.connection_id)
    if connection is None:
        return
    connection.use = ConnectionUse.BUSY
    operation_id = board.make_id()
    board.work.operations[operation_id] = RunningOperation(
        operation_id,
        runtime.group,
        state.name,
        connection.connection_id,
        runtime.term,
        board.now,
        None,
    )
    board.emit(
        RunOperation(
            Operation(
                operation_id,
                connection.connection_id,
                OperationMode.ROLLBACK,
                "",
                "ROLLBACK",
            )
        )
    )


def _answer_without_transaction(board: Blackboard, work: Work) -> None:
    if work.request.kind is StatementKind.ROLLBACK:
        _outcomes.finish_work(board, work, Answer(Outcome.ANSWERED))
        return
    message = "the transaction was rolled back because its connection was lost"
    _outcomes.fail_work(board, work, AnswerError.TRANSACTION_LOST, message)


def _handle_begin(
    board: Blackboard,
    runtime: GroupRuntime,
    state: ServerState,
    operation: RunningOperation,
    work: Work,
    result: OperationResult,
) -> None:
    if result.status is OperationStatus.DONE:
        answer = Answer(Outcome.ANSWERED, result.result, server=state.name)
        _outcomes.answer_work(board, runtime, work, answer)
        return
    if result.status is OperationStatus.REFUSED:
        _answer_refused(board, work, state, result)
        return
    # A BEGIN has no effect beyond its connection, so it can be run again.
    work.sent = work.earlier_result_lost
    work.state = WorkState.PARKED
    runtime.parked.append(work)


def _handle_statement(
    board: Blackboard,
    runtime: GroupRuntime,
    state: ServerState,
    operation: RunningOperation,
    work: Work,
    result: OperationResult,
) -> None:
    if result.status is OperationStatus.DONE:
        answer = Answer(Outcome.ANSWERED, result.result, server=state.name)
        _outcomes.answer_work(board, runtime, work, answer)
    elif result.status is OperationStatus.REFUSED:
        _answer_refused(board, work, state, result)
    else:
        _answer_lost(board, work)


def _handle_commit(
    board: Blackboard,
    runtime: GroupRuntime,
    state: ServerState,
    operation: RunningOperation,
    work: Work,
    result: OperationResult,
) -> None:
    if result.status is OperationStatus.REFUSED:
        _answer_refused(board, work, state, result)
        return
    done = result.status is OperationStatus.DONE
    if not done or not _outcomes.answer_write(
        board, runtime, state, operation, work, result
    ):
        _answer_lost(board, work)


def _handle_rollback(
    board: Blackboard,
    runtime: GroupRuntime,
    state: ServerState,
    operation: RunningOperation,
    work: Work,
    result: OperationResult,
) -> None:
    # The server also rolls back a transaction whose connection broke.
    _outcomes.finish_work(board, work, Answer(Outcome.ANSWERED))


_RESULT_HANDLERS = {
    StatementKind.BEGIN: _handle_begin,
    StatementKind.COMMIT: _handle_commit,
    StatementKind.ROLLBACK: _handle_rollback,
}


def _answer_refused(
    board: Blackboard, work: Work, state: ServerState, result: OperationResult
) -> None:
    answer = Answer(
        Outcome.NOT_RUN,
        error=AnswerError.UPSTREAM_ERROR,
        error_code=result.error_code,
        message=result.message,
        server=state.name,
    )
    _outcomes.finish_work(board, work, answer)


def _answer_lost(board: Blackboard, work: Work) -> None:
    answer = Answer(
        Outcome.UNKNOWN,
        error=AnswerError.TRANSACTION_LOST,
        message="the connection of the transaction was lost",
    )
    _outcomes.finish_work(board, work, answer)


def _find_by_connection(
    runtime: GroupRuntime, connection_id: int
) -> Transaction | None:
    for transaction in runtime.transactions.values():
        if transaction.connection_id == connection_id:
            return transaction
    return None
