"""In-memory driver: real nodes over fakes, in virtual time.

A queue of timed events and nothing else. The network knows delay, cuts and
loss; there is no model of bandwidth. Every random choice comes from one seed,
so a run is repeated exactly.
"""

import heapq
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from datetime import timedelta

from burdocksail.core import Answer, Instance, ManualClock, ResultSet, seconds
from burdocksail.node import (
    TICK_INTERVAL,
    AdminFinished,
    AwaitPosition,
    CallStore,
    CloseConnection,
    Effect,
    Event,
    ListedInstance,
    MessageArrived,
    MessageNotSent,
    Node,
    NodeSettings,
    OpenConnection,
    OperationFinished,
    OperationResult,
    OperationStatus,
    PeerUnreachable,
    PutObject,
    Reply,
    ReportStopped,
    RunAdmin,
    RunOperation,
    Send,
    SessionEnded,
    SessionOpened,
    StatementArrived,
    StatementOptions,
    StopRequested,
    StoreReplied,
    StoreReply,
    StoreStatus,
    Tick,
    UpstreamClosed,
    UpstreamConnected,
    WatchObjects,
)
from burdocksail.records import Server
from burdocksail.standin._database import (
    DatabaseGroup,
    DatabaseServer,
    DatabaseSession,
    LockWaitError,
    find_wait,
    measure_sleep,
)
from burdocksail.standin._store_model import StoreModel, perform_watch
from burdocksail.upstream import UpstreamError, script_admin, script_operation

STORE_DELAY = seconds(0.002)
SAME_DOMAIN_DELAY = seconds(0.0003)
LOCK_POLL = seconds(0.001)
LOCK_TIMEOUT = seconds(2)
REPLICATION_STEP = seconds(0.005)
WATCH_POLL = seconds(0.05)
STORE_NAME = "store"
RETRANSMIT_INTERVAL = seconds(0.1)
PEER_TIMEOUT = seconds(2)

AnswerCallback = Callable[[Answer, str], None]


@dataclass(slots=True)
class DriverSettings:
    """Sizes and delays of a run; delays are one way."""

    domains: tuple[str, ...] = ("inari", "kajaani", "tampere")
    domain_delay: timedelta = seconds(0.0015)
    connect_delay: timedelta = seconds(0.01)
    work_time: timedelta = seconds(0.002)
    lag: timedelta = seconds(0.05)
    slots: int = 3
    token_key: bytes = b"driver"


@dataclass(slots=True)
class StoreFaults:
    """What is wrong with the store at present."""

    down: bool = False
    extra_delay: timedelta = timedelta()
    lose_answers: float = 0.0


@dataclass(slots=True)
class DriverNode:
    """A node with the state of its process."""

    node: Node
    clock: ManualClock
    instance: Instance
    alive: bool = True
    paused: bool = False
    stopped: bool = False
    backlog: list[Event] = field(default_factory=list)
    connections: dict[int, "DriverConnection"] = field(default_factory=dict)


@dataclass(slots=True)
class DriverConnection:
    """A connection from a node to a server."""

    connection_id: int
    server: "DriverServer"
    session: DatabaseSession
    open: bool = True


@dataclass(slots=True)
class DriverServer:
    """A database server with its slots and connections."""

    database: DatabaseServer
    domain: str
    lanes: list[timedelta]
    up: bool = True
    sessions: int = 0
    most_sessions: int = 0


