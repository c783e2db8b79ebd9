"""Messages between instances.

Messages are immutable. The wire layer encodes them by field name, so a field
added here also has to be added to ``wire/peer.thrift``.
"""

from dataclasses import dataclass

from burdocksail.core import Answer, Instance, Request


@dataclass(frozen=True, slots=True, order=True)
class Ballot:
    """Ballot number of a group's leadership; a larger one supersedes a smaller.

    Attributes
    ----------
    epoch : int
        Incremented by each claim, by conditional update in the platform's
        store.
    handover : int
        Incremented by a leader that hands its lease over. Only the holder of a
        ballot can increment it, and it stops using the lease before it does.
    """

    epoch: int = 0
    handover: int = 0


@dataclass(frozen=True, slots=True)
class LeaseItem:
    """One group's ballot in a batch of lease renewals."""

    group: str
    ballot: Ballot


@dataclass(frozen=True, slots=True)
class LeaseRefusal:
    """A member's refusal to grant a lease.

    Attributes
    ----------
    asked : Ballot
        Ballot for which the lease was requested.
    bound : Ballot
        Ballot that the member is bound to.
    """

    group: str
    asked: Ballot
    bound: Ballot


@dataclass(frozen=True, slots=True)
class ForwardRequest:
    """Asks the group's leader to run a request."""

    request: Request


@dataclass(frozen=True, slots=True)
class ForwardAnswer:
    """Answers a `ForwardRequest`."""

    request_id: str
    answer: Answer


@dataclass(frozen=True, slots=True)
class NotLeader:
    """Answers a `ForwardRequest` that the receiver did not run.

    Attributes
    ----------
    leader : Instance or None
        Instance that may lead the group; None if the receiver knows none.
    """

    request_id: str
    group: str
    leader: Instance | None


@dataclass(frozen=True, slots=True)
class SessionClosed:
    """Tells the leader to roll back a transaction that its session abandoned."""

    group: str
    transaction_id: str


@dataclass(frozen=True, slots=True)
class RenewLeases:
    """Asks a member to grant or extend the leases of several groups."""

    sequence: int
    leases: tuple[LeaseItem, ...]


@dataclass(frozen=True, slots=True)
class LeasesAnswered:
    """Answers `RenewLeases`."""

    sequence: int
    granted: tuple[LeaseItem, ...]
    refused: tuple[LeaseRefusal, ...]


@dataclass(frozen=True, slots=True)
class ReleaseLeases:
    """Tells members that the holder has stopped using the leases they granted."""

    leases: tuple[LeaseItem, ...]


@dataclass(frozen=True, slots=True)
class AskLease:
    """Asks a member whether a lease that it granted for the group still runs."""

    group: str


@dataclass(frozen=True, slots=True)
class LeaseReport:
    """Answers `AskLease`.

    Attributes
    ----------
    bound : Ballot
        Greatest ballot that the member has granted a lease for.
    holder : Instance or None
        Holder of the lease; None if none was granted or it has ended.
    """

    group: str
    bound: Ballot
    holder: Instance | None


@dataclass(frozen=True, slots=True)
class HandOver:
    """Passes the leadership of a group to a successor.

    Attributes
    ----------
    ballot : Ballot
        Ballot of the successor.
    status : str
        JSON text of the group's status object as the sender last knew it.
    status_version : int
        Version of that object in the store.
    """

    group: str
    ballot: Ballot
    status: str
    status_version: int


@dataclass(frozen=True, slots=True)
class HandOverAccepted:
    """Answers `HandOver`; the previous leader then becomes a follower."""

    group: str
    ballot: Ballot


@dataclass(frozen=True, slots=True)
class ProbeServer:
    """Asks an instance of another failure domain whether it reaches a server."""

    group: str
    server: str


@dataclass(frozen=True, slots=True)
class ServerProbed:
    """Answers `ProbeServer`."""

    group: str
    server: str
    reachable: bool


@dataclass(frozen=True, slots=True)
class Rumour:
    """One fact about the liveness of an instance.

    Attributes
    ----------
    subject : Instance
        Instance that the fact is about.
    state : str
        ``alive``, ``suspect``, ``leaving`` or ``dead``.
    version : int
        Incremented by the subject alone, to refute a suspicion.
    witness : str
        Key of the instance that raised a suspicion.
    witness_domain : str
        Failure domain of that instance.
    """

    subject: Instance
    state: str
    version: int
    witness: str = ""
    witness_domain: str = ""


@dataclass(frozen=True, slots=True)
class Ping:
    """Liveness probe; carries rumours."""

    sequence: int
    sender: Instance
    rumours: tuple[Rumour, ...] = ()


@dataclass(frozen=True, slots=True)
class Pong:
    """Answers `Ping`; carries rumours."""

    sequence: int
    sender: Instance
    rumours: tuple[Rumour, ...] = ()


@dataclass(frozen=True, slots=True)
class PullConfiguration:
    """Asks a peer for configuration accepted after a position in the store's history.

    Attributes
    ----------
    after_revision : int
        `StoreVersion.to_number` of that position.
    """

    after_revision: int


@dataclass(frozen=True, slots=True)
class AcceptedItem:
    """One accepted record.

    Attributes
    ----------
    path : str
        Kind and name, ``service/booking``.
    generation : int
        Increases with each accepted version of the record.
    revision : int
        `StoreVersion.to_number` of the accepted object.
    content : str
        JSON text of the record; empty if the record was deleted.
    """

    path: str
    generation: int
    revision: int
    content: str


@dataclass(frozen=True, slots=True)
class ConfigurationChanges:
    """Answers `PullConfiguration`.

    Attributes
    ----------
    revision : int
        `StoreVersion.to_number` up to which the sender knows every accepted object
        and has sent it.
    complete : bool
        False if there are more items with a later revision.
    """

    items: tuple[AcceptedItem, ...]
    revision: int
    complete: bool = True


Message = (
    ForwardRequest
    | ForwardAnswer
    | NotLeader
    | SessionClosed
    | RenewLeases
    | LeasesAnswered
    | ReleaseLeases
    | AskLease
    | LeaseReport
    | HandOver
    | HandOverAccepted
    | ProbeServer
    | ServerProbed
    | Ping
    | Pong
    | PullConfiguration
    | ConfigurationChanges
)
