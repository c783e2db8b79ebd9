"""Opening of a group, failover and planned switchover of its primary.

A change of primary, whose state is a `Promotion`, is a failover or a planned
switchover.

Only the leader orders a promotion, and only while its lease is valid. A term
opens once a majority of the group's servers has confirmed it, and a new leader
inspects a majority before it opens the group. The terms stored on the servers
therefore decide which primary is valid, and the status object is only updated
afterwards, so a failover works during a store outage.

A failover of an unreachable primary begins only if an instance in another failure
domain cannot reach it either, or if there is no live instance in another domain.
Each step starts from the state read from the servers, so a new leader can continue
a change of primary that its predecessor began.
"""

from burdocksail.core import Instance, LogVector, seconds
from burdocksail.node import _admin_calls, _handover, _lease, _routing, _work
from burdocksail.node._board import Blackboard, Role
from burdocksail.node._effects import RunAdmin, Send
from burdocksail.node._events import AdminFinished
from burdocksail.node._groups import (
    AdminCall,
    GroupRuntime,
    Hold,
    Phase,
    PrimarySample,
    Promotion,
    PromotionStep,
    ServerState,
)
from burdocksail.node._messages import ProbeServer, ServerProbed
from burdocksail.node._upstream import (
    AdminAction,
    AwaitPosition,
    FenceServer,
    FollowServer,
    InspectServer,
    PromoteServer,
)
from burdocksail.records import Group

ALL_REPORTS_TIMEOUT = seconds(0.8)  # then the reports of a majority suffice
CONFIRM_TIMEOUT = seconds(0.5)
STEP_TIMEOUT = seconds(1)
ACTION_TIMEOUT = seconds(0.6)
# Longest wait for long statements and open transactions. After it, short statements
# are held too or, if a transaction is still open, the change is cancelled.
HOLD_TIMEOUT = seconds(2)
PLANNED_RETRY_DELAY = seconds(10)
MOVE_LEADER_AFTER = seconds(1)


def advance_group(board: Blackboard, runtime: GroupRuntime) -> None:
    """Advance the opening of a group or a change of its primary by one step."""
    group = board.configuration.groups.get(runtime.group)
    if group is None or not _lease.is_lease_valid(board, runtime.group):
        return
    if runtime.promotion is not None:
        _STEPS[runtime.promotion.step](board, runtime, runtime.promotion, group)
    elif runtime.phase is Phase.INSPECTING:
        _open_or_begin_failover(board, runtime, group)
    elif runtime.phase is Phase.OPEN:
        _check_primary(board, runtime, group)


def handle_action_result(
    board: Blackboard, runtime: GroupRuntime, state: ServerState, event: AdminFinished
) -> None:
    """Apply the result of an administrative action to the change of primary."""
    promotion = runtime.promotion
    if promotion is None:
        return
    purpose = promotion.actions.pop(event.action_id, None)
    if purpose == "fence" and event.report is not None:
        if event.report.term == promotion.term:
            promotion.fenced[state.name] = event.report
        elif event.report.term > promotion.term:
            _restart_inspection(board, runtime)
            return
    report = event.report
    promoted = report is not None and report.writable
    if purpose == "promote" and promoted and report.term == promotion.term:
        _open_group(board, runtime, state, promotion.term)
        return
    advance_group(board, runtime)


def handle_probe_server(
    board: Blackboard, sender: Instance, message: ProbeServer
) -> None:
    """Check, at the request of a leader, whether this instance reaches a server."""
    group = board.configuration.groups.get(message.group)
    server = group.find_server(message.server) if group is not None else None
    if group is None or server is None:
        return
    action_id = board.make_id()
    board.work.admin_calls[action_id] = AdminCall(
        message.group, message.server, "probe", board.now, sender
    )
    board.emit(RunAdmin(action_id, group, server, InspectServer(), CONFIRM_TIMEOUT))


def answer_probe(board: Blackboard, call: AdminCall, reachable: bool) -> None:
    """Tell the leader that asked whether this instance reached the server."""
    if call.origin is not None:
        board.emit(Send(call.origin, ServerProbed(call.group, call.server, reachable)))


