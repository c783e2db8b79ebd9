"""Tests on loopback: malformed input ends only the connection it arrived on."""

import asyncio
import random
import struct
import unittest
from unittest import mock

import pymysql

from burdocksail.core import Instance, ResultSet, seconds
from burdocksail.node import MessageArrived, PutObject, StoreStatus, WatchObjects
from burdocksail.records import hash_password
from burdocksail.shell import (
    InstanceProcess,
    InstanceSettings,
    SqlServer,
    SqlSession,
    _process,
)
from burdocksail.shell._peers import PeerNetwork
from burdocksail.shell._sql_server import MAX_PACKET_BYTES
from burdocksail.shell._store_client import StoreClient
from burdocksail.standin import StoreServer

HOST = "127.0.0.1"
TEST_TIMEOUT_S = 20
GARBAGE_ROUNDS = 40
CALL_TIMEOUT = seconds(5)
SLOW_STATEMENT = "DO 1"
SLOW_STATEMENT_S = 0.6
INSTANCE = Instance("a", "1", "inari", HOST, 0)
SETTINGS = InstanceSettings("a", "inari", HOST, 0, 0, 0, f"http://{HOST}:1", b"key")


class EmptyResultSession(SqlSession):
    """Answers every statement with a result that has no rows."""

    opened = 0

    async def open(self, account, connection_id):
        EmptyResultSession.opened += 1

    async def run(self, database, sql, attributes):
        return ResultSet(affected_rows=1)

    async def close(self):
        pass


async def send_bytes(port, data):
    """Send bytes to a port and return all that is received until end of file."""
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(data)
    writer.write_eof()
    received = await reader.read()
    writer.close()
    return received


def run_statement(port):
    """Run a statement in a session of its own and return the affected rows."""
    connection = pymysql.connect(host=HOST, port=port, user="desk", password="x")
    with connection.cursor() as cursor:
        return cursor.execute(SLOW_STATEMENT)


class StoreClientTest(unittest.IsolatedAsyncioTestCase):
    async def test_watch_from_a_revision_that_a_restoration_lost_is_refused(self):
        """Guards against a watch that waits for a revision to be given out again."""
        server = StoreServer()
        client = StoreClient(f"http://{HOST}:{await server.start(HOST, 0)}")
        copy = server.model.take_copy()
        written = await client.call(PutObject("records/a", "1", 0), CALL_TIMEOUT)
        server.model.restore(copy)
        watch = WatchObjects("records/", written.revision, CALL_TIMEOUT)
        refused = await client.call(watch, CALL_TIMEOUT)
        await client.close()
        await server.close()
        self.assertEqual(refused.status, StoreStatus.MISSING)
        self.assertEqual((written.timeline, refused.timeline), (1, 2))


class SqlServerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        EmptyResultSession.opened = 0
        self.server = SqlServer(
            EmptyResultSession,
            lambda name: hash_password("x") if name == "desk" else None,
        )
        self.port = await self.server.start(HOST, 0)

    async def asyncTearDown(self):
        self.server.stop_listening()

    async def test_garbage_opens_no_session_and_leaves_no_connection(self):
        """Guards against random bytes that log in or leave a connection behind.

        Half of them are framed as the first packet of a login.
        """
        generator = random.Random(7)
        async with asyncio.timeout(TEST_TIMEOUT_S):
            for _ in range(GARBAGE_ROUNDS):
                data = generator.randbytes(generator.randrange(200))
                body = generator.randbytes(generator.randrange(100))
                framed = struct.pack("<I", len(body) | 1 << 24) + body
                await send_bytes(self.port, data)
                await send_bytes(self.port, framed)
        self.assertEqual(EmptyResultSession.opened, 0)
        self.assertEqual(self.server.connections, {})

    async def test_an_oversized_packet_ends_the_connection(self):
        """Guards against a login packet in parts whose sum exceeds the limit.

        The server must end the connection at the second part's header, for which
        no body follows. The test shows only that no session opens: the client's
        end of file after that header would end the connection too.
        """
        parts = MAX_PACKET_BYTES // 0xFFFFFF + 1
        head = struct.pack("<I", 0xFFFFFF | 1 << 24) + bytes(0xFFFFFF)
        tail = struct.pack("<I", 0xFFFFFF | 2 << 24)
        self.assertEqual(parts, 2)
        async with asyncio.timeout(TEST_TIMEOUT_S):
            await send_bytes(self.port, head + tail)
        self.assertEqual(EmptyResultSession.opened, 0)


class SlowSession(EmptyResultSession):
    """Answers `SLOW_STATEMENT` after `SLOW_STATEMENT_S`."""

    running = asyncio.Event()

    async def run(self, database, sql, attributes):
        if sql == SLOW_STATEMENT:
            SlowSession.running.set()
            await asyncio.sleep(SLOW_STATEMENT_S)
        return await super().run(database, sql, attributes)


class StopTest(unittest.IsolatedAsyncioTestCase):
    async def test_statement_that_outlasts_the_drain_is_answered(self):
        """Guards against a planned stop that cuts a statement at its time limit."""
        process = InstanceProcess(SETTINGS)
        process._sql = SqlServer(SlowSession, lambda name: hash_password("x"))
        port = await process._sql.start(HOST, 0)
        running = asyncio.create_task(asyncio.to_thread(run_statement, port))
        await SlowSession.running.wait()
        process._stopped.set()
        with mock.patch.object(_process, "CALLER_DRAIN_TIMEOUT_S", 0.1):
            async with asyncio.timeout(TEST_TIMEOUT_S):
                await process.wait_until_stopped()
                self.assertEqual(await running, 1)


class PeerNetworkTest(unittest.IsolatedAsyncioTestCase):
    async def test_garbage_and_foreign_keys_deliver_no_message(self):
        """Guards against messages from senders without the shared key.

        Sent are random bytes, a frame with an oversized length, and a first
        frame that is authenticated with another key.
        """
        events = []
        network = PeerNetwork(INSTANCE, b"key" * 8, events.append)
        port = await network.start(HOST, 0)
        generator = random.Random(8)
        foreign = PeerNetwork(INSTANCE, b"another" * 4, events.append)
        async with asyncio.timeout(TEST_TIMEOUT_S):
            for _ in range(GARBAGE_ROUNDS):
                await send_bytes(port, generator.randbytes(60))
            await send_bytes(port, struct.pack(">I16s", 1 << 31, b""))
            await send_bytes(port, foreign.make_hello(b"n" * 16))
        network.close()
        self.assertEqual([e for e in events if isinstance(e, MessageArrived)], [])
        self.assertEqual(network.rejected_connections, GARBAGE_ROUNDS + 2)


if __name__ == "__main__":
    unittest.main()
