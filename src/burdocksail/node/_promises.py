"""Lease member's side of leases: the promises of this instance to leaders.

Promises are kept in memory only. They need not survive a restart, because a
restarted instance is a new incarnation and belongs to no member set that names
the old one.
"""

from burdocksail.core import Instance
from burdocksail.node._board import Blackboard, Promise
from burdocksail.node._effects import Send
from burdocksail.node._messages import (
    AskLease,
    Ballot,
    LeaseItem,
    LeaseRefusal,
    LeaseReport,
    LeasesAnswered,
    ReleaseLeases,
    RenewLeases,
)


def grant_lease(
    board: Blackboard, group: str, ballot: Ballot, holder: Instance
) -> Ballot | None:
    """Grant or extend a lease, unless this instance is bound otherwise.

    It refuses a ballot smaller than the last granted one, the same ballot of another
    holder, and a greater one while the lease of another holder has not expired. A
    greater ballot of the same epoch, which is a handover, need not wait for the
    expiry.

    Returns
    -------
    Ballot or None
        None if granted, else the ballot to which this instance is bound.
    """
    promise = board.authority.promises.get(group)
    if promise is not None and not _may_grant(board, promise, ballot, holder):
        return promise.bound
    expires_at = board.now + board.settings.lease_duration
    if promise is None or promise.bound != ballot:
        board.authority.promises[group] = Promise(ballot, holder, expires_at)
    else:
        promise.expires_at = expires_at
        promise.claim_on_expiry = True
    board.authority.leader_hints[group] = holder
    return None


def _may_grant(
    board: Blackboard, promise: Promise, ballot: Ballot, holder: Instance
) -> bool:
    if ballot < promise.bound:
        return False
    if ballot == promise.bound:
        return promise.holder.key == holder.key
    # Within an epoch, a higher ballot is created only by the holder that hands
    # the lease over, after it has stopped using it.
    handed_over = ballot.epoch == promise.bound.epoch
    expired = board.now >= promise.expires_at
    return handed_over or expired or promise.holder.key == holder.key


def handle_renew_leases(
    board: Blackboard, sender: Instance, message: RenewLeases
) -> None:
    """Grant or refuse each of the leases that a leader asks for."""
    granted = []
    refused = []
    for item in message.leases:
        bound = grant_lease(board, item.group, item.ballot, sender)
        if bound is None:
            granted.append(item)
        else:
            refused.append(LeaseRefusal(item.group, item.ballot, bound))
    answer = LeasesAnswered(message.sequence, tuple(granted), tuple(refused))
    board.emit(Send(sender, answer))


def handle_release_leases(
    board: Blackboard, sender: Instance, message: ReleaseLeases
) -> None:
    """End leases before they expire because the holder has stopped using them."""
    for item in message.leases:
        release_lease(board, item, sender)


def release_lease(board: Blackboard, item: LeaseItem, holder: Instance) -> None:
    """End one lease if `holder` still holds it under the ballot of `item`."""
    promise = board.authority.promises.get(item.group)
    if promise is None or promise.bound != item.ballot:
        return
    if promise.holder.key == holder.key:
        promise.expires_at = board.now
        board.authority.leader_hints.pop(item.group, None)


def handle_ask_lease(board: Blackboard, sender: Instance, message: AskLease) -> None:
    """Tell a claimant whether this instance is still bound to a holder."""
    board.emit(Send(sender, describe_lease(board, message.group)))


def describe_lease(board: Blackboard, group: str) -> LeaseReport:
    """Return the ballot last granted here and its holder, None if expired."""
    promise = board.authority.promises.get(group)
    if promise is None:
        return LeaseReport(group, Ballot(), None)
    holder = promise.holder if board.now < promise.expires_at else None
    return LeaseReport(group, promise.bound, holder)
