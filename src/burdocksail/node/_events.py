"""Events: the inputs that the shell passes to a node."""

from dataclasses import dataclass, field
from datetime import timedelta

from burdocksail.core import Freshness, Instance, WorkClass
from burdocksail.node._messages import Message
from burdocksail.node._store import StoreReply
from burdocksail.node._upstream import OperationResult, ServerReport


@dataclass(frozen=True, slots=True)
class StatementOptions:
    """Options of one statement, set by query attribute or session variable.

    Attributes
    ----------
    token : str
        Consistency token; empty if the caller sends none.
    freshness : Freshness or None
        Required freshness of a read; None for the service's own.
    max_age : timedelta or None
        Greatest age of data that a read of stated age may see; None for the
        service's own.
    request_key : str
        Idempotency key; empty if there is none.
    deadline : timedelta or None
        Time allowed for the statement; None for the service's own.
    repeatable : bool
        Whether the statement may be run more than once.
    work_class : WorkClass or None
        Class given by the caller; None leaves it to the service's rules and
        then to the statistics.
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
    """A caller's connection has closed."""

    session_id: str


@dataclass(frozen=True, slots=True)
class StatementArrived:
    """A caller has sent a statement.

    The session's next statement arrives only after the answer to this one.
    """

    request_id: str
    session_id: str
    database: str
    sql: str
    options: StatementOptions = field(default_factory=StatementOptions)


@dataclass(frozen=True, slots=True)
class MessageArrived:
    """A message from another instance has arrived."""

    sender: Instance
    message: Message


@dataclass(frozen=True, slots=True)
class MessageNotSent:
    """A message certainly did not reach its receiver."""

    receiver: Instance
    message: Message


@dataclass(frozen=True, slots=True)
class PeerUnreachable:
    """The connection to another instance broke or could not be made."""

    instance: Instance


@dataclass(frozen=True, slots=True)
class UpstreamConnected:
    """A connection to an upstream server is ready for use."""

    connection_id: int


@dataclass(frozen=True, slots=True)
class UpstreamClosed:
    """A connection to an upstream server could not be opened or broke while idle."""

    connection_id: int
    message: str = ""


@dataclass(frozen=True, slots=True)
class OperationFinished:
    """An operation on an upstream connection has ended."""

    operation_id: int
    result: OperationResult


@dataclass(frozen=True, slots=True)
class AdminFinished:
    """An administrative action has ended; `report` is None if it failed."""

    action_id: int
    report: ServerReport | None
    message: str = ""


@dataclass(frozen=True, slots=True)
class StoreReplied:
    """A store call has ended."""

    call_id: int
    reply: StoreReply


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed; the shell sends one every `TICK_INTERVAL`."""


@dataclass(frozen=True, slots=True)
class StopRequested:
    """A graceful shutdown of the process has been requested."""


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
