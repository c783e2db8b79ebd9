"""Workspaces: the teams that share a fleet, and the keys that identify them.

Keys are kept as keyed digests only, so that no log, dump or snapshot can show one.
"""

from dataclasses import dataclass, field

DIGEST_BYTES = 16
SALT_BYTES = 16


@dataclass(frozen=True, slots=True)
class Workspace:
    """A team whose callers identify themselves by keys.

    Attributes
    ----------
    name : str
        Name that servers are told.
    rate : float or None
        Operations per second that it may run, over all instances; None sets no
        limit.
    burst : float
        Operations that it may run at once beyond the rate.
    priority : int
        Priority among the workspaces; 0 is the highest.
    """

    name: str
    rate: float | None = None
    burst: float = 0.0
    priority: int = 1


def digest_key(key: str, salt: bytes) -> str:
    """Return the keyed digest of a caller's key, as hexadecimal digits."""
    # The first use imports it: it loads libcrypto, which takes 4 ms of processor time.
    from hashlib import blake2b

    payload = key.encode("utf-8", "surrogatepass")
    return blake2b(payload, key=salt, digest_size=DIGEST_BYTES).hexdigest()


@dataclass(frozen=True, slots=True)
class Workspaces:
    """All workspaces of a configuration.

    Attributes
    ----------
    by_name : dict of str to Workspace
        The workspaces.
    salt : bytes
        Key of the digests.
    owners : dict of str to str
        Name of the workspace that holds a key, by the key's digest.
    """

    by_name: dict[str, Workspace] = field(default_factory=dict)
    salt: bytes = b""
    owners: dict[str, str] = field(default_factory=dict)

    def find_owner(self, key: str) -> str | None:
        """Return the name of the workspace that holds a key, None if none does.

        The lookup compares digests, so its duration tells nothing about the key.
        """
        return self.owners.get(digest_key(key, self.salt))
