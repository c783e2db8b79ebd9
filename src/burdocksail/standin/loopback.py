"""The `burdocksail serve` program on loopback, before stand-ins in this process."""

import asyncio
import json
import os
import secrets
import sys
import tempfile
import time
import urllib.request
from pathlib import Path

import pymysql

from burdocksail.node import PutObject
from burdocksail.standin._group_server import StandInGroup, StandInGroupSettings
from burdocksail.standin._records import (
    make_group_record,
    make_service_record,
    make_team_record,
)
from burdocksail.standin._store_server import StoreServer

HOST = "127.0.0.1"
DATABASE = "bench"
ACCOUNT = "desk"
PASSWORD = "password"
SLOTS = 8
CONNECTION_LIMIT = 40
READY_TIMEOUT = 30.0  # seconds
REQUEST_TIMEOUT = 20.0  # seconds, in which an ordinary caller tries again
CALL_TIMEOUT = 5  # seconds


class ServeProcess:
    """One process of the program.

    Parameters
    ----------
    flags : list of str
        Flags of the command.
    environment : dict of str to str
        Variables besides those of this process.
    """

    def __init__(
        self, name: str, folder: Path, flags: list[str], environment: dict[str, str]
    ):
        self.name = name
        self.sql_port = self.peer_port = self.admin_port = 0
        self._log_path = folder / f"{name}.log"
        self._flags = flags
        self._environment = environment
        self._process: asyncio.subprocess.Process | None = None

    @property
    def pid(self) -> int:
        """Return the number of the process."""
        return self._process.pid

    @property
    def returncode(self) -> int | None:
        """Return the exit status, None while the process runs."""
        return self._process.returncode

    async def start(self) -> None:
        """Start the process and read its ports from its log."""
        with self._log_path.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "burdocksail",
                "serve",
                *self._flags,
                env={**os.environ, **self._environment},
                stdout=log,
                stderr=log,
            )
        end = time.monotonic() + READY_TIMEOUT
        while True:
            for line in self._log_path.read_text("utf-8").splitlines():
                entry = json.loads(line) if line.startswith("{") else {}
                if entry.get("event") == "started":
                    self.sql_port = entry["sql_port"]
                    self.peer_port = entry["peer_port"]
                    self.admin_port = entry["admin_port"]
                    return
            if self.returncode is not None or time.monotonic() > end:
                raise TimeoutError(self._log_path.read_text("utf-8"))
            await asyncio.sleep(0.05)

    async def fetch(self, path: str) -> str | None:
        """Return a page for operators, None without one."""
        url = f"http://{HOST}:{self.admin_port}{path}"
        return await asyncio.to_thread(_fetch, url)

    async def stop(self) -> None:
        """Kill the process and wait until it has ended."""
        if self._process is not None and self.returncode is None:
            self._process.kill()
            await self._process.wait()


class SqlDeployment:
    """Store and database group in this process, and one process of the program.

    Parameters
    ----------
    environment : dict of str to str
        Variables of the program besides those of this process.
    """

    def __init__(self, environment: dict[str, str]):
        self._environment = environment
        self._store = StoreServer()
        self._group = StandInGroup("bench", ("a",))
        self._folder = tempfile.TemporaryDirectory()
        self.process: ServeProcess | None = None

    async def start(self) -> None:
        """Start everything and wait until an ordinary request is answered."""
        store_port = await self._store.start(HOST, 0)
        settings = StandInGroupSettings(slots=SLOTS, connections=CONNECTION_LIMIT)
        servers = await self._group.start(HOST, [0], settings)
        records = {
            "team/bench": make_team_record("bench"),
            "group/bench": make_group_record("bench", servers, SLOTS, CONNECTION_LIMIT),
            "service/bench": make_service_record(
                "bench", "bench", {DATABASE: "bench"}, {ACCOUNT: PASSWORD}
            ),
        }
        for path, text in records.items():
            self._store.model.perform(PutObject(f"records/{path}", text, 0))
        flags = {
            "--name": "a",
            "--failure-domain": "a",
            "--store-url": f"http://{HOST}:{store_port}",
            "--sql-port": "0",
            "--peer-port": "0",
            "--admin-port": "0",
            "--shared-key": secrets.token_hex(16),
        }
        arguments = [part for flag in flags.items() for part in flag]
        folder = Path(self._folder.name)
        self.process = ServeProcess("a", folder, arguments, self._environment)
        await self.process.start()
        if not await self.request():
            raise TimeoutError("the instance does not get ready")

    async def request(self) -> bool:
        """Return whether an ordinary caller gets an answer to its statement.

        It tries again while it is refused, as callers do.
        """
        end = time.monotonic() + REQUEST_TIMEOUT
        while time.monotonic() < end:
            if await asyncio.to_thread(_run_statement, self.process.sql_port):
                return True
            await asyncio.sleep(0.2)
        return False

    async def stop(self) -> None:
        """Kill the process and stop the stand-ins."""
        if self.process is not None:
            await self.process.stop()
        await self._group.close()
        await self._store.close()
        self._folder.cleanup()


def _run_statement(port: int) -> bool:
    try:
        connection = pymysql.connect(
            host=HOST,
            port=port,
            user=ACCOUNT,
            password=PASSWORD,
            database=DATABASE,
            connect_timeout=CALL_TIMEOUT,
            read_timeout=CALL_TIMEOUT,
        )
    except (OSError, pymysql.Error):
        return False
    try:
        with connection.cursor() as cursor:
            cursor.execute("SELECT 1")
            return True
    except (OSError, pymysql.Error):
        return False
    finally:
        connection.close()


def _fetch(url: str) -> str | None:
    try:
        with urllib.request.urlopen(url, timeout=2.0) as response:
            return response.read().decode()
    except OSError:
        return None
