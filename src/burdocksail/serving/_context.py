"""State of a caller's session, and what all sessions of an instance share."""

from dataclasses import dataclass, field

from burdocksail.board import Blackboard
from burdocksail.catalog import Route
from burdocksail.serving._decisions import DecisionLog
from burdocksail.serving._freshness import SessionCommits
from burdocksail.serving._pools import ConnectionPools


@dataclass(frozen=True, slots=True)
class PreparedStatement:
    """A statement that a caller has prepared, under the name that the caller chose."""

    template: str
    writes: bool


@dataclass(slots=True)
class SessionState:
    """Session state of a caller, independent of any upstream connection.

    Attributes
    ----------
    variables : dict of str to str
        Session variables that the caller has set.
    prepared : dict of str to PreparedStatement
        Prepared statements by the names that the caller chose.
    commits : SessionCommits
        Positions of the session's own commits.
    """

    variables: dict[str, str] = field(default_factory=dict)
    prepared: dict[str, PreparedStatement] = field(default_factory=dict)
    commits: SessionCommits = field(default_factory=SessionCommits)


class ServingContext:
    """What the sessions of an instance share.

    Attributes
    ----------
    open_transactions : int
        Transactions that hold an upstream connection.
    """

    def __init__(self, board: Blackboard, pools: ConnectionPools):
        self.board = board
        self.pools = pools
        self.decisions = DecisionLog(board)
        self.open_transactions = 0

    def find_route(self, database: str) -> Route | None:
        """Return the route of a database in the configuration in force.

        None if the database has no route, or there is no configuration yet.
        """
        catalog = self.board.catalog.catalog
        return None if catalog is None else catalog.routes.get(database)
