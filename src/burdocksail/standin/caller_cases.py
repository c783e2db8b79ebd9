"""Test cases of misbehaving callers, for the front end of each kind.

Each group would exhaust the memory or the descriptors of a process without limits.
Only this is checked: the process lives, stays under the bounds, and answers an
ordinary request afterwards. Times and shares of served requests are not.
"""

import asyncio
import unittest
from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Any

from burdocksail.standin.misbehaving import (
    CallerGroup,
    Dialect,
    Pattern,
    Peak,
    sample,
)

CALLERS = 120
MANY_CALLERS = 260
MAX_DESCRIPTORS = 160
ENOUGH_DESCRIPTORS = 1000
DURATION = 3.0  # seconds
TEST_TIMEOUT = 90.0  # seconds


class FrontEnd(ABC):
    """A deployment with one process, whose callers misbehave."""

    deployment: Any  # has `start`, `stop` and `request`

    @property
    @abstractmethod
    def process_id(self) -> int:
        """Return the number of the process."""

    @property
    @abstractmethod
    def address(self) -> tuple[str, int]:
        """Return the address for callers."""

    @abstractmethod
    async def fetch_readiness(self) -> str | None:
        """Return the page of the readiness probe, None without one."""


class ProcessCase(unittest.IsolatedAsyncioTestCase):
    """Checks one process while a group misbehaves.

    A subclass sets `dialect` and `memory_mb`, the memory of the process and the bound
    of its peak, and overrides `make_front_end`.
    """

    dialect: Dialect
    memory_mb: int

    def make_front_end(self, max_fds: int) -> FrontEnd:
        """Return a deployment with `memory_mb` and this limit of descriptors."""
        raise NotImplementedError

    async def asyncSetUp(self) -> None:
        """Set the loop up."""
        # The debug mode of the loop would slow the callers and the stand-ins.
        asyncio.get_running_loop().set_debug(False)

    async def check(
        self,
        pattern: Pattern,
        max_fds: int = ENOUGH_DESCRIPTORS,
        count: int = CALLERS,
        find_port: Callable[[Any], int] | None = None,
    ) -> None:
        """Let a group misbehave, at the port for callers or another one."""
        front_end = self.make_front_end(max_fds)
        deployment = front_end.deployment
        try:
            async with asyncio.timeout(TEST_TIMEOUT):
                await deployment.start()
                address = front_end.address
                if find_port is not None:
                    address = (address[0], find_port(deployment))
                process_id = front_end.process_id
                group = CallerGroup(self.dialect, pattern, count, DURATION)
                peak = await group.run(address, process_id)
                is_answered = await deployment.request()
                page = await front_end.fetch_readiness()
                after = Peak()
                sample(process_id, after)
        finally:
            await deployment.stop()
        memory_mb = max(peak.memory_mb, after.memory_mb)
        self.assertGreater(peak.opened, 0)
        self.assertTrue(is_answered, f"no answer afterwards; {peak}")
        self.assertIsNotNone(page, f"not ready afterwards; {peak}")
        self.assertLess(memory_mb, self.memory_mb, f"MB of memory; {peak}")
        self.assertLess(peak.descriptors, max_fds, f"descriptors; {peak}")

    async def check_listener(self, find_port: Callable[[Any], int]) -> None:
        """Let groups misbehave at a port that is not for callers."""
        for pattern in (
            Pattern.SILENT_CONNECTIONS,
            Pattern.FIRST_UNFINISHED,
            Pattern.FIRST_OVERSIZED,
        ):
            with self.subTest(pattern=pattern.value):
                await self.check(pattern, MAX_DESCRIPTORS, MANY_CALLERS, find_port)


class CallerCases:
    """The cases of each kind of group; mixed into a `ProcessCase`."""

    async def test_unfinished_messages(self) -> None:
        """Guards against large messages that wait for their end."""
        await self.check(Pattern.UNFINISHED)

    async def test_unfinished_first_messages(self) -> None:
        """Guards against large messages before a session exists."""
        await self.check(Pattern.FIRST_UNFINISHED)

    async def test_pipelined_messages(self) -> None:
        """Guards against reading messages ahead of their answers."""
        await self.check(Pattern.PIPELINED)

    async def test_pipelined_messages_in_pieces(self) -> None:
        """Guards against the same where each read is short."""
        await self.check(Pattern.PIECES)

    async def test_pipelined_statements(self) -> None:
        """Guards against reading many statements ahead."""
        await self.check(Pattern.STATEMENTS)

    async def test_messages_over_the_limit(self) -> None:
        """Guards against buffering what will be refused."""
        await self.check(Pattern.OVERSIZED)

    async def test_first_messages_over_the_limit(self) -> None:
        """Guards against the same before a session exists."""
        await self.check(Pattern.FIRST_OVERSIZED)

    async def test_unread_answers(self) -> None:
        """Guards against answers that pile up in the process."""
        await self.check(Pattern.UNREAD_ANSWERS)

    async def test_slow_messages(self) -> None:
        """Guards against connections that are held by slow progress."""
        await self.check(Pattern.SLOW, MAX_DESCRIPTORS, MANY_CALLERS)

    async def test_half_opened_sessions(self) -> None:
        """Guards against first messages that never end."""
        await self.check(Pattern.HALF_OPENED, MAX_DESCRIPTORS, MANY_CALLERS)

    async def test_silent_sessions(self) -> None:
        """Guards against sessions that use up the descriptors."""
        await self.check(Pattern.SILENT_SESSIONS, MAX_DESCRIPTORS, MANY_CALLERS)

    async def test_silent_connections(self) -> None:
        """Guards against connections without a session."""
        await self.check(Pattern.SILENT_CONNECTIONS, MAX_DESCRIPTORS, MANY_CALLERS)
