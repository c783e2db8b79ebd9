"""The blackboard: every fact that a node knows.

Each section has one controller module that writes it, named in the section's
docstring; any controller may read any section. Controllers change a foreign
section only by calling a function of the module that owns it.
"""

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum

from burdocksail.core import (
    Answer,
    Clock,
    Instance,
    LogPosition,
    Request,
)
from burdocksail.node._effects import Effect
from burdocksail.node._events import StatementOptions
from burdocksail.node._groups import (
    AdminCall,
    FingerprintStatistics,
    GroupRuntime,
    RunningOperation,
    UpstreamConnection,
    Work,
)
from burdocksail.node._messages import AcceptedItem, Ballot, Rumour
from burdocksail.node._metrics import Metrics
from burdocksail.node._settings import NodeSettings
from burdocksail.node._status import GroupStatus
from burdocksail.node._store import StoreReply
from burdocksail.records import Group, Service, Team


@dataclass(slots=True)
class ConfigurationSection:
    """Accepted records in force; written by ``_configuration``."""

    items: dict[str, AcceptedItem] = field(default_factory=dict)
    revision: int = 0
    teams: dict[str, Team] = field(default_factory=dict)
    services: dict[str, Service] = field(default_factory=dict)
    groups: dict[str, Group] = field(default_factory=dict)
    service_of_account: dict[str, Service] = field(default_factory=dict)
    service_of_database: dict[str, Service] = field(default_factory=dict)
    call_in_flight: bool = False
    listed: bool = False
    source_attempt: int = 0
    last_pull: timedelta | None = None
    last_refresh: timedelta | None = None


@dataclass(slots=True)
class StoredRecord:
    """An operator's record as last read from the store."""

    version: int
    value: str


@dataclass(slots=True)
class AcceptanceSection:
    """Records under examination; written by ``_acceptance``."""

    active: bool = False
    loaded: bool = False
    revision: int = 0
    records: dict[str, StoredRecord] = field(default_factory=dict)
    accepted_object_versions: dict[str, int] = field(default_factory=dict)
    accepted_generations: dict[str, int] = field(default_factory=dict)
    refusals: dict[str, str] = field(default_factory=dict)
    calls_in_flight: int = 0


