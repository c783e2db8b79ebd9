"""Notification of the tasks that wait for a change on the blackboard."""

import asyncio


class Signal:
    """A condition variable without a lock, for the tasks of one event loop."""

    def __init__(self) -> None:
        # A dict keeps the order of arrival, so that wake-ups are deterministic.
        self._waiters: dict[asyncio.Future, None] = {}

    def notify(self) -> None:
        """Wake all tasks that are waiting now."""
        waiters, self._waiters = self._waiters, {}
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def wait(self, timeout: float) -> bool:
        """Wait for the next notification, at most `timeout` seconds.

        Returns
        -------
        bool
            True if notified, False on timeout.
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
