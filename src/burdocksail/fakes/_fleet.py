"""Fleet of instances with in-memory store, network and servers.

All of them run on one event loop.
"""

import asyncio
import itertools
from dataclasses import dataclass, field, replace
from functools import partial

from burdocksail.agent import InstanceProcess
from burdocksail.board import Blackboard, Member, QuotaBounds
from burdocksail.catalog import (
    Catalog,
    ReadPolicy,
    Route,
    Service,
    Upstream,
    UpstreamRole,
    UpstreamState,
)
from burdocksail.fakes._network import MemoryNetwork, MemoryPeers
from burdocksail.fakes._servers import (
    MemoryConnector,
    MemoryDatabase,
    MemoryPromoter,
    MemoryServer,
)
from burdocksail.fakes._store import MemoryStore, MemoryStoreClient
from burdocksail.fakes._virtual_loop import LoopClock
from burdocksail.ports import ObjectKind, StoredObject
from burdocksail.serving import CallerSession

SERVICE = "orders"
PORT = 7440
DOMAINS = ("north", "east", "south")
HEARTBEAT_INTERVAL = 0.2  # seconds
HEARTBEAT_TIMEOUT = 0.6  # seconds without heartbeat until an entry is removed
MAX_AGE = 1.5  # seconds
LOST_PEER_LINGER = 3.0  # seconds until a server drops an unreachable peer
REWRITE_DELAY = 0.5  # seconds until operators write again what a restoration lost


class MemoryObjectDecoder:
    """Returns the catalogs and upstreams that stored objects hold in decoded form."""

    def decode_upstream(self, stored: StoredObject) -> Upstream | None:
        """Return the upstream of an object, or None if it holds none."""
        return stored.spec.get("upstream")

    def decode_catalog(self, stored: StoredObject) -> Catalog | None:
        """Return the catalog of an object, or None if it holds none."""
        return stored.spec.get("catalog")

    def conceal_secrets(self, stored: StoredObject) -> StoredObject:
        """Return the object unchanged; decoded catalogs hold no secrets."""
        return stored


def make_catalog(version: int = 1, databases: tuple[str, ...] = ()) -> Catalog:
    """Return a catalog with one route for each read policy of `SERVICE`.

    Parameters
    ----------
    databases : tuple of str
        Further databases, routed like that of the policy `PRIMARY`.
    """
    routes = {
        policy.value: Route(
            name=policy.value,
            database=policy.value,
            service=SERVICE,
            policy=policy,
            max_age=None if policy is ReadPolicy.PRIMARY else MAX_AGE,
            statement_timeout=1.0,
            target_latency=1.0,
            priority=1,
        )
        for policy in ReadPolicy
    }
    for database in databases:
        routes[database] = routes[ReadPolicy.PRIMARY.value]
    # Each server accepts 60 connections, and no replica is synchronous. A
    # transaction may be rolled back after 3 s idle; a statement may have 256 KiB.
    return Catalog(version, routes, {SERVICE: Service(SERVICE, 60, 0)}, 3.0, 1 << 18)


