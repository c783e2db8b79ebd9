"""Client of the platform's store: HTTP with JSON bodies.

Every call has a timeout. A timeout, a broken connection and a malformed response
yield ``UNAVAILABLE``: the change may or may not have taken effect. Some
malformed bodies raise an error instead; see `StoreClient.call`.
"""

import asyncio
from datetime import timedelta
from functools import singledispatch
from typing import Any

import aiohttp

from burdocksail.node import (
    GetObject,
    ListedInstance,
    ListInstances,
    ListObjects,
    PutObject,
    StoredObject,
    StoreOperation,
    StoreReply,
    StoreStatus,
    WatchObjects,
)
from burdocksail.shell._errors import StoreCallError

_STATUSES = {
    200: StoreStatus.OK,
    404: StoreStatus.MISSING,
    409: StoreStatus.CONFLICT,
}


class StoreClient:
    """Client of the store at a base URL such as ``http://10.0.0.1:8500``."""

    def __init__(self, url: str):
        self._url = url.rstrip("/")
        self._session: aiohttp.ClientSession | None = None

    async def call(self, operation: StoreOperation, timeout: timedelta) -> StoreReply:
        """Perform an operation and return the reply.

        A failed call returns status ``UNAVAILABLE``.

        Raises
        ------
        AttributeError
            If the body of the response is JSON but not an object.
        OverflowError
            If a version or revision in the body is infinite.
        TypeError
            If `operation` is not a store operation.
        """
        if self._session is None:
            self._session = aiohttp.ClientSession()
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                return await _perform(operation, self)
        except (aiohttp.ClientError, TimeoutError, OSError, StoreCallError):
            return StoreReply(StoreStatus.UNAVAILABLE)

    async def close(self) -> None:
        """Close the connections to the store."""
        if self._session is not None:
            await self._session.close()

    async def request(self, method: str, path: str, **options: Any) -> StoreReply:
        """Send an HTTP request and decode the response.

        Raises
        ------
        StoreCallError
            If the status or the body of the response is not understood.
        """
        assert self._session is not None
        url = self._url + path
        async with self._session.request(method, url, **options) as response:
            status = _STATUSES.get(response.status)
            if status is None:
                raise StoreCallError(
                    f"unexpected HTTP status from the store: {response.status}"
                )
            try:
                return _decode_reply(status, await response.json())
            except (ValueError, KeyError, TypeError) as error:
                raise StoreCallError(
                    "malformed response body from the store"
                ) from error


@singledispatch
async def _perform(operation: StoreOperation, client: StoreClient) -> StoreReply:
    raise TypeError(f"not a store operation: {type(operation).__name__}")


@_perform.register
async def _(operation: GetObject, client: StoreClient) -> StoreReply:
    return await client.request("GET", f"/objects/{operation.key}")


@_perform.register
async def _(operation: PutObject, client: StoreClient) -> StoreReply:
    body = {"value": operation.value, "expected_version": operation.expected_version}
    return await client.request("PUT", f"/objects/{operation.key}", json=body)


@_perform.register
async def _(operation: ListObjects, client: StoreClient) -> StoreReply:
    return await client.request("GET", "/list", params={"prefix": operation.prefix})


@_perform.register
async def _(operation: WatchObjects, client: StoreClient) -> StoreReply:
    params = {
        "prefix": operation.prefix,
        "after_revision": str(operation.after_revision),
        "timeout_ms": str(round(operation.timeout.total_seconds() * 1000)),
    }
    return await client.request("GET", "/watch", params=params)


@_perform.register
async def _(operation: ListInstances, client: StoreClient) -> StoreReply:
    return await client.request("GET", "/instances")


def _decode_reply(status: StoreStatus, body: dict[str, Any]) -> StoreReply:
    return StoreReply(
        status,
        tuple(
            StoredObject(item["key"], int(item["version"]), item["value"])
            for item in body.get("objects", ())
        ),
        int(body.get("revision", 0)),
        tuple(ListedInstance(**item) for item in body.get("instances", ())),
        int(body.get("timeline", 0)),
    )
