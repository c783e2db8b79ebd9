"""Section on the quotas of workspaces, and their bounds from the settings."""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field

MAX_LEADER_CHANGES = 32  # many more than can happen in one window


@dataclass(frozen=True, slots=True)
class QuotaBounds:
    """How closely the operations of a workspace keep to its rate and burst.

    In every span of `window` seconds, the operations of a workspace that arrive at
    servers from all instances are at most
    ``(rate * window + burst) * (1 + overage) + slack``.
    """

    window: float
    overage: float
    slack: float

    def compute_bound(self, rate: float, burst: float) -> float:
        """Return the largest number of operations in one window."""
        return (rate * self.window + burst) * (1 + self.overage) + self.slack


@dataclass(slots=True)
class QuotaSection:
    """Quota bounds, and what this instance has last heard of a leader.

    Written by ``authority``, except `bounds`, which the process sets at its start.
    All times but `leader_time` are readings of this instance's clock.

    Attributes
    ----------
    bounds : QuotaBounds or None
        None disables quotas.
    leader_time : float or None
        Latest reading of the present leader's clock in a grant of its own. Renewals
        return it, so that the leader knows that this instance hears it.
    heard_at : float or None
        When a leader of any epoch was last heard.
    answered_at : float or None
        When a renewal was last answered.
    former_heard_at : float or None
        When a leader of an earlier epoch than the present one was last heard.
    registered_count : int
        Number of registered instances, as that answer told.
    leader_changes : deque of (float, int)
        When leaders were followed first, and their epochs.
    """

    bounds: QuotaBounds | None = None
    leader_time: float | None = None
    heard_at: float | None = None
    answered_at: float | None = None
    former_heard_at: float | None = None
    registered_count: int = 0
    leader_changes: deque[tuple[float, int]] = field(
        default_factory=lambda: deque(maxlen=MAX_LEADER_CHANGES)
    )

    def record_sign(self, now: float, leader_time: float) -> None:
        """Record that the present leader was heard."""
        self.heard_at = now
        self.leader_time = max(leader_time, self.leader_time or leader_time)

    def record_answer(self, now: float, registered_count: int) -> None:
        """Record that a leader has answered a renewal."""
        self.answered_at = now
        self.registered_count = registered_count

    def change_leader(self, now: float, epoch: int) -> None:
        """Record that a leader of a later epoch is followed."""
        self.former_heard_at = self.heard_at
        self.leader_time = None
        self.leader_changes.append((now, epoch))


def count_leaderships(changes: Sequence[tuple[float, int]], since: float) -> int:
    """Return how many leaderships have begun since a clock reading, at most.

    Those before the first one that this instance has followed are not counted.

    Parameters
    ----------
    changes : sequence of (float, int)
        `QuotaSection.leader_changes`.
    """
    if not changes:
        return 0
    latest = changes[-1][1]
    earlier = [epoch for at, epoch in changes if at < since]
    known = max(earlier, default=changes[0][1] - 1)
    return latest - known
