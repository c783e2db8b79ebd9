"""Reader of one connection that buffers little, and asks for room for more."""

import asyncio
import copy

from burdocksail.intake._ledger import SMALL_MESSAGE, Account, Ledger

CHUNK_BYTES = 16 << 10  # read at once from a connection without room for more
LARGE_CHUNK_BYTES = 64 << 10


class RoomDenied(asyncio.IncompleteReadError):
    """There was no room for a large message in time."""


class BudgetedReader(asyncio.StreamReader):
    """Reads messages whose bytes are counted in a ledger.

    It stops to read from the connection while what it holds is not consumed, and while
    there is no room for the rest of a large message. A connection therefore holds at
    most the read-ahead and one chunk, or the message that it has room for.

    Parameters
    ----------
    max_message : int
        Longest message, in bytes.
    copies : int
        How often a large message exists while it is served.
    """

    def __init__(
        self,
        ledger: Ledger,
        account: Account,
        max_message: int,
        copies: int,
        loop: asyncio.AbstractEventLoop,
    ):
        super().__init__(loop=loop)
        self.account = account
        self._ledger = ledger
        self._max_message = max_message
        self._copies = copies
        self._loop = loop
        self._data = bytearray()
        self._scanned = 0
        self._wanted = 0  # bytes that a reader waits for; 0 for the end of a line
        self._reading: asyncio.Future[None] | None = None
        self._is_paused = False
        self._awaits_room = False
        self._was_denied = False
        self._has_ended = False
        self._is_lost = False
        self._error: Exception | None = None
        self._own_transport: asyncio.Transport | None = None

    def exception(self) -> None:
        """Return None: errors of the connection are raised by the reader only.

        `StreamWriter.drain` raises what this returns, and its frame refers to the
        exception, which refers to the frames that it has passed and to the message
        served there. These would stay until the garbage collector runs.
        """

    def set_exception(self, exc: Exception) -> None:
        """Record the error of the connection."""
        self._error = exc
        self._has_ended = True
        self._wake()

    def set_transport(self, transport: asyncio.BaseTransport) -> None:
        """Set the transport that is paused and resumed."""
        self._own_transport = transport

    def feed_eof(self) -> None:
        """Record the end of the input."""
        self._has_ended = True
        self._wake()

    def lose(self) -> None:
        """Record that the connection is lost, and drop what has been read."""
        self._is_lost = True
        self.discard()

    def discard(self) -> None:
        """Drop what has been read, which nobody will consume.

        The reader, its account and its protocol refer to each other. Without this,
        the input of a lost connection would stay until the garbage collector runs.
        """
        self._data = bytearray()
        self._scanned = 0
        self._ledger.set_input(self.account, 0)
        self.feed_eof()

    def at_eof(self) -> bool:
        """Return whether the input has ended and all of it is consumed."""
        return self._has_ended and not self._data

    def get_chunk_size(self) -> int:
        """Return the bytes that may be read from the connection at once."""
        if self.account.reserved_bytes:
            return LARGE_CHUNK_BYTES
        return min(CHUNK_BYTES, max(1024, int(self._ledger.get_read_ahead())))

    def feed_data(self, data: bytes | memoryview) -> None:
        """Append input; wake the reader once its message is complete."""
        self._data += data
        self._ledger.set_input(self.account, len(self._data))
        if self._reading is None:
            if len(self._data) > self._ledger.get_read_ahead():
                self._pause()
        elif self._is_satisfied():
            self._wake()
        else:
            self._ledger.begin_message(self.account)
            self._ask_for_room()

    async def readuntil(self, separator: bytes = b"\n") -> bytes:
        """Return the input up to and with the next separator, a single byte.

        Raises
        ------
        LimitOverrunError
            If the message is longer than the limit.
        IncompleteReadError
            If the input ends before; `RoomDenied` if there was no room.
        """
        self._ledger.end_request(self.account)
        self._wanted = 0
        while (end := self._data.find(separator, self._scanned) + 1) == 0:
            self._scanned = len(self._data)
            if self._scanned >= self._max_message:
                self._refuse_long_message()
            await self._wait(None)
        if end > self._max_message:
            self._refuse_long_message()
        return self._take(end)

    async def readexactly(self, n: int) -> bytes:
        """Return the next `n` bytes.

        Raises
        ------
        IncompleteReadError
            If the input ends before; `RoomDenied` if there was no room.
        """
        self._wanted = n
        while len(self._data) < n:
            await self._wait(n)
        return self._take(n)

    def take(self, n: int) -> bytes | None:
        """Return the next `n` bytes if they have arrived, else None."""
        return self._take(n) if len(self._data) >= n else None

    async def read(self, n: int = -1) -> bytes:
        """Return up to `n` bytes of what has arrived, empty at the end.

        Raises
        ------
        ValueError
            If `n` is negative: nobody may ask for input without a limit.
        """
        if n < 0:
            raise ValueError("read needs a limit")
        self._wanted = 1
        if not self._data and not self._has_ended:
            self._resume()
            await self._suspend()
        if self._error is not None:
            raise copy.copy(self._error)
        return self._take(min(n, len(self._data)))

    def expect(self, size: int) -> None:
        """Announce that a message of a known size follows.

        If it needs room, `readexactly` waits for that, and raises `RoomDenied` if there
        is none in time.
        """
        if len(self._data) >= size:
            return
        self._ledger.begin_message(self.account)
        if size > SMALL_MESSAGE:
            self._ask(size)

    async def deliver(self, writer: asyncio.StreamWriter, unsent: int) -> None:
        """Wait until the caller has taken the `unsent` bytes of its answer.

        Raises
        ------
        ConnectionError
            If the connection is lost before.
        """
        self._ledger.begin_delivery(self.account, unsent)
        try:
            await writer.drain()
        finally:
            self._ledger.end_delivery(self.account)
        if self._is_lost:
            raise ConnectionResetError("the connection is lost")

    def end_request(self) -> None:
        """Give back the room of the last message, whose answer has been taken."""
        self._ledger.end_request(self.account)

    def _is_satisfied(self) -> bool:
        if self._wanted:
            return len(self._data) >= self._wanted
        if len(self._data) >= self._max_message:
            return True
        found = self._data.find(b"\n", self._scanned) >= 0
        if not found:
            self._scanned = len(self._data)
        return found

    async def _wait(self, wanted: int | None) -> None:
        """Wait until the message may be complete."""
        if self._was_denied:
            raise RoomDenied(b"", wanted)
        if self._error is not None:
            raise copy.copy(self._error)
        if self._has_ended:
            raise asyncio.IncompleteReadError(bytes(self._data[:100]), wanted)
        if self._data:
            self._ledger.begin_message(self.account)
            self._ask_for_room()
        if not self._awaits_room:
            self._resume()
        await self._suspend()

    async def _suspend(self) -> None:
        self._reading = self._loop.create_future()
        try:
            await self._reading
        finally:
            self._reading = None

    def _wake(self) -> None:
        if self._reading is not None and not self._reading.done():
            self._reading.set_result(None)

    def _take(self, size: int) -> bytes:
        data = bytes(self._data[:size])
        if size == len(self._data):
            self._data = bytearray()  # which gives its memory back
        else:
            del self._data[:size]
        self._scanned = 0
        self._ledger.set_input(self.account, len(self._data))
        if size:
            self._ledger.end_message(self.account)
        return data

    def _refuse_long_message(self) -> None:
        """Drop what has been read and raise `LimitOverrunError`."""
        self._take(len(self._data))
        self._ledger.end_request(self.account)
        raise asyncio.LimitOverrunError("the message is too long", 0)

    def _ask_for_room(self) -> None:
        if not self._wanted and len(self._data) > SMALL_MESSAGE:
            self._ask(self._max_message)

    def _ask(self, size: int) -> None:
        if self.account.reserved_bytes or self._awaits_room or self._was_denied:
            return
        self._awaits_room = True
        needed = self._copies * size
        self._ledger.request_room(self.account, needed, self._take_room)
        if self._awaits_room:
            self._pause()

    def _take_room(self, is_granted: bool) -> None:
        self._awaits_room = False
        if is_granted:
            self._resume()
        else:
            self._was_denied = True
            self._wake()

    def _pause(self) -> None:
        if not self._is_paused and self._own_transport is not None:
            self._is_paused = True
            self._own_transport.pause_reading()

    def _resume(self) -> None:
        if self._is_paused and not self._own_transport.is_closing():
            self._is_paused = False
            self._own_transport.resume_reading()
