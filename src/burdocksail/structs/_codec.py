"""Conversion between dataclasses and thrift bytes.

The converters are built once from the dataclasses' type hints, so that a
message is described in two places only: its dataclass and the IDL. Durations
travel as microseconds and enumerations as their values.
"""

import types
import typing
from collections.abc import Callable, Mapping
from dataclasses import dataclass, fields, is_dataclass
from datetime import timedelta
from enum import Enum
from typing import Any

from thriftpy2.protocol.cybin import TCyBinaryProtocol
from thriftpy2.transport import TMemoryBuffer
from thriftpy2.transport.buffered import TCyBufferedTransport

from burdocksail.core import BurdocksailError

Converter = Callable[[Any], Any]

_MICROSECOND = timedelta(microseconds=1)


class StructError(BurdocksailError):
    """Bytes of another process are not the struct that they should be."""


@dataclass(frozen=True, slots=True)
class FieldCodec:
    """Conversion of one field that its type hint does not describe."""

    encode: Converter
    decode: Converter


def _identity(value: Any) -> Any:
    return value


def _strip_none(hint: Any) -> Any:
    return next(a for a in typing.get_args(hint) if a is not types.NoneType)


def _require_type(hint: Any) -> Converter:
    def check(value: Any) -> Any:
        if not isinstance(value, hint):
            raise StructError(f"a field has type {type(value).__name__}")
        return value

    return check


class StructCodec:
    """Converts the dataclasses that an IDL has structs for.

    Parameters
    ----------
    idl : module
        Loaded thrift definitions; structs are found by the dataclass's name.
    special : mapping of (type, str) to FieldCodec
        Fields that need a conversion of their own.
    """

    def __init__(
        self, idl: Any, special: Mapping[tuple[type, str], FieldCodec] | None = None
    ):
        self._idl = idl
        self._special = special or {}
        self._encoders: dict[type, Converter] = {}
        self._decoders: dict[type, Converter] = {}

    def encode(self, record: Any) -> Any:
        """Return the struct of a dataclass."""
        return self._find_encoder(type(record))(record)

    def decode(self, record_type: type, struct: Any) -> Any:
        """Return the dataclass of a struct.

        Raises
        ------
        StructError
            If a field is missing or of another type.
        """
        return self._find_decoder(record_type)(struct)

    def write(self, struct: Any) -> bytes:
        """Return the bytes of a struct."""
        buffer = TMemoryBuffer()
        transport = TCyBufferedTransport(buffer)
        TCyBinaryProtocol(transport).write_struct(struct)
        transport.flush()
        return buffer.getvalue()

    def read(self, struct: Any, payload: bytes) -> Any:
        """Fill a struct from bytes."""
        transport = TCyBufferedTransport(TMemoryBuffer(payload))
        TCyBinaryProtocol(transport).read_struct(struct)
        return struct

    def _find_encoder(self, record_type: type) -> Converter:
        if record_type not in self._encoders:
            self._encoders[record_type] = self._build_record_encoder(record_type)
        return self._encoders[record_type]

    def _find_decoder(self, record_type: type) -> Converter:
        if record_type not in self._decoders:
            self._decoders[record_type] = self._build_record_decoder(record_type)
        return self._decoders[record_type]

    def _build_record_encoder(self, record_type: type) -> Converter:
        hints = typing.get_type_hints(record_type)
        converters = []
        for item in fields(record_type):
            special = self._special.get((record_type, item.name))
            convert = special.encode if special else self._encoder(hints[item.name])
            converters.append((item.name, convert))
        struct_type = getattr(self._idl, record_type.__name__)

        def encode(record: Any) -> Any:
            encoded = struct_type()
            for name, convert in converters:
                setattr(encoded, name, convert(getattr(record, name)))
            return encoded

        return encode

    def _build_record_decoder(self, record_type: type) -> Converter:
        hints = typing.get_type_hints(record_type)
        converters = []
        for item in fields(record_type):
            special = self._special.get((record_type, item.name))
            convert = special.decode if special else self._decoder(hints[item.name])
            converters.append((item.name, convert))

        def decode(struct: Any) -> Any:
            if struct is None:
                raise StructError(f"a {record_type.__name__} is missing")
            return record_type(
                *[convert(getattr(struct, name)) for name, convert in converters]
            )

        return decode

    def _encoder(self, hint: Any) -> Converter:
        origin = typing.get_origin(hint)
        if origin in (types.UnionType, typing.Union):
            inner = self._encoder(_strip_none(hint))
            return lambda value: None if value is None else inner(value)
        if origin is tuple:
            inner = self._encoder(typing.get_args(hint)[0])
            return lambda values: [inner(value) for value in values]
        if hint is timedelta:
            return lambda value: value // _MICROSECOND
        if isinstance(hint, type) and issubclass(hint, Enum):
            return lambda value: value.value
        if is_dataclass(hint):
            return self._find_encoder(hint)
        return _identity

    def _decoder(self, hint: Any) -> Converter:
        origin = typing.get_origin(hint)
        if origin in (types.UnionType, typing.Union):
            inner = self._decoder(_strip_none(hint))
            return lambda value: None if value is None else inner(value)
        if origin is tuple:
            inner = self._decoder(typing.get_args(hint)[0])
            return lambda values: tuple(inner(value) for value in values)
        if hint is timedelta:
            return lambda value: timedelta(microseconds=value)
        if isinstance(hint, type) and issubclass(hint, Enum):
            return hint
        if is_dataclass(hint):
            return self._find_decoder(hint)
        return _require_type(hint)
