"""A change of primary, from the record of it to the opening of the group.

The steps: record the change, hold or close the group, make sure that nobody
can still acknowledge work of the old primary, choose the replica that has
received most, order its promotion, wait until it leads, open the group.
"""

import asyncio
from dataclasses import replace

import structlog

from burdocksail.authority._inspection import InspectedServer, Inspector
from burdocksail.authority._leadership import Leadership, LeadershipLost
from burdocksail.authority._limits import (
    PROMOTION_ORDER_LIFETIME,
    PROMOTION_START_LIMIT,
)
from burdocksail.board import Blackboard, GroupState, GroupView
from burdocksail.catalog import Upstream, UpstreamState
from burdocksail.core import BurdocksailError, LogPosition
from burdocksail.ports import (
    Connector,
    Promoter,
    PromotionRefused,
    PromotionUnknown,
    ServerStatus,
)

HOLD_LIMIT = 0.8  # seconds for work in flight to end before a planned change
STEP_DOWN_TIMEOUT = 0.5  # seconds
INSPECT_TIMEOUT = 0.7  # seconds
CATCH_UP_LIMIT = 1.0  # seconds for a replica to receive the old primary's last
SETTLE_INTERVAL = 0.06  # seconds; commits on their way to replicas arrive
LEAD_LIMIT = (
    PROMOTION_ORDER_LIFETIME + 2.0
)  # seconds from the order until the server must lead
# A replica that was lost may be the only one with the last commits.
LOST_PATIENCE = 10.0  # seconds; a change has to end within 17
PROMOTION_LIMIT = 3.0  # seconds; an answered order takes some hundred milliseconds
POLL_INTERVAL = 0.04  # seconds


