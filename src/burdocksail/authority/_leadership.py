"""The work of a leader during one epoch.

It keeps the leader lease by confirming its record in the store, publishes the view
of the primaries, and grants leases on that view to the other instances.
"""

import asyncio
import json
import math
import random
from dataclasses import replace

from burdocksail.authority._allowances import AllowanceIssuer
from burdocksail.authority._follower import Follower
from burdocksail.authority._grantees import Grantee, Grantees
from burdocksail.authority._limits import (
    LEADER_LEASE_DURATION,
    LEASE_DURATION,
    PROMOTION_ORDER_LIFETIME,
    PROMOTION_START_LIMIT,
    REGISTRATION_TIME,
    RENEW_INTERVAL,
    TAKEOVER_TIMEOUT,
)
from burdocksail.authority._record import (
    CHANGES_PER_EPOCH,
    AuthorityRecord,
    EarlierLeader,
    GroupRecord,
    RecordError,
    decode_record,
    encode_record,
    number_change,
)
from burdocksail.authority._speeds import (
    collect_speeds,
    merge_speeds,
    store_shared_speeds,
)
from burdocksail.board import (
    MAX_MONITORS,
    Blackboard,
    GroupState,
    GroupView,
    Member,
    ServerSpeed,
)
from burdocksail.core import BurdocksailError, get_logger
from burdocksail.fleet import (
    INSTANCE_PREFIX,
    Address,
    Allowances,
    Grant,
    Peers,
    Renew,
    SharedSample,
    TakeOver,
    decode_member,
    make_authority_name,
)
from burdocksail.ports import (
    ObjectKind,
    ObjectStore,
    StoreConflict,
    StoredObject,
    StoreUnavailable,
)

CONFIRM_INTERVAL = 1.0  # seconds; several attempts fit into the leader lease
SPEEDS_INTERVAL = 0.2  # seconds; renewals come every 0.3 s
# Seconds between two instances of a failure domain that fetch from another domain.
SOURCE_INTERVAL = 0.5
# Size of a configuration from which every instance reads it from the store. Instances
# fetch it from each other with each change of an upstream, and their links may have
# 2 Mbit/s: a configuration of 1,300 more routes was in force after 6 s.
MAX_RELAYED_BYTES = 64 << 10
MONITORS_INTERVAL = 0.1  # seconds between choices while there are too few monitors
STORE_OUTAGE_LIMIT = 2.5  # seconds without the store until another should lead
# Seconds of silence until an instance's object is removed.
SILENT_INSTANCE_EXPIRY = 60.0


class LeadershipLost(BurdocksailError):
    """Another instance is the leader, or may be."""


