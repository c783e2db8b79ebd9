"""Tokens that the operations of workspaces need, leased from the fleet's leader."""

import asyncio
import math
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace

from burdocksail.board import Blackboard, Member
from burdocksail.catalog import Catalog, Workspace
from burdocksail.core import FailureKind, get_logger
from burdocksail.fleet import (
    Address,
    AllowanceDemand,
    AllowanceDemands,
    AllowanceRequest,
    Allowances,
    Message,
)
from burdocksail.serving._allowance_requests import (
    ANSWER_TIMEOUT,
    AllowanceRequests,
    SentDemands,
)
from burdocksail.serving._replies import CommandFailed
from burdocksail.traffic import (
    DELIVERY_MARGIN,
    TOKEN_LIFETIME,
    AllowanceLimit,
    AllowanceStock,
    Batch,
    compute_limit,
    find_floor_start,
)

RENEW_INTERVAL = 0.3  # seconds between renewals of the lease
# An operation waits for tokens that the leader expects within this time, as long as
# the limit below allows it.
MAX_GRANT_WAIT = 0.05  # seconds
# Seconds between an answer and the next request of an instance, after the leader had
# too few tokens. 18 instances send at most 180 requests/s then, and 60 renewals/s.
REFUSED_INTERVAL = 0.05
# Operations wait for the next renewal if it is due within this time.
RENEWAL_WAIT = 0.05  # seconds
MIN_REQUEST_INTERVAL = 0.02  # seconds, otherwise
TIMER_MARGIN = 0.002  # seconds
MIN_RETRY_AFTER = 0.1  # seconds
# A demand takes its workspace's name and some 60 bytes. With the other fields, a
# datagram is then below 1,200 bytes.
MAX_DEMAND_BYTES = 1000
MAX_RIDING_BYTES = 600  # in a renewal
DEMAND_BYTES = 60
IDLE_TIMEOUT = 40.0  # seconds until the state of an idle workspace is dropped
DESCRIBED_WORKSPACES = 10


@dataclass(slots=True)
class _Waiter:
    """An operation that waits for a token.

    Attributes
    ----------
    granted : Future
        Its result is whether a token was reserved.
    is_preferred : bool
        Whether the operation is of the first priority.
    """

    granted: asyncio.Future
    is_preferred: bool


@dataclass(slots=True)
class _Holding:
    """State of one workspace at this instance.

    Attributes
    ----------
    waiters : deque of _Waiter
        Operations that wait for tokens.
    used_at : float
        Clock reading at which an operation last came.
    """

    workspace: Workspace
    used_at: float
    stock: AllowanceStock = field(default_factory=AllowanceStock)
    waiters: deque[_Waiter] = field(default_factory=deque)

    @property
    def is_unused(self) -> bool:
        """Return whether nothing would be lost by dropping this state."""
        stock = self.stock
        return not (self.waiters or stock.reserved or stock.asked)

    def count_preferred(self) -> int:
        """Return how many operations of the first priority wait."""
        return sum(waiter.is_preferred for waiter in self.waiters)

    def take_first(self) -> _Waiter:
        """Remove the operation that gets the next token: those preferred first."""
        first = next((w for w in self.waiters if w.is_preferred), self.waiters[0])
        self.waiters.remove(first)
        return first


class Reservation:
    """Permission for one operation to be sent to a server."""

    def __init__(self, holder: "AllowanceHolder", holding: _Holding):
        self._holder = holder
        self._holding = holding
        self._is_open = True

    def spend(self) -> float | None:
        """Spend a token; return until when the operation may be sent.

        None if the tokens have expired and there is no other.
        """
        if not self._is_open:
            return None
        self._is_open = False
        return self._holder.spend(self._holding)

    def release(self) -> None:
        """Give the reservation up, if it was not spent."""
        if self._is_open:
            self._is_open = False
            self._holding.stock.release()


class OperationAllowance:
    """The token of one operation, over all attempts to run it.

    An attempt that has provably not run leaves the token to the next one, as long as
    the token can be used.
    """

    def __init__(
        self,
        holder: "AllowanceHolder",
        board: Blackboard,
        workspace: str,
        priority: int = 0,
    ):
        self._holder = holder
        self._board = board
        self._workspace = workspace
        self._priority = priority
        self._reservation: Reservation | None = None
        self._sendable_until = float("-inf")

    async def reserve(self) -> None:
        """Reserve a token, if the next attempt needs one.

        Raises
        ------
        CommandFailed
            If there is none; the operation has not run.
        """
        if self._reservation is None and self._board.now() > self._sendable_until:
            self._reservation = await self._holder.take(self._workspace, self._priority)
            if self._reservation is None:
                self._sendable_until = float("inf")

    def spend(self) -> bool:
        """Return whether the operation may be sent to a server now."""
        if self._reservation is not None:
            usable_until = self._reservation.spend()
            self._reservation = None
            if usable_until is None:
                return False
            self._sendable_until = usable_until
        return self._board.now() <= self._sendable_until

    def use_up(self) -> None:
        """Record that an attempt may have run, so that another one needs a token."""
        self._sendable_until = float("-inf")

    def release(self) -> None:
        """Give up the reservation of an operation that is not sent any more."""
        if self._reservation is not None:
            self._reservation.release()
            self._reservation = None


