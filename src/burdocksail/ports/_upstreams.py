"""Interface of connections to upstreams."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from burdocksail.catalog import Upstream
from burdocksail.core import LogPosition, TransactionState, UpstreamCommand


class ReplyStatus(Enum):
    """Result of one command at an upstream."""

    DONE = "done"

    # The command was not run.
    BUSY = "busy"
    LAGGING = "lagging"  # the server has not applied the floor
    READ_ONLY = "read_only"  # a write, or BEGIN for writing, reached a replica
    UNKNOWN_STATEMENT = "unknown_statement"
    MALFORMED = "malformed"

    # The command may have been run and had an effect.
    FAILED = "failed"
    TIMEOUT = "timeout"


NOT_RUN = frozenset(
    {
        ReplyStatus.BUSY,
        ReplyStatus.LAGGING,
        ReplyStatus.READ_ONLY,
        ReplyStatus.UNKNOWN_STATEMENT,
        ReplyStatus.MALFORMED,
    }
)


@dataclass(frozen=True, slots=True)
class Reply:
    """Reply of an upstream to one command.

    Attributes
    ----------
    signature : str
        Proof by the server that it ran the command; passed on unchanged.
    rows : tuple of str
        Rows of the result; passed on unchanged.
    state : TransactionState
        State of the upstream session after the command.
    position : LogPosition or None
        Log position that the server reports after the command; may be behind
        `ServerStatus.received`.
    """

    status: ReplyStatus
    signature: str
    rows: tuple[str, ...]
    state: TransactionState
    position: LogPosition | None
    message: str = ""

    @property
    def may_have_run(self) -> bool:
        """Return whether the server may have run the command."""
        return self.status not in NOT_RUN


@dataclass(frozen=True, slots=True)
class ServerStatus:
    """State of a server, as it reports it.

    Attributes
    ----------
    term : int
        Term of the primary whose log the server holds; grows with each
        promotion. Not the same as `board.GroupView.change`.
    received : LogPosition
        Last log position that the server has received; it may not have applied
        it yet.
    """

    is_primary: bool
    term: int
    received: LogPosition


class UpstreamConnection(Protocol):
    """One connection to an upstream, with its session."""

    @property
    def position(self) -> LogPosition | None:
        """Return the log position that the server reported when connecting."""
        ...

    @property
    def is_open(self) -> bool:
        """Return whether the connection is usable, as far as is known."""
        ...

    @property
    def round_trip(self) -> float:
        """Return the seconds of a message there and back, measured when connecting.

        0 if they could not be measured.
        """
        ...

    async def run(
        self,
        commands: Sequence[UpstreamCommand],
        timeout: float,
        floor: LogPosition | None = None,
    ) -> list[Reply]:
        """Pipeline commands and return their replies, in order.

        Parameters
        ----------
        floor : LogPosition or None
            Position that the server must have applied before it runs the last
            command.

        Raises
        ------
        UpstreamLost
            If not all replies arrive within `timeout` seconds, or one is
            malformed. The connection is closed then.
        """
        ...

    async def inspect(self, timeout: float) -> ServerStatus | None:
        """Return the server's state.

        Parameters
        ----------
        timeout : float
            Time limit of the reply, in seconds.

        Returns
        -------
        ServerStatus or None
            None if the server answers with an error or no state, for instance
            because it is too busy.

        Raises
        ------
        UpstreamLost
            If there is no usable reply in time; the connection is closed then.
        """
        ...

    async def step_down(self, term: int, timeout: float) -> ServerStatus | None:
        """Demote a primary of a lower term than `term` to a replica.

        Parameters
        ----------
        timeout : float
            Time limit of the reply, in seconds.

        Returns
        -------
        ServerStatus or None
            State afterwards, or None if the server answers with an error or no
            state, for instance because it is too busy.

        Raises
        ------
        UpstreamLost
            If there is no usable reply in time; the connection is closed then.
        """
        ...

    def close(self) -> None:
        """Close the connection; an open transaction is rolled back."""
        ...


class Connector(Protocol):
    """Opens connections to upstreams."""

    async def connect(
        self, upstream: Upstream, timeout: float, workspace: str = ""
    ) -> UpstreamConnection:
        """Connect to an upstream and verify its identity.

        Parameters
        ----------
        timeout : float
            Time limit of opening the connection, in seconds.
        workspace : str
            Whose statements the connection is for, for as long as it is open; empty
            for none.

        Raises
        ------
        ConnectFailed
            If the connection cannot be opened; a subclass gives the reason.
        """
        ...
