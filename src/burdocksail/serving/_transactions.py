"""Transactions: begun with their first statement, bound to one connection."""

import asyncio
from dataclasses import dataclass

from burdocksail.board import GroupView
from burdocksail.catalog import ReadPolicy, Route
from burdocksail.core import (
    Begin,
    Commit,
    ExecutePrepared,
    LogPosition,
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
    AVOID_BROKEN,
    AVOID_BUSY,
    AVOID_LAGGING,
    BUSY_PAUSE,
    MIN_TIMEOUT,
    RETRY_AFTER,
    Work,
    choose_server,
    find_primary,
    limit_wait,
    note_commit,
    note_missing_connection,
    note_problem,
    pause_before_retry,
)

ROLLBACK_TIMEOUT = 0.3  # seconds; a connection that takes longer is closed


@dataclass(frozen=True, slots=True)
class Binding:
    """The connection that a transaction runs on.

    Attributes
    ----------
    view : GroupView or None
        View under which it began at the primary; None on a replica.
    """

    view: GroupView | None
    pool: Pool
    connection: PooledConnection


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
        self._binding: Binding | None = None
        self._has_written = False

    async def run(self, command: Run | ExecutePrepared, writes: bool) -> Reply:
        """Run a statement of the transaction.

        Raises
        ------
        Failure
            If it did not succeed; the transaction must then be rolled back.
        """
        binding = self._binding or await self._begin(command)
        self._has_written = self._has_written or writes
        deadline = self._board.now() + self._route.statement_timeout
        while True:
            reply = await self._exchange(binding, command, deadline)
            if reply.status is Status.DONE:
                self._serving.decisions.write(
                    "transaction statement answered",
                    command.request_id,
                    transaction=self.request_id,
                    upstream=binding.pool.upstream.id,
                )
                return reply
            may_repeat = reply.status in (Status.BUSY, Status.UNKNOWN_STATEMENT)
            if not may_repeat or reply.state is not TransactionState.OPEN:
                raise _abort(f"{reply.status.value} {reply.message}")
            if self._board.now() + BUSY_PAUSE >= deadline:
                raise _abort("the server stays busy")
            await asyncio.sleep(BUSY_PAUSE)

    async def commit(self, command: Commit) -> Reply:
        """Commit and return the server's answer.

        Raises
        ------
        Failure
            ``ABORTED`` only if the server cannot have committed.
        """
        binding = self._binding or await self._begin(command)
        if self._has_written and not self._may_finish(binding):
            await self.roll_back()
            raise _abort("the primary may have been replaced")
        deadline = self._board.now() + self._route.statement_timeout
        while True:
            reply = await self._commit_once(binding, command, deadline)
            if reply is not None:
                return reply
            await asyncio.sleep(BUSY_PAUSE)

    async def roll_back(self) -> None:
        """End the transaction without a commit and give the connection back."""
        binding = self._binding
        if binding is None:
            return
        self._detach()
        pool, connection = binding.pool, binding.connection
        try:
            replies = await connection.connection.run([Rollback("")], ROLLBACK_TIMEOUT)
        except UpstreamLost:
            pool.discard(connection)  # Closing rolls back as well.
            return
        if replies[-1].state is TransactionState.IDLE:
            pool.release(connection)
        else:
            pool.discard(connection)

    async def _begin(self, command: Run | ExecutePrepared | Commit) -> Binding:
        """Begin at a server, and return what the transaction is bound to."""
        work = Work(self._serving, self._route, self._values, command)
        work.arrived_at = self._board.now()
        while True:
            if self._read_only and self._route.policy is not ReadPolicy.PRIMARY:
                view, pool = None, await choose_server(work)
            else:
                view, pool = await find_primary(work)
            binding = await self._try_begin(work, view, pool)
            if binding is not None:
                return binding
            await pause_before_retry(work)

    async def _try_begin(
        self, work: Work, view: GroupView | None, pool: Pool
    ) -> Binding | None:
        board = self._board
        work.tries += 1
        work.tried.add(pool.upstream.id)
        wait = limit_wait(work) if view is None else work.offer_until - board.now()
        try:
            connection = await pool.acquire(self._route.priority, wait)
        except NoConnection as error:
            note_missing_connection(work, pool, error)
            return None
        floor, allowed = self._check_start(view, pool)
        if not allowed:
            pool.release(connection)
            return None
        binding = Binding(view, pool, connection)
        self._attach(binding)
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
            note_problem(work, pool, "server lost", str(error), AVOID_BROKEN)
            return None
        if view is not None:
            note_position(board, view, asked_at, reply.position)
        if reply.status is Status.DONE:
            return binding
        self._detach()
        pool.release(connection)
        if reply.status is Status.LAGGING:
            pool.statistics.lagging_until = board.now() + AVOID_LAGGING
        note_problem(work, pool, reply.status.value, reply.message, AVOID_BUSY)
        return None

    def _check_start(
        self, view: GroupView | None, pool: Pool
    ) -> tuple[LogPosition | None, bool]:
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

    async def _exchange(
        self, binding: Binding, command: Run | ExecutePrepared, deadline: float
    ) -> Reply:
        timeout = max(MIN_TIMEOUT, deadline - self._board.now())
        try:
            return await exchange(
                self._board,
                binding.pool,
                binding.connection,
                self._values,
                command,
                timeout,
            )
        except UpstreamLost as error:
            # The connection is closed, so the server rolls back.
            raise _abort(f"server lost: {error}") from error

    async def _commit_once(
        self, binding: Binding, command: Commit, deadline: float
    ) -> Reply | None:
        """Send COMMIT; None if it has not run and may be sent again."""
        pool, connection = binding.pool, binding.connection
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
        return self._end_commit(binding, reply)

    def _end_commit(self, binding: Binding, reply: Reply) -> Reply:
        may_finish = self._may_finish(binding)
        self._detach()
        if reply.state is TransactionState.IDLE:
            binding.pool.release(binding.connection)
        else:
            binding.pool.discard(binding.connection)
        if reply.status is Status.DONE:
            if not self._has_written:
                return reply
            if not may_finish:
                raise Failure(
                    Refusal.UNKNOWN_OUTCOME, "the primary may have been replaced"
                )
            note_commit(self._values, binding.view, reply)
            return reply
        if reply.was_run:
            raise self._lose_commit(f"{reply.status.value} {reply.message}")
        raise _abort(f"{reply.status.value} {reply.message}")

    def _lose_commit(self, reason: str) -> Failure:
        """Return how a COMMIT without a usable answer ends."""
        if self._has_written:
            return Failure(Refusal.UNKNOWN_OUTCOME, reason)
        return _abort(reason)

    def _may_finish(self, binding: Binding) -> bool:
        return binding.view is not None and self._board.authority.may_finish(
            binding.view, self._board.now()
        )

    def _attach(self, binding: Binding) -> None:
        self._binding = binding
        view = binding.view
        self._serving.open_transactions += 1
        if view is not None:
            in_flight = self._board.authority.in_flight
            in_flight[view.service_name] = in_flight.get(view.service_name, 0) + 1

    def _detach(self) -> None:
        binding, self._binding = self._binding, None
        if binding is None:
            return
        self._serving.open_transactions -= 1
        if binding.view is not None:
            self._board.authority.in_flight[binding.view.service_name] -= 1


def _abort(reason: str) -> Failure:
    return Failure(Refusal.ABORTED, reason.strip(), retry_after=RETRY_AFTER)
