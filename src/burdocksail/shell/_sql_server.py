"""Server side of the MySQL protocol, for callers and for the stand-in.

The protocol library does the packets. This module closes what it leaves open:
it ends a connection whose authentication failed, bounds packets, and reports
counts of affected rows.
"""

import asyncio
import struct
from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Any

from mysql_mimic import types
from mysql_mimic.auth import IdentityProvider, NativePasswordAuthPlugin, User
from mysql_mimic.connection import Connection
from mysql_mimic.control import LocalControl
from mysql_mimic.errors import ErrorCode, MysqlError
from mysql_mimic.results import ResultColumn
from mysql_mimic.results import ResultSet as MimicResultSet
from mysql_mimic.session import BaseSession
from mysql_mimic.stream import ConnectionClosed, MysqlStream

from burdocksail.core import ResultSet
from burdocksail.shell._errors import ShellError

MAX_PACKET_BYTES = 16 * 1024 * 1024
MAX_PART_BYTES = 0xFFFFFF
LOGIN_TIMEOUT_S = 10.0
# User, password, database and plugin are the strings of a login packet.
LOGIN_STRING_COUNT = 4
SERVER_VERSION = "8.0.36-burdocksail"

_HEADER = struct.Struct("<I")

FindPasswordHash = Callable[[str], str | None]


class SqlError(ShellError):
    """An error answer for a client.

    Parameters
    ----------
    code : int
        MySQL error code.
    message : str
        Text for the client.
    """

    def __init__(self, code: int, message: str):
        super().__init__(message)
        self.code = code
        self.message = message


class SqlSession(ABC):
    """What a server does with the statements of one client."""

    @abstractmethod
    async def open(self, account: str, connection_id: int) -> None:
        """Begin after the client has authenticated."""

    @abstractmethod
    async def run(
        self, database: str, sql: str, attributes: dict[str, str]
    ) -> ResultSet:
        """Run a statement; raise `SqlError` to answer with an error."""

    @abstractmethod
    async def close(self) -> None:
        """End after the client has gone."""

    # Whether the connection shall be closed after the present answer.
    must_leave = False

    def is_in_transaction(self) -> bool:
        """Return whether a transaction is open, for the status flags."""
        return False

    def is_autocommit(self) -> bool:
        """Return whether statements commit by themselves."""
        return True


class SqlServer:
    """Listens for MySQL clients.

    Parameters
    ----------
    make_session : callable
        Returns the session of a new connection.
    find_password_hash : callable
        Returns the hash of an account's password; None if there is no such
        account.
    """

    def __init__(
        self,
        make_session: Callable[[], SqlSession],
        find_password_hash: FindPasswordHash,
    ):
        self._make_session = make_session
        self._identities = _Accounts(find_password_hash)
        self._control = LocalControl()
        self._server: asyncio.Server | None = None
        self._next_connection_id = 0
        self.connections: dict[int, _SqlConnection] = {}
        self.protocol_errors = 0
        self.refused_logins = 0

    async def start(self, host: str, port: int) -> int:
        """Listen; return the port."""
        self._server = await asyncio.start_server(
            self._serve, host, port, backlog=4096, limit=2**16
        )
        return self._server.sockets[0].getsockname()[1]

    def stop_listening(self) -> None:
        """Accept no more clients; those connected go on."""
        if self._server is not None:
            self._server.close()

    def close_idle_connections(self, idle_for_s: float) -> None:
        """Close the connections that have been quiet for a while.

        Those with an open transaction stay. The protocol has no way to ask a
        client to leave, so a busy one is never closed here.
        """
        now = asyncio.get_running_loop().time()
        for connection in list(self.connections.values()):
            session = connection.adapter.sql_session
            if connection.is_running or session.is_in_transaction():
                continue
            if now - connection.quiet_since >= idle_for_s:
                connection.stream.writer.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._next_connection_id += 1
        stream = _BoundedStream(reader, writer)
        adapter = _SessionAdapter(self._make_session())
        connection = _SqlConnection(stream, adapter, self._control, self._identities)
        connection.connection_id = self._next_connection_id
        self.connections[connection.connection_id] = connection
        try:
            await connection.start()
        except LoginRefusedError:
            self.refused_logins += 1
        except (ConnectionError, ConnectionClosed, TimeoutError):
            pass
        except asyncio.CancelledError:
            # The process is stopping.
            pass
        except Exception:
            # Whatever a client sends may end its own connection only.
            self.protocol_errors += 1
        finally:
            del self.connections[connection.connection_id]
            writer.close()


