"""The blackboard: the shared state of a node's controllers.

The docstring of each section names the controller modules that write it. Any
controller may read any section.
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
from burdocksail.ports import StoreVersion
from burdocksail.records import Group, Service, Team


@dataclass(slots=True)
class ConfigurationSection:
    """Accepted records last applied; written by ``_configuration``.

    Attributes
    ----------
    items : dict of str to AcceptedItem
        Current item by path.
    position : int
        `StoreVersion.to_number` of the state of the store up to which all accepted
        objects are known.
    watched : StoreVersion
        State of the store that this instance's own list or watch calls have reached.
    call_in_flight : bool
        Whether a list or watch call to the store has not been answered.
    listed : bool
        Whether all accepted objects have been listed, so that a watch suffices.
    last_refresh : timedelta or None
        When the store or a peer last sent configuration.
    """

    items: dict[str, AcceptedItem] = field(default_factory=dict)
    position: int = 0
    watched: StoreVersion = StoreVersion()
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


@dataclass(frozen=True, slots=True)
class AcceptedObject:
    """The accepted object of a record as it is in the store.

    Attributes
    ----------
    version : int
        Store version of the object.
    generation : int
        Generation that it publishes; 0 if it is malformed.
    content : str
        Content that it publishes.
    """

    version: int
    generation: int
    content: str


@dataclass(slots=True)
class AcceptanceSection:
    """Records under validation; written by ``_acceptance``.

    Attributes
    ----------
    active : bool
        Whether this instance is the acceptor.
    loaded : bool
        Whether the accepted objects and the records have been listed.
    knows_records : bool
        Whether this instance has been the acceptor since `records` were listed, so
        that no later version has been accepted by another.
    version : StoreVersion
        State of the store up to which the records are known.
    doubtful_versions : dict of str to int
        Versions of records that the first listing after a restoration contained and
        that may be older than what has been accepted, by path.
    accepted : dict of str to AcceptedObject
        Accepted objects of the records, by path.
    refusals : dict of str to str
        Record version and reason of the last refusal, by path.
    """

    active: bool = False
    loaded: bool = False
    knows_records: bool = False
    version: StoreVersion = StoreVersion()
    records: dict[str, StoredRecord] = field(default_factory=dict)
    doubtful_versions: dict[str, int] = field(default_factory=dict)
    accepted: dict[str, AcceptedObject] = field(default_factory=dict)
    refusals: dict[str, str] = field(default_factory=dict)
    calls_in_flight: int = 0


class MemberHealth(Enum):
    """Liveness of an instance as this one sees it."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


