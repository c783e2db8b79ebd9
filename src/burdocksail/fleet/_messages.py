"""Messages between instances.

They are sent as datagrams, which may be lost, duplicated or delayed. Renewals and
grants are sent regularly and state everything that the receiver may lack, so the
next one makes up for a lost one.
"""

from dataclasses import dataclass

from burdocksail.board import GroupView, Member, ServerSpeed
from burdocksail.core import LogPosition


@dataclass(frozen=True, slots=True)
class SharedSample:
    """A sample of a primary's log position.

    Attributes
    ----------
    view : int
        Index of the primary's service among those of the grant's generation, in the
        order of their names.
    age : float
        Seconds from the request for the sample (`Sample.asked_at`) to the sending
        of the message, by the sender's clock.
    """

    view: int
    position: LogPosition
    age: float


@dataclass(frozen=True, slots=True)
class AllowanceDemand:
    """What an instance wants for a workspace, and what it returns.

    Attributes
    ----------
    wanted : int
        Tokens that are wanted now.
    urgent : int
        Those among them for which operations wait.
    rate : float
        Operations per second that arrive at the sender.
    idle : float
        Seconds since the last of them.
    returned : int or None
        Tokens that the sender no longer uses; None without any.
    returned_slot : int or None
        `Allowances.slot` of the tokens that are returned.
    preferred : int or None
        Operations of the first priority among the urgent ones; None if all routes
        have the same priority.
    """

    workspace: str
    wanted: int
    urgent: int
    rate: float
    idle: float
    returned: int | None = None
    returned_slot: int | None = None
    preferred: int | None = None


@dataclass(frozen=True, slots=True)
class AllowanceDemands:
    """Demands for tokens of the quotas of workspaces.

    Attributes
    ----------
    number : int
        Differs in all demands of a run of the sender, except that demands which are
        sent again keep it; the answer repeats it.
    """

    number: int
    demands: tuple[AllowanceDemand, ...]


@dataclass(frozen=True, slots=True)
class Allowance:
    """Tokens granted to an instance for a workspace.

    Attributes
    ----------
    wait : float or None
        If fewer were granted than wanted, the seconds until the leader expects to
        have more for this instance.
    """

    workspace: str
    granted: int
    wait: float | None = None


@dataclass(frozen=True, slots=True)
class Allowances:
    """Answer to `AllowanceDemands`.

    Attributes
    ----------
    slot : int
        When the tokens were granted, by a count of the leader.
    """

    number: int
    slot: int
    allowances: tuple[Allowance, ...]


@dataclass(frozen=True, slots=True)
class Renew:
    """Request to the leader to renew the sender's lease, with the sender's state.

    While the sender knows no leader, it sends its renewals to a sample of the other
    instances; those that do not lead answer with `NotLeader`.

    Attributes
    ----------
    sent_at : float
        Reading of the sender's clock; the grant echoes it.
    epoch, generation : int
        Epoch that the sender follows, and generation of the view that it has
        applied.
    busy : tuple of str
        Services at whose primary the sender has work in flight; reads that the
        route's policy allows on a replica do not count.
    unreachable : tuple of str
        Services whose primary does not answer the sender.
    reached : tuple of str
        Services whose primary has recently answered the sender.
    leaving : bool
        Whether a graceful stop of the sender has begun.
    store_timeline : int
        Latest timeline of the store that the sender knows of; `directory_revision`
        belongs to it.
    leader_time : float or None
        Latest `Grant.leader_time` of the epoch that the sender follows.
    former_silence : float or None
        Seconds since the sender last heard a leader of an earlier epoch; None if it
        has heard none.
    speeds : tuple of ServerSpeed
        What the sender has learned of servers that others may not know.
    allowances : AllowanceDemands or None
        Demands of the sender, if there are any.
    """

    member: Member
    sent_at: float
    epoch: int
    generation: int
    catalog_version: int
    directory_revision: int
    store_works: bool
    busy: tuple[str, ...]
    unreachable: tuple[str, ...]
    reached: tuple[str, ...]
    leaving: bool
    store_timeline: int = 0
    leader_time: float | None = None
    former_silence: float | None = None
    speeds: tuple[ServerSpeed, ...] = ()
    allowances: AllowanceDemands | None = None


