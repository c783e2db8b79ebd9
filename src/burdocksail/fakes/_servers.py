"""Database servers in memory: logs, replication, promotion."""

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
    SetValue,
    TransactionState,
    UpstreamCommand,
)
from burdocksail.ports import (
    ConnectionRefused,
    PromotionRefused,
    PromotionUnknown,
    Reply,
    ServerStatus,
    Status,
    TooManyConnections,
    UpstreamLost,
    WrongUpstream,
)

REPLICATION_INTERVAL = 0.02  # seconds
PROMOTE_DELAY = 0.3  # seconds
NOTICE_DELAY = 1.0  # seconds until an old primary that sees the new one gives up


@dataclass(frozen=True, slots=True)
class Entry:
    """One commit of a log."""

    position: LogPosition
    request_id: str
    at: float


@dataclass(slots=True)
class MemoryServer:
    """One server.

    Attributes
    ----------
    cut_from : set of str
        Names of instances and servers that cannot reach it; "*" is everybody.
    silent : bool
        Whether it takes commands and never answers.
    """

    upstream_id: str
    service: str
    failure_domain: str
    is_primary: bool = False
    term: int = 1
    log: list[Entry] = field(default_factory=list)
    alive: bool = True
    deaf: bool = False
    lag: float = 0.02
    max_connections: int = 100
    cut_from: set[str] = field(default_factory=set)
    lose_answer: bool = False
    connections: dict["MemoryConnection", None] = field(default_factory=dict)
    noticed_at: float | None = None

    @property
    def position(self) -> LogPosition:
        """Return the last position of the log."""
        return self.log[-1].position if self.log else LogPosition(1, 0)

    def covers(self, position: LogPosition) -> bool:
        """Return whether the log holds a position."""
        if position.sequence == 0:
            return True
        return any(entry.position == position for entry in self.log)

    def is_reachable_from(self, name: str) -> bool:
        """Return whether an instance or server can talk to this one."""
        return self.alive and "*" not in self.cut_from and name not in self.cut_from

    def crash(self) -> None:
        """Lose all connections and answer nothing more."""
        self.alive = False
        for connection in list(self.connections):
            connection.close()


@dataclass(slots=True)
class ReadRecord:
    """What a read ran on."""

    server: str
    positions: frozenset[LogPosition]


class MemoryDatabase:
    """The servers of all services, and what happened on them."""

    def __init__(self) -> None:
        self.servers: dict[str, MemoryServer] = {}
        self.reads: dict[str, ReadRecord] = {}
        self.promotions: list[tuple[float, str, str, int]] = []
        self.rolled_back: set[LogPosition] = set()
        self.fences: list[tuple[str, int]] = []
        self.lose_orders = False
        self._tokens = itertools.count()

    def of_service(self, service: str) -> list[MemoryServer]:
        """Return the servers of a service."""
        return [s for s in self.servers.values() if s.service == service]

    def leading(self, service: str) -> MemoryServer:
        """Return the server that was promoted last, else the first primary."""
        promoted = [p[2] for p in self.promotions if p[1] == service]
        if promoted:
            return self.servers[promoted[-1]]
        return self.of_service(service)[0]

    async def replicate(self) -> None:
        """Carry logs to replicas for ever."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(REPLICATION_INTERVAL)
            for service in {s.service for s in self.servers.values()}:
                self._replicate_service(service, loop.time())

    def _replicate_service(self, service: str, now: float) -> None:
        leading = self.leading(service)
        for server in self.of_service(service):
            if server is leading or not server.alive or not leading.alive:
                continue
            if not leading.is_primary:
                continue
            linked = server.is_reachable_from(leading.upstream_id)
            if not linked or leading.upstream_id in server.cut_from:
                continue
            if server.is_primary:
                self._let_old_primary_notice(server, now)
            elif not server.deaf:
                server.term = leading.term
                server.log = _replicate(server, leading, now)

    def _let_old_primary_notice(self, server: MemoryServer, now: float) -> None:
        if server.noticed_at is None:
            server.noticed_at = now
        elif now - server.noticed_at >= NOTICE_DELAY:
            server.is_primary = False
            server.noticed_at = None

    async def promote(self, service: str, upstream_id: str, fence: int) -> None:
        """Make a server the primary."""
        self.fences.append((service, fence))
        server = self.servers[upstream_id]
        if not server.alive:
            raise PromotionRefused("not running")
        asyncio.get_running_loop().call_later(PROMOTE_DELAY, self._take_lead, server)
        if self.lose_orders:
            raise PromotionUnknown("no answer")

    def _take_lead(self, server: MemoryServer) -> None:
        if server.is_primary and self.leading(server.service) is server:
            return
        kept = {entry.position for entry in server.log}
        for other in self.of_service(server.service):
            lost = {entry.position for entry in other.log} - kept
            self.rolled_back |= lost
        server.term = max(s.term for s in self.of_service(server.service)) + 1
        server.is_primary = True
        now = asyncio.get_running_loop().time()
        self.promotions.append((now, server.service, server.upstream_id, server.term))

    def note_read(self, server: MemoryServer) -> str:
        """Remember what a read ran on; return the row that names it."""
        token = f"read-{next(self._tokens)}"
        positions = frozenset(entry.position for entry in server.log)
        self.reads[token] = ReadRecord(server.upstream_id, positions)
        return token


def _replicate(server: MemoryServer, leading: MemoryServer, now: float) -> list[Entry]:
    """Return a replica's log; what was applied stays when its lag grows."""
    pairs = zip(server.log, leading.log, strict=False)
    shared = sum(1 for own, other in pairs if own == other)
    due = sum(1 for e in leading.log if e.at + server.lag <= now)
    return leading.log[: max(shared, due)]


