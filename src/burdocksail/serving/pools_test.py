"""Waiting and sharing of connections where the configuration holds workspaces."""

import asyncio
import unittest
from collections.abc import Callable, Coroutine
from dataclasses import replace

from burdocksail.catalog import Workspace, Workspaces, digest_key
from burdocksail.core import FailureKind, Run
from burdocksail.fakes import (
    Fleet,
    ServerCapacity,
    make_catalog,
    run_in_virtual_time,
    silence_logs,
)
from burdocksail.serving import CallerReply, CallerSession

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


if __name__ == "__main__":
    unittest.main()
