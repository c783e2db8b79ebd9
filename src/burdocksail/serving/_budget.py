"""Limits on the connections that one instance opens and retains per server.

No instance knows how many connections the others use, so the limits depend on
the size of the fleet, not on current use. The retained connections of all instances
fit the server's connection limit; the capacities may add up to more, and the server
refuses the excess.
"""

from dataclasses import dataclass

from burdocksail.board import Blackboard
from burdocksail.catalog import Upstream

RESERVED_CONNECTIONS = 2  # per server, for status queries
# Instances use their shares unevenly; a server refuses connections over its limit.
OVERCOMMIT_FACTOR = 1.5
# Where there are workspaces, requests wait for their fair share before a connection.
# More connections than a server has slots would let them wait inside the server, in
# the order of their arrival.
OVERCOMMIT_FACTOR_FOR_WORKSPACES = 1.0
MIN_CONNECTIONS = 2
# A server holds the connections of an instance that lost power for seconds, so the
# fleet should need no more than half of the server's limit.
RETAINED_SHARE = 0.5
# A full server has to leave room for instances that hold less than their share.
RETAINED_SHARE_WHEN_FULL = 0.8
SURPLUS_IDLE_TIMEOUT = 3.0  # seconds, for idle connections beyond that share
# With less than two connections for each instance, half of the share is none, and
# idle connections would fill the server unless they are closed soon.
SMALL_SHARE_IDLE_TIMEOUT = 0.25  # seconds
# With fewer connections than instances, the instances have to take turns.
SCARCE_IDLE_TIMEOUT = 0.15  # seconds
# The instances in a server's region send it most of their reads, so each of them
# may retain one connection if enough are left for the others: together they may retain
# at most this share of the usable connections (regions are taken to be of equal size).
LOCAL_REGION_SHARE = 0.6
# Instances in all regions need connections to a primary, so with scarce connections
# not even those in its own region retain one.
PRIMARY_IDLE_TIMEOUT = 0.7  # seconds, for instances in the primary's region


@dataclass(frozen=True, slots=True)
class ConnectionBudget:
    """Limits on the connections of one instance to one server.

    Attributes
    ----------
    capacity : int
        Maximum number of open connections.
    retained : float
        Pool size at or below which idle connections stay open.
    idle_timeout : float
        Seconds after which idle connections are closed while the pool is larger
        than `retained`.
    retained_when_full : float
        The same as `retained`, while the server has no connections to spare.
    """

    capacity: int
    retained: float
    idle_timeout: float
    retained_when_full: float = 0.0


def compute_budget(board: Blackboard, upstream: Upstream) -> ConnectionBudget:
    """Return the connection limits of this instance for a server.

    If there is no configuration, or the service is not in it, the capacity is
    `MIN_CONNECTIONS`.
    """
    usable = _count_usable_connections(board, upstream)
    if usable is None:
        return ConnectionBudget(MIN_CONNECTIONS, 1.0, SURPLUS_IDLE_TIMEOUT)
    share = usable / board.members.count()
    capacity = int(max(MIN_CONNECTIONS, share) * _find_overcommit_factor(board))
    if share >= 1.0:
        retained = share * RETAINED_SHARE
        retained_when_full = max(1.0, share * RETAINED_SHARE_WHEN_FULL)
        idle_timeout = (
            SURPLUS_IDLE_TIMEOUT if retained >= 1.0 else SMALL_SHARE_IDLE_TIMEOUT
        )
        return ConnectionBudget(capacity, retained, idle_timeout, retained_when_full)
    if not _may_region_retain(board, upstream, usable):
        return ConnectionBudget(capacity, 0.0, SCARCE_IDLE_TIMEOUT)
    if upstream.id in board.authority.primaries():
        return ConnectionBudget(capacity, 0.0, PRIMARY_IDLE_TIMEOUT)
    return ConnectionBudget(capacity, 1.0, SCARCE_IDLE_TIMEOUT)


def _find_overcommit_factor(board: Blackboard) -> float:
    catalog = board.catalog.catalog
    if catalog is None or catalog.workspaces is None:
        return OVERCOMMIT_FACTOR
    return OVERCOMMIT_FACTOR_FOR_WORKSPACES


def _count_usable_connections(board: Blackboard, upstream: Upstream) -> int | None:
    catalog = board.catalog.catalog
    service = None if catalog is None else catalog.services.get(upstream.service)
    return None if service is None else service.max_connections - RESERVED_CONNECTIONS


def _may_region_retain(board: Blackboard, upstream: Upstream, usable: int) -> bool:
    """Return whether each instance in the server's region may retain a connection.

    Always false for an instance in another region.
    """
    own_region = board.region_of(board.member.failure_domain)
    if board.region_of(upstream.failure_domain) != own_region:
        return False
    regions = max(1, len(set(board.regions.values())))
    return board.members.count() / regions <= usable * LOCAL_REGION_SHARE