class ChangeFailed(BurdocksailError):
    """A change of primary did not come to its end; it has to start anew."""


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
        self._old = leadership.views[service]
        self._began_at = board.now()
        self._recorded_at = board.now()
        self._log = structlog.get_logger().bind(
            service=service, epoch=leadership.epoch, fence=leadership.fence
        )

    async def run(self, reason: str) -> None:
        """Change the primary.

        Raises
        ------
        ChangeFailed
            If the change has to start anew.
        LeadershipLost, StoreUnavailable
            If the change could not be recorded.
        """
        self._log.info(
            "change of primary begun",
            reason=reason,
            planned=self._planned,
            old=self._old.primary_id,
        )
        self._board.metrics.count("changes_begun")
        try:
            await self._record()
            stepped = await self._silence_old_primary()
            chosen = await self._choose(stepped)
            await self._promote(chosen)
            self._open(chosen.upstream.id)
        finally:
            self._inspector.close()

    async def _record(self) -> None:
        leadership = self._leadership
        inherited = self._service in leadership.inherited_changes
        leadership.changing.add(self._service)
        await leadership.write_record()
        self._recorded_at = self._board.now()
        if inherited:
            # An order of the leader before may still be on its way.
            wait = leadership.started_at + PROMOTION_ORDER_LIFETIME - self._board.now()
            await asyncio.sleep(max(0.0, wait))

    async def _silence_old_primary(self) -> ServerStatus | None:
        """Make sure that nothing of the old primary is acknowledged any more."""
        stepped = None
        if self._planned:
            generation = self._set_state(GroupState.HOLDING)
            await self._wait_for_work_in_flight(generation)
            stepped = await self._step_down()
        generation = self._set_state(GroupState.CLOSED)
        if self._planned:
            await self._wait_until_confirmed(generation)
            return stepped
        # The old primary hardly answers, so nothing waits for it.
        stepping = asyncio.create_task(self._step_down())
        try:
            await self._wait_until_confirmed(generation)
            return stepping.result() if stepping.done() else None
        finally:
            stepping.cancel()

    async def _wait_for_work_in_flight(self, generation: int) -> None:
        leadership = self._leadership
        end = self._board.now() + HOLD_LIMIT
        while self._board.now() < end:
            busy = leadership.grantees.find_busy(self._service, self._board.now())
            own = self._board.authority.in_flight.get(self._service, 0)
            if not busy and not own and not leadership.find_unconfirmed(generation):
                return
            await asyncio.sleep(POLL_INTERVAL)

    async def _step_down(self) -> ServerStatus | None:
        old = self._board.directory.upstreams.get(self._old.primary_id)
        if old is None:
            return None
        status = await self._inspector.inspect(old, STEP_DOWN_TIMEOUT)
        if status is None or not status.is_primary:
            return status
        stepped = await self._inspector.step_down(
            old, status.term + 1, STEP_DOWN_TIMEOUT
        )
        self._log.info("old primary asked to step down", confirmed=stepped is not None)
        return stepped

    async def _wait_until_confirmed(self, generation: int) -> None:
        leadership = self._leadership
        logged: list[str] | None = None
        while True:
            if leadership.ended:
                raise LeadershipLost("leadership ended during a change")
            silent = leadership.find_unconfirmed(generation)
            if not silent:
                return
            if silent != logged:
                logged = silent
                self._log.info("waiting for confirmation", silent=silent[:8])
            await asyncio.sleep(POLL_INTERVAL)

    async def _choose(self, stepped: ServerStatus | None) -> InspectedServer:
        """Return the server to promote."""
        candidates = self._candidates()
        if not candidates:
            raise ChangeFailed("no server is left to promote")
        wanted = None if stepped is None else stepped.received
        end = self._board.now() + CATCH_UP_LIMIT
        previous: LogPosition | None = None
        while True:
            states = await self._inspector.inspect_all(candidates, INSPECT_TIMEOUT)
            incumbent = self._find_incumbent(states, len(candidates))
            if incumbent is not None:
                return incumbent
            overdue = self._board.now() >= end
            replicas = [s for s in states if not self._is_leaving(s.upstream)]
            if not replicas:
                raise ChangeFailed("no server answers")
            best = max(replicas, key=_rank)
            received = best.status.received
            if wanted is not None:
                settled = received >= wanted
            elif len(states) < self._count_answers_needed(len(candidates)):
                if overdue:
                    raise ChangeFailed("too few replicas answer")
                settled = False
            else:
                settled = received == previous
            if settled or overdue:
                return best
            previous = received
            await asyncio.sleep(SETTLE_INTERVAL)

    def _count_answers_needed(self, candidates: int) -> int:
        """Return how many replicas have to answer to find every acknowledged commit.

        A commit that waits for some replicas is on these, whichever they are, so
        all but as many as may lack it have to be asked.
        """
        catalog = self._board.catalog.catalog
        service = None if catalog is None else catalog.services.get(self._service)
        waits_for = 0 if service is None else service.sync_replicas
        if waits_for == 0:
            return 1
        after = self._board.now() - LOST_PATIENCE
        lost = self._board.directory.lost_of_service(self._service, after)
        known = candidates + len([u for u in lost if u != self._old.primary_id])
        return max(1, known - waits_for + 1)

    def _find_incumbent(
        self, states: list[InspectedServer], asked: int
    ) -> InspectedServer | None:
        """Return a primary that an earlier leader may have made.

        Only if every server has answered: a primary of a later term could be
        the one that is silent. One that is not listed any more could be such a
        primary too, so the promotion is ordered all the same.
        """
        inherited = self._service in self._leadership.inherited_changes
        if not inherited or len(states) < asked:
            return None
        primaries = [s for s in states if s.status.is_primary]
        if not primaries:
            return None
        newest = max(primaries, key=lambda s: s.status.term)
        return None if self._is_leaving(newest.upstream) else newest

    def _candidates(self) -> list[Upstream]:
        inherited = self._service in self._leadership.inherited_changes
        servers = self._board.directory.of_service(self._service)
        others = [u for u in servers if u.id != self._old.primary_id]
        return servers if inherited or not others else others

    def _is_leaving(self, upstream: Upstream) -> bool:
        current = self._board.directory.upstreams.get(upstream.id)
        return current is None or current.state is not UpstreamState.READY

    async def _promote(self, chosen: InspectedServer) -> None:
        leadership = self._leadership
        if self._board.now() > self._recorded_at + PROMOTION_START_LIMIT:
            await leadership.write_record()
            self._recorded_at = self._board.now()
        if not leadership.holds_leader_lease:
            raise LeadershipLost("the right to order a promotion has run out")
        target = chosen.upstream
        self._log.info(
            "promotion ordered",
            upstream=target.id,
            received=f"{chosen.status.received.term}.{chosen.status.received.sequence}",
            waited=round(self._board.now() - self._began_at, 3),
        )
        # Longer than any order can take to arrive: when the target still does
        # not lead, no order for it is on its way any more.
        ordered_at = self._board.now()
        end = ordered_at + LEAD_LIMIT
        answered = await self._order(target)
        while self._board.now() < end:
            status = await self._inspector.inspect(target, INSPECT_TIMEOUT)
            settled = answered and self._board.now() > ordered_at + PROMOTION_LIMIT
            if status is not None and _leads(status, chosen.status, settled):
                return
            if not answered and end - self._board.now() > PROMOTION_ORDER_LIFETIME:
                answered = await self._order(target)
            await asyncio.sleep(POLL_INTERVAL)
        raise ChangeFailed("the promoted server does not lead")

    async def _order(self, target: Upstream) -> bool:
        """Send the order; return whether it was answered."""
        holder = self._board.member.name
        try:
            await self._promoter.promote(
                self._service, target.id, holder, self._leadership.fence
            )
        except PromotionRefused as error:
            raise ChangeFailed(f"promotion refused: {error}") from error
        except PromotionUnknown as error:
            self._log.warning("promotion not answered", reason=str(error))
            return False
        return True

    def _open(self, primary_id: str) -> None:
        leadership = self._leadership
        if leadership.ended:
            raise LeadershipLost("leadership ended during a change")
        # An earlier leader may have opened the group under the next number.
        change = self._old.change + 2
        leadership.changing.discard(self._service)
        leadership.set_view(
            GroupView(self._service, primary_id, change, GroupState.OPEN)
        )
        gap = self._board.now() - self._began_at
        self._board.metrics.record("change_of_primary", gap)
        self._log.info("change of primary done", primary=primary_id, took=round(gap, 3))

    def _set_state(self, state: GroupState) -> int:
        return self._leadership.set_view(replace(self._old, state=state))


def _leads(status: ServerStatus, before: ServerStatus, settled: bool) -> bool:
    """Return whether a server that was ordered to lead does so.

    One that took itself for primary before may not have noticed that it was
    replaced, so it has to show a later term. If it keeps its term until the
    order must have taken effect, it had led all along.
    """
    if not status.is_primary:
        return False
    return status.term > before.term or (before.is_primary and settled)


def _rank(inspected: InspectedServer) -> tuple[LogPosition, int]:
    status = inspected.status
    return (status.received, inspected.upstream.born)
