"""Leader's side of leases: renewal, validity, members, giving up.

A leader may answer for its group only while a majority of the lease members
has granted its ballot. A grant is counted from before it was asked for and
shortened by the greatest clock drift, so it ends here before it ends at the
member. No store call is needed to go on, and a store outage stops nothing.
"""

from datetime import timedelta

from burdocksail.core import Instance, seconds
from burdocksail.node import _lease, _membership, _placement, _promises, _runtime
from burdocksail.node._board import Blackboard, Leadership, Role
from burdocksail.node._effects import Send
from burdocksail.node._messages import (
    Ballot,
    LeaseItem,
    LeasesAnswered,
    ReleaseLeases,
    RenewLeases,
)
from burdocksail.node._status import (
    GroupStatus,
    StatusError,
    decode_status,
    encode_status,
    status_key,
)
from burdocksail.node._store import GetObject, PutObject, StoreReply, StoreStatus
from burdocksail.node._store_calls import call_store

ACQUIRE_INTERVAL = seconds(0.1)
PUBLISH_RETRY = seconds(1)
REPLACE_MEMBER_AFTER = seconds(2)


def begin_acquiring(
    board: Blackboard,
    leadership: Leadership,
    ballot: Ballot,
    claim_sets: tuple[tuple[Instance, ...], ...],
    lease_members: tuple[Instance, ...],
) -> None:
    """Start to collect the members' grants for a ballot."""
    leadership.role = Role.ACQUIRING
    leadership.since = board.now
    leadership.ballot = ballot
    leadership.claim_sets = claim_sets
    leadership.lease_members = lease_members
    leadership.pending_members = ()
    leadership.grants.clear()
    leadership.successor = None
    leadership.rebalance_since = None
    renew_leases(board, [leadership])


def renew_held_leases(board: Blackboard) -> None:
    """Renew all held leases, one message for each member instance."""
    section = board.authority
    held = [x for x in section.leaderships.values() if x.role in _lease.HOLDING_ROLES]
    due = (
        section.last_renewal is None
        or board.now - section.last_renewal >= board.settings.renew_interval
    )
    if due:
        section.last_renewal = board.now
        renew_leases(board, held)
        return
    renew_leases(board, [x for x in held if x.role is Role.ACQUIRING])


def renew_leases(board: Blackboard, leaderships: list[Leadership]) -> None:
    """Ask the members of some groups for their grants."""
    items: dict[Instance, list[LeaseItem]] = {}
    for leadership in leaderships:
        item = LeaseItem(leadership.group, leadership.ballot)
        for member in _list_asked_members(leadership):
            if member.key == board.me.key:
                _grant_own_lease(board, leadership)
            else:
                items.setdefault(member, []).append(item)
    for member, member_items in items.items():
        sequence = board.make_id()
        board.authority.renewals[sequence] = board.now
        board.emit(Send(member, RenewLeases(sequence, tuple(member_items))))
    _forget_old_renewals(board)


def handle_leases_answered(
    board: Blackboard, sender: Instance, message: LeasesAnswered
) -> None:
    """Count the grants of a member."""
    asked_at = board.authority.renewals.pop(message.sequence, None)
    if asked_at is None:
        return
    for item in message.granted:
        leadership = board.authority.leaderships.get(item.group)
        if leadership is None or leadership.role not in _lease.HOLDING_ROLES:
            continue
        if leadership.ballot == item.ballot:
            leadership.grants[sender.key] = asked_at + _usable_lease(board)
            _advance_acquisition(board, leadership)
    for refusal in message.refused:
        leadership = board.authority.leaderships.get(refusal.group)
        if leadership is None or leadership.ballot != refusal.asked:
            continue
        if leadership.role in _lease.HOLDING_ROLES and refusal.bound > refusal.asked:
            drop_leadership(board, leadership, "superseded")


def drop_leadership(board: Blackboard, leadership: Leadership, reason: str) -> None:
    """Stop to lead a group and tell the members so."""
    board.metrics.count(f"leadership_dropped.{reason}")
    leadership.role = Role.FOLLOWER
    leadership.since = board.now
    leadership.retry_at = board.now + board.settings.lease
    _runtime.close_runtime(board, leadership.group)
    item = LeaseItem(leadership.group, leadership.ballot)
    for member in _list_asked_members(leadership):
        if member.key == board.me.key:
            _promises.release_lease(board, item, board.me)
        else:
            board.emit(Send(member, ReleaseLeases((item,))))


