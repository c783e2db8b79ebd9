"""One leadership: its right, its view, its grants, its record in the store."""

import asyncio
from dataclasses import replace

import structlog

from burdocksail.authority._follower import Follower
from burdocksail.authority._grantees import Grantees
from burdocksail.authority._limits import (
    LEADER_LEASE_DURATION,
    LEASE_DURATION,
    RENEW_INTERVAL,
)
from burdocksail.authority._record import (
    AuthorityRecord,
    EarlierLeader,
    GroupRecord,
    RecordError,
    decode_record,
    encode_record,
)
from burdocksail.board import MONITORS, Blackboard, GroupState, GroupView, Member
from burdocksail.core import BurdocksailError
from burdocksail.fleet import (
    AUTHORITY_NAME,
    INSTANCE_PREFIX,
    Address,
    Grant,
    Peers,
    Renew,
    SharedSample,
    TakeOver,
)
from burdocksail.ports import (
    Kind,
    ObjectStore,
    StoreConflict,
    StoredObject,
    StoreUnavailable,
)

CONFIRM_INTERVAL = 1.0  # seconds; several tries fit into the leader's right
STORE_PATIENCE = 2.5  # seconds without the store until another should lead
SILENT_REMOVAL = 60.0  # seconds after which a silent instance's object is removed


class LeadershipLost(BurdocksailError):
    """Another instance leads, or may lead."""


