"""Conversion between dataclasses and thrift structs of the same names."""

from burdocksail.structs._codec import FieldCodec, StructCodec, StructError
from burdocksail.structs._envelope import EnvelopeCodec

__all__ = ["EnvelopeCodec", "FieldCodec", "StructCodec", "StructError"]
