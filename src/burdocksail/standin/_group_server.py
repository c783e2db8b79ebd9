"""MySQL servers for a modelled database group, with one port for each server."""

import asyncio
from dataclasses import dataclass, field
from datetime import timedelta

from burdocksail.core import ResultSet, SystemClock, seconds
from burdocksail.records import Server, hash_password
from burdocksail.shell import SqlError, SqlServer, SqlSession
from burdocksail.standin._database import (
    DatabaseGroup,
    DatabaseServer,
    DatabaseSession,
    LockWaitError,
    parse_sleep,
    parse_wait,
)
from burdocksail.standin._records import GROUP_PASSWORD, GROUP_USER
from burdocksail.upstream import UpstreamError

REPLICATION_INTERVAL_S = 0.005
LOCK_RETRY_INTERVAL_S = 0.001
LOCK_TIMEOUT_S = 2.0
TOO_MANY_CONNECTIONS = 1040
LOCK_WAIT_TIMEOUT = 1205
_clock = SystemClock()
_PREFIXES_WITHOUT_SLOT = ("SET", "SELECT @@", "BEGIN", "COMMIT", "ROLLBACK", "CHANGE")


@dataclass(frozen=True, slots=True)
class StandInGroupSettings:
    """Sizes and delays of a served database group.

    Attributes
    ----------
    lag : timedelta
        Replication lag.
    slots : int
        Statements that a server runs at the same time.
    connections : int
        Connections that a server accepts.
    connect_delay : timedelta
        Time that opening a connection takes.
    service_time : timedelta
        Time for which a statement occupies a slot, besides any ``SLEEP``.
    """

    lag: timedelta = seconds(0.05)
    slots: int = 3
    connections: int = 20
    connect_delay: timedelta = seconds(0.01)
    service_time: timedelta = timedelta()


@dataclass(slots=True)
class _ListeningServer:
    database: DatabaseServer
    sql_server: SqlServer | None
    slots: asyncio.Semaphore
    cut: bool = False
    sessions: set[int] = field(default_factory=set)
    peak_sessions: int = 0


class StandInGroup:
    """Serves a `DatabaseGroup` over the MySQL protocol.

    Parameters
    ----------
    name : str
        Name of the group.
    domains : tuple of str
        Failure domain of each server.
    """

    def __init__(self, name: str, domains: tuple[str, ...]):
        self.name = name
        self._domains = domains
        self._settings = StandInGroupSettings()
        self._listening: dict[str, _ListeningServer] = {}
        self._task: asyncio.Task | None = None
        self.group: DatabaseGroup | None = None

    async def start(
        self, host: str, ports: list[int], settings: StandInGroupSettings
    ) -> list[Server]:
        """Listen on one port for each server; return the record's server entries."""
        self._settings = settings
        databases = []
        for index, port in enumerate(ports):
            database = DatabaseServer(f"{self.name}-{index}", host, port)
            listening = _ListeningServer(
                database, None, asyncio.Semaphore(settings.slots)
            )
            listening.sql_server = SqlServer(
                lambda listening=listening: _GroupSession(self._settings, listening),
                _find_hash,
            )
            database.port = await listening.sql_server.start(host, port)
            self._listening[database.name] = listening
            databases.append(database)
        self.group = DatabaseGroup(databases, settings.lag)
        self._task = asyncio.get_running_loop().create_task(self._replicate())
        return [
            Server(database.name, host, database.port, domain)
            for database, domain in zip(databases, self._domains, strict=True)
        ]

    def cut_server(self, name: str) -> None:
        """Cut a server off from clients and other servers; it keeps running.

        Its open connections are closed.
        """
        listening = self._listening[name]
        listening.cut = True
        assert self.group is not None
        self.group.cut_servers.add(name)
        for connection in list(listening.sql_server.connections.values()):
            connection.stream.writer.close()

    def heal_server(self, name: str) -> None:
        """Undo `cut_server`."""
        self._listening[name].cut = False
        assert self.group is not None
        self.group.cut_servers.discard(name)

    def get_peak_sessions(self) -> dict[str, int]:
        """Return the greatest number of connections that each server had at once."""
        return {name: x.peak_sessions for name, x in self._listening.items()}

    async def close(self) -> None:
        """Stop replication and listening, and close all connections."""
        if self._task is not None:
            self._task.cancel()
        for listening in self._listening.values():
            listening.sql_server.stop_listening()
            for connection in list(listening.sql_server.connections.values()):
                connection.stream.writer.close()

    async def _replicate(self) -> None:
        assert self.group is not None
        while True:
            self.group.replicate(_now())
            await asyncio.sleep(REPLICATION_INTERVAL_S)


class _GroupSession(SqlSession):
    """A client's session on one server of the group."""

    def __init__(self, settings: StandInGroupSettings, listening: _ListeningServer):
        self._settings = settings
        self._listening = listening
        self._session = DatabaseSession(0)

    async def open(self, account: str, connection_id: int) -> None:
        self._session.session_id = connection_id
        await asyncio.sleep(self._settings.connect_delay.total_seconds())
        if self._listening.cut:
            raise ConnectionResetError("the server is cut off")
        sessions = self._listening.sessions
        sessions.add(connection_id)
        self._listening.peak_sessions = max(
            self._listening.peak_sessions, len(sessions)
        )

    async def run(
        self, database: str, sql: str, attributes: dict[str, str]
    ) -> ResultSet:
        if self._listening.cut:
            raise ConnectionResetError("the server is cut off")
        if len(self._listening.sessions) > self._settings.connections:
            raise SqlError(TOO_MANY_CONNECTIONS, "Too many connections")
        wait = parse_wait(sql)
        if wait is not None:
            return await self._await_vector(*wait)
        try:
            return await self._run_in_slot(sql)
        except UpstreamError as error:
            raise SqlError(error.code, error.message) from error

    async def close(self) -> None:
        self._listening.sessions.discard(self._session.session_id)
        self._listening.database.close_session(self._session)

    async def _run_in_slot(self, sql: str) -> ResultSet:
        if sql.startswith(_PREFIXES_WITHOUT_SLOT):
            return await self._execute(sql)
        async with self._listening.slots:
            duration = parse_sleep(sql) + self._settings.service_time
            if duration:
                await asyncio.sleep(duration.total_seconds())
            return await self._execute(sql)

    async def _execute(self, sql: str) -> ResultSet:
        end = _now() + seconds(LOCK_TIMEOUT_S)
        while True:
            try:
                database = self._listening.database
                return database.execute(self._session, sql, _now())
            except LockWaitError:
                if _now() >= end:
                    message = "Lock wait timeout exceeded"
                    raise SqlError(LOCK_WAIT_TIMEOUT, message) from None
            await asyncio.sleep(LOCK_RETRY_INTERVAL_S)

    async def _await_vector(self, wanted: object, timeout: timedelta) -> ResultSet:
        end = _now() + timeout
        database = self._listening.database
        while not database.vector.covers_all(wanted) and _now() < end:
            await asyncio.sleep(LOCK_RETRY_INTERVAL_S)
        return ResultSet()


def _find_hash(account: str) -> str | None:
    return hash_password(GROUP_PASSWORD) if account == GROUP_USER else None


def _now() -> timedelta:
    return _clock.now()
