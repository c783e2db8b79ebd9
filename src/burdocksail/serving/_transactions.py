"""Caller transactions, each bound to one upstream connection.

BEGIN is sent to the upstream when the caller sends its first statement or COMMIT.
"""

import asyncio
import itertools
from dataclasses import dataclass

from burdocksail.board import GroupView
from burdocksail.catalog import ReadPolicy, Route
from burdocksail.core import (
    Begin,
    Commit,
    ExecutePrepared,
    FailureKind,
    Rollback,
    Run,
    TransactionState,
)
from burdocksail.ports import Reply, ReplyStatus, UpstreamLost
from burdocksail.serving._choice import (
    acquire_at_primary,
    acquire_for_read,
    choose_server,
    wait_for_primary,
)
from burdocksail.serving._context import ServingContext, SessionState
from burdocksail.serving._exchange import exchange
from burdocksail.serving._freshness import Floor, compute_floor, record_sample
from burdocksail.serving._pools import NoConnection, Pool, PooledConnection
from burdocksail.serving._replies import CommandFailed
from burdocksail.serving._requests import (
    AVOID_BROKEN,
    AVOID_BUSY,
    MIN_TIMEOUT,
    StatementRequest,
    back_off,
    may_send,
    record_commit,
    record_connection_failure,
    record_coverage,
    record_failed_attempt,
)
from burdocksail.traffic import Obstacle, compute_backoff

ROLLBACK_TIMEOUT = 0.3  # seconds; a connection that takes longer is closed


@dataclass(frozen=True, slots=True)
class Binding:
    """The connection to which a transaction is bound.

    Attributes
    ----------
    view : GroupView or None
        View of the primary at BEGIN; None if the transaction runs as a read.
    """

    view: GroupView | None
    pool: Pool
    connection: PooledConnection


