"""Instances as the deploy file starts them, each at a loopback address of its own."""

import asyncio
import json
import os
import signal
import socket
import subprocess
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
COMMAND = ["python3", "platform/serve.py", "edge"]
ZONES = {"piedmont-a": "piedmont", "coastal-a": "coastal", "wiregrass-a": "wiregrass"}
MEMORY_MB = 300  # of an `edge` machine of the small deployments


def find_free_ports(count: int) -> int:
    """Return the first of `count` ports that are free at all loopback addresses."""
    # Cases that run at the same time begin their search at different ports.
    start = 21000 + 50 * (os.getpid() % 200)
    for first in range(start, 60000, 50):
        if all(_is_free(first + i) for i in range(count)):
            return first
    raise OSError("no free ports")


def _is_free(port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind(("0.0.0.0", port))
            except OSError:
                return False
    return True


class Instance:
    """One process of the system."""

    def __init__(self, folder: Path, number: int, port: int, settings: dict):
        self.name = f"edge-{number}"
        self.host = f"127.0.0.{10 + number}"
        self.port = port
        self.started_at = 0.0
        zone = list(ZONES)[number % len(ZONES)]
        self._log = folder / f"{self.name}.log"
        self._path = folder / f"{self.name}.yaml"
        self._process: subprocess.Popen | None = None
        own = {
            "node_name": self.name,
            "role": "edge",
            "machine_class": "edge",
            "serves": ["edge", "control"],
            "ip": self.host,
            "zone": zone,
            "region": ZONES[zone],
            "zones": ZONES,
            "listen": {
                "front": f"{self.host}:{port}",
                "ready": f"{self.host}:{port + 1}",
                "control": f"{self.host}:{port + 2}",
            },
            "internal_ports": [port + 3, port + 18],
        }
        self._path.write_text(json.dumps({**settings, **own}))

    @property
    def pid(self) -> int:
        """Return the number of the process."""
        return self._process.pid

    def start(self) -> None:
        """Start the process."""
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["BURDOCKSAIL_CONFIG"] = str(self._path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        self.started_at = time.time()
        with open(self._log, "ab") as log:
            self._process = subprocess.Popen(
                COMMAND, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def poll(self) -> int | None:
        """Return the exit code, None while the process runs."""
        return self._process.poll()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal if the process runs."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    def stop(self) -> None:
        """Kill the process and wait for its end."""
        if self._process is not None:
            if self._process.poll() is None:
                self._process.kill()
            self._process.wait()

    def read_memory_mb(self) -> float:
        """Return the resident memory in MiB, 0 once the process has ended."""
        try:
            status = Path(f"/proc/{self.pid}/status").read_text()
        except OSError:
            return 0.0
        for line in status.splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
        return 0.0

    def read_log(self) -> str:
        """Return what the process has written."""
        return self._log.read_text(errors="replace")

    async def get(self, path: str, port: int | None = None) -> tuple[int, str]:
        """Return status and body of a page, 0 without an answer."""
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.host, port or self.port + 1), 1.0
            )
            writer.write(
                f"GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode()
            )
            data = await asyncio.wait_for(reader.read(-1), 2.0)
            writer.close()
            head, _, body = data.decode().partition("\r\n\r\n")
            return int(head.split(" ")[1]), body
        except (OSError, TimeoutError, ValueError, IndexError):
            return 0, ""

    async def wait_until_ready(self, timeout: float = 25.0) -> bool:
        """Return whether the process reports itself ready in time."""
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            if (await self.get("/burdocksail/ready"))[0] == 200:
                return True
            await asyncio.sleep(0.1)
        return False


def make_settings(store: str, cloud: str, seeds: list[str]) -> dict:
    """Return the settings that all instances share, as in a small deployment."""
    return {
        "seeds": seeds,
        "bootstrap": True,
        "counts_as_loss": False,
        "limits": {
            "cpu_share": 0.537,
            "cores": 2,
            "memory_mb": MEMORY_MB,
            "max_fds": 4200,
            "link_mbps": 1000.0,
            "disk_mb": 0,
        },
        "data_dir": None,
        "discovery": "platform",
        "entry": "vip",
        "heartbeat_ms": 1200,
        "contracts": ["base", "drain", "config", "cost", "recover", "sql", "platform"],
        "fault_tolerance": {"machines": 2, "zones": 0, "regions": 0},
        "bounds": {
            "seed_lag_s": 3,
            "addr_reuse_s": 2,
            "stable_window_ms": 5000,
            "ack_timeout_ms": 6000,
            "catch_up_s": 4,
            "drain_ms": 7000,
            "grace_s": 6,
            "loss_slack_ms": 200,
            "config_apply_ms": 4000,
            "downgrade_slack_ms": 250,
            "max_skew_ms": 15000,
            "recovery_s": 12,
            "fencing_required": False,
            "thaw_slack_ms": 300,
        },
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
