"""Operations and administrative actions on upstream servers, and their results.

All of them are immutable values. The shell executes the operations and actions and
reports the results to the node as events.
"""

from dataclasses import dataclass
from enum import Enum

from burdocksail.core import LogPosition, LogVector, ResultSet
from burdocksail.records import Server


class OperationMode(Enum):
    """How the upstream adapter runs a statement."""

    READ = "read"
    WRITE = "write"
    KEYED_WRITE = "keyed_write"
    BEGIN = "begin"
    STATEMENT = "statement"
    COMMIT = "commit"
    ROLLBACK = "rollback"


@dataclass(frozen=True, slots=True)
class Operation:
    """One statement on one upstream connection.

    Attributes
    ----------
    request_key : str
        Idempotency key. For ``KEYED_WRITE``, it is inserted in the same
        transaction as the statement; for ``BEGIN``, by the first statement of
        the transaction.
    """

    operation_id: int
    connection_id: int
    mode: OperationMode
    database: str
    sql: str
    request_key: str = ""


class OperationStatus(Enum):
    """Outcome of an operation.

    ``NOT_SENT`` means that no byte of the statement was sent; ``REFUSED`` that
    the server answered with an error and changed nothing; ``LOST`` that the
    connection broke after the statement was sent, so that it is unknown whether
    the statement ran.
    """

    DONE = "done"
    REFUSED = "refused"
    NOT_SENT = "not_sent"
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class OperationResult:
    """Result of an operation.

    Attributes
    ----------
    vector : LogVector or None
        Log positions that the server had applied after a write or commit.
    repeated : bool
        Whether the request key was stored already; `result` then holds only the
        affected rows and last insert id that the earlier run recorded.
    """

    status: OperationStatus
    result: ResultSet = ResultSet()
    vector: LogVector | None = None
    error_code: int = 0
    message: str = ""
    repeated: bool = False


@dataclass(frozen=True, slots=True)
class InspectServer:
    """Read a server's term, writability, applied positions and source."""


@dataclass(frozen=True, slots=True)
class AwaitPosition:
    """Wait until a server has applied `position`, then report its state."""

    position: LogPosition


@dataclass(frozen=True, slots=True)
class FenceServer:
    """Raise a server's term and make it read-only.

    A fenced server accepts no writes of an earlier term, neither from callers
    nor by replication from an earlier primary.
    """

    term: int


@dataclass(frozen=True, slots=True)
class PromoteServer:
    """Make a server that is fenced at `term` the primary of that term."""

    term: int


@dataclass(frozen=True, slots=True)
class FollowServer:
    """Raise a server's term to `term` and make it replicate from `source`."""

    term: int
    source: Server


AdminAction = InspectServer | AwaitPosition | FenceServer | PromoteServer | FollowServer


@dataclass(frozen=True, slots=True)
class ServerReport:
    """State of a server.

    Attributes
    ----------
    term : int
        Highest term at which the server was fenced or accepted writes.
    writable : bool
        Whether the server accepts writes.
    vector : LogVector
        Log positions that the server has applied.
    source_host, source_port
        Server from which this one replicates; empty and 0 if none.
    """

    term: int
    writable: bool
    vector: LogVector
    source_host: str = ""
    source_port: int = 0
