"""Events: everything that can happen to a node."""

from dataclasses import dataclass, field
from datetime import timedelta

from burdocksail.core import Freshness, Instance, WorkClass
from burdocksail.node._messages import Message
from burdocksail.node._store import StoreReply
from burdocksail.node._upstream import OperationResult, ServerReport


@dataclass(frozen=True, slots=True)
class StatementOptions:
    """What a caller states about one statement, by attribute or variable.

    Attributes
    ----------
    token : str
        Consistency token; empty if the caller sends none.
    """

    token: str = ""
    freshness: Freshness | None = None
    max_age: timedelta | None = None
    request_key: str = ""
    deadline: timedelta | None = None
    repeatable: bool = False
    work_class: WorkClass | None = None


@dataclass(frozen=True, slots=True)
class SessionOpened:
    """A caller has authenticated."""

    session_id: str
    account: str


@dataclass(frozen=True, slots=True)
class SessionEnded:
    """A caller's connection is gone."""

    session_id: str


@dataclass(frozen=True, slots=True)
class StatementArrived:
    """A caller sent a statement; it sends the next after the answer."""

    request_id: str
    session_id: str
    database: str
    sql: str
    options: StatementOptions = field(default_factory=StatementOptions)


@dataclass(frozen=True, slots=True)
class MessageArrived:
    """A message of another instance."""

    sender: Instance
    message: Message


@dataclass(frozen=True, slots=True)
class MessageNotSent:
    """A message that certainly did not reach its receiver."""

    receiver: Instance
    message: Message


@dataclass(frozen=True, slots=True)
class PeerUnreachable:
    """The connection to another instance broke or could not be made."""

    instance: Instance


@dataclass(frozen=True, slots=True)
class UpstreamConnected:
    """A connection to an upstream server is ready."""

    connection_id: int


@dataclass(frozen=True, slots=True)
class UpstreamClosed:
    """A connection to an upstream server failed or broke while idle."""

    connection_id: int
    message: str = ""


@dataclass(frozen=True, slots=True)
class OperationFinished:
    """An operation on an upstream connection ended."""

    operation_id: int
    result: OperationResult


@dataclass(frozen=True, slots=True)
class AdminFinished:
    """An administrative action ended; `report` is None if it failed."""

    action_id: int
    report: ServerReport | None
    message: str = ""


@dataclass(frozen=True, slots=True)
class StoreReplied:
    """A store call ended."""

    call_id: int
    reply: StoreReply


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed; sent every `TICK_INTERVAL`."""


@dataclass(frozen=True, slots=True)
class StopRequested:
    """The process is asked to stop gracefully."""


Event = (
    SessionOpened
    | SessionEnded
    | StatementArrived
    | MessageArrived
    | MessageNotSent
    | PeerUnreachable
    | UpstreamConnected
    | UpstreamClosed
    | OperationFinished
    | AdminFinished
    | StoreReplied
    | Tick
    | StopRequested
)

TICK_INTERVAL = timedelta(milliseconds=20)