def give_up_lapsed_lease(board: Blackboard, leadership: Leadership) -> None:
    """Close all connections once the lease has run out, and acquire it anew.

    A successor may be opening its own connections by now. The ballot stays, so
    that the group goes on without a claim if there is none.
    """
    if leadership.role not in _lease.SERVING_ROLES:
        return
    members = leadership.lease_members
    if _lease.has_majority_of_grants(board, leadership, members):
        return
    board.metrics.count("leases_lapsed")
    _runtime.close_runtime(board, leadership.group)
    begin_acquiring(board, leadership, leadership.ballot, (), members)


def publish_status(board: Blackboard, leadership: Leadership) -> None:
    """Write the group's status object, and read back if the answer is lost.

    The members are replaced in two writes. The first names old and new
    members, so that a claim needs both; the second, made only once the new
    ones grant the lease, names the new ones alone.
    """
    if leadership.call_open or leadership.role not in _lease.HOLDING_ROLES:
        return
    if board.now < leadership.retry_at:
        return
    leadership.call_open = True
    leadership.publish_needed = False
    request_id = f"{board.me.key}:{board.make_id()}"
    status = make_status(board, leadership, request_id)
    operation = PutObject(
        status_key(leadership.group),
        encode_status(status),
        leadership.status_version,
    )

    def finish(board: Blackboard, reply: StoreReply) -> None:
        _finish_publication(board, leadership, status, reply)

    call_store(board, operation, finish)


def make_status(
    board: Blackboard, leadership: Leadership, request_id: str
) -> GroupStatus:
    """Return the status object that describes a leadership."""
    runtime = board.work.runtimes.get(leadership.group)
    member_sets = leadership.claim_sets + (leadership.lease_members,)
    if leadership.pending_members:
        member_sets += (leadership.pending_members,)
    term = leadership.status.term if leadership.status else 0
    primary = leadership.status.primary if leadership.status else ""
    if runtime is not None and runtime.term > 0:
        term, primary = runtime.term, runtime.primary
    return GroupStatus(
        ballot=leadership.ballot,
        leader=board.me,
        member_sets=member_sets,
        term=term,
        primary=primary,
        request_id=request_id,
    )


def replace_missing_members(board: Blackboard, leadership: Leadership) -> None:
    """Choose new members when one has stopped to grant the lease."""
    if leadership.role is not Role.LEADING or leadership.pending_members:
        return
    if leadership.claim_sets or leadership.call_open:
        return
    if not _needs_new_members(board, leadership):
        return
    chosen = _placement.choose_members(board, leadership.group)
    if set(chosen) != set(leadership.lease_members):
        leadership.pending_members = chosen
        leadership.publish_needed = True
        board.metrics.count("member_sets_changed")


def _needs_new_members(board: Blackboard, leadership: Leadership) -> bool:
    members = leadership.lease_members
    wanted = min(_placement.MEMBERS_PER_GROUP, len(board.membership.live))
    wanted -= 1 - wanted % 2
    if len(members) < wanted:
        return True
    limit = board.now - REPLACE_MEMBER_AFTER
    for member in members:
        granted_until = leadership.grants.get(member.key, timedelta.min)
        if member.key not in board.membership.live and granted_until < limit + (
            _usable_lease(board)
        ):
            return True
    return False


def _finish_publication(
    board: Blackboard, leadership: Leadership, status: GroupStatus, reply: StoreReply
) -> None:
    leadership.call_open = False
    if (
        leadership.ballot != status.ballot
        or leadership.role not in _lease.HOLDING_ROLES
    ):
        return
    if reply.status is StoreStatus.OK:
        _apply_published(board, leadership, status, reply.objects[0].version)
        return
    if reply.status is StoreStatus.CONFLICT:
        _handle_other_status(board, leadership, status, reply)
        return
    leadership.call_open = True

    def finish(board: Blackboard, reply: StoreReply) -> None:
        leadership.call_open = False
        _handle_other_status(board, leadership, status, reply)

    call_store(board, GetObject(status_key(leadership.group)), finish)


