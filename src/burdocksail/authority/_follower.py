"""Keeps this instance's view and evidence, whoever leads."""

import asyncio
import random

import structlog

from burdocksail.authority._limits import LEASE_DURATION, RENEW_INTERVAL
from burdocksail.board import Blackboard, GroupView, Member, Sample
from burdocksail.fleet import (
    Address,
    Farewell,
    Grant,
    LeaderQuery,
    LeaderReport,
    NotLeader,
    Peers,
    Renew,
    SnapshotExchange,
)

UNREACHABLE_AFTER = 0.25  # seconds beyond the probe that was not answered


REACHED_WINDOW = 1.5  # seconds; several probes in a fleet of usual size


def find_reached(board: Blackboard) -> tuple[str, ...]:
    """Return the services whose primary has answered this instance lately."""
    authority = board.authority
    limit = board.now() - REACHED_WINDOW
    return tuple(
        service
        for service, at in authority.reached.items()
        if at >= limit and service not in authority.unreachable
    )


class Follower:
    """Renews evidence with the leader and applies the leader's view."""

    def __init__(self, board: Blackboard, peers: Peers, snapshots: SnapshotExchange):
        self._board = board
        self._peers = peers
        self._snapshots = snapshots
        self._random = random.Random(board.member.incarnation)
        self._log = structlog.get_logger()

    async def renew_evidence(self) -> None:
        """Send renewals for ever."""
        while True:
            self.send_renewal()
            await asyncio.sleep(RENEW_INTERVAL)

    def send_renewal(self) -> None:
        """Ask the leader for evidence, or everybody who the leader is."""
        board = self._board
        leader = board.authority.leader
        renewal = self._make_renewal()
        own = board.member.address
        if leader is None:
            targets = board.members.pick_addresses(own, self._random)
        else:
            targets = [] if leader.address == own else [leader.address]
        for address in targets:
            self._peers.send(address, renewal)

    def handle_grant(self, grant: Grant, address: Address) -> None:
        """Apply the view of a leader, and extend the evidence if it says so."""
        board = self._board
        authority = board.authority
        self._snapshots.compare(
            address, grant.catalog_version, grant.directory_revision
        )
        if grant.epoch < authority.epoch:
            self._peers.send(
                address, NotLeader(board.member, authority.epoch, authority.leader)
            )
            return
        self.adopt_leader(grant.epoch, grant.leader)
        if grant.groups is None and authority.generation < grant.generation:
            return  # It was meant for an earlier run at this address.
        now = board.now()
        authority.last_grant = now
        authority.is_monitor = grant.monitor
        board.members.alive = max(1, grant.alive)
        board.members.recorded = grant.registered
        pushed = grant.groups is not None and self.apply_view(
            grant.epoch, grant.generation, grant.groups
        )
        if grant.extends_evidence and grant.echo <= now:
            self.extend_evidence(grant.echo + LEASE_DURATION)
            self._take_samples(grant)
        if pushed:
            self.send_renewal()

    def handle_not_leader(self, message: NotLeader) -> None:
        """Learn of a leader from an instance that does not lead."""
        if message.leader is not None and message.epoch > self._board.authority.epoch:
            self.adopt_leader(message.epoch, message.leader)

    def answer_query(self, query: LeaderQuery, address: Address) -> None:
        """Tell a peer whether this instance hears from the leader."""
        board = self._board
        epoch = board.authority.epoch
        report = LeaderReport(board.member, epoch, self.hears_leader())
        self._peers.send(address, report)

    def hears_leader(self) -> bool:
        """Return whether the last renewals were answered."""
        last = self._board.authority.last_grant
        return last is not None and self._board.now() - last < 2 * RENEW_INTERVAL

    def adopt_leader(self, epoch: int, leader: Member) -> None:
        """Follow a leadership with a higher epoch.

        Evidence of the one before is dropped, for its leader may be replaced
        without noticing.
        """
        authority = self._board.authority
        if epoch <= authority.epoch:
            return
        authority.epoch = epoch
        authority.leader = leader
        authority.generation = 0
        authority.evidence_until = float("-inf")
        self._log.info("leader adopted", epoch=epoch, leader=leader.name)
        self._board.changed.notify()
        self.send_renewal()

    def apply_view(
        self, epoch: int, generation: int, groups: tuple[GroupView, ...]
    ) -> bool:
        """Put a newer view in force; return whether it was newer."""
        authority = self._board.authority
        if epoch != authority.epoch or generation <= authority.generation:
            return False
        authority.generation = generation
        known = authority.groups
        authority.groups = {view.service_name: view for view in groups}
        for view in groups:
            previous = known.get(view.service_name)
            if previous == view:
                continue
            if previous is not None and previous.change != view.change:
                self._board.samples.of(view.service_name).clear()
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

    def extend_evidence(self, until: float) -> None:
        """Extend the evidence to an instant of this instance's timer."""
        authority = self._board.authority
        if until > authority.evidence_until:
            lapsed = authority.evidence_until < self._board.now()
            authority.evidence_until = until
            if lapsed:
                self._log.info("evidence regained", epoch=authority.epoch)
                self._board.changed.notify()

    def say_farewell(self) -> None:
        """Drop the evidence for good and tell the leader."""
        authority = self._board.authority
        authority.evidence_until = float("-inf")
        if authority.leader is not None:
            self._peers.send(authority.leader.address, Farewell(self._board.member))

    def _make_renewal(self) -> Renew:
        board = self._board
        authority = board.authority
        catalog = board.catalog.catalog
        limit = board.now() - UNREACHABLE_AFTER
        unreachable = [s for s, t in authority.unreachable.items() if t <= limit]
        return Renew(
            member=board.member,
            sent_at=board.now(),
            epoch=authority.epoch,
            generation=authority.generation,
            catalog_version=0 if catalog is None else catalog.version,
            directory_revision=board.directory.revision,
            store_works=board.store.works,
            busy=tuple(s for s, n in authority.in_flight.items() if n > 0),
            unreachable=tuple(unreachable),
            reached=find_reached(board),
            leaving=board.stop.requested,
        )

    def _take_samples(self, grant: Grant) -> None:
        """Add the leader's samples where this instance has no later one.

        Their age counts from before the renewal left, which is earlier than
        the instant at which the leader stated it.
        """
        groups = self._board.authority.groups
        for shared in grant.samples:
            view = groups.get(shared.service_name)
            if view is None or view.change != shared.change:
                continue
            samples = self._board.samples.of(shared.service_name)
            asked_at = grant.echo - shared.age
            if not samples or samples[-1].asked_at < asked_at:
                samples.append(Sample(asked_at, shared.position, shared.change))
