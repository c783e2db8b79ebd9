"""Calls to the platform's store, as values.

The shell performs them. ``UNAVAILABLE`` covers every case in which no answer
arrived, including the one in which the change took effect and its answer was
lost; the caller then has to read back.
"""

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum


class StoreStatus(Enum):
    """Result of a store call."""

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
    """Write an object if its version is `expected_version`; 0 creates it."""

    key: str
    value: str
    expected_version: int


@dataclass(frozen=True, slots=True)
class ListObjects:
    """Read all objects whose key starts with `prefix`."""

    prefix: str


@dataclass(frozen=True, slots=True)
class WatchObjects:
    """Wait until objects under `prefix` change after a revision."""

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
    """Answer of the store.

    Attributes
    ----------
    objects : tuple of StoredObject
        The objects read, or the current object after a conflict.
    revision : int
        Store revision that the answer reflects.
    instances : tuple of ListedInstance
        Answer of `ListInstances`.
    """

    status: StoreStatus
    objects: tuple[StoredObject, ...] = ()
    revision: int = 0
    instances: tuple[ListedInstance, ...] = ()
