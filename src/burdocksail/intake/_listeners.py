"""Listeners whose connections are counted and limited."""

import asyncio
import contextlib
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from burdocksail.core import get_logger
from burdocksail.intake._ledger import (
    SWEEP_INTERVAL,
    Account,
    Closing,
    Kind,
    Ledger,
)
from burdocksail.intake._limits import CallerLimits
from burdocksail.intake._readers import LARGE_CHUNK_BYTES, BudgetedReader

# Connections that are accepted in one turn of the loop are open before they can be
# turned away, and some turns pass until they are closed. The reserve of descriptors
# covers these.
ACCEPT_BATCH = 4
BACKLOG = 1024
# A socket closed with unread input resets the connection, which loses the refusal.
LINGER_TIME = 0.3  # seconds
MAX_LINGERING = 8
LOG_INTERVAL = 1.0  # seconds between two lines about one limit

Serve = Callable[[BudgetedReader, asyncio.StreamWriter], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class Listener:
    """How the connections of one address are treated.

    Attributes
    ----------
    refusal : bytes
        Sent to who is turned away, or closed while idle.
    max_message : int
        Longest message, in bytes.
    copies : int
        How often a large message exists while it is served.
    """

    kind: Kind
    refusal: bytes
    max_message: int
    serve: Serve
    copies: int = 2


class Intake:
    """The listeners of a process, with one ledger for all of them.

    Parameters
    ----------
    clock : callable
        Returns the time in seconds.
    count : callable
        Called with the name of a counter.
    """

    def __init__(
        self,
        limits: CallerLimits,
        clock: Callable[[], float],
        count: Callable[[str], None],
    ):
        self.ledger = Ledger(limits, clock, self._report)
        self.lingering = 0
        self._clock = clock
        self._count = count
        self._buffer = memoryview(bytearray(LARGE_CHUNK_BYTES))
        self._unlogged: dict[tuple[Closing, Kind], int] = {}
        self._logged_at = float("-inf")
        self._log = get_logger()

    async def listen(
        self, listener: Listener, host: str, port: int, backlog: int = BACKLOG
    ) -> asyncio.Server:
        """Listen on an address and return the server."""
        loop = asyncio.get_running_loop()
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        sock = socket.create_server((host, port), family=family, backlog=backlog)
        server = await loop.create_server(
            lambda: _IntakeProtocol(self, listener, loop),
            sock=sock,
            backlog=ACCEPT_BATCH,
        )
        sock.listen(backlog)  # of the kernel; the loop has set it to its batch
        return server

    async def sweep(self) -> None:
        """Close connections that reach a limit in time, until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL)
            try:
                self.ledger.sweep()
                self._write_log()
            except Exception as error:
                # An error in one sweep must not end the limits.
                self._log.error("sweep failed", error=repr(error))

    def get_buffer(self, size: int) -> memoryview:
        """Return the buffer into which all connections read, at most `size` bytes."""
        return self._buffer[:size]

    def _report(self, closing: Closing, kind: Kind) -> None:
        self._count(f"limit_{closing.value}_{kind.value}")
        key = (closing, kind)
        self._unlogged[key] = self._unlogged.get(key, 0) + 1

    def _write_log(self) -> None:
        now = self._clock()
        if not self._unlogged or now - self._logged_at < LOG_INTERVAL:
            return
        self._logged_at = now
        for (closing, kind), count in self._unlogged.items():
            self._log.warning(
                "limit reached",
                limit=closing.value,
                connections=kind.value,
                times=count,
                held_bytes=self.ledger.used,
            )
        self._unlogged.clear()


class _IntakeProtocol(asyncio.StreamReaderProtocol, asyncio.BufferedProtocol):
    """Connects one connection with its account and its reader."""

    def __init__(
        self, intake: Intake, listener: Listener, loop: asyncio.AbstractEventLoop
    ):
        super().__init__(None, loop=loop)
        self._intake = intake
        self._listener = listener
        self._budgeted: BudgetedReader | None = None
        self._account: Account | None = None
        self._lingers = False
        self._is_lost = False

    def connection_made(self, transport: asyncio.Transport) -> None:
        super().connection_made(transport)
        ledger = self._intake.ledger
        account = ledger.admit(self._listener.kind, self._close)
        if account is None:
            self._refuse(transport)
            return
        # Drained only when all bytes are with the kernel: what the process still
        # holds is counted, and is lost when it exits.
        transport.set_write_buffer_limits(0)
        account.count_unsent = transport.get_write_buffer_size
        reader = BudgetedReader(
            ledger,
            account,
            self._listener.max_message,
            self._listener.copies,
            self._loop,
        )
        reader.set_transport(transport)
        self._account, self._budgeted = account, reader
        writer = asyncio.StreamWriter(transport, self, reader, self._loop)
        self._task = self._loop.create_task(self._listener.serve(reader, writer))
        self._task.add_done_callback(self._finish)

    def get_buffer(self, sizehint: int) -> memoryview:
        size = LARGE_CHUNK_BYTES
        if self._budgeted is not None:
            size = self._budgeted.get_chunk_size()
        return self._intake.get_buffer(size)

    def buffer_updated(self, nbytes: int) -> None:
        if self._budgeted is not None:
            self._budgeted.feed_data(self._intake.get_buffer(nbytes))

    def eof_received(self) -> bool:
        if self._budgeted is None:
            return False
        self._budgeted.feed_eof()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        self._is_lost = True
        if self._lingers:
            self._lingers = False
            self._intake.lingering -= 1
        if self._budgeted is not None:
            if exc is None:
                self._budgeted.feed_eof()
            else:
                self._budgeted.set_exception(exc)
            self._budgeted.lose()
            self._intake.ledger.disconnect(self._account)
            if self._task.done():
                self._intake.ledger.remove(self._account)
        # With the error, a future would keep it, and it the frames that it passes.
        super().connection_lost(None)

    def _finish(self, task: asyncio.Task) -> None:
        """Drop what the connection holds once nobody serves it any more."""
        self._budgeted.discard()
        if self._is_lost:
            self._intake.ledger.remove(self._account)

    def _refuse(self, transport: asyncio.Transport) -> None:
        """Tell a caller that it is turned away, and close its connection."""
        transport.write(self._listener.refusal)
        if self._intake.lingering >= MAX_LINGERING:
            transport.close()
            return
        self._intake.lingering += 1
        self._lingers = True
        with contextlib.suppress(OSError):
            transport.write_eof()
        self._loop.call_later(LINGER_TIME, transport.abort)

    def _close(self, closing: Closing) -> None:
        """Close a connection that has reached a limit."""
        transport = self._transport
        if transport is None:
            return
        self._budgeted.discard()
        if closing is Closing.CONNECTIONS and not transport.get_write_buffer_size():
            transport.write(self._listener.refusal)
            transport.close()
        else:
            transport.abort()


async def flush(writer: asyncio.StreamWriter, reader: asyncio.StreamReader) -> None:
    """Wait until the caller has taken its answer, however long its progress lasts."""
    if isinstance(reader, BudgetedReader):
        unsent = writer.transport.get_write_buffer_size()
        if unsent:
            await reader.deliver(writer, unsent)
            return
        if not writer.transport.is_closing():
            return
    await writer.drain()
