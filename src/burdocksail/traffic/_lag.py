"""Which reads a lagging replica can still run.

Load pattern: replicas fall behind while reads continue. Every instance sends them
reads that they refuse, and each refusal costs a connection and a round trip before
the read goes on to a server that can run it.

A refusal tells more than that one read failed: the replica lacks a position that
the primary had reached some time ago, so it also refuses reads with younger floors
until it has caught up.
"""

import random
from dataclasses import dataclass

# A replica that lags briefly catches up within this time.
FIRST_EXPIRY = 0.15  # seconds
MAX_EXPIRY = 1.2  # seconds; bounds how long a replica that caught up is not used
MAX_DOUBLINGS = 8


@dataclass(slots=True)
class LagEstimate:
    """Lower bound of a replica's lag, learned from the reads that it refused.

    Ages are the seconds since the primary reached the position that a read needs.

    Attributes
    ----------
    bound : float
        Greatest age in seconds of a floor that the replica did not cover.
    expires_at : float
        Clock reading at which a read below the bound is tried again.
    refusals : int
        Refusals in a row, each after the previous bound had expired.
    """

    bound: float = 0.0
    expires_at: float = float("-inf")
    refusals: int = 0

    def may_cover(self, age: float, now: float) -> bool:
        """Return whether the replica may cover a floor of an age in seconds."""
        return now >= self.expires_at or age > self.bound

    def record_refusal(self, age: float, now: float, rng: random.Random) -> None:
        """Record that the replica did not cover a floor of an age in seconds.

        The bound expires later after each refusal in a row, at times that differ
        between instances.
        """
        if now >= self.expires_at:
            self.bound = 0.0
            self.refusals = min(self.refusals + 1, MAX_DOUBLINGS)
        self.bound = max(self.bound, age)
        expiry = min(FIRST_EXPIRY * 2 ** (self.refusals - 1), MAX_EXPIRY)
        self.expires_at = max(
            self.expires_at, now + expiry * (0.75 + 0.5 * rng.random())
        )

    def record_answer(self, age: float) -> None:
        """Record that the replica covered a floor of an age in seconds."""
        if age <= self.bound or self.refusals == 0:
            self.bound = 0.0
            self.expires_at = float("-inf")
            self.refusals = 0
