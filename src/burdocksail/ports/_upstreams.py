"""Connections to upstreams."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from burdocksail.catalog import Upstream
from burdocksail.core import LogPosition, TransactionState, UpstreamCommand


class Status(Enum):
    """What an upstream says of one command."""

    DONE = "done"

    # The command was not run.
    BUSY = "busy"
    LAGGING = "lagging"
    READ_ONLY = "read_only"
    UNKNOWN_STATEMENT = "unknown_statement"
    MALFORMED = "malformed"

    # The command was run, and may have had an effect.
    FAILED = "failed"
    TIMEOUT = "timeout"


NOT_RUN = frozenset(
    {
        Status.BUSY,
        Status.LAGGING,
        Status.READ_ONLY,
        Status.UNKNOWN_STATEMENT,
        Status.MALFORMED,
    }
)


@dataclass(frozen=True, slots=True)
class Reply:
    """Reply of an upstream to one command.

    Attributes
    ----------
    signature : str
        Proof of the server that it ran the command; passed on unchanged.
    rows : tuple of str
        Result, passed on unchanged.
    state : TransactionState
        State of the upstream session after the command.
    position : LogPosition or None
        Position of the server's log after the command.
    """

    status: Status
    signature: str
    rows: tuple[str, ...]
    state: TransactionState
    position: LogPosition | None
    message: str = ""

    @property
    def was_run(self) -> bool:
        """Return whether the server may have run the command."""
        return self.status not in NOT_RUN


@dataclass(frozen=True, slots=True)
class ServerStatus:
    """State of a server, as it sees itself.

    Attributes
    ----------
    received : LogPosition
        Last position of the log that the server holds.
    """

    is_primary: bool
    term: int
    received: LogPosition


class UpstreamConnection(Protocol):
    """One session at an upstream."""

    @property
    def position(self) -> LogPosition | None:
        """Return the position that the server told when it was reached."""
        ...

    @property
    def is_open(self) -> bool:
        """Return whether the connection is usable as far as is known."""
        ...

    async def run(
        self,
        commands: Sequence[UpstreamCommand],
        timeout: float,
        floor: LogPosition | None = None,
    ) -> list[Reply]:
        """Send commands at once and return their replies.

        Parameters
        ----------
        floor : LogPosition or None
            Position that the server's log has to cover for the last command.

        Raises
        ------
        UpstreamLost
            If not every reply came within `timeout` seconds. The connection is
            closed.
        """
        ...

    async def inspect(self, timeout: float) -> ServerStatus | None:
        """Return the server's state, None if it is too busy to tell."""
        ...

    async def step_down(self, term: int, timeout: float) -> ServerStatus | None:
        """Make a primary of a lower term than `term` a replica."""
        ...

    def close(self) -> None:
        """Close the connection; an open transaction rolls back."""
        ...


class Connector(Protocol):
    """Opens connections to upstreams."""

    async def connect(self, upstream: Upstream, timeout: float) -> UpstreamConnection:
        """Connect to an upstream and make sure that it is the one expected.

        Raises
        ------
        ConnectionRefused
            If there is no connection; its subclasses say why.
        """
        ...
