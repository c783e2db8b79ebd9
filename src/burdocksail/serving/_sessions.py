"""Caller sessions: session variables, prepared statements and transactions."""

import contextlib
from functools import singledispatchmethod

from burdocksail.catalog import Catalog, ReadPolicy, Route
from burdocksail.core import (
    Begin,
    CallerCommand,
    Commit,
    Deallocate,
    ExecutePrepared,
    FailureKind,
    Prepare,
    Rollback,
    Run,
    SetVariable,
    TransactionState,
)
from burdocksail.serving._context import PreparedStatement, ServingContext, SessionState
from burdocksail.serving._replies import CallerReply, CommandFailed
from burdocksail.serving._requests import StatementRequest
from burdocksail.serving._statements import run_at_primary, run_read
from burdocksail.serving._transactions import Transaction

# Failures after which a session is of no further use.
SESSION_ENDS = frozenset({FailureKind.UNKNOWN_DATABASE, FailureKind.DENIED})
DEFAULT_TRANSACTION_IDLE_TIMEOUT = 3.0  # seconds, while there is no configuration


def may_use_route(route: Route | None, owner: str | None) -> bool:
    """Return whether callers may use a route, where there are workspaces.

    Parameters
    ----------
    owner : str or None
        Workspace that the caller's key belongs to; None if the key is unknown.
    """
    return owner is not None or (route is not None and not route.requires_key)


def must_run_at_primary(route: Route, writes: bool) -> bool:
    """Return whether a statement outside of a transaction may only run there."""
    return writes or route.policy is ReadPolicy.PRIMARY


