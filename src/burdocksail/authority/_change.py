"""A change of primary: a failover, or a planned switchover.

The steps: record the change, hold the group if the change is planned, close it,
make sure that no instance can still acknowledge work of the old primary, choose the
replica with the latest log position, order its promotion, wait until it is primary,
open the group.
"""

import asyncio
from dataclasses import replace

from burdocksail.authority._candidates import NoCandidate, Survey, choose_candidate
from burdocksail.authority._inspection import InspectedServer, Inspector
from burdocksail.authority._leadership import Leadership, LeadershipLost
from burdocksail.authority._limits import (
    PROMOTION_ORDER_LIFETIME,
    PROMOTION_START_LIMIT,
)
from burdocksail.board import Blackboard, GroupState, GroupView
from burdocksail.catalog import Upstream, UpstreamState
from burdocksail.core import BurdocksailError, LogPosition, get_logger
from burdocksail.ports import (
    Connector,
    Promoter,
    PromotionRefused,
    PromotionUnknown,
    ServerStatus,
    StoreUnavailable,
)

HOLD_TIMEOUT = 0.8  # seconds for in-flight work to end before a planned change
STEP_DOWN_TIMEOUT = 0.5  # seconds
INSPECT_TIMEOUT = 0.7  # seconds
CATCH_UP_TIMEOUT = 1.0  # seconds for a replica to receive the last commits
CATCH_UP_INTERVAL = 0.06  # seconds; commits in flight to replicas arrive meanwhile
# Seconds from the promotion order until the server has to be primary.
BECOME_PRIMARY_TIMEOUT = PROMOTION_ORDER_LIFETIME + 2.0
# A server that is gone may be the only one with the last commits, so it counts among
# the known ones for this time; less than the 17 s of a change, see `_limits`.
DEPARTED_SERVER_WINDOW = 10.0  # seconds
INSPECT_INTERVAL = 0.3  # seconds
RESTORED_AGE_LIMIT = 30.0  # seconds; age of the copy from which a store is restored
# Seconds until a promotion that has been ordered takes effect; some hundred ms.
PROMOTION_EFFECT_TIME = 1.5
PROMOTION_EFFECT_LIMIT = 3.0  # seconds; an answered order takes a few hundred ms
POLL_INTERVAL = 0.04  # seconds


class ChangeFailed(BurdocksailError):
    """A change of primary was not completed and has to be started again."""


