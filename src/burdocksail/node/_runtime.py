"""Opens, updates and closes the runtime state of the groups led here."""

from burdocksail.node import _work
from burdocksail.node._board import Blackboard
from burdocksail.node._effects import CloseConnection
from burdocksail.node._groups import GroupRuntime, Phase, ServerState


def open_runtime(board: Blackboard, group_name: str) -> None:
    """Create the state of a group that this instance now leads.

    The group starts in phase ``INSPECTING``; its servers are inspected next.
    """
    group = board.configuration.groups.get(group_name)
    if group is None:
        return
    runtime = GroupRuntime(group_name, board.now, Phase.INSPECTING)
    for server in group.servers:
        runtime.servers[server.name] = ServerState(server.name, server)
    board.work.runtimes[group_name] = runtime


def close_runtime(board: Blackboard, group_name: str) -> None:
    """Answer or return all requests of a group and close its connections."""
    runtime = board.work.runtimes.get(group_name)
    if runtime is None:
        return
    _work.end_all_work(board, runtime)
    for state in runtime.servers.values():
        for connection_id in list(state.connections):
            board.work.connections.pop(connection_id, None)
            board.emit(CloseConnection(connection_id))
    del board.work.runtimes[group_name]


def update_runtime(board: Blackboard, group_name: str) -> None:
    """Apply a changed group record to the state of the group's servers.

    Servers that the record no longer lists are kept.
    """
    runtime = board.work.runtimes.get(group_name)
    group = board.configuration.groups.get(group_name)
    if runtime is None or group is None:
        return
    for server in group.servers:
        state = runtime.servers.get(server.name)
        if state is None:
            runtime.servers[server.name] = ServerState(server.name, server)
        else:
            state.record = server
