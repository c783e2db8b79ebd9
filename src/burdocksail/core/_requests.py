"""What a caller asks and what it is told."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum

from burdocksail.core._positions import LogPosition


class StatementKind(Enum):
    """What a statement may do, judged from its first keywords."""

    READ = "read"
    WRITE = "write"
    BEGIN = "begin"
    COMMIT = "commit"
    ROLLBACK = "rollback"


class Freshness(Enum):
    """How fresh the data of a read has to be."""

    PRIMARY = "primary"
    OWN_WRITES = "own_writes"
    STATED_AGE = "stated_age"


class WorkClass(Enum):
    """Whether a statement is expected to be short or long."""

    SHORT = "short"
    LONG = "long"


class Outcome(Enum):
    """What became of a request.

    ``NOT_RUN`` is said only if no byte of the statement left for an upstream
    or the upstream itself refused it. ``UNKNOWN`` is said whenever neither of
    the other two can be shown.
    """

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Request:
    """One statement of one caller.

    Attributes
    ----------
    request_id : str
        Unique over all instances; answers are matched by it.
    session_id : str
        The caller's connection at its entry instance.
    account, database, group : str
        Who asks, and which database of which database group is asked.
    sql : str
        The statement.
    kind : StatementKind
        What the statement may do.
    freshness : Freshness
        How fresh the data of a read has to be.
    max_age : timedelta or None
        Greatest age of the data for ``Freshness.STATED_AGE``.
    floor : LogPosition or None
        Position that the session is known to have seen.
    has_token : bool
        Whether the caller tracks its session by tokens. Without them the
        session may span connections, so reads also cover every write of the
        account.
    request_key : str
        Key under which the statement runs at most once; may be empty.
    time_left : timedelta
        Time until the caller's deadline, counted from when this was sent.
    repeatable : bool
        Whether running the statement twice does no harm.
    work_class : WorkClass or None
        Class given by the caller; None leaves it to the statistics.
    transaction_id : str
        Request id of the BEGIN of the transaction that the statement belongs
        to; empty outside of transactions.
    service_name : str
        Service that the database belongs to, for fair shares.
    """

    request_id: str
    session_id: str
    account: str
    database: str
    group: str
    sql: str
    kind: StatementKind
    freshness: Freshness = Freshness.OWN_WRITES
    max_age: timedelta | None = None
    floor: LogPosition | None = None
    has_token: bool = False
    request_key: str = ""
    time_left: timedelta = timedelta(seconds=5)
    repeatable: bool = False
    work_class: WorkClass | None = None
    transaction_id: str = ""
    service_name: str = ""

    @property
    def in_transaction(self) -> bool:
        """Return whether the statement belongs to an open transaction."""
        return bool(self.transaction_id)


@dataclass(frozen=True, slots=True)
class Column:
    """Name and MySQL type code of a column of a result set."""

    name: str
    type_code: int


@dataclass(frozen=True, slots=True)
class ResultSet:
    """Rows in MySQL's text form, or the counts of a write.

    Attributes
    ----------
    columns : tuple of Column
        Empty for a statement that returns no rows.
    rows : sequence of sequence of (bytes or None)
        Values in MySQL's text protocol; None is NULL.
    affected_rows, last_insert_id : int
        Counts of a write.
    """

    columns: tuple[Column, ...] = ()
    rows: Sequence[Sequence[bytes | None]] = field(default=())
    affected_rows: int = 0
    last_insert_id: int = 0


class AnswerError(Enum):
    """Why a request was not answered with a result."""

    NONE = "none"
    OVERLOADED = "overloaded"
    DEADLINE = "deadline"
    NO_LEADER = "no_leader"
    NO_PRIMARY = "no_primary"
    LOST_WRITE = "lost_write"
    TRANSACTION_LOST = "transaction_lost"
    UPSTREAM_LOST = "upstream_lost"
    UPSTREAM_ERROR = "upstream_error"
    BAD_REQUEST = "bad_request"
    STOPPING = "stopping"


@dataclass(frozen=True, slots=True)
class Answer:
    """What a caller is told of one request.

    Attributes
    ----------
    outcome : Outcome
        Whether the statement ran.
    error : AnswerError
        ``NONE`` if `result` is the statement's own result.
    error_code : int
        MySQL error code of an upstream error; 0 otherwise.
    message : str
        Explanation for people.
    position : LogPosition or None
        Position that the session has seen after this answer.
    server : str
        Server that ran the statement.
    repeated : bool
        Whether `result` is the recorded result of an earlier run under the
        same request key.
    age : timedelta or None
        Greatest possible age of the data when the leader sent the answer; None
        if no age was asked for.
    """

    outcome: Outcome
    result: ResultSet = ResultSet()
    error: AnswerError = AnswerError.NONE
    error_code: int = 0
    message: str = ""
    position: LogPosition | None = None
    server: str = ""
    repeated: bool = False
    age: timedelta | None = None
