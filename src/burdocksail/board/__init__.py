"""The shared state of one instance, as a blackboard.

The state is split into sections; each names the packages that write it.
"""

from burdocksail.board._authority import (
    AuthoritySection,
    GroupState,
    GroupView,
    Sample,
    SamplesSection,
)
from burdocksail.board._blackboard import Blackboard, StopSection
from burdocksail.board._fleet import (
    MAX_MONITORS,
    CatalogSection,
    DepartedUpstream,
    DirectorySection,
    LostUpstream,
    Member,
    MembersSection,
    StoreSection,
    UnconfirmedEntry,
)
from burdocksail.board._metrics import Metrics
from burdocksail.board._quotas import QuotaBounds, QuotaSection, count_leaderships
from burdocksail.board._signal import Signal
from burdocksail.board._speeds import ServerSpeed, SpeedsSection

__all__ = [
    "MAX_MONITORS",
    "AuthoritySection",
    "Blackboard",
    "CatalogSection",
    "DepartedUpstream",
    "DirectorySection",
    "LostUpstream",
    "GroupState",
    "GroupView",
    "Member",
    "MembersSection",
    "Metrics",
    "QuotaBounds",
    "QuotaSection",
    "count_leaderships",
    "Sample",
    "SamplesSection",
    "ServerSpeed",
    "Signal",
    "SpeedsSection",
    "StopSection",
    "StoreSection",
    "UnconfirmedEntry",
]
