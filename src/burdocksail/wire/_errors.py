"""Errors in the encoding and framing of messages."""

from burdocksail.core import BurdocksailError


class WireError(BurdocksailError):
    """A frame or message is malformed, too large or not authentic."""
