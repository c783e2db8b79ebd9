"""The four measures of the brief, in virtual time, against a naive baseline.

The baseline is evidently right and does nothing clever: every statement waits
in one queue for a slot of the primary, nothing is refused, and nobody orders a
promotion, so an outage of the primary lasts until the primary returns.
"""

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

from burdocksail.core import Answer, Outcome, seconds
from burdocksail.node import PutObject, StatementOptions
from burdocksail.standin import (
    Driver,
    DriverSettings,
    make_group_record,
    make_service_record,
    make_team_record,
)

GROUP = "measured"
DATABASE = "measured"
ACCOUNT = "desk"
OPEN_LIMIT = seconds(30)
PRIMARY_OUTAGE = seconds(30)
SHORT_S = 0.004
LONG_FACTOR = 50
LONG_SHARE = 0.02
DEADLINE = seconds(0.5)


@dataclass(frozen=True, slots=True)
class Deployment:
    """Sizes of one of the brief's users."""

    name: str
    domains: tuple[str, ...]
    domain_delay: timedelta
    slots: int
    connections: int


LUMILINNA = Deployment(
    "lumilinna", ("inari", "kajaani", "tampere"), seconds(0.0015), 3, 20
)
TALLAPOOSA = Deployment(
    "tallapoosa", ("piedmont-a", "coastal-a", "wiregrass-a"), seconds(0.001), 5, 60
)


@dataclass(frozen=True, slots=True)
class Sample:
    """One statement of an open-loop load."""

    sent_at: timedelta
    answered_at: timedelta
    outcome: Outcome
    is_long: bool
    is_write: bool

    @property
    def latency_ms(self) -> float:
        """Return the time to the answer in milliseconds."""
        return (self.answered_at - self.sent_at).total_seconds() * 1000


@dataclass(slots=True)
class Arrival:
    """One statement that is going to be sent."""

    at: timedelta
    is_long: bool
    is_write: bool


@dataclass(slots=True)
class Bench:
    """A platform in virtual time with an open-loop load."""

    deployment: Deployment
    seed: int
    lag: timedelta = seconds(0.05)
    nodes: int = 6
    driver: Driver = field(init=False)
    samples: list[Sample] = field(default_factory=list)
    sent: int = 0

    def start(self) -> None:
        """Start all parts and wait until the group is open."""
        settings = DriverSettings(
            domains=self.deployment.domains,
            domain_delay=self.deployment.domain_delay,
            work_time=timedelta(),
            lag=self.lag,
            slots=self.deployment.slots,
        )
        self.driver = Driver(settings, self.seed)
        self.driver.add_group(GROUP)
        servers = self.driver.describe_group(GROUP)
        deployment = self.deployment
        self._put("team/team", make_team_record("team"))
        self._put(
            f"group/{GROUP}",
            make_group_record(GROUP, servers, deployment.slots, deployment.connections),
        )
        self._put(
            "service/measured",
            make_service_record(
                "measured", "team", {DATABASE: GROUP}, {ACCOUNT: "password"}
            ),
        )
        for index in range(self.nodes):
            domain = deployment.domains[index % len(deployment.domains)]
            self.driver.add_node(f"node-{index}", domain)
        self.driver.run_until(lambda: self.find_leader() is not None, OPEN_LIMIT)
        self.run_statement("CREATE TABLE stock (id INTEGER PRIMARY KEY, n INTEGER)")
        rows = ",".join(f"({i},0)" for i in range(100))
        self.run_statement(f"INSERT INTO stock VALUES {rows}")
        self.driver.run_for(seconds(2))

    def find_leader(self) -> str | None:
        """Return the node that serves the group."""
        for name, node in self.driver.nodes.items():
            runtime = node.node.board.work.runtimes.get(GROUP)
            if node.alive and runtime is not None and runtime.phase.value == "open":
                return name
        return None

    def find_primary(self) -> str:
        """Return the primary that the leader uses."""
        leader = self.find_leader()
        if leader is None:
            return ""
        return self.driver.nodes[leader].node.board.work.runtimes[GROUP].primary

    def run_statement(self, sql: str) -> Answer:
        """Run one statement and return its answer."""
        answers: list[Answer] = []
        self._send(sql, StatementOptions(), answers.append)
        self.driver.run_until(lambda: bool(answers), seconds(10))
        return answers[0]

    def play(self, arrivals: list[Arrival], options: StatementOptions) -> None:
        """Send statements at their times, whatever became of earlier ones."""
        start = self.driver.now
        for arrival in arrivals:
            self.driver.schedule(
                start + arrival.at - self.driver.now,
                lambda arrival=arrival: self._send_arrival(arrival, options),
            )
        self.driver.run_for(arrivals[-1].at + seconds(3))

    def count(self, counter: str) -> int:
        """Return a counter, summed over all nodes."""
        return sum(
            node.node.board.metrics.counters[counter]
            for node in self.driver.nodes.values()
        )

    def _send_arrival(self, arrival: Arrival, options: StatementOptions) -> None:
        sent_at = self.driver.now

        def done(answer: Answer) -> None:
            self.samples.append(
                Sample(
                    sent_at,
                    self.driver.now,
                    answer.outcome,
                    arrival.is_long,
                    arrival.is_write,
                )
            )

        self._send(_make_sql(arrival, self.sent), options, done)

    def _send(
        self, sql: str, options: StatementOptions, done: Callable[[Answer], None]
    ) -> None:
        self.sent += 1
        alive = sorted(n for n, x in self.driver.nodes.items() if x.alive)
        node = alive[self.sent % len(alive)]
        session = f"session-{self.sent}"
        self.driver.open_session(node, session, ACCOUNT)

        def finish(answer: Answer, token: str) -> None:
            self.driver.close_session(node, session)
            done(answer)

        self.driver.send_statement(node, session, DATABASE, sql, finish, options)

    def _put(self, path: str, text: str) -> None:
        self.driver.store.perform(PutObject(f"records/{path}", text, 0))


