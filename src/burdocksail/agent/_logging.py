"""Logging of JSON lines to standard output, without blocking the process."""

import contextlib
import json
import os
from collections import deque
from collections.abc import Mapping, MutableMapping
from typing import Any

import structlog

MAX_BUFFERED_LINES = 2000  # a few seconds at the highest log rate
MAX_LINE_LENGTH = 8192
ALWAYS_RENDERED = ("event", "level", "timestamp", "instance", "failure_domain")
STDOUT_FD = 1

_render = structlog.processors.JSONRenderer()


class LineBuffer:
    """Buffers log lines until the descriptor accepts them; drops new ones when full."""

    def __init__(self, descriptor: int = STDOUT_FD):
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        self.dropped = 0

    def msg(self, message: str) -> None:
        """Append a line, or count it as dropped if the buffer is full."""
        if len(self._lines) >= MAX_BUFFERED_LINES:
            self.dropped += 1
            return
        self._lines.append(message.encode() + b"\n")

    debug = info = warning = error = critical = msg

    def flush(self) -> None:
        """Write as many lines as the descriptor accepts without blocking."""
        while self._lines:
            line = self._lines.popleft()
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                self._lines.appendleft(line)
                return
            except OSError:
                # The reader of the logs is gone; the process keeps running without
                # logs.
                self._lines.clear()
                return
            if written < len(line):
                self._lines.appendleft(line[written:])
                return


def render_line(logger: object, name: str, event: MutableMapping[str, Any]) -> str:
    """Return an event as a line of JSON of at most `MAX_LINE_LENGTH` characters.

    One that cannot be rendered, or is longer, is represented by its name and size: an
    odd value must not end the controller that logs it.
    """
    try:
        line = _render(logger, name, event)
    except (ValueError, TypeError, RecursionError) as error:
        return _render_substitute(event, problem=type(error).__name__)
    if len(line) > MAX_LINE_LENGTH:
        return _render_substitute(event, problem="too long", length=len(line))
    return line


def _render_substitute(event: Mapping[str, Any], **details: str | int) -> str:
    kept = {k: str(event[k])[:200] for k in ALWAYS_RENDERED if k in event}
    return json.dumps({**kept, **details})


def configure_logging(instance: str, failure_domain: str) -> LineBuffer:
    """Configure the logs of this process; return the buffer to flush regularly."""
    buffer = LineBuffer()
    with contextlib.suppress(OSError):
        os.set_blocking(STDOUT_FD, False)
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            render_line,
        ],
        logger_factory=lambda *_: buffer,
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(
        instance=instance, failure_domain=failure_domain
    )
    return buffer
