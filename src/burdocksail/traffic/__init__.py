"""Decisions on how work waits, is placed, retried and rejected under load.

Plain data in, a decision out: no I/O, no tasks, no logs and no metrics. Readings
of the clock and sources of randomness are passed in. `serving` asks these
decisions and acts on them.
"""

from burdocksail.traffic._allowance_stock import (
    DELIVERY_MARGIN,
    FLOOR_DELAY,
    AllowanceStock,
    Batch,
    find_floor_start,
)
from burdocksail.traffic._allowances import (
    TOKEN_LIFETIME,
    AllowanceBucket,
    AllowanceLedger,
    AllowanceLimit,
    HeardTime,
    TokenDemand,
    compute_credit_share,
    compute_limit,
    find_slot,
)
from burdocksail.traffic._backoff import RetryBudget, compute_backoff
from burdocksail.traffic._concurrency import ConcurrencyLimit
from burdocksail.traffic._demand import Demand, estimate_use
from burdocksail.traffic._ejection import ServerHealth, find_ejected, judge_servers
from burdocksail.traffic._knee import KneeEstimate
from burdocksail.traffic._lag import LagEstimate
from burdocksail.traffic._opening import OpeningWindow
from burdocksail.traffic._pending import PendingWork
from burdocksail.traffic._placement import (
    CostParts,
    ServerLoad,
    itemize_cost,
    rank_by_cost,
)
from burdocksail.traffic._rejection import Obstacle, compute_retry_after
from burdocksail.traffic._shares import FairQueue, WaitingRequest, compute_weight
from burdocksail.traffic._speed import SpeedEstimate
from burdocksail.traffic._waiting import DrainRate, compute_order
from burdocksail.traffic._waiting_limits import (
    MAX_RETURN_DELAY,
    ReturnSchedule,
    RunTime,
)
from burdocksail.traffic._work import Comparison, WorkTimes

__all__ = [
    "TOKEN_LIFETIME",
    "AllowanceBucket",
    "AllowanceLedger",
    "AllowanceLimit",
    "AllowanceStock",
    "Batch",
    "Comparison",
    "ConcurrencyLimit",
    "CostParts",
    "Demand",
    "DrainRate",
    "FLOOR_DELAY",
    "FairQueue",
    "HeardTime",
    "TokenDemand",
    "KneeEstimate",
    "LagEstimate",
    "MAX_RETURN_DELAY",
    "Obstacle",
    "OpeningWindow",
    "PendingWork",
    "RetryBudget",
    "ReturnSchedule",
    "RunTime",
    "ServerHealth",
    "ServerLoad",
    "SpeedEstimate",
    "DELIVERY_MARGIN",
    "WaitingRequest",
    "WorkTimes",
    "compute_backoff",
    "compute_credit_share",
    "compute_limit",
    "compute_order",
    "compute_retry_after",
    "compute_weight",
    "estimate_use",
    "find_ejected",
    "itemize_cost",
    "judge_servers",
    "find_floor_start",
    "find_slot",
    "rank_by_cost",
]
