"""Sections on who is primary and up to when that is known."""

from collections import deque
from dataclasses import dataclass, field
from enum import Enum

from burdocksail.board._fleet import Member
from burdocksail.core import LogPosition


class GroupState(Enum):
    """What may be done at the primary of a service.

    ``HOLDING`` lets work in flight end and starts none; ``CLOSED`` takes no
    result of the primary as acknowledged.
    """

    OPEN = "open"
    HOLDING = "holding"
    CLOSED = "closed"


@dataclass(frozen=True, slots=True)
class GroupView:
    """Who is primary of a service.

    Attributes
    ----------
    change : int
        Number of changes of primary so far; identifies a primaryship.
    """

    service_name: str
    primary_id: str
    change: int
    state: GroupState


@dataclass(slots=True)
class AuthoritySection:
    """What the leader has told; written by ``authority``.

    Attributes
    ----------
    epoch : int
        Number of the leadership that this instance follows.
    generation : int
        Number of the leader's view within its epoch.
    evidence_until : float
        Reading of the timer up to which no change of primary can have begun
        without this instance knowing.
    unreachable : dict of str to float
        Services whose primary does not answer here, and since when.
    reached : dict of str to float
        Services whose primary has answered here, and when it did last.
    suspected : set of str
        Services at whose primary something has just failed here.
    in_flight : dict of str to int
        Statements and transactions now at the primary, by service.
    is_monitor : bool
        Whether the leader wants this instance to watch the fleet's objects and
        to probe the primaries. In a small fleet all do.
    """

    epoch: int = 0
    generation: int = 0
    leader: Member | None = None
    groups: dict[str, GroupView] = field(default_factory=dict)
    evidence_until: float = float("-inf")
    last_grant: float | None = None
    unreachable: dict[str, float] = field(default_factory=dict)
    reached: dict[str, float] = field(default_factory=dict)
    suspected: set[str] = field(default_factory=set)
    in_flight: dict[str, int] = field(default_factory=dict)
    is_monitor: bool = False

    def primaries(self) -> set[str]:
        """Return the identities of all primaries."""
        return {view.primary_id for view in self.groups.values()}

    def has_evidence(self, now: float) -> bool:
        """Return whether it is known that no change of primary has begun."""
        return now < self.evidence_until

    def may_start(self, service: str, now: float) -> GroupView | None:
        """Return the view under which work may go to the primary now."""
        view = self.groups.get(service)
        if view is None or view.state is not GroupState.OPEN:
            return None
        return view if self.has_evidence(now) else None

    def may_finish(self, started: GroupView, now: float) -> bool:
        """Return whether an answer of work begun under `started` still counts."""
        view = self.groups.get(started.service_name)
        return (
            view is not None
            and view.change == started.change
            and view.state is not GroupState.CLOSED
            and self.has_evidence(now)
        )


@dataclass(frozen=True, slots=True)
class Sample:
    """Position of a primary, and an instant before it was asked for.

    Every commit that was acknowledged before `asked_at` is at or before
    `position`.
    """

    asked_at: float
    position: LogPosition
    change: int


SAMPLES_KEPT = 64  # at most 32 a second are taken, and ages go up to seconds


@dataclass(slots=True)
class SamplesSection:
    """Recent samples by service; written by ``serving._freshness``."""

    by_service: dict[str, deque[Sample]] = field(default_factory=dict)

    def of(self, service: str) -> deque[Sample]:
        """Return the samples of a service, oldest first."""
        samples = self.by_service.get(service)
        if samples is None:
            samples = deque(maxlen=SAMPLES_KEPT)
            self.by_service[service] = samples
        return samples
