"""Errors that adapters raise."""

from burdocksail.core import BurdocksailError


class PortError(BurdocksailError):
    """Base class of the errors that adapters raise."""


class ConnectFailed(PortError):
    """A connection to an upstream could not be opened; no command was sent."""


class WrongUpstream(ConnectFailed):
    """The server at the address is not the expected upstream."""


class TooManyConnections(ConnectFailed):
    """The upstream accepts no more connections."""


class UpstreamLost(PortError):
    """A connection failed, timed out or sent malformed data after commands were sent.

    Attributes
    ----------
    replies : list of Reply
        Replies that had arrived by then.
    """

    def __init__(self, message: str, replies: list):
        super().__init__(message)
        self.replies = replies


class StoreUnavailable(PortError):
    """The store did not answer, refused the call, or sent an unusable answer.

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
    """The store no longer holds all changes after the revision to watch from."""


class PromotionRefused(PortError):
    """The order to promote was refused; nothing was changed.

    The server is not running, or another fencing token is in force.
    """


class PromotionUnknown(PortError):
    """An order to promote was not confirmed and may still take effect."""
