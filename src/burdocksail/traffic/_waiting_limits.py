"""How long a request waits for its turn, and when a rejected one has room.

Load pattern: one workspace sends several times its usual load for some seconds, or
all instances restart. Callers try three times within about a second and are then
lost, though most of them would wait for 8 to 12 s: a request that is given up after
a part of its timeout uses up an attempt of its caller while the queue is still moving.
"""

from dataclasses import dataclass, field

INITIAL_RUN_TIME = 0.05  # seconds; statements take 5 to 50 ms
SAMPLE_WEIGHT = 0.125  # of the newest sample in the moving averages
# Mean deviations above the mean, as in the retransmission timeout of TCP (RFC 6298).
DEVIATIONS = 4.0
# Stragglers must not take away the time to wait.
MAX_RUN_SHARE = 0.5  # of the statement timeout
# A caller that waits for 8 to 12 s in all can return twice.
MAX_RETURN_DELAY = 4.0  # seconds


@dataclass(slots=True)
class RunTime:
    """Time that the statements of one route usually take at a server.

    Attributes
    ----------
    mean, deviation : float
        Moving averages, in seconds, of the time and of its distance from the mean.
    """

    mean: float = INITIAL_RUN_TIME
    deviation: float = INITIAL_RUN_TIME / 2

    def record(self, seconds: float) -> None:
        """Add the time that an answer took."""
        distance = abs(seconds - self.mean)
        self.deviation += SAMPLE_WEIGHT * (distance - self.deviation)
        self.mean += SAMPLE_WEIGHT * (seconds - self.mean)

    def compute_wait_limit(self, statement_timeout: float) -> float:
        """Return the seconds that a request may wait before it has to be sent."""
        usual = self.mean + DEVIATIONS * self.deviation
        return statement_timeout - min(usual, statement_timeout * MAX_RUN_SHARE)


@dataclass(slots=True)
class ReturnSchedule:
    """Times at which rejected callers of one queue are told to come back.

    A rejected caller does not count in the queue, so without a schedule all callers
    that are rejected within a short time would be told the same time. The schedule
    lets those of each workspace return at the rate at which the queue is served.

    Attributes
    ----------
    last_returns : dict of str to float
        Clock reading of the latest return that a caller was told, by workspace.
    """

    last_returns: dict[str | None, float] = field(default_factory=dict)

    def assign(
        self, workspace: str | None, now: float, room_in: float, interval: float
    ) -> float:
        """Return the seconds after which the caller should come back.

        Parameters
        ----------
        room_in : float
            Seconds until the queue has room for one more request.
        interval : float
            Seconds between two requests that are served.
        """
        if workspace not in self.last_returns:
            self._forget_past(now)
        previous = self.last_returns.get(workspace, float("-inf"))
        return_at = max(now + max(0.0, room_in), previous + interval)
        self.last_returns[workspace] = min(return_at, now + MAX_RETURN_DELAY)
        return self.last_returns[workspace] - now

    def _forget_past(self, now: float) -> None:
        kept = {w: at for w, at in self.last_returns.items() if at > now}
        self.last_returns = kept
