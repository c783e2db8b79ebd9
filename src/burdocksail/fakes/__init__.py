"""In-memory store, servers and network for instances of `burdocksail.agent`.

Tests and benchmarks run them in virtual time. The counterpart for `burdocksail.node`
is the package `burdocksail.standin`.
"""

from burdocksail.fakes._capacity import ServerCapacity
from burdocksail.fakes._fleet import DOMAINS, SERVICE, Fleet, make_catalog
from burdocksail.fakes._quota_world import (
    BOUNDS,
    LossyNetwork,
    QuotaInstance,
    QuotaWorld,
    WorkspaceRecord,
)
from burdocksail.fakes._scenarios import run_scenario, time_until_written, write
from burdocksail.fakes._servers import MemoryConnector, MemoryDatabase, MemoryServer
from burdocksail.fakes._state import capture_state
from burdocksail.fakes._store import MemoryStore, MemoryStoreClient
from burdocksail.fakes._virtual_loop import (
    LoopClock,
    VirtualLoop,
    run_in_virtual_time,
    silence_logs,
)

__all__ = [
    "BOUNDS",
    "DOMAINS",
    "SERVICE",
    "Fleet",
    "LoopClock",
    "LossyNetwork",
    "MemoryConnector",
    "MemoryDatabase",
    "MemoryServer",
    "MemoryStore",
    "MemoryStoreClient",
    "QuotaInstance",
    "QuotaWorld",
    "ServerCapacity",
    "VirtualLoop",
    "WorkspaceRecord",
    "capture_state",
    "make_catalog",
    "run_in_virtual_time",
    "run_scenario",
    "silence_logs",
    "time_until_written",
    "write",
]
