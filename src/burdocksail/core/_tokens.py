"""Consistency tokens that callers keep and send with their requests.

A token holds, per database group, the last position that a session has seen.
The token alone lets any instance serve the session, so instances keep no table
of all sessions. Tokens come from outside and are therefore signed: a forged one
could make every read of a group wait for a position that is never reached.
"""

import hashlib
import hmac
from collections.abc import Mapping

from burdocksail.core._errors import TokenError
from burdocksail.core._positions import LogPosition

SIGNATURE_HEX_DIGITS = 32  # 128 bits of the HMAC
MAX_TOKEN_CHARACTERS = 4096


def _sign(body: str, key: bytes) -> str:
    digest = hmac.new(key, body.encode(), hashlib.sha256).hexdigest()
    return digest[:SIGNATURE_HEX_DIGITS]


def encode_token(positions: Mapping[str, LogPosition], key: bytes) -> str:
    """Return a signed token that holds the last position seen of each group."""
    body = ",".join(
        f"{group}={position.term}.{position.sequence}"
        for group, position in sorted(positions.items())
    )
    return f"{body}~{_sign(body, key)}"


def decode_token(token: str, key: bytes) -> dict[str, LogPosition]:
    """Verify the signature of a token and return its position of each group.

    Raises
    ------
    TokenError
        If the token is too long, malformed or not signed with `key`.
    """
    if len(token) > MAX_TOKEN_CHARACTERS:
        raise TokenError("the consistency token is too long")
    body, separator, signature = token.rpartition("~")
    if not separator or not hmac.compare_digest(
        _sign(body, key).encode(), signature.encode()
    ):
        raise TokenError("the consistency token's signature is wrong")
    positions = {}
    try:
        for item in filter(None, body.split(",")):
            group, _, position = item.rpartition("=")
            term, _, sequence = position.partition(".")
            positions[group] = LogPosition(int(term), int(sequence))
    except ValueError as error:
        raise TokenError("the consistency token is malformed") from error
    return positions
