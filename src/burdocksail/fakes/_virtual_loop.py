"""Event loop with virtual time, which advances at once to the next timer.

Tests of waits and timeouts run without real delays and give the same result
on every machine.
"""

import asyncio
import logging
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

import structlog

T = TypeVar("T")


class _VirtualTimeSelector(selectors.BaseSelector):
    """Advances the virtual clock instead of waiting; never reports I/O as ready."""

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
            raise RuntimeError(
                "deadlock: no callback is ready and no timer is scheduled"
            )
        if timeout > 0:
            self._loop.advance(timeout)
        return []

    def close(self) -> None:
        self._inner.close()

    def get_map(self) -> Any:
        return self._inner.get_map()


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop whose clock is virtual."""

    def __init__(self) -> None:
        self._virtual_now = 1000.0  # seconds; `_world` subtracts it in its reports
        super().__init__(_VirtualTimeSelector(self))

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual_now

    def advance(self, seconds: float) -> None:
        """Advance the virtual clock by `seconds`."""
        self._virtual_now += seconds


class LoopClock:
    """Clock that reads the time of an event loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop):
        self._loop = loop

    def read(self) -> float:
        """Return the loop's time in seconds."""
        return self._loop.time()


def silence_logs() -> None:
    """Suppress all log lines but critical ones, which end a test anyway."""
    level = structlog.make_filtering_bound_logger(logging.CRITICAL)
    structlog.configure(wrapper_class=level)


def run_in_virtual_time(coroutine: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine on a new virtual loop and return its result.

    Tasks that are still pending at its end are cancelled.
    """
    loop = VirtualLoop()
    try:
        asyncio.set_event_loop(loop)
        return loop.run_until_complete(coroutine)
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        asyncio.set_event_loop(None)
        loop.close()
