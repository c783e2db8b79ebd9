"""State of the servers of groups led here: inspection and replica progress.

Servers are inspected periodically, and more often while a group is not open, an
inspection has failed or reads of stated age arrive. Replicas are not polled for
their progress: one wait for the primary's latest position is kept open at each
replica, and its end releases every answer and read that waited for that
position or an earlier one.
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
POSITION_WAIT_TIMEOUT = seconds(1)
MAX_ROUND_TRIP_GROWTH = 1.1  # factor per inspection
STATED_AGE_WINDOW = seconds(1)  # inspections stay frequent after such a read
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
        if state.inspection_id or (last is not None and board.now - last < interval):
            continue
        state.inspected_at = board.now
        state.inspection_id = _admin_calls.start_admin_call(
            board, group, state, InspectServer(), "inspect", INSPECT_TIMEOUT
        )


def start_position_waits(board: Blackboard, runtime: GroupRuntime) -> None:
    """Keep a wait for the primary's position open at each replica that needs one.

    Those are the healthy replicas that have not applied the position yet.
    """
    group = board.configuration.groups.get(runtime.group)
    primary = _routing.find_primary(runtime)
    if group is None or primary is None or runtime.phase is not Phase.OPEN:
        return
    position = primary.vector.last
    for state in runtime.servers.values():
        if state is primary or state.position_wait_id or state.vector.covers(position):
            continue
        if _routing.is_healthy_replica(runtime, state):
            action = AwaitPosition(position)
            state.position_wait_id = _admin_calls.start_admin_call(
                board, group, state, action, "await", POSITION_WAIT_TIMEOUT
            )


def handle_admin_finished(board: Blackboard, event: AdminFinished) -> None:
    """Process the result of an administrative action."""
    call = board.work.admin_calls.pop(event.action_id, None)
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


def apply_report(
    board: Blackboard,
    runtime: GroupRuntime,
    state: ServerState,
    report: ServerReport,
    asked_at: timedelta,
) -> None:
    """Update a server's state from its report, requested at `asked_at`."""
    state.report = report
    state.vector = report.vector
    state.reported_at = board.now
    state.failures = 0
    if not state.reachable:
        state.reachable = True
        board.metrics.count("servers_back")
    if state.name == runtime.primary and runtime.phase is Phase.OPEN:
        runtime.samples.append(PrimarySample(asked_at, report.vector))
    _update_errant(runtime)


def _finish_inspection(
    board: Blackboard,
    runtime: GroupRuntime,
    state: ServerState,
    event: AdminFinished,
    call: AdminCall,
) -> None:
    if state.inspection_id == event.action_id:
        state.inspection_id = 0
    if event.report is None:
        _record_inspection_failure(board, runtime, state)
    else:
        apply_report(board, runtime, state, event.report, call.started_at)
        _update_round_trip(state, board.now - call.started_at)
        _work.release_waiting_work(board, runtime)
    _promotion.advance_group(board, runtime)


def _update_round_trip(state: ServerState, duration: timedelta) -> None:
    """Track the shortest inspection; a longer one raises the estimate slowly."""
    grown = state.round_trip_seconds * MAX_ROUND_TRIP_GROWTH
    state.round_trip_seconds = min(grown, duration.total_seconds())


def _finish_position_wait(
    board: Blackboard,
    runtime: GroupRuntime,
    state: ServerState,
    event: AdminFinished,
    call: AdminCall,
) -> None:
    if state.position_wait_id == event.action_id:
        state.position_wait_id = 0
    if event.report is not None and event.report.term == runtime.term:
        apply_report(board, runtime, state, event.report, call.started_at)
        _work.release_waiting_work(board, runtime)
        start_position_waits(board, runtime)


def _finish_promotion_action(
    board: Blackboard,
    runtime: GroupRuntime,
    state: ServerState,
    event: AdminFinished,
    call: AdminCall,
) -> None:
    if event.report is not None:
        apply_report(board, runtime, state, event.report, call.started_at)
    _promotion.handle_action_result(board, runtime, state, event)


_HANDLERS = {
    "inspect": _finish_inspection,
    "await": _finish_position_wait,
    "fence": _finish_promotion_action,
    "promote": _finish_promotion_action,
    "follow": _finish_promotion_action,
    "catch_up": _finish_promotion_action,
}


def _record_inspection_failure(
    board: Blackboard, runtime: GroupRuntime, state: ServerState
) -> None:
    state.failures += 1
    last = state.reported_at or runtime.started_at
    silent = board.now - last >= UNREACHABLE_AFTER
    if state.reachable and silent and state.failures >= UNREACHABLE_AFTER_FAILURES:
        state.reachable = False
        board.metrics.count("servers_lost")
        if state.name != runtime.primary:
            _work.close_server_connections(board, runtime, state)


def _choose_interval(
    board: Blackboard, runtime: GroupRuntime, state: ServerState
) -> timedelta:
    urgent = runtime.phase is not Phase.OPEN or state.failures > 0
    stated_age = board.now - runtime.last_stated_age_read_at < STATED_AGE_WINDOW
    if urgent or stated_age:
        return INSPECT_INTERVAL_URGENT
    return INSPECT_INTERVAL


def _update_errant(runtime: GroupRuntime) -> None:
    """Mark replicas holding transactions of earlier terms that the primary lacks."""
    primary = _routing.find_primary(runtime)
    if primary is None or runtime.phase is not Phase.OPEN:
        return
    primary_vector = primary.vector
    for state in runtime.servers.values():
        earlier = LogVector(
            tuple(p for p in state.vector.positions if p.term < runtime.term)
        )
        state.errant = state is not primary and not primary_vector.covers_all(earlier)
