"""Base exceptions of the package.

Each layer derives its own errors from `BurdocksailError` and translates the
errors of the layer below into them, so that a handler only deals with the
errors of one layer.
"""


class BurdocksailError(Exception):
    """Base class of all errors raised by this package."""


class TokenError(BurdocksailError):
    """A consistency token is too long, malformed or not signed with the key."""
