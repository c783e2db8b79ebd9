"""Interface of the object store: revisions, conditional writes and watches."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any, Protocol


class ObjectKind(Enum):
    """Kinds of objects; the adapter maps them to the store's own names.

    `CATALOG`: the configuration. `UPSTREAMS`: one entry per server. `FLEET`: this
    project's own objects (instance registrations, challenges, the authority
    record).
    """

    CATALOG = "catalog"
    UPSTREAMS = "upstreams"
    FLEET = "fleet"


@dataclass(frozen=True, slots=True)
class StoredObject:
    """One object of the store.

    Attributes
    ----------
    revision : int
        Revision at which the object last changed; revisions are counted over
        all objects of the store.
    spec : mapping
        Content as JSON values.
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
    """One change of an object; `removed` marks a deletion."""

    object: StoredObject
    removed: bool


@dataclass(frozen=True, slots=True)
class StoreEvents:
    """Changes after a revision, and the revision from which to watch next."""

    events: tuple[StoreEvent, ...]
    revision: int


class ObjectStore(Protocol):
    """Client of the store; every call has a time limit.

    Every call raises `StoreUnavailable` if it gets no usable answer.
    """

    async def list(self, kind: ObjectKind) -> Listing:
        """Return all objects of a kind."""
        ...

    async def watch(
        self, kind: ObjectKind, revision: int, wait: float, consistent: bool = True
    ) -> StoreEvents:
        """Return the changes after `revision`, waiting up to `wait` seconds for one.

        Parameters
        ----------
        consistent : bool
            Whether the answer has to include every change made before the call.
            Otherwise the store may answer with data that is some seconds stale,
            which costs it less.

        Raises
        ------
        HistoryLost
            If the store has discarded changes after `revision`.
        """
        ...

    async def read(self, kind: ObjectKind, name: str) -> StoredObject | None:
        """Return one object, or None if it does not exist."""
        ...

    async def create(
        self, kind: ObjectKind, name: str, spec: Mapping[str, Any]
    ) -> StoredObject:
        """Create an object.

        Raises
        ------
        StoreConflict
            If it already exists.
        """
        ...

    async def replace(
        self, kind: ObjectKind, name: str, spec: Mapping[str, Any], revision: int | None
    ) -> StoredObject:
        """Replace an object if its revision is `revision`; None matches any.

        Raises
        ------
        StoreConflict
            If it has another revision or does not exist.
        """
        ...

    async def delete(self, kind: ObjectKind, name: str, revision: int) -> None:
        """Remove an object if its revision is `revision`.

        Raises
        ------
        StoreConflict
            If it has another revision.
        """
        ...
