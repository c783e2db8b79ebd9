"""How many connections to a server one instance opens, and how many it keeps.

No instance knows what the others use, so the rules follow from the size of the
fleet alone: their sum over all instances stays near what the server takes.
"""

from dataclasses import dataclass

from burdocksail.board import Blackboard
from burdocksail.catalog import Upstream

RESERVED_CONNECTIONS = 2  # of each server, for questions about its state
# Instances use their shares unevenly; a server refuses what is too much.
SHARE_FACTOR = 1.5
MIN_CONNECTIONS = 2
# Servers keep the connections of an instance that lost power for seconds, so the
# fleet should need no more than half of what they take.
SURPLUS_SHARE = 0.5
SURPLUS_IDLE = 3.0  # seconds until an idle connection beyond that share closes
# Where there are fewer connections than instances, they have to take turns.
SCARCE_IDLE = 0.15  # seconds
# The instances of a server's own region send it most of their reads, so there
# each may keep one, as long as the others find enough left.
REGION_SHARE = 0.6
# At a primary all other instances need connections as well.
PRIMARY_IDLE = 0.7  # seconds


@dataclass(frozen=True, slots=True)
class ConnectionBudget:
    """What an instance may hold at one server.

    Attributes
    ----------
    capacity : int
        Connections that it may have open.
    kept : float
        Idle connections that stay open.
    idle_limit : float
        Seconds after which other idle connections are closed.
    """

    capacity: int
    kept: float
    idle_limit: float


def find_budget(board: Blackboard, upstream: Upstream) -> ConnectionBudget:
    """Return the budget of this instance at a server."""
    usable = _count_usable(board, upstream)
    if usable is None:
        return ConnectionBudget(MIN_CONNECTIONS, 1.0, SURPLUS_IDLE)
    share = usable / board.members.count()
    capacity = int(max(MIN_CONNECTIONS, share) * SHARE_FACTOR)
    if share >= 1.0:
        kept = max(1.0, share * SURPLUS_SHARE)
        return ConnectionBudget(capacity, kept, SURPLUS_IDLE)
    if not _may_region_keep(board, upstream, usable):
        return ConnectionBudget(capacity, 0.0, SCARCE_IDLE)
    if upstream.id in board.authority.primaries():
        return ConnectionBudget(capacity, 0.0, PRIMARY_IDLE)
    return ConnectionBudget(capacity, 1.0, SCARCE_IDLE)


def _count_usable(board: Blackboard, upstream: Upstream) -> int | None:
    catalog = board.catalog.catalog
    service = None if catalog is None else catalog.services.get(upstream.service)
    return None if service is None else service.max_connections - RESERVED_CONNECTIONS


def _may_region_keep(board: Blackboard, upstream: Upstream, usable: int) -> bool:
    """Return whether the instances of the server's region may keep one each."""
    own = board.region_of(board.member.failure_domain)
    if board.region_of(upstream.failure_domain) != own:
        return False
    regions = max(1, len(set(board.regions.values())))
    return board.members.count() / regions <= usable * REGION_SHARE
