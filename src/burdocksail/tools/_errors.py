"""Errors of the command line."""

from burdocksail.core import BurdocksailError


class CommandError(BurdocksailError):
    """A command cannot be carried out; the message is for the operator."""


class SettingError(CommandError):
    """A flag or environment variable has a bad value.

    Parameters
    ----------
    flag : str
        The flag, such as ``--store-url``.
    reason : str
        What is wrong with it.
    """

    def __init__(self, flag: str, reason: str):
        super().__init__(f"{flag}: {reason}")
        self.flag = flag
