"""Internal types of records, which all schema versions are converted to.

There is one immutable class for each kind of record.
"""

from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum

from burdocksail.core import Freshness, WorkClass


class AcknowledgeAfter(Enum):
    """Which servers must hold a write before it is acknowledged.

    ``PRIMARY`` means the primary alone; ``REPLICA`` the primary and one replica,
    or the primary alone if the group has no other server.
    """

    PRIMARY = "primary"
    REPLICA = "replica"


@dataclass(frozen=True, slots=True)
class Team:
    """An owner of services and its share of upstream capacity.

    Attributes
    ----------
    share : int
        Weight relative to other teams when an upstream's slots are contended.
    """

    name: str
    owner: str
    share: int = 1


@dataclass(frozen=True, slots=True)
class Account:
    """Credentials of callers; `repr` omits the hash to keep it out of dumps."""

    name: str
    password_hash: str = field(repr=False)


@dataclass(frozen=True, slots=True)
class ReadRule:
    """Default freshness of reads.

    Attributes
    ----------
    max_age : timedelta or None
        Greatest age of the data; set for ``Freshness.STATED_AGE`` only.
    """

    freshness: Freshness
    max_age: timedelta | None = None


@dataclass(frozen=True, slots=True)
class WorkRule:
    """Assigns statements that start with `statement_prefix` to `work_class`.

    The comparison is case-sensitive.
    """

    statement_prefix: str
    work_class: WorkClass


@dataclass(frozen=True, slots=True)
class Service:
    """A service of a team: its accounts, its databases and request defaults.

    Attributes
    ----------
    databases : dict of str to str
        Name of the database group that holds each database.
    time_limit : timedelta
        Time limit of a request unless the caller sets another.
    """

    name: str
    team: str
    databases: dict[str, str]
    accounts: tuple[Account, ...]
    reads: ReadRule
    time_limit: timedelta
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
    """A database group: its servers, their limits and planned changes.

    Attributes
    ----------
    slots : int
        Statements that one server runs concurrently without overload.
    connections : int
        Connections that one server accepts from all instances together.
    preferred_primary : str
        Server that is to be the primary while it is healthy; empty if none.
    leaving : frozenset of str
        Servers that are being drained. A replica among them gets no new reads; a
        primary is replaced if another server can take over.
    lost_instances : frozenset of str
        Keys (name and incarnation) of instances whose processes have ended for
        certain, as the operators have confirmed. Their leases are not waited for.
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
        """Return the server with this name, or None."""
        return next((s for s in self.servers if s.name == name), None)


Record = Team | Service | Group
