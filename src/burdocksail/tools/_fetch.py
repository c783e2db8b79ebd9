"""Fetches JSON over HTTP for the commands that query an instance."""

from typing import Any

import aiohttp

from burdocksail.tools._errors import CommandError

TIMEOUT_S = 5


async def fetch_json(url: str) -> Any:
    """Return the JSON value at a URL.

    Raises
    ------
    CommandError
        If the server does not answer within `TIMEOUT_S`, or not with JSON.
    """
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.get(url) as response,
        ):
            return await response.json()
    except (aiohttp.ClientError, TimeoutError, ValueError) as error:
        raise CommandError(f"{url}: {error or type(error).__name__}") from error
