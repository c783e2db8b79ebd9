"""Decides which callers may hold how much, and whose connections are closed.

Load: callers that send, or read, too much, too slowly or not at all, in any number.
A connection counts as slow by its progress and not by its total time. Time in which
the process itself did not run is not counted against callers.
"""

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum

from burdocksail.intake._limits import CallerLimits

SWEEP_INTERVAL = 0.5  # seconds
SMALL_MESSAGE = 16 << 10  # bytes; what is longer needs room before it is read on
PRESSURE = 0.5  # share of the bytes held from which less is read ahead
RELIEVED = 0.9  # share of the bytes held at which no more connections are closed
READ_AHEAD_UNDER_PRESSURE = 1 << 10  # bytes
# While others wait for room, a connection that holds some for `OBSERVED` seconds must
# move a quarter of what a link of 2 Mbit/s carries.
OBSERVED = 2.0  # seconds
RATE_UNDER_PRESSURE = 64 << 10  # bytes per second
IDLE_UNDER_PRESSURE = 5.0  # seconds
GREETING_UNDER_PRESSURE = 1.0  # seconds
# Looking for idle connections is linear in their number; hundreds of callers may
# come at once.
SEARCH_INTERVAL = 0.1  # seconds
SEARCH_SHARE = 0.02  # of the connections are closed by one search


class Kind(Enum):
    """What a connection is for."""

    CALLER = "callers"
    PAGE = "pages"
    PEER = "peers"


class Closing(Enum):
    """Limit that a connection has reached."""

    CONNECTIONS = "connections"
    HELD_BYTES = "held_bytes"
    MESSAGE = "message_s"
    ROOM = "room_wait_s"


class Phase(Enum):
    """What a connection that is being watched does."""

    GREETING = "greeting"
    RECEIVING = "receiving"
    WAITING = "waiting for room"
    DELIVERING = "delivering"


@dataclass(slots=True, eq=False)
class Account:
    """What one connection holds, and its progress.

    Attributes
    ----------
    close : callable
        Closes the connection; called with the limit that it has reached.
    is_idle : callable
        Returns whether closing the connection interrupts no request and no
        transaction.
    count_unsent : callable
        Returns the bytes of the answer that the caller has not taken.
    input_bytes, output_bytes, reserved_bytes : int
        Input that has been read and not consumed; answer that has not been taken;
        room for a large message.
    phase : Phase or None
        None if the caller owes nothing.
    moved : int
        Bytes that the caller has sent or taken in this phase.
    rate : float
        Recent bytes per second, as a moving average.
    """

    kind: Kind
    close: Callable[[Closing], None]
    opened_at: float
    is_idle: Callable[[], bool] = lambda: True
    count_unsent: Callable[[], int] = lambda: 0
    input_bytes: int = 0
    output_bytes: int = 0
    reserved_bytes: int = 0
    has_greeted: bool = False
    is_closed: bool = False
    phase: Phase | None = None
    since: float = 0.0
    moved: int = 0
    marked: int = 0
    rate: float = 0.0
    active_at: float = 0.0

    @property
    def held(self) -> int:
        """Return the bytes that the connection makes the process hold."""
        return max(self.input_bytes, self.reserved_bytes) + self.output_bytes


@dataclass(slots=True, eq=False)
class _RoomRequest:
    account: Account
    size: int
    asked_at: float
    answer: Callable[[bool], None]


