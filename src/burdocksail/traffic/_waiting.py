"""Order of requests that wait for a connection, and how long they will wait.

Load pattern: a burst of one kind of request fills the queue of a server. Strict
priorities let the lowest kind starve for as long as the burst lasts, and arrival
order lets urgent requests with a short target wait behind patient ones.
"""

from dataclasses import dataclass

# A request of each lower priority is ordered as if it could wait for longer.
PRIORITY_STEP = 0.25  # of the target latency
INTERVAL_WEIGHT = 0.2  # of the newest sample in the moving average
MIN_SAMPLES = 3  # before the rate is trusted
STALL_FACTOR = 4.0  # average intervals without a hand-out


def compute_order(arrived_at: float, target_latency: float, priority: int) -> float:
    """Return the place of a request in a queue; lower values are served first.

    It is the time at which the request should be answered at the latest, later for
    lower priorities. It does not change while a request waits, so requests that
    arrive later overtake it less and less.

    Parameters
    ----------
    arrived_at : float
        Clock reading in seconds.
    target_latency : float
        Seconds in which the request should be answered.
    priority : int
        0 is the highest.
    """
    return arrived_at + target_latency * (1 + PRIORITY_STEP * priority)


@dataclass(slots=True)
class DrainRate:
    """Rate at which a queue is served, from the times between hand-outs.

    Attributes
    ----------
    interval : float
        Moving average of the seconds between hand-outs while requests wait.
    samples : int
        Intervals since the queue was last empty.
    """

    interval: float = 0.0
    samples: int = 0
    _last_at: float | None = None

    def record_hand_out(self, now: float, still_waiting: bool) -> None:
        """Record that a waiting request was served.

        The rate is forgotten unless requests are `still_waiting`, since the time until
        the next hand-out then depends on arrivals.
        """
        if self._last_at is not None:
            sample = now - self._last_at
            weight = max(INTERVAL_WEIGHT, 1 / (self.samples + 1))
            self.interval += weight * (sample - self.interval)
            self.samples += 1
        self._last_at = now if still_waiting else None
        if not still_waiting:
            self.samples = 0

    def estimate_wait(self, ahead: int, now: float) -> float:
        """Return the expected seconds until a request with `ahead` before it is served.

        0 while the rate is not known. It is not known any more if nothing has been
        handed out for several times the average: the server may have been lost, which
        only waiting requests find out.
        """
        if self.samples < MIN_SAMPLES or self._last_at is None:
            return 0.0
        if now - self._last_at > STALL_FACTOR * self.interval:
            return 0.0
        return self.interval * (ahead + 1)
