"""Randomized runs with callers, faults and a consistency check from outside.

The check, called the observer, compares the answers that callers got with the data
that the primary holds at the end. It shares no logic with the nodes, so it cannot
repeat their mistakes.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

from burdocksail.core import Answer, AnswerError, Outcome, seconds
from burdocksail.node import Node, PutObject, StatementOptions, StoreReply, StoreStatus
from burdocksail.standin._records import (
    make_group_record,
    make_service_record,
    make_team_record,
)
from burdocksail.standin._simulator import (
    SimulatedNode,
    Simulator,
    SimulatorSettings,
)
from burdocksail.standin._store_model import StoreCopy

GROUP = "booking"
DATABASE = "booking"
SERVICE = "booking"
ACCOUNTS = ("desk-0", "desk-1", "desk-2")
SLOTS = 3
CONNECTION_LIMIT = 20
MAX_READ_AGE = seconds(1)
SETTLE_TIMEOUT = seconds(60)
RESTORATION_OUTAGE = seconds(0.5)
# Longest time after a restoration until an operator's record is written again.
REWRITE_DELAY = seconds(2)
INSTANCE_CHECK_INTERVAL = seconds(0.1)
MAX_ACTIVE_FAULTS = 2
CREATE_TABLE = "CREATE TABLE entry (id INTEGER, caller TEXT, n INTEGER, pair INTEGER)"


class ObserverError(AssertionError):
    """A check of the observer failed, or the platform did not recover in time."""


@dataclass(slots=True)
class TrackedWrite:
    """A write and the outcome that its caller was given.

    Attributes
    ----------
    sequence : int
        Position among the writes of its caller, from 1.
    pair : int
        Id of the first write of the two-write transaction it belongs to; 0 if none.
    has_request_key : bool
        Whether it was sent with a request key and may be repeated.
    outcome : Outcome or None
        None while the answer is outstanding.
    reported_at : timedelta
        When the answer arrived.
    """

    write_id: int
    caller: str
    sequence: int
    pair: int
    has_request_key: bool
    sent_at: timedelta
    outcome: Outcome | None = None
    reported_at: timedelta = timedelta()


@dataclass(slots=True)
class Caller:
    """A caller with one session at a time, which reconnects now and then.

    Attributes
    ----------
    uses_token : bool
        Whether it sends its last consistency token with each request.
    write_count : int
        Writes that it has sent.
    last_acknowledged : int
        Greatest sequence of its acknowledged writes.
    awaiting_answer : bool
        Whether a request of it is outstanding.
    session_count : int
        Sessions that it has opened; the name of a session contains it.
    """

    name: str
    account: str
    uses_token: bool
    node: str = ""
    session: str = ""
    token: str = ""
    write_count: int = 0
    last_acknowledged: int = 0
    awaiting_answer: bool = False
    session_count: int = 0


@dataclass(slots=True)
class FaultKind:
    """A fault that can be started and ended.

    Attributes
    ----------
    start : callable
        Starts the fault and returns its target; an empty text if it cannot start.
    end : callable
        Ends the fault on the given target.
    """

    name: str
    start: Callable[["World"], str]
    end: Callable[["World", str], None]


@dataclass(slots=True)
class ActiveFault:
    """A fault in effect and its target."""

    kind: FaultKind
    target: str


@dataclass(slots=True)
class WorldSettings:
    """Size and load of a randomized run.

    Attributes
    ----------
    lag : timedelta
        Replication lag.
    slow_replica_lag : timedelta
        Additional lag of the group's last server.
    clock_drift : float
        Greatest relative deviation of a node's clock from virtual time.
    think_time : timedelta
        Mean pause of a caller between two requests.
    keyed_share : float
        Share of single writes that carry a request key.
    transaction_share, read_share : float
        Shares of transactions and of reads of a caller's own writes among all
        requests. Reads with a maximum age get what is left below 0.72, and
        single writes the rest.
    """

    nodes: int = 6
    callers: int = 6
    lag: timedelta = seconds(0.05)
    slow_replica_lag: timedelta = seconds(0.25)
    clock_drift: float = 0.01
    think_time: timedelta = seconds(0.05)
    keyed_share: float = 0.3
    transaction_share: float = 0.15
    read_share: float = 0.5


@dataclass(slots=True)
class Tally:
    """Counts of write outcomes, started faults and checked reads of a run."""

    outcomes: dict[str, int] = field(default_factory=dict)
    faults: dict[str, int] = field(default_factory=dict)
    reads: int = 0

    def increment(self, table: dict[str, int], name: str) -> None:
        """Add one to the count of `name` in `table`."""
        table[name] = table.get(name, 0) + 1


class World:
    """A simulated platform under randomized load and faults.

    Parameters
    ----------
    seed : int
        Seed of every random choice.
    settings : WorldSettings, optional
        Size of the run.
    """

    def __init__(self, seed: int, settings: WorldSettings | None = None):
        self.settings = settings or WorldSettings()
        simulator_settings = SimulatorSettings(lag=self.settings.lag, slots=SLOTS)
        self.simulator = Simulator(simulator_settings, seed)
        self.random = self.simulator.random
        self.callers: list[Caller] = []
        self.writes: dict[int, TrackedWrite] = {}
        self.tally = Tally()
        self.active_faults: list[ActiveFault] = []
        self.callers_paused = False
        self.violations: list[str] = []
        self.store_copy: StoreCopy | None = None
        self._record_texts: dict[str, list[str]] = {}
        self._applied_texts: dict[tuple[str, str], int] = {}
        self._last_write_id = 0
        self._planned = 0  # not used

    def start(self) -> None:
        """Start the platform and the callers, and wait until the group is open."""
        simulator = self.simulator
        simulator.add_group(GROUP)
        group = simulator.groups[GROUP]
        group.extra_lag[group.servers[-1].name] = self.settings.slow_replica_lag
        self._put_record("team/lumilinna", make_team_record("lumilinna"))
        self._put_group_record()
        accounts = dict.fromkeys(ACCOUNTS, "password")
        self._put_record(
            f"service/{SERVICE}",
            make_service_record(SERVICE, "lumilinna", {DATABASE: GROUP}, accounts),
        )
        drift = self.settings.clock_drift
        for index in range(self.settings.nodes):
            rate = 1 + drift * self.random.choice((-1, 0, 1))
            domains = simulator.settings.domains
            simulator.add_node(f"node-{index}", domains[index % len(domains)], rate)
        self._require(self.wait_until_open(SETTLE_TIMEOUT), "the group did not open")
        self._run_setup(CREATE_TABLE)
        simulator.run_for(seconds(2))
        for index in range(self.settings.callers):
            account = ACCOUNTS[index % len(ACCOUNTS)]
            caller = Caller(f"caller-{index}", account, uses_token=index % 2 == 0)
            self.callers.append(caller)
            self._reconnect(caller)
            self._schedule_next(caller)

    def wait_until_open(self, limit: timedelta) -> bool:
        """Run until some node serves the group; return whether one does."""
        return self.simulator.run_until(self.is_open, limit)

    def is_open(self) -> bool:
        """Return whether some node serves the group with a valid lease."""
        return self.find_leader() is not None

    def find_leader(self) -> str | None:
        """Return the name of the node that serves the group, or None."""
        for name, node in self.simulator.nodes.items():
            if not node.alive:
                continue
            state = node.node.dump()
            group = state["groups"].get(GROUP)
            leadership = state["leaderships"].get(GROUP)
            if group and group["phase"] == "open" and leadership["lease_valid"]:
                return name
        return None

    def find_primary(self) -> str:
        """Return the name of the primary that the leader uses, or an empty text."""
        leader = self.find_leader()
        if leader is None:
            return ""
        return self.simulator.nodes[leader].node.dump()["groups"][GROUP]["primary"]

    def run_for(self, duration: timedelta) -> None:
        """Continue load and faults for `duration`, then check for violations."""
        self.simulator.run_for(duration)
        self.check_now()

    def start_fault(self, kind: FaultKind) -> bool:
        """Start a fault and return whether it started.

        It does not start if `MAX_ACTIVE_FAULTS` are in effect, if one of its kind
        is, or if it has no target.
        """
        if len(self.active_faults) >= MAX_ACTIVE_FAULTS:
            return False
        if any(fault.kind.name == kind.name for fault in self.active_faults):
            return False
        target = kind.start(self)
        if not target:
            return False
        self.active_faults.append(ActiveFault(kind, target))
        self.tally.increment(self.tally.faults, kind.name)
        return True

    def end_fault(self, index: int = 0) -> None:
        """End one of the faults in effect, if any; `index` wraps around."""
        if self.active_faults:
            fault = self.active_faults.pop(index % len(self.active_faults))
            fault.kind.end(self, fault.target)

    def settle(self) -> None:
        """End all faults, wait for recovery and drain the callers' requests."""
        while self.active_faults:
            self.end_fault()
        self.simulator.heal()
        for name, node in list(self.simulator.nodes.items()):
            if not node.alive:
                self.simulator.restart_node(name)
        for server in self.simulator.servers.values():
            server.up = True
        self._require(self.wait_until_open(SETTLE_TIMEOUT), "the group did not reopen")
        self.simulator.run_for(seconds(10))
        self.callers_paused = True
        self.simulator.run_for(seconds(10))
        stuck = [caller.name for caller in self.callers if caller.awaiting_answer]
        self._require(not stuck, f"callers without an answer: {stuck}")

    def check_now(self) -> None:
        """Raise `ObserverError` if an answer or a connection count was wrong so far."""
        if self.violations:
            raise ObserverError("; ".join(self.violations[:3]))
        for server in self.simulator.servers.values():
            used = server.peak_connections
            message = f"{server.model.name} had {used} connections"
            self._require(used <= CONNECTION_LIMIT, message)

    def check_contents(self) -> None:
        """Raise `ObserverError` if the primary's data disagrees with the answers."""
        self._require(self.wait_until_open(SETTLE_TIMEOUT), "the group is not open")
        primary = self.simulator.servers[self.find_primary()].model
        self._require(primary.lock_owner is None, "a transaction was left open")
        rows = primary.query("SELECT id, pair FROM entry")
        counts: dict[int, int] = {}
        for write_id, _ in rows:
            counts[write_id] = counts.get(write_id, 0) + 1
        for write in self.writes.values():
            found = counts.get(write.write_id, 0)
            self._check_write(write, found)
        self._check_pairs(rows)

    def send(
        self,
        caller: Caller,
        sql: str,
        done: Callable[[Answer], None],
        options: StatementOptions | None = None,
    ) -> None:
        """Send a caller's statement.

        If the instance ends before it answers, or is not alive or does not know the
        session, the outcome is reported as unknown.
        """
        node = self.simulator.nodes[caller.node]
        answered = [False]

        def receive_answer(answer: Answer, token: str) -> None:
            if answered[0]:
                self.violations.append(f"{caller.name} was answered twice")
                return
            answered[0] = True
            caller.token = token or caller.token
            done(answer)

        incarnation = node.instance.key

        def watch_instance() -> None:
            current = self.simulator.nodes[caller.node]
            if answered[0]:
                return
            if current.alive and current.instance.key == incarnation:
                self.simulator.schedule(seconds(0.1), watch_instance)
                return
            answered[0] = True
            done(Answer(Outcome.UNKNOWN, error=AnswerError.UPSTREAM_LOST))

        session_known = caller.session in node.node.board.entry.sessions
        if not node.alive or not (session_known or node.paused):
            self.simulator.schedule(
                seconds(0.01),
                lambda: done(Answer(Outcome.UNKNOWN, error=AnswerError.NO_LEADER)),
            )
            return
        self.simulator.send_statement(
            caller.node, caller.session, DATABASE, sql, receive_answer, options
        )
        self.simulator.schedule(seconds(0.1), watch_instance)

    def write_record(self, path: str, text: str, version: int) -> StoreReply:
        """Write an operator's record if its version is `version`."""
        operation = PutObject(f"records/{path}", text, version)
        reply = self.simulator.store.perform(operation)
        if reply.status is StoreStatus.OK:
            self._record_texts.setdefault(path, []).append(text)
        return reply

    def restore_store(self, copy: StoreCopy) -> None:
        """Take the store away for a moment and let it return with an earlier state.

        Operators write again what is missing or older then.
        """
        simulator = self.simulator

        def return_from_copy() -> None:
            simulator.store.restore(copy)
            simulator.store_faults.down = False
            for path in self._record_texts:
                delay = REWRITE_DELAY * self.random.random()
                simulator.schedule(delay, lambda path=path: self._rewrite_record(path))

        simulator.store_faults.down = True
        simulator.schedule(RESTORATION_OUTAGE, return_from_copy)

    def _rewrite_record(self, path: str) -> None:
        text = self._record_texts[path][-1]
        current = self.simulator.store.objects.get(f"records/{path}")
        if current is None or current.value != text:
            self.write_record(path, text, 0 if current is None else current.version)

    def watch_instances(self) -> None:
        """Record violations by the state of the instances, from now on.

        None may return to an earlier record, and two may not lead at the same time.
        """
        running = [n for n in self.simulator.nodes.values() if n.alive and not n.paused]
        for node in running:
            self._check_applied_records(node)
        leaders = [n.instance.key for n in running if is_lease_valid(n.node, GROUP)]
        if len(leaders) > 1:
            self.violations.append(f"{leaders} led at {self.simulator.now}")
        self.simulator.schedule(INSTANCE_CHECK_INTERVAL, self.watch_instances)

    def _check_applied_records(self, node: SimulatedNode) -> None:
        for path, item in node.node.board.configuration.items.items():
            texts = self._record_texts[path]
            # A text may have been written more than once; the last time counts.
            number = len(texts) - 1 - texts[::-1].index(item.content)
            key = (node.instance.key, path)
            if number < self._applied_texts.get(key, 0):
                self.violations.append(
                    f"{node.instance.key} returned to version {number} of {path} "
                    f"at {self.simulator.now}"
                )
            self._applied_texts[key] = number

    def check_configuration(self) -> None:
        """Raise `ObserverError` unless every record is in force everywhere."""
        for path, texts in self._record_texts.items():
            for name, node in self.simulator.nodes.items():
                item = node.node.board.configuration.items.get(path)
                applied = item is not None and item.content == texts[-1]
                self._require(applied, f"{path} is not in force on {name}")

    def _put_record(self, path: str, text: str) -> None:
        current = self.simulator.store.objects.get(f"records/{path}")
        self.write_record(path, text, current.version if current else 0)

    def _put_group_record(self, **extra: object) -> None:
        servers = self.simulator.describe_group(GROUP)
        record = make_group_record(GROUP, servers, SLOTS, CONNECTION_LIMIT, **extra)
        self._put_record(f"group/{GROUP}", record)

    def request_primary_change(self, server: str) -> None:
        """Request a planned change of primary through the group's record."""
        self._put_group_record(preferred_primary=server)

    def _run_setup(self, sql: str) -> None:
        caller = Caller("setup", ACCOUNTS[0], uses_token=False)
        self._reconnect(caller)
        answers: list[Answer] = []
        self.send(caller, sql, answers.append)
        self.simulator.run_until(lambda: bool(answers), seconds(10))
        ok = bool(answers) and answers[0].outcome is Outcome.ANSWERED
        self._require(ok, f"the setup failed: {answers}")

    def _reconnect(self, caller: Caller) -> None:
        """Close a caller's session and open one on a random live instance."""
        alive = [name for name, node in self.simulator.nodes.items() if node.alive]
        if not alive:
            return
        old = self.simulator.nodes.get(caller.node)
        if caller.session and old is not None and old.alive:
            self.simulator.close_session(caller.node, caller.session)
        caller.session_count += 1
        caller.node = self.random.choice(sorted(alive))
        caller.session = f"{caller.name}/{caller.session_count}"
        self.simulator.open_session(caller.node, caller.session, caller.account)

    def _schedule_next(self, caller: Caller) -> None:
        caller.awaiting_answer = False
        delay = self.settings.think_time * (0.5 + self.random.random())
        self.simulator.schedule(delay, lambda: self._run_next_request(caller))

    def _run_next_request(self, caller: Caller) -> None:
        if self.callers_paused:
            return
        caller.awaiting_answer = True
        node = self.simulator.nodes[caller.node]
        session_known = caller.session in node.node.board.entry.sessions
        if not node.alive or not session_known or self.random.random() < 0.1:
            self._reconnect(caller)
        draw = self.random.random()
        if draw < self.settings.read_share:
            self._read_own_writes(caller)
        elif draw < self.settings.read_share + self.settings.transaction_share:
            self._run_write_pair(caller)
        elif draw < 0.72:
            self._read_with_max_age(caller)
        else:
            self._run_write(caller)

    def _make_options(self, caller: Caller, **extra: object) -> StatementOptions:
        token = caller.token if caller.uses_token else ""
        return StatementOptions(token=token, **extra)

    def _run_write(self, caller: Caller) -> None:
        has_request_key = self.random.random() < self.settings.keyed_share
        write = self._track_write(caller, has_request_key=has_request_key)
        key = f"key-{write.write_id}" if has_request_key else ""

        def done(answer: Answer) -> None:
            self._record_outcome(write, answer.outcome)
            if answer.outcome is Outcome.ANSWERED:
                caller.last_acknowledged = max(caller.last_acknowledged, write.sequence)
            elif answer.outcome is Outcome.UNKNOWN and has_request_key:
                self._retry_keyed_write(caller, write, key)
                return
            self._schedule_next(caller)

        options = self._make_options(caller, request_key=key)
        self.send(caller, _insert(write), done, options)

    def _retry_keyed_write(self, caller: Caller, write: TrackedWrite, key: str) -> None:
        """Repeat a write of unknown outcome, with its request key, on any instance."""
        self._reconnect(caller)

        def done(answer: Answer) -> None:
            if answer.outcome is Outcome.ANSWERED:
                self._record_outcome(write, answer.outcome)
                caller.last_acknowledged = max(caller.last_acknowledged, write.sequence)
            self._schedule_next(caller)

        options = self._make_options(caller, request_key=key)
        self.send(caller, _insert(write), done, options)

    def _run_write_pair(self, caller: Caller) -> None:
        first = self._track_write(caller, starts_pair=True)
        second = self._track_write(caller, pair_of=first)
        pair = (first, second)

        def record_outcome(outcome: Outcome) -> None:
            for write in pair:
                self._record_outcome(write, outcome)
            if outcome is Outcome.ANSWERED:
                caller.last_acknowledged = max(
                    caller.last_acknowledged, second.sequence
                )

        def after_begin(answer: Answer) -> None:
            if answer.outcome is Outcome.ANSWERED:
                self.send(caller, _insert(first), after_first)
            else:
                record_outcome(Outcome.NOT_RUN)
                self._schedule_next(caller)

        def after_first(answer: Answer) -> None:
            if answer.outcome is Outcome.ANSWERED:
                self.send(caller, _insert(second), after_second)
            else:
                give_up()

        def after_second(answer: Answer) -> None:
            if answer.outcome is Outcome.ANSWERED:
                self.send(caller, "COMMIT", after_commit)
            else:
                give_up()

        def after_commit(answer: Answer) -> None:
            record_outcome(answer.outcome)
            if answer.outcome is Outcome.ANSWERED:
                self._schedule_next(caller)
            else:
                self.send(caller, "ROLLBACK", lambda _: self._schedule_next(caller))

        def give_up() -> None:
            # Without a COMMIT, none of the transaction's writes takes effect.
            record_outcome(Outcome.NOT_RUN)
            self.send(caller, "ROLLBACK", lambda _: self._schedule_next(caller))

        self.send(caller, "BEGIN", after_begin, self._make_options(caller))

    def _read_own_writes(self, caller: Caller) -> None:
        """Read and expect at least the caller's own last acknowledged write."""
        expected = caller.last_acknowledged
        tag = self._next_tag()
        sql = f"SELECT '{tag}', max(n) FROM entry WHERE caller = '{caller.name}'"

        def done(answer: Answer) -> None:
            if answer.outcome is Outcome.ANSWERED:
                seen = self._decode_read(caller, answer, tag)
                if seen < expected:
                    self.violations.append(
                        f"{caller.name} wrote {expected} and read {seen} "
                        f"at {self.simulator.now} from {answer.server}"
                    )
            self._schedule_next(caller)

        self.send(caller, sql, done, self._make_options(caller))

    def _read_with_max_age(self, caller: Caller) -> None:
        """Read a random caller's writes; those beyond the maximum age must be seen."""
        other = self.random.choice(self.callers)
        tag = self._next_tag()
        sql = f"SELECT '{tag}', max(n) FROM entry WHERE caller = '{other.name}'"

        def done(answer: Answer) -> None:
            if answer.outcome is Outcome.ANSWERED:
                seen = self._decode_read(caller, answer, tag)
                self._check_read_age(other, seen)
            self._schedule_next(caller)

        self.send(caller, sql, done, self._make_options(caller, max_age=MAX_READ_AGE))

    def _check_read_age(self, other: Caller, seen: int) -> None:
        # The nodes' clocks may run slow, so an age is exact only up to their drift.
        age = MAX_READ_AGE * (1 + 2 * self.settings.clock_drift) + seconds(0.01)
        limit = self.simulator.now - age
        required = [
            write.sequence
            for write in self.writes.values()
            if write.caller == other.name
            and write.outcome is Outcome.ANSWERED
            and write.reported_at <= limit
        ]
        expected = max(required, default=0)
        if seen < expected:
            self.violations.append(
                f"a read with max_age saw {seen} of {other.name}, not {expected}, "
                f"at {self.simulator.now}"
            )

    def _decode_read(self, caller: Caller, answer: Answer, tag: str) -> int:
        """Return the sequence that was read; 0 if none.

        The tag shows whether the answer belongs to the request that was sent.
        """
        rows = answer.result.rows
        found_tag, value = rows[0] if rows else (b"another request", b"")
        if found_tag != tag.encode():
            self.violations.append(f"{caller.name} got the answer of {found_tag!r}")
        self.tally.reads += 1
        return int(value or 0)

    def _track_write(
        self,
        caller: Caller,
        has_request_key: bool = False,
        starts_pair: bool = False,
        pair_of: TrackedWrite | None = None,
    ) -> TrackedWrite:
        self._last_write_id += 1
        caller.write_count += 1
        write_id = self._last_write_id
        pair_id = pair_of.pair if pair_of else (write_id if starts_pair else 0)
        write = TrackedWrite(
            write_id,
            caller.name,
            caller.write_count,
            pair_id,
            has_request_key,
            self.simulator.now,
        )
        self.writes[write_id] = write
        return write

    def _record_outcome(self, write: TrackedWrite, outcome: Outcome) -> None:
        write.outcome = outcome
        write.reported_at = self.simulator.now
        self.tally.increment(self.tally.outcomes, outcome.value)

    def _next_tag(self) -> str:
        return f"tag-{self.random.randrange(1 << 40)}"

    def _check_write(self, write: TrackedWrite, found: int) -> None:
        text = (
            f"write {write.write_id} of {write.caller} reported at {write.reported_at}"
        )
        self._require(found <= 1, f"{text} was recorded {found} times")
        if write.outcome is Outcome.ANSWERED:
            self._require(found == 1, f"{text} was acknowledged but is missing")
        if write.outcome is Outcome.NOT_RUN:
            self._require(found == 0, f"{text} was reported as not run but is stored")

    def _check_pairs(self, rows: list[tuple[int, int]]) -> None:
        pairs: dict[int, int] = {}
        for _, pair in rows:
            if pair:
                pairs[pair] = pairs.get(pair, 0) + 1
        incomplete = [pair for pair, count in pairs.items() if count != 2]
        self._require(
            not incomplete, f"partially stored transactions: {incomplete[:5]}"
        )

    def _require(self, condition: bool, message: str) -> None:
        if not condition:
            raise ObserverError(f"{message} (at {self.simulator.now})")


def is_lease_valid(node: Node, group: str) -> bool:
    """Return whether a node may answer for a group now."""
    leadership = node.dump()["leaderships"].get(group)
    return leadership is not None and leadership["lease_valid"]


def _insert(write: TrackedWrite) -> str:
    return (
        f"INSERT INTO entry VALUES ({write.write_id}, '{write.caller}', "
        f"{write.sequence}, {write.pair})"
    )
