"""The `demo` command: checks the proxy's main claims in one process.

It runs the stand-in store, a stand-in database group and three instances on
loopback, sends statements over real sockets with PyMySQL in threads, and prints
each claim with the result that was observed.
"""

import asyncio
import secrets
import threading
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field

import pymysql
import typer

from burdocksail.core import Instance, SystemClock, seconds
from burdocksail.node import PutObject
from burdocksail.shell import InstanceProcess, InstanceSettings
from burdocksail.standin import (
    StandInGroup,
    StandInGroupSettings,
    StoreServer,
    make_group_record,
    make_service_record,
    make_team_record,
)
from burdocksail.tools._errors import CommandError

HOST = "127.0.0.1"
DOMAINS = ("inari", "kajaani", "tampere")
DATABASE = "booking"
ACCOUNT = "desk"
PASSWORD = "demo-password"
REPLICATION_LAG = seconds(0.05)
START_TIMEOUT_S = 15.0
WRITER_COUNT = 6
LOAD_BEFORE_FAULT_S = 1.0  # also before and after the graceful stop
LOAD_AFTER_FAULT_S = 5.0
FAILOVER_GAP_LIMIT_S = 8.0
PLANNED_GAP_LIMIT_S = 0.5
SIGN_UP_SQL = "INSERT INTO signup (family) VALUES ('Aikio')"


@dataclass(frozen=True, slots=True)
class Claim:
    """A claim about the proxy with the result that was observed."""

    text: str
    observed: str
    holds: bool


@dataclass(slots=True)
class DemoSetup:
    """The servers and instances of the demo."""

    store: StoreServer = field(default_factory=StoreServer)
    group: StandInGroup = field(
        default_factory=lambda: StandInGroup("booking", DOMAINS)
    )
    instances: list[InstanceProcess] = field(default_factory=list)

    async def start(self) -> None:
        """Start the stand-ins and instances, and wait until they serve callers.

        Raises
        ------
        CommandError
            If they are not ready within `START_TIMEOUT_S`.
        """
        store_port = await self.store.start(HOST, 0)
        servers = await self.group.start(
            HOST, [0, 0, 0], StandInGroupSettings(lag=REPLICATION_LAG)
        )
        self._write_records(
            {
                "team/lumilinna": make_team_record("lumilinna"),
                "group/booking": make_group_record("booking", servers, 3, 20),
                "service/booking": make_service_record(
                    "booking", "lumilinna", {DATABASE: "booking"}, {ACCOUNT: PASSWORD}
                ),
            }
        )
        key = secrets.token_bytes(32)
        seeds: tuple[Instance, ...] = ()
        for index, domain in enumerate(DOMAINS):
            settings = InstanceSettings(
                name=f"instance-{index}",
                failure_domain=domain,
                host=HOST,
                sql_port=0,
                peer_port=0,
                admin_port=0,
                store_url=f"http://{HOST}:{store_port}",
                shared_key=key,
                seeds=seeds,
            )
            process = InstanceProcess(settings)
            await process.start()
            self.instances.append(process)
            seeds = (*seeds, process.instance)
        await self._wait_until_ready()

    def find_leader(self) -> InstanceProcess | None:
        """Return the instance that leads the group and has it open, or None."""
        for process in self.instances:
            groups = process.dump()["groups"]
            if any(group["phase"] == "open" for group in groups.values()):
                return process
        return None

    def find_primary(self) -> str:
        """Return the name of the group's current primary, empty without a leader."""
        leader = self.find_leader()
        return leader.dump()["groups"]["booking"]["primary"] if leader else ""

    async def close(self) -> None:
        """Stop the instances and the stand-ins."""
        for process in self.instances:
            await process.close()
        await self.group.close()
        await self.store.close()

    def _write_records(self, records: dict[str, str]) -> None:
        for path, text in records.items():
            self.store.model.perform(PutObject(f"records/{path}", text, 0))

    async def _wait_until_ready(self) -> None:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + START_TIMEOUT_S
        while loop.time() < deadline:
            ready = all(process.is_ready() for process in self.instances)
            if ready and self.find_leader() is not None:
                return
            await asyncio.sleep(0.05)
        raise CommandError("the demo's instances did not become ready in time")


