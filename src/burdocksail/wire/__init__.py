"""Encoding and framing of messages between instances."""

from burdocksail.wire._codec import (
    decode_hello,
    decode_message,
    encode_hello,
    encode_message,
)
from burdocksail.wire._errors import WireError
from burdocksail.wire._frames import (
    MAX_FRAME_BYTES,
    NONCE_BYTES,
    FrameDecoder,
    FrameEncoder,
    derive_key,
)

__all__ = [
    "MAX_FRAME_BYTES",
    "NONCE_BYTES",
    "FrameDecoder",
    "FrameEncoder",
    "WireError",
    "decode_hello",
    "decode_message",
    "derive_key",
    "encode_hello",
    "encode_message",
]
