"""Records, clocks and small functions without dependencies on other layers.

`node` and its adapters (MySQL protocol) use the requests, answers, tokens and
`Clock`; `serving`, `authority` and their adapters (line protocol) use the
commands and `SecondsClock`. Both use `LogPosition`.

What only `node` and its adapters use is imported when it is first asked for, so that
a process without them starts faster.
"""

from importlib import import_module
from typing import TYPE_CHECKING, Any

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
from burdocksail.core._imports import import_on_use
from burdocksail.core._loggers import DeferredLogger, get_logger
from burdocksail.core._positions import LogPosition, LogVector, parse_gtid_set
from burdocksail.core._seconds_clock import BootClock, SecondsClock

if TYPE_CHECKING:
    from burdocksail.core._clock import Clock, ManualClock, SystemClock, seconds
    from burdocksail.core._explain import (
        EXPLAIN_PATH,
        ExplainCandidate,
        ExplainError,
        ExplainOutcome,
        ExplainQuery,
        complete_answer,
        parse_explain_query,
    )
    from burdocksail.core._instances import Instance, rank_instances, weigh_instance
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
    from burdocksail.core._statements import (
        classify_statement,
        find_unsupported_part,
        fingerprint_statement,
    )
    from burdocksail.core._tokens import decode_token, encode_token

_DEFERRED = {
    "_clock": ("Clock", "ManualClock", "SystemClock", "seconds"),
    "_explain": (
        "EXPLAIN_PATH",
        "ExplainCandidate",
        "ExplainError",
        "ExplainOutcome",
        "ExplainQuery",
        "complete_answer",
        "parse_explain_query",
    ),
    "_instances": ("Instance", "rank_instances", "weigh_instance"),
    "_requests": (
        "Answer",
        "AnswerError",
        "Column",
        "Freshness",
        "Outcome",
        "Request",
        "ResultSet",
        "StatementKind",
        "WorkClass",
    ),
    "_statements": (
        "classify_statement",
        "find_unsupported_part",
        "fingerprint_statement",
    ),
    "_tokens": ("decode_token", "encode_token"),
}
_MODULES = {name: module for module, names in _DEFERRED.items() for name in names}

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
    "DeferredLogger",
    "EXPLAIN_PATH",
    "ExecutePrepared",
    "ExplainCandidate",
    "ExplainError",
    "ExplainOutcome",
    "ExplainQuery",
    "complete_answer",
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
    "get_logger",
    "import_on_use",
    "parse_explain_query",
    "parse_gtid_set",
    "rank_instances",
    "seconds",
    "weigh_instance",
]


def __getattr__(name: str) -> Any:
    """Import the module that defines a public name, and return what it names."""
    if name not in _MODULES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    value = getattr(import_module(f"{__name__}.{_MODULES[name]}"), name)
    globals()[name] = value
    return value
