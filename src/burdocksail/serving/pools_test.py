"""Waiting and sharing of connections where the configuration holds workspaces."""

import asyncio
import unittest
from collections.abc import Callable, Coroutine
from dataclasses import replace
from unittest import mock

from burdocksail.catalog import Workspace, Workspaces, digest_key
from burdocksail.core import Begin, Commit, FailureKind, Run
from burdocksail.fakes import (
    Fleet,
    ServerCapacity,
    make_catalog,
    run_in_virtual_time,
    silence_logs,
)
from burdocksail.serving import CallerReply, CallerSession, _pool
from burdocksail.serving._budget import ConnectionBudget

SALT = b"test"
NAMES = ("large", "small", "other")


def setUpModule():
    silence_logs()


def make_workspaces(names: tuple[str, ...] = NAMES) -> Workspaces:
    """Return workspaces whose keys are their names."""
    owners = {digest_key(name, SALT): name for name in names}
    return Workspaces({name: Workspace(name) for name in names}, SALT, owners)


def run_with_workspaces(
    scenario: Callable[[Fleet], Coroutine], names: tuple[str, ...] | None = NAMES
) -> None:
    """Run a scenario on one instance; `names` of None configures no workspaces."""

    async def run() -> None:
        fleet = Fleet()
        catalog = make_catalog()
        if names is not None:
            catalog = replace(catalog, workspaces=make_workspaces(names))
        await fleet.start(1, 3, catalog)
        await asyncio.sleep(1.0)
        try:
            await scenario(fleet)
        finally:
            fleet.stop()

    run_in_virtual_time(run())


def get_pool(fleet: Fleet) -> _pool.Pool:
    """Return the instance's pool of the primary."""
    upstream = fleet.instances["instance-0"].board.directory.upstreams["server-0"]
    return fleet.instances["instance-0"].serving.pools.get(upstream)


async def read(fleet: Fleet, workspace: str, work: float) -> CallerReply:
    """Send a read that any server may run."""
    serving = fleet.instances["instance-0"].serving
    session = CallerSession(serving, "stated_age", workspace)
    try:
        return await session.execute(Run("r", f"READ work={work}", False))
    finally:
        await session.close()


async def write(fleet: Fleet, workspace: str, work: float = 0.0) -> CallerReply:
    """Send a write as a workspace; the statement timeout of its route is 1 s."""
    session = CallerSession(fleet.instances["instance-0"].serving, "primary", workspace)
    try:
        return await session.execute(Run("w", f"WRITE work={work}", True))
    finally:
        await session.close()


async def time_write(fleet: Fleet, work: float = 0.0) -> tuple[CallerReply, float]:
    """Send a write and return the reply and the seconds that it took."""
    loop = asyncio.get_running_loop()
    started = loop.time()
    reply = await write(fleet, "large", work)
    return reply, loop.time() - started


class WaitingTest(unittest.TestCase):
    def measure_full_primary(
        self, names: tuple[str, ...] | None, full_for: float
    ) -> tuple[CallerReply, float]:
        """Write while the primary has no connections; return reply and duration."""
        results = []

        async def scenario(fleet: Fleet) -> None:
            primary = fleet.database.servers["server-0"]
            primary.max_connections = 0
            for connection in list(primary.connections):
                connection.close()
            task = asyncio.create_task(time_write(fleet))
            await asyncio.sleep(full_for)
            primary.max_connections = 60
            results.append(await task)

        run_with_workspaces(scenario, names)
        return results[0]

    def test_statement_waits_for_most_of_its_timeout(self):
        """Guards against callers that use up their attempts while a queue moves.

        Without workspaces, the statement is given up after 0.45 of its timeout.
        """
        reply, seconds = self.measure_full_primary(NAMES, 0.6)
        self.assertIsNone(reply.failure_kind)
        self.assertGreater(seconds, 0.6)
        reply, seconds = self.measure_full_primary(None, 0.6)
        self.assertIs(reply.failure_kind, FailureKind.BUSY)

    def test_statement_is_rejected_while_it_could_still_be_answered(self):
        """Guards against a statement that is sent too late, with unknown outcome."""
        reply, seconds = self.measure_full_primary(NAMES, 2.0)
        self.assertIs(reply.failure_kind, FailureKind.BUSY)
        self.assertGreater(seconds, 0.6)
        self.assertLess(seconds, 0.95)

    def test_time_to_retry_grows_with_the_time_that_the_server_was_full(self):
        """Guards against callers that come back three times within a short outage."""
        reply, seconds = self.measure_full_primary(NAMES, 2.0)
        self.assertGreaterEqual(reply.retry_after, seconds)
        reply, _ = self.measure_full_primary(None, 2.0)
        self.assertLess(reply.retry_after, 0.5)

    def test_hopeless_statement_is_rejected_at_once_with_time_to_retry(self):
        """Guards against statements that wait in a queue which cannot serve them."""

        async def scenario(fleet: Fleet) -> None:
            primary = fleet.database.servers["server-0"]
            primary.capacity = ServerCapacity(slots=1, queue=1000, handshake=0.0)
            tasks = []
            for _ in range(200):
                tasks.append(asyncio.create_task(time_write(fleet, 0.05)))
                await asyncio.sleep(0.005)
            replies = await asyncio.gather(*tasks)
            rejected = [r for r in replies if r[0].failure_kind is FailureKind.BUSY]
            at_once = [r for r, seconds in rejected if seconds < 0.01]
            self.assertGreater(len(at_once), 20)
            delays = [r.retry_after for r in at_once]
            self.assertGreater(max(delays) - min(delays), 0.5)

        run_with_workspaces(scenario)


