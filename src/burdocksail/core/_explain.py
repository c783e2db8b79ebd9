"""The question of `burdocksail explain`, and the form of its answer.

Both front ends take the same question by HTTP and return the same fields, so that one
command prints either.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qsl

from burdocksail.core._errors import BurdocksailError
from burdocksail.core._positions import LogPosition

EXPLAIN_PATH = "/explain"
PARAMETERS = ("database", "workspace", "statement", "position", "position_age_s")
MAX_POSITION_AGE = 3600.0  # seconds


class ExplainError(BurdocksailError):
    """The question is malformed. The message names the parameter, not its value."""


@dataclass(frozen=True, slots=True)
class ExplainQuery:
    """A request that is to be explained and not sent.

    Attributes
    ----------
    workspace : str
        Whose request it is: name of the workspace, or of the account on the MySQL
        front end. Keys and passwords are not accepted.
    position : LogPosition or None
        Position of the session's last commit; None if it has none.
    position_age : float
        Seconds since that commit.
    """

    database: str
    statement: str
    workspace: str = ""
    position: LogPosition | None = None
    position_age: float = 0.0


@dataclass(frozen=True, slots=True)
class ExplainOutcome:
    """What would become of the request now.

    Attributes
    ----------
    result : str
        ``runs`` at a server, ``waits`` until one can be chosen, ``refused``, or
        ``forwarded`` to the instance that decides; ``local`` if the instance answers
        it itself.
    server : str
        Server or instance that it would go to; empty if it goes nowhere.
    reason : str
        Why; empty for a request that runs.
    expected_wait : float
        Estimated seconds until it is sent; 0 if none is expected or nothing is known.
    retry_after : float or None
        Seconds after which a refused caller would be told to come back. Callers are
        spread at random, so each is told another time.
    """

    result: str
    server: str = ""
    reason: str = ""
    expected_wait: float = 0.0
    retry_after: float | None = None

    def describe(self) -> dict[str, Any]:
        """Return the outcome as JSON values."""
        return {
            "result": self.result,
            "server": self.server,
            "reason": self.reason,
            "expected_wait_ms": round(self.expected_wait * 1000, 1),
            "retry_after_ms": (
                None if self.retry_after is None else round(self.retry_after * 1000)
            ),
        }


@dataclass(slots=True)
class ExplainCandidate:
    """A server, with what counts for and against sending the request there.

    Attributes
    ----------
    load : mapping of str to object
        Queue, limit and expected times.
    """

    server: str
    is_primary: bool
    pros: list[str] = field(default_factory=list)
    cons: list[str] = field(default_factory=list)
    load: Mapping[str, Any] = field(default_factory=dict)

    def weigh(self, holds: bool, pro: str, con: str = "") -> None:
        """Add what counts for the server if it holds, else what counts against it."""
        text = pro if holds else con
        if text:
            (self.pros if holds else self.cons).append(text)

    def describe(self) -> dict[str, Any]:
        """Return the candidate as JSON values."""
        return {
            "server": self.server,
            "primary": self.is_primary,
            "for": self.pros,
            "against": self.cons,
            **self.load,
        }


def parse_explain_query(query_string: str) -> ExplainQuery:
    """Return the question that the query part of a URL holds.

    Raises
    ------
    ExplainError
        If a parameter is unknown, missing, repeated or malformed.
    """
    values: dict[str, str] = {}
    for name, value in parse_qsl(query_string, keep_blank_values=True):
        if name not in PARAMETERS or name in values:
            # The name is not repeated in the message: it may be a misplaced key.
            known = ", ".join(PARAMETERS)
            raise ExplainError(f"unknown or repeated parameter; known: {known}")
        values[name] = value
    for name in ("database", "statement"):
        if not values.get(name):
            raise ExplainError(f"{name}: is missing")
    return ExplainQuery(
        values["database"],
        values["statement"],
        values.get("workspace", ""),
        _parse_position(values.get("position", "")),
        _parse_age(values.get("position_age_s", "")),
    )


def _parse_position(text: str) -> LogPosition | None:
    if not text:
        return None
    term, _, sequence = text.partition(".")
    if not all(part.isascii() and part.isdigit() for part in (term, sequence)):
        raise ExplainError("position: has to be TERM.SEQUENCE")
    if max(len(term), len(sequence)) > 18:
        raise ExplainError("position: is out of range")
    return LogPosition(int(term), int(sequence))


def _parse_age(text: str) -> float:
    if not text:
        return 0.0
    try:
        age = float(text)
    except ValueError as error:
        raise ExplainError("position_age_s: is not a number") from error
    if not 0 <= age <= MAX_POSITION_AGE:
        raise ExplainError("position_age_s: is out of range")
    return age


def complete_answer(
    answer: dict[str, Any],
    outcome: ExplainOutcome,
    candidates: list[ExplainCandidate] | None = None,
) -> dict[str, Any]:
    """Return an answer with its candidates and its outcome, as JSON values."""
    described = [candidate.describe() for candidate in candidates or []]
    return {**answer, "candidates": described, "outcome": outcome.describe()}
