"""Identity of an instance and its rank in rendezvous hashing.

An instance keeps the promises that it has made to others in memory only and
loses them when it restarts, although it keeps its name. Its identity is
therefore the pair of name and incarnation: a restarted instance is a new one.
"""

from collections.abc import Iterable
from dataclasses import dataclass

import xxhash


@dataclass(frozen=True, slots=True, order=True)
class Instance:
    """One running process of the proxy.

    Used by `node`; `board.Member` is its counterpart in `serving` and
    `authority`.

    Attributes
    ----------
    name : str
        Name from the settings; it stays the same across restarts.
    incarnation : str
        Random string generated when the process starts.
    failure_domain : str
        Failure domain from the settings.
    host : str
        IP address to which other instances send messages.
    port : int
        TCP port to which other instances send messages.
    """

    name: str
    incarnation: str
    failure_domain: str
    host: str
    port: int

    @property
    def key(self) -> str:
        """Return the identity as ``name/incarnation``."""
        return f"{self.name}/{self.incarnation}"


def weigh_instance(key: str, instance: Instance) -> int:
    """Return the rendezvous weight of `instance` for `key`.

    The hash does not cover the incarnation, so an instance keeps its rank when
    it restarts.
    """
    return xxhash.xxh64_intdigest(f"{key}|{instance.name}".encode())


def rank_instances(key: str, instances: Iterable[Instance]) -> list[Instance]:
    """Return `instances` by descending rendezvous weight for `key`."""
    return sorted(
        instances,
        key=lambda instance: (weigh_instance(key, instance), instance.key),
        reverse=True,
    )
