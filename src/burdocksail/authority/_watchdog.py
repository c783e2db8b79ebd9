"""Decides, while this instance leads, which groups need another primary."""

import asyncio
from dataclasses import dataclass
from enum import Enum

import structlog

from burdocksail.authority._change import ChangeFailed, PrimaryChange
from burdocksail.authority._follower import find_reached_services
from burdocksail.authority._leadership import Leadership, LeadershipLost
from burdocksail.board import Blackboard, GroupState, GroupView
from burdocksail.catalog import UpstreamRole, UpstreamState
from burdocksail.ports import Connector, Promoter, StoreUnavailable

POLL_INTERVAL = 0.1  # seconds
RETRY_DELAY = 0.3  # seconds after a change that failed
UNREACHABLE_PATIENCE = 0.1  # seconds beyond those of the instances that report it
PARTLY_PATIENCE = 1.5  # seconds; a short cut costs less than a change
PARTLY_SHARE = 0.3  # of the instances; fewer are served worse than by a change


class Need(Enum):
    """Why a group needs another primary."""

    NONE = "none"
    LEAVING = "the primary is leaving"
    GONE = "the primary's entry is gone"
    MISSING = "the primary's entry is gone, though most instances reach it"
    UNREACHABLE = "no instance reaches the primary"
    PARTLY_UNREACHABLE = "many instances do not reach the primary"
    UNFINISHED = "a change was not finished"


# A planned change closes the group until nobody holds earlier evidence, so it
# waits for that while the primary still serves.
LEAVING_PATIENCE = 3.0  # seconds; a leaving server serves for several more

MINORITY_PATIENCE = 6.0  # seconds; longer than most cuts
MISSING_SHARE = 0.5  # of the instances
MISSING_PATIENCE = 3.0  # seconds; a server that is gone gets no work for longer

PLANNED = frozenset({Need.LEAVING, Need.PARTLY_UNREACHABLE})


@dataclass(frozen=True, slots=True)
class Suspicion:
    """A need that may pass, and since when it has been seen."""

    need: Need
    since: float


