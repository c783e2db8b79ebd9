"""What instances learn of their servers, and what follows from it."""

import asyncio
import unittest
from dataclasses import replace
from unittest import mock

from burdocksail.catalog import ReadPolicy
from burdocksail.core import FailureKind, Run
from burdocksail.fakes import (
    Fleet,
    ServerCapacity,
    run_scenario,
    silence_logs,
)
from burdocksail.serving import _statements

READ = Run("r", "READ work=0.03", False)


def setUpModule():
    silence_logs()


def limit_capacity(fleet: Fleet, **slow_factors: float) -> None:
    for name, server in fleet.database.servers.items():
        factor = slow_factors.get(name.replace("-", "_"), 1.0)
        server.capacity = ServerCapacity(slow_factor=factor)


async def read(fleet: Fleet, count: int) -> None:
    session = fleet.session("instance-1", ReadPolicy.STATED_AGE)
    for _ in range(count):
        async with asyncio.TaskGroup() as group:
            for _ in range(4):
                group.create_task(session.execute(READ))


def describe(fleet: Fleet, server: str) -> dict:
    return fleet.instances["instance-1"].describe()["upstreams"][server]


class LearnedSpeedTest(unittest.TestCase):
    def test_slow_server_is_shown_and_counted_once(self):
        async def scenario(fleet: Fleet) -> None:
            limit_capacity(fleet, server_1=10.0)
            await asyncio.sleep(1.0)
            await read(fleet, 20)
            self.assertGreater(describe(fleet, "server-1")["slow_factor"], 2.0)
            metrics = fleet.instances["instance-1"].board.metrics.counters
            self.assertEqual(metrics["servers_slow"], 1)

        run_scenario(scenario, 2)

    def test_equal_servers_are_not_told_apart(self):
        async def scenario(fleet: Fleet) -> None:
            limit_capacity(fleet)
            await asyncio.sleep(1.0)
            await read(fleet, 50)
            for server in fleet.database.servers:
                self.assertLess(describe(fleet, server)["slow_factor"], 1.5)
                self.assertIsNone(describe(fleet, server)["limit"])

        run_scenario(scenario, 2)

    def test_restarted_server_is_a_new_one(self):
        """What a server was before its restart would be held against it."""

        async def scenario(fleet: Fleet) -> None:
            limit_capacity(fleet, server_1=10.0)
            await asyncio.sleep(1.0)
            await read(fleet, 20)
            instance = fleet.instances["instance-1"]
            entry = instance.board.directory.upstreams["server-1"]
            restarted = replace(entry, started_at_ms=entry.started_at_ms + 1)
            pool = instance.serving.pools.get(restarted)
            now = instance.board.now()
            self.assertEqual(pool.statistics.compute_slow_factor(now), 1.0)

        run_scenario(scenario, 2)

    def test_refusals_of_a_lagging_replica_are_no_run_times(self):
        """They are short, so its peers would seem slow."""

        async def scenario(fleet: Fleet) -> None:
            limit_capacity(fleet)
            for server in fleet.database.servers.values():
                server.lag = 5.0
            session = fleet.session("instance-1", ReadPolicy.OWN_WRITES)
            await session.execute(Run("w", "WRITE work=0.03", True))
            for _ in range(30):
                await session.execute(READ)
            for server in fleet.database.servers:
                self.assertLess(describe(fleet, server)["slow_factor"], 1.5)

        run_scenario(scenario, 2)


class TimeLeftTest(unittest.TestCase):
    def test_write_that_would_time_out_is_not_sent(self):
        """Its outcome would be unknown, while a caller can repeat one not run."""

        async def scenario(fleet: Fleet) -> None:
            limit_capacity(fleet)
            session = fleet.session("instance-1", ReadPolicy.PRIMARY)
            write = Run("w", "WRITE work=0.8", True)
            await session.execute(write)
            wait_for_primary = _statements.wait_for_primary

            async def wait_longer(request):
                await asyncio.sleep(0.3)
                return await wait_for_primary(request)

            with mock.patch.object(_statements, "wait_for_primary", wait_longer):
                reply = await session.execute(write)
            self.assertIs(reply.failure_kind, FailureKind.BUSY)
            self.assertEqual(len(fleet.database.servers["server-0"].log), 1)

        run_scenario(scenario, 2)


if __name__ == "__main__":
    unittest.main()