class _WriterThreads:
    """Threads that insert rows without pause and record the outcomes.

    Attributes
    ----------
    acknowledged : list
        Time in seconds and value of each insert that succeeded.
    not_run : set
        Values whose insert was reported as not run.
    failures : list
        Error messages, in the order in which they came.
    """

    def __init__(self, setup: DemoSetup, table: str):
        self._setup = setup
        self._table = table
        self._stop = threading.Event()
        self._clock = SystemClock()
        self._threads = [
            threading.Thread(target=self._run, args=(index,), daemon=True)
            for index in range(WRITER_COUNT)
        ]
        self.acknowledged: list[tuple[float, int]] = []
        self.not_run: set[int] = set()
        self.failures: list[str] = []

    def start(self) -> None:
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def find_longest_gap(self) -> float:
        """Return the longest time without an acknowledged write, in seconds."""
        times = sorted(acknowledged_at for acknowledged_at, _ in self.acknowledged)
        gaps = [b - a for a, b in zip(times, times[1:], strict=False)]
        return max(gaps, default=0.0)

    def _run(self, index: int) -> None:
        connection = None
        value = index
        while not self._stop.is_set():
            try:
                if connection is None:
                    connection = self._connect()
                with connection.cursor() as cursor:
                    cursor.execute(f"INSERT INTO {self._table} (id) VALUES ({value})")
                self.acknowledged.append((self._clock.now().total_seconds(), value))
            except pymysql.MySQLError as error:
                self._record_failure(value, error)
                if (
                    connection is None
                    or not connection.open
                    or not _answers_ping(connection)
                ):
                    connection = None
            value += WRITER_COUNT

    def _record_failure(self, value: int, error: pymysql.MySQLError) -> None:
        text = str(error)
        if "not run" in text:
            self.not_run.add(value)
        self.failures.append(text)

    def _connect(self) -> pymysql.Connection:
        ready = [p for p in self._setup.instances if p.is_ready()]
        if not ready:
            raise pymysql.OperationalError(2003, "no instance is ready")
        process = ready[secrets.randbelow(len(ready))]
        return connect(process)


def connect(process: InstanceProcess) -> pymysql.Connection:
    """Return a connection of an ordinary MySQL client to an instance.

    Raises
    ------
    pymysql.MySQLError
        If the instance refuses the connection.
    """
    return pymysql.connect(
        host=HOST,
        port=process.sql_port,
        user=ACCOUNT,
        password=PASSWORD,
        database=DATABASE,
        autocommit=True,
        read_timeout=20,
    )


def _answers_ping(connection: pymysql.Connection | None) -> bool:
    if connection is None or not connection.open:
        return False
    with suppress(pymysql.MySQLError, OSError):
        connection.ping(reconnect=False)
        return True
    return False


def _query(connection: pymysql.Connection, sql: str) -> list[tuple]:
    with connection.cursor() as cursor:
        cursor.execute(sql)
        return list(cursor.fetchall())


