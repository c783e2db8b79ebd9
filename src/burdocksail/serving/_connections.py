"""Connections to servers, as the pools hold them, and the lack of one."""

from dataclasses import dataclass, field

from burdocksail.catalog import Upstream
from burdocksail.core import BurdocksailError
from burdocksail.ports import UpstreamConnection


class NoConnection(BurdocksailError):
    """No connection became available in time; nothing was sent.

    Attributes
    ----------
    unreachable : bool
        Whether connections to the server could not be opened; False if all were
        in use, the server was full or the pool is closed.
    expected_wait : float
        Estimated seconds until one would have become available; 0 if unknown.
    """

    def __init__(
        self, message: str, unreachable: bool = False, expected_wait: float = 0.0
    ):
        super().__init__(message)
        self.unreachable = unreachable
        self.expected_wait = expected_wait


@dataclass(frozen=True, slots=True)
class Forecast:
    """What a request for a connection would meet now.

    Attributes
    ----------
    connection : PooledConnection or None
        Connection that it would get at once; None if it would wait.
    expected_wait : float
        Estimated seconds until it would get one; 0 if unknown.
    is_too_long : bool
        Whether it would be rejected at once, as it cannot wait for so long.
    """

    connection: "PooledConnection | None" = None
    expected_wait: float = 0.0
    is_too_long: bool = False


@dataclass(frozen=True, slots=True)
class Lease:
    """Exclusive use of a connection by a request.

    Attributes
    ----------
    workspace : str or None
        Workspace that is charged for it.
    level : int
        Priority of the route of the request.
    began_at : float
        Clock reading.
    charged : float
        Seconds that the workspace was charged for in advance.
    """

    workspace: str | None
    level: int
    began_at: float
    charged: float


@dataclass(slots=True)
class PooledConnection:
    """A connection, and the state of its upstream session.

    Attributes
    ----------
    workspace : str
        Workspace whose statements it may run; empty for those of no workspace.
    variables : dict of str to str
        Session variables that are set.
    prepared : dict of (str, bool) to str
        Names of prepared statements by template and whether they write.
    idle_since : float
        Clock reading at which it was opened or last released.
    lease : Lease or None
        Whose request holds it; None while it is idle.
    was_used : bool
        Whether a request has held it before.
    is_charged : bool
        Whether its opening has been charged for the request that it was opened for.
    """

    upstream: Upstream
    connection: UpstreamConnection
    workspace: str = ""
    variables: dict[str, str] = field(default_factory=dict)
    prepared: dict[tuple[str, bool], str] = field(default_factory=dict)
    idle_since: float = 0.0
    lease: Lease | None = None
    was_used: bool = False
    is_charged: bool = False

    @property
    def is_open(self) -> bool:
        """Return whether the connection is not known to be broken or closed."""
        return self.connection.is_open

    def close(self) -> None:
        """Close the connection; an open transaction rolls back."""
        self.connection.close()

    def clear_session_state(self) -> None:
        """Record that the upstream session has been reset."""
        self.variables.clear()
        self.prepared.clear()
