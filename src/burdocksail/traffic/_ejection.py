"""Which servers are outliers among the servers of their service.

Load pattern: a server fails part of its statements, or leaves them without an
answer, while its health check is good; or its health check fails while it serves.
Only answers to real statements count, as compared with the peers of the server.
"""

from collections.abc import Mapping
from dataclasses import dataclass

RESULT_WEIGHT = 0.15  # of the newest result in the moving average
MIN_RESULTS = 5  # before a server can be ejected
# Share of failures beyond that of the best peer.
EXCESS_SHARE = 0.2
FIRST_EJECTION = 1.0  # seconds; doubles with each ejection in a row
MAX_EJECTION = 8.0  # seconds
FORGET_AFTER = 20.0  # seconds without an ejection until the next one is short again


@dataclass(slots=True)
class ServerHealth:
    """Results of the statements that an instance has sent to a server.

    Attributes
    ----------
    failure_share : float
        Moving average of failures among the results.
    results : int
        Results since the server was last ejected.
    ejected_until : float
        Clock reading until which it is ejected.
    ejections : int
        Ejections in a row.
    """

    failure_share: float = 0.0
    results: int = 0
    ejected_until: float = float("-inf")
    ejections: int = 0

    def record(self, failed: bool) -> None:
        """Record the result of a statement."""
        self.results += 1
        self.failure_share += RESULT_WEIGHT * (failed - self.failure_share)

    def eject(self, now: float) -> None:
        """Eject the server, for longer after each ejection in a row.

        It returns with an empty record, so a single failure does not eject it again.
        """
        if now - self.ejected_until > FORGET_AFTER:
            self.ejections = 0
        self.ejected_until = now + min(FIRST_EJECTION * 2**self.ejections, MAX_EJECTION)
        self.ejections += 1
        self.failure_share = 0.0
        self.results = 0


def find_ejected(healths: Mapping[str, ServerHealth], now: float) -> set[str]:
    """Eject the worst outlier of a service, if any, and return all that are ejected."""
    ejected, outlier = judge_servers(healths, now)
    if outlier is not None:
        healths[outlier].eject(now)
        ejected.add(outlier)
    return ejected


def judge_servers(
    healths: Mapping[str, ServerHealth], now: float
) -> tuple[set[str], str | None]:
    """Return the servers that are ejected, and the one that has to be ejected as well.

    A server is an outlier only by comparison: if all servers fail alike, the cause is
    this instance's own link or the statements. At most half of the servers are
    ejected, and never the last one. Changes nothing.
    """
    ejected = {name for name, health in healths.items() if now < health.ejected_until}
    judged = {
        name: health
        for name, health in healths.items()
        if name not in ejected and health.results >= MIN_RESULTS
    }
    if len(judged) < 2 or 2 * (len(ejected) + 1) > len(healths):
        return ejected, None
    worst = max(judged, key=lambda name: (judged[name].failure_share, name))
    best = min(health.failure_share for health in judged.values())
    is_outlier = judged[worst].failure_share > best + EXCESS_SHARE
    return ejected, worst if is_outlier else None
