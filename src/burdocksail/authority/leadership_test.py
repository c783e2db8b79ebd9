"""Leader election and leases under failures that have occurred."""

import asyncio
import unittest
from unittest import mock

from burdocksail.authority._leadership import Leadership
from burdocksail.authority._limits import LEADER_LEASE_DURATION, LEASE_DURATION
from burdocksail.board import GroupState
from burdocksail.catalog import ReadPolicy
from burdocksail.core import FailureKind, Run
from burdocksail.fakes import (
    SERVICE,
    Fleet,
    run_scenario,
    silence_logs,
    time_until_written,
)
from burdocksail.fleet import LeaderReport


def setUpModule():
    silence_logs()


class LeadershipTest(unittest.TestCase):
    def test_dead_leader_stops_no_write(self):
        """Leases granted before the crash last until another leader is elected."""

        async def scenario(fleet: Fleet) -> None:
            fleet.kill(fleet.leader().board.member.name)
            failed = 0
            for _ in range(100):
                session = fleet.session("instance-1", ReadPolicy.PRIMARY)
                reply = await session.execute(Run(f"w{_}", "WRITE", True))
                failed += reply.failure_kind is not None
                await asyncio.sleep(0.05)
            self.assertEqual(failed, 0)
            self.assertEqual(fleet.database.promotions, [])

        run_scenario(scenario)

    def test_full_restart_does_not_wait_for_own_earlier_leases(self):
        """All instances restart at once, and the primary crashes.

        Earlier fault: the new leader waited 12 s for leases granted by its own
        earlier incarnation before it could replace the primary.
        """

        async def scenario(fleet: Fleet) -> None:
            for name in list(fleet.instances):
                fleet.kill(name)
            await asyncio.sleep(1.0)
            for name in list(fleet.clients):
                await fleet.start_instance(name)
            fleet.database.servers["server-0"].crash()
            gap = await time_until_written(fleet, "instance-1")
            self.assertLess(gap, 6.0)

        run_scenario(scenario)

    def test_leader_gone_for_good_is_settled_by_the_others(self):
        """A killed leader never confirms that it has stopped granting leases.

        The members that left it prove that; without them a change of primary waits
        until the leases of the killed leader have expired.
        """

        async def scenario(fleet: Fleet) -> None:
            await asyncio.sleep(2.0)
            fleet.kill(fleet.leader().board.member.name)
            await asyncio.sleep(2.0)
            fleet.database.servers["server-0"].crash()
            gap = await time_until_written(fleet, "instance-1")
            self.assertLess(gap, 6.5)

        run_scenario(scenario)

    def test_store_outage_stops_nothing_during_the_leader_lease(self):
        """The leader grants leases until its last confirmed record is too old."""

        async def scenario(fleet: Fleet) -> None:
            for client in fleet.clients.values():
                client.down = True
            await asyncio.sleep(LEADER_LEASE_DURATION - 2.0)
            gap = await time_until_written(fleet, "instance-2")
            self.assertLess(gap, 0.1)

        run_scenario(scenario)

    def test_instance_partitioned_from_the_leader_stops_writing(self):
        """Without a lease it may miss a change of primary, so it refuses as busy."""

        async def scenario(fleet: Fleet) -> None:
            await asyncio.sleep(1.0)
            fleet.network.isolate(fleet.host("instance-2"), fleet.hosts())
            await asyncio.sleep(LEASE_DURATION + 0.5)
            session = fleet.session("instance-2", ReadPolicy.PRIMARY)
            reply = await session.execute(Run("w", "WRITE", True))
            self.assertIs(reply.failure_kind, FailureKind.BUSY)
            self.assertIsNotNone(reply.retry_after)
            gap = await time_until_written(fleet, "instance-1")
            self.assertLess(gap, 0.1)

        run_scenario(scenario)

    def test_instance_partitioned_from_all_others_takes_no_leadership(self):
        """Earlier fault: it claimed the leadership and so ended all leases.

        It could do so because it still reached the store.
        """

        async def scenario(fleet: Fleet) -> None:
            await asyncio.sleep(1.0)
            epoch = fleet.leader().board.authority.epoch
            fleet.network.isolate(fleet.host("instance-2"), fleet.hosts())
            await asyncio.sleep(12.0)
            self.assertEqual(fleet.leader().board.authority.epoch, epoch)

        run_scenario(scenario)

    def test_grant_to_an_earlier_run_at_the_address_extends_no_lease(self):
        """It answers a renewal of before the start, so the leader may not know of it.

        Earlier fault: the time of the renewal was compared with the present only.
        """

        async def scenario(fleet: Fleet) -> None:
            name = next(
                n for n in fleet.instances if fleet.leader() is not (fleet.instances[n])
            )
            leadership = fleet.leader()._authority._leadership
            sent_at = fleet.instances[name].board.now()
            fleet.kill(name)
            await asyncio.sleep(0.1)
            fleet.network.isolate(fleet.host(name), fleet.hosts())
            instance = await fleet.start_instance(name)
            grant = leadership._make_grant(echo=sent_at, extends_lease=True)
            leader = fleet.leader().board.member
            instance._authority.handle_message(grant, leader.address)
            self.assertEqual(instance.board.authority.groups.keys(), {SERVICE})
            self.assertFalse(instance.board.authority.has_held_lease)

        run_scenario(scenario)

    def test_last_instance_leads_alone(self):
        """No other instance is left to report on the leader or to form a majority."""

        async def scenario(fleet: Fleet) -> None:
            await asyncio.sleep(1.0)
            for name in ("instance-0", "instance-1"):
                fleet.kill(name)
            await asyncio.sleep(6.0)
            gap = await time_until_written(fleet, "instance-2")
            self.assertLess(gap, 0.5)

        run_scenario(scenario)

    def test_leader_that_reaches_only_the_store_orders_no_promotion(self):
        """The leader reaches the store, but neither the others nor the primary.

        Earlier fault: it alone reported the primary as unreachable, while the
        others still reached it.
        """

        async def scenario(fleet: Fleet) -> None:
            await asyncio.sleep(1.0)
            name = fleet.leader().board.member.name
            fleet.network.isolate(fleet.host(name), fleet.hosts())
            fleet.database.servers["server-0"].cut_from = {name, "server-1", "server-2"}
            for other, client in fleet.clients.items():
                client.down = other != name
            await asyncio.sleep(5.0)
            self.assertEqual(fleet.database.promotions, [])
            fleet.network.heal()
            fleet.database.servers["server-0"].cut_from = set()
            for client in fleet.clients.values():
                client.down = False
            await asyncio.sleep(6.0)
            self.assertEqual(fleet.database.promotions, [])

        run_scenario(scenario)

    def test_half_that_reaches_only_the_store_starts_no_change(self):
        """Half of the instances reach the store, but not the primary or the rest.

        Earlier fault: they closed the group when the partition healed, for a change
        of primary that was no longer needed.
        """

        async def scenario(fleet: Fleet) -> None:
            await fleet.start_instance("instance-3")
            await asyncio.sleep(2.0)
            here = ["instance-2", "instance-3"]
            for name in here:
                others = [fleet.host(n) for n in ("instance-0", "instance-1")]
                fleet.network.isolate(fleet.host(name), others)
            primary = fleet.database.servers["server-0"]
            primary.cut_from = {*here, "server-1", "server-2"}
            for name in ("instance-0", "instance-1"):
                fleet.clients[name].down = True
            fleet.without_heartbeat.add("server-0")
            await asyncio.sleep(9.0)
            fleet.network.heal()
            primary.cut_from = set()
            for client in fleet.clients.values():
                client.down = False
            await asyncio.sleep(1.0)
            fleet.without_heartbeat.clear()
            await asyncio.sleep(8.0)
            self.assertEqual(fleet.database.promotions, [])

        run_scenario(scenario)

    def test_slow_claim_does_not_displace_a_leader_found_meanwhile(self):
        """Two instances claim together; the slower finds the other's record."""

        async def scenario(fleet: Fleet) -> None:
            fleet.clients["instance-2"].delay = 0.1
            for name in ("instance-1", "instance-2"):
                fleet.instances[name]._authority._claimant.request_claim()
            await asyncio.sleep(2.0)
            self.assertEqual(fleet.leader().board.member.name, "instance-1")
            self.assertEqual(fleet.leader().board.authority.epoch, 2)

        run_scenario(scenario)

    def test_leader_found_while_peers_are_asked_is_not_displaced(self):
        """The peers do not hear from the new leader yet either."""

        async def scenario(fleet: Fleet) -> None:
            instance = fleet.instances["instance-2"]
            others = [i.board.member for i in fleet.instances.values()]
            others.remove(instance.board.member)
            for member in others:
                fleet.kill(member.name)
            controller = instance._authority
            claimant = controller._claimant
            asking = asyncio.create_task(claimant._do_peers_confirm_silence(0.0))
            await asyncio.sleep(0.1)
            epoch = instance.board.authority.epoch
            claimant.handle_report(LeaderReport(others[0], epoch, False))
            controller._follower.adopt_leader(epoch + 1, others[1])
            self.assertFalse(await asking)

        run_scenario(scenario)

    def test_leadership_that_ended_is_not_begun_again_in_its_epoch(self):
        """Generations would start again at one in the same epoch.

        Instances that hold a later one from before would seem to confirm new views.
        """

        async def scenario(fleet: Fleet) -> None:
            leader = fleet.leader()
            epoch = leader.board.authority.epoch
            leader._authority._leadership.end("ended by the test")
            await asyncio.sleep(3.0)
            self.assertGreater(fleet.leader().board.authority.epoch, epoch)

        run_scenario(scenario)

    def test_slow_answer_to_a_claim_begins_no_second_leadership(self):
        """The watch delivers the claimed record before the claim is answered.

        Earlier fault: a second leadership of the same epoch numbered its views anew, so
        that confirmations of earlier views counted for later ones.
        """

        async def scenario(fleet: Fleet) -> None:
            fleet.kill(fleet.leader().board.member.name)
            instance = fleet.instances["instance-1"]
            claimant = instance._authority._claimant
            client = claimant._store
            store = mock.Mock(wraps=client)

            async def answer_late(*args):
                stored = await client.replace(*args)
                await asyncio.sleep(0.5)
                return stored

            store.replace = answer_late
            with (
                mock.patch.object(claimant, "_store", store),
                mock.patch.object(
                    Leadership, "begin", autospec=True, side_effect=Leadership.begin
                ) as begin,
            ):
                await claimant._claim()
            self.assertEqual([call.args[0].epoch for call in begin.mock_calls], [2])

        run_scenario(scenario, settle_time=1.0)

    def test_lost_answer_to_a_claim_still_makes_a_leader(self):
        """The store has applied the claim, but its reply never arrives."""

        async def scenario(fleet: Fleet) -> None:
            for client in fleet.clients.values():
                client.lose_answers = True
            fleet.kill(fleet.leader().board.member.name)
            await asyncio.sleep(4.0)
            self.assertIsNotNone(fleet.leader())

        run_scenario(scenario)

    def test_views_follow_one_epoch(self):
        """Shortly after the start, all instances follow the same leader."""

        async def scenario(fleet: Fleet) -> None:
            await asyncio.sleep(1.0)
            epochs = {i.board.authority.epoch for i in fleet.instances.values()}
            self.assertEqual(len(epochs), 1)
            for instance in fleet.instances.values():
                view = instance.board.authority.groups[SERVICE]
                self.assertIs(view.state, GroupState.OPEN)

        run_scenario(scenario)


if __name__ == "__main__":
    unittest.main()