def _make_sql(arrival: Arrival, number: int) -> str:
    row = number % 100
    if arrival.is_write:
        return f"UPDATE stock SET n = n + 1 + SLEEP({SHORT_S}) WHERE id = {row}"
    if arrival.is_long:
        return f"SELECT SLEEP({SHORT_S * LONG_FACTOR}) AS engraving"
    return f"SELECT SLEEP({SHORT_S}), n FROM stock WHERE id = {row}"


def make_arrivals(
    seed: int,
    rate: Callable[[float], float],
    duration_s: float,
    write_share: float = 0.0,
    long_share: float = 0.0,
) -> list[Arrival]:
    """Return Poisson arrivals of a rate that varies with time in seconds."""
    generator = random.Random(seed)
    peak = max(rate(step * duration_s / 1000) for step in range(1000))
    arrivals = []
    now = 0.0
    while True:
        now += generator.expovariate(peak)
        if now >= duration_s:
            return arrivals
        if generator.random() < rate(now) / peak:
            is_write = generator.random() < write_share
            is_long = not is_write and generator.random() < long_share
            arrivals.append(Arrival(seconds(now), is_long, is_write))


def run_naive(arrivals: list[Arrival], slots: int) -> list[Sample]:
    """Run arrivals through one queue at the primary."""
    lanes = [0.0] * slots
    samples = []
    for arrival in arrivals:
        at = arrival.at.total_seconds()
        started = max(at, heapq.heappop(lanes))
        service = SHORT_S * (LONG_FACTOR if arrival.is_long else 1)
        heapq.heappush(lanes, started + service)
        done = seconds(started + service)
        samples.append(
            Sample(
                arrival.at, done, Outcome.ANSWERED, arrival.is_long, arrival.is_write
            )
        )
    return samples


def find_quantile(values: list[float], quantile: float) -> float:
    """Return a quantile of some values; 0 if there are none."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(quantile * len(ordered)))]


@dataclass(frozen=True, slots=True)
class CrestResult:
    """Service at the crest of a swing."""

    goodput: float
    refusal_p99_ms: float
    admitted_p99_ms: float


def measure_replica_share(deployment: Deployment, seed: int) -> float:
    """Return the share of reads served by replicas: 50 ms lag, 20 % writes."""
    bench = Bench(deployment, seed)
    bench.start()
    rate = 0.3 * deployment.slots / SHORT_S
    before = (bench.count("reads_by_replica"), bench.count("reads_by_primary"))
    arrivals = make_arrivals(seed, lambda _: rate, 10, write_share=0.2)
    bench.play(arrivals, StatementOptions())
    by_replica = bench.count("reads_by_replica") - before[0]
    by_primary = bench.count("reads_by_primary") - before[1]
    return by_replica / max(1, by_replica + by_primary)


def measure_crest(deployment: Deployment, seed: int) -> tuple[CrestResult, CrestResult]:
    """Return service during a tenfold swing within 1 s, and the baseline's."""
    bench = Bench(deployment, seed)
    bench.start()
    capacity = 3 * deployment.slots / SHORT_S
    low = 0.15 * capacity

    def rate(now: float) -> float:
        return low * (1 + 9 * min(1.0, max(0.0, now - 3)))

    arrivals = make_arrivals(seed, rate, 9)
    start = bench.driver.now
    bench.play(arrivals, StatementOptions(deadline=DEADLINE))
    window = (start + seconds(4), start + seconds(9))
    ours = _judge_crest(bench.samples, window, capacity)
    naive = run_naive(arrivals, deployment.slots)
    return ours, _judge_crest(naive, (seconds(4), seconds(9)), capacity)


