"""Starts store calls, counts them and passes each reply to its callback."""

from datetime import timedelta

from burdocksail.core import seconds
from burdocksail.node._board import Blackboard, StoreCallback
from burdocksail.node._effects import CallStore
from burdocksail.node._events import StoreReplied
from burdocksail.node._store import StoreOperation, StoreStatus

STORE_TIMEOUT = seconds(1)


def call_store(
    board: Blackboard,
    operation: StoreOperation,
    callback: StoreCallback,
    timeout: timedelta = STORE_TIMEOUT,
) -> None:
    """Start a store call.

    Parameters
    ----------
    callback : StoreCallback
        Called with the board and the reply. The reply is ``UNAVAILABLE`` if
        the store did not answer within `timeout`.
    """
    call_id = board.make_id()
    board.store.calls[call_id] = callback
    board.metrics.count(f"store_calls.{type(operation).__name__}")
    board.emit(CallStore(call_id, operation, timeout))


def handle_store_replied(board: Blackboard, event: StoreReplied) -> None:
    """Pass the reply of a store call to its callback.

    A reply to a call that is not in flight is ignored.
    """
    callback = board.store.calls.pop(event.call_id, None)
    if callback is None:
        return
    if event.reply.status is StoreStatus.UNAVAILABLE:
        board.store.last_failure = board.now
        board.metrics.count("store_unavailable")
    else:
        board.store.last_answer = board.now
    callback(board, event.reply)
