"""Sections on the fleet: configuration, upstreams, instances, the store."""

import random
from dataclasses import dataclass, field

from burdocksail.catalog import Catalog, Upstream
from burdocksail.ports import StoredObject

# Enough that some are left when a region is lost, and few enough for the store.
MONITORS = 8  # instances besides the leader
ASKED_AT_ONCE = 12  # instances; one that knows the answer is among them


@dataclass(frozen=True, slots=True)
class Member:
    """One incarnation of an instance.

    Attributes
    ----------
    incarnation : str
        Drawn at the start of the process. Another incarnation at the same
        address proves that this one has ended.
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
    """Configuration in force; written by ``fleet._tracking``."""

    catalog: Catalog | None = None
    stored: StoredObject | None = None


@dataclass(frozen=True, slots=True)
class LostUpstream:
    """An upstream that has gone without notice, and when it was dropped."""

    service: str
    since: float


@dataclass(slots=True)
class DirectorySection:
    """Upstreams that have described themselves; written by ``fleet._tracking``.

    Attributes
    ----------
    revision : int
        Revision of the store at the last change that is known; 0 before the
        first list.
    missing_since : dict of str to float
        Entries that the store has dropped, and when this was seen. They stay in
        use for a moment, as an entry may lapse while its server lives.
    lost : dict of str to LostUpstream
        Upstreams that went without notice; they may hold commits that no other
        has.
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
        """Return the upstreams of a service that were lost after an instant."""
        return [
            upstream_id
            for upstream_id, lost in self.lost.items()
            if lost.service == service and lost.since > after
        ]


@dataclass(slots=True)
class MembersSection:
    """Instances of the fleet.

    Attributes
    ----------
    registered : dict of str to Member
        By object name, as the store has them.
    seeds : tuple of (str, int)
        Addresses from the settings; may be stale.
    alive : int
        Number of instances that the leader hears from, itself included.
    recorded : int
        Number of instances that the store has on record by the leader's account.
    """

    registered: dict[str, Member] = field(default_factory=dict)
    seeds: tuple[tuple[str, int], ...] = ()
    alive: int = 1
    recorded: int = 0

    def count(self) -> int:
        """Return how many instances may hold connections to upstreams."""
        return max(1, self.alive, self.recorded or len(self.registered))

    def pick_addresses(
        self, own: tuple[str, int], rng: random.Random
    ) -> list[tuple[str, int]]:
        """Return some addresses of others, so that questions to all stay few."""
        others = sorted(self.addresses() - {own})
        return rng.sample(others, min(ASKED_AT_ONCE, len(others)))

    def addresses(self) -> set[tuple[str, int]]:
        """Return every address at which an instance may be."""
        return {m.address for m in self.registered.values()} | set(self.seeds)


@dataclass(slots=True)
class StoreSection:
    """How the store has answered this instance; written by ``fleet``."""

    last_success: float | None = None
    failing_since: float | None = None

    @property
    def works(self) -> bool:
        """Return whether the last call was answered."""
        return self.last_success is not None and self.failing_since is None
