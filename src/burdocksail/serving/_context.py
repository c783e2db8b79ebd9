"""State of a caller's session, and what all sessions of an instance share."""

import copy
import random
from collections import defaultdict
from dataclasses import dataclass, field

from burdocksail.board import Blackboard, Metrics
from burdocksail.catalog import Route
from burdocksail.serving._allowances import AllowanceHolder
from burdocksail.serving._decisions import DecisionLog
from burdocksail.serving._freshness import SessionCommits
from burdocksail.serving._pools import ConnectionPools
from burdocksail.traffic import (
    MAX_RETURN_DELAY,
    Obstacle,
    RetryBudget,
    RunTime,
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
    allowances : AllowanceHolder
        Tokens for the quotas of workspaces.
    open_transactions : int
        Transactions that hold an upstream connection.
    retry_budget : RetryBudget
        Limits the retries of this instance.
    work_times : dict of str to WorkTimes
        How long work takes, by service.
    random : random.Random
        Spreads retries of this instance and returns of its callers.
    """

    def __init__(
        self,
        board: Blackboard,
        pools: ConnectionPools,
        allowances: AllowanceHolder | None = None,
    ):
        self.board = board
        self.pools = pools
        self.allowances = allowances or AllowanceHolder(board)
        self.decisions = DecisionLog(board)
        self.open_transactions = 0
        self.retry_budget = RetryBudget()
        self.work_times: defaultdict[str, WorkTimes] = defaultdict(WorkTimes)
        self.random = random.Random(f"{board.member.incarnation}/serving")
        self._run_times: defaultdict[str, RunTime] = defaultdict(RunTime)

    @property
    def has_workspaces(self) -> bool:
        """Return whether the configuration in force holds workspaces."""
        catalog = self.board.catalog.catalog
        return catalog is not None and catalog.workspaces is not None

    def make_preview(self, workspace: str) -> "ServingContext":
        """Return a context that knows the same, for decisions that are not acted on.

        What decisions write (metrics, retry budget, random state, run times that are
        not known yet, new pools, tokens) is of its own and goes with it. It holds the
        tokens of one workspace.
        """
        # Only `explain` needs it, so it is not imported at the start.
        from burdocksail.serving._allowance_preview import copy_allowances

        preview = copy.copy(self)
        preview.board = copy.copy(self.board)
        preview.board.metrics = Metrics()
        preview.pools = self.pools.make_preview()
        preview.allowances = copy_allowances(self.allowances, preview.board, workspace)
        preview.retry_budget = RetryBudget()
        preview.work_times = self.work_times.copy()
        preview.random = random.Random(0)
        preview._run_times = self._run_times.copy()
        return preview

    def get_run_time(self, route: Route) -> RunTime:
        """Return the usual run time of the statements of a route."""
        return self._run_times[route.name]

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
        arguments = (obstacle, route.priority, self.random, expected)
        if self.has_workspaces:
            return compute_retry_after(*arguments, MAX_RETURN_DELAY)
        return compute_retry_after(*arguments)
