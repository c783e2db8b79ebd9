"""Faults for randomized runs, and the loop that injects them at random.

The start function of a fault returns its target, or an empty string if the fault
cannot start now; the end function is given that target.
"""

import json
from datetime import timedelta

from burdocksail.core import seconds
from burdocksail.standin._simulator import STORE_NAME
from burdocksail.standin._world import (
    GROUP,
    MAX_ACTIVE_FAULTS,
    SERVICE,
    FaultKind,
    World,
    WorldSettings,
)


def _pick_node(world: World) -> str:
    alive = [n for n, x in world.simulator.nodes.items() if x.alive and not x.paused]
    return world.random.choice(sorted(alive)) if len(alive) > 2 else ""


def _pick_leader_or_node(world: World) -> str:
    leader = world.find_leader()
    if leader and world.random.random() < 0.6:
        return leader
    return _pick_node(world)


def _list_others(world: World, excluded: str) -> list[str]:
    names = [*world.simulator.nodes, *world.simulator.servers, STORE_NAME]
    return [name for name in names if name != excluded]


def _crash(world: World) -> str:
    name = _pick_leader_or_node(world)
    if name:
        world.simulator.crash_node(name)
    return name


def _restart(world: World, name: str) -> None:
    if not world.simulator.nodes[name].alive:
        world.simulator.restart_node(name)


def _stop_gracefully(world: World) -> str:
    name = _pick_leader_or_node(world)
    if name:
        world.simulator.stop_node(name)
    return name


def _restart_stopped(world: World, name: str) -> None:
    node = world.simulator.nodes[name]
    if not node.alive:
        world.simulator.restart_node(name)
        return
    # It is still draining; a platform kills an instance that does not stop in time.
    world.simulator.crash_node(name)
    world.simulator.restart_node(name)


def _pause(world: World) -> str:
    name = _pick_leader_or_node(world)
    if name:
        duration = seconds(world.random.choice((0.3, 2.0, 3.5, 6.0)))
        world.simulator.pause_node(name, duration)
    return name


def _isolate(world: World) -> str:
    name = _pick_leader_or_node(world)
    if name:
        world.simulator.cut_off(name, _list_others(world, name))
    return name


def _isolate_from_peers_and_store(world: World) -> str:
    """Cut a node from its peers and the store, but not from the database servers."""
    name = _pick_leader_or_node(world)
    if name:
        others = [n for n in world.simulator.nodes if n != name]
        world.simulator.cut_off(name, [*others, STORE_NAME])
    return name


def _cut_outgoing(world: World) -> str:
    """Cut one direction: a node receives, but nothing that it sends arrives."""
    name = _pick_leader_or_node(world)
    if name:
        for other in _list_others(world, name):
            world.simulator.cut(name, other, one_way=True)
    return name


def _cut_domain(world: World) -> str:
    """Cut all instances and servers of a failure domain from the rest."""
    domain = world.random.choice(world.simulator.settings.domains)
    inside = _list_domain(world, domain)
    for name in inside:
        for other in _list_others(world, name):
            if other not in inside:
                world.simulator.cut(name, other)
    return domain


def _list_domain(world: World, domain: str) -> set[str]:
    nodes = world.simulator.nodes.items()
    servers = world.simulator.servers.items()
    return {n for n, x in nodes if x.instance.failure_domain == domain} | {
        n for n, x in servers if x.domain == domain
    }


def _restore_links(world: World, name: str) -> None:
    """Restore the links of a node or server, or of all in a failure domain.

    `name` is that of the node, the server or the failure domain.
    """
    inside = _list_domain(world, name) or {name}
    world.simulator.cut_links = {
        (a, b)
        for a, b in world.simulator.cut_links
        if a not in inside and b not in inside
    }


def _cut_primary(world: World) -> str:
    name = world.find_primary()
    if name:
        world.simulator.cut_off(name, _list_others(world, name))
    return name


def _cut_primary_from_leader(world: World) -> str:
    name = world.find_primary()
    leader = world.find_leader()
    if name and leader:
        world.simulator.cut(leader, name)
    return name


def _cut_primary_answers(world: World) -> str:
    """Cut one direction: the primary gets statements, but its answers are lost."""
    name = world.find_primary()
    leader = world.find_leader()
    if name and leader:
        world.simulator.cut(name, leader, one_way=True)
    return name


def _cut_incoming(world: World) -> str:
    """Cut one direction: a node's messages arrive, but it receives nothing."""
    name = _pick_leader_or_node(world)
    if name:
        for other in _list_others(world, name):
            world.simulator.cut(other, name, one_way=True)
    return name


