"""Changes of primary under failures that have occurred."""

import asyncio
import contextlib
import unittest
from unittest import mock

from burdocksail.authority import _grantees, _leadership
from burdocksail.authority._limits import PROMOTION_START_LIMIT
from burdocksail.catalog import ReadPolicy, Service
from burdocksail.core import Begin, Commit, FailureKind, Run, TransactionState
from burdocksail.fakes import (
    SERVICE,
    Fleet,
    MemoryDatabase,
    MemoryServer,
    make_catalog,
    run_scenario,
    silence_logs,
    time_until_written,
)
from burdocksail.ports import PromotionUnknown
from burdocksail.serving import _freshness


def setUpModule():
    silence_logs()


@contextlib.contextmanager
def few_probes():
    """Make a small fleet behave like one in which only the leader probes."""
    with (
        mock.patch.object(_freshness, "PROBES_PER_SECOND", 0.001),
        mock.patch.object(_grantees, "MAX_MONITORS", 0),
        mock.patch.object(_leadership, "MAX_MONITORS", 0),
    ):
        yield


def require_sync_replica(fleet: Fleet) -> None:
    """Publish that commits wait for one replica."""
    catalog = make_catalog(9)
    catalog.services[SERVICE] = Service(SERVICE, 60, sync_replicas=1)
    fleet.publish(catalog)


async def time_until_promoted(fleet: Fleet, count: int) -> None:
    """Wait until so many promotions have taken effect."""
    while len(fleet.database.promotions) < count:
        await asyncio.sleep(0.005)


def follows(fleet: Fleet, name: str, primary: MemoryServer) -> bool:
    """Return whether an instance sends new work to a primary."""
    view = fleet.instances[name].board.get_view_for_new_work(SERVICE)
    return view is not None and view.primary_id == primary.upstream_id


