"""Closed-loop load generator for the `load` command.

Each connection sends short statements, one at a time.
"""

import asyncio
import random
from dataclasses import dataclass, field

import asyncmy
import asyncmy.errors
import typer
from hdrh.histogram import HdrHistogram

from burdocksail.core import Clock, SystemClock
from burdocksail.node import make_histogram, summarise_histogram
from burdocksail.tools._errors import CommandError

PROGRESS_INTERVAL_S = 1.0
ROW_COUNT = 1000
TABLE_NAME = "burdocksail_load"


@dataclass(frozen=True, slots=True)
class LoadSettings:
    """Settings of a load run.

    Attributes
    ----------
    addresses : tuple of str
        ``host:port`` of the instances; connections are spread round robin.
    write_share : float
        Fraction of statements that are writes, from 0 to 1.
    """

    addresses: tuple[str, ...]
    account: str
    password: str
    database: str
    connections: int
    duration_s: float
    write_share: float


@dataclass(slots=True)
class LoadResult:
    """Measurements of a load run.

    Attributes
    ----------
    reads, writes : HdrHistogram
        Latencies in microseconds.
    errors : dict
        Number of failed statements by MySQL error code, 0 if it has none.
    """

    reads: HdrHistogram = field(default_factory=make_histogram)
    writes: HdrHistogram = field(default_factory=make_histogram)
    errors: dict[int, int] = field(default_factory=dict)

    def count(self) -> int:
        """Return the number of statements that succeeded."""
        return self.reads.get_total_count() + self.writes.get_total_count()


async def run_load(settings: LoadSettings) -> LoadResult:
    """Run a load and print its progress and a latency table.

    Raises
    ------
    CommandError
        If an address is malformed or a connection cannot be opened.
    """
    await _prepare_table(settings)
    result = LoadResult()
    clock = SystemClock()
    end_s = clock.now().total_seconds() + settings.duration_s
    callers = [
        asyncio.create_task(_run_caller(settings, result, clock, index, end_s))
        for index in range(settings.connections)
    ]
    await _show_progress(result, clock, end_s)
    await asyncio.gather(*callers)
    _print_results(settings, result)
    return result


async def _connect(settings: LoadSettings, index: int) -> asyncmy.Connection:
    address = settings.addresses[index % len(settings.addresses)]
    host, _, port = address.rpartition(":")
    try:
        return await asyncmy.connect(
            host=host,
            port=int(port),
            user=settings.account,
            password=settings.password,
            database=settings.database,
            autocommit=None,
        )
    except (asyncmy.errors.MySQLError, OSError, ValueError) as error:
        raise CommandError(f"{address}: {error}") from error


async def _prepare_table(settings: LoadSettings) -> None:
    connection = await _connect(settings, 0)
    cursor = connection.cursor()
    await cursor.execute(
        f"CREATE TABLE IF NOT EXISTS {TABLE_NAME} (id INT PRIMARY KEY, value INT)"
    )
    await cursor.execute(f"DELETE FROM {TABLE_NAME}")
    rows = ",".join(f"({i},0)" for i in range(ROW_COUNT))
    await cursor.execute(f"INSERT INTO {TABLE_NAME} VALUES {rows}")
    connection.close()


async def _run_caller(
    settings: LoadSettings, result: LoadResult, clock: Clock, index: int, end_s: float
) -> None:
    connection = await _connect(settings, index)
    cursor = connection.cursor()
    generator = random.Random(index)
    while clock.now().total_seconds() < end_s:
        row = generator.randrange(ROW_COUNT)
        is_write = generator.random() < settings.write_share
        sql = f"SELECT value FROM {TABLE_NAME} WHERE id = {row}"
        if is_write:
            sql = f"UPDATE {TABLE_NAME} SET value = value + 1 WHERE id = {row}"
        started = clock.now()
        try:
            await cursor.execute(sql)
        except asyncmy.errors.MySQLError as error:
            code = error.args[0] if error.args else 0
            result.errors[code] = result.errors.get(code, 0) + 1
            continue
        elapsed = (clock.now() - started).total_seconds()
        histogram = result.writes if is_write else result.reads
        histogram.record_value(max(1, round(elapsed * 1e6)))
    connection.close()


async def _show_progress(result: LoadResult, clock: Clock, end_s: float) -> None:
    previous_count = 0
    while (remaining_s := end_s - clock.now().total_seconds()) > 0:
        await asyncio.sleep(min(PROGRESS_INTERVAL_S, remaining_s))
        count = result.count()
        errors = sum(result.errors.values())
        typer.echo(
            f"{count - previous_count} statements, {errors} errors so far", err=True
        )
        previous_count = count


def _print_results(settings: LoadSettings, result: LoadResult) -> None:
    typer.echo(f"{result.count() / settings.duration_s:.0f} statements/s")
    for name, histogram in (("reads", result.reads), ("writes", result.writes)):
        summary = summarise_histogram(histogram)
        cells = "  ".join(f"{key} {value:.2f}" for key, value in summary.items())
        typer.echo(f"{name:7} {cells}")
    for code, count in sorted(result.errors.items()):
        typer.echo(f"error {code}: {count}")
