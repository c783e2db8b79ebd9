"""In-memory object store with injectable faults.

Calls can fail, be delayed, hang or lose their answer, and the history for
watches can be discarded.
"""

import asyncio
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from burdocksail.board import Signal
from burdocksail.ports import (
    HistoryLost,
    Listing,
    ObjectKind,
    StoreConflict,
    StoredObject,
    StoreEvent,
    StoreEvents,
    StoreUnavailable,
    StoreVersion,
)

ANSWER_DELAY = 0.004  # seconds
STALENESS = 3.0  # seconds of delay of an answer to a watch with `consistent=False`


@dataclass(frozen=True, slots=True)
class _Change:
    revision: int
    kind: ObjectKind
    event: StoreEvent


@dataclass(slots=True)
class MemoryStore:
    """Objects with revisions, shared by all clients.

    Attributes
    ----------
    changes : list of _Change
        Retained history, from which watches are answered.
    first_retained : int
        Lowest revision whose change is retained.
    """

    revision: int = 1
    objects: dict[tuple[ObjectKind, str], StoredObject] = field(default_factory=dict)
    changes: list[_Change] = field(default_factory=list)
    first_retained: int = 1
    changed: Signal = field(default_factory=Signal)

    def put(self, kind: ObjectKind, name: str, spec: Mapping[str, Any]) -> StoredObject:
        """Write an object and return what is stored.

        Writing the content that is already stored does not change the revision.
        """
        current = self.objects.get((kind, name))
        if current is not None and current.spec == spec:
            return current
        self.revision += 1
        stored = StoredObject(name, self.revision, dict(spec))
        self.objects[(kind, name)] = stored
        self._record_change(kind, stored, removed=False)
        return stored

    def remove(self, kind: ObjectKind, name: str) -> None:
        """Remove an object, if it exists, under a new revision."""
        stored = self.objects.pop((kind, name), None)
        if stored is not None:
            self.revision += 1
            tombstone = StoredObject(name, self.revision, stored.spec)
            self._record_change(kind, tombstone, removed=True)

    def forget_history(self) -> None:
        """Discard all retained changes, so that earlier watches lose their history."""
        self.changes.clear()
        self.first_retained = self.revision + 1
        self.changed.notify()

    def _record_change(
        self, kind: ObjectKind, stored: StoredObject, removed: bool
    ) -> None:
        self.changes.append(_Change(self.revision, kind, StoreEvent(stored, removed)))
        self.changed.notify()


@dataclass(slots=True)
class MemoryStoreClient:
    """One instance's client of the store.

    Attributes
    ----------
    down : bool
        Whether all calls fail.
    hangs : bool
        Whether watches time out without an answer.
    lose_answers : bool
        Whether creations and replacements are applied but not answered.
    delay : float
        Seconds that a call takes.
    calls : Counter of ObjectKind
        Number of calls so far.
    """

    store: MemoryStore
    down: bool = False
    hangs: bool = False
    lose_answers: bool = False
    delay: float = ANSWER_DELAY
    calls: Counter[ObjectKind] = field(default_factory=Counter)
    timeline: int = 0

    async def list(self, kind: ObjectKind) -> Listing:
        """Return all objects of a kind and the current revision."""
        await self._begin_call(kind)
        items = tuple(o for (k, _), o in self.store.objects.items() if k is kind)
        return Listing(items, StoreVersion(0, self.store.revision))

    async def watch(
        self, kind: ObjectKind, revision: int, wait: float, consistent: bool = True
    ) -> StoreEvents:
        """Return the changes after `revision`, waiting up to `wait` seconds for one.

        Raises
        ------
        HistoryLost
            If changes after `revision` have been discarded.
        StoreUnavailable
            If the store is down or the watch hangs.
        """
        await self._begin_call(kind)
        loop = asyncio.get_running_loop()
        end = loop.time() + wait
        while True:
            if self.hangs:
                await asyncio.sleep(wait)
                raise StoreUnavailable("no answer in time")
            if revision + 1 < self.store.first_retained:
                raise HistoryLost("changes after the revision were discarded")
            events = tuple(
                c.event
                for c in self.store.changes
                if c.revision > revision and c.kind is kind
            )
            if events or loop.time() >= end:
                result = StoreEvents(events, StoreVersion(0, self.store.revision))
                if events and not consistent:
                    await asyncio.sleep(STALENESS)
                return result
            await self.store.changed.wait(min(0.2, end - loop.time()))
            self._check_available()

    async def read(self, kind: ObjectKind, name: str) -> StoredObject | None:
        """Return one object, or None if it does not exist."""
        await self._begin_call(kind)
        return self.store.objects.get((kind, name))

    async def create(
        self, kind: ObjectKind, name: str, spec: Mapping[str, Any]
    ) -> StoredObject:
        """Create an object.

        Raises
        ------
        StoreConflict
            If it already exists.
        """
        await self._begin_call(kind)
        current = self.store.objects.get((kind, name))
        if current is not None:
            raise StoreConflict("the object already exists", current)
        return self._answer(self.store.put(kind, name, spec))

    async def replace(
        self, kind: ObjectKind, name: str, spec: Mapping[str, Any], revision: int | None
    ) -> StoredObject:
        """Replace an object if its revision is `revision`; None matches any.

        Raises
        ------
        StoreConflict
            If it has another revision or does not exist.
        """
        await self._begin_call(kind)
        current = self.store.objects.get((kind, name))
        if current is None or (revision is not None and current.revision != revision):
            raise StoreConflict(
                "the object is missing or has another revision", current
            )
        return self._answer(self.store.put(kind, name, spec))

    async def delete(self, kind: ObjectKind, name: str, revision: int) -> None:
        """Remove an object, whatever its revision."""
        await self._begin_call(kind)
        self.store.remove(kind, name)

    async def _begin_call(self, kind: ObjectKind) -> None:
        self.calls[kind] += 1
        await asyncio.sleep(self.delay)
        self._check_available()

    def _check_available(self) -> None:
        if self.down:
            raise StoreUnavailable("the store is down")

    def _answer(self, stored: StoredObject) -> StoredObject:
        if self.lose_answers:
            raise StoreUnavailable("no answer", outcome_unknown=True)
        return stored
