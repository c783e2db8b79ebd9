"""Conversion between messages and thrift bytes.

The converters are built once from the dataclasses' type hints, so that a
message is described in two places only: its dataclass and the IDL.
"""

import types
import typing
from collections.abc import Callable, Sequence
from dataclasses import fields, is_dataclass
from datetime import timedelta
from enum import Enum
from importlib.resources import as_file, files
from typing import Any

import thriftpy2
from thriftpy2.protocol.cybin import TCyBinaryProtocol
from thriftpy2.transport import TMemoryBuffer
from thriftpy2.transport.buffered import TCyBufferedTransport

from burdocksail.core import Instance, ResultSet
from burdocksail.node import Message
from burdocksail.wire._errors import WireError

PROTOCOL_VERSION = 1

Converter = Callable[[Any], Any]

with as_file(files("burdocksail.wire") / "peer.thrift") as idl_path:
    _idl = thriftpy2.load(str(idl_path), module_name="burdocksail_peer_thrift")

_MICROSECOND = timedelta(microseconds=1)


def _identity(value: Any) -> Any:
    return value


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


def _build_encoder(hint: Any) -> Converter:
    """Return the function that converts a value of type `hint` for thrift."""
    origin = typing.get_origin(hint)
    if origin in (types.UnionType, typing.Union):
        inner = _build_encoder(_strip_none(hint))
        return lambda value: None if value is None else inner(value)
    if origin is tuple:
        inner = _build_encoder(typing.get_args(hint)[0])
        return lambda values: [inner(value) for value in values]
    if hint is timedelta:
        return lambda value: value // _MICROSECOND
    if isinstance(hint, type) and issubclass(hint, Enum):
        return lambda value: value.value
    if is_dataclass(hint):
        return _find_encoder(hint)
    return _identity


def _build_decoder(hint: Any) -> Converter:
    """Return the function that converts a thrift value to type `hint`."""
    origin = typing.get_origin(hint)
    if origin in (types.UnionType, typing.Union):
        inner = _build_decoder(_strip_none(hint))
        return lambda value: None if value is None else inner(value)
    if origin is tuple:
        inner = _build_decoder(typing.get_args(hint)[0])
        return lambda values: tuple(inner(value) for value in values)
    if hint is timedelta:
        return lambda value: timedelta(microseconds=value)
    if isinstance(hint, type) and issubclass(hint, Enum):
        return hint
    if is_dataclass(hint):
        return _find_decoder(hint)
    return _require_type(hint)


def _require_type(hint: Any) -> Converter:
    def check(value: Any) -> Any:
        if not isinstance(value, hint):
            raise WireError(f"a field has type {type(value).__name__}")
        return value

    return check


def _strip_none(hint: Any) -> Any:
    return next(a for a in typing.get_args(hint) if a is not types.NoneType)


_encoders: dict[type, Converter] = {}
_decoders: dict[type, Converter] = {}


def _find_encoder(record_type: type) -> Converter:
    if record_type not in _encoders:
        _encoders[record_type] = _build_record_encoder(record_type)
    return _encoders[record_type]


def _find_decoder(record_type: type) -> Converter:
    if record_type not in _decoders:
        _decoders[record_type] = _build_record_decoder(record_type)
    return _decoders[record_type]


def _build_record_encoder(record_type: type) -> Converter:
    hints = typing.get_type_hints(record_type)
    converters = [(f.name, _build_encoder(hints[f.name])) for f in fields(record_type)]
    if record_type is ResultSet:
        converters = [
            (name, _encode_rows if name == "rows" else convert)
            for name, convert in converters
        ]
    struct = getattr(_idl, record_type.__name__)

    def encode(record: Any) -> Any:
        encoded = struct()
        for name, convert in converters:
            setattr(encoded, name, convert(getattr(record, name)))
        return encoded

    return encode


def _build_record_decoder(record_type: type) -> Converter:
    hints = typing.get_type_hints(record_type)
    converters = [(f.name, _build_decoder(hints[f.name])) for f in fields(record_type)]
    if record_type is ResultSet:
        converters = [
            (name, _decode_rows if name == "rows" else convert)
            for name, convert in converters
        ]

    def decode(struct: Any) -> Any:
        if struct is None:
            raise WireError(f"a {record_type.__name__} is missing")
        return record_type(
            *[convert(getattr(struct, name)) for name, convert in converters]
        )

    return decode


_MESSAGE_TYPES: dict[str, type] = {t.__name__: t for t in typing.get_args(Message)}


def _write(struct: Any) -> bytes:
    buffer = TMemoryBuffer()
    transport = TCyBufferedTransport(buffer)
    protocol = TCyBinaryProtocol(transport)
    protocol.write_struct(struct)
    transport.flush()
    return buffer.getvalue()


def _read(struct: Any, payload: bytes) -> Any:
    protocol = TCyBinaryProtocol(TCyBufferedTransport(TMemoryBuffer(payload)))
    protocol.read_struct(struct)
    return struct


def encode_message(message: Message) -> bytes:
    """Return the payload of a message."""
    name = type(message).__name__
    envelope = _idl.Envelope(**{name: _find_encoder(type(message))(message)})
    return _write(envelope)


def decode_message(payload: bytes) -> Message:
    """Return the message of a payload.

    Raises
    ------
    WireError
        If the payload is not exactly one well-formed message.
    """
    try:
        envelope = _read(_idl.Envelope(), payload)
        present = [n for n in _MESSAGE_TYPES if getattr(envelope, n) is not None]
        if len(present) != 1:
            raise WireError(f"an envelope holds {len(present)} messages")
        name = present[0]
        return _find_decoder(_MESSAGE_TYPES[name])(getattr(envelope, name))
    except WireError:
        raise
    except Exception as error:
        # The codec raises many kinds of errors on malformed input.
        raise WireError(f"malformed message: {type(error).__name__}") from error


def encode_hello(sender: Instance, nonce: bytes) -> bytes:
    """Return the payload of the first frame of a connection."""
    struct = _find_encoder(Instance)(sender)
    hello = _idl.Hello(sender=struct, nonce=nonce, protocol_version=PROTOCOL_VERSION)
    return _write(hello)


def decode_hello(payload: bytes) -> tuple[Instance, bytes]:
    """Return the sender and nonce of the first frame of a connection.

    Raises
    ------
    WireError
        If the payload is malformed or of another protocol version.
    """
    try:
        hello = _read(_idl.Hello(), payload)
        if hello.protocol_version != PROTOCOL_VERSION:
            raise WireError(f"protocol version {hello.protocol_version} is unknown")
        return _find_decoder(Instance)(hello.sender), _to_bytes(hello.nonce)
    except WireError:
        raise
    except Exception as error:
        raise WireError(f"malformed hello: {type(error).__name__}") from error
