"""Who leads and who is primary, under the failures that have been met."""

import asyncio
import contextlib
import unittest
from dataclasses import replace
from unittest import mock

from burdocksail.authority import _grantees, _leadership
from burdocksail.authority._grantees import Grantees
from burdocksail.authority._limits import (
    EVIDENCE_DURATION,
    MAJORITY_WINDOW,
    RENEWAL_TRANSIT,
    RIGHT_DURATION,
)
from burdocksail.authority._record import (
    AuthorityRecord,
    EarlierLeader,
    GroupRecord,
    RecordError,
    decode_record,
    encode_record,
)
from burdocksail.board import MONITORS, GroupState, Member
from burdocksail.catalog import ReadPolicy, Service
from burdocksail.core import Begin, Commit, Refusal, Run, TransactionState
from burdocksail.fakes import (
    SERVICE,
    Fleet,
    make_catalog,
    run_virtually,
    silence_logs,
)
from burdocksail.fleet import Renew
from burdocksail.serving import _freshness


def setUpModule():
    silence_logs()


def make_member(number: int, run: str = "a") -> Member:
    return Member(f"instance-{number}", run, "north", f"10.0.0.{number}", 7440)


def make_renewal(member: Member, epoch: int, generation: int = 0) -> Renew:
    return Renew(member, 0.0, epoch, generation, 1, 1, True, (), (), (), False)


@contextlib.contextmanager
def few_probes():
    """Make a small fleet behave like one in which only the leader probes."""
    with (
        mock.patch.object(_freshness, "PROBES_PER_SECOND", 0.001),
        mock.patch.object(_grantees, "MONITORS", 0),
        mock.patch.object(_leadership, "MONITORS", 0),
    ):
        yield


