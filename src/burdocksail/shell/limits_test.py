"""Misbehaving callers of the MySQL protocol, against `burdocksail serve` on loopback.

Each group would exhaust the memory or the descriptors of a process without limits.
Only this is checked: the process lives, stays under the bounds, and answers an
ordinary request afterwards. Times and shares of served requests are not.
"""

import asyncio
import logging
import unittest

from burdocksail.standin.loopback import (
    ACCOUNT,
    DATABASE,
    HOST,
    PASSWORD,
    SqlDeployment,
)
from burdocksail.standin.misbehaving import (
    CallerGroup,
    Pattern,
    Peak,
    SqlDialect,
    sample,
)

MEMORY_MB = 128  # the process has 80 MB without callers
CALLERS = 120
MANY_CALLERS = 260
MAX_DESCRIPTORS = 160
ENOUGH_DESCRIPTORS = 1000
DURATION = 3.0  # seconds
TEST_TIMEOUT = 90.0  # seconds
DIALECT = SqlDialect(DATABASE, ACCOUNT, PASSWORD)


def setUpModule():
    # The protocol library of the stand-in server logs every lost connection.
    logging.getLogger("mysql_mimic").setLevel(logging.CRITICAL)


class ProcessTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        # The debug mode of the loop would slow the callers and the stand-ins.
        asyncio.get_running_loop().set_debug(False)

    async def check(
        self,
        pattern,
        max_fds=ENOUGH_DESCRIPTORS,
        count=CALLERS,
        find_port=lambda process: process.sql_port,
    ):
        """Let a group misbehave, at the port for callers or another one."""
        deployment = SqlDeployment(
            {
                "BURDOCKSAIL_SERVE_MEMORY_MB": str(MEMORY_MB),
                "BURDOCKSAIL_SERVE_MAX_FDS": str(max_fds),
            }
        )
        try:
            async with asyncio.timeout(TEST_TIMEOUT):
                await deployment.start()
                process = deployment.process
                group = CallerGroup(DIALECT, pattern, count, DURATION)
                peak = await group.run((HOST, find_port(process)), process.pid)
                is_answered = await deployment.request()
                page = await process.fetch("/ready")
                after = Peak()
                sample(process.pid, after)
        finally:
            await deployment.stop()
        memory_mb = max(peak.memory_mb, after.memory_mb)
        self.assertGreater(peak.opened, 0)
        self.assertTrue(is_answered, f"no answer afterwards; {peak}")
        self.assertIsNotNone(page, f"not ready afterwards; {peak}")
        self.assertLess(memory_mb, MEMORY_MB, f"MB of memory; {peak}")
        self.assertLess(peak.descriptors, max_fds, f"descriptors; {peak}")


class SqlCallersTest(ProcessTest):
    async def test_unfinished_messages(self):
        await self.check(Pattern.UNFINISHED)

    async def test_unfinished_first_messages(self):
        await self.check(Pattern.FIRST_UNFINISHED)

    async def test_pipelined_messages(self):
        await self.check(Pattern.PIPELINED)

    async def test_pipelined_messages_in_pieces(self):
        await self.check(Pattern.PIECES)

    async def test_pipelined_statements(self):
        await self.check(Pattern.STATEMENTS)

    async def test_messages_over_the_limit(self):
        await self.check(Pattern.OVERSIZED)

    async def test_first_messages_over_the_limit(self):
        await self.check(Pattern.FIRST_OVERSIZED)

    async def test_unread_answers(self):
        await self.check(Pattern.UNREAD_ANSWERS)

    async def test_slow_messages(self):
        await self.check(Pattern.SLOW, MAX_DESCRIPTORS, MANY_CALLERS)

    async def test_half_opened_sessions(self):
        await self.check(Pattern.HALF_OPENED, MAX_DESCRIPTORS, MANY_CALLERS)

    async def test_silent_sessions(self):
        await self.check(Pattern.SILENT_SESSIONS, MAX_DESCRIPTORS, MANY_CALLERS)

    async def test_silent_connections(self):
        await self.check(Pattern.SILENT_CONNECTIONS, MAX_DESCRIPTORS, MANY_CALLERS)


class ListenersTest(ProcessTest):
    """Groups at the listeners of operators, and of other instances."""

    async def check_listener(self, find_port):
        for pattern in (
            Pattern.SILENT_CONNECTIONS,
            Pattern.FIRST_UNFINISHED,
            Pattern.FIRST_OVERSIZED,
        ):
            with self.subTest(pattern=pattern.value):
                await self.check(pattern, MAX_DESCRIPTORS, MANY_CALLERS, find_port)

    async def test_operators(self):
        await self.check_listener(lambda process: process.admin_port)

    async def test_peers(self):
        await self.check_listener(lambda process: process.peer_port)


if __name__ == "__main__":
    unittest.main()
