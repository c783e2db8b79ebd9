"""Messages and the first frame of a connection as thrift bytes."""

from collections.abc import Sequence
from importlib.resources import as_file, files

import thriftpy2

from burdocksail.core import Instance, ResultSet
from burdocksail.node import Message
from burdocksail.structs import (
    EnvelopeCodec,
    FieldCodec,
    StructCodec,
    StructError,
)
from burdocksail.wire._errors import WireError

PROTOCOL_VERSION = 1

with as_file(files("burdocksail.wire") / "peer.thrift") as idl_path:
    _idl = thriftpy2.load(str(idl_path), module_name="burdocksail_peer_thrift")


def _encode_rows(rows: Sequence[Sequence[bytes | None]]) -> list:
    encoded = []
    for row in rows:
        nulls = [i for i, value in enumerate(row) if value is None]
        values = [b"" if value is None else value for value in row]
        encoded.append(_idl.Row(values=values, nulls=nulls or None))
    return encoded


def _decode_rows(rows: list) -> list[tuple[bytes | None, ...]]:
    decoded = []
    for row in rows:
        values = [_to_bytes(value) for value in row.values]
        for index in row.nulls or ():
            values[index] = None
        decoded.append(tuple(values))
    return decoded


def _to_bytes(value: bytes | str) -> bytes:
    return value.encode() if isinstance(value, str) else value


_ROWS = FieldCodec(_encode_rows, _decode_rows)
_codec = StructCodec(_idl, {(ResultSet, "rows"): _ROWS})
_envelopes = EnvelopeCodec(_codec, _idl, Message)


def encode_message(message: Message) -> bytes:
    """Return the payload of a message."""
    return _envelopes.encode(message)


def decode_message(payload: bytes) -> Message:
    """Return the message of a payload.

    Raises
    ------
    WireError
        If the payload is not exactly one well-formed message.
    """
    try:
        return _envelopes.decode(payload)
    except StructError as error:
        raise WireError(str(error)) from error


def encode_hello(sender: Instance, nonce: bytes) -> bytes:
    """Return the payload of the first frame of a connection."""
    struct = _codec.encode(sender)
    hello = _idl.Hello(sender=struct, nonce=nonce, protocol_version=PROTOCOL_VERSION)
    return _codec.write(hello)


def decode_hello(payload: bytes) -> tuple[Instance, bytes]:
    """Return the sender and nonce of the first frame of a connection.

    Raises
    ------
    WireError
        If the payload is malformed or of another protocol version.
    """
    try:
        hello = _codec.read(_idl.Hello(), payload)
        if hello.protocol_version != PROTOCOL_VERSION:
            raise WireError(f"protocol version {hello.protocol_version} is unknown")
        return _codec.decode(Instance, hello.sender), _to_bytes(hello.nonce)
    except WireError:
        raise
    except Exception as error:
        raise WireError(f"malformed hello: {type(error).__name__}") from error
