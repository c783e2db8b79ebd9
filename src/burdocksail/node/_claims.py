"""Claims: how an instance becomes the leader of a group that has none.

A claim reads the group's status object, asks the members whether the last
lease has run out, and raises the epoch by conditional update. Agreement goes
through the store; the members only add that the last leader has stopped.
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

RANK_DELAY = seconds(0.4)
CLAIM_RETRY = seconds(0.5)
ASK_TIMEOUT = seconds(0.4)
RECHECK_PREFERRED = seconds(10)
FIRST_CLAIM_DELAY = seconds(1)


def watch_promises(board: Blackboard) -> None:
    """Claim groups whose leader has not renewed the lease granted here."""
    for group, promise in board.authority.promises.items():
        if not promise.watched or group not in board.configuration.groups:
            continue
        overdue = board.now - promise.until
        if overdue >= _claim_delay(board, group):
            _claim_if_idle(board, group)


def watch_preferred_groups(board: Blackboard) -> None:
    """See to it that each group preferred here has a leader."""
    if board.now < FIRST_CLAIM_DELAY or board.membership.leaving:
        return
    checked_at = board.authority.checked_at
    for group in sorted(board.membership.preferred_here):
        promise = board.authority.promises.get(group)
        if promise is not None and promise.watched:
            continue
        last = checked_at.get(group)
        if last is None or board.now - last >= RECHECK_PREFERRED:
            checked_at[group] = board.now
            _claim_if_idle(board, group)


def look_up_leader(board: Blackboard, group: str) -> None:
    """Read the group's status, for a hint or for a claim."""
    last = board.authority.checked_at.get(group)
    if last is None or board.now - last >= CLAIM_RETRY:
        board.authority.checked_at[group] = board.now
        _claim_if_idle(board, group)


def handle_lease_report(
    board: Blackboard, sender: Instance, message: LeaseReport
) -> None:
    """Count a member's word on whether the last lease has run out."""
    leadership = board.authority.leaderships.get(message.group)
    if leadership is None or leadership.role is not Role.ASKING_MEMBERS:
        return
    if message.holder is not None:
        board.authority.hints[message.group] = message.holder
    leadership.unbound[sender.key] = message.holder is None
    _claim_if_unbound(board, leadership)


def check_asking(board: Blackboard, leadership: Leadership) -> None:
    """Give up asking the members after a while."""
    if leadership.role is not Role.ASKING_MEMBERS:
        return
    if board.now - leadership.since >= ASK_TIMEOUT:
        board.metrics.count("claims_without_majority")
        _give_up(board, leadership, CLAIM_RETRY)


def _claim_delay(board: Blackboard, group: str) -> timedelta:
    """Return how long to leave the claim to better placed members."""
    preferred = _placement.find_preferred(board, group)
    if preferred is None or preferred.key == board.me.key:
        return timedelta()
    fraction = 0.5 + board.random.random()
    return RANK_DELAY * fraction


def _claim_if_idle(board: Blackboard, group: str) -> None:
    leadership = _lease.find_leadership(board, group)
    idle = leadership.role is Role.FOLLOWER and not leadership.call_open
    if idle and board.now >= leadership.retry_at and not board.membership.leaving:
        _start_claim(board, leadership)


def _start_claim(board: Blackboard, leadership: Leadership) -> None:
    leadership.role = Role.READING_STATUS
    leadership.since = board.now

    def finish(board: Blackboard, reply: StoreReply) -> None:
        if leadership.role is Role.READING_STATUS:
            _handle_status_read(board, leadership, reply)

    call_store(board, GetObject(status_key(leadership.group)), finish)


def _handle_status_read(
    board: Blackboard, leadership: Leadership, reply: StoreReply
) -> None:
    if reply.status is StoreStatus.MISSING:
        leadership.status = None
        leadership.status_version = 0
        _write_claim(board, leadership)
        return
    if reply.status is not StoreStatus.OK:
        _give_up(board, leadership, CLAIM_RETRY)
        return
    try:
        status = decode_status(reply.objects[0].value)
    except StatusError:
        board.metrics.count("status_objects_malformed")
        _give_up(board, leadership, CLAIM_RETRY)
        return
    leadership.status = status
    leadership.status_version = reply.objects[0].version
    _ask_members(board, leadership, status)


