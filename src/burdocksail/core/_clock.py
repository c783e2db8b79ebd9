"""Monotonic clocks that return durations; tests use a clock that they set."""

import time
from datetime import timedelta
from typing import Protocol


def seconds(value: float) -> timedelta:
    """Return a duration of `value` seconds."""
    return timedelta(seconds=value)


class Clock(Protocol):
    """Source of monotonic time."""

    def now(self) -> timedelta:
        """Return the time elapsed since an arbitrary fixed instant."""
        ...


class SystemClock:
    """Monotonic clock of the operating system (`CLOCK_MONOTONIC`).

    Unlike `BootClock`, it stops while the machine is suspended.
    """

    def now(self) -> timedelta:
        """Return the current reading; it never decreases."""
        return timedelta(seconds=time.monotonic())


class ManualClock:
    """Clock that advances only when it is set, for tests.

    Parameters
    ----------
    rate : float
        Speed of this clock relative to true time; a clock with a rate of 1.01
        gains one percent.
    """

    def __init__(self, rate: float = 1.0):
        self._now = timedelta()
        self._rate = rate

    def now(self) -> timedelta:
        """Return the current reading."""
        return self._now

    def set_true_time(self, true_time: timedelta) -> None:
        """Set the reading to `true_time` multiplied by the rate."""
        self._now = true_time * self._rate