class Leadership:
    """Leadership of this instance in one epoch.

    Parameters
    ----------
    stored : StoredObject
        The authority record as this instance's claim left it. Its version gives
        the fencing token of every promotion order of this leadership.
    asked_at : float
        Clock reading from which the leader lease runs, taken before the claim. If
        the store's reply to the claim was lost, it is taken before the record is
        read again, or when `StoreTracker` delivers the record.

    Attributes
    ----------
    changing : set of str
        Services with an unfinished change of primary.
    inherited_changes : frozenset of str
        Services whose change was unfinished when this leadership began, so that a
        promotion order of an earlier leader may be in flight.
    allowances : AllowanceIssuer
        Tokens for the quotas of workspaces.
    unproven_groups : frozenset of str
        Services whose recorded primary may be the present one or may have been
        replaced without a trace, as the store was restored; they are among the
        inherited changes.
    ordered_groups : set of str
        Services among `unproven_groups` for which this leader may have ordered a
        promotion.
    """

    def __init__(
        self,
        board: Blackboard,
        store: ObjectStore,
        peers: Peers,
        follower: Follower,
        stored: StoredObject,
        asked_at: float,
    ):
        record = decode_record(stored.spec)
        self.epoch = record.epoch
        self.first_timeline = record.first_timeline
        self.fencing_token = stored.version.to_number(self.first_timeline)
        self.timeline = stored.timeline
        self.started_at = board.now()
        self.ended = False
        self.views: dict[str, GroupView] = {}
        self.changing = {s for s, g in record.groups.items() if g.changing}
        self.inherited_changes = frozenset(self.changing)
        self.unproven_groups = frozenset(
            service for service, group in record.groups.items() if group.unproven
        )
        self.ordered_groups: set[str] = set()
        self._starts_timeline = record.starts_timeline(stored.timeline)
        unsettled = {e.leader: e.members for e in record.unsettled}
        self.grantees = Grantees(
            board.member,
            self.epoch,
            board.now(),
            unsettled,
            restored_at=board.store.timeline_since if record.restored else None,
        )
        self.grantees.settle(board.now())
        self.allowances = AllowanceIssuer(
            board,
            self.epoch,
            lambda: self.grantees.are_earlier_stopped(board.now()),
            lambda: self.grantees.instances_known,
        )
        # Holds more than one set while a write of the record is unconfirmed; a
        # majority of each is needed.
        self._member_sets = {frozenset(record.members)}
        self._speeds: tuple[ServerSpeed, ...] = ()
        self._speeds_merged_at = float("-inf")
        self._board = board
        self._store = store
        self._peers = peers
        self._follower = follower
        self._revision = stored.revision
        self._record_lock = asyncio.Lock()
        self._record_stale = False
        self._recorded_restored = record.restored
        self._generation = 0
        self._numbered_changes = 0
        self._confirmed_at = asked_at
        self._takeover_requested_at = float("-inf")
        self._monitors: frozenset[Address] = frozenset()
        self._random = random.Random(board.member.incarnation)
        self._source_named_at: dict[str, float] = {}
        self._sized_catalog: StoredObject | None = None
        self._may_relay = True
        self._monitors_chosen_at = -math.inf
        self._log = get_logger().bind(epoch=self.epoch)
        for service, group in record.groups.items():
            state = GroupState.CLOSED if group.changing else GroupState.OPEN
            self.views[service] = GroupView(
                service, group.primary_id, group.change, state
            )

    @property
    def holds_leader_lease(self) -> bool:
        """Return whether no other instance can have promoted a server.

        This takes a record confirmed within `LEADER_LEASE_DURATION`, and renewals
        from a majority of the recorded members.
        """
        now = self._board.now()
        if self.ended or now >= self._confirmed_at + LEADER_LEASE_DURATION:
            return False
        return all(self.grantees.has_majority(m, now) for m in self._member_sets)

    def begin(self) -> None:
        """Apply this leader's view here and push it to every instance."""
        self._log.info(
            "leadership begun",
            fence=self.fencing_token,
            timeline=self.timeline,
            restored=self.is_restored,
            unsettled=[m.name for m in self.grantees.unsettled],
            changing=sorted(self.changing),
        )
        self._board.metrics.count("leaderships")
        self._follower.adopt_leader(self.epoch, self._board.member)
        self.publish()
        self.grant_to_self()

    def end(self, reason: str) -> None:
        """Stop granting leases for good."""
        if not self.ended:
            self.ended = True
            self.allowances.close()
            self._log.info("leadership ended", reason=reason)

    def set_view(self, view: GroupView) -> int:
        """Change the view of one group; return the generation that contains it."""
        self.views[view.service_name] = view
        self.publish()
        return self._generation

    def publish(self) -> None:
        """Apply the view here and push it to every instance as a new generation."""
        self._generation += 1
        groups = tuple(self.views.values())
        self._follower.apply_view(self.epoch, self._generation, groups)
        grant = self._make_grant(echo=0.0, extends_lease=False)
        for address in sorted(self._peer_addresses()):
            monitor = self._is_monitor(address)
            self._peers.send(address, replace(grant, monitor=monitor))

    def handle_renewal(self, renewal: Renew) -> None:
        """Answer a renewal with the view, and extend the lease if that is safe.

        It is safe while this leader holds the leader lease, knows the sender's
        address, and the sender does not follow a later epoch. The view is left
        out if the sender has it already.
        """
        now = self._board.now()
        grantee = self.grantees.record_renewal(renewal, now)
        self.allowances.record_renewal(renewal)
        # A leader that has just begun knows no instances at first.
        has_few = len(self._monitors) < MAX_MONITORS
        if has_few and now >= self._monitors_chosen_at + MONITORS_INTERVAL:
            self._choose_monitors()
        is_known = renewal.member.address in self._peer_addresses()
        extends_lease = (
            self.holds_leader_lease and is_known and renewal.epoch <= self.epoch
        )
        if extends_lease:
            grantee.granted_until = now + LEASE_DURATION
        grant = self._make_grant(renewal.sent_at, extends_lease)
        is_current = (
            renewal.epoch == self.epoch and renewal.generation >= self._generation
        )
        self._peers.send(
            renewal.member.address,
            replace(
                grant,
                leader=None if renewal.epoch == self.epoch else grant.leader,
                groups=None if is_current else grant.groups,
                monitor=self._is_monitor(renewal.member.address),
                source=self._choose_source(renewal),
                allowances=self._answer_demands(renewal),
            ),
        )

    def _choose_source(self, renewal: Renew) -> Member | None:
        """Return an instance to fetch newer objects of the store from.

        One of the sender's failure domain, as objects are large. Where none has them
        yet, one instance at a time fetches from another domain. None if the sender is
        up to date, watches the store itself, or has to wait.
        """
        board = self._board
        is_monitor = self._is_monitor(renewal.member.address)
        if is_monitor or not self._is_catalog_small():
            return None
        catalog = board.catalog.catalog
        timeline = board.latest_timeline
        version = 0 if catalog is None else catalog.version
        revision = board.directory.version_in(timeline).revision

        def is_current(reported: Renew) -> bool:
            return (
                reported.catalog_version >= version
                and reported.directory_revision >= revision
                and reported.store_timeline == timeline
            )

        if is_current(renewal):
            return None
        now = board.now()
        domain = renewal.member.failure_domain
        sources = [
            g.member for g in self.grantees.find_live(now) if is_current(g.renewal)
        ]
        near = [m for m in (*sources, board.member) if m.failure_domain == domain]
        if near:
            return self._random.choice(near)
        if now < self._source_named_at.get(domain, -math.inf) + SOURCE_INTERVAL:
            return None
        self._source_named_at[domain] = now
        return self._random.choice(sources) if sources else board.member

    def _answer_demands(self, renewal: Renew) -> Allowances | None:
        demands = renewal.allowances
        if demands is None or self.ended:
            return None
        return self.allowances.answer(renewal.member, renewal.epoch, demands)

    def grant_to_self(self) -> None:
        """Extend this instance's own lease and update the fleet counts.

        The lease is not extended beyond the leader lease.
        """
        board = self._board
        if self.holds_leader_lease:
            leader_lease_ends = self._confirmed_at + LEADER_LEASE_DURATION
            until = min(board.now() + LEASE_DURATION, leader_lease_ends)
            self._follower.extend_lease(until)
            board.authority.last_grant_at = board.now()
        board.authority.is_monitor = True
        board.members.alive_count = 1 + len(self.grantees.find_live(board.now()))
        board.members.registered_count = len(board.members.registered)
        if board.quotas.bounds is not None:
            now = board.now()
            board.quotas.record_sign(now, now)
            board.quotas.record_answer(now, len(board.members.registered))

    @property
    def is_restored(self) -> bool:
        """Return whether the store was restored a short time before the claim.

        What the record lacks may then have been lost from it.
        """
        return self.grantees.restored_at is not None

    def add_unproven_group(self, service: str, primary_id: str) -> None:
        """Add a closed group whose primary is known only from the servers' entries.

        Its record may have been lost, so the change of primary that is due now asks
        the servers.
        """
        change = self.number_next_change()
        self.changing.add(service)
        self.inherited_changes |= {service}
        self.unproven_groups |= {service}
        self.set_view(GroupView(service, primary_id, change, GroupState.CLOSED))

    def number_next_change(self) -> int:
        """Return a number for a primary's tenure that has never been given before.

        Raises
        ------
        LeadershipLost
            If the numbers of this epoch are used up.
        """
        self._numbered_changes += 1
        if self._numbered_changes >= CHANGES_PER_EPOCH:
            self.end("the numbers for changes of primary are used up")
            raise LeadershipLost("no number is left for a change of primary")
        return number_change(self.epoch, self._numbered_changes)

    def find_earlier_orders_end(self, service: str) -> float:
        """Return the clock reading after which no earlier leader's order can arrive.

        Leaders of earlier timelines could order nothing once theirs had ended, and no
        leader of this one has, where that would be recorded.
        """
        is_unordered = self._starts_timeline or service in self.unproven_groups
        since = self._board.store.timeline_since if is_unordered else self.started_at
        return since + PROMOTION_ORDER_LIFETIME

    def open_group(self, view: GroupView) -> None:
        """Open a group whose primary is known now, at the end of a change."""
        service = view.service_name
        self.changing.discard(service)
        self.inherited_changes -= {service}
        self.unproven_groups -= {service}
        self.ordered_groups.discard(service)
        self.set_view(view)

    def find_unconfirmed(self, generation: int) -> list[str]:
        """Return the names of instances that may use a view older than `generation`."""
        return self.grantees.find_unconfirmed(
            generation, self._registered_addresses(), self._board.now()
        )

    @property
    def earlier_leases_ended(self) -> bool:
        """Return whether no instance can hold a lease of an earlier leader.

        Either all have expired, or all earlier leaders have stopped granting and
        every registered instance has adopted this epoch, which drops its earlier
        lease.
        """
        return self.grantees.are_earlier_leases_ended(
            self._registered_addresses(), self._board.now()
        )

    async def wait_until_instances_known(self) -> None:
        """Wait until every instance registered in the store is known here.

        Any of them may hold a lease of an earlier leader.
        """
        if self.is_restored:
            board = self._board
            listed_at = board.store.timeline_since + REGISTRATION_TIME
            await asyncio.sleep(max(0.0, listed_at - board.now()))
        while not self.ended and not self.grantees.instances_known:
            try:
                listing = await self._store.list(ObjectKind.FLEET)
            except StoreUnavailable:
                await asyncio.sleep(RENEW_INTERVAL)
                continue
            members = self._board.members.registered
            self.grantees.instances_known = all(
                stored.name in members or not stored.name.startswith(INSTANCE_PREFIX)
                for stored in listing.items
            )
            if not self.grantees.instances_known:
                await asyncio.sleep(RENEW_INTERVAL)

    async def keep_leader_lease(self) -> None:
        """Renew the leader lease until the leadership ends.

        Each round confirms or writes the record, chooses the monitors and removes
        the objects of silent instances.
        """
        while not self.ended:
            try:
                if self._is_record_outdated():
                    await self.write_record()
                else:
                    await self._confirm_record()
            except (StoreUnavailable, LeadershipLost) as error:
                self._log.warning("record not confirmed", reason=str(error))
            self._end_if_overtaken()
            self._request_takeover_if_needed()
            self._choose_monitors()
            await self._remove_silent_instances()
            await asyncio.sleep(CONFIRM_INTERVAL)

    async def write_record(self) -> None:
        """Write the authority record to the store.

        It holds the views, the unfinished changes of primary, the members and the
        earlier leaders.

        Raises
        ------
        LeadershipLost
            If another instance is the leader, or may be.
        StoreUnavailable
            If it is not known whether the record was written, or if the store has
            been restored since this leadership was claimed.
        """
        self._require_own_timeline()
        async with self._record_lock:
            self._record_stale = True
            record = self._compose_record()
            self._member_sets.add(frozenset(record.members))
            asked_at = self._board.now()
            try:
                stored = await self._replace(record)
            except StoreConflict:
                await self._confirm_record()
                self._member_sets.add(frozenset(record.members))
                stored = await self._retry_replace(record)
            self._require_own_timeline()
            self._recorded_restored = record.restored
            self._member_sets = {frozenset(record.members)}
            self._revision = stored.revision
            self._confirmed_at = asked_at
            self._record_stale = False

    def check_record(self, stored: StoredObject) -> None:
        """End this leadership if a record read elsewhere has a later epoch."""
        try:
            record = decode_record(stored.spec)
        except RecordError as error:
            self._log.error("record unreadable", reason=str(error))
            return
        if record.epoch > self.epoch:
            self.end(f"epoch {record.epoch} is led by {record.leader.name}")

    @property
    def is_overtaken(self) -> bool:
        """Return whether the store has been restored since the claim.

        This leadership then confirms no record and orders no promotion any more. It
        goes on granting leases until the leader lease ends, or until it is replaced by
        a leadership that is claimed in the present timeline.
        """
        return self._store.timeline > self.timeline

    @property
    def awaits_takeover(self) -> bool:
        """Return whether another instance has been asked to claim and may still do so.

        A change of primary that began now would be left half done, and the next
        leader would have to wait until none of its orders can arrive.
        """
        return self._board.now() - self._takeover_requested_at < TAKEOVER_TIMEOUT

    def request_takeover(self, reason: str) -> None:
        """Ask another instance, if one can reach the store, to claim the leadership."""
        now = self._board.now()
        if now - self._takeover_requested_at < 2 * RENEW_INTERVAL:
            return
        candidates = [
            g.member
            for g in self.grantees.find_live(now)
            if g.renewal.store_works and not g.renewal.leaving
        ]
        if not candidates:
            return
        self._takeover_requested_at = now
        # Of the others it is not known whether the store still answers them.
        chosen = min(
            candidates, key=lambda m: (m.address not in self._monitors, m.name)
        )
        self._log.info("takeover requested", reason=reason, by=chosen.name)
        self._peers.send(chosen.address, TakeOver(self._board.member, self.epoch))

    async def _retry_replace(self, record: AuthorityRecord) -> StoredObject:
        try:
            return await self._replace(record)
        except StoreConflict as error:
            raise LeadershipLost("the record was changed again on retry") from error

    async def _replace(self, record: AuthorityRecord) -> StoredObject:
        name = make_authority_name(self.timeline)
        return await self._store.replace(
            ObjectKind.FLEET, name, encode_record(record), self._revision
        )

    def _require_own_timeline(self) -> None:
        """Raise `StoreUnavailable` if the store has been restored since the claim."""
        if self.is_overtaken:
            raise StoreUnavailable(
                f"the store went from timeline {self.timeline} to "
                f"{self._store.timeline}"
            )

    def _end_if_overtaken(self) -> None:
        """End a leadership that can no longer be carried over to another timeline."""
        since = self._board.store.timeline_since
        is_settled = self._board.now() > since + 2 * PROMOTION_START_LIMIT
        if self.is_overtaken and is_settled and not self.holds_leader_lease:
            self.end("the store was restored, and the leader lease is lost")

    async def _confirm_record(self) -> None:
        asked_at = self._board.now()
        name = make_authority_name(self.timeline)
        stored = await self._store.read(ObjectKind.FLEET, name)
        self._require_own_timeline()
        if stored is None:
            self.end("the record is gone")
            raise LeadershipLost("the record is gone")
        record = decode_record(stored.spec)
        if record.epoch != self.epoch or record.leader != self._board.member:
            self._follower.adopt_leader(record.epoch, record.leader)
            self.end(f"epoch {record.epoch} is led by {record.leader.name}")
            raise LeadershipLost(f"{record.leader.name} is the recorded leader")
        self._member_sets = {frozenset(record.members)}
        self._revision = stored.revision
        self._confirmed_at = asked_at

    def _is_record_outdated(self) -> bool:
        if self._record_stale or self._have_members_changed():
            return True
        return self._recorded_restored and self.earlier_leases_ended

    def _have_members_changed(self) -> bool:
        members = frozenset(self._find_members())
        return any(members != recorded for recorded in self._member_sets)

    def _find_members(self) -> tuple[Member, ...]:
        live = [g.member for g in self.grantees.find_live(self._board.now())]
        return (self._board.member, *sorted(live, key=lambda m: m.address))

    def _compose_record(self) -> AuthorityRecord:
        groups = {
            view.service_name: GroupRecord(
                view.primary_id,
                view.change,
                view.service_name in self.changing,
                view.service_name in self.unproven_groups - self.ordered_groups,
            )
            for view in self.views.values()
        }
        earlier = self.grantees.find_earlier_leaders(self._board.now())
        return AuthorityRecord(
            self.epoch,
            self._board.member,
            self._find_members(),
            tuple(EarlierLeader(*item) for item in earlier.items()),
            groups,
            self.is_restored and not self.earlier_leases_ended,
            self.timeline,
            self.first_timeline,
        )

    async def _remove_silent_instances(self) -> None:
        """Remove the objects of instances that have stopped or were silent for long.

        A new leader has heard from none of them, so their silence counts from the
        beginning of its leadership.
        """
        members = self._board.members
        limit = self._board.now() - SILENT_INSTANCE_EXPIRY
        heard = {a: g.heard_at for a, g in self.grantees.by_address.items()}
        for name, member in list(members.registered.items()):
            silent = heard.get(member.address, self.started_at) < limit
            stopped = members.ended.get(name) == member
            if (silent or stopped) and member != self._board.member and not self.ended:
                await self._remove_instance(name, member)

    async def _remove_instance(self, name: str, member: Member) -> None:
        """Remove the object of an instance unless a later run has registered."""
        try:
            stored = await self._store.read(ObjectKind.FLEET, name)
            if stored is not None:
                if decode_member(stored.spec) != member:
                    return
                await self._store.delete(ObjectKind.FLEET, name, stored.revision)
        except (StoreUnavailable, StoreConflict) as error:
            self._log.info("instance not removed", name=name, reason=str(error))
            return
        self._board.members.registered.pop(name, None)
        self._log.info("instance removed", name=name)

    def _request_takeover_if_needed(self) -> None:
        board = self._board
        if board.stop.requested:
            self.request_takeover("stopping")
        elif self.is_overtaken:
            return  # The store answers here.
        elif board.now() - self._confirmed_at > STORE_OUTAGE_LIMIT:
            self.request_takeover("the store does not answer here")

    def _choose_monitors(self) -> None:
        now = self._board.now()
        self._monitors_chosen_at = now
        self._monitors = self.grantees.choose_monitors(self._monitors, now)

    def _is_monitor(self, address: Address) -> bool:
        all_monitor = len(self.grantees.by_address) <= MAX_MONITORS
        return all_monitor or address in self._monitors

    def _registered_addresses(self) -> set[tuple[str, int]]:
        addresses = self._board.members.find_possible_grantees()
        return addresses - {self._board.member.address}

    def _peer_addresses(self) -> set[tuple[str, int]]:
        return self._board.members.addresses() - {self._board.member.address}

    def _make_grant(self, echo: float, extends_lease: bool) -> Grant:
        board = self._board
        now = board.now()
        catalog = board.catalog.catalog
        timeline = board.latest_timeline
        samples = []
        for index, (_, view) in enumerate(sorted(self.views.items())):
            recent = board.samples.for_service(view.service_name)
            if extends_lease and recent and recent[-1].change == view.change:
                last = recent[-1]
                samples.append(SharedSample(index, last.position, now - last.asked_at))
        live = self.grantees.find_live(now)
        return Grant(
            leader=board.member,
            epoch=self.epoch,
            generation=self._generation,
            echo=echo,
            extends_evidence=extends_lease,
            groups=tuple(self.views.values()),
            alive=1 + len(live),
            catalog_version=0 if catalog is None else catalog.version,
            directory_revision=board.directory.version_in(timeline).revision,
            store_works=board.store.is_available,
            samples=tuple(samples),
            registered=len(board.members.registered),
            monitor=False,
            store_timeline=timeline,
            leader_time=None if board.quotas.bounds is None else now,
            speeds=self._merge_speeds(live, now),
            relays=board.store.is_available and self._is_catalog_small(),
        )

    def _is_catalog_small(self) -> bool:
        stored = self._board.catalog.stored
        if stored is not self._sized_catalog:
            self._sized_catalog = stored
            size = len(json.dumps(stored.spec, default=str))
            self._may_relay = size <= MAX_RELAYED_BYTES
        return self._may_relay

    def _merge_speeds(self, live: list[Grantee], now: float) -> tuple[ServerSpeed, ...]:
        """Return what all instances have learned of servers, merged at intervals."""
        if now >= self._speeds_merged_at + SPEEDS_INTERVAL:
            self._speeds_merged_at = now
            reports = [grantee.renewal.speeds for grantee in live]
            own = collect_speeds(self._board)
            self._speeds = merge_speeds([*reports, own])
            store_shared_speeds(self._board, self._speeds)
        return self._speeds
