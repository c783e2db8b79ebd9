"""Connections to upstream servers through the MySQL client library asyncmy."""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from typing import Any

import asyncmy
import asyncmy.errors

from burdocksail.core import Column, ResultSet
from burdocksail.node import (
    AdminAction,
    AdminFinished,
    Event,
    Operation,
    OperationFinished,
    OperationResult,
    OperationStatus,
    ServerReport,
    UpstreamClosed,
    UpstreamConnected,
)
from burdocksail.records import Group, Server
from burdocksail.upstream import (
    UpstreamError,
    build_admin_script,
    build_operation_script,
)

CONNECT_TIMEOUT_S = 3
# MySQL's client errors have codes in this range: the connection broke.
FIRST_CLIENT_ERROR_CODE = 2000
LAST_CLIENT_ERROR_CODE = 2999
MAX_IDLE_ADMIN_CONNECTIONS = 2  # per server
ADMIN_IDLE_TIMEOUT_S = 5.0

HandleEvent = Callable[[Event], None]


class ConnectionBrokenError(Exception):
    """The connection broke; a statement that was sent may have taken effect.

    Not a `ShellError`: `UpstreamPool` reports it to the node as a result or event.
    """


class UpstreamConnection:
    """Connection to a server; tracks the current database."""

    def __init__(self, connection: Any):
        self._connection = connection
        self._database = ""
        self.query_count = 0
        self.query_count_when_idle = 0

    @classmethod
    async def open(cls, group: Group, server: Server) -> "UpstreamConnection":
        """Connect to a server.

        Raises
        ------
        ConnectionBrokenError
            If the server is unreachable or refuses the connection.
        """
        try:
            connection = await asyncmy.connect(
                host=server.host,
                port=server.port,
                user=group.user,
                password=group.password,
                autocommit=None,
                connect_timeout=CONNECT_TIMEOUT_S,
                # Values must pass through as MySQL's text. asyncmy decodes a column
                # if its type, an integer, is a key of `conv`; here, no type is.
                conv={int: str},
                use_unicode=False,
            )
        except (asyncmy.errors.MySQLError, OSError, TimeoutError) as error:
            raise ConnectionBrokenError(str(error)) from error
        return cls(connection)

    async def use(self, database: str) -> None:
        """Switch to `database` unless it is empty or already the current one.

        Raises
        ------
        UpstreamError
            If the server answers with an error.
        ConnectionBrokenError
            If the connection breaks.
        """
        if database and database != self._database:
            await self._call(self._connection.select_db(database))
            self._database = database

    async def query(self, sql: str) -> ResultSet:
        """Run one statement and return its result.

        Raises
        ------
        UpstreamError
            If the server answers with an error.
        ConnectionBrokenError
            If the connection breaks.
        """
        self.query_count += 1
        cursor = self._connection.cursor()
        await self._call(cursor.execute(sql))
        if cursor.description is None:
            return ResultSet(
                affected_rows=max(cursor.rowcount, 0),
                last_insert_id=cursor.lastrowid or 0,
            )
        columns = tuple(Column(d[0], d[1]) for d in cursor.description)
        return ResultSet(columns, await cursor.fetchall())

    def close(self) -> None:
        """Close the connection at once."""
        self._connection.close()

    async def _call(self, awaitable: Any) -> Any:
        try:
            return await awaitable
        except asyncmy.errors.MySQLError as error:
            code = error.args[0] if error.args else 0
            if not isinstance(code, int) or code == 0:
                raise ConnectionBrokenError(str(error)) from error
            if FIRST_CLIENT_ERROR_CODE <= code <= LAST_CLIENT_ERROR_CODE:
                raise ConnectionBrokenError(str(error)) from error
            message = str(error.args[1]) if len(error.args) > 1 else ""
            raise UpstreamError(code, message) from error
        except (OSError, asyncio.IncompleteReadError, RuntimeError) as error:
            raise ConnectionBrokenError(str(error)) from error


