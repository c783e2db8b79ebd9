"""Groups of callers that misbehave, for tests and measurements of the limits.

A group opens many connections at once, sends on each what its pattern says, and
keeps them open without doing what a caller should. Both front ends are covered; a
`Dialect` holds what differs between them.
"""

import asyncio
import contextlib
import socket
import struct
import time
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path
from typing import Protocol

import pymysql

Address = tuple[str, int]

MESSAGE_BYTES = 1 << 20
PIECE_BYTES = 1 << 14
OVERSIZED_BYTES = 8 << 20
PIPELINED_MESSAGES = 8
PIPELINED_STATEMENTS = 20_000
UNREAD_ANSWERS = 64
MAX_CONNECTING = 32  # connections of a group that are being opened at a time
OPEN_TIMEOUT = 5.0  # seconds
SAMPLE_INTERVAL = 0.05  # seconds between counts of descriptors
SQL_PART_BYTES = 0xFFFFFF  # a MySQL packet of this length has another part
SQL_QUERY = b"\x03"


class Dialect(Protocol):
    """What the callers of one front end send."""

    async def open_session(self, address: Address) -> socket.socket:
        """Open a session and return its socket."""
        ...

    def make_statement(self, size: int) -> bytes:
        """Return a statement of `size` bytes or a few more."""
        ...

    def make_first_message(self, size: int) -> bytes:
        """Return a first message of `size` bytes or a few more."""
        ...

    def make_oversized(self) -> bytes:
        """Return the beginning of a message far over the limit."""
        ...

    def make_large_read(self) -> bytes:
        """Return a statement whose answer has some hundred kilobytes."""
        ...


@dataclass(frozen=True, slots=True)
class LineDialect:
    """The line protocol; `large_item` names an item with a large value."""

    database: str
    large_item: str = "large"

    async def open_session(self, address: Address) -> socket.socket:
        """Open a session and return its socket."""
        loop = asyncio.get_running_loop()
        sock = await open_socket(address)
        await loop.sock_sendall(sock, f"START {self.database} key\r\n".encode())
        if not (await loop.sock_recv(sock, 100)).startswith(b"READY"):
            sock.close()
            raise ConnectionRefusedError("the session was refused")
        return sock

    def make_statement(self, size: int) -> bytes:
        """Return a statement of `size` bytes or a few more."""
        return b"QUERY a READ " + b"x" * max(1, size - 15) + b"\r\n"

    def make_first_message(self, size: int) -> bytes:
        """Return a first message of `size` bytes or a few more."""
        return b"START " + b"x" * (size - 12) + b" key\r\n"

    def make_oversized(self) -> bytes:
        """Return the beginning of a message far over the limit."""
        return self.make_statement(OVERSIZED_BYTES)

    def make_large_read(self) -> bytes:
        """Return a statement whose answer has some hundred kilobytes."""
        return f"QUERY a READ {self.large_item}\r\n".encode()


@dataclass(frozen=True, slots=True)
class SqlDialect:
    """The MySQL protocol."""

    database: str
    account: str
    password: str

    async def open_session(self, address: Address) -> socket.socket:
        """Open a session and return its socket."""
        return await asyncio.to_thread(self._log_in, address)

    def make_statement(self, size: int) -> bytes:
        """Return a statement of `size` bytes or a few more."""
        return _frame(SQL_QUERY + b"SELECT 1 -- " + b"x" * max(1, size - 17))

    def make_first_message(self, size: int) -> bytes:
        """Return a first message of `size` bytes or a few more."""
        return _frame(b"x" * (size - 4), sequence=1)

    def make_oversized(self) -> bytes:
        """Return the beginning of a message far over the limit."""
        head = struct.pack("<I", SQL_PART_BYTES)
        return head + bytes(SQL_PART_BYTES) + struct.pack("<I", 1 << 24 | 1 << 20)

    def make_large_read(self) -> bytes:
        """Return a statement whose answer has some hundred kilobytes."""
        return _frame(SQL_QUERY + b"SELECT hex(zeroblob(100000)) AS large")

    def _log_in(self, address: Address) -> socket.socket:
        connection = pymysql.connect(
            host=address[0],
            port=address[1],
            user=self.account,
            password=self.password,
            database=self.database,
            connect_timeout=OPEN_TIMEOUT,
            read_timeout=OPEN_TIMEOUT,
            write_timeout=OPEN_TIMEOUT,
        )
        # PyMySQL closes its socket with the connection object.
        sock = socket.socket(fileno=connection._sock.detach())
        sock.setblocking(False)
        return sock


class Pattern(Enum):
    """How the callers of a group misbehave."""

    SILENT_CONNECTIONS = "connections that send nothing"
    SILENT_SESSIONS = "silent sessions"
    HALF_OPENED = "first messages that stop after three bytes"
    UNFINISHED = "a legal message of 1 MiB, all but its end"
    FIRST_UNFINISHED = "a first message of 1 MiB, all but its end"
    PIPELINED = "legal messages of 1 MiB pipelined, answers not read"
    PIECES = "the same in pieces of 16 kB"
    STATEMENTS = "20,000 statements each pipelined, answers not read"
    OVERSIZED = "messages far over the limit"
    FIRST_OVERSIZED = "first messages far over the limit"
    SLOW = "a legal message of 1 MiB, sent 64 bytes at a time"
    UNREAD_ANSWERS = "reads of large values, answers not read"