class MemoryConnection:
    """One session at a server."""

    def __init__(self, database: MemoryDatabase, server: MemoryServer, caller: str):
        self._database = database
        self._server = server
        self._caller = caller
        self._open = True
        self._state = TransactionState.IDLE
        self._read_only = False
        self._writes: list[str] = []
        self.values: dict[str, str] = {}
        self.prepared: dict[str, tuple[str, bool]] = {}
        self.position: LogPosition | None = server.position
        server.connections[self] = None

    @property
    def is_open(self) -> bool:
        """Return whether the connection is usable."""
        return self._open

    def close(self) -> None:
        """Close; an open transaction rolls back."""
        self._open = False
        self._writes.clear()
        self._server.connections.pop(self, None)

    async def run(
        self,
        commands: Sequence[UpstreamCommand],
        timeout: float,
        floor: LogPosition | None = None,
    ) -> list[Reply]:
        """Run commands and return their replies."""
        await self._travel(timeout)
        replies = []
        for index, command in enumerate(commands):
            last = index == len(commands) - 1
            replies.append(self._apply(command, floor if last else None))
        if self._server.lose_answer and not isinstance(commands[-1], ResetSession):
            await asyncio.sleep(timeout)
            self.close()
            raise UpstreamLost("no answer in time", [])
        await self._travel(timeout)
        return replies

    async def inspect(self, timeout: float) -> ServerStatus | None:
        """Return the server's state."""
        await self._travel(timeout)
        server = self._server
        return ServerStatus(server.is_primary, server.term, server.position)

    async def step_down(self, term: int, timeout: float) -> ServerStatus | None:
        """Make a primary of a lower term a replica."""
        await self._travel(timeout)
        if self._server.is_primary and self._server.term < term:
            self._server.is_primary = False
        return await self.inspect(timeout)

    async def _travel(self, timeout: float) -> None:
        await asyncio.sleep(0.002)
        if not self._open:
            raise UpstreamLost("closed", [])
        if not self._server.is_reachable_from(self._caller):
            await asyncio.sleep(timeout)
            self.close()
            raise UpstreamLost("no answer in time", [])

    def _apply(self, command: UpstreamCommand, floor: LogPosition | None) -> Reply:
        server = self._server
        if floor is not None and not server.covers(floor):
            return self._reply(Status.LAGGING)
        if isinstance(command, ResetSession):
            self.values.clear()
            self.prepared.clear()
        elif isinstance(command, SetValue):
            self.values[command.name] = command.value
        elif isinstance(command, Prepare):
            self.prepared[command.name] = (command.shape, command.writes)
        elif isinstance(command, Begin):
            return self._begin(command)
        elif isinstance(command, Rollback):
            self._state = TransactionState.IDLE
            self._writes.clear()
        elif isinstance(command, Commit):
            return self._commit()
        elif isinstance(command, Run | ExecutePrepared):
            return self._statement(command)
        return self._reply(Status.DONE)

    def _begin(self, command: Begin) -> Reply:
        if not command.read_only and not self._server.is_primary:
            return self._reply(Status.READ_ONLY)
        self._state = TransactionState.OPEN
        self._read_only = command.read_only
        return self._reply(Status.DONE)

    def _commit(self) -> Reply:
        writes, self._writes = self._writes, []
        self._state = TransactionState.IDLE
        if writes and not self._server.is_primary:
            return self._reply(Status.READ_ONLY)
        if writes:
            self._append(writes[-1])
        return self._reply(Status.DONE, "signature")

    def _statement(self, command: Run | ExecutePrepared) -> Reply:
        if isinstance(command, Run):
            writes = command.writes
        elif command.name not in self.prepared:
            return self._reply(Status.UNKNOWN_STATEMENT)
        else:
            writes = self.prepared[command.name][1]
        if not writes:
            token = self._database.note_read(self._server)
            return self._reply(Status.DONE, "signature", (token,))
        if not self._server.is_primary:
            self._state = (
                TransactionState.FAILED
                if self._state is TransactionState.OPEN
                else TransactionState.IDLE
            )
            return self._reply(Status.READ_ONLY)
        if self._state is TransactionState.OPEN:
            self._writes.append(command.request_id)
        else:
            self._append(command.request_id)
        return self._reply(Status.DONE, "signature")

    def _append(self, request_id: str) -> None:
        server = self._server
        last = server.position
        number = last.sequence + 1 if last.term == server.term else 1
        position = LogPosition(server.term, number)
        now = asyncio.get_running_loop().time()
        server.log.append(Entry(position, request_id, now))

    def _reply(
        self, status: Status, signature: str = "", rows: tuple[str, ...] = ()
    ) -> Reply:
        return Reply(status, signature, rows, self._state, self._server.position)


class MemoryConnector:
    """Connects one instance to the servers."""

    def __init__(self, database: MemoryDatabase, caller: str):
        self._database = database
        self._caller = caller

    async def connect(self, upstream: Upstream, timeout: float) -> MemoryConnection:
        """Connect to a server."""
        await asyncio.sleep(0.012)
        server = self._database.servers.get(upstream.id)
        if server is None:
            raise WrongUpstream(upstream.id)
        if not server.is_reachable_from(self._caller):
            await asyncio.sleep(timeout)
            raise ConnectionRefused("no answer in time")
        if len(server.connections) >= server.max_connections:
            raise TooManyConnections(upstream.id)
        return MemoryConnection(self._database, server, self._caller)


class MemoryPromoter:
    """Orders promotions in the memory database."""

    def __init__(self, database: MemoryDatabase):
        self._database = database

    async def promote(
        self, service: str, server_id: str, holder: str, fence: int
    ) -> None:
        """Order that a server becomes the primary."""
        await asyncio.sleep(0.004)
        await self._database.promote(service, server_id, fence)
