"""Claims: how an instance becomes the leader of a group that has none.

A claim reads the group's status object, asks the lease members whether the last
lease has expired, and raises the epoch by conditional update. The store decides
between claimants; the members only confirm that the last leader has stopped.

A store that is restored may have lost the status object of a leader that still holds
its lease. Leaders write it again. While the store has only an earlier one, a claim
asks all known instances: a lost member set may be among them.
"""

from datetime import timedelta

from burdocksail.core import Instance, seconds
from burdocksail.node import _leadership, _lease, _membership, _placement, _promises
from burdocksail.node._board import Blackboard, Leadership, Promise, Role
from burdocksail.node._effects import Send
from burdocksail.node._messages import AskLease, Ballot, LeaseReport
from burdocksail.node._status import (
    GroupStatus,
    StatusError,
    decode_status,
    encode_status,
    status_key,
)
from burdocksail.node._store import GetObject, PutObject, StoreReply, StoreStatus
from burdocksail.node._store_calls import call_store
from burdocksail.ports import FIRST_TIMELINE, count_from_timeline

NON_PREFERRED_CLAIM_DELAY = seconds(0.4)
CLAIM_RETRY_DELAY = seconds(0.5)
LEASE_QUERY_TIMEOUT = seconds(0.4)
PREFERRED_CHECK_INTERVAL = seconds(10)
# Clock reading before which no preferred group is claimed.
FIRST_CLAIM_DELAY = seconds(1)
# Time after a restoration in which leaders write their status objects again.
RESTORED_CLAIM_DELAY = seconds(3)
EPOCHS_PER_TIMELINE = 10**9


def claim_expired_groups(board: Blackboard) -> None:
    """Claim groups whose leader let the lease granted by this instance expire."""
    for group, promise in board.authority.promises.items():
        if not promise.claim_on_expiry or group not in board.configuration.groups:
            continue
        overdue = board.now - promise.expires_at
        if overdue >= _claim_delay(board, group):
            _claim_if_idle(board, group)


def claim_preferred_groups(board: Blackboard) -> None:
    """Start claims of the groups for which this instance is the preferred leader.

    Leaves out those whose lease this instance watches as a member.
    """
    if board.now < FIRST_CLAIM_DELAY or board.membership.leaving:
        return
    leader_checked_at = board.authority.leader_checked_at
    for group in sorted(board.membership.preferred_groups):
        promise = board.authority.promises.get(group)
        if promise is not None and promise.claim_on_expiry:
            continue
        last_check = leader_checked_at.get(group)
        if last_check is None or board.now - last_check >= PREFERRED_CHECK_INTERVAL:
            leader_checked_at[group] = board.now
            _claim_if_idle(board, group)


def look_up_leader(board: Blackboard, group: str) -> None:
    """Start a claim of a group whose leader is not known.

    Does so at most once per `CLAIM_RETRY_DELAY`. If there is a leader, the lease
    members name it and the claim is abandoned.
    """
    last_check = board.authority.leader_checked_at.get(group)
    if last_check is None or board.now - last_check >= CLAIM_RETRY_DELAY:
        board.authority.leader_checked_at[group] = board.now
        _claim_if_idle(board, group)


def handle_lease_report(
    board: Blackboard, sender: Instance, message: LeaseReport
) -> None:
    """Record whether a member is still bound by the last lease."""
    leadership = board.authority.leaderships.get(message.group)
    if leadership is None or leadership.role is not Role.ASKING_MEMBERS:
        return
    if message.holder is not None:
        board.authority.leader_hints[message.group] = message.holder
    leadership.lease_expired[sender.key] = message.holder is None
    _claim_if_lease_expired(board, leadership)


def expire_lease_query(board: Blackboard, leadership: Leadership) -> None:
    """Abandon a claim if too few members report the lease as expired in time."""
    if leadership.role is not Role.ASKING_MEMBERS:
        return
    if board.now - leadership.role_since >= LEASE_QUERY_TIMEOUT:
        board.metrics.count("claims_without_majority")
        _abandon_claim(board, leadership, CLAIM_RETRY_DELAY)


