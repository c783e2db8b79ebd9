"""Calls to the platform's store, counted and matched with their answers."""

from datetime import timedelta

from burdocksail.core import seconds
from burdocksail.node._board import Blackboard, StoreContinuation
from burdocksail.node._effects import CallStore
from burdocksail.node._events import StoreReplied
from burdocksail.node._store import StoreOperation, StoreStatus

STORE_TIMEOUT = seconds(1)


def call_store(
    board: Blackboard,
    operation: StoreOperation,
    continuation: StoreContinuation,
    timeout: timedelta = STORE_TIMEOUT,
) -> None:
    """Start a store call; `continuation` is called with the board and reply."""
    call_id = board.make_id()
    board.store.calls[call_id] = continuation
    board.metrics.count(f"store_calls.{type(operation).__name__}")
    board.emit(CallStore(call_id, operation, timeout))


def handle_store_replied(board: Blackboard, event: StoreReplied) -> None:
    """Match the answer of a store call with the call."""
    continuation = board.store.calls.pop(event.call_id, None)
    if continuation is None:
        return
    if event.reply.status is StoreStatus.UNAVAILABLE:
        board.store.last_failure = board.now
        board.metrics.count("store_unavailable")
    else:
        board.store.last_answer = board.now
    continuation(board, event.reply)
