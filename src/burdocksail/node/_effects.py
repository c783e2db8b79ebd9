"""Effects: everything that a node can ask its shell to do."""

from dataclasses import dataclass
from datetime import timedelta

from burdocksail.core import Answer, Instance
from burdocksail.node._messages import Message
from burdocksail.node._store import StoreOperation
from burdocksail.node._upstream import AdminAction, Operation
from burdocksail.records import Group, Server


@dataclass(frozen=True, slots=True)
class Reply:
    """Answer a caller's statement.

    Attributes
    ----------
    token : str
        Consistency token of the session after the answer.
    in_transaction : bool
        Whether the session has an open transaction after the answer.
    autocommit : bool
        Whether the session's statements commit by themselves.
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
    """Run an administrative action on a server, over its own connection."""

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
    """The node holds nothing any more; the process may exit."""


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
