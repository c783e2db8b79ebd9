"""Choice of the live instance that should lead each group.

Rendezvous hashing spreads the groups without coordination. Ranking 1,400
instances for 3,400 groups at every membership change would take more than the
whole CPU budget for control work, so each group's best instance is updated
incrementally: an instance that joins is weighed once per group, and only groups
whose best instance left are ranked again.
"""

from collections.abc import Iterable

from burdocksail.core import Instance, rank_instances, weigh_instance
from burdocksail.node._board import Blackboard, PreferredInstance, Ranking

LEASE_MEMBERS_PER_GROUP = 5
MAX_LEASE_MEMBERS_PER_DOMAIN = 2


def update_preferred_after_join(board: Blackboard, instance: Instance) -> None:
    """Compare an instance that joined with the best instance of each group."""
    preferred = board.membership.preferred
    for group in board.configuration.groups:
        weight = weigh_instance(group, instance)
        best = preferred.get(group)
        if best is None or (weight, instance.key) > (best.weight, best.instance.key):
            _set_preferred(board, group, PreferredInstance(weight, instance))


def update_preferred_after_leave(board: Blackboard, instance: Instance) -> None:
    """Rank again the groups whose best instance left."""
    for group, best in list(board.membership.preferred.items()):
        if best.instance.key == instance.key:
            find_preferred_leader(board, group, refresh=True)


def remove_unconfigured_groups(board: Blackboard) -> None:
    """Remove groups that are no longer configured."""
    preferred = board.membership.preferred
    for group in [g for g in preferred if g not in board.configuration.groups]:
        del preferred[group]
        board.membership.preferred_groups.discard(group)


def find_preferred_leader(
    board: Blackboard, group: str, refresh: bool = False
) -> Instance | None:
    """Return the live instance that should lead a group."""
    preferred = board.membership.preferred
    best = preferred.get(group)
    if best is not None and not refresh:
        return best.instance
    live = board.membership.live.values()
    if not live:
        preferred.pop(group, None)
        board.membership.preferred_groups.discard(group)
        return None
    instance = max(live, key=lambda i: (weigh_instance(group, i), i.key))
    weight = weigh_instance(group, instance)
    _set_preferred(board, group, PreferredInstance(weight, instance))
    return instance


def _set_preferred(board: Blackboard, group: str, best: PreferredInstance) -> None:
    """Store a group's best instance, and whether it is this instance.

    The groups that prefer this instance are checked twice a second; iterating
    over all 3,400 groups for that would take most of the CPU budget for control work.
    """
    board.membership.preferred[group] = best
    if best.instance.key == board.me.key:
        board.membership.preferred_groups.add(group)
    else:
        board.membership.preferred_groups.discard(group)


def rank_live_instances(
    board: Blackboard, key: str, failure_domain: str = ""
) -> list[Instance]:
    """Return the live instances, of one failure domain or all, best first.

    The ranking is cached until the live set changes; ranking 1,400 instances
    twice a second would be a noticeable part of the CPU budget for control work.
    """
    section = board.membership
    known = section.rankings.get(key)
    if known is not None and known.live_version == section.live_version:
        return known.instances
    candidates = [
        instance
        for instance in section.live.values()
        if failure_domain in ("", instance.failure_domain)
    ]
    ranked = rank_instances(key, candidates)
    section.rankings[key] = Ranking(section.live_version, ranked)
    return ranked


def choose_lease_members(board: Blackboard, group: str) -> tuple[Instance, ...]:
    """Return the instances that grant the leases of a group led here.

    The leader is one of them. They are spread over failure domains, so that the
    loss of one domain leaves a majority if enough instances in enough domains
    are live.
    """
    others = [i for i in board.membership.live.values() if i.key != board.me.key]
    ranked = rank_instances(group, others)
    chosen = [board.me]
    for limit in (MAX_LEASE_MEMBERS_PER_DOMAIN, LEASE_MEMBERS_PER_GROUP):
        chosen = _fill_members(chosen, ranked, limit)
    # An even set tolerates no more losses than the odd set below it.
    if len(chosen) % 2 == 0:
        chosen.pop()
    return tuple(chosen)


def may_form_majority(count: int, fleet_size: int) -> bool:
    """Return whether some instances may be a majority of a member set of the fleet."""
    set_size = max(1, min(LEASE_MEMBERS_PER_GROUP, fleet_size))
    set_size -= 1 - set_size % 2
    return count > set_size // 2


def _fill_members(
    chosen: list[Instance], ranked: Iterable[Instance], limit: int
) -> list[Instance]:
    filled = list(chosen)
    keys = {instance.key for instance in filled}
    for instance in ranked:
        if len(filled) == LEASE_MEMBERS_PER_GROUP:
            break
        domain = instance.failure_domain
        in_domain = sum(1 for other in filled if other.failure_domain == domain)
        if instance.key not in keys and in_domain < limit:
            filled.append(instance)
            keys.add(instance.key)
    return filled
