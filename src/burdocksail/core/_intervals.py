"""Reading of the clock in seconds, for code that does arithmetic with it."""

import time
from typing import Protocol


class Timer(Protocol):
    """Source of seconds since an arbitrary instant that never goes back."""

    def read(self) -> float:
        """Return the reading in seconds."""
        ...


class BootTimer:
    """Seconds since boot, including the time that the machine was suspended.

    A lease must not outlive a suspension, and the monotonic clock stands still
    during one.
    """

    def read(self) -> float:
        """Return the reading in seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
