"""Thrift encoding of messages and of a connection's first frame, the hello."""

from collections.abc import Sequence

from burdocksail.core import Instance, ResultSet
from burdocksail.node import Message
from burdocksail.structs import (
    EnvelopeCodec,
    FieldCodec,
    StructCodec,
    StructError,
)
from burdocksail.wire import _structures
from burdocksail.wire._errors import WireError

PROTOCOL_VERSION = 1


def _encode_rows(rows: Sequence[Sequence[bytes | None]]) -> list:
    encoded = []
    for row in rows:
        nulls = [i for i, value in enumerate(row) if value is None]
        values = [b"" if value is None else value for value in row]
        encoded.append(_structures.Row(values=values, nulls=nulls or None))
    return encoded


def _decode_rows(rows: list) -> list[tuple[bytes | None, ...]]:
    decoded = []
    for row in rows:
        values = [_to_bytes(value) for value in row.values]
        for index in row.nulls or ():
            values[index] = None
        decoded.append(tuple(values))
    return decoded


# thriftpy2 decodes a `string` that is valid UTF-8 to str. It returns a `binary`,
# the type of all fields that are passed here, as bytes, which pass unchanged.
def _to_bytes(value: bytes | str) -> bytes:
    return value.encode() if isinstance(value, str) else value


_ROWS_CODEC = FieldCodec(_encode_rows, _decode_rows)
_struct_codec = StructCodec(_structures, {(ResultSet, "rows"): _ROWS_CODEC})
_envelope_codec = EnvelopeCodec(_struct_codec, _structures, Message)


def encode_message(message: Message) -> bytes:
    """Return a message as the payload of a frame."""
    return _envelope_codec.encode(message)


def decode_message(payload: bytes) -> Message:
    """Return the message that a frame's payload holds.

    Raises
    ------
    WireError
        If the payload is not exactly one well-formed message.
    """
    try:
        return _envelope_codec.decode(payload)
    except StructError as error:
        raise WireError(str(error)) from error


def encode_hello(sender: Instance, nonce: bytes) -> bytes:
    """Return the payload of the first frame that one side of a connection sends."""
    sender_struct = _struct_codec.encode(sender)
    hello = _structures.Hello(
        sender=sender_struct, nonce=nonce, protocol_version=PROTOCOL_VERSION
    )
    return _struct_codec.write(hello)


def decode_hello(payload: bytes) -> tuple[Instance, bytes]:
    """Return the sender and nonce from the first frame of one side.

    Raises
    ------
    WireError
        If the payload is malformed or has another protocol version.
    """
    try:
        hello = _struct_codec.read(_structures.Hello(), payload)
        if hello.protocol_version != PROTOCOL_VERSION:
            raise WireError(
                f"protocol version {hello.protocol_version} is not supported"
            )
        return _struct_codec.decode(Instance, hello.sender), _to_bytes(hello.nonce)
    except WireError:
        raise
    except Exception as error:
        raise WireError(f"malformed hello: {type(error).__name__}") from error
