"""Asyncio adapters that connect the node to sockets and clocks; no decisions."""

from burdocksail.shell._errors import ShellError, StoreCallError
from burdocksail.shell._logging import configure_logging, get_logger
from burdocksail.shell._process import InstanceProcess, InstanceSettings
from burdocksail.shell._sql_server import SqlError, SqlServer, SqlSession
from burdocksail.shell._store_client import StoreClient

__all__ = [
    "InstanceProcess",
    "InstanceSettings",
    "ShellError",
    "SqlError",
    "SqlServer",
    "SqlSession",
    "StoreCallError",
    "StoreClient",
    "configure_logging",
    "get_logger",
]