class LoginRefusedError(ShellError):
    """The client did not authenticate."""


class _Accounts(IdentityProvider):
    """Accounts as the protocol library wants them."""

    def __init__(self, find_password_hash: FindPasswordHash):
        self._find_password_hash = find_password_hash
        self._plugin = NativePasswordAuthPlugin()

    def get_plugins(self) -> list[NativePasswordAuthPlugin]:
        return [self._plugin]

    async def get_user(self, username: str) -> User | None:
        password_hash = self._find_password_hash(username)
        if password_hash is None:
            # A user without a matching hash fails like one with a wrong
            # password, so that nobody can find out which accounts exist.
            password_hash = "0" * 40
        return User(username, password_hash, self._plugin.name)


class _Variables:
    """The session variables that the protocol library reads."""

    __slots__ = ("_values",)

    _DEFAULTS = {
        "character_set_results": "utf8mb4",
        "character_set_client": "utf8mb4",
        "version": SERVER_VERSION,
        "external_user": "",
    }

    def __init__(self) -> None:
        self._values: dict[str, Any] = {}

    def get(self, name: str) -> Any:
        return self._values.get(name, self._DEFAULTS.get(name))

    def set(self, name: str, value: Any, force: bool = False) -> None:
        if self._DEFAULTS.get(name) != value:
            self._values[name] = value


class _SessionAdapter(BaseSession):
    """Connects the library's session interface with `SqlSession`."""

    def __init__(self, sql_session: SqlSession):
        self.sql_session = sql_session
        self.variables = _Variables()
        self.username = None
        self.database = None
        self.result = ResultSet()
        self.connection: _SqlConnection | None = None

    async def init(self, connection: Connection) -> None:
        self.connection = connection
        await self.sql_session.open(self.username or "", connection.connection_id)

    async def close(self) -> None:
        await self.sql_session.close()

    async def use(self, database: str) -> None:
        self.database = database

    async def handle_query(
        self, sql: str, attrs: dict[str, str]
    ) -> MimicResultSet | None:
        if sql[:4].upper() == "USE ":
            self.database = sql[4:].strip(" ;`\n")
            self.result = ResultSet()
            return None
        self.connection.is_running = True
        try:
            result = await self.sql_session.run(self.database or "", sql, attrs or {})
        except SqlError as error:
            raise MysqlError(error.message, error.code) from error
        finally:
            self.connection.is_running = False
            self.connection.quiet_since = asyncio.get_running_loop().time()
        self.result = result
        if not result.columns:
            return None
        return MimicResultSet(result.rows, _find_columns(result))


class _SqlConnection(Connection):
    """A connection that ends when authentication fails."""

    def __init__(
        self,
        stream: "_BoundedStream",
        adapter: _SessionAdapter,
        control: LocalControl,
        identities: IdentityProvider,
    ):
        super().__init__(stream, adapter, control, identities)
        self.adapter = adapter
        self.is_running = False
        self.quiet_since = asyncio.get_running_loop().time()

    async def connection_phase(self) -> None:
        try:
            async with asyncio.timeout(LOGIN_TIMEOUT_S):
                await super().connection_phase()
        except MysqlError as error:
            raise LoginRefusedError(error.msg) from error

    async def authenticate(self, username: str, *args: Any, **kwargs: Any) -> None:
        # The library answers a failure with an error packet and then goes on
        # to the command phase.
        self.adapter.username = None
        await super().authenticate(username, *args, **kwargs)
        if self.adapter.username is None:
            raise LoginRefusedError(f"wrong password or account {username!r}")

    async def handle_change_user(self, data: bytes) -> None:
        # A session belongs to one account from its first to its last byte.
        raise MysqlError(
            "COM_CHANGE_USER is not supported", ErrorCode.UNKNOWN_COM_ERROR
        )

    async def handle_field_list(self, data: bytes) -> None:
        # Deprecated by MySQL, and parsed by the library without bounds.
        message = "COM_FIELD_LIST is not supported"
        raise MysqlError(message, ErrorCode.UNKNOWN_COM_ERROR)

    def error(self, **kwargs: Any) -> bytes:
        if self.adapter.sql_session.must_leave:
            # Closing flushes the packet first, and runs before the client can
            # have sent its next statement.
            asyncio.get_running_loop().call_soon(self._close_after_flush)
        return super().error(**kwargs)

    def _close_after_flush(self) -> None:
        self.stream.writer.close()

    def ok(self, **kwargs: Any) -> bytes:
        session = self.adapter.sql_session
        flags = types.ServerStatus(0)
        if session.is_autocommit():
            flags |= types.ServerStatus.SERVER_STATUS_AUTOCOMMIT
        if session.is_in_transaction():
            flags |= types.ServerStatus.SERVER_STATUS_IN_TRANS
        self.status_flags = flags
        if not kwargs:
            result = self.adapter.result
            kwargs = {
                "affected_rows": result.affected_rows,
                "last_insert_id": result.last_insert_id,
            }
            self.adapter.result = ResultSet()
        return super().ok(**kwargs)