@dataclass(slots=True)
class Member:
    """Membership state of one instance.

    Attributes
    ----------
    witnesses : dict of str to str
        Failure domain of each instance that suspects the member, by its key.
    known_since : timedelta
        When this instance first learned of the member.
    superseded_at : timedelta or None
        When another incarnation of the same name proved that the member's
        process had ended.
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
    """Liveness probe that has not been answered."""

    target: Instance
    sent_at: timedelta


@dataclass(slots=True)
class PendingRumour:
    """Rumour, with the number of messages that are still to carry it."""

    rumour: Rumour
    transmissions_left: int


@dataclass(frozen=True, slots=True)
class PreferredInstance:
    """Live instance with the greatest rendezvous weight for a group."""

    weight: int
    instance: Instance


@dataclass(frozen=True, slots=True)
class Ranking:
    """Live instances by rendezvous weight, for one version of the live set."""

    live_version: int
    instances: list[Instance]


@dataclass(slots=True)
class MembershipSection:
    """Liveness of instances; written by ``_membership``.

    ``_placement`` writes the preferences and rankings.

    Attributes
    ----------
    live : dict of str to Instance
        Instances to which new work may be sent, by key.
    live_version : int
        Incremented with each change of `live`.
    probes : dict of int to Probe
        Unanswered probes by sequence number.
    own_version : int
        Version of the latest rumour that this instance spread about itself.
    preferred : dict of str to PreferredInstance
        Preferred leader by group.
    preferred_groups : set of str
        Groups whose preferred leader is this instance.
    """

    members: dict[str, Member] = field(default_factory=dict)
    live: dict[str, Instance] = field(default_factory=dict)
    live_version: int = 0
    probes: dict[int, Probe] = field(default_factory=dict)
    probe_order: list[str] = field(default_factory=list)
    own_version: int = 0
    leaving: bool = False
    rumours: deque[PendingRumour] = field(default_factory=deque)
    instance_list_due_at: timedelta = timedelta()
    preferred: dict[str, PreferredInstance] = field(default_factory=dict)
    preferred_groups: set[str] = field(default_factory=set)
    rankings: dict[str, Ranking] = field(default_factory=dict)


class Role(Enum):
    """State of this instance in the leadership of a group."""

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
    earlier_member_sets : tuple of tuple of Instance
        Earlier member sets. Before the lease is first used, a majority of each
        has to be bound to this ballot, so that no earlier leader remains.
    possible_members : tuple of Instance
        Instances among which a restoration of the store may have lost a member set.
        Before the lease is first used, so many of them have to be bound to this
        ballot that the others are no majority of any set.
    pending_members : tuple of Instance
        Members that are to replace `lease_members`; empty if no change is
        under way.
    grants : dict of str to timedelta
        Time until which each member's grant is valid, by its key.
    lease_expired : dict of str to bool
        Whether each member reports the previous lease as expired, by its key.
    status, status_version : GroupStatus or None, int
        Status object as last read, written or handed over, and its store version.
    status_timeline : int
        Timeline of the store to which `status_version` belongs.
    call_in_flight : bool
        Whether a store call for the group's status object is in flight.
    publish_needed : bool
        Whether the status object in the store is out of date.
    retry_at : timedelta
        Earliest time of the next claim as a follower, of the next status write
        while acquiring, leading or draining, or of the next handover message while
        handing over.
    rebalance_since : timedelta or None
        Since when another instance has been preferred as the leader.
    """

    group: str
    role: Role = Role.FOLLOWER
    role_since: timedelta = timedelta()
    ballot: Ballot = Ballot()
    lease_members: tuple[Instance, ...] = ()
    earlier_member_sets: tuple[tuple[Instance, ...], ...] = ()
    possible_members: tuple[Instance, ...] = ()
    pending_members: tuple[Instance, ...] = ()
    grants: dict[str, timedelta] = field(default_factory=dict)
    lease_expired: dict[str, bool] = field(default_factory=dict)
    status: GroupStatus | None = None
    status_version: int = 0
    status_timeline: int = 0
    call_in_flight: bool = False
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
        This incarnation never again grants a smaller ballot.
    expires_at : timedelta
        Time until which no other holder may be granted a lease.
    claim_on_expiry : bool
        Whether this instance claims the group when the lease expires.
    """

    bound: Ballot
    holder: Instance
    expires_at: timedelta
    claim_on_expiry: bool = True


@dataclass(slots=True)
class AuthoritySection:
    """Leases held and granted.

    Written by ``_leadership``, ``_lease``, ``_claims``, ``_handover``, ``_promises``,
    ``_promotion``, ``_configuration`` and ``_entry``.

    Attributes
    ----------
    leader_hints : dict of str to Instance
        Last known leader, by group.
    renewals : dict of int to timedelta
        When each unanswered renewal was sent, by its sequence number.
    leader_checked_at : dict of str to timedelta
        When this instance last checked whether the group has a leader.
    """

    leaderships: dict[str, Leadership] = field(default_factory=dict)
    promises: dict[str, Promise] = field(default_factory=dict)
    leader_hints: dict[str, Instance] = field(default_factory=dict)
    renewals: dict[int, timedelta] = field(default_factory=dict)
    last_renewal: timedelta | None = None
    leader_checked_at: dict[str, timedelta] = field(default_factory=dict)
    last_rebalance: timedelta = timedelta()


@dataclass(slots=True)
class WorkSection:
    """Requests that this instance runs.

    Written by ``_work``, ``_outcomes``, ``_transactions``, ``_admission``,
    ``_connections``, ``_servers``, ``_admin_calls``, ``_runtime``, ``_promotion``,
    ``_handover`` and ``_node`` (hedge tokens).

    Attributes
    ----------
    work_by_request_id : dict of str to Work
        Unfinished requests by request id.
    deadlines : list of tuple of timedelta and str
        Heap of deadlines and request ids.
    fingerprints : dict of int to FingerprintStatistics
        Run times of statements by fingerprint.
    groups_awaiting_replica : set of str
        Groups in which a write has begun to wait for a replica.
    retry_tokens, hedge_tokens : float
        What is left of the retry budget and of the budget for hedged reads.
    """

    runtimes: dict[str, GroupRuntime] = field(default_factory=dict)
    work_by_request_id: dict[str, Work] = field(default_factory=dict)
    operations: dict[int, RunningOperation] = field(default_factory=dict)
    connections: dict[int, UpstreamConnection] = field(default_factory=dict)
    admin_calls: dict[int, "AdminCall"] = field(default_factory=dict)
    deadlines: list[tuple[timedelta, str]] = field(default_factory=list)
    fingerprints: dict[int, FingerprintStatistics] = field(default_factory=dict)
    groups_awaiting_replica: set[str] = field(default_factory=set)
    retry_tokens: float = 10.0
    hedge_tokens: float = 5.0


@dataclass(slots=True)
class Session:
    """A caller's connection to this instance.

    Attributes
    ----------
    seen_positions : dict of str to LogPosition
        Last log position seen, by group.
    has_token : bool
        Whether the caller tracks its session by consistency tokens.
    transaction_group : str
        Group of the open transaction; empty if none is open.
    transaction_leader : Instance or None
        Instance that runs the transaction.
    transaction_failed : bool
        Whether the transaction was lost and the caller has not ended it yet.
    options : StatementOptions
        Options that the caller has set for all later statements.
    """

    session_id: str
    account: str
    seen_positions: dict[str, LogPosition] = field(default_factory=dict)
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
        Instance that may be running the request.
    sent_at : timedelta
        When the current attempt was sent.
    may_have_run : bool
        Whether any instance may have run the request.
    follow_up : Request or None
        Request to send once this one, an implicit BEGIN, is answered.
    """

    request: Request
    session_id: str
    deadline: timedelta
    forwarded_to: Instance | None = None
    sent_at: timedelta = timedelta()
    may_have_run: bool = False
    attempts: int = 0
    retry_at: timedelta | None = None
    follow_up: Request | None = None


