"""Format of load pattern files (TOML)."""

import tomllib
from enum import Enum
from pathlib import Path

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from burdocksail.catalog import ReadPolicy
from burdocksail.core import BurdocksailError

PATTERN_DIRECTORY = Path(__file__).parent / "patterns"


class PatternError(BurdocksailError):
    """A pattern file cannot be read or is not valid."""


class EventKind(Enum):
    """What an event of a pattern does."""

    BURST = "burst"  # more requests of one class
    HOT = "hot"  # more requests of one workspace
    SHIFT = "shift"  # the callers of one failure domain come to another
    SLOW = "slow"  # a server runs everything slower, at once or gradually
    SLOW_LINK = "slow_link"  # messages between instances and servers take longer
    SHED = "shed"  # a server has a shorter queue
    FAIL = "fail"  # a server fails a share of its statements
    SILENT = "silent"  # a server leaves a share of its statements unanswered
    LAG = "lag"  # replicas fall behind
    RELEASE = "release"  # servers are restarted in turn
    LOSE_POWER = "lose_power"  # all instances lose power and start again
    CRASH_PRIMARY = "crash_primary"


class _Model(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class ServerPattern(_Model):
    """Servers of the one service; each has the same capacity unless said otherwise.

    Attributes
    ----------
    handshake, lag : float
        In seconds.
    slots_by_server : tuple of int
        Slots of the servers in order; `slots` for those beyond its end.
    slow_factors : tuple of float
        Usual factors on the run times of the servers in order; 1 beyond its end.
    """

    count: int = Field(default=3, ge=1)
    slots: int = Field(default=4, ge=1)
    queue: int = Field(default=40, ge=0)
    max_connections: int = Field(default=32, ge=1)
    handshake: float = Field(default=0.012, ge=0)
    lag: float = Field(default=0.02, ge=0)
    slots_by_server: tuple[int, ...] = ()
    slow_factors: tuple[float, ...] = ()


class WorkspacesPattern(_Model):
    """Workspaces that send the requests, named ``workspace-0`` and so on.

    Attributes
    ----------
    skew : float
        Exponent of their sizes: the n-th sends 1/n**skew as much as the first.
    priorities : tuple of int
        Priorities, given to the workspaces in turn.
    serving_set : int
        Instances, chosen by rendezvous hashing, to which all others forward the
        requests of a workspace; 0 if each instance serves its own callers.
    """

    count: int = Field(ge=1)
    skew: float = Field(default=0.0, ge=0)
    priorities: tuple[int, ...] = Field(default=(1,), min_length=1)
    serving_set: int = Field(default=0, ge=0)

    def compute_shares(self) -> dict[str, float]:
        """Return the share of the requests that each workspace sends."""
        sizes = [1 / (n + 1) ** self.skew for n in range(self.count)]
        return {f"workspace-{n}": s / sum(sizes) for n, s in enumerate(sizes)}


class RequestClass(_Model):
    """One kind of request; times are in seconds, rates for all instances together.

    Attributes
    ----------
    straggler_share : float
        Share of the requests that run `straggler_factor` times as long.
    """

    name: str
    policy: ReadPolicy
    per_second: float = Field(gt=0)
    work: float = Field(gt=0)
    target: float = Field(gt=0)
    timeout: float = Field(gt=0)
    deadline: float = Field(gt=0)
    priority: int = Field(default=1, ge=0)
    write_share: float = Field(default=0.0, ge=0, le=1)
    straggler_share: float = Field(default=0.0, ge=0, le=1)
    straggler_factor: float = Field(default=1.0, ge=1)


class Event(_Model):
    """Something that happens during the pattern; times are in seconds.

    Attributes
    ----------
    value : float
        Factor, share, queue length or lag, as the kind needs it.
    target : str
        Class, workspace, failure domain or server that it concerns, as the kind
        needs it; for a slow link ``instance/server``, with ``*`` for all.
    over : float
        Seconds over which a server becomes slow, and over which it recovers; 0 for
        at once.
    """

    kind: EventKind
    at: float = Field(ge=0)
    duration: float = Field(default=0.0, ge=0)
    value: float = 0.0
    target: str = ""
    over: float = Field(default=0.0, ge=0)


class Pattern(_Model):
    """A load pattern; `duration` is in seconds.

    Attributes
    ----------
    workspaces : WorkspacesPattern or None
        None if the configuration separates none.
    distance : float
        Seconds that a message takes longer between failure domains, one way.
    """

    name: str
    description: str
    duration: float = Field(gt=0, le=600)
    instances: int = Field(default=6, ge=1, le=128)
    retries: int = Field(default=2, ge=0)
    distance: float = Field(default=0.0, ge=0)
    server: ServerPattern = ServerPattern()
    workspaces: WorkspacesPattern | None = None
    classes: tuple[RequestClass, ...] = Field(min_length=1)
    events: tuple[Event, ...] = ()


def read_pattern(path: Path) -> Pattern:
    """Return the pattern in a file, or the packaged one of that name.

    Raises
    ------
    PatternError
        If there is no such file, or it is not valid.
    """
    packaged = PATTERN_DIRECTORY / f"{path}.toml"
    found = path if path.is_file() else packaged
    try:
        return Pattern.model_validate(tomllib.loads(found.read_text()))
    except (OSError, tomllib.TOMLDecodeError, ValidationError) as error:
        raise PatternError(f"{path}: {error}") from error
