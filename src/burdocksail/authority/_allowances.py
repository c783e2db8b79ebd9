"""Tokens for the quotas of workspaces, as the leader hands them out in one epoch."""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from burdocksail.board import Blackboard, Member
from burdocksail.catalog import Catalog, Workspace
from burdocksail.fleet import (
    Address,
    Allowance,
    AllowanceDemand,
    AllowanceGrant,
    AllowanceRequest,
    Renew,
)
from burdocksail.traffic import (
    FLOOR_DELAY,
    AllowanceBucket,
    AllowanceLedger,
    AllowanceLimit,
    HeardTime,
    compute_limit,
    find_slot,
)

# The instances that hear the leader are counted at most this often, so each counts for
# so much less than `FLOOR_DELAY`.
COUNT_INTERVAL = 0.05  # seconds
MAX_ANSWERS = 8  # for each instance; a request is sent twice within 50 ms
MAX_DEMAND = 1e9  # operations per second; larger values are not numbers in use
DESCRIBED_WORKSPACES = 10


@dataclass(slots=True)
class Hearing:
    """Since when and until when an instance certainly has no floor of its own.

    Attributes
    ----------
    since : float
        Clock reading from which no earlier leader counts the instance any more.
    until : float
        Clock reading before which its floor does not begin to fill.
    """

    member: Member
    since: float
    until: float


@dataclass(slots=True)
class AnsweredRequests:
    """Latest answers to one run of an instance, so that none is given twice."""

    incarnation: str
    answers: OrderedDict[int, AllowanceGrant] = field(default_factory=OrderedDict)

    def is_outdated(self, number: int) -> bool:
        """Return whether an answer to this request may have been forgotten."""
        is_full = len(self.answers) >= MAX_ANSWERS
        return is_full and number < next(iter(self.answers))

    def record(self, number: int, answer: AllowanceGrant) -> None:
        """Record an answer and forget the one to the lowest number."""
        self.answers[number] = answer
        if len(self.answers) > MAX_ANSWERS:
            del self.answers[min(self.answers)]


