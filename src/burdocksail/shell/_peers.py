"""Connections between instances.

Each instance opens one connection to each peer that it sends messages to. Frames
are authenticated with the platform's shared key and the nonces of both sides.
"""

import asyncio
import secrets
import socket
from collections import deque
from collections.abc import Callable

from burdocksail.core import Instance
from burdocksail.intake import BudgetedReader, Intake, Kind, Listener
from burdocksail.node import (
    Event,
    Message,
    MessageArrived,
    MessageNotSent,
    PeerUnreachable,
)
from burdocksail.wire import (
    NONCE_BYTES,
    FrameDecoder,
    FrameEncoder,
    WireError,
    decode_hello,
    decode_message,
    derive_key,
    encode_hello,
    encode_message,
)

CONNECT_TIMEOUT_S = 1.0
HELLO_TIMEOUT_S = 2.0
# The kernel closes a connection whose data stays unacknowledged for this long.
TCP_USER_TIMEOUT_MS = 2000
READ_CHUNK_BYTES = 256 * 1024
MAX_HELLO_BYTES = 4096
MAX_QUEUED_MESSAGES = 20_000
IDLE_TIMEOUT_S = 60.0

HandleEvent = Callable[[Event], None]


class PeerNetwork:
    """Exchanges messages with other instances.

    Parameters
    ----------
    instance : Instance
        This instance.
    shared_key : bytes
        Key of the platform; the same on all instances.
    handle_event : callable
        Called with each event for the node.
    intake : Intake or None
        Limits the connections that have not proved to come from an instance.

    Attributes
    ----------
    rejected_connections : int
        Number of incoming connections that ended by a `WireError`: a malformed or
        unauthenticated frame, another protocol version, or an end before the hello.
    """

    def __init__(
        self,
        instance: Instance,
        shared_key: bytes,
        handle_event: HandleEvent,
        intake: Intake | None = None,
    ):
        self._intake = intake
        self._instance = instance
        self._shared_key = shared_key
        self._handle_event = handle_event
        self._connections: dict[tuple[str, int], _PeerConnection] = {}
        self._server: asyncio.Server | None = None
        self._incoming_writers: set[asyncio.StreamWriter] = set()
        self.rejected_connections = 0
        self.bytes_sent = 0
        self.bytes_received = 0

    async def start(self, host: str, port: int) -> int:
        """Start to listen for other instances and return the port."""
        if self._intake is None:
            self._server = await asyncio.start_server(self._serve, host, port)
        else:
            listener = Listener(Kind.PEER, b"", READ_CHUNK_BYTES, self._serve)
            self._server = await self._intake.listen(listener, host, port)
        return self._server.sockets[0].getsockname()[1]

    def set_instance(self, instance: Instance) -> None:
        """Set the identity that is sent to peers when a connection opens."""
        self._instance = instance

    def send(self, receiver: Instance, message: Message) -> None:
        """Send a message, or queue it until the connection is open.

        A message that was certainly not sent is reported by `MessageNotSent`. A
        peer that is unreachable or ended the connection is reported by
        `PeerUnreachable`.
        """
        address = (receiver.host, receiver.port)
        connection = self._connections.get(address)
        if connection is None:
            connection = _PeerConnection(self, receiver)
            self._connections[address] = connection
        connection.send(receiver, message)

    def close(self) -> None:
        """Close all connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections.values()):
            connection.close()
        for writer in list(self._incoming_writers):
            writer.close()

    def remove_connection(self, address: tuple[str, int]) -> None:
        """Remove an outgoing connection that has ended."""
        self._connections.pop(address, None)

    def report(self, event: Event) -> None:
        """Pass an event to the node."""
        self._handle_event(event)

    def make_hello(self, nonce: bytes) -> bytes:
        """Return the first frame that this side sends on a connection."""
        encoder = FrameEncoder(self.hello_key())
        return encoder.encode(encode_hello(self._instance, nonce))

    def hello_key(self) -> bytes:
        """Return the key of first frames, sent before both nonces are known."""
        return derive_key(self._shared_key, b"", b"")

    def frame_key(self, sender_nonce: bytes, receiver_nonce: bytes) -> bytes:
        """Return the key of all frames after the first one."""
        return derive_key(self._shared_key, sender_nonce, receiver_nonce)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._incoming_writers.add(writer)
        try:
            await self._receive(reader, writer)
        except WireError:
            self.rejected_connections += 1
        except (OSError, TimeoutError, asyncio.CancelledError):
            pass
        finally:
            self._incoming_writers.discard(writer)
            writer.close()

    async def _receive(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        decoder = FrameDecoder(self.hello_key(), MAX_HELLO_BYTES)
        own_nonce = secrets.token_bytes(NONCE_BYTES)
        async with asyncio.timeout(HELLO_TIMEOUT_S):
            sender, nonce = decode_hello(await _read_frame(reader, decoder))
        if isinstance(reader, BudgetedReader):
            self._intake.ledger.remove(reader.account)  # it is an instance
        writer.write(self.make_hello(own_nonce))
        decoder = FrameDecoder(self.frame_key(nonce, own_nonce))
        while data := await reader.read(READ_CHUNK_BYTES):
            self.bytes_received += len(data)
            for payload in decoder.feed(data):
                self._handle_event(MessageArrived(sender, decode_message(payload)))


async def _read_frame(reader: asyncio.StreamReader, decoder: FrameDecoder) -> bytes:
    while data := await reader.read(READ_CHUNK_BYTES):
        for payload in decoder.feed(data):
            return payload
    raise WireError("the connection ended before its first frame")


class _PeerConnection:
    """Outgoing connection to one peer."""

    def __init__(self, network: PeerNetwork, receiver: Instance):
        self._network = network
        self._receiver = receiver
        self._queue: deque[tuple[Instance, Message]] = deque()
        self._encoder: FrameEncoder | None = None
        self._writer: asyncio.StreamWriter | None = None
        self._used_recently = True
        self._task = asyncio.get_running_loop().create_task(self._run())

    def send(self, receiver: Instance, message: Message) -> None:
        self._receiver = receiver
        self._used_recently = True
        if self._writer is None or self._encoder is None:
            if len(self._queue) >= MAX_QUEUED_MESSAGES:
                self._network.report(MessageNotSent(receiver, message))
                return
            self._queue.append((receiver, message))
            return
        self._write(receiver, message)

    def close(self) -> None:
        self._task.cancel()
        if self._writer is not None:
            self._writer.close()

    def _write(self, receiver: Instance, message: Message) -> None:
        assert self._writer is not None and self._encoder is not None
        try:
            frame = self._encoder.encode(encode_message(message))
        except WireError:
            self._network.report(MessageNotSent(receiver, message))
            return
        self._network.bytes_sent += len(frame)
        self._writer.write(frame)

    async def _run(self) -> None:
        address = (self._receiver.host, self._receiver.port)
        peer_unreachable = False
        try:
            reader = await self._connect(address)
            while self._queue:
                self._write(*self._queue.popleft())
            peer_unreachable = await self._wait_until_closed(reader)
        except (OSError, TimeoutError, WireError):
            peer_unreachable = True
        finally:
            self._network.remove_connection(address)
            if self._writer is not None:
                self._writer.close()
            self._writer = None
        for receiver, message in self._queue:
            self._network.report(MessageNotSent(receiver, message))
        if peer_unreachable:
            self._network.report(PeerUnreachable(self._receiver))

    async def _connect(self, address: tuple[str, int]) -> asyncio.StreamReader:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(*address)
        _set_user_timeout(writer)
        nonce = secrets.token_bytes(NONCE_BYTES)
        writer.write(self._network.make_hello(nonce))
        decoder = FrameDecoder(self._network.hello_key(), MAX_HELLO_BYTES)
        try:
            async with asyncio.timeout(HELLO_TIMEOUT_S):
                _, peer_nonce = decode_hello(await _read_frame(reader, decoder))
        except BaseException:
            writer.close()
            raise
        self._encoder = FrameEncoder(self._network.frame_key(nonce, peer_nonce))
        self._writer = writer
        return reader

    async def _wait_until_closed(self, reader: asyncio.StreamReader) -> bool:
        """Wait for the end; return True if the peer ended it, False if it was idle."""
        while True:
            self._used_recently = False
            try:
                async with asyncio.timeout(IDLE_TIMEOUT_S):
                    await reader.read(1)
                return True
            except TimeoutError:
                if not self._used_recently:
                    return False


def _set_user_timeout(writer: asyncio.StreamWriter) -> None:
    raw = writer.get_extra_info("socket")
    if raw is not None and hasattr(socket, "TCP_USER_TIMEOUT"):
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
