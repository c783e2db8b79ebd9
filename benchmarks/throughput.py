"""Compares throughput and latency through one instance with direct connections.

Client, instance and stand-in server run in the one event loop of this process and
share a core, so a statement through the instance pays for one more hop of the same
kind. Both ways are measured in turn, in one run.
"""

import asyncio
import gc
import json
import resource
from pathlib import Path

import asyncmy
import typer

from burdocksail.core import SystemClock, seconds
from burdocksail.node import PutObject, make_histogram, summarise_histogram
from burdocksail.shell import InstanceProcess, InstanceSettings, configure_logging
from burdocksail.standin import (
    GROUP_PASSWORD,
    GROUP_USER,
    StandInGroup,
    StandInGroupSettings,
    StoreServer,
    make_group_record,
    make_service_record,
    make_team_record,
)

HOST = "127.0.0.1"
READ_SQL = "SELECT n FROM stock WHERE id = 7"
CONNECTIONS = (1, 32, 256)
SLOTS = 64
CONNECTION_LIMIT = 1000
ROUND_S = 2.0
ROUNDS = 3
IDLE_CONNECTIONS = 3200


class BenchmarkSetup:
    """One instance in front of one stand-in group."""

    def __init__(self) -> None:
        self.store = StoreServer()
        self.group = StandInGroup("bench", ("a", "b"))
        self.instance: InstanceProcess | None = None
        self.direct_port = 0

    async def start(self) -> None:
        """Start the store, the group and the instance, and create the table."""
        store_port = await self.store.start(HOST, 0)
        settings = StandInGroupSettings(
            lag=seconds(0.005),
            slots=SLOTS,
            connections=CONNECTION_LIMIT,
            connect_delay=seconds(0),
        )
        servers = await self.group.start(HOST, [0, 0], settings)
        self.direct_port = servers[1].port
        records = {
            "team/bench": make_team_record("bench"),
            "group/bench": make_group_record("bench", servers, SLOTS, CONNECTION_LIMIT),
            "service/bench": make_service_record(
                "bench", "bench", {"bench": "bench"}, {"desk": "password"}
            ),
        }
        for path, text in records.items():
            self.store.model.perform(PutObject(f"records/{path}", text, 0))
        self.instance = InstanceProcess(
            InstanceSettings(
                "bench", "a", HOST, 0, 0, 0, f"http://{HOST}:{store_port}", b"k" * 16
            )
        )
        await self.instance.start()
        while not any(
            group["phase"] == "open"
            for group in self.instance.dump()["groups"].values()
        ):
            await asyncio.sleep(0.05)
        connection = await self.connect_to_proxy()
        cursor = connection.cursor()
        await cursor.execute("CREATE TABLE stock (id INTEGER PRIMARY KEY, n INTEGER)")
        await cursor.execute("INSERT INTO stock VALUES (7, 7)")
        await asyncio.sleep(0.5)

    async def connect_to_proxy(self) -> asyncmy.Connection:
        """Return a connection of a caller to the instance."""
        return await asyncmy.connect(
            host=HOST,
            port=self.instance.sql_port,
            user="desk",
            password="password",
            database="bench",
            autocommit=None,
        )

    async def connect_direct(self) -> asyncmy.Connection:
        """Return a direct connection to the stand-in server."""
        return await asyncmy.connect(
            host=HOST,
            port=self.direct_port,
            user=GROUP_USER,
            password=GROUP_PASSWORD,
            autocommit=None,
        )


async def run_round(connections: list[asyncmy.Connection]) -> dict[str, float]:
    """Return the statements per second and the latency quantiles of one round."""
    histogram = make_histogram()
    clock = SystemClock()
    end = clock.now() + seconds(ROUND_S)

    async def run(connection: asyncmy.Connection) -> None:
        cursor = connection.cursor()
        while (started := clock.now()) < end:
            await cursor.execute(READ_SQL)
            elapsed = (clock.now() - started).total_seconds()
            histogram.record_value(max(1, round(elapsed * 1e6)))

    await asyncio.gather(*(run(connection) for connection in connections))
    summary = summarise_histogram(histogram)
    summary["statements_per_s"] = summary["count"] / ROUND_S
    return summary


async def compare(setup: BenchmarkSetup, count: int) -> dict[str, float]:
    """Measure both ways in turn over `count` connections, and return the medians."""
    proxied = [await setup.connect_to_proxy() for _ in range(count)]
    direct = [await setup.connect_direct() for _ in range(count)]
    rounds = []
    for _ in range(ROUNDS):
        proxied_summary = await run_round(proxied)
        direct_summary = await run_round(direct)
        rounds.append(
            {
                "ratio": proxied_summary["statements_per_s"]
                / direct_summary["statements_per_s"],
                "statements_per_s": proxied_summary["statements_per_s"],
                "direct_per_s": direct_summary["statements_per_s"],
                "added_p50_ms": proxied_summary["p50_ms"] - direct_summary["p50_ms"],
                "added_p99_ms": proxied_summary["p99_ms"] - direct_summary["p99_ms"],
            }
        )
    for connection in proxied + direct:
        connection.close()
    return {key: sorted(r[key] for r in rounds)[len(rounds) // 2] for key in rounds[0]}


async def measure_idle_connections(setup: BenchmarkSetup) -> tuple[int, float]:
    """Return the number of idle connections held and the bytes per connection.

    The client's side of each connection is in this process too, so the bytes are
    an upper bound of what the instance uses.
    """
    gc.collect()
    bytes_before = _resident_bytes()
    idle_connections = []
    for _ in range(IDLE_CONNECTIONS):
        idle_connections.append(await setup.connect_to_proxy())
    gc.collect()
    bytes_used = _resident_bytes() - bytes_before
    accepted = setup.instance.dump()["process"]["sql_connections"]
    for connection in idle_connections:
        connection.close()
    return min(accepted, len(idle_connections)), bytes_used / len(idle_connections)


def _resident_bytes() -> int:
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize()


async def main() -> None:
    """Run the benchmark and write build/bench.json."""
    configure_logging("bench", "local", "error")
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    setup = BenchmarkSetup()
    await setup.start()
    figures = {}
    for count in CONNECTIONS:
        figures[count] = await compare(setup, count)
        cells = "  ".join(f"{k} {v:.3f}" for k, v in figures[count].items())
        typer.echo(f"{count:4} connections  {cells}")
    idle, idle_bytes = await measure_idle_connections(setup)
    typer.echo(f"{idle} idle connections, {idle_bytes:.0f} bytes each")
    result = {
        "throughput_ratio": {str(c): f["ratio"] for c, f in figures.items()},
        "statements_per_s": {str(c): f["statements_per_s"] for c, f in figures.items()},
        "direct_statements_per_s": {
            str(c): f["direct_per_s"] for c, f in figures.items()
        },
        "added_p50_ms": {str(c): f["added_p50_ms"] for c, f in figures.items()},
        "added_p99_ms": {str(c): f["added_p99_ms"] for c, f in figures.items()},
        "idle_connections": idle,
        "bytes_per_connection": idle_bytes,
    }
    Path("build").mkdir(exist_ok=True)
    Path("build/bench.json").write_text(json.dumps(result, indent=2) + "\n")


if __name__ == "__main__":
    asyncio.run(main())
