"""Process of one instance: a node and its sockets."""

import asyncio
import secrets
import time
from collections import Counter
from dataclasses import dataclass
from functools import singledispatchmethod

from burdocksail.core import ExplainQuery, Instance, SystemClock
from burdocksail.intake import CallerLimits, Intake, return_large_blocks
from burdocksail.node import (
    TICK_INTERVAL,
    CallStore,
    CloseConnection,
    Effect,
    Event,
    InvariantError,
    Node,
    NodeSettings,
    OpenConnection,
    Reply,
    ReportStopped,
    RunAdmin,
    RunOperation,
    Send,
    StopRequested,
    StoreReplied,
    Tick,
)
from burdocksail.shell._callers import CallerSession, ReplyTable
from burdocksail.shell._logging import get_logger
from burdocksail.shell._peers import PeerNetwork
from burdocksail.shell._sql_server import SqlServer
from burdocksail.shell._status_server import StatusServer
from burdocksail.shell._store_client import StoreClient
from burdocksail.shell._upstreams import UpstreamPool

CALLER_DRAIN_TIMEOUT_S = 8.0
IDLE_BEFORE_CLOSE_S = 1.0
DRAIN_POLL_INTERVAL_S = 0.05


@dataclass(frozen=True, slots=True)
class InstanceSettings:
    """Settings of an instance's process.

    Attributes
    ----------
    name, failure_domain : str
        Identity of the instance.
    host : str
        IP address to listen on and to advertise to other instances.
    sql_port, peer_port, admin_port : int
        Ports for callers, other instances and operators; 0 for any free port.
    store_url : str
        Base URL of the platform's store.
    shared_key : bytes
        Key that authenticates frames between instances and consistency tokens.
    seeds : tuple of Instance
        Instances to contact while the store is unreachable.
    limits : CallerLimits
        Limits on callers.
    """

    name: str
    failure_domain: str
    host: str
    sql_port: int
    peer_port: int
    admin_port: int
    store_url: str
    shared_key: bytes
    seeds: tuple[Instance, ...] = ()
    limits: CallerLimits = CallerLimits()


