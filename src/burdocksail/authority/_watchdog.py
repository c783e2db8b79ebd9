"""Failure detection by the leader: decides which groups need another primary."""

import asyncio
import contextlib
from dataclasses import dataclass, replace
from enum import Enum

from burdocksail.authority._change import ChangeFailed, PrimaryChange
from burdocksail.authority._follower import find_reached_services
from burdocksail.authority._leadership import Leadership, LeadershipLost
from burdocksail.board import Blackboard, GroupState, GroupView
from burdocksail.catalog import Upstream, UpstreamRole, UpstreamState
from burdocksail.core import get_logger
from burdocksail.ports import Connector, Promoter, StoreUnavailable

POLL_INTERVAL = 0.1  # seconds
RETRY_DELAY = 0.3  # seconds after a change that failed
# Seconds; on top of `UNREACHABLE_REPORT_DELAY`, which the other instances apply.
UNREACHABLE_DELAY = 0.1
PARTLY_UNREACHABLE_DELAY = 1.5  # seconds; a short partition costs less than a change
# Share of the instances that report on the primary. If fewer cannot reach it, a
# change does more harm than good.
PARTLY_UNREACHABLE_SHARE = 0.3


class Cause(Enum):
    """Why a group needs another primary."""

    NONE = "none"
    LEAVING = "the primary is leaving"
    GONE = "the primary's entry is gone"
    MISSING = "the primary's entry is gone, though most instances reach it"
    UNREACHABLE = "no instance reaches the primary"
    PARTLY_UNREACHABLE = "many instances do not reach the primary"
    UNFINISHED = "a change was not finished"


# A planned change keeps the group closed until no instance can hold a lease of an
# earlier leader. So the change from a leaving primary (its entry is in state DRAINING)
# is put off until then, for at most this time since the entry was seen to change.
DRAINING_MAX_DELAY = 3.0  # seconds; a leaving server serves for several more

MINORITY_DELAY = 6.0  # seconds; longer than most partitions
# Seconds until a service without a listed primary is given one; entries that a
# restoration of the store has lost are back sooner.
NO_PRIMARY_DELAY = 6.0
MISSING_SHARE = 0.5  # of the instances that report on the primary
# Seconds. Meanwhile no new work starts at the primary, as instances send none to a
# server without an entry.
MISSING_DELAY = 3.0

# The old primary is expected to answer, so in-flight work can end before it steps
# down.
PLANNED = frozenset({Cause.LEAVING, Cause.PARTLY_UNREACHABLE})


@dataclass(frozen=True, slots=True)
class PendingCause:
    """A cause for a change, and the clock reading since which it has held."""

    cause: Cause
    since: float


