"""The status object of a database group in the platform's store.

Agreement on who may lead a group goes through this object alone: a claim is a
conditional update that raises the epoch.
"""

import json
from dataclasses import dataclass

from burdocksail.core import BurdocksailError, Instance
from burdocksail.node._messages import Ballot


class StatusError(BurdocksailError):
    """A status object cannot be understood."""


@dataclass(frozen=True, slots=True)
class GroupStatus:
    """Who leads a group, who grants the lease, and who its primary is.

    Attributes
    ----------
    member_sets : tuple of tuple of Instance
        A leader needs the grants of a majority of each set. There are two
        while the members change.
    request_id : str
        Written by the last update; a writer whose answer was lost recognises
        its own update by it.
    """

    ballot: Ballot
    leader: Instance
    member_sets: tuple[tuple[Instance, ...], ...]
    term: int
    primary: str
    request_id: str


def status_key(group: str) -> str:
    """Return the store key of a group's status object."""
    return f"groups/{group}"


def encode_status(status: GroupStatus) -> str:
    """Return the JSON text of a status object."""
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
        },
        separators=(",", ":"),
    )


def decode_status(text: str) -> GroupStatus:
    """Parse the JSON text of a status object.

    Raises
    ------
    StatusError
        If the text is not a status object of a known schema version.
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
        )
    except (ValueError, KeyError, TypeError) as error:
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