@dataclass(frozen=True, slots=True)
class Grant:
    """The leader's view, which may extend the receiver's lease.

    Attributes
    ----------
    leader : Member or None
        None if the receiver's renewal has shown that it follows this epoch.
    echo : float
        `sent_at` of the renewal that this grant answers.
    extends_evidence : bool
        Whether the grant extends the receiver's lease. False if the leader pushed
        it without a renewal, does not hold the leader lease, or does not know the
        receiver's address, or if the receiver follows a later epoch.
    groups : tuple of GroupView or None
        None if the receiver's renewal has shown that it knows this generation.
    alive : int
        Number of instances that the leader hears from, itself included.
    registered : int
        Number of instances that are registered in the store.
    monitor : bool
        Whether the receiver should watch the fleet's objects and probe the
        primaries.
    store_timeline : int
        As in `Renew`.
    leader_time : float or None
        Reading of the leader's clock; the next renewal returns it.
    speeds : tuple of ServerSpeed
        What several instances have learned together.
    allowances : Allowances or None
        Answer to the demands in the renewal.
    source : Member or None
        Instance from which to fetch objects of the store that the receiver lacks.
    relays : bool
        Whether the receiver learns of changes in the store from grants and need not
        watch it.
    """

    leader: Member | None
    epoch: int
    generation: int
    echo: float
    extends_evidence: bool
    groups: tuple[GroupView, ...] | None
    alive: int
    catalog_version: int
    directory_revision: int
    store_works: bool
    samples: tuple[SharedSample, ...]
    registered: int
    monitor: bool
    store_timeline: int = 0
    leader_time: float | None = None
    speeds: tuple[ServerSpeed, ...] = ()
    allowances: Allowances | None = None
    source: Member | None = None
    relays: bool = False


@dataclass(frozen=True, slots=True)
class NotLeader:
    """Notice of the epoch and the leader that the sender follows.

    An instance that does not lead sends it in answer to a renewal, and any instance
    in answer to a grant of an epoch earlier than its own.

    Attributes
    ----------
    leader : Member or None
        Leader that the sender follows; None if it knows none.
    """

    member: Member
    epoch: int
    leader: Member | None


@dataclass(frozen=True, slots=True)
class LeaderQuery:
    """Query to a peer on whether it hears from the leader."""

    member: Member
    epoch: int


@dataclass(frozen=True, slots=True)
class LeaderReport:
    """Answer to `LeaderQuery`.

    Attributes
    ----------
    hears_leader : bool
        Whether the sender has recently had a sign of the leader
        (`AuthoritySection.last_grant_at`).
    """

    member: Member
    epoch: int
    hears_leader: bool


@dataclass(frozen=True, slots=True)
class TakeOver:
    """Request from the leader to the receiver to claim the leadership."""

    member: Member
    epoch: int


@dataclass(frozen=True, slots=True)
class Farewell:
    """Notice that the sender has given up its lease and exits."""

    member: Member


@dataclass(frozen=True, slots=True)
class AllowanceRequest:
    """Demands of operations that wait, which cannot wait for the next renewal.

    Attributes
    ----------
    epoch : int
        Epoch that the sender follows; the leader of another one does not answer.
    """

    member: Member
    epoch: int
    demands: AllowanceDemands


@dataclass(frozen=True, slots=True)
class AllowanceGrant:
    """Answer to `AllowanceRequest`."""

    leader: Member
    epoch: int
    allowances: Allowances


@dataclass(frozen=True, slots=True)
class AllowanceHandover:
    """Tokens that a leader has left, for the leader of a later epoch.

    Attributes
    ----------
    epoch : int
        Epoch of the sender.
    """

    leader: Member
    epoch: int
    allowances: tuple[Allowance, ...]


Message = (
    Renew
    | Grant
    | NotLeader
    | LeaderQuery
    | LeaderReport
    | TakeOver
    | Farewell
    | AllowanceRequest
    | AllowanceGrant
    | AllowanceHandover
)
