"""Connection pools, one per upstream, shared by the sessions of this instance."""

import asyncio
import heapq
import itertools
import random
from collections import Counter
from dataclasses import dataclass, field

import structlog

from burdocksail.board import Blackboard
from burdocksail.catalog import Upstream
from burdocksail.core import BurdocksailError
from burdocksail.ports import (
    ConnectFailed,
    Connector,
    ReplyStatus,
    TooManyConnections,
    UpstreamConnection,
)
from burdocksail.serving._budget import compute_budget
from burdocksail.serving._statistics import ServerStatistics, find_shared_speed
from burdocksail.traffic import DrainRate, OpeningWindow

CONNECT_TIMEOUT = 1.0  # seconds; several round trips across regions and a handshake
TIMER_SLACK = 0.002  # seconds; an event-loop timer may fire early against the clock
FAILURES = frozenset({ReplyStatus.FAILED, ReplyStatus.TIMEOUT})


class NoConnection(BurdocksailError):
    """No connection became available in time; nothing was sent.

    Attributes
    ----------
    unreachable : bool
        Whether connections to the server could not be opened; False if all were
        in use, the server was full or the pool is closed.
    expected_wait : float
        Estimated seconds until one would have become available; 0 if unknown.
    """

    def __init__(
        self, message: str, unreachable: bool = False, expected_wait: float = 0.0
    ):
        super().__init__(message)
        self.unreachable = unreachable
        self.expected_wait = expected_wait


@dataclass(slots=True)
class PooledConnection:
    """A connection, and the state of its upstream session.

    Attributes
    ----------
    workspace : str
        Workspace whose statements it may run; empty for those of no workspace.
    variables : dict of str to str
        Session variables that are set.
    prepared : dict of (str, bool) to str
        Names of prepared statements by template and whether they write.
    idle_since : float
        Clock reading at which it was opened or last released.
    """

    upstream: Upstream
    connection: UpstreamConnection
    workspace: str = ""
    variables: dict[str, str] = field(default_factory=dict)
    prepared: dict[tuple[str, bool], str] = field(default_factory=dict)
    idle_since: float = 0.0

    @property
    def is_open(self) -> bool:
        """Return whether the connection is not known to be broken or closed."""
        return self.connection.is_open

    def close(self) -> None:
        """Close the connection; an open transaction rolls back."""
        self.connection.close()

    def clear_session_state(self) -> None:
        """Record that the upstream session has been reset."""
        self.variables.clear()
        self.prepared.clear()


@dataclass(order=True, slots=True)
class _Waiter:
    """A request that waits for a connection; lower `order` is served first.

    A `workspace` of None may use a connection of any workspace.
    """

    order: float
    sequence: int
    workspace: str | None = field(compare=False)
    future: asyncio.Future = field(compare=False)


