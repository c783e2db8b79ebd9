"""Errors that adapters raise."""

from burdocksail.core import BurdocksailError


class PortError(BurdocksailError):
    """Base class of the errors of adapters."""


class ConnectionRefused(PortError):
    """A connection to an upstream could not be made; nothing was sent."""


class WrongUpstream(ConnectionRefused):
    """Another upstream answers at the address."""


class TooManyConnections(ConnectionRefused):
    """The upstream has no connection left."""


class UpstreamLost(PortError):
    """A connection broke or overran its time after commands were sent.

    Attributes
    ----------
    replies : list of Reply
        Replies to the commands that were answered before.
    """

    def __init__(self, message: str, replies: list):
        super().__init__(message)
        self.replies = replies


class StoreUnavailable(PortError):
    """The store did not answer, or answered that it did nothing.

    Attributes
    ----------
    unknown : bool
        Whether a change may have been made, or may still be made.
    """

    def __init__(self, message: str, unknown: bool = False):
        super().__init__(message)
        self.unknown = unknown


class StoreConflict(PortError):
    """The object exists, or has another revision.

    Attributes
    ----------
    current : StoredObject or None
        The object as it is, if the store told it.
    """

    def __init__(self, message: str, current: object | None = None):
        super().__init__(message)
        self.current = current


class HistoryLost(PortError):
    """A watch asked for history that the store has discarded."""


class PromotionRefused(PortError):
    """The server to promote is not running; nothing was changed."""


class PromotionUnknown(PortError):
    """An order to promote was not answered and may still take effect."""
