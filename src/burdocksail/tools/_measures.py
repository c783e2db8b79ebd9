"""The project's four target measures, simulated in virtual time.

Each is compared with a baseline that is simple enough to be evidently correct:
every statement waits in one queue for a slot of the primary, none is refused,
and no replica is promoted, so an outage of the primary lasts until the primary
returns.
"""

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

from burdocksail.core import Answer, Outcome, seconds
from burdocksail.node import PutObject, StatementOptions
from burdocksail.standin import (
    Simulator,
    SimulatorSettings,
    make_group_record,
    make_service_record,
    make_team_record,
)

GROUP = "measured"
DATABASE = "measured"
ACCOUNT = "desk"
OPEN_TIMEOUT = seconds(30)
PRIMARY_OUTAGE = seconds(30)
SHORT_STATEMENT_S = 0.004
LONG_STATEMENT_FACTOR = 50  # duration of a long statement over a short one
LONG_STATEMENT_SHARE = 0.02  # of all statements
STATEMENT_DEADLINE = seconds(0.5)


@dataclass(frozen=True, slots=True)
class Deployment:
    """Sizes of a reference deployment.

    Attributes
    ----------
    domain_delay : timedelta
        One-way delay between two failure domains.
    slots : int
        Statements that a server runs at the same time.
    connections : int
        Connections that a server accepts.
    """

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
    """The outcome of one statement of an open-loop load."""

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
    """A statement to be sent at a time after the start of the load."""

    at: timedelta
    is_long: bool
    is_write: bool


@dataclass(slots=True)
class LoadSimulation:
    """A deployment in virtual time under an open-loop load.

    Attributes
    ----------
    lag : timedelta
        Replication lag.
    nodes : int
        Instances of the proxy, spread over the failure domains.
    samples : list of Sample
        Outcomes in the order of the answers.
    sent : int
        Number of statements sent.
    """

    deployment: Deployment
    seed: int
    lag: timedelta = seconds(0.05)
    nodes: int = 6
    simulator: Simulator = field(init=False)
    samples: list[Sample] = field(default_factory=list)
    sent: int = 0

    def start(self) -> None:
        """Start the servers and nodes, wait for a leader and fill the table."""
        settings = SimulatorSettings(
            domains=self.deployment.domains,
            domain_delay=self.deployment.domain_delay,
            service_time=timedelta(),
            lag=self.lag,
            slots=self.deployment.slots,
        )
        self.simulator = Simulator(settings, self.seed)
        self.simulator.add_group(GROUP)
        servers = self.simulator.describe_group(GROUP)
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
            self.simulator.add_node(f"node-{index}", domain)
        self.simulator.run_until(lambda: self.find_leader() is not None, OPEN_TIMEOUT)
        self.run_statement("CREATE TABLE stock (id INTEGER PRIMARY KEY, n INTEGER)")
        rows = ",".join(f"({i},0)" for i in range(100))
        self.run_statement(f"INSERT INTO stock VALUES {rows}")
        self.simulator.run_for(seconds(2))

    def find_leader(self) -> str | None:
        """Return the name of the node that leads the group, None without one."""
        for name, node in self.simulator.nodes.items():
            runtime = node.node.board.work.runtimes.get(GROUP)
            if node.alive and runtime is not None and runtime.phase.value == "open":
                return name
        return None

    def find_primary(self) -> str:
        """Return the name of the leader's primary, empty without a leader."""
        leader = self.find_leader()
        if leader is None:
            return ""
        return self.simulator.nodes[leader].node.board.work.runtimes[GROUP].primary

    def run_statement(self, sql: str) -> Answer:
        """Run one statement to its end, for at most 10 s, and return its answer."""
        answers: list[Answer] = []
        self._send(sql, StatementOptions(), answers.append)
        self.simulator.run_until(lambda: bool(answers), seconds(10))
        return answers[0]

    def replay(self, arrivals: list[Arrival], options: StatementOptions) -> None:
        """Send statements at their times, without waiting for earlier answers."""
        start = self.simulator.now
        for arrival in arrivals:
            self.simulator.schedule(
                start + arrival.at - self.simulator.now,
                lambda arrival=arrival: self._send_arrival(arrival, options),
            )
        self.simulator.run_for(arrivals[-1].at + seconds(3))

    def count(self, counter: str) -> int:
        """Return the value of a counter, summed over all nodes."""
        return sum(
            node.node.board.metrics.counters[counter]
            for node in self.simulator.nodes.values()
        )

    def _send_arrival(self, arrival: Arrival, options: StatementOptions) -> None:
        sent_at = self.simulator.now

        def record_sample(answer: Answer) -> None:
            self.samples.append(
                Sample(
                    sent_at,
                    self.simulator.now,
                    answer.outcome,
                    arrival.is_long,
                    arrival.is_write,
                )
            )

        self._send(_make_sql(arrival, self.sent), options, record_sample)

    def _send(
        self, sql: str, options: StatementOptions, on_answer: Callable[[Answer], None]
    ) -> None:
        self.sent += 1
        alive = sorted(n for n, state in self.simulator.nodes.items() if state.alive)
        node = alive[self.sent % len(alive)]
        session = f"session-{self.sent}"
        self.simulator.open_session(node, session, ACCOUNT)

        def finish(answer: Answer, token: str) -> None:
            self.simulator.close_session(node, session)
            on_answer(answer)

        self.simulator.send_statement(node, session, DATABASE, sql, finish, options)

    def _put(self, path: str, text: str) -> None:
        self.simulator.store.perform(PutObject(f"records/{path}", text, 0))