class CallerSession:
    """One caller's session; commands must not be executed concurrently.

    Parameters
    ----------
    key : str
        Key by which the caller identifies its workspace. It never leaves this object.
    """

    def __init__(self, serving: ServingContext, database: str, key: str = ""):
        self.database = database
        self._serving = serving
        self._key = key
        self._checked_catalog: Catalog | None = None
        self._is_authorized = True
        self._has_changed_workspace = False
        self._session_state = SessionState()
        self._transaction: Transaction | None = None
        self._failed = False
        self._abort_reason = ""

    @property
    def state(self) -> TransactionState:
        """Return whether a transaction is open, or failed and not yet ended."""
        if self._failed:
            return TransactionState.FAILED
        if self._transaction is not None:
            return TransactionState.OPEN
        return TransactionState.IDLE

    async def execute(self, command: CallerCommand) -> CallerReply:
        """Execute a command and return the reply; failures are not raised."""
        board = self._serving.board
        started = board.now()
        try:
            if not self.is_authorized():
                await self._deny()
            if self._has_changed_workspace:
                self._has_changed_workspace = False
                await self.end_transaction("the key has moved to another workspace")
            if self._failed and not isinstance(command, Commit | Rollback):
                raise self._make_failed_transaction_error()
            reply = await self._run(command)
        except CommandFailed as error:
            reply = self._report_failure(command, error)
        outcome = "answered" if reply.failure_kind is None else reply.failure_kind.value
        board.metrics.count(f"commands_{outcome}")
        board.metrics.record("command", board.now() - started)
        return reply

    def is_authorized(self) -> bool:
        """Return whether the configuration in force lets this caller use its database.

        Resolves the caller's workspace anew whenever a configuration has come into
        force, so a withdrawn key loses its right with the version that withdraws it.
        """
        catalog = self._serving.board.catalog.catalog
        if catalog is not self._checked_catalog:
            self._checked_catalog = catalog
            self._authorize(catalog)
        return self._is_authorized

    def compute_idle_timeout(self) -> float:
        """Return the seconds for which an open transaction may stay idle.

        During a graceful stop, at most the time until open transactions are ended.
        """
        board = self._serving.board
        catalog = board.catalog.catalog
        until_stop = board.stop.transactions_end_at - board.now()
        idle = (
            DEFAULT_TRANSACTION_IDLE_TIMEOUT
            if catalog is None
            else catalog.transaction_idle_timeout
        )
        return max(0.0, min(idle, until_stop))

    async def end_transaction(self, reason: str) -> None:
        """Roll back the open transaction, if there is one, between two commands.

        The session is then in a failed transaction, and `reason` goes into the
        reply to the caller's next statement.
        """
        if self._transaction is not None:
            self._serving.decisions.write(
                "transaction ended", self._transaction.request_id, reason=reason
            )
            await self._roll_back_transaction()
            self._failed = True
            self._abort_reason = reason

    async def close(self) -> None:
        """End the session and roll back an open transaction."""
        await self._roll_back_transaction()

    @singledispatchmethod
    async def _run(self, command: CallerCommand) -> CallerReply:
        raise NotImplementedError(type(command).__name__)

    @_run.register
    async def _(self, command: SetVariable) -> CallerReply:
        self._session_state.variables[command.name] = command.value
        return CallerReply(self.state)

    @_run.register
    async def _(self, command: Prepare) -> CallerReply:
        statement = PreparedStatement(command.template, command.writes)
        self._session_state.prepared[command.name] = statement
        return CallerReply(self.state)

    @_run.register
    async def _(self, command: Deallocate) -> CallerReply:
        if self._session_state.prepared.pop(command.name, None) is None:
            raise CommandFailed(FailureKind.UNKNOWN_STATEMENT, command.name)
        return CallerReply(self.state)

    @_run.register
    async def _(self, command: Begin) -> CallerReply:
        if self._transaction is not None:
            raise CommandFailed(FailureKind.MALFORMED, "a transaction is open")
        serving = self._serving
        route = self._find_route()
        if serving.board.stop.requested and self._is_past_transaction_deadline():
            raise CommandFailed(
                FailureKind.BUSY, "the instance is stopping", retry_after=0.0
            )
        self._transaction = Transaction(
            serving, route, self._session_state, command.read_only, command.request_id
        )
        return CallerReply(self.state)

    @_run.register
    async def _(self, command: Rollback) -> CallerReply:
        await self._roll_back_transaction()
        self._failed = False
        self._abort_reason = ""
        return CallerReply(self.state)

    @_run.register
    async def _(self, command: Commit) -> CallerReply:
        if self._failed:
            self._failed = False
            self._abort_reason = ""
            raise CommandFailed(FailureKind.ABORTED, "the transaction was rolled back")
        transaction = self._transaction
        if transaction is None:
            raise CommandFailed(FailureKind.MALFORMED, "no transaction is open")
        self._transaction = None
        upstream_reply = await transaction.commit(command)
        return CallerReply(
            self.state,
            signature=upstream_reply.signature,
            position=upstream_reply.position,
        )

    @_run.register
    async def _(self, command: Run) -> CallerReply:
        return await self._run_statement(command, command.writes)

    @_run.register
    async def _(self, command: ExecutePrepared) -> CallerReply:
        statement = self._session_state.prepared.get(command.name)
        if statement is None:
            raise CommandFailed(FailureKind.UNKNOWN_STATEMENT, command.name)
        return await self._run_statement(command, statement.writes)

    async def _run_statement(
        self, command: Run | ExecutePrepared, writes: bool
    ) -> CallerReply:
        if self._transaction is not None:
            try:
                upstream_reply = await self._transaction.run(command, writes)
            except CommandFailed:
                await self._roll_back_transaction()
                self._failed = True
                raise
        else:
            request = StatementRequest(
                self._serving, self._find_route(), self._session_state, command
            )
            at_primary = must_run_at_primary(request.route, writes)
            upstream_reply = await (run_at_primary if at_primary else run_read)(
                request, writes
            )
        return CallerReply(
            self.state,
            signature=upstream_reply.signature,
            rows=upstream_reply.rows,
            position=upstream_reply.position,
        )

    def _report_failure(
        self, command: CallerCommand, error: CommandFailed
    ) -> CallerReply:
        self._serving.decisions.write(
            "refused",
            command.request_id,
            outcome=error.failure_kind.value,
            reason=error.message,
            retry_after=error.retry_after,
        )
        return CallerReply(
            self.state,
            failure_kind=error.failure_kind,
            message=error.message,
            retry_after=error.retry_after,
            ends_session=error.failure_kind in SESSION_ENDS,
        )

    def _make_failed_transaction_error(self) -> CommandFailed:
        """Return the error for a statement in a failed transaction.

        A caller whose transaction was ended by this instance does not know it yet
        and may safely retry it, so the first such error is ABORTED.
        """
        reason, self._abort_reason = self._abort_reason, ""
        if reason:
            return CommandFailed(FailureKind.ABORTED, reason, retry_after=0.0)
        return CommandFailed(FailureKind.MALFORMED, "the transaction has failed")

    def _authorize(self, catalog: Catalog) -> None:
        if catalog.workspaces is None:
            self._is_authorized, workspace = True, ""
        else:
            route = catalog.routes.get(self.database)
            owner = catalog.workspaces.find_owner(self._key)
            self._is_authorized = may_use_route(route, owner)
            workspace = owner or ""
        if workspace != self._session_state.workspace:
            # The connection of an open transaction belongs to the former workspace.
            self._has_changed_workspace = self._transaction is not None
        self._session_state.workspace = workspace

    async def _deny(self) -> None:
        """Roll back and refuse, as the caller's key has lost its right.

        Raises
        ------
        CommandFailed
            Always.
        """
        await self._roll_back_transaction()
        self._failed = False
        raise CommandFailed(FailureKind.DENIED, "the key is not known any more")

    def _find_route(self) -> Route:
        route = self._serving.find_route(self.database)
        if route is None:
            raise CommandFailed(FailureKind.UNKNOWN_DATABASE, self.database)
        return route

    def _is_past_transaction_deadline(self) -> bool:
        board = self._serving.board
        return board.now() > board.stop.transactions_end_at

    async def _roll_back_transaction(self) -> None:
        transaction, self._transaction = self._transaction, None
        if transaction is not None:
            with contextlib.suppress(CommandFailed):
                await transaction.roll_back()
