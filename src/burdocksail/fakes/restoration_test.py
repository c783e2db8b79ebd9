"""A fleet whose store is restored from a copy that is some seconds old."""

import asyncio
import contextlib
import unittest
from unittest import mock

from burdocksail.authority import _grantees, _leadership
from burdocksail.authority._record import AuthorityRecord, encode_record
from burdocksail.catalog import ReadPolicy, UpstreamState
from burdocksail.core import Run
from burdocksail.fakes import (
    SERVICE,
    Fleet,
    MemoryStore,
    MemoryStoreClient,
    _scenarios,
    run_in_virtual_time,
    run_scenario,
    silence_logs,
    time_until_written,
    write,
)
from burdocksail.fakes._fleet import make_catalog
from burdocksail.fakes._world import RESTORATION_FAULTS, World
from burdocksail.fleet import AUTHORITY_NAME, _tracking
from burdocksail.ports import ObjectKind

SEEDS = (1, 2, 3)
DURATION = 8.0  # seconds of virtual time with faults


def setUpModule():
    silence_logs()


async def kill_leader(fleet: Fleet) -> str:
    """Kill the leader and return its name."""
    name = fleet.leader().board.member.name
    fleet.kill(name)
    return name


def raise_revision(fleet: Fleet, count: int) -> None:
    """Change an object that no instance uses `count` times."""
    for index in range(count):
        fleet.store.put(ObjectKind.FLEET, "unused", {"index": index})


async def change_leader_and_primary(fleet: Fleet) -> str:
    """Replace the leader, then the primary; return the name of the former leader."""
    raise_revision(fleet, 60)
    killed = await kill_leader(fleet)
    await asyncio.sleep(2.5)
    await fleet.start_instance(killed)
    fleet.database.servers["server-0"].crash()
    await time_until_written(fleet, killed)
    return killed


