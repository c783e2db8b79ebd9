"""Server side of the MySQL protocol, for callers and for the stand-in servers.

The library mysql_mimic encodes and decodes packets. This module adds what the
library lacks: it ends a connection whose authentication failed, limits the size
of packets, and reports counts of affected rows.
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
from burdocksail.intake import BudgetedReader, Intake, Kind, Listener, flush
from burdocksail.shell._errors import ShellError

MAX_PACKET_BYTES = 16 * 1024 * 1024
MAX_LOGIN_BYTES = 1 << 16  # names, an authentication response and attributes
# Packet, command, text and encoded query of a statement exist at the same time.
COPIES = 4
PACKET_TOO_LARGE_ERROR = 1153
# What a client gets in place of the server's greeting; error 1040 is "too many
# connections", after which clients come back.
REFUSAL_TEXT = b"Too many connections; BUSY, retry after 1000 ms"
REFUSAL = (
    struct.pack("<I", len(REFUSAL_TEXT) + 3)
    + b"\xff"
    + struct.pack("<H", 1040)
    + REFUSAL_TEXT
)
# A packet of this length or more is sent in several parts.
MAX_PART_BYTES = 0xFFFFFF
LOGIN_TIMEOUT_S = 10.0
# A login packet holds four strings: user, password, database and plugin.
LOGIN_STRING_COUNT = 4
RESULT_WRITE_TIME_S = 0.1  # until the first bytes of a result are in the buffer
SERVER_VERSION = "8.0.36-burdocksail"

_HEADER = struct.Struct("<I")

FindPasswordHash = Callable[[str], str | None]


class SqlError(ShellError):
    """An error to send to the client.

    Parameters
    ----------
    code : int
        MySQL error code.
    message : str
        Error message for the client.
    """

    def __init__(self, code: int, message: str):
        super().__init__(message)
        self.code = code
        self.message = message


class SqlSession(ABC):
    """Handler of the statements of one client connection."""

    @abstractmethod
    async def open(self, account: str, connection_id: int) -> None:
        """Open the session; called after the client has authenticated."""

    @abstractmethod
    async def run(
        self, database: str, sql: str, attributes: dict[str, str]
    ) -> ResultSet:
        """Run a statement and return its result.

        Parameters
        ----------
        database : str
            Current database; empty if none.
        sql : str
            Text of the statement.
        attributes : dict of str to str
            MySQL query attributes of the statement.

        Raises
        ------
        SqlError
            To answer the client with an error.
        """

    @abstractmethod
    async def close(self) -> None:
        """Close the session; called after the client has disconnected."""

    # Whether to close the connection after the current error answer.
    close_after_answer = False

    def is_in_transaction(self) -> bool:
        """Return whether a transaction is open, for the status flags."""
        return False

    def is_autocommit(self) -> bool:
        """Return whether autocommit is on, for the status flags."""
        return True


class SqlServer:
    """Listens for MySQL clients.

    Parameters
    ----------
    make_session : callable
        Returns the session for a new connection.
    find_password_hash : callable
        Returns the hash of an account's password; None if there is no such
        account.
    intake : Intake or None
        Limits what clients may hold; None sets no limit.
    """

    def __init__(
        self,
        make_session: Callable[[], SqlSession],
        find_password_hash: FindPasswordHash,
        intake: Intake | None = None,
    ):
        self._intake = intake
        self._make_session = make_session
        self._identity_provider = _AccountIdentityProvider(find_password_hash)
        self._control = LocalControl()
        self._server: asyncio.Server | None = None
        self._next_connection_id = 0
        self.connections: dict[int, _SqlConnection] = {}
        self.protocol_errors = 0
        self.refused_logins = 0

    async def start(self, host: str, port: int) -> int:
        """Start to listen and return the port."""
        if self._intake is None:
            self._server = await asyncio.start_server(
                self._serve, host, port, backlog=4096, limit=2**16
            )
        else:
            listener = Listener(
                Kind.CALLER, REFUSAL, MAX_PACKET_BYTES, self._serve, COPIES
            )
            self._server = await self._intake.listen(listener, host, port, 4096)
        return self._server.sockets[0].getsockname()[1]

    def stop_listening(self) -> None:
        """Accept no more connections; existing ones stay open."""
        if self._server is not None:
            self._server.close()

    def close_idle_connections(self, idle_for_s: float) -> None:
        """Close the connections that have been idle for at least `idle_for_s` seconds.

        Connections that run a statement or hold an open transaction stay open:
        the protocol has no way to ask a client to disconnect, and closing them
        would interrupt their work.
        """
        now = asyncio.get_running_loop().time()
        for connection in list(self.connections.values()):
            session = connection.adapter.sql_session
            if connection.is_running or session.is_in_transaction():
                continue
            if now - connection.idle_since >= idle_for_s:
                connection.stream.writer.close()

    def has_statement_since_before(self, limit: float) -> bool:
        """Return whether a statement that began before `limit` is not answered yet.

        Parameters
        ----------
        limit : float
            Time of the event loop, in seconds.
        """
        return any(
            connection.is_answering() and connection.started_at < limit
            for connection in self.connections.values()
        )

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._next_connection_id += 1
        limit = MAX_PACKET_BYTES
        if self._intake is not None:
            limit = min(limit, self._intake.ledger.limits.get_message_bytes(COPIES))
        stream = _BoundedStream(reader, writer, limit)
        adapter = _SessionAdapter(self._make_session())
        connection = _SqlConnection(
            stream, adapter, self._control, self._identity_provider
        )
        connection.connection_id = self._next_connection_id
        if isinstance(reader, BudgetedReader):
            reader.account.is_idle = connection.is_idle
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
            # Malformed input must end only the connection it arrived on.
            self.protocol_errors += 1
        finally:
            del self.connections[connection.connection_id]
            stream.discard()
            writer.close()


class LoginRefusedError(ShellError):
    """The login failed or was malformed."""


class _AccountIdentityProvider(IdentityProvider):
    """Looks up accounts for the authentication of the protocol library."""

    def __init__(self, find_password_hash: FindPasswordHash):
        self._find_password_hash = find_password_hash
        self._plugin = NativePasswordAuthPlugin()

    def get_plugins(self) -> list[NativePasswordAuthPlugin]:
        return [self._plugin]

    async def get_user(self, username: str) -> User | None:
        password_hash = self._find_password_hash(username)
        if password_hash is None:
            # No known password has this hash, so an unknown account fails like a
            # wrong password and a client cannot find out which accounts exist.
            password_hash = "0" * 40
        return User(username, password_hash, self._plugin.name)


class _SessionVariables:
    """Session variables that the protocol library reads."""

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
    """Adapts an `SqlSession` to the session interface of the library."""

    def __init__(self, sql_session: SqlSession):
        self.sql_session = sql_session
        self.variables = _SessionVariables()
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
        self.connection.started_at = asyncio.get_running_loop().time()
        try:
            result = await self.sql_session.run(self.database or "", sql, attrs or {})
        except SqlError as error:
            raise MysqlError(error.message, error.code) from error
        finally:
            self.connection.is_running = False
            self.connection.idle_since = asyncio.get_running_loop().time()
        if not result.columns:
            self.result = result
            return None
        # Only the counts of a result without rows are needed after its answer.
        self.result = ResultSet()
        return MimicResultSet(result.rows, _get_result_columns(result))


class _SqlConnection(Connection):
    """Connection of one client; ends if authentication fails."""

    def __init__(
        self,
        stream: "_BoundedStream",
        adapter: _SessionAdapter,
        control: LocalControl,
        identity_provider: IdentityProvider,
    ):
        super().__init__(stream, adapter, control, identity_provider)
        self.adapter = adapter
        self.is_running = False
        self.started_at = float("-inf")
        self.idle_since = asyncio.get_running_loop().time()

    def is_idle(self) -> bool:
        """Return whether closing the connection interrupts no work."""
        return not self.is_running and not self.adapter.sql_session.is_in_transaction()

    def is_answering(self) -> bool:
        """Return whether a statement runs or its result is being written."""
        idle_for = asyncio.get_running_loop().time() - self.idle_since
        is_written = not self.stream.writer.transport.get_write_buffer_size()
        return self.is_running or idle_for < RESULT_WRITE_TIME_S or not is_written

    async def connection_phase(self) -> None:
        try:
            async with asyncio.timeout(LOGIN_TIMEOUT_S):
                await super().connection_phase()
        except MysqlError as error:
            raise LoginRefusedError(error.msg) from error

    async def command_phase(self) -> None:
        if not isinstance(self.stream.reader, BudgetedReader):
            await super().command_phase()
            return
        # The library's loop holds the last packet, twice, while it waits for the next
        # one. It is run for one packet at a time, so that idle connections hold none.
        while await self.stream.prefetch():
            await super().command_phase()
            if not self.stream.has_ended_packet:
                return  # The client has quit.

    async def authenticate(self, username: str, *args: Any, **kwargs: Any) -> None:
        # After a failure, the library sends an error packet but still continues
        # with the command phase.
        self.adapter.username = None
        await super().authenticate(username, *args, **kwargs)
        if self.adapter.username is None:
            raise LoginRefusedError(f"wrong password or unknown account {username!r}")

    async def handle_change_user(self, data: bytes) -> None:
        # A session belongs to one account for its whole lifetime.
        raise MysqlError(
            "COM_CHANGE_USER is not supported", ErrorCode.UNKNOWN_COM_ERROR
        )

    async def handle_field_list(self, data: bytes) -> None:
        # Deprecated by MySQL, and parsed by the library without bounds checks.
        message = "COM_FIELD_LIST is not supported"
        raise MysqlError(message, ErrorCode.UNKNOWN_COM_ERROR)

    def error(self, **kwargs: Any) -> bytes:
        if self.adapter.sql_session.close_after_answer:
            # Closing flushes the error packet first. The callback runs before
            # the client can have sent its next statement.
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
            # The library passes no counts after a statement without rows: add those
            # of its result, and only to this answer.
            result = self.adapter.result
            kwargs = {
                "affected_rows": result.affected_rows,
                "last_insert_id": result.last_insert_id,
            }
            self.adapter.result = ResultSet()
        return super().ok(**kwargs)


class _BoundedStream:
    """Packet stream that refuses packets larger than a limit.

    The library's own class is compiled and cannot be subclassed. Its `drain` passes
    on what has been written; `flush` then waits until the client has taken it.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        max_packet_bytes: int = MAX_PACKET_BYTES,
    ):
        self._max_packet_bytes = max_packet_bytes
        self._next_packet: bytes | None = None
        self._is_prefetching = False
        self.has_ended_packet = False
        inner = MysqlStream(reader, writer)
        self._inner = inner
        self.reader = reader
        self.writer = writer
        if isinstance(reader, BudgetedReader):
            inner.writer = _FlushingWriter(reader, writer)
        self.write = inner.write
        self.drain = inner.drain
        self.reset_seq = inner.reset_seq
        self._is_first_packet = True
        self.write_many = inner.write_many
        self.write_text_rows = inner.write_text_rows

    async def prefetch(self) -> bool:
        """Read the next packet for `read`; return whether there is one.

        From then on, `read` reports the end of the connection after each packet.
        """
        self._is_prefetching = True
        try:
            self._next_packet = await self._read_packet()
        except ConnectionClosed:
            return False
        self.has_ended_packet = False
        return True

    def discard(self) -> None:
        """Drop a packet that has not been read.

        The connection is in a cycle of references, so that the garbage collector
        would free the packet much later.
        """
        self._next_packet = None

    async def read(self) -> bytes:
        if not self._is_prefetching:
            return await self._read_packet()
        packet, self._next_packet = self._next_packet, None
        if packet is None:
            self.has_ended_packet = True
            raise ConnectionClosed
        return packet

    async def _read_packet(self) -> bytes:
        parts = []
        size = 0
        budgeted = isinstance(self.reader, BudgetedReader)
        limit = self._max_packet_bytes
        if budgeted:
            self.reader.end_request()
            if self._is_first_packet:
                limit = MAX_LOGIN_BYTES
        while True:
            try:
                header = await self.reader.readexactly(4)
            except asyncio.IncompleteReadError as error:
                raise ConnectionClosed from error
            (word,) = _HEADER.unpack(header)
            length = word & MAX_PART_BYTES
            size += length
            if size > limit:
                raise MysqlError(
                    f"packets over {limit} bytes are refused", PACKET_TOO_LARGE_ERROR
                )
            expected = next(self._inner.seq)
            if word >> 24 != expected:
                raise MysqlError("packets out of order", ErrorCode.MALFORMED_PACKET)
            part = self.reader.take(length) if budgeted else None
            if part is None:
                if budgeted:
                    self.reader.expect(length)
                try:
                    part = await self.reader.readexactly(length)
                except asyncio.IncompleteReadError as error:
                    raise ConnectionClosed from error
            parts.append(part)
            if length < MAX_PART_BYTES:
                return self._append_string_terminators(b"".join(parts))

    def _append_string_terminators(self, packet: bytes) -> bytes:
        """Append a NUL for each string of a login packet, the first packet.

        The library searches for the NUL that ends a string past the end of the
        packet, and would loop forever on a truncated login packet.
        """
        if not self._is_first_packet:
            return packet
        self._is_first_packet = False
        return packet + LOGIN_STRING_COUNT * b"\0"


