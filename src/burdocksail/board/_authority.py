"""Sections on which server is primary, and on the lease under which that holds."""

from collections import deque
from dataclasses import dataclass, field
from enum import Enum

from burdocksail.board._fleet import Member
from burdocksail.core import LogPosition


class GroupState(Enum):
    """Which work instances may send to the primary of a service.

    ``OPEN`` admits new work. ``HOLDING`` lets work in flight finish and admits
    no more. ``CLOSED`` also rejects the results of work in flight: none of them
    counts as acknowledged.
    """

    OPEN = "open"
    HOLDING = "holding"
    CLOSED = "closed"


@dataclass(frozen=True, slots=True)
class GroupView:
    """The primary of a service, and which work instances may send to it.

    The servers of a service are a database group.

    Attributes
    ----------
    change : int
        Number of the primary's tenure. Every change of primary raises it, not always
        by one, and no number is given to two tenures of a service.
    """

    service_name: str
    primary_id: str
    change: int
    state: GroupState

    def has_same_tenure(self, other: "GroupView") -> bool:
        """Return whether both views are of one tenure of one primary."""
        tenure = (self.service_name, self.primary_id, self.change)
        return tenure == (other.service_name, other.primary_id, other.change)


@dataclass(slots=True)
class AuthoritySection:
    """The leader's view, the lease that it grants, and the health of primaries.

    Written by ``authority``. ``serving`` writes `suspected` and `in_flight`, and
    also `unreachable` and `reached`, from which ``authority`` removes a service at a
    change of primary.

    Attributes
    ----------
    epoch : int
        Epoch of the leader that this instance follows.
    generation : int
        Number of the leader's view within its epoch.
    groups : dict of str to GroupView
        The leader's view that this instance has applied, by service.
    lease_expires_at : float
        Clock reading at which this instance's lease expires. Before it, no
        change of primary can have begun without this instance knowing.
    opens_not_before : dict of str to float
        Services whose change of primary has to wait, and the clock reading before
        which their group cannot open again.
    has_held_lease : bool
        Whether this instance has held a lease since it started.
    last_grant_at : float or None
        Clock reading of the last sign of the leader: a grant, the discovery of a
        later leader in the store, or, on the leader itself, its own lease.
    unreachable : dict of str to float
        Services whose primary does not answer this instance, and since when.
    reached : dict of str to float
        Services whose primary has answered this instance, and when it last did.
    suspected : set of str
        Services with a server that has just been unreachable, or a primary that has
        just left a statement unanswered. Their primary is probed at once.
    in_flight : dict of str to int
        Number of this instance's statements and transactions running at the
        primary, by service. Reads that the route's policy allows on a replica are
        not counted.
    is_monitor : bool
        Whether the leader has chosen this instance to watch the fleet's objects
        and to probe the primaries. In a fleet of up to `MAX_MONITORS` + 1 instances
        every one does so.
    relayed_at : float
        Clock reading at which a leader last extended the lease of this instance and
        said that it relays changes in the store, so that an instance that is not a
        monitor need not watch it; minus infinity if it said that it does not.
    """

    epoch: int = 0
    generation: int = 0
    leader: Member | None = None
    groups: dict[str, GroupView] = field(default_factory=dict)
    lease_expires_at: float = float("-inf")
    opens_not_before: dict[str, float] = field(default_factory=dict)
    has_held_lease: bool = False
    last_grant_at: float | None = None
    unreachable: dict[str, float] = field(default_factory=dict)
    reached: dict[str, float] = field(default_factory=dict)
    suspected: set[str] = field(default_factory=set)
    in_flight: dict[str, int] = field(default_factory=dict)
    is_monitor: bool = False
    relayed_at: float = float("-inf")

    def primaries(self) -> set[str]:
        """Return the upstream ids of all primaries."""
        return {view.primary_id for view in self.groups.values()}

    def has_valid_lease(self, now: float) -> bool:
        """Return whether the lease is valid.

        While it is, no change of primary can have begun without this instance
        knowing.
        """
        return now < self.lease_expires_at

    def get_view_for_new_work(self, service: str, now: float) -> GroupView | None:
        """Return the view under which new work may go to the primary.

        None if the service has no primary, if its primary admits no new work, or
        if the lease has expired.
        """
        view = self.groups.get(service)
        if view is None or view.state is not GroupState.OPEN:
            return None
        return view if self.has_valid_lease(now) else None

    def is_result_valid(self, started: GroupView, now: float) -> bool:
        """Return whether the result of work that began under `started` is valid.

        It is not once the primary has changed, its group is closed, or the lease
        has expired.
        """
        view = self.groups.get(started.service_name)
        return (
            view is not None
            and view.has_same_tenure(started)
            and view.state is not GroupState.CLOSED
            and self.has_valid_lease(now)
        )


@dataclass(frozen=True, slots=True)
class Sample:
    """Log position of a primary, with the time just before it was requested.

    Every commit that was acknowledged before `asked_at` is at or before
    `position`.
    """

    asked_at: float
    position: LogPosition
    change: int


# Under load these samples may cover less time than a route's `max_age`, which can be
# some seconds. The floors of reads are then stricter than needed.
MAX_SAMPLES = 64  # per service


@dataclass(slots=True)
class SamplesSection:
    """Recent position samples by service; written by ``serving`` and ``authority``."""

    by_service: dict[str, deque[Sample]] = field(default_factory=dict)

    def for_service(self, service: str) -> deque[Sample]:
        """Return the stored samples of a service, oldest first.

        An empty deque is stored if there is none.
        """
        samples = self.by_service.get(service)
        if samples is None:
            samples = deque(maxlen=MAX_SAMPLES)
            self.by_service[service] = samples
        return samples
