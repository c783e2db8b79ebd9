"""The limits on callers, and how they follow from memory and descriptors."""

import resource
from collections.abc import Mapping
from dataclasses import dataclass, fields, replace

from burdocksail.core import BurdocksailError

MEBIBYTE = 1 << 20
DEFAULT_MEMORY_MB = 1024  # of a process whose settings name no memory
MAX_DESCRIPTORS = 65536  # also without a limit of the system

# Shares of the memory that the process does not need for itself. The rest is for
# copies that live while one message is decoded, and for fragmentation.
HELD_SHARE = 0.2
CONNECTION_SHARE = 0.4
SMALLEST_FREE_SHARE = 0.25  # of the whole memory, where little is left
CONNECTION_BYTES = 11_000  # measured: 10 kB for a silent session

# Descriptors kept for servers, peers, store, probes, and callers being turned away.
RESERVE_SHARE = 0.15
LEAST_RESERVE = 64
MOST_RESERVE = 1024
LEAST_CONNECTIONS = 16

LARGEST_MESSAGE = 1 << 20  # bytes; of the line protocol, and served in any case
LARGE_SHARE = 0.75  # of the bytes held; small messages are served with the rest
LEAST_HELD_BYTES = 4 * LARGEST_MESSAGE


class LimitError(BurdocksailError):
    """A limit has no such name, or its value is no positive number."""


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on callers; the defaults hold where memory and descriptors are not known.

    Attributes
    ----------
    held_bytes : float
        Bytes that all callers together make the process hold.
    connections : float
        Connections of callers.
    page_connections : float
        Connections to each listener of readiness, metrics and dump.
    peer_connections : float
        Connections of other instances that have not proved to be instances.
    read_ahead_bytes : float
        Pipelined statements of one connection that are read before the answers to
        the earlier ones are taken.
    message_s : float
        Seconds that the first message of a session, the rest of a message, or the
        taking of an answer may last without progress.
    least_rate : float
        Bytes per second on top of `message_s` for longer messages and answers. A
        link of 2 Mbit/s carries 15 times as much.
    room_wait_s : float
        Seconds that a large message waits for room.
    """

    held_bytes: float = HELD_SHARE * DEFAULT_MEMORY_MB * MEBIBYTE
    connections: float = 16_384
    page_connections: float = 32
    peer_connections: float = 64
    read_ahead_bytes: float = 16 << 10
    message_s: float = 10.0
    least_rate: float = 16 << 10
    room_wait_s: float = 10.0

    @property
    def large_bytes(self) -> float:
        """Return the part of `held_bytes` that large messages may hold together."""
        return LARGE_SHARE * self.held_bytes

    def get_message_bytes(self, copies: int) -> int:
        """Return the longest message that one connection may send.

        Parameters
        ----------
        copies : int
            How often a message exists while it is served.
        """
        return max(LARGEST_MESSAGE, int(self.large_bytes / copies))


def derive_limits(
    memory_mb: float | None, max_fds: int | None, own_memory_mb: float
) -> CallerLimits:
    """Return the limits for the memory and the descriptors of a machine.

    Parameters
    ----------
    memory_mb : float or None
        Memory of the process; None if it is not known.
    max_fds : int or None
        Descriptors of the process; None for the limit of the system, which holds in
        any case.
    own_memory_mb : float
        Memory that the process needs without callers.
    """
    memory = (DEFAULT_MEMORY_MB if memory_mb is None else memory_mb) * MEBIBYTE
    free = max(memory - own_memory_mb * MEBIBYTE, SMALLEST_FREE_SHARE * memory)
    descriptors = min(max_fds or MAX_DESCRIPTORS, _get_descriptor_limit())
    reserve = min(max(RESERVE_SHARE * descriptors, LEAST_RESERVE), MOST_RESERVE)
    by_memory = CONNECTION_SHARE * free / CONNECTION_BYTES
    connections = max(min(by_memory, descriptors - reserve), LEAST_CONNECTIONS)
    others = max(4, min(32, reserve // 8))
    return CallerLimits(
        held_bytes=max(HELD_SHARE * free, LEAST_HELD_BYTES),
        connections=int(connections),
        page_connections=others,
        peer_connections=others,
    )


def override_limits(limits: CallerLimits, values: Mapping[str, float]) -> CallerLimits:
    """Return limits in which some have the given values.

    Raises
    ------
    LimitError
        If a name is unknown or a value is not positive.
    """
    names = {field.name for field in fields(CallerLimits)}
    for name, value in values.items():
        if name not in names:
            raise LimitError(f"no limit is called {name!r}")
        if not 0 < value < float("inf"):
            raise LimitError(f"{name} must be a positive number")
    return replace(limits, **values)


def _get_descriptor_limit() -> int:
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return MAX_DESCRIPTORS if soft == resource.RLIM_INFINITY else soft
