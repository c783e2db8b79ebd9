"""HTTP server for the in-memory store model, with fault injection by request."""

import asyncio
from dataclasses import asdict, dataclass

from aiohttp import web

from burdocksail.core import seconds
from burdocksail.node import (
    GetObject,
    ListedInstance,
    ListInstances,
    ListObjects,
    PutObject,
    StoreOperation,
    StoreReply,
    StoreStatus,
    WatchObjects,
)
from burdocksail.standin._store_model import (
    MAX_VALUE_BYTES,
    StoreModel,
    perform_watch,
)

WATCH_POLL_INTERVAL_S = 0.02
_HTTP_STATUSES = {
    StoreStatus.OK: 200,
    StoreStatus.MISSING: 404,
    StoreStatus.CONFLICT: 409,
}


@dataclass(slots=True)
class StoreServerFaults:
    """Faults of the store that are in effect.

    Attributes
    ----------
    down : bool
        Requests are answered with 503 and not performed.
    delay_s : float
        Delay before each request is handled, in seconds.
    lose_answers : bool
        Writes are performed, but answered with 503.
    """

    down: bool = False
    delay_s: float = 0.0
    lose_answers: bool = False


class StoreServer:
    """Serves a `StoreModel` over HTTP."""

    def __init__(self) -> None:
        self.model = StoreModel()
        self.faults = StoreServerFaults()
        self._runner: web.AppRunner | None = None

    async def start(self, host: str, port: int) -> int:
        """Start listening and return the port; the system picks it if `port` is 0."""
        application = web.Application(
            client_max_size=4 * MAX_VALUE_BYTES, middlewares=[self._inject_faults]
        )
        router = application.router
        router.add_get("/objects/{key:.+}", self._get)
        router.add_put("/objects/{key:.+}", self._put)
        router.add_get("/list", self._list)
        router.add_get("/watch", self._watch)
        router.add_get("/instances", self._instances)
        router.add_put("/instances", self._set_instances)
        router.add_get("/calls", self._calls)
        router.add_put("/faults", self._set_faults)
        self._runner = web.AppRunner(application, access_log=None)
        await self._runner.setup()
        await web.TCPSite(self._runner, host, port).start()
        return self._runner.addresses[0][1]

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self._runner is not None:
            await self._runner.cleanup()

    @web.middleware
    async def _inject_faults(
        self, request: web.Request, handler: object
    ) -> web.StreamResponse:
        if request.path in ("/faults", "/calls"):
            return await handler(request)
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        if self.faults.down:
            return web.json_response({}, status=503)
        response = await handler(request)
        if self.faults.down or (self.faults.lose_answers and request.method == "PUT"):
            return web.json_response({}, status=503)
        return response

    def _perform(self, operation: StoreOperation) -> web.Response:
        reply = self.model.perform(operation)
        assert reply is not None
        return _respond(reply)

    async def _get(self, request: web.Request) -> web.Response:
        return self._perform(GetObject(request.match_info["key"]))

    async def _put(self, request: web.Request) -> web.Response:
        body = await request.json()
        if len(body["value"].encode()) > MAX_VALUE_BYTES:
            return web.json_response({"error": "the value is too large"}, status=413)
        key = request.match_info["key"]
        operation = PutObject(key, body["value"], int(body["expected_version"]))
        return self._perform(operation)

    async def _list(self, request: web.Request) -> web.Response:
        return self._perform(ListObjects(request.query["prefix"]))

    async def _watch(self, request: web.Request) -> web.Response:
        timeout = seconds(int(request.query["timeout_ms"]) / 1000)
        operation = WatchObjects(
            request.query["prefix"], int(request.query["after_revision"]), timeout
        )
        end = asyncio.get_running_loop().time() + timeout.total_seconds()
        reply = self.model.perform(operation)
        while reply is None and asyncio.get_running_loop().time() < end:
            await asyncio.sleep(WATCH_POLL_INTERVAL_S)
            if self.faults.down:
                return web.json_response({}, status=503)
            reply = perform_watch(self.model, operation)
        return _respond(reply or self.model.make_reply(StoreStatus.OK))

    async def _instances(self, request: web.Request) -> web.Response:
        return self._perform(ListInstances())

    async def _set_instances(self, request: web.Request) -> web.Response:
        items = await request.json()
        self.model.instances = tuple(ListedInstance(**item) for item in items)
        return web.json_response({})

    async def _calls(self, request: web.Request) -> web.Response:
        return web.json_response(dict(self.model.calls))

    async def _set_faults(self, request: web.Request) -> web.Response:
        self.faults = StoreServerFaults(**await request.json())
        return web.json_response(asdict(self.faults))


def _respond(reply: StoreReply) -> web.Response:
    body = {
        "objects": [asdict(stored) for stored in reply.objects],
        "revision": reply.revision,
        "instances": [asdict(listed) for listed in reply.instances],
        "timeline": reply.timeline,
    }
    return web.json_response(body, status=_HTTP_STATUSES[reply.status])
