"""Read freshness: minimum log positions for reads, and sampling of primaries.

The floor of a read is the log position that a server must have applied to run
it. Floors come from samples of the primaries' positions and from the session's
own commits.
"""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass, field

from burdocksail.board import Blackboard, GroupState, GroupView, Sample
from burdocksail.catalog import ReadPolicy, Route
from burdocksail.core import LogPosition, ResetSession, get_logger
from burdocksail.ports import UpstreamLost
from burdocksail.serving._pools import ConnectionPools, NoConnection

# Several samples within the shortest usual max_age.
MONITOR_PROBE_INTERVAL = 0.4  # seconds
# Instances that are not monitors get samples with the leader's grants. They probe when
# grants fail to arrive, or when a primary is suspected or unreachable.
NON_MONITOR_PROBE_INTERVAL = 0.9  # seconds
# Of one primary, by all instances that are not monitors; costs a few percent of a core.
PROBES_PER_SECOND = 40
PROBE_TIMEOUT = 0.4  # seconds; an order of magnitude above a round trip
# Before all statements: a probe occupies no execution slot of the server and holds
# the connection for one round trip only.
PROBE_ORDER = float("-inf")
POLL_INTERVAL = 0.1  # seconds between checks for due probes


@dataclass(frozen=True, slots=True)
class OwnCommit:
    """A commit of a session.

    Attributes
    ----------
    change : int
        `GroupView.change` of the primary that ran it.
    committed_at : float
        Clock reading at which its reply arrived.
    """

    position: LogPosition
    change: int
    committed_at: float


@dataclass(slots=True)
class SessionCommits:
    """Log positions of a session's own commits.

    Attributes
    ----------
    by_service : dict of str to OwnCommit
        Last commit by service.
    """

    by_service: dict[str, OwnCommit] = field(default_factory=dict)

    def record_commit(
        self, service: str, position: LogPosition, change: int, now: float
    ) -> None:
        """Record that the session has committed at a position.

        A position at or before the recorded one is ignored unless it comes from
        a later primary.
        """
        known = self.by_service.get(service)
        if known is None or known.change < change or known.position < position:
            self.by_service[service] = OwnCommit(position, change, now)


@dataclass(frozen=True, slots=True)
class Floor:
    """Minimum log position that a server must have applied to run a read.

    `compute_floor` returns None instead of a `Floor` if it is unknown.

    Attributes
    ----------
    position : LogPosition or None
        None if any position will do.
    reached_at : float
        Clock reading by which the primary had reached the position.
    """

    position: LogPosition | None
    reached_at: float = float("-inf")

    def compute_age(self, now: float) -> float:
        """Return the seconds since the primary reached the position."""
        return now - self.reached_at


def compute_floor(
    board: Blackboard, route: Route, commits: SessionCommits, arrived_at: float
) -> Floor | None:
    """Return the floor of a read that arrived at `arrived_at`.

    Returns
    -------
    Floor or None
        None if no sample is recent enough to determine the floor; then only the
        primary itself may run the read.
    """
    view = board.authority.groups.get(route.service)
    samples = board.samples.by_service.get(route.service, ())
    needed: list[Floor] = []
    if route.max_age is not None:
        oldest = arrived_at - route.max_age
        recent = next((s for s in samples if s.asked_at >= oldest), None)
        if recent is None:
            return None
        needed.append(_make_floor(recent, samples))
    if route.policy is ReadPolicy.OWN_WRITES:
        own_commit = commits.by_service.get(route.service)
        if own_commit is not None:
            floor = _compute_commit_floor(own_commit, view, samples)
            if floor is None:
                return None
            needed.append(floor)
    return max(needed, key=lambda f: f.position, default=Floor(None))


def _make_floor(sample: Sample, samples: Sequence[Sample]) -> Floor:
    """Return the floor at a sample, dated by the first sample of that position."""
    first = next(s for s in samples if s.position >= sample.position)
    return Floor(sample.position, min(first.asked_at, sample.asked_at))


