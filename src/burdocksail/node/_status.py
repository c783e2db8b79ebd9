"""The status object of a database group in the platform's store.

The instances agree on the leader of a group through this object alone: an
instance claims a group by a conditional update that raises the epoch.
"""

import json
from dataclasses import dataclass

from burdocksail.core import BurdocksailError, Instance
from burdocksail.node._messages import Ballot
from burdocksail.ports import FIRST_TIMELINE


class StatusError(BurdocksailError):
    """The text of a status object is malformed or of an unknown schema version."""


@dataclass(frozen=True, slots=True)
class GroupStatus:
    """Leader, lease members, term and primary of a group.

    Attributes
    ----------
    member_sets : tuple of tuple of Instance
        Sets of instances that may grant the lease, the newest last. A claim needs
        the lease expired at a majority of each set. There is more than one set
        while a claim or a change of members is in progress.
    term : int
        Number of the primary's tenure, which the servers store as well; 0 before
        the first.
    request_id : str
        Identifies the last update, so that a writer that got no answer can
        tell whether the update was its own.
    timeline : int
        Timeline of the store in which its writer held the lease. A restoration may
        have lost a later claim if it is an earlier one than the present.
    """

    ballot: Ballot
    leader: Instance
    member_sets: tuple[tuple[Instance, ...], ...]
    term: int
    primary: str
    request_id: str
    timeline: int = FIRST_TIMELINE


def status_key(group: str) -> str:
    """Return the store key of a group's status object."""
    return f"groups/{group}"


def encode_status(status: GroupStatus) -> str:
    """Serialize a status object to JSON."""
    return json.dumps(
        {
            "schema_version": 1,
            "epoch": status.ballot.epoch,
            "handover": status.ballot.handover,
            "leader": _encode_instance(status.leader),
            "member_sets": [
                [_encode_instance(member) for member in members]
                for members in status.member_sets
            ],
            "term": status.term,
            "primary": status.primary,
            "request_id": status.request_id,
            "timeline": status.timeline,
        },
        separators=(",", ":"),
    )


def decode_status(text: str) -> GroupStatus:
    """Parse the JSON text of a status object.

    Raises
    ------
    StatusError
        If the text is malformed or its schema version is not supported.
    """
    try:
        value = json.loads(text)
        if value["schema_version"] != 1:
            raise StatusError(f"unknown schema version {value['schema_version']!r}")
        return GroupStatus(
            ballot=Ballot(value["epoch"], value["handover"]),
            leader=_decode_instance(value["leader"]),
            member_sets=tuple(
                tuple(_decode_instance(member) for member in members)
                for members in value["member_sets"]
            ),
            term=value["term"],
            primary=value["primary"],
            request_id=value["request_id"],
            timeline=int(value.get("timeline", FIRST_TIMELINE)),
        )
    except (ValueError, KeyError, TypeError, RecursionError) as error:
        raise StatusError(f"malformed status object: {error}") from error


def _encode_instance(instance: Instance) -> list[str | int]:
    return [
        instance.name,
        instance.incarnation,
        instance.failure_domain,
        instance.host,
        instance.port,
    ]


def _decode_instance(value: list) -> Instance:
    name, incarnation, failure_domain, host, port = value
    return Instance(name, incarnation, failure_domain, host, int(port))
