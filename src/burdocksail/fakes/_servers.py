"""In-memory database servers with logs, replication and promotion."""

import asyncio
import itertools
from collections.abc import Sequence
from dataclasses import dataclass, field

from burdocksail.catalog import Upstream
from burdocksail.core import (
    Begin,
    Commit,
    ExecutePrepared,
    LogPosition,
    Prepare,
    ResetSession,
    Rollback,
    Run,
    SetVariable,
    TransactionState,
    UpstreamCommand,
)
from burdocksail.fakes._capacity import ServerCapacity
from burdocksail.ports import (
    ConnectFailed,
    PromotionRefused,
    PromotionUnknown,
    Reply,
    ReplyStatus,
    ServerStatus,
    TooManyConnections,
    UpstreamLost,
    WrongUpstream,
)

REPLICATION_INTERVAL = 0.02  # seconds
PROMOTE_DELAY = 0.3  # seconds
HOP_DELAY = 0.002  # seconds, one way between an instance and a server
DEMOTION_DELAY = 1.0  # seconds until an old primary that reaches the new one steps down


@dataclass(frozen=True, slots=True)
class LogEntry:
    """One commit in the log of a server; `committed_at` is in seconds."""

    position: LogPosition
    request_id: str
    committed_at: float


@dataclass(slots=True)
class MemoryServer:
    """One server.

    Attributes
    ----------
    term : int
        Term of the primary whose log it holds.
    replication_stopped : bool
        Whether it receives no replication.
    lag : float
        Seconds from a commit until it may be replicated.
    cut_from : set of str
        Names of instances and servers that cannot reach it; "*" stands for all.
    lose_answer : bool
        Whether it runs commands but never answers, except those that end in a
        session reset.
    connections : dict of MemoryConnection to None
        Open connections, in the order in which they were opened.
    saw_new_primary_at : float or None
        Time since which this old primary has reached the new one.
    capacity : ServerCapacity or None
        Limits on what it runs at a time; None runs everything at once. The run time
        of a statement is the number after ``work=`` in its text, in seconds.
    lingering : int
        Connections of instances that have lost power, which it has not noticed yet.
    """

    upstream_id: str
    service: str
    failure_domain: str
    is_primary: bool = False
    term: int = 1
    log: list[LogEntry] = field(default_factory=list)
    alive: bool = True
    replication_stopped: bool = False
    lag: float = 0.02
    max_connections: int = 100
    cut_from: set[str] = field(default_factory=set)
    lose_answer: bool = False
    connections: dict["MemoryConnection", None] = field(default_factory=dict)
    saw_new_primary_at: float | None = None
    capacity: ServerCapacity | None = None
    lingering: int = 0

    @property
    def position(self) -> LogPosition:
        """Return the last position of the log, or sequence 0 if it is empty."""
        return self.log[-1].position if self.log else LogPosition(1, 0)

    def covers(self, position: LogPosition) -> bool:
        """Return whether the log contains a position; sequence 0 is in every log."""
        if position.sequence == 0:
            return True
        return any(entry.position == position for entry in self.log)

    def is_reachable_from(self, name: str) -> bool:
        """Return whether the named instance or server can reach this server."""
        return self.alive and "*" not in self.cut_from and name not in self.cut_from

    def crash(self) -> None:
        """Stop answering and close all connections."""
        self.alive = False
        for connection in list(self.connections):
            connection.close()

    def lose_peer(self, instance: str, linger: float) -> None:
        """Drop an instance that lost power, but notice that only after `linger` s."""
        lost = [c for c in self.connections if c.instance == instance]
        for connection in lost:
            connection.close()
        self.lingering += len(lost)
        loop = asyncio.get_running_loop()
        loop.call_later(linger, self._forget_lost_peer, len(lost))

    def _forget_lost_peer(self, connections: int) -> None:
        self.lingering -= connections


@dataclass(slots=True)
class ReadRecord:
    """Server on which a read ran, and the positions in its log then."""

    server: str
    positions: frozenset[LogPosition]