def _compute_commit_floor(
    own_commit: OwnCommit,
    view: GroupView | None,
    samples: Sequence[Sample],
) -> Floor | None:
    """Return the floor that a session's last commit sets under the current primary.

    A commit on an earlier primary may have been lost in the change of primary.
    Any position of the current primary includes the commits that were kept, so
    the newest sample is the floor; None if there is no sample.
    """
    if view is None or view.change == own_commit.change:
        return Floor(own_commit.position, own_commit.committed_at)
    return _make_floor(samples[-1], samples) if samples else None


def record_sample(
    board: Blackboard, view: GroupView, asked_at: float, position: LogPosition | None
) -> None:
    """Record a sample from a reply of the primary in `view`.

    It is recorded only if no change of primary can have begun before `asked_at`,
    the time just before the command was sent. Any reply with a position is
    recorded in `reached`, unless `view` is outdated.
    """
    authority = board.authority
    current = authority.groups.get(view.service_name)
    if position is None or current is None or not current.has_same_tenure(view):
        return
    authority.reached[view.service_name] = board.now()
    if asked_at >= authority.lease_expires_at:
        return
    samples = board.samples.for_service(view.service_name)
    if samples and asked_at <= samples[-1].asked_at:
        return
    samples.append(Sample(asked_at, position, view.change))


class PrimaryProber:
    """Probes the primaries for their log positions, and detects unreachable ones."""

    def __init__(self, board: Blackboard, pools: ConnectionPools):
        self._board = board
        self._pools = pools
        self._running: dict[str, asyncio.Task] = {}
        self._log = get_logger()

    async def run(self) -> None:
        """Probe the primaries of all groups when due, until cancelled.

        Pools of removed upstreams and surplus idle connections are closed in the
        same loop.
        """
        while True:
            now = self._board.now()
            for view in list(self._board.authority.groups.values()):
                if view.service_name not in self._running and self._is_due(view, now):
                    self._start(view)
            self._pools.close_unused()
            await asyncio.sleep(POLL_INTERVAL)

    def _is_due(self, view: GroupView, now: float) -> bool:
        if view.state is GroupState.CLOSED:
            return False
        authority = self._board.authority
        service = view.service_name
        if service in authority.unreachable or service in authority.suspected:
            return True
        samples = self._board.samples.for_service(view.service_name)
        if authority.is_monitor:
            interval = MONITOR_PROBE_INTERVAL
        else:
            fleet_interval = self._board.members.alive_count / PROBES_PER_SECOND
            interval = max(NON_MONITOR_PROBE_INTERVAL, fleet_interval)
        return not samples or now - samples[-1].asked_at >= interval

    def _start(self, view: GroupView) -> None:
        task = asyncio.create_task(self._probe(view))
        self._running[view.service_name] = task
        task.add_done_callback(lambda _: self._running.pop(view.service_name, None))

    async def _probe(self, view: GroupView) -> None:
        self._board.authority.suspected.discard(view.service_name)
        upstream = self._board.directory.upstreams.get(view.primary_id)
        if upstream is None:
            return
        pool = self._pools.get(upstream)
        try:
            connection = await pool.acquire(PROBE_ORDER, PROBE_TIMEOUT, None)
        except NoConnection as error:
            if error.unreachable:
                self._mark_unreachable(view, str(error))
            return
        asked_at = self._board.now()
        try:
            replies = await connection.connection.run([ResetSession()], PROBE_TIMEOUT)
        except UpstreamLost as error:
            self._mark_unreachable(view, str(error))
        else:
            connection.clear_session_state()
            record_sample(self._board, view, asked_at, replies[-1].position)
            self._clear_unreachable(view)
        finally:
            pool.release(connection)

    def _mark_unreachable(self, view: GroupView, reason: str) -> None:
        unreachable = self._board.authority.unreachable
        if view.service_name not in unreachable:
            unreachable[view.service_name] = self._board.now()
            self._log.warning(
                "primary lost",
                service=view.service_name,
                upstream=view.primary_id,
                reason=reason,
            )

    def _clear_unreachable(self, view: GroupView) -> None:
        if self._board.authority.unreachable.pop(view.service_name, None) is not None:
            self._log.info(
                "primary regained", service=view.service_name, upstream=view.primary_id
            )
