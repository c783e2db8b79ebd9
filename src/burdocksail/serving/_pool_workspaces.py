"""Workspaces as a pool sees them: which are known, their weights and their demand."""

from collections import Counter
from collections.abc import Iterable, Mapping

from burdocksail.board import Blackboard
from burdocksail.catalog import Workspaces
from burdocksail.serving._connections import PooledConnection
from burdocksail.traffic import Demand, compute_weight, estimate_use

DEFAULT_PRIORITY = 1  # of requests that belong to no workspace
PROBE_LEVEL = -1  # probes of primaries go before all requests
DESCRIBED_WORKSPACES = 10  # in the state dump of a pool


class PoolWorkspaces:
    """Workspaces of the configuration in force, and their requests to one upstream.

    Parameters
    ----------
    demand : Demand
        Requests of this instance by workspace, over all its pools.
    """

    def __init__(self, board: Blackboard, demand: Demand):
        self._board = board
        self._demand = demand
        self._own_demand = Demand()

    @property
    def are_configured(self) -> bool:
        """Return whether the configuration in force holds workspaces."""
        return self._configured is not None

    @property
    def _configured(self) -> Workspaces | None:
        catalog = self._board.catalog.catalog
        return None if catalog is None else catalog.workspaces

    def is_known(self, workspace: str | None) -> bool:
        """Return whether a workspace is configured; "" and None stand for no one's."""
        if not workspace or self._board.catalog.catalog is None:
            return True
        configured = self._configured
        return configured is not None and workspace in configured.by_name

    def weigh(self, workspace: str | None) -> int:
        """Return the weight of a workspace in the shares of the pool."""
        configured = self._configured
        known = None if configured is None else configured.by_name.get(workspace or "")
        return compute_weight(DEFAULT_PRIORITY if known is None else known.priority)

    def find_place_of_probe(self) -> tuple[str | None, int]:
        """Return the workspace and level at which a probe of the server waits."""
        return (None if self.are_configured else "", PROBE_LEVEL)

    def record_request(self, workspace: str) -> None:
        """Count a request, for the value of the workspace's connections."""
        if self.are_configured:
            now = self._board.now()
            self._demand.record(workspace, now)
            self._own_demand.record(workspace, now)

    def choose_evicted(
        self,
        idle: Iterable[PooledConnection],
        open_connections: Iterable[PooledConnection],
        hold_time: float,
    ) -> PooledConnection:
        """Return the idle connection that is needed least often.

        Parameters
        ----------
        hold_time : float
            Seconds for which a request usually holds a connection.
        """
        now = self._board.now()
        counts = Counter(c.workspace for c in open_connections)
        uses = {
            name: estimate_use(
                self._demand.compute_rate(name, now),
                self._own_demand.compute_rate(name, now) * hold_time,
                count,
            )
            for name, count in counts.items()
        }
        return min(idle, key=lambda connection: uses[connection.workspace])


def describe_workspaces(
    open_connections: Iterable[PooledConnection], waiting: Mapping[str | None, int]
) -> dict[str, dict[str, int]]:
    """Return connections and waiting requests of the largest workspaces."""
    connections = Counter(c.workspace for c in open_connections)
    requests: Counter[str] = Counter()
    for workspace, count in waiting.items():
        requests[workspace or ""] += count
    largest = (connections + requests).most_common(DESCRIBED_WORKSPACES)
    return {
        name: {"connections": connections[name], "waiting": requests[name]}
        for name, _ in largest
    }
