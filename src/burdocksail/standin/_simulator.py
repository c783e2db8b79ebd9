"""Discrete-event simulator that runs `burdocksail.node` nodes in virtual time.

The store and the database groups are models. A node is the simulated process of
one instance; both have the same name.

All activity is a queue of timed events. The network model has delay, cut links
and loss, but no bandwidth. Every random choice comes from one seed, so a run
can be repeated exactly.
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
    parse_sleep,
    parse_wait,
)
from burdocksail.standin._store_model import StoreModel, perform_watch
from burdocksail.upstream import (
    UpstreamError,
    build_admin_script,
    build_operation_script,
)

STORE_DELAY = seconds(0.002)
SAME_DOMAIN_DELAY = seconds(0.0003)
RETRY_INTERVAL = seconds(0.001)  # between checks of a lock or of applied positions
LOCK_TIMEOUT = seconds(2)
REPLICATION_INTERVAL = seconds(0.005)
WATCH_POLL_INTERVAL = seconds(0.05)
STORE_NAME = "store"
RETRANSMIT_INTERVAL = seconds(0.1)
PEER_TIMEOUT = seconds(2)

AnswerCallback = Callable[[Answer, str], None]


@dataclass(slots=True)
class SimulatorSettings:
    """Sizes and delays of a run; network delays are one way.

    Attributes
    ----------
    domain_delay : timedelta
        Delay between two failure domains.
    connect_delay : timedelta
        Time that opening a connection takes besides the round trip.
    service_time : timedelta
        Time for which a statement occupies a slot, besides any ``SLEEP``.
    lag : timedelta
        Replication lag.
    slots : int
        Statements that a server runs at the same time.
    """

    domains: tuple[str, ...] = ("inari", "kajaani", "tampere")
    domain_delay: timedelta = seconds(0.0015)
    connect_delay: timedelta = seconds(0.01)
    service_time: timedelta = seconds(0.002)
    lag: timedelta = seconds(0.05)
    slots: int = 3
    token_key: bytes = b"driver"


@dataclass(slots=True)
class StoreFaults:
    """Faults of the store that are in effect.

    Attributes
    ----------
    down : bool
        New requests get no answer.
    extra_delay : timedelta
        Added to the delay of each request.
    answer_loss_probability : float
        Probability that the answer to a write is lost after the write was performed.
    """

    down: bool = False
    extra_delay: timedelta = timedelta()
    answer_loss_probability: float = 0.0


@dataclass(slots=True)
class SimulatedNode:
    """A node with the state of its process.

    Attributes
    ----------
    stopped : bool
        Whether the node ended by a graceful stop.
    backlog : list of Event
        Events that arrived while the process was paused.
    connections : dict
        Open or opening connections to servers, by connection id.
    """

    node: Node
    clock: ManualClock
    instance: Instance
    alive: bool = True
    paused: bool = False
    stopped: bool = False
    backlog: list[Event] = field(default_factory=list)
    connections: dict[int, "SimulatedConnection"] = field(default_factory=dict)


@dataclass(slots=True)
class SimulatedConnection:
    """A connection from a node to a server."""

    connection_id: int
    server: "SimulatedServer"
    session: DatabaseSession
    open: bool = True


@dataclass(slots=True)
class SimulatedServer:
    """A database server with its slots and connections.

    Attributes
    ----------
    slot_free_at : list of timedelta
        For each slot, the time at which its last statement ends.
    open_connections : int
        Connections that are open now.
    peak_connections : int
        Greatest number of connections that were open at the same time.
    """

    model: DatabaseServer
    domain: str
    slot_free_at: list[timedelta]
    up: bool = True
    open_connections: int = 0
    peak_connections: int = 0


class Simulator:
    """Runs nodes, a store and database groups in virtual time.

    Parameters
    ----------
    settings : SimulatorSettings
        Sizes and delays.
    seed : int
        Seed of every random choice.
    """

    def __init__(self, settings: SimulatorSettings, seed: int):
        self.settings = settings
        self.random = random.Random(seed)
        self.now = timedelta()
        self.nodes: dict[str, SimulatedNode] = {}
        self.groups: dict[str, DatabaseGroup] = {}
        self.servers: dict[str, SimulatedServer] = {}
        self.store = StoreModel()
        self.store_faults = StoreFaults()
        self.cut_links: set[tuple[str, str]] = set()
        self.reply_callbacks: dict[str, AnswerCallback] = {}
        self.on_node_error: Callable[[str, Exception], None] | None = None
        self._events: list[tuple[timedelta, int, Callable[[], None]]] = []
        self._sequence = 0
        self._incarnations = 0
        self._requests = 0
        self.schedule(REPLICATION_INTERVAL, self._replicate)

    def schedule(self, delay: timedelta, action: Callable[[], None]) -> None:
        """Schedule `action` to run after `delay`."""
        self._sequence += 1
        heapq.heappush(self._events, (self.now + delay, self._sequence, action))

    def run_for(self, duration: timedelta) -> None:
        """Advance virtual time by `duration` and run all events that fall due."""
        end = self.now + duration
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = end

    def run_until(self, condition: Callable[[], bool], limit: timedelta) -> bool:
        """Run events until a condition holds or `limit` has passed.

        Returns
        -------
        bool
            Whether the condition holds.
        """
        end = self.now + limit
        while not condition() and self._events and self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()
        return condition()

    def add_group(self, name: str, domains: Iterable[str] | None = None) -> None:
        """Add a database group with one server in each failure domain."""
        models = []
        for index, domain in enumerate(domains or self.settings.domains):
            port = 3000 + len(self.servers)
            model = DatabaseServer(f"{name}-{index}", "10.0.0.1", port)
            models.append(model)
            slot_free_at = [timedelta()] * self.settings.slots
            self.servers[model.name] = SimulatedServer(model, domain, slot_free_at)
        self.groups[name] = DatabaseGroup(models, self.settings.lag)

    def describe_group(self, name: str) -> list[Server]:
        """Return the server entries for the group's record."""
        return [
            Server(d.name, d.host, d.port, self.servers[d.name].domain)
            for d in self.groups[name].servers
        ]

    def add_node(self, name: str, domain: str, rate: float = 1.0) -> SimulatedNode:
        """Start a node.

        Its clock runs at `rate` relative to virtual time; 1.01 gains one percent.
        """
        self._incarnations += 1
        incarnation = f"{self._incarnations:04d}"
        instance = Instance(name, incarnation, domain, "10.1.0.1", 4000)
        clock = ManualClock(rate)
        clock.set_true_time(self.now)
        seeds = tuple(n.instance for n in self.nodes.values() if n.alive)
        settings = NodeSettings(instance, self.settings.token_key, seeds[:3])
        node = Node(settings, clock, self.random.randrange(1 << 30))
        simulated_node = SimulatedNode(node, clock, instance)
        self.nodes[name] = simulated_node
        self._list_instances()
        self._perform(simulated_node, node.start())
        tick_offset = TICK_INTERVAL * self.random.random()
        self.schedule(tick_offset, lambda: self._tick(simulated_node))
        return simulated_node

    def crash_node(self, name: str) -> None:
        """Kill a node without a graceful stop and close its connections.

        Its instance leaves the store's list of instances after 5 s at the latest.
        """
        crashed = self.nodes[name]
        crashed.alive = False
        for connection in list(crashed.connections.values()):
            self._drop_connection(crashed, connection)
        self.schedule(seconds(5), self._list_instances)

    def restart_node(self, name: str) -> SimulatedNode:
        """Start a new incarnation of a node that has ended."""
        return self.add_node(name, self.nodes[name].instance.failure_domain)

    def stop_node(self, name: str) -> None:
        """Ask a node to stop gracefully."""
        self.deliver(self.nodes[name], StopRequested())

    def pause_node(self, name: str, duration: timedelta) -> None:
        """Suspend a node for `duration`.

        Events other than ticks are delivered when it resumes.
        """
        paused = self.nodes[name]
        paused.paused = True

        def resume() -> None:
            paused.paused = False
            backlog, paused.backlog = paused.backlog, []
            for event in backlog:
                self.deliver(paused, event)

        self.schedule(duration, resume)

    def cut(self, left: str, right: str, one_way: bool = False) -> None:
        """Cut the link between two endpoints: nodes, servers or the store.

        If `one_way`, only what `left` sends to `right` is lost.
        """
        self.cut_links.add((left, right))
        if not one_way:
            self.cut_links.add((right, left))

    def cut_off(self, name: str, others: Iterable[str]) -> None:
        """Cut the links between one endpoint and several others."""
        for other in others:
            self.cut(name, other)

    def heal(self) -> None:
        """Restore all links."""
        self.cut_links.clear()

    def open_session(self, node_name: str, session_id: str, account: str) -> None:
        """Connect a caller to a node."""
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
        """Send a caller's statement and return the id of the request.

        `callback` is called with the answer and the session's consistency token.
        """
        self._requests += 1
        request_id = f"{session_id}#{self._requests}"
        self.reply_callbacks[request_id] = callback
        event = StatementArrived(
            request_id, session_id, database, sql, options or StatementOptions()
        )
        self.deliver(self.nodes[node_name], event)
        return request_id

    def deliver(self, target: SimulatedNode, event: Event) -> None:
        """Have a node handle an event, and perform the effects that it returns.

        If the node is not alive the event is dropped. If it is paused a tick is
        dropped and any other event waits until it resumes. An exception of the
        node is passed to `on_node_error` if that is set.
        """
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

    def draw_delay(self, left: str, right: str) -> timedelta:
        """Draw a one-way delay between two failure domains.

        It lies within 10% of the configured delay.
        """
        same_domain = left == right
        base = SAME_DOMAIN_DELAY if same_domain else self.settings.domain_delay
        return base * (0.9 + 0.2 * self.random.random())

    def is_linked(self, sender: str, receiver: str) -> bool:
        """Return whether the link from `sender` to `receiver` is intact."""
        return (sender, receiver) not in self.cut_links

    def _tick(self, target: SimulatedNode) -> None:
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
        self.schedule(REPLICATION_INTERVAL, self._replicate)

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

    def _perform(self, source: SimulatedNode, effects: list[Effect]) -> None:
        for effect in effects:
            _EFFECT_HANDLERS[type(effect)](self, source, effect)

    def _deliver_reply(self, source: SimulatedNode, effect: Reply) -> None:
        callback = self.reply_callbacks.pop(effect.request_id, None)
        if callback is not None:
            callback(effect.answer, effect.token)

    def _send_message(self, source: SimulatedNode, effect: Send) -> None:
        """Send a message, retransmitting until it arrives or `PEER_TIMEOUT` passes."""
        sender = source.instance
        receiver = effect.receiver
        delay = self.draw_delay(sender.failure_domain, receiver.failure_domain)
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

    def _open_connection(self, source: SimulatedNode, effect: OpenConnection) -> None:
        server = self.servers[effect.server.name]
        session = DatabaseSession(effect.connection_id)
        connection = SimulatedConnection(effect.connection_id, server, session)
        source.connections[effect.connection_id] = connection
        delay = self._draw_upstream_delay(source, server)

        def connect() -> None:
            if not connection.open:
                return
            if not self._can_reach(source, server):
                self.schedule(RETRANSMIT_INTERVAL, connect)
                return
            if not server.up:
                del source.connections[effect.connection_id]
                self.deliver(source, UpstreamClosed(effect.connection_id, "refused"))
                return
            server.open_connections += 1
            server.peak_connections = max(
                server.peak_connections, server.open_connections
            )
            # A negative id marks the connection as established.
            session.session_id = -effect.connection_id
            self.deliver(source, UpstreamConnected(effect.connection_id))

        self.schedule(delay * 2 + self.settings.connect_delay, connect)

    def _close_connection(self, source: SimulatedNode, effect: CloseConnection) -> None:
        connection = source.connections.get(effect.connection_id)
        if connection is not None:
            self._drop_connection(source, connection)

    def _drop_connection(
        self, source: SimulatedNode, connection: SimulatedConnection
    ) -> None:
        connection.open = False
        source.connections.pop(connection.connection_id, None)
        if connection.session.session_id < 0:
            connection.server.open_connections -= 1
            connection.server.model.close_session(connection.session)

    def _run_operation(self, source: SimulatedNode, effect: RunOperation) -> None:
        operation = effect.operation
        connection = source.connections.get(operation.connection_id)
        if connection is None or not connection.open:
            result = OperationResult(OperationStatus.NOT_SENT)
            event = OperationFinished(operation.operation_id, result)
            self.schedule(timedelta(), lambda: self.deliver(source, event))
            return
        script = build_operation_script(operation)

        def finish(result: OperationResult | None) -> None:
            if result is None:
                self._drop_connection(source, connection)
                result = OperationResult(OperationStatus.LOST, message="broken")
            self.deliver(source, OperationFinished(operation.operation_id, result))

        _ScriptRun(self, source, connection, script, finish).advance(None)

    def _run_admin_action(self, source: SimulatedNode, effect: RunAdmin) -> None:
        server = self.servers[effect.server.name]
        connection = SimulatedConnection(0, server, DatabaseSession(0))
        script = build_admin_script(effect.action)
        done = [False]

        def finish(report: object) -> None:
            if not done[0]:
                done[0] = True
                self.deliver(source, AdminFinished(effect.action_id, report))

        run = _ScriptRun(self, source, connection, script, finish)
        if isinstance(effect.action, AwaitPosition):
            run.lock_timeout = effect.timeout
        run.advance(None)
        self.schedule(effect.timeout, lambda: finish(None))

    def _call_store(self, source: SimulatedNode, effect: CallStore) -> None:
        deadline = self.now + effect.timeout
        answered = [False]
        name = source.instance.name

        def answer(reply: StoreReply) -> None:
            if not answered[0]:
                answered[0] = True
                self.deliver(source, StoreReplied(effect.call_id, reply))

        def give_up() -> None:
            answer(StoreReply(StoreStatus.UNAVAILABLE))

        def arrive_at_store() -> None:
            if self.store_faults.down or not self.is_linked(name, STORE_NAME):
                return
            reply = self.store.perform(effect.operation)
            if reply is None:
                self.schedule(WATCH_POLL_INTERVAL, poll)
            else:
                return_reply(reply)

        def poll() -> None:
            assert isinstance(effect.operation, WatchObjects)
            if answered[0] or not source.alive:
                return
            if self.store_faults.down:
                self.schedule(WATCH_POLL_INTERVAL, poll)
                return
            reply = perform_watch(self.store, effect.operation)
            # The call times out 2 s after its watch (22 s and 20 s), so a watch
            # without changes is answered 2 s before the deadline of the call.
            if reply is None and self.now + STORE_DELAY >= deadline - seconds(2):
                reply = self.store.make_reply(StoreStatus.OK)
            if reply is None:
                self.schedule(WATCH_POLL_INTERVAL, poll)
            else:
                return_reply(reply)

        def return_reply(reply: StoreReply) -> None:
            lost = (
                isinstance(effect.operation, PutObject)
                and self.random.random() < self.store_faults.answer_loss_probability
            )
            if lost or not self.is_linked(STORE_NAME, name):
                return
            self.schedule(STORE_DELAY, lambda: answer(reply))

        self.schedule(STORE_DELAY + self.store_faults.extra_delay, arrive_at_store)
        self.schedule(effect.timeout, give_up)

    def _handle_stopped(self, source: SimulatedNode, effect: ReportStopped) -> None:
        source.stopped = True
        source.alive = False
        for connection in list(source.connections.values()):
            self._drop_connection(source, connection)
        self._list_instances()

    def _draw_upstream_delay(
        self, source: SimulatedNode, server: SimulatedServer
    ) -> timedelta:
        return self.draw_delay(source.instance.failure_domain, server.domain)

    def _can_reach(self, source: SimulatedNode, server: SimulatedServer) -> bool:
        return self.is_linked(source.instance.name, server.model.name)