class AuthorityTest(unittest.TestCase):
    def test_fencing_token_does_not_go_back(self):
        """The claim and the promotion of the present leader are lost in the store."""

        async def scenario(fleet: Fleet) -> None:
            killed = await change_leader_and_primary(fleet)
            await fleet.restore_store(age=8.0, outage=0.5)
            killed = await kill_leader(fleet)
            await fleet.start_instance(killed)
            fleet.database.current_primary(SERVICE).crash()
            await time_until_written(fleet, killed)
            tokens = [token for _, token in fleet.database.fencing_tokens]
            self.assertGreater(len(set(tokens)), 1)
            self.assertEqual(tokens, sorted(tokens))

        run_scenario(scenario, settle_time=6.0)

    def test_fencing_token_does_not_go_back_if_no_instance_saw_the_restoration(self):
        """All instances are lost with the store; the copy alone tells of others."""

        async def scenario(fleet: Fleet) -> None:
            killed = await change_leader_and_primary(fleet)
            for name in list(fleet.instances):
                fleet.kill(name)
            await fleet.restore_store(age=8.0, outage=0.5)
            for name in list(fleet.clients):
                fleet.clients[name] = MemoryStoreClient(fleet.store)
                await fleet.start_instance(name)
            fleet.database.current_primary(SERVICE).crash()
            await time_until_written(fleet, killed)
            tokens = [token for _, token in fleet.database.fencing_tokens]
            self.assertGreater(len(set(tokens)), 1)
            self.assertEqual(tokens, sorted(tokens))

        run_scenario(scenario, settle_time=6.0)

    def test_two_leaders_do_not_share_an_epoch(self):
        """Whose claim is lost keeps leading, while others claim the same epoch."""

        async def scenario(fleet: Fleet) -> None:
            await kill_leader(fleet)
            await asyncio.sleep(3.0)
            leaders = {}
            restored = asyncio.create_task(fleet.restore_store(age=7.0, outage=3.0))
            for _ in range(600):
                for name, instance in fleet.instances.items():
                    state = instance.describe()
                    if state["leading"]:
                        leaders.setdefault(state["epoch"], set()).add(name)
                await asyncio.sleep(0.02)
            await restored
            self.assertEqual([e for e, names in leaders.items() if len(names) > 1], [])
            self.assertLess(await time_until_written(fleet, "instance-1"), 1.0)

        run_scenario(scenario, settle_time=6.0)

    def test_replaced_primary_is_not_used_again(self):
        """The store loses a change of primary, and the leader that made it is lost.

        The replaced primary still considers itself primary when it returns.
        """

        async def scenario(fleet: Fleet) -> None:
            old = fleet.database.servers["server-0"]
            others = [*fleet.clients, "server-1", "server-2"]
            old.cut_from = set(others)
            await asyncio.sleep(0.5)
            await time_until_written(fleet, "instance-1")
            current = fleet.database.current_primary(SERVICE).upstream_id
            self.assertNotEqual(current, "server-0")
            restored = asyncio.create_task(fleet.restore_store(age=6.0, outage=1.0))
            await kill_leader(fleet)
            old.cut_from = {"server-1", "server-2"}
            loop = asyncio.get_running_loop()
            end = loop.time() + 25.0
            answered = 0
            while loop.time() < end:
                for name in list(fleet.instances):
                    session = fleet.session(name, ReadPolicy.PRIMARY)
                    reply = await session.execute(
                        Run(f"{name}-{loop.time()}", "WRITE", True)
                    )
                    answered += reply.failure_kind is None
                await asyncio.sleep(0.1)
            await restored
            self.assertGreater(answered, 50)
            lost = [e for e in old.log if e.position.term == 1]
            limit = min(at for at, *_ in fleet.database.promotions)
            self.assertEqual([e for e in lost if e.committed_at > limit], [])

        run_scenario(scenario, settle_time=6.0)

    def test_group_without_a_record_asks_its_servers(self):
        """The copy is older than the record, and no instance remembers a primary.

        It holds the entry of a primary that was replaced and still takes itself for
        one; the entry of the present primary is written again later.
        """

        async def scenario(fleet: Fleet) -> None:
            old = fleet.database.servers["server-0"]
            old.cut_from = {*fleet.clients, "server-1", "server-2"}
            await asyncio.sleep(0.5)
            await time_until_written(fleet, "instance-1")
            current = fleet.database.current_primary(SERVICE)
            for name in list(fleet.instances):
                fleet.kill(name)
            old.cut_from = {"server-1", "server-2"}
            fleet.without_heartbeat.add(current.upstream_id)
            fleet.store.restore(age=30.0)
            self.assertNotIn((ObjectKind.FLEET, AUTHORITY_NAME), fleet.store.objects)
            fleet.publish(fleet.published)
            for name in fleet.clients:
                await fleet.start_instance(name)
            await asyncio.sleep(1.0)
            fleet.without_heartbeat.clear()
            await time_until_written(fleet, "instance-1")
            self.assertEqual([e for e in old.log if e.position.term == 1], [])

        run_scenario(scenario)

    def test_unchanged_primary_is_used_again_before_all_leases_end(self):
        """All leases end in an outage, and one instance never answers again.

        Earlier fault: every group stayed closed until the leases that the silent
        instance may have granted had ended, and for 3 s more.
        """

        async def scenario(fleet: Fleet) -> None:
            fleet.kill("instance-3")
            await fleet.restore_store(age=6.0, outage=13.0)
            self.assertLess(await time_until_written(fleet, "instance-1"), 5.0)
            self.assertEqual(fleet.database.promotions, [])
            fleet.database.servers["server-0"].crash()
            gap = await time_until_written(fleet, "instance-1")
            self.assertEqual(len(fleet.database.promotions), 1)
            self.assertLess(gap, 12.0)

        run_scenario(scenario, instances=4, settle_time=6.0)

    def test_next_leader_does_not_replace_an_unchanged_primary(self):
        """The first leader after the restoration is killed before it has asked.

        Earlier fault: the next one took the primary for one that was being replaced,
        and asked it to step down.
        """

        async def scenario(fleet: Fleet) -> None:
            await fleet.restore_store(age=6.0, outage=13.0)
            epochs = {i.board.authority.epoch for i in fleet.instances.values()}
            while fleet.leader() is None or epochs == {1}:
                await asyncio.sleep(0.1)
                epochs = {i.board.authority.epoch for i in fleet.instances.values()}
            await asyncio.sleep(1.2)
            await kill_leader(fleet)
            name = next(iter(fleet.instances))
            self.assertLess(await time_until_written(fleet, name), 8.0)
            self.assertTrue(fleet.database.servers["server-0"].is_primary)
            self.assertEqual(fleet.database.promotions, [])

        run_scenario(scenario, settle_time=6.0)

    def test_next_leader_does_not_wait_for_orders_that_none_has_sent(self):
        """The first leader after the restoration is killed while it asks the servers.

        Earlier fault: the next one waited until no order of it could arrive.
        """

        async def scenario(fleet: Fleet) -> None:
            await fleet.restore_store(age=6.0, outage=13.0)
            while fleet.leader() is None or fleet.leader().board.authority.epoch == 1:
                await asyncio.sleep(0.1)
            await asyncio.sleep(1.5)
            await kill_leader(fleet)
            name = next(iter(fleet.instances))
            self.assertLess(await time_until_written(fleet, name), 4.5)
            self.assertEqual(fleet.database.promotions, [])

        run_scenario(scenario, settle_time=6.0)

    def test_primary_is_not_used_while_its_successor_may_be_unlisted(self):
        """The successor and the leader that promoted it are partitioned from the rest.

        The store has lost the change and the successor's entry.
        """

        async def scenario(fleet: Fleet) -> None:
            servers = fleet.database.servers
            leader = fleet.leader().board.member
            old = servers["server-0"]
            servers["server-1"].cut_from = {"server-2"}
            servers["server-2"].cut_from = {"server-1"}
            old.cut_from = {*fleet.clients, "server-1", "server-2"}
            await asyncio.sleep(0.5)
            await time_until_written(fleet, "instance-1")
            current = fleet.database.current_primary(SERVICE)
            others = {*fleet.clients, *servers} - {leader.name, current.upstream_id}
            current.cut_from = others
            fleet.without_heartbeat.add(current.upstream_id)
            fleet.network.isolate(leader.host, fleet.hosts())
            await fleet.restore_store(age=9.0, outage=4.0)
            fleet.clients[leader.name].down = True
            old.cut_from = {current.upstream_id}
            name = next(n for n in fleet.instances if n != leader.name)
            await time_until_written(fleet, name)
            session = fleet.session(leader.name, ReadPolicy.PRIMARY)
            reply = await session.execute(Run("late", "WRITE", True))
            self.assertIsNotNone(reply.failure_kind)
            replaced_at = fleet.database.promotions[0][0]
            late = [e for e in old.log if e.committed_at > replaced_at]
            self.assertEqual([e for e in late if e.position.term == 1], [])

        run_scenario(scenario, settle_time=6.0)

    def test_group_without_a_record_and_a_primary_gets_one(self):
        """The old primary has stepped down when the change and its record are lost.

        Earlier fault (world seed 2037): no server listed itself as primary, so that no
        group was added.
        """

        async def scenario(fleet: Fleet) -> None:
            for name in list(fleet.instances):
                fleet.kill(name)
            fleet.database.servers["server-0"].is_primary = False
            fleet.store.restore(age=30.0)
            fleet.publish(fleet.published)
            for name in fleet.clients:
                await fleet.start_instance(name)
            self.assertLess(await time_until_written(fleet, "instance-1"), 20.0)

        run_scenario(scenario)

    def test_claim_read_in_a_later_timeline_is_not_led(self):
        """The reply to the claim was lost, and the store was restored since."""

        async def scenario(fleet: Fleet) -> None:
            for name in ("instance-0", "instance-2"):
                fleet.kill(name)
            instance = fleet.instances["instance-1"]
            record = AuthorityRecord(9, instance.board.member, (), (), {})
            fleet.store.put(ObjectKind.FLEET, AUTHORITY_NAME, encode_record(record))
            fleet.store.restore(age=0.0)
            claimant = instance._authority._claimant
            with mock.patch.object(claimant, "_on_claimed") as on_claimed:
                await claimant._claim()
                on_claimed.assert_not_called()

        run_scenario(scenario)

    def test_record_of_the_timeline_before_is_not_claimed(self):
        """The store is restored while a claim reads the record.

        Earlier fault: the claim went to the record of the earlier timeline, and groups
        were opened under primaries that had been replaced.
        """

        async def scenario(fleet: Fleet) -> None:
            await kill_leader(fleet)
            instance = next(iter(fleet.instances.values()))
            claimant = instance._authority._claimant
            client = claimant._store
            store = mock.Mock(wraps=client)

            async def read_after_restoration(*args):
                timeline = fleet.store.timeline
                fleet.store.restore(age=0.0)
                await asyncio.sleep(0.5)
                self.assertEqual(instance.board.store.timeline, timeline + 1)
                return await client.read(*args)

            store.read = read_after_restoration
            with (
                mock.patch.object(claimant, "_store", store),
                mock.patch.object(claimant, "_on_claimed") as on_claimed,
            ):
                await claimant._claim()
                on_claimed.assert_not_called()

        run_scenario(scenario, settle_time=3.0)

    def test_instance_that_had_left_is_not_waited_for(self):
        """The copy has its object again, and the primary crashes.

        Earlier fault: leases that it might hold were waited for, for 12 s.
        """

        async def scenario(fleet: Fleet) -> None:
            leader = fleet.leader().board.member.name
            name = next(n for n in fleet.instances if n != leader)
            await fleet.instances[name].stop(6.0)
            fleet.kill(name)
            await asyncio.sleep(1.0)
            await fleet.restore_store(age=9.0, outage=1.0)
            fleet.database.servers["server-0"].crash()
            self.assertLess(await time_until_written(fleet, leader), 6.0)

        run_scenario(scenario, settle_time=9.0)

    def test_instance_that_stopped_in_an_outage_is_not_waited_for(self):
        """It could not withdraw its registration, and the store is restored then.

        Earlier fault: no primary was replaced until every lease that it could have
        granted had ended.
        """

        async def scenario(fleet: Fleet) -> None:
            leader = fleet.leader().board.member.name
            name = next(n for n in fleet.instances if n != leader)
            fleet.clients[name].down = True
            await fleet.instances[name].stop(4.0)
            fleet.kill(name)
            await fleet.restore_store(age=2.0, outage=0.5)
            fleet.database.servers["server-0"].crash()
            remaining = next(iter(fleet.instances))
            self.assertLess(await time_until_written(fleet, remaining), 7.0)

        run_scenario(scenario, instances=4, settle_time=6.0)

    def test_takeover_is_not_forgotten_until_it_may_be_claimed(self):
        """The leader does not reach the restored store and asks another instance.

        Earlier fault: the request was dropped, and the leader lease ended.
        """

        async def scenario(fleet: Fleet) -> None:
            leader = fleet.leader()
            name = next(n for n, i in fleet.instances.items() if i is not leader)
            fleet.store.restore(age=2.0)
            fleet.clients[leader.board.member.name].down = True
            await asyncio.sleep(0.3)
            fleet.instances[name]._authority._claimant.request_claim()
            await asyncio.sleep(1.2)
            self.assertTrue(fleet.instances[name].describe()["leading"])
            self.assertTrue(await write(fleet, name))

        run_scenario(scenario, settle_time=6.0)

    def test_leader_goes_on_after_a_restoration(self):
        """Groups stay open, and a primary lost soon after is replaced in seconds."""

        async def scenario(fleet: Fleet) -> None:
            leader = fleet.leader()
            restored = asyncio.create_task(fleet.restore_store(age=4.0, outage=2.0))
            for index in range(80):
                session = fleet.session("instance-1", ReadPolicy.PRIMARY)
                reply = await session.execute(Run(f"w{index}", "WRITE", True))
                self.assertIsNone(reply.failure_kind, reply.message)
                await asyncio.sleep(0.05)
            await restored
            self.assertIs(fleet.leader(), leader)
            fleet.database.servers["server-0"].crash()
            self.assertLess(await time_until_written(fleet, "instance-1"), 5.0)

        run_scenario(scenario, settle_time=6.0)


