"""How many connections to a server are used at the same time.

Load pattern: a server that is slower than usual rejects statements when its own
queue is full. Instances that keep all connections busy get most of them rejected,
and each rejection costs the server time and the caller a round trip. Before it
rejects any, its answers become longer.
"""

from dataclasses import dataclass

DECREASE_FACTOR = 0.7
# Answers become longer before a server rejects work, so the limit falls more gently.
LONGER_FACTOR = 0.85
# Rejections within this time answer the same excess and count once.
DECREASE_INTERVAL = 0.1  # seconds
MIN_LIMIT = 1.0


@dataclass(slots=True)
class ConcurrencyLimit:
    """Limit that falls when the server rejects or delays work, and rises otherwise.

    No instance knows how many others use the server; as all of them react to its
    rejections, they share it without knowing (additive increase, multiplicative
    decrease).

    Attributes
    ----------
    limit : float or None
        Connections in use at a time; None if the server has rejected nothing lately
        and its answers are as short as before.
    is_delayed : bool
        Whether the last answers were longer than before; the limit rises only while
        they are not.
    """

    limit: float | None = None
    is_delayed: bool = False
    _decreased_at: float = float("-inf")

    def allows(self, in_use: int) -> bool:
        """Return whether another connection may be used beside `in_use` others."""
        return self.limit is None or in_use < int(self.limit)

    def record_rejection(self, in_use: int, now: float) -> None:
        """Record that the server rejected a statement while `in_use` were in use."""
        self._decrease(in_use, DECREASE_FACTOR, now)

    def record_delay(self, is_delayed: bool, in_use: int, now: float) -> None:
        """Record whether answers are longer than before while `in_use` were in use."""
        self.is_delayed = is_delayed
        if is_delayed and in_use > MIN_LIMIT:
            self._decrease(in_use, LONGER_FACTOR, now)

    def _decrease(self, in_use: int, factor: float, now: float) -> None:
        if now - self._decreased_at < DECREASE_INTERVAL:
            return
        self._decreased_at = now
        current = in_use if self.limit is None else min(self.limit, in_use)
        self.limit = max(MIN_LIMIT, current * factor)

    def record_answer(self, capacity: int) -> None:
        """Record that the server ran a statement.

        The limit rises by one connection for each that is in use. It ends once it
        reaches the connections that this instance may open anyway.
        """
        if self.limit is None or self.is_delayed:
            return
        self.limit += 1.0 / max(1.0, self.limit)
        if self.limit >= capacity:
            self.limit = None
