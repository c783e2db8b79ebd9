"""Records, clocks and small functions without dependencies on other layers.

`node` and its adapters (MySQL protocol) use the requests, answers, tokens and
`Clock`; `serving`, `authority` and their adapters (line protocol) use the
commands and `SecondsClock`. Both use `LogPosition`.
"""

from burdocksail.core._clock import Clock, ManualClock, SystemClock, seconds
from burdocksail.core._commands import (
    Begin,
    CallerCommand,
    Commit,
    Deallocate,
    ExecutePrepared,
    FailureKind,
    Prepare,
    ResetSession,
    Rollback,
    Run,
    SetVariable,
    TransactionState,
    UpstreamCommand,
)
from burdocksail.core._errors import BurdocksailError, TokenError
from burdocksail.core._instances import Instance, rank_instances, weigh_instance
from burdocksail.core._positions import LogPosition, LogVector, parse_gtid_set
from burdocksail.core._requests import (
    Answer,
    AnswerError,
    Column,
    Freshness,
    Outcome,
    Request,
    ResultSet,
    StatementKind,
    WorkClass,
)
from burdocksail.core._seconds_clock import BootClock, SecondsClock
from burdocksail.core._statements import (
    classify_statement,
    find_unsupported_part,
    fingerprint_statement,
)
from burdocksail.core._tokens import decode_token, encode_token

__all__ = [
    "Answer",
    "AnswerError",
    "Begin",
    "BootClock",
    "BurdocksailError",
    "CallerCommand",
    "Clock",
    "Column",
    "Commit",
    "Deallocate",
    "ExecutePrepared",
    "FailureKind",
    "Freshness",
    "Instance",
    "LogPosition",
    "LogVector",
    "ManualClock",
    "Outcome",
    "Prepare",
    "Request",
    "ResetSession",
    "ResultSet",
    "Rollback",
    "Run",
    "SecondsClock",
    "SetVariable",
    "StatementKind",
    "SystemClock",
    "TokenError",
    "TransactionState",
    "UpstreamCommand",
    "WorkClass",
    "classify_statement",
    "decode_token",
    "encode_token",
    "find_unsupported_part",
    "fingerprint_statement",
    "parse_gtid_set",
    "rank_instances",
    "seconds",
    "weigh_instance",
]
