"""Validity of the leases that this instance holds as a leader.

A leader may answer requests of its group only while a majority of the lease
members grants its ballot.
"""

from datetime import timedelta

from burdocksail.core import Instance
from burdocksail.node._board import Blackboard, Leadership, Role

# Roles in which the lease members are asked for grants. While acquiring, the lease
# is not held yet.
RENEWING_ROLES = frozenset({Role.ACQUIRING, Role.LEADING, Role.DRAINING})
SERVING_ROLES = frozenset({Role.LEADING, Role.DRAINING})


def get_or_create_leadership(board: Blackboard, group: str) -> Leadership:
    """Return this instance's leadership state of a group, created if absent."""
    leaderships = board.authority.leaderships
    if group not in leaderships:
        leaderships[group] = Leadership(group)
    return leaderships[group]


def is_leading(board: Blackboard, group: str) -> bool:
    """Return whether this instance leads a group, even if its lease has expired."""
    leadership = board.authority.leaderships.get(group)
    return leadership is not None and leadership.role in SERVING_ROLES


def is_lease_valid(board: Blackboard, group: str) -> bool:
    """Return whether this instance leads a group and holds an unexpired lease."""
    leadership = board.authority.leaderships.get(group)
    if leadership is None or leadership.role not in SERVING_ROLES:
        return False
    return has_majority_of_grants(board, leadership, leadership.lease_members)


def has_majority_of_grants(
    board: Blackboard, leadership: Leadership, members: tuple[Instance, ...]
) -> bool:
    """Return whether the grants of a majority of `members` have not expired."""
    valid_count = sum(
        1
        for member in members
        if leadership.grants.get(member.key, timedelta.min) > board.now
    )
    return valid_count > len(members) // 2
