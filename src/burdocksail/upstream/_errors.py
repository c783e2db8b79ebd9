"""Errors of the upstream layer."""

from burdocksail.core import BurdocksailError


class UpstreamError(BurdocksailError):
    """An upstream server answered a statement with an error.

    Parameters
    ----------
    code : int
        MySQL error code.
    message : str
        The server's explanation.
    """

    def __init__(self, code: int, message: str):
        super().__init__(message)
        self.code = code
        self.message = message
