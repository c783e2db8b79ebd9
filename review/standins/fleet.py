"""Starts instances as the deploy file does, and speaks to them as clients."""

import asyncio
import json
import os
import signal
import socket
import sys
import tempfile
import time
import urllib.request
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
RUN = ["python3", "platform/serve.py", "edge"]  # of deploy/system.toml
LIMIT = (1 << 20) + 2


class CannotRun(Exception):
    """The case could not be set up; says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, path: Path):
        self._file = path.open("w", encoding="utf-8")
        self._started_at = time.monotonic()
        self.entries: list[tuple[float, str, dict]] = []

    def __call__(self, event: str, **fields) -> None:
        """Write an event, with the seconds since the start."""
        now = time.monotonic()
        self.entries.append((now, event, fields))
        text = " ".join(f"{k}={v}" for k, v in fields.items())
        self._file.write(f"{now - self._started_at:9.3f} {event} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


def find_free_ports(hosts: list[str], count: int) -> list[int]:
    """Return ports that are free for TCP and UDP at all hosts."""
    # Two cases that start at the same time begin to look at different ports.
    start = 21000 + os.getpid() % 100 * 97
    for first in range(start, 32000, 97):
        ports = list(range(first, first + count))
        if all(_is_free(host, port) for host in hosts for port in ports):
            return ports
    raise CannotRun("no free ports")


def _is_free(host: str, port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True


class Instance:
    """One instance of the project as a process of its own."""

    def __init__(self, name: str, settings: dict, folder: Path, record: Record):
        self.name = name
        self.settings = settings
        self._folder = folder
        self._record = record
        self._process: asyncio.subprocess.Process | None = None
        self._path = folder / f"{name}.yaml"
        self._path.write_text(json.dumps(settings), encoding="utf-8")

    @property
    def front(self) -> tuple[str, int]:
        """Return the address for clients."""
        host, port = self.settings["listen"]["front"].split(":")
        return host, int(port)

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment["BURDOCKSAIL_CONFIG"] = str(self._path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        log = (self._folder / f"{self.name}.log").open("ab")
        self._process = await asyncio.create_subprocess_exec(
            *RUN, cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        log.close()
        self._record("instance started", instance=self.name)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self._process is not None and self._process.returncode is None:
            self._record("signal", instance=self.name, signal=number.name)
            self._process.send_signal(number)

    async def wait(self) -> int:
        """Wait until the process has ended; return its status."""
        return await self._process.wait()

    @property
    def returncode(self) -> int | None:
        """Return the status of the process, None while it runs."""
        return None if self._process is None else self._process.returncode

    async def is_ready(self) -> bool:
        """Return whether the ready probe is answered with 200."""
        url = f"http://{self.settings['listen']['ready']}/burdocksail/ready"
        return await asyncio.to_thread(_probe, url)

    async def dump(self) -> dict:
        """Return the state dump of the instance."""
        port = self.settings["internal_ports"][0] + 1
        url = f"http://{self.settings['ip']}:{port}/dump"
        return await asyncio.to_thread(_fetch, url)

    def read_log(self) -> list[dict]:
        """Return the log lines so far."""
        lines = (self._folder / f"{self.name}.log").read_text("utf-8").splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]


def _probe(url: str) -> bool:
    try:
        with urllib.request.urlopen(url, timeout=1.0) as response:
            return response.status == 200
    except OSError:
        return False


def _fetch(url: str) -> dict:
    with urllib.request.urlopen(url, timeout=2.0) as response:
        return json.load(response)


class Client:
    """One client session, which sends one statement at a time."""

    def __init__(self, record: Record, name: str):
        self.name = name
        self.state = "I"
        self._record = record
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def start(self, address: tuple[str, int], database: str) -> bool:
        """Open the session; return whether it was accepted."""
        self._reader, self._writer = await asyncio.open_connection(
            *address, limit=LIMIT
        )
        self._writer.write(f"START {database} {self.name}\r\n".encode())
        line = await self._read_line()
        return line is not None and line.startswith("READY")

    async def query(
        self, request_id: str, text: str
    ) -> tuple[str, str, list[str]] | None:
        """Send a statement; return word, rest and rows of the answer.

        None if the connection ended without a complete answer.
        """
        self._record("sent", client=self.name, id=request_id, text=repr(text))
        try:
            self._writer.write(f"QUERY {request_id} {text}\r\n".encode())
            rows, answer = [], None
            while True:
                line = await self._read_line()
                if line is None:
                    self._record("no answer", client=self.name, id=request_id)
                    return None
                word, _, rest = line.partition(" ")
                if word == "ROW":
                    rows.append(rest)
                elif word == "READY":
                    self.state = rest.split(" ")[0]
                    break
                else:
                    answer = (word, rest, rows)
        except OSError:
            self._record("no answer", client=self.name, id=request_id)
            return None
        self._record(
            "answered", client=self.name, id=request_id, answer=answer[:2], rows=rows
        )
        return answer

    def close(self) -> None:
        """Close the session."""
        if self._writer is not None:
            self._writer.close()

    async def _read_line(self) -> str | None:
        try:
            line = await self._reader.readuntil(b"\n")
        except (asyncio.IncompleteReadError, OSError):
            return None
        return line[:-2].decode()


def make_settings(
    name: str,
    host: str,
    zone: str,
    zones: dict[str, str],
    ports: list[int],
    seeds: list[str],
    store: str,
    cloud: str,
    bounds: dict,
    bootstrap: bool = True,
) -> dict:
    """Return a settings file as DEPLOY.md shows it."""
    front, ready, control, internal = ports[0], ports[1], ports[2], ports[3]
    return {
        "node_name": name,
        "role": "edge",
        "machine_class": "edge",
        "serves": ["edge", "control"],
        "ip": host,
        "zone": zone,
        "region": zones[zone],
        "zones": zones,
        "listen": {
            "front": f"{host}:{front}",
            "ready": f"{host}:{ready}",
            "control": f"{host}:{control}",
        },
        "internal_ports": [internal, internal + 1],
        "seeds": [f"{seed}:{control}" for seed in seeds],
        "bootstrap": bootstrap,
        "counts_as_loss": False,
        "limits": {"cpu_share": 0.537, "cores": 2, "memory_mb": 300, "max_fds": 4200},
        "data_dir": None,
        "discovery": "platform",
        "entry": "vip",
        "heartbeat_ms": 1200,
        "fault_tolerance": {"machines": 2, "zones": 0, "regions": 0},
        "bounds": bounds,
        "platform": {
            "address": store,
            "form": "objects",
            "writes_per_s": 400,
            "reads_per_s": 2000,
            "history_s": 20,
            "value_bytes": 1048576,
            "ttl_min_ms": 1000,
        },
        "cloud_api": {
            "address": cloud,
            "rate_per_s": 50.0,
            "duties": ["promotion"],
            "duty_per_s": 50.0,
        },
    }


def run_case(main, here: Path, time_limit: float = 115.0) -> None:
    """Run a scenario and exit with 0 (held), 1 (broken) or 2 (could not run).

    `main` is called with the record, a temporary folder and whether the disruption
    is wanted; it returns whether the rule held. Its instances are killed at the end.
    """
    if not (ROOT / "target" / "deps").is_dir():
        print("target/deps is missing: build first")
        sys.exit(2)
    record = Record(here / "record.txt")
    disturbed = os.environ.get("TROUBLE", "1") != "0"
    instances: list[Instance] = []

    async def run() -> bool:
        with tempfile.TemporaryDirectory() as folder:
            try:
                async with asyncio.timeout(time_limit):
                    return await main(record, Path(folder), disturbed, instances)
            finally:
                for instance in instances:
                    instance.send_signal(signal.SIGKILL)
                for instance in instances:
                    if instance.returncode is None:
                        await instance.wait()

    try:
        held = asyncio.run(run())
    except Exception as error:
        # An error of the script says nothing about the rule.
        record("could not run", error=repr(error))
        print(f"could not run: {error!r}")
        sys.exit(2)
    record("result", held=held, disturbed=disturbed)
    print("held" if held else "broken")
    sys.exit(0 if held else 1)
