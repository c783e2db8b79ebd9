"""Stand-in for the database servers of one service, as PROTOCOL.md says.

Each server has a log of commits. Replicas receive a commit after `receive_delay`
and apply it after `apply_delay` more; a deaf one receives nothing. With
`sync_replicas` a commit is acknowledged once as many replicas have received it. A
promotion takes effect after `promote_delay`; the old primary goes on until STEPDOWN, or
for a second after that.
"""

import asyncio
import itertools
import time
from dataclasses import dataclass, field

OLD_PRIMARY_TIME = 1.0  # seconds for which a replaced primary goes on


@dataclass
class Commit:
    """One commit: its position, its writes and the ids of its statements."""

    term: int
    number: int
    writes: list[tuple[str, str]]
    request_ids: list[str]


@dataclass
class Session:
    """State of one connection to a server."""

    who: str
    variables: dict[str, str] = field(default_factory=dict)
    prepared: dict[str, tuple[str, str]] = field(default_factory=dict)
    state: str = "I"
    read_only: bool = False
    began_as_primary: int = 0
    writes: list[tuple[str, str]] = field(default_factory=list)
    request_ids: list[str] = field(default_factory=list)

    def end_transaction(self, state: str = "I") -> None:
        """Forget the open transaction."""
        self.state = state
        self.writes, self.request_ids = [], []


class Group:
    """The servers of one service."""

    def __init__(
        self, service: str, record, promote_delay: float, sync_replicas: int = 0
    ):
        self.service = service
        self.sync_replicas = sync_replicas
        self.record = record
        self.promote_delay = promote_delay
        self.term = 1
        self.servers: dict[str, Server] = {}
        self.primary: Server | None = None

    def promote(self, server_id: str) -> bool:
        """Begin a promotion; return whether the server is running."""
        server = self.servers.get(server_id)
        if server is None or not server.is_running:
            return False
        if server is not self.primary:
            loop = asyncio.get_running_loop()
            loop.call_later(self.promote_delay, self._take_effect, server)
        return True

    def replicate(self, primary: "Server", commit: Commit) -> None:
        """Send a commit to the servers that follow its primary."""
        if primary is not self.primary:
            return
        loop = asyncio.get_running_loop()
        for server in self.servers.values():
            if server is not primary:
                loop.call_later(server.receive_delay, server.receive, primary)

    def _take_effect(self, server: "Server") -> None:
        old, self.primary = self.primary, server
        self.term += 1
        server.become_primary(self.term)
        self.record(
            "promotion in effect",
            service=self.service,
            server=server.id,
            term=self.term,
            old=None if old is None else old.id,
            has=[request_id for c in server.log for request_id in c.request_ids],
        )
        loop = asyncio.get_running_loop()
        for other in self.servers.values():
            if other is not server and not other.is_primary:
                other.follow(server)
        if old is not None:
            loop.call_later(OLD_PRIMARY_TIME, old.retire, server)


