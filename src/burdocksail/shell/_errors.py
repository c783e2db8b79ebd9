"""Errors of the asyncio adapters."""

from burdocksail.core import BurdocksailError


class ShellError(BurdocksailError):
    """Base of the errors of the asyncio adapters, except `ConnectionBrokenError`."""


class StoreCallError(ShellError):
    """The platform's store returned a status or body that is not understood."""