class _ScriptRun:
    """Runs a script on one connection, one statement at a time.

    `lock_timeout` has no effect: a statement waits up to `LOCK_TIMEOUT` for a lock,
    and a wait for log positions has the timeout that its SQL states.
    """

    def __init__(
        self,
        simulator: Simulator,
        source: SimulatedNode,
        connection: SimulatedConnection,
        script: object,
        finish: Callable,
    ):
        self.simulator = simulator
        self.source = source
        self.connection = connection
        self.script = script
        self.finish = finish
        self.lock_timeout = LOCK_TIMEOUT

    def advance(self, outcome: ResultSet | UpstreamError | None) -> None:
        """Pass an outcome to the script and send the statement that it yields next."""
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
        delay = self.simulator._draw_upstream_delay(self.source, self.connection.server)
        self.simulator.schedule(delay, lambda: self._arrive_at_server(sql))

    def _arrive_at_server(self, sql: str) -> None:
        """Handle the arrival of a statement at the server and assign it to a slot."""
        server = self.connection.server
        if not self.connection.open:
            return
        if not self._reaches_server():
            self.simulator.schedule(
                RETRANSMIT_INTERVAL, lambda: self._arrive_at_server(sql)
            )
            return
        if not server.up:
            self._return_connection_loss()
            return
        wait = parse_wait(sql)
        if wait is not None:
            self._await_vector(sql, wait[0], self.simulator.now + wait[1])
            return
        duration = parse_sleep(sql)
        # BEGIN, COMMIT and ROLLBACK occupy a slot here, unlike in `StandInGroup`.
        if not sql.startswith(("SET", "SELECT @@", "CHANGE")):
            duration += self.simulator.settings.service_time
        slot = min(range(len(server.slot_free_at)), key=server.slot_free_at.__getitem__)
        free_at = max(self.simulator.now, server.slot_free_at[slot])
        if duration:
            server.slot_free_at[slot] = free_at + duration
        else:
            free_at = self.simulator.now
        limit = free_at + duration + LOCK_TIMEOUT
        in_transaction = self.connection.session.in_transaction
        self.simulator.schedule(
            free_at + duration - self.simulator.now,
            lambda: self._execute(sql, limit, in_transaction),
        )

    def _execute(self, sql: str, limit: timedelta, in_transaction: bool) -> None:
        server = self.connection.server
        if not server.up:
            self._return_connection_loss()
            return
        if in_transaction and not self.connection.open:
            # The transaction was rolled back when its connection closed.
            return
        try:
            outcome: ResultSet | UpstreamError = server.model.execute(
                self.connection.session, sql, self.simulator.now
            )
        except LockWaitError:
            if not self.connection.open:
                return
            if self.simulator.now < limit:
                self.simulator.schedule(
                    RETRY_INTERVAL,
                    lambda: self._execute(sql, limit, in_transaction),
                )
                return
            outcome = UpstreamError(1205, "Lock wait timeout exceeded")
        except UpstreamError as error:
            outcome = error
        self._return_result(outcome)

    def _await_vector(self, sql: str, wanted: object, limit: timedelta) -> None:
        model = self.connection.server.model
        if model.vector.covers_all(wanted) or self.simulator.now >= limit:
            self._return_result(ResultSet())
            return
        self.simulator.schedule(
            RETRY_INTERVAL, lambda: self._await_vector(sql, wanted, limit)
        )

    def _return_result(self, outcome: ResultSet | UpstreamError) -> None:
        self._schedule_return(lambda: self.advance(outcome))

    def _return_connection_loss(self) -> None:
        self._schedule_return(lambda: self.finish(None))

    def _schedule_return(self, arrived: Callable[[], None]) -> None:
        delay = self.simulator._draw_upstream_delay(self.source, self.connection.server)

        def arrive() -> None:
            if not self.connection.open:
                return
            if self._is_reached_by_server():
                arrived()
            else:
                self.simulator.schedule(RETRANSMIT_INTERVAL, arrive)

        self.simulator.schedule(delay, arrive)

    def _reaches_server(self) -> bool:
        server = self.connection.server.model.name
        return self.simulator.is_linked(self.source.instance.name, server)

    def _is_reached_by_server(self) -> bool:
        server = self.connection.server.model.name
        return self.simulator.is_linked(server, self.source.instance.name)


_EFFECT_HANDLERS = {
    Reply: Simulator._deliver_reply,
    Send: Simulator._send_message,
    OpenConnection: Simulator._open_connection,
    CloseConnection: Simulator._close_connection,
    RunOperation: Simulator._run_operation,
    RunAdmin: Simulator._run_admin_action,
    CallStore: Simulator._call_store,
    ReportStopped: Simulator._handle_stopped,
}
