"""What an instance has seen of a server."""

from dataclasses import dataclass, field

from burdocksail.board import Blackboard
from burdocksail.catalog import Upstream
from burdocksail.traffic import (
    ConcurrencyLimit,
    KneeEstimate,
    LagEstimate,
    PendingWork,
    ServerHealth,
    SpeedEstimate,
)

LATENCY_WEIGHT = 0.1  # of the newest sample in the moving average
SHARED_HALF_LIFE = 1.0  # seconds; grants come every 0.3 s


@dataclass(slots=True)
class ServerStatistics:
    """Latency, load and recent failures of a server, as seen by this instance.

    Attributes
    ----------
    latency : float
        Moving average of round trips in seconds.
    round_trip : float
        Seconds of a message there and back, as measured when the connection was opened
        that was used last.
    pending : PendingWork
        Statements that have been sent and not answered.
    speed : SpeedEstimate
        How fast the server is, compared with the others of its service.
    reported_slow : bool
        Whether the log says that it is slower than its peers.
    next_report_at : float
        Clock reading before which the log says nothing more of its speed.
    avoid_until : float
        Clock reading until which routing prefers other servers after a failure.
    knee : KneeEstimate
        Whether its answers become longer under load.
    lag : LagEstimate
        Which floors the server was behind.
    health : ServerHealth
        Results of the statements, to compare with the other servers of the service.
    concurrency : ConcurrencyLimit
        Connections that may be in use at a time.
    """

    latency: float = 0.03  # seconds; assumed before the first reply
    round_trip: float = 0.0
    pending: PendingWork = field(default_factory=PendingWork)
    speed: SpeedEstimate = field(default_factory=SpeedEstimate)
    avoid_until: float = float("-inf")
    reported_slow: bool = False
    next_report_at: float = float("-inf")
    knee: KneeEstimate = field(default_factory=KneeEstimate)
    lag: LagEstimate = field(default_factory=LagEstimate)
    health: ServerHealth = field(default_factory=ServerHealth)
    concurrency: ConcurrencyLimit = field(default_factory=ConcurrencyLimit)

    @property
    def is_held_back(self) -> bool:
        """Return whether the server has as much work as it takes without delay."""
        limit = self.concurrency
        return limit.is_delayed and not limit.allows(len(self.pending))

    def compute_slow_factor(
        self, now: float, other_log_ratio: float = 0.0, other_weight: float = 0.0
    ) -> float:
        """Return the factor on run times at the server, 1 as far as is known.

        The other arguments are as those of `SpeedEstimate.compute_factor`.
        """
        return max(
            self.speed.compute_factor(now, other_log_ratio, other_weight),
            self.pending.compute_least_factor(now),
        )

    def describe(
        self, now: float, other_log_ratio: float, other_weight: float
    ) -> dict[str, float | int | None]:
        """Return what has been learned of the server, for the dump.

        The other arguments are as those of `SpeedEstimate.compute_factor`.
        """
        limit = self.concurrency.limit
        return {
            "in_flight": len(self.pending),
            "latency_ms": round(self.latency * 1000, 2),
            "round_trip_ms": round(self.round_trip * 1000, 2),
            "slow_factor": round(
                self.compute_slow_factor(now, other_log_ratio, other_weight), 2
            ),
            "slow_factor_samples": round(self.speed.compute_weight(now), 1),
            "slow_factor_shared": round(other_weight, 1),
            "limit": None if limit is None else round(limit, 1),
            "is_delayed": self.concurrency.is_delayed,
        }

    def record_latency(self, seconds: float) -> None:
        """Add a reply's latency, in seconds, to the moving average."""
        self.latency += LATENCY_WEIGHT * (seconds - self.latency)


def find_shared_speed(board: Blackboard, upstream: Upstream) -> tuple[float, float]:
    """Return what other instances have learned: logarithm of the factor, and weight.

    It fades if no grant renews it.
    """
    found = board.speeds.shared.get(upstream.id)
    if found is None or found[0].started_at_ms != upstream.started_at_ms:
        return 0.0, 0.0
    speed, told_at = found
    fading = 0.5 ** ((board.now() - told_at) / SHARED_HALF_LIFE)
    return speed.log_ratio, speed.weight * fading
