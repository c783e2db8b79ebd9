"""Requests of callers and the answers to them."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum

from burdocksail.core._positions import LogPosition


class StatementKind(Enum):
    """What a statement may do, judged by its keywords."""

    READ = "read"
    WRITE = "write"
    BEGIN = "begin"
    COMMIT = "commit"
    ROLLBACK = "rollback"


class Freshness(Enum):
    """How fresh the data of a read has to be.

    `PRIMARY` reads at the primary, `OWN_WRITES` sees all earlier writes of the
    session, and `STATED_AGE` does so too and bounds the age of the data.

    Used by `node`. Differs from `catalog.ReadPolicy`, used by `serving`, where
    `OWN_WRITES` is the stricter of the two.
    """

    PRIMARY = "primary"
    OWN_WRITES = "own_writes"
    STATED_AGE = "stated_age"


class WorkClass(Enum):
    """Whether a statement is expected to be short or long."""

    SHORT = "short"
    LONG = "long"


class Outcome(Enum):
    """Whether the statement of a request ran.

    ``NOT_RUN`` is returned only if no byte of the statement was sent to an
    upstream or the upstream itself refused it. ``UNKNOWN`` is returned whenever
    neither of the other two can be proven.
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
        Identifier that is unique across all instances; answers are matched to
        requests by it.
    session_id : str
        Identifier of the caller's connection at the instance that accepted it.
    account, database, group : str
        Account of the caller, the database, and the database group that holds
        it.
    sql : str
        The statement.
    kind : StatementKind
        What the statement may do.
    freshness : Freshness
        How fresh the data of a read has to be.
    max_age : timedelta or None
        Maximum age of the data for ``Freshness.STATED_AGE``.
    floor : LogPosition or None
        Position that the server must have applied before it runs the statement:
        the last one that the session is known to have seen.
    has_token : bool
        Whether the caller tracks its session with consistency tokens. Without
        them a session may use several connections, so its reads also have to
        cover every write of the account.
    request_key : str
        Idempotency key: the statement runs at most once per key. Empty if the
        caller gave none.
    time_left : timedelta
        Time until the caller's deadline, counted from when the request was
        sent.
    repeatable : bool
        Whether the statement is idempotent, so that it may run twice.
    work_class : WorkClass or None
        Class given by the caller; if None, it is derived from rules and from
        statistics of earlier runs.
    transaction_id : str
        Request id of the BEGIN of the transaction that the statement belongs
        to; empty outside of transactions.
    service_name : str
        Service (`records.Service`, a team's set of databases) that is charged
        for the statement in weighted fair queueing. Not a `catalog.Service`.
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
    """Rows in MySQL's text protocol, or the counts of a write.

    Attributes
    ----------
    columns : tuple of Column
        Empty for a statement that returns no rows.
    rows : sequence of sequence of (bytes or None)
        Values as encoded in MySQL's text protocol; None is NULL.
    affected_rows, last_insert_id : int
        Row count and last insert id of a write, as MySQL reports them.
    """

    columns: tuple[Column, ...] = ()
    rows: Sequence[Sequence[bytes | None]] = field(default=())
    affected_rows: int = 0
    last_insert_id: int = 0


class AnswerError(Enum):
    """Why a request did not return a result."""

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
    """Answer to one request.

    Attributes
    ----------
    outcome : Outcome
        Whether the statement ran.
    error : AnswerError
        ``NONE`` if the statement succeeded; `result` is then valid.
    error_code : int
        MySQL error code of an upstream error; 0 otherwise.
    message : str
        Human-readable explanation of the error.
    position : LogPosition or None
        Last position that the session has seen after this answer.
    server : str
        Server that ran the statement.
    repeated : bool
        Whether `result` was recorded by an earlier run with the same request
        key.
    age : timedelta or None
        Upper bound of the data's age when the leader sent the answer; None if
        the request set no limit on it.
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
