"""Processes of the line protocol on loopback, run by the present interpreter.

In contrast to `deployment`, the limits are in the settings, nothing has to be built,
and there is one server.
"""

import asyncio
import os
import sys
import tempfile
import time
import urllib.request
from pathlib import Path

from databases import Group, Server
from fleet import ROOT, Client, Instance, Record, find_free_ports, make_settings
from metastore import CloudServer, HttpServer, StoreServer, StoreState

ZONE = "piedmont-a"
ZONES = {ZONE: "piedmont"}
DATABASE = "orders"
SERVICE = "ledger"
STORE_HOST = "127.78.9.1"
CLOUD_HOST = "127.78.8.1"
SERVER_HOST = "127.78.5.1"
HOST = "127.78.21.{}"
READY_TIMEOUT = 30.0  # seconds
REQUEST_TIMEOUT = 20.0  # seconds, in which an ordinary caller tries again
LARGE_ITEM = "large"
LARGE_VALUE_BYTES = 200_000


class LoopbackInstance(Instance):
    """An instance as a process of the interpreter that runs this one."""

    @property
    def pid(self) -> int:
        """Return the number of the process."""
        return self._process.pid

    async def start(self) -> None:
        """Start the process."""
        environment = {**os.environ, "BURDOCKSAIL_CONFIG": str(self._path)}
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "platform/serve.py",
                "edge",
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    async def stop(self) -> None:
        """Kill the process and wait until it has ended."""
        if self.returncode is None:
            self._process.kill()
            await self.wait()


class LoopbackDeployment:
    """Store, promotion API, one server and some instances."""

    def __init__(self, limits: dict, count: int = 1):
        self.limits = limits
        self.instances: list[LoopbackInstance] = []
        self._count = count
        self._folder = tempfile.TemporaryDirectory()
        self._record = Record(Path(self._folder.name) / "record.txt")
        self._apis: list[HttpServer] = []
        self._server: Server | None = None

    async def start(self) -> None:
        """Start everything and wait until the instances are ready."""
        hosts = [HOST.format(n) for n in range(1, self._count + 1)]
        ports = find_free_ports([*hosts, STORE_HOST, CLOUD_HOST, SERVER_HOST], 6)
        state = StoreState()
        state.put("config", "main", _make_configuration())
        group = Group(SERVICE, lambda *_, **__: None, 0.6)
        self._server = Server(
            group,
            "i-0001",
            ZONE,
            SERVER_HOST,
            ports[5],
            state,
            round(time.time() * 1000),
        )
        group.primary, self._server.is_primary = self._server, True
        await self._server.start()
        for api, host in (
            (StoreServer(state, self._record), STORE_HOST),
            (CloudServer({SERVICE: group}, self._record), CLOUD_HOST),
        ):
            await api.listen(host, ports[2])
            self._apis.append(api)
        for number, host in enumerate(hosts, 1):
            name = f"edge-{number}"
            settings = make_settings(
                name,
                host,
                ZONE,
                ZONES,
                ports,
                hosts,
                f"{STORE_HOST}:{ports[2]}",
                f"{CLOUD_HOST}:{ports[2]}",
                {"grace_s": 6},
            )
            settings["limits"] = self.limits
            folder = Path(self._folder.name)
            instance = LoopbackInstance(name, settings, folder, self._record)
            self.instances.append(instance)
            await instance.start()
        await self._wait_until_ready()
        await self.request(f"WRITE {LARGE_ITEM} " + "v" * LARGE_VALUE_BYTES)

    async def request(self, text: str = "READ x", number: int = 0) -> bool:
        """Return whether an ordinary caller gets an answer to its statement.

        It tries again while it is refused, as callers do.
        """
        end = time.monotonic() + REQUEST_TIMEOUT
        while time.monotonic() < end:
            client = Client(lambda *_, **__: None, "key")
            try:
                async with asyncio.timeout(5.0):
                    if await client.start(self.instances[number].front, DATABASE):
                        answer = await client.query("ordinary", text)
                        if answer is not None and answer[0] == "COMPLETE":
                            return True
            except (OSError, TimeoutError):
                pass
            finally:
                client.close()
            await asyncio.sleep(0.2)
        return False

    async def fetch(self, path: str, number: int = 0) -> str | None:
        """Return a page of the readiness listener, None without one."""
        url = f"http://{self.instances[number].settings['listen']['ready']}{path}"
        return await asyncio.to_thread(_fetch, url)

    async def stop(self) -> None:
        """Kill the instances and remove their files."""
        for instance in self.instances:
            await instance.stop()
        if self._server is not None:
            self._server.crash()
        for api in self._apis:
            api.close()
        self._record.close()
        self._folder.cleanup()

    async def _wait_until_ready(self) -> None:
        end = time.monotonic() + READY_TIMEOUT
        for instance in self.instances:
            while not await instance.is_ready():
                if time.monotonic() > end or instance.returncode is not None:
                    raise TimeoutError("an instance does not get ready")
                await asyncio.sleep(0.1)


def _make_configuration() -> dict:
    return {
        "version": 1,
        "routes": [
            {
                "name": "r-1",
                "host": DATABASE,
                "service": SERVICE,
                "route_type": "primary",
                "timeout_ms": 1000,
                "target_latency_ms": 800,
                "priority": 1,
            }
        ],
        "services": [{"name": SERVICE, "max_conns": 60}],
        "limits": {"max_body_bytes": 262144, "tx_idle_ms": 3000},
    }


def _fetch(url: str) -> str | None:
    try:
        with urllib.request.urlopen(url, timeout=2.0) as response:
            return response.read().decode()
    except OSError:
        return None
