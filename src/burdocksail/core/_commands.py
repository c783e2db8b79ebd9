"""Commands received from callers and sent to upstreams.

They are independent of any wire protocol.

The adapter on the caller's side decodes its protocol into these records, and
the adapter on the upstream's side encodes them again. The code in between
neither parses nor formats statements: `text` is opaque to it.
"""

from dataclasses import dataclass
from enum import Enum


@dataclass(frozen=True, slots=True)
class Run:
    """Run one statement without preparing it.

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
    """Run the prepared statement called `name`."""

    request_id: str
    name: str
    arguments: str


@dataclass(frozen=True, slots=True)
class Prepare:
    """Prepare a statement under a name that is valid until the session ends.

    Attributes
    ----------
    template : str
        Text of the statement, without the arguments of an execution; called
        *shape* in the line protocol.
    writes : bool
        Whether the statement may change data.
    """

    request_id: str
    name: str
    template: str
    writes: bool


@dataclass(frozen=True, slots=True)
class Deallocate:
    """Discard the prepared statement called `name`."""

    request_id: str
    name: str


@dataclass(frozen=True, slots=True)
class SetVariable:
    """Set a variable of the session."""

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
    """Clear the variables and prepared statements of an upstream session."""

    request_id: str = ""


CallerCommand = (
    Run
    | ExecutePrepared
    | Prepare
    | Deallocate
    | SetVariable
    | Begin
    | Commit
    | Rollback
)
UpstreamCommand = CallerCommand | ResetSession


class TransactionState(Enum):
    """State of a session's transaction.

    `FAILED`: the transaction was rolled back or lost, and statements are refused
    until the caller ends it.
    """

    IDLE = "idle"
    OPEN = "open"
    FAILED = "failed"


class FailureKind(Enum):
    """Why a command did not succeed.

    `BUSY` and `ABORTED` guarantee that the caller's attempt has no lasting
    effect. The other values alone do not: whether there is one depends on the
    command.
    """

    BUSY = "busy"
    ABORTED = "aborted"

    UNKNOWN_OUTCOME = "unknown_outcome"
    TIMEOUT = "timeout"
    FAILED = "failed"
    UNKNOWN_STATEMENT = "unknown_statement"
    UNKNOWN_DATABASE = "unknown_database"
    MALFORMED = "malformed"
    DENIED = "denied"  # the caller's key is unknown or withdrawn
