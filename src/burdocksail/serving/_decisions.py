"""Rate-limited log of how requests are routed and answered."""

from burdocksail.board import Blackboard
from burdocksail.core import get_logger

LINES_PER_SECOND = 100  # logging them costs a fraction of a percent of a core
BURST_LINES = 300


class DecisionLog:
    """Logs decisions on requests at a rate limited by a token bucket."""

    def __init__(self, board: Blackboard):
        self._board = board
        self._tokens = float(BURST_LINES)
        self._refilled_at = board.now()
        self._dropped = 0
        self._log = get_logger()

    def write(self, event: str, request_id: str, **fields: object) -> None:
        """Log a line, or count it as dropped if the rate limit is reached.

        The next line that is logged carries the number of dropped ones.
        """
        now = self._board.now()
        self._tokens = min(
            BURST_LINES, self._tokens + (now - self._refilled_at) * LINES_PER_SECOND
        )
        self._refilled_at = now
        if self._tokens < 1:
            self._dropped += 1
            self._board.metrics.count("log_lines_dropped")
            return
        self._tokens -= 1
        if self._dropped:
            fields["lines_dropped"], self._dropped = self._dropped, 0
        self._log.info(event, request=request_id, **fields)
