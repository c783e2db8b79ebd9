"""Identity of an instance and its rendezvous rank for a key.

An instance that restarts keeps its name but not its memory. Promises made
before the restart are lost with the memory, so the identity used everywhere is
the pair of name and incarnation, and a restarted instance is a new one.
"""

from collections.abc import Iterable
from dataclasses import dataclass

import xxhash


@dataclass(frozen=True, slots=True, order=True)
class Instance:
    """One process of the proxy.

    Attributes
    ----------
    name : str
        Name from the settings, stable over restarts.
    incarnation : str
        Random string drawn when the process starts.
    failure_domain : str
        Failure domain from the settings.
    host : str
        IP address for messages of other instances.
    port : int
        TCP port for messages of other instances.
    """

    name: str
    incarnation: str
    failure_domain: str
    host: str
    port: int

    @property
    def key(self) -> str:
        """Return the identity of this incarnation."""
        return f"{self.name}/{self.incarnation}"


def weigh_instance(key: str, instance: Instance) -> int:
    """Return the rendezvous weight of `instance` for `key`.

    The hash covers the name only, so that a restarted instance gets back the
    same place.
    """
    return xxhash.xxh64_intdigest(f"{key}|{instance.name}".encode())


def rank_instances(key: str, instances: Iterable[Instance]) -> list[Instance]:
    """Order instances by rendezvous weight for `key`, best first."""
    return sorted(
        instances,
        key=lambda instance: (weigh_instance(key, instance), instance.key),
        reverse=True,
    )
