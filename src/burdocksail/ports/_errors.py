"""Errors that adapters raise."""

from burdocksail.core import BurdocksailError


class PortError(BurdocksailError):
    """Base class of the errors that adapters raise."""


class ConnectionRefused(PortError):
    """A connection to an upstream could not be opened; no command was sent."""


class WrongUpstream(ConnectionRefused):
    """The server at the address is not the expected upstream."""


class TooManyConnections(ConnectionRefused):
    """The upstream accepts no more connections."""


class UpstreamLost(PortError):
    """A connection failed or timed out after commands were sent.

    Attributes
    ----------
    replies : list of Reply
        Replies that had arrived by then.
    """

    def __init__(self, message: str, replies: list):
        super().__init__(message)
        self.replies = replies


class StoreUnavailable(PortError):
    """The store did not answer, or answered that it did not carry the call out.

    Attributes
    ----------
    outcome_unknown : bool
        Whether the change that was asked for may have been made, or may still
        be made.
    """

    def __init__(self, message: str, outcome_unknown: bool = False):
        super().__init__(message)
        self.outcome_unknown = outcome_unknown


class StoreConflict(PortError):
    """The object already exists, does not exist, or has another revision.

    Attributes
    ----------
    current : StoredObject or None
        The current object, if the store returned it.
    """

    def __init__(self, message: str, current: object | None = None):
        super().__init__(message)
        self.current = current


class HistoryLost(PortError):
    """A watch starts at a revision after which the store has discarded changes."""


class PromotionRefused(PortError):
    """The order to promote was refused; nothing was changed.

    A server that is not running cannot be promoted.
    """


class PromotionUnknown(PortError):
    """An order to promote was not confirmed and may still take effect."""
