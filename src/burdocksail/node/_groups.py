"""State of the groups that this instance leads.

Parts of the blackboard's ``work`` section: servers, connections, queues,
requests, transactions and changes of primary.
"""

from collections import deque
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum

from burdocksail.core import (
    Answer,
    Instance,
    LogPosition,
    LogVector,
    Request,
    WorkClass,
)
from burdocksail.node._upstream import ServerReport
from burdocksail.records import Server


class Phase(Enum):
    """Stage of a group that this instance leads.

    ``INSPECTING`` means that the servers' states are read to find the primary;
    ``PROMOTING`` that servers are fenced and one of them is promoted. Outside of
    open transactions, work starts only in ``OPEN``.
    """

    INSPECTING = "inspecting"
    OPEN = "open"
    PROMOTING = "promoting"


class Hold(Enum):
    """Which new work waits during a handover or a planned change of primary."""

    NONE = "none"
    LONG = "long"
    ALL = "all"


class ConnectionUse(Enum):
    """What an upstream connection is used for."""

    OPENING = "opening"
    IDLE = "idle"
    BUSY = "busy"
    TRANSACTION = "transaction"


@dataclass(slots=True)
class UpstreamConnection:
    """One connection to an upstream server."""

    connection_id: int
    group: str
    server: str
    use: ConnectionUse
    opened_at: timedelta
    idle_since: timedelta


class WorkState(Enum):
    """Progress of a request at the leader of its group."""

    PARKED = "parked"
    QUEUED = "queued"
    RUNNING = "running"
    AWAITING_REPLICA = "awaiting_replica"
    AWAITING_LEASE = "awaiting_lease"
    FINISHED = "finished"


@dataclass(slots=True)
class Work:
    """A request at the leader of its group.

    Attributes
    ----------
    origin : Instance or None
        Instance that forwarded the request; None if it entered here.
    operations : set of int
        Operations running for the request; two if the read is hedged.
    sent : bool
        Whether the request was dispatched to an upstream. Reset before a retry
        unless an attempt may have had an effect.
    earlier_result_lost : bool
        Whether the result of an earlier attempt was lost.
    answer : Answer or None
        The answer that waits for a replica or for the lease.
    """

    request: Request
    origin: Instance | None
    arrived_at: timedelta
    deadline: timedelta
    work_class: WorkClass
    fingerprint: int
    state: WorkState = WorkState.PARKED
    server: str = ""
    operations: set[int] = field(default_factory=set)
    attempts: int = 0
    sent: bool = False
    earlier_result_lost: bool = False
    answer: Answer | None = None
    position: LogPosition | None = None
    started_at: timedelta = timedelta()


@dataclass(slots=True)
class WorkQueue:
    """Fair queue of one work class at one server; written by ``_admission``.

    Attributes
    ----------
    by_service : dict of str to deque of Work
        Waiting work in order of arrival.
    virtual_finish_times : dict of str to float
        Virtual finish time of the work that each service took from the queue
        last, which is the virtual start time of its next work. It grows by the
        expected run time of the work over the service's share.
    virtual_time : float
        Virtual start time of the work taken last. A service whose queue was
        empty does not start before it.
    """

    by_service: dict[str, deque[Work]] = field(default_factory=dict)
    virtual_finish_times: dict[str, float] = field(default_factory=dict)
    virtual_time: float = 0.0
    length: int = 0


@dataclass(slots=True)
class ServerState:
    """An upstream server as seen by the leader of its group.

    Attributes
    ----------
    vector : LogVector
        Lower bound of what the server has applied.
    round_trip_seconds : float
        Shortest recent duration of an inspection, mostly network time.
    short_seconds, long_seconds : float
        Moving average of the duration of a statement of each class, including
        network time.
    errant : bool
        Whether the server holds transactions of earlier terms that the primary
        lacks.
    inspection_id, position_wait_id : int
        Id of the administrative action in progress; 0 if none is.
    """

    name: str
    record: Server
    report: ServerReport | None = None
    vector: LogVector = LogVector()
    reported_at: timedelta | None = None
    failures: int = 0
    reachable: bool = True
    errant: bool = False
    inspection_id: int = 0
    position_wait_id: int = 0
    inspected_at: timedelta | None = None
    connections: dict[int, UpstreamConnection] = field(default_factory=dict)
    idle: list[int] = field(default_factory=list)
    running: dict[int, WorkClass] = field(default_factory=dict)
    running_long: int = 0
    connect_retry_at: timedelta = timedelta()
    short: WorkQueue = field(default_factory=WorkQueue)
    long: WorkQueue = field(default_factory=WorkQueue)
    round_trip_seconds: float = 0.001
    short_seconds: float = 0.002
    long_seconds: float = 0.2


