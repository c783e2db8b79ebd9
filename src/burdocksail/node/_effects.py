"""Effects: the actions that a node requests of its shell, which does the I/O."""

from dataclasses import dataclass
from datetime import timedelta

from burdocksail.core import Answer, Instance
from burdocksail.node._messages import Message
from burdocksail.node._store import StoreOperation
from burdocksail.node._upstream import AdminAction, Operation
from burdocksail.records import Group, Server


@dataclass(frozen=True, slots=True)
class Reply:
    """Send the answer of a statement to its caller.

    Attributes
    ----------
    token : str
        Consistency token of the session after the answer.
    in_transaction : bool
        Whether the session is in a transaction after the answer: an open one,
        or a lost one that the caller has not ended yet.
    autocommit : bool
        Whether the session's autocommit is on.
    """

    request_id: str
    session_id: str
    answer: Answer
    token: str
    in_transaction: bool
    autocommit: bool


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to another instance."""

    receiver: Instance
    message: Message


@dataclass(frozen=True, slots=True)
class OpenConnection:
    """Connect to an upstream server."""

    connection_id: int
    group: Group
    server: Server


@dataclass(frozen=True, slots=True)
class CloseConnection:
    """Close a connection to an upstream server; no event follows."""

    connection_id: int


@dataclass(frozen=True, slots=True)
class RunOperation:
    """Run a statement on an open upstream connection."""

    operation: Operation


@dataclass(frozen=True, slots=True)
class RunAdmin:
    """Run an administrative action on a server, over a separate connection."""

    action_id: int
    group: Group
    server: Server
    action: AdminAction
    timeout: timedelta


@dataclass(frozen=True, slots=True)
class CallStore:
    """Call the platform's store."""

    call_id: int
    operation: StoreOperation
    timeout: timedelta


@dataclass(frozen=True, slots=True)
class ReportStopped:
    """Report that the process may exit.

    The node holds no group, request or transaction.
    """


Effect = (
    Reply
    | Send
    | OpenConnection
    | CloseConnection
    | RunOperation
    | RunAdmin
    | CallStore
    | ReportStopped
)
