"""Limits on what callers make a process hold: bytes, connections and time.

Decisions are in `_ledger`, which does no input or output. The readers, the listeners
and the reports are built on it.
"""

from burdocksail.intake._allocator import return_large_blocks
from burdocksail.intake._ledger import Account, Closing, Kind, Ledger
from burdocksail.intake._limits import (
    CallerLimits,
    LimitError,
    derive_limits,
    override_limits,
)
from burdocksail.intake._listeners import Intake, Listener, flush
from burdocksail.intake._readers import BudgetedReader, RoomDenied

__all__ = [
    "Account",
    "BudgetedReader",
    "CallerLimits",
    "Closing",
    "Intake",
    "Kind",
    "Ledger",
    "LimitError",
    "Listener",
    "RoomDenied",
    "derive_limits",
    "flush",
    "override_limits",
    "return_large_blocks",
]
