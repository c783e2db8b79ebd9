"""How often workspaces send requests, and which idle connection is worth least.

Load pattern: more workspaces than an instance may open connections to a server. Each
request of a workspace without a connection closes one of another, and an opening
occupies a slot of the server for 12 ms. The least recently used connection is often
one of a large workspace that is about to send again.
"""

import math
from dataclasses import dataclass, field

# Small workspaces send one request in many seconds, and a hot one starts at once.
TIME_CONSTANT = 20.0  # seconds
RESCALE_AT = 1e9  # growth of the weights of newer requests before all are scaled back
MIN_WEIGHT = 1e-3  # of one request now; less is forgotten when all are scaled back


@dataclass(slots=True)
class Demand:
    """Rates of requests by key, as averages that decay exponentially.

    Newer requests are counted with higher weights in place of lowering all earlier
    counts with each request.
    """

    _counts: dict[str, float] = field(default_factory=dict)
    _began_at: float | None = None

    def record(self, key: str, now: float) -> None:
        """Record a request."""
        if self._began_at is None:
            self._began_at = now
        weight = self._compute_weight(now)
        if weight > RESCALE_AT:
            self._rescale(weight, now)
            weight = 1.0
        self._counts[key] = self._counts.get(key, 0.0) + weight

    def compute_rate(self, key: str, now: float) -> float:
        """Return the requests per second of a key."""
        count = self._counts.get(key, 0.0)
        return count / (self._compute_weight(now) * TIME_CONSTANT)

    def _compute_weight(self, now: float) -> float:
        began_at = now if self._began_at is None else self._began_at
        return math.exp((now - began_at) / TIME_CONSTANT)

    def _rescale(self, weight: float, now: float) -> None:
        scaled = {key: count / weight for key, count in self._counts.items()}
        self._counts = {k: c for k, c in scaled.items() if c >= MIN_WEIGHT}
        self._began_at = now


def estimate_use(rate: float, load: float, connections: int) -> float:
    """Return how often per second the last of a workspace's connections is needed.

    Parameters
    ----------
    rate : float
        Requests per second of the workspace.
    load : float
        Connections of the workspace that are in use on average.
    connections : int
        Connections of the workspace, at least 1. The last one is needed while the
        others are in use.
    """
    use = rate
    for others in range(1, connections):
        use *= min(1.0, load / others)
    return use