class GranteesTest(unittest.TestCase):
    def setUp(self):
        self.own = make_member(1)
        self.old = make_member(2)
        self.members = (self.old, self.own, make_member(3), make_member(4))

    def make_grantees(self, unsettled, listed=True) -> Grantees:
        grantees = Grantees(self.own, 5, 100.0, dict(unsettled), listed=listed)
        grantees.settle(100.0)
        return grantees

    def test_first_leader_waits_for_nobody(self):
        grantees = self.make_grantees({}, listed=False)
        self.assertEqual(grantees.find_unconfirmed(1, set(), 100.0), [])

    def test_silent_leader_is_waited_for_until_its_right_has_run_out(self):
        grantees = self.make_grantees({self.old: (self.old,)})
        almost = 100.0 + RIGHT_DURATION + EVIDENCE_DURATION
        self.assertTrue(grantees.find_unconfirmed(1, set(), almost))
        self.assertFalse(grantees.find_unconfirmed(1, set(), almost + 0.2))

    def test_own_earlier_run_is_settled_at_once(self):
        earlier = make_member(1, "earlier run")
        grantees = self.make_grantees({earlier: (earlier,)})
        self.assertFalse(grantees.unsettled)

    def test_leader_that_restarted_is_settled(self):
        grantees = self.make_grantees({self.old: (self.old,)})
        grantees.take_renewal(make_renewal(make_member(2, "b"), 0), 101.0)
        self.assertFalse(grantees.unsettled)
        self.assertTrue(grantees.find_unconfirmed(1, {("10.0.0.9", 1)}, 101.0))
        later = 101.0 + EVIDENCE_DURATION + 0.2
        self.assertFalse(grantees.find_unconfirmed(1, {("10.0.0.9", 1)}, later))

    def test_leader_that_most_have_left_stops_after_the_window(self):
        grantees = self.make_grantees({self.old: self.members})
        grantees.take_renewal(make_renewal(make_member(3), 5), 101.0)
        self.assertIn(self.old, grantees.find_earlier_leaders(101.0))
        grantees.take_renewal(make_renewal(make_member(4), 5), 102.0)
        stops = 102.0 + MAJORITY_WINDOW + RENEWAL_TRANSIT
        self.assertTrue(grantees.find_unconfirmed(1, set(), stops - 0.1))
        self.assertFalse(
            grantees.find_unconfirmed(1, set(), stops + EVIDENCE_DURATION + 0.2)
        )

    def test_half_of_the_members_are_no_majority(self):
        grantees = self.make_grantees({self.old: self.members})
        grantees.take_renewal(make_renewal(make_member(3), 5), 101.0)
        self.assertIn(self.old, grantees.unsettled)

    def test_member_that_still_follows_the_old_leader_has_not_left(self):
        grantees = self.make_grantees({self.old: self.members})
        grantees.take_renewal(make_renewal(make_member(3), 4), 101.0)
        grantees.take_renewal(make_renewal(make_member(4), 4), 101.0)
        self.assertIn(self.old, grantees.unsettled)

    def test_settled_leader_stays_in_the_record_while_grants_run(self):
        grantees = self.make_grantees({self.old: (self.old,)})
        grantees.take_renewal(make_renewal(self.old, 5), 101.0)
        self.assertIn(self.old, grantees.find_earlier_leaders(102.0))
        later = 101.0 + EVIDENCE_DURATION + 0.2
        self.assertNotIn(self.old, grantees.find_earlier_leaders(later))

    def test_another_incarnation_counts_towards_no_majority(self):
        grantees = self.make_grantees({})
        grantees.take_renewal(make_renewal(make_member(3, "b"), 5), 100.0)
        members = frozenset({make_member(3), make_member(4), self.own})
        self.assertFalse(grantees.has_majority(members, 100.0))

    def test_grant_is_waited_for_until_confirmed(self):
        grantees = self.make_grantees({})
        grantee = grantees.take_renewal(make_renewal(make_member(3), 5, 1), 100.0)
        grantee.granted_until = 103.0
        self.assertEqual(grantees.find_unconfirmed(2, set(), 100.5), ["instance-3"])
        grantees.take_renewal(make_renewal(make_member(3), 5, 2), 101.0)
        self.assertEqual(grantees.find_unconfirmed(2, set(), 101.0), [])

    def test_monitors_are_spread_over_failure_domains_and_kept(self):
        grantees = self.make_grantees({})
        for number in range(40):
            member = replace(
                make_member(number), failure_domain=f"domain-{number // 10}"
            )
            grantees.take_renewal(make_renewal(member, 5), 100.0)
        chosen = grantees.choose_monitors(frozenset(), 100.0)
        self.assertEqual(len(chosen), MONITORS)
        domains = {
            grantees.by_address[address].member.failure_domain for address in chosen
        }
        self.assertEqual(len(domains), 4)
        self.assertEqual(grantees.choose_monitors(chosen, 100.5), chosen)

    def test_instance_without_the_store_is_no_monitor(self):
        grantees = self.make_grantees({})
        renewal = replace(make_renewal(make_member(3), 5), store_works=False)
        grantees.take_renewal(renewal, 100.0)
        self.assertFalse(grantees.choose_monitors(frozenset(), 100.0))


class RecordTest(unittest.TestCase):
    def test_round_trip(self):
        record = AuthorityRecord(
            7,
            make_member(1),
            (make_member(1), make_member(2)),
            (EarlierLeader(make_member(3), (make_member(3),)),),
            {SERVICE: GroupRecord("server-1", 3, changing=True)},
        )
        self.assertEqual(decode_record(encode_record(record)), record)

    def test_malformed_records_are_refused(self):
        for spec in ({}, {"schema_version": 9}, {"schema_version": 1, "epoch": "x"}):
            with self.subTest(spec=spec), self.assertRaises(RecordError):
                decode_record(spec)

    def test_claim_keeps_the_leader_before(self):
        record = AuthorityRecord(7, make_member(1), (make_member(1),), (), {})
        claimed = record.claimed_by(make_member(2))
        self.assertEqual(claimed.epoch, 8)
        self.assertEqual([e.leader for e in claimed.unsettled], [make_member(1)])


