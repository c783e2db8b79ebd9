"""Explained requests: they go where the next request goes, and leave no trace."""

import asyncio
import unittest
from dataclasses import replace

from burdocksail.catalog import ReadPolicy, Workspace, Workspaces, digest_key
from burdocksail.core import Begin, ExplainQuery, FailureKind, LogPosition, Run
from burdocksail.fakes import (
    BOUNDS,
    SERVICE,
    Fleet,
    capture_state,
    make_catalog,
    run_in_virtual_time,
    silence_logs,
)
from burdocksail.serving import CallerSession

SALT = b"salt"
KEY = "secret-key"
READ = Run("r", "READ", False)
WRITE = Run("w", "WRITE", True)
NAME = "instance-1"


def setUpModule():
    silence_logs()


def run_fleet(scenario, workspaces: Workspaces | None = None) -> None:
    async def run() -> None:
        fleet = Fleet(quota_bounds=BOUNDS)
        await fleet.start(2, catalog=replace(make_catalog(), workspaces=workspaces))
        try:
            await asyncio.sleep(2.0)
            await scenario(fleet)
        finally:
            fleet.stop()

    run_in_virtual_time(run())


def make_workspaces(rate: float | None = None, burst: float = 2.0) -> Workspaces:
    team = Workspace("team", rate, burst)
    return Workspaces({"team": team}, SALT, {digest_key(KEY, SALT): "team"})


