"""JSON lines on standard output that never block the process."""

import contextlib
import os
from collections import deque

import structlog

BUFFERED_LINES = 2000  # a few seconds of the busiest logs
STDOUT = 1


class LineBuffer:
    """Keeps lines until they can be written; drops the newest when full."""

    def __init__(self, descriptor: int = STDOUT):
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        self.dropped = 0

    def msg(self, message: str) -> None:
        """Take a line."""
        if len(self._lines) >= BUFFERED_LINES:
            self.dropped += 1
            return
        self._lines.append(message.encode() + b"\n")

    debug = info = warning = error = critical = msg

    def flush(self) -> None:
        """Write what the descriptor takes now."""
        while self._lines:
            line = self._lines.popleft()
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                self._lines.appendleft(line)
                return
            except OSError:
                # Nobody reads the logs; the process goes on without them.
                self._lines.clear()
                return
            if written < len(line):
                self._lines.appendleft(line[written:])
                return


def configure_logging(instance: str, failure_domain: str) -> LineBuffer:
    """Set the format of all logs of this process; return what to flush."""
    buffer = LineBuffer()
    with contextlib.suppress(OSError):
        os.set_blocking(STDOUT, False)
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.JSONRenderer(),
        ],
        logger_factory=lambda *_: buffer,
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(
        instance=instance, failure_domain=failure_domain
    )
    return buffer