def _claim_delay(board: Blackboard, group: str) -> timedelta:
    """Return how long to wait so that the preferred leader can claim first."""
    preferred = _placement.find_preferred_leader(board, group)
    if preferred is None or preferred.key == board.me.key:
        return timedelta()
    jitter = 0.5 + board.random.random()
    return NON_PREFERRED_CLAIM_DELAY * jitter


def _claim_if_idle(board: Blackboard, group: str) -> None:
    leadership = _lease.get_or_create_leadership(board, group)
    idle = leadership.role is Role.FOLLOWER and not leadership.call_in_flight
    if idle and board.now >= leadership.retry_at and not board.membership.leaving:
        _start_claim(board, leadership)


def _start_claim(board: Blackboard, leadership: Leadership) -> None:
    leadership.role = Role.READING_STATUS
    leadership.role_since = board.now

    def handle_reply(board: Blackboard, reply: StoreReply) -> None:
        if leadership.role is Role.READING_STATUS:
            _handle_status_read(board, leadership, reply)

    call_store(board, GetObject(status_key(leadership.group)), handle_reply)


def _handle_status_read(
    board: Blackboard, leadership: Leadership, reply: StoreReply
) -> None:
    leadership.status_timeline = board.store.timeline
    if reply.status is StoreStatus.MISSING:
        leadership.status = None
        leadership.status_version = 0
        _ask_members(board, leadership)
        return
    if reply.status is not StoreStatus.OK:
        _abandon_claim(board, leadership, CLAIM_RETRY_DELAY)
        return
    try:
        status = decode_status(reply.objects[0].value)
    except StatusError:
        board.metrics.count("status_objects_malformed")
        _abandon_claim(board, leadership, CLAIM_RETRY_DELAY)
        return
    leadership.status = status
    leadership.status_version = reply.objects[0].version
    _ask_members(board, leadership)


def _ask_members(board: Blackboard, leadership: Leadership) -> None:
    may_lack_claim = _may_lack_claim(board, leadership)
    restored_at = board.store.timeline_since
    if may_lack_claim and board.now < restored_at + RESTORED_CLAIM_DELAY:
        _abandon_claim(board, leadership, CLAIM_RETRY_DELAY)
        return
    leadership.role = Role.ASKING_MEMBERS
    leadership.role_since = board.now
    leadership.lease_expired = {}
    status = leadership.status
    member_sets = status.member_sets if status else ()
    asked = {m.key: m for members in member_sets for m in members}
    leadership.possible_members = ()
    if may_lack_claim:
        known = [m.instance for m in board.membership.members.values()]
        asked.update((instance.key, instance) for instance in known)
        leadership.possible_members = tuple(asked.values())
    if board.me.key not in asked:
        _disable_claim_on_expiry(board, leadership.group)
    for member in asked.values():
        if member.key == board.me.key:
            report = _promises.describe_lease(board, leadership.group)
            leadership.lease_expired[member.key] = report.holder is None
        else:
            board.emit(Send(member, AskLease(leadership.group)))
        if not _membership.is_live(board, member):
            _membership.probe_incarnations(board, member.name)
    _claim_if_lease_expired(board, leadership)


def _may_lack_claim(board: Blackboard, leadership: Leadership) -> bool:
    """Return whether the status read may be older than a claim that the store lost."""
    if board.store.timeline <= FIRST_TIMELINE:
        return False
    status = leadership.status
    return status is None or status.timeline < board.store.timeline


def _disable_claim_on_expiry(board: Blackboard, group: str) -> None:
    """Leave the claim to the lease members; the promise itself stays in force."""
    promise: Promise | None = board.authority.promises.get(group)
    if promise is not None:
        promise.claim_on_expiry = False


def _claim_if_lease_expired(board: Blackboard, leadership: Leadership) -> None:
    """Write the claim once the lease has expired at a majority of each member set.

    No majority of a set that a restoration has lost may be left either.
    """
    if leadership.status_timeline != board.store.timeline:
        _abandon_claim(board, leadership, CLAIM_RETRY_DELAY)
        return
    status = leadership.status
    for members in status.member_sets if status else ():
        expired_count = _count_expired(board, leadership, members)
        if expired_count <= len(members) // 2:
            return
    possible = leadership.possible_members
    bound_count = len(possible) - _count_expired(board, leadership, possible)
    if not _placement.may_form_majority(bound_count, len(possible)):
        _write_claim(board, leadership)


