"""The store: objects with revisions, conditional changes and watches."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any, Protocol


class Kind(Enum):
    """Kinds of objects; the adapter knows what the store calls them."""

    CATALOG = "catalog"
    UPSTREAMS = "upstreams"
    FLEET = "fleet"


@dataclass(frozen=True, slots=True)
class StoredObject:
    """One object.

    Attributes
    ----------
    revision : int
        Revision of the object's last change, over all objects of the store.
    spec : mapping
        Content, as JSON values.
    """

    name: str
    revision: int
    spec: Mapping[str, Any]


@dataclass(frozen=True, slots=True)
class Listing:
    """All objects of a kind, and the revision at which they were read."""

    items: tuple[StoredObject, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class StoreEvent:
    """One change of an object."""

    object: StoredObject
    removed: bool


@dataclass(frozen=True, slots=True)
class StoreEvents:
    """Changes after a revision, and the revision to go on from."""

    events: tuple[StoreEvent, ...]
    revision: int


class ObjectStore(Protocol):
    """Client of the store; every call is bounded in time.

    Each call raises `StoreUnavailable` if there is no usable answer.
    """

    async def list(self, kind: Kind) -> Listing:
        """Return all objects of a kind."""
        ...

    async def watch(
        self, kind: Kind, revision: int, wait: float, exact: bool = True
    ) -> StoreEvents:
        """Return the changes after `revision`, within `wait` seconds.

        Parameters
        ----------
        exact : bool
            Whether every change must be told of at once; the store may otherwise
            be some seconds behind, which is cheaper for it.

        Raises
        ------
        HistoryLost
            If the store no longer knows what came after `revision`.
        """
        ...

    async def read(self, kind: Kind, name: str) -> StoredObject | None:
        """Return one object, None if it does not exist."""
        ...

    async def create(
        self, kind: Kind, name: str, spec: Mapping[str, Any]
    ) -> StoredObject:
        """Create an object.

        Raises
        ------
        StoreConflict
            If it exists.
        """
        ...

    async def replace(
        self, kind: Kind, name: str, spec: Mapping[str, Any], revision: int | None
    ) -> StoredObject:
        """Replace an object, on condition of its revision unless that is None.

        Raises
        ------
        StoreConflict
            If it has another revision or does not exist.
        """
        ...

    async def delete(self, kind: Kind, name: str, revision: int) -> None:
        """Remove an object, on condition of its revision."""
        ...
