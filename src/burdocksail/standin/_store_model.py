"""In-memory model of the platform's versioned key-value store.

Writes are compare-and-set on an object's version; watches report changed objects.
"""

from collections import Counter
from dataclasses import dataclass, field

from burdocksail.node import (
    GetObject,
    ListedInstance,
    ListInstances,
    ListObjects,
    PutObject,
    StoredObject,
    StoreOperation,
    StoreReply,
    StoreStatus,
    WatchObjects,
)
from burdocksail.ports import FIRST_TIMELINE

MAX_VALUE_BYTES = 1_000_000


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """All objects of a store as they were at a revision."""

    objects: dict[str, StoredObject]
    revision: int


@dataclass(slots=True)
class StoreModel:
    """The store's objects by key.

    The version of an object is the store revision at which it was last written.

    Attributes
    ----------
    instances : tuple of ListedInstance
        Instances that the platform reports.
    calls : Counter of str
        Operations so far, by the name of their class.
    timeline : int
        Number that every reply names; it rises with each restoration.
    """

    objects: dict[str, StoredObject] = field(default_factory=dict)
    revision: int = 0
    instances: tuple[ListedInstance, ...] = ()
    calls: Counter[str] = field(default_factory=Counter)
    timeline: int = FIRST_TIMELINE

    def perform(self, operation: StoreOperation) -> StoreReply | None:
        """Perform an operation; return its reply, None for a watch without changes."""
        self.calls[type(operation).__name__] += 1
        return _OPERATION_HANDLERS[type(operation)](self, operation)

    def take_copy(self) -> StoreCopy:
        """Return a copy of all objects, from which the store can be restored."""
        return StoreCopy(dict(self.objects), self.revision)

    def restore(self, copy: StoreCopy) -> None:
        """Return to the state of a copy.

        What was written since is gone, and its revisions are given out again.
        """
        self.objects = dict(copy.objects)
        self.revision = copy.revision
        self.timeline += 1

    def make_reply(
        self,
        status: StoreStatus,
        objects: tuple[StoredObject, ...] = (),
        instances: tuple[ListedInstance, ...] = (),
    ) -> StoreReply:
        """Return a reply that names the present revision and timeline."""
        return StoreReply(status, objects, self.revision, instances, self.timeline)


def perform_watch(store: StoreModel, operation: WatchObjects) -> StoreReply | None:
    """Return the changes since a watch's revision, or None if there are none.

    A revision that the store does not have is answered with ``MISSING``.
    """
    if operation.after_revision > store.revision:
        return store.make_reply(StoreStatus.MISSING)
    changed = tuple(
        sorted(
            (
                stored
                for stored in store.objects.values()
                if stored.key.startswith(operation.prefix)
                and stored.version > operation.after_revision
            ),
            key=lambda stored: stored.version,
        )
    )
    return store.make_reply(StoreStatus.OK, changed) if changed else None


def _perform_get(store: StoreModel, operation: GetObject) -> StoreReply:
    stored = store.objects.get(operation.key)
    if stored is None:
        return store.make_reply(StoreStatus.MISSING)
    return store.make_reply(StoreStatus.OK, (stored,))


def _perform_put(store: StoreModel, operation: PutObject) -> StoreReply:
    current = store.objects.get(operation.key)
    version = current.version if current is not None else 0
    if version != operation.expected_version:
        objects = (current,) if current is not None else ()
        return store.make_reply(StoreStatus.CONFLICT, objects)
    store.revision += 1
    stored = StoredObject(operation.key, store.revision, operation.value)
    store.objects[operation.key] = stored
    return store.make_reply(StoreStatus.OK, (stored,))


def _perform_list(store: StoreModel, operation: ListObjects) -> StoreReply:
    found = tuple(
        stored
        for key, stored in sorted(store.objects.items())
        if key.startswith(operation.prefix)
    )
    return store.make_reply(StoreStatus.OK, found)


def _perform_list_instances(store: StoreModel, operation: ListInstances) -> StoreReply:
    return store.make_reply(StoreStatus.OK, instances=store.instances)


_OPERATION_HANDLERS = {
    GetObject: _perform_get,
    PutObject: _perform_put,
    ListObjects: _perform_list,
    WatchObjects: perform_watch,
    ListInstances: _perform_list_instances,
}
