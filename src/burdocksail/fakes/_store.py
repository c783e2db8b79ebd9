"""In-memory object store with injectable faults.

Calls can fail, be delayed, hang, lose their answer or take effect late. The history
for watches can be discarded, and the store can be restored from an earlier copy of
itself.
"""

import asyncio
import contextlib
from collections import Counter, deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace
from typing import Any

from burdocksail.board import Signal
from burdocksail.ports import (
    FIRST_TIMELINE,
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
STALENESS = 3.0  # seconds by which an answer with `consistent=False` may be behind
COPY_RETENTION = 30.0  # seconds


@dataclass(frozen=True, slots=True)
class _Change:
    revision: int
    kind: ObjectKind
    event: StoreEvent


@dataclass(frozen=True, slots=True)
class _Copy:
    """All objects as they were from `taken_at` until the next copy."""

    taken_at: float
    revision: int
    objects: dict[tuple[ObjectKind, str], StoredObject]


@dataclass(frozen=True, slots=True)
class _LostHistory:
    """Changes that a restoration has discarded.

    Answers that need not be consistent may still be made from them for `STALENESS`
    seconds. They name the present timeline, as all answers do.
    """

    changes: tuple[_Change, ...]
    revision: int
    restored_at: float


@dataclass(slots=True)
class MemoryStore:
    """Objects with revisions, shared by all clients.

    Attributes
    ----------
    changes : list of _Change
        Retained history, from which watches are answered.
    first_retained : int
        Lowest revision whose change is retained.
    timeline : int
        Number of the timeline; rises with each restoration.
    """

    revision: int = 1
    timeline: int = 1
    objects: dict[tuple[ObjectKind, str], StoredObject] = field(default_factory=dict)
    changes: list[_Change] = field(default_factory=list)
    first_retained: int = 1
    changed: Signal = field(default_factory=Signal)
    _copies: deque[_Copy] = field(default_factory=deque)
    _lost: _LostHistory | None = None

    def put(self, kind: ObjectKind, name: str, spec: Mapping[str, Any]) -> StoredObject:
        """Write an object and return what is stored.

        Writing the content that is already stored does not change the revision.
        """
        current = self.objects.get((kind, name))
        if current is not None and current.spec == spec:
            return current
        self.revision += 1
        stored = StoredObject(name, self.revision, dict(spec), self.timeline)
        self.objects[(kind, name)] = stored
        self._record_change(kind, stored, removed=False)
        return stored

    def remove(self, kind: ObjectKind, name: str) -> None:
        """Remove an object, if it exists, under a new revision."""
        stored = self.objects.pop((kind, name), None)
        if stored is not None:
            self.revision += 1
            tombstone = StoredObject(name, self.revision, stored.spec, self.timeline)
            self._record_change(kind, tombstone, removed=True)

    def forget_history(self) -> None:
        """Discard all retained changes, so that earlier watches lose their history."""
        self.changes.clear()
        self.first_retained = self.revision + 1
        self.changed.notify()

    def restore(self, age: float) -> None:
        """Return to the state of `age` seconds ago and begin another timeline.

        What was written since is gone, and its revisions are given out again.
        """
        self._keep_copy()
        limit = asyncio.get_running_loop().time() - age
        copy = self._copies[0]
        while self._copies and self._copies[0].taken_at <= limit:
            copy = self._copies.popleft()
        self._copies.clear()
        lost = tuple(c for c in self.changes if c.revision > copy.revision)
        self._lost = _LostHistory(
            lost, self.revision, asyncio.get_running_loop().time()
        )
        self.revision = copy.revision
        self.timeline += 1
        self.objects = {
            key: StoredObject(o.name, o.revision, o.spec, self.timeline)
            for key, o in copy.objects.items()
        }
        self.changes = [c for c in self.changes if c.revision <= self.revision]
        self._keep_copy()
        self.changed.notify()

    def find_stale_answer(self, kind: ObjectKind, revision: int) -> StoreEvents | None:
        """Return an answer to a watch from before the last restoration, or None."""
        lost = self._lost
        now = asyncio.get_running_loop().time()
        if lost is None or now > lost.restored_at + STALENESS:
            return None
        events = tuple(
            replace(c.event, object=replace(c.event.object, timeline=self.timeline))
            for c in lost.changes
            if c.revision > revision and c.kind is kind
        )
        version = StoreVersion(self.timeline, lost.revision)
        return StoreEvents(events, version) if events else None

    def _keep_copy(self) -> None:
        now = asyncio.get_running_loop().time()
        self._copies.append(_Copy(now, self.revision, dict(self.objects)))
        while self._copies[0].taken_at < now - COPY_RETENTION:
            self._copies.popleft()

    def _record_change(
        self, kind: ObjectKind, stored: StoredObject, removed: bool
    ) -> None:
        self._keep_copy()
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
    change_delay : float
        Seconds after which creations and replacements are applied, if their condition
        still holds; they are not answered. 0 if they are applied at once.
    delay : float
        Seconds that a call takes.
    calls : Counter of ObjectKind
        Number of calls so far.
    timeline : int
        Latest timeline of the store that an answer has reported.
    """

    store: MemoryStore
    down: bool = False
    hangs: bool = False
    lose_answers: bool = False
    change_delay: float = 0.0
    delay: float = ANSWER_DELAY
    calls: Counter[ObjectKind] = field(default_factory=Counter)
    timeline: int = 0
    first_timeline: int = FIRST_TIMELINE
    _late_changes: set[asyncio.Task] = field(default_factory=set)

    async def list(self, kind: ObjectKind) -> Listing:
        """Return all objects of a kind and the current revision."""
        await self._begin_call(kind)
        items = tuple(o for (k, _), o in self.store.objects.items() if k is kind)
        return Listing(items, self._version())

    async def watch(
        self, kind: ObjectKind, revision: int, wait: float, consistent: bool = True
    ) -> StoreEvents:
        """Return the changes after `revision`, waiting up to `wait` seconds for one.

        Raises
        ------
        HistoryLost
            If changes after `revision` have been discarded.
        StoreUnavailable
            If the store is down or the watch hangs, or if the store is restored
            meanwhile.
        """
        await self._begin_call(kind)
        timeline = self.store.timeline
        loop = asyncio.get_running_loop()
        end = loop.time() + wait
        while True:
            if self.hangs:
                await asyncio.sleep(wait)
                raise StoreUnavailable("no answer in time")
            if timeline != self.store.timeline:
                raise StoreUnavailable("the watch was cut off")
            if (
                revision + 1 < self.store.first_retained
                or revision > self.store.revision
            ):
                raise HistoryLost("changes after the revision are not known")
            stale = self.store.find_stale_answer(kind, revision)
            if stale is not None and not consistent:
                return stale
            events = tuple(
                c.event
                for c in self.store.changes
                if c.revision > revision and c.kind is kind
            )
            if events or loop.time() >= end:
                result = StoreEvents(events, self._version())
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
        return await self._change(kind, lambda: self._create(kind, name, spec))

    async def replace(
        self, kind: ObjectKind, name: str, spec: Mapping[str, Any], revision: int | None
    ) -> StoredObject:
        """Replace an object if its revision is `revision`; None matches any.

        Raises
        ------
        StoreConflict
            If it has another revision or does not exist.
        """
        return await self._change(
            kind, lambda: self._replace(kind, name, spec, revision)
        )

    async def delete(self, kind: ObjectKind, name: str, revision: int) -> None:
        """Remove an object if its revision is `revision`.

        Raises
        ------
        StoreConflict
            If it has another revision.
        """
        await self._begin_call(kind)
        current = self.store.objects.get((kind, name))
        if current is not None and current.revision != revision:
            raise StoreConflict("the object has another revision", current)
        self.store.remove(kind, name)

    async def _begin_call(self, kind: ObjectKind) -> None:
        self.calls[kind] += 1
        await asyncio.sleep(self.delay)
        self._check_available()
        self._record_timeline()

    def _version(self) -> StoreVersion:
        self._record_timeline()
        return StoreVersion(self.store.timeline, self.store.revision)

    def _record_timeline(self) -> None:
        self.timeline = self.store.timeline
        self.first_timeline = min(self.first_timeline, self.timeline)

    def _check_available(self) -> None:
        if self.down:
            raise StoreUnavailable("the store is down")

    async def _change(
        self, kind: ObjectKind, change: Callable[[], StoredObject]
    ) -> StoredObject:
        await self._begin_call(kind)
        if self.change_delay > 0.0:
            task = asyncio.create_task(self._change_late(change))
            self._late_changes.add(task)
            task.add_done_callback(self._late_changes.discard)
            raise StoreUnavailable("no answer", outcome_unknown=True)
        stored = change()
        if self.lose_answers:
            raise StoreUnavailable("no answer", outcome_unknown=True)
        return stored

    async def _change_late(self, change: Callable[[], StoredObject]) -> None:
        await asyncio.sleep(self.change_delay)
        with contextlib.suppress(StoreConflict):
            change()

    def _create(
        self, kind: ObjectKind, name: str, spec: Mapping[str, Any]
    ) -> StoredObject:
        current = self.store.objects.get((kind, name))
        if current is not None:
            raise StoreConflict("the object already exists", current)
        return self.store.put(kind, name, spec)

    def _replace(
        self, kind: ObjectKind, name: str, spec: Mapping[str, Any], revision: int | None
    ) -> StoredObject:
        current = self.store.objects.get((kind, name))
        if current is None or (revision is not None and current.revision != revision):
            raise StoreConflict(
                "the object is missing or has another revision", current
            )
        return self.store.put(kind, name, spec)
