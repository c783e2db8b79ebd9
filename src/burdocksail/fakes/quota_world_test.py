"""Bound of quotas in every window, in random worlds with faults."""

import asyncio
import functools
import random
import unittest
from collections.abc import Callable

from burdocksail.catalog import Workspace
from burdocksail.fakes import (
    BOUNDS,
    QuotaInstance,
    QuotaWorld,
    run_in_virtual_time,
    silence_logs,
)
from burdocksail.traffic import TOKEN_LIFETIME

DURATION = 25.0


class Faults:
    """Injects random faults into a world, and remembers the limits in force."""

    def __init__(self, world: QuotaWorld, workspaces: list[Workspace], seed: int):
        self.world = world
        self.random = random.Random(f"{seed}/faults")
        self.limits = [(0.0, {w.name: w for w in workspaces})]
        self._kinds = [
            self.lose_messages,
            self.divide,
            self.kill,
            self.kill_leader,
            self.restart,
            self.restart_all,
            self.freeze,
            self.freeze_leader,
            self.appoint,
            self.change_limits,
        ]

    async def run(self) -> None:
        while True:
            await asyncio.sleep(self.random.uniform(0.2, 3.0))
            self.random.choice(self._kinds)()
            if self.world.find_leader() is None:
                self._call_later(self.random.uniform(0.3, 1.5), self.appoint)

    def lose_messages(self) -> None:
        network = self.world.network
        network.loss = self.random.choice([0.0, 0.0, 0.1, 0.4])
        network.doubling = self.random.choice([0.0, 0.2])
        network.lateness = self.random.choice([0.0, 0.1, 0.5])

    def divide(self) -> None:
        hosts = [i.host for i in self.world.by_host.values()]
        self.world.network.groups = {h: self.random.randrange(2) for h in hosts}
        self._call_later(self.random.uniform(1.0, 8.0), self.world.network.groups.clear)

    def kill(self) -> None:
        self._kill(self._pick())

    def kill_leader(self) -> None:
        leader = self.world.find_leader()
        if leader is not None:
            self._kill(leader)
            self._call_later(self.random.uniform(0.0, 2.5), self.appoint)

    def restart(self) -> None:
        self.world.start_instance(self.random.randrange(len(self.world.registered)))

    def restart_all(self) -> None:
        """Restart all instances; none of them knows of earlier leaders."""
        self.world.network.frozen.clear()
        for index in range(len(self.world.registered)):
            self.world.start_instance(index)
        self._call_later(self.random.uniform(0.3, 2.5), self.appoint)

    def freeze(self) -> None:
        self._freeze(self._pick())

    def freeze_leader(self) -> None:
        leader = self.world.find_leader()
        if leader is not None:
            self._freeze(leader)
            self._call_later(self.random.uniform(0.5, 2.0), self.appoint)

    def appoint(self) -> None:
        chosen = self._pick()
        if chosen.host not in self.world.network.frozen:
            self.world.appoint(chosen)

    def change_limits(self) -> None:
        factor = self.random.choice([0.3, 0.7, 1.5, 3.0])
        limits = {
            name: Workspace(name, w.rate * factor, w.burst * factor)
            for name, w in self.limits[0][1].items()
        }
        now = asyncio.get_running_loop().time()
        self.limits.append((now, limits))
        self.world.configure(list(limits.values()))

    def find_bound(self, name: str, start: float, end: float) -> float:
        """Return the bound of a window under the limits that held in it.

        Tokens of a former limit are used for up to `TOKEN_LIFETIME`.
        """
        ends = [at for at, _ in self.limits[1:]] + [float("inf")]
        return max(
            BOUNDS.compute_bound(limits[name].rate, limits[name].burst)
            for (at, limits), until in zip(self.limits, ends, strict=True)
            if at <= end and until + TOKEN_LIFETIME >= start
        )

    def _pick(self) -> QuotaInstance:
        return self.random.choice(list(self.world.by_host.values()))

    def _kill(self, instance: QuotaInstance) -> None:
        if len(self.world.by_host) > 2:
            self.world.kill(instance)
            start = functools.partial(self.world.start_instance, instance.index)
            self._call_later(self.random.uniform(0.5, 5.0), start)

    def _call_later(self, delay: float, act: Callable[[], object]) -> None:
        asyncio.get_running_loop().call_later(delay, act)

    def _freeze(self, instance: QuotaInstance) -> None:
        network = self.world.network
        if instance.host not in network.frozen:
            network.frozen[instance.host] = []
            delay = self.random.choice([0.3, 1.2, 3.0, 8.0])
            self._call_later(delay, lambda: network.thaw(instance.host))


def play(seed: int, instances: int, workspaces: list[Workspace], excess: float):
    """Return a world with faults, and the faults, at its end."""

    async def scenario():
        world = QuotaWorld(instances, workspaces, seed)
        faults = Faults(world, workspaces, seed)
        await asyncio.sleep(0.3)
        world.appoint(next(iter(world.by_host.values())))
        rates = {w.name: w.rate for w in workspaces}
        phase = world.random.uniform(2.0, 8.0)
        task = asyncio.create_task(faults.run())

        # Pauses let the buckets fill, so that the next load begins with a burst.
        def rate(name: str, at: float) -> float:
            return rates[name] * (excess if int(at / phase) % 2 else 0.2)

        await world.play(DURATION, rate)
        task.cancel()
        world.stop()
        return world, faults

    return run_in_virtual_time(scenario())


class BoundTest(unittest.TestCase):
    """A quota must hold in every window, whatever happens to instances and messages."""

    @classmethod
    def setUpClass(cls) -> None:
        silence_logs()

    def check(self, seed: int, instances: int, workspaces, excess: float) -> None:
        world, faults = play(seed, instances, workspaces, excess)
        for name, record in world.records.items():
            arrivals = sorted(record.arrivals)
            for last, end in enumerate(arrivals):
                start = end - BOUNDS.window
                first = last
                while first > 0 and arrivals[first - 1] > start:
                    first -= 1
                with self.subTest(seed=seed, workspace=name, end=end):
                    bound = faults.find_bound(name, start, end)
                    self.assertLessEqual(last - first + 1, bound)

    def test_bound_holds_for_busy_workspaces(self):
        workspaces = [Workspace("a", 40.0, 40.0), Workspace("b", 30.0, 5.0)]
        for seed in range(8):
            self.check(seed, 6, workspaces, 5.0)

    def test_bound_holds_for_workspaces_with_less_than_one_operation_a_second(self):
        workspaces = [Workspace("a", 0.6, 0.6), Workspace("b", 2.0, 1.0)]
        for seed in range(100, 106):
            self.check(seed, 12, workspaces, 40.0)
