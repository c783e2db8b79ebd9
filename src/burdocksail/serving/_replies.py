"""Replies and failures that a session returns to its caller."""

from dataclasses import dataclass

from burdocksail.core import (
    BurdocksailError,
    FailureKind,
    LogPosition,
    TransactionState,
)


@dataclass(frozen=True, slots=True)
class CallerReply:
    """Reply to one command of a caller.

    Attributes
    ----------
    failure_kind : FailureKind or None
        None if the command succeeded.
    retry_after : float or None
        Seconds after which a command without a lasting effect may be tried
        again.
    signature : str
        Proof by the server that it ran the command; empty if none did.
    state : TransactionState
        Transaction state of the session after the command.
    ends_session : bool
        Whether the caller's connection is to be closed after the reply.
    """

    state: TransactionState
    failure_kind: FailureKind | None = None
    message: str = ""
    retry_after: float | None = None
    signature: str = ""
    rows: tuple[str, ...] = ()
    position: LogPosition | None = None
    ends_session: bool = False


class CommandFailed(BurdocksailError):
    """A command was refused, has failed, or has an unknown outcome.

    Attributes
    ----------
    failure_kind : FailureKind
        Kind of failure that is reported to the caller.
    retry_after : float or None
        Seconds after which a command without a lasting effect may be tried
        again.
    """

    def __init__(
        self, failure_kind: FailureKind, message: str, retry_after: float | None = None
    ):
        super().__init__(message)
        self.failure_kind = failure_kind
        self.message = message
        self.retry_after = retry_after
