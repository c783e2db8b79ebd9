"""Tokens for the quotas of workspaces, as the leader hands them out in one epoch."""

import math
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from burdocksail.board import Blackboard, Member, count_leaderships
from burdocksail.catalog import Catalog, Workspace
from burdocksail.fleet import (
    Address,
    Allowance,
    AllowanceDemand,
    AllowanceDemands,
    AllowanceHandover,
    Allowances,
    Peers,
    Renew,
)
from burdocksail.traffic import (
    FLOOR_DELAY,
    TOKEN_LIFETIME,
    AllowanceBucket,
    AllowanceLedger,
    AllowanceLimit,
    HeardTime,
    TokenDemand,
    compute_credit_share,
    compute_limit,
    find_slot,
)

# An instance counts as one that hears the leader for this time after an answer that
# has reached it: two lost renewals in a row. The next leader may count it after that,
# and its floor begins at `FLOOR_DELAY`, which is later by more than `COUNT_INTERVAL`.
HEARD_TIME = 1.0  # seconds
COUNT_INTERVAL = 0.05  # seconds between two counts
MAX_ANSWERS = 8  # for each instance; a request is sent twice within 50 ms
MAX_DEMAND = 1e9  # operations per second; larger values are not numbers in use
# Share of the instances that hear a leader, from which it uses what it inherits.
INHERITING_SHARE = 0.5
MAX_RESTS = 100_000  # many times the workspaces of a configuration
RESTS_PER_MESSAGE = 20  # with long names of workspaces, below 1,200 bytes
# Seconds from the start of a leadership in which its credit can be granted, whatever
# the bucket holds. A window that holds such a grant holds that beginning, or begins
# this much later.
CREDIT_TIME = 3.0
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
    answers: OrderedDict[int, Allowances] = field(default_factory=OrderedDict)

    def is_outdated(self, number: int) -> bool:
        """Return whether an answer to this request may have been forgotten."""
        is_full = len(self.answers) >= MAX_ANSWERS
        return is_full and number < next(iter(self.answers))

    def record(self, number: int, answer: Allowances) -> None:
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
    are_instances_known : callable
        Returns whether every instance in a listing of the store is known here. Until
        then at least as many are counted as the former leader has told.
    """

    def __init__(
        self,
        board: Blackboard,
        epoch: int,
        are_earlier_ended: Callable[[], bool],
        are_instances_known: Callable[[], bool] = lambda: True,
    ):
        self._board = board
        self._epoch = epoch
        self._are_earlier_ended = are_earlier_ended
        self._are_instances_known = are_instances_known
        self._told_count = board.quotas.registered_count
        self._hearings: dict[Address, Hearing] = {}
        self._ledgers: dict[str, AllowanceLedger] = {}
        self._limits: dict[str, AllowanceLimit] = {}
        self._answered: dict[str, AnsweredRequests] = {}
        self._catalog: Catalog | None = None
        self._heard_time = HeardTime(board.now())
        self._heard = 0
        self._instances = 0
        self._counted_at = float("-inf")
        self._is_closed = False
        # Leaderships that began before this one, at clock readings.
        self._began_at = board.now()
        self._earlier = board.quotas.leader_changes.copy()
        self._received: set[tuple[int, str]] = set()
        self._inherited: dict[str, float] = {}
        self._rests: list[Allowance] = []

    def record_renewal(self, renewal: Renew) -> None:
        """Record until when the sender of a renewal hears this leader.

        The instances are counted here as well, so that buckets fill also while no
        tokens are asked for.
        """
        if renewal.epoch != self._epoch or renewal.leader_time is None:
            return
        now = self._board.now()
        since = now
        if renewal.former_silence is not None:
            since += max(0.0, HEARD_TIME - max(0.0, renewal.former_silence))
        until = min(now, renewal.leader_time) + HEARD_TIME
        address = renewal.member.address
        known = self._hearings.get(address)
        if known is None or known.member != renewal.member:
            self._hearings[address] = Hearing(renewal.member, since, until)
        else:
            known.since = min(known.since, since)
            known.until = max(known.until, until)
        self._count_instances(now)

    def answer(
        self, member: Member, epoch: int, demands: AllowanceDemands
    ) -> Allowances | None:
        """Return the answer to demands; None if of another epoch or too old.

        Demands that arrive again are given the same answer.
        """
        is_in_use = self._board.quotas.bounds is not None and not self._is_closed
        if epoch != self._epoch or not is_in_use:
            return None
        answered = self._find_answered(member)
        known = answered.answers.get(demands.number)
        if known is not None or answered.is_outdated(demands.number):
            return known
        now = self._board.now()
        self._count_instances(now)
        self._apply_catalog(now)
        answer = Allowances(
            demands.number,
            find_slot(now),
            tuple(self._allow(member.name, d, now) for d in demands.demands),
        )
        answered.record(demands.number, answer)
        return answer

    def close(self) -> None:
        """Stop issuing tokens, and note what is left for the next leader."""
        if self._is_closed:
            return
        self._is_closed = True
        if self._board.quotas.bounds is None:
            return
        now = self._board.now()
        self._count_instances(now)
        self._apply_catalog(now)
        if self._catalog is None or self._catalog.workspaces is None:
            return
        for name in self._catalog.workspaces.by_name:
            workspace = self._find_workspace(name)
            if workspace is not None:
                level = self._fill(workspace, now).bucket.level
                if level >= 1.0:
                    self._rests.append(Allowance(name, int(level), 0.0))

    def hand_over(self, address: Address, peers: Peers) -> None:
        """Send what is left in the buckets to the leader of a later epoch, once."""
        rests, self._rests = self._rests, []
        for start in range(0, len(rests), RESTS_PER_MESSAGE):
            part = tuple(rests[start : start + RESTS_PER_MESSAGE])
            message = AllowanceHandover(self._board.member, self._epoch, part)
            peers.send(address, message)

    def receive_handover(self, handover: AllowanceHandover) -> None:
        """Add what an earlier leader had left, once for each workspace."""
        if handover.epoch >= self._epoch or self._is_closed:
            return
        for rest in handover.allowances:
            key = (handover.epoch, rest.workspace)
            if key not in self._received and len(self._received) < MAX_RESTS:
                self._received.add(key)
                self._inherit(rest.workspace, max(0, rest.granted))

    def _inherit(self, name: str, tokens: float) -> None:
        self._inherited[name] = self._inherited.get(name, 0.0) + tokens

    def _compute_credit(self, limit: AllowanceLimit) -> float:
        """Return the tokens with which this leadership begins."""
        span = self._board.quotas.bounds.window + TOKEN_LIFETIME + CREDIT_TIME
        earlier = count_leaderships(self._earlier, self._began_at - span)
        return limit.credits * compute_credit_share(earlier)

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
        returned = 0
        if demand.returned is not None and demand.returned_slot is not None:
            returned = ledger.give_back(demand.returned_slot, demand.returned)
        limit = self._limits[workspace.name]
        share = self._heard_time.share
        is_usual = 0.0 <= demand.rate <= MAX_DEMAND
        granted, wait = ledger.grant(
            TokenDemand(
                instance,
                demand.wanted,
                demand.urgent,
                demand.rate if is_usual else 0.0,
                demand.idle if demand.idle >= 0.0 else math.inf,
                returned,
                None if demand.preferred is None else max(0, demand.preferred),
            ),
            now,
            limit.rate * share,
            limit.depth * share,
        )
        return Allowance(workspace.name, granted, wait or None)

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
            bucket = AllowanceBucket(now, self._compute_credit(limit))
            ledger = AllowanceLedger(bucket, 0.0)
            self._ledgers[workspace.name] = ledger
        ledger.fill(now, limit, self._heard_time)
        if now >= self._began_at + CREDIT_TIME:
            ledger.bucket.lapse_credit()
        if self._heard_time.share >= INHERITING_SHARE:
            # Before, the depth of the bucket would not hold them.
            ledger.bucket.add(self._inherited.pop(workspace.name, 0.0))
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
        count = len(registered)
        if not self._are_instances_known():
            count = max(count, self._told_count)
        if count != self._instances:
            self._instances = count
            self._limits.clear()
        self._heard = heard
        self._heard_time.advance(now, heard / self._instances)

    def _hears(self, member: Member, now: float, are_earlier_ended: bool) -> bool:
        if member == self._board.member:
            former = self._board.quotas.former_heard_at
            is_former_over = former is None or former + HEARD_TIME <= now
            return are_earlier_ended or is_former_over
        hearing = self._hearings.get(member.address)
        if hearing is None or hearing.member != member or now >= hearing.until:
            return False
        return are_earlier_ended or hearing.since <= now
