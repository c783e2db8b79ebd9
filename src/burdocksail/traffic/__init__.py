"""Decisions on how work waits, is placed, retried and rejected under load.

Plain data in, a decision out: no I/O, no tasks, no logs and no metrics. Readings
of the clock and sources of randomness are passed in. `serving` asks these
decisions and acts on them.
"""

from burdocksail.traffic._backoff import RetryBudget, compute_backoff
from burdocksail.traffic._concurrency import ConcurrencyLimit
from burdocksail.traffic._demand import Demand, estimate_use
from burdocksail.traffic._ejection import ServerHealth, find_ejected
from burdocksail.traffic._lag import LagEstimate
from burdocksail.traffic._opening import OpeningWindow
from burdocksail.traffic._placement import ServerLoad, rank_by_cost
from burdocksail.traffic._rejection import Obstacle, compute_retry_after
from burdocksail.traffic._shares import FairQueue, WaitingRequest, compute_weight
from burdocksail.traffic._waiting import DrainRate, compute_order
from burdocksail.traffic._waiting_limits import (
    MAX_RETURN_DELAY,
    ReturnSchedule,
    RunTime,
)

__all__ = [
    "MAX_RETURN_DELAY",
    "ConcurrencyLimit",
    "Demand",
    "DrainRate",
    "FairQueue",
    "LagEstimate",
    "Obstacle",
    "OpeningWindow",
    "RetryBudget",
    "ReturnSchedule",
    "RunTime",
    "ServerHealth",
    "ServerLoad",
    "WaitingRequest",
    "compute_backoff",
    "compute_order",
    "compute_retry_after",
    "compute_weight",
    "estimate_use",
    "find_ejected",
    "rank_by_cost",
]
