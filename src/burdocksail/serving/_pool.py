"""Connections of this instance to one upstream, and the requests that wait for one."""

import asyncio
import random
from collections import Counter
from collections.abc import Collection
from typing import Any

from burdocksail.board import Blackboard
from burdocksail.catalog import Upstream
from burdocksail.core import get_logger
from burdocksail.ports import ConnectFailed, Connector, ReplyStatus, TooManyConnections
from burdocksail.serving._budget import compute_budget
from burdocksail.serving._connections import (
    Forecast,
    Lease,
    NoConnection,
    PooledConnection,
)
from burdocksail.serving._pool_workspaces import PoolWorkspaces, describe_workspaces
from burdocksail.serving._statistics import ServerStatistics, find_shared_speed
from burdocksail.traffic import (
    Demand,
    DrainRate,
    FairQueue,
    OpeningWindow,
    ReturnSchedule,
    WaitingRequest,
)

CONNECT_TIMEOUT = 1.0  # seconds; several round trips across regions and a handshake
TIMER_SLACK = 0.002  # seconds; an event-loop timer may fire early against the clock
QUEUE_TOO_LONG = "the queue is too long"
FAILURES = frozenset({ReplyStatus.FAILED, ReplyStatus.TIMEOUT})
INITIAL_HOLD_TIME = 0.03  # seconds; assumed before the first release
HOLD_TIME_WEIGHT = 0.1  # of the newest sample in the moving average