def handle_server_probed(
    board: Blackboard, sender: Instance, message: ServerProbed
) -> None:
    """Record whether a witness reaches the primary."""
    runtime = board.work.runtimes.get(message.group)
    if runtime is None or runtime.promotion is None:
        return
    promotion = runtime.promotion
    about_primary = not runtime.primary or message.server == runtime.primary
    if promotion.step is PromotionStep.CONFIRMING and about_primary:
        promotion.reachable_by[sender.key] = message.reachable
        advance_group(board, runtime)


def _open_or_begin_failover(
    board: Blackboard, runtime: GroupRuntime, group: Group
) -> None:
    """Open the group if a server is writable in the highest term, else fail over.

    Needs the reports of a majority, and waits up to `ALL_REPORTS_TIMEOUT` for those
    of all servers.
    """
    reported = [s for s in runtime.servers.values() if s.report is not None]
    if len(reported) < _count_majority(runtime):
        return
    overdue = board.now - runtime.started_at >= ALL_REPORTS_TIMEOUT
    complete = len(reported) == len(runtime.servers)
    if not complete and not overdue:
        return
    term = max(s.report.term for s in reported if s.report is not None)
    for state in reported:
        report = state.report
        if report is not None and report.writable and report.term == term:
            _open_group(board, runtime, state, term)
            return
    leadership = board.authority.leaderships[runtime.group]
    status_term = leadership.status.term if leadership.status else 0
    if complete:
        _begin_fencing(board, runtime, max(term, status_term) + 1, group)
        return
    # An unreachable server may be a working primary, so witnesses are asked.
    if leadership.status is not None:
        runtime.primary = leadership.status.primary
    _begin_confirming(board, runtime, max(term, status_term) + 1)


def _open_group(
    board: Blackboard, runtime: GroupRuntime, state: ServerState, term: int
) -> None:
    """Open the group under a primary, point the replicas to it and release work."""
    assert state.report is not None
    changed = runtime.term not in (0, term)
    group = board.configuration.groups[runtime.group]
    for other in runtime.servers.values():
        if other.name != state.name and other.name == runtime.primary and changed:
            _work.close_server_connections(board, runtime, other)
    runtime.term = term
    runtime.primary = state.name
    runtime.phase = Phase.OPEN
    runtime.promotion = None
    runtime.opening_vector = state.vector
    runtime.floors.clear()
    runtime.samples.clear()
    # A promotion reports within `ACTION_TIMEOUT`; the report of an inspection may
    # have been requested earlier.
    runtime.samples.append(PrimarySample(board.now - ACTION_TIMEOUT, state.vector))
    board.metrics.count("groups_opened")
    board.authority.leaderships[runtime.group].publish_needed = True
    _repoint_replicas(board, runtime, state, group)
    _handover.release_hold(board, runtime)
    _work.resolve_writes_after_promotion(board, runtime)


def _repoint_replicas(
    board: Blackboard, runtime: GroupRuntime, primary: ServerState, group: Group
) -> None:
    """Order every server that does not follow the primary to replicate from it."""
    for state in runtime.servers.values():
        if state is primary or state.report is None:
            continue
        report = state.report
        source = (report.source_host, report.source_port)
        expected_source = (primary.record.host, primary.record.port)
        if (
            source == expected_source
            and report.term == runtime.term
            and not state.errant
        ):
            continue
        action = FollowServer(runtime.term, primary.record)
        _start_action(board, group, state, action, "follow")


def _start_action(
    board: Blackboard,
    group: Group,
    state: ServerState,
    action: AdminAction,
    purpose: str,
) -> int:
    """Start an administrative action that changes a server and return its id."""
    return _admin_calls.start_admin_call(
        board, group, state, action, purpose, ACTION_TIMEOUT
    )


