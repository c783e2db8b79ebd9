"""The data path: caller sessions, connection pools, routing and read freshness."""

from burdocksail.serving._allowances import AllowanceHolder
from burdocksail.serving._context import ServingContext
from burdocksail.serving._freshness import PrimaryProber
from burdocksail.serving._pools import ConnectionPools
from burdocksail.serving._replies import CallerReply
from burdocksail.serving._sessions import CallerSession

__all__ = [
    "AllowanceHolder",
    "CallerReply",
    "CallerSession",
    "ConnectionPools",
    "PrimaryProber",
    "ServingContext",
]