def _handle_other_status(
    board: Blackboard, leadership: Leadership, written: GroupStatus, reply: StoreReply
) -> None:
    """Judge the object that the store holds after a failed write."""
    if (
        leadership.ballot != written.ballot
        or leadership.role not in _lease.HOLDING_ROLES
    ):
        return
    leadership.publish_needed = True
    leadership.retry_at = board.now + PUBLISH_RETRY
    if not reply.objects:
        return
    try:
        current = decode_status(reply.objects[0].value)
    except StatusError:
        board.metrics.count("status_objects_malformed")
        return
    if current.request_id == written.request_id:
        _apply_published(board, leadership, written, reply.objects[0].version)
    elif current.ballot > leadership.ballot:
        # Another instance has claimed the group and waits for this lease to
        # end; giving it up at once shortens the gap.
        drop_leadership(board, leadership, "claimed")
    else:
        leadership.status_version = reply.objects[0].version


def _apply_published(
    board: Blackboard, leadership: Leadership, status: GroupStatus, version: int
) -> None:
    leadership.status = status
    leadership.status_version = version
    leadership.retry_at = board.now
    named = status.member_sets[-1]
    if leadership.pending_members and named == leadership.pending_members:
        renew_leases(board, [leadership])


def advance_member_change(board: Blackboard, leadership: Leadership) -> None:
    """Use the pending members once they are published and grant the lease."""
    pending = leadership.pending_members
    status = leadership.status
    if not pending or status is None or leadership.call_open:
        return
    if status.member_sets[-1] != pending or status.ballot != leadership.ballot:
        leadership.publish_needed = True
        return
    if _lease.has_majority_of_grants(board, leadership, pending):
        leadership.lease_members = pending
        leadership.pending_members = ()
        leadership.publish_needed = True


def _advance_acquisition(board: Blackboard, leadership: Leadership) -> None:
    if leadership.role is not Role.ACQUIRING:
        return
    members = leadership.lease_members
    if not _lease.has_majority_of_grants(board, leadership, members):
        return
    if not all(_is_set_bound(board, leadership, x) for x in leadership.claim_sets):
        return
    leadership.role = Role.LEADING
    leadership.since = board.now
    leadership.claim_sets = ()
    leadership.publish_needed = True
    board.authority.hints[leadership.group] = board.me
    board.metrics.count("leaderships_acquired")
    _runtime.open_runtime(board, leadership.group)


def check_acquisition(board: Blackboard, leadership: Leadership) -> None:
    """Go on with an acquisition that may need no further answer."""
    _advance_acquisition(board, leadership)


def _is_set_bound(
    board: Blackboard, leadership: Leadership, members: tuple[Instance, ...]
) -> bool:
    bound = sum(
        1
        for member in members
        if member.key in leadership.grants
        or is_confirmed_lost(board, member, leadership)
    )
    return bound > len(members) // 2


def is_confirmed_lost(
    board: Blackboard, member: Instance, leadership: Leadership
) -> bool:
    """Return whether a member's process has certainly ended a lease ago."""
    group = board.configuration.groups.get(leadership.group)
    if group is not None and member.key in group.lost_instances:
        return True
    return _membership.is_superseded(board, member, board.settings.lease)


def _list_asked_members(leadership: Leadership) -> list[Instance]:
    asked: dict[str, Instance] = {}
    sets = (*leadership.claim_sets, leadership.lease_members)
    for members in (*sets, leadership.pending_members):
        for member in members:
            asked[member.key] = member
    return list(asked.values())


def _grant_own_lease(board: Blackboard, leadership: Leadership) -> None:
    bound = _promises.grant_lease(board, leadership.group, leadership.ballot, board.me)
    if bound is None:
        leadership.grants[board.me.key] = board.now + _usable_lease(board)


def _usable_lease(board: Blackboard) -> timedelta:
    return board.settings.lease * (1 - board.settings.clock_drift)


def _forget_old_renewals(board: Blackboard) -> None:
    renewals = board.authority.renewals
    limit = board.now - board.settings.lease
    for sequence in [s for s, asked_at in renewals.items() if asked_at < limit]:
        del renewals[sequence]