class AllowanceHolder:
    """Leases tokens for the workspaces that are active at this instance.

    Does nothing without quota bounds, and for workspaces without a rate.

    Parameters
    ----------
    send : callable
        Sends a message to the address of another instance.
    issue : callable
        Answers a member's demands in an epoch if this instance is the leader.
    """

    def __init__(
        self,
        board: Blackboard,
        send: Callable[[Address, Message], None] = lambda address, message: None,
        issue: Callable[
            [Member, int, AllowanceDemands], Allowances | None
        ] = lambda member, epoch, demands: None,
    ):
        self._board = board
        self._send = send
        self._issue = issue
        self._holdings: dict[str, _Holding] = {}
        self._requests = AllowanceRequests(board.member.incarnation)
        self._limits: dict[str, AllowanceLimit] = {}
        self._limits_key: tuple = ()
        self._catalog: Catalog | None = None
        self._first_priority = 0
        self._has_priorities = False
        self._flush_scheduled = False
        self._next_request_at = float("-inf")
        self._next_renewal_at = float("-inf")
        self._floor_start: float | None = None
        self._log = get_logger()

    async def run(self) -> None:
        """Renew the stock while this instance leads; does not return."""
        while True:
            await asyncio.sleep(RENEW_INTERVAL)
            self._drop_expired()
            authority = self._board.authority
            if self._holdings and authority.leader == self._board.member:
                self._ask_directly(self._holdings.values())

    def collect_demands(self) -> AllowanceDemands | None:
        """Return the demands for the next renewal, None without any.

        Those that have not been answered are sent again, so that neither the tokens
        that are granted nor those that are returned are lost with a message.
        """
        self._drop_expired()
        now = self._board.now()
        self._next_renewal_at = now + RENEW_INTERVAL
        sent = self._requests.find_overdue(now)
        if sent is not None:
            sent.is_resent = True
            return sent.demands
        if not self._holdings or self._board.quotas.bounds is None:
            return None
        demands = self._make_demands(self._holdings.values(), MAX_RIDING_BYTES)
        return self._open(demands, rides=True).demands if demands else None

    async def take(self, workspace_name: str, priority: int = 0) -> Reservation | None:
        """Return a reservation for one operation, None if it needs none.

        Parameters
        ----------
        priority : int
            Priority of the operation's route; 0 is the highest.

        Raises
        ------
        CommandFailed
            If there is no token; the operation has not run.
        """
        self._apply_catalog()
        workspace = self._find_workspace(workspace_name)
        if workspace is None:
            return None
        holding = self._find_holding(workspace)
        stock = holding.stock
        now = self._board.now()
        holding.used_at = now
        stock.demand.record(now)
        floor_start = self._fill_floor(holding)
        if not holding.waiters and stock.reserve(now):
            return Reservation(self, holding)
        if floor_start is not None:
            raise self._reject_at_floor(holding)
        is_preferred = priority <= self._first_priority
        if stock.find_blocked_until(is_preferred) > now + MAX_GRANT_WAIT:
            raise self._reject(holding, "the rate of the workspace is used up")
        return await self._wait_for_grant(holding, is_preferred)

    def spend(self, holding: _Holding) -> float | None:
        """Spend a token that an operation has reserved; see `Reservation.spend`."""
        self._apply_catalog()
        self._fill_floor(holding)
        usable_until = holding.stock.spend(self._board.now())
        outcome = "expired" if usable_until is None else "spent"
        self._board.metrics.count(f"allowances_{outcome}")
        return usable_until

    def record_round_trip(self, seconds: float) -> None:
        """Record the time from a renewal to its answer."""
        self._requests.round_trips.record(seconds)

    def receive(self, epoch: int, allowances: Allowances) -> None:
        """Add the tokens of an answer, unless it has been given before."""
        now = self._board.now()
        sent = self._requests.close(allowances.number, epoch)
        if sent is None:
            self._board.metrics.count("allowance_grants_ignored")
            return
        if not sent.rides:
            self._next_request_at = now + MIN_REQUEST_INTERVAL
        if sent.is_awaited:
            self._end_waiting(sent)
        wanted = {demand.workspace: demand.wanted for demand in sent.demands.demands}
        for allowance in allowances.allowances:
            holding = self._holdings.get(allowance.workspace)
            limit = wanted.get(allowance.workspace, 0)
            if holding is not None and allowance.granted <= limit:
                usable_until = sent.sent_at + TOKEN_LIFETIME - DELIVERY_MARGIN
                holding.stock.add(
                    Batch(allowance.granted, usable_until, epoch, allowances.slot)
                )
                self._board.metrics.count("allowances_granted", allowance.granted)
                self._settle(holding, allowance.wait or 0.0, now)
        if any(holding.waiters for holding in self._holdings.values()):
            self._schedule_flush()

    def describe(self) -> dict[str, object]:
        """Return the state of the busiest workspaces, as shown in the state dump."""
        now = self._board.now()
        busiest = sorted(
            self._holdings.items(), key=lambda i: -i[1].stock.demand.estimate(now)
        )
        return {
            "on_floor": self._floor_start is not None,
            "workspaces": {
                name: {
                    "tokens": holding.stock.count(now),
                    "reserved": holding.stock.reserved,
                    "waiting": len(holding.waiters),
                    "demand": round(holding.stock.demand.estimate(now), 1),
                    "exhausted_s": round(
                        max(0.0, holding.stock.exhausted_until - now), 3
                    ),
                }
                for name, holding in busiest[:DESCRIBED_WORKSPACES]
            },
        }

    def _find_workspace(self, name: str) -> Workspace | None:
        catalog = self._board.catalog.catalog
        if not name or catalog is None or catalog.workspaces is None:
            return None
        if self._board.quotas.bounds is None:
            return None
        workspace = catalog.workspaces.by_name.get(name)
        return None if workspace is None or workspace.rate is None else workspace

    def _find_holding(self, workspace: Workspace) -> _Holding:
        holding = self._holdings.get(workspace.name)
        if holding is None:
            holding = _Holding(workspace, self._board.now())
            self._holdings[workspace.name] = holding
        return holding

    def _apply_catalog(self) -> None:
        """Drop the tokens of workspaces whose limit has changed."""
        catalog = self._board.catalog.catalog
        if catalog is self._catalog:
            return
        self._catalog = catalog
        priorities = {r.priority for r in catalog.routes.values()} if catalog else set()
        self._first_priority = min(priorities, default=0)
        self._has_priorities = len(priorities) > 1
        for name, holding in self._holdings.items():
            workspace = self._find_workspace(name)
            if workspace != holding.workspace:
                holding.workspace = workspace or holding.workspace
                holding.stock.clear()

    def _find_limit(self, workspace: Workspace) -> AllowanceLimit:
        quotas = self._board.quotas
        instances = max(1, quotas.registered_count)
        key = (instances, self._board.catalog.catalog)
        if key != self._limits_key:
            self._limits_key = key
            self._limits.clear()
        limit = self._limits.get(workspace.name)
        if limit is None:
            bounds = quotas.bounds
            limit = compute_limit(
                workspace.rate,
                workspace.burst,
                bounds.compute_bound(workspace.rate, workspace.burst),
                bounds.window,
                bounds.slack,
                instances,
            )
            self._limits[workspace.name] = limit
        return limit

    def _fill_floor(self, holding: _Holding) -> float | None:
        """Fill the floor of a workspace; return when floors began, None without one."""
        quotas = self._board.quotas
        now = self._board.now()
        start = find_floor_start(quotas.heard_at, quotas.answered_at, now)
        if start != self._floor_start:
            if (start is None) != (self._floor_start is None):
                event = "allowance floor left" if start is None else "allowance floor"
                self._log.info(event, epoch=self._board.authority.epoch)
                self._board.metrics.count("allowance_floors")
            self._floor_start = start
        holding.stock.floor.fill(now, start, self._find_limit(holding.workspace))
        return start

    async def _wait_for_grant(
        self, holding: _Holding, is_preferred: bool
    ) -> Reservation:
        granted = asyncio.get_running_loop().create_future()
        waiter = _Waiter(granted, is_preferred)
        holding.waiters.append(waiter)
        self._schedule_flush()
        try:
            await asyncio.wait((granted,), timeout=ANSWER_TIMEOUT)
        except asyncio.CancelledError:
            if granted.done() and granted.result():
                holding.stock.release()
            raise
        finally:
            if waiter in holding.waiters:
                holding.waiters.remove(waiter)
        if not granted.done():
            self._board.metrics.count("allowances_unanswered")
            self._expect_answer(holding)
            raise self._reject(holding, "the leader has not answered")
        if not granted.result():
            raise self._reject(holding, "the rate of the workspace is used up")
        return Reservation(self, holding)

    def _settle(self, holding: _Holding, wait: float, now: float) -> None:
        """Hand tokens to operations that wait, and reject the others if that is known.

        Parameters
        ----------
        wait : float
            Seconds until the leader expects to have more tokens.
        """
        stock = holding.stock
        while holding.waiters and stock.reserve(now):
            granted = holding.take_first().granted
            if granted.done():
                stock.release()
            else:
                granted.set_result(True)
        if not holding.waiters:
            return
        self._next_request_at = now + REFUSED_INTERVAL
        rate = holding.workspace.rate
        is_preferred = not self._has_priorities or holding.count_preferred() > 0
        stock.record_refusal(now, wait, rate, is_preferred)
        if wait <= MAX_GRANT_WAIT:
            return
        for waiter in holding.waiters:
            if not waiter.granted.done():
                waiter.granted.set_result(False)
        holding.waiters.clear()

    def _reject(self, holding: _Holding, reason: str) -> CommandFailed:
        self._board.metrics.count("allowances_rejected")
        wait = holding.stock.compute_retry_after(self._board.now())
        return CommandFailed(FailureKind.BUSY, reason, max(wait, MIN_RETRY_AFTER))

    def _reject_at_floor(self, holding: _Holding) -> CommandFailed:
        now = self._board.now()
        limit = self._find_limit(holding.workspace)
        rate = limit.floor_rate
        wait = (1.0 - holding.stock.floor.level) / rate if rate else ANSWER_TIMEOUT
        holding.stock.record_refusal(now, max(0.0, wait), rate)
        return self._reject(holding, "no leader answers, and the minimum rate is used")

    def _expect_answer(self, holding: _Holding) -> None:
        """Record when tokens will be here that have not come in time."""
        now = self._board.now()
        longest = self._requests.round_trips.estimate_longest()
        stock = holding.stock
        # Without tokens in flight, the next renewal asks for them.
        sent_at = self._requests.find_latest() if stock.asked else None
        if sent_at is None:
            sent_at = now + RENEW_INTERVAL
        expected_at = max(sent_at + longest, now + MIN_RETRY_AFTER)
        stock.retry_at = max(stock.retry_at, expected_at)
        stock.retry_interval = 0.0

    def _schedule_flush(self) -> None:
        """Send a request once all tasks that are ready now have asked for tokens."""
        if not self._flush_scheduled:
            self._flush_scheduled = True
            now = self._board.now()
            send_at = max(now, self._next_request_at)
            if send_at < self._next_renewal_at <= send_at + RENEWAL_WAIT:
                send_at = self._next_renewal_at
            delay = send_at - now
            # A timer may end slightly before its time.
            delay += TIMER_MARGIN if delay else 0.0
            asyncio.get_running_loop().call_later(delay, self._flush)

    def _flush(self) -> None:
        """Ask for the operations that wait, unless a request is in flight.

        What comes meanwhile is asked for when that is answered.
        """
        self._flush_scheduled = False
        self._drop_expired()
        leader = self._board.authority.leader
        waiting = [h for h in self._holdings.values() if h.waiters]
        if leader is None or not waiting:
            return
        if leader == self._board.member:
            self._ask_directly(waiting)
            return
        if self._requests.find_awaited(rides=False) is not None:
            return
        demands = self._make_demands(waiting, MAX_DEMAND_BYTES, urgent_only=True)
        if demands:
            self._send_request(self._open(demands, rides=False))
        else:
            self._flush_when_filled(waiting)
        self._resend_riding()

    def _flush_when_filled(self, waiting: list[_Holding]) -> None:
        """Ask again when the leader expects to have tokens for operations that wait."""
        now = self._board.now()
        refused = [h.stock.find_blocked_until(h.count_preferred() > 0) for h in waiting]
        until = min((u for u in refused if u > now), default=None)
        if until is not None:
            self._next_request_at = max(self._next_request_at, until)
            self._schedule_flush()

    def _resend_riding(self) -> None:
        """Send demands that ride on renewals again if operations wait for them."""
        sent = self._requests.find_awaited(rides=True)
        if sent is not None:
            self._schedule_resend(sent)

    def _send_request(self, sent: SentDemands) -> None:
        self._board.metrics.count("allowance_requests")
        self._send(sent.address, self._make_request(sent))
        self._schedule_resend(sent)

    def _schedule_resend(self, sent: SentDemands) -> None:
        delay = self._requests.round_trips.compute_resend_delay()
        if delay is not None and not sent.is_resent:
            delay = max(0.0, sent.sent_at + delay - self._board.now())
            number = sent.demands.number
            asyncio.get_running_loop().call_later(delay, self._resend, number)

    def _resend(self, number: int) -> None:
        sent = self._requests.find(number)
        if sent is None or sent.is_resent or not self._is_waited_for(sent):
            return
        sent.is_resent = True
        self._board.metrics.count("allowance_requests_resent")
        self._send(sent.address, self._make_request(sent))

    def _is_waited_for(self, sent: SentDemands) -> bool:
        holdings = (self._holdings.get(d.workspace) for d in sent.demands.demands)
        return any(h is not None and h.waiters for h in holdings)

    def _make_request(self, sent: SentDemands) -> AllowanceRequest:
        return AllowanceRequest(self._board.member, sent.epoch, sent.demands)

    def _ask_directly(self, holdings: Iterable[_Holding]) -> None:
        """Ask this instance itself, which leads."""
        demands = self._make_demands(holdings, math.inf)
        if not demands:
            return
        sent = self._open(demands, rides=False)
        answer = self._issue(self._board.member, sent.epoch, sent.demands)
        if answer is not None:
            self.receive(sent.epoch, answer)

    def _make_demands(
        self, holdings: Iterable[_Holding], max_bytes: float, urgent_only: bool = False
    ) -> list[AllowanceDemand]:
        """Return the demands that fit into a message.

        Parameters
        ----------
        urgent_only : bool, optional
            Whether only workspaces are named for whose operations tokens are missing.
        """
        now = self._board.now()
        demands: list[AllowanceDemand] = []
        size = 0
        # Operations that wait come first where not all fit.
        for holding in sorted(holdings, key=lambda h: not h.waiters):
            if size >= max_bytes:
                break
            made = self._make_demand(holding, now, urgent_only)
            size += len(made) * (len(holding.workspace.name.encode()) + DEMAND_BYTES)
            demands += made
        return demands

    def _make_demand(
        self, holding: _Holding, now: float, urgent_only: bool
    ) -> list[AllowanceDemand]:
        """Return the demand for a workspace, and one for each further batch."""
        stock = holding.stock
        waiting = len(holding.waiters)
        if urgent_only and stock.compute_missing(now, waiting) <= 0:
            return []
        epoch = self._board.authority.epoch
        unused = stock.take_unused(now, epoch)
        wanted = 0
        preferred = holding.count_preferred() if self._has_priorities else 0
        if now >= stock.exhausted_until:
            # Until the next renewal, and its answer.
            lasting = RENEW_INTERVAL + self._requests.round_trips.average
            wanted = stock.compute_wanted(now, waiting, lasting)
        elif now >= stock.preferred_until:
            wanted = preferred
        if not wanted and not unused:
            return []
        missing = max(0, stock.compute_missing(now, waiting))
        stock.asked += wanted
        demand = AllowanceDemand(
            holding.workspace.name,
            0,
            0,
            round(stock.demand.estimate_others(now), 3),
            round(stock.demand.compute_idle_time(now), 3),
            preferred=preferred if self._has_priorities else None,
        )
        demands = [
            replace(demand, returned=batch.count, returned_slot=batch.slot)
            for batch in unused
        ]
        # The leader takes the batches back before it grants others.
        last = demands.pop() if demands else demand
        return [*demands, replace(last, wanted=wanted, urgent=min(wanted, missing))]

    def _open(self, demands: list[AllowanceDemand], rides: bool) -> SentDemands:
        authority = self._board.authority
        now = self._board.now()
        address = authority.leader.address
        return self._requests.open(demands, authority.epoch, address, now, rides)

    def _drop_expired(self) -> None:
        self._apply_catalog()
        now = self._board.now()
        epoch = self._board.authority.epoch
        for sent in self._requests.expire(now, epoch, TOKEN_LIFETIME):
            self._end_waiting(sent)
        for name, holding in list(self._holdings.items()):
            if holding.used_at < now - IDLE_TIMEOUT and holding.is_unused:
                del self._holdings[name]

    def _end_waiting(self, sent: SentDemands) -> None:
        """Count the tokens of demands no longer as asked for."""
        for demand in sent.demands.demands:
            holding = self._holdings.get(demand.workspace)
            if holding is not None:
                holding.stock.asked -= demand.wanted
