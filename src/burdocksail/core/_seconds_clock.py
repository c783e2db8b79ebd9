"""Monotonic clocks that return seconds as floats, for code that computes with them."""

import time
from typing import Protocol


class SecondsClock(Protocol):
    """Source of monotonic time in seconds."""

    def read(self) -> float:
        """Return the seconds elapsed since an arbitrary fixed instant."""
        ...


class BootClock:
    """Clock that counts the time since boot, including suspension.

    `CLOCK_MONOTONIC` stops while the machine is suspended, so a lease timed by
    it would outlive a suspension.
    """

    def read(self) -> float:
        """Return the seconds elapsed since boot."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
