"""The authority record: the stored object naming the leader and the primaries.

The servers of a service form its group; a group has one primary.
"""

from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any

import msgspec

from burdocksail.board import GroupState, GroupView, Member
from burdocksail.core import BurdocksailError
from burdocksail.fleet import encode_member, is_addressable
from burdocksail.ports import FIRST_TIMELINE, count_from_timeline

SCHEMA_VERSION = 1
EPOCHS_PER_TIMELINE = 10**9
# Changes of primary that one leader may make in a group.
CHANGES_PER_EPOCH = 10**4
CHANGES_PER_TIMELINE = EPOCHS_PER_TIMELINE * CHANGES_PER_EPOCH
MAX_MESSAGE_NUMBER = 2**63 - 1
MAX_UNSETTLED = 8  # enough for leaders elected within a few seconds of each other


class RecordError(BurdocksailError):
    """The authority record is malformed."""


@dataclass(frozen=True, slots=True)
class GroupRecord:
    """Primary of a service, as recorded.

    Attributes
    ----------
    change : int
        Number of the primary's tenure, see `number_change`.
    changing : bool
        Whether a change of primary is in progress or unfinished, so that a
        promotion order may be in flight.
    unproven : bool
        Whether it is not known if this server is still primary, as the store was
        restored, and no promotion has been ordered since. Such a group is changing.
    """

    primary_id: str
    change: int
    changing: bool
    unproven: bool = False


@dataclass(frozen=True, slots=True)
class EarlierLeader:
    """An earlier leader whose leases may not have expired.

    Attributes
    ----------
    members : tuple of Member
        Instances of which a majority had to renew with it for it to keep
        granting leases.
    """

    leader: Member
    members: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class AuthorityRecord:
    """Content of the authority record.

    Attributes
    ----------
    epoch : int
        Raised by every claim of the leadership.
    members : tuple of Member
        Instances, the leader included, of which a majority has to renew with
        the leader for it to keep granting leases.
    unsettled : tuple of EarlierLeader
        Earlier leaders whose leases may not have expired. Wider than
        `Grantees.unsettled`: a leader that has stopped granting stays until its
        leases expire.
    groups : mapping of str to GroupRecord
        Primary of each service, by service name.
    restored : bool
        Whether the store was restored a short time ago, so that leaders whose
        claims were lost may still grant leases.
    timeline : int or None
        Timeline of the store for which it was written; None if it does not say.
    first_timeline : int
        Timeline with which the store began, from which numbers are counted.
    """

    epoch: int
    leader: Member
    members: tuple[Member, ...]
    unsettled: tuple[EarlierLeader, ...]
    groups: Mapping[str, GroupRecord]
    restored: bool = False
    timeline: int | None = None
    first_timeline: int = FIRST_TIMELINE

    def is_of_earlier_timeline(self, timeline: int) -> bool:
        """Return whether a copy of the store has brought this record back.

        The records of timelines 0 and `FIRST_TIMELINE` have the same name.
        """
        return self.timeline is not None and self.timeline < timeline

    def starts_timeline(self, timeline: int) -> bool:
        """Return whether this is the first record of the timeline of a restored store.

        Its leader has no predecessor in that timeline.
        """
        lost_epochs = count_from_timeline(
            timeline, EPOCHS_PER_TIMELINE, self.first_timeline
        )
        return self.restored and self.epoch == lost_epochs + 1

    def with_group(self, service: str, group: GroupRecord) -> "AuthorityRecord":
        """Return a copy of the record with the entry of one service replaced."""
        return replace(self, groups={**self.groups, service: group})

    def claimed_by(self, member: Member) -> "AuthorityRecord":
        """Return the record of the next epoch, led by `member`."""
        replaced = EarlierLeader(self.leader, self.members)
        earlier = [e for e in (replaced, *self.unsettled) if e.leader != member]
        return AuthorityRecord(
            epoch=self.epoch + 1,
            leader=member,
            members=(member,),
            unsettled=tuple(earlier[:MAX_UNSETTLED]),
            groups=self.groups,
            restored=self.restored,
            timeline=self.timeline,
            first_timeline=self.first_timeline,
        )


def number_change(epoch: int, count: int) -> int:
    """Return the number of a primary's tenure that begins in an epoch.

    No leader of another epoch can give the same number to another primary, whether or
    not the tenure is recorded: an epoch begins only with an acknowledged claim.

    Parameters
    ----------
    count : int
        Tenures that the leader of the epoch has numbered before, less than
        `CHANGES_PER_EPOCH`. 0 is for the groups in the first record, which get 1.
    """
    return (epoch - 1) * CHANGES_PER_EPOCH + 1 + count


