"""Watches of the store for changes to configuration, upstreams and instances."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

from burdocksail.board import (
    MAX_MONITORS,
    Blackboard,
    DepartedUpstream,
    LostUpstream,
    Member,
    UnconfirmedEntry,
)
from burdocksail.catalog import Upstream, UpstreamState
from burdocksail.core import get_logger
from burdocksail.fleet._registration import (
    INSTANCE_PREFIX,
    decode_member,
    make_object_name,
)
from burdocksail.ports import (
    FIRST_TIMELINE,
    HistoryLost,
    Listing,
    ObjectDecoder,
    ObjectKind,
    ObjectStore,
    StoredObject,
    StoreEvents,
    StoreUnavailable,
    StoreVersion,
)

AUTHORITY_NAME = "authority"
CHALLENGE_PREFIX = "challenge."
# Each watch is a billed call to the store, so it is long. If one gets stuck, peers
# report the changes meanwhile.
WATCH_TIMEOUT = 25.0  # seconds
LEADER_WATCH_TIMEOUT = 2.0  # seconds; if all watches get stuck, the leader finds out
# Instances register in bursts; after a pause one watch returns several events, and
# each watch is a billed call.
FLEET_WATCH_PAUSE = 0.3  # seconds between watches of the fleet's objects
RETRY_DELAYS = (0.1, 0.2, 0.4, 0.8)  # seconds; up to as much random jitter is added
# What every instance needs. Each change costs a call and the size of the object for
# each instance that watches; the configuration of 86 workspaces is 23 kB.
RELAYED_KINDS = (ObjectKind.CATALOG, ObjectKind.UPSTREAMS)
# Seconds without a lease from a leader that hears the store, until an instance watches
# the store itself: two renewals lost in a row.
RELAY_TIMEOUT = 1.0
# An instance that does not watch the fleet's objects lists them while it has no lease.
FLEET_LIST_INTERVAL = 1.5  # seconds; up to as much random jitter is added
# Seconds from the loss of the lease to the first list, with as much random jitter.
FLEET_LIST_DELAY = 0.4
# Seconds without a lease from a leader that answers, until the objects are listed.
MAX_TAKEOVER_TIME = 4.0
MISSING_GRACE = 2.5  # seconds; a live server's entry is back within about two
# Longer than the time over which a change of primary counts lost replicas.
LOST_RETENTION = 60.0  # seconds
POLL_INTERVAL = 0.25  # seconds
MAX_STALE_AGE = 10.0  # seconds by which an answer that need not be consistent is behind
# Seconds in which a server writes its entry again that a restoration has lost, or the
# store removes the entry of a server that is gone.
RESTORED_ENTRY_GRACE = 6.0
DEPARTED_RETENTION = 60.0  # seconds; longer than a restoration goes back
REMOVED_RETENTION = 60.0  # seconds; longer than a restoration goes back
UNLISTED_RETENTION = 15.0  # seconds; outlasts every lease of an earlier timeline


def make_authority_name(timeline: int) -> str:
    """Return the name of the authority record of a timeline of the store.

    Each timeline has a record of its own: a conditional write from an earlier one
    cannot match a revision that has been given out again.
    """
    if timeline <= FIRST_TIMELINE:
        return AUTHORITY_NAME
    return f"{AUTHORITY_NAME}.{timeline}"


@dataclass(frozen=True, slots=True)
class RemovedInstance:
    """An instance whose object was removed; `removed_at` is a clock reading."""

    member: Member
    removed_at: float


@dataclass(frozen=True, slots=True)
class _RunningWatch:
    """A watch that waits for an answer; `started_at` is a clock reading."""

    answer: asyncio.Future
    started_at: float


class _WatchStoppedError(Exception):
    """A watch was stopped because peers tell what changes."""


class StoreTracker:
    """Updates the blackboard with the configuration, upstreams and instances.

    It watches the store for them, and takes newer ones from peers' snapshots.

    Parameters
    ----------
    on_authority : callable
        Called with the authority record, which names the leader and the
        primaries, whenever it has been read.
    on_challenge : callable
        Called with a challenge: the object through which an instance asks
        whether there is a leader.
    """

    def __init__(
        self,
        board: Blackboard,
        store: ObjectStore,
        decoder: ObjectDecoder,
        on_authority: Callable[[StoredObject], None],
        on_challenge: Callable[[StoredObject], None],
    ):
        self._board = board
        self._store = store
        self._decoder = decoder
        self._on_authority = on_authority
        self._on_challenge = on_challenge
        self._random = random.Random(board.member.incarnation)
        self._fleet_list_due_at = float("-inf")
        self._fleet_timeline = 0
        self._removed: dict[str, RemovedInstance] = {}
        self._peer_timeline = 0
        self._watches: dict[ObjectKind, _RunningWatch] = {}
        self._started_at = board.now()
        self._leased_at = float("-inf")
        self._log = get_logger()

    async def watch_catalog(self) -> None:
        """Keep track of the configuration, until cancelled."""
        await self._list_and_follow(
            ObjectKind.CATALOG,
            self._apply_catalog_list,
            self._apply_catalog,
            self._find_catalog_version,
        )

    async def watch_upstreams(self) -> None:
        """Keep track of the entries of upstreams, until cancelled."""
        await self._list_and_follow(
            ObjectKind.UPSTREAMS,
            self._apply_upstream_list,
            self._apply_upstream,
            lambda: self._board.directory.version,
        )

    async def watch_fleet(self) -> None:
        """Watch the fleet's objects, until cancelled.

        These are the instances' objects, the authority record and the challenges.
        In a large fleet only the monitors watch, as every event costs a store call
        of each watching instance; the others list the objects while they have no
        lease.
        """
        while True:
            if self._is_fleet_due():
                await self._list_and_watch(
                    ObjectKind.FLEET,
                    self._apply_fleet_list,
                    self._apply_fleet,
                    self._should_watch_fleet,
                    FLEET_WATCH_PAUSE,
                )
            await self._board.changed.wait(POLL_INTERVAL)

    async def expire_missing(self) -> None:
        """Drop upstreams missing for more than `MISSING_GRACE`, until cancelled.

        They are recorded as lost. What a restoration of the store has left in doubt
        is settled here as well, once its own time is over.
        """
        while True:
            await asyncio.sleep(POLL_INTERVAL)
            # Another controller's call may have shown it while the watches wait.
            self._record_timeline()
            if self._is_leader():
                # Those begun before the leadership wait for longer.
                self._restart_watches(min_age=2 * LEADER_WATCH_TIMEOUT)
            if not self.should_watch_store():
                self._stop_relayed_watches()
            self._drop_expired()
            self._apply_unconfirmed()
            self._drop_unlisted()

    def adopt_upstreams(
        self, items: tuple[StoredObject, ...], version: StoreVersion
    ) -> None:
        """Apply a peer's list of entries if it is newer than the known one."""
        if version > self._board.directory.version:
            self._apply_upstream_list(Listing(items, version))
            self._advance_directory(version)

    def handle_peer_timeline(self, timeline: int) -> None:
        """Start all watches again if a peer knows a later timeline of the store.

        A watch that was waiting while the store was restored may stay unanswered.
        """
        if timeline > max(self._peer_timeline, self._board.store.timeline):
            self._peer_timeline = timeline
            self._restart_watches()

    def adopt_catalog(self, stored: StoredObject) -> None:
        """Apply a peer's configuration if it is newer than the one in force."""
        self._apply_catalog(stored, removed=False)

    async def _list_and_follow(
        self,
        kind: ObjectKind,
        apply_listing: Callable[[Listing], None],
        apply_object: Callable[..., None],
        find_version: Callable[[], StoreVersion],
    ) -> None:
        """List a kind of objects, then watch it while no leader relays its changes.

        Parameters
        ----------
        find_version : callable
            Returns the version up to which changes are known from peers.
        """
        version: StoreVersion | None = None
        while True:
            version = await self._list_and_watch(
                kind,
                apply_listing,
                apply_object,
                self.should_watch_store,
                version=version,
            )
            while not self.should_watch_store():
                await asyncio.sleep(POLL_INTERVAL)
            version = max(version, find_version())

    async def _list_and_watch(
        self,
        kind: ObjectKind,
        apply_listing: Callable[[Listing], None],
        apply_object: Callable[..., None],
        should_watch: Callable[[], bool],
        pause: float = 0.0,
        version: StoreVersion | None = None,
    ) -> StoreVersion:
        """List a kind of objects, then watch it while `should_watch` returns true.

        Parameters
        ----------
        pause : float
            Seconds between watches; the next watch returns all events of the pause
            at once.
        version : StoreVersion, optional
            Version from which to watch; by default the objects are listed first.

        Returns
        -------
        StoreVersion
            Version up to which changes are known.
        """
        failures = 0
        while version is None or should_watch():
            try:
                if version is None:
                    listing = await self._store.list(kind)
                    self._record_timeline()
                    self._require_present_timeline(listing.version)
                    apply_listing(listing)
                    version = listing.version
                else:
                    events = await self._watch(kind, version)
                    for event in events.events:
                        apply_object(event.object, removed=event.removed)
                    version = max(version, events.version)
                    if kind is ObjectKind.UPSTREAMS and events.events:
                        self._advance_directory(_find_last_change(events))
            except _WatchStoppedError:
                pass  # Peers tell what changes from now on.
            except HistoryLost as error:
                self._log.info(
                    "history lost",
                    kind=kind.value,
                    revision=version.revision,
                    timeline=version.timeline,
                    reason=str(error),
                )
                version = None
            except StoreUnavailable as error:
                self._record_failure(kind, error)
                delay = RETRY_DELAYS[min(failures, len(RETRY_DELAYS) - 1)]
                failures += 1
                await asyncio.sleep(delay * (1 + self._random.random()))
            else:
                failures = 0
                self._record_success(kind)
                await asyncio.sleep(pause)
            finally:
                self._record_timeline()
        return version

    async def _watch(self, kind: ObjectKind, version: StoreVersion) -> StoreEvents:
        """Return the changes after a version.

        Raises
        ------
        HistoryLost
            If they are not known, or the store has been restored since: a revision
            of an earlier timeline says nothing about the present one.
        """
        if version.timeline != self._board.store.timeline:
            raise HistoryLost("the store was restored before the watch")
        consistent = kind is not ObjectKind.UPSTREAMS or not self._accepts_stale()
        timeout = LEADER_WATCH_TIMEOUT if self._is_leader() else WATCH_TIMEOUT
        watch = asyncio.ensure_future(
            self._store.watch(kind, version.revision, timeout, consistent)
        )
        self._watches[kind] = _RunningWatch(watch, self._board.now())
        try:
            await asyncio.wait((watch,))
        finally:
            del self._watches[kind]
            watch.cancel()
        if watch.cancelled():
            if not self._should_watch(kind):
                raise _WatchStoppedError
            raise HistoryLost("the watch was stopped")
        events = watch.result()
        self._record_timeline()
        if events.version.timeline != version.timeline:
            raise HistoryLost("the answer is of another timeline")
        return events

    def _accepts_stale(self) -> bool:
        """Return whether entries of upstreams may be some seconds stale.

        That costs the store less, and peers learn of changes from the instances that
        watch the fleet's objects. After a restoration such an answer may hold the
        revisions of the earlier timeline under the number of the present one.
        """
        restored_at = self._board.store.timeline_since
        is_settled = (
            not self._board.store.is_restored
            or self._board.now() > restored_at + MAX_STALE_AGE
        )
        return is_settled and not self._should_watch_fleet()

    def _require_present_timeline(self, version: StoreVersion) -> None:
        """Raise `StoreUnavailable` for an answer that a restoration has overtaken."""
        if version.timeline < self._board.store.timeline:
            raise StoreUnavailable("the answer is of an earlier timeline")

    def _restart_watches(self, min_age: float = 0.0) -> None:
        """Stop the watches that have waited for `min_age` seconds, and list again."""
        limit = self._board.now() - min_age
        for watch in self._watches.values():
            if watch.started_at <= limit:
                watch.answer.cancel()

    def _stop_relayed_watches(self) -> None:
        for kind in RELAYED_KINDS:
            if kind in self._watches:
                self._watches[kind].answer.cancel()

    def _find_catalog_version(self) -> StoreVersion:
        stored = self._board.catalog.stored
        return StoreVersion(0, 0) if stored is None else stored.version

    def _is_leader(self) -> bool:
        return self._board.authority.leader == self._board.member

    def _should_watch_fleet(self) -> bool:
        """Return whether this instance watches the fleet's objects.

        A monitor does, and so does every instance of a fleet of up to
        `MAX_MONITORS` + 1.
        """
        board = self._board
        is_small_fleet = board.members.count() <= MAX_MONITORS + 1
        return is_small_fleet or board.authority.is_monitor

    def should_watch_store(self) -> bool:
        """Return whether this instance watches the configuration and the upstreams.

        Monitors do. The others learn of changes from the leader and fetch them from
        an instance of their failure domain. They watch while they hear no leader that
        hears the store, and after a restoration until the store has answered them.
        """
        if self._should_watch_fleet():
            return True
        if self._peer_timeline > self._board.store.timeline:
            return True
        now = self._board.now()
        authority = self._board.authority
        if authority.last_grant_at is None:
            return now > self._started_at + RELAY_TIMEOUT
        return now > authority.relayed_at + RELAY_TIMEOUT

    def _should_watch(self, kind: ObjectKind) -> bool:
        return kind not in RELAYED_KINDS or self.should_watch_store()

    def _is_fleet_due(self) -> bool:
        now = self._board.now()
        if self._should_watch_fleet():
            return True
        if self._fleet_timeline < self._board.store.timeline:
            # A restoration may have lost this instance's own object.
            return now >= self._fleet_list_due_at
        authority = self._board.authority
        if authority.has_valid_lease(now):
            self._leased_at = now
            # The next leader mostly sends its grants within this time.
            delay = FLEET_LIST_DELAY * (1 + self._random.random())
            self._fleet_list_due_at = max(self._fleet_list_due_at, now + delay)
            return False
        if now < self._fleet_list_due_at:
            return False
        heard_at = authority.last_grant_at
        if heard_at is not None and now < min(
            heard_at + RELAY_TIMEOUT, self._leased_at + MAX_TAKEOVER_TIME
        ):
            return False  # The leader is there, and has another one take over.
        self._fleet_list_due_at = now + FLEET_LIST_INTERVAL * (
            1 + self._random.random()
        )
        return True

    def _advance_directory(self, version: StoreVersion) -> None:
        directory = self._board.directory
        directory.version = max(directory.version, version)

    def _record_timeline(self) -> None:
        """Record that an answer has shown that the store was restored."""
        section = self._board.store
        section.first_timeline = min(section.first_timeline, self._store.first_timeline)
        if self._store.timeline > section.timeline:
            self._log.info(
                "store timeline",
                timeline=self._store.timeline,
                previous=section.timeline,
            )
            section.timeline = self._store.timeline
            section.timeline_since = self._board.now()
            self._fleet_list_due_at = self._board.now() + (
                FLEET_LIST_INTERVAL * self._random.random()
            )
            self._restart_watches()
            self._board.changed.notify()

    def _record_success(self, kind: ObjectKind) -> None:
        store = self._board.store
        store.last_success = self._board.now()
        if store.failing_since is not None:
            store.failing_since = None
            self._log.info("store regained", kind=kind.value)
            self._board.changed.notify()

    def _record_failure(self, kind: ObjectKind, error: StoreUnavailable) -> None:
        store = self._board.store
        if store.failing_since is None:
            store.failing_since = self._board.now()
            self._log.warning("store lost", kind=kind.value, reason=str(error))

    def _apply_catalog_list(self, listing: Listing) -> None:
        for stored in listing.items:
            self._apply_catalog(stored, removed=False)

    def _apply_catalog(self, stored: StoredObject, removed: bool) -> None:
        if removed:
            return
        stored = self._decoder.conceal_secrets(stored)
        catalog = self._decoder.decode_catalog(stored)
        section = self._board.catalog
        if catalog is None:
            return
        if section.catalog is not None and catalog.version <= section.catalog.version:
            if catalog.version < section.catalog.version:
                self._log.info(
                    "earlier configuration ignored",
                    version=catalog.version,
                    in_force=section.catalog.version,
                    revision=stored.revision,
                    timeline=stored.timeline,
                )
            return
        section.catalog = catalog
        section.stored = stored
        self._board.metrics.count("catalogs_in_force")
        self._log.info(
            "configuration in force",
            version=catalog.version,
            routes=len(catalog.routes),
            revision=stored.revision,
            timeline=stored.timeline,
        )
        self._board.changed.notify()

    def _apply_upstream_list(self, listing: Listing) -> None:
        directory = self._board.directory
        if listing.version < directory.version:
            return  # A later list is known from a peer's snapshot.
        if not directory.is_listed:
            directory.first_timeline = listing.version.timeline
        elif self._is_known(listing):
            return  # A later version without a change would make all peers fetch it.
        present = {stored.name for stored in listing.items}
        for stored in listing.items:
            self._apply_upstream(stored, removed=False)
        for gone in [name for name in directory.upstreams if name not in present]:
            self._mark_missing(gone)
        self._advance_directory(listing.version)

    def _is_known(self, listing: Listing) -> bool:
        """Return whether a list of the same timeline holds just what is known."""
        directory = self._board.directory
        known = {name: stored.version for name, stored in directory.stored.items()}
        return (
            listing.version.timeline == directory.version.timeline
            and known == {stored.name: stored.version for stored in listing.items}
            and not directory.missing_since
        )

    def _apply_upstream(self, stored: StoredObject, removed: bool) -> None:
        directory = self._board.directory
        upstream = None if removed else self._decoder.decode_upstream(stored)
        if self._is_superseded(stored, upstream):
            return
        directory.unconfirmed.pop(stored.name, None)
        if upstream is None:
            directory.stored.pop(stored.name, None)
            self._mark_missing(stored.name)
            return
        directory.stored[stored.name] = stored
        directory.missing_since.pop(upstream.id, None)
        directory.lost.pop(upstream.id, None)
        directory.departed.pop(upstream.id, None)
        previous = directory.upstreams.get(upstream.id)
        directory.upstreams[upstream.id] = upstream
        if upstream.state is UpstreamState.DRAINING:
            directory.draining_since.setdefault(upstream.id, self._board.now())
        else:
            directory.draining_since.pop(upstream.id, None)
        if previous is None or _differs(previous, upstream):
            self._log.info(
                "upstream changed",
                upstream=upstream.id,
                service=upstream.service,
                state=upstream.state.value,
                role=upstream.role.value,
                failure_domain=upstream.failure_domain,
                started_at_ms=upstream.started_at_ms,
                sequence=upstream.sequence,
                revision=stored.revision,
                timeline=stored.timeline,
            )
            self._board.changed.notify()

    def _is_superseded(self, stored: StoredObject, upstream: Upstream | None) -> bool:
        """Return whether a later state of an entry is known than the one read.

        Within a timeline the revisions tell. The copy from which a store is restored
        may be older than what is known, under any revision; what tells then is the
        order in which the server itself made its reports.
        """
        directory = self._board.directory
        known = directory.stored.get(stored.name)
        if known is not None and stored.timeline == known.timeline:
            return stored.version < known.version
        if known is not None and stored.timeline < known.timeline:
            return True
        if upstream is None:
            return False
        current = directory.upstreams.get(stored.name)
        departed = directory.departed.get(stored.name)
        if current is not None and known is not None:
            is_older = upstream.report_order < current.report_order
        elif departed is not None and departed.timeline < stored.timeline:
            is_older = upstream.report_order <= departed.upstream.report_order
        else:
            return False
        if is_older:
            self._log.info(
                "earlier entry not applied",
                upstream=stored.name,
                state=upstream.state.value,
                sequence=upstream.sequence,
                revision=stored.revision,
                timeline=stored.timeline,
            )
            entry = directory.unconfirmed.get(stored.name)
            if entry is None or entry.stored != stored:
                entry = UnconfirmedEntry(stored, self._board.now())
                directory.unconfirmed[stored.name] = entry
        return is_older

    def _apply_unconfirmed(self) -> None:
        """Apply entries that a restored store still holds unchanged.

        A server that is gone has lost its entry by now, and one that has reported
        anything else since has written it again.
        """
        directory = self._board.directory
        limit = self._board.now() - RESTORED_ENTRY_GRACE
        for name, entry in list(directory.unconfirmed.items()):
            if entry.since < limit:
                directory.stored.pop(name, None)
                directory.upstreams.pop(name, None)
                directory.departed.pop(name, None)
                self._apply_upstream(entry.stored, removed=False)

    def _drop_unlisted(self) -> None:
        members = self._board.members
        limit = self._board.now() - UNLISTED_RETENTION
        for name in [n for n, at in members.unlisted_since.items() if at < limit]:
            del members.unlisted_since[name]
            members.registered.pop(name, None)
            self._log.info("instance not registered again", name=name)
            self._board.changed.notify()

    def _mark_missing(self, upstream_id: str) -> None:
        directory = self._board.directory
        upstream = directory.upstreams.get(upstream_id)
        if upstream is None:
            return
        if upstream.state is UpstreamState.DRAINING:
            self._drop_upstream(upstream_id)
        else:
            directory.missing_since.setdefault(upstream_id, self._board.now())

    def _drop_expired(self) -> None:
        limit = self._board.now() - MISSING_GRACE
        missing = self._board.directory.missing_since
        for upstream_id in [u for u, since in missing.items() if since < limit]:
            self._record_lost(upstream_id)
            self._drop_upstream(upstream_id)

    def _record_lost(self, upstream_id: str) -> None:
        directory = self._board.directory
        now = self._board.now()
        upstream = directory.upstreams[upstream_id]
        directory.lost[upstream_id] = LostUpstream(upstream.service, now)
        for expired in [
            u
            for u, lost in directory.lost.items()
            if lost.lost_at < now - LOST_RETENTION
        ]:
            del directory.lost[expired]

    def _drop_upstream(self, upstream_id: str) -> None:
        directory = self._board.directory
        now = self._board.now()
        directory.missing_since.pop(upstream_id, None)
        directory.draining_since.pop(upstream_id, None)
        upstream = directory.upstreams.pop(upstream_id)
        timeline = directory.version.timeline
        directory.departed[upstream_id] = DepartedUpstream(upstream, timeline, now)
        for expired in [
            u
            for u, departed in directory.departed.items()
            if departed.departed_at < now - DEPARTED_RETENTION
        ]:
            del directory.departed[expired]
        self._log.info("upstream gone", upstream=upstream_id)
        self._board.changed.notify()

    def _apply_fleet_list(self, listing: Listing) -> None:
        members = self._board.members
        listed = {stored.name for stored in listing.items}
        if listing.version.timeline > self._fleet_timeline:
            self._keep_unlisted(listed)
            self._find_ended(listing)
            self._fleet_timeline = listing.version.timeline
        else:
            for name in members.registered.keys() - listed:
                self._record_removed(name)
        members.registered = {
            name: member
            for name, member in members.registered.items()
            if name in members.unlisted_since
        }
        for stored in listing.items:
            self._apply_fleet(stored, removed=False)

    def _keep_unlisted(self, listed: set[str]) -> None:
        """Keep the instances that the copy of a restored store does not have.

        They register again if they run. This instance's own object is not kept, so
        that it is written again.
        """
        members = self._board.members
        now = self._board.now()
        own = make_object_name(self._board.member)
        for name in members.registered:
            if name not in listed and name != own:
                members.unlisted_since.setdefault(name, now)

    def _find_ended(self, listing: Listing) -> None:
        """Record which instances of the copy had stopped already."""
        members = self._board.members
        limit = self._board.now() - REMOVED_RETENTION
        self._removed = {n: r for n, r in self._removed.items() if r.removed_at > limit}
        stopped = {name: removed.member for name, removed in self._removed.items()}
        stopped.update(members.ended)
        listed = {stored.name: decode_member(stored.spec) for stored in listing.items}
        members.ended = {
            name: member
            for name, member in stopped.items()
            if listed.get(name) == member
        }

    def _record_removed(self, name: str) -> None:
        members = self._board.members
        members.ended.pop(name, None)
        member = members.registered.get(name)
        if member is not None:
            self._removed[name] = RemovedInstance(member, self._board.now())

    def _apply_fleet(self, stored: StoredObject, removed: bool) -> None:
        if stored.name == make_authority_name(stored.timeline):
            if not removed:
                self._on_authority(stored)
            return
        if stored.name.startswith(CHALLENGE_PREFIX) and not removed:
            self._on_challenge(stored)
        if not stored.name.startswith(INSTANCE_PREFIX):
            return
        self._board.members.unlisted_since.pop(stored.name, None)
        member = None if removed else decode_member(stored.spec)
        if member is None:
            self._record_removed(stored.name)
            self._board.members.registered.pop(stored.name, None)
        else:
            self._board.members.registered[stored.name] = member
        self._board.changed.notify()


def _find_last_change(events: StoreEvents) -> StoreVersion:
    """Return the version of the last of some events.

    Instances that have read the same events at different times agree on it, but for a
    removal, whose own version may not be known.
    """
    if any(event.removed for event in events.events):
        return events.version
    return max(event.object.version for event in events.events)


def _differs(previous: Upstream, current: Upstream) -> bool:
    return (
        previous.state is not current.state
        or previous.role is not current.role
        or previous.started_at_ms != current.started_at_ms
        or (previous.host, previous.port) != (current.host, current.port)
        or previous.service != current.service
    )
