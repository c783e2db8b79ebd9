"""Records of what operators configure and upstreams report."""

from dataclasses import dataclass
from enum import Enum

from burdocksail.catalog._workspaces import Workspaces


class ReadPolicy(Enum):
    """Which commits a read on a route has to see.

    `PRIMARY` sees every acknowledged commit, `STATED_AGE` those older than the
    route's `max_age` (none are guaranteed if it is None), and `OWN_WRITES` these
    and every commit of its own session.

    Used by `serving`. Differs from `core.Freshness`, used by `node`, where
    `STATED_AGE` is the stricter of the two.
    """

    PRIMARY = "primary"
    STATED_AGE = "stated_age"
    OWN_WRITES = "own_writes"


@dataclass(frozen=True, slots=True)
class Route:
    """Routing rule for the sessions of one database.

    Attributes
    ----------
    name : str
        Name of the route in the configuration.
    database : str
        Database name that callers connect to.
    service : str
        Name of the service that the route leads to.
    policy : ReadPolicy
        Which commits reads have to see.
    max_age : float or None
        Maximum age of the data that a read returns, in seconds; None sets no
        limit.
    statement_timeout : float
        Maximum duration of one statement, in seconds.
    target_latency : float
        Time in which a whole operation should be answered, in seconds.
    priority : int
        Priority for connections and retries; 0 is the highest.
    requires_key : bool
        Whether callers have to identify their workspace, if the configuration holds
        workspaces.
    """

    name: str
    database: str
    service: str
    policy: ReadPolicy
    max_age: float | None
    statement_timeout: float
    target_latency: float
    priority: int
    requires_key: bool = True


@dataclass(frozen=True, slots=True)
class Service:
    """A database group: one primary and its replicas.

    Called *group* in `core`, `node` and `records`, and where `board` and
    `authority` describe its primary (`GroupView`). Not a `records.Service`.

    Attributes
    ----------
    name : str
        Name of the service.
    max_connections : int
        Connections that each of its servers accepts from all instances
        together.
    sync_replicas : int
        Replicas that have to receive a commit before it is acknowledged.
    """

    name: str
    max_connections: int
    sync_replicas: int


@dataclass(frozen=True, slots=True)
class Catalog:
    """One version of the configuration.

    Attributes
    ----------
    version : int
        Version number; a higher one replaces a lower one.
    routes : dict of str to Route
        Routes by database name.
    services : dict of str to Service
        Services by name.
    transaction_idle_timeout : float
        Seconds after which an idle transaction may be rolled back.
    max_statement_bytes : int
        Maximum length of a caller's statement. Named in bytes, compared in
        characters.
    workspaces : Workspaces or None
        The teams that share the fleet; None if the configuration does not separate
        any, and callers need no keys.
    """

    version: int
    routes: dict[str, Route]
    services: dict[str, Service]
    transaction_idle_timeout: float
    max_statement_bytes: int
    workspaces: Workspaces | None = None


class UpstreamState(Enum):
    """Whether an upstream accepts new work."""

    READY = "ready"
    DRAINING = "draining"


class UpstreamRole(Enum):
    """Role that a server reports for itself."""

    PRIMARY = "primary"
    REPLICA = "replica"


@dataclass(frozen=True, slots=True)
class Upstream:
    """One database server as it last registered itself.

    Attributes
    ----------
    id : str
        Identity of the server, which it keeps across restarts.
    service : str
        Name of the service that it belongs to.
    host : str
        Host to connect to.
    port : int
        TCP port to connect to.
    failure_domain : str
        Failure domain in which it runs.
    slots : int
        Number of statements that it runs concurrently.
    state : UpstreamState
        Whether it accepts new work.
    role : UpstreamRole
        Role that it reports for itself.
    started_at_ms : int
        Unix time of its start, in milliseconds; differs between two runs of a
        server with the same `id`.
    sequence : int
        Counter of its reports since that start.
    """

    id: str
    service: str
    host: str
    port: int
    failure_domain: str
    slots: int
    state: UpstreamState
    role: UpstreamRole
    started_at_ms: int
    sequence: int = 0

    @property
    def report_order(self) -> tuple[int, int]:
        """Return what orders the reports of one server, however they were read."""
        return (self.started_at_ms, self.sequence)
