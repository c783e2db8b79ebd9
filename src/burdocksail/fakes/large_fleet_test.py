"""Fleets in which only some instances watch the store and probe the primaries."""

import asyncio
import unittest
from unittest import mock

from burdocksail.authority import _grantees, _leadership
from burdocksail.fakes import (
    SERVICE,
    Fleet,
    make_catalog,
    run_scenario,
    silence_logs,
    write,
)
from burdocksail.fleet import _tracking
from burdocksail.ports import ObjectKind

INSTANCES = 16
MAX_MONITORS = 3  # few, so that most instances are not monitors, as in a large fleet
OBSERVATION_TIME = 10.0  # seconds
FAILOVER_TARGET = 17.0  # seconds; the target for each change of primary


def setUpModule():
    silence_logs()


class LargeFleetTest(unittest.TestCase):
    def run_fleet_scenario(self, scenario) -> None:
        with (
            mock.patch.object(_tracking, "MAX_MONITORS", MAX_MONITORS),
            mock.patch.object(_grantees, "MAX_MONITORS", MAX_MONITORS),
            mock.patch.object(_leadership, "MAX_MONITORS", MAX_MONITORS),
        ):
            run_scenario(scenario, INSTANCES, settle_time=5.0)

    def monitors(self, fleet: Fleet) -> list[str]:
        return [
            name
            for name, instance in fleet.instances.items()
            if instance.board.authority.is_monitor
        ]

    async def assert_all_serve(self, fleet: Fleet, within: float) -> None:
        loop = asyncio.get_running_loop()
        end = loop.time() + within
        for name in sorted(fleet.instances):
            while not await write(fleet, name):
                self.assertLess(loop.time(), end, f"{name} does not serve")
                await asyncio.sleep(0.05)

    def test_only_monitors_call_the_store_when_the_fleet_changes(self):
        """Other instances make no store calls on fleet objects when the fleet changes.

        They still get recent samples of the primary.
        """

        async def scenario(fleet: Fleet) -> None:
            monitors = self.monitors(fleet)
            # The leader is a monitor too, beyond `MAX_MONITORS`.
            self.assertEqual(len(monitors), 1 + MAX_MONITORS)
            others = [name for name in fleet.instances if name not in monitors]
            before = {
                name: fleet.clients[name].calls[ObjectKind.FLEET] for name in others
            }
            fleet.kill(others.pop())
            await fleet.start_instance(f"instance-{INSTANCES}")
            await asyncio.sleep(OBSERVATION_TIME)
            for name in others:
                self.assertEqual(
                    fleet.clients[name].calls[ObjectKind.FLEET], before[name]
                )
                samples = fleet.instances[name].board.samples.for_service(SERVICE)
                age = fleet.instances[name].board.now() - samples[-1].asked_at
                self.assertLess(age, 1.0)

        self.run_fleet_scenario(scenario)

    def versions(self, fleet: Fleet) -> dict[str, int]:
        return {
            name: instance.board.catalog.catalog.version
            for name, instance in fleet.instances.items()
        }

    async def assert_in_force(self, fleet: Fleet, version: int, within: float) -> None:
        loop = asyncio.get_running_loop()
        end = loop.time() + within
        while set(self.versions(fleet).values()) != {version}:
            self.assertLess(loop.time(), end, self.versions(fleet))
            await asyncio.sleep(0.05)

    def test_only_monitors_read_a_new_configuration_from_the_store(self):
        """Each version cost a call and 23 kB for each of 88 instances."""

        async def scenario(fleet: Fleet) -> None:
            monitors = self.monitors(fleet)
            others = [name for name in fleet.instances if name not in monitors]
            before = {n: sum(fleet.clients[n].calls.values()) for n in others}
            for version in (2, 3):
                fleet.publish(make_catalog(version))
                await self.assert_in_force(fleet, version, 2.0)
            fleet.store.remove(ObjectKind.UPSTREAMS, "server-2")
            await asyncio.sleep(5.0)
            known = fleet.leader().board.directory.upstreams
            self.assertGreater(known["server-2"].sequence, 1)
            for name in others:
                directory = fleet.instances[name].board.directory
                self.assertEqual(directory.upstreams, known)
                self.assertEqual(sum(fleet.clients[name].calls.values()), before[name])

        self.run_fleet_scenario(scenario)

    def test_all_read_a_large_configuration_from_the_store(self):
        """Read from each other over slow links, one was in force after 6 s."""

        async def scenario(fleet: Fleet) -> None:
            with mock.patch.object(_leadership, "MAX_RELAYED_BYTES", 1):
                fleet.publish(make_catalog(2))
                await self.assert_in_force(fleet, 2, 3.0)
                await asyncio.sleep(2.0)
                fleet.network.snapshots_served.clear()
                before = fleet.clients["instance-15"].calls[ObjectKind.CATALOG]
                fleet.publish(make_catalog(3))
                await self.assert_in_force(fleet, 3, 1.0)
                self.assertFalse(fleet.network.snapshots_served)
                after = fleet.clients["instance-15"].calls[ObjectKind.CATALOG]
                self.assertGreater(after, before)

        self.run_fleet_scenario(scenario)

    def test_new_configuration_while_the_leader_does_not_reach_the_store(self):
        async def scenario(fleet: Fleet) -> None:
            fleet.clients[fleet.leader().board.member.name].hangs = True
            fleet.publish(make_catalog(2))
            await self.assert_in_force(fleet, 2, 4.0)

        self.run_fleet_scenario(scenario)

    def test_new_configuration_while_no_leader_answers(self):
        """An instance that hears no leader watches the store itself."""

        async def scenario(fleet: Fleet) -> None:
            leader = fleet.leader().board.member.name
            name = next(n for n in fleet.instances if n not in self.monitors(fleet))
            self.assertNotEqual(name, leader)
            fleet.network.isolate(fleet.host(name), fleet.hosts())
            await asyncio.sleep(0.5)
            fleet.publish(make_catalog(2))
            await self.assert_in_force(fleet, 2, 4.0)

        self.run_fleet_scenario(scenario)

    def test_new_leader_is_not_asked_for_snapshots_by_all(self):
        """The snapshots of 88 instances filled its link, and it lost the leadership."""

        async def scenario(fleet: Fleet) -> None:
            fleet.kill(fleet.leader().board.member.name)
            await asyncio.sleep(6.0)
            epoch = fleet.leader().board.authority.epoch
            fleet.publish(make_catalog(2))
            await self.assert_in_force(fleet, 2, 2.0)
            address = fleet.leader().board.member.address
            fetched = fleet.network.snapshots_served[address]
            self.assertLessEqual(fetched, INSTANCES // 2)
            self.assertEqual(fleet.leader().board.authority.epoch, epoch)

        self.run_fleet_scenario(scenario)

    def test_leader_and_all_monitors_are_lost(self):
        """The other instances keep serving, elect a leader and fail over.

        They also get new monitors.
        """

        async def scenario(fleet: Fleet) -> None:
            for name in self.monitors(fleet):
                fleet.kill(name)
            await self.assert_all_serve(fleet, 1.0)
            await asyncio.sleep(6.0)
            await self.assert_all_serve(fleet, 1.0)
            self.assertEqual(len(self.monitors(fleet)), 1 + MAX_MONITORS)
            fleet.database.servers["server-0"].crash()
            await asyncio.sleep(3.0)
            await self.assert_all_serve(fleet, 1.0)

        self.run_fleet_scenario(scenario)

    def test_instance_whose_record_is_gone_registers_again(self):
        """Its record in the store is removed while it runs."""

        async def scenario(fleet: Fleet) -> None:
            name = next(n for n in fleet.instances if n not in self.monitors(fleet))
            stored = next(
                key
                for key in fleet.store.objects
                if key[0] is ObjectKind.FLEET and key[1].startswith(f"instance.{name}.")
            )
            fleet.store.remove(*stored)
            await asyncio.sleep(8.0)
            self.assertIn(stored, fleet.store.objects)
            self.assertTrue(await write(fleet, name))

        self.run_fleet_scenario(scenario)

    def test_all_instances_restart(self):
        """All instances are killed and restarted, and must serve within 6 s."""

        async def scenario(fleet: Fleet) -> None:
            names = sorted(fleet.instances)
            for name in names:
                fleet.kill(name)
            for name in names:
                await fleet.start_instance(name)
            await self.assert_all_serve(fleet, 6.0)

        self.run_fleet_scenario(scenario)

    def test_half_of_the_fleet_is_lost_with_the_primary(self):
        """The rest fails the primary over within the target."""

        async def scenario(fleet: Fleet) -> None:
            for name in sorted(fleet.instances)[::2]:
                fleet.kill(name)
            fleet.database.servers["server-0"].crash()
            await self.assert_all_serve(fleet, FAILOVER_TARGET)

        self.run_fleet_scenario(scenario)


if __name__ == "__main__":
    unittest.main()
