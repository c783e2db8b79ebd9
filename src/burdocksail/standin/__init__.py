"""Stand-ins for the platform's services, and a simulator of instances over them.

The store and the database groups exist as models in memory and as servers on
loopback ports. The simulator runs `burdocksail.node` nodes over the models in
virtual time, and the randomized runs use it. The counterpart for instances of
`burdocksail.agent` is the package `burdocksail.fakes`.
"""

from burdocksail.standin._database import (
    DatabaseGroup,
    DatabaseServer,
    DatabaseSession,
    LockWaitError,
    parse_sleep,
    parse_wait,
)
from burdocksail.standin._faults import (
    FAULT_KINDS,
    RESTORATION_FAULT_KINDS,
    run_random_world,
)
from burdocksail.standin._group_server import StandInGroup, StandInGroupSettings
from burdocksail.standin._records import (
    GROUP_PASSWORD,
    GROUP_USER,
    make_group_record,
    make_service_record,
    make_team_record,
)
from burdocksail.standin._simulator import Simulator, SimulatorSettings
from burdocksail.standin._store_model import StoreModel, perform_watch
from burdocksail.standin._store_server import StoreServer
from burdocksail.standin._world import (
    FaultKind,
    ObserverError,
    World,
    WorldSettings,
)

__all__ = [
    "FAULT_KINDS",
    "GROUP_PASSWORD",
    "GROUP_USER",
    "RESTORATION_FAULT_KINDS",
    "DatabaseGroup",
    "DatabaseServer",
    "DatabaseSession",
    "FaultKind",
    "LockWaitError",
    "ObserverError",
    "Simulator",
    "SimulatorSettings",
    "StandInGroup",
    "StandInGroupSettings",
    "StoreModel",
    "StoreServer",
    "World",
    "WorldSettings",
    "parse_wait",
    "make_group_record",
    "make_service_record",
    "make_team_record",
    "parse_sleep",
    "perform_watch",
    "run_random_world",
]
