"""Stand-in for the platform's metadata store and its promotion API.

Objects live in memory. The answers follow the pages: revisions, conditional writes,
pages of a listing, watches. A case can delay answers and act between two pages.
"""

import asyncio
import copy
import json
from collections.abc import Awaitable, Callable
from urllib.parse import parse_qs, unquote, urlsplit

PAGE_ITEMS = 500
PAGE_BYTES = 1 << 20
PREFIX = "/burdocksail/objects/"


class Store:
    """The store's objects, and the HTTP server in front of them.

    Attributes
    ----------
    delay : float
        Seconds before each answer.
    on_page : callable or None
        Awaited after each page of a listing has been read and before it is sent.
        Called with the kind, the name from which the page goes on, and whether more
        follow.
    """

    def __init__(self) -> None:
        self.revision = 100
        self.delay = 0.004
        self.on_page: Callable[[str, str, bool], Awaitable[None]] | None = None
        self.promote: Callable[[str, str], int] = lambda service, upstream: 404
        self.orders: list[tuple[str, str, str, int]] = []
        self._objects: dict[str, dict[str, dict]] = {}
        self._events: list[tuple[int, str, dict, bool]] = []
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def open(self, host: str, port: int) -> None:
        """Listen on an address."""
        self._server = await asyncio.start_server(self._serve, host, port)

    def put(self, kind: str, name: str, spec: object) -> dict:
        """Write an object as the operator or a server does; return it."""
        known = self._objects.setdefault(kind, {}).get(name)
        if known is not None and known["spec"] == spec:
            return known
        self.revision += 1
        created = self.revision if known is None else known["meta"]["created"]
        stored = {
            "meta": {
                "name": name,
                "revision": self.revision,
                "created": created,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": None,
        }
        self._objects[kind][name] = stored
        self._record(kind, stored, removed=False)
        return stored

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        stored = self._objects.get(kind, {}).pop(name, None)
        if stored is not None:
            self.revision += 1
            self._record(kind, stored, removed=True)

    def get(self, kind: str, name: str) -> dict | None:
        """Return an object, None if there is none."""
        return self._objects.get(kind, {}).get(name)

    def _record(self, kind: str, stored: dict, removed: bool) -> None:
        self._events.append((self.revision, kind, copy.deepcopy(stored), removed))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while await self._serve_call(reader, writer):
                pass
        except (OSError, EOFError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _serve_call(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *rest = head.split("\r\n")
        method, target, _ = first.split(" ")
        fields = (line.partition(":") for line in rest if line)
        headers = {k.strip().lower(): v.strip() for k, _, v in fields}
        length = int(headers.get("content-length", 0))
        payload = await reader.readexactly(length) if length else b""
        body = json.loads(payload) if payload else {}
        status, answer = await self._answer(method, target, headers, body)
        content = json.dumps(answer).encode()
        writer.write(
            f"HTTP/1.1 {status} -\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(content)}\r\n\r\n".encode()
            + content
        )
        await writer.drain()
        return True

    async def _answer(
        self, method: str, target: str, headers: dict, body: dict
    ) -> tuple[int, object]:
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        if url.path == "/promotion":
            return self._order(headers, body)
        kind, _, name = url.path.removeprefix(PREFIX).partition("/")
        name = unquote(name)
        if "watch" in query:
            return 200, await self._watch(kind, query)
        if method == "GET" and not name:
            page = self._list(kind, query.get("after", ""))
            if self.on_page is not None:
                last = page["items"][-1]["meta"]["name"] if page["items"] else ""
                await self.on_page(kind, last, page["more"])
            await asyncio.sleep(self.delay)
            return 200, page
        result = self._call(method, kind, name, body, query)
        await asyncio.sleep(self.delay)
        return result

    def _order(self, headers: dict, body: dict) -> tuple[int, object]:
        holder = headers["x-burdocksail-duty-holder"]
        token = int(headers["x-burdocksail-fencing-token"])
        self.orders.append((body["service"], body["id"], holder, token))
        return self.promote(body["service"], body["id"]), {}

    def _list(self, kind: str, after: str) -> dict:
        names = sorted(n for n in self._objects.get(kind, {}) if n > after)
        items: list[dict] = []
        size = 0
        for name in names:
            stored = copy.deepcopy(self._objects[kind][name])
            size += len(json.dumps(stored))
            if items and (len(items) >= PAGE_ITEMS or size > PAGE_BYTES):
                break
            items.append(stored)
        more = len(items) < len(names)
        return {"items": items, "more": more, "as_of": self.revision}

    async def _watch(self, kind: str, query: dict) -> dict:
        since = int(query["watch"])
        loop = asyncio.get_running_loop()
        end = loop.time() + int(query.get("wait_ms", 0)) / 1000
        while True:
            events = [
                {"object": stored, "removed": removed}
                for revision, of, stored, removed in self._events
                if revision > since and of == kind
            ]
            left = end - loop.time()
            if events or left <= 0:
                return {"events": events, "as_of": self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                continue

    def _call(
        self, method: str, kind: str, name: str, body: dict, query: dict
    ) -> tuple[int, object]:
        meta = body.get("meta", {})
        if method == "POST":
            name = meta["name"]
            known = self.get(kind, name)
            return (409, known) if known else (200, self.put(kind, name, body["spec"]))
        known = self.get(kind, name)
        if known is None:
            return 404, {}
        if method == "GET":
            return 200, known
        revision = meta.get("revision", query.get("revision"))
        if revision is not None and int(revision) != known["meta"]["revision"]:
            return 409, known
        if method == "DELETE":
            self.remove(kind, name)
            return 200, known
        return 200, self.put(kind, name, body["spec"])
