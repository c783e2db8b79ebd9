"""Conversion between dataclasses and thrift structs of the same names."""

from burdocksail.structs._codec import FieldCodec, StructCodec, StructError

__all__ = ["FieldCodec", "StructCodec", "StructError"]
