"""Stand-ins for the platform, and the in-memory driver of nodes."""

from burdocksail.standin._database import (
    DatabaseGroup,
    DatabaseServer,
    DatabaseSession,
    LockWaitError,
    find_wait,
    measure_sleep,
)
from burdocksail.standin._driver import Driver, DriverSettings
from burdocksail.standin._records import (
    GROUP_PASSWORD,
    GROUP_USER,
    make_group_record,
    make_service_record,
    make_team_record,
)
from burdocksail.standin._store_model import StoreModel, perform_watch

__all__ = [
    "GROUP_PASSWORD",
    "GROUP_USER",
    "DatabaseGroup",
    "DatabaseServer",
    "DatabaseSession",
    "Driver",
    "DriverSettings",
    "LockWaitError",
    "StoreModel",
    "find_wait",
    "make_group_record",
    "make_service_record",
    "make_team_record",
    "measure_sleep",
    "perform_watch",
]
