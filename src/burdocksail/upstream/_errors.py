"""Errors that upstream servers answer with."""

from burdocksail.core import BurdocksailError


class UpstreamError(BurdocksailError):
    """An upstream server answered a statement with an error.

    Parameters
    ----------
    code : int
        MySQL error code.
    message : str
        The server's error message.
    """

    def __init__(self, code: int, message: str):
        super().__init__(message)
        self.code = code
        self.message = message