class PrimaryChange:
    """One change of the primary of one service.

    Parameters
    ----------
    planned : bool
        Whether the old primary is expected to answer.
    """

    def __init__(
        self,
        board: Blackboard,
        leadership: Leadership,
        connector: Connector,
        promoter: Promoter,
        service: str,
        planned: bool,
    ):
        self._board = board
        self._leadership = leadership
        self._promoter = promoter
        self._service = service
        self._planned = planned
        self._inspector = Inspector(connector)
        self._old_view = leadership.views[service]
        self._started_at = board.now()
        self._recorded_at = board.now()
        self._doubt = ""
        self._log = get_logger().bind(
            service=service, epoch=leadership.epoch, fence=leadership.fencing_token
        )

    async def run(self, reason: str) -> None:
        """Change the primary.

        Raises
        ------
        ChangeFailed
            If the change has to be started again.
        LeadershipLost
            If this instance no longer leads, or may no longer lead.
        StoreUnavailable
            If it is not known whether the change was recorded.
        """
        self._log.info(
            "change of primary begun",
            reason=reason,
            planned=self._planned,
            old=self._old_view.primary_id,
        )
        self._board.metrics.count("changes_begun")
        try:
            if self._planned and self._sync_replicas:
                await self._wait_for_successor()
            await self._record_change()
            if self._is_unordered():
                present = await self._find_unchanged_primary()
                if present is not None:
                    self._open_group(present.id)
                    return
                self._leadership.ordered_groups.add(self._service)
                await self._write_record()
            old_primary = await self._fence_old_primary()
            chosen = await self._choose_server(old_primary)
            await self._promote(chosen)
            self._open_group(chosen.upstream.id)
        finally:
            self._inspector.close()

    async def _wait_for_successor(self) -> None:
        """Wait until a ready replica has received what the primary had when asked.

        Until then the primary goes on, as only another server that is leaving, or
        itself, could be promoted without losing acknowledged commits.

        Raises
        ------
        ChangeFailed
            If no replica has caught up within `CATCH_UP_TIMEOUT`. A primary that gives
            no status is not waited for.
        """
        directory = self._board.directory
        old = directory.upstreams.get(self._old_view.primary_id)
        end = self._board.now() + CATCH_UP_TIMEOUT
        while old is not None:
            status = await self._inspector.inspect(old, INSPECT_TIMEOUT)
            if status is None:
                return
            replicas = [
                u
                for u in directory.of_service(self._service)
                if u.id != old.id and self._is_ready(u)
            ]
            answers = await self._inspector.inspect_all(replicas, INSPECT_TIMEOUT)
            if any(s.status.received >= status.received for s in answers):
                return
            if self._board.now() >= end:
                raise ChangeFailed("no ready replica has received the last commits")
            await asyncio.sleep(CATCH_UP_INTERVAL)

    def _is_unordered(self) -> bool:
        """Return whether no promotion has been ordered since a restoration."""
        leadership = self._leadership
        return self._service in leadership.unproven_groups - leadership.ordered_groups

    async def _record_change(self) -> None:
        leadership = self._leadership
        inherited = self._is_inherited
        leadership.changing.add(self._service)
        await self._write_record()
        if inherited:
            # A promotion order of an earlier leader may still be in flight.
            wait = leadership.find_earlier_orders_end(self._service) - self._board.now()
            await asyncio.sleep(max(0.0, wait))

    async def _write_record(self) -> None:
        # Counted from before the write: the store may be restored right after it.
        asked_at = self._board.now()
        await self._leadership.write_record()
        self._recorded_at = asked_at

    async def _find_unchanged_primary(self) -> Upstream | None:
        """Return the present primary of an unproven group, or None.

        The servers are asked until one of them is proved to be primary, or until no
        instance can hold a lease of an earlier leader. Such leases need not end before
        the group is opened again: they name the present primary, or the group as
        closed. They have to end before an order to promote, after None.
        """
        leadership = self._leadership
        orders_end_at = leadership.find_earlier_orders_end(self._service)
        orders_effective_at = orders_end_at + PROMOTION_EFFECT_TIME
        generation = self._set_state(GroupState.CLOSED)
        while not leadership.ended:
            asked_at = self._board.now()
            present = await self._find_only_primary()
            if present is None and not leadership.find_unconfirmed(generation):
                return None
            if present is not None and asked_at >= orders_effective_at:
                self._log.info("primary has not changed", upstream=present.id)
                return present
            await asyncio.sleep(INSPECT_INTERVAL)
        raise LeadershipLost("leadership ended during a change")

    async def _find_only_primary(self) -> Upstream | None:
        """Return the only primary, if all servers answer and none knows a later one."""
        if not self._knows_all_servers():
            self._log_doubt("a server may be unlisted")
            return None
        servers = self._board.directory.of_service(self._service)
        answers = await self._inspector.inspect_all(servers, INSPECT_TIMEOUT)
        primaries = [s for s in answers if s.status.is_primary]
        if len(answers) < len(servers):
            self._log_doubt("a server does not answer")
            return None
        if len(primaries) != 1:
            self._log_doubt(f"{len(primaries)} servers are primary")
            return None
        present = primaries[0]
        if any(s.status.term > present.status.term for s in answers):
            self._log_doubt("another server knows a later term")
            return None
        if not self._is_ready(present.upstream):
            self._log_doubt("the primary is leaving")
            return None
        return present.upstream

    def _log_doubt(self, doubt: str) -> None:
        if doubt != self._doubt:
            self._doubt = doubt
            self._log.info("present primary not proved", doubt=doubt)

    def _knows_all_servers(self) -> bool:
        """Return whether every server that a lost leader could promote is listed.

        Such a leader claimed after the copy of the store was taken. A server that has
        left since then as planned is no longer primary, or another one has its term.
        """
        directory = self._board.directory
        lost_since = self._board.store.timeline_since - RESTORED_AGE_LIMIT
        return (
            directory.first_timeline < self._leadership.timeline
            and not directory.lost_of_service(self._service, lost_since)
        )

    async def _fence_old_primary(self) -> InspectedServer | None:
        """Make sure that no work of the old primary is acknowledged any more.

        Returns
        -------
        InspectedServer or None
            The old primary and its last status. It was asked to step down if it was
            still primary. None if it is not listed or gave no status in time.
        """
        old_primary = None
        if self._planned:
            generation = self._set_state(GroupState.HOLDING)
            await self._wait_for_in_flight_work(generation)
            old_primary = await self._step_down()
        generation = self._set_state(GroupState.CLOSED)
        if self._planned or self._service in self._leadership.unproven_groups:
            # The recorded primary of an unproven group may well be the present one,
            # so it is not asked to step down.
            await self._wait_until_confirmed(generation)
            return old_primary
        # The old primary is unlikely to answer, so the change does not wait for it.
        step_down_task = asyncio.create_task(self._step_down())
        try:
            await self._wait_until_confirmed(generation)
            return step_down_task.result() if step_down_task.done() else None
        finally:
            step_down_task.cancel()

    async def _wait_for_in_flight_work(self, generation: int) -> None:
        leadership = self._leadership
        end = self._board.now() + HOLD_TIMEOUT
        while self._board.now() < end:
            busy = leadership.grantees.find_busy(self._service, self._board.now())
            own = self._board.authority.in_flight.get(self._service, 0)
            if not busy and not own and not leadership.find_unconfirmed(generation):
                return
            await asyncio.sleep(POLL_INTERVAL)

    async def _step_down(self) -> InspectedServer | None:
        old = self._board.directory.upstreams.get(self._old_view.primary_id)
        if old is None:
            return None
        status = await self._inspector.inspect(old, STEP_DOWN_TIMEOUT)
        if status is not None and status.is_primary:
            status = await self._inspector.step_down(
                old, status.term + 1, STEP_DOWN_TIMEOUT
            )
            self._log.info(
                "old primary asked to step down", confirmed=status is not None
            )
        return None if status is None else InspectedServer(old, status)

    async def _wait_until_confirmed(self, generation: int) -> None:
        leadership = self._leadership
        logged: list[str] | None = None
        while True:
            if leadership.ended:
                raise LeadershipLost("leadership ended during a change")
            unconfirmed = leadership.find_unconfirmed(generation)
            if not unconfirmed:
                return
            if unconfirmed != logged:
                logged = unconfirmed
                self._log.info("waiting for confirmation", silent=unconfirmed[:8])
            await asyncio.sleep(POLL_INTERVAL)

    async def _choose_server(
        self, old_primary: InspectedServer | None
    ) -> InspectedServer:
        """Return the server to promote, see `choose_candidate`.

        The servers have `CATCH_UP_TIMEOUT` to catch up. A server that an earlier
        leader has promoted is returned at once.
        """
        end = self._board.now() + CATCH_UP_TIMEOUT
        previous: LogPosition | None = None
        while True:
            candidates = self._find_candidates()
            if not candidates:
                raise ChangeFailed("no server is left to promote")
            server_count = self._count_servers()
            answers = await self._inspector.inspect_all(candidates, INSPECT_TIMEOUT)
            promoted_earlier = self._find_promoted_earlier(answers, len(candidates))
            if promoted_earlier is not None:
                return promoted_earlier
            survey = Survey(
                tuple(answers),
                None if self._is_inherited else old_primary,
                frozenset(u.id for u in candidates if self._is_ready(u)),
                server_count,
                self._sync_replicas,
            )
            overdue = self._board.now() >= end
            try:
                chosen = choose_candidate(survey, previous, overdue)
            except NoCandidate as error:
                raise ChangeFailed(str(error)) from error
            if chosen is not None:
                return chosen
            best = survey.find_best_ready()
            previous = None if best is None else best.status.received
            await asyncio.sleep(CATCH_UP_INTERVAL)

    @property
    def _sync_replicas(self) -> int:
        catalog = self._board.catalog.catalog
        service = None if catalog is None else catalog.services.get(self._service)
        return 0 if service is None else service.sync_replicas

    @property
    def _is_inherited(self) -> bool:
        return self._service in self._leadership.inherited_changes

    def _count_servers(self) -> int:
        """Return how many servers may have an acknowledged commit.

        These are the listed ones and those that have left within
        `DEPARTED_SERVER_WINDOW`. The recorded primary counts even if it left earlier,
        unless another may have been promoted since.
        """
        directory = self._board.directory
        known = {u.id for u in directory.of_service(self._service)}
        since = self._board.now() - DEPARTED_SERVER_WINDOW
        known.update(directory.find_departed_logs(self._service, since))
        if not self._is_inherited:
            known.add(self._old_view.primary_id)
        return len(known)

    def _find_promoted_earlier(
        self, answers: list[InspectedServer], candidate_count: int
    ) -> InspectedServer | None:
        """Return a primary that an earlier leader may have promoted, or None.

        This takes an answer from every candidate, as a primary of a later term
        could be the one that does not answer. A server that is no longer listed
        could be such a primary too, so the promotion of the returned server is
        ordered again although it reports itself primary.
        """
        if not self._is_inherited or len(answers) < candidate_count:
            return None
        primaries = [s for s in answers if s.status.is_primary]
        if not primaries:
            return None
        newest = max(primaries, key=lambda s: s.status.term)
        return newest if self._is_ready(newest.upstream) else None

    def _find_candidates(self) -> list[Upstream]:
        servers = self._board.directory.of_service(self._service)
        others = [u for u in servers if u.id != self._old_view.primary_id]
        return servers if self._is_inherited or not others else others

    def _is_ready(self, upstream: Upstream) -> bool:
        current = self._board.directory.upstreams.get(upstream.id)
        return current is not None and current.state is UpstreamState.READY

    async def _promote(self, chosen: InspectedServer) -> None:
        await self._require_right_to_order()
        target = chosen.upstream
        self._log.info(
            "promotion ordered",
            upstream=target.id,
            received=f"{chosen.status.received.term}.{chosen.status.received.sequence}",
            waited=round(self._board.now() - self._started_at, 3),
        )
        # Longer than any order can take to arrive: if the target is still not
        # primary at the end, no order for it is in flight any more.
        ordered_at = self._board.now()
        end = ordered_at + BECOME_PRIMARY_TIMEOUT
        answered = await self._send_order(target)
        while self._board.now() < end:
            status = await self._inspector.inspect(target, INSPECT_TIMEOUT)
            took_effect = (
                answered and self._board.now() > ordered_at + PROMOTION_EFFECT_LIMIT
            )
            if status is not None and _has_become_primary(
                status, chosen.status, took_effect
            ):
                return
            if not answered and await self._may_repeat_order(end):
                answered = await self._send_order(target)
            await asyncio.sleep(POLL_INTERVAL)
        raise ChangeFailed("the promoted server did not become primary in time")

    async def _require_right_to_order(self) -> None:
        """Record the change again unless that was done a short time ago.

        Raises
        ------
        LeadershipLost
            If another instance is the leader, or may be.
        StoreUnavailable
            If it is not known whether the change was recorded.
        """
        if self._board.now() > self._recorded_at + PROMOTION_START_LIMIT:
            await self._write_record()
        if not self._leadership.holds_leader_lease:
            raise LeadershipLost("the leader lease was lost before the promotion order")

    async def _may_repeat_order(self, end: float) -> bool:
        """Return whether an unanswered order may be sent again.

        The last order has to arrive before `end`, and before any order of the next
        leader.
        """
        limit = end - PROMOTION_ORDER_LIFETIME
        if self._board.now() >= limit:
            return False
        try:
            await self._require_right_to_order()
        except StoreUnavailable as error:
            self._log.warning("promotion order not repeated", reason=str(error))
            return False
        return self._board.now() < limit

    async def _send_order(self, target: Upstream) -> bool:
        """Send the promotion order; return whether it was answered."""
        holder = self._board.member.name
        try:
            await self._promoter.promote(
                self._service, target.id, holder, self._leadership.fencing_token
            )
        except PromotionRefused as error:
            raise ChangeFailed(f"promotion refused: {error}") from error
        except PromotionUnknown as error:
            self._log.warning("promotion not answered", reason=str(error))
            return False
        return True

    def _open_group(self, primary_id: str) -> None:
        leadership = self._leadership
        if leadership.ended:
            raise LeadershipLost("leadership ended during a change")
        change = leadership.number_next_change()
        leadership.open_group(
            GroupView(self._service, primary_id, change, GroupState.OPEN)
        )
        gap = self._board.now() - self._started_at
        self._board.metrics.record("change_of_primary", gap)
        self._log.info("change of primary done", primary=primary_id, took=round(gap, 3))

    def _set_state(self, state: GroupState) -> int:
        return self._leadership.set_view(replace(self._old_view, state=state))


def _has_become_primary(
    status: ServerStatus, before: ServerStatus, took_effect: bool
) -> bool:
    """Return whether a server that was ordered to become primary has done so.

    One that reported to be primary before may not have noticed that it was
    replaced, so it has to report a later term. If it keeps its term until the
    order must have taken effect, it has been primary all along.
    """
    if not status.is_primary:
        return False
    return status.term > before.term or (before.is_primary and took_effect)
