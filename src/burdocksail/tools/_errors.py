"""Errors of the command line; `main` turns them into exit statuses."""

from burdocksail.core import BurdocksailError


class CommandError(BurdocksailError):
    """A command failed; the message is printed to the operator."""


class SettingError(CommandError):
    """A flag or environment variable has an invalid value.

    Parameters
    ----------
    flag : str
        The flag, such as ``--store-url``.
    reason : str
        Why the value is invalid.
    """

    def __init__(self, flag: str, reason: str):
        super().__init__(f"{flag}: {reason}")
        self.flag = flag
