"""Starts administrative actions on servers, and tracks and counts them."""

from datetime import timedelta

from burdocksail.node._board import Blackboard
from burdocksail.node._effects import RunAdmin
from burdocksail.node._groups import AdminCall, ServerState
from burdocksail.node._upstream import AdminAction
from burdocksail.records import Group


def start_admin_call(
    board: Blackboard,
    group: Group,
    state: ServerState,
    action: AdminAction,
    purpose: str,
    timeout: timedelta,
) -> int:
    """Start an administrative action and return its id.

    Parameters
    ----------
    purpose : str
        What the result is used for; also part of the counter's name.
    """
    action_id = board.make_id()
    call = AdminCall(group.name, state.name, purpose, board.now)
    board.work.admin_calls[action_id] = call
    board.metrics.count(f"admin.{purpose}")
    board.emit(RunAdmin(action_id, group, state.record, action, timeout))
    return action_id
