"""Follows what the store says of configuration, upstreams and instances."""

import asyncio
import random
from collections.abc import Callable

import structlog

from burdocksail.board import MONITORS, Blackboard, LostUpstream
from burdocksail.catalog import Upstream, UpstreamState
from burdocksail.fleet._registration import PREFIX, decode_member
from burdocksail.ports import (
    HistoryLost,
    Kind,
    Listing,
    ObjectStore,
    StoredObject,
    StoreUnavailable,
    Translator,
)

AUTHORITY_NAME = "authority"
CHALLENGE_PREFIX = "challenge."
# Every watch is a priced call. While one hangs, peers tell of what has changed.
WATCH_WAIT = 25.0  # seconds
# Instances register in bursts, and each event that is awaited alone is a call.
FLEET_PAUSE = 0.3  # seconds between watches of the fleet's objects
RETRY_DELAYS = (0.1, 0.2, 0.4, 0.8)  # seconds, with as much jitter on top
# While this instance has no evidence, it reads anew who else there is.
FLEET_REFRESH = 1.5  # seconds, with as much jitter on top
MISSING_GRACE = 2.5  # seconds; a living server's entry is back within about two
LOST_KEPT = 60.0  # seconds; a change of primary looks back for less
SWEEP_INTERVAL = 0.25  # seconds


