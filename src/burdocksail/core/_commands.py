"""Commands of callers and upstreams that belong to no wire protocol.

A border turns its protocol into these records, and the adapter of an upstream
turns them back into text. Nothing in between parses or formats statements:
`text` is opaque.
"""

from dataclasses import dataclass
from enum import Enum


@dataclass(frozen=True, slots=True)
class Run:
    """Run one statement.

    Attributes
    ----------
    writes : bool
        Whether the statement may change data.
    """

    request_id: str
    text: str
    writes: bool


@dataclass(frozen=True, slots=True)
class ExecutePrepared:
    """Run a prepared statement by its name."""

    request_id: str
    name: str
    arguments: str


@dataclass(frozen=True, slots=True)
class Prepare:
    """Give a statement's shape a name that lasts until the session ends."""

    request_id: str
    name: str
    shape: str
    writes: bool


@dataclass(frozen=True, slots=True)
class Deallocate:
    """Forget the name of a prepared statement."""

    request_id: str
    name: str


@dataclass(frozen=True, slots=True)
class SetValue:
    """Set a value of the session."""

    request_id: str
    name: str
    value: str


@dataclass(frozen=True, slots=True)
class Begin:
    """Begin a transaction; a read-only one may run on a replica."""

    request_id: str
    read_only: bool


@dataclass(frozen=True, slots=True)
class Commit:
    """Commit the open transaction."""

    request_id: str


@dataclass(frozen=True, slots=True)
class Rollback:
    """Roll the open transaction back."""

    request_id: str


@dataclass(frozen=True, slots=True)
class ResetSession:
    """Clear the values and prepared statements of an upstream session."""

    request_id: str = ""


CallerCommand = (
    Run | ExecutePrepared | Prepare | Deallocate | SetValue | Begin | Commit | Rollback
)
UpstreamCommand = CallerCommand | ResetSession


class TransactionState(Enum):
    """Whether a session has an open transaction."""

    IDLE = "idle"
    OPEN = "open"
    FAILED = "failed"


class Refusal(Enum):
    """Why a command did not succeed.

    The first group promises that nothing of the caller's attempt is kept.
    """

    BUSY = "busy"
    ABORTED = "aborted"

    UNKNOWN_OUTCOME = "unknown_outcome"
    TIMEOUT = "timeout"
    FAILED = "failed"
    UNKNOWN_STATEMENT = "unknown_statement"
    UNKNOWN_DATABASE = "unknown_database"
    MALFORMED = "malformed"