class Driver:
    """Nodes, a store and database groups in virtual time.

    Parameters
    ----------
    settings : DriverSettings
        Sizes and delays.
    seed : int
        Seed of everything random.
    """

    def __init__(self, settings: DriverSettings, seed: int):
        self.settings = settings
        self.random = random.Random(seed)
        self.now = timedelta()
        self.nodes: dict[str, DriverNode] = {}
        self.groups: dict[str, DatabaseGroup] = {}
        self.servers: dict[str, DriverServer] = {}
        self.store = StoreModel()
        self.store_faults = StoreFaults()
        self.cuts: set[tuple[str, str]] = set()
        self.replies: dict[str, AnswerCallback] = {}
        self.on_node_error: Callable[[str, Exception], None] | None = None
        self._events: list[tuple[timedelta, int, Callable[[], None]]] = []
        self._sequence = 0
        self._incarnations = 0
        self._requests = 0
        self.schedule(REPLICATION_STEP, self._replicate)

    def schedule(self, delay: timedelta, action: Callable[[], None]) -> None:
        """Run `action` after `delay`."""
        self._sequence += 1
        heapq.heappush(self._events, (self.now + delay, self._sequence, action))

    def run_for(self, duration: timedelta) -> None:
        """Let virtual time pass."""
        end = self.now + duration
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = end

    def run_until(self, condition: Callable[[], bool], limit: timedelta) -> bool:
        """Let time pass until a condition holds; return whether it does."""
        end = self.now + limit
        while not condition() and self._events and self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()
        return condition()

    def add_group(self, name: str, domains: Iterable[str] | None = None) -> None:
        """Add a database group with one server in each domain."""
        databases = []
        for index, domain in enumerate(domains or self.settings.domains):
            port = 3000 + len(self.servers)
            database = DatabaseServer(f"{name}-{index}", "10.0.0.1", port)
            databases.append(database)
            lanes = [timedelta()] * self.settings.slots
            self.servers[database.name] = DriverServer(database, domain, lanes)
        self.groups[name] = DatabaseGroup(databases, self.settings.lag)

    def describe_group(self, name: str) -> list[Server]:
        """Return the records of a group's servers."""
        return [
            Server(d.name, d.host, d.port, self.servers[d.name].domain)
            for d in self.groups[name].servers
        ]

    def add_node(self, name: str, domain: str, rate: float = 1.0) -> DriverNode:
        """Start an instance; its clock runs at `rate`."""
        self._incarnations += 1
        incarnation = f"{self._incarnations:04d}"
        instance = Instance(name, incarnation, domain, "10.1.0.1", 4000)
        clock = ManualClock(rate)
        clock.set_true_time(self.now)
        seeds = tuple(n.instance for n in self.nodes.values() if n.alive)
        settings = NodeSettings(instance, self.settings.token_key, seeds[:3])
        node = Node(settings, clock, self.random.randrange(1 << 30))
        driver_node = DriverNode(node, clock, instance)
        self.nodes[name] = driver_node
        self._list_instances()
        self._perform(driver_node, node.start())
        phase = TICK_INTERVAL * self.random.random()
        self.schedule(phase, lambda: self._tick(driver_node))
        return driver_node

    def crash_node(self, name: str) -> None:
        """End an instance at once, without notice."""
        crashed = self.nodes[name]
        crashed.alive = False
        for connection in list(crashed.connections.values()):
            self._close(crashed, connection)
        self.schedule(seconds(5), self._list_instances)

    def restart_node(self, name: str) -> DriverNode:
        """Start a new incarnation of an instance that has ended."""
        return self.add_node(name, self.nodes[name].instance.failure_domain)

    def stop_node(self, name: str) -> None:
        """Ask an instance to stop gracefully."""
        self.deliver(self.nodes[name], StopRequested())

    def pause_node(self, name: str, duration: timedelta) -> None:
        """Suspend an instance; time goes on without it."""
        paused = self.nodes[name]
        paused.paused = True

        def resume() -> None:
            paused.paused = False
            backlog, paused.backlog = paused.backlog, []
            for event in backlog:
                self.deliver(paused, event)

        self.schedule(duration, resume)

    def cut(self, left: str, right: str, one_way: bool = False) -> None:
        """Cut the link between two names: nodes, servers or the store."""
        self.cuts.add((left, right))
        if not one_way:
            self.cuts.add((right, left))

    def cut_off(self, name: str, others: Iterable[str]) -> None:
        """Cut a name from several others."""
        for other in others:
            self.cut(name, other)

    def heal(self) -> None:
        """Undo all cuts."""
        self.cuts.clear()

    def open_session(self, node_name: str, session_id: str, account: str) -> None:
        """Connect a caller to an instance."""
        self.deliver(self.nodes[node_name], SessionOpened(session_id, account))

    def close_session(self, node_name: str, session_id: str) -> None:
        """Disconnect a caller."""
        self.deliver(self.nodes[node_name], SessionEnded(session_id))

    def send_statement(
        self,
        node_name: str,
        session_id: str,
        database: str,
        sql: str,
        callback: AnswerCallback,
        options: StatementOptions | None = None,
    ) -> str:
        """Send a caller's statement; `callback` gets the answer and token."""
        self._requests += 1
        request_id = f"{session_id}#{self._requests}"
        self.replies[request_id] = callback
        event = StatementArrived(
            request_id, session_id, database, sql, options or StatementOptions()
        )
        self.deliver(self.nodes[node_name], event)
        return request_id

    def deliver(self, target: DriverNode, event: Event) -> None:
        """Let a node handle an event now, or later if it is paused."""
        if not target.alive:
            return
        if target.paused:
            if not isinstance(event, Tick):
                target.backlog.append(event)
            return
        target.clock.set_true_time(self.now)
        try:
            effects = target.node.handle(event)
        except Exception as error:
            if self.on_node_error is None:
                raise
            self.on_node_error(target.instance.name, error)
            return
        self._perform(target, effects)

    def measure_delay(self, left: str, right: str) -> timedelta:
        """Return the one-way delay between two failure domains."""
        near = left == right
        base = SAME_DOMAIN_DELAY if near else self.settings.domain_delay
        return base * (0.9 + 0.2 * self.random.random())

    def is_linked(self, sender: str, receiver: str) -> bool:
        """Return whether what `sender` sends reaches `receiver`."""
        return (sender, receiver) not in self.cuts

    def _tick(self, target: DriverNode) -> None:
        if target.alive:
            self.deliver(target, Tick())
            self.schedule(TICK_INTERVAL, lambda: self._tick(target))

    def _replicate(self) -> None:
        for group in self.groups.values():
            group.cut_servers = {
                server.name
                for server in group.servers
                if not self.servers[server.name].up
            }
            for server in group.servers:
                source = group.find_server(server.source)
                if source and not self.is_linked(source.name, server.name):
                    group.cut_servers.add(server.name)
            group.replicate(self.now)
        self.schedule(REPLICATION_STEP, self._replicate)

    def _list_instances(self) -> None:
        self.store.instances = tuple(
            ListedInstance(
                n.instance.name,
                n.instance.incarnation,
                n.instance.failure_domain,
                n.instance.host,
                n.instance.port,
            )
            for n in self.nodes.values()
            if n.alive
        )

    def _perform(self, source: DriverNode, effects: list[Effect]) -> None:
        for effect in effects:
            _PERFORMERS[type(effect)](self, source, effect)

    def _reply(self, source: DriverNode, effect: Reply) -> None:
        callback = self.replies.pop(effect.request_id, None)
        if callback is not None:
            callback(effect.answer, effect.token)

    def _send(self, source: DriverNode, effect: Send) -> None:
        """Send as a transport does: again until it arrives or is given up."""
        sender = source.instance
        receiver = effect.receiver
        delay = self.measure_delay(sender.failure_domain, receiver.failure_domain)
        limit = self.now + PEER_TIMEOUT

        def arrive() -> None:
            if not self.is_linked(sender.name, receiver.name):
                if self.now < limit:
                    self.schedule(RETRANSMIT_INTERVAL, arrive)
                else:
                    self.deliver(source, PeerUnreachable(receiver))
                return
            target = self.nodes.get(receiver.name)
            if target is None or not target.alive:
                self.schedule(delay, refuse)
                return
            self.deliver(target, MessageArrived(sender, effect.message))

        def refuse() -> None:
            if self.is_linked(receiver.name, sender.name):
                self.deliver(source, MessageNotSent(receiver, effect.message))
                self.deliver(source, PeerUnreachable(receiver))

        self.schedule(delay, arrive)

    def _open(self, source: DriverNode, effect: OpenConnection) -> None:
        server = self.servers[effect.server.name]
        session = DatabaseSession(effect.connection_id)
        connection = DriverConnection(effect.connection_id, server, session)
        source.connections[effect.connection_id] = connection
        delay = self._measure_upstream(source, server)

        def connect() -> None:
            if not connection.open:
                return
            if not self._reaches(source, server):
                self.schedule(RETRANSMIT_INTERVAL, connect)
                return
            if not server.up:
                del source.connections[effect.connection_id]
                self.deliver(source, UpstreamClosed(effect.connection_id, "refused"))
                return
            server.sessions += 1
            server.most_sessions = max(server.most_sessions, server.sessions)
            session.session_id = -effect.connection_id
            self.deliver(source, UpstreamConnected(effect.connection_id))

        self.schedule(delay * 2 + self.settings.connect_delay, connect)

    def _close_effect(self, source: DriverNode, effect: CloseConnection) -> None:
        connection = source.connections.get(effect.connection_id)
        if connection is not None:
            self._close(source, connection)

    def _close(self, source: DriverNode, connection: DriverConnection) -> None:
        connection.open = False
        source.connections.pop(connection.connection_id, None)
        if connection.session.session_id < 0:
            connection.server.sessions -= 1
            connection.server.database.close_session(connection.session)

    def _run(self, source: DriverNode, effect: RunOperation) -> None:
        operation = effect.operation
        connection = source.connections.get(operation.connection_id)
        if connection is None or not connection.open:
            result = OperationResult(OperationStatus.NOT_SENT)
            event = OperationFinished(operation.operation_id, result)
            self.schedule(timedelta(), lambda: self.deliver(source, event))
            return
        script = script_operation(operation)

        def finish(result: OperationResult | None) -> None:
            if result is None:
                self._close(source, connection)
                result = OperationResult(OperationStatus.LOST, message="broken")
            self.deliver(source, OperationFinished(operation.operation_id, result))

        _ScriptRun(self, source, connection, script, finish).advance(None)

    def _run_admin(self, source: DriverNode, effect: RunAdmin) -> None:
        server = self.servers[effect.server.name]
        connection = DriverConnection(0, server, DatabaseSession(0))
        script = script_admin(effect.action)
        done = [False]

        def finish(report: object) -> None:
            if not done[0]:
                done[0] = True
                self.deliver(source, AdminFinished(effect.action_id, report))

        run = _ScriptRun(self, source, connection, script, finish)
        if isinstance(effect.action, AwaitPosition):
            run.patience = effect.timeout
        run.advance(None)
        self.schedule(effect.timeout, lambda: finish(None))

    def _call_store(self, source: DriverNode, effect: CallStore) -> None:
        deadline = self.now + effect.timeout
        answered = [False]
        name = source.instance.name

        def answer(reply: StoreReply) -> None:
            if not answered[0]:
                answered[0] = True
                self.deliver(source, StoreReplied(effect.call_id, reply))

        def give_up() -> None:
            answer(StoreReply(StoreStatus.UNAVAILABLE))

        def reach() -> None:
            if self.store_faults.down or not self.is_linked(name, STORE_NAME):
                return
            reply = self.store.perform(effect.operation)
            if reply is None:
                self.schedule(WATCH_POLL, poll)
            else:
                send_back(reply)

        def poll() -> None:
            assert isinstance(effect.operation, WatchObjects)
            if answered[0] or not source.alive:
                return
            reply = perform_watch(self.store, effect.operation)
            if self.store_faults.down:
                reply = None
            if reply is None and self.now + STORE_DELAY >= deadline - seconds(2):
                reply = StoreReply(StoreStatus.OK, revision=self.store.revision)
            if reply is None:
                self.schedule(WATCH_POLL, poll)
            else:
                send_back(reply)

        def send_back(reply: StoreReply) -> None:
            lost = (
                isinstance(effect.operation, PutObject)
                and self.random.random() < self.store_faults.lose_answers
            )
            if lost or not self.is_linked(STORE_NAME, name):
                return
            self.schedule(STORE_DELAY, lambda: answer(reply))

        self.schedule(STORE_DELAY + self.store_faults.extra_delay, reach)
        self.schedule(effect.timeout, give_up)

    def _stopped(self, source: DriverNode, effect: ReportStopped) -> None:
        source.stopped = True
        source.alive = False
        for connection in list(source.connections.values()):
            self._close(source, connection)
        self._list_instances()

    def _measure_upstream(self, source: DriverNode, server: DriverServer) -> timedelta:
        return self.measure_delay(source.instance.failure_domain, server.domain)

    def _reaches(self, source: DriverNode, server: DriverServer) -> bool:
        return self.is_linked(source.instance.name, server.database.name)


