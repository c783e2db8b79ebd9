"""A copy of an instance's tokens, for decisions that are not acted on."""

import copy
from collections import deque

from burdocksail.board import Blackboard
from burdocksail.serving._allowances import AllowanceHolder


class _NoLog:
    """Drops the lines of the copy: what they report has not happened."""

    def info(self, event: str, **fields: object) -> None:
        pass


def copy_allowances(
    holder: AllowanceHolder, board: Blackboard, workspace: str
) -> AllowanceHolder:
    """Return a holder that decides like another one, and asks no leader for tokens.

    It takes tokens of its own copy of the stock of one workspace. The operations that
    wait at the original are counted, but their waits stay with the original.

    Parameters
    ----------
    board : Blackboard
        Board that it reads, with metrics that nobody sees.
    """
    preview = copy.copy(holder)
    preview._board = board
    preview._log = _NoLog()
    preview._send = lambda address, message: None
    preview._issue = lambda member, epoch, demands: None
    preview._flush_scheduled = True  # so that it schedules no request
    preview._limits = dict(holder._limits)
    preview._holdings = {
        name: _copy_holding(holding)
        for name, holding in holder._holdings.items()
        if name == workspace
    }
    return preview


def _copy_holding(holding):
    copied = copy.copy(holding)
    copied.stock = copy.deepcopy(holding.stock)
    copied.waiters = deque(holding.waiters)
    return copied
