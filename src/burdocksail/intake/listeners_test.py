"""What a process holds for connections that are lost, on loopback sockets."""

import asyncio
import gc
import socket
import struct
import time
import unittest
import weakref

from burdocksail.intake import CallerLimits, Intake, Kind, Listener, flush

HOST = "127.0.0.1"
MIB = 1 << 20
ANSWER = bytes(8 * MIB)  # more than the buffers of the sockets hold
TIMEOUT = 20.0  # seconds


class Message:
    """A message that can be observed by a weak reference, unlike bytes."""

    def __init__(self, data):
        self.data = data


class LostConnectionTest(unittest.IsolatedAsyncioTestCase):
    """Guards against memory that waits for the garbage collector.

    The collector counts objects and not bytes, so that a hundred lost connections with
    a message of 1 MiB each stayed at once.
    """

    async def asyncSetUp(self):
        gc.collect()
        gc.disable()
        self.addCleanup(gc.enable)
        limits = CallerLimits(held_bytes=8 * MIB)
        self.intake = Intake(limits, time.monotonic, lambda name: None)
        self.ledger = self.intake.ledger

    async def connect(self, serve):
        """Return the socket of a new caller of a listener with this handler."""
        listener = Listener(Kind.CALLER, b"", 4 * MIB, serve)
        server = await self.intake.listen(listener, HOST, 0)
        self.addCleanup(server.close)
        caller = socket.create_connection(server.sockets[0].getsockname())
        self.addCleanup(caller.close)
        caller.setblocking(False)
        return caller

    async def wait_until(self, condition):
        async with asyncio.timeout(TIMEOUT):
            while not condition():
                await asyncio.sleep(0.01)

    def reset(self, caller):
        """Close a connection so that its other end gets an error."""
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        caller.close()

    async def test_unfinished_message_is_dropped(self):
        readers = []

        async def serve(reader, writer):
            readers.append(reader)
            try:
                reader.expect(MIB)
                await reader.readexactly(MIB)
            except (OSError, asyncio.IncompleteReadError):
                writer.close()

        for close in (socket.socket.close, self.reset):
            with self.subTest(close=close.__name__):
                caller = await self.connect(serve)
                loop = asyncio.get_running_loop()
                await loop.sock_sendall(caller, bytes(MIB - 2))
                await self.wait_until(lambda: self.ledger.used)
                close(caller)
                await self.wait_until(lambda: not self.ledger.counts[Kind.CALLER])
                self.assertTrue(readers.pop().at_eof())
                self.assertEqual((self.ledger.used, self.ledger.reserved), (0, 0))

    async def test_message_of_an_untaken_answer_is_dropped(self):
        messages = []

        async def serve(reader, writer):
            try:
                await answer(Message(await reader.readexactly(4)), reader, writer)
            except OSError:
                writer.close()

        async def answer(message, reader, writer):
            messages.append(weakref.ref(message))
            writer.write(ANSWER)
            await flush(writer, reader)

        caller = await self.connect(serve)
        await asyncio.get_running_loop().sock_sendall(caller, b"read")
        await self.wait_until(lambda: self.ledger.used)
        self.reset(caller)
        await self.wait_until(lambda: not self.ledger.counts[Kind.CALLER])
        self.assertIsNone(messages[0]())
        self.assertEqual(self.ledger.used, 0)

    async def test_message_counts_while_it_is_served(self):
        """Guards against callers that send large messages and leave at once."""
        is_finished = asyncio.Event()
        is_served = asyncio.Event()

        async def serve(reader, writer):
            reader.expect(MIB)
            await reader.readexactly(MIB)
            is_served.set()
            await is_finished.wait()
            writer.close()

        caller = await self.connect(serve)
        await asyncio.get_running_loop().sock_sendall(caller, bytes(MIB))
        async with asyncio.timeout(TIMEOUT):
            await is_served.wait()
        self.reset(caller)
        await asyncio.sleep(0.2)
        self.assertEqual(self.ledger.reserved, 2 * MIB)
        is_finished.set()
        await self.wait_until(lambda: not self.ledger.counts[Kind.CALLER])
        self.assertEqual((self.ledger.used, self.ledger.reserved), (0, 0))


if __name__ == "__main__":
    unittest.main()