@dataclass(slots=True)
class Fleet:
    """Instances, servers, store and network of one test.

    Attributes
    ----------
    instances : dict of str to InstanceProcess
        Running instances by name.
    clients : dict of str to MemoryStoreClient
        Store clients by name of the instance, also of killed ones.
    draining : set of str
        Servers whose heartbeats announce that they are draining.
    heartbeats_stopped : bool
        Whether no server sends heartbeats.
    without_heartbeat : set of str
        Servers that send no heartbeats.
    published : Catalog or None
        Catalog that operators have written last.
    quota_bounds : QuotaBounds or None
        Bounds of the quotas of workspaces at instances that are started.
    """

    store: MemoryStore = field(default_factory=MemoryStore)
    network: MemoryNetwork = field(default_factory=MemoryNetwork)
    database: MemoryDatabase = field(default_factory=MemoryDatabase)
    instances: dict[str, InstanceProcess] = field(default_factory=dict)
    clients: dict[str, MemoryStoreClient] = field(default_factory=dict)
    draining: set[str] = field(default_factory=set)
    _tasks: list[asyncio.Task] = field(default_factory=list)
    _incarnations: itertools.count = field(default_factory=itertools.count)
    _last_heartbeats: dict[str, float] = field(default_factory=dict)
    heartbeats_stopped: bool = False
    without_heartbeat: set[str] = field(default_factory=set)
    published: Catalog | None = None
    _heartbeats: int = 0
    quota_bounds: QuotaBounds | None = None

    async def start(
        self, instances: int = 3, servers: int = 3, catalog: Catalog | None = None
    ) -> None:
        """Start servers, then instances, and wait until all are ready."""
        for index in range(servers):
            name = f"server-{index}"
            domain = DOMAINS[index % len(DOMAINS)]
            server = MemoryServer(name, SERVICE, domain, is_primary=index == 0)
            self.database.servers[name] = server
        self.publish(catalog or make_catalog())
        self._send_heartbeats()
        self._tasks.append(asyncio.create_task(self.database.replicate()))
        self._tasks.append(asyncio.create_task(self._send_heartbeats_periodically()))
        for index in range(instances):
            await self.start_instance(f"instance-{index}")
        await self.wait_until_ready()

    async def start_instance(self, name: str) -> InstanceProcess:
        """Start an instance, or restart a killed one, and return it."""
        index = int(name.rpartition("-")[2])
        loop = asyncio.get_running_loop()
        member = Member(
            name,
            f"run-{next(self._incarnations)}",
            DOMAINS[index % len(DOMAINS)],
            self.host(name),
            PORT,
        )
        board = Blackboard(member, LoopClock(loop), {d: d for d in DOMAINS})
        board.quotas.bounds = self.quota_bounds
        board.members.seeds = ((self.host("instance-0"), PORT),)
        client = self.clients.setdefault(name, MemoryStoreClient(self.store))
        instance = InstanceProcess(
            board,
            client,
            MemoryObjectDecoder(),
            MemoryConnector(self.database, name),
            MemoryPromoter(self.database),
            partial(MemoryPeers, self.network),
        )
        self.instances[name] = instance
        await instance.start()
        return instance

    def kill(self, name: str) -> None:
        """Abort an instance at once, as a crash would."""
        self.instances.pop(name).kill()

    def lose_power(self, name: str) -> None:
        """Stop an instance without its servers noticing for some seconds."""
        for server in self.database.servers.values():
            server.lose_peer(name, LOST_PEER_LINGER)
        self.kill(name)

    def host(self, name: str) -> str:
        """Return the address of an instance."""
        return f"10.0.0.{int(name.rpartition('-')[2]) + 1}"

    def hosts(self) -> list[str]:
        """Return the addresses of all instances, also of killed ones."""
        return [self.host(name) for name in self.clients]

    def publish(self, catalog: Catalog) -> None:
        """Write a catalog to the store."""
        self.published = catalog
        self.store.put(ObjectKind.CATALOG, "main", {"catalog": catalog})

    async def restore_store(self, age: float, outage: float = 0.0) -> None:
        """Take the store down and restore its state of `age` seconds ago.

        Operators and servers then write again what they had written since.

        Parameters
        ----------
        outage : float
            Seconds until the store answers again.
        """
        for client in self.clients.values():
            client.down = True
        self.heartbeats_stopped = True
        await asyncio.sleep(outage)
        self.store.restore(age)
        self.heartbeats_stopped = False
        for client in self.clients.values():
            client.down = False
        await asyncio.sleep(REWRITE_DELAY)
        self.publish(self.published)

    def leader(self) -> InstanceProcess | None:
        """Return the instance that considers itself leader, or None.

        If there are several, the one with the highest epoch is returned.
        """
        leading = [i for i in self.instances.values() if i.describe()["leading"]]
        return max(leading, key=lambda i: i.board.authority.epoch, default=None)

    def session(self, name: str, policy: ReadPolicy, key: str = "") -> CallerSession:
        """Open a session at an instance, on the route of a read policy."""
        return CallerSession(self.instances[name].serving, policy.value, key)

    async def wait_until_ready(self, timeout: float = 20.0) -> None:
        """Wait until every instance is ready and its lease lets it use the primary.

        Raises
        ------
        TimeoutError
            If that takes longer than `timeout` seconds.
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + timeout
        while not all(self._is_serving(i) for i in self.instances.values()):
            if loop.time() > end:
                raise TimeoutError("the fleet did not become ready in time")
            await asyncio.sleep(0.05)

    def stop(self) -> None:
        """Kill all instances and cancel the background tasks."""
        for name in list(self.instances):
            self.kill(name)
        for task in self._tasks:
            task.cancel()

    def _is_serving(self, instance: InstanceProcess) -> bool:
        board = instance.board
        admits_work = board.get_view_for_new_work(SERVICE) is not None
        return instance.is_ready and admits_work

    async def _send_heartbeats_periodically(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL)
            self._send_heartbeats()

    def _send_heartbeats(self) -> None:
        now = asyncio.get_running_loop().time()
        self._heartbeats += 1
        for server in self.database.servers.values():
            if self._sends_heartbeats(server):
                self._last_heartbeats[server.upstream_id] = now
                self._write_entry(server)
            elif (
                now - self._last_heartbeats.get(server.upstream_id, 0.0)
                > HEARTBEAT_TIMEOUT
            ):
                self.store.remove(ObjectKind.UPSTREAMS, server.upstream_id)

    def _write_entry(self, server: MemoryServer) -> None:
        """Write the entry of a server if more than its sequence has changed."""
        key = (ObjectKind.UPSTREAMS, server.upstream_id)
        entry = self._describe(server)
        stored = self.store.objects.get(key)
        if stored is not None:
            known = stored.spec["upstream"]
            if replace(known, sequence=entry.sequence) == entry:
                return
        self.store.put(*key, {"upstream": entry})

    def _sends_heartbeats(self, server: MemoryServer) -> bool:
        if self.heartbeats_stopped or server.upstream_id in self.without_heartbeat:
            return False
        return server.alive and "*" not in server.cut_from

    def _describe(self, server: MemoryServer) -> Upstream:
        is_draining = server.upstream_id in self.draining
        return Upstream(
            id=server.upstream_id,
            service=server.service,
            host=server.upstream_id,
            port=1,
            failure_domain=server.failure_domain,
            slots=4,
            state=UpstreamState.DRAINING if is_draining else UpstreamState.READY,
            role=UpstreamRole.PRIMARY if server.is_primary else UpstreamRole.REPLICA,
            started_at_ms=1,
            sequence=self._heartbeats,
        )
