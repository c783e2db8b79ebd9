"""HTTP interface of an instance for operators: state, metrics and readiness.

It is read-only. Operators control the platform only through records.
"""

from typing import Any, Protocol

from aiohttp import web


class StatusSource(Protocol):
    """Source of the state that the interface exposes."""

    def dump(self) -> dict[str, Any]:
        """Return the state of the process as JSON-compatible values."""
        ...

    def is_ready(self) -> bool:
        """Return whether the load balancer should route callers to this instance."""
        ...


class StatusServer:
    """Serves ``/dump``, ``/metrics`` and ``/ready``."""

    def __init__(self, source: StatusSource):
        self._source = source
        self._runner: web.AppRunner | None = None

    async def start(self, host: str, port: int) -> int:
        """Start to listen and return the port, which the system picks for port 0."""
        application = web.Application()
        application.router.add_get("/dump", self._dump)
        application.router.add_get("/metrics", self._metrics)
        application.router.add_get("/ready", self._ready)
        self._runner = web.AppRunner(application, access_log=None)
        await self._runner.setup()
        site = web.TCPSite(self._runner, host, port)
        await site.start()
        return self._runner.addresses[0][1]

    async def close(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _dump(self, request: web.Request) -> web.Response:
        return web.json_response(self._source.dump())

    async def _metrics(self, request: web.Request) -> web.Response:
        state = self._source.dump()
        return web.json_response(
            {"counters": state["counters"], "latencies": state["latencies"]}
        )

    async def _ready(self, request: web.Request) -> web.Response:
        ready = self._source.is_ready()
        return web.json_response({"ready": ready}, status=200 if ready else 503)
