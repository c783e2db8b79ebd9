"""Which server runs a read.

Load patterns: a server that is slow or far away among faster ones; short and long
work at the same servers; a server that has just failed or was full; a server that
loses part of its work while its health check is good.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

# Puts a server that has just refused or failed behind the others.
AVOIDED_PENALTY = 0.5  # seconds
EJECTED_PENALTY = 5.0  # seconds; more than any latency
# Only the primary can run writes, so reads prefer replicas unless they are much slower.
PRIMARY_PENALTY = 0.01  # seconds


@dataclass(frozen=True, slots=True)
class ServerLoad:
    """What an instance knows about a server that may run a read.

    Attributes
    ----------
    round_trip : float
        Seconds for a message there and back.
    run_time : float
        Seconds that the read usually takes at servers of the service.
    pending : float
        Seconds that the statements of this instance usually take that the server has
        not answered.
    slow_factor : float
        Learned factor on run times at this server.
    may_cover : bool
        Whether the server may have applied the floor of the read.
    is_avoided : bool
        Whether it has just refused or failed.
    is_ejected : bool
        Whether it is an outlier among the servers of its service.
    """

    id: str
    round_trip: float
    run_time: float
    pending: float = 0.0
    slow_factor: float = 1.0
    is_primary: bool = False
    may_cover: bool = True
    is_avoided: bool = False
    is_ejected: bool = False


class CostParts(NamedTuple):
    """Parts of the cost of a server, in seconds."""

    round_trip: float
    work: float
    primary: float
    avoided: float
    ejected: float


def itemize_cost(load: ServerLoad) -> CostParts:
    """Return the parts of the expected time until the reply, penalties included."""
    return CostParts(
        load.round_trip,
        load.slow_factor * (load.run_time + load.pending),
        PRIMARY_PENALTY * load.is_primary,
        AVOIDED_PENALTY * load.is_avoided,
        EJECTED_PENALTY * load.is_ejected,
    )


def rank_by_cost(loads: Iterable[ServerLoad]) -> list[str]:
    """Return the ids of the servers that may run a read, lowest cost first.

    Servers that cannot have applied the floor are left out, unless all would be.
    """
    loads = list(loads)
    covering = [load for load in loads if load.may_cover] or loads
    return [
        load.id for load in sorted(covering, key=lambda s: (sum(itemize_cost(s)), s.id))
    ]
