"""Interface of the object store: revisions, conditional writes and watches."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any, Protocol

# Of a store that has never been restored, unless an answer has named timeline 0.
FIRST_TIMELINE = 1
MAX_TIMELINE = 10**5  # numbers counted from a timeline have 64 bits in messages
REVISIONS_PER_TIMELINE = 10**12


class ObjectKind(Enum):
    """Kinds of objects; the adapter maps them to the store's own names.

    `CATALOG`: the configuration. `UPSTREAMS`: one entry per server. `FLEET`: this
    project's own objects (instance registrations, challenges, the authority
    record).
    """

    CATALOG = "catalog"
    UPSTREAMS = "upstreams"
    FLEET = "fleet"


@dataclass(frozen=True, slots=True, order=True)
class StoreVersion:
    """State of the store that an answer describes; a later state compares greater.

    Attributes
    ----------
    timeline : int
        Number that rises whenever the store is restored from an earlier copy of
        itself. Revisions of different timelines are unrelated.
    revision : int
        Revision within the timeline.
    """

    timeline: int = 0
    revision: int = 0

    def to_number(self, first_timeline: int = FIRST_TIMELINE) -> int:
        """Return a number that is greater for a later version.

        It is the revision itself while the store has never been restored.
        """
        restored = count_from_timeline(
            self.timeline, REVISIONS_PER_TIMELINE, first_timeline
        )
        return restored + self.revision

    @classmethod
    def from_number(cls, number: int) -> "StoreVersion":
        """Return the version that `to_number` gives the number of."""
        earlier, revision = divmod(number, REVISIONS_PER_TIMELINE)
        return cls(FIRST_TIMELINE + earlier, revision) if number else cls()


def count_from_timeline(
    timeline: int, counts: int, first_timeline: int = FIRST_TIMELINE
) -> int:
    """Return the number after which a counter goes on in a timeline.

    It is above all numbers that the counter had in earlier timelines, also those
    that a restoration of the store has lost.

    Parameters
    ----------
    counts : int
        Numbers that the counter may use in one timeline.
    first_timeline : int
        Timeline with which the store began, 0 or `FIRST_TIMELINE`.
    """
    return max(0, timeline - first_timeline) * counts


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
    timeline : int
        Timeline of the store in which the object was read.
    """

    name: str
    revision: int
    spec: Mapping[str, Any]
    timeline: int = 0

    @property
    def version(self) -> StoreVersion:
        """Return the state of the store in which the object last changed."""
        return StoreVersion(self.timeline, self.revision)


@dataclass(frozen=True, slots=True)
class Listing:
    """All objects of a kind, and the version of the store that was read."""

    items: tuple[StoredObject, ...]
    version: StoreVersion


@dataclass(frozen=True, slots=True)
class StoreEvent:
    """One change of an object; `removed` marks a deletion."""

    object: StoredObject
    removed: bool


@dataclass(frozen=True, slots=True)
class StoreEvents:
    """Changes after a revision, and the version from which to watch next."""

    events: tuple[StoreEvent, ...]
    version: StoreVersion


class ObjectStore(Protocol):
    """Client of the store; every call has a time limit.

    Every call raises `StoreUnavailable` if it gets no usable answer.

    Attributes
    ----------
    timeline : int
        Latest timeline of the store that any answer has reported.
    first_timeline : int
        0 if an answer has reported timeline 0, else `FIRST_TIMELINE`.
    """

    timeline: int
    first_timeline: int

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
