"""One round trip to an upstream: session state first, then the statement."""

from collections.abc import Callable

from burdocksail.catalog import Route
from burdocksail.core import (
    Begin,
    Commit,
    ExecutePrepared,
    LogPosition,
    Prepare,
    ResetSession,
    Run,
    SetVariable,
    UpstreamCommand,
)
from burdocksail.ports import Reply, ReplyStatus, UpstreamLost
from burdocksail.serving._context import ServingContext, SessionState
from burdocksail.serving._pools import Pool, PooledConnection
from burdocksail.serving._work import find_kind, record_run_time

Statement = Run | ExecutePrepared | Begin | Commit


async def exchange(
    serving: ServingContext,
    route: Route,
    pool: Pool,
    connection: PooledConnection,
    session: SessionState,
    statement: Statement,
    timeout: float,
    floor: LogPosition | None = None,
) -> Reply:
    """Synchronize the upstream session with the caller's and run a statement.

    All commands are sent as one batch. The commands before the statement fail only
    if the connection is broken, so if one of them fails, the connection is closed.

    Parameters
    ----------
    timeout : float
        Seconds within which all replies must arrive.
    floor : LogPosition or None
        Log position that the server must have applied to run the statement; None
        if any will do.

    Returns
    -------
    Reply
        Reply to the statement.

    Raises
    ------
    UpstreamLost
        If there is no reply, or the session could not be set up; the statement
        may have run.
    """
    commands, update_connection = _build_commands(connection, session, statement)
    statistics = pool.statistics
    board = serving.board
    kind = find_kind(route, session, statement)
    started_at = board.now()
    usual = serving.work_times[route.service].estimate(kind)
    pending = statistics.pending.add(usual, started_at)
    try:
        replies = await connection.connection.run(commands, timeout, floor)
    except UpstreamLost:
        statistics.health.record(failed=True)
        raise
    finally:
        statistics.pending.remove(pending)
    update_connection()
    reply = replies[-1]
    if any(r.status is not ReplyStatus.DONE for r in replies[:-1]):
        connection.close()
        raise UpstreamLost("the session could not be set up", replies[:-1])
    now = board.now()
    statistics.record_latency(now - started_at)
    statistics.round_trip = connection.connection.round_trip
    if reply.status is ReplyStatus.DONE and kind is not None:
        record_run_time(serving, route, kind, pool, now - started_at, usual)
    pool.record_reply(reply.status)
    if reply.status is ReplyStatus.UNKNOWN_STATEMENT:
        # The server no longer knows the statements prepared on this connection; a
        # retry prepares them again.
        connection.prepared.clear()
    return reply


def _build_commands(
    connection: PooledConnection, session: SessionState, statement: Statement
) -> tuple[list[UpstreamCommand], Callable[[], None]]:
    """Return the commands, and a function to call once they are answered.

    The function records the new state of the upstream session.
    """
    commands: list[UpstreamCommand] = []
    set_variables = dict(connection.variables)
    prepared = dict(connection.prepared)
    if any(name not in session.variables for name in set_variables):
        commands.append(ResetSession())
        set_variables = {}
        prepared = {}
    for name, value in session.variables.items():
        if set_variables.get(name) != value:
            commands.append(SetVariable("", name, value))
            set_variables[name] = value
    if isinstance(statement, ExecutePrepared):
        statement = _resolve_prepared(statement, session, prepared, commands)
    commands.append(statement)

    def update_connection() -> None:
        connection.variables = set_variables
        connection.prepared = prepared

    return commands, update_connection


def _resolve_prepared(
    statement: ExecutePrepared,
    session: SessionState,
    prepared: dict[tuple[str, bool], str],
    commands: list[UpstreamCommand],
) -> ExecutePrepared:
    """Return the statement under the connection's own name for its template.

    Names are per template, not per caller, so that the names of callers that share
    the connection never collide. A Prepare command is added if needed.
    """
    prepared_statement = session.prepared[statement.name]
    key = (prepared_statement.template, prepared_statement.writes)
    name = prepared.get(key)
    if name is None:
        name = f"p{len(prepared)}"
        commands.append(
            Prepare("", name, prepared_statement.template, prepared_statement.writes)
        )
        prepared[key] = name
    return ExecutePrepared(statement.request_id, name, statement.arguments)