def _check_primary(board: Blackboard, runtime: GroupRuntime, group: Group) -> None:
    """Begin a failover if the primary is lost, or a switchover if one is wanted."""
    primary = _routing.find_primary(runtime)
    if primary is None:
        return
    report = primary.report
    highest_term = max(
        (s.report.term for s in runtime.servers.values() if s.report), default=0
    )
    if highest_term > runtime.term or (report is not None and not report.writable):
        _restart_inspection(board, runtime)
        return
    if not primary.reachable:
        _begin_confirming(board, runtime, runtime.term + 1)
        return
    _repoint_stale_replicas(board, runtime, primary, group)
    target = _choose_planned_target(board, runtime, group)
    if target is not None:
        runtime.promotion = Promotion(
            runtime.term + 1, PromotionStep.HOLDING, board.now, True, target
        )
        board.metrics.count("planned_changes")


def _repoint_stale_replicas(
    board: Blackboard, runtime: GroupRuntime, primary: ServerState, group: Group
) -> None:
    """Repeat the order to follow the primary at replicas that have missed it."""
    pending = {
        call.server
        for call in board.work.admin_calls.values()
        if call.group == runtime.group and call.purpose == "follow"
    }
    for state in runtime.servers.values():
        report = state.report
        if state is primary or report is None or not state.reachable:
            continue
        stale = report.term < runtime.term or state.errant or not report.source_host
        if stale and state.name not in pending:
            action = FollowServer(runtime.term, primary.record)
            _start_action(board, group, state, action, "follow")


def _choose_planned_target(
    board: Blackboard, runtime: GroupRuntime, group: Group
) -> str | None:
    """Return the target of the switchover that the group's record asks for, if any.

    The target is the preferred primary or, if the primary is leaving, the most
    advanced healthy replica.
    """
    if board.now < runtime.planned_retry_at:
        return None
    leadership = board.authority.leaderships[runtime.group]
    if leadership.role is not Role.LEADING:
        return None
    candidates = [
        state
        for state in runtime.servers.values()
        if state.name != runtime.primary
        and state.name not in group.leaving
        and _routing.is_healthy_replica(runtime, state)
    ]
    names = [state.name for state in candidates]
    if group.preferred_primary in names:
        return group.preferred_primary
    if runtime.primary in group.leaving and candidates:
        best = max(candidates, key=lambda s: (s.vector.last, s.name))
        return best.name
    return None


def _begin_confirming(board: Blackboard, runtime: GroupRuntime, term: int) -> None:
    """Ask witnesses whether they reach the primary."""
    promotion = Promotion(term, PromotionStep.CONFIRMING, board.now, planned=False)
    runtime.promotion = promotion
    board.metrics.count("primary_suspected")
    for member in _list_witnesses(board):
        board.emit(Send(member, ProbeServer(runtime.group, runtime.primary)))


def _list_witnesses(board: Blackboard) -> list[Instance]:
    """Return one live instance of each other failure domain, two at most."""
    by_domain: dict[str, Instance] = {}
    for instance in board.membership.live.values():
        if instance.failure_domain != board.me.failure_domain:
            by_domain.setdefault(instance.failure_domain, instance)
    return list(by_domain.values())[:2]


def _advance_confirming(
    board: Blackboard, runtime: GroupRuntime, promotion: Promotion, group: Group
) -> None:
    """Begin fencing if a witness cannot reach the primary either, or if there is none.

    If a witness reaches it, the leadership moves to that witness after
    `MOVE_LEADER_AFTER`. If this instance reaches it again, the change is cancelled.
    """
    primary = _routing.find_primary(runtime)
    if primary is not None and primary.reachable and primary.report is not None:
        _cancel_change(board, runtime)
        return
    answers = promotion.reachable_by.values()
    waited = board.now - promotion.step_started_at
    if any(answers):
        if waited >= MOVE_LEADER_AFTER:
            _move_leadership_to_witness(board, runtime, promotion)
        return
    no_witnesses = not _list_witnesses(board)
    if answers or (no_witnesses and waited >= CONFIRM_TIMEOUT):
        _begin_fencing(board, runtime, promotion.term, group)
    elif waited >= STEP_TIMEOUT:
        # No witness answered. Ask again; witnesses that were found dead in the
        # meantime are replaced by others.
        _begin_confirming(board, runtime, promotion.term)


