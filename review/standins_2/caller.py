"""A caller of the line protocol."""

import asyncio
import itertools
from dataclasses import dataclass

LINE_LIMIT = (1 << 20) + 2
_numbers = itertools.count(1)


class Ended(Exception):
    """The connection has ended, or there was no answer in time."""


@dataclass(frozen=True, slots=True)
class Answer:
    """The answer to one query; `rows` holds the length of each row."""

    rows: tuple[str, ...]
    result: str
    state: str

    @property
    def is_success(self) -> bool:
        """Return whether the query succeeded."""
        return self.result.startswith("COMPLETE")


class Caller:
    """One session."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        self._reader, self._writer = reader, writer

    @classmethod
    async def open(cls, host: str, port: int, database: str) -> "Caller":
        """Start a session; raise `Ended` unless it is ready within 2 s."""
        try:
            async with asyncio.timeout(2.0):
                reader, writer = await asyncio.open_connection(
                    host, port, limit=LINE_LIMIT
                )
                writer.write(f"START {database} u1\r\n".encode())
                line = (await reader.readuntil(b"\r\n")).decode().strip()
        except (OSError, EOFError, TimeoutError) as error:
            raise Ended(repr(error)) from error
        if not line.startswith("READY"):
            writer.close()
            raise Ended(line)
        return cls(reader, writer)

    async def query(self, text: str, timeout: float = 15.0) -> Answer:
        """Send a query and return its answer."""
        request_id = f"{next(_numbers):016x}"
        rows: list[str] = []
        result = ""
        try:
            async with asyncio.timeout(timeout):
                self._writer.write(f"QUERY {request_id} {text}\r\n".encode())
                await self._writer.drain()
                while True:
                    line = (await self._reader.readuntil(b"\r\n")).decode()[:-2]
                    word, _, rest = line.partition(" ")
                    if word == "ROW":
                        rows.append(rest)
                    elif word == "READY":
                        return Answer(tuple(rows), result, rest.split(" ")[0])
                    else:
                        result = line
        except (OSError, EOFError, TimeoutError) as error:
            raise Ended(f"{result} {error!r}".strip()) from error

    def close(self) -> None:
        """End the session."""
        self._writer.close()
