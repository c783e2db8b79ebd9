"""Stand-in for the platform's store and for its promotion API, as PROTOCOL.md says.

The store keeps everything in memory. Each instance gets a listening address of its
own, so that a scenario can cut the path of a single instance.
"""

import asyncio
import copy
import json
import time
from urllib.parse import parse_qs, unquote, urlsplit

PREFIX = "/burdocksail/objects/"
RESPONSE_DELAY = 0.004  # seconds; the page names 4 ms an answer


class StoreState:
    """Objects by kind and name, one revision counter, and the history.

    `era` is what the header Store-Era says in every answer.
    """

    def __init__(self):
        self.era = 1
        self.revision = 100
        self._first_revision = 0
        self.objects: dict[str, dict[str, dict]] = {}
        self.history: list[tuple[int, str, dict, bool]] = []
        self.changed = asyncio.Event()

    def take_copy(self) -> tuple[dict, int]:
        """Return a copy of the state."""
        return copy.deepcopy(self.objects), self.revision

    def restore(self, state: tuple[dict, int]) -> None:
        """Go back to a copy; the era rises by one, and the history is gone."""
        self.objects, self.revision = state
        self.history = []
        self._first_revision = self.revision
        self.era += 1
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def has_history(self, after: int) -> bool:
        """Return whether a watch may go on from a revision."""
        return self._first_revision <= after <= self.revision

    def put(self, kind: str, name: str, spec, create_only: bool = False) -> dict:
        """Write the spec of an object and return the object."""
        known = self.objects.setdefault(kind, {}).get(name)
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
        self.objects[kind][name] = stored
        self._record(kind, stored, False)
        return stored

    def delete(self, kind: str, name: str) -> None:
        """Remove an object if it exists."""
        stored = self.objects.get(kind, {}).pop(name, None)
        if stored is not None:
            self.revision += 1
            removed = {**stored, "meta": {**stored["meta"], "revision": self.revision}}
            self._record(kind, removed, True)

    def find_events(self, kind: str, after: int) -> list[dict]:
        """Return the events of a kind after a revision."""
        return [
            {"object": stored, "removed": removed}
            for revision, event_kind, stored, removed in self.history
            if revision > after and event_kind == kind
        ]

    def _record(self, kind: str, stored: dict, removed: bool) -> None:
        self.history.append((self.revision, kind, stored, removed))
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()


class HttpServer:
    """A small HTTP/1.1 server; a cut one keeps connections and answers nothing."""

    def __init__(self, record):
        self.record = record
        self.is_cut = False
        self.delay = RESPONSE_DELAY
        self._server: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> None:
        """Listen on an address."""
        self._server = await asyncio.start_server(self._serve, host, port)

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    def headers(self) -> str:
        """Return further header lines of each response."""
        return ""

    async def answer(self, method: str, target: str, headers: dict, body):
        """Return status and body of a response."""
        raise NotImplementedError

    async def _wait_until_healed(self) -> None:
        while self.is_cut:
            await asyncio.sleep(0.02)

    async def _serve(self, reader, writer) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                request, *lines = head.decode("latin-1").split("\r\n")
                headers = {}
                for line in lines:
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                payload = await reader.readexactly(
                    int(headers.get("content-length", 0))
                )
                method, target, _ = request.split(" ")
                if self.is_cut:
                    # What is sent into a cut does not arrive.
                    await asyncio.sleep(3600)
                status, body = await self.answer(
                    method, target, headers, json.loads(payload) if payload else None
                )
                await asyncio.sleep(self.delay)
                await self._wait_until_healed()
                data = json.dumps(body).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"{self.headers()}Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


class StoreServer(HttpServer):
    """The store at the address that one instance uses."""

    def __init__(self, state: StoreState, record):
        super().__init__(record)
        self._state = state

    def headers(self) -> str:
        """Return the line that names the era."""
        return f"Store-Era: {self._state.era}\r\n"

    async def answer(self, method: str, target: str, headers: dict, body):
        """Answer a call as the page says."""
        parts = urlsplit(target)
        kind, _, name = parts.path.removeprefix(PREFIX).partition("/")
        name = unquote(name)
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        if method == "GET" and not name:
            return await self._list_or_watch(kind, query)
        known = self._state.objects.get(kind, {}).get(name)
        if method == "POST":
            name = body["meta"]["name"]
            known = self._state.objects.get(kind, {}).get(name)
            if known is not None:
                return 409, known
            return 200, self._state.put(kind, name, body["spec"])
        if known is None:
            return 404, None
        if method == "GET":
            return 200, known
        expected = query.get("revision") or ((body or {}).get("meta") or {}).get(
            "revision"
        )
        if expected is not None and int(expected) != known["meta"]["revision"]:
            return 409, known
        if method == "PUT":
            return 200, self._state.put(kind, name, body["spec"])
        if method == "DELETE":
            self._state.delete(kind, name)
            return 200, known
        return 400, None

    async def _list_or_watch(self, kind: str, query: dict):
        state = self._state
        if "watch" not in query:
            names = sorted(state.objects.get(kind, {}))
            items = [
                state.objects[kind][n] for n in names if n > query.get("after", "")
            ]
            return 200, {"items": items, "more": False, "as_of": state.revision}
        after = int(query["watch"])
        end = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            if not state.has_history(after):
                return 410, None
            events = state.find_events(kind, after)
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "as_of": state.revision}
            try:
                await asyncio.wait_for(state.changed.wait(), left)
            except TimeoutError:
                continue


class CloudServer(HttpServer):
    """The platform's promotion API; `on_order` is called with each order."""

    def __init__(self, groups: dict, record, on_order=None):
        super().__init__(record)
        self._groups = groups
        self._on_order = on_order

    async def answer(self, method: str, target: str, headers: dict, body):
        """Answer POST /promotion."""
        if method != "POST" or target != "/promotion":
            return 404, None
        holder = headers.get("x-burdocksail-duty-holder")
        token = headers.get("x-burdocksail-fencing-token")
        self.record(
            "promotion ordered",
            service=body["service"],
            server=body["id"],
            holder=holder,
            token=token,
        )
        group = self._groups.get(body["service"])
        accepted = group is not None and group.promote(body["id"])
        if accepted and self._on_order is not None:
            self._on_order(body["service"], body["id"], holder)
        return (200, {}) if accepted else (409, {})