def _ask_members(
    board: Blackboard, leadership: Leadership, status: GroupStatus
) -> None:
    leadership.role = Role.ASKING_MEMBERS
    leadership.since = board.now
    leadership.unbound = {}
    asked = {m.key: m for members in status.member_sets for m in members}
    if board.me.key not in asked:
        _stop_watching(board, leadership.group)
    for member in asked.values():
        if member.key == board.me.key:
            report = _promises.describe_lease(board, leadership.group)
            leadership.unbound[member.key] = report.holder is None
        else:
            board.emit(Send(member, AskLease(leadership.group)))
        if not _membership.is_usable(board, member):
            _membership.probe_name(board, member.name)
    _claim_if_unbound(board, leadership)


def _stop_watching(board: Blackboard, group: str) -> None:
    """Leave the group to its members; what was promised stays promised."""
    promise: Promise | None = board.authority.promises.get(group)
    if promise is not None:
        promise.watched = False


def _claim_if_unbound(board: Blackboard, leadership: Leadership) -> None:
    status = leadership.status
    if status is None:
        return
    for members in status.member_sets:
        unbound = sum(
            1
            for member in members
            if leadership.unbound.get(member.key)
            or _leadership.is_confirmed_lost(board, member, leadership)
        )
        if unbound <= len(members) // 2:
            return
    _write_claim(board, leadership)


def _write_claim(board: Blackboard, leadership: Leadership) -> None:
    leadership.role = Role.CLAIMING
    leadership.since = board.now
    old = leadership.status
    claim_sets = old.member_sets if old else ()
    chosen = _placement.choose_members(board, leadership.group)
    status = GroupStatus(
        ballot=Ballot(old.ballot.epoch + 1 if old else 1, 0),
        leader=board.me,
        member_sets=(*claim_sets, chosen),
        term=old.term if old else 0,
        primary=old.primary if old else "",
        request_id=f"{board.me.key}:{board.make_id()}",
    )
    board.metrics.count("claims_written")
    operation = PutObject(
        status_key(leadership.group), encode_status(status), leadership.status_version
    )

    def finish(board: Blackboard, reply: StoreReply) -> None:
        if leadership.role is Role.CLAIMING:
            _handle_claim_written(board, leadership, status, reply)

    call_store(board, operation, finish)


def _handle_claim_written(
    board: Blackboard, leadership: Leadership, status: GroupStatus, reply: StoreReply
) -> None:
    if reply.status is StoreStatus.UNAVAILABLE:
        _read_claim_back(board, leadership, status)
        return
    current = reply.objects[0] if reply.objects else None
    won = reply.status is StoreStatus.OK or (
        current is not None and status.request_id in current.value
    )
    if not won or current is None:
        _give_up(board, leadership, CLAIM_RETRY)
        return
    leadership.status = status
    leadership.status_version = current.version
    _leadership.begin_acquiring(
        board,
        leadership,
        status.ballot,
        status.member_sets[:-1],
        status.member_sets[-1],
    )


def _read_claim_back(
    board: Blackboard, leadership: Leadership, status: GroupStatus
) -> None:
    """Find out whether a claim took effect whose answer was lost."""

    def finish(board: Blackboard, reply: StoreReply) -> None:
        if leadership.role is not Role.CLAIMING:
            return
        if reply.status is StoreStatus.OK:
            answer = StoreReply(StoreStatus.CONFLICT, reply.objects)
            _handle_claim_written(board, leadership, status, answer)
        else:
            # The next claim reads the object before it writes, so a claim
            # that takes effect late is seen or conflicts.
            _give_up(board, leadership, CLAIM_RETRY)

    call_store(board, GetObject(status_key(leadership.group)), finish)


def _give_up(board: Blackboard, leadership: Leadership, delay: timedelta) -> None:
    leadership.role = Role.FOLLOWER
    leadership.since = board.now
    leadership.retry_at = board.now + delay * (0.5 + board.random.random())
