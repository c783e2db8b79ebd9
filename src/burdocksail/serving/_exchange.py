"""One exchange with an upstream: session values, then the statement."""

from collections.abc import Callable

from burdocksail.board import Blackboard
from burdocksail.core import (
    Begin,
    Commit,
    ExecutePrepared,
    LogPosition,
    Prepare,
    ResetSession,
    Run,
    SetValue,
    UpstreamCommand,
)
from burdocksail.ports import Reply, Status, UpstreamLost
from burdocksail.serving._context import SessionValues
from burdocksail.serving._pools import Pool, PooledConnection

Statement = Run | ExecutePrepared | Begin | Commit


async def exchange(
    board: Blackboard,
    pool: Pool,
    connection: PooledConnection,
    values: SessionValues,
    statement: Statement,
    timeout: float,
    floor: LogPosition | None = None,
) -> Reply:
    """Bring the upstream session in line with the caller's and run a statement.

    All commands leave together. None of those before the statement can fail
    while the connection lives, and if one did, the connection is not used
    again.

    Raises
    ------
    UpstreamLost
        If there is no reply; the statement may have run.
    """
    commands, apply = _align(connection, values, statement)
    statistics = pool.statistics
    statistics.in_flight += 1
    started = board.now()
    try:
        replies = await connection.connection.run(commands, timeout, floor)
    finally:
        statistics.in_flight -= 1
    apply()
    reply = replies[-1]
    if any(r.status is not Status.DONE for r in replies[:-1]):
        connection.close()
        raise UpstreamLost("the session could not be set up", replies[:-1])
    statistics.note_latency(board.now() - started)
    if reply.status is Status.UNKNOWN_STATEMENT:
        connection.prepared.clear()
    return reply


def _align(
    connection: PooledConnection, values: SessionValues, statement: Statement
) -> tuple[list[UpstreamCommand], Callable[[], None]]:
    """Return the commands to send, and what to note once they are answered."""
    commands: list[UpstreamCommand] = []
    set_values = dict(connection.values)
    prepared = dict(connection.prepared)
    if any(name not in values.values for name in set_values):
        commands.append(ResetSession())
        set_values = {}
        prepared = {}
    for name, value in values.values.items():
        if set_values.get(name) != value:
            commands.append(SetValue("", name, value))
            set_values[name] = value
    if isinstance(statement, ExecutePrepared):
        statement = _rename(statement, values, prepared, commands)
    commands.append(statement)

    def apply() -> None:
        connection.values = set_values
        connection.prepared = prepared

    return commands, apply


def _rename(
    statement: ExecutePrepared,
    values: SessionValues,
    prepared: dict[tuple[str, bool], str],
    commands: list[UpstreamCommand],
) -> ExecutePrepared:
    """Name the statement by its shape, so that callers' names never collide."""
    shape = values.prepared[statement.name]
    key = (shape.shape, shape.writes)
    name = prepared.get(key)
    if name is None:
        name = f"p{len(prepared)}"
        commands.append(Prepare("", name, shape.shape, shape.writes))
        prepared[key] = name
    return ExecutePrepared(statement.request_id, name, statement.arguments)
