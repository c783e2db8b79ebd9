"""Tokens that the operations of workspaces need, leased from the fleet's leader."""

import asyncio
import itertools
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from burdocksail.board import Blackboard
from burdocksail.catalog import Workspace
from burdocksail.core import FailureKind, get_logger
from burdocksail.fleet import (
    Address,
    AllowanceDemand,
    AllowanceGrant,
    AllowanceRequest,
    Message,
)
from burdocksail.serving._replies import CommandFailed
from burdocksail.traffic import (
    USABLE_TIME,
    AllowanceLimit,
    AllowanceStock,
    Batch,
    compute_limit,
    find_floor_start,
)

RENEW_INTERVAL = 0.1  # seconds; a batch lasts for several of them
RESEND_DELAY = 0.05  # seconds; longer than a round trip between regions
# An operation waits for tokens that the leader expects within this time, as long as
# the limit below allows it.
MAX_GRANT_WAIT = 0.1  # seconds
MIN_REQUEST_INTERVAL = 0.01  # seconds, after the leader had too few tokens
STOCK_PAUSE = 0.3  # seconds; see `AllowanceStock.stock_paused_until`
ANSWER_TIMEOUT = 0.15  # seconds that an operation waits for tokens
# A demand takes its workspace's name and some 35 bytes. With the other fields, a
# datagram is then below 1,200 bytes.
MAX_DEMAND_BYTES = 1000
DEMAND_BYTES = 35
IDLE_TIMEOUT = 10.0  # seconds until the state of an idle workspace is dropped
DESCRIBED_WORKSPACES = 10


@dataclass(slots=True)
class _Holding:
    """State of one workspace at this instance.

    Attributes
    ----------
    waiters : deque of Future
        Operations that wait for tokens. The result is whether one was reserved.
    asked_until : float
        Clock reading until which no further tokens are asked for, as a request is
        in flight.
    used_at : float
        Clock reading at which an operation last came.
    """

    workspace: Workspace
    used_at: float
    stock: AllowanceStock = field(default_factory=AllowanceStock)
    waiters: deque[asyncio.Future] = field(default_factory=deque)
    asked_until: float = float("-inf")

    @property
    def is_unused(self) -> bool:
        """Return whether nothing would be lost by dropping this state."""
        return not self.waiters and not self.stock.reserved


