"""Loggers that import structlog with their first line.

Importing it takes 30 ms of processor time. A process listens before it does that.
"""

from functools import cached_property
from typing import Any


class DeferredLogger:
    """Logger of structlog that is made when it is first used.

    Parameters
    ----------
    **context : any
        Fields of all its lines.
    """

    def __init__(self, **context: Any):
        self._context = context

    def bind(self, **context: Any) -> "DeferredLogger":
        """Return a logger whose lines have further fields."""
        return DeferredLogger(**{**self._context, **context})

    def __getattr__(self, name: str) -> Any:
        """Return a method of the logger, such as `info`."""
        if name.startswith("_"):
            raise AttributeError(name)
        return getattr(self._logger, name)

    @cached_property
    def _logger(self) -> Any:
        import structlog

        return structlog.get_logger(**self._context)


def get_logger() -> DeferredLogger:
    """Return a logger that writes as structlog is configured at its first line."""
    return DeferredLogger()
