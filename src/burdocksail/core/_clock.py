"""Monotonic time as an interface, so that tests decide what time it is."""

import time
from datetime import timedelta
from typing import Protocol


def seconds(value: float) -> timedelta:
    """Return a duration of `value` seconds."""
    return timedelta(seconds=value)


class Clock(Protocol):
    """Source of monotonic time."""

    def now(self) -> timedelta:
        """Return the time since an arbitrary fixed instant."""
        ...


class SystemClock:
    """Clock of the operating system; it never goes backwards."""

    def now(self) -> timedelta:
        """Return the reading of the system's monotonic clock."""
        return timedelta(seconds=time.monotonic())


class ManualClock:
    """Clock that moves only when told to.

    Parameters
    ----------
    rate : float
        How fast this clock runs against the clock that drives it; 1.01 is a
        clock that gains one percent.
    """

    def __init__(self, rate: float = 1.0):
        self._now = timedelta()
        self._rate = rate

    def now(self) -> timedelta:
        """Return the current reading."""
        return self._now

    def set_true_time(self, true_time: timedelta) -> None:
        """Set the reading that corresponds to `true_time` of the driver."""
        self._now = true_time * self._rate
