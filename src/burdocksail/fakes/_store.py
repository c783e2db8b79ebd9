"""A store in memory, with the ways in which a store lets its callers down."""

import asyncio
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from burdocksail.board import Signal
from burdocksail.ports import (
    HistoryLost,
    Kind,
    Listing,
    StoreConflict,
    StoredObject,
    StoreEvent,
    StoreEvents,
    StoreUnavailable,
)

ANSWER_DELAY = 0.004  # seconds
STALENESS = 3.0  # seconds that a watch which need not be exact is behind


@dataclass(frozen=True, slots=True)
class _Change:
    revision: int
    kind: Kind
    event: StoreEvent


@dataclass(slots=True)
class MemoryStore:
    """Objects with revisions, shared by all clients."""

    revision: int = 1
    objects: dict[tuple[Kind, str], StoredObject] = field(default_factory=dict)
    changes: list[_Change] = field(default_factory=list)
    first_known: int = 1
    changed: Signal = field(default_factory=Signal)

    def put(self, kind: Kind, name: str, spec: Mapping[str, Any]) -> StoredObject:
        """Write an object; writing the same again changes nothing."""
        known = self.objects.get((kind, name))
        if known is not None and known.spec == spec:
            return known
        self.revision += 1
        stored = StoredObject(name, self.revision, dict(spec))
        self.objects[(kind, name)] = stored
        self._note(kind, stored, removed=False)
        return stored

    def remove(self, kind: Kind, name: str) -> None:
        """Remove an object."""
        stored = self.objects.pop((kind, name), None)
        if stored is not None:
            self.revision += 1
            gone = StoredObject(name, self.revision, stored.spec)
            self._note(kind, gone, removed=True)

    def forget_history(self) -> None:
        """Discard what a watch could go on from."""
        self.changes.clear()
        self.first_known = self.revision + 1
        self.changed.notify()

    def _note(self, kind: Kind, stored: StoredObject, removed: bool) -> None:
        self.changes.append(_Change(self.revision, kind, StoreEvent(stored, removed)))
        self.changed.notify()


@dataclass(slots=True)
class MemoryStoreClient:
    """One instance's way to the store.

    Attributes
    ----------
    down : bool
        Whether calls are refused.
    lose_answers : bool
        Whether changes are made without an answer.
    hangs : bool
        Whether watches say nothing until their time is over.
    calls : Counter of Kind
        Calls so far.
    """

    store: MemoryStore
    down: bool = False
    hangs: bool = False
    lose_answers: bool = False
    delay: float = ANSWER_DELAY
    calls: Counter[Kind] = field(default_factory=Counter)

    async def list(self, kind: Kind) -> Listing:
        """Return all objects of a kind."""
        await self._travel(kind)
        items = tuple(o for (k, _), o in self.store.objects.items() if k is kind)
        return Listing(items, self.store.revision)

    async def watch(
        self, kind: Kind, revision: int, wait: float, exact: bool = True
    ) -> StoreEvents:
        """Return the changes after a revision."""
        await self._travel(kind)
        loop = asyncio.get_running_loop()
        end = loop.time() + wait
        while True:
            if self.hangs:
                await asyncio.sleep(wait)
                raise StoreUnavailable("no answer in time")
            if revision + 1 < self.store.first_known:
                raise HistoryLost("discarded")
            events = tuple(
                c.event
                for c in self.store.changes
                if c.revision > revision and c.kind is kind
            )
            if events or loop.time() >= end:
                result = StoreEvents(events, self.store.revision)
                if events and not exact:
                    await asyncio.sleep(STALENESS)
                return result
            await self.store.changed.wait(min(0.2, end - loop.time()))
            self._check()

    async def read(self, kind: Kind, name: str) -> StoredObject | None:
        """Return one object."""
        await self._travel(kind)
        return self.store.objects.get((kind, name))

    async def create(
        self, kind: Kind, name: str, spec: Mapping[str, Any]
    ) -> StoredObject:
        """Create an object."""
        await self._travel(kind)
        known = self.store.objects.get((kind, name))
        if known is not None:
            raise StoreConflict("exists", known)
        return self._answer(self.store.put(kind, name, spec))

    async def replace(
        self, kind: Kind, name: str, spec: Mapping[str, Any], revision: int | None
    ) -> StoredObject:
        """Replace an object."""
        await self._travel(kind)
        known = self.store.objects.get((kind, name))
        if known is None or (revision is not None and known.revision != revision):
            raise StoreConflict("another revision", known)
        return self._answer(self.store.put(kind, name, spec))

    async def delete(self, kind: Kind, name: str, revision: int) -> None:
        """Remove an object."""
        await self._travel(kind)
        self.store.remove(kind, name)

    async def _travel(self, kind: Kind) -> None:
        self.calls[kind] += 1
        await asyncio.sleep(self.delay)
        self._check()

    def _check(self) -> None:
        if self.down:
            raise StoreUnavailable("down")

    def _answer(self, stored: StoredObject) -> StoredObject:
        if self.lose_answers:
            raise StoreUnavailable("no answer", unknown=True)
        return stored
