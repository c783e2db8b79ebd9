"""Conversion between dataclasses and thrift structs of the same names."""

from burdocksail.structs._codec import FieldCodec, StructCodec
from burdocksail.structs._envelope import EnvelopeCodec
from burdocksail.structs._errors import StructError

__all__ = ["EnvelopeCodec", "FieldCodec", "StructCodec", "StructError"]
