"""Wakes every task that waits for something on the blackboard to change."""

import asyncio


class Signal:
    """A condition without a lock, for the tasks of one event loop."""

    def __init__(self) -> None:
        # In order of arrival, so that the same events always have the same effects.
        self._waiters: dict[asyncio.Future, None] = {}

    def notify(self) -> None:
        """Wake all waiters."""
        waiters, self._waiters = self._waiters, {}
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def wait(self, timeout: float) -> bool:
        """Wait for the next notification, at most `timeout` seconds.

        Returns
        -------
        bool
            Whether there was one.
        """
        if timeout <= 0:
            return False
        waiter = asyncio.get_running_loop().create_future()
        self._waiters[waiter] = None
        try:
            done, _ = await asyncio.wait((waiter,), timeout=timeout)
        finally:
            self._waiters.pop(waiter, None)
        return bool(done)