class MemberHealth(Enum):
    """What is believed of an instance."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


@dataclass(slots=True)
class Member:
    """What is known of one instance.

    Attributes
    ----------
    witnesses : dict of str to str
        Failure domain of each instance that suspects this one.
    known_since : timedelta
        When this instance first heard of it.
    superseded_at : timedelta or None
        When another incarnation of the same name proved that this one ended.
    """

    instance: Instance
    health: MemberHealth
    version: int
    witnesses: dict[str, str] = field(default_factory=dict)
    known_since: timedelta = timedelta()
    changed_at: timedelta = timedelta()
    superseded_at: timedelta | None = None


@dataclass(frozen=True, slots=True)
class Probe:
    """A liveness probe that has not been answered."""

    target: Instance
    sent_at: timedelta


@dataclass(slots=True)
class PendingRumour:
    """A rumour and how often it is still to be passed on."""

    rumour: Rumour
    copies_left: int


@dataclass(frozen=True, slots=True)
class PreferredInstance:
    """The live instance with the greatest rendezvous weight for a group."""

    weight: int
    instance: Instance


@dataclass(frozen=True, slots=True)
class Ranking:
    """Live instances by rendezvous weight, as of a version of the live set."""

    live_version: int
    instances: list[Instance]


@dataclass(slots=True)
class MembershipSection:
    """Liveness of instances; written by ``_membership``."""

    members: dict[str, Member] = field(default_factory=dict)
    live: dict[str, Instance] = field(default_factory=dict)
    live_version: int = 0
    probes: dict[int, Probe] = field(default_factory=dict)
    probe_order: list[str] = field(default_factory=list)
    own_version: int = 0
    leaving: bool = False
    rumours: deque[PendingRumour] = field(default_factory=deque)
    list_due_at: timedelta = timedelta()
    preferred: dict[str, PreferredInstance] = field(default_factory=dict)
    preferred_here: set[str] = field(default_factory=set)
    rankings: dict[str, Ranking] = field(default_factory=dict)


class Role(Enum):
    """Part of this instance in the leadership of a group."""

    FOLLOWER = "follower"
    READING_STATUS = "reading_status"
    ASKING_MEMBERS = "asking_members"
    CLAIMING = "claiming"
    ACQUIRING = "acquiring"
    LEADING = "leading"
    DRAINING = "draining"
    HANDING_OVER = "handing_over"


@dataclass(slots=True)
class Leadership:
    """Leader's side of one group's lease.

    Attributes
    ----------
    lease_members : tuple of Instance
        The lease is valid while a majority of these has granted it.
    claim_sets : tuple of tuple of Instance
        Earlier member sets. Before the first use of the lease a majority of
        each has to be bound to this ballot, so that no earlier leader is left.
    pending_members : tuple of Instance
        Members that shall replace `lease_members`; empty if none shall.
    grants : dict of str to timedelta
        Until when each member's grant can be relied upon.
    unbound : dict of str to bool
        Answers of members on whether the previous lease has expired.
    """

    group: str
    role: Role = Role.FOLLOWER
    since: timedelta = timedelta()
    ballot: Ballot = Ballot()
    lease_members: tuple[Instance, ...] = ()
    claim_sets: tuple[tuple[Instance, ...], ...] = ()
    pending_members: tuple[Instance, ...] = ()
    grants: dict[str, timedelta] = field(default_factory=dict)
    unbound: dict[str, bool] = field(default_factory=dict)
    status: GroupStatus | None = None
    status_version: int = 0
    call_open: bool = False
    publish_needed: bool = False
    successor: Instance | None = None
    retry_at: timedelta = timedelta()
    rebalance_since: timedelta | None = None


@dataclass(slots=True)
class Promise:
    """Member's side of one group's lease.

    Attributes
    ----------
    bound : Ballot
        No smaller ballot is ever granted again by this incarnation.
    until : timedelta
        Until when no other holder may be granted a lease.
    watched : bool
        Whether this instance claims the group when the lease expires.
    """

    bound: Ballot
    holder: Instance
    until: timedelta
    watched: bool = True


@dataclass(slots=True)
class AuthoritySection:
    """Leases held and granted; written by ``_leadership`` and ``_promises``."""

    leaderships: dict[str, Leadership] = field(default_factory=dict)
    promises: dict[str, Promise] = field(default_factory=dict)
    hints: dict[str, Instance] = field(default_factory=dict)
    renewals: dict[int, timedelta] = field(default_factory=dict)
    last_renewal: timedelta | None = None
    checked_at: dict[str, timedelta] = field(default_factory=dict)
    last_rebalance: timedelta = timedelta()


@dataclass(slots=True)
class WorkSection:
    """Requests that this instance runs; written by ``_work``."""

    runtimes: dict[str, GroupRuntime] = field(default_factory=dict)
    works: dict[str, Work] = field(default_factory=dict)
    operations: dict[int, RunningOperation] = field(default_factory=dict)
    connections: dict[int, UpstreamConnection] = field(default_factory=dict)
    admin_actions: dict[int, "AdminCall"] = field(default_factory=dict)
    deadlines: list[tuple[timedelta, str]] = field(default_factory=list)
    fingerprints: dict[int, FingerprintStatistics] = field(default_factory=dict)
    replica_waits_due: set[str] = field(default_factory=set)
    retry_tokens: float = 10.0
    hedge_tokens: float = 5.0


@dataclass(slots=True)
class Session:
    """A caller's connection to this instance.

    Attributes
    ----------
    seen : dict of str to LogPosition
        Last position seen, by group.
    has_token : bool
        Whether the caller tracks its session by tokens.
    transaction_group : str
        Group of the open transaction; empty if none is open.
    transaction_leader : Instance or None
        The instance that holds the transaction.
    transaction_failed : bool
        Whether the transaction was lost and the caller has not ended it yet.
    options : StatementOptions
        What the caller has set for all statements to come.
    """

    session_id: str
    account: str
    seen: dict[str, LogPosition] = field(default_factory=dict)
    token: str = ""
    has_token: bool = False
    autocommit: bool = True
    transaction_group: str = ""
    transaction_id: str = ""
    transaction_leader: Instance | None = None
    transaction_failed: bool = False
    options: StatementOptions = StatementOptions()


@dataclass(slots=True)
class PendingRequest:
    """A caller's request that this instance has not answered yet.

    Attributes
    ----------
    forwarded_to : Instance or None
        Instance that may be running it.
    sent_at : timedelta
        When the present attempt was sent.
    maybe_run : bool
        Whether any instance may have run it.
    follow_up : Request or None
        Request to send once this one, an implicit BEGIN, is answered.
    """

    request: Request
    session_id: str
    deadline: timedelta
    forwarded_to: Instance | None = None
    sent_at: timedelta = timedelta()
    maybe_run: bool = False
    attempts: int = 0
    retry_at: timedelta | None = None
    follow_up: Request | None = None


@dataclass(frozen=True, slots=True)
class LocalAnswer:
    """An answer for a request that entered at this instance.

    ``answer`` is None if the request was not run because this instance does
    not lead the group any more.
    """

    request: Request
    answer: Answer | None


@dataclass(slots=True)
class EntrySection:
    """Callers of this instance; written by ``_entry``."""

    sessions: dict[str, Session] = field(default_factory=dict)
    pending: dict[str, PendingRequest] = field(default_factory=dict)
    deadlines: list[tuple[timedelta, str]] = field(default_factory=list)
    retries: list[tuple[timedelta, str]] = field(default_factory=list)
    answers: deque[LocalAnswer] = field(default_factory=deque)


@dataclass(slots=True)
class StopSection:
    """Graceful stop; written by ``_stopping``."""

    requested_at: timedelta | None = None
    reported: bool = False


StoreContinuation = Callable[["Blackboard", StoreReply], None]


@dataclass(slots=True)
class StoreSection:
    """Store calls in flight; written by ``_store_calls``."""

    calls: dict[int, StoreContinuation] = field(default_factory=dict)
    last_answer: timedelta | None = None
    last_failure: timedelta | None = None


@dataclass(slots=True)
class Blackboard:
    """All facts of a node, and the effects of the event being handled."""

    settings: NodeSettings
    clock: Clock
    random: random.Random
    metrics: Metrics = field(default_factory=Metrics)
    now: timedelta = timedelta()
    last_id: int = 0
    outbox: list[Effect] = field(default_factory=list)
    configuration: ConfigurationSection = field(default_factory=ConfigurationSection)
    acceptance: AcceptanceSection = field(default_factory=AcceptanceSection)
    membership: MembershipSection = field(default_factory=MembershipSection)
    authority: AuthoritySection = field(default_factory=AuthoritySection)
    work: WorkSection = field(default_factory=WorkSection)
    entry: EntrySection = field(default_factory=EntrySection)
    stop: StopSection = field(default_factory=StopSection)
    store: StoreSection = field(default_factory=StoreSection)

    @property
    def me(self) -> Instance:
        """Return this instance."""
        return self.settings.instance

    def emit(self, effect: Effect) -> None:
        """Add an effect of the event being handled."""
        self.outbox.append(effect)

    def make_id(self) -> int:
        """Return a number that this node has not returned before."""
        self.last_id += 1
        return self.last_id