class InstanceProcess:
    """Runs a node on sockets until it has stopped."""

    def __init__(self, settings: InstanceSettings):
        self._settings = settings
        self._log = get_logger()
        self._replies = ReplyTable()
        self._store = StoreClient(settings.store_url)
        self._upstreams = UpstreamPool(self.handle_event)
        self._limit_counts: Counter[str] = Counter()
        self.intake = Intake(
            settings.limits,
            time.monotonic,
            lambda name: self._limit_counts.update((name,)),
        )
        self._sql = SqlServer(self._make_session, self._find_password_hash, self.intake)
        self._status_server = StatusServer(self, self.intake)
        self._stopped = asyncio.Event()
        self._tasks: set[asyncio.Task] = set()
        incarnation = secrets.token_hex(6)
        self.instance = Instance(
            settings.name,
            incarnation,
            settings.failure_domain,
            settings.host,
            settings.peer_port,
        )
        self._peers = PeerNetwork(
            self.instance, settings.shared_key, self.handle_event, self.intake
        )
        self.node: Node | None = None
        self.sql_port = 0
        self.admin_port = 0

    async def start(self) -> None:
        """Open all ports and start the node."""
        settings = self._settings
        return_large_blocks()
        peer_port = await self._peers.start(settings.host, settings.peer_port)
        self.instance = Instance(
            self.instance.name,
            self.instance.incarnation,
            self.instance.failure_domain,
            settings.host,
            peer_port,
        )
        self._peers.set_instance(self.instance)
        node_settings = NodeSettings(self.instance, settings.shared_key, settings.seeds)
        random_seed = secrets.randbits(32)
        self.node = Node(node_settings, SystemClock(), random_seed)
        self._perform_all(self.node.start())
        self._spawn(self._tick())
        self._spawn(self.intake.sweep())
        self.sql_port = await self._sql.start(settings.host, settings.sql_port)
        self.admin_port = await self._status_server.start(
            settings.host, settings.admin_port
        )
        self._log.info(
            "started",
            incarnation=self.instance.incarnation,
            sql_port=self.sql_port,
            peer_port=peer_port,
            admin_port=self.admin_port,
        )

    def request_stop(self) -> None:
        """Begin a graceful stop: accept no more callers and let the node drain."""
        self._log.info("stop_requested")
        self._sql.stop_listening()
        self.handle_event(StopRequested())

    async def wait_until_stopped(self) -> None:
        """Return once the node is idle and callers are disconnected.

        The node is idle once it holds no group, request or transaction.
        Callers that keep sending statements are served through other instances
        until the node starts to answer that they should connect elsewhere.
        Connections that remain at the time limit are closed once the statements
        that had begun by then are answered; each of these has its own deadline.
        """
        await self._stopped.wait()
        loop = asyncio.get_running_loop()
        deadline = loop.time() + CALLER_DRAIN_TIMEOUT_S
        while self._sql.connections and loop.time() < deadline:
            self._sql.close_idle_connections(IDLE_BEFORE_CLOSE_S)
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
        while self._sql.has_statement_since_before(deadline):
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
        await self.close()
        self._log.info("stopped")

    async def close(self) -> None:
        """Cancel all tasks and close all sockets without waiting for callers."""
        for task in list(self._tasks):
            task.cancel()
        self._sql.stop_listening()
        for connection in list(self._sql.connections.values()):
            connection.stream.writer.close()
        self._upstreams.close_all()
        self._peers.close()
        await self._status_server.close()
        await self._store.close()

    def handle_event(self, event: Event) -> None:
        """Pass an event to the node and perform the effects that it returns.

        A broken invariant aborts the handling of this event only. A statement that
        the event concerned stays unanswered until its deadline, and nothing is
        acknowledged for it. Effects that were emitted before the error are
        performed with the next event.
        """
        assert self.node is not None
        try:
            effects = self.node.handle(event)
        except InvariantError as error:
            self._log.critical(
                "invariant_broken", event_type=type(event).__name__, reason=str(error)
            )
            return
        self._perform_all(effects)

    def is_ready(self) -> bool:
        """Return whether the load balancer should route callers to this instance."""
        node = self.node
        if node is None:
            return False
        board = node.board
        return board.stop.requested_at is None and bool(board.configuration.groups)

    def dump(self) -> dict:
        """Return the state of the process for operators."""
        assert self.node is not None
        return {
            **self.node.dump(),
            "process": {
                "sql_connections": len(self._sql.connections),
                "sql_protocol_errors": self._sql.protocol_errors,
                "sql_refused_logins": self._sql.refused_logins,
                "peer_malformed_frames": self._peers.rejected_connections,
                "peer_bytes_sent": self._peers.bytes_sent,
                "peer_bytes_received": self._peers.bytes_received,
            },
            "callers": self.intake.ledger.describe(),
            "limits_reached": dict(self._limit_counts),
        }

    def explain(self, query: ExplainQuery) -> dict:
        """Return where a request would go now and why; nothing is sent or changed."""
        assert self.node is not None
        return {"ready": self.is_ready(), **self.node.explain(query)}

    def _make_session(self) -> CallerSession:
        return CallerSession(self, self._replies, self.instance.key)

    def _find_password_hash(self, account_name: str) -> str | None:
        assert self.node is not None
        services = self.node.board.configuration.service_of_account
        service = services.get(account_name)
        if service is None:
            return None
        for account in service.accounts:
            if account.name == account_name:
                return account.password_hash
        return None

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_INTERVAL.total_seconds())
            self.handle_event(Tick())

    def _spawn(self, coroutine: object) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._finish_task)

    def _finish_task(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._log.error("task_failed", exc_info=task.exception())

    def _perform_all(self, effects: list[Effect]) -> None:
        for effect in effects:
            self._perform(effect)

    @singledispatchmethod
    def _perform(self, effect: Effect) -> None:
        raise TypeError(f"not an effect: {type(effect).__name__}")

    @_perform.register
    def _(self, effect: Reply) -> None:
        self._replies.resolve(effect)

    @_perform.register
    def _(self, effect: Send) -> None:
        self._peers.send(effect.receiver, effect.message)

    @_perform.register
    def _(self, effect: RunOperation) -> None:
        self._upstreams.run(effect.operation)

    @_perform.register
    def _(self, effect: OpenConnection) -> None:
        self._upstreams.open(effect.connection_id, effect.group, effect.server)

    @_perform.register
    def _(self, effect: CloseConnection) -> None:
        self._upstreams.close(effect.connection_id)

    @_perform.register
    def _(self, effect: RunAdmin) -> None:
        self._upstreams.run_admin(
            effect.action_id, effect.group, effect.server, effect.action, effect.timeout
        )

    @_perform.register
    def _(self, effect: CallStore) -> None:
        self._spawn(self._call_store(effect))

    @_perform.register
    def _(self, effect: ReportStopped) -> None:
        self._stopped.set()

    async def _call_store(self, effect: CallStore) -> None:
        reply = await self._store.call(effect.operation, effect.timeout)
        self.handle_event(StoreReplied(effect.call_id, reply))
