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
RETRY_INTERVAL_S = 0.001  # between checks of a lock or of applied positions
LOCK_TIMEOUT_S = 2.0
TOO_MANY_CONNECTIONS_ERROR = 1040
LOCK_WAIT_TIMEOUT_ERROR = 1205
_clock = SystemClock()
# In the simulator BEGIN, COMMIT and ROLLBACK occupy a slot.
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
        Open connections above which a server refuses every statement with error
        1040. Further connections are accepted.
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
class _ServedDatabase:
    """A modelled database server with the port and slots that it is served on."""

    model: DatabaseServer
    sql_server: SqlServer | None
    slots: asyncio.Semaphore
    cut: bool = False
    connection_ids: set[int] = field(default_factory=set)
    peak_connections: int = 0


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
        self._servers: dict[str, _ServedDatabase] = {}
        self._task: asyncio.Task | None = None
        self.group: DatabaseGroup | None = None

    async def start(
        self, host: str, ports: list[int], settings: StandInGroupSettings
    ) -> list[Server]:
        """Listen on one port for each server; return the record's server entries."""
        self._settings = settings
        models = []
        for index, port in enumerate(ports):
            model = DatabaseServer(f"{self.name}-{index}", host, port)
            server = _ServedDatabase(model, None, asyncio.Semaphore(settings.slots))
            server.sql_server = SqlServer(
                lambda server=server: _GroupSession(self._settings, server),
                _find_hash,
            )
            model.port = await server.sql_server.start(host, port)
            self._servers[model.name] = server
            models.append(model)
        self.group = DatabaseGroup(models, settings.lag)
        self._task = asyncio.get_running_loop().create_task(self._replicate())
        return [
            Server(model.name, host, model.port, domain)
            for model, domain in zip(models, self._domains, strict=True)
        ]

    def cut_server(self, name: str) -> None:
        """Cut a server off from clients and other servers; it keeps running.

        Its open connections are closed.
        """
        server = self._servers[name]
        server.cut = True
        assert self.group is not None
        self.group.cut_servers.add(name)
        for connection in list(server.sql_server.connections.values()):
            connection.stream.writer.close()

    def heal_server(self, name: str) -> None:
        """Undo `cut_server`."""
        self._servers[name].cut = False
        assert self.group is not None
        self.group.cut_servers.discard(name)

    def get_peak_connections(self) -> dict[str, int]:
        """Return the greatest number of connections that each server had at once.

        No other code calls this at present.
        """
        return {name: x.peak_connections for name, x in self._servers.items()}

    async def close(self) -> None:
        """Stop replication and listening, and close all connections."""
        if self._task is not None:
            self._task.cancel()
        for server in self._servers.values():
            server.sql_server.stop_listening()
            for connection in list(server.sql_server.connections.values()):
                connection.stream.writer.close()

    async def _replicate(self) -> None:
        assert self.group is not None
        while True:
            self.group.replicate(_now())
            await asyncio.sleep(REPLICATION_INTERVAL_S)


class _GroupSession(SqlSession):
    """A client's session on one server of the group."""

    def __init__(self, settings: StandInGroupSettings, server: _ServedDatabase):
        self._settings = settings
        self._server = server
        self._session = DatabaseSession(0)

    async def open(self, account: str, connection_id: int) -> None:
        self._session.session_id = connection_id
        await asyncio.sleep(self._settings.connect_delay.total_seconds())
        if self._server.cut:
            raise ConnectionResetError("the server is cut off")
        connection_ids = self._server.connection_ids
        connection_ids.add(connection_id)
        self._server.peak_connections = max(
            self._server.peak_connections, len(connection_ids)
        )

    async def run(
        self, database: str, sql: str, attributes: dict[str, str]
    ) -> ResultSet:
        if self._server.cut:
            raise ConnectionResetError("the server is cut off")
        if len(self._server.connection_ids) > self._settings.connections:
            raise SqlError(TOO_MANY_CONNECTIONS_ERROR, "Too many connections")
        wait = parse_wait(sql)
        if wait is not None:
            return await self._await_vector(*wait)
        try:
            return await self._run_in_slot(sql)
        except UpstreamError as error:
            raise SqlError(error.code, error.message) from error

    async def close(self) -> None:
        self._server.connection_ids.discard(self._session.session_id)
        self._server.model.close_session(self._session)

    async def _run_in_slot(self, sql: str) -> ResultSet:
        if sql.startswith(_PREFIXES_WITHOUT_SLOT):
            return await self._execute(sql)
        async with self._server.slots:
            duration = parse_sleep(sql) + self._settings.service_time
            if duration:
                await asyncio.sleep(duration.total_seconds())
            return await self._execute(sql)

    async def _execute(self, sql: str) -> ResultSet:
        end = _now() + seconds(LOCK_TIMEOUT_S)
        while True:
            try:
                model = self._server.model
                return model.execute(self._session, sql, _now())
            except LockWaitError:
                if _now() >= end:
                    message = "Lock wait timeout exceeded"
                    raise SqlError(LOCK_WAIT_TIMEOUT_ERROR, message) from None
            await asyncio.sleep(RETRY_INTERVAL_S)

    async def _await_vector(self, wanted: object, timeout: timedelta) -> ResultSet:
        end = _now() + timeout
        model = self._server.model
        while not model.vector.covers_all(wanted) and _now() < end:
            await asyncio.sleep(RETRY_INTERVAL_S)
        return ResultSet()


def _find_hash(account: str) -> str | None:
    return hash_password(GROUP_PASSWORD) if account == GROUP_USER else None


def _now() -> timedelta:
    return _clock.now()