class StoreTracker:
    """Keeps the sections on the fleet up to date.

    Parameters
    ----------
    take_authority : callable
        Called with the authority's object whenever it was read.
    take_challenge : callable
        Called with an object by which an instance asks whether there is a leader.
    """

    def __init__(
        self,
        board: Blackboard,
        store: ObjectStore,
        translator: Translator,
        take_authority: Callable[[StoredObject], None],
        take_challenge: Callable[[StoredObject], None],
    ):
        self._board = board
        self._store = store
        self._translator = translator
        self._take_authority = take_authority
        self._take_challenge = take_challenge
        self._random = random.Random(board.member.incarnation)
        self._fleet_due_at = float("-inf")
        self._log = structlog.get_logger()

    async def follow_catalog(self) -> None:
        """Follow the configuration for ever."""
        await self._follow(Kind.CATALOG, self._take_catalogs, self._apply_catalog)

    async def follow_upstreams(self) -> None:
        """Follow the upstreams' entries for ever."""
        await self._follow(Kind.UPSTREAMS, self._take_upstreams, self._apply_upstream)

    async def follow_fleet(self) -> None:
        """Follow the instances and the authority's object for ever.

        In a large fleet only the monitors do, as every event costs a call of
        each watch.
        """
        while True:
            if self._is_fleet_wanted():
                await self._follow(
                    Kind.FLEET,
                    self._take_members,
                    self._apply_fleet,
                    self._is_monitor,
                    FLEET_PAUSE,
                )
            await self._board.changed.wait(SWEEP_INTERVAL)

    async def sweep_missing(self) -> None:
        """Drop entries that stay missing, for ever."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL)
            self._drop_missing()

    def adopt_upstreams(self, items: tuple[StoredObject, ...], revision: int) -> None:
        """Take in a list of entries if it is newer than what is known."""
        if revision > self._board.directory.revision:
            self._take_upstreams(Listing(items, revision))

    def adopt_catalog(self, stored: StoredObject) -> None:
        """Take in a configuration if it is newer than the one in force."""
        self._apply_catalog(stored, removed=False)

    async def _follow(
        self,
        kind: Kind,
        take_listing: Callable[[Listing], None],
        apply: Callable[..., None],
        is_watched: Callable[[], bool] = lambda: True,
        pause: float = 0.0,
    ) -> None:
        """List a kind, and then watch it as long as `is_watched` says so.

        Parameters
        ----------
        pause : float
            Seconds between watches, in which events gather.
        """
        revision: int | None = None
        failures = 0
        while revision is None or is_watched():
            try:
                if revision is None:
                    listing = await self._store.list(kind)
                    take_listing(listing)
                    revision = listing.revision
                else:
                    exact = kind is not Kind.UPSTREAMS or self._is_monitor()
                    events = await self._store.watch(kind, revision, WATCH_WAIT, exact)
                    for event in events.events:
                        apply(event.object, removed=event.removed)
                    revision = max(revision, events.revision)
                    if kind is Kind.UPSTREAMS and events.events:
                        self._note_directory_revision(revision)
            except HistoryLost:
                self._log.info("history lost", kind=kind.value, revision=revision)
                revision = None
            except StoreUnavailable as error:
                self._note_failure(kind, error)
                delay = RETRY_DELAYS[min(failures, len(RETRY_DELAYS) - 1)]
                failures += 1
                await asyncio.sleep(delay * (1 + self._random.random()))
            else:
                failures = 0
                self._note_success(kind)
                await asyncio.sleep(pause)

    def _is_monitor(self) -> bool:
        """Return whether this instance is one of those that peers learn from."""
        board = self._board
        few = board.members.count() <= MONITORS + 1
        return few or board.authority.is_monitor

    def _is_fleet_wanted(self) -> bool:
        now = self._board.now()
        if self._is_monitor():
            return True
        if self._board.authority.has_evidence(now) or now < self._fleet_due_at:
            return False
        self._fleet_due_at = now + FLEET_REFRESH * (1 + self._random.random())
        return True

    def _note_directory_revision(self, revision: int) -> None:
        directory = self._board.directory
        directory.revision = max(directory.revision, revision)

    def _note_success(self, kind: Kind) -> None:
        store = self._board.store
        store.last_success = self._board.now()
        if store.failing_since is not None:
            store.failing_since = None
            self._log.info("store regained", kind=kind.value)
            self._board.changed.notify()

    def _note_failure(self, kind: Kind, error: StoreUnavailable) -> None:
        store = self._board.store
        if store.failing_since is None:
            store.failing_since = self._board.now()
            self._log.warning("store lost", kind=kind.value, reason=str(error))

    def _take_catalogs(self, listing: Listing) -> None:
        for stored in listing.items:
            self._apply_catalog(stored, removed=False)

    def _apply_catalog(self, stored: StoredObject, removed: bool) -> None:
        if removed:
            return
        catalog = self._translator.decode_catalog(stored)
        section = self._board.catalog
        if catalog is None:
            return
        if section.catalog is not None and catalog.version <= section.catalog.version:
            return
        section.catalog = catalog
        section.stored = stored
        self._board.metrics.count("catalogs_in_force")
        self._log.info(
            "configuration in force",
            version=catalog.version,
            routes=len(catalog.routes),
            revision=stored.revision,
        )
        self._board.changed.notify()

    def _take_upstreams(self, listing: Listing) -> None:
        directory = self._board.directory
        present = {stored.name for stored in listing.items}
        for stored in listing.items:
            self._apply_upstream(stored, removed=False)
        for gone in [name for name in directory.upstreams if name not in present]:
            self._mark_missing(gone)
        directory.revision = max(directory.revision, listing.revision)

    def _apply_upstream(self, stored: StoredObject, removed: bool) -> None:
        directory = self._board.directory
        known = directory.stored.get(stored.name)
        if known is not None and stored.revision < known.revision:
            return  # A peer has told of a later change.
        upstream = None if removed else self._translator.decode_upstream(stored)
        if upstream is None:
            directory.stored.pop(stored.name, None)
            self._mark_missing(stored.name)
            return
        directory.stored[stored.name] = stored
        directory.missing_since.pop(upstream.id, None)
        directory.lost.pop(upstream.id, None)
        previous = directory.upstreams.get(upstream.id)
        directory.upstreams[upstream.id] = upstream
        if previous is None or _differs(previous, upstream):
            self._log.info(
                "upstream changed",
                upstream=upstream.id,
                service=upstream.service,
                state=upstream.state.value,
                role=upstream.role.value,
                failure_domain=upstream.failure_domain,
                revision=stored.revision,
            )
            self._board.changed.notify()

    def _mark_missing(self, upstream_id: str) -> None:
        directory = self._board.directory
        upstream = directory.upstreams.get(upstream_id)
        if upstream is None:
            return
        if upstream.state is UpstreamState.DRAINING:
            self._drop(upstream_id)
        else:
            directory.missing_since.setdefault(upstream_id, self._board.now())

    def _drop_missing(self) -> None:
        limit = self._board.now() - MISSING_GRACE
        missing = self._board.directory.missing_since
        for upstream_id in [u for u, since in missing.items() if since < limit]:
            self._note_lost(upstream_id)
            self._drop(upstream_id)

    def _note_lost(self, upstream_id: str) -> None:
        directory = self._board.directory
        now = self._board.now()
        upstream = directory.upstreams[upstream_id]
        directory.lost[upstream_id] = LostUpstream(upstream.service, now)
        for forgotten in [
            u for u, lost in directory.lost.items() if lost.since < now - LOST_KEPT
        ]:
            del directory.lost[forgotten]

    def _drop(self, upstream_id: str) -> None:
        self._board.directory.missing_since.pop(upstream_id, None)
        self._board.directory.upstreams.pop(upstream_id, None)
        self._log.info("upstream gone", upstream=upstream_id)
        self._board.changed.notify()

    def _take_members(self, listing: Listing) -> None:
        self._board.members.registered.clear()
        for stored in listing.items:
            self._apply_fleet(stored, removed=False)

    def _apply_fleet(self, stored: StoredObject, removed: bool) -> None:
        if stored.name == AUTHORITY_NAME:
            if not removed:
                self._take_authority(stored)
            return
        if stored.name.startswith(CHALLENGE_PREFIX) and not removed:
            self._take_challenge(stored)
        if not stored.name.startswith(PREFIX):
            return
        member = None if removed else decode_member(stored.spec)
        if member is None:
            self._board.members.registered.pop(stored.name, None)
        else:
            self._board.members.registered[stored.name] = member
        self._board.changed.notify()


def _differs(previous: Upstream, current: Upstream) -> bool:
    return (
        previous.state is not current.state
        or previous.role is not current.role
        or previous.born != current.born
        or (previous.host, previous.port) != (current.host, current.port)
        or previous.service != current.service
    )