@dataclass(slots=True)
class Transaction:
    """An open transaction at the leader of its group.

    It is identified by the request id of its BEGIN rather than by its session,
    since a BEGIN that arrives late must not be taken for the session's newer one.
    """

    transaction_id: str
    origin: Instance | None
    server: str
    connection_id: int
    last_used: timedelta
    busy: bool = False


class PromotionStep(Enum):
    """Step of a change of primary.

    An unplanned change may begin with ``CONFIRMING``, which asks witnesses
    whether they reach the primary. A planned one begins with ``HOLDING``, which
    holds new work and waits for running work to end, ``FENCING_PRIMARY``, which
    fences the old primary, and ``CATCHING_UP``, which waits until the target has
    applied all that the old primary had. Both end with ``FENCING``, which fences
    the servers, at least a majority of them, and ``PROMOTING``, which promotes the
    target.
    """

    CONFIRMING = "confirming"
    HOLDING = "holding"
    FENCING_PRIMARY = "fencing_primary"
    CATCHING_UP = "catching_up"
    FENCING = "fencing"
    PROMOTING = "promoting"


@dataclass(slots=True)
class Promotion:
    """A change of primary in progress; written by ``_promotion``.

    Attributes
    ----------
    step_started_at : timedelta
        When the present step began.
    planned : bool
        Whether the group's record asks for the change.
    target : str
        Server to promote; empty until one is chosen.
    actions : dict of int to str
        Purpose of each administrative action in progress, by its id.
    fenced : dict of str to ServerReport
        Reports of the servers that are fenced at `term`.
    reachable_by : dict of str to bool
        Whether each instance that answered a probe reaches the primary.
    catch_up_vector : LogVector
        What the target has to apply before it is promoted, if planned.
    """

    term: int
    step: PromotionStep
    step_started_at: timedelta
    planned: bool
    target: str = ""
    actions: dict[int, str] = field(default_factory=dict)
    fenced: dict[str, ServerReport] = field(default_factory=dict)
    reachable_by: dict[str, bool] = field(default_factory=dict)
    catch_up_vector: LogVector = LogVector()


@dataclass(frozen=True, slots=True)
class PrimarySample:
    """What the primary had applied, as reported by itself.

    Attributes
    ----------
    taken_at : timedelta
        Time before the report was requested.
    vector : LogVector
        Covers at least all that the primary had applied at `taken_at`.
    """

    taken_at: timedelta
    vector: LogVector


@dataclass(slots=True)
class GroupRuntime:
    """A group that this instance leads.

    Mainly written by ``_servers`` (server states, samples), ``_promotion``
    (phase, term, primary, opening vector, promotion), ``_handover`` (hold),
    ``_work`` and ``_outcomes`` (work lists, floors) and ``_transactions``
    (transactions).

    Attributes
    ----------
    opening_vector : LogVector
        What the primary had applied when the group was opened in this term.
    floors : dict of str to LogPosition
        Last acknowledged write of each account in this term.
    parked : list of Work
        Work that waits for a server, for the group to open or for `hold` to end.
    """

    group: str
    started_at: timedelta
    phase: Phase = Phase.INSPECTING
    hold: Hold = Hold.NONE
    term: int = 0
    primary: str = ""
    opening_vector: LogVector = LogVector()
    servers: dict[str, ServerState] = field(default_factory=dict)
    samples: deque[PrimarySample] = field(default_factory=lambda: deque(maxlen=256))
    floors: dict[str, LogPosition] = field(default_factory=dict)
    transactions: dict[str, Transaction] = field(default_factory=dict)
    parked: list[Work] = field(default_factory=list)
    awaiting_replica: list[Work] = field(default_factory=list)
    awaiting_lease: list[Work] = field(default_factory=list)
    promotion: Promotion | None = None
    planned_retry_at: timedelta = timedelta()
    last_request_at: timedelta = timedelta(seconds=-60)
    last_stated_age_read_at: timedelta = timedelta(seconds=-60)


@dataclass(slots=True)
class RunningOperation:
    """An operation that the shell is running.

    Attributes
    ----------
    work : Work or None
        The request it runs for; None for the rollback of a transaction.
    vector_at_start : LogVector
        Lower bound of what the server had applied when the operation started.
    """

    operation_id: int
    group: str
    server: str
    connection_id: int
    term: int
    started_at: timedelta
    work: Work | None
    vector_at_start: LogVector = LogVector()


@dataclass(frozen=True, slots=True)
class FingerprintStatistics:
    """Mean duration of the statements of one fingerprint."""

    mean_seconds: float


@dataclass(frozen=True, slots=True)
class AdminCall:
    """An administrative action that the shell is running.

    Attributes
    ----------
    purpose : str
        Why it runs; selects the handler of its result.
    origin : Instance or None
        For a probe, the instance that asked for it.
    """

    group: str
    server: str
    purpose: str
    started_at: timedelta
    origin: Instance | None = None
