"""Quotas of workspaces in a whole fleet: callers, leader and instances."""

import asyncio
import unittest
from dataclasses import replace

from burdocksail.board import QuotaBounds
from burdocksail.catalog import ReadPolicy, Workspace, Workspaces, digest_key
from burdocksail.core import Begin, Commit, FailureKind, Run
from burdocksail.fakes import Fleet, make_catalog, run_in_virtual_time, silence_logs
from burdocksail.serving import CallerSession

SALT = b"salt"
BOUNDS = QuotaBounds(5.0, 0.1, 4.0)


def make_workspaces(rate: float, burst: float) -> Workspaces:
    record = Workspace("team", rate, burst)
    return Workspaces({"team": record}, SALT, {digest_key("key", SALT): "team"})


def open_session(fleet: Fleet, name: str) -> CallerSession:
    return CallerSession(fleet.instances[name].serving, ReadPolicy.PRIMARY.value, "key")


def run_fleet(scenario, rate: float = 10.0, burst: float = 5.0) -> None:
    async def run() -> None:
        fleet = Fleet(quota_bounds=BOUNDS)
        catalog = replace(make_catalog(), workspaces=make_workspaces(rate, burst))
        await fleet.start(3, catalog=catalog)
        try:
            await asyncio.sleep(3.0)
            await scenario(fleet)
        finally:
            fleet.stop()

    run_in_virtual_time(run())


async def write_all(fleet: Fleet, count: int, interval: float) -> list:
    """Return the replies to writes that come at all instances in turn."""

    async def write(index: int):
        await asyncio.sleep(index * interval)
        names = list(fleet.instances)
        session = open_session(fleet, names[index % len(names)])
        return await session.execute(Run(f"w{index}", "WRITE", True))

    return await asyncio.gather(*(write(index) for index in range(count)))


class FleetQuotaTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        silence_logs()

    def test_load_below_the_rate_is_served(self):
        async def scenario(fleet: Fleet) -> None:
            replies = await write_all(fleet, 60, 0.12)
            self.assertEqual([r for r in replies if r.failure_kind], [])

        run_fleet(scenario)

    def test_load_above_the_rate_is_refused_with_a_time(self):
        """Every instance alone would let the whole rate through."""

        async def scenario(fleet: Fleet) -> None:
            replies = await write_all(fleet, 400, 0.0125)
            refused = [r for r in replies if r.failure_kind]
            self.assertLessEqual(400 - len(refused), BOUNDS.compute_bound(10.0, 5.0))
            self.assertGreaterEqual(400 - len(refused), 45)
            self.assertEqual({r.failure_kind for r in refused}, {FailureKind.BUSY})
            self.assertTrue(all(0 < r.retry_after < 5 for r in refused))
            served = len(fleet.database.servers["server-0"].log)
            self.assertEqual(served, 400 - len(refused))

        run_fleet(scenario)

    def test_transaction_takes_one_token(self):
        async def scenario(fleet: Fleet) -> None:
            session = open_session(fleet, "instance-1")
            await session.execute(Begin("b", False))
            for index in range(30):
                reply = await session.execute(Run(f"t{index}", "WRITE", True))
                self.assertIsNone(reply.failure_kind)
            self.assertIsNone((await session.execute(Commit("c"))).failure_kind)
            counters = fleet.instances["instance-1"].board.metrics.counters
            self.assertEqual(counters["allowances_spent"], 1)

        run_fleet(scenario, rate=0.5, burst=1.0)

    def test_load_below_the_rate_is_served_after_a_change_of_leader(self):
        async def scenario(fleet: Fleet) -> None:
            fleet.kill(fleet.leader().board.member.name)
            await asyncio.sleep(3.0)
            replies = await write_all(fleet, 60, 0.15)
            self.assertLessEqual(len([r for r in replies if r.failure_kind]), 1)

        run_fleet(scenario)

    def test_leader_that_stops_hands_its_tokens_over(self):
        """Earlier fault: the next leader began with empty buckets."""

        async def scenario(fleet: Fleet) -> None:
            await asyncio.sleep(10.0)  # until the bucket is full, with 2.6 tokens
            leader = fleet.leader()
            leader.serving.board.stop.requested_at = leader.board.now()
            leader._authority.request_takeover()
            while fleet.leader() in (leader, None):
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.5)
            await write_all(fleet, 1, 0.01)
            state = fleet.leader().describe()["allowances_issued"]
            team = state["workspaces"]["team"]
            # A leader alone has 0.9 tokens at its start, and 0.5 more each second.
            self.assertGreater(team["tokens"] + team["granted"], 2.5)

        run_fleet(scenario, rate=0.5, burst=5.0)

    def test_removed_workspace_and_lowered_rate_hold_within_a_second(self):
        async def scenario(fleet: Fleet) -> None:
            await write_all(fleet, 20, 0.1)
            catalog = replace(
                make_catalog(2), workspaces=make_workspaces(rate=0.5, burst=0.0)
            )
            fleet.publish(catalog)
            await asyncio.sleep(1.5)
            replies = await write_all(fleet, 50, 0.1)
            served = [r for r in replies if not r.failure_kind]
            self.assertLessEqual(len(served), BOUNDS.compute_bound(0.5, 0.0))

        run_fleet(scenario)

    def test_isolated_instance_keeps_to_its_floor(self):
        """An isolated instance that had tokens without a limit would exceed the rate.

        Its operations are asked for directly: it could not serve writes.
        """

        async def scenario(fleet: Fleet) -> None:
            leader = fleet.leader().board.member.name
            name = next(n for n in fleet.instances if n != leader)
            await write_all(fleet, 30, 0.1)
            fleet.network.isolate(fleet.host(name), fleet.hosts())
            holder = fleet.instances[name].serving.allowances
            served = 0
            for _ in range(100):
                await asyncio.sleep(0.1)
                try:
                    reservation = await holder.take("team")
                    served += reservation.spend() is not None
                except Exception:
                    continue
            # A third of the rate from second 1.5 on.
            self.assertTrue(15 <= served <= 40, served)

        run_fleet(scenario)