def _make_sql(arrival: Arrival, number: int) -> str:
    row = number % 100
    if arrival.is_write:
        return (
            f"UPDATE stock SET n = n + 1 + SLEEP({SHORT_STATEMENT_S}) WHERE id = {row}"
        )
    if arrival.is_long:
        return f"SELECT SLEEP({SHORT_STATEMENT_S * LONG_STATEMENT_FACTOR}) AS engraving"
    return f"SELECT SLEEP({SHORT_STATEMENT_S}), n FROM stock WHERE id = {row}"


def make_arrivals(
    seed: int,
    rate: Callable[[float], float],
    duration_s: float,
    write_share: float = 0.0,
    long_share: float = 0.0,
) -> list[Arrival]:
    """Return Poisson arrivals whose rate per second varies over `duration_s`.

    Parameters
    ----------
    rate : callable
        Maps the time in seconds to the arrival rate per second.
    write_share : float
        Fraction of statements that are writes.
    long_share : float
        Fraction of reads that are long.
    """
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


def run_baseline(arrivals: list[Arrival], slots: int) -> list[Sample]:
    """Return the outcomes of the baseline: one queue at the primary."""
    slots_free_at = [0.0] * slots
    samples = []
    for arrival in arrivals:
        arrived_at = arrival.at.total_seconds()
        started = max(arrived_at, heapq.heappop(slots_free_at))
        service_s = SHORT_STATEMENT_S * (
            LONG_STATEMENT_FACTOR if arrival.is_long else 1
        )
        heapq.heappush(slots_free_at, started + service_s)
        done_at = seconds(started + service_s)
        samples.append(
            Sample(
                arrival.at,
                done_at,
                Outcome.ANSWERED,
                arrival.is_long,
                arrival.is_write,
            )
        )
    return samples


