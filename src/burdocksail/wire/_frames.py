"""Framing: a length, a message authentication code (MAC) and a payload.

The MAC is keyed by the platform's shared key and the nonces of both sides, and
covers a frame counter. A frame can therefore not be forged, altered, replayed,
dropped from the middle of the stream or taken from another connection.

The exception is the first frame of each side, the hello, which carries the nonce.
It is keyed by the shared key alone and can be replayed; the frames after it cannot.
"""

import hashlib
import hmac
import struct
from collections.abc import Iterator

from burdocksail.wire._errors import WireError

MAX_FRAME_BYTES = 64 * 1024 * 1024
MAC_BYTES = 16
NONCE_BYTES = 16

_HEADER = struct.Struct(f">I{MAC_BYTES}s")
_COUNTER = struct.Struct(">Q")


def derive_key(shared_key: bytes, sender_nonce: bytes, receiver_nonce: bytes) -> bytes:
    """Return the MAC key of the frames that one side of a connection sends."""
    material = b"frames" + sender_nonce + receiver_nonce
    return hmac.new(shared_key, material, hashlib.sha256).digest()


def _compute_mac(key: bytes, counter: int, payload: bytes) -> bytes:
    digest = hashlib.blake2b(key=key, digest_size=MAC_BYTES)
    digest.update(_COUNTER.pack(counter))
    digest.update(payload)
    return digest.digest()


class FrameEncoder:
    """Encodes the frames of one direction of a connection, in order."""

    def __init__(self, key: bytes):
        self._key = key
        self._counter = 0

    def encode(self, payload: bytes) -> bytes:
        """Return the next frame, with the given payload.

        Raises
        ------
        WireError
            If the payload is too large.
        """
        if len(payload) > MAX_FRAME_BYTES:
            raise WireError(f"a message of {len(payload)} bytes is too large")
        mac = _compute_mac(self._key, self._counter, payload)
        self._counter += 1
        return _HEADER.pack(len(payload), mac) + payload


class FrameDecoder:
    """Decodes and authenticates the frames of one direction of a connection.

    Parameters
    ----------
    key : bytes
        MAC key of the sender's frames.
    max_frame_bytes : int
        Size of the largest payload that is accepted.
    """

    def __init__(self, key: bytes, max_frame_bytes: int = MAX_FRAME_BYTES):
        self._key = key
        self._max_frame_bytes = max_frame_bytes
        self._counter = 0
        self._buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Buffer received bytes and yield the payloads of complete frames.

        Raises
        ------
        WireError
            If a frame is too long or not authentic.
        """
        self._buffer += data
        while len(self._buffer) >= _HEADER.size:
            length, mac = _HEADER.unpack_from(self._buffer)
            if length > self._max_frame_bytes:
                raise WireError(f"a frame of {length} bytes is too long")
            end = _HEADER.size + length
            if len(self._buffer) < end:
                return
            payload = bytes(self._buffer[_HEADER.size : end])
            del self._buffer[:end]
            expected = _compute_mac(self._key, self._counter, payload)
            if not hmac.compare_digest(mac, expected):
                raise WireError("the MAC of a frame does not match")
            self._counter += 1
            yield payload

    def rekey(self, key: bytes) -> None:
        """Switch to another key and restart the frame counter."""
        self._key = key
        self._counter = 0
