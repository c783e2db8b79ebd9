"""Errors of this layer."""

from burdocksail.core import BurdocksailError


class StructError(BurdocksailError):
    """Received bytes or structs do not match the expected struct."""
