"""Connection pools, one per upstream, shared by the sessions of this instance."""

import asyncio
import heapq
import itertools
import random
from dataclasses import dataclass, field

import structlog

from burdocksail.board import Blackboard
from burdocksail.catalog import Upstream
from burdocksail.core import BurdocksailError
from burdocksail.ports import (
    ConnectFailed,
    Connector,
    TooManyConnections,
    UpstreamConnection,
)
from burdocksail.serving._budget import compute_budget

CONNECT_TIMEOUT = 1.0  # seconds; several round trips across regions and a handshake
# Seconds without new connections after the server was full or a connection failed.
SERVER_FULL_BACKOFF = 0.15  # jitter adds up to as much again
CONNECT_FAILED_BACKOFF = 0.1
TIMER_SLACK = 0.002  # seconds; an event-loop timer may fire early against the clock
LATENCY_WEIGHT = 0.1  # of the newest sample in the moving average


class NoConnection(BurdocksailError):
    """No connection became available in time; nothing was sent.

    Attributes
    ----------
    unreachable : bool
        Whether connections to the server could not be opened; False if all were
        in use, the server was full or the pool is closed.
    """

    def __init__(self, message: str, unreachable: bool = False):
        super().__init__(message)
        self.unreachable = unreachable


@dataclass(slots=True)
class PooledConnection:
    """A connection, and the state of its upstream session.

    Attributes
    ----------
    variables : dict of str to str
        Session variables that are set.
    prepared : dict of (str, bool) to str
        Names of prepared statements by template and whether they write.
    idle_since : float
        Clock reading at which it was opened or last released.
    """

    upstream: Upstream
    connection: UpstreamConnection
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


@dataclass(slots=True)
class ServerStatistics:
    """Latency, load and recent failures of a server, as seen by this instance.

    Attributes
    ----------
    latency : float
        Moving average of round trips in seconds.
    in_flight : int
        Statements that have been sent and not answered.
    avoid_until : float
        Clock reading until which routing prefers other servers after a failure.
    lagging_until : float
        Clock reading until which the server is presumed behind the floors of reads.
    """

    latency: float = 0.03  # seconds; assumed before the first reply
    in_flight: int = 0
    avoid_until: float = float("-inf")
    lagging_until: float = float("-inf")

    def record_latency(self, seconds: float) -> None:
        """Add a reply's latency, in seconds, to the moving average."""
        self.latency += LATENCY_WEIGHT * (seconds - self.latency)


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
        self._waiters: list[tuple[int, int, asyncio.Future]] = []
        self._sequence = itertools.count()
        self._backoff_until = float("-inf")
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
    def is_unused(self) -> bool:
        """Return whether no connection is in use, awaited or being opened."""
        return not self._in_use and not self._waiters and not self._opening

    async def acquire(self, priority: int, timeout: float) -> PooledConnection:
        """Return a connection for exclusive use; `release` gives it back.

        Parameters
        ----------
        priority : int
            Waiters with a lower value are served first.

        Raises
        ------
        NoConnection
            If none becomes available within `timeout` seconds; at once if the pool
            is closed, or if opening one fails while none is in use.
        """
        connection = self._take_idle()
        if connection is not None:
            return connection
        if self._closed:
            raise NoConnection("the upstream is not in use any more")
        waiter = asyncio.get_running_loop().create_future()
        heapq.heappush(self._waiters, (priority, next(self._sequence), waiter))
        self._open_if_needed()
        done, _ = await asyncio.wait((waiter,), timeout=max(0.0, timeout))
        if done:
            result = waiter.result()
            if isinstance(result, NoConnection):
                raise result
            return result
        waiter.cancel()
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
            self._hand_out(connection)
        self._open_if_needed()

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

    def _take_idle(self) -> PooledConnection | None:
        while self._idle:
            connection = self._idle.pop()
            if connection.is_open:
                self._in_use.add(id(connection))
                return connection
        return None

    def _hand_out(self, connection: PooledConnection) -> None:
        while self._waiters:
            _, _, waiter = heapq.heappop(self._waiters)
            if not waiter.done():
                self._in_use.add(id(connection))
                waiter.set_result(connection)
                return
        self._idle.append(connection)

    def _open_if_needed(self) -> None:
        waiting = sum(1 for *_, waiter in self._waiters if not waiter.done())
        capacity = compute_budget(self._board, self.upstream).capacity
        while (
            waiting > self._opening
            and self.size < capacity
            and self._board.now() >= self._backoff_until
            and not self._closed
        ):
            self._opening += 1
            task = asyncio.create_task(self._open())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _open(self) -> None:
        board = self._board
        try:
            raw = await self._connector.connect(self.upstream, CONNECT_TIMEOUT)
        except ConnectFailed as error:
            self._opening -= 1
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
        self._opening -= 1
        self._last_failure = ""
        self._server_full = False
        board.metrics.count("connections_opened")
        connection = PooledConnection(self.upstream, raw, idle_since=board.now())
        if self._closed:
            connection.close()
        else:
            self._hand_out(connection)

    def _back_off(self, server_full: bool) -> None:
        """Open no connections for the backoff, then those still needed."""
        backoff = CONNECT_FAILED_BACKOFF
        if server_full:
            backoff = SERVER_FULL_BACKOFF * (1 + self._random.random())
        self._backoff_until = self._board.now() + backoff
        loop = asyncio.get_running_loop()
        loop.call_later(backoff + TIMER_SLACK, self._open_if_needed)

    def _fail_waiters(self, reason: str, unreachable: bool = False) -> None:
        waiters, self._waiters = self._waiters, []
        for _, _, waiter in waiters:
            if not waiter.done():
                waiter.set_result(NoConnection(reason, unreachable))


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
            else:
                pool.close_surplus()

    def close(self) -> None:
        """Close all pools; connections in use close when they are released."""
        for pool in self._pools.values():
            pool.close()

    def describe(self) -> dict[str, dict[str, float | int]]:
        """Return size, statements in flight and latency of each pool for the dump."""
        return {
            upstream_id: {
                "size": pool.size,
                "in_flight": pool.statistics.in_flight,
                "latency_ms": round(pool.statistics.latency * 1000, 2),
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