def _judge_crest(
    samples: list[Sample], window: tuple[timedelta, timedelta], capacity: float
) -> CrestResult:
    begin, end = window
    limit_ms = DEADLINE.total_seconds() * 1000
    inside = [s for s in samples if begin <= s.sent_at < end]
    answered = [
        s for s in samples if s.outcome is Outcome.ANSWERED and s.latency_ms <= limit_ms
    ]
    good = [s for s in answered if begin <= s.answered_at < end]
    refused = [s.latency_ms for s in inside if s.outcome is not Outcome.ANSWERED]
    admitted = [s.latency_ms for s in inside if s.outcome is Outcome.ANSWERED]
    goodput = len(good) / (end - begin).total_seconds() / capacity
    return CrestResult(
        goodput, find_quantile(refused, 0.99), find_quantile(admitted, 0.99)
    )


def measure_short_ratio(deployment: Deployment, seed: int) -> tuple[float, float]:
    """Return p99 of short work beside stragglers over that without them.

    The load is 70 % of all slots in both cases, and the second figure is the
    baseline's.
    """
    ours = []
    naive = []
    for long_share in (LONG_SHARE, 0.0):
        mean = SHORT_S * (1 + long_share * (LONG_FACTOR - 1))
        rate = 0.7 * 3 * deployment.slots / mean
        arrivals = make_arrivals(seed, lambda _, r=rate: r, 15, long_share=long_share)
        bench = Bench(deployment, seed)
        bench.start()
        options = StatementOptions(deadline=seconds(30))
        bench.play(arrivals, options)
        ours.append(_short_p99(bench.samples))
        naive_arrivals = make_arrivals(
            seed, lambda _, r=rate / 3: r, 15, long_share=long_share
        )
        naive.append(_short_p99(run_naive(naive_arrivals, deployment.slots)))
    return ours[0] / ours[1], naive[0] / naive[1]


def _short_p99(samples: list[Sample]) -> float:
    settled = samples[len(samples) // 3 :]
    latencies = [s.latency_ms for s in settled if not s.is_long]
    return find_quantile(latencies, 0.99)


def measure_failover_gaps(
    deployment: Deployment, seed: int, count: int, with_leader: bool, store_down: bool
) -> list[float]:
    """Return the gaps, in seconds, from the last to the first good write."""
    bench = Bench(deployment, seed)
    bench.start()
    _write_forever(bench)
    gaps = []
    for number in range(count):
        bench.driver.store_faults.down = store_down
        bench.driver.run_for(seconds(1 + bench.driver.random.random()))
        gaps.append(_lose_primary(bench, number, with_leader))
        bench.driver.store_faults.down = False
        _repair(bench)
    return gaps


def _write_forever(bench: Bench) -> None:
    def write() -> None:
        options = StatementOptions(deadline=seconds(2))
        bench._send_arrival(Arrival(timedelta(), False, True), options)
        bench.driver.schedule(seconds(0.02), write)

    write()


def _lose_primary(bench: Bench, number: int, with_leader: bool) -> float:
    driver = bench.driver
    primary = bench.find_primary()
    leader = bench.find_leader()
    bench.samples.clear()
    driver.run_for(seconds(0.1))
    lost_at = driver.now
    if number % 2:
        driver.servers[primary].up = False
    else:
        others = [n for n in (*driver.nodes, *driver.servers) if n != primary]
        driver.cut_off(primary, others)
    if with_leader and leader is not None:
        driver.crash_node(leader)

    def recovered() -> bool:
        return any(_is_good(s) and s.sent_at > lost_at for s in bench.samples)

    driver.run_until(recovered, PRIMARY_OUTAGE)
    times = sorted(s.answered_at for s in bench.samples if _is_good(s))
    return max((b - a).total_seconds() for a, b in zip(times, times[1:], strict=False))


def _is_good(sample: Sample) -> bool:
    return sample.outcome is Outcome.ANSWERED


def _repair(bench: Bench) -> None:
    driver = bench.driver
    driver.heal()
    for server in driver.servers.values():
        server.up = True
    for name, node in list(driver.nodes.items()):
        if not node.alive:
            driver.restart_node(name)
    driver.run_for(seconds(6))
