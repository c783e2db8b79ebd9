"""State of a caller's session, and what all sessions of an instance share."""

import random
from collections import defaultdict
from dataclasses import dataclass, field

from burdocksail.board import Blackboard
from burdocksail.catalog import Route
from burdocksail.serving._decisions import DecisionLog
from burdocksail.serving._freshness import SessionCommits
from burdocksail.serving._pools import ConnectionPools
from burdocksail.traffic import (
    Obstacle,
    RetryBudget,
    WorkTimes,
    compute_retry_after,
)


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
    workspace : str
        Workspace of the caller; empty if it has none.
    """

    variables: dict[str, str] = field(default_factory=dict)
    prepared: dict[str, PreparedStatement] = field(default_factory=dict)
    commits: SessionCommits = field(default_factory=SessionCommits)
    workspace: str = ""


class ServingContext:
    """What the sessions of an instance share.

    Attributes
    ----------
    open_transactions : int
        Transactions that hold an upstream connection.
    retry_budget : RetryBudget
        Limits the retries of this instance.
    work_times : dict of str to WorkTimes
        How long work takes, by service.
    random : random.Random
        Spreads retries of this instance and returns of its callers.
    """

    def __init__(self, board: Blackboard, pools: ConnectionPools):
        self.board = board
        self.pools = pools
        self.decisions = DecisionLog(board)
        self.open_transactions = 0
        self.retry_budget = RetryBudget()
        self.work_times: defaultdict[str, WorkTimes] = defaultdict(WorkTimes)
        self.random = random.Random(f"{board.member.incarnation}/serving")

    def find_route(self, database: str) -> Route | None:
        """Return the route of a database in the configuration in force.

        None if the database has no route, or there is no configuration yet.
        """
        catalog = self.board.catalog.catalog
        return None if catalog is None else catalog.routes.get(database)

    def compute_retry_after(
        self, obstacle: Obstacle, route: Route, expected: float = 0.0
    ) -> float:
        """Return the seconds after which a rejected caller should come back.

        `expected` is the estimated time until the obstacle is gone, in seconds.
        """
        return compute_retry_after(obstacle, route.priority, self.random, expected)
