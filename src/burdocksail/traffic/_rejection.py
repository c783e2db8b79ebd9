"""When a rejected caller should come back.

Load pattern: a primary that is being replaced, a restart or an overload rejects
many callers within a short time. A caller that returns before the cause is gone
uses up one of its few attempts, and callers that return together meet the next
queue together.
"""

import random
from enum import Enum

MIN_RETRY_AFTER = 0.05  # seconds
MAX_RETRY_AFTER = 2.0  # seconds; a caller may find another instance able to serve
SPREAD = 0.5  # of the expected time, added at random
# Higher priorities return first.
PRIORITY_FACTORS = (1.0, 1.0, 1.25, 1.5)  # the last also for all lower priorities


class Obstacle(Enum):
    """What keeps a request from being served.

    The value is the time in seconds that it usually takes to go away.
    """

    STARTING = 0.25
    NO_LEASE = 0.2  # another instance may hold one
    PRIMARY_UNREACHABLE = 0.6
    CHANGE_OF_PRIMARY = 0.4
    OVERLOAD = 0.15
    UNREACHABLE = 0.2  # no server of the service answers


def compute_retry_after(
    obstacle: Obstacle,
    priority: int,
    rng: random.Random,
    expected: float = 0.0,
    maximum: float = MAX_RETRY_AFTER,
) -> float:
    """Return the seconds after which a rejected caller should come back.

    Parameters
    ----------
    expected : float
        Estimated seconds until the obstacle is gone, where there is an estimate
        that exceeds the usual time.
    maximum : float
        Maximum result in seconds.
    """
    factor = PRIORITY_FACTORS[min(priority, len(PRIORITY_FACTORS) - 1)]
    seconds = max(expected, obstacle.value) * factor * (1 + SPREAD * rng.random())
    return min(max(seconds, MIN_RETRY_AFTER), maximum)
