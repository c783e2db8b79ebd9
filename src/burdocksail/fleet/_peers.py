"""Transport between instances: messages over UDP, snapshots over TCP."""

import asyncio
import struct
from collections.abc import Callable
from typing import Protocol

from burdocksail.fleet._codec import (
    MessageError,
    Snapshot,
    decode_message,
    decode_snapshot,
    encode_message,
    encode_snapshot,
)
from burdocksail.fleet._messages import Message
from burdocksail.intake import Intake, Kind, Listener, flush

Address = tuple[str, int]
Receiver = Callable[[Message, Address], None]

SNAPSHOT_TIMEOUT = 2.0  # seconds; a snapshot has some hundred kilobytes
MAX_SNAPSHOT_BYTES = 8 << 20  # several times a full configuration
READ_BYTES = 1 << 12  # nothing is expected from a peer that gets a snapshot
_LENGTH_PREFIX = struct.Struct(">I")


class Peers(Protocol):
    """Sends messages to other instances and fetches their snapshots."""

    def send(self, address: Address, message: Message) -> None:
        """Send a message, which may be lost without notice."""
        ...

    async def fetch_snapshot(self, address: Address) -> Snapshot | None:
        """Return another instance's snapshot of the store; None without an answer."""
        ...


class DatagramPeers(asyncio.DatagramProtocol):
    """Peers over UDP, with snapshots over TCP on the same port.

    Parameters
    ----------
    receive : callable
        Called with each message and the address of its sender.
    take_snapshot : callable
        Returns the snapshot to send to a peer that asks for it.
    report_malformed : callable
        Called with the sender's address and the error for each malformed datagram.
    intake : Intake or None
        Limits the connections for snapshots; None sets no limit.
    """

    def __init__(
        self,
        receive: Receiver,
        take_snapshot: Callable[[], Snapshot],
        report_malformed: Callable[[Address, MessageError], None],
        intake: Intake | None = None,
    ):
        self._intake = intake
        self._receive = receive
        self._take_snapshot = take_snapshot
        self._report_malformed = report_malformed
        self._transport: asyncio.DatagramTransport | None = None
        self._server: asyncio.Server | None = None

    async def open(self, host: str, port: int) -> None:
        """Listen on the address for datagrams and for snapshot connections."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, port)
        )
        if self._intake is None:
            self._server = await asyncio.start_server(self._serve_snapshot, host, port)
        else:
            listener = Listener(Kind.PEER, b"", READ_BYTES, self._serve_snapshot)
            self._server = await self._intake.listen(listener, host, port)

    def close(self) -> None:
        """Stop listening and sending."""
        if self._transport is not None:
            self._transport.close()
        if self._server is not None:
            self._server.close()

    def send(self, address: Address, message: Message) -> None:
        """Send a datagram, which may be lost; does nothing once closed.

        A message that cannot be sent is reported as malformed.
        """
        if self._transport is None or self._transport.is_closing():
            return
        try:
            self._transport.sendto(encode_message(message), address)
        except MessageError as error:
            self._report_malformed(address, error)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Decode a datagram and pass the message to `receive`.

        A malformed datagram is reported instead.
        """
        try:
            message = decode_message(data)
        except MessageError as error:
            self._report_malformed(addr, error)
            return
        self._receive(message, addr)

    def error_received(self, exc: Exception) -> None:
        """Ignore an unreachable peer; its missing answers show the same."""

    async def fetch_snapshot(self, address: Address) -> Snapshot | None:
        """Return another instance's snapshot.

        None if it does not arrive within `SNAPSHOT_TIMEOUT`, is larger than
        `MAX_SNAPSHOT_BYTES`, or is malformed.
        """
        writer = None
        try:
            async with asyncio.timeout(SNAPSHOT_TIMEOUT):
                reader, writer = await asyncio.open_connection(*address)
                (length,) = _LENGTH_PREFIX.unpack(
                    await reader.readexactly(_LENGTH_PREFIX.size)
                )
                if length > MAX_SNAPSHOT_BYTES:
                    return None
                return decode_snapshot(await reader.readexactly(length))
        except (OSError, TimeoutError, EOFError, MessageError):
            # `SnapshotExchange` tries another peer, or the same one later.
            return None
        finally:
            if writer is not None:
                writer.transport.abort()

    async def _serve_snapshot(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        payload = encode_snapshot(self._take_snapshot())
        try:
            writer.write(_LENGTH_PREFIX.pack(len(payload)) + payload)
            async with asyncio.timeout(SNAPSHOT_TIMEOUT):
                await flush(writer, reader)
                # Wait until the peer has closed, as it does once it has the snapshot.
                while await reader.read(READ_BYTES):
                    pass
        except (OSError, TimeoutError):
            pass  # The peer is gone or too slow; it retries if it needs a snapshot.
        finally:
            writer.close()
