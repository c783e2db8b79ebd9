"""Randomised runs: callers, faults, and an observer that sees only answers.

The observer compares what callers were told with what the servers hold in the
end. It knows nothing of the nodes, so it cannot share their mistakes.
"""

import json
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

from burdocksail.core import Answer, AnswerError, Outcome, seconds
from burdocksail.node import PutObject, StatementOptions
from burdocksail.standin._driver import STORE_NAME, Driver, DriverSettings
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
            used = server.most_sessions
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


def _pick_node(world: World) -> str:
    alive = [n for n, x in world.driver.nodes.items() if x.alive and not x.paused]
    return world.random.choice(sorted(alive)) if len(alive) > 2 else ""


def _pick_leader_or_node(world: World) -> str:
    leader = world.find_leader()
    if leader and world.random.random() < 0.6:
        return leader
    return _pick_node(world)


def _everything(world: World, without: str) -> list[str]:
    names = [*world.driver.nodes, *world.driver.servers, STORE_NAME]
    return [name for name in names if name != without]


def _crash(world: World) -> str:
    name = _pick_leader_or_node(world)
    if name:
        world.driver.crash_node(name)
    return name


def _restart(world: World, name: str) -> None:
    if not world.driver.nodes[name].alive:
        world.driver.restart_node(name)


def _stop(world: World) -> str:
    name = _pick_leader_or_node(world)
    if name:
        world.driver.stop_node(name)
    return name


def _end_stop(world: World, name: str) -> None:
    node = world.driver.nodes[name]
    if not node.alive:
        world.driver.restart_node(name)
        return
    # It is still finishing; a platform kills an instance in the end.
    world.driver.crash_node(name)
    world.driver.restart_node(name)


def _pause(world: World) -> str:
    name = _pick_leader_or_node(world)
    if name:
        duration = seconds(world.random.choice((0.3, 2.0, 3.5, 6.0)))
        world.driver.pause_node(name, duration)
    return name


def _isolate(world: World) -> str:
    name = _pick_leader_or_node(world)
    if name:
        world.driver.cut_off(name, _everything(world, name))
    return name


def _isolate_from_nodes(world: World) -> str:
    """Cut a node from its peers and the store, not from the servers."""
    name = _pick_leader_or_node(world)
    if name:
        others = [n for n in world.driver.nodes if n != name]
        world.driver.cut_off(name, [*others, STORE_NAME])
    return name


def _mute(world: World) -> str:
    """Cut one direction: a node hears and is not heard."""
    name = _pick_leader_or_node(world)
    if name:
        for other in _everything(world, name):
            world.driver.cut(name, other, one_way=True)
    return name


def _cut_domain(world: World) -> str:
    """Cut all instances and servers of a failure domain from the rest."""
    domain = world.random.choice(world.driver.settings.domains)
    inside = _list_domain(world, domain)
    for name in inside:
        for other in _everything(world, name):
            if other not in inside:
                world.driver.cut(name, other)
    return domain


def _list_domain(world: World, domain: str) -> set[str]:
    nodes = world.driver.nodes.items()
    servers = world.driver.servers.items()
    return {n for n, x in nodes if x.instance.failure_domain == domain} | {
        n for n, x in servers if x.domain == domain
    }


def _uncut(world: World, name: str) -> None:
    inside = _list_domain(world, name) or {name}
    world.driver.cuts = {
        (a, b) for a, b in world.driver.cuts if a not in inside and b not in inside
    }


def _cut_primary(world: World) -> str:
    name = world.find_primary()
    if name:
        world.driver.cut_off(name, _everything(world, name))
    return name


def _cut_primary_from_leader(world: World) -> str:
    name = world.find_primary()
    leader = world.find_leader()
    if name and leader:
        world.driver.cut(leader, name)
    return name


def _cut_answers(world: World) -> str:
    """The primary hears the leader, and its answers are lost."""
    name = world.find_primary()
    leader = world.find_leader()
    if name and leader:
        world.driver.cut(name, leader, one_way=True)
    return name