class AllowanceIssuer:
    """Token buckets of all workspaces; empty when a leadership begins.

    The rate is filled in by the share of the registered instances that hear this
    leader, and that no earlier one counts. All others may use their floor, or tokens
    of another leader.

    Parameters
    ----------
    are_earlier_ended : callable
        Returns whether all earlier leaders are known to have stopped.
    """

    def __init__(
        self, board: Blackboard, epoch: int, are_earlier_ended: Callable[[], bool]
    ):
        self._board = board
        self._epoch = epoch
        self._are_earlier_ended = are_earlier_ended
        self._hearings: dict[Address, Hearing] = {}
        self._ledgers: dict[str, AllowanceLedger] = {}
        self._limits: dict[str, AllowanceLimit] = {}
        self._answered: dict[str, AnsweredRequests] = {}
        self._catalog: Catalog | None = None
        self._heard_time = HeardTime(board.now())
        self._heard = 0
        self._instances = 0
        self._counted_at = float("-inf")

    def record_renewal(self, renewal: Renew) -> None:
        """Record until when the sender of a renewal hears this leader."""
        if renewal.epoch != self._epoch or renewal.leader_time is None:
            return
        now = self._board.now()
        since = now
        if renewal.former_silence is not None:
            since += max(0.0, FLOOR_DELAY - max(0.0, renewal.former_silence))
        until = min(now, renewal.leader_time) + FLOOR_DELAY - COUNT_INTERVAL
        address = renewal.member.address
        known = self._hearings.get(address)
        if known is None or known.member != renewal.member:
            self._hearings[address] = Hearing(renewal.member, since, until)
        else:
            known.since = min(known.since, since)
            known.until = max(known.until, until)

    def answer(self, request: AllowanceRequest) -> AllowanceGrant | None:
        """Return the grant for a request; None if it is of another epoch or too old.

        A request that arrives again is given the same answer.
        """
        if request.epoch != self._epoch or self._board.quotas.bounds is None:
            return None
        answered = self._find_answered(request.member)
        known = answered.answers.get(request.number)
        if known is not None or answered.is_outdated(request.number):
            return known
        now = self._board.now()
        self._count_instances(now)
        self._apply_catalog(now)
        grant = AllowanceGrant(
            self._board.member,
            self._epoch,
            request.number,
            find_slot(now),
            tuple(self._allow(request.member.name, d, now) for d in request.demands),
        )
        answered.record(request.number, grant)
        return grant

    def describe(self) -> dict[str, object]:
        """Return the state of the largest workspaces, as shown in the state dump."""
        largest = sorted(self._ledgers.items(), key=lambda i: -i[1].shares.total)
        return {
            "heard": self._heard,
            "registered": self._instances,
            "workspaces": {
                name: {
                    "tokens": round(ledger.bucket.level, 1),
                    "demand": round(ledger.shares.total, 1),
                    "granted": ledger.granted,
                    "returned": ledger.returned,
                }
                for name, ledger in largest[:DESCRIBED_WORKSPACES]
            },
        }

    def _find_answered(self, member: Member) -> AnsweredRequests:
        answered = self._answered.get(member.name)
        if answered is None or answered.incarnation != member.incarnation:
            answered = AnsweredRequests(member.incarnation)
            self._answered[member.name] = answered
        return answered

    def _allow(self, instance: str, demand: AllowanceDemand, now: float) -> Allowance:
        workspace = self._find_workspace(demand.workspace)
        if workspace is None:
            return Allowance(demand.workspace, 0, FLOOR_DELAY)
        ledger = self._fill(workspace, now)
        if demand.returned > 0:
            ledger.give_back(demand.returned_slot, demand.returned)
        rate = self._limits[workspace.name].rate * self._heard_time.share
        is_usual = 0.0 <= demand.rate <= MAX_DEMAND
        granted, wait = ledger.grant(
            instance,
            demand.wanted,
            demand.urgent,
            demand.rate if is_usual else 0.0,
            now,
            rate,
        )
        return Allowance(workspace.name, granted, wait)

    def _find_workspace(self, name: str) -> Workspace | None:
        """Return the workspace of a name, None if it is unknown or has no rate."""
        workspaces = self._catalog.workspaces if self._catalog is not None else None
        workspace = None if workspaces is None else workspaces.by_name.get(name)
        return None if workspace is None or workspace.rate is None else workspace

    def _fill(self, workspace: Workspace, now: float) -> AllowanceLedger:
        limit = self._limits.get(workspace.name)
        if limit is None:
            bounds = self._board.quotas.bounds
            limit = compute_limit(
                workspace.rate,
                workspace.burst,
                bounds.compute_bound(workspace.rate, workspace.burst),
                bounds.window,
                bounds.slack,
                self._instances,
            )
            self._limits[workspace.name] = limit
        ledger = self._ledgers.get(workspace.name)
        if ledger is None:
            # Its bucket has been filling since this leadership began.
            ledger = AllowanceLedger(AllowanceBucket(now), 0.0)
            self._ledgers[workspace.name] = ledger
        unheard = self._instances - self._heard
        ledger.fill(now, limit, self._heard_time.value, unheard)
        return ledger

    def _apply_catalog(self, now: float) -> None:
        """Fill all buckets under the former limits before others come into force.

        The bucket of a workspace that is removed stays, as the workspace may return
        before the window ends in which its tokens were used.
        """
        catalog = self._board.catalog.catalog
        if catalog is self._catalog:
            return
        for name in list(self._ledgers):
            workspace = self._find_workspace(name)
            if workspace is not None:
                self._fill(workspace, now)
        self._catalog = catalog
        self._limits.clear()

    def _count_instances(self, now: float) -> None:
        if now - self._counted_at < COUNT_INTERVAL:
            return
        self._counted_at = now
        members = self._board.members
        own = self._board.member
        registered = {
            member.address: member
            for name, member in members.registered.items()
            if members.ended.get(name) != member
        }
        registered[own.address] = own
        are_earlier_ended = self._are_earlier_ended()
        heard = sum(
            self._hears(member, now, are_earlier_ended)
            for member in registered.values()
        )
        if len(registered) != self._instances:
            self._instances = len(registered)
            self._limits.clear()
        self._heard = heard
        self._heard_time.advance(now, heard / self._instances)

    def _hears(self, member: Member, now: float, are_earlier_ended: bool) -> bool:
        if member == self._board.member:
            former = self._board.quotas.former_heard_at
            is_former_over = former is None or former + FLOOR_DELAY <= now
            return are_earlier_ended or is_former_over
        hearing = self._hearings.get(member.address)
        if hearing is None or hearing.member != member or now >= hearing.until:
            return False
        return are_earlier_ended or hearing.since <= now