def find_quantile(values: list[float], quantile: float) -> float:
    """Return a quantile, 0 to 1, of the values; 0 if there are none."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(quantile * len(ordered)))]


@dataclass(frozen=True, slots=True)
class CrestResult:
    """Service quality at the crest: while the load is at its peak, after a steep rise.

    Attributes
    ----------
    goodput : float
        Statements answered within their deadline, as a fraction of the capacity of
        all servers, also for the baseline, which uses the primary only.
    refusal_p99_ms, admitted_p99_ms : float
        99th percentile of the time to an answer (admitted) and to any other outcome,
        also an unknown one (refusal).
    """

    goodput: float
    refusal_p99_ms: float
    admitted_p99_ms: float


def measure_replica_share(deployment: Deployment, seed: int) -> float:
    """Return the share of reads served by replicas at 50 ms lag and 20 % writes.

    The load is 30 % of the capacity of one server.
    """
    simulation = LoadSimulation(deployment, seed)
    simulation.start()
    rate = 0.3 * deployment.slots / SHORT_STATEMENT_S
    before = (
        simulation.count("reads_by_replica"),
        simulation.count("reads_by_primary"),
    )
    arrivals = make_arrivals(seed, lambda _: rate, 10, write_share=0.2)
    simulation.replay(arrivals, StatementOptions())
    by_replica = simulation.count("reads_by_replica") - before[0]
    by_primary = simulation.count("reads_by_primary") - before[1]
    return by_replica / max(1, by_replica + by_primary)


def measure_crest(deployment: Deployment, seed: int) -> tuple[CrestResult, CrestResult]:
    """Return the proxy's and the baseline's results at the crest of the load.

    The load rises tenfold within 1 s, from 15 % to 150 % of the capacity.
    """
    simulation = LoadSimulation(deployment, seed)
    simulation.start()
    capacity_per_s = 3 * deployment.slots / SHORT_STATEMENT_S
    base_rate = 0.15 * capacity_per_s

    def rate(now: float) -> float:
        return base_rate * (1 + 9 * min(1.0, max(0.0, now - 3)))

    arrivals = make_arrivals(seed, rate, 9)
    start = simulation.simulator.now
    simulation.replay(arrivals, StatementOptions(deadline=STATEMENT_DEADLINE))
    window = (start + seconds(4), start + seconds(9))
    proxied = _evaluate_crest(simulation.samples, window, capacity_per_s)
    baseline = run_baseline(arrivals, deployment.slots)
    return proxied, _evaluate_crest(baseline, (seconds(4), seconds(9)), capacity_per_s)


def _evaluate_crest(
    samples: list[Sample], window: tuple[timedelta, timedelta], capacity_per_s: float
) -> CrestResult:
    begin, end = window
    limit_ms = STATEMENT_DEADLINE.total_seconds() * 1000
    sent_in_window = [s for s in samples if begin <= s.sent_at < end]
    answered_in_deadline = [
        s for s in samples if s.outcome is Outcome.ANSWERED and s.latency_ms <= limit_ms
    ]
    in_time = [s for s in answered_in_deadline if begin <= s.answered_at < end]
    refused = [
        s.latency_ms for s in sent_in_window if s.outcome is not Outcome.ANSWERED
    ]
    admitted = [s.latency_ms for s in sent_in_window if s.outcome is Outcome.ANSWERED]
    goodput = len(in_time) / (end - begin).total_seconds() / capacity_per_s
    return CrestResult(
        goodput, find_quantile(refused, 0.99), find_quantile(admitted, 0.99)
    )


def measure_short_ratio(deployment: Deployment, seed: int) -> tuple[float, float]:
    """Return how much long statements raise the p99 latency of short ones.

    The ratio is the p99 latency with long statements over that without them, at
    a load of 70 % of the slots in both cases. The first figure is the proxy's, over
    the slots of all servers; the second is the baseline's, over the primary's.
    """
    proxied = []
    baseline = []
    for long_share in (LONG_STATEMENT_SHARE, 0.0):
        mean = SHORT_STATEMENT_S * (1 + long_share * (LONG_STATEMENT_FACTOR - 1))
        rate = 0.7 * 3 * deployment.slots / mean
        arrivals = make_arrivals(seed, lambda _, r=rate: r, 15, long_share=long_share)
        simulation = LoadSimulation(deployment, seed)
        simulation.start()
        options = StatementOptions(deadline=seconds(30))
        simulation.replay(arrivals, options)
        proxied.append(_short_p99(simulation.samples))
        baseline_arrivals = make_arrivals(
            seed, lambda _, r=rate / 3: r, 15, long_share=long_share
        )
        baseline.append(_short_p99(run_baseline(baseline_arrivals, deployment.slots)))
    return proxied[0] / proxied[1], baseline[0] / baseline[1]


def _short_p99(samples: list[Sample]) -> float:
    after_warm_up = samples[len(samples) // 3 :]
    latencies = [s.latency_ms for s in after_warm_up if not s.is_long]
    return find_quantile(latencies, 0.99)


def measure_failover_gaps(
    deployment: Deployment, seed: int, count: int, with_leader: bool, store_down: bool
) -> list[float]:
    """Return the gap in writes, in seconds, at each of `count` losses of the primary.

    A gap is the longest time between two successive answered writes around a loss.
    The leader is crashed with the primary if `with_leader` is set, and the store
    is unavailable if `store_down` is set.
    """
    simulation = LoadSimulation(deployment, seed)
    simulation.start()
    _start_continuous_writes(simulation)
    gaps = []
    for number in range(count):
        simulation.simulator.store_faults.down = store_down
        simulation.simulator.run_for(seconds(1 + simulation.simulator.random.random()))
        gaps.append(_measure_gap(simulation, number, with_leader))
        simulation.simulator.store_faults.down = False
        _restore(simulation)
    return gaps


def _start_continuous_writes(simulation: LoadSimulation) -> None:
    def write() -> None:
        options = StatementOptions(deadline=seconds(2))
        simulation._send_arrival(Arrival(timedelta(), False, True), options)
        simulation.simulator.schedule(seconds(0.02), write)

    write()


def _measure_gap(simulation: LoadSimulation, number: int, with_leader: bool) -> float:
    """Lose the primary, by a crash at odd numbers, else by a network partition."""
    simulator = simulation.simulator
    primary = simulation.find_primary()
    leader = simulation.find_leader()
    simulation.samples.clear()
    simulator.run_for(seconds(0.1))
    lost_at = simulator.now
    if number % 2:
        simulator.servers[primary].up = False
    else:
        others = [n for n in (*simulator.nodes, *simulator.servers) if n != primary]
        simulator.cut_off(primary, others)
    if with_leader and leader is not None:
        simulator.crash_node(leader)

    def recovered() -> bool:
        return any(_is_answered(s) and s.sent_at > lost_at for s in simulation.samples)

    simulator.run_until(recovered, PRIMARY_OUTAGE)
    times = sorted(s.answered_at for s in simulation.samples if _is_answered(s))
    return max((b - a).total_seconds() for a, b in zip(times, times[1:], strict=False))


def _is_answered(sample: Sample) -> bool:
    return sample.outcome is Outcome.ANSWERED


def _restore(simulation: LoadSimulation) -> None:
    simulator = simulation.simulator
    simulator.heal()
    for server in simulator.servers.values():
        server.up = True
    for name, node in list(simulator.nodes.items()):
        if not node.alive:
            simulator.restart_node(name)
    simulator.run_for(seconds(6))
