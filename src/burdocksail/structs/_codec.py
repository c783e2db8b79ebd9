"""Conversion between dataclasses and thrift bytes.

Converters are built once from the dataclasses' type hints, so that a message is
described in two places only: its dataclass and the IDL. `timedelta` values are
encoded as microseconds and enumerations as their values.
"""

import types
import typing
from collections.abc import Callable, Mapping
from dataclasses import dataclass, fields, is_dataclass
from datetime import timedelta
from enum import Enum
from typing import Any

from burdocksail.structs._containers import check_containers
from burdocksail.structs._errors import StructError
from burdocksail.structs._thrift import load_encoder

Converter = Callable[[Any], Any]

_MICROSECOND = timedelta(microseconds=1)


@dataclass(frozen=True, slots=True)
class FieldCodec:
    """Custom conversion of a field whose type hint does not determine it."""

    encode: Converter
    decode: Converter


def _identity(value: Any) -> Any:
    return value


def _unwrap_optional(hint: Any) -> Any:
    return next(a for a in typing.get_args(hint) if a is not types.NoneType)


def _require_type(hint: Any) -> Converter:
    def check(value: Any) -> Any:
        if not isinstance(value, hint):
            raise StructError(f"field has unexpected type {type(value).__name__}")
        return value

    return check


class StructCodec:
    """Converts dataclasses to and from the structs of an IDL.

    Parameters
    ----------
    idl : module
        Generated structures; each has the name of its dataclass.
    overrides : mapping of (type, str) to FieldCodec
        Custom conversions, by dataclass and field name.
    """

    def __init__(
        self, idl: Any, overrides: Mapping[tuple[type, str], FieldCodec] | None = None
    ):
        self._idl = idl
        self._overrides = overrides or {}
        self._encoders: dict[type, Converter] = {}
        self._decoders: dict[type, Converter] = {}

    def encode(self, record: Any) -> Any:
        """Return the struct for a dataclass instance."""
        return self._get_encoder(type(record))(record)

    def decode(self, record_type: type, struct: Any) -> Any:
        """Return the `record_type` instance for a struct.

        Raises
        ------
        StructError
            If a struct is missing, or a field is missing or has the wrong type.
            Structs of a wrong type, and missing or malformed enumerations, lists
            and durations, raise errors of other types.
        """
        return self._get_decoder(record_type)(struct)

    def write(self, struct: Any) -> bytes:
        """Return the serialized struct."""
        make_buffer, make_transport, make_protocol = load_encoder()
        buffer = make_buffer()
        transport = make_transport(buffer)
        make_protocol(transport).write_struct(struct)
        transport.flush()
        return buffer.getvalue()

    def read(self, struct: Any, payload: bytes) -> Any:
        """Fill `struct` from `payload` and return it.

        Errors of the thrift library on malformed bytes pass through.

        Raises
        ------
        StructError
            If a container announces more elements than there are.
        """
        check_containers(payload)
        make_buffer, make_transport, make_protocol = load_encoder()
        transport = make_transport(make_buffer(payload))
        make_protocol(transport).read_struct(struct)
        return struct

    def _get_encoder(self, record_type: type) -> Converter:
        if record_type not in self._encoders:
            self._encoders[record_type] = self._build_record_encoder(record_type)
        return self._encoders[record_type]

    def _get_decoder(self, record_type: type) -> Converter:
        if record_type not in self._decoders:
            self._decoders[record_type] = self._build_record_decoder(record_type)
        return self._decoders[record_type]

    def _build_record_encoder(self, record_type: type) -> Converter:
        hints = typing.get_type_hints(record_type)
        converters = []
        for item in fields(record_type):
            override = self._overrides.get((record_type, item.name))
            convert = (
                override.encode if override else self._build_encoder(hints[item.name])
            )
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
            override = self._overrides.get((record_type, item.name))
            convert = (
                override.decode if override else self._build_decoder(hints[item.name])
            )
            converters.append((item.name, convert))

        def decode(struct: Any) -> Any:
            if struct is None:
                raise StructError(f"required struct {record_type.__name__} is missing")
            return record_type(
                *[convert(getattr(struct, name)) for name, convert in converters]
            )

        return decode

    def _build_encoder(self, hint: Any) -> Converter:
        origin = typing.get_origin(hint)
        if origin in (types.UnionType, typing.Union):
            inner = self._build_encoder(_unwrap_optional(hint))
            return lambda value: None if value is None else inner(value)
        if origin is tuple:
            inner = self._build_encoder(typing.get_args(hint)[0])
            return lambda values: [inner(value) for value in values]
        if hint is timedelta:
            return lambda value: value // _MICROSECOND
        if isinstance(hint, type) and issubclass(hint, Enum):
            return lambda value: value.value
        if is_dataclass(hint):
            return self._get_encoder(hint)
        return _identity

    def _build_decoder(self, hint: Any) -> Converter:
        origin = typing.get_origin(hint)
        if origin in (types.UnionType, typing.Union):
            inner = self._build_decoder(_unwrap_optional(hint))
            return lambda value: None if value is None else inner(value)
        if origin is tuple:
            inner = self._build_decoder(typing.get_args(hint)[0])
            return lambda values: tuple(inner(value) for value in values)
        if hint is timedelta:
            return lambda value: timedelta(microseconds=value)
        if isinstance(hint, type) and issubclass(hint, Enum):
            return hint
        if is_dataclass(hint):
            return self._get_decoder(hint)
        return _require_type(hint)
