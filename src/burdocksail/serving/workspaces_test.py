"""Sessions of workspaces: keys, revocation and the connections they use."""

import dataclasses
import unittest

from burdocksail.catalog import ReadPolicy, Workspace, Workspaces, digest_key
from burdocksail.core import Begin, Commit, FailureKind, Run, TransactionState
from burdocksail.fakes import Fleet, make_catalog, run_scenario, silence_logs
from burdocksail.ports import ObjectKind

SALT = b"salt"


def setUpModule():
    silence_logs()


def make_workspaces(**keys: str) -> Workspaces:
    """Return workspaces by their names, each with one key."""
    return Workspaces(
        {name: Workspace(name) for name in keys},
        SALT,
        {digest_key(key, SALT): name for name, key in keys.items()},
    )


async def publish(fleet: Fleet, version: int, **keys: str) -> None:
    """Put a configuration with these workspaces in force on all instances."""
    catalog = dataclasses.replace(
        make_catalog(version), workspaces=make_workspaces(**keys)
    )
    fleet.publish(catalog)
    for instance in fleet.instances.values():
        while instance.board.catalog.catalog.version < version:
            await instance.board.changed.wait(0.1)


class WorkspaceSessionTest(unittest.TestCase):
    def test_statements_run_on_connections_of_their_workspace(self):
        async def scenario(fleet: Fleet) -> None:
            await publish(fleet, 2, red="k1", blue="k2")
            for number in range(8):
                key = ("k1", "k2")[number % 2]
                session = fleet.session("instance-0", ReadPolicy.PRIMARY, key)
                reply = await session.execute(Run(f"r{number}", "READ", False))
                self.assertIsNone(reply.failure_kind)
                await session.close()
            seen = [fleet.database.workspaces[f"r{n}"] for n in range(8)]
            self.assertEqual(seen, ["red", "blue"] * 4)

        run_scenario(scenario, 2)

    def test_unknown_key_is_denied_and_runs_nothing(self):
        async def scenario(fleet: Fleet) -> None:
            await publish(fleet, 2, red="k1")
            session = fleet.session("instance-0", ReadPolicy.PRIMARY, "other")
            reply = await session.execute(Run("r", "READ", False))
            self.assertIs(reply.failure_kind, FailureKind.DENIED)
            self.assertTrue(reply.ends_session)
            self.assertNotIn("r", fleet.database.workspaces)

        run_scenario(scenario, 2)

    def test_open_route_needs_no_key(self):
        async def scenario(fleet: Fleet) -> None:
            catalog = make_catalog(2)
            name = ReadPolicy.PRIMARY.value
            route = dataclasses.replace(catalog.routes[name], requires_key=False)
            routes = {**catalog.routes, name: route}
            workspaces = make_workspaces(red="k1")
            fleet.publish(
                dataclasses.replace(catalog, routes=routes, workspaces=workspaces)
            )
            board = fleet.instances["instance-0"].board
            while board.catalog.catalog.version < 2:
                await board.changed.wait(0.1)
            session = fleet.session("instance-0", ReadPolicy.PRIMARY, "any")
            reply = await session.execute(Run("r", "READ", False))
            self.assertIsNone(reply.failure_kind)

        run_scenario(scenario, 1)

    def test_revoked_key_loses_its_right_also_inside_a_transaction(self):
        async def scenario(fleet: Fleet) -> None:
            await publish(fleet, 2, red="k1", blue="k2")
            idle = fleet.session("instance-0", ReadPolicy.PRIMARY, "k1")
            await idle.execute(Run("r1", "READ", False))
            busy = fleet.session("instance-0", ReadPolicy.PRIMARY, "k1")
            await busy.execute(Begin("b", False))
            await busy.execute(Run("w1", "WRITE", True))
            await publish(fleet, 3, blue="k2")
            for session, command in (
                (idle, Run("r2", "READ", False)),
                (busy, Commit("c")),
            ):
                reply = await session.execute(command)
                self.assertIs(reply.failure_kind, FailureKind.DENIED)
                self.assertIs(reply.state, TransactionState.IDLE)
            self.assertNotIn("r2", fleet.database.workspaces)
            log = fleet.database.servers["server-0"].log
            self.assertEqual([entry.request_id for entry in log], [])

        run_scenario(scenario, 2)

    def test_revocation_reaches_an_instance_that_the_store_turns_away(self):
        async def scenario(fleet: Fleet) -> None:
            await publish(fleet, 2, red="k1", blue="k2")
            fleet.clients["instance-0"].down = True
            session = fleet.session("instance-0", ReadPolicy.STATED_AGE, "k1")
            await session.execute(Run("r1", "READ", False))
            await publish(fleet, 3, blue="k2")
            reply = await session.execute(Run("r2", "READ", False))
            self.assertIs(reply.failure_kind, FailureKind.DENIED)

        run_scenario(scenario, 3)

    def test_moved_key_aborts_the_transaction_and_uses_the_other_workspace(self):
        async def scenario(fleet: Fleet) -> None:
            await publish(fleet, 2, red="k1", blue="k2")
            session = fleet.session("instance-0", ReadPolicy.PRIMARY, "k1")
            await session.execute(Begin("b", False))
            await session.execute(Run("w1", "WRITE", True))
            await publish(fleet, 3, red="k3", blue="k1")
            reply = await session.execute(Commit("c"))
            self.assertIs(reply.failure_kind, FailureKind.ABORTED)
            reply = await session.execute(Run("r", "READ", False))
            self.assertIsNone(reply.failure_kind)
            self.assertEqual(fleet.database.workspaces["r"], "blue")

        run_scenario(scenario, 2)

    def test_older_configuration_of_a_restored_store_revives_no_key(self):
        async def scenario(fleet: Fleet) -> None:
            await publish(fleet, 2, red="k1")
            await publish(fleet, 3, blue="k2")
            stale = dataclasses.replace(
                make_catalog(2), workspaces=make_workspaces(red="k1")
            )
            fleet.store.put(ObjectKind.CATALOG, "main", {"catalog": stale})
            board = fleet.instances["instance-0"].board
            for _ in range(20):
                await board.changed.wait(0.1)
            session = fleet.session("instance-0", ReadPolicy.PRIMARY, "k1")
            self.assertFalse(session.is_authorized())

        run_scenario(scenario, 1)