class Leadership:
    """What this instance does while it leads.

    Parameters
    ----------
    stored : StoredObject
        The authority's object as this instance's claim left it. Its revision
        is the fence of every order of this leadership.
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
        self.fence = stored.revision
        self.started_at = board.now()
        self.over = False
        self.views: dict[str, GroupView] = {}
        self.changing = {s for s, g in record.groups.items() if g.changing}
        self.inherited_changes = frozenset(self.changing)
        unsettled = {e.leader: e.members for e in record.unsettled}
        self.grantees = Grantees(board.member, self.epoch, board.now(), unsettled)
        self.grantees.settle(board.now())
        # More than one set while the answer to a change of the record is open.
        self._member_sets = {frozenset(record.members)}
        self._board = board
        self._store = store
        self._peers = peers
        self._follower = follower
        self._revision = stored.revision
        self._record_lock = asyncio.Lock()
        self._record_behind = False
        self._generation = 0
        self._confirmed_at = asked_at
        self._last_takeover = float("-inf")
        self._monitors: frozenset[Address] = frozenset()
        self._log = structlog.get_logger().bind(epoch=self.epoch)
        for service, group in record.groups.items():
            state = GroupState.CLOSED if group.changing else GroupState.OPEN
            self.views[service] = GroupView(
                service, group.primary_id, group.change, state
            )

    @property
    def has_right(self) -> bool:
        """Return whether no other instance can have promoted a server."""
        now = self._board.now()
        if self.over or now >= self._confirmed_at + LEADER_LEASE_DURATION:
            return False
        return all(self.grantees.has_majority(m, now) for m in self._member_sets)

    def begin(self) -> None:
        """Put this leadership's view in force here and tell everybody."""
        self._log.info(
            "leadership begun",
            fence=self.fence,
            unsettled=[m.name for m in self.grantees.unsettled],
            changing=sorted(self.changing),
        )
        self._board.metrics.count("leaderships")
        self._follower.adopt_leader(self.epoch, self._board.member)
        self.publish()
        self.grant_to_self()

    def end(self, reason: str) -> None:
        """Stop granting for good."""
        if not self.over:
            self.over = True
            self._log.info("leadership ended", reason=reason)

    def set_view(self, view: GroupView) -> int:
        """Change the view of one group; return the generation that holds it."""
        self.views[view.service_name] = view
        self.publish()
        return self._generation

    def publish(self) -> None:
        """Put the view in force here and push it to every instance."""
        self._generation += 1
        groups = tuple(self.views.values())
        self._follower.apply_view(self.epoch, self._generation, groups)
        grant = self._make_grant(echo=0.0, extends=False)
        for address in sorted(self._addresses()):
            monitor = self._is_monitor(address)
            self._peers.send(address, replace(grant, monitor=monitor))

    def handle_renewal(self, renewal: Renew) -> None:
        """Answer a renewal with the view, and with evidence if that is safe."""
        now = self._board.now()
        grantee = self.grantees.record_renewal(renewal, now)
        known = renewal.member.address in self._addresses()
        extends = self.has_right and known and renewal.epoch <= self.epoch
        if extends:
            grantee.granted_until = now + LEASE_DURATION
        grant = self._make_grant(renewal.sent_at, extends)
        knows = renewal.epoch == self.epoch and renewal.generation >= self._generation
        self._peers.send(
            renewal.member.address,
            replace(
                grant,
                groups=None if knows else grant.groups,
                monitor=self._is_monitor(renewal.member.address),
            ),
        )

    def grant_to_self(self) -> None:
        """Extend the leader's own evidence, never past its right."""
        board = self._board
        if self.has_right:
            right_ends = self._confirmed_at + LEADER_LEASE_DURATION
            until = min(board.now() + LEASE_DURATION, right_ends)
            self._follower.extend_lease(until)
            board.authority.last_grant = board.now()
        board.authority.is_monitor = True
        board.members.alive = 1 + len(self.grantees.find_live(board.now()))
        board.members.recorded = len(board.members.registered)

    def find_unconfirmed(self, generation: int) -> list[str]:
        """Return who may act on a view older than `generation`."""
        return self.grantees.find_unconfirmed(
            generation, self._registered_addresses(), self._board.now()
        )

    @property
    def is_settled(self) -> bool:
        """Return whether nobody holds evidence of an earlier leader."""
        return self.grantees.are_earlier_leases_expired(
            self._registered_addresses(), self._board.now()
        )

    async def list_instances(self) -> None:
        """Read the registered instances anew, to know who may hold evidence."""
        while not self.over and not self.grantees.instances_listed:
            try:
                listing = await self._store.list(Kind.FLEET)
            except StoreUnavailable:
                await asyncio.sleep(RENEW_INTERVAL)
                continue
            members = self._board.members.registered
            self.grantees.instances_listed = all(
                stored.name in members or not stored.name.startswith(INSTANCE_PREFIX)
                for stored in listing.items
            )
            if not self.grantees.instances_listed:
                await asyncio.sleep(RENEW_INTERVAL)

    async def keep_right(self) -> None:
        """Confirm the record in the store until the leadership is over."""
        while not self.over:
            try:
                if self._record_behind or self._have_members_changed():
                    await self.write_record()
                else:
                    await self._confirm()
            except (StoreUnavailable, LeadershipLost) as error:
                self._log.warning("record not confirmed", reason=str(error))
            self._hand_over_if_needed()
            self._monitors = self.grantees.choose_monitors(
                self._monitors, self._board.now()
            )
            await self._remove_silent()
            await asyncio.sleep(CONFIRM_INTERVAL)

    async def write_record(self) -> None:
        """Write the views and running changes to the store.

        Raises
        ------
        LeadershipLost
            If another instance leads.
        StoreUnavailable
            If it is not known whether the record was written.
        """
        async with self._record_lock:
            self._record_behind = True
            record = self._compose_record()
            self._member_sets.add(frozenset(record.members))
            asked_at = self._board.now()
            try:
                stored = await self._store.replace(
                    Kind.FLEET, AUTHORITY_NAME, encode_record(record), self._revision
                )
            except StoreConflict:
                await self._confirm()
                self._member_sets.add(frozenset(record.members))
                stored = await self._replace_again(record)
            self._member_sets = {frozenset(record.members)}
            self._revision = stored.revision
            self._confirmed_at = asked_at
            self._record_behind = False

    def note_record(self, stored: StoredObject) -> None:
        """End if a record read elsewhere names another leader."""
        try:
            record = decode_record(stored.spec)
        except RecordError as error:
            self._log.error("record unreadable", reason=str(error))
            return
        if record.epoch > self.epoch:
            self.end(f"epoch {record.epoch} is led by {record.leader.name}")

    def ask_to_take_over(self, reason: str) -> None:
        """Ask another instance to claim the leadership."""
        now = self._board.now()
        if now - self._last_takeover < 2 * RENEW_INTERVAL:
            return
        candidates = [
            g.member
            for g in self.grantees.find_live(now)
            if g.renewal.store_works and not g.renewal.leaving
        ]
        if not candidates:
            return
        self._last_takeover = now
        chosen = min(candidates, key=lambda member: member.name)
        self._log.info("takeover asked for", reason=reason, by=chosen.name)
        self._peers.send(chosen.address, TakeOver(self._board.member, self.epoch))

    async def _replace_again(self, record: AuthorityRecord) -> StoredObject:
        try:
            return await self._store.replace(
                Kind.FLEET, AUTHORITY_NAME, encode_record(record), self._revision
            )
        except StoreConflict as error:
            raise LeadershipLost("the record changed twice") from error

    async def _confirm(self) -> None:
        asked_at = self._board.now()
        stored = await self._store.read(Kind.FLEET, AUTHORITY_NAME)
        if stored is None:
            self.end("the record is gone")
            raise LeadershipLost("the record is gone")
        record = decode_record(stored.spec)
        if record.epoch != self.epoch or record.leader != self._board.member:
            self._follower.adopt_leader(record.epoch, record.leader)
            self.end(f"epoch {record.epoch} is led by {record.leader.name}")
            raise LeadershipLost(f"{record.leader.name} leads")
        self._member_sets = {frozenset(record.members)}
        self._revision = stored.revision
        self._confirmed_at = asked_at

    def _have_members_changed(self) -> bool:
        members = frozenset(self._find_members())
        return any(members != recorded for recorded in self._member_sets)

    def _find_members(self) -> tuple[Member, ...]:
        live = [g.member for g in self.grantees.find_live(self._board.now())]
        return (self._board.member, *sorted(live, key=lambda m: m.address))

    def _compose_record(self) -> AuthorityRecord:
        groups = {
            view.service_name: GroupRecord(
                view.primary_id, view.change, view.service_name in self.changing
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
        )

    async def _remove_silent(self) -> None:
        """Remove the objects of instances that are gone."""
        limit = self._board.now() - SILENT_REMOVAL
        if self.over or self.started_at > limit:
            return
        heard = {a: g.heard_at for a, g in self.grantees.by_address.items()}
        for name, member in list(self._board.members.registered.items()):
            silent = heard.get(member.address, limit - 1) < limit
            if silent and member != self._board.member:
                await self._remove_instance(name)

    async def _remove_instance(self, name: str) -> None:
        try:
            stored = await self._store.read(Kind.FLEET, name)
            if stored is not None:
                await self._store.delete(Kind.FLEET, name, stored.revision)
        except (StoreUnavailable, StoreConflict) as error:
            self._log.info("instance not removed", name=name, reason=str(error))
            return
        self._board.members.registered.pop(name, None)
        self._log.info("silent instance removed", name=name)

    def _hand_over_if_needed(self) -> None:
        board = self._board
        if board.stop.requested:
            self.ask_to_take_over("stopping")
        elif board.now() - self._confirmed_at > STORE_PATIENCE:
            self.ask_to_take_over("the store does not answer here")

    def _is_monitor(self, address: Address) -> bool:
        few = len(self.grantees.by_address) <= MONITORS
        return few or address in self._monitors

    def _registered_addresses(self) -> set[tuple[str, int]]:
        addresses = {m.address for m in self._board.members.registered.values()}
        return addresses - {self._board.member.address}

    def _addresses(self) -> set[tuple[str, int]]:
        return self._board.members.addresses() - {self._board.member.address}

    def _make_grant(self, echo: float, extends: bool) -> Grant:
        board = self._board
        now = board.now()
        catalog = board.catalog.catalog
        samples = []
        for view in self.views.values():
            taken = board.samples.of(view.service_name)
            if extends and taken and taken[-1].change == view.change:
                last = taken[-1]
                samples.append(
                    SharedSample(
                        view.service_name,
                        view.change,
                        last.position,
                        now - last.asked_at,
                    )
                )
        return Grant(
            leader=board.member,
            epoch=self.epoch,
            generation=self._generation,
            echo=echo,
            extends_evidence=extends,
            groups=tuple(self.views.values()),
            alive=1 + len(self.grantees.find_live(now)),
            catalog_version=0 if catalog is None else catalog.version,
            directory_revision=board.directory.revision,
            store_works=board.store.works,
            samples=tuple(samples),
            registered=len(board.members.registered),
            monitor=False,
        )