class SharingTest(unittest.TestCase):
    """One instance that may open few connections to each server."""

    def setUp(self):
        patch = mock.patch.object(
            _pool, "compute_budget", lambda *_: ConnectionBudget(2, 2.0, 60.0, 2.0)
        )
        patch.start()
        self.addCleanup(patch.stop)

    def test_connection_runs_statements_of_its_own_workspace_only(self):
        """Guards against statements under the name of another workspace."""

        async def scenario(fleet: Fleet) -> None:
            for workspace in NAMES * 3:
                reply = await write(fleet, workspace)
                self.assertIsNone(reply.failure_kind)
                primary = fleet.database.servers["server-0"]
                self.assertLessEqual(len(primary.connections), 2)
                newest = max(get_pool(fleet)._idle, key=lambda c: c.idle_since)
                self.assertEqual(newest.workspace, workspace)

        run_with_workspaces(scenario)

    def test_busy_workspace_keeps_its_connection_among_many_small_ones(self):
        """Guards against closing the connection that was used least recently.

        It would be the one of the workspace that sends every other request.
        """
        names = ("large", *(f"small-{n}" for n in range(30)))

        async def scenario(fleet: Fleet) -> None:
            metrics = fleet.instances["instance-0"].board.metrics
            for _ in range(10):
                await write(fleet, "large")
            reused = metrics.counters["connections_reused"]
            for small in range(0, 30, 3):
                for n in range(small, small + 3):
                    await write(fleet, f"small-{n}")
                await write(fleet, "large")
            self.assertEqual(metrics.counters["connections_reused"] - reused, 10)
            self.assertGreaterEqual(metrics.counters["connections_evicted"], 29)

        run_with_workspaces(scenario, names)

    def test_small_workspace_is_served_beside_a_hot_one(self):
        """Guards against one queue for all, in which it waits behind the hot one."""

        async def scenario(fleet: Fleet) -> None:
            hot = [asyncio.create_task(write(fleet, "large", 0.02)) for _ in range(30)]
            await asyncio.sleep(0.05)
            started = asyncio.get_running_loop().time()
            reply = await write(fleet, "small", 0.02)
            self.assertIsNone(reply.failure_kind)
            self.assertLess(asyncio.get_running_loop().time() - started, 0.2)
            for reply in await asyncio.gather(*hot):
                self.assertIsNone(reply.failure_kind)

        run_with_workspaces(scenario)

    def test_transaction_keeps_its_connection_while_others_are_evicted(self):
        """Guards against closing a connection between two statements."""

        async def scenario(fleet: Fleet) -> None:
            serving = fleet.instances["instance-0"].serving
            session = CallerSession(serving, "primary", "large")
            await session.execute(Begin("b", False))
            await session.execute(Run("t1", "WRITE", True))
            for workspace in ("small", "other") * 5:
                self.assertIsNone((await write(fleet, workspace)).failure_kind)
            await session.execute(Run("t2", "WRITE", True))
            reply = await session.execute(Commit("c"))
            self.assertIsNone(reply.failure_kind)

        run_with_workspaces(scenario)

    def test_removed_workspace_is_denied_while_it_waits(self):
        """Guards against requests and connections that outlive their workspace."""

        async def scenario(fleet: Fleet) -> None:
            primary = fleet.database.servers["server-0"]
            await write(fleet, "small")
            primary.max_connections = 0
            waiting = asyncio.create_task(write(fleet, "other"))
            await asyncio.sleep(0.1)
            workspaces = make_workspaces(("large",))
            fleet.publish(replace(fleet.published, version=2, workspaces=workspaces))
            reply = await waiting
            self.assertIs(reply.failure_kind, FailureKind.DENIED)
            names = {c.workspace for c in get_pool(fleet)._iterate_open()}
            self.assertNotIn("small", names)

        run_with_workspaces(scenario)

    def test_waiting_requests_of_all_workspaces_survive_a_lost_server(self):
        """Guards against requests that wait at a server until it is too late."""

        async def scenario(fleet: Fleet) -> None:
            lost = fleet.database.servers["server-1"]
            tasks = [
                asyncio.create_task(read(fleet, name, 0.02))
                for name in NAMES
                for _ in range(4)
            ]
            await asyncio.sleep(0.01)
            lost.crash()
            for reply in await asyncio.gather(*tasks):
                self.assertIsNone(reply.failure_kind)

        run_with_workspaces(scenario)

    def test_dump_shows_the_largest_workspaces(self):
        async def scenario(fleet: Fleet) -> None:
            await write(fleet, "small")
            described = fleet.instances["instance-0"].describe()["upstreams"]
            shown = described["server-0"]["workspaces"]
            self.assertEqual(shown["small"], {"connections": 1, "waiting": 0})

        run_with_workspaces(scenario)


if __name__ == "__main__":
    unittest.main()