def _deafen(world: World) -> str:
    """Cut one direction: a node is heard and does not hear."""
    name = _pick_leader_or_node(world)
    if name:
        for other in _everything(world, name):
            world.driver.cut(other, name, one_way=True)
    return name


def _crash_server(world: World) -> str:
    names = sorted(world.driver.servers)
    primary = world.find_primary()
    name = primary if primary and world.random.random() < 0.6 else ""
    name = name or world.random.choice(names)
    world.driver.servers[name].up = False
    return name


def _raise_server(world: World, name: str) -> None:
    world.driver.servers[name].up = True


def _store_down(world: World) -> str:
    world.driver.store_faults.down = True
    return STORE_NAME


def _store_slow(world: World) -> str:
    world.driver.store_faults.extra_delay = seconds(0.8)
    return STORE_NAME


def _store_loses(world: World) -> str:
    world.driver.store_faults.lose_answers = 0.5
    return STORE_NAME


def _store_well(world: World, name: str) -> None:
    faults = world.driver.store_faults
    faults.down = False
    faults.extra_delay = timedelta()
    faults.lose_answers = 0.0


def _plan_primary(world: World) -> str:
    current = world.find_primary()
    others = [name for name in sorted(world.driver.servers) if name != current]
    target = world.random.choice(others)
    world.plan_primary(target)
    return target


def _grow_lag(world: World) -> str:
    world.driver.groups[GROUP].lag = seconds(0.4)
    return GROUP


def _shrink_lag(world: World, name: str) -> None:
    world.driver.groups[GROUP].lag = world.settings.lag


def _race_operators(world: World) -> str:
    """Two operators write the same record from the same version."""
    key = f"records/service/{SERVICE}"
    current = world.driver.store.objects[key]
    value = json.loads(current.value)
    for deadline in (4000, 5000):
        text = json.dumps({**value, "deadline_ms": deadline})
        world.driver.store.perform(PutObject(key, text, current.version))
    return SERVICE


def _nothing(world: World, name: str) -> None:
    """End a fault that ends by itself."""


FAULT_KINDS: tuple[FaultKind, ...] = (
    FaultKind("crash", _crash, _restart),
    FaultKind("stop", _stop, _end_stop),
    FaultKind("pause", _pause, _nothing),
    FaultKind("isolate", _isolate, _uncut),
    FaultKind("isolate_from_nodes", _isolate_from_nodes, _uncut),
    FaultKind("mute", _mute, _uncut),
    FaultKind("cut_domain", _cut_domain, _uncut),
    FaultKind("cut_primary", _cut_primary, _uncut),
    FaultKind("cut_primary_from_leader", _cut_primary_from_leader, _uncut),
    FaultKind("cut_answers", _cut_answers, _uncut),
    FaultKind("deafen", _deafen, _uncut),
    FaultKind("crash_server", _crash_server, _raise_server),
    FaultKind("store_down", _store_down, _store_well),
    FaultKind("store_slow", _store_slow, _store_well),
    FaultKind("store_loses", _store_loses, _store_well),
    FaultKind("plan_primary", _plan_primary, _nothing),
    FaultKind("grow_lag", _grow_lag, _shrink_lag),
    FaultKind("race_operators", _race_operators, _nothing),
)


def run_random_world(
    seed: int, steps: int, settings: WorldSettings | None = None
) -> World:
    """Run a world for a number of random steps and check it.

    Raises
    ------
    ObserverError, InvariantError
        If a promise was broken.
    """
    world = World(seed, settings)
    world.start()
    for _ in range(steps):
        draw = world.random.random()
        if draw < 0.35:
            world.start_fault(world.random.choice(FAULT_KINDS))
        elif draw < 0.55:
            world.end_fault(world.random.randrange(MAX_FAULTS))
        world.run_for(seconds(world.random.choice((0.05, 0.3, 1.0, 3.0))))
    world.settle()
    world.check_now()
    world.check_contents()
    return world
