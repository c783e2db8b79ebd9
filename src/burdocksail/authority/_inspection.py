"""Asks servers for their state, and primaries to step down."""

import asyncio
from dataclasses import dataclass

import structlog

from burdocksail.catalog import Upstream
from burdocksail.ports import (
    ConnectionRefused,
    Connector,
    ServerStatus,
    UpstreamConnection,
    UpstreamLost,
)

CONNECT_TIMEOUT = 0.6  # seconds; two round trips across regions and a handshake
REPLY_TIMEOUT = 0.5  # seconds
BUSY_RETRY = 0.04  # seconds


@dataclass(frozen=True, slots=True)
class Inspected:
    """A server and what it said of itself."""

    upstream: Upstream
    status: ServerStatus


class Inspector:
    """Connections for the questions of one change of primary."""

    def __init__(self, connector: Connector):
        self._connector = connector
        self._connections: dict[str, UpstreamConnection] = {}
        self._log = structlog.get_logger()

    def close(self) -> None:
        """Close all connections."""
        for connection in self._connections.values():
            connection.close()
        self._connections.clear()

    async def inspect(self, upstream: Upstream, timeout: float) -> ServerStatus | None:
        """Return a server's state, None if it does not tell within `timeout`."""
        try:
            async with asyncio.timeout(timeout):
                return await self._ask_until_told(upstream, None)
        except TimeoutError:
            return None

    async def inspect_all(
        self, upstreams: list[Upstream], timeout: float
    ) -> list[Inspected]:
        """Return the states of the servers that tell within `timeout`."""
        states = await asyncio.gather(*[self.inspect(u, timeout) for u in upstreams])
        return [
            Inspected(upstream, status)
            for upstream, status in zip(upstreams, states, strict=True)
            if status is not None
        ]

    async def step_down(
        self, upstream: Upstream, term: int, timeout: float
    ) -> ServerStatus | None:
        """Make a primary a replica; None if it did not confirm in time."""
        try:
            async with asyncio.timeout(timeout):
                return await self._ask_until_told(upstream, term)
        except TimeoutError:
            return None

    async def _ask_until_told(
        self, upstream: Upstream, term: int | None
    ) -> ServerStatus | None:
        while True:
            try:
                connection = await self._connect(upstream)
                if term is None:
                    status = await connection.inspect(REPLY_TIMEOUT)
                else:
                    status = await connection.step_down(term, REPLY_TIMEOUT)
            except (ConnectionRefused, UpstreamLost) as error:
                self._connections.pop(upstream.id, None)
                self._log.info(
                    "server not inspected", upstream=upstream.id, reason=str(error)
                )
                status = None
            if status is not None:
                return status
            await asyncio.sleep(BUSY_RETRY)

    async def _connect(self, upstream: Upstream) -> UpstreamConnection:
        connection = self._connections.get(upstream.id)
        if connection is None or not connection.is_open:
            connection = await self._connector.connect(upstream, CONNECT_TIMEOUT)
            self._connections[upstream.id] = connection
        return connection
