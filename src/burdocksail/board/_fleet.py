"""Sections on the configuration, the upstreams, the instances and the store."""

import random
from dataclasses import dataclass, field

from burdocksail.catalog import Catalog, Upstream
from burdocksail.ports import StoredObject

# Enough that some remain when a region is lost; few, as each one loads the store.
MAX_MONITORS = 8  # instances besides the leader
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


@dataclass(slots=True)
class DirectorySection:
    """Upstreams with an entry in the store; written by ``fleet._tracking``.

    Attributes
    ----------
    revision : int
        Store revision at which the upstreams were last listed or seen to change; 0
        before the first listing.
    missing_since : dict of str to float
        Upstreams whose entry is gone from the store or malformed, and when that
        was seen. They stay in use for a grace period, as an entry may lapse while
        its server is alive.
    lost : dict of str to LostUpstream
        Upstreams whose entry stayed missing although they were not draining; they
        may hold commits that no other server has.
    """

    upstreams: dict[str, Upstream] = field(default_factory=dict)
    stored: dict[str, StoredObject] = field(default_factory=dict)
    revision: int = 0
    missing_since: dict[str, float] = field(default_factory=dict)
    lost: dict[str, LostUpstream] = field(default_factory=dict)

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


@dataclass(slots=True)
class MembersSection:
    """Instances of the fleet; written by ``fleet`` and ``authority``.

    Attributes
    ----------
    registered : dict of str to Member
        Instances that are registered in the store, by object name.
    seeds : tuple of (str, int)
        Addresses from the settings; may be stale.
    alive_count : int
        Number of instances that the leader hears from, itself included.
    registered_count : int
        Number of registered instances, as the leader last reported it.
    """

    registered: dict[str, Member] = field(default_factory=dict)
    seeds: tuple[tuple[str, int], ...] = ()
    alive_count: int = 1
    registered_count: int = 0

    def count(self) -> int:
        """Return how many instances may hold connections to upstreams."""
        return max(1, self.alive_count, self.registered_count or len(self.registered))

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
        Latest timeline of the store that this instance knows of.
    """

    last_success: float | None = None
    failing_since: float | None = None
    timeline: int = 0

    @property
    def is_available(self) -> bool:
        """Return whether the last list or watch of the store was answered.

        False before the first.
        """
        return self.last_success is not None and self.failing_since is None
