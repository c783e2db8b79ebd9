"""Collects what is known about the servers that may run a read, and ranks them."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from burdocksail.board import Blackboard
from burdocksail.catalog import Route, Upstream, UpstreamState
from burdocksail.serving._context import ServingContext
from burdocksail.serving._freshness import Floor
from burdocksail.serving._statistics import find_shared_speed
from burdocksail.traffic import ServerHealth, ServerLoad, find_ejected, rank_by_cost

# Assumed round trips in seconds, by distance. They are part of the cost beside the
# measured ones, so that reads stay near.
SAME_DOMAIN_ROUND_TRIP = 0.0005
SAME_REGION_ROUND_TRIP = 0.003
OTHER_REGION_ROUND_TRIP = 0.03


@dataclass(frozen=True, slots=True)
class Survey:
    """The servers that are ready to run a read, and what is known about each."""

    ready: dict[str, Upstream]
    loads: list[ServerLoad]

    def rank(self) -> list[Upstream]:
        """Return the servers that may run the read, lowest cost first."""
        return [self.ready[name] for name in rank_by_cost(self.loads)]


def rank_servers(serving: ServingContext, route: Route, floor: Floor) -> list[Upstream]:
    """Return the servers that are ready to run a read, lowest cost first.

    Parameters
    ----------
    floor : Floor
        Log position that the server must have applied. A server that has not
        applied it refuses the read, so one that is known to lag is left out unless
        no server is left.
    """
    return survey_servers(serving, route, floor, find_ejected).rank()


def survey_servers(
    serving: ServingContext,
    route: Route,
    floor: Floor,
    find_ejected_servers: Callable[[Mapping[str, ServerHealth], float], set[str]],
) -> Survey:
    """Return what is known about the servers that are ready to run a read.

    Parameters
    ----------
    floor : Floor
        Log position that the server must have applied.
    find_ejected_servers : callable
        Returns the servers that are ejected at a clock reading, by their health.
    """
    board, pools, service = serving.board, serving.pools, route.service
    view = board.authority.groups.get(service)
    primary_id = None if view is None else view.primary_id
    ready = {
        upstream.id: upstream
        for upstream in board.directory.of_service(service)
        if upstream.state is UpstreamState.READY
    }
    healths = {name: pools.get(u).statistics.health for name, u in ready.items()}
    ejected = find_ejected_servers(healths, board.now())
    run_time = serving.work_times[service].estimate((route.name, False))
    loads = [
        _describe_load(serving, upstream, primary_id, floor, run_time, ejected)
        for upstream in ready.values()
    ]
    return Survey(ready, loads)


def estimate_round_trip(board: Blackboard, upstream: Upstream) -> float:
    """Return the assumed round trip to a server in seconds, by its distance."""
    own_domain = board.member.failure_domain
    if upstream.failure_domain == own_domain:
        return SAME_DOMAIN_ROUND_TRIP
    if board.region_of(upstream.failure_domain) == board.region_of(own_domain):
        return SAME_REGION_ROUND_TRIP
    return OTHER_REGION_ROUND_TRIP


def _describe_load(
    serving: ServingContext,
    upstream: Upstream,
    primary_id: str | None,
    floor: Floor,
    run_time: float,
    ejected: set[str],
) -> ServerLoad:
    board = serving.board
    now = board.now()
    statistics = serving.pools.get(upstream).statistics
    is_primary = upstream.id == primary_id
    return ServerLoad(
        id=upstream.id,
        round_trip=estimate_round_trip(board, upstream) + statistics.round_trip,
        run_time=run_time,
        pending=statistics.pending.seconds,
        slow_factor=statistics.compute_slow_factor(
            now, *find_shared_speed(board, upstream)
        ),
        is_primary=is_primary,
        may_cover=is_primary or statistics.lag.may_cover(floor.compute_age(now), now),
        is_avoided=now < statistics.avoid_until or statistics.is_held_back,
        is_ejected=upstream.id in ejected,
    )