class _FlushingWriter:
    """Writer for the library, with a `drain` that limits how slowly clients read."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        self._reader = reader
        self._writer = writer
        self.write = writer.write

    async def drain(self) -> None:
        """Wait until the client has taken what was written."""
        await flush(self._writer, self._reader)


def _encode_raw(column: ResultColumn, value: bytes) -> bytes:
    return value


_result_columns_cache: dict[tuple, list[ResultColumn]] = {}
MAX_CACHED_COLUMN_LISTS = 1024


def _get_result_columns(result: ResultSet) -> list[ResultColumn]:
    key = result.columns
    columns = _result_columns_cache.get(key)
    if columns is None:
        columns = [_build_result_column(c.name, c.type_code) for c in key]
        if len(_result_columns_cache) >= MAX_CACHED_COLUMN_LISTS:
            _result_columns_cache.clear()
        _result_columns_cache[key] = columns
    return columns


def _build_result_column(name: str, type_code: int) -> ResultColumn:
    column_type = types.ColumnType(type_code)
    column = ResultColumn(name, column_type, text_encoder=_encode_raw)
    encode_binary = column.binary_encoder
    if column_type in _VALUE_PARSERS:
        parse = _VALUE_PARSERS[column_type]
        column.binary_encoder = lambda col, value: encode_binary(col, parse(value))
    return column


# Values arrive as text, but the binary protocol of prepared statements encodes
# numbers.
_VALUE_PARSERS = {
    types.ColumnType.TINY: int,
    types.ColumnType.SHORT: int,
    types.ColumnType.LONG: int,
    types.ColumnType.LONGLONG: int,
    types.ColumnType.INT24: int,
    types.ColumnType.FLOAT: float,
    types.ColumnType.DOUBLE: float,
}