@dataclass(frozen=True, slots=True)
class LocalAnswer:
    """Answer that this instance, as leader, gives to its own caller's request.

    ``answer`` is None if the request was not run because this instance no
    longer leads the group.
    """

    request: Request
    answer: Answer | None


@dataclass(slots=True)
class EntrySection:
    """Sessions and requests of this instance's callers; written by ``_entry``.

    ``_outcomes`` adds the answers, and ``_local_statements`` changes the sessions.

    Attributes
    ----------
    deadlines, retries : list of tuple of timedelta and str
        Heaps of due times and request ids.
    """

    sessions: dict[str, Session] = field(default_factory=dict)
    pending: dict[str, PendingRequest] = field(default_factory=dict)
    deadlines: list[tuple[timedelta, str]] = field(default_factory=list)
    retries: list[tuple[timedelta, str]] = field(default_factory=list)
    answers: deque[LocalAnswer] = field(default_factory=deque)


@dataclass(slots=True)
class StopSection:
    """Progress of a graceful shutdown; written by ``_stopping``."""

    requested_at: timedelta | None = None
    reported: bool = False


StoreCallback = Callable[["Blackboard", StoreReply], None]


@dataclass(slots=True)
class StoreSection:
    """Store calls in flight; written by ``_store_calls``.

    Attributes
    ----------
    timeline : int
        Latest timeline of the store that a reply has named.
    timeline_since : timedelta
        When that was first seen.
    last_answer : timedelta or None
        When the store last answered.
    last_failure : timedelta or None
        When a store call last ended without an answer.
    """

    calls: dict[int, StoreCallback] = field(default_factory=dict)
    timeline: int = 0
    timeline_since: timedelta = timedelta()
    last_answer: timedelta | None = None
    last_failure: timedelta | None = None


@dataclass(slots=True)
class Blackboard:
    """State of a node, and the effects of the event being handled."""

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
        """Return an id that is unique in the lifetime of this node."""
        self.last_id += 1
        return self.last_id
