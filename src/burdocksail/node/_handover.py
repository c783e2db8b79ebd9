"""Handover of a group's leadership to another instance without downtime.

The group is drained in two steps. New transactions and long statements are held
first, so that a slow one does not block short statements. When none is running
any more, all new work is held until the last statements finish. Then the lease
is passed to the successor, which needs no store call.
"""

from burdocksail.core import Instance, WorkClass, rank_instances, seconds
from burdocksail.node import _leadership, _lease, _placement, _runtime, _work
from burdocksail.node._board import Blackboard, Leadership, Role
from burdocksail.node._effects import Send
from burdocksail.node._groups import GroupRuntime, Hold, Phase, WorkState
from burdocksail.node._messages import Ballot, HandOver, HandOverAccepted
from burdocksail.node._status import StatusError, decode_status, encode_status
from burdocksail.ports import FIRST_TIMELINE

LONG_STATEMENT_TIMEOUT = seconds(5)  # then short statements are held as well
HANDOVER_RETRY_INTERVAL = seconds(0.2)
REBALANCE_AFTER = seconds(30)
REBALANCE_INTERVAL = seconds(10)


def begin_drain(
    board: Blackboard, leadership: Leadership, successor: Instance | None = None
) -> None:
    """Begin to drain a group for a handover; the successor may be chosen later."""
    if leadership.role is not Role.LEADING:
        return
    leadership.role = Role.DRAINING
    leadership.role_since = board.now
    leadership.successor = successor
    board.metrics.count("handovers_begun")


def advance_drain(board: Blackboard, leadership: Leadership) -> None:
    """Advance the drain or the handover of a group by one step."""
    if leadership.role is Role.HANDING_OVER:
        _resend_hand_over(board, leadership)
        return
    if leadership.role is not Role.DRAINING:
        return
    runtime = board.work.runtimes.get(leadership.group)
    if runtime is None:
        _leadership.drop_leadership(board, leadership, "no_record")
        return
    if runtime.promotion is not None:
        # A change of primary completes by itself within seconds.
        return
    timed_out = board.now - leadership.role_since >= LONG_STATEMENT_TIMEOUT
    if hold_new_work(runtime, timed_out):
        _finish_drain(board, leadership, runtime)


def hold_new_work(runtime: GroupRuntime, timed_out: bool) -> bool:
    """Hold new work, long work first; return whether nothing is running any more.

    Parameters
    ----------
    timed_out : bool
        Hold all new work even if long statements are still running. Open
        transactions are waited for in any case.
    """
    long_running = any(
        work_class is WorkClass.LONG
        for state in runtime.servers.values()
        for work_class in state.running.values()
    )
    if runtime.hold is Hold.NONE:
        runtime.hold = Hold.LONG
    if not runtime.transactions and (not long_running or timed_out):
        runtime.hold = Hold.ALL
    running = any(state.running for state in runtime.servers.values())
    return runtime.hold is Hold.ALL and not running and not runtime.transactions


def choose_successor(board: Blackboard, group: str) -> Instance | None:
    """Return the live instance, other than this one, that ranks highest."""
    others = [i for i in board.membership.live.values() if i.key != board.me.key]
    ranked = rank_instances(group, others)
    return ranked[0] if ranked else None


def handle_hand_over(board: Blackboard, sender: Instance, message: HandOver) -> None:
    """Accept a handover and acquire the lease under the ballot passed on.

    A handover that cannot be accepted is not answered; the sender gives up after one
    lease duration.
    """
    leadership = _lease.get_or_create_leadership(board, message.group)
    accepted = HandOverAccepted(message.group, message.ballot)
    if leadership.ballot >= message.ballot:
        # A repeated or outdated handover is confirmed, so that the sender stops
        # repeating it.
        board.emit(Send(sender, accepted))
        return
    try:
        status = decode_status(message.status)
    except StatusError:
        return
    if leadership.role in _lease.SERVING_ROLES:
        return
    if message.group not in board.configuration.groups:
        return
    leadership.status = status
    leadership.status_version = message.status_version
    # The sender may know another timeline, so that the version has to be read again.
    is_restored = board.store.timeline > FIRST_TIMELINE
    leadership.status_timeline = 0 if is_restored else board.store.timeline
    leadership.call_in_flight = False
    board.emit(Send(sender, accepted))
    _leadership.begin_acquiring(
        board, leadership, message.ballot, (), status.member_sets[-1]
    )


