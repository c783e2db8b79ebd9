"""Leader's side of leases: acquisition, renewal, member changes and release.

A leader may answer requests of its group only while a majority of the lease
members grants its ballot. A grant is counted from the time before the request
was sent and shortened by the maximum clock drift, so it expires at the leader
before it expires at the member. Renewal needs no store call, so leases survive
a store outage.
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
from burdocksail.ports import FIRST_TIMELINE

ACQUIRE_INTERVAL = seconds(0.1)
PUBLISH_RETRY_DELAY = seconds(1)
REPLACE_MEMBER_AFTER = seconds(2)


def begin_acquiring(
    board: Blackboard,
    leadership: Leadership,
    ballot: Ballot,
    earlier_member_sets: tuple[tuple[Instance, ...], ...],
    lease_members: tuple[Instance, ...],
    possible_members: tuple[Instance, ...] = (),
) -> None:
    """Start collecting the members' grants for a ballot."""
    leadership.role = Role.ACQUIRING
    leadership.role_since = board.now
    leadership.ballot = ballot
    leadership.earlier_member_sets = earlier_member_sets
    leadership.lease_members = lease_members
    leadership.possible_members = possible_members
    leadership.pending_members = ()
    leadership.grants.clear()
    leadership.successor = None
    leadership.rebalance_since = None
    renew_leases(board, [leadership])


def renew_due_leases(board: Blackboard) -> None:
    """Renew all leases each `renew_interval`, in one message per member instance.

    In between, ask again for the leases that are being acquired.
    """
    section = board.authority
    renewing = [
        x for x in section.leaderships.values() if x.role in _lease.RENEWING_ROLES
    ]
    due = (
        section.last_renewal is None
        or board.now - section.last_renewal >= board.settings.renew_interval
    )
    if due:
        section.last_renewal = board.now
        renew_leases(board, renewing)
        return
    renew_leases(board, [x for x in renewing if x.role is Role.ACQUIRING])


def renew_leases(board: Blackboard, leaderships: list[Leadership]) -> None:
    """Ask the members of the given groups for their grants."""
    items: dict[Instance, list[LeaseItem]] = {}
    for leadership in leaderships:
        item = LeaseItem(leadership.group, leadership.ballot)
        for member in _list_all_members(leadership):
            if member.key == board.me.key:
                _grant_own_lease(board, leadership)
            else:
                items.setdefault(member, []).append(item)
    for member, member_items in items.items():
        sequence = board.make_id()
        board.authority.renewals[sequence] = board.now
        board.emit(Send(member, RenewLeases(sequence, tuple(member_items))))
    _drop_expired_renewals(board)


def handle_leases_answered(
    board: Blackboard, sender: Instance, message: LeasesAnswered
) -> None:
    """Record a member's grants; drop leaderships that a higher ballot supersedes."""
    sent_at = board.authority.renewals.pop(message.sequence, None)
    if sent_at is None:
        return
    for item in message.granted:
        leadership = board.authority.leaderships.get(item.group)
        if leadership is None or leadership.role not in _lease.RENEWING_ROLES:
            continue
        if leadership.ballot == item.ballot:
            leadership.grants[sender.key] = sent_at + _usable_lease_duration(board)
            _begin_leading_if_granted(board, leadership)
    for refusal in message.refused:
        leadership = board.authority.leaderships.get(refusal.group)
        if leadership is None or leadership.ballot != refusal.asked:
            continue
        if leadership.role in _lease.RENEWING_ROLES and refusal.bound > refusal.asked:
            drop_leadership(board, leadership, "superseded")


def drop_leadership(board: Blackboard, leadership: Leadership, reason: str) -> None:
    """Stop leading a group and release the lease at its members."""
    board.metrics.count(f"leadership_dropped.{reason}")
    leadership.role = Role.FOLLOWER
    leadership.role_since = board.now
    leadership.retry_at = board.now + board.settings.lease_duration
    _runtime.close_runtime(board, leadership.group)
    item = LeaseItem(leadership.group, leadership.ballot)
    for member in _list_all_members(leadership):
        if member.key == board.me.key:
            _promises.release_lease(board, item, board.me)
        else:
            board.emit(Send(member, ReleaseLeases((item,))))


