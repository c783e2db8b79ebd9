"""Errors of the wire layer."""

from burdocksail.core import BurdocksailError


class WireError(BurdocksailError):
    """A frame or message of a peer is malformed or not authentic."""
