"""State of the servers of groups led here: inspection and replica progress.

A server is inspected at intervals, more often while its state matters. How far
replicas got is learned without polling: one wait for the primary's latest
position is kept open at each replica, and its return releases every answer and
read that waited for an earlier position.
"""

from datetime import timedelta

from burdocksail.core import LogVector, seconds
from burdocksail.node import _admin_calls, _promotion, _routing, _work
from burdocksail.node._board import Blackboard
from burdocksail.node._events import AdminFinished
from burdocksail.node._groups import (
    AdminCall,
    GroupRuntime,
    Phase,
    PrimarySample,
    ServerState,
)
from burdocksail.node._upstream import (
    AwaitPosition,
    InspectServer,
    ServerReport,
)

INSPECT_INTERVAL = seconds(0.5)
INSPECT_INTERVAL_URGENT = seconds(0.1)
INSPECT_TIMEOUT = seconds(0.6)
WAIT_TIMEOUT = seconds(1)
ROUND_TRIP_GROWTH = 1.1
DEMAND_WINDOW = seconds(1)
UNREACHABLE_AFTER_FAILURES = 2
UNREACHABLE_AFTER = seconds(0.7)


def inspect_servers(board: Blackboard, runtime: GroupRuntime) -> None:
    """Start the inspections of a group's servers that are due."""
    group = board.configuration.groups.get(runtime.group)
    if group is None:
        return
    for state in runtime.servers.values():
        interval = _choose_interval(board, runtime, state)
        last = state.inspected_at
        if state.inspecting or (last is not None and board.now - last < interval):
            continue
        state.inspected_at = board.now
        state.inspecting = _admin_calls.start_admin_call(
            board, group, state, InspectServer(), "inspect", INSPECT_TIMEOUT
        )


def await_replicas(board: Blackboard, runtime: GroupRuntime) -> None:
    """Keep a wait for the primary's position open at each replica."""
    group = board.configuration.groups.get(runtime.group)
    primary = _routing.find_primary(runtime)
    if group is None or primary is None or runtime.phase is not Phase.OPEN:
        return
    position = primary.vector.last
    for state in runtime.servers.values():
        if state is primary or state.awaiting or state.vector.covers(position):
            continue
        if _routing.is_healthy_replica(runtime, state):
            action = AwaitPosition(position)
            state.awaiting = _admin_calls.start_admin_call(
                board, group, state, action, "await", WAIT_TIMEOUT
            )


def handle_admin_finished(board: Blackboard, event: AdminFinished) -> None:
    """Take in the result of an administrative action."""
    call = board.work.admin_actions.pop(event.action_id, None)
    if call is None:
        return
    if call.purpose == "probe":
        _promotion.answer_probe(board, call, event.report is not None)
        return
    runtime = board.work.runtimes.get(call.group)
    state = runtime.servers.get(call.server) if runtime is not None else None
    if runtime is None or state is None:
        return
    _HANDLERS[call.purpose](board, runtime, state, event, call)


def take_report(
    board: Blackboard,
    runtime: GroupRuntime,
    state: ServerState,
    report: ServerReport,
    asked_at: timedelta,
) -> None:
    """Note what a server says of itself."""
    state.report = report
    state.vector = report.vector
    state.reported_at = board.now
    state.failures = 0
    if not state.reachable:
        state.reachable = True
        board.metrics.count("servers_back")
    if state.name == runtime.primary and runtime.phase is Phase.OPEN:
        runtime.samples.append(PrimarySample(asked_at, report.vector))
    _judge_errant(runtime)


def _finish_inspection(
    board: Blackboard,
    runtime: GroupRuntime,
    state: ServerState,
    event: AdminFinished,
    call: AdminCall,
) -> None:
    if state.inspecting == event.action_id:
        state.inspecting = 0
    if event.report is None:
        _note_failure(board, runtime, state)
    else:
        take_report(board, runtime, state, event.report, call.started_at)
        _learn_round_trip(state, board.now - call.started_at)
        _work.release_progress(board, runtime)
    _promotion.advance_group(board, runtime)


def _learn_round_trip(state: ServerState, duration: timedelta) -> None:
    """Follow the shortest inspection; a slow one raises it only slowly."""
    grown = state.round_trip_seconds * ROUND_TRIP_GROWTH
    state.round_trip_seconds = min(grown, duration.total_seconds())


def _finish_wait(
    board: Blackboard,
    runtime: GroupRuntime,
    state: ServerState,
    event: AdminFinished,
    call: AdminCall,
) -> None:
    if state.awaiting == event.action_id:
        state.awaiting = 0
    if event.report is not None and event.report.term == runtime.term:
        take_report(board, runtime, state, event.report, call.started_at)
        _work.release_progress(board, runtime)
        await_replicas(board, runtime)


def _finish_change(
    board: Blackboard,
    runtime: GroupRuntime,
    state: ServerState,
    event: AdminFinished,
    call: AdminCall,
) -> None:
    if event.report is not None:
        take_report(board, runtime, state, event.report, call.started_at)
    _promotion.take_action_result(board, runtime, state, event)


_HANDLERS = {
    "inspect": _finish_inspection,
    "await": _finish_wait,
    "fence": _finish_change,
    "promote": _finish_change,
    "follow": _finish_change,
    "catch_up": _finish_change,
}


def _note_failure(board: Blackboard, runtime: GroupRuntime, state: ServerState) -> None:
    state.failures += 1
    last = state.reported_at or runtime.started_at
    silent = board.now - last >= UNREACHABLE_AFTER
    if state.reachable and silent and state.failures >= UNREACHABLE_AFTER_FAILURES:
        state.reachable = False
        board.metrics.count("servers_lost")
        if state.name != runtime.primary:
            _work.abandon_server(board, runtime, state)


def _choose_interval(
    board: Blackboard, runtime: GroupRuntime, state: ServerState
) -> timedelta:
    urgent = runtime.phase is not Phase.OPEN or state.failures > 0
    stated_age = board.now - runtime.last_stated_age < DEMAND_WINDOW
    if urgent or stated_age:
        return INSPECT_INTERVAL_URGENT
    return INSPECT_INTERVAL


def _judge_errant(runtime: GroupRuntime) -> None:
    """Mark replicas that hold transactions which the primary does not have."""
    primary = _routing.find_primary(runtime)
    if primary is None or runtime.phase is not Phase.OPEN:
        return
    known = primary.vector
    for state in runtime.servers.values():
        earlier = LogVector(
            tuple(p for p in state.vector.positions if p.term < runtime.term)
        )
        state.errant = state is not primary and not known.covers_all(earlier)
