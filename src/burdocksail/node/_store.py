"""Operations on the platform's store and their replies, as values.

The shell performs the calls. ``UNAVAILABLE`` covers every case in which no
answer arrived, including that of a write that took effect and whose answer was
lost. After it, the node has to read the object back.
"""

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum


class StoreStatus(Enum):
    """Result of a store call.

    ``MISSING`` means that the object does not exist or, for a watch, that the store
    no longer keeps the changes since the revision.
    """

    OK = "ok"
    CONFLICT = "conflict"
    MISSING = "missing"
    UNAVAILABLE = "unavailable"


@dataclass(frozen=True, slots=True)
class StoredObject:
    """An object with the revision of its last change.

    Attributes
    ----------
    version : int
        Store revision at which `value` was written; conditional updates
        compare it.
    value : str
        JSON text.
    """

    key: str
    version: int
    value: str


@dataclass(frozen=True, slots=True)
class GetObject:
    """Read one object."""

    key: str


@dataclass(frozen=True, slots=True)
class PutObject:
    """Write an object if its version is `expected_version`.

    Version 0 creates the object and requires that it does not exist.
    """

    key: str
    value: str
    expected_version: int


@dataclass(frozen=True, slots=True)
class ListObjects:
    """Read all objects whose key starts with `prefix`."""

    prefix: str


@dataclass(frozen=True, slots=True)
class WatchObjects:
    """Wait until objects under `prefix` change after a store revision.

    Attributes
    ----------
    timeout : timedelta
        Longest time that the store holds the call open.
    """

    prefix: str
    after_revision: int
    timeout: timedelta


@dataclass(frozen=True, slots=True)
class ListInstances:
    """Read the platform's list of live and leaving instances."""


StoreOperation = GetObject | PutObject | ListObjects | WatchObjects | ListInstances


@dataclass(frozen=True, slots=True)
class ListedInstance:
    """Entry of the platform's list of instances."""

    name: str
    incarnation: str
    failure_domain: str
    host: str
    port: int
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class StoreReply:
    """Reply to a store call.

    Attributes
    ----------
    objects : tuple of StoredObject
        Objects read or written, or the current object after a conflict.
    revision : int
        Store revision that the reply reflects.
    instances : tuple of ListedInstance
        Instances read by `ListInstances`.
    timeline : int
        Number that rises whenever the store is restored from an earlier copy of
        itself, which gives out the revisions since then again; 0 if the store names
        none.
    """

    status: StoreStatus
    objects: tuple[StoredObject, ...] = ()
    revision: int = 0
    instances: tuple[ListedInstance, ...] = ()
    timeline: int = 0
