"""Keeps this instance's view of the primaries and its lease on that view.

Every instance runs a follower, the leader included.
"""

import asyncio
import random
from dataclasses import replace
from typing import Protocol

from burdocksail.authority._limits import (
    LEASE_DURATION,
    MAX_RENEWAL_DELAY,
    PROMOTION_ORDER_LIFETIME,
    RENEW_INTERVAL,
)
from burdocksail.authority._speeds import collect_speeds, store_shared_speeds
from burdocksail.board import Blackboard, GroupState, GroupView, Member, Sample
from burdocksail.core import get_logger
from burdocksail.fleet import (
    Address,
    AllowanceDemands,
    Allowances,
    Farewell,
    Grant,
    LeaderQuery,
    LeaderReport,
    NotLeader,
    Peers,
    Renew,
    SnapshotExchange,
)
from burdocksail.ports import StoreVersion

# Seconds from the first failed probe until a primary is reported unreachable.
UNREACHABLE_REPORT_DELAY = 0.25


# Seconds; several probes of a monitor. In a small fleet every instance is one.
REACHED_WINDOW = 1.5


def find_reached_services(board: Blackboard) -> tuple[str, ...]:
    """Return the services whose primary answered here within `REACHED_WINDOW`.

    Services in `AuthoritySection.unreachable` are left out.
    """
    authority = board.authority
    limit = board.now() - REACHED_WINDOW
    return tuple(
        service
        for service, at in authority.reached.items()
        if at >= limit and service not in authority.unreachable
    )


class AllowanceClient(Protocol):
    """Wants tokens for the quotas of workspaces, and is given them."""

    def collect_demands(self) -> AllowanceDemands | None:
        """Return the demands for the next renewal, None without any."""

    def record_round_trip(self, seconds: float) -> None:
        """Record the time from a renewal to its answer."""

    def receive(self, epoch: int, allowances: Allowances) -> None:
        """Add the tokens of an answer."""