class Server:
    """One database server; a stopped one accepts and answers nothing."""

    def __init__(
        self,
        group: Group,
        server_id: str,
        zone: str,
        host: str,
        port: int,
        store,
        started_at_ms: int,
        receive_delay: float = 0.002,
        apply_delay: float = 0.008,
        work: float = 0.005,
    ):
        self.group, self.id, self.zone = group, server_id, zone
        self.host, self.port = host, port
        self.receive_delay, self.apply_delay = receive_delay, apply_delay
        self.work = work
        self.started_at_ms = started_at_ms
        self.is_running = True
        self.is_primary = False
        self.is_deaf = False
        self.lead = 0  # raised whenever the server takes or loses the lead
        self.term = 1
        self.state = "ready"
        self.log: list[Commit] = []
        self.applied = 0
        self.runs: list[tuple[float, str, str]] = []
        self._store = store
        self._sequence = itertools.count(1)
        self._signatures = itertools.count(1)
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        group.servers[server_id] = self

    async def start(self) -> None:
        """Listen, and register in the store."""
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, limit=(1 << 20) + 2
        )
        self.register()

    def register(self) -> None:
        """Write the server's entry."""
        self._store.put(
            "servers",
            self.id,
            {
                "service": self.group.service,
                "address": f"{self.host}:{self.port}",
                "zone": self.zone,
                "version": "v1",
                "slots": 5,
                "state": self.state,
                "cold_left_ms": 0,
                "db_role": "primary" if self.is_primary else "replica",
                "sequence": next(self._sequence),
                "born": self.started_at_ms,
            },
        )

    def drain(self) -> None:
        """Report that the server is going to stop."""
        self.state = "draining"
        self.register()
        self.group.record("draining acknowledged", server=self.id)

    def crash(self) -> None:
        """Stop at once: connections are reset, and nothing is said any more."""
        self.is_running = False
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def expire(self) -> None:
        """Let the store remove the entry of a server that says nothing any more."""
        if not self.is_running:
            self._store.delete("servers", self.id)

    async def restart(self) -> None:
        """Come back with the log, as a replica if another server was promoted."""
        self.is_running = True
        self.started_at_ms = round(time.time() * 1000)
        if self.group.primary is not self:
            self.is_primary = False
            self.follow(self.group.primary)
        await self.start()

    def hear_again(self) -> None:
        """Receive again."""
        self.is_deaf = False
        self.receive(self.group.primary)

    def become_primary(self, term: int) -> None:
        """Lead a term with what has been received."""
        self.is_primary, self.term = True, term
        self.lead += 1
        self.applied = len(self.log)
        self.register()

    def follow(self, primary: "Server") -> None:
        """Follow a primary; what it does not have is rolled back."""
        common = 0
        for own, other in zip(self.log, primary.log, strict=False):
            if own is not other:
                break
            common += 1
        for lost in self.log[common:]:
            self.group.record(
                "commit rolled back", server=self.id, ids=lost.request_ids
            )
        del self.log[common:]
        self.applied = min(self.applied, common)
        self.term = primary.term
        self.receive(primary)

    def retire(self, primary: "Server") -> None:
        """Become a replica because another server leads a later term."""
        if self.group.primary is self:
            return
        if self.is_primary:
            self.is_primary = False
            self.lead += 1
            self.register()
        self.follow(primary)

    def receive(self, primary: "Server") -> None:
        """Receive what the primary has."""
        if self.is_primary or primary is not self.group.primary:
            return
        if not primary.is_primary or not self.is_running or self.is_deaf:
            return
        count = len(primary.log)
        if count > len(self.log):
            self.log.extend(primary.log[len(self.log) :])
            loop = asyncio.get_running_loop()
            loop.call_later(self.apply_delay, self._apply, count)

    def _apply(self, count: int) -> None:
        self.applied = max(self.applied, min(count, len(self.log)))

    def _position(self) -> tuple[int, int]:
        if self.applied == 0:
            return (1, 0)
        last = self.log[self.applied - 1]
        return (last.term, last.number)

    def _received(self) -> tuple[int, int]:
        return (self.log[-1].term, self.log[-1].number) if self.log else (1, 0)

    def _covers(self, position: str) -> bool:
        term, _, number = position.partition(".")
        wanted = (int(term), int(number))
        if wanted[1] == 0:
            return True
        return any((c.term, c.number) == wanted for c in self.log[: self.applied])

    def _find_value(self, item: str) -> str:
        for commit in reversed(self.log[: self.applied]):
            for name, value in reversed(commit.writes):
                if name == item:
                    return value
        return "none"

    async def _commit(
        self, writes: list[tuple[str, str]], request_ids: list[str]
    ) -> None:
        number = self.log[-1].number + 1 if self.log else 1
        commit = Commit(self.term, number, list(writes), list(request_ids))
        self.log.append(commit)
        self.applied = len(self.log)
        current = self.group.primary
        self.group.record(
            "committed",
            server=self.id,
            position=f"{self.term}.{number}",
            ids=request_ids,
            present_primary=None if current is None else current.id,
        )
        self.group.replicate(self, commit)
        while not self._is_received(commit):
            await asyncio.sleep(0.002)

    def _is_received(self, commit: Commit) -> bool:
        others = [s for s in self.group.servers.values() if s is not self]
        holders = sum(any(c is commit for c in s.log[-50:]) for s in others)
        return holders >= self.group.sync_replicas

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        session = None
        try:
            while self.is_running:
                line = (await reader.readuntil(b"\n"))[:-2].decode()
                word, _, rest = line.partition(" ")
                if word == "QUIT":
                    return
                if session is None:
                    service, who, *expected = rest.split(" ")
                    if service != self.group.service or expected not in ([], [self.id]):
                        writer.write(b"ERROR WRONGNODE other\r\n")
                        return
                    session = Session(who)
                    lines = [self._ready(session)]
                else:
                    request_id, _, text = rest.partition(" ")
                    lines = await self._run(session, request_id, text)
                    lines.append(self._ready(session))
                if not self.is_running:
                    return
                writer.write("".join(f"{x}\r\n" for x in lines).encode())
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def _ready(self, session: Session) -> str:
        term, number = self._position()
        return f"READY {session.state} {term}.{number}"

    async def _run(self, session: Session, request_id: str, text: str) -> list[str]:
        word, _, rest = text.partition(" ")
        if word == "SINCE":
            position, _, text = rest.partition(" ")
            word, _, rest = text.partition(" ")
            if not self._covers(position):
                return ["ERROR LAGGING behind"]
        self.runs.append((time.monotonic(), request_id, text))
        if request_id != "-":
            self.group.record("run", server=self.id, id=request_id, text=repr(text))
        if word == "STATUS":
            return self._describe()
        if word == "STEPDOWN":
            if self.is_primary and self.term < int(rest):
                self.is_primary = False
                self.lead += 1
                self.register()
            return self._describe()
        if word == "RESET":
            session.variables.clear()
            session.prepared.clear()
            return ["COMPLETE -"]
        if word == "SET":
            name, _, value = rest.partition(" ")
            session.variables[name] = value
            return ["COMPLETE -"]
        if word == "PREPARE":
            name, kind, shape = rest.split(" ", 2)
            session.prepared[name] = (kind, shape)
            return ["COMPLETE -"]
        if word == "ROLLBACK":
            session.end_transaction()
            return ["COMPLETE -"]
        if session.state == "E":
            return ["ERROR MALFORMED the transaction failed"]
        lost_lead = (
            session.state == "T"
            and not session.read_only
            and session.began_as_primary != self.lead
        )
        if word == "BEGIN":
            session.read_only = rest == "READ"
            if not session.read_only and not self.is_primary:
                return [f"ERROR READONLY {self.id}"]
            session.state, session.began_as_primary = "T", self.lead
            return ["COMPLETE -"]
        if word == "COMMIT":
            return await self._run_commit(session, request_id, lost_lead)
        if lost_lead:
            session.end_transaction("E")
            return [f"ERROR READONLY {self.id}"]
        if word == "EXECUTE":
            name, _, arguments = rest.partition(" ")
            if name not in session.prepared:
                return ["ERROR NOSTMT unknown name"]
            word, rest = session.prepared[name][0], arguments
        await asyncio.sleep(self.work)
        if word == "READ":
            return [f"ROW {self._find_value(rest)}", self._sign()]
        return await self._run_write(session, request_id, rest)

    async def _run_write(
        self, session: Session, request_id: str, rest: str
    ) -> list[str]:
        if not self.is_primary:
            return [f"ERROR READONLY {self.id}"]
        item, _, value = rest.partition(" ")
        if session.state == "T":
            session.writes.append((item, value))
            session.request_ids.append(request_id)
        else:
            await self._commit([(item, value)], [request_id])
        return [self._sign()]

    async def _run_commit(
        self, session: Session, request_id: str, lost_lead: bool
    ) -> list[str]:
        await asyncio.sleep(self.work)
        lost_lead = lost_lead or (
            not session.read_only and session.began_as_primary != self.lead
        )
        if lost_lead and session.writes:
            session.end_transaction("E")
            return [f"ERROR READONLY {self.id}"]
        if session.writes:
            await self._commit(session.writes, [*session.request_ids, request_id])
        session.end_transaction()
        return [self._sign()]

    def _sign(self) -> str:
        return f"COMPLETE {self.id}.{next(self._signatures)}"

    def _describe(self) -> list[str]:
        role = "primary" if self.is_primary else "replica"
        term, number = self._received()
        connections = len(self._writers)
        row = f"ROW {role} {self.term} {term}.{number} 0 0 0 {connections}"
        return [row, "COMPLETE -"]
