"""Connections to upstream servers.

Only the leader of a group connects to its servers for statements, so a single
instance enforces a server's connection limit for all instances. Connections for
all slots are opened in advance: a new one takes about ten milliseconds and would
otherwise be opened during a rise in load.
"""

from burdocksail.core import seconds
from burdocksail.node import _admission
from burdocksail.node._board import Blackboard
from burdocksail.node._effects import CloseConnection, OpenConnection
from burdocksail.node._groups import (
    ConnectionUse,
    GroupRuntime,
    ServerState,
    UpstreamConnection,
)
from burdocksail.records import Group

# Kept free for the leader's inspections and position waits, and for probes by
# other instances.
RESERVED_CONNECTIONS = 4
SPARE_CONNECTIONS = 1
CONNECT_RETRY_DELAY = seconds(0.2)
IDLE_CLOSE_AFTER = seconds(30)


def max_statement_connections(group: Group) -> int:
    """Return how many connections for statements a leader may open to a server.

    This is half of the unreserved ones: a paused leader keeps its connections
    while its successor opens its own, and both must fit within the limit.
    """
    return max(1, (group.connections - RESERVED_CONNECTIONS) // 2)


def max_open_transactions(group: Group) -> int:
    """Return how many transactions may be open without using up the slots."""
    return max(1, max_statement_connections(group) - group.slots - SPARE_CONNECTIONS)


def ensure_connections(
    board: Blackboard, runtime: GroupRuntime, state: ServerState, group: Group
) -> None:
    """Open the connections that the slots and open transactions need."""
    if not state.reachable or board.now < state.connect_retry_at:
        return
    wanted = _admission.max_in_flight(state, group.slots) + SPARE_CONNECTIONS
    if state.name == runtime.primary:
        wanted += len(runtime.transactions)
    wanted = min(wanted, max_statement_connections(group))
    while len(state.connections) < wanted:
        connection_id = board.make_id()
        connection = UpstreamConnection(
            connection_id,
            runtime.group,
            state.name,
            ConnectionUse.OPENING,
            board.now,
            board.now,
        )
        state.connections[connection_id] = connection
        board.work.connections[connection_id] = connection
        board.emit(OpenConnection(connection_id, group, state.record))
    assert len(state.connections) <= max_statement_connections(group)


def close_excess_connections(
    board: Blackboard, state: ServerState, group: Group
) -> None:
    """Close connections left over from a load peak, once idle for long enough."""
    keep = _admission.max_in_flight(state, group.slots) + SPARE_CONNECTIONS
    for connection_id in list(state.idle):
        if len(state.connections) <= keep:
            return
        connection = state.connections[connection_id]
        if board.now - connection.idle_since >= IDLE_CLOSE_AFTER:
            state.idle.remove(connection_id)
            close_connection(board, state, connection)


def take_idle_connection(
    board: Blackboard, state: ServerState, use: ConnectionUse
) -> UpstreamConnection | None:
    """Return an idle connection with its use set, or None if none is idle."""
    if not state.idle:
        return None
    connection = state.connections[state.idle.pop()]
    connection.use = use
    return connection


def release_connection(
    board: Blackboard, state: ServerState, connection: UpstreamConnection
) -> None:
    """Make a connection available for other work."""
    if connection.connection_id not in state.connections:
        return
    connection.use = ConnectionUse.IDLE
    connection.idle_since = board.now
    state.idle.append(connection.connection_id)


def close_connection(
    board: Blackboard, state: ServerState, connection: UpstreamConnection
) -> None:
    """Close a connection and remove it from the server's pool."""
    remove_connection(board, state, connection.connection_id)
    board.emit(CloseConnection(connection.connection_id))


def remove_connection(
    board: Blackboard, state: ServerState, connection_id: int
) -> UpstreamConnection | None:
    """Remove a connection that is already closed and return it, if known."""
    board.work.connections.pop(connection_id, None)
    if connection_id in state.idle:
        state.idle.remove(connection_id)
    return state.connections.pop(connection_id, None)
