"""Queries the status of servers and asks primaries to step down."""

import asyncio
from dataclasses import dataclass

from burdocksail.catalog import Upstream
from burdocksail.core import get_logger
from burdocksail.ports import (
    ConnectFailed,
    Connector,
    ServerStatus,
    UpstreamConnection,
    UpstreamLost,
)

CONNECT_TIMEOUT = 0.6  # seconds; two round trips across regions and a handshake
REPLY_TIMEOUT = 0.5  # seconds
RETRY_DELAY = 0.04  # seconds


@dataclass(frozen=True, slots=True)
class InspectedServer:
    """A server and the status that it reported."""

    upstream: Upstream
    status: ServerStatus


class Inspector:
    """Queries servers over connections that are kept for one change of primary."""

    def __init__(self, connector: Connector):
        self._connector = connector
        self._connections: dict[str, UpstreamConnection] = {}
        self._log = get_logger()

    def close(self) -> None:
        """Close all connections."""
        for connection in self._connections.values():
            connection.close()
        self._connections.clear()

    async def inspect(self, upstream: Upstream, timeout: float) -> ServerStatus | None:
        """Return a server's status.

        None if the server does not report within `timeout` seconds.
        """
        try:
            async with asyncio.timeout(timeout):
                return await self._query_until_answered(upstream, None)
        except TimeoutError:
            return None

    async def inspect_all(
        self, upstreams: list[Upstream], timeout: float
    ) -> list[InspectedServer]:
        """Return each server that reports within `timeout` seconds, with its status."""
        statuses = await asyncio.gather(*[self.inspect(u, timeout) for u in upstreams])
        return [
            InspectedServer(upstream, status)
            for upstream, status in zip(upstreams, statuses, strict=True)
            if status is not None
        ]

    async def step_down(
        self, upstream: Upstream, term: int, timeout: float
    ) -> ServerStatus | None:
        """Demote a primary to a replica and return its status.

        Parameters
        ----------
        term : int
            A primary of a lower term than this one steps down.

        Returns
        -------
        ServerStatus or None
            None if the server did not confirm within `timeout` seconds.
        """
        try:
            async with asyncio.timeout(timeout):
                return await self._query_until_answered(upstream, term)
        except TimeoutError:
            return None

    async def _query_until_answered(
        self, upstream: Upstream, term: int | None
    ) -> ServerStatus | None:
        """Return the server's status; with a `term`, ask it to step down first.

        Retry while the server is too busy to answer or cannot be reached.
        """
        while True:
            try:
                connection = await self._connect(upstream)
                if term is None:
                    status = await connection.inspect(REPLY_TIMEOUT)
                else:
                    status = await connection.step_down(term, REPLY_TIMEOUT)
            except (ConnectFailed, UpstreamLost) as error:
                self._connections.pop(upstream.id, None)
                self._log.info(
                    "server not inspected", upstream=upstream.id, reason=str(error)
                )
                status = None
            if status is not None:
                return status
            await asyncio.sleep(RETRY_DELAY)

    async def _connect(self, upstream: Upstream) -> UpstreamConnection:
        connection = self._connections.get(upstream.id)
        if connection is None or not connection.is_open:
            connection = await self._connector.connect(upstream, CONNECT_TIMEOUT)
            self._connections[upstream.id] = connection
        return connection
