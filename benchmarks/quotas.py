"""Share of operations that quotas refuse, and the most that arrive in a window.

Plays loads on instances that lease tokens from a leader, on a virtual clock and a
network without servers. Run with ``python benchmarks/quotas.py [instances] [seeds]``.
"""

import asyncio
import sys
from collections.abc import Callable

from burdocksail.catalog import Workspace
from burdocksail.fakes import QuotaWorld, run_in_virtual_time, silence_logs

LARGE = Workspace("large", 157.0, 157.0)
SMALL = [Workspace(f"small-{i}", 0.6, 0.6) for i in range(12)]
USUAL = {"large": 98.0} | {w.name: 0.375 for w in SMALL}
START = 2.0  # seconds from the first leader to the first operations


def play_calm(world: QuotaWorld):
    """Return the usual load."""
    return lambda name, at: USUAL[name], None


def play_below(world: QuotaWorld):
    """Return a load just below the rate."""
    return lambda name, at: USUAL[name] * 1.5, None


def play_peak(world: QuotaWorld):
    """Return seven times the usual load for 7 s."""
    return lambda name, at: USUAL[name] * (7.0 if 8 <= at < 15 else 1.0), None


def play_moving(world: QuotaWorld):
    """Return the usual load, from one failure domain after the other."""

    def choose(at: float, name: str):
        domain = str(int(at / 2.0) % 3)
        hosts = [
            i for i in world.by_host.values() if i.board.member.failure_domain == domain
        ]
        return world.random.choice(hosts)

    return lambda name, at: USUAL[name], choose


def play_lossy(world: QuotaWorld):
    """Return the usual load, with lost, doubled and late messages."""
    network = world.network
    network.loss, network.doubling, network.lateness = 0.1, 0.05, 0.05
    return lambda name, at: USUAL[name], None


def play_handover(world: QuotaWorld):
    """Return the usual load, with a change of leader that is handed over."""
    loop = asyncio.get_running_loop()
    others = list(world.by_host.values())
    loop.call_later(10.0, lambda: world.appoint(others[1]))
    return lambda name, at: USUAL[name], None


def play_lost_leader(world: QuotaWorld):
    """Return the usual load, with a leader that is lost and replaced after 1.6 s."""
    loop = asyncio.get_running_loop()
    others = list(world.by_host.values())
    loop.call_later(10.0, lambda: world.kill(world.find_leader()))
    loop.call_later(11.6, lambda: world.appoint(others[1]))
    return lambda name, at: USUAL[name], None


def play_restart(world: QuotaWorld):
    """Return the usual load, with a restart of all instances after 10 s."""
    loop = asyncio.get_running_loop()

    def restart() -> None:
        for index in range(len(world.by_host)):
            world.start_instance(index)
        world.appoint(next(iter(world.by_host.values())))

    loop.call_later(10.0, restart)
    return lambda name, at: USUAL[name], None


LOADS: dict[str, Callable] = {
    name.removeprefix("play_"): load
    for name, load in list(globals().items())
    if name.startswith("play_")
}


def run(name: str, instances: int, seed: int):
    """Return the records of one run."""

    async def scenario():
        world = QuotaWorld(instances, [LARGE, *SMALL], seed)
        await asyncio.sleep(0.5)
        world.appoint(next(iter(world.by_host.values())))
        await asyncio.sleep(START)
        rate, choose = LOADS[name](world)
        await world.play(20.0, rate, choose)
        world.stop()
        return world

    return run_in_virtual_time(scenario())


def main() -> None:
    """Print a table of all loads."""
    instances = int(sys.argv[1]) if len(sys.argv) > 1 else 88
    seeds = int(sys.argv[2]) if len(sys.argv) > 2 else 2
    only = sys.argv[3:] or list(LOADS)
    silence_logs()
    print(
        "load | large refused, lost | small refused, lost | wait ms p50 p99 |", end=""
    )
    print(" peak of bound, large, small | messages/s")
    for name in only:
        worlds = [run(name, instances, seed) for seed in range(seeds)]
        groups = {
            "large": [w.records["large"] for w in worlds],
            "small": [w.records[s.name] for w in worlds for s in SMALL],
        }
        texts = []
        for records in groups.values():
            offered = sum(r.offered for r in records)
            refused = sum(r.refused for r in records) / offered
            lost = sum(r.lost for r in records) / offered
            texts.append(f"{refused:.4f}, {lost:.4f}")
        waits = sorted(w for r in groups["large"] for w in r.waits)
        p50, p99 = (waits[int(len(waits) * p)] * 1000 for p in (0.5, 0.99))
        bounds = worlds[0].bounds
        peaks = []
        for group, workspace in (("large", LARGE), ("small", SMALL[0])):
            bound = bounds.compute_bound(workspace.rate, workspace.burst)
            peak = max(r.find_peak(bounds.window) for r in groups[group])
            peaks.append(f"{peak / bound:.3f}")
        messages = sum(w.network.messages for w in worlds) / seeds / 21.0
        print(
            f"{name} | {' | '.join(texts)} | {p50:.1f} {p99:.1f} | "
            f"{', '.join(peaks)} | {messages:.0f}",
            flush=True,
        )


if __name__ == "__main__":
    main()