def restore_record(
    timeline: int,
    member: Member,
    known_epoch: int,
    earlier: AuthorityRecord | None,
    views: Mapping[str, GroupView],
    views_valid: bool,
    first_timeline: int = FIRST_TIMELINE,
) -> AuthorityRecord:
    """Return the first record of a timeline after a restoration of the store.

    The record of the earlier timeline may be older than what was acknowledged, so
    epochs and changes go on above all numbers that may have been lost with it.

    Parameters
    ----------
    timeline : int
        Timeline of the store to which the record will be written.
    member : Member
        Instance that claims the leadership.
    known_epoch : int
        Latest epoch that it knows.
    earlier : AuthorityRecord or None
        Latest record of an earlier timeline that the store still has.
    views : mapping of str to GroupView
        View that the claiming instance has, by service.
    views_valid : bool
        Whether a lease proves that no later change of primary has begun. Otherwise
        every group is recorded as changing: it is closed until its servers have been
        asked which one is primary.
    first_timeline : int
        Timeline with which the store began, as far as that instance knows.
    """
    if earlier is not None:
        first_timeline = min(first_timeline, earlier.first_timeline)
    groups = {} if earlier is None else dict(earlier.groups)
    for service, view in views.items():
        recorded = groups.get(service)
        if views_valid or recorded is None or recorded.change <= view.change:
            is_open = view.state is GroupState.OPEN
            groups[service] = GroupRecord(
                view.primary_id, view.change, not is_open, not is_open
            )
    if not views_valid:
        first_change = count_from_timeline(
            timeline, CHANGES_PER_TIMELINE, first_timeline
        )
        groups = {
            service: GroupRecord(
                group.primary_id, max(group.change, first_change), True, True
            )
            for service, group in groups.items()
        }
    lost_epochs = count_from_timeline(timeline, EPOCHS_PER_TIMELINE, first_timeline)
    known_epochs = [known_epoch, lost_epochs]
    unsettled: tuple[EarlierLeader, ...] = ()
    if earlier is not None:
        known_epochs.append(earlier.epoch)
        unsettled = (EarlierLeader(earlier.leader, earlier.members), *earlier.unsettled)
    return AuthorityRecord(
        epoch=max(known_epochs) + 1,
        leader=member,
        members=(member,),
        unsettled=unsettled[:MAX_UNSETTLED],
        groups=groups,
        restored=True,
        timeline=timeline,
        first_timeline=first_timeline,
    )


def encode_record(record: AuthorityRecord) -> dict[str, Any]:
    """Return the JSON form of a record."""
    return {
        "schema_version": SCHEMA_VERSION,
        "epoch": record.epoch,
        "leader": encode_member(record.leader),
        "members": [encode_member(member) for member in record.members],
        "unsettled": [
            {
                "leader": encode_member(earlier.leader),
                "members": [encode_member(member) for member in earlier.members],
            }
            for earlier in record.unsettled
        ],
        "groups": {
            service: {
                "primary_id": group.primary_id,
                "change": group.change,
                "changing": group.changing,
                "unproven": group.unproven,
            }
            for service, group in record.groups.items()
        },
        "restored": record.restored,
        "timeline": record.timeline,
        "first_timeline": record.first_timeline,
    }


def decode_record(spec: Mapping[str, Any]) -> AuthorityRecord:
    """Return the record that a stored object holds.

    Raises
    ------
    RecordError
        If the object is malformed or has another schema version.
    """
    try:
        if spec["schema_version"] != SCHEMA_VERSION:
            raise RecordError(f"schema version {spec['schema_version']} is unknown")
        record = msgspec.convert(spec, AuthorityRecord)
    except (LookupError, TypeError, ValueError, RecursionError) as error:
        raise RecordError(f"malformed authority record: {error}") from error
    if not _is_sendable(record):
        raise RecordError("the authority record does not fit into messages")
    return record


def _is_sendable(record: AuthorityRecord) -> bool:
    """Return whether messages can hold the numbers and members of a record."""
    earlier = [m for e in record.unsettled for m in (e.leader, *e.members)]
    members = (record.leader, *record.members, *earlier)
    numbers = (record.epoch, *(group.change for group in record.groups.values()))
    return all(map(is_addressable, members)) and all(
        0 <= number <= MAX_MESSAGE_NUMBER for number in numbers
    )
