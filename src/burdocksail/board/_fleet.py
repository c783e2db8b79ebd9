"""Sections on the configuration, the upstreams, the instances and the store."""

import random
from dataclasses import dataclass, field

from burdocksail.catalog import Catalog, Upstream, UpstreamState
from burdocksail.ports import FIRST_TIMELINE, StoredObject, StoreVersion

# Enough that some remain when a region is lost; few, as each one loads the store.
MAX_MONITORS = 8  # instances besides the leader
# Seconds. Entries may be read 3 s late, and a draining server exits some seconds after
# that; longer than a planned change of primary takes to begin.
DRAINING_WORK_LIMIT = 4.0
QUERY_FANOUT = 12  # instances; enough that one of them very probably knows the answer


@dataclass(frozen=True, slots=True)
class Member:
    """One run of an instance.

    Attributes
    ----------
    incarnation : str
        Identifier generated when the process starts. A different incarnation at
        the same address proves that this one has ended.
    host, port : str and int
        Address for messages between instances.
    """

    name: str
    incarnation: str
    failure_domain: str
    host: str
    port: int

    @property
    def address(self) -> tuple[str, int]:
        """Return host and port for messages between instances."""
        return (self.host, self.port)


@dataclass(slots=True)
class CatalogSection:
    """The configuration in force; written by ``fleet._tracking``.

    Attributes
    ----------
    stored : StoredObject or None
        Object that `catalog` was decoded from.
    """

    catalog: Catalog | None = None
    stored: StoredObject | None = None


@dataclass(frozen=True, slots=True)
class LostUpstream:
    """An upstream whose entry stayed missing although it was not draining.

    Attributes
    ----------
    lost_at : float
        Clock reading at which it was dropped.
    """

    service: str
    lost_at: float


@dataclass(frozen=True, slots=True)
class DepartedUpstream:
    """An upstream that is no longer used, and the entry that it had last.

    Attributes
    ----------
    timeline : int
        Timeline of the store in which it was dropped.
    departed_at : float
        Clock reading at which it was dropped.
    """

    upstream: Upstream
    timeline: int
    departed_at: float


@dataclass(frozen=True, slots=True)
class UnconfirmedEntry:
    """An entry that a restored store holds and that is older than the known one.

    Attributes
    ----------
    since : float
        Clock reading at which it was read.
    """

    stored: StoredObject
    since: float


@dataclass(slots=True)
class DirectorySection:
    """Upstreams with an entry in the store; written by ``fleet._tracking``.

    Attributes
    ----------
    version : StoreVersion
        Version of the store at which the upstreams were last listed or seen to
        change; revision 0 before the first listing.
    first_timeline : int
        Timeline of the store in which the upstreams were first listed.
    missing_since : dict of str to float
        Upstreams whose entry is gone from the store or malformed, and when that
        was seen. They stay in use for a grace period, as an entry may lapse while
        its server is alive.
    draining_since : dict of str to float
        Upstreams that are draining, and when that was first seen.
    lost : dict of str to LostUpstream
        Upstreams whose entry stayed missing although they were not draining; they
        may hold commits that no other server has.
    departed : dict of str to DepartedUpstream
        Upstreams dropped a short time ago; a restored store may hold their entry
        again.
    unconfirmed : dict of str to UnconfirmedEntry
        Entries of a restored store that are not applied yet, by upstream.
    """

    upstreams: dict[str, Upstream] = field(default_factory=dict)
    stored: dict[str, StoredObject] = field(default_factory=dict)
    version: StoreVersion = StoreVersion()
    first_timeline: int = 0
    missing_since: dict[str, float] = field(default_factory=dict)
    draining_since: dict[str, float] = field(default_factory=dict)
    lost: dict[str, LostUpstream] = field(default_factory=dict)
    departed: dict[str, DepartedUpstream] = field(default_factory=dict)
    unconfirmed: dict[str, UnconfirmedEntry] = field(default_factory=dict)

    @property
    def is_listed(self) -> bool:
        """Return whether the upstreams have been listed since the start."""
        return self.version.revision > 0

    def version_in(self, timeline: int) -> StoreVersion:
        """Return the version in a timeline, revision 0 if it is of another one."""
        if self.version.timeline == timeline:
            return self.version
        return StoreVersion(timeline)

    def may_start_work(self, upstream_id: str, now: float) -> bool:
        """Return whether a primary is not draining, or only for a short time.

        That time, `DRAINING_WORK_LIMIT`, is for making another server primary.
        """
        since = self.draining_since.get(upstream_id)
        return since is None or now < since + DRAINING_WORK_LIMIT

    def of_service(self, service: str) -> list[Upstream]:
        """Return the known upstreams of a service."""
        return [u for u in self.upstreams.values() if u.service == service]

    def lost_of_service(self, service: str, after: float) -> list[str]:
        """Return the ids of a service's upstreams lost after a clock reading."""
        return [
            upstream_id
            for upstream_id, lost in self.lost.items()
            if lost.service == service and lost.lost_at > after
        ]

    def find_departed_logs(self, service: str, after: float) -> list[str]:
        """Return the ids of upstreams that left after a clock reading with their log.

        One that left as planned passes its log on to the server that follows it at
        its address, so it is left out once that is listed.
        """
        addresses = {(u.host, u.port) for u in self.of_service(service)}
        return [
            upstream_id
            for upstream_id, departed in self.departed.items()
            if departed.upstream.service == service
            and departed.departed_at > after
            and not (
                departed.upstream.state is UpstreamState.DRAINING
                and (departed.upstream.host, departed.upstream.port) in addresses
            )
        ]


