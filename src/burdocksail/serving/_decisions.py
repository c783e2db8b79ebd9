"""Log lines on requests, bounded in number under load."""

import structlog

from burdocksail.board import Blackboard

LINES_PER_SECOND = 100  # a fraction of a percent of a core
BURST_LINES = 300


class DecisionLog:
    """Writes a line for each decision on a request while its budget lasts."""

    def __init__(self, board: Blackboard):
        self._board = board
        self._tokens = float(BURST_LINES)
        self._filled_at = board.now()
        self._dropped = 0
        self._log = structlog.get_logger()

    def write(self, event: str, request_id: str, **inputs: object) -> None:
        """Write a line, or count it as dropped."""
        now = self._board.now()
        self._tokens = min(
            BURST_LINES, self._tokens + (now - self._filled_at) * LINES_PER_SECOND
        )
        self._filled_at = now
        if self._tokens < 1:
            self._dropped += 1
            self._board.metrics.count("log_lines_dropped")
            return
        self._tokens -= 1
        if self._dropped:
            inputs["lines_dropped"], self._dropped = self._dropped, 0
        self._log.info(event, request=request_id, **inputs)