def _check_repeated_request(setup: DemoSetup) -> Claim:
    """Check that a request sent to two instances concurrently runs only once."""
    first, second = (connect(process) for process in setup.instances[:2])
    _query(first, "CREATE TABLE signup (id INTEGER PRIMARY KEY, family TEXT)")
    outcomes = []

    def sign_up(connection: pymysql.Connection) -> None:
        _query(connection, "SET @burdocksail_request_key = 'aikio-2026-12'")
        with connection.cursor() as cursor:
            outcomes.append(cursor.execute(SIGN_UP_SQL))

    threads = [
        threading.Thread(target=sign_up, args=(client,)) for client in (first, second)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    rows = _query(first, "SELECT count(*) FROM signup")[0][0]
    text = "a signup sent twice through two instances is recorded once"
    return Claim(text, f"{len(outcomes)} answers, {rows} row", rows == 1)


def _check_read_your_writes(setup: DemoSetup) -> Claim:
    """Check that a replica read at another instance returns the preceding write."""
    replica_reads_before = _count_replica_reads(setup)
    writer = connect(setup.instances[0])
    reader = connect(setup.instances[2])
    missed_reads = 0
    for number in range(20):
        _query(writer, f"INSERT INTO signup (id, family) VALUES ({100 + number}, 'x')")
        token = _query(writer, "SELECT @burdocksail_token")[0][0]
        _query(reader, f"SET @burdocksail_token = '{token}'")
        found = _query(reader, f"SELECT id FROM signup WHERE id = {100 + number}")
        missed_reads += not found
    by_replica = _count_replica_reads(setup) - replica_reads_before
    text = "a write on one instance is read on another, from a replica"
    observed = f"20 written, {missed_reads} missed, {by_replica} reads by replicas"
    return Claim(text, observed, missed_reads == 0 and by_replica >= 10)


def _check_stated_age_reads(setup: DemoSetup) -> Claim:
    connection = connect(setup.instances[1])
    replica_reads_before = _count_replica_reads(setup)
    _query(connection, "SET @burdocksail_max_age_ms = 2000")
    for _ in range(20):
        _query(connection, "SELECT count(*) FROM signup")
    by_replica = _count_replica_reads(setup) - replica_reads_before
    text = "reads of a stated age of 2 s are served by replicas"
    return Claim(text, f"{by_replica} of 20 by replicas", by_replica >= 15)


def _count_replica_reads(setup: DemoSetup) -> int:
    return sum(
        process.dump()["counters"].get("reads_by_replica", 0)
        for process in setup.instances
    )


async def _check_failover(setup: DemoSetup) -> list[Claim]:
    """Check acknowledged and "not run" writes while a cut-off primary is replaced."""
    writers = _WriterThreads(setup, "failover")
    await asyncio.to_thread(_create_table, setup, "failover")
    writers.start()
    await asyncio.sleep(LOAD_BEFORE_FAULT_S)
    old_primary = setup.find_primary()
    setup.group.cut_server(old_primary)
    await asyncio.sleep(LOAD_AFTER_FAULT_S)
    await asyncio.to_thread(writers.stop)
    stored = await asyncio.to_thread(_read_ids, setup, "failover")
    lost_writes = sum(1 for _, value in writers.acknowledged if value not in stored)
    wrongly_not_run = len(writers.not_run & stored)
    setup.group.heal_server(old_primary)
    new_primary = setup.find_primary()
    gap = writers.find_longest_gap()
    return [
        Claim(
            "a primary that is cut off under load is replaced",
            f"{old_primary} by {new_primary}, gap {gap:.2f} s",
            new_primary != old_primary and gap < FAILOVER_GAP_LIMIT_S,
        ),
        Claim(
            "every acknowledged write survives it",
            f"{len(writers.acknowledged)} acknowledged, {lost_writes} lost",
            lost_writes == 0 and len(writers.acknowledged) > 0,
        ),
        Claim(
            "what was said not to have run did not run",
            f"{len(writers.not_run)} said, {wrongly_not_run} found",
            wrongly_not_run == 0,
        ),
    ]


async def _check_graceful_stop(setup: DemoSetup) -> Claim:
    """Check that a graceful stop of the leader under load loses no request."""
    writers = _WriterThreads(setup, "stopping")
    await asyncio.to_thread(_create_table, setup, "stopping")
    writers.start()
    await asyncio.sleep(LOAD_BEFORE_FAULT_S)
    leader = setup.find_leader()
    assert leader is not None
    leader.request_stop()
    await leader.wait_until_stopped()
    setup.instances.remove(leader)
    await asyncio.sleep(LOAD_BEFORE_FAULT_S)
    await asyncio.to_thread(writers.stop)
    # A caller that sends without pause is told to connect elsewhere, and its
    # statement has indeed not run. Any other failure is a request that was cut.
    cut_requests = [
        failure
        for failure in writers.failures
        if "the instance is stopping" not in failure
    ]
    stored = await asyncio.to_thread(_read_ids, setup, "stopping")
    lost_writes = sum(1 for _, value in writers.acknowledged if value not in stored)
    text = "a graceful stop of the leader under load cuts nothing"
    gap = writers.find_longest_gap()
    redirected = len(writers.failures) - len(cut_requests)
    observed = (
        f"{len(writers.acknowledged)} writes, {len(cut_requests)} cut, "
        f"{redirected} told to move, gap {gap:.2f} s"
    )
    return Claim(text, observed, not cut_requests and lost_writes == 0)


def _create_table(setup: DemoSetup, name: str) -> None:
    connection = connect(setup.instances[0])
    _query(connection, f"CREATE TABLE {name} (id INTEGER PRIMARY KEY)")
    connection.close()


def _read_ids(setup: DemoSetup, table: str) -> set[int]:
    connection = connect(setup.instances[0])
    _query(connection, "SET @burdocksail_read = 'primary'")
    return {row[0] for row in _query(connection, f"SELECT id FROM {table}")}


async def run_demo() -> bool:
    """Check all claims, print the results, and return whether all hold.

    Raises
    ------
    CommandError
        If the instances do not become ready in time.
    """
    setup = DemoSetup()
    claims: list[Claim] = []
    checks: list[Callable[[DemoSetup], Claim]] = [
        _check_repeated_request,
        _check_read_your_writes,
        _check_stated_age_reads,
    ]
    try:
        await setup.start()
        for check in checks:
            claims.append(await asyncio.to_thread(check, setup))
        claims.extend(await _check_failover(setup))
        claims.append(await _check_graceful_stop(setup))
    finally:
        await setup.close()
    _print_claims(claims)
    return all(claim.holds for claim in claims)


def _print_claims(claims: list[Claim]) -> None:
    width = max(len(claim.text) for claim in claims)
    for claim in claims:
        verdict = "holds" if claim.holds else "FAILS"
        typer.echo(f"{verdict}  {claim.text:{width}}  {claim.observed}")