class Follower:
    """Renews the lease with the leader and applies the leader's view."""

    def __init__(
        self,
        board: Blackboard,
        peers: Peers,
        snapshots: SnapshotExchange,
        allowances: AllowanceClient,
    ):
        self._board = board
        self._peers = peers
        self._snapshots = snapshots
        self._allowances = allowances
        self._random = random.Random(board.member.incarnation)
        self._started_at = board.now()
        self._adopted_at = float("-inf")
        self._has_released = False
        self._log = get_logger()

    async def keep_lease(self) -> None:
        """Send a renewal every `RENEW_INTERVAL`; does not return."""
        while True:
            self.send_renewal()
            await asyncio.sleep(RENEW_INTERVAL)

    def send_renewal(self) -> None:
        """Ask the leader to extend the lease, or other instances who the leader is.

        Does nothing once the lease has been released.
        """
        if self._has_released:
            return
        board = self._board
        leader = board.authority.leader
        renewal = self._make_renewal()
        own = board.member.address
        if leader is None:
            targets = board.members.sample_addresses(own, self._random)
        else:
            targets = [] if leader.address == own else [leader.address]
            if targets:
                demands = self._allowances.collect_demands()
                renewal = replace(renewal, allowances=demands)
        for address in targets:
            self._peers.send(address, renewal)

    def handle_grant(self, grant: Grant, address: Address) -> None:
        """Apply the view of a leader, and extend the lease if the grant does.

        The lease runs from the sending of the renewal, so it expires here before
        the leader counts it as expired. A renewal that was sent before the start of
        this incarnation was another's: the leader may not count on this one.
        """
        board = self._board
        authority = board.authority
        self._snapshots.record_peer_versions(
            address,
            grant.catalog_version,
            StoreVersion(grant.store_timeline, grant.directory_revision),
        )
        if grant.epoch < authority.epoch:
            self._peers.send(
                address, NotLeader(board.member, authority.epoch, authority.leader)
            )
            return
        if grant.leader is not None:
            self.adopt_leader(grant.epoch, grant.leader)
        elif grant.epoch > authority.epoch:
            return  # It answers an earlier incarnation at this address.
        self._record_sign(grant)
        if grant.allowances is not None:
            self._allowances.receive(grant.epoch, grant.allowances)
        if grant.groups is None and authority.generation < grant.generation:
            return  # It answers an earlier incarnation at this address.
        now = board.now()
        authority.last_grant_at = now
        authority.is_monitor = grant.monitor
        if grant.extends_evidence:
            authority.relayed_at = now if grant.relays else float("-inf")
        if grant.source is not None:
            self._snapshots.fetch_soon(grant.source.address)
        board.members.alive_count = max(1, grant.alive)
        board.members.registered_count = grant.registered
        store_shared_speeds(board, grant.speeds)
        applied = grant.groups is not None and self.apply_view(
            grant.epoch, grant.generation, grant.groups
        )
        if grant.extends_evidence and self._started_at <= grant.echo <= now:
            self.extend_lease(grant.echo + LEASE_DURATION)
            self._merge_samples(grant)
        if applied:
            self.send_renewal()

    def handle_not_leader(self, message: NotLeader) -> None:
        """Learn of a leader from an instance that does not lead."""
        if message.leader is not None and message.epoch > self._board.authority.epoch:
            self.adopt_leader(message.epoch, message.leader)

    def answer_query(self, query: LeaderQuery, address: Address) -> None:
        """Report to a peer whether this instance hears from the leader."""
        board = self._board
        epoch = board.authority.epoch
        report = LeaderReport(board.member, epoch, self.hears_leader())
        self._peers.send(address, report)

    def hears_leader(self) -> bool:
        """Return whether the leader gave a sign in the last two renewal intervals.

        `AuthoritySection.last_grant_at` says which signs count.
        """
        last = self._board.authority.last_grant_at
        return last is not None and self._board.now() - last < 2 * RENEW_INTERVAL

    def adopt_leader(self, epoch: int, leader: Member) -> None:
        """Follow a leader of a higher epoch; ignore one of the same or a lower.

        The lease granted by the previous leader is dropped, as that leader may
        have been replaced without noticing.
        """
        authority = self._board.authority
        if epoch <= authority.epoch:
            return
        self._board.quotas.change_leader(self._board.now(), epoch)
        authority.epoch = epoch
        authority.leader = leader
        authority.generation = 0
        authority.lease_expires_at = float("-inf")
        self._adopted_at = self._board.now()
        self._log.info("leader adopted", epoch=epoch, leader=leader.name)
        self._board.changed.notify()
        self.send_renewal()

    def apply_view(
        self, epoch: int, generation: int, groups: tuple[GroupView, ...]
    ) -> bool:
        """Apply a view if it is newer than the present one; return whether it was."""
        authority = self._board.authority
        if epoch != authority.epoch or generation <= authority.generation:
            return False
        authority.generation = generation
        known = authority.groups
        authority.groups = {view.service_name: view for view in groups}
        for view in groups:
            self._estimate_opening(view)
            previous = known.get(view.service_name)
            if previous == view:
                continue
            if previous is not None and not previous.has_same_tenure(view):
                self._board.samples.for_service(view.service_name).clear()
                authority.unreachable.pop(view.service_name, None)
                authority.reached.pop(view.service_name, None)
            self._log.info(
                "group view",
                service=view.service_name,
                primary=view.primary_id,
                change=view.change,
                state=view.state.value,
                epoch=epoch,
                generation=generation,
            )
        self._board.changed.notify()
        return True

    def _estimate_opening(self, view: GroupView) -> None:
        """Record the earliest time at which a group that is closed can open again.

        It is known if the change of primary was begun by an earlier leader: the new
        leader waits until no order of the earlier one can arrive.
        """
        now = self._board.now()
        opens_not_before = self._board.authority.opens_not_before
        is_inherited = self._board.authority.generation == 1
        if view.state is GroupState.OPEN:
            opens_not_before.pop(view.service_name, None)
        elif is_inherited and now - self._adopted_at < MAX_RENEWAL_DELAY:
            # The leader began at most one renewal before this instance adopted it.
            wait = PROMOTION_ORDER_LIFETIME - MAX_RENEWAL_DELAY
            opens_not_before[view.service_name] = now + wait

    def extend_lease(self, until: float) -> None:
        """Extend the lease until a reading of this instance's clock.

        A lease that has been released is not extended.
        """
        authority = self._board.authority
        if until > authority.lease_expires_at and not self._has_released:
            had_expired = authority.lease_expires_at < self._board.now()
            authority.lease_expires_at = until
            authority.has_held_lease = True
            if had_expired:
                self._log.info("lease regained", epoch=authority.epoch)
                self._board.changed.notify()

    def release_lease(self) -> None:
        """Drop the lease for good and notify the other instances.

        Neither the present leader nor a later one then waits for it to expire.
        """
        self._has_released = True
        board = self._board
        board.authority.lease_expires_at = float("-inf")
        for address in sorted(board.members.addresses() - {board.member.address}):
            self._peers.send(address, Farewell(board.member))

    def _record_sign(self, grant: Grant) -> None:
        """Record what counts for the quotas: a sign of the leader, or an answer."""
        quotas = self._board.quotas
        if grant.leader_time is None or quotas.bounds is None:
            return
        now = self._board.now()
        quotas.record_sign(now, grant.leader_time)
        if self._started_at <= grant.echo <= now:
            quotas.record_answer(now, grant.registered)
            self._allowances.record_round_trip(now - grant.echo)

    def _make_renewal(self) -> Renew:
        board = self._board
        former_heard_at = board.quotas.former_heard_at
        authority = board.authority
        catalog = board.catalog.catalog
        timeline = board.latest_timeline
        limit = board.now() - UNREACHABLE_REPORT_DELAY
        unreachable = [s for s, t in authority.unreachable.items() if t <= limit]
        return Renew(
            member=board.member,
            sent_at=board.now(),
            epoch=authority.epoch,
            generation=authority.generation,
            catalog_version=0 if catalog is None else catalog.version,
            directory_revision=board.directory.version_in(timeline).revision,
            store_works=board.store.is_available,
            busy=tuple(s for s, n in authority.in_flight.items() if n > 0),
            unreachable=tuple(unreachable),
            reached=find_reached_services(board),
            leaving=board.stop.requested,
            store_timeline=timeline,
            leader_time=board.quotas.leader_time,
            former_silence=(
                None if former_heard_at is None else board.now() - former_heard_at
            ),
            speeds=collect_speeds(board),
        )

    def _merge_samples(self, grant: Grant) -> None:
        """Add the leader's position samples where this instance has no later one.

        Their age is counted back from the sending of the renewal. The leader
        computed it later, so no sample is dated later than it was taken.
        """
        authority = self._board.authority
        if authority.generation != grant.generation:
            return
        views = [view for _, view in sorted(authority.groups.items())]
        for shared in grant.samples:
            if not 0 <= shared.view < len(views):
                continue
            view = views[shared.view]
            samples = self._board.samples.for_service(view.service_name)
            asked_at = grant.echo - shared.age
            if not samples or samples[-1].asked_at < asked_at:
                samples.append(Sample(asked_at, shared.position, view.change))
