"""Thrift encoding of the messages and snapshots that instances exchange."""

import json
import typing
from dataclasses import dataclass

from burdocksail.core import BurdocksailError
from burdocksail.fleet import _structures
from burdocksail.fleet._messages import Message
from burdocksail.fleet._registration import is_addressable
from burdocksail.ports import StoredObject, StoreVersion
from burdocksail.structs import EnvelopeCodec, StructCodec, StructError

_codec = StructCodec(_structures)
_envelopes = EnvelopeCodec(_codec, _structures, Message)

MAX_ITEM_BYTES = 16 << 10  # many times an upstream's entry
MAX_NAME_LENGTH = 255  # an upstream's name is in messages, which have little space
MAX_SPEC_DEPTH = 64


class MessageError(BurdocksailError):
    """Bytes from another process are not a well-formed message or snapshot."""


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The store's catalog and upstreams as an instance last read them.

    It read them from the store or from a peer's snapshot.

    Attributes
    ----------
    directory_version : StoreVersion
        Version of the store at which `upstreams` was last listed or seen to change.
    """

    catalog: StoredObject | None
    upstreams: tuple[StoredObject, ...]
    directory_version: StoreVersion


def encode_message(message: Message) -> bytes:
    """Return the datagram for a message.

    Raises
    ------
    MessageError
        If the message holds what cannot be encoded.
    """
    try:
        return _envelopes.encode(message)
    except Exception as error:
        # What the thrift library cannot encode makes it raise errors of many types.
        reason = f"{type(message).__name__} not encoded: {type(error).__name__}"
        raise MessageError(reason) from error


def decode_message(payload: bytes) -> Message:
    """Return the message in a datagram.

    Raises
    ------
    MessageError
        If the datagram does not begin with one well-formed message, or names an
        instance to which nothing can be sent; bytes after the message are ignored.
    """
    try:
        message = _envelopes.decode(payload)
    except StructError as error:
        raise MessageError(str(error)) from error
    for role in ("member", "leader", "source"):
        member = getattr(message, role, None)
        if member is not None and not is_addressable(member):
            raise MessageError(f"the {role} has no usable address or name")
    return message


def is_sendable(stored: StoredObject, max_bytes: int = MAX_ITEM_BYTES) -> bool:
    """Return whether an object can be sent to other instances in a snapshot.

    One that cannot is not to be accepted: instances that learn of it in different
    ways would not agree. Nor is one with text that is not Unicode.
    """
    if _is_deep(stored.spec):
        return False
    try:
        text = json.dumps(stored.spec, ensure_ascii=False)
        size = len(text.encode()) + len(stored.name.encode())
        return size <= max_bytes and len(stored.name) <= MAX_NAME_LENGTH
    except (ValueError, TypeError):
        return False


def _is_deep(value: typing.Any) -> bool:
    """Return whether a JSON value has more than `MAX_SPEC_DEPTH` levels."""
    level = [value]
    for _ in range(MAX_SPEC_DEPTH):
        level = [
            child
            for item in level
            if isinstance(item, list | dict)
            for child in (item.values() if isinstance(item, dict) else item)
        ]
        if not level:
            return False
    return True


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Return the serialized snapshot; objects that cannot be encoded are left out."""
    catalog = snapshot.catalog
    return _codec.write(
        _structures.Snapshot(
            catalog=None if catalog is None else _encode_item(catalog),
            upstreams=[
                item
                for u in snapshot.upstreams
                if (item := _encode_item(u)) is not None
            ],
            directory_revision=snapshot.directory_version.revision,
            timeline=snapshot.directory_version.timeline,
        )
    )


def decode_snapshot(payload: bytes) -> Snapshot:
    """Return the snapshot in `payload`, without the objects that cannot be read.

    Raises
    ------
    MessageError
        If the snapshot is malformed.
    """
    try:
        struct = _codec.read(_structures.Snapshot(), payload)
        catalog = struct.catalog
        return Snapshot(
            None if catalog is None else _decode_item(catalog),
            tuple(
                stored
                for item in struct.upstreams
                if (stored := _decode_item(item)) is not None
            ),
            StoreVersion(int(struct.timeline), int(struct.directory_revision)),
        )
    except Exception as error:
        raise MessageError(f"malformed snapshot: {type(error).__name__}") from error


def _encode_item(stored: StoredObject) -> typing.Any:
    """Return the struct of an object, None if it cannot be encoded."""
    try:
        spec = json.dumps(stored.spec, separators=(",", ":"))
        stored.name.encode()
    except (ValueError, TypeError, RecursionError):
        return None
    return _structures.SnapshotItem(
        name=stored.name,
        revision=stored.revision,
        spec=spec,
        timeline=stored.timeline,
    )


def _decode_item(item: typing.Any) -> StoredObject | None:
    """Return the object of a struct, None if it cannot be read."""
    try:
        spec = json.loads(item.spec)
    except (ValueError, TypeError, RecursionError):
        return None
    return StoredObject(str(item.name), int(item.revision), spec, int(item.timeline))