@dataclass(frozen=True, slots=True)
class _SentRequest:
    """A request that has not been answered."""

    request: AllowanceRequest
    address: Address
    sent_at: float


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

    def __init__(self, holder: "AllowanceHolder", board: Blackboard, workspace: str):
        self._holder = holder
        self._board = board
        self._workspace = workspace
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
            self._reservation = await self._holder.take(self._workspace)
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
        Answers a request if this instance is the leader.
    """

    def __init__(
        self,
        board: Blackboard,
        send: Callable[[Address, Message], None] = lambda address, message: None,
        issue: Callable[[AllowanceRequest], AllowanceGrant | None] = lambda request: (
            None
        ),
    ):
        self._board = board
        self._send = send
        self._issue = issue
        self._holdings: dict[str, _Holding] = {}
        self._sent: dict[int, _SentRequest] = {}
        self._numbers = itertools.count(1)
        self._limits: dict[str, AllowanceLimit] = {}
        self._limits_key: tuple = ()
        self._flush_scheduled = False
        self._floor_start: float | None = None
        self._log = get_logger()

    async def run(self) -> None:
        """Renew batches before they are used up, and return tokens; does not return."""
        while True:
            await asyncio.sleep(RENEW_INTERVAL)
            if self._holdings:
                self._renew()

    async def take(self, workspace_name: str) -> Reservation | None:
        """Return a reservation for one operation, None if it needs none.

        Raises
        ------
        CommandFailed
            If there is no token; the operation has not run.
        """
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
        if stock.exhausted_until > now + MAX_GRANT_WAIT:
            raise self._reject(holding, "the rate of the workspace is used up")
        return await self._wait_for_grant(holding)

    def spend(self, holding: _Holding) -> float | None:
        """Spend a token that an operation has reserved; see `Reservation.spend`."""
        self._fill_floor(holding)
        usable_until = holding.stock.spend(self._board.now())
        outcome = "expired" if usable_until is None else "spent"
        self._board.metrics.count(f"allowances_{outcome}")
        return usable_until

    def handle_grant(self, grant: AllowanceGrant) -> None:
        """Add the tokens of a grant, unless its request has been answered before."""
        sent = self._sent.pop(grant.number, None)
        now = self._board.now()
        if sent is None or sent.request.epoch != grant.epoch:
            self._board.metrics.count("allowance_grants_ignored")
            return
        usable_until = sent.sent_at + USABLE_TIME
        wanted = {demand.workspace: demand.wanted for demand in sent.request.demands}
        for allowance in grant.allowances:
            holding = self._holdings.get(allowance.workspace)
            limit = wanted.get(allowance.workspace, 0)
            if holding is None or allowance.granted > limit:
                continue
            batch = Batch(allowance.granted, usable_until, grant.epoch, grant.slot)
            holding.stock.add(batch)
            self._board.metrics.count("allowances_granted", allowance.granted)
            if limit:
                holding.asked_until = now
                if allowance.granted < limit:
                    holding.stock.stock_paused_until = now + STOCK_PAUSE
                self._settle(holding, allowance.wait, now)

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
        elif holding.workspace != workspace:
            holding.workspace = workspace
            holding.stock.clear()
        return holding

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

    async def _wait_for_grant(self, holding: _Holding) -> Reservation:
        waiter = asyncio.get_running_loop().create_future()
        holding.waiters.append(waiter)
        self._schedule_flush()
        try:
            await asyncio.wait((waiter,), timeout=ANSWER_TIMEOUT)
        except asyncio.CancelledError:
            if waiter.done() and waiter.result():
                holding.stock.release()
            raise
        finally:
            if waiter in holding.waiters:
                holding.waiters.remove(waiter)
        if not waiter.done():
            self._board.metrics.count("allowances_unanswered")
            raise self._reject(holding, "the leader has not answered")
        if not waiter.result():
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
            waiter = holding.waiters.popleft()
            if waiter.done():
                stock.release()
            else:
                waiter.set_result(True)
        if not holding.waiters:
            return
        stock.record_refusal(now, wait, holding.workspace.rate)
        if wait <= MAX_GRANT_WAIT:
            delay = max(wait, MIN_REQUEST_INTERVAL)
            asyncio.get_running_loop().call_later(delay, self._schedule_flush)
            return
        for waiter in holding.waiters:
            if not waiter.done():
                waiter.set_result(False)
        holding.waiters.clear()

    def _reject(self, holding: _Holding, reason: str) -> CommandFailed:
        self._board.metrics.count("allowances_rejected")
        wait = holding.stock.compute_retry_after(self._board.now())
        return CommandFailed(FailureKind.BUSY, reason, max(wait, RESEND_DELAY))

    def _reject_at_floor(self, holding: _Holding) -> CommandFailed:
        now = self._board.now()
        limit = self._find_limit(holding.workspace)
        rate = limit.floor_rate
        wait = (1.0 - holding.stock.floor.level) / rate if rate else ANSWER_TIMEOUT
        holding.stock.record_refusal(now, max(0.0, wait), rate)
        return self._reject(holding, "no leader answers, and the minimum rate is used")

    def _schedule_flush(self) -> None:
        """Send requests once all tasks that are ready now have asked for tokens."""
        if not self._flush_scheduled:
            self._flush_scheduled = True
            asyncio.get_running_loop().call_soon(self._flush)

    def _flush(self) -> None:
        self._flush_scheduled = False
        self._request(h for h in self._holdings.values() if h.waiters)

    def _renew(self) -> None:
        now = self._board.now()
        for number, sent in list(self._sent.items()):
            if now >= sent.sent_at + USABLE_TIME:
                del self._sent[number]
        for name, holding in list(self._holdings.items()):
            if holding.used_at < now - IDLE_TIMEOUT and holding.is_unused:
                del self._holdings[name]
        self._request(self._holdings.values())

    def _request(self, holdings: Iterator[_Holding]) -> None:
        """Ask the leader for what is wanted, in as few messages as possible."""
        leader = self._board.authority.leader
        if leader is None:
            return
        now = self._board.now()
        demands: list[AllowanceDemand] = []
        size = 0
        for holding in list(holdings):
            demand = self._make_demand(holding, now)
            if demand is None:
                continue
            length = len(demand.workspace.encode()) + DEMAND_BYTES
            if size + length > MAX_DEMAND_BYTES and demands:
                self._send_request(demands)
                demands, size = [], 0
            demands.append(demand)
            size += length
        if demands:
            self._send_request(demands)

    def _make_demand(self, holding: _Holding, now: float) -> AllowanceDemand | None:
        stock = holding.stock
        unused = stock.take_unused(now, self._board.authority.epoch)
        wanted = 0
        waiting = len(holding.waiters)
        if now >= holding.asked_until and now >= stock.exhausted_until:
            wanted = stock.compute_wanted(now, waiting)
        if not wanted and unused is None:
            return None
        if wanted:
            holding.asked_until = now + ANSWER_TIMEOUT
        return AllowanceDemand(
            holding.workspace.name,
            wanted,
            min(wanted, max(0, stock.compute_missing(now, waiting))),
            stock.demand.estimate_others(now),
            0 if unused is None else unused.count,
            0 if unused is None else unused.slot,
        )

    def _send_request(self, demands: list[AllowanceDemand]) -> None:
        board = self._board
        leader = board.authority.leader
        number = next(self._numbers)
        request = AllowanceRequest(
            board.member, board.authority.epoch, number, tuple(demands)
        )
        self._sent[number] = _SentRequest(request, leader.address, board.now())
        board.metrics.count("allowance_requests")
        if leader == board.member:
            grant = self._issue(request)
            if grant is not None:
                self.handle_grant(grant)
            return
        self._send(leader.address, request)
        asyncio.get_running_loop().call_later(RESEND_DELAY, self._resend, number)

    def _resend(self, number: int) -> None:
        sent = self._sent.get(number)
        if sent is not None:
            self._board.metrics.count("allowance_requests_resent")
            self._send(sent.address, sent.request)