class MemoryDatabase:
    """Servers of all services, and a record of what happened on them.

    Attributes
    ----------
    reads : dict of str to ReadRecord
        Reads by the row that they returned.
    promotions : list of (float, str, str, int)
        Time, service, upstream id and new term of each promotion.
    rolled_back : set of LogPosition
        Commits that promotions have discarded.
    fencing_tokens : list of (str, int)
        Service and fencing token of each order to promote.
    lose_promotion_answers : bool
        Whether orders to promote are carried out but not confirmed.
    workspaces : dict of str to str
        Workspace of the connection on which a statement ran last, by request id.
    link_delays : dict of (str, str) to float
        Seconds added to each message between an instance and a server; "*" stands
        for all.
    """

    def __init__(self) -> None:
        self.workspaces: dict[str, str] = {}
        self.servers: dict[str, MemoryServer] = {}
        self.reads: dict[str, ReadRecord] = {}
        self.promotions: list[tuple[float, str, str, int]] = []
        self.rolled_back: set[LogPosition] = set()
        self.fencing_tokens: list[tuple[str, int]] = []
        self.lose_promotion_answers = False
        self.link_delays: dict[tuple[str, str], float] = {}
        self._read_ids = itertools.count()

    def of_service(self, service: str) -> list[MemoryServer]:
        """Return the servers of a service."""
        return [s for s in self.servers.values() if s.service == service]

    def hop_delay(self, instance: str, server: str) -> float:
        """Return the seconds that a message between an instance and a server takes."""
        if not self.link_delays:
            return HOP_DELAY
        keys = itertools.product((instance, "*"), (server, "*"))
        return HOP_DELAY + sum(self.link_delays.get(key, 0.0) for key in keys)

    def current_primary(self, service: str) -> MemoryServer:
        """Return the server that was promoted last, else the first primary."""
        promoted = [p[2] for p in self.promotions if p[1] == service]
        if promoted:
            return self.servers[promoted[-1]]
        return self.of_service(service)[0]

    async def replicate(self) -> None:
        """Replicate logs until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(REPLICATION_INTERVAL)
            for service in {s.service for s in self.servers.values()}:
                self._replicate_service(service, loop.time())

    def _replicate_service(self, service: str, now: float) -> None:
        primary = self.current_primary(service)
        for server in self.of_service(service):
            if server is primary or not server.alive or not primary.alive:
                continue
            if not primary.is_primary:
                continue
            linked = server.is_reachable_from(primary.upstream_id)
            if not linked or primary.upstream_id in server.cut_from:
                continue
            if server.is_primary:
                self._demote_old_primary(server, now)
            elif not server.replication_stopped:
                server.term = primary.term
                server.log = _replicate(server, primary, now)

    def _demote_old_primary(self, server: MemoryServer, now: float) -> None:
        if server.saw_new_primary_at is None:
            server.saw_new_primary_at = now
        elif now - server.saw_new_primary_at >= DEMOTION_DELAY:
            server.is_primary = False
            server.saw_new_primary_at = None

    async def promote(self, service: str, upstream_id: str, fencing_token: int) -> None:
        """Order the promotion of a server to primary, and return before it is done.

        It takes effect `PROMOTE_DELAY` seconds later.

        Raises
        ------
        PromotionRefused
            If the server is not running.
        PromotionUnknown
            If the order is carried out but `lose_promotion_answers` is set.
        """
        self.fencing_tokens.append((service, fencing_token))
        server = self.servers[upstream_id]
        if not server.alive:
            raise PromotionRefused("the server is not running")
        asyncio.get_running_loop().call_later(
            PROMOTE_DELAY, self._complete_promotion, server
        )
        if self.lose_promotion_answers:
            raise PromotionUnknown("no answer")

    def _complete_promotion(self, server: MemoryServer) -> None:
        if server.is_primary and self.current_primary(server.service) is server:
            return
        kept = {entry.position for entry in server.log}
        for other in self.of_service(server.service):
            lost = {entry.position for entry in other.log} - kept
            self.rolled_back |= lost
        server.term = max(s.term for s in self.of_service(server.service)) + 1
        server.is_primary = True
        now = asyncio.get_running_loop().time()
        self.promotions.append((now, server.service, server.upstream_id, server.term))

    def record_read(self, server: MemoryServer) -> str:
        """Record the log on which a read ran; return the row that identifies it."""
        read_id = f"read-{next(self._read_ids)}"
        positions = frozenset(entry.position for entry in server.log)
        self.reads[read_id] = ReadRecord(server.upstream_id, positions)
        return read_id


def _replicate(
    server: MemoryServer, primary: MemoryServer, now: float
) -> list[LogEntry]:
    """Return the new log of a replica.

    It never shrinks below the prefix shared with the primary: entries stay
    applied when the lag grows.
    """
    pairs = zip(server.log, primary.log, strict=False)
    shared = sum(1 for own, other in pairs if own == other)
    due = sum(1 for e in primary.log if e.committed_at + server.lag <= now)
    return primary.log[: max(shared, due)]


class MemoryConnection:
    """Connection of an instance to a server, with its session state."""

    def __init__(
        self,
        database: MemoryDatabase,
        server: MemoryServer,
        instance: str,
        workspace: str = "",
    ):
        self._database = database
        self._server = server
        self.instance = instance
        self.workspace = workspace
        self._open = True
        self._state = TransactionState.IDLE
        self._read_only = False
        self._writes: list[str] = []
        self.variables: dict[str, str] = {}
        self.prepared: dict[str, tuple[str, bool]] = {}
        self.position: LogPosition | None = server.position
        self.round_trip = 2 * database.hop_delay(instance, server.upstream_id)
        server.connections[self] = None

    @property
    def is_open(self) -> bool:
        """Return whether the connection is usable."""
        return self._open

    def close(self) -> None:
        """Close the connection and roll back an open transaction."""
        self._open = False
        self._writes.clear()
        self._server.connections.pop(self, None)

    async def run(
        self,
        commands: Sequence[UpstreamCommand],
        timeout: float,
        floor: LogPosition | None = None,
    ) -> list[Reply]:
        """Run commands and return their replies.

        If `floor` is given and the server lacks that position, the last command
        is not run and its reply is `LAGGING`.

        Raises
        ------
        UpstreamLost
            If the connection is closed, or no answer arrives in `timeout` seconds.
        """
        await self._simulate_network_hop(timeout)
        replies = [self._apply(command, None) for command in commands[:-1]]
        replies.append(await self._run_last(commands[-1], floor))
        if self._loses_answer(commands[-1]):
            await asyncio.sleep(timeout)
            self.close()
            raise UpstreamLost("no answer in time", [])
        await self._simulate_network_hop(timeout)
        return replies

    async def inspect(self, timeout: float) -> ServerStatus | None:
        """Return the role, term and position of the server."""
        await self._simulate_network_hop(timeout)
        server = self._server
        return ServerStatus(server.is_primary, server.term, server.position)

    async def step_down(self, term: int, timeout: float) -> ServerStatus | None:
        """Demote the server if it is a primary of a lower term; return its status."""
        await self._simulate_network_hop(timeout)
        if self._server.is_primary and self._server.term < term:
            self._server.is_primary = False
        return await self.inspect(timeout)

    async def _simulate_network_hop(self, timeout: float) -> None:
        await asyncio.sleep(
            self._database.hop_delay(self.instance, self._server.upstream_id)
        )
        if not self._open:
            raise UpstreamLost("closed", [])
        if not self._server.is_reachable_from(self.instance):
            await asyncio.sleep(timeout)
            self.close()
            raise UpstreamLost("no answer in time", [])

    def _loses_answer(self, command: UpstreamCommand) -> bool:
        if isinstance(command, ResetSession):
            return False
        capacity = self._server.capacity
        is_silent = capacity is not None and capacity.draws_silence()
        return self._server.lose_answer or is_silent

    async def _run_last(
        self, command: UpstreamCommand, floor: LogPosition | None
    ) -> Reply:
        """Run the last command of a batch, within the capacity of the server."""
        capacity = self._server.capacity
        if capacity is None or not isinstance(command, Run):
            return self._apply(command, floor)
        if floor is not None and not self._server.covers(floor):
            capacity.arrived += 1
            capacity.rejected += 1
            return self._reply(ReplyStatus.LAGGING)
        _, _, work = command.text.partition("work=")
        if not await capacity.run(float(work or 0.0)):
            return self._reply(ReplyStatus.BUSY)
        if capacity.draws_failure():
            return self._reply(ReplyStatus.FAILED)
        return self._apply(command, floor)

    def _apply(self, command: UpstreamCommand, floor: LogPosition | None) -> Reply:
        server = self._server
        if floor is not None and not server.covers(floor):
            return self._reply(ReplyStatus.LAGGING)
        if isinstance(command, ResetSession):
            self.variables.clear()
            self.prepared.clear()
        elif isinstance(command, SetVariable):
            self.variables[command.name] = command.value
        elif isinstance(command, Prepare):
            self.prepared[command.name] = (command.template, command.writes)
        elif isinstance(command, Begin):
            return self._begin(command)
        elif isinstance(command, Rollback):
            self._state = TransactionState.IDLE
            self._writes.clear()
        elif isinstance(command, Commit):
            return self._commit()
        elif isinstance(command, Run | ExecutePrepared):
            return self._run_statement(command)
        return self._reply(ReplyStatus.DONE)

    def _begin(self, command: Begin) -> Reply:
        if not command.read_only and not self._server.is_primary:
            return self._reply(ReplyStatus.READ_ONLY)
        self._state = TransactionState.OPEN
        self._read_only = command.read_only
        return self._reply(ReplyStatus.DONE)

    def _commit(self) -> Reply:
        writes, self._writes = self._writes, []
        self._state = TransactionState.IDLE
        if writes and not self._server.is_primary:
            return self._reply(ReplyStatus.READ_ONLY)
        if writes:
            self._append(writes[-1])
        return self._reply(ReplyStatus.DONE, "signature")

    def _run_statement(self, command: Run | ExecutePrepared) -> Reply:
        self._database.workspaces[command.request_id] = self.workspace
        if isinstance(command, Run):
            writes = command.writes
        elif command.name not in self.prepared:
            return self._reply(ReplyStatus.UNKNOWN_STATEMENT)
        else:
            writes = self.prepared[command.name][1]
        if not writes:
            read_id = self._database.record_read(self._server)
            return self._reply(ReplyStatus.DONE, "signature", (read_id,))
        if not self._server.is_primary:
            self._state = (
                TransactionState.FAILED
                if self._state is TransactionState.OPEN
                else TransactionState.IDLE
            )
            return self._reply(ReplyStatus.READ_ONLY)
        if self._state is TransactionState.OPEN:
            self._writes.append(command.request_id)
        else:
            self._append(command.request_id)
        return self._reply(ReplyStatus.DONE, "signature")

    def _append(self, request_id: str) -> None:
        server = self._server
        last = server.position
        next_sequence = last.sequence + 1 if last.term == server.term else 1
        position = LogPosition(server.term, next_sequence)
        now = asyncio.get_running_loop().time()
        server.log.append(LogEntry(position, request_id, now))

    def _reply(
        self, status: ReplyStatus, signature: str = "", rows: tuple[str, ...] = ()
    ) -> Reply:
        return Reply(status, signature, rows, self._state, self._server.position)


class MemoryConnector:
    """Opens connections of one instance to the servers."""

    def __init__(self, database: MemoryDatabase, instance: str):
        self._database = database
        self._instance = instance

    async def connect(
        self, upstream: Upstream, timeout: float, workspace: str = ""
    ) -> MemoryConnection:
        """Open a connection to a server.

        Raises
        ------
        WrongUpstream
            If there is no such server.
        ConnectFailed
            If the server is not reachable, after `timeout` seconds.
        TooManyConnections
            If the server has reached `max_connections`.
        """
        await asyncio.sleep(0.012)  # seconds to open a connection
        server = self._database.servers.get(upstream.id)
        if server is None:
            raise WrongUpstream(upstream.id)
        if not server.is_reachable_from(self._instance):
            await asyncio.sleep(timeout)
            raise ConnectFailed("no answer in time")
        if len(server.connections) + server.lingering >= server.max_connections:
            if server.capacity is not None:
                server.capacity.rejected += 1
            raise TooManyConnections(upstream.id)
        if server.capacity is not None:
            connection = MemoryConnection(
                self._database, server, self._instance, workspace
            )
            await server.capacity.open_connection()
            return connection
        return MemoryConnection(self._database, server, self._instance, workspace)


class MemoryPromoter:
    """Orders promotions in a memory database."""

    def __init__(self, database: MemoryDatabase):
        self._database = database

    async def promote(
        self, service: str, server_id: str, holder: str, fencing_token: int
    ) -> None:
        """Order the promotion of a server; raises as `MemoryDatabase.promote`."""
        await asyncio.sleep(0.004)  # seconds until the order arrives
        await self._database.promote(service, server_id, fencing_token)
