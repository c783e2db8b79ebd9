"""Member's side of leases: what this instance has granted to leaders.

A promise lives in memory only. That is enough, because a restarted instance is
a new incarnation and no member of any set that named the old one.
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
    """Grant or extend a lease.

    Returns
    -------
    Ballot or None
        None if granted, else the ballot that this instance is bound to.
    """
    promise = board.authority.promises.get(group)
    if promise is not None and not _may_grant(board, promise, ballot, holder):
        return promise.bound
    until = board.now + board.settings.lease
    if promise is None or promise.bound != ballot:
        board.authority.promises[group] = Promise(ballot, holder, until)
    else:
        promise.until = until
        promise.watched = True
    board.authority.hints[group] = holder
    return None


def _may_grant(
    board: Blackboard, promise: Promise, ballot: Ballot, holder: Instance
) -> bool:
    if ballot < promise.bound:
        return False
    if ballot == promise.bound:
        return promise.holder.key == holder.key
    # Only a holder that has stopped creates the next handover of its epoch.
    handed_over = ballot.epoch == promise.bound.epoch
    expired = board.now >= promise.until
    return handed_over or expired or promise.holder.key == holder.key


def handle_renew_leases(
    board: Blackboard, sender: Instance, message: RenewLeases
) -> None:
    """Answer a leader that asks for leases."""
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
    """End the leases that their holder has stopped using."""
    for item in message.leases:
        release_lease(board, item, sender)


def release_lease(board: Blackboard, item: LeaseItem, holder: Instance) -> None:
    """End one lease if `holder` still holds it by this ballot."""
    promise = board.authority.promises.get(item.group)
    if promise is None or promise.bound != item.ballot:
        return
    if promise.holder.key == holder.key:
        promise.until = board.now
        board.authority.hints.pop(item.group, None)


def handle_ask_lease(board: Blackboard, sender: Instance, message: AskLease) -> None:
    """Tell a would-be claimant whether this instance is bound to a holder."""
    board.emit(Send(sender, describe_lease(board, message.group)))


def describe_lease(board: Blackboard, group: str) -> LeaseReport:
    """Return whether this instance is bound to a holder of the group's lease."""
    promise = board.authority.promises.get(group)
    if promise is None:
        return LeaseReport(group, Ballot(), None)
    holder = promise.holder if board.now < promise.until else None
    return LeaseReport(group, promise.bound, holder)