def _move_leadership_to_witness(
    board: Blackboard, runtime: GroupRuntime, promotion: Promotion
) -> None:
    """Hand the leadership over to a witness that reaches the primary."""
    witness_keys = [key for key, reached in promotion.reachable_by.items() if reached]
    successor = board.membership.live.get(witness_keys[0])
    _cancel_change(board, runtime)
    leadership = board.authority.leaderships[runtime.group]
    board.metrics.count("moved_to_witness")
    primary = _routing.find_primary(runtime)
    if primary is not None:
        _work.close_server_connections(board, runtime, primary)
    _handover.begin_drain(board, leadership, successor)


def _begin_fencing(
    board: Blackboard, runtime: GroupRuntime, term: int, group: Group
) -> None:
    """Abandon work on the old primary and raise the term on all servers."""
    old_primary = _routing.find_primary(runtime)
    planned = runtime.promotion.planned if runtime.promotion else False
    target = runtime.promotion.target if runtime.promotion else ""
    runtime.phase = Phase.PROMOTING
    if old_primary is not None:
        _work.close_server_connections(board, runtime, old_primary)
    runtime.promotion = Promotion(
        term, PromotionStep.FENCING, board.now, planned, target
    )
    _send_fences(board, runtime, runtime.promotion, group)


def _send_fences(
    board: Blackboard, runtime: GroupRuntime, promotion: Promotion, group: Group
) -> None:
    for state in runtime.servers.values():
        if state.name in promotion.fenced:
            continue
        action = FenceServer(promotion.term)
        action_id = _start_action(board, group, state, action, "fence")
        promotion.actions[action_id] = "fence"


def _advance_fencing(
    board: Blackboard, runtime: GroupRuntime, promotion: Promotion, group: Group
) -> None:
    """Promote the most advanced server once a majority is fenced.

    Waits up to `ACTION_TIMEOUT` for the other reachable servers.
    """
    pending = any(purpose == "fence" for purpose in promotion.actions.values())
    waited = board.now - promotion.step_started_at
    fenced = len(promotion.fenced)
    if fenced < _count_majority(runtime):
        if not pending and waited >= STEP_TIMEOUT:
            promotion.step_started_at = board.now
            _send_fences(board, runtime, promotion, group)
        return
    reachable = sum(1 for state in runtime.servers.values() if state.reachable)
    if fenced < reachable and pending and waited < ACTION_TIMEOUT:
        return
    target = _choose_target(promotion, group)
    promotion.step = PromotionStep.PROMOTING
    promotion.step_started_at = board.now
    promotion.target = target
    _send_promotion(board, runtime, promotion, group)


def _choose_target(promotion: Promotion, group: Group) -> str:
    """Return the most advanced fenced server.

    Among equally advanced servers, those that stay come before those that leave;
    then the switchover target and the preferred primary come first.
    """

    def sort_key(name: str) -> tuple:
        report = promotion.fenced[name]
        preferred = name in (promotion.target, group.preferred_primary)
        return (report.vector.last, name not in group.leaving, preferred, name)

    return max(promotion.fenced, key=sort_key)


def _send_promotion(
    board: Blackboard, runtime: GroupRuntime, promotion: Promotion, group: Group
) -> None:
    state = runtime.servers[promotion.target]
    action_id = _start_action(
        board, group, state, PromoteServer(promotion.term), "promote"
    )
    promotion.actions[action_id] = "promote"


def _advance_promoting(
    board: Blackboard, runtime: GroupRuntime, promotion: Promotion, group: Group
) -> None:
    """Fence again at a higher term if the promotion was not confirmed in time."""
    pending = any(purpose == "promote" for purpose in promotion.actions.values())
    if not pending and board.now - promotion.step_started_at >= ACTION_TIMEOUT:
        _begin_fencing(board, runtime, promotion.term + 1, group)