@dataclass(slots=True)
class Ledger:
    """Accounts of all connections of a process.

    Parameters
    ----------
    clock : callable
        Returns the time in seconds.
    report : callable
        Called with each limit that has been reached, and for which kind.
    """

    limits: CallerLimits
    clock: Callable[[], float]
    report: Callable[[Closing, Kind], None] = lambda closing, kind: None
    used: int = 0
    reserved: int = 0
    peak: int = 0
    counts: dict[Kind, int] = field(default_factory=lambda: dict.fromkeys(Kind, 0))
    _accounts: dict[Account, None] = field(default_factory=dict)
    _watched: dict[Account, None] = field(default_factory=dict)
    _requests: deque[_RoomRequest] = field(default_factory=deque)
    _swept_at: float | None = None
    _lost_time: float = 0.0
    _searched_at: float = float("-inf")
    _coarse_now: float = 0.0  # time of the last sweep; read with each message
    _pressure_bytes: float = 0.0

    def __post_init__(self) -> None:
        self._coarse_now = self.clock()
        self._pressure_bytes = PRESSURE * self.limits.held_bytes

    def admit(self, kind: Kind, close: Callable[[Closing], None]) -> Account | None:
        """Return the account of a new connection, None if it is turned away.

        At the limit, connections that are idle make room for it.
        """
        if self.counts[kind] >= self._get_connection_limit(kind):
            self.report(Closing.CONNECTIONS, kind)
            self._close_idle(kind)
            if self.counts[kind] >= self._get_connection_limit(kind):
                return None
        now = self._now()
        account = Account(kind, close, now, active_at=now)
        self._accounts[account] = None
        self.counts[kind] += 1
        self._watch(account, Phase.GREETING)
        return account

    def disconnect(self, account: Account) -> None:
        """Record that a connection is lost; `remove` follows once it is not served.

        The copies of a message that is being served stay until then, and so does its
        room.
        """
        if account.is_closed:
            return
        is_served = account.phase is None
        self._drop_requests(account)
        self._unwatch(account)
        self.set_output(account, 0)
        if not is_served:
            self.end_request(account)
        self._grant()

    def remove(self, account: Account) -> None:
        """Forget a connection that has ended and is not served any more."""
        if account.is_closed:
            return
        account.is_closed = True
        self.used -= account.held
        self.reserved -= account.reserved_bytes
        self.counts[account.kind] -= 1
        self._accounts.pop(account, None)
        self._watched.pop(account, None)
        self._drop_requests(account)
        self._grant()

    def get_read_ahead(self) -> float:
        """Return the bytes that a connection may buffer while it is not read."""
        if self.used > self._pressure_bytes:
            return min(READ_AHEAD_UNDER_PRESSURE, self.limits.read_ahead_bytes)
        return self.limits.read_ahead_bytes

    def set_input(self, account: Account, size: int) -> None:
        """Record the bytes of input that a connection holds now."""
        if account.is_closed:
            return
        amount = size - account.input_bytes
        if amount > 0:
            account.moved += amount
        if account.reserved_bytes:
            before = account.held
            account.input_bytes = size
            amount = account.held - before
        else:
            account.input_bytes = size
        self.used += amount
        if amount > 0 and self.used > self.peak:
            self._note_peak()

    def set_output(self, account: Account, size: int) -> None:
        """Record the bytes of an answer that has not been taken."""
        if not account.is_closed:
            before = account.held
            account.output_bytes = size
            self._change(account.held - before)

    def begin_message(self, account: Account) -> None:
        """Watch a connection of which a part of a message has been read."""
        if not account.is_closed and account.phase is None:
            self._watch(account, Phase.RECEIVING)
            account.moved = account.input_bytes

    def end_message(self, account: Account) -> None:
        """Record that a message is complete; its room is kept until `end_request`."""
        account.active_at = self._coarse_now
        account.has_greeted = True
        if account.phase is not None:
            self._unwatch(account)

    def end_request(self, account: Account) -> None:
        """Give back the room of a message that has been answered."""
        if account.reserved_bytes and not account.is_closed:
            before = account.held
            self.reserved -= account.reserved_bytes
            account.reserved_bytes = 0
            self._change(account.held - before)
            self._grant()

    def request_room(
        self, account: Account, size: int, answer: Callable[[bool], None]
    ) -> None:
        """Ask for room for a message that needs up to `size` bytes.

        `answer` is called with True once the room is there, at once if possible, and
        with False if there is none in time.
        """
        if account.is_closed:
            return
        request = _RoomRequest(account, size, self._now(), answer)
        self._requests.append(request)
        self._grant()
        if request in self._requests:
            self._watch(account, Phase.WAITING)

    def begin_delivery(self, account: Account, size: int) -> None:
        """Watch a connection whose caller has not taken its answer at once."""
        if not account.is_closed:
            self._watch(account, Phase.DELIVERING)
            self.set_output(account, size)

    def end_delivery(self, account: Account) -> None:
        """Record that the answer has been taken."""
        self._unwatch(account)
        self.set_output(account, 0)
        account.active_at = self._now()

    def sweep(self) -> None:
        """Close what has reached a limit in time; call it each `SWEEP_INTERVAL`."""
        now = self.clock()
        elapsed = SWEEP_INTERVAL if self._swept_at is None else now - self._swept_at
        self._swept_at = now
        self._coarse_now = now - self._lost_time
        if elapsed > 2 * SWEEP_INTERVAL:
            # The process did not run, so that callers could make no progress.
            self._lost_time += elapsed - SWEEP_INTERVAL
            elapsed = SWEEP_INTERVAL
        for account in list(self._watched):
            self._measure(account, max(elapsed, 1e-3))
            if self._is_overdue(account):
                self._close(account, Closing.MESSAGE)
        self._refuse_requests()
        self._relieve_requests()

    def describe(self) -> dict[str, float]:
        """Return what callers hold, for the state dump."""
        phases = [account.phase for account in self._watched]
        return {
            "held_bytes": self.used,
            "held_bytes_limit": int(self.limits.held_bytes),
            "held_bytes_peak": self.peak,
            "waiting_for_room": len(self._requests),
            **{f"connections_{kind.value}": n for kind, n in self.counts.items()},
            "connections_limit": int(self.limits.connections),
            **{f"phase_{p.name.lower()}": phases.count(p) for p in Phase},
        }

    def _now(self) -> float:
        return self.clock() - self._lost_time

    def _get_connection_limit(self, kind: Kind) -> float:
        limits = self.limits
        return {
            Kind.CALLER: limits.connections,
            Kind.PAGE: limits.page_connections,
            Kind.PEER: limits.peer_connections,
        }[kind]

    def _change(self, amount: int) -> None:
        self.used += amount
        if self.used > self.peak:
            self._note_peak()

    def _note_peak(self) -> None:
        """Record a peak, and close connections if it is over the limit.

        The peak is kept below the limit, so that it is passed each time.
        """
        self.peak = min(self.used, int(self.limits.held_bytes))
        if self.used > self.limits.held_bytes:
            self._relieve()

    def _watch(self, account: Account, phase: Phase) -> None:
        account.phase = phase
        account.since = self._now()
        account.moved = account.marked = 0
        # Nothing is known yet of its speed; it is not the first to be closed.
        account.rate = RATE_UNDER_PRESSURE
        self._watched[account] = None

    def _unwatch(self, account: Account) -> None:
        account.phase = None
        self._watched.pop(account, None)

    def _measure(self, account: Account, elapsed: float) -> None:
        if account.phase is Phase.DELIVERING:
            left = account.count_unsent()
            account.moved += max(0, account.output_bytes - left)
            self.set_output(account, left)
        moved = account.moved - account.marked
        account.marked = account.moved
        account.rate = (account.rate + moved / elapsed) / 2

    def _is_overdue(self, account: Account) -> bool:
        if account.phase is Phase.WAITING or account.phase is None:
            return False
        allowed = self.limits.message_s + account.moved / self.limits.least_rate
        return self._now() - account.since > allowed

    def _grant(self) -> None:
        limit = self.limits.large_bytes
        while self._requests:
            request = self._requests[0]
            if self.reserved and self.reserved + request.size > limit:
                return
            self._requests.popleft()
            account = request.account
            before = account.held
            account.reserved_bytes += request.size
            self.reserved += request.size
            if account.phase is Phase.WAITING:
                self._watch(account, Phase.RECEIVING)
            self._change(account.held - before)
            if not account.is_closed:
                request.answer(True)

    def _drop_requests(self, account: Account) -> None:
        if any(request.account is account for request in self._requests):
            self._requests = deque(
                r for r in self._requests if r.account is not account
            )

    def _refuse_requests(self) -> None:
        limit = self._now() - self.limits.room_wait_s
        while self._requests and self._requests[0].asked_at < limit:
            request = self._requests.popleft()
            self.report(Closing.ROOM, request.account.kind)
            request.answer(False)

    def _relieve_requests(self) -> None:
        """Close slow holders of room while others have waited for some."""
        now = self._now()
        waiting = [r.size for r in self._requests if now - r.asked_at >= SWEEP_INTERVAL]
        wanted = min(sum(waiting), self.limits.large_bytes / 2)
        slow = [
            account
            for account in self._watched
            if account.reserved_bytes
            and now - account.since >= OBSERVED
            and account.rate < RATE_UNDER_PRESSURE
        ]
        for account in sorted(slow, key=lambda account: account.rate):
            if wanted <= 0:
                return
            wanted -= account.reserved_bytes
            self._close(account, Closing.HELD_BYTES)

    def _relieve(self) -> None:
        """Close the connections with the least progress until there is room."""
        goal = RELIEVED * self.limits.held_bytes
        for account in self._rank_holders():
            if self.used <= goal:
                return
            self._close(account, Closing.HELD_BYTES)

    def _rank_holders(self) -> Iterable[Account]:
        """Return who holds bytes; the first to be closed come first.

        Closing a connection whose large message is being served would free nothing.
        """
        holders = [
            account
            for account in self._accounts
            if account.held and (account.phase or not account.reserved_bytes)
        ]
        return sorted(
            holders,
            key=lambda a: (a.phase is None, a.rate if a.phase else 0.0, -a.held),
        )

    def _close_idle(self, kind: Kind) -> None:
        now = self.clock()
        if now - self._searched_at < SEARCH_INTERVAL:
            return
        self._searched_at = now
        now = self._now()
        idle = [
            (account.has_greeted, account.active_at, account)
            for account in self._accounts
            if account.kind is kind and self._may_make_room(account, now)
        ]
        idle.sort(key=lambda entry: entry[:2])
        limit = self._get_connection_limit(kind)
        for _, _, account in idle[: max(1, int(SEARCH_SHARE * limit))]:
            self._close(account, Closing.CONNECTIONS)

    def _may_make_room(self, account: Account, now: float) -> bool:
        if account.phase is Phase.DELIVERING:
            return False
        # A request for a page, or for a snapshot, takes milliseconds.
        if account.kind is not Kind.CALLER or not account.has_greeted:
            return now - account.opened_at >= GREETING_UNDER_PRESSURE
        if account.phase is not None or now - account.active_at < IDLE_UNDER_PRESSURE:
            return False
        return account.is_idle()

    def _close(self, account: Account, closing: Closing) -> None:
        if not account.is_closed:
            self.report(closing, account.kind)
            self.remove(account)
            account.close(closing)