def reacquire_expired_lease(board: Blackboard, leadership: Leadership) -> None:
    """Close all connections once the lease has expired, and acquire it again.

    A successor may already be opening its own connections. The ballot is kept,
    so that the group needs no new claim if there is no successor.
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
    """Write the group's status object; read it back if no answer arrives.

    Lease members are replaced in two writes. The first names the old and the new
    members, so that a claim needs a majority of both. The second names the new
    members only; it follows once a majority of them grants the lease.
    """
    if leadership.call_in_flight or leadership.role not in _lease.RENEWING_ROLES:
        return
    if board.now < leadership.retry_at:
        return
    if leadership.status_timeline != board.store.timeline:
        # The version that a conditional write needs is that of another timeline.
        _read_status_back(board, leadership, make_status(board, leadership, ""))
        return
    leadership.call_in_flight = True
    leadership.publish_needed = False
    request_id = f"{board.me.key}:{board.make_id()}"
    status = make_status(board, leadership, request_id)
    operation = PutObject(
        status_key(leadership.group),
        encode_status(status),
        leadership.status_version,
    )

    def handle_reply(board: Blackboard, reply: StoreReply) -> None:
        _finish_publication(board, leadership, status, reply)

    call_store(board, operation, handle_reply)


def make_status(
    board: Blackboard, leadership: Leadership, request_id: str
) -> GroupStatus:
    """Return the status object that describes a leadership as it is now."""
    runtime = board.work.runtimes.get(leadership.group)
    member_sets = leadership.earlier_member_sets + (leadership.lease_members,)
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
        timeline=_find_proved_timeline(board, leadership),
    )


def _find_proved_timeline(board: Blackboard, leadership: Leadership) -> int:
    """Return the timeline of which the status may say that no later claim was lost.

    A valid lease proves that for the present one.
    """
    if _lease.is_lease_valid(board, leadership.group):
        return max(FIRST_TIMELINE, board.store.timeline)
    return FIRST_TIMELINE if leadership.status is None else leadership.status.timeline


def publish_after_restoration(board: Blackboard, leadership: Leadership) -> None:
    """Have the status object written to a store that has been restored.

    Instances that read an earlier one have to ask all others for a leader.
    """
    status = leadership.status
    if status is None or status.timeline >= board.store.timeline:
        return
    if _lease.is_lease_valid(board, leadership.group):
        leadership.publish_needed = True


def replace_missing_members(board: Blackboard, leadership: Leadership) -> None:
    """Choose new lease members if there are too few or one has stopped granting.

    The latter is a member that is not live and has granted nothing for
    `REPLACE_MEMBER_AFTER`.
    """
    if leadership.role is not Role.LEADING or leadership.pending_members:
        return
    if leadership.earlier_member_sets or leadership.call_in_flight:
        return
    if not _needs_new_members(board, leadership):
        return
    chosen = _placement.choose_lease_members(board, leadership.group)
    if set(chosen) != set(leadership.lease_members):
        leadership.pending_members = chosen
        leadership.publish_needed = True
        board.metrics.count("member_sets_changed")


def _needs_new_members(board: Blackboard, leadership: Leadership) -> bool:
    members = leadership.lease_members
    target_size = min(_placement.LEASE_MEMBERS_PER_GROUP, len(board.membership.live))
    # The greatest odd number up to it, as in `choose_lease_members`.
    target_size -= 1 - target_size % 2
    if len(members) < target_size:
        return True
    cutoff = board.now - REPLACE_MEMBER_AFTER
    for member in members:
        # `granted_until` less the usable duration is when the last grant was requested.
        granted_until = leadership.grants.get(member.key, timedelta.min)
        if member.key not in board.membership.live and granted_until < cutoff + (
            _usable_lease_duration(board)
        ):
            return True
    return False


def _finish_publication(
    board: Blackboard, leadership: Leadership, status: GroupStatus, reply: StoreReply
) -> None:
    leadership.call_in_flight = False
    if (
        leadership.ballot != status.ballot
        or leadership.role not in _lease.RENEWING_ROLES
    ):
        return
    if reply.status is StoreStatus.OK:
        _record_published_status(board, leadership, status, reply.objects[0].version)
        return
    if reply.status is StoreStatus.CONFLICT:
        _reconcile_status(board, leadership, status, reply)
        return
    _read_status_back(board, leadership, status)


def _read_status_back(
    board: Blackboard, leadership: Leadership, status: GroupStatus
) -> None:
    leadership.call_in_flight = True

    def handle_reply(board: Blackboard, reply: StoreReply) -> None:
        leadership.call_in_flight = False
        _reconcile_status(board, leadership, status, reply)

    call_store(board, GetObject(status_key(leadership.group)), handle_reply)


def _reconcile_status(
    board: Blackboard, leadership: Leadership, written: GroupStatus, reply: StoreReply
) -> None:
    """Compare the stored object with a write that failed or was not answered.

    If the write took effect, record it. If the object has a higher ballot, drop the
    leadership. Otherwise the write is repeated later, over the object's version if
    it was read.
    """
    if (
        leadership.ballot != written.ballot
        or leadership.role not in _lease.RENEWING_ROLES
    ):
        return
    leadership.publish_needed = True
    leadership.retry_at = board.now + PUBLISH_RETRY_DELAY
    if reply.status is StoreStatus.MISSING:
        leadership.status_version = 0
        leadership.status_timeline = board.store.timeline
    if not reply.objects:
        return
    try:
        current = decode_status(reply.objects[0].value)
    except StatusError:
        board.metrics.count("status_objects_malformed")
        return
    if current.request_id == written.request_id:
        _record_published_status(board, leadership, written, reply.objects[0].version)
    elif current.ballot > leadership.ballot:
        # Another instance has claimed the group and waits for this lease to
        # expire; releasing it now shortens the time without a leader.
        drop_leadership(board, leadership, "claimed")
    else:
        leadership.status_version = reply.objects[0].version
        leadership.status_timeline = board.store.timeline


def _record_published_status(
    board: Blackboard, leadership: Leadership, status: GroupStatus, version: int
) -> None:
    leadership.status = status
    leadership.status_version = version
    leadership.status_timeline = board.store.timeline
    leadership.retry_at = board.now
    latest_members = status.member_sets[-1]
    if leadership.pending_members and latest_members == leadership.pending_members:
        renew_leases(board, [leadership])


def advance_member_change(board: Blackboard, leadership: Leadership) -> None:
    """Adopt the pending members once they are published and grant the lease."""
    pending = leadership.pending_members
    status = leadership.status
    if not pending or status is None or leadership.call_in_flight:
        return
    if status.member_sets[-1] != pending or status.ballot != leadership.ballot:
        leadership.publish_needed = True
        return
    if _lease.has_majority_of_grants(board, leadership, pending):
        leadership.lease_members = pending
        leadership.pending_members = ()
        leadership.publish_needed = True


def _begin_leading_if_granted(board: Blackboard, leadership: Leadership) -> None:
    if leadership.role is not Role.ACQUIRING:
        return
    members = leadership.lease_members
    if not _lease.has_majority_of_grants(board, leadership, members):
        return
    if not all(
        _is_majority_bound(board, leadership, earlier_members)
        for earlier_members in leadership.earlier_member_sets
    ):
        return
    if not _are_lost_sets_bound(board, leadership):
        return
    leadership.role = Role.LEADING
    leadership.role_since = board.now
    leadership.earlier_member_sets = ()
    leadership.possible_members = ()
    leadership.publish_needed = True
    board.authority.leader_hints[leadership.group] = board.me
    board.metrics.count("leaderships_acquired")
    _runtime.open_runtime(board, leadership.group)


def advance_acquisition(board: Blackboard, leadership: Leadership) -> None:
    """Begin to lead once the grants suffice.

    Called periodically, since they may come to suffice without a further answer.
    """
    _begin_leading_if_granted(board, leadership)


def _is_majority_bound(
    board: Blackboard, leadership: Leadership, members: tuple[Instance, ...]
) -> bool:
    """Return whether a majority of an earlier set can grant no earlier ballot.

    A member cannot if it has granted this ballot, even if the grant has expired, or
    if its process has ended.
    """
    bound_count = sum(_is_bound(board, leadership, member) for member in members)
    return bound_count > len(members) // 2


def _is_bound(board: Blackboard, leadership: Leadership, member: Instance) -> bool:
    return member.key in leadership.grants or has_certainly_ended(
        board, member, leadership
    )


def _are_lost_sets_bound(board: Blackboard, leadership: Leadership) -> bool:
    """Return whether no member set that the store lost can grant an earlier ballot."""
    possible = leadership.possible_members
    free_count = sum(not _is_bound(board, leadership, member) for member in possible)
    return not _placement.may_form_majority(free_count, len(possible))


def has_certainly_ended(
    board: Blackboard, member: Instance, leadership: Leadership
) -> bool:
    """Return whether a member's process is certain to have ended.

    It is if the operators have listed the member as lost in the group's record,
    or if a newer incarnation proved its end at least one lease duration ago, so
    that any lease that the member granted has expired.
    """
    group = board.configuration.groups.get(leadership.group)
    if group is not None and member.key in group.lost_instances:
        return True
    return _membership.is_superseded(board, member, board.settings.lease_duration)


def _list_all_members(leadership: Leadership) -> list[Instance]:
    """Return the current, pending, earlier and possible lease members, each once."""
    by_key: dict[str, Instance] = {}
    sets = (*leadership.earlier_member_sets, leadership.lease_members)
    for members in (*sets, leadership.pending_members, leadership.possible_members):
        for member in members:
            by_key[member.key] = member
    return list(by_key.values())


def _grant_own_lease(board: Blackboard, leadership: Leadership) -> None:
    bound = _promises.grant_lease(board, leadership.group, leadership.ballot, board.me)
    if bound is None:
        leadership.grants[board.me.key] = board.now + _usable_lease_duration(board)


def _usable_lease_duration(board: Blackboard) -> timedelta:
    """Return the lease duration reduced by the maximum clock drift."""
    return board.settings.lease_duration * (1 - board.settings.clock_drift)


def _drop_expired_renewals(board: Blackboard) -> None:
    renewals = board.authority.renewals
    cutoff = board.now - board.settings.lease_duration
    for sequence in [s for s, sent_at in renewals.items() if sent_at < cutoff]:
        del renewals[sequence]
