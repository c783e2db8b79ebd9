"""Measure of the processor time that a process takes until it listens.

Starts `platform/serve.py` as a process, as the platform does, on loopback addresses
and without a store. The time of an empty interpreter is subtracted.

The libraries are those that the build has installed in target/deps, or without a build
those of this environment, which has more of them; some import each other.
"""

import json
import os
import random
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

import burdocksail

ROOT = Path(burdocksail.__file__).parents[2]
LIBRARY_FOLDER = ROOT / "target" / "deps"
LIMIT_S = 0.15  # docs/PLAN.md, part 6
HOST = "127.0.0.1"
FIRST_PORTS = range(20_000, 30_000, 4)  # below those that the kernel gives out
POLL_INTERVAL_S = 0.001
START_TIMEOUT_S = 30.0
# Time after listening in which the process imports the rest and first asks the store.
SETTLING_S = 1.0


@dataclass(frozen=True, slots=True)
class StartupCost:
    """Processor time of a start, above that of an empty interpreter.

    Attributes
    ----------
    listening_s : float
        Seconds from exec until callers can connect.
    settled_s : float
        Seconds from exec until `SETTLING_S` later.
    """

    listening_s: float
    settled_s: float


def measure_startup(repetitions: int = 9) -> StartupCost:
    """Compile the modules as the build does; return the medians of several starts."""
    _run("platform/build.py")
    empty = statistics.median(
        float(_run("-c", "import time; print(time.process_time())"))
        for _ in range(repetitions)
    )
    costs = [_measure_start() for _ in range(repetitions)]
    return StartupCost(
        statistics.median(cost.listening_s for cost in costs) - empty,
        statistics.median(cost.settled_s for cost in costs) - empty,
    )


def _run(*arguments: str) -> str:
    command = [_find_interpreter(), *arguments]
    result = subprocess.run(
        command, cwd=ROOT, env=_make_environment(), check=True, stdout=subprocess.PIPE
    )
    return result.stdout.decode()


def _make_environment() -> dict[str, str]:
    """Return the variables that the platform sets."""
    variables = {n: os.environ[n] for n in ("PATH", "HOME") if n in os.environ}
    if LIBRARY_FOLDER.is_dir():
        variables["PYTHONPATH"] = str(LIBRARY_FOLDER)
    return variables


def _find_interpreter() -> str:
    """Return the interpreter to which the libraries belong."""
    if LIBRARY_FOLDER.is_dir():
        return str(Path(sys.base_prefix) / "bin" / "python3")
    return sys.executable


def _measure_start() -> StartupCost:
    first_port = _find_free_ports()
    with tempfile.TemporaryDirectory() as folder:
        settings_path = Path(folder) / "settings.yaml"
        settings_path.write_text(json.dumps(_make_settings(first_port)))
        process = subprocess.Popen(
            [_find_interpreter(), "platform/serve.py", "edge"],
            cwd=ROOT,
            env={**_make_environment(), "BURDOCKSAIL_CONFIG": str(settings_path)},
            stdout=subprocess.DEVNULL,
        )
        try:
            _wait_until_listening(process, first_port)
            listening_s = _read_processor_time(process.pid)
            time.sleep(SETTLING_S)
            return StartupCost(listening_s, _read_processor_time(process.pid))
        finally:
            process.kill()
            process.wait()


def _find_free_ports() -> int:
    """Return the first of four free ports in a row."""
    while True:
        first = random.choice(FIRST_PORTS)
        try:
            for port in range(first, first + 4):
                with socket.socket() as probe:
                    probe.bind((HOST, port))
        except OSError:
            continue
        return first


def _make_settings(first_port: int) -> dict[str, object]:
    unused = {"address": f"{HOST}:1"}
    return {
        "node_name": "measured",
        "ip": HOST,
        "zone": "domain",
        "zones": {"domain": "region"},
        "listen": {
            "front": f"{HOST}:{first_port}",
            "ready": f"{HOST}:{first_port + 1}",
        },
        "internal_ports": [first_port + 2],
        "platform": unused,
        "cloud_api": unused,
    }


def _wait_until_listening(process: subprocess.Popen, port: int) -> None:
    for _ in range(int(START_TIMEOUT_S / POLL_INTERVAL_S)):
        with socket.socket() as connection:
            if connection.connect_ex((HOST, port)) == 0:
                return
        if process.poll() is not None:
            raise RuntimeError(f"the process ended with status {process.returncode}")
        time.sleep(POLL_INTERVAL_S)
    raise TimeoutError("the process does not listen")


def _read_processor_time(pid: int) -> float:
    """Return the processor time of a process with one thread, in seconds."""
    nanoseconds = Path(f"/proc/{pid}/schedstat").read_text().split()[0]
    return int(nanoseconds) / 1e9
