"""A small deployment on loopback: store, one service, some instances, a record."""

import asyncio
import os
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

from caller import Caller, Ended
from databases import Group, Server
from fleet import ZONES, Instance, find_free_ports, make_settings

from store import Store

SERVICE = "bellbook"
HELD, BROKEN, NOT_RUN = 0, 1, 2
LIMIT = 115.0  # seconds
ROUTES = {
    "orders": ("primary", None),
    "stock": ("bounded_staleness", 1500),
    "engrave": ("read_your_writes", 2500),
}


class CaseError(Exception):
    """The case could not run."""


class Deployment:
    """Stand-ins, instances and the record of one run."""

    def __init__(self, folder: Path, record: Path, count: int):
        self.store = Store()
        self.group = Group(
            SERVICE, lambda name, spec: self.store.put("servers", name, spec)
        )
        self.store.promote = self.group.promote
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self._record = record.open("w")
        self._port = find_free_ports(30)
        self._instances_count = count
        self._folder = folder
        self._began_at = time.monotonic()
        self.first_copy: tuple | None = None  # of the store, before the first start
        self.first_copy_at = 0.0
        self.instances: list[Instance] = []

    def note(self, text: str) -> None:
        """Write a line into the record."""
        self._record.write(f"{time.monotonic() - self._began_at:8.3f} {text}\n")
        self._record.flush()

    async def open(self) -> None:
        """Start everything and wait until all instances are ready."""
        port = self._port
        await self.store.open("127.0.0.2", port)
        for number, zone in enumerate(ZONES):
            server = Server(
                self.group, f"i-{number}a{number}", zone, f"127.0.0.{5 + number}", port
            )
            server.is_primary = number == 0
            await server.open()
            self.group.servers[server.name] = server
            self.group.report(server)
        self.store.put("config", "main", self.make_configuration(7))
        self.first_copy = self.store.take_copy()
        self.first_copy_at = time.monotonic()
        address = f"127.0.0.2:{port}"
        seeds = [f"127.0.0.{10 + n}:{port + 2}" for n in range(self._instances_count)]
        settings = make_settings(address, address, seeds[:3])
        for number in range(self._instances_count):
            instance = Instance(self._folder, number, port, settings)
            self.instances.append(instance)
            instance.start()
        for instance in self.instances:
            if not await instance.wait_until_ready():
                raise CaseError(f"{instance.name} is not ready")
        self.note(f"{len(self.instances)} instances ready")

    def make_configuration(self, version: int) -> dict:
        """Return a configuration with one route of each type."""
        return {
            "version": version,
            "routes": [
                {
                    "name": f"r-{host}",
                    "host": host,
                    "path_prefix": "/",
                    "route_type": route_type,
                    "timeout_ms": 3000,
                    "target_latency_ms": 1500,
                    "priority": 2,
                    "service": SERVICE,
                    "max_attempts": 2,
                    **({} if age is None else {"max_staleness_ms": age}),
                }
                for host, (route_type, age) in ROUTES.items()
            ],
            "services": [
                {
                    "name": SERVICE,
                    "health_path": "/health",
                    "max_conns": 60,
                    "protocol": "h1",
                    "tls": False,
                    "sync_replicas": 0,
                }
            ],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 262144,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
                "tx_idle_ms": 3000,
            },
        }

    async def call(self, instance: Instance, database: str = "orders") -> Caller:
        """Return a session at an instance."""
        return await Caller.open(instance.host, instance.port, database)

    async def is_served(self, instance: Instance) -> bool:
        """Return whether an ordinary read is answered within five tries."""
        for _ in range(5):
            try:
                caller = await self.call(instance)
                answer = await caller.query("READ 1a4")
                caller.close()
                if answer.is_success:
                    return True
                self.note(f"ordinary read: {answer.result}")
            except Ended as error:
                self.note(f"ordinary read: {error}")
            await asyncio.sleep(0.5)
        return False

    def close(self) -> None:
        """End all processes that were started."""
        for instance in self.instances:
            instance.stop()
        for server in self.group.servers.values():
            server.close()
        self._record.close()


def run_case(
    play: Callable[[Deployment], Awaitable[bool]], record: Path, count: int = 1
) -> None:
    """Play a case and exit: 0 if the rule held, 1 if it broke, 2 if it did not run.

    Parameters
    ----------
    play : callable
        Returns whether the rule held.
    count : int
        Number of instances.
    """
    sys.exit(asyncio.run(_run(play, record, count)))


async def _run(
    play: Callable[[Deployment], Awaitable[bool]], record: Path, count: int
) -> int:
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(Path(folder), record, count)
        try:
            async with asyncio.timeout(LIMIT):
                await deployment.open()
                held = await play(deployment)
            result = HELD if held else BROKEN
        except Exception as error:
            # An error of the case itself says nothing about the rule.
            deployment.note(f"the case could not run: {error!r}")
            for instance in deployment.instances:
                deployment.note(f"{instance.name}: {instance.read_log()[-2000:]}")
            result = NOT_RUN
        deployment.note(f"result {result}")
        deployment.close()
        return result
