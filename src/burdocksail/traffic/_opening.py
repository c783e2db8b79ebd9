"""How many connections to a server are opened at a time, and when again.

Load pattern: after a restart of all instances every session reconnects at once. A
server still holds the connections of the lost instances for some seconds, so most
attempts find it full, and each costs it the time of a handshake.
"""

import random
from dataclasses import dataclass

INITIAL_WINDOW = 2.0  # connections that may be opening at the same time
MAX_WINDOW = 32.0
FULL_BACKOFF = 0.1  # seconds after a server was full; doubles with each refusal
MAX_DOUBLINGS = 4
MAX_FULL_BACKOFF = 0.2  # seconds; a free connection is not left unused for longer
FAILED_BACKOFF = 0.1  # seconds after a connection could not be opened
# A server that was full within this time has none to spare for idle connections.
FULL_MEMORY = 2.0  # seconds


@dataclass(slots=True)
class OpeningWindow:
    """Number of connections that may be opening, which grows while they succeed.

    Attributes
    ----------
    window : float
        Connections that may be opening at the same time.
    paused_until : float
        Clock reading before which none is opened.
    refusals : int
        Attempts in a row that found the server full.
    full_at : float
        Clock reading at which the server was last full.
    """

    window: float = INITIAL_WINDOW
    paused_until: float = float("-inf")
    refusals: int = 0
    full_at: float = float("-inf")

    def may_keep_idle(self, now: float) -> bool:
        """Return whether connections may stay open while nobody uses them.

        On a server that is full, others wait for them.
        """
        return now - self.full_at >= FULL_MEMORY

    def may_open(self, opening: int, now: float) -> bool:
        """Return whether another connection may be opened beside `opening` others."""
        return opening < int(self.window) and now >= self.paused_until

    def record_opened(self) -> None:
        """Record that a connection was opened; twice as many may open next."""
        self.window = min(self.window * 2, MAX_WINDOW)
        self.refusals = 0

    def record_full(self, now: float, rng: random.Random) -> float:
        """Record that the server was full; return the seconds to wait.

        The wait doubles with each refusal in a row and is spread over instances.
        """
        backoff = min(FULL_BACKOFF * 2**self.refusals, MAX_FULL_BACKOFF)
        self.refusals = min(self.refusals + 1, MAX_DOUBLINGS)
        self.full_at = now
        return self._pause(now, backoff * (0.5 + rng.random()))

    def record_failed(self, now: float, rng: random.Random) -> float:
        """Record that no connection could be opened; return the seconds to wait."""
        return self._pause(now, FAILED_BACKOFF * (0.75 + 0.5 * rng.random()))

    def _pause(self, now: float, seconds: float) -> float:
        self.window = 1.0
        self.paused_until = max(self.paused_until, now + seconds)
        return self.paused_until - now
