"""Stand-in for the platform's metadata store and its promotion API.

Objects live in memory. The answers follow the pages: revisions, conditional writes,
watches, and a drill in which the store comes back from an earlier copy of itself.
"""

import asyncio
import copy
import json
from collections.abc import Callable
from urllib.parse import parse_qs, unquote, urlsplit

PAGE_ITEMS = 500
PAGE_BYTES = 1 << 20
PREFIX = "/burdocksail/objects/"
GONE = 410
ANSWER_TIME = 0.004  # seconds


class Store:
    """The store's objects, and the HTTP server in front of them.

    Attributes
    ----------
    era : int
        How often the store has come back from a copy.
    is_away : bool
        Whether it closes connections without an answer.
    orders : list of tuple
        Promotion orders: service, server, holder and fencing token.
    """

    def __init__(self) -> None:
        self.revision = 100
        self.era = 0
        self.is_away = False
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

    def take_copy(self) -> tuple:
        """Return a copy from which the store can come back."""
        return self.revision, copy.deepcopy(self._objects), list(self._events)

    def restore(self, taken: tuple) -> None:
        """Come back from a copy, in the next era; what was written since is gone."""
        self.revision, self._objects, self._events = taken
        self.era += 1
        self.is_away = False
        self._wake_watches()

    def _wake_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _record(self, kind: str, stored: dict, removed: bool) -> None:
        self._events.append((self.revision, kind, copy.deepcopy(stored), removed))
        self._wake_watches()

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
        is_order = target == "/promotion"
        era = self.era
        status, answer = await self._answer(method, target, headers, body)
        if not is_order and (self.is_away or era != self.era):
            return False
        content = json.dumps(answer).encode()
        writer.write(
            f"HTTP/1.1 {status} -\r\nContent-Type: application/json\r\n"
            f"Store-Era: {self.era}\r\n"
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
        if self.is_away:
            return 503, {}
        if "watch" in query:
            if int(query["watch"]) > self.revision:
                return GONE, {}
            return 200, await self._watch(kind, query)
        if method == "GET" and not name:
            page = self._list(kind, query.get("after", ""))
            await asyncio.sleep(ANSWER_TIME)
            return 200, page
        result = self._call(method, kind, name, body, query)
        await asyncio.sleep(ANSWER_TIME)
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