def _advance_holding(
    board: Blackboard, runtime: GroupRuntime, promotion: Promotion, group: Group
) -> None:
    """Switchover: hold new work, and fence the primary once nothing is running."""
    waited = board.now - promotion.step_started_at
    primary = _routing.find_primary(runtime)
    if primary is None or not primary.reachable:
        _cancel_change(board, runtime)
        return
    timed_out = waited >= HOLD_TIMEOUT
    if _handover.hold_new_work(runtime, timed_out):
        if runtime.awaiting_replica or runtime.awaiting_lease:
            return
        promotion.step = PromotionStep.FENCING_PRIMARY
        promotion.step_started_at = board.now
        runtime.phase = Phase.PROMOTING
        action = FenceServer(promotion.term)
        action_id = _start_action(board, group, primary, action, "fence")
        promotion.actions[action_id] = "fence"
    elif timed_out and runtime.hold is not Hold.ALL:
        runtime.planned_retry_at = board.now + PLANNED_RETRY_DELAY
        _cancel_change(board, runtime)


def _advance_fencing_primary(
    board: Blackboard, runtime: GroupRuntime, promotion: Promotion, group: Group
) -> None:
    """Switchover: let the target catch up once the primary is fenced."""
    report = promotion.fenced.get(runtime.primary)
    if report is not None:
        promotion.step = PromotionStep.CATCHING_UP
        promotion.step_started_at = board.now
        promotion.catch_up_vector = report.vector
        _advance_catching_up(board, runtime, promotion, group)
    elif board.now - promotion.step_started_at >= STEP_TIMEOUT:
        _begin_fencing(board, runtime, promotion.term, group)


def _advance_catching_up(
    board: Blackboard, runtime: GroupRuntime, promotion: Promotion, group: Group
) -> None:
    """Switchover: fence all servers once the target has caught up.

    After `STEP_TIMEOUT` they are fenced in any case. The most advanced server is then
    promoted, which need not be the target.
    """
    target = runtime.servers[promotion.target]
    if target.vector.covers_all(promotion.catch_up_vector):
        fenced = dict(promotion.fenced)
        _begin_fencing(board, runtime, promotion.term, group)
        assert runtime.promotion is not None
        runtime.promotion.fenced.update(fenced)
        return
    if board.now - promotion.step_started_at >= STEP_TIMEOUT:
        _begin_fencing(board, runtime, promotion.term, group)
        return
    if "catch_up" not in promotion.actions.values():
        action = AwaitPosition(promotion.catch_up_vector.last)
        action_id = _start_action(board, group, target, action, "catch_up")
        promotion.actions[action_id] = "catch_up"


_STEPS = {
    PromotionStep.CONFIRMING: _advance_confirming,
    PromotionStep.HOLDING: _advance_holding,
    PromotionStep.FENCING_PRIMARY: _advance_fencing_primary,
    PromotionStep.CATCHING_UP: _advance_catching_up,
    PromotionStep.FENCING: _advance_fencing,
    PromotionStep.PROMOTING: _advance_promoting,
}


def _cancel_change(board: Blackboard, runtime: GroupRuntime) -> None:
    """Cancel a change of primary before any server was fenced."""
    runtime.promotion = None
    if runtime.term == 0:
        runtime.phase = Phase.INSPECTING
        return
    # A drain in progress keeps its hold.
    if board.authority.leaderships[runtime.group].role is Role.LEADING:
        _handover.release_hold(board, runtime)


def _restart_inspection(board: Blackboard, runtime: GroupRuntime) -> None:
    """Inspect all servers again.

    Called when a server reports a higher term or the primary has become read-only.
    """
    board.metrics.count("groups_inspected_again")
    runtime.promotion = None
    runtime.phase = Phase.INSPECTING
    runtime.started_at = board.now
    for state in runtime.servers.values():
        state.report = None
        state.inspected_at = None
    old_primary = _routing.find_primary(runtime)
    if old_primary is not None:
        _work.close_server_connections(board, runtime, old_primary)
        # Counts as reachable until the new inspections fail.
        old_primary.reachable = True
    runtime.opening_vector = LogVector()


def _count_majority(runtime: GroupRuntime) -> int:
    return len(runtime.servers) // 2 + 1
