"""What a node asks of upstream servers, as values."""

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
        For ``KEYED_WRITE``: inserted in the statement's own transaction. For
        ``BEGIN``: inserted as the transaction's first statement.
    """

    operation_id: int
    connection_id: int
    mode: OperationMode
    database: str
    sql: str
    request_key: str = ""


class OperationStatus(Enum):
    """What became of an operation.

    ``NOT_SENT`` means that no byte of the statement left; ``REFUSED`` that the
    server answered with an error and changed nothing; ``LOST`` that the
    connection broke after the statement was sent.
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
        What the server had applied after a write or commit.
    repeated : bool
        The request key was there already; `result` is the recorded one.
    """

    status: OperationStatus
    result: ResultSet = ResultSet()
    vector: LogVector | None = None
    error_code: int = 0
    message: str = ""
    repeated: bool = False


@dataclass(frozen=True, slots=True)
class InspectServer:
    """Ask a server for its state."""


@dataclass(frozen=True, slots=True)
class AwaitPosition:
    """Wait until a server has applied a position, then report its state."""

    position: LogPosition


@dataclass(frozen=True, slots=True)
class FenceServer:
    """Raise a server's term and make it read-only.

    A fenced server takes no writes of an earlier term, neither from callers
    nor from an earlier primary.
    """

    term: int


@dataclass(frozen=True, slots=True)
class PromoteServer:
    """Make a server that is fenced at `term` the primary of that term."""

    term: int


@dataclass(frozen=True, slots=True)
class FollowServer:
    """Make a server that is fenced at `term` replicate from `source`."""

    term: int
    source: Server


AdminAction = InspectServer | AwaitPosition | FenceServer | PromoteServer | FollowServer


@dataclass(frozen=True, slots=True)
class ServerReport:
    """State of a server.

    Attributes
    ----------
    term : int
        Highest term that the server has been fenced at or written in.
    writable : bool
        Whether the server accepts writes.
    vector : LogVector
        What the server has applied.
    source_host, source_port
        Server that this one replicates from; empty and 0 if none.
    """

    term: int
    writable: bool
    vector: LogVector
    source_host: str = ""
    source_port: int = 0
