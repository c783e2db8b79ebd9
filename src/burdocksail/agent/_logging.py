"""Logging of JSON lines to standard output, without blocking the process."""

import contextlib
import functools
import json
import os
from collections import deque
from collections.abc import Callable, Mapping, MutableMapping
from typing import Any

MAX_BUFFERED_LINES = 2000  # a few seconds at the highest log rate
MAX_LINE_LENGTH = 8192
ALWAYS_RENDERED = ("event", "level", "timestamp", "instance", "failure_domain")
STDOUT_FD = 1

Renderer = Callable[[object, str, MutableMapping[str, Any]], str]


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


@functools.cache
def _make_renderer() -> Renderer:
    from structlog.processors import JSONRenderer

    return JSONRenderer()


def render_line(logger: object, name: str, event: MutableMapping[str, Any]) -> str:
    """Return an event as a line of JSON of at most `MAX_LINE_LENGTH` characters.

    One that cannot be rendered, or is longer, is represented by its name and size: an
    odd value must not end the controller that logs it.
    """
    try:
        line = _make_renderer()(logger, name, event)
    except (ValueError, TypeError, RecursionError) as error:
        return _render_substitute(event, problem=type(error).__name__)
    if len(line) > MAX_LINE_LENGTH:
        return _render_substitute(event, problem="too long", length=len(line))
    return line


def _render_substitute(event: Mapping[str, Any], **details: str | int) -> str:
    kept = {k: str(event[k])[:200] for k in ALWAYS_RENDERED if k in event}
    return json.dumps({**kept, **details})


def configure_logging(instance: str, failure_domain: str, buffer: LineBuffer) -> None:
    """Configure the logs of this process, which are written to a buffer.

    Imports structlog, which takes a part of the time to start.
    """
    import structlog

    # Not context variables: sessions run in the context in which the listener was
    # opened, which may be before this call.
    origin = {"instance": instance, "failure_domain": failure_domain}

    def add_origin(
        logger: object, name: str, event: MutableMapping[str, Any]
    ) -> MutableMapping[str, Any]:
        for field, value in origin.items():
            event.setdefault(field, value)
        return event

    with contextlib.suppress(OSError):
        os.set_blocking(STDOUT_FD, False)
    structlog.configure(
        processors=[
            add_origin,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            render_line,
        ],
        logger_factory=lambda *_: buffer,
        cache_logger_on_first_use=True,
    )
