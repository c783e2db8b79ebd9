"""Starts store calls, counts them and passes each reply to its callback."""

from datetime import timedelta

from burdocksail.core import seconds
from burdocksail.node._board import Blackboard, StoreCallback
from burdocksail.node._effects import CallStore
from burdocksail.node._events import StoreReplied
from burdocksail.node._store import StoreOperation, StoreReply, StoreStatus

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
    section = board.store
    callback = section.calls.pop(event.call_id, None)
    if callback is None:
        return
    reply = event.reply
    if reply.status is StoreStatus.UNAVAILABLE:
        section.last_failure = board.now
        board.metrics.count("store_unavailable")
    else:
        section.last_answer = board.now
        if reply.timeline != section.timeline:
            reply = _check_timeline(board, reply)
    callback(board, reply)


def _check_timeline(board: Blackboard, reply: StoreReply) -> StoreReply:
    """Return the reply to pass on: that of a call begun in another timeline is lost.

    What such a call was made with, and so what it tells, does not hold in the present
    timeline.
    """
    is_first = board.store.timeline == 0
    record_timeline(board, reply.timeline)
    return reply if is_first else StoreReply(StoreStatus.UNAVAILABLE)


def record_timeline(board: Blackboard, timeline: int) -> None:
    """Record the timeline of the store that a reply or a peer names.

    If it is later than the known one, the calls in flight end without an answer.
    """
    section = board.store
    if timeline <= section.timeline:
        return
    is_first = section.timeline == 0
    section.timeline = timeline
    section.timeline_since = board.now
    if is_first:
        return
    board.metrics.count("store_restorations")
    abandoned = list(section.calls.values())
    section.calls.clear()
    for callback in abandoned:
        callback(board, StoreReply(StoreStatus.UNAVAILABLE))
