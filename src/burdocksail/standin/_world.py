"""Randomised runs: callers, faults, and an observer that sees only answers.

The observer compares what callers were told with what the servers hold in the
end. It knows nothing of the nodes, so it cannot share their mistakes.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

from burdocksail.core import Answer, AnswerError, Outcome, seconds
from burdocksail.node import PutObject, StatementOptions
from burdocksail.standin._driver import Driver, DriverSettings
from burdocksail.standin._records import (
    make_group_record,
    make_service_record,
    make_team_record,
)

GROUP = "booking"
DATABASE = "booking"
SERVICE = "booking"
ACCOUNTS = ("desk-0", "desk-1", "desk-2")
SLOTS = 3
CONNECTIONS = 20
STATED_AGE = seconds(1)
SETTLE_LIMIT = seconds(60)
MAX_FAULTS = 2
CREATE_TABLE = "CREATE TABLE entry (id INTEGER, caller TEXT, n INTEGER, pair INTEGER)"


class ObserverError(AssertionError):
    """What callers were told and what the servers hold disagree."""


@dataclass(slots=True)
class ToldWrite:
    """What a caller was told of one write.

    Attributes
    ----------
    outcome : Outcome or None
        None while the answer is outstanding.
    pair : int
        Number of the transaction that it belongs to; 0 if none.
    """

    write_id: int
    caller: str
    number: int
    pair: int
    keyed: bool
    sent_at: timedelta
    outcome: Outcome | None = None
    told_at: timedelta = timedelta()


@dataclass(slots=True)
class Caller:
    """A caller with one session, which may roam."""

    name: str
    account: str
    uses_token: bool
    node: str = ""
    session: str = ""
    token: str = ""
    numbers: int = 0
    acknowledged: int = 0
    busy: bool = False
    roams: int = 0


@dataclass(slots=True)
class FaultKind:
    """A fault that can be started and ended."""

    name: str
    start: Callable[["World"], str]
    end: Callable[["World", str], None]


@dataclass(slots=True)
class ActiveFault:
    """A fault in effect, with what it was done to."""

    kind: FaultKind
    target: str


@dataclass(slots=True)
class WorldSettings:
    """Size of a randomised run."""

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
    """Counts of what a run did."""

    outcomes: dict[str, int] = field(default_factory=dict)
    faults: dict[str, int] = field(default_factory=dict)
    reads: int = 0

    def count(self, table: dict[str, int], name: str) -> None:
        """Add one to a count."""
        table[name] = table.get(name, 0) + 1


class World:
    """A platform under randomised load and faults.

    Parameters
    ----------
    seed : int
        Seed of everything random.
    settings : WorldSettings, optional
        Size of the run.
    """

    def __init__(self, seed: int, settings: WorldSettings | None = None):
        self.settings = settings or WorldSettings()
        driver_settings = DriverSettings(lag=self.settings.lag, slots=SLOTS)
        self.driver = Driver(driver_settings, seed)
        self.random = self.driver.random
        self.callers: list[Caller] = []
        self.writes: dict[int, ToldWrite] = {}
        self.tally = Tally()
        self.active: list[ActiveFault] = []
        self.paused_callers = False
        self.violations: list[str] = []
        self._write_ids = 0
        self._planned = 0

    def start(self) -> None:
        """Start all parts and wait until the group is open."""
        driver = self.driver
        driver.add_group(GROUP)
        group = driver.groups[GROUP]
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
            domains = driver.settings.domains
            driver.add_node(f"node-{index}", domains[index % len(domains)], rate)
        self._require(self.wait_until_open(SETTLE_LIMIT), "the group did not open")
        self._run_setup(CREATE_TABLE)
        driver.run_for(seconds(2))
        for index in range(self.settings.callers):
            account = ACCOUNTS[index % len(ACCOUNTS)]
            caller = Caller(f"caller-{index}", account, uses_token=index % 2 == 0)
            self.callers.append(caller)
            self._roam(caller)
            self._schedule_next(caller)

    def wait_until_open(self, limit: timedelta) -> bool:
        """Let time pass until some node serves the group."""
        return self.driver.run_until(self.is_open, limit)

    def is_open(self) -> bool:
        """Return whether some node serves the group with a valid lease."""
        return self.find_leader() is not None

    def find_leader(self) -> str | None:
        """Return the name of the node that serves the group."""
        for name, node in self.driver.nodes.items():
            if not node.alive:
                continue
            state = node.node.dump()
            group = state["groups"].get(GROUP)
            leadership = state["leaderships"].get(GROUP)
            if group and group["phase"] == "open" and leadership["lease_valid"]:
                return name
        return None

    def find_primary(self) -> str:
        """Return the name of the primary that the leader uses."""
        leader = self.find_leader()
        if leader is None:
            return ""
        return self.driver.nodes[leader].node.dump()["groups"][GROUP]["primary"]

    def run_for(self, duration: timedelta) -> None:
        """Let load and faults go on."""
        self.driver.run_for(duration)
        self.check_now()

    def start_fault(self, kind: FaultKind) -> bool:
        """Start a fault unless enough are in effect."""
        if len(self.active) >= MAX_FAULTS:
            return False
        if any(fault.kind.name == kind.name for fault in self.active):
            return False
        target = kind.start(self)
        if not target:
            return False
        self.active.append(ActiveFault(kind, target))
        self.tally.count(self.tally.faults, kind.name)
        return True

    def end_fault(self, index: int = 0) -> None:
        """End one of the faults in effect."""
        if self.active:
            fault = self.active.pop(index % len(self.active))
            fault.kind.end(self, fault.target)

    def settle(self) -> None:
        """End all faults and wait until everything works again."""
        while self.active:
            self.end_fault()
        self.driver.heal()
        for name, node in list(self.driver.nodes.items()):
            if not node.alive:
                self.driver.restart_node(name)
        for server in self.driver.servers.values():
            server.up = True
        self._require(self.wait_until_open(SETTLE_LIMIT), "the group did not reopen")
        self.driver.run_for(seconds(10))
        self.paused_callers = True
        self.driver.run_for(seconds(10))
        stuck = [caller.name for caller in self.callers if caller.busy]
        self._require(not stuck, f"callers without an answer: {stuck}")

    def check_now(self) -> None:
        """Raise `ObserverError` if something seen so far breaks a promise."""
        if self.violations:
            raise ObserverError("; ".join(self.violations[:3]))
        for server in self.driver.servers.values():
            used = server.peak_sessions
            message = f"{server.database.name} had {used} connections"
            self._require(used <= CONNECTIONS, message)

    def check_contents(self) -> None:
        """Compare what callers were told with what the primary holds."""
        self._require(self.wait_until_open(SETTLE_LIMIT), "the group is not open")
        primary = self.driver.servers[self.find_primary()].database
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
        """Send a caller's statement; a dead instance answers as a lost one."""
        node = self.driver.nodes[caller.node]
        answered = [False]

        def take(answer: Answer, token: str) -> None:
            if answered[0]:
                self.violations.append(f"{caller.name} was answered twice")
                return
            answered[0] = True
            caller.token = token or caller.token
            done(answer)

        incarnation = node.instance.key

        def watch() -> None:
            current = self.driver.nodes[caller.node]
            if answered[0]:
                return
            if current.alive and current.instance.key == incarnation:
                self.driver.schedule(seconds(0.1), watch)
                return
            answered[0] = True
            done(Answer(Outcome.UNKNOWN, error=AnswerError.UPSTREAM_LOST))

        known = caller.session in node.node.board.entry.sessions
        if not node.alive or not (known or node.paused):
            self.driver.schedule(
                seconds(0.01),
                lambda: done(Answer(Outcome.UNKNOWN, error=AnswerError.NO_LEADER)),
            )
            return
        self.driver.send_statement(
            caller.node, caller.session, DATABASE, sql, take, options
        )
        self.driver.schedule(seconds(0.1), watch)

    def _put_record(self, path: str, text: str) -> None:
        key = f"records/{path}"
        current = self.driver.store.objects.get(key)
        version = current.version if current else 0
        self.driver.store.perform(PutObject(key, text, version))

    def _put_group_record(self, **extra: object) -> None:
        servers = self.driver.describe_group(GROUP)
        record = make_group_record(GROUP, servers, SLOTS, CONNECTIONS, **extra)
        self._put_record(f"group/{GROUP}", record)

    def plan_primary(self, server: str) -> None:
        """Ask by record for another primary."""
        self._put_group_record(preferred_primary=server)

    def _run_setup(self, sql: str) -> None:
        caller = Caller("setup", ACCOUNTS[0], uses_token=False)
        self._roam(caller)
        answers: list[Answer] = []
        self.send(caller, sql, answers.append)
        self.driver.run_until(lambda: bool(answers), seconds(10))
        ok = bool(answers) and answers[0].outcome is Outcome.ANSWERED
        self._require(ok, f"the setup failed: {answers}")

    def _roam(self, caller: Caller) -> None:
        """Connect a caller to some live instance."""
        alive = [name for name, node in self.driver.nodes.items() if node.alive]
        if not alive:
            return
        old = self.driver.nodes.get(caller.node)
        if caller.session and old is not None and old.alive:
            self.driver.close_session(caller.node, caller.session)
        caller.roams += 1
        caller.node = self.random.choice(sorted(alive))
        caller.session = f"{caller.name}/{caller.roams}"
        self.driver.open_session(caller.node, caller.session, caller.account)

    def _schedule_next(self, caller: Caller) -> None:
        caller.busy = False
        delay = self.settings.think_time * (0.5 + self.random.random())
        self.driver.schedule(delay, lambda: self._act(caller))

    def _act(self, caller: Caller) -> None:
        if self.paused_callers:
            return
        caller.busy = True
        node = self.driver.nodes[caller.node]
        known = caller.session in node.node.board.entry.sessions
        if not node.alive or not known or self.random.random() < 0.1:
            self._roam(caller)
        draw = self.random.random()
        if draw < self.settings.read_share:
            self._read_own(caller)
        elif draw < self.settings.read_share + self.settings.transaction_share:
            self._write_pair(caller)
        elif draw < 0.72:
            self._read_stated_age(caller)
        else:
            self._write(caller)

    def _options(self, caller: Caller, **extra: object) -> StatementOptions:
        token = caller.token if caller.uses_token else ""
        return StatementOptions(token=token, **extra)

    def _write(self, caller: Caller) -> None:
        keyed = self.random.random() < self.settings.keyed_share
        write = self._new_write(caller, keyed=keyed)
        key = f"key-{write.write_id}" if keyed else ""

        def done(answer: Answer) -> None:
            self._note_outcome(write, answer.outcome)
            if answer.outcome is Outcome.ANSWERED:
                caller.acknowledged = max(caller.acknowledged, write.number)
            elif answer.outcome is Outcome.UNKNOWN and keyed:
                self._repeat_keyed(caller, write, key)
                return
            self._schedule_next(caller)

        options = self._options(caller, request_key=key)
        self.send(caller, _insert(write), done, options)

    def _repeat_keyed(self, caller: Caller, write: ToldWrite, key: str) -> None:
        """Send a request again whose outcome is open, through any instance."""
        self._roam(caller)

        def done(answer: Answer) -> None:
            if answer.outcome is Outcome.ANSWERED:
                self._note_outcome(write, answer.outcome)
                caller.acknowledged = max(caller.acknowledged, write.number)
            self._schedule_next(caller)

        options = self._options(caller, request_key=key)
        self.send(caller, _insert(write), done, options)

    def _write_pair(self, caller: Caller) -> None:
        first = self._new_write(caller, pair=True)
        second = self._new_write(caller, pair_of=first)
        pair = (first, second)

        def note(outcome: Outcome) -> None:
            for write in pair:
                self._note_outcome(write, outcome)
            if outcome is Outcome.ANSWERED:
                caller.acknowledged = max(caller.acknowledged, second.number)

        def after_begin(answer: Answer) -> None:
            if answer.outcome is Outcome.ANSWERED:
                self.send(caller, _insert(first), after_first)
            else:
                note(Outcome.NOT_RUN)
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
            note(answer.outcome)
            if answer.outcome is Outcome.ANSWERED:
                self._schedule_next(caller)
            else:
                self.send(caller, "ROLLBACK", lambda _: self._schedule_next(caller))

        def give_up() -> None:
            # A transaction that was never committed has not run.
            note(Outcome.NOT_RUN)
            self.send(caller, "ROLLBACK", lambda _: self._schedule_next(caller))

        self.send(caller, "BEGIN", after_begin, self._options(caller))

    def _read_own(self, caller: Caller) -> None:
        """Read the caller's own last write."""
        expected = caller.acknowledged
        tag = self._next_tag()
        sql = f"SELECT '{tag}', max(n) FROM entry WHERE caller = '{caller.name}'"

        def done(answer: Answer) -> None:
            if answer.outcome is Outcome.ANSWERED:
                seen = self._unwrap(caller, answer, tag)
                if seen < expected:
                    self.violations.append(
                        f"{caller.name} wrote {expected} and read {seen} "
                        f"at {self.driver.now} from {answer.server}"
                    )
            self._schedule_next(caller)

        self.send(caller, sql, done, self._options(caller))

    def _read_stated_age(self, caller: Caller) -> None:
        """Read another caller's writes with a stated age."""
        other = self.random.choice(self.callers)
        tag = self._next_tag()
        sql = f"SELECT '{tag}', max(n) FROM entry WHERE caller = '{other.name}'"

        def done(answer: Answer) -> None:
            if answer.outcome is Outcome.ANSWERED:
                seen = self._unwrap(caller, answer, tag)
                self._check_age(other, seen)
            self._schedule_next(caller)

        self.send(caller, sql, done, self._options(caller, max_age=STATED_AGE))

    def _check_age(self, other: Caller, seen: int) -> None:
        # The nodes' clocks may be slow, so an age is exact up to their drift.
        age = STATED_AGE * (1 + 2 * self.settings.clock_drift) + seconds(0.01)
        limit = self.driver.now - age
        due = [
            write.number
            for write in self.writes.values()
            if write.caller == other.name
            and write.outcome is Outcome.ANSWERED
            and write.told_at <= limit
        ]
        expected = max(due, default=0)
        if seen < expected:
            self.violations.append(
                f"a read of stated age saw {seen} of {other.name}, not {expected}, "
                f"at {self.driver.now}"
            )

    def _unwrap(self, caller: Caller, answer: Answer, tag: str) -> int:
        rows = answer.result.rows
        found_tag, value = rows[0] if rows else (b"another request", b"")
        if found_tag != tag.encode():
            self.violations.append(f"{caller.name} got the answer of {found_tag!r}")
        self.tally.reads += 1
        return int(value or 0)

    def _new_write(
        self,
        caller: Caller,
        keyed: bool = False,
        pair: bool = False,
        pair_of: ToldWrite | None = None,
    ) -> ToldWrite:
        self._write_ids += 1
        caller.numbers += 1
        write_id = self._write_ids
        number = pair_of.pair if pair_of else (write_id if pair else 0)
        write = ToldWrite(
            write_id, caller.name, caller.numbers, number, keyed, self.driver.now
        )
        self.writes[write_id] = write
        return write

    def _note_outcome(self, write: ToldWrite, outcome: Outcome) -> None:
        write.outcome = outcome
        write.told_at = self.driver.now
        self.tally.count(self.tally.outcomes, outcome.value)

    def _next_tag(self) -> str:
        return f"tag-{self.random.randrange(1 << 40)}"

    def _check_write(self, write: ToldWrite, found: int) -> None:
        text = f"write {write.write_id} of {write.caller} told at {write.told_at}"
        self._require(found <= 1, f"{text} was recorded {found} times")
        if write.outcome is Outcome.ANSWERED:
            self._require(found == 1, f"{text} was acknowledged and is lost")
        if write.outcome is Outcome.NOT_RUN:
            self._require(found == 0, f"{text} was told as not run and is there")

    def _check_pairs(self, rows: list[tuple[int, int]]) -> None:
        pairs: dict[int, int] = {}
        for _, pair in rows:
            if pair:
                pairs[pair] = pairs.get(pair, 0) + 1
        halves = [pair for pair, count in pairs.items() if count != 2]
        self._require(not halves, f"transactions in part: {halves[:5]}")

    def _require(self, condition: bool, message: str) -> None:
        if not condition:
            raise ObserverError(f"{message} (at {self.driver.now})")


def _insert(write: ToldWrite) -> str:
    return (
        f"INSERT INTO entry VALUES ({write.write_id}, '{write.caller}', "
        f"{write.number}, {write.pair})"
    )