class FleetTest(unittest.TestCase):
    """Faults on a whole fleet in memory."""

    def play(self, scenario) -> None:
        async def run() -> None:
            fleet = Fleet()
            await fleet.start()
            try:
                await scenario(fleet)
            finally:
                fleet.stop()

        run_virtually(run())

    async def time_until_written(self, fleet: Fleet, name: str) -> float:
        loop = asyncio.get_running_loop()
        started = loop.time()
        while loop.time() < started + 30.0:
            session = fleet.session(name, ReadPolicy.PRIMARY)
            reply = await session.execute(Run(f"w{loop.time()}", "WRITE", True))
            if reply.refusal is None:
                return loop.time() - started
            await asyncio.sleep(0.02)
        raise AssertionError("no write succeeds")

    def test_crashed_primary_is_replaced(self):
        async def scenario(fleet: Fleet) -> None:
            fleet.database.servers["server-0"].crash()
            gap = await self.time_until_written(fleet, "instance-1")
            self.assertLess(gap, 3.0)
            self.assertEqual(len(fleet.database.promotions), 1)

        self.play(scenario)

    def test_dead_leader_stops_no_write(self):
        async def scenario(fleet: Fleet) -> None:
            fleet.kill(fleet.leader().board.member.name)
            refused = 0
            for _ in range(100):
                session = fleet.session("instance-1", ReadPolicy.PRIMARY)
                reply = await session.execute(Run(f"w{_}", "WRITE", True))
                refused += reply.refusal is not None
                await asyncio.sleep(0.05)
            self.assertEqual(refused, 0)
            self.assertEqual(fleet.database.promotions, [])

        self.play(scenario)

    def test_full_restart_serves_at_once(self):
        """A leader waited 12 s for grants of its own earlier run."""

        async def scenario(fleet: Fleet) -> None:
            for name in list(fleet.instances):
                fleet.kill(name)
            await asyncio.sleep(1.0)
            for name in list(fleet.clients):
                await fleet.start_instance(name)
            fleet.database.servers["server-0"].crash()
            gap = await self.time_until_written(fleet, "instance-1")
            self.assertLess(gap, 6.0)

        self.play(scenario)

    def test_leader_gone_for_good_is_settled_by_the_others(self):
        async def scenario(fleet: Fleet) -> None:
            await asyncio.sleep(2.0)
            fleet.kill(fleet.leader().board.member.name)
            await asyncio.sleep(2.0)
            fleet.database.servers["server-0"].crash()
            gap = await self.time_until_written(fleet, "instance-1")
            self.assertLess(gap, 6.5)

        self.play(scenario)

    def test_store_outage_stops_nothing_for_the_leaders_right(self):
        async def scenario(fleet: Fleet) -> None:
            for client in fleet.clients.values():
                client.down = True
            await asyncio.sleep(RIGHT_DURATION - 2.0)
            gap = await self.time_until_written(fleet, "instance-2")
            self.assertLess(gap, 0.1)

        self.play(scenario)

    def test_instance_cut_off_from_the_leader_stops_writing(self):
        async def scenario(fleet: Fleet) -> None:
            await asyncio.sleep(1.0)
            fleet.network.isolate(fleet.host("instance-2"), fleet.hosts())
            await asyncio.sleep(EVIDENCE_DURATION + 0.5)
            session = fleet.session("instance-2", ReadPolicy.PRIMARY)
            reply = await session.execute(Run("w", "WRITE", True))
            self.assertIs(reply.refusal, Refusal.BUSY)
            self.assertIsNotNone(reply.retry_after)
            gap = await self.time_until_written(fleet, "instance-1")
            self.assertLess(gap, 0.1)

        self.play(scenario)

    def test_instance_cut_off_from_all_others_takes_no_leadership(self):
        """It reached the store, claimed, and took everybody's evidence away."""

        async def scenario(fleet: Fleet) -> None:
            await asyncio.sleep(1.0)
            epoch = fleet.leader().board.authority.epoch
            fleet.network.isolate(fleet.host("instance-2"), fleet.hosts())
            await asyncio.sleep(12.0)
            self.assertEqual(fleet.leader().board.authority.epoch, epoch)

        self.play(scenario)

    def test_last_instance_leads_alone(self):
        async def scenario(fleet: Fleet) -> None:
            await asyncio.sleep(1.0)
            for name in ("instance-0", "instance-1"):
                fleet.kill(name)
            await asyncio.sleep(6.0)
            gap = await self.time_until_written(fleet, "instance-2")
            self.assertLess(gap, 0.5)

        self.play(scenario)

    def test_leader_cut_off_with_the_store_promotes_nobody(self):
        """Incident: it alone missed the primary, which the others still reached."""

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

        self.play(scenario)

    def test_half_of_the_fleet_with_the_store_waits_for_the_other_half(self):
        """It closed the group when the cut healed, for a change that came too late."""

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
            fleet.silent.add("server-0")
            await asyncio.sleep(9.0)
            fleet.network.heal()
            primary.cut_from = set()
            for client in fleet.clients.values():
                client.down = False
            await asyncio.sleep(1.0)
            fleet.silent.clear()
            await asyncio.sleep(8.0)
            self.assertEqual(fleet.database.promotions, [])

        self.play(scenario)

    def test_commits_that_waited_for_a_replica_survive(self):
        async def scenario(fleet: Fleet) -> None:
            catalog = make_catalog(9)
            catalog.services[SERVICE] = Service(SERVICE, 60, sync_replicas=1)
            fleet.publish(catalog)
            servers = fleet.database.servers
            servers["server-1"].deaf = True
            await self.time_until_written(fleet, "instance-1")
            await asyncio.sleep(0.5)
            servers["server-2"].cut_from = {"*"}
            servers["server-0"].crash()
            await asyncio.sleep(6.0)  # longer than a change without it takes
            self.assertEqual(fleet.database.promotions, [])
            servers["server-2"].cut_from = set()
            await self.time_until_written(fleet, "instance-1")
            self.assertEqual(fleet.database.promotions[0][2], "server-2")

        self.play(scenario)

    def test_slow_claim_does_not_displace_a_leader_found_meanwhile(self):
        async def scenario(fleet: Fleet) -> None:
            fleet.clients["instance-2"].delay = 0.1
            for name in ("instance-1", "instance-2"):
                fleet.instances[name]._authority._claimant.request()
            await asyncio.sleep(2.0)
            self.assertEqual(fleet.leader().board.member.name, "instance-1")
            self.assertEqual(fleet.leader().board.authority.epoch, 2)

        self.play(scenario)

    def test_leadership_that_ended_is_not_begun_again_in_its_epoch(self):
        """Generations would start anew, and old views would confirm new ones."""

        async def scenario(fleet: Fleet) -> None:
            leader = fleet.leader()
            epoch = leader.board.authority.epoch
            leader._authority._leadership.end("ended by the test")
            await asyncio.sleep(3.0)
            self.assertGreater(fleet.leader().board.authority.epoch, epoch)

        self.play(scenario)

    def test_stale_primary_serves_only_under_its_new_term(self):
        """A server that still took itself for primary was opened before it led."""

        async def scenario(fleet: Fleet) -> None:
            servers = fleet.database.servers
            servers["server-0"].cut_from = {"*"}
            await self.time_until_written(fleet, "instance-1")
            servers["server-1"].crash()
            servers["server-2"].crash()
            servers["server-0"].cut_from = set()
            await self.time_until_written(fleet, "instance-1")
            self.assertEqual(fleet.database.promotions[-1][2], "server-0")
            entry = servers["server-0"].log[-1]
            self.assertEqual(entry.position.term, fleet.database.promotions[-1][3])

        self.play(scenario)

    def test_old_primary_is_not_opened_without_an_order(self):
        """The server that a dead leader had promoted was gone from the list."""

        async def scenario(fleet: Fleet) -> None:
            servers = fleet.database.servers
            leader = fleet.leader().board.member.name
            servers["server-0"].cut_from = {"*"}
            while not fleet.database.promotions:
                await asyncio.sleep(0.002)
            servers[fleet.database.promotions[0][2]].crash()
            fleet.kill(leader)
            # After it could be asked to step down, before servers are asked.
            await asyncio.sleep(5.5)
            servers["server-0"].cut_from = set()
            other = next(iter(fleet.instances))
            await self.time_until_written(fleet, other)
            leading = fleet.database.leading(SERVICE)
            self.assertEqual(leading.log[-1].position.term, leading.term)
            self.assertEqual(leading.term, fleet.database.promotions[-1][3])
            self.assertGreater(leading.term, 2)

        self.play(scenario)

    def test_order_that_changes_nothing_ends_the_change(self):
        """The order of a leader that died had taken effect before."""

        async def scenario(fleet: Fleet) -> None:
            servers = fleet.database.servers
            leader = fleet.leader().board.member.name
            servers["server-0"].crash()
            while not fleet.database.promotions:
                await asyncio.sleep(0.002)
            fleet.kill(leader)
            servers["server-2"].crash()
            other = next(iter(fleet.instances))
            await self.time_until_written(fleet, other)
            self.assertEqual(len(fleet.database.promotions), 1)

        self.play(scenario)

    def test_instance_alone_in_missing_a_primary_is_no_witness(self):
        """In large fleets most instances do not probe, so they do not know."""

        async def scenario(fleet: Fleet) -> None:
            await asyncio.sleep(3.0)
            server = fleet.database.servers["server-0"]
            server.cut_from = {fleet.leader().board.member.name}
            await asyncio.sleep(4.0)
            self.assertEqual(fleet.database.promotions, [])

        with few_probes():
            self.play(scenario)

    def test_large_fleet_replaces_a_primary_that_its_callers_miss(self):
        async def scenario(fleet: Fleet) -> None:
            await asyncio.sleep(3.0)
            fleet.database.servers["server-0"].crash()
            for name in fleet.instances:
                session = fleet.session(name, ReadPolicy.PRIMARY)
                await session.execute(Run(f"first-{name}", "WRITE", True))
            gap = await self.time_until_written(fleet, "instance-1")
            self.assertLess(gap, 3.0)

        with few_probes():
            self.play(scenario)

    def test_full_servers_are_not_taken_for_lost(self):
        async def scenario(fleet: Fleet) -> None:
            primary = fleet.database.servers["server-0"]
            primary.max_connections = 0
            for connection in list(primary.connections):
                connection.close()
            await asyncio.sleep(5.0)
            self.assertEqual(fleet.database.promotions, [])

        self.play(scenario)

    def test_leaving_primary_hands_over_and_loses_nothing(self):
        async def scenario(fleet: Fleet) -> None:
            session = fleet.session("instance-1", ReadPolicy.PRIMARY)
            for number in range(20):
                await session.execute(Run(f"w{number}", "WRITE", True))
            fleet.draining.add("server-0")
            await asyncio.sleep(4.0)
            self.assertEqual(len(fleet.database.promotions), 1)
            leading = fleet.database.leading(SERVICE)
            self.assertNotEqual(leading.upstream_id, "server-0")
            self.assertEqual(len(leading.log), 20)

        self.play(scenario)

    def test_transaction_open_at_a_change_is_aborted_truly(self):
        async def scenario(fleet: Fleet) -> None:
            session = fleet.session("instance-1", ReadPolicy.PRIMARY)
            await session.execute(Begin("b", read_only=False))
            await session.execute(Run("w", "WRITE", True))
            fleet.draining.add("server-0")
            await asyncio.sleep(4.0)
            reply = await session.execute(Commit("c"))
            self.assertIs(reply.refusal, Refusal.ABORTED)
            self.assertIs(session.state, TransactionState.IDLE)
            self.assertEqual(fleet.database.leading(SERVICE).log, [])

        self.play(scenario)

    def test_lost_order_is_sent_again_for_the_same_server(self):
        async def scenario(fleet: Fleet) -> None:
            fleet.database.lose_orders = True
            fleet.database.servers["server-0"].crash()
            await self.time_until_written(fleet, "instance-1")
            self.assertEqual(len({p[2] for p in fleet.database.promotions}), 1)

        self.play(scenario)

    def test_lost_answer_to_a_claim_still_makes_a_leader(self):
        async def scenario(fleet: Fleet) -> None:
            for client in fleet.clients.values():
                client.lose_answers = True
            fleet.kill(fleet.leader().board.member.name)
            await asyncio.sleep(4.0)
            self.assertIsNotNone(fleet.leader())

        self.play(scenario)

    def test_views_follow_one_epoch(self):
        async def scenario(fleet: Fleet) -> None:
            await asyncio.sleep(1.0)
            epochs = {i.board.authority.epoch for i in fleet.instances.values()}
            self.assertEqual(len(epochs), 1)
            for instance in fleet.instances.values():
                view = instance.board.authority.groups[SERVICE]
                self.assertIs(view.state, GroupState.OPEN)

        self.play(scenario)


if __name__ == "__main__":
    unittest.main()
