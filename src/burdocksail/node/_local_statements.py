"""Statements that the entry instance answers itself.

They affect the session, not the data: the caller's options, its consistency
token and autocommit.
"""

import re
from dataclasses import replace

from burdocksail.core import (
    Column,
    ResultSet,
    decode_token,
)
from burdocksail.node._board import Blackboard, Session
from burdocksail.node._options import OptionError, parse_options

STRING_TYPE_CODE = 253  # MySQL protocol: MYSQL_TYPE_VAR_STRING

_SET = re.compile(r"^\s*SET\s+(?!GLOBAL\b|PERSIST\b)(.*?);?\s*$", re.I | re.S)
_ASSIGNMENT = re.compile(
    r"""\s*(?:SESSION\s+|LOCAL\s+|@@SESSION\.|@@LOCAL\.|@@)?(@?[A-Za-z_]\w*)\s*
    (?:=|:=)\s*('(?:[^'\\]|\\.|'')*'|"(?:[^"\\]|\\.)*"|[^,'"\s]+)\s*(?:,|$)""",
    re.I | re.X,
)
_CHARACTER_SET_CLAUSE = re.compile(
    r"^\s*(?:NAMES|CHARACTER\s+SET|CHARSET)\s+[\w'\"]+", re.I
)
_SELECT_TOKEN = re.compile(
    r"^\s*SELECT\s+@burdocksail_(token)(?:\s+AS\s+\w+)?\s*;?\s*$", re.I
)
_OPTION_PREFIX = "@burdocksail_"
_IGNORED_VARIABLES = frozenset(
    {
        "character_set_client",
        "character_set_connection",
        "character_set_results",
        "collation_connection",
    }
)
_AUTOCOMMIT_VALUES = {"1": True, "on": True, "true": True, "0": False, "off": False}
_AUTOCOMMIT_VALUES["false"] = False


def run_local_statement(
    board: Blackboard, session: Session, sql: str
) -> ResultSet | None:
    """Run a statement that affects only the session.

    Returns
    -------
    ResultSet or None
        None if the statement is for an upstream.

    Raises
    ------
    OptionError, TokenError
        If the statement sets an invalid value, or sets a server variable,
        which would persist on the pooled connection.
    """
    prefix = sql.lstrip()[:7].upper()
    if prefix.startswith("SET"):
        match = _SET.match(sql)
        if match is not None:
            _run_set(board, session, match[1])
            return ResultSet()
    if prefix == "SELECT " and _SELECT_TOKEN.match(sql):
        value = session.token.encode()
        column = Column("@burdocksail_token", STRING_TYPE_CODE)
        return ResultSet((column,), ((value,),))
    return None


def adopt_token(board: Blackboard, session: Session, token: str) -> None:
    """Merge the positions of a caller's token into what its session has seen.

    An empty token ends the session's tracking by tokens.

    Raises
    ------
    TokenError
        If the token was not signed by this platform.
    """
    if not token:
        session.has_token = False
        return
    positions = decode_token(token, board.settings.token_key)
    for group, position in positions.items():
        seen = session.seen_positions.get(group)
        if seen is None or position > seen:
            session.seen_positions[group] = position
    session.has_token = True


def _run_set(board: Blackboard, session: Session, body: str) -> None:
    if _CHARACTER_SET_CLAUSE.match(body):
        return
    position = 0
    options: dict[str, str] = {}
    while position < len(body):
        match = _ASSIGNMENT.match(body, position)
        if match is None:
            raise OptionError(f"SET {body[:40]!r} is not supported")
        position = match.end()
        _apply_assignment(session, match[1].lower(), _unquote(match[2]), options)
    token = options.pop("token", None)
    session.options = parse_options(options, session.options)
    if token is not None:
        adopt_token(board, session, token)


def _apply_assignment(
    session: Session, name: str, value: str, options: dict[str, str]
) -> None:
    if name.startswith(_OPTION_PREFIX):
        options[name.removeprefix(_OPTION_PREFIX)] = value
    elif name == "autocommit":
        enabled = _AUTOCOMMIT_VALUES.get(value.lower())
        if enabled is None:
            raise OptionError("autocommit is 0 or 1")
        session.autocommit = enabled
    elif name not in _IGNORED_VARIABLES:
        raise OptionError(
            f"variable {name!r} cannot be set: connections are shared by callers"
        )


def _unquote(text: str) -> str:
    if text[:1] in ("'", '"'):
        quote = text[0]
        return text[1:-1].replace(quote * 2, quote).replace("\\" + quote, quote)
    return "" if text.upper() in ("NULL", "DEFAULT") else text


def clear_request_key(session: Session) -> None:
    """Clear the session's request key, which applies to one statement only."""
    if session.options.request_key:
        session.options = replace(session.options, request_key="")
