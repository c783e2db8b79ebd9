"""Errors of the shells."""

from burdocksail.core import BurdocksailError


class ShellError(BurdocksailError):
    """A shell cannot do what it was asked to."""


class StoreCallError(ShellError):
    """The platform's store gave no usable answer."""