class ZeroTimelineTest(AuthorityTest):
    """The same with a store that counts its restorations from 0.

    Earlier fault: its timelines 0 and 1 were taken for one.
    """

    def setUp(self):
        patch = mock.patch.object(
            _scenarios, "Fleet", lambda: Fleet(store=MemoryStore(timeline=0))
        )
        patch.start()
        self.addCleanup(patch.stop)


class TrackingTest(unittest.TestCase):
    def test_draining_server_gets_no_new_work(self):
        """Its new entry has a lower revision than the known one.

        So has the entry of the copy, which says that it is ready.
        """

        async def scenario(fleet: Fleet) -> None:
            raise_revision(fleet, 60)
            fleet.draining.update(("server-1", "server-2"))
            await asyncio.sleep(0.5)
            fleet.draining.remove("server-2")
            await asyncio.sleep(1.0)
            await fleet.restore_store(age=9.0, outage=1.0)
            fleet.draining.add("server-2")
            await asyncio.sleep(1.0)
            for name, instance in fleet.instances.items():
                upstreams = instance.board.directory.upstreams
                for server in ("server-1", "server-2"):
                    state = upstreams[server].state
                    self.assertIs(state, UpstreamState.DRAINING, (name, server))

        run_scenario(scenario, settle_time=9.0)

    def test_draining_server_is_not_ready_again_by_the_copy(self):
        """The server does not write its entry again for some time."""

        async def scenario(fleet: Fleet) -> None:
            fleet.draining.add("server-1")
            await asyncio.sleep(1.0)
            fleet.without_heartbeat.add("server-1")
            restored = asyncio.create_task(fleet.restore_store(age=4.0))
            for _ in range(50):
                for instance in fleet.instances.values():
                    upstream = instance.board.directory.upstreams.get("server-1")
                    if upstream is not None:
                        self.assertIs(upstream.state, UpstreamState.DRAINING)
                await asyncio.sleep(0.02)
            await restored

        run_scenario(scenario, settle_time=9.0)

    def test_removed_server_does_not_return_by_the_copy(self):
        async def scenario(fleet: Fleet) -> None:
            fleet.draining.add("server-1")
            await asyncio.sleep(1.0)
            fleet.without_heartbeat.add("server-1")
            await asyncio.sleep(2.0)
            restored = asyncio.create_task(fleet.restore_store(age=5.0))
            for _ in range(50):
                for instance in fleet.instances.values():
                    self.assertNotIn("server-1", instance.board.directory.upstreams)
                await asyncio.sleep(0.02)
            await restored

        run_scenario(scenario, settle_time=9.0)

    def test_stale_answer_of_before_the_restoration_hides_no_later_entry(self):
        """It has revisions that the present timeline has not reached yet.

        Only instances that do not watch the fleet's objects accept stale answers.
        """

        async def scenario(fleet: Fleet) -> None:
            raise_revision(fleet, 60)
            fleet.draining.add("server-1")
            await asyncio.sleep(0.5)
            fleet.draining.remove("server-1")
            await asyncio.sleep(0.5)
            await fleet.restore_store(age=5.0)
            await asyncio.sleep(5.0)
            fleet.draining.add("server-1")
            await asyncio.sleep(5.0)
            for name, instance in fleet.instances.items():
                upstream = instance.board.directory.upstreams["server-1"]
                self.assertIs(upstream.state, UpstreamState.DRAINING, name)

        with (
            mock.patch.object(_tracking, "MAX_MONITORS", 1),
            contextlib.ExitStack() as s,
        ):
            for module in (_grantees, _leadership):
                s.enter_context(mock.patch.object(module, "MAX_MONITORS", 1))
            run_scenario(scenario, instances=5, settle_time=9.0)

    def test_restoration_is_noticed_though_all_watches_hang(self):
        """Only the leader calls the store meanwhile, to confirm its record."""

        async def scenario(fleet: Fleet) -> None:
            await asyncio.sleep(3.0)
            for client in fleet.clients.values():
                client.hangs = True
            fleet.store.restore(age=2.0)
            await asyncio.sleep(0.01)
            for client in fleet.clients.values():
                client.hangs = False
            fleet.publish(make_catalog(2))
            await asyncio.sleep(2.0)
            for instance in fleet.instances.values():
                self.assertEqual(instance.board.store.timeline, 2)
                self.assertEqual(instance.board.catalog.catalog.version, 2)

        run_scenario(scenario, settle_time=6.0)

    def test_changes_under_reused_revisions_are_not_missed(self):
        """An instance reaches the store again once it has given out its revision.

        It also reaches no peer that could tell it of the changes.
        """

        async def scenario(fleet: Fleet) -> None:
            raise_revision(fleet, 60)
            fleet.publish(make_catalog(2))
            await asyncio.sleep(1.0)
            client = fleet.clients["instance-2"]
            client.down = True
            fleet.network.isolate(fleet.host("instance-2"), fleet.hosts())
            await asyncio.sleep(1.0)
            fleet.store.restore(age=5.0)
            fleet.publish(make_catalog(3))
            raise_revision(fleet, 80)
            client.down = False
            await asyncio.sleep(2.0)
            board = fleet.instances["instance-2"].board
            self.assertEqual(board.catalog.catalog.version, 3)

        run_scenario(scenario, settle_time=6.0)


class WorldTest(unittest.TestCase):
    def test_guarantees_hold_through_restorations(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                world = World(seed, faults=RESTORATION_FAULTS)
                run_in_virtual_time(world.run(DURATION))
                self.assertEqual(world.observer.violations, [])


if __name__ == "__main__":
    unittest.main()