class Transaction:
    """A caller's transaction, from BEGIN to its end.

    BEGIN is deferred until the first statement, so that a caller that pauses
    after BEGIN holds no connection.
    """

    def __init__(
        self,
        serving: ServingContext,
        route: Route,
        session: SessionState,
        read_only: bool,
        request_id: str,
    ):
        self.request_id = request_id
        self._serving = serving
        self._board = serving.board
        self._route = route
        self._session = session
        self._read_only = read_only
        self._begin_arrived_at = self._board.now()
        self._binding: Binding | None = None
        self._has_written = False

    async def run(self, command: Run | ExecutePrepared, writes: bool) -> Reply:
        """Run a statement of the transaction and return the server's reply.

        Raises
        ------
        CommandFailed
            If it did not succeed; the caller of this method must then roll back.
        """
        binding = self._binding or await self._begin(command)
        self._has_written = self._has_written or writes
        deadline = self._find_deadline()
        for attempts in itertools.count(2):
            reply = await self._exchange(binding, command, deadline)
            if reply.status is ReplyStatus.DONE:
                self._serving.decisions.write(
                    "transaction statement answered",
                    command.request_id,
                    transaction=self.request_id,
                    upstream=binding.pool.upstream.id,
                )
                return reply
            can_retry = reply.status in (
                ReplyStatus.BUSY,
                ReplyStatus.UNKNOWN_STATEMENT,
            )
            if not can_retry or reply.state is not TransactionState.OPEN:
                raise self._make_aborted(f"{reply.status.value} {reply.message}")
            await self._back_off(attempts, deadline)
        raise AssertionError("unreachable")

    async def commit(self, command: Commit) -> Reply:
        """Commit and return the server's reply.

        Raises
        ------
        CommandFailed
            ``ABORTED`` only if the server cannot have committed a write.
        """
        binding = self._binding or await self._begin(command)
        if self._has_written and not self._is_result_valid(binding):
            await self.roll_back()
            raise self._make_aborted("the primary may have been replaced")
        deadline = self._find_deadline()
        for attempts in itertools.count(2):
            reply = await self._attempt_commit(binding, command, deadline)
            if reply is not None:
                return reply
            try:
                await self._back_off(attempts, deadline)
            except CommandFailed:
                await self.roll_back()
                raise
        raise AssertionError("unreachable")

    async def roll_back(self) -> None:
        """Roll back and release the connection, or close it if that fails."""
        binding = self._binding
        if binding is None:
            return
        self._unbind()
        pool, connection = binding.pool, binding.connection
        try:
            replies = await connection.connection.run([Rollback("")], ROLLBACK_TIMEOUT)
        except UpstreamLost:
            pool.discard(connection)  # Closing it rolls back as well.
            return
        if replies[-1].state is TransactionState.IDLE:
            pool.release(connection)
        else:
            pool.discard(connection)

    async def _begin(self, command: Run | ExecutePrepared | Commit) -> Binding:
        """Send BEGIN to a server, with retries, and return the binding.

        The time limits count from the arrival of `command`, the first statement or
        COMMIT. Setting `arrived_at` here repeats what `StatementRequest` has done.
        """
        request = StatementRequest(self._serving, self._route, self._session, command)
        request.arrived_at = self._board.now()
        try:
            while True:
                await request.allowance.reserve()
                if self._read_only and self._route.policy is not ReadPolicy.PRIMARY:
                    view, pool = None, await choose_server(request)
                else:
                    view, pool = await wait_for_primary(request)
                binding = await self._attempt_begin(request, view, pool)
                if binding is not None:
                    return binding
                await back_off(request)
        finally:
            request.allowance.release()

    async def _attempt_begin(
        self, request: StatementRequest, view: GroupView | None, pool: Pool
    ) -> Binding | None:
        board = self._board
        request.attempts += 1
        request.tried_ids.add(pool.upstream.id)
        acquire = acquire_for_read if view is None else acquire_at_primary
        try:
            connection = await acquire(request, pool)
        except NoConnection as error:
            record_connection_failure(request, pool, error)
            return None
        floor, allowed = self._check_may_begin(view, pool)
        if not allowed or not may_send(request):
            pool.release(connection)
            return None
        binding = Binding(view, pool, connection)
        self._bind(binding)
        asked_at = board.now()
        timeout = max(MIN_TIMEOUT, request.begin_deadline - board.now())
        begin = Begin("", self._read_only)
        try:
            reply = await exchange(
                self._serving,
                self._route,
                pool,
                connection,
                self._session,
                begin,
                timeout,
                None if floor is None else floor.position,
            )
        except UpstreamLost as error:
            request.allowance.use_up()
            self._unbind()
            pool.discard(connection)
            record_failed_attempt(
                request, pool, "server lost", str(error), AVOID_BROKEN
            )
            return None
        if view is not None:
            record_sample(board, view, asked_at, reply.position)
        elif floor is not None:
            record_coverage(self._serving, pool, floor, reply.status)
        if reply.status is ReplyStatus.DONE:
            return binding
        self._unbind()
        pool.release(connection)
        record_failed_attempt(
            request, pool, reply.status.value, reply.message, AVOID_BUSY
        )
        return None

    def _check_may_begin(
        self, view: GroupView | None, pool: Pool
    ) -> tuple[Floor | None, bool]:
        """Return the floor for BEGIN, and whether BEGIN may be sent now.

        The floor counts from the arrival of the caller's BEGIN, while `choose_server`
        counts from the first statement.
        """
        board = self._board
        service = self._route.service
        current = board.get_view_for_new_work(service)
        if view is not None:
            return None, current == view
        floor = compute_floor(
            board, self._route, self._session.commits, self._begin_arrived_at
        )
        if floor is not None:
            return floor, True
        return None, current is not None and current.primary_id == pool.upstream.id

    async def _exchange(
        self, binding: Binding, command: Run | ExecutePrepared, deadline: float
    ) -> Reply:
        timeout = max(MIN_TIMEOUT, deadline - self._board.now())
        try:
            return await exchange(
                self._serving,
                self._route,
                binding.pool,
                binding.connection,
                self._session,
                command,
                timeout,
            )
        except UpstreamLost as error:
            # The connection is closed, so the server rolls the transaction back.
            raise self._make_aborted(f"server lost: {error}") from error

    def _find_deadline(self) -> float:
        """Return the clock reading at which a statement that begins now times out."""
        limit = self._board.now() + self._route.statement_timeout
        return min(limit, self._board.stop.requests_end_at)

    async def _back_off(self, attempts: int, deadline: float) -> None:
        """Wait before a statement that the server rejected is sent again.

        Raises
        ------
        CommandFailed
            If the deadline would pass.
        """
        serving = self._serving
        backoff = compute_backoff(
            attempts, self._route.priority, serving.retry_budget.spend(), serving.random
        )
        if self._board.now() + backoff >= deadline:
            raise self._make_aborted("the server stays busy")
        await asyncio.sleep(backoff)

    async def _attempt_commit(
        self, binding: Binding, command: Commit, deadline: float
    ) -> Reply | None:
        """Send COMMIT; return None if it has not run and may be sent again."""
        pool, connection = binding.pool, binding.connection
        timeout = max(MIN_TIMEOUT, deadline - self._board.now())
        try:
            reply = await exchange(
                self._serving,
                self._route,
                pool,
                connection,
                self._session,
                command,
                timeout,
            )
        except UpstreamLost as error:
            self._unbind()
            pool.discard(connection)
            raise self._make_lost_commit_error(
                f"no answer to COMMIT: {error}"
            ) from error
        if reply.status is ReplyStatus.BUSY and reply.state is TransactionState.OPEN:
            return None
        return self._finish_commit(binding, reply)

    def _finish_commit(self, binding: Binding, reply: Reply) -> Reply:
        is_valid = self._is_result_valid(binding)
        self._unbind()
        if reply.state is TransactionState.IDLE:
            binding.pool.release(binding.connection)
        else:
            binding.pool.discard(binding.connection)
        if reply.status is ReplyStatus.DONE:
            if not self._has_written:
                return reply
            if not is_valid:
                raise CommandFailed(
                    FailureKind.UNKNOWN_OUTCOME, "the primary may have been replaced"
                )
            record_commit(self._session, binding.view, reply, self._board.now())
            return reply
        if reply.may_have_run:
            raise self._make_lost_commit_error(f"{reply.status.value} {reply.message}")
        raise self._make_aborted(f"{reply.status.value} {reply.message}")

    def _make_lost_commit_error(self, reason: str) -> CommandFailed:
        """Return the error for a COMMIT whose outcome at the server is unknown.

        Without a write there is nothing to lose, so it counts as aborted.
        """
        if self._has_written:
            return CommandFailed(FailureKind.UNKNOWN_OUTCOME, reason)
        return self._make_aborted(reason)

    def _make_aborted(self, reason: str) -> CommandFailed:
        """Return the error for a transaction of which nothing is kept."""
        retry_after = self._serving.compute_retry_after(Obstacle.OVERLOAD, self._route)
        return CommandFailed(FailureKind.ABORTED, reason.strip(), retry_after)

    def _is_result_valid(self, binding: Binding) -> bool:
        return binding.view is not None and self._board.authority.is_result_valid(
            binding.view, self._board.now()
        )

    def _bind(self, binding: Binding) -> None:
        self._binding = binding
        view = binding.view
        self._serving.open_transactions += 1
        if view is not None:
            in_flight = self._board.authority.in_flight
            in_flight[view.service_name] = in_flight.get(view.service_name, 0) + 1

    def _unbind(self) -> None:
        binding, self._binding = self._binding, None
        if binding is None:
            return
        self._serving.open_transactions -= 1
        if binding.view is not None:
            self._board.authority.in_flight[binding.view.service_name] -= 1
