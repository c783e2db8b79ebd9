"""When a refused attempt is tried again.

Load pattern: a server rejects many requests at the same moment. If all of them
come back after the same delay, they are rejected again, and the retries alone keep
the server at its limit.
"""

import random
from dataclasses import dataclass

BASE_BACKOFF = 0.015  # seconds; about the run time of one short statement
# A full server accepts whichever request arrives next, so requests that retry more
# often tend to be served sooner. Higher priorities therefore back off for less time.
PRIORITY_FACTORS = (1.0, 1.0, 3.0, 5.0)  # the last also for all lower priorities
EXHAUSTED_FACTOR = 3.0  # longer backoff once the budget is used up

RETRY_SHARE = 0.25  # retries for each new request
BURST_RETRIES = 20.0  # retries that an instance may save up


@dataclass(slots=True)
class RetryBudget:
    """Limits retries to a share of the new requests of an instance.

    Attributes
    ----------
    tokens : float
        Retries that may start without a longer backoff.
    """

    tokens: float = BURST_RETRIES

    def record_request(self) -> None:
        """Record that a new request has arrived."""
        self.tokens = min(BURST_RETRIES, self.tokens + RETRY_SHARE)

    def spend(self) -> bool:
        """Take a retry out of the budget; return whether there was one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


def compute_backoff(
    attempts: int, priority: int, within_budget: bool, rng: random.Random
) -> float:
    """Return the seconds until the next attempt.

    Parameters
    ----------
    attempts : int
        Attempts so far. The second one follows at once, as it usually goes to
        another server.
    """
    if attempts <= 1:
        return 0.0
    backoff = BASE_BACKOFF * PRIORITY_FACTORS[min(priority, len(PRIORITY_FACTORS) - 1)]
    if not within_budget:
        backoff *= EXHAUSTED_FACTOR
    return backoff * (0.5 + rng.random())
