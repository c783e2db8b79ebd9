"""HTTP interface of an instance for operators: state, metrics and readiness.

It is read-only. Operators control the platform only through records.
"""

import asyncio
from typing import Any, Protocol

from aiohttp import web

from burdocksail.core import (
    EXPLAIN_PATH,
    ExplainError,
    ExplainQuery,
    parse_explain_query,
)
from burdocksail.intake import Account, Closing, Intake, Kind

# Probes ask each second; the library sets no limit on a connection's first request.
BACKLOG = 32
CHUNK_BYTES = 1 << 12  # read at once; requests for pages are short
KEEPALIVE_TIMEOUT_S = 5.0
CONNECTION_TIME_S = 60.0
REFUSAL = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"


class _LimitedProtocol(asyncio.BufferedProtocol):
    """Passes a connection to the library's protocol if the limits admit it."""

    def __init__(self, intake: Intake, inner: asyncio.Protocol):
        self._intake = intake
        self._inner = inner
        self._account: Account | None = None
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Admit the connection, or turn it away."""
        self._transport = transport
        self._account = self._intake.ledger.admit(Kind.PAGE, self._close)
        if self._account is None:
            transport.write(REFUSAL)
            transport.close()
            return
        self._account.count_unsent = transport.get_write_buffer_size
        # Its time to live limits it, so that slow requests need no other limit.
        self._intake.ledger.end_message(self._account)
        self._timer = asyncio.get_running_loop().call_later(
            CONNECTION_TIME_S, transport.abort
        )
        self._inner.connection_made(transport)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer that all connections share."""
        return self._intake.get_buffer(CHUNK_BYTES)

    def buffer_updated(self, nbytes: int) -> None:
        """Pass the data on."""
        if self._account is not None:
            self._inner.data_received(bytes(self._intake.get_buffer(nbytes)))

    def eof_received(self) -> bool | None:
        """Pass the end on."""
        return None if self._account is None else self._inner.eof_received()

    def pause_writing(self) -> None:
        """Pass the signal on."""
        self._inner.pause_writing()

    def resume_writing(self) -> None:
        """Pass the signal on."""
        self._inner.resume_writing()

    def connection_lost(self, exc: Exception | None) -> None:
        """Release the account."""
        if self._account is not None:
            self._intake.ledger.remove(self._account)
            self._timer.cancel()
            self._inner.connection_lost(exc)

    def _close(self, closing: Closing) -> None:
        self._transport.abort()


class StatusSource(Protocol):
    """Source of the state that the interface exposes."""

    def dump(self) -> dict[str, Any]:
        """Return the state of the process as JSON-compatible values."""
        ...

    def is_ready(self) -> bool:
        """Return whether the load balancer should route callers to this instance."""
        ...

    def explain(self, query: ExplainQuery) -> dict[str, Any]:
        """Return where a request would go now and why, as JSON-compatible values."""
        ...


class StatusServer:
    """Serves ``/dump``, ``/explain``, ``/metrics`` and ``/ready``."""

    def __init__(self, source: StatusSource, intake: Intake):
        self._source = source
        self._intake = intake
        self._server: asyncio.Server | None = None
        self._runner: web.AppRunner | None = None

    async def start(self, host: str, port: int) -> int:
        """Start to listen and return the port, which the system picks for port 0."""
        application = web.Application()
        application.router.add_get("/dump", self._dump)
        application.router.add_get(EXPLAIN_PATH, self._explain)
        application.router.add_get("/metrics", self._metrics)
        application.router.add_get("/ready", self._ready)
        self._runner = web.AppRunner(
            application, access_log=None, keepalive_timeout=KEEPALIVE_TIMEOUT_S
        )
        await self._runner.setup()
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _LimitedProtocol(self._intake, self._runner.server()),
            host,
            port,
            backlog=BACKLOG,
        )
        return self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()
        if self._runner is not None:
            await self._runner.cleanup()

    async def _dump(self, request: web.Request) -> web.Response:
        return web.json_response(self._source.dump())

    async def _explain(self, request: web.Request) -> web.Response:
        try:
            query = parse_explain_query(request.rel_url.raw_query_string)
        except ExplainError as error:
            return web.json_response({"error": str(error)}, status=400)
        return web.json_response(self._source.explain(query))

    async def _metrics(self, request: web.Request) -> web.Response:
        state = self._source.dump()
        names = ("counters", "latencies", "callers", "limits_reached")
        return web.json_response({name: state[name] for name in names if name in state})

    async def _ready(self, request: web.Request) -> web.Response:
        ready = self._source.is_ready()
        return web.json_response({"ready": ready}, status=200 if ready else 503)