def _crash_server(world: World) -> str:
    names = sorted(world.simulator.servers)
    primary = world.find_primary()
    name = primary if primary and world.random.random() < 0.6 else ""
    name = name or world.random.choice(names)
    world.simulator.servers[name].up = False
    return name


def _restart_server(world: World, name: str) -> None:
    world.simulator.servers[name].up = True


def _stop_store(world: World) -> str:
    world.simulator.store_faults.down = True
    return STORE_NAME


def _slow_store(world: World) -> str:
    world.simulator.store_faults.extra_delay = seconds(0.8)
    return STORE_NAME


def _lose_store_answers(world: World) -> str:
    world.simulator.store_faults.answer_loss_probability = 0.5
    return STORE_NAME


def _restore_store(world: World, name: str) -> None:
    faults = world.simulator.store_faults
    faults.down = False
    faults.extra_delay = timedelta()
    faults.answer_loss_probability = 0.0


def _request_primary_change(world: World) -> str:
    current = world.find_primary()
    others = [name for name in sorted(world.simulator.servers) if name != current]
    target = world.random.choice(others)
    world.request_primary_change(target)
    return target


def _increase_lag(world: World) -> str:
    world.simulator.groups[GROUP].lag = seconds(0.4)
    return GROUP


def _restore_lag(world: World, name: str) -> None:
    world.simulator.groups[GROUP].lag = world.settings.lag


def _race_record_writes(world: World) -> str:
    """Write a record twice from the same version, as two operators at once would."""
    path = f"service/{SERVICE}"
    current = world.simulator.store.objects[f"records/{path}"]
    value = json.loads(current.value)
    for deadline in (4000, 5000):
        text = json.dumps({**value, "deadline_ms": deadline})
        world.write_record(path, text, current.version)
    return SERVICE


def _copy_store(world: World) -> str:
    world.store_copy = world.simulator.store.take_copy()
    return STORE_NAME


def _return_store_to_copy(world: World, name: str) -> None:
    """Let the store lose what has been written since the copy was taken."""
    world.restore_store(world.store_copy)


def _do_nothing(world: World, name: str) -> None:
    """Leave alone a fault that ends by itself."""


FAULT_KINDS: tuple[FaultKind, ...] = (
    FaultKind("crash", _crash, _restart),
    FaultKind("stop", _stop_gracefully, _restart_stopped),
    FaultKind("pause", _pause, _do_nothing),
    FaultKind("isolate", _isolate, _restore_links),
    FaultKind("isolate_from_nodes", _isolate_from_peers_and_store, _restore_links),
    FaultKind("mute", _cut_outgoing, _restore_links),
    FaultKind("cut_domain", _cut_domain, _restore_links),
    FaultKind("cut_primary", _cut_primary, _restore_links),
    FaultKind("cut_primary_from_leader", _cut_primary_from_leader, _restore_links),
    FaultKind("cut_answers", _cut_primary_answers, _restore_links),
    FaultKind("deafen", _cut_incoming, _restore_links),
    FaultKind("crash_server", _crash_server, _restart_server),
    FaultKind("store_down", _stop_store, _restore_store),
    FaultKind("store_slow", _slow_store, _restore_store),
    FaultKind("store_loses", _lose_store_answers, _restore_store),
    FaultKind("plan_primary", _request_primary_change, _do_nothing),
    FaultKind("grow_lag", _increase_lag, _restore_lag),
    FaultKind("race_operators", _race_record_writes, _do_nothing),
)
# The seeds of other tests depend on the list above.
RESTORATION_FAULT_KINDS: tuple[FaultKind, ...] = (
    *FAULT_KINDS,
    *(FaultKind("restore_store", _copy_store, _return_store_to_copy),) * 4,
)


def run_random_world(
    seed: int,
    steps: int,
    settings: WorldSettings | None = None,
    kinds: tuple[FaultKind, ...] = FAULT_KINDS,
) -> World:
    """Run a world for a number of random steps, check it and return it.

    A step may start or end a fault of one of `kinds` and lasts up to 3 s of virtual
    time.

    Raises
    ------
    ObserverError
        If callers got answers that disagree with each other or with the data.
    InvariantError
        If a node was about to violate one of its own invariants.
    """
    world = World(seed, settings)
    world.start()
    world.watch_instances()
    for _ in range(steps):
        draw = world.random.random()
        if draw < 0.35:
            world.start_fault(world.random.choice(kinds))
        elif draw < 0.55:
            world.end_fault(world.random.randrange(MAX_ACTIVE_FAULTS))
        world.run_for(seconds(world.random.choice((0.05, 0.3, 1.0, 3.0))))
    world.settle()
    world.check_now()
    world.check_contents()
    world.check_configuration()
    return world
