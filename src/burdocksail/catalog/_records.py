"""Immutable records of what operators and upstreams have said."""

from dataclasses import dataclass
from enum import Enum


class ReadPolicy(Enum):
    """Which commits a read on a route has to see.

    `PRIMARY` sees every acknowledged commit, `STATED_AGE` those older than the
    route's age, `OWN_WRITES` also every commit of the same session.
    """

    PRIMARY = "primary"
    STATED_AGE = "stated_age"
    OWN_WRITES = "own_writes"


@dataclass(frozen=True, slots=True)
class Route:
    """How sessions of one database are served.

    Attributes
    ----------
    database : str
        Name that callers ask for.
    service : str
        Service that answers.
    max_age : float or None
        Greatest age of read data, in seconds; None asks for no bound.
    statement_timeout : float
        Longest time of one statement, in seconds.
    target_latency : float
        Time in which a whole operation should be answered, in seconds.
    priority : int
        0 goes first.
    """

    name: str
    database: str
    service: str
    policy: ReadPolicy
    max_age: float | None
    statement_timeout: float
    target_latency: float
    priority: int


@dataclass(frozen=True, slots=True)
class Service:
    """A database group.

    Attributes
    ----------
    max_connections : int
        Connections that each of its servers takes from all instances together.
    """

    name: str
    max_connections: int
    sync_replicas: int


@dataclass(frozen=True, slots=True)
class Catalog:
    """One version of the configuration.

    Attributes
    ----------
    routes : dict of str to Route
        By database name.
    transaction_idle_timeout : float
        Seconds after which an idle transaction may be ended.
    max_statement_bytes : int
        Longest statement of a caller.
    """

    version: int
    routes: dict[str, Route]
    services: dict[str, Service]
    transaction_idle_timeout: float
    max_statement_bytes: int


class UpstreamState(Enum):
    """Whether an upstream takes new work."""

    READY = "ready"
    DRAINING = "draining"


class UpstreamRole(Enum):
    """Role of a server as it sees itself."""

    PRIMARY = "primary"
    REPLICA = "replica"


@dataclass(frozen=True, slots=True)
class Upstream:
    """One database server as it last described itself.

    Attributes
    ----------
    born : int
        Unix milliseconds of its start; the same identity may start again.
    """

    id: str
    service: str
    host: str
    port: int
    failure_domain: str
    slots: int
    state: UpstreamState
    role: UpstreamRole
    born: int
