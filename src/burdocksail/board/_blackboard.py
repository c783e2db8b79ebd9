"""The blackboard and the section on a graceful stop."""

from dataclasses import dataclass, field

from burdocksail.board._authority import (
    AuthoritySection,
    GroupView,
    SamplesSection,
)
from burdocksail.board._fleet import (
    CatalogSection,
    DirectorySection,
    Member,
    MembersSection,
    StoreSection,
)
from burdocksail.board._metrics import Metrics
from burdocksail.board._quotas import QuotaSection
from burdocksail.board._signal import Signal
from burdocksail.board._speeds import SpeedsSection
from burdocksail.core import SecondsClock


@dataclass(slots=True)
class StopSection:
    """Progress of a graceful stop; written by ``agent``.

    Attributes
    ----------
    requested_at : float or None
        Clock reading at which the stop was requested.
    transactions_end_at : float
        Clock reading at which transactions that are still open are ended.
    requests_end_at : float
        Clock reading by which every request has to be answered.
    admission_ended : bool
        Whether no further session may begin.
    """

    requested_at: float | None = None
    transactions_end_at: float = float("inf")
    requests_end_at: float = float("inf")
    admission_ended: bool = False

    @property
    def requested(self) -> bool:
        """Return whether the process is stopping."""
        return self.requested_at is not None


@dataclass(slots=True)
class Blackboard:
    """The shared state of one instance.

    Controllers read any section and write only those that name their package.

    Attributes
    ----------
    regions : dict of str to str
        Region of each failure domain.
    changed : Signal
        Notified after a change that other tasks may wait for.
    """

    member: Member
    clock: SecondsClock
    regions: dict[str, str]
    catalog: CatalogSection = field(default_factory=CatalogSection)
    directory: DirectorySection = field(default_factory=DirectorySection)
    members: MembersSection = field(default_factory=MembersSection)
    store: StoreSection = field(default_factory=StoreSection)
    authority: AuthoritySection = field(default_factory=AuthoritySection)
    samples: SamplesSection = field(default_factory=SamplesSection)
    quotas: QuotaSection = field(default_factory=QuotaSection)
    speeds: SpeedsSection = field(default_factory=SpeedsSection)
    stop: StopSection = field(default_factory=StopSection)
    metrics: Metrics = field(default_factory=Metrics)
    changed: Signal = field(default_factory=Signal)

    @property
    def latest_timeline(self) -> int:
        """Return the latest timeline of the store, from its answers or from peers."""
        return max(self.store.timeline, self.directory.version.timeline)

    def now(self) -> float:
        """Return the clock reading in seconds."""
        return self.clock.read()

    def get_view_for_new_work(self, service: str) -> GroupView | None:
        """Return the view under which new work may go to the primary now.

        None if the authority's view does not admit it, or if the primary has been
        draining for so long that it may exit at any moment.
        """
        now = self.now()
        view = self.authority.get_view_for_new_work(service, now)
        if view is None or not self.directory.may_start_work(view.primary_id, now):
            return None
        return view

    def region_of(self, failure_domain: str) -> str:
        """Return the region of a failure domain, or its own name if none is known."""
        return self.regions.get(failure_domain, failure_domain)
