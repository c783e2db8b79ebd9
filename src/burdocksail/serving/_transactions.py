"""Transactions: begun with their first statement, bound to one connection."""

from burdocksail.board import GroupView
from burdocksail.catalog import ReadPolicy, Route
from burdocksail.core import (
    Begin,
    Commit,
    ExecutePrepared,
    Refusal,
    Rollback,
    Run,
    TransactionState,
)
from burdocksail.ports import Reply, Status, UpstreamLost
from burdocksail.serving._context import Serving, SessionValues
from burdocksail.serving._exchange import exchange
from burdocksail.serving._freshness import find_floor, note_position
from burdocksail.serving._pools import NoConnection, Pool, PooledConnection
from burdocksail.serving._replies import Failure
from burdocksail.serving._statements import (
    BUSY_PAUSE,
    MIN_TIMEOUT,
    RETRY_AFTER,
    Work,
    _choose_server,
    _note_problem,
    _pause_before_retry,
    find_primary,
)

ROLLBACK_TIMEOUT = 0.3  # seconds; a connection that takes longer is closed


class Transaction:
    """A caller's transaction, from BEGIN to its end.

    The server learns of it with the first statement, so that a caller that
    pauses after BEGIN holds no connection.
    """

    def __init__(
        self,
        serving: Serving,
        route: Route,
        values: SessionValues,
        read_only: bool,
        request_id: str,
    ):
        self.request_id = request_id
        self._serving = serving
        self._board = serving.board
        self._route = route
        self._values = values
        self._read_only = read_only
        self._arrived_at = self._board.now()
        self._view: GroupView | None = None
        self._pool: Pool | None = None
        self._connection: PooledConnection | None = None
        self._has_written = False

    async def run(self, command: Run | ExecutePrepared, writes: bool) -> Reply:
        """Run a statement of the transaction.

        Raises
        ------
        Failure
            If it did not succeed; the transaction must then be rolled back.
        """
        if self._connection is None:
            await self._begin(command)
        self._has_written = self._has_written or writes
        deadline = self._board.now() + self._route.statement_timeout
        while True:
            reply = await self._exchange(command, deadline)
            if reply.status is Status.DONE:
                self._serving.decisions.write(
                    "transaction statement answered",
                    command.request_id,
                    transaction=self.request_id,
                    upstream=self._pool.upstream.id,
                )
                return reply
            may_repeat = reply.status in (Status.BUSY, Status.UNKNOWN_STATEMENT)
            if not may_repeat or reply.state is not TransactionState.OPEN:
                raise _abort(f"{reply.status.value} {reply.message}")
            if self._board.now() + BUSY_PAUSE >= deadline:
                raise _abort("the server stays busy")
            await self._board.changed.wait(BUSY_PAUSE)

    async def commit(self, command: Commit) -> Reply:
        """Commit and return the server's answer.

        Raises
        ------
        Failure
            ``ABORTED`` only if the server cannot have committed.
        """
        if self._connection is None:
            raise _abort("the transaction ran nothing")
        if self._has_written and not self._may_finish():
            await self.roll_back()
            raise _abort("the primary may have been replaced")
        deadline = self._board.now() + self._route.statement_timeout
        while True:
            reply = await self._commit_once(command, deadline)
            if reply is not None:
                return reply
            await self._board.changed.wait(BUSY_PAUSE)

    async def roll_back(self) -> None:
        """End the transaction without a commit and give the connection back."""
        connection, pool = self._connection, self._pool
        if connection is None:
            return
        self._detach()
        try:
            replies = await connection.connection.run([Rollback("")], ROLLBACK_TIMEOUT)
        except UpstreamLost:
            pool.discard(connection)  # Closing rolls back as well.
            return
        if replies[-1].state is TransactionState.IDLE:
            pool.release(connection)
        else:
            pool.discard(connection)

    async def _begin(self, command: Run | ExecutePrepared) -> None:
        work = Work(self._serving, self._route, self._values, command)
        work.arrived_at = self._board.now()
        while True:
            if self._read_only and self._route.policy is not ReadPolicy.PRIMARY:
                view, pool = None, await _choose_server(work)
            else:
                view, pool = await find_primary(work)
            if await self._try_begin(work, view, pool):
                return
            await _pause_before_retry(work)

    async def _try_begin(self, work: Work, view: GroupView | None, pool: Pool) -> bool:
        board = self._board
        work.tries += 1
        work.tried.add(pool.upstream.id)
        wait = min(work.offer_until, work.deadline) - board.now()
        try:
            connection = await pool.acquire(self._route.priority, wait)
        except NoConnection as error:
            _note_problem(work, pool, "no connection", str(error), 0.0)
            return False
        floor, allowed = self._check_start(view, pool)
        if not allowed:
            pool.release(connection)
            return False
        self._attach(view, pool, connection)
        asked_at = board.now()
        timeout = max(MIN_TIMEOUT, work.offer_until - board.now())
        begin = Begin("", self._read_only)
        try:
            reply = await exchange(
                board, pool, connection, self._values, begin, timeout, floor
            )
        except UpstreamLost as error:
            self._detach()
            pool.discard(connection)
            _note_problem(work, pool, "server lost", str(error), 0.5)
            return False
        if view is not None:
            note_position(board, view, asked_at, reply.position)
        if reply.status is Status.DONE:
            return True
        self._detach()
        pool.release(connection)
        if reply.status is Status.LAGGING:
            pool.statistics.lagging_until = board.now() + 0.15
        _note_problem(work, pool, reply.status.value, reply.message, 0.04)
        return False

    def _check_start(self, view: GroupView | None, pool: Pool):
        """Return the floor of BEGIN, and whether it may be sent now."""
        board = self._board
        service = self._route.service
        current = board.authority.may_start(service, board.now())
        if view is not None:
            return None, current == view
        floor = find_floor(board, self._route, self._values.floors, self._arrived_at)
        if floor is not None:
            return floor.position, True
        return None, current is not None and current.primary_id == pool.upstream.id

    async def _exchange(self, command, deadline: float) -> Reply:
        timeout = max(MIN_TIMEOUT, deadline - self._board.now())
        try:
            return await exchange(
                self._board,
                self._pool,
                self._connection,
                self._values,
                command,
                timeout,
            )
        except UpstreamLost as error:
            # The connection is closed, so the server rolls back.
            raise _abort(f"server lost: {error}") from error

    async def _commit_once(self, command: Commit, deadline: float) -> Reply | None:
        """Send COMMIT; None if it has not run and may be sent again."""
        connection, pool, view = self._connection, self._pool, self._view
        timeout = max(MIN_TIMEOUT, deadline - self._board.now())
        try:
            reply = await exchange(
                self._board, pool, connection, self._values, command, timeout
            )
        except UpstreamLost as error:
            self._detach()
            pool.discard(connection)
            raise self._lose_commit(f"no answer to COMMIT: {error}") from error
        if reply.status is Status.BUSY and reply.state is TransactionState.OPEN:
            if self._board.now() + BUSY_PAUSE < deadline:
                return None
            await self.roll_back()
            raise _abort("the server stays busy")
        return self._end_commit(connection, pool, view, reply)

    def _end_commit(
        self, connection: PooledConnection, pool: Pool, view, reply: Reply
    ) -> Reply:
        may_finish = self._may_finish()
        self._detach()
        if reply.state is TransactionState.IDLE:
            pool.release(connection)
        else:
            pool.discard(connection)
        if reply.status is Status.DONE:
            if not self._has_written:
                return reply
            if not may_finish:
                raise Failure(
                    Refusal.UNKNOWN_OUTCOME, "the primary may have been replaced"
                )
            if reply.position is not None:
                floors = self._values.floors
                floors.note_commit(view.service_name, reply.position, view.change)
            return reply
        if reply.was_run:
            raise self._lose_commit(f"{reply.status.value} {reply.message}")
        raise _abort(f"{reply.status.value} {reply.message}")

    def _lose_commit(self, reason: str) -> Failure:
        """Return how a COMMIT without a usable answer ends."""
        if self._has_written:
            return Failure(Refusal.UNKNOWN_OUTCOME, reason)
        return _abort(reason)

    def _may_finish(self) -> bool:
        return self._view is not None and self._board.authority.may_finish(
            self._view, self._board.now()
        )

    def _attach(self, view, pool: Pool, connection: PooledConnection) -> None:
        self._view, self._pool, self._connection = view, pool, connection
        self._serving.open_transactions += 1
        if view is not None:
            in_flight = self._board.authority.in_flight
            in_flight[view.service_name] = in_flight.get(view.service_name, 0) + 1

    def _detach(self) -> None:
        if self._connection is None:
            return
        self._connection = None
        self._serving.open_transactions -= 1
        if self._view is not None:
            self._board.authority.in_flight[self._view.service_name] -= 1


def _abort(reason: str) -> Failure:
    return Failure(Refusal.ABORTED, reason.strip(), retry_after=RETRY_AFTER)