class _BoundedStream:
    """A stream that refuses packets over a limit.

    The library's own class is compiled and cannot be derived from.
    """

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        inner = MysqlStream(reader, writer)
        self._inner = inner
        self.reader = reader
        self.writer = writer
        self.write = inner.write
        self.drain = inner.drain
        self.reset_seq = inner.reset_seq
        self._is_first_packet = True
        self.write_many = inner.write_many
        self.write_text_rows = inner.write_text_rows

    async def read(self) -> bytes:
        parts = []
        size = 0
        while True:
            try:
                header = await self.reader.readexactly(4)
            except asyncio.IncompleteReadError as error:
                raise ConnectionClosed from error
            (word,) = _HEADER.unpack(header)
            length = word & MAX_PART_BYTES
            size += length
            if size > MAX_PACKET_BYTES:
                raise MysqlError(
                    f"packets over {MAX_PACKET_BYTES} bytes are refused", 1153
                )
            expected = next(self._inner.seq)
            if word >> 24 != expected:
                raise MysqlError("packets out of order", ErrorCode.MALFORMED_PACKET)
            try:
                parts.append(await self.reader.readexactly(length))
            except asyncio.IncompleteReadError as error:
                raise ConnectionClosed from error
            if length < MAX_PART_BYTES:
                return self._terminate(b"".join(parts))

    def _terminate(self, packet: bytes) -> bytes:
        """Return a packet in which the library finds the end of each string.

        It looks for the NUL of a string without regard to the packet's end,
        and would search for ever in a login packet that was cut short.
        """
        if not self._is_first_packet:
            return packet
        self._is_first_packet = False
        return packet + LOGIN_STRING_COUNT * b"\0"


def _encode_raw(column: ResultColumn, value: bytes) -> bytes:
    return value


_column_cache: dict[tuple, list[ResultColumn]] = {}
MAX_CACHED_COLUMN_LISTS = 1024


def _find_columns(result: ResultSet) -> list[ResultColumn]:
    key = result.columns
    columns = _column_cache.get(key)
    if columns is None:
        columns = [_make_column(c.name, c.type_code) for c in key]
        if len(_column_cache) >= MAX_CACHED_COLUMN_LISTS:
            _column_cache.clear()
        _column_cache[key] = columns
    return columns


def _make_column(name: str, type_code: int) -> ResultColumn:
    column_type = types.ColumnType(type_code)
    column = ResultColumn(name, column_type, text_encoder=_encode_raw)
    native = column.binary_encoder
    if column_type in _PARSERS:
        parse = _PARSERS[column_type]
        column.binary_encoder = lambda col, value: native(col, parse(value))
    return column


_PARSERS = {
    types.ColumnType.TINY: int,
    types.ColumnType.SHORT: int,
    types.ColumnType.LONG: int,
    types.ColumnType.LONGLONG: int,
    types.ColumnType.INT24: int,
    types.ColumnType.FLOAT: float,
    types.ColumnType.DOUBLE: float,
}
