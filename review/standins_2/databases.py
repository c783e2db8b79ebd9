"""Stand-in for the servers of one service: a primary and its replicas.

They speak the platform's line protocol and keep their log in memory. Replicas apply
commits a moment after the primary.
"""

import asyncio
import itertools
import time
from dataclasses import dataclass, field

LAG = 0.008  # seconds
LINE_LIMIT = (1 << 20) + 2
PROMOTE_TIME = 0.6  # seconds
EXPIRY = 3.6  # seconds without a heartbeat until the store removes an entry
LINES_AT_ONCE = 1000  # written before the socket is waited for


@dataclass(slots=True)
class Run:
    """One statement that a server has run, as the record shows it."""

    at: float
    server: str
    request_id: str
    text: str


@dataclass(slots=True, eq=False)
class Session:
    """One connection of the proxy."""

    writer: asyncio.StreamWriter
    state: str = "I"
    read_only: bool = False
    writes: list[tuple[str, str, str]] = field(default_factory=list)
    prepared: dict[str, tuple[bool, str]] = field(default_factory=dict)
    values: dict[str, str] = field(default_factory=dict)


class Server:
    """One server; `rows_of` says which rows a read of an item returns."""

    def __init__(self, group: "Group", name: str, zone: str, host: str, port: int):
        self.group, self.name, self.zone = group, name, zone
        self.host, self.port = host, port
        self.is_primary = False
        self.is_running = False
        self.state = "ready"
        self.term = 1
        self.log: list[tuple[int, int]] = [(1, 0)]
        self.items: dict[str, str] = {}
        self.born = int(time.time() * 1000)
        self._sessions: set[Session] = set()
        self._listener: asyncio.Server | None = None

    @property
    def position(self) -> str:
        """Return the position of the log."""
        term, number = self.log[-1]
        return f"{term}.{number}"

    def describe(self) -> dict:
        """Return the server's entry in the store."""
        return {
            "service": self.group.service,
            "address": f"{self.host}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": 5,
            "state": self.state,
            "cold_left_ms": 0,
            "sequence": 1,
            "db_role": "primary" if self.is_primary else "replica",
            "born": self.born,
        }

    async def open(self) -> None:
        """Listen on the server's address."""
        self.is_running = True
        self._listener = await asyncio.start_server(
            self._serve, self.host, self.port, limit=LINE_LIMIT
        )

    def close(self) -> None:
        """Stop listening and drop all sessions, as a server that crashes."""
        self.is_running = False
        if self._listener is not None:
            self._listener.close()
        for session in list(self._sessions):
            session.writer.transport.abort()

    def append(self, entry: tuple[int, int], writes: list) -> None:
        """Apply a commit."""
        self.log.append(entry)
        for _, item, data in writes:
            self.items[item] = data

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        session = Session(writer)
        self._sessions.add(session)
        try:
            words = (await self._read(reader)).split(" ")
            if words[0] != "START" or words[1] != self.group.service:
                await self._send(writer, "ERROR WRONGNODE -")
                return
            if len(words) > 3 and words[3] != self.name:
                await self._send(writer, f"ERROR WRONGNODE {self.name}")
                return
            await self._send(writer, f"READY I {self.position}")
            while True:
                line = await self._read(reader)
                if line == "QUIT":
                    return
                _, request_id, text = line.split(" ", 2)
                lines = await self._query(session, request_id, text)
                lines.append(f"READY {session.state} {self.position}")
                await self._send(writer, *lines)
        except (OSError, EOFError, asyncio.IncompleteReadError):
            pass
        finally:
            self._sessions.discard(session)
            writer.close()

    async def _read(self, reader: asyncio.StreamReader) -> str:
        return (await reader.readuntil(b"\r\n"))[:-2].decode()

    async def _send(self, writer: asyncio.StreamWriter, *lines: str) -> None:
        for first in range(0, len(lines), LINES_AT_ONCE):
            part = lines[first : first + LINES_AT_ONCE]
            writer.write("".join([f"{line}\r\n" for line in part]).encode())
            await writer.drain()

    async def _query(self, session: Session, request_id: str, text: str) -> list[str]:
        if text.startswith("SINCE "):
            _, floor, text = text.split(" ", 2)
            term, number = floor.split(".")
            if (int(term), int(number)) > self.log[-1]:
                return [f"ERROR LAGGING {self.position}"]
        word, _, rest = text.partition(" ")
        if session.state == "E" and word not in ("COMMIT", "ROLLBACK"):
            return ["ERROR MALFORMED the transaction has failed"]
        return await getattr(self, f"_do_{word.lower()}")(
            session, request_id, rest, text
        )

    async def _do_status(self, session, request_id, rest, text) -> list[str]:
        role = "primary" if self.is_primary else "replica"
        held = self.term
        return [f"ROW {role} {held} {self.position} 0 0 0 1", "COMPLETE -"]

    async def _do_stepdown(self, session, request_id, rest, text) -> list[str]:
        if self.is_primary and self.term < int(rest):
            self.is_primary = False
            self.group.report(self)
        return await self._do_status(session, request_id, rest, text)

    async def _do_reset(self, session, request_id, rest, text) -> list[str]:
        session.values.clear()
        session.prepared.clear()
        return ["COMPLETE -"]

    async def _do_set(self, session, request_id, rest, text) -> list[str]:
        name, _, value = rest.partition(" ")
        session.values[name] = value
        return ["COMPLETE -"]

    async def _do_prepare(self, session, request_id, rest, text) -> list[str]:
        name, kind, shape = rest.split(" ", 2)
        session.prepared[name] = (kind == "WRITE", self.group.shorten(shape))
        return ["COMPLETE -"]

    async def _do_dealloc(self, session, request_id, rest, text) -> list[str]:
        session.prepared.pop(rest, None)
        return ["COMPLETE -"]

    async def _do_execute(self, session, request_id, rest, text) -> list[str]:
        name, item, *data = rest.split(" ", 2)
        known = session.prepared.get(name)
        if known is None:
            return [f"ERROR NOSTMT {name}"]
        if known[0]:
            return await self._write(session, request_id, item, data, text)
        return await self._do_read(session, request_id, item, text)

    async def _do_read(self, session, request_id, rest, text) -> list[str]:
        self.group.record(self, request_id, text)
        await asyncio.sleep(self.group.work)
        rows = self.group.rows_of(self, rest)
        return [*(f"ROW {row}" for row in rows), self._sign()]

    async def _do_write(self, session, request_id, rest, text) -> list[str]:
        item, _, data = rest.partition(" ")
        return await self._write(session, request_id, item, [data], text)

    async def _write(self, session, request_id, item, data, text) -> list[str]:
        if not self.is_primary or session.read_only:
            if session.state == "T":
                session.state = "E"
            return [f"ERROR READONLY {self.name}"]
        self.group.record(self, request_id, text)
        write = (request_id, item, data[0] if data else "")
        if session.state == "T":
            session.writes.append(write)
        else:
            self.group.commit(self, [write])
        await asyncio.sleep(self.group.work)
        return [self._sign()]

    async def _do_begin(self, session, request_id, rest, text) -> list[str]:
        if rest != "READ" and not self.is_primary:
            return [f"ERROR READONLY {self.name}"]
        session.state, session.read_only = "T", rest == "READ"
        session.writes = []
        return ["COMPLETE -"]

    async def _do_commit(self, session, request_id, rest, text) -> list[str]:
        writes, session.writes = session.writes, []
        failed = session.state != "T"
        session.state, session.read_only = "I", False
        if failed or (writes and not self.is_primary):
            return [f"ERROR READONLY {self.name}"]
        self.group.record(self, request_id, text)
        if writes:
            self.group.commit(self, writes)
        return [self._sign()]

    async def _do_rollback(self, session, request_id, rest, text) -> list[str]:
        session.state, session.read_only, session.writes = "I", False, []
        return ["COMPLETE -"]

    def _sign(self) -> str:
        return f"COMPLETE {self.term}.{self.name}.{next(self.group.numbers):x}"