class _ScriptRun:
    """One script on one connection, a statement at a time."""

    def __init__(
        self,
        driver: Driver,
        source: DriverNode,
        connection: DriverConnection,
        script: object,
        finish: Callable,
    ):
        self.driver = driver
        self.source = source
        self.connection = connection
        self.script = script
        self.finish = finish
        self.patience = LOCK_TIMEOUT

    def advance(self, outcome: ResultSet | UpstreamError | None) -> None:
        """Send the script a result and start its next statement."""
        try:
            if isinstance(outcome, UpstreamError):
                sql = self.script.throw(outcome)
            else:
                sql = self.script.send(outcome)
        except StopIteration as stop:
            self.finish(stop.value)
            return
        except UpstreamError:
            self.finish(None)
            return
        delay = self.driver._measure_upstream(self.source, self.connection.server)
        self.driver.schedule(delay, lambda: self._arrive(sql))

    def _arrive(self, sql: str) -> None:
        """The statement reaches the server, which finds a slot for it."""
        server = self.connection.server
        if not self.connection.open:
            return
        if not self._is_linked_to():
            self.driver.schedule(RETRANSMIT_INTERVAL, lambda: self._arrive(sql))
            return
        if not server.up:
            self._return_failure()
            return
        wait = find_wait(sql)
        if wait is not None:
            self._await_vector(sql, wait[0], self.driver.now + wait[1])
            return
        duration = measure_sleep(sql)
        if not sql.startswith(("SET", "SELECT @@", "CHANGE")):
            duration += self.driver.settings.work_time
        lane = min(range(len(server.lanes)), key=server.lanes.__getitem__)
        free_at = max(self.driver.now, server.lanes[lane])
        if duration:
            server.lanes[lane] = free_at + duration
        else:
            free_at = self.driver.now
        limit = free_at + duration + LOCK_TIMEOUT
        in_transaction = self.connection.session.in_transaction
        self.driver.schedule(
            free_at + duration - self.driver.now,
            lambda: self._execute(sql, limit, in_transaction),
        )

    def _execute(self, sql: str, limit: timedelta, in_transaction: bool) -> None:
        server = self.connection.server
        if not server.up:
            self._return_failure()
            return
        if in_transaction and not self.connection.open:
            # The transaction was rolled back with its connection.
            return
        try:
            outcome: ResultSet | UpstreamError = server.database.execute(
                self.connection.session, sql, self.driver.now
            )
        except LockWaitError:
            if not self.connection.open:
                return
            if self.driver.now < limit:
                self.driver.schedule(
                    LOCK_POLL, lambda: self._execute(sql, limit, in_transaction)
                )
                return
            outcome = UpstreamError(1205, "Lock wait timeout exceeded")
        except UpstreamError as error:
            outcome = error
        self._return(outcome)

    def _await_vector(self, sql: str, wanted: object, limit: timedelta) -> None:
        database = self.connection.server.database
        if database.vector.covers_all(wanted) or self.driver.now >= limit:
            self._return(ResultSet())
            return
        self.driver.schedule(LOCK_POLL, lambda: self._await_vector(sql, wanted, limit))

    def _return(self, outcome: ResultSet | UpstreamError) -> None:
        self._send_back(lambda: self.advance(outcome))

    def _return_failure(self) -> None:
        self._send_back(lambda: self.finish(None))

    def _send_back(self, arrived: Callable[[], None]) -> None:
        delay = self.driver._measure_upstream(self.source, self.connection.server)

        def arrive() -> None:
            if not self.connection.open:
                return
            if self._is_linked_from():
                arrived()
            else:
                self.driver.schedule(RETRANSMIT_INTERVAL, arrive)

        self.driver.schedule(delay, arrive)

    def _is_linked_to(self) -> bool:
        server = self.connection.server.database.name
        return self.driver.is_linked(self.source.instance.name, server)

    def _is_linked_from(self) -> bool:
        server = self.connection.server.database.name
        return self.driver.is_linked(server, self.source.instance.name)


_PERFORMERS = {
    Reply: Driver._reply,
    Send: Driver._send,
    OpenConnection: Driver._open,
    CloseConnection: Driver._close_effect,
    RunOperation: Driver._run,
    RunAdmin: Driver._run_admin,
    CallStore: Driver._call_store,
    ReportStopped: Driver._stopped,
}