WITHOUT_SESSION = frozenset(
    {
        Pattern.SILENT_CONNECTIONS,
        Pattern.HALF_OPENED,
        Pattern.FIRST_UNFINISHED,
        Pattern.FIRST_OVERSIZED,
    }
)


@dataclass(slots=True)
class Peak:
    """Highest use of a process while a group misbehaved.

    Attributes
    ----------
    memory_mb : float
        Peak of the resident memory since the process began.
    descriptors : int
        Peak of the open descriptors.
    opened : int
        Connections of the group that were opened, and sessions if it has them.
    """

    memory_mb: float = 0.0
    descriptors: int = 0
    opened: int = 0


@dataclass(slots=True)
class CallerGroup:
    """Callers that misbehave in the same way.

    Parameters
    ----------
    count : int
        Number of callers.
    duration : float
        Seconds until the callers close their connections.
    """

    dialect: Dialect
    pattern: Pattern
    count: int
    duration: float
    _sockets: list[socket.socket] = field(default_factory=list)

    async def run(self, address: Address, process_id: int) -> Peak:
        """Misbehave towards a process and return its peak use."""
        peak = Peak()
        slots = asyncio.Semaphore(MAX_CONNECTING)
        callers = [
            asyncio.create_task(self._misbehave(address, slots, peak))
            for _ in range(self.count)
        ]
        end = time.monotonic() + self.duration
        while time.monotonic() < end:
            sample(process_id, peak)
            await asyncio.sleep(SAMPLE_INTERVAL)
        for caller in callers:
            caller.cancel()
        await asyncio.gather(*callers, return_exceptions=True)
        for sock in self._sockets:
            sock.close()
        sample(process_id, peak)
        return peak

    async def _misbehave(
        self, address: Address, slots: asyncio.Semaphore, peak: Peak
    ) -> None:
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError, TimeoutError, pymysql.Error):
            async with slots, asyncio.timeout(OPEN_TIMEOUT):
                if self.pattern in WITHOUT_SESSION:
                    sock = await open_socket(address)
                else:
                    sock = await self.dialect.open_session(address)
            self._sockets.append(sock)
            peak.opened += 1
            pause = 0.1 if self.pattern is Pattern.SLOW else 0.0
            for piece in _make_pieces(self.dialect, self.pattern):
                await loop.sock_sendall(sock, piece)
                await asyncio.sleep(pause)


async def open_socket(address: Address) -> socket.socket:
    """Open a connection and return its socket, which does not block."""
    sock = socket.socket()
    sock.setblocking(False)
    try:
        await asyncio.get_running_loop().sock_connect(sock, address)
    except BaseException:
        sock.close()
        raise
    return sock


def sample(process_id: int, peak: Peak) -> None:
    """Record the present use of a process.

    Raises
    ------
    ProcessLookupError
        If the process has ended.
    """
    process = Path(f"/proc/{process_id}")
    try:
        lines = (process / "status").read_text().splitlines()
        descriptors = sum(1 for _ in (process / "fd").iterdir())
    except OSError as error:
        raise ProcessLookupError(f"process {process_id} has ended") from error
    values = [line.split()[1] for line in lines if line.startswith("VmHWM:")]
    if not values:
        raise ProcessLookupError(f"process {process_id} has ended")
    peak.memory_mb = max(peak.memory_mb, int(values[0]) / 1024)
    peak.descriptors = max(peak.descriptors, descriptors)


def _frame(payload: bytes, sequence: int = 0) -> bytes:
    return struct.pack("<I", len(payload) | sequence << 24) + payload


def _cut(data: bytes, size: int) -> Iterator[bytes]:
    for start in range(0, len(data), size):
        yield data[start : start + size]


def _make_pieces(dialect: Dialect, pattern: Pattern) -> Iterator[bytes]:
    """Yield what a caller of a pattern sends once its connection is open."""
    match pattern:
        case Pattern.HALF_OPENED:
            yield dialect.make_first_message(100)[:3]
        case Pattern.UNFINISHED:
            yield dialect.make_statement(MESSAGE_BYTES)[:-2]
        case Pattern.FIRST_UNFINISHED:
            yield dialect.make_first_message(MESSAGE_BYTES)[:-2]
        case Pattern.PIPELINED:
            for _ in range(PIPELINED_MESSAGES):
                yield dialect.make_statement(MESSAGE_BYTES)
        case Pattern.PIECES:
            for _ in range(PIPELINED_MESSAGES):
                yield from _cut(dialect.make_statement(MESSAGE_BYTES), PIECE_BYTES)
        case Pattern.STATEMENTS:
            yield dialect.make_statement(20) * PIPELINED_STATEMENTS
        case Pattern.OVERSIZED | Pattern.FIRST_OVERSIZED:
            yield dialect.make_oversized()
        case Pattern.SLOW:
            yield from _cut(dialect.make_statement(MESSAGE_BYTES), 64)
        case Pattern.UNREAD_ANSWERS:
            yield dialect.make_large_read() * UNREAD_ANSWERS