class Group:
    """The servers of one service.

    Attributes
    ----------
    runs : list of Run
        Statements of callers that servers have run.
    """

    def __init__(self, service: str, publish) -> None:
        self.service = service
        self.servers: dict[str, Server] = {}
        self.runs: list[Run] = []
        self.numbers = itertools.count(1)
        self.work = 0.005
        self._publish = publish

    def rows_of(self, server: Server, item: str) -> list[str]:
        """Return the rows of an item."""
        return [server.items[item]] if item in server.items else []

    def shorten(self, shape: str) -> str:
        """Return what a server keeps of a shape."""
        return shape[:32]

    def record(self, server: Server, request_id: str, text: str) -> None:
        """Note that a server has run a statement."""
        self.runs.append(Run(time.time(), server.name, request_id, text[:60]))

    def commit(self, primary: Server, writes: list) -> None:
        """Commit at the primary, and at the replicas a moment later."""
        entry = (primary.term, primary.log[-1][1] + 1)
        primary.append(entry, writes)
        loop = asyncio.get_running_loop()
        for server in self.servers.values():
            if server is not primary and server.is_running:
                loop.call_later(LAG, self._replicate, server, entry, writes)

    def _replicate(self, server: Server, entry: tuple[int, int], writes: list) -> None:
        if entry > server.log[-1]:
            server.append(entry, writes)

    def report(self, server: Server) -> None:
        """Write a server's entry into the store."""
        self._publish(server.name, server.describe())

    def find_primary(self) -> Server | None:
        """Return the primary that runs, None if there is none."""
        running = (s for s in self.servers.values() if s.is_running and s.is_primary)
        return next(running, None)

    async def crash(self, server: Server, down: float, forget) -> None:
        """Crash a server; it is back with its log after `down` seconds.

        `forget` removes its entry from the store, after three heartbeats.
        """
        server.close()
        await asyncio.sleep(min(down, EXPIRY))
        forget(server.name)
        await asyncio.sleep(max(0.0, down - EXPIRY))
        primary = self.find_primary()
        if primary is not None:
            server.is_primary = False
            server.term = primary.term
            server.log, server.items = list(primary.log), dict(primary.items)
        server.born = int(time.time() * 1000)
        await server.open()
        self.report(server)

    def promote(self, service: str, name: str) -> int:
        """Take an order to promote; return the status of the answer."""
        server = self.servers.get(name)
        if server is None or not server.is_running:
            return 409
        if not server.is_primary:
            asyncio.get_running_loop().call_later(PROMOTE_TIME, self._lead, server)
        return 200

    def _lead(self, server: Server) -> None:
        newest = max(s.term for s in self.servers.values())
        for other in self.servers.values():
            if other.is_primary and other.is_running:
                other.is_primary = False
                self.report(other)
        server.is_primary = True
        server.term = newest + 1
        self.report(server)
