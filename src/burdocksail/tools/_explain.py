"""Asks a running instance where a request would go, and prints its answer."""

from collections.abc import Mapping
from typing import Any

import aiohttp
from rich.console import Console
from rich.table import Table

from burdocksail.core import EXPLAIN_PATH
from burdocksail.tools._errors import CommandError

TIMEOUT_S = 1.0  # the instance only reads its own state
# Wide enough for all columns, so that output to a file or pipe is not cut.
MIN_WIDTH = 120
# Fields of a candidate in columns of their own; `load` shows the others.
NAMED_FIELDS = ("server", "primary", "for", "against", "cost_ms")


async def ask_instance(address: str, parameters: Mapping[str, str]) -> dict[str, Any]:
    """Return the answer of the instance at ``host:port``.

    Raises
    ------
    CommandError
        If the instance cannot be asked, or the question is malformed.
    """
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
    url = f"http://{address}{EXPLAIN_PATH}"
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.get(url, params=parameters) as response,
        ):
            status = response.status
            answer = await response.json() if status in (200, 400) else None
    except TimeoutError as error:
        reason = f"no answer within {TIMEOUT_S:g} s"
        raise CommandError(f"{address} cannot be asked: {reason}") from error
    except (aiohttp.ClientError, ValueError) as error:
        # The text of some errors holds the URL, and so the statement.
        reason = getattr(error, "strerror", None) or type(error).__name__
        raise CommandError(f"{address} cannot be asked: {reason}") from error
    if status == 400 and isinstance(answer, dict):
        raise CommandError(f"{address}: {answer.get('error', 'malformed question')}")
    if not isinstance(answer, dict) or "outcome" not in answer:
        reason = f"it does not know {EXPLAIN_PATH} (HTTP status {status})"
        raise CommandError(f"{address} cannot be asked: {reason}")
    return answer


def print_explanation(answer: Mapping[str, Any]) -> None:
    """Print an answer as tables."""
    console = Console(highlight=False, markup=False, emoji=False)
    console.width = max(console.width, MIN_WIDTH)
    facts = Table(show_header=False, box=None)
    for name, value in answer.items():
        if name not in ("candidates", "outcome"):
            facts.add_row(name, _format(value))
    console.print(facts)
    if answer["candidates"]:
        console.print(_make_candidates_table(answer["candidates"]))
    outcome = answer["outcome"]
    text = " ".join(part for part in (outcome["result"], outcome["server"]) if part)
    details = {n: v for n, v in outcome.items() if n not in ("result", "server")}
    console.print(f"{text}  {_format(details)}", soft_wrap=True)


def _make_candidates_table(candidates: list[Mapping[str, Any]]) -> Table:
    """Return one row for each server; the numbers that are 0 are only in the JSON."""
    table = Table(show_lines=True)
    for header in ("server", "for", "against", "cost, ms", "load"):
        table.add_column(header, overflow="fold")
    for candidate in candidates:
        mark = " (primary)" if candidate["primary"] else ""
        load = {n: v for n, v in candidate.items() if n not in NAMED_FIELDS}
        table.add_row(
            candidate["server"] + mark,
            "; ".join(candidate["for"]),
            "; ".join(candidate["against"]),
            _format_lines(candidate.get("cost_ms") or {}),
            _format_lines(load),
        )
    return table


def _format_lines(values: Mapping[str, Any]) -> str:
    """Return the fields that are not 0, one on each line."""
    return "\n".join(f"{n}={_format(v)}" for n, v in values.items() if v)


def _format(value: Any) -> str:
    """Return a value on one line; fields without a value are left out."""
    if isinstance(value, Mapping):
        parts = (f"{n}={_format(v)}" for n, v in value.items() if v not in (None, ""))
        return ", ".join(parts)
    if value is None:
        return ""
    return {True: "yes", False: "no"}[value] if isinstance(value, bool) else str(value)