class Pool:
    """The connections of this instance to one upstream."""

    def __init__(self, board: Blackboard, connector: Connector, upstream: Upstream):
        self.upstream = upstream
        self.statistics = ServerStatistics()
        self._last_failure = ""
        self._server_full = False
        self._board = board
        self._connector = connector
        self._idle: list[PooledConnection] = []
        self._in_use: set[int] = set()
        self._opening = 0
        self._opening_by_workspace: Counter[str] = Counter()
        self._waiters: list[_Waiter] = []
        self._sequence = itertools.count()
        self._opening_window = OpeningWindow()
        self._drain = DrainRate()
        self._tasks: set[asyncio.Task] = set()
        self._closed = False
        self._random = random.Random(f"{board.member.incarnation}/{upstream.id}")
        self._log = structlog.get_logger()

    @property
    def size(self) -> int:
        """Return the number of connections, including those being opened."""
        return len(self._idle) + len(self._in_use) + self._opening

    @property
    def is_closed(self) -> bool:
        """Return whether the pool opens and hands out no more connections."""
        return self._closed

    @property
    def waiting(self) -> int:
        """Return the number of requests that wait for a connection."""
        return sum(1 for waiter in self._waiters if not waiter.future.done())

    @property
    def is_unused(self) -> bool:
        """Return whether no connection is in use, awaited or being opened."""
        return not self._in_use and not self._waiters and not self._opening

    async def acquire(
        self, order: float, timeout: float, workspace: str | None = ""
    ) -> PooledConnection:
        """Return a connection for exclusive use; `release` gives it back.

        Parameters
        ----------
        order : float
            Requests with a lower value are served first.
        workspace : str or None
            Workspace to which the connection has to belong; None for any.

        Raises
        ------
        NoConnection
            If none becomes available within `timeout` seconds; at once if the pool
            is closed, if opening one fails while none is in use, or if the requests
            that are served first take longer than that.
        """
        connection = self._take_idle(workspace)
        if connection is not None:
            return connection
        if self._closed:
            raise NoConnection("the upstream is not in use any more")
        self._check_expected_wait(order, timeout)
        future = asyncio.get_running_loop().create_future()
        waiter = _Waiter(order, next(self._sequence), workspace, future)
        heapq.heappush(self._waiters, waiter)
        self._open_if_needed()
        try:
            done, _ = await asyncio.wait((future,), timeout=max(0.0, timeout))
        except asyncio.CancelledError:
            self._withdraw_waiter(future)
            raise
        if done:
            result = future.result()
            if isinstance(result, NoConnection):
                raise result
            return result
        future.cancel()
        if not self._idle and not self._in_use:
            # No connection is open, and none could be opened within the timeout.
            raise NoConnection(self._last_failure or "no answer", not self._server_full)
        raise NoConnection("all connections are in use")

    def release(self, connection: PooledConnection) -> None:
        """Return a connection to the pool; it is closed if broken."""
        self._in_use.discard(id(connection))
        if not connection.is_open or self._closed:
            connection.close()
        else:
            connection.idle_since = self._board.now()
            self._idle.append(connection)
            self._serve_waiters()
            self._leave_room_if_full()
        self._open_if_needed()

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
        self._idle = [c for c in self._idle if c.is_open]
        while self.size > budget.retained and self._idle:
            if self._idle[0].idle_since > limit:
                return
            self._idle.pop(0).close()

    def close(self) -> None:
        """Close idle connections now, and the others when they are released."""
        self._closed = True
        for connection in self._idle:
            connection.close()
        self._idle.clear()
        self._fail_waiters("the upstream is not in use any more")

    def _leave_room_if_full(self) -> None:
        """Close idle connections beyond what may be kept on a full server."""
        if self._opening_window.may_keep_idle(self._board.now()):
            return
        retained = compute_budget(self._board, self.upstream).retained_when_full
        while self._idle and self.size > retained:
            self._idle.pop(0).close()

    def _take_idle(self, workspace: str | None) -> PooledConnection | None:
        """Return an idle connection of a workspace if another may be used, else None.

        Connections that are known to be closed are dropped.
        """
        self._idle = [c for c in self._idle if c.is_open]
        if not self.statistics.concurrency.allows(len(self._in_use)):
            return None
        for connection in reversed(self._idle):
            if workspace is None or connection.workspace == workspace:
                self._idle.remove(connection)
                self._in_use.add(id(connection))
                return connection
        return None

    def _serve_waiters(self) -> None:
        """Hand idle connections to the requests that wait for one."""
        self._waiters = [w for w in self._waiters if not w.future.done()]
        for waiter in sorted(self._waiters):
            if not self._idle:
                break
            connection = self._take_idle(waiter.workspace)
            if connection is not None:
                waiter.future.set_result(connection)
                self._drain.record_hand_out(self._board.now(), self.waiting > 0)
        self._waiters = [w for w in self._waiters if not w.future.done()]
        heapq.heapify(self._waiters)

    def _withdraw_waiter(self, future: asyncio.Future) -> None:
        """End a wait whose request is gone; return a connection handed out already."""
        if not future.done():
            future.cancel()
        elif not isinstance(future.result(), NoConnection):
            self.release(future.result())

    def _check_expected_wait(self, order: float, timeout: float) -> None:
        ahead = sum(
            1 for w in self._waiters if w.order <= order and not w.future.done()
        )
        expected = self._drain.estimate_wait(ahead, self._board.now())
        if expected > timeout:
            raise NoConnection("the queue is too long", expected_wait=expected)

    def _open_if_needed(self) -> None:
        """Open connections for waiting requests that have none under way."""
        for workspace in self._find_unprovided():
            if not self._may_open():
                return
            if self.size >= compute_budget(self._board, self.upstream).capacity:
                if not self._idle:
                    return
                self._idle.pop(0).close()  # the one that was used least recently
            self._opening += 1
            self._opening_by_workspace[workspace] += 1
            task = asyncio.create_task(self._open(workspace))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _find_unprovided(self) -> list[str]:
        """Return the workspaces of waiting requests without a connection being opened.

        In the order of the requests; a workspace appears once for each of them.
        """
        opening = Counter(self._opening_by_workspace)
        unprovided = []
        for waiter in sorted(w for w in self._waiters if not w.future.done()):
            workspace = waiter.workspace or ""
            if opening[workspace] > 0:
                opening[workspace] -= 1
            else:
                unprovided.append(workspace)
        return unprovided

    def _may_open(self) -> bool:
        """Return whether another connection may be opened now, the budget apart."""
        return (
            not self._closed
            and self._opening_window.may_open(self._opening, self._board.now())
            and self.statistics.concurrency.allows(len(self._in_use) + self._opening)
        )

    async def _open(self, workspace: str) -> None:
        board = self._board
        try:
            raw = await self._connector.connect(
                self.upstream, CONNECT_TIMEOUT, workspace
            )
        except ConnectFailed as error:
            server_full = isinstance(error, TooManyConnections)
            self._back_off(server_full)
            self._last_failure = str(error) or type(error).__name__
            self._server_full = server_full
            board.metrics.count("connections_failed")
            self._log.info(
                "connection failed",
                upstream=self.upstream.id,
                reason=self._last_failure,
                open=self.size,
            )
            if not self._in_use:
                self._fail_waiters(self._last_failure, not server_full)
            return
        finally:
            self._opening -= 1
            self._opening_by_workspace[workspace] -= 1
        self._opening_window.record_opened()
        self._last_failure = ""
        self._server_full = False
        board.metrics.count("connections_opened")
        connection = PooledConnection(
            self.upstream, raw, workspace, idle_since=board.now()
        )
        if self._closed:
            connection.close()
        else:
            self._idle.append(connection)
            self._serve_waiters()
            self._open_if_needed()

    def _back_off(self, server_full: bool) -> None:
        """Open no connections for the backoff, then those still needed."""
        window = self._opening_window
        record = window.record_full if server_full else window.record_failed
        backoff = record(self._board.now(), self._random)
        loop = asyncio.get_running_loop()
        loop.call_later(backoff + TIMER_SLACK, self._open_if_needed)

    def _fail_waiters(self, reason: str, unreachable: bool = False) -> None:
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            if not waiter.future.done():
                waiter.future.set_result(NoConnection(reason, unreachable))