@dataclass(slots=True)
class MembersSection:
    """Instances of the fleet; written by ``fleet`` and ``authority``.

    Attributes
    ----------
    registered : dict of str to Member
        Instances that are registered in the store, by object name, and those in
        `unlisted_since`.
    unlisted_since : dict of str to float
        Instances that were registered before a restoration of the store and are
        not in its copy, and when that was seen. They may hold leases.
    ended : dict of str to Member
        Instances that are registered although they have stopped: they could not remove
        their objects, or a restoration of the store has brought these back. They hold
        no lease.
    seeds : tuple of (str, int)
        Addresses from the settings; may be stale.
    alive_count : int
        Number of instances that the leader hears from, itself included.
    registered_count : int
        Number of registered instances, as the leader last reported it.
    """

    registered: dict[str, Member] = field(default_factory=dict)
    unlisted_since: dict[str, float] = field(default_factory=dict)
    ended: dict[str, Member] = field(default_factory=dict)
    seeds: tuple[tuple[str, int], ...] = ()
    alive_count: int = 1
    registered_count: int = 0

    def count(self) -> int:
        """Return how many instances may hold connections to upstreams."""
        return max(1, self.alive_count, self.registered_count or len(self.registered))

    def find_possible_grantees(self) -> set[tuple[str, int]]:
        """Return the addresses of the registered instances that may hold a lease."""
        return {
            member.address
            for name, member in self.registered.items()
            if self.ended.get(name) != member
        }

    def sample_addresses(
        self, own: tuple[str, int], rng: random.Random
    ) -> list[tuple[str, int]]:
        """Return a random sample of other instances' addresses.

        Its size is bounded, so that a query costs few messages in a large fleet.
        """
        others = sorted(self.addresses() - {own})
        return rng.sample(others, min(QUERY_FANOUT, len(others)))

    def addresses(self) -> set[tuple[str, int]]:
        """Return the addresses of all registered instances and seeds."""
        return {m.address for m in self.registered.values()} | set(self.seeds)


@dataclass(slots=True)
class StoreSection:
    """Whether the store answers this instance; written by ``fleet``.

    Attributes
    ----------
    last_success : float or None
        Clock reading at which a list or watch of the store was last answered.
    failing_since : float or None
        Clock reading at the first failed list or watch since then; None if none has
        failed since.
    timeline : int
        Latest timeline of the store that an answer has reported.
    timeline_since : float
        Clock reading at which that was.
    first_timeline : int
        Timeline with which the store began, as far as an answer has shown it.
    """

    last_success: float | None = None
    failing_since: float | None = None
    timeline: int = 0
    timeline_since: float = float("-inf")
    first_timeline: int = FIRST_TIMELINE

    @property
    def is_restored(self) -> bool:
        """Return whether the store has been restored from an earlier copy."""
        return self.timeline > self.first_timeline

    @property
    def is_available(self) -> bool:
        """Return whether the last list or watch of the store was answered.

        False before the first.
        """
        return self.last_success is not None and self.failing_since is None
