"""Errors in records."""

from burdocksail.core import BurdocksailError


class RecordError(BurdocksailError):
    """A record is refused; the message names the field and the reason."""
