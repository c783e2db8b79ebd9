"""Inner form of records: one immutable class a kind, whatever the schema."""

from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum

from burdocksail.core import Freshness, WorkClass


class AcknowledgeAfter(Enum):
    """What has to hold a write before it is acknowledged."""

    PRIMARY = "primary"
    REPLICA = "replica"


@dataclass(frozen=True, slots=True)
class Team:
    """An owner of services and its share of the fleet.

    Attributes
    ----------
    share : int
        Weight against other teams when an upstream's slots are contended.
    """

    name: str
    owner: str
    share: int = 1


@dataclass(frozen=True, slots=True)
class Account:
    """Credentials of callers; `password_hash` never appears in a dump."""

    name: str
    password_hash: str = field(repr=False)


@dataclass(frozen=True, slots=True)
class ReadRule:
    """How fresh reads are by default."""

    freshness: Freshness
    max_age: timedelta | None = None


@dataclass(frozen=True, slots=True)
class WorkRule:
    """Statements that start with `prefix` belong to `work_class`."""

    prefix: str
    work_class: WorkClass


@dataclass(frozen=True, slots=True)
class Service:
    """A service of a team: its accounts, databases and how it is served.

    Attributes
    ----------
    databases : dict of str to str
        Database group of each database name.
    deadline : timedelta
        Time a request may take unless the caller states another.
    """

    name: str
    team: str
    databases: dict[str, str]
    accounts: tuple[Account, ...]
    reads: ReadRule
    deadline: timedelta
    acknowledge_after: AcknowledgeAfter = AcknowledgeAfter.REPLICA
    work_rules: tuple[WorkRule, ...] = ()


@dataclass(frozen=True, slots=True)
class Server:
    """One upstream server of a database group."""

    name: str
    host: str
    port: int
    failure_domain: str


@dataclass(frozen=True, slots=True)
class Group:
    """A database group: its servers and their limits.

    Attributes
    ----------
    slots : int
        Statements that a server runs well at the same time.
    connections : int
        Connections that a server accepts over all instances together.
    preferred_primary : str
        Server that shall be the primary while it is healthy; may be empty.
    leaving : frozenset of str
        Servers that get no new work.
    lost_instances : frozenset of str
        Keys of instances that the operators have confirmed to be gone.
    """

    name: str
    servers: tuple[Server, ...]
    slots: int
    connections: int
    user: str
    password: str = field(repr=False)
    preferred_primary: str = ""
    leaving: frozenset[str] = frozenset()
    lost_instances: frozenset[str] = frozenset()

    def find_server(self, name: str) -> Server | None:
        """Return the server called `name`, or None."""
        return next((s for s in self.servers if s.name == name), None)


Record = Team | Service | Group
