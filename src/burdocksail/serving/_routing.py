"""Ranks the servers that may run a read by the expected time of a reply."""

from dataclasses import dataclass

from burdocksail.board import Blackboard
from burdocksail.catalog import Upstream, UpstreamState
from burdocksail.core import LogPosition
from burdocksail.serving._pools import ConnectionPools

# Assumed round trips in seconds, by distance. They rank servers until latencies have
# been measured, and stay part of the cost afterwards.
SAME_DOMAIN_ROUND_TRIP = 0.0005
SAME_REGION_ROUND_TRIP = 0.003
OTHER_REGION_ROUND_TRIP = 0.03

LAGGING_PENALTY = 0.05  # seconds; a replica behind the floor mostly refuses reads
# Puts a server that has just refused or failed at the end.
AVOIDED_PENALTY = 0.5  # seconds
# Only the primary can run writes, so reads prefer replicas unless they are much slower.
PRIMARY_PENALTY = 0.01  # seconds


@dataclass(frozen=True, slots=True)
class Candidate:
    """A server that may run a read.

    Attributes
    ----------
    cost : float
        Expected seconds until its reply, penalties included.
    """

    upstream: Upstream
    cost: float


def rank_servers(
    board: Blackboard, pools: ConnectionPools, service: str, floor: LogPosition | None
) -> list[Candidate]:
    """Return the servers that are ready to run a read, lowest cost first.

    Parameters
    ----------
    floor : LogPosition or None
        Log position that the server must have applied; not used in the ranking. A
        server that has not applied it refuses the read.
    """
    view = board.authority.groups.get(service)
    primary_id = None if view is None else view.primary_id
    candidates = [
        Candidate(upstream, _estimate_cost(board, pools, upstream, primary_id, floor))
        for upstream in board.directory.of_service(service)
        if upstream.state is UpstreamState.READY
    ]
    return sorted(candidates, key=lambda c: (c.cost, c.upstream.id))


def estimate_round_trip(board: Blackboard, upstream: Upstream) -> float:
    """Return the assumed round trip to a server in seconds, by its distance."""
    own_domain = board.member.failure_domain
    if upstream.failure_domain == own_domain:
        return SAME_DOMAIN_ROUND_TRIP
    if board.region_of(upstream.failure_domain) == board.region_of(own_domain):
        return SAME_REGION_ROUND_TRIP
    return OTHER_REGION_ROUND_TRIP


def _estimate_cost(
    board: Blackboard,
    pools: ConnectionPools,
    upstream: Upstream,
    primary_id: str | None,
    floor: LogPosition | None,
) -> float:
    """Return the expected seconds until a server's reply; `floor` is not used."""
    now = board.now()
    statistics = pools.get(upstream).statistics
    cost = estimate_round_trip(board, upstream)
    cost += statistics.latency * (1 + statistics.in_flight)
    if upstream.id == primary_id:
        cost += PRIMARY_PENALTY
    if now < statistics.avoid_until:
        cost += AVOIDED_PENALTY
    if now < statistics.lagging_until:
        cost += LAGGING_PENALTY
    return cost