class Watchdog:
    """Starts changes of primary, one at a time in each group."""

    def __init__(
        self,
        board: Blackboard,
        leadership: Leadership,
        connector: Connector,
        promoter: Promoter,
    ):
        self._board = board
        self._leadership = leadership
        self._connector = connector
        self._promoter = promoter
        self._running: dict[str, asyncio.Task] = {}
        self._suspected: dict[str, Suspicion] = {}
        self._log = structlog.get_logger()

    async def run(self) -> None:
        """Look after all groups until the leadership is over."""
        try:
            while not self._leadership.ended:
                self._leadership.grant_to_self()
                self._add_new_groups()
                for service in list(self._leadership.views):
                    self._look_after(service)
                await asyncio.sleep(POLL_INTERVAL)
        finally:
            for task in self._running.values():
                task.cancel()

    def _add_new_groups(self) -> None:
        """Take the only primary of a service that has no record as its own."""
        catalog = self._board.catalog.catalog
        for service in () if catalog is None else catalog.services:
            if service in self._leadership.views or service in self._running:
                continue
            primaries = [
                u
                for u in self._board.directory.of_service(service)
                if u.role is UpstreamRole.PRIMARY
            ]
            if len(primaries) == 1:
                task = asyncio.create_task(self._add_group(service, primaries[0].id))
                self._start(service, task)

    async def _add_group(self, service: str, primary_id: str) -> None:
        leadership = self._leadership
        closed = GroupView(service, primary_id, 1, GroupState.CLOSED)
        leadership.views[service] = closed
        try:
            await leadership.write_record()
        except (StoreUnavailable, LeadershipLost) as error:
            del leadership.views[service]
            self._log.warning("group not recorded", service=service, reason=str(error))
            return
        leadership.set_view(GroupView(service, primary_id, 1, GroupState.OPEN))

    def _look_after(self, service: str) -> None:
        if service in self._running:
            return
        need = self._judge(service)
        if need is Need.NONE or not self._may_begin(need):
            return
        self._suspected.pop(service, None)
        task = asyncio.create_task(self._change(service, need))
        self._start(service, task)

    def _may_begin(self, need: Need) -> bool:
        """Return whether a change can come to its end soon.

        While somebody may hold evidence of an earlier leader, no promotion can
        be ordered, and the old primary may still come back. A server that is
        leaving does not wait for that.
        """
        urgent = need in (Need.UNFINISHED, Need.LEAVING)
        return urgent or self._leadership.earlier_leases_expired

    def _start(self, service: str, task: asyncio.Task) -> None:
        self._running[service] = task
        task.add_done_callback(lambda _: self._running.pop(service, None))

    async def _change(self, service: str, need: Need) -> None:
        change = PrimaryChange(
            self._board,
            self._leadership,
            self._connector,
            self._promoter,
            service,
            planned=need in PLANNED,
        )
        try:
            await change.run(need.value)
            await self._leadership.write_record()
        except (ChangeFailed, LeadershipLost, StoreUnavailable) as error:
            self._log.warning(
                "change of primary not finished", service=service, reason=str(error)
            )
            await asyncio.sleep(RETRY_DELAY)

    def _judge(self, service: str) -> Need:
        view = self._leadership.views[service]
        if service in self._leadership.changing:
            return Need.UNFINISHED
        if not self._has_successor(view):
            return Need.NONE
        upstream = self._board.directory.upstreams.get(view.primary_id)
        if upstream is None:
            return self._judge_missing(view)
        if upstream.state is UpstreamState.DRAINING:
            return self._wait_until_settled(view, Need.LEAVING)
        return self._judge_reachability(view)

    def _judge_missing(self, view: GroupView) -> Need:
        """Judge a primary whose entry is gone.

        A server that cannot reach the store may still serve most instances.
        """
        if self._find_unreachable_share(view) > MISSING_SHARE:
            return self._after(view, Need.GONE, self._find_patience())
        return self._after(view, Need.MISSING, MISSING_PATIENCE)

    def _judge_reachability(self, view: GroupView) -> Need:
        share = self._find_unreachable_share(view)
        if not self._has_witnesses(view):
            share = 0.0
        if share == 1.0:
            return self._after(view, Need.UNREACHABLE, self._find_patience())
        if share >= PARTLY_SHARE:
            return self._after(view, Need.PARTLY_UNREACHABLE, PARTLY_PATIENCE)
        self._suspected.pop(view.service_name, None)
        return Need.NONE

    def _find_patience(self) -> float:
        """Return how long all that report have to miss a primary.

        A leader that hears from few may be cut off itself, with the primary
        and the others on the other side.
        """
        now = self._board.now()
        reporting = 1 + len(self._leadership.grantees.find_live(now))
        known = max(1, len(self._board.members.registered))
        return UNREACHABLE_PATIENCE if 2 * reporting > known else MINORITY_PATIENCE

    def _has_witnesses(self, view: GroupView) -> bool:
        """Return whether more than one instance misses the primary.

        One alone may itself be cut off, unless there is no other.
        """
        others = len(self._leadership.grantees.find_live(self._board.now()))
        return len(self._collect_votes(view.service_name)) >= min(2, 1 + others)

    def _find_unreachable_share(self, view: GroupView) -> float:
        votes = self._collect_votes(view.service_name)
        return sum(votes) / len(votes) if votes else 0.0

    def _collect_votes(self, service: str) -> list[bool]:
        """Return for each instance that knows whether it misses the primary."""
        board = self._board
        others = [
            (g.renewal.unreachable, g.renewal.reached)
            for g in self._leadership.grantees.find_live(board.now())
        ]
        own = (tuple(board.authority.unreachable), find_reached_services(board))
        return [
            service in unreachable
            for unreachable, reached in (own, *others)
            if service in unreachable or service in reached
        ]

    def _wait_until_settled(self, view: GroupView, need: Need) -> Need:
        if self._leadership.earlier_leases_expired:
            return need
        return self._after(view, need, LEAVING_PATIENCE)

    def _after(self, view: GroupView, need: Need, patience: float) -> Need:
        """Return `need` once it has been the same for `patience` seconds."""
        now = self._board.now()
        suspicion = self._suspected.get(view.service_name)
        if suspicion is None or suspicion.need is not need:
            suspicion = Suspicion(need, now)
            self._suspected[view.service_name] = suspicion
        return Need.NONE if now - suspicion.since < patience else need

    def _has_successor(self, view: GroupView) -> bool:
        return any(
            u.id != view.primary_id and u.state is UpstreamState.READY
            for u in self._board.directory.of_service(view.service_name)
        )