class UpstreamPool:
    """Upstream connections of an instance, by the ids that the node assigns."""

    def __init__(self, handle_event: HandleEvent):
        self._handle_event = handle_event
        self._connections: dict[int, UpstreamConnection] = {}
        self._running_tasks: dict[int, asyncio.Task] = {}
        self._idle_admin_connections: dict[str, list[UpstreamConnection]] = {}
        self._tasks: set[asyncio.Task] = set()

    def open(self, connection_id: int, group: Group, server: Server) -> None:
        """Start to connect.

        `UpstreamConnected` or `UpstreamClosed` follows, unless the connection is
        closed first.
        """
        task = self._spawn(self._open(connection_id, group, server))
        self._running_tasks[connection_id] = task

    def close(self, connection_id: int) -> None:
        """Close a connection, cancel its opening or operation; no event follows."""
        connection = self._connections.pop(connection_id, None)
        if connection is not None:
            connection.close()
        task = self._running_tasks.pop(connection_id, None)
        if task is not None:
            task.cancel()

    def run(self, operation: Operation) -> None:
        """Start an operation; `OperationFinished` follows unless `close` cancels it."""
        task = self._spawn(self._run(operation))
        self._running_tasks[operation.connection_id] = task

    def run_admin(
        self,
        action_id: int,
        group: Group,
        server: Server,
        action: AdminAction,
        timeout: timedelta,
    ) -> None:
        """Start an administrative action; `AdminFinished` follows."""
        self._spawn(self._run_admin(action_id, group, server, action, timeout))

    def close_all(self) -> None:
        """Close all connections and cancel all tasks."""
        for connection_id in list(self._connections):
            self.close(connection_id)
        for connections in self._idle_admin_connections.values():
            for connection in connections:
                connection.close()
        for task in list(self._tasks):
            task.cancel()

    def _spawn(self, coroutine: Any) -> asyncio.Task:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _open(self, connection_id: int, group: Group, server: Server) -> None:
        try:
            connection = await UpstreamConnection.open(group, server)
        except ConnectionBrokenError as error:
            self._handle_event(UpstreamClosed(connection_id, str(error)))
            return
        self._connections[connection_id] = connection
        self._running_tasks.pop(connection_id, None)
        self._handle_event(UpstreamConnected(connection_id))

    async def _run(self, operation: Operation) -> None:
        connection = self._connections.get(operation.connection_id)
        result = OperationResult(OperationStatus.NOT_SENT)
        if connection is not None:
            result = await self._run_operation_script(connection, operation)
        self._running_tasks.pop(operation.connection_id, None)
        self._handle_event(OperationFinished(operation.operation_id, result))

    async def _run_operation_script(
        self, connection: UpstreamConnection, operation: Operation
    ) -> OperationResult:
        try:
            await connection.use(operation.database)
        except UpstreamError as error:
            return OperationResult(
                OperationStatus.REFUSED, error_code=error.code, message=error.message
            )
        except ConnectionBrokenError as error:
            self._discard_connection(operation.connection_id)
            return OperationResult(OperationStatus.NOT_SENT, message=str(error))
        try:
            return await run_script(build_operation_script(operation), connection)
        except ConnectionBrokenError as error:
            self._discard_connection(operation.connection_id)
            return OperationResult(OperationStatus.LOST, message=str(error))

    def _discard_connection(self, connection_id: int) -> None:
        connection = self._connections.pop(connection_id, None)
        if connection is not None:
            connection.close()

    async def _run_admin(
        self,
        action_id: int,
        group: Group,
        server: Server,
        action: AdminAction,
        timeout: timedelta,
    ) -> None:
        report = None
        message = ""
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                report = await self._run_admin_script(group, server, action)
        except (
            ConnectionBrokenError,
            UpstreamError,
            TimeoutError,
            ValueError,
        ) as error:
            message = str(error) or type(error).__name__
        self._handle_event(AdminFinished(action_id, report, message))

    async def _run_admin_script(
        self, group: Group, server: Server, action: AdminAction
    ) -> ServerReport:
        address = f"{server.host}:{server.port}"
        idle = self._idle_admin_connections.setdefault(address, [])
        connection = idle.pop() if idle else None
        if connection is None:
            connection = await UpstreamConnection.open(group, server)
        try:
            report = await run_script(build_admin_script(action), connection)
        except BaseException:
            connection.close()
            raise
        if len(idle) >= MAX_IDLE_ADMIN_CONNECTIONS:
            connection.close()
            return report
        connection.query_count_when_idle = connection.query_count
        idle.append(connection)
        asyncio.get_running_loop().call_later(
            ADMIN_IDLE_TIMEOUT_S, self._close_idle_admin, idle, connection
        )
        return report

    def _close_idle_admin(
        self, idle: list[UpstreamConnection], connection: UpstreamConnection
    ) -> None:
        """Close a connection that has not been used since it became idle.

        A leader inspects repeatedly and reuses its connection. An instance that
        inspected only once must not occupy one of the server's connections.
        """
        if (
            connection in idle
            and connection.query_count == connection.query_count_when_idle
        ):
            idle.remove(connection)
            connection.close()


async def run_script(script: Any, connection: UpstreamConnection) -> Any:
    """Run the statements of a script on a connection and return its result.

    Raises
    ------
    UpstreamError
        If the server answers with an error that the script does not handle.
    ConnectionBrokenError
        If the connection breaks.
    """
    try:
        sql = next(script)
        while True:
            try:
                result = await connection.query(sql)
            except UpstreamError as error:
                sql = script.throw(error)
            else:
                sql = script.send(result)
    except StopIteration as stop:
        return stop.value