class Watchdog:
    """Starts changes of primary while this instance leads, one per group at a time."""

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
        self._pending: dict[str, PendingCause] = {}
        self._without_primary_since: dict[str, float] = {}
        self._log = get_logger()

    async def run(self) -> None:
        """Check all groups until the leadership ends."""
        try:
            while not self._leadership.ended:
                self._leadership.grant_to_self()
                self._add_new_groups()
                for service in list(self._leadership.views):
                    self._check_group(service)
                await asyncio.sleep(POLL_INTERVAL)
        finally:
            for task in self._running.values():
                task.cancel()

    def _add_new_groups(self) -> None:
        """Add each service that has no group yet and exactly one listed primary.

        Once the store has been restored, the record of the group may have been lost,
        and servers other than its primary may be listed as one, or none: the servers
        are asked first.
        """
        catalog = self._board.catalog.catalog
        for service in () if catalog is None else catalog.services:
            if service in self._leadership.views or service in self._running:
                continue
            servers = self._board.directory.of_service(service)
            primaries = [u for u in servers if u.role is UpstreamRole.PRIMARY]
            if self._leadership.timeline > self._leadership.first_timeline:
                self._add_unproven_group(service, primaries, servers)
            elif len(primaries) == 1:
                task = asyncio.create_task(self._add_group(service, primaries[0].id))
                self._register_task(service, task)

    def _add_unproven_group(
        self, service: str, primaries: list[Upstream], servers: list[Upstream]
    ) -> None:
        since = self._without_primary_since.setdefault(service, self._board.now())
        if not primaries and self._board.now() < since + NO_PRIMARY_DELAY:
            return
        for upstream in [*primaries, *servers][:1]:
            with contextlib.suppress(LeadershipLost):
                self._leadership.add_unproven_group(service, upstream.id)

    async def _add_group(self, service: str, primary_id: str) -> None:
        leadership = self._leadership
        try:
            change = leadership.number_next_change()
            closed = GroupView(service, primary_id, change, GroupState.CLOSED)
            leadership.views[service] = closed
            await leadership.write_record()
        except (StoreUnavailable, LeadershipLost) as error:
            leadership.views.pop(service, None)
            self._log.warning("group not recorded", service=service, reason=str(error))
            return
        leadership.set_view(replace(closed, state=GroupState.OPEN))

    def _check_group(self, service: str) -> None:
        if service in self._running:
            return
        cause = self._assess(service)
        if cause is Cause.NONE or not self._may_start_change(cause):
            return
        self._pending.pop(service, None)
        task = asyncio.create_task(self._run_change(service, cause))
        self._register_task(service, task)

    def _may_start_change(self, cause: Cause) -> bool:
        """Return whether a change may start now.

        While an instance may hold a lease of an earlier leader, no promotion can
        be ordered, and the old primary may still recover. An unfinished change
        has usually closed the group already, and a leaving primary has waited for
        these leases up to `DRAINING_MAX_DELAY`, so neither waits here. A change that
        has not begun is left to the instance that was asked to take over, if any.
        """
        if cause is not Cause.UNFINISHED and self._leadership.awaits_takeover:
            return False
        urgent = cause in (Cause.UNFINISHED, Cause.LEAVING)
        return urgent or self._leadership.earlier_leases_ended

    def _register_task(self, service: str, task: asyncio.Task) -> None:
        self._running[service] = task
        task.add_done_callback(lambda _: self._running.pop(service, None))

    async def _run_change(self, service: str, cause: Cause) -> None:
        change = PrimaryChange(
            self._board,
            self._leadership,
            self._connector,
            self._promoter,
            service,
            planned=cause in PLANNED,
        )
        try:
            await change.run(cause.value)
            await self._leadership.write_record()
        except (ChangeFailed, LeadershipLost, StoreUnavailable) as error:
            self._log.warning(
                "change of primary not finished", service=service, reason=str(error)
            )
            await asyncio.sleep(RETRY_DELAY)

    def _assess(self, service: str) -> Cause:
        view = self._leadership.views[service]
        if service in self._leadership.changing:
            return Cause.UNFINISHED
        if not self._has_ready_replica(view):
            return Cause.NONE
        upstream = self._board.directory.upstreams.get(view.primary_id)
        if upstream is None:
            return self._assess_missing(view)
        if upstream.state is UpstreamState.DRAINING:
            return self._assess_leaving(view)
        return self._assess_reachability(view)

    def _assess_missing(self, view: GroupView) -> Cause:
        """Return the cause for replacing a primary whose entry in the store is gone.

        A server that cannot reach the store may still answer most instances, but not
        one that was draining before.
        """
        departed = self._board.directory.departed.get(view.primary_id)
        if departed is not None and departed.upstream.state is UpstreamState.DRAINING:
            return Cause.GONE
        if self._find_unreachable_share(view) > MISSING_SHARE:
            return self._debounce(view, Cause.GONE, self._find_unreachable_delay())
        return self._debounce(view, Cause.MISSING, MISSING_DELAY)

    def _assess_reachability(self, view: GroupView) -> Cause:
        share = self._find_unreachable_share(view)
        if not self._has_enough_reports(view):
            share = 0.0
        if share == 1.0:
            return self._debounce(
                view, Cause.UNREACHABLE, self._find_unreachable_delay()
            )
        if share >= PARTLY_UNREACHABLE_SHARE:
            return self._debounce(
                view, Cause.PARTLY_UNREACHABLE, PARTLY_UNREACHABLE_DELAY
            )
        self._pending.pop(view.service_name, None)
        return Cause.NONE

    def _find_unreachable_delay(self) -> float:
        """Return after how many seconds an unreachable primary is replaced.

        Unless it hears from a majority of the registered instances, counting
        itself, a leader may be partitioned from the primary and the others.
        """
        now = self._board.now()
        live = 1 + len(self._leadership.grantees.find_live(now))
        known = max(1, len(self._board.members.registered))
        return UNREACHABLE_DELAY if 2 * live > known else MINORITY_DELAY

    def _has_enough_reports(self, view: GroupView) -> bool:
        """Return whether at least two instances report on the primary.

        A single one may itself be partitioned. Its report is enough only if it is
        the only live instance.
        """
        others = len(self._leadership.grantees.find_live(self._board.now()))
        return len(self._collect_reports(view.service_name)) >= min(2, 1 + others)

    def _find_unreachable_share(self, view: GroupView) -> float:
        reports = self._collect_reports(view.service_name)
        return sum(reports) / len(reports) if reports else 0.0

    def _collect_reports(self, service: str) -> list[bool]:
        """Return, per instance that has tried, whether the primary is unreachable."""
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

    def _assess_leaving(self, view: GroupView) -> Cause:
        since = self._board.directory.draining_since[view.primary_id]
        overdue = self._board.now() >= since + DRAINING_MAX_DELAY
        if overdue or self._leadership.earlier_leases_ended:
            return Cause.LEAVING
        return Cause.NONE

    def _debounce(self, view: GroupView, cause: Cause, delay: float) -> Cause:
        """Return `cause` once it has been the same for `delay` seconds."""
        now = self._board.now()
        pending = self._pending.get(view.service_name)
        if pending is None or pending.cause is not cause:
            pending = PendingCause(cause, now)
            self._pending[view.service_name] = pending
        return Cause.NONE if now - pending.since < delay else cause

    def _has_ready_replica(self, view: GroupView) -> bool:
        return any(
            u.id != view.primary_id and u.state is UpstreamState.READY
            for u in self._board.directory.of_service(view.service_name)
        )