def handle_hand_over_accepted(
    board: Blackboard, sender: Instance, message: HandOverAccepted
) -> None:
    """Become a follower of a group that its successor has accepted."""
    leadership = board.authority.leaderships.get(message.group)
    if leadership is None or leadership.role is not Role.HANDING_OVER:
        return
    if message.ballot == _next_ballot(leadership):
        leadership.role = Role.FOLLOWER
        leadership.role_since = board.now
        leadership.retry_at = board.now + board.settings.lease_duration
        board.authority.leader_hints[message.group] = sender
        board.metrics.count("handovers_done")


def rebalance(board: Blackboard) -> None:
    """Hand one group over to its preferred leader, if that is another instance."""
    section = board.authority
    if board.membership.leaving:
        return
    for leadership in list(section.leaderships.values()):
        if leadership.role is not Role.LEADING:
            continue
        preferred = _placement.find_preferred_leader(board, leadership.group)
        if preferred is None or preferred.key == board.me.key:
            leadership.rebalance_since = None
            continue
        if leadership.rebalance_since is None:
            leadership.rebalance_since = board.now
        due = board.now - leadership.rebalance_since >= REBALANCE_AFTER
        interval_elapsed = board.now - section.last_rebalance >= REBALANCE_INTERVAL
        if due and interval_elapsed and _is_stable(board, leadership.group):
            section.last_rebalance = board.now
            begin_drain(board, leadership, preferred)


def _is_stable(board: Blackboard, group: str) -> bool:
    runtime = board.work.runtimes.get(group)
    return (
        runtime is not None
        and runtime.phase is Phase.OPEN
        and runtime.promotion is None
    )


def _finish_drain(
    board: Blackboard, leadership: Leadership, runtime: GroupRuntime
) -> None:
    successor = leadership.successor
    if successor is None or successor.key not in board.membership.live:
        successor = choose_successor(board, leadership.group)
    if successor is None:
        if board.membership.leaving:
            _leadership.drop_leadership(board, leadership, "stopping")
        else:
            _cancel_drain(board, leadership, runtime)
        return
    if _has_unanswered_work(runtime):
        return
    leadership.successor = successor
    leadership.role = Role.HANDING_OVER
    leadership.role_since = board.now
    leadership.pending_members = ()
    board.authority.leader_hints[leadership.group] = successor
    # All queued work is sent on to the successor by the instances that received
    # it from their callers.
    _runtime.close_runtime(board, leadership.group)
    _send_hand_over(board, leadership)


def _has_unanswered_work(runtime: GroupRuntime) -> bool:
    """Return whether an executed statement waits for a replica or the lease."""
    return bool(runtime.awaiting_replica or runtime.awaiting_lease)


def _cancel_drain(
    board: Blackboard, leadership: Leadership, runtime: GroupRuntime
) -> None:
    leadership.role = Role.LEADING
    leadership.rebalance_since = None
    release_hold(board, runtime)


def release_hold(board: Blackboard, runtime: GroupRuntime) -> None:
    """Place held work and dispatch it to the servers."""
    runtime.hold = Hold.NONE
    parked, runtime.parked = runtime.parked, []
    for work in parked:
        if work.state is WorkState.PARKED:
            _work.place_work(board, runtime, work)
    for state in runtime.servers.values():
        _work.dispatch_queued_work(board, runtime, state)


def _send_hand_over(board: Blackboard, leadership: Leadership) -> None:
    successor = leadership.successor
    if successor is None:
        return
    # This status is not written to the store, so its request id identifies no update.
    status = _leadership.make_status(board, leadership, "handover")
    board.emit(
        Send(
            successor,
            HandOver(
                leadership.group,
                _next_ballot(leadership),
                encode_status(status),
                leadership.status_version,
            ),
        )
    )
    leadership.retry_at = board.now + HANDOVER_RETRY_INTERVAL


def _next_ballot(leadership: Leadership) -> Ballot:
    """Return the ballot under which the successor of a handover leads."""
    ballot = leadership.ballot
    return Ballot(ballot.epoch, ballot.handover + 1)


def _resend_hand_over(board: Blackboard, leadership: Leadership) -> None:
    """Repeat an unanswered handover, always to the same successor.

    A successor that was sent the lease may hold it even if its answer was lost.
    If the successor is dead, the lease expires and another instance claims the
    group.
    """
    if board.now - leadership.role_since >= board.settings.lease_duration:
        leadership.role = Role.FOLLOWER
        board.metrics.count("handovers_unanswered")
        return
    if board.now >= leadership.retry_at:
        _send_hand_over(board, leadership)
