"""What instances have learned of the speed of servers, here and elsewhere."""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class ServerSpeed:
    """What answers of a server say of its speed, compared with its peers.

    Attributes
    ----------
    started_at_ms : int
        Start of the server; a restarted one is another.
    log_ratio : float
        Logarithm of its run times over those of its peers.
    weight : float
        Recent answers that it stands for.
    """

    upstream_id: str
    started_at_ms: int
    log_ratio: float
    weight: float


@dataclass(slots=True)
class SpeedsSection:
    """Speeds of servers by upstream id, each with a clock reading.

    Attributes
    ----------
    own : dict of str to (ServerSpeed, float)
        Learned by this instance, and when the last answer came; written by
        ``serving``.
    shared : dict of str to (ServerSpeed, float)
        Learned by several instances together, and when that was told; written by
        ``authority``.
    """

    own: dict[str, tuple[ServerSpeed, float]] = field(default_factory=dict)
    shared: dict[str, tuple[ServerSpeed, float]] = field(default_factory=dict)
