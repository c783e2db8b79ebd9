"""Replies and refusals that a session returns to its caller."""

from dataclasses import dataclass

from burdocksail.core import (
    BurdocksailError,
    LogPosition,
    Refusal,
    TransactionState,
)


@dataclass(frozen=True, slots=True)
class CallerReply:
    """Reply to one command of a caller.

    Attributes
    ----------
    refusal : Refusal or None
        None if the command succeeded.
    retry_after : float or None
        Seconds after which a command that has not run may be tried again.
    signature : str
        Proof by the server that it ran the command; empty if none did.
    state : TransactionState
        State of the session after the command.
    ends_session : bool
        Whether the caller's connection is to be closed after the reply.
    """

    state: TransactionState
    refusal: Refusal | None = None
    message: str = ""
    retry_after: float | None = None
    signature: str = ""
    rows: tuple[str, ...] = ()
    position: LogPosition | None = None
    ends_session: bool = False


class CommandRefused(BurdocksailError):
    """A command is refused or has failed.

    Attributes
    ----------
    refusal : Refusal
        Kind of refusal that the caller is told.
    retry_after : float or None
        Seconds after which a command that has not run may be tried again.
    """

    def __init__(
        self, refusal: Refusal, message: str, retry_after: float | None = None
    ):
        super().__init__(message)
        self.refusal = refusal
        self.message = message
        self.retry_after = retry_after