class ExplainTest(unittest.TestCase):
    def explain(self, fleet: Fleet, policy: ReadPolicy, command=READ, **query) -> dict:
        """Return the explanation, after a check that giving it has changed nothing."""
        instance = fleet.instances[NAME]
        before = capture_state([instance.board, instance.serving])
        question = ExplainQuery(policy.value, "not shown", **query)
        answer = instance.explain(question, command)
        self.assertEqual(capture_state([instance.board, instance.serving]), before)
        self.assertNotIn(KEY, str(answer))
        return answer

    async def compare(
        self, fleet: Fleet, policy: ReadPolicy, command=READ, key="", **query
    ) -> dict:
        """Explain a request, send it, and compare where it goes or why it does not."""
        session = CallerSession(fleet.instances[NAME].serving, policy.value, key)
        answer = self.explain(fleet, policy, command, **query)
        before = capture_state([fleet.instances[NAME].serving])
        reply = await session.execute(command)
        self.assertNotEqual(capture_state([fleet.instances[NAME].serving]), before)
        outcome = answer["outcome"]
        if reply.failure_kind is not None:
            self.assertEqual(outcome["result"], "refused", answer)
            self.assertIn(reply.message, outcome["reason"])
        elif command.writes:
            servers = fleet.database.servers.values()
            (server,) = [s for s in servers if s.log and s.is_primary]
            self.assertEqual(outcome["server"], server.upstream_id)
        else:
            read = fleet.database.reads[reply.rows[0]]
            self.assertEqual(outcome["server"], read.server, answer)
        return answer

    def find(self, answer: dict, server: str) -> dict:
        return next(c for c in answer["candidates"] if c["server"] == server)

    def test_read_goes_to_the_replica_of_lowest_cost(self):
        async def scenario(fleet: Fleet) -> None:
            answer = await self.compare(fleet, ReadPolicy.STATED_AGE)
            self.assertEqual(answer["outcome"]["server"], "server-1")
            costs = {c["server"]: c["cost_ms"]["total"] for c in answer["candidates"]}
            self.assertEqual(min(costs, key=costs.get), "server-1")

        run_fleet(scenario)

    def test_write_goes_to_the_primary(self):
        async def scenario(fleet: Fleet) -> None:
            answer = await self.compare(fleet, ReadPolicy.STATED_AGE, WRITE)
            self.assertEqual(answer["outcome"]["server"], "server-0")

        run_fleet(scenario)

    def test_session_position_that_replicas_lack_leads_to_the_primary(self):
        async def scenario(fleet: Fleet) -> None:
            for server in fleet.database.servers.values():
                server.lag = 5.0
            session = fleet.session(NAME, ReadPolicy.OWN_WRITES)
            written = await session.execute(WRITE)
            await session.execute(READ)  # Both replicas refuse it.
            position = LogPosition(written.position.term, written.position.sequence)
            instance = fleet.instances[NAME]
            pools = instance.serving.pools
            for upstream in instance.board.directory.of_service(SERVICE):
                pools.get(upstream).statistics.avoid_until = float("-inf")
            answer = self.explain(
                fleet, ReadPolicy.OWN_WRITES, position=position, position_age=0.0
            )
            reply = await session.execute(READ)
            read = fleet.database.reads[reply.rows[0]]
            self.assertEqual(answer["outcome"]["server"], read.server)
            self.assertEqual(read.server, "server-0")
            reasons = self.find(answer, "server-1")["against"]
            self.assertIn("it is known to lag behind the floor", reasons)

        run_fleet(scenario)

    def test_avoided_and_failing_servers_are_passed_over(self):
        async def scenario(fleet: Fleet) -> None:
            instance = fleet.instances[NAME]
            upstreams = instance.board.directory.upstreams
            nearest = instance.serving.pools.get(upstreams["server-1"]).statistics
            nearest.avoid_until = instance.board.now() + 1.0
            answer = await self.compare(fleet, ReadPolicy.STATED_AGE)
            self.assertEqual(answer["outcome"]["server"], "server-2")
            nearest.avoid_until = float("-inf")
            for statistics in (
                p.statistics for p in instance.serving.pools._pools.values()
            ):
                statistics.health.results = 10
            nearest.health.failure_share = 0.9  # It is ejected with the next read.
            answer = await self.compare(fleet, ReadPolicy.STATED_AGE)
            self.assertEqual(answer["outcome"]["server"], "server-2")
            reasons = self.find(answer, "server-1")["against"]
            self.assertIn("it fails more than its peers", reasons)

        run_fleet(scenario)

    def test_request_without_a_primary_is_refused_or_waits(self):
        async def scenario(fleet: Fleet) -> None:
            board = fleet.instances[NAME].board
            board.authority.opens_not_before[SERVICE] = board.now() + 30.0
            board.authority.unreachable[SERVICE] = board.now()
            await self.compare(fleet, ReadPolicy.PRIMARY, WRITE)
            del board.authority.opens_not_before[SERVICE]
            board.authority.unreachable[SERVICE] = board.now()
            outcome = self.explain(fleet, ReadPolicy.PRIMARY, WRITE)["outcome"]
            self.assertEqual(outcome["result"], "waits")
            self.assertEqual(outcome["reason"], "the primary does not answer")

        run_fleet(scenario)

    def test_exhausted_quota_refuses(self):
        async def scenario(fleet: Fleet) -> None:
            workspace = {"key": KEY, "workspace": "team"}
            for _ in range(40):
                session = CallerSession(
                    fleet.instances[NAME].serving, ReadPolicy.STATED_AGE.value, KEY
                )
                reply = await session.execute(READ)
                if reply.failure_kind is FailureKind.BUSY:
                    break
            answer = await self.compare(fleet, ReadPolicy.STATED_AGE, **workspace)
            self.assertIn("rate of the workspace", answer["outcome"]["reason"])
            self.assertEqual(answer["quota"]["tokens"], 0)
            self.assertGreater(answer["outcome"]["retry_after_ms"], 0)

        run_fleet(scenario, make_workspaces(rate=1.0))

    def test_workspace_with_tokens_is_served(self):
        async def scenario(fleet: Fleet) -> None:
            session = fleet.session(NAME, ReadPolicy.STATED_AGE, KEY)
            allowances = fleet.instances[NAME].serving.allowances
            for _ in range(200):
                await session.execute(READ)
                await asyncio.sleep(0.02)
                if allowances.describe()["workspaces"]["team"]["tokens"]:
                    break
            answer = await self.compare(
                fleet, ReadPolicy.STATED_AGE, key=KEY, workspace="team"
            )
            self.assertGreater(answer["quota"]["tokens"], 0)
            self.assertTrue(answer["route"]["needs_key"])

        run_fleet(scenario, make_workspaces(rate=1000.0, burst=500.0))

    def test_unknown_workspace_and_database_are_refused(self):
        async def scenario(fleet: Fleet) -> None:
            session = fleet.session(NAME, ReadPolicy.STATED_AGE, "another")
            reply = await session.execute(READ)
            self.assertIs(reply.failure_kind, FailureKind.DENIED)
            for name in ("", KEY):
                outcome = self.explain(fleet, ReadPolicy.STATED_AGE, workspace=name)[
                    "outcome"
                ]
                self.assertEqual(outcome["result"], "refused")
                self.assertIn("denied", outcome["reason"].lower())
            question = ExplainQuery("missing", "READ")
            answer = fleet.instances[NAME].explain(question, READ)
            self.assertEqual(answer["outcome"]["reason"], "unknown database")

        run_fleet(scenario, make_workspaces())

    def test_begin_picks_no_server(self):
        async def scenario(fleet: Fleet) -> None:
            answer = self.explain(fleet, ReadPolicy.PRIMARY, Begin("b", False))
            self.assertEqual(answer["outcome"]["result"], "local")

        run_fleet(scenario)


if __name__ == "__main__":
    unittest.main()
