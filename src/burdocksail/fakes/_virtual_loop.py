"""An event loop whose time jumps to the next timer instead of passing.

Tests of waits and timeouts then take no time and give the same result on
every machine.
"""

import asyncio
import logging
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

import structlog

T = TypeVar("T")


class _JumpingSelector(selectors.BaseSelector):
    """Reports no input, and moves the clock where it would wait."""

    def __init__(self, loop: "VirtualLoop"):
        self._loop = loop
        self._inner = selectors.DefaultSelector()

    def register(self, fileobj: Any, events: int, data: Any = None) -> Any:
        return self._inner.register(fileobj, events, data)

    def unregister(self, fileobj: Any) -> Any:
        return self._inner.unregister(fileobj)

    def modify(self, fileobj: Any, events: int, data: Any = None) -> Any:
        return self._inner.modify(fileobj, events, data)

    def select(self, timeout: float | None = None) -> list:
        if timeout is None:
            raise RuntimeError("every task waits for something that never comes")
        if timeout > 0:
            self._loop.advance(timeout)
        return []

    def close(self) -> None:
        self._inner.close()

    def get_map(self) -> Any:
        return self._inner.get_map()


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop with a clock of its own."""

    def __init__(self) -> None:
        self._virtual_now = 1000.0
        super().__init__(_JumpingSelector(self))

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual_now

    def advance(self, seconds: float) -> None:
        """Move the virtual time."""
        self._virtual_now += seconds


class LoopTimer:
    """Timer that reads the running loop's time."""

    def __init__(self, loop: asyncio.AbstractEventLoop):
        self._loop = loop

    def read(self) -> float:
        """Return the loop's time in seconds."""
        return self._loop.time()


def silence_logs() -> None:
    """Write only what ends a test anyway."""
    level = structlog.make_filtering_bound_logger(logging.CRITICAL)
    structlog.configure(wrapper_class=level)


def run_virtually(work: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine to its end on a virtual loop."""
    loop = VirtualLoop()
    try:
        asyncio.set_event_loop(loop)
        return loop.run_until_complete(work)
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        asyncio.set_event_loop(None)
        loop.close()