def _count_expired(
    board: Blackboard, leadership: Leadership, members: tuple[Instance, ...]
) -> int:
    """Return how many members report the lease as expired, or have ended."""
    return sum(
        1
        for member in members
        if leadership.lease_expired.get(member.key)
        or _leadership.has_certainly_ended(board, member, leadership)
    )


def _write_claim(board: Blackboard, leadership: Leadership) -> None:
    leadership.role = Role.CLAIMING
    leadership.role_since = board.now
    previous = leadership.status
    earlier_member_sets = previous.member_sets if previous else ()
    chosen = _placement.choose_lease_members(board, leadership.group)
    # Above the epochs of earlier timelines, also of those that the store has lost.
    known_epoch = max(
        previous.ballot.epoch if previous else 0,
        count_from_timeline(board.store.timeline, EPOCHS_PER_TIMELINE),
    )
    timeline = max(FIRST_TIMELINE, board.store.timeline)
    if leadership.possible_members:
        # Until the lease is held, the next claim has to ask all instances, too.
        timeline = previous.timeline if previous else FIRST_TIMELINE
    status = GroupStatus(
        ballot=Ballot(known_epoch + 1, 0),
        leader=board.me,
        member_sets=(*earlier_member_sets, chosen),
        term=previous.term if previous else 0,
        primary=previous.primary if previous else "",
        request_id=f"{board.me.key}:{board.make_id()}",
        timeline=timeline,
    )
    board.metrics.count("claims_written")
    operation = PutObject(
        status_key(leadership.group), encode_status(status), leadership.status_version
    )

    def handle_reply(board: Blackboard, reply: StoreReply) -> None:
        if leadership.role is Role.CLAIMING:
            _handle_claim_written(board, leadership, status, reply)

    call_store(board, operation, handle_reply)


def _handle_claim_written(
    board: Blackboard, leadership: Leadership, status: GroupStatus, reply: StoreReply
) -> None:
    if reply.status is StoreStatus.UNAVAILABLE:
        _read_claim_back(board, leadership, status)
        return
    current = reply.objects[0] if reply.objects else None
    won = reply.status is StoreStatus.OK or (
        current is not None and _is_own_claim(current.value, status)
    )
    is_restored = leadership.status_timeline != board.store.timeline
    if not won or current is None or is_restored:
        _abandon_claim(board, leadership, CLAIM_RETRY_DELAY)
        return
    leadership.status = status
    leadership.status_version = current.version
    _leadership.begin_acquiring(
        board,
        leadership,
        status.ballot,
        status.member_sets[:-1],
        status.member_sets[-1],
        leadership.possible_members,
    )


def _is_own_claim(value: str, status: GroupStatus) -> bool:
    """Return whether a stored status object is the one that was written."""
    try:
        return decode_status(value).request_id == status.request_id
    except StatusError:
        return False


def _read_claim_back(
    board: Blackboard, leadership: Leadership, status: GroupStatus
) -> None:
    """Read the status object to learn whether an unanswered claim took effect."""

    def handle_reply(board: Blackboard, reply: StoreReply) -> None:
        if leadership.role is not Role.CLAIMING:
            return
        if reply.status is StoreStatus.OK:
            # Passed on as a conflict: the claim took effect only if the stored
            # request id is its own.
            answer = StoreReply(StoreStatus.CONFLICT, reply.objects)
            _handle_claim_written(board, leadership, status, answer)
        else:
            # The next claim reads the object before it writes, so this write,
            # should it take effect late, is either read or causes a conflict.
            _abandon_claim(board, leadership, CLAIM_RETRY_DELAY)

    call_store(board, GetObject(status_key(leadership.group)), handle_reply)


def _abandon_claim(board: Blackboard, leadership: Leadership, delay: timedelta) -> None:
    leadership.role = Role.FOLLOWER
    leadership.role_since = board.now
    leadership.retry_at = board.now + delay * (0.5 + board.random.random())
