"""Options that callers set by query attribute or by session variable."""

from collections.abc import Callable, Mapping
from dataclasses import replace
from datetime import timedelta
from typing import Any

from burdocksail.core import BurdocksailError, Freshness, WorkClass
from burdocksail.node._events import StatementOptions

MAX_KEY_CHARACTERS = 128
MAX_MILLISECONDS = 3_600_000


class OptionError(BurdocksailError):
    """An option set by a caller has an unknown name or a malformed value."""


def parse_options(
    values: Mapping[str, str], base: StatementOptions | None = None
) -> StatementOptions:
    """Return the options of a statement.

    Parameters
    ----------
    values : mapping of str to str
        Values by option name, without the ``burdocksail_`` prefix.
    base : StatementOptions, optional
        Options that apply where `values` gives none.

    Raises
    ------
    OptionError
        If a name is unknown or a value is malformed.
    """
    changes: dict[str, Any] = {}
    for name, text in values.items():
        parser = _PARSERS.get(name)
        if parser is None:
            known = ", ".join(sorted(_PARSERS))
            raise OptionError(f"unknown option {name!r}; known: {known}")
        field, parse = parser
        try:
            changes[field] = parse(text)
        except ValueError as error:
            raise OptionError(f"bad value for option {name!r}") from error
    return replace(base or StatementOptions(), **changes)


def _parse_key(text: str) -> str:
    if len(text) > MAX_KEY_CHARACTERS:
        raise ValueError("the request key is too long")
    return text


def _parse_milliseconds(text: str) -> timedelta | None:
    if text == "":
        return None
    value = int(text)
    if not 0 < value <= MAX_MILLISECONDS:
        raise ValueError("milliseconds out of range")
    return timedelta(milliseconds=value)


def _parse_boolean(text: str) -> bool:
    boolean = _OPTION_BOOLEANS.get(text.lower())
    if boolean is None:
        raise ValueError("not a boolean")
    return boolean


_OPTION_BOOLEANS = {"1": True, "true": True, "0": False, "false": False, "": False}

_PARSERS: dict[str, tuple[str, Callable[[str], Any]]] = {
    "token": ("token", str),
    "read": ("freshness", lambda text: Freshness(text) if text else None),
    "max_age_ms": ("max_age", _parse_milliseconds),
    "request_key": ("request_key", _parse_key),
    "deadline_ms": ("deadline", _parse_milliseconds),
    "repeatable": ("repeatable", _parse_boolean),
    "work_class": ("work_class", lambda text: WorkClass(text) if text else None),
}