class ConnectionPools:
    """The connection pools of this instance, by upstream."""

    def __init__(self, board: Blackboard, connector: Connector):
        self._board = board
        self._connector = connector
        self._pools: dict[str, Pool] = {}

    def get(self, upstream: Upstream) -> Pool:
        """Return the pool of an upstream, creating it if needed.

        A restarted server has lost its sessions, and one at another address is a
        different server, so either gets a new pool and the old one is closed.
        """
        pool = self._pools.get(upstream.id)
        if pool is not None and not _is_same_server(pool.upstream, upstream):
            pool.close()
        if pool is not None and pool.is_closed:
            pool = None  # Connections in use are still released to the old pool.
        if pool is None:
            pool = Pool(self._board, self._connector, upstream)
            self._pools[upstream.id] = pool
        return pool

    def close_unused(self) -> None:
        """Close the pools of removed upstreams, and surplus idle connections."""
        known = self._board.directory.upstreams
        for upstream_id, pool in list(self._pools.items()):
            if upstream_id not in known:
                pool.close()
                if pool.is_unused:
                    del self._pools[upstream_id]
                    self._board.speeds.own.pop(upstream_id, None)
            else:
                pool.close_surplus()

    def close(self) -> None:
        """Close all pools; connections in use close when they are released."""
        for pool in self._pools.values():
            pool.close()

    def describe(self) -> dict[str, dict[str, float | int | None]]:
        """Return size and statistics of each pool for the dump."""
        return {
            upstream_id: {
                "size": pool.size,
                **pool.statistics.describe(
                    self._board.now(), *find_shared_speed(self._board, pool.upstream)
                ),
            }
            for upstream_id, pool in self._pools.items()
        }


def _is_same_server(known: Upstream, current: Upstream) -> bool:
    return (known.host, known.port, known.started_at_ms, known.service) == (
        current.host,
        current.port,
        current.started_at_ms,
        current.service,
    )