class Pool:
    """The connections of this instance to one upstream.

    Parameters
    ----------
    demand : Demand
        Requests of this instance by workspace, over all its pools.
    """

    def __init__(
        self,
        board: Blackboard,
        connector: Connector,
        upstream: Upstream,
        demand: Demand | None = None,
    ):
        self.upstream = upstream
        self.statistics = ServerStatistics()
        self._last_failure = ""
        self._server_full = False
        self._board = board
        self._connector = connector
        self._workspaces = PoolWorkspaces(board, demand or Demand())
        self._idle: list[PooledConnection] = []
        self._in_use: dict[int, PooledConnection] = {}
        self._opening: Counter[str | None] = Counter()
        self._queue = FairQueue(self._workspaces.weigh)
        self._opening_window = OpeningWindow()
        self._drain = DrainRate()
        self._returns = ReturnSchedule()
        self._hold_time = INITIAL_HOLD_TIME
        self._tasks: set[asyncio.Task] = set()
        self._closed = False
        self._random = random.Random(f"{board.member.incarnation}/{upstream.id}")
        self._log = get_logger()

    @property
    def size(self) -> int:
        """Return the number of connections, including those being opened."""
        return len(self._idle) + len(self._in_use) + self._opening.total()

    @property
    def is_closed(self) -> bool:
        """Return whether the pool opens and hands out no more connections."""
        return self._closed

    @property
    def waiting(self) -> int:
        """Return the number of requests that wait for a connection."""
        return len(self._queue)

    @property
    def is_unused(self) -> bool:
        """Return whether no connection is in use, awaited or being opened."""
        return not self._in_use and not self._queue and not self._opening.total()

    async def acquire(
        self,
        order: float,
        timeout: float,
        workspace: str | None = "",
        patience: float | None = None,
        level: int = 0,
    ) -> PooledConnection:
        """Return a connection for exclusive use; `release` gives it back.

        Parameters
        ----------
        order : float
            Requests of a workspace with a lower value are served first.
        workspace : str or None
            Workspace to which the connection has to belong; None for any.
        patience : float or None
            Seconds that the request can wait in all, where it may wait again after
            `timeout`; None if it is `timeout`.
        level : int
            Priority of the route; workspaces have fair shares inside one level.

        Raises
        ------
        NoConnection
            If none becomes available within `timeout` seconds; at once if the pool
            is closed, if opening one fails while none is in use, or if the requests
            that are served first take longer than it can wait.
        """
        if self._closed:
            raise NoConnection("the upstream is not in use any more")
        if workspace is None:
            workspace, level = self._workspaces.find_place_of_probe()
        else:
            self._workspaces.record_request(workspace)
        self._drop_closed()
        longest = timeout if patience is None else patience
        forecast = self.forecast(order, longest, workspace, level)
        if forecast.connection is not None:
            self._charge(workspace, level, self._hold_time)
            return self._lend(forecast.connection, workspace, level)
        if forecast.is_too_long:
            raise self._reject(workspace, forecast.expected_wait, longest)
        future = asyncio.get_running_loop().create_future()
        request = self._queue.push(workspace, level, order, future)
        self._advance()
        try:
            done, _ = await asyncio.wait((future,), timeout=max(0.0, timeout))
        except asyncio.CancelledError:
            self._withdraw(request)
            raise
        if done:
            result = future.result()
            if isinstance(result, NoConnection):
                raise result
            return result
        self._queue.remove(request)
        if not self._idle and not self._in_use:
            # No connection is open, and none could be opened within the timeout.
            raise NoConnection(self._last_failure or "no answer", not self._server_full)
        raise NoConnection("all connections are in use")

    def forecast(
        self, order: float, longest: float, workspace: str | None = "", level: int = 0
    ) -> Forecast:
        """Return what a request would meet now, and change nothing.

        Parameters
        ----------
        longest : float
            Seconds that the request can wait in all.
        """
        connection = self._peek_idle(workspace)
        if connection is not None and self._may_use_another():
            return Forecast(connection)
        expected = self.estimate_wait(order, workspace, level)
        return Forecast(None, expected, expected > longest)

    def estimate_wait(
        self, order: float, workspace: str | None = "", level: int = 0
    ) -> float:
        """Return the expected seconds until a request would get a connection.

        0 if it would get one at once, or if nothing is known. Changes nothing.
        """
        if not self._workspaces.are_configured:
            ahead = self._queue.count_due(order)
        elif not self._queue or self._peek_idle(workspace) is not None:
            return 0.0
        else:
            ahead = self._queue.estimate_ahead(workspace, level)
        return self._drain.estimate_wait(ahead, self._board.now())

    def assign_return(self, workspace: str | None, room_in: float) -> float:
        """Return the seconds after which a rejected caller should come back.

        `room_in` is the time in seconds until the queue has room for its request.
        """
        now = self._board.now()
        interval = self._drain.interval / self._queue.compute_share(workspace)
        return self._returns.assign(workspace, now, room_in, interval)

    def release(self, connection: PooledConnection) -> None:
        """Return a connection to the pool; it is closed if broken."""
        if self._in_use.pop(id(connection), None) is not None:
            self._settle(connection)
        if (
            not connection.is_open
            or self._closed
            or not self._workspaces.is_known(connection.workspace)
        ):
            connection.close()
            self._advance()
            return
        connection.idle_since = self._board.now()
        self._idle.append(connection)
        self._advance()
        self._leave_room_if_full()
        self._advance()

    def record_reply(self, status: ReplyStatus) -> None:
        """Record how the server replied, for the limits and for its health."""
        statistics = self.statistics
        if status is ReplyStatus.BUSY:
            statistics.concurrency.record_rejection(
                len(self._in_use), self._board.now()
            )
            return
        statistics.health.record(failed=status in FAILURES)
        if statistics.concurrency.limit is not None:
            capacity = compute_budget(self._board, self.upstream).capacity
            statistics.concurrency.record_answer(capacity)

    def discard(self, connection: PooledConnection) -> None:
        """Close an acquired connection, which rolls back its transaction."""
        connection.close()
        self.release(connection)

    def close_surplus(self) -> None:
        """Close connections that have been idle for too long.

        The connection budget says how many are retained, and for how long others
        may be idle.
        """
        budget = compute_budget(self._board, self.upstream)
        limit = self._board.now() - budget.idle_timeout
        self._drop_closed()
        while self.size > budget.retained and self._idle:
            if self._idle[0].idle_since > limit:
                return
            self._idle.pop(0).close()

    def close_orphaned(self) -> None:
        """Close idle connections of removed workspaces, and reject their requests.

        Connections in use are closed when they are released.
        """
        connections = [
            c for c in self._idle if not self._workspaces.is_known(c.workspace)
        ]
        for connection in connections:
            self._idle.remove(connection)
            connection.close()
        waiting = self._queue.waiting_by_workspace
        orphans = {w: n for w, n in waiting.items() if not self._workspaces.is_known(w)}
        self._fail_waiting("the workspace is not configured any more", of=orphans)
        if connections or orphans:
            self._log.info(
                "workspaces removed",
                upstream=self.upstream.id,
                connections_closed=len(connections),
                requests_rejected=sum(orphans.values()),
            )

    def close(self) -> None:
        """Close idle connections now, and the others when they are released."""
        self._closed = True
        for connection in self._idle:
            connection.close()
        self._idle.clear()
        self._fail_waiting("the upstream is not in use any more")

    def describe(self) -> dict[str, Any]:
        """Return the state of the pool for the dump; workspaces only if there are any.

        Of the workspaces, those with most connections and waiting requests.
        """
        described: dict[str, Any] = {
            "size": self.size,
            **self.statistics.describe(
                self._board.now(), *find_shared_speed(self._board, self.upstream)
            ),
        }
        if self._workspaces.are_configured:
            described["waiting"] = self.waiting
            described["workspaces"] = describe_workspaces(
                self._iterate_open(), self._queue.waiting_by_workspace
            )
        return described

    def _iterate_open(self) -> list[PooledConnection]:
        return [*self._idle, *self._in_use.values()]

    def _leave_room_if_full(self) -> None:
        """Close idle connections beyond what may be kept on a full server."""
        if self._opening_window.may_keep_idle(self._board.now()):
            return
        retained = compute_budget(self._board, self.upstream).retained_when_full
        while self._idle and self.size > retained:
            self._pop_least_used().close()

    def _drop_closed(self) -> None:
        self._idle = [c for c in self._idle if c.is_open]

    def _find_idle(self, workspace: str | None) -> PooledConnection | None:
        """Return the connection that a workspace used last, None if none is idle.

        Connections that are known to be closed are dropped.
        """
        self._drop_closed()
        return self._peek_idle(workspace)

    def _peek_idle(self, workspace: str | None) -> PooledConnection | None:
        """Return the open connection that a workspace used last, None without one."""
        for connection in reversed(self._idle):
            is_usable = workspace is None or connection.workspace == workspace
            if is_usable and connection.is_open:
                return connection
        return None

    def _may_use_another(self) -> bool:
        return self.statistics.concurrency.allows(len(self._in_use))

    def _lend(
        self, connection: PooledConnection, workspace: str | None, level: int
    ) -> PooledConnection:
        self._idle.remove(connection)
        self._in_use[id(connection)] = connection
        if connection.was_used:
            self._board.metrics.count("connections_reused")
        connection.was_used = True
        if self._workspaces.are_configured:
            now = self._board.now()
            connection.lease = Lease(workspace, level, now, self._hold_time)
        return connection

    def _charge(self, workspace: str | None, level: int, seconds: float) -> None:
        """Charge a workspace for a connection; without workspaces, nobody."""
        if self._workspaces.are_configured:
            self._queue.charge(workspace, level, seconds)

    def _settle(self, connection: PooledConnection) -> None:
        """Correct the charge for the time for which a connection was held."""
        lease, connection.lease = connection.lease, None
        if lease is None:
            return
        held = self._board.now() - lease.began_at
        self._queue.correct_charge(lease.workspace, lease.level, held - lease.charged)
        self._hold_time += HOLD_TIME_WEIGHT * (held - self._hold_time)

    def _advance(self) -> None:
        """Hand connections to the waiting requests, and open those that are missing."""
        while self._queue and not self._closed:
            self._drop_closed()
            first = self._queue.find_first(self._is_eligible)
            if first is None:
                return
            connection = self._find_idle(first.workspace)
            if connection is not None:
                if not self._may_use_another():
                    return
                self._hand_out(connection, first)
            elif not self._provide(first):
                self._serve_from_idle()
                return

    def _is_eligible(self, workspace: str | None) -> bool:
        """Return whether a workspace has a request without an opening under way."""
        waiting = self._queue.waiting_by_workspace.get(workspace, 0)
        return waiting > self._opening[workspace] or (
            self._find_idle(workspace) is not None
        )

    def _provide(self, first: WaitingRequest) -> bool:
        """Open a connection for a request, or serve one that may overtake it.

        Returns whether any of this was done.
        """
        if not self._may_open():
            return False
        if self.size >= compute_budget(self._board, self.upstream).capacity:
            if not self._idle:
                return False
            if self._let_overtake(first):
                return True
            self._evict()
        self._charge(first.workspace, first.level, self._hold_time)
        self._opening[first.workspace] += 1
        task = asyncio.create_task(self._open(first.workspace, first.level))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return True

    def _let_overtake(self, first: WaitingRequest) -> bool:
        """Serve a request that has an idle connection and may go before the first."""
        if not self._may_use_another():
            return False
        for connection in reversed(self._idle):
            own = self._queue.find_first_of(connection.workspace)
            if own is not None and self._queue.may_overtake(own, first):
                self._hand_out(connection, own)
                return True
        return False

    def _serve_from_idle(self) -> None:
        """Serve the requests that have an idle connection, though not the next ones."""
        for connection in list(reversed(self._idle)):
            if not self._may_use_another():
                return
            own = self._queue.find_first_of(connection.workspace)
            if own is not None:
                self._hand_out(connection, own)

    def _hand_out(self, connection: PooledConnection, request: WaitingRequest) -> None:
        workspace, level = request.workspace, request.level
        self._queue.remove(request)
        if not connection.is_charged:
            self._charge(workspace, level, self._hold_time)
        connection.is_charged = False
        request.payload.set_result(self._lend(connection, workspace, level))
        self._drain.record_hand_out(self._board.now(), self.waiting > 0)

    def _evict(self) -> None:
        """Close the idle connection that is worth least, to make room for another."""
        self._pop_least_used().close()
        self._board.metrics.count("connections_evicted")

    def _pop_least_used(self) -> PooledConnection:
        """Take out the idle connection that is needed least often.

        The one that was used least recently of several, as all are where there are no
        workspaces.
        """
        if not self._workspaces.are_configured:
            return self._idle.pop(0)
        least_used = self._workspaces.choose_evicted(
            self._idle, self._iterate_open(), self._hold_time
        )
        self._idle.remove(least_used)
        return least_used

    def _withdraw(self, request: WaitingRequest) -> None:
        """End a wait whose request is gone; return a connection handed out already."""
        self._queue.remove(request)
        future = request.payload
        if not future.done():
            future.cancel()
        elif not isinstance(future.result(), NoConnection):
            self.release(future.result())

    def _reject(
        self, workspace: str | None, expected: float, longest: float
    ) -> NoConnection:
        """Return the error of a request that cannot wait for so long."""
        if self._workspaces.are_configured:
            expected = self.assign_return(workspace, expected - longest)
        return NoConnection(QUEUE_TOO_LONG, expected_wait=expected)

    def _may_open(self) -> bool:
        """Return whether another connection may be opened now, the budget apart."""
        opening = self._opening.total()
        return (
            not self._closed
            and self._opening_window.may_open(opening, self._board.now())
            and self.statistics.concurrency.allows(len(self._in_use) + opening)
        )

    async def _open(self, workspace: str | None, level: int) -> None:
        board = self._board
        try:
            raw = await self._connector.connect(
                self.upstream, CONNECT_TIMEOUT, workspace or ""
            )
        except ConnectFailed as error:
            self._queue.correct_charge(workspace, level, -self._hold_time)
            self._record_failure(error)
            return
        finally:
            self._opening[workspace] -= 1
        self._opening_window.record_opened()
        self._last_failure = ""
        self._server_full = False
        board.metrics.count("connections_opened")
        connection = PooledConnection(
            self.upstream, raw, workspace or "", idle_since=board.now()
        )
        if self._closed or not self._workspaces.is_known(connection.workspace):
            connection.close()
            return
        self._idle.append(connection)
        own = self._queue.find_first_of(workspace)
        if own is not None and self._may_use_another():
            connection.is_charged = True
            self._hand_out(connection, own)
        self._advance()

    def _record_failure(self, error: ConnectFailed) -> None:
        """Record that no connection could be opened, and open others later."""
        server_full = isinstance(error, TooManyConnections)
        self._back_off(server_full)
        self._last_failure = str(error) or type(error).__name__
        self._server_full = server_full
        self._board.metrics.count("connections_failed")
        self._log.info(
            "connection failed",
            upstream=self.upstream.id,
            reason=self._last_failure,
            open=self.size,
        )
        if not self._in_use:
            self._fail_waiting(self._last_failure, not server_full)

    def _back_off(self, server_full: bool) -> None:
        """Open no connections for the backoff, then those still needed."""
        window = self._opening_window
        record = window.record_full if server_full else window.record_failed
        backoff = record(self._board.now(), self._random)
        loop = asyncio.get_running_loop()
        loop.call_later(backoff + TIMER_SLACK, self._advance)

    def _fail_waiting(
        self,
        reason: str,
        unreachable: bool = False,
        of: Collection[str | None] | None = None,
    ) -> None:
        """Reject all waiting requests, or those of some workspaces."""
        requests = self._queue.drain(lambda w: of is None or w in of)
        for request in requests:
            if not request.payload.done():
                request.payload.set_result(NoConnection(reason, unreachable))
