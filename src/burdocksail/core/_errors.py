"""Root of the exception tree.

Each layer derives its own errors from `BurdocksailError` and turns the errors
of the layer below into its own, so that a handler never needs to know two
layers.
"""


class BurdocksailError(Exception):
    """Base class of every error that this package raises."""


class TokenError(BurdocksailError):
    """A consistency token is malformed or its signature is wrong."""
