"""Messages between instances.

They travel as datagrams: each may be lost, repeated or late, and the next one
says everything again.
"""

from dataclasses import dataclass

from burdocksail.board import GroupView, Member
from burdocksail.core import LogPosition


@dataclass(frozen=True, slots=True)
class SharedSample:
    """A sample of a primary's position, with its age where it was sent."""

    service_name: str
    change: int
    position: LogPosition
    age: float


@dataclass(frozen=True, slots=True)
class Renew:
    """Ask the leader for evidence, and tell it what is known here.

    Attributes
    ----------
    sent_at : float
        Sender's timer; the grant echoes it.
    epoch, generation : int
        View that the sender has put in force.
    busy : tuple of str
        Services at whose primary the sender has work in flight.
    unreachable : tuple of str
        Services whose primary does not answer the sender.
    reached : tuple of str
        Services whose primary has answered the sender lately.
    leaving : bool
        Whether the sender is stopping.
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


@dataclass(frozen=True, slots=True)
class Grant:
    """The leader's view.

    Attributes
    ----------
    echo : float
        `sent_at` of the renewal that this answers.
    extends_evidence : bool
        Whether it extends the evidence; false if the leader pushed it, or if
        the leader's own right has run out.
    groups : tuple of GroupView or None
        None if the receiver's renewal has shown that it knows this generation.
    alive : int
        Number of instances that the leader hears from.
    registered : int
        Number of instances that the store has on record.
    monitor : bool
        Whether the receiver should watch the fleet and probe primaries.
    """

    leader: Member
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


@dataclass(frozen=True, slots=True)
class NotLeader:
    """Answer to a renewal by an instance that does not lead."""

    member: Member
    epoch: int
    leader: Member | None


@dataclass(frozen=True, slots=True)
class LeaderQuery:
    """Ask a peer whether it hears from the leader."""

    member: Member
    epoch: int


@dataclass(frozen=True, slots=True)
class LeaderReport:
    """Answer to `LeaderQuery`."""

    member: Member
    epoch: int
    hears_leader: bool


@dataclass(frozen=True, slots=True)
class TakeOver:
    """The leader asks the receiver to claim the leadership."""

    member: Member
    epoch: int


@dataclass(frozen=True, slots=True)
class Farewell:
    """The sender has dropped its evidence and ends."""

    member: Member


Message = Renew | Grant | NotLeader | LeaderQuery | LeaderReport | TakeOver | Farewell
