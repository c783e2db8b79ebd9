"""Messages between instances.

Every message is an immutable record; the wire layer encodes them by field
name, so a field added here also needs a line in ``wire/peer.thrift``.
"""

from dataclasses import dataclass

from burdocksail.core import Answer, Instance, Request


@dataclass(frozen=True, slots=True, order=True)
class Ballot:
    """Number of a leadership of one group; a larger ballot supersedes.

    Attributes
    ----------
    epoch : int
        Raised by each claim, by conditional update in the platform's store.
    handover : int
        Raised by a leader that passes its lease on. Only the holder of a
        ballot can create the next handover, and it stops before it does.
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
    """A member's refusal to grant a lease, with the ballot it is bound to."""

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
    """Tells that a forwarded request was not run here, and who may run it."""

    request_id: str
    group: str
    leader: Instance | None


@dataclass(frozen=True, slots=True)
class SessionClosed:
    """Tells the leader that a session's transaction is abandoned."""

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
    """Tells members that the holder has stopped using these ballots."""

    leases: tuple[LeaseItem, ...]


@dataclass(frozen=True, slots=True)
class AskLease:
    """Asks a member whether it is still bound to a leader of the group."""

    group: str


@dataclass(frozen=True, slots=True)
class LeaseReport:
    """Answers `AskLease`; `holder` is None if the member is bound to none."""

    group: str
    bound: Ballot
    holder: Instance | None


@dataclass(frozen=True, slots=True)
class HandOver:
    """Passes the leadership of a group to a successor.

    Attributes
    ----------
    status : str
        JSON text of the group's status object as last known.
    status_version : int
        Version of that object in the store.
    """

    group: str
    ballot: Ballot
    status: str
    status_version: int


@dataclass(frozen=True, slots=True)
class HandOverAccepted:
    """Answers `HandOver`; the sender of that is free of the group."""

    group: str
    ballot: Ballot


@dataclass(frozen=True, slots=True)
class ProbeServer:
    """Asks a member of another failure domain whether it reaches a server."""

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
        Whom the fact is about.
    state : str
        ``alive``, ``suspect``, ``leaving`` or ``dead``.
    version : int
        Raised by the subject alone, to refute a suspicion.
    witness : str
        Key of the instance that observed a suspicion.
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
    """Asks a peer for configuration accepted after a store revision."""

    after_revision: int


@dataclass(frozen=True, slots=True)
class AcceptedItem:
    """One accepted record.

    Attributes
    ----------
    path : str
        Kind and name, ``service/booking``.
    generation : int
        Grows with each acceptance of the record.
    revision : int
        Store revision of the accepted object.
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
        The sender knows every accepted object up to this revision.
    complete : bool
        False if more items follow the last one's revision.
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