class ChangeTest(unittest.TestCase):
    def test_crashed_primary_is_replaced(self):
        """Writes succeed again after a crash, by a single promotion."""

        async def scenario(fleet: Fleet) -> None:
            fleet.database.servers["server-0"].crash()
            gap = await time_until_written(fleet, "instance-1")
            self.assertLess(gap, 3.0)
            self.assertEqual(len(fleet.database.promotions), 1)

        run_scenario(scenario)

    def test_commits_that_waited_for_a_replica_survive(self):
        """The only replica with the commits is unreachable when the primary crashes.

        Promoting the other replica, which received none of them, would lose
        acknowledged commits; the change has to wait for the first one.
        """

        async def scenario(fleet: Fleet) -> None:
            require_sync_replica(fleet)
            servers = fleet.database.servers
            servers["server-1"].replication_stopped = True
            await time_until_written(fleet, "instance-1")
            await asyncio.sleep(0.5)
            servers["server-2"].cut_from = {"*"}
            servers["server-0"].crash()
            await asyncio.sleep(6.0)  # longer than a change takes that need not wait
            self.assertEqual(fleet.database.promotions, [])
            servers["server-2"].cut_from = set()
            await time_until_written(fleet, "instance-1")
            self.assertEqual(fleet.database.promotions[0][2], "server-2")

        run_scenario(scenario)

    def test_replica_that_returns_during_the_choice_is_waited_for(self):
        """The only replica with the commits returns at different moments of a change.

        Earlier fault: its entry no longer counted as lost, and it was not among the
        servers that this attempt had begun to ask.
        """

        def make_scenario(offset: float):
            async def scenario(fleet: Fleet) -> None:
                require_sync_replica(fleet)
                servers = fleet.database.servers
                servers["server-1"].replication_stopped = True
                await time_until_written(fleet, "instance-1")
                await asyncio.sleep(0.5)
                servers["server-2"].cut_from = {"*"}
                servers["server-0"].crash()
                await asyncio.sleep(6.0 + offset)
                servers["server-2"].cut_from = set()
                await time_until_written(fleet, "instance-1")
                self.assertEqual(fleet.database.promotions[0][2], "server-2")

            return scenario

        for tenths in range(0, 16):
            with self.subTest(tenths=tenths):
                run_scenario(make_scenario(tenths / 10))

    def test_failover_keeps_commits_that_only_a_leaving_replica_has(self):
        """The replica that is ready receives nothing before the primary crashes.

        Earlier fault: the answer of the leaving replica counted towards those needed,
        but the best server was taken from those that were ready.
        """

        async def scenario(fleet: Fleet) -> None:
            require_sync_replica(fleet)
            servers = fleet.database.servers
            servers["server-1"].replication_stopped = True
            fleet.draining.add("server-2")
            await time_until_written(fleet, "instance-1")
            await asyncio.sleep(0.5)
            servers["server-0"].crash()
            await time_until_promoted(fleet, 1)
            self.assertEqual(fleet.database.promotions[0][2], "server-2")
            await asyncio.sleep(2.0)
            self.assertEqual(len(fleet.database.promotions), 1)
            servers["server-1"].replication_stopped = False
            await time_until_promoted(fleet, 2)
            self.assertEqual(fleet.database.promotions[1][2], "server-1")
            self.assertEqual(fleet.database.rolled_back, set())
            self.assertLess(await time_until_written(fleet, "instance-1"), 1.0)

        run_scenario(scenario)

    def test_planned_change_keeps_commits_that_no_ready_replica_has(self):
        """The replica with the last commits is down when the primary begins to leave.

        Earlier fault: after `CATCH_UP_TIMEOUT` the other replica was promoted as it
        was, though the old primary had reported a later position.
        """

        async def scenario(fleet: Fleet) -> None:
            require_sync_replica(fleet)
            servers = fleet.database.servers
            servers["server-1"].replication_stopped = True
            await time_until_written(fleet, "instance-1")
            await asyncio.sleep(0.5)
            servers["server-2"].crash()
            fleet.draining.add("server-0")
            await asyncio.sleep(4.0)
            self.assertEqual(fleet.database.promotions, [])
            servers["server-2"].alive = True
            await time_until_promoted(fleet, 1)
            self.assertEqual(fleet.database.promotions[0][2], "server-2")
            self.assertEqual(fleet.database.rolled_back, set())
            self.assertLess(await time_until_written(fleet, "instance-1"), 1.0)

        run_scenario(scenario)

    def test_planned_change_returns_to_the_primary_if_its_successor_is_lost(self):
        """The only replica with the last commits crashes while the group is held."""

        async def scenario(fleet: Fleet) -> None:
            require_sync_replica(fleet)
            servers = fleet.database.servers
            servers["server-1"].replication_stopped = True
            session = fleet.session("instance-1", ReadPolicy.PRIMARY)
            await session.execute(Begin("b", read_only=False))
            await session.execute(Run("w", "WRITE", True))
            await time_until_written(fleet, "instance-2")
            await asyncio.sleep(0.5)
            fleet.draining.add("server-0")
            await asyncio.sleep(0.5)  # of the time for the open transaction
            servers["server-2"].crash()
            await time_until_promoted(fleet, 1)
            self.assertEqual(fleet.database.promotions[0][2], "server-0")
            self.assertEqual(fleet.database.rolled_back, set())

        run_scenario(scenario)

    def test_stale_primary_serves_only_under_its_new_term(self):
        """A stale primary that is promoted again needs a new term before it serves.

        Earlier fault: it still reports itself as primary after a partition, and the
        group was opened on that report before the promotion had taken effect.
        """

        async def scenario(fleet: Fleet) -> None:
            servers = fleet.database.servers
            servers["server-0"].cut_from = {"*"}
            await time_until_written(fleet, "instance-1")
            servers["server-1"].crash()
            servers["server-2"].crash()
            servers["server-0"].cut_from = set()
            await time_until_written(fleet, "instance-1")
            self.assertEqual(fleet.database.promotions[-1][2], "server-0")
            entry = servers["server-0"].log[-1]
            self.assertEqual(entry.position.term, fleet.database.promotions[-1][3])

        run_scenario(scenario)

    def test_old_primary_is_not_opened_without_an_order(self):
        """The next leader has to order a promotion, not take over the old primary.

        The server that the killed leader had promoted has crashed, so it is not
        listed any more, and only the old primary reports itself primary.
        """

        async def scenario(fleet: Fleet) -> None:
            servers = fleet.database.servers
            leader = fleet.leader().board.member.name
            servers["server-0"].cut_from = {"*"}
            while not fleet.database.promotions:
                await asyncio.sleep(0.002)
            servers[fleet.database.promotions[0][2]].crash()
            fleet.kill(leader)
            # After the attempt to make the old primary step down, and before the
            # servers are inspected.
            await asyncio.sleep(5.5)
            servers["server-0"].cut_from = set()
            other = next(iter(fleet.instances))
            await time_until_written(fleet, other)
            current_primary = fleet.database.current_primary(SERVICE)
            self.assertEqual(
                current_primary.log[-1].position.term, current_primary.term
            )
            self.assertEqual(current_primary.term, fleet.database.promotions[-1][3])
            self.assertGreater(current_primary.term, 2)

        run_scenario(scenario)

    def test_order_that_changes_nothing_ends_the_change(self):
        """A promotion ordered by a killed leader has taken effect already.

        The next leader orders it again, which changes nothing; the change still
        ends, with the server's term unchanged.
        """

        async def scenario(fleet: Fleet) -> None:
            servers = fleet.database.servers
            leader = fleet.leader().board.member.name
            servers["server-0"].crash()
            while not fleet.database.promotions:
                await asyncio.sleep(0.002)
            fleet.kill(leader)
            servers["server-2"].crash()
            other = next(iter(fleet.instances))
            await time_until_written(fleet, other)
            self.assertEqual(len(fleet.database.promotions), 1)

        run_scenario(scenario)

    def test_single_instance_that_cannot_reach_the_primary_starts_no_change(self):
        """The leader alone is partitioned from the primary.

        In large fleets most instances do not probe and cannot contradict it, so
        its report must not count as that of all instances.
        """

        async def scenario(fleet: Fleet) -> None:
            await asyncio.sleep(3.0)
            server = fleet.database.servers["server-0"]
            server.cut_from = {fleet.leader().board.member.name}
            await asyncio.sleep(4.0)
            self.assertEqual(fleet.database.promotions, [])

        with few_probes():
            run_scenario(scenario)

    def test_large_fleet_replaces_a_primary_that_its_callers_cannot_reach(self):
        """Failed statements of callers count where instances do not probe."""

        async def scenario(fleet: Fleet) -> None:
            await asyncio.sleep(3.0)
            fleet.database.servers["server-0"].crash()
            for name in fleet.instances:
                session = fleet.session(name, ReadPolicy.PRIMARY)
                await session.execute(Run(f"first-{name}", "WRITE", True))
            gap = await time_until_written(fleet, "instance-1")
            self.assertLess(gap, 3.0)

        with few_probes():
            run_scenario(scenario)

    def test_full_servers_are_not_taken_for_lost(self):
        """A primary that refuses connections because it is full is still alive."""

        async def scenario(fleet: Fleet) -> None:
            primary = fleet.database.servers["server-0"]
            primary.max_connections = 0
            for connection in list(primary.connections):
                connection.close()
            await asyncio.sleep(5.0)
            self.assertEqual(fleet.database.promotions, [])

        run_scenario(scenario)

    def test_commit_of_an_unrecorded_tenure_is_not_acknowledged_in_the_next(self):
        """Two primaries in a row are replaced, and the first change is not recorded.

        Earlier fault: the next leader gave the tenure of its primary the number that
        the unrecorded one had, so a transaction of that one was acknowledged.
        """

        async def scenario(fleet: Fleet) -> None:
            first_leader = fleet.leader().board.member.name
            others = [name for name in fleet.instances if name != first_leader]

            promote = MemoryDatabase.promote

            async def cut_leader_off(database, service, upstream_id, token):
                fleet.clients[first_leader].down = True
                await promote(database, service, upstream_id, token)

            with mock.patch.object(MemoryDatabase, "promote", cut_leader_off):
                fleet.draining.add("server-0")
                await time_until_promoted(fleet, 1)
                replaced = fleet.database.current_primary(SERVICE)
                await time_until_written(fleet, others[0])
                sessions = [fleet.session(n, ReadPolicy.PRIMARY) for n in others]
                for number, session in enumerate(sessions):
                    await session.execute(Begin(f"b{number}", read_only=False))
                    reply = await session.execute(Run(f"w{number}", "WRITE", True))
                    self.assertIsNone(reply.failure_kind)
                fleet.draining.add(replaced.upstream_id)
                await time_until_promoted(fleet, 2)
                present = fleet.database.current_primary(SERVICE)
                for name in others:
                    while not follows(fleet, name, present):
                        await asyncio.sleep(0.005)
            self.assertNotEqual(fleet.leader().board.member.name, first_leader)
            self.assertTrue(replaced.is_primary)  # until it reaches the present one
            for number, session in enumerate(sessions):
                reply = await session.execute(Commit(f"c{number}"))
                self.assertIsNotNone(reply.failure_kind)

        run_scenario(scenario)

    def test_leaving_primary_hands_over_and_loses_nothing(self):
        """A planned change promotes a replica that has received every commit."""

        async def scenario(fleet: Fleet) -> None:
            session = fleet.session("instance-1", ReadPolicy.PRIMARY)
            for number in range(20):
                await session.execute(Run(f"w{number}", "WRITE", True))
            fleet.draining.add("server-0")
            await asyncio.sleep(4.0)
            self.assertEqual(len(fleet.database.promotions), 1)
            current_primary = fleet.database.current_primary(SERVICE)
            self.assertNotEqual(current_primary.upstream_id, "server-0")
            self.assertEqual(len(current_primary.log), 20)

        run_scenario(scenario)

    def test_leader_that_has_asked_for_a_takeover_begins_no_change(self):
        """The other instance has not claimed yet when the primary begins to leave.

        A change begun now would be inherited half done, and finished 3 s later at
        the earliest. If nobody claims, the leader begins it itself.
        """

        async def scenario(fleet: Fleet) -> None:
            leadership = fleet.leader()._authority._leadership
            with mock.patch.object(leadership._peers, "send"):
                leadership.request_takeover("the store does not answer here")
            fleet.draining.add("server-0")
            await asyncio.sleep(1.2)
            self.assertEqual(leadership.changing, set())
            self.assertEqual(fleet.database.fencing_tokens, [])
            await asyncio.sleep(4.0)
            self.assertEqual(len(fleet.database.promotions), 1)

        run_scenario(scenario)

    def test_transaction_open_at_a_change_is_aborted(self):
        """A commit refused as aborted must leave no trace on the new primary."""

        async def scenario(fleet: Fleet) -> None:
            session = fleet.session("instance-1", ReadPolicy.PRIMARY)
            await session.execute(Begin("b", read_only=False))
            await session.execute(Run("w", "WRITE", True))
            fleet.draining.add("server-0")
            await asyncio.sleep(4.0)
            reply = await session.execute(Commit("c"))
            self.assertIs(reply.failure_kind, FailureKind.ABORTED)
            self.assertIs(session.state, TransactionState.IDLE)
            self.assertEqual(fleet.database.current_primary(SERVICE).log, [])

        run_scenario(scenario)

    def test_lost_order_is_sent_again_for_the_same_server(self):
        """An unanswered promotion may have taken effect.

        Promoting another server while it may be in flight could make two primaries.
        """

        async def scenario(fleet: Fleet) -> None:
            fleet.database.lose_promotion_answers = True
            fleet.database.servers["server-0"].crash()
            await time_until_written(fleet, "instance-1")
            self.assertEqual(len({p[2] for p in fleet.database.promotions}), 1)

        run_scenario(scenario)

    def test_replaced_leader_does_not_repeat_its_order(self):
        """No order is answered, and the leader is partitioned after its first one.

        A later order would arrive after that of the next leader, with a lower token.
        """

        async def scenario(fleet: Fleet) -> None:
            loop = asyncio.get_running_loop()
            leader = fleet.leader().board.member
            first_token = fleet.leader()._authority._leadership.fencing_token
            ordered_at: list[float] = []

            async def lose_order(database, service, upstream_id, token):
                fleet.network.isolate(leader.host, fleet.hosts())
                fleet.clients[leader.name].down = True
                if token == first_token:
                    ordered_at.append(loop.time())
                raise PromotionUnknown("no answer")

            with mock.patch.object(MemoryDatabase, "promote", lose_order):
                fleet.database.servers["server-0"].crash()
                await asyncio.sleep(8.0)
            self.assertGreater(len(ordered_at), 0)
            self.assertLess(ordered_at[-1] - ordered_at[0], PROMOTION_START_LIMIT)

        run_scenario(scenario)


if __name__ == "__main__":
    unittest.main()
