"""Graceful shutdown.

The instance announces that it is leaving, hands its groups over, finishes the
requests and transactions in flight and then reports that it may exit.
"""

from burdocksail.node import _handover, _leadership, _lease, _membership
from burdocksail.node._board import Blackboard, Role
from burdocksail.node._effects import ReportStopped
from burdocksail.node._events import StopRequested


def handle_stop_requested(board: Blackboard, event: StopRequested) -> None:
    """Announce that this instance is leaving, and give up its groups.

    Groups that it leads are drained; those that it is acquiring are dropped. A
    further request while stopping has no effect.
    """
    if board.stop.requested_at is not None:
        return
    board.stop.requested_at = board.now
    _membership.announce_leaving(board)
    for leadership in list(board.authority.leaderships.values()):
        if leadership.role is Role.LEADING:
            _handover.begin_drain(board, leadership)
        elif leadership.role is Role.ACQUIRING:
            _leadership.drop_leadership(board, leadership, "stopping")


def advance_stop(board: Blackboard) -> None:
    """Drain groups acquired meanwhile, and report once the node is idle."""
    if board.stop.requested_at is None or board.stop.reported:
        return
    for leadership in list(board.authority.leaderships.values()):
        if leadership.role is Role.LEADING:
            _handover.begin_drain(board, leadership)
    if is_idle(board):
        board.stop.reported = True
        board.emit(ReportStopped())


def is_idle(board: Blackboard) -> bool:
    """Return whether the node holds no group, request or transaction."""
    holding = any(
        leadership.role in _lease.RENEWING_ROLES or leadership.role is Role.HANDING_OVER
        for leadership in board.authority.leaderships.values()
    )
    in_transaction = any(s.transaction_group for s in board.entry.sessions.values())
    return not (
        holding
        or board.entry.pending
        or board.work.work_by_request_id
        or in_transaction
    )
