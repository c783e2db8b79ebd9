"""A small deployment on loopback: store, servers, promotion API and instances."""

import asyncio
import time
from pathlib import Path

from databases import Group, Server
from fleet import CannotRun, Instance, Record, find_free_ports, make_settings
from metastore import CloudServer, StoreServer, StoreState

ZONES = {
    "piedmont-a": "piedmont",
    "coastal-a": "coastal",
    "wiregrass-a": "wiregrass",
}
# Bounds of the site tallapoosa-bells.
BOUNDS = {
    "seed_lag_s": 3,
    "addr_reuse_s": 2,
    "stable_window_ms": 5000,
    "ack_timeout_ms": 6000,
    "catch_up_s": 4,
    "drain_ms": 7000,
    "grace_s": 6,
    "loss_slack_ms": 200,
    "config_apply_ms": 4000,
    "downgrade_slack_ms": 250,
    "max_skew_ms": 15000,
    "recovery_s": 12,
    "fencing_required": False,
    "thaw_slack_ms": 300,
}
SERVICE = "ledger"
PRIMARY_ROUTE = "orders"
OWN_ROUTE = "engraving"
BOUNDED_ROUTE = "stock"
PROMOTE_DELAY = 0.6  # seconds; 600 ms in the site file
STORE_HOST = "127.77.9.{}"
CLOUD_HOST = "127.77.8.1"
SERVER_HOST = "127.77.5.{}"
READY_TIMEOUT = 30.0  # seconds
CROSS_REGION_DELAY = 0.020  # seconds, one way, as in the site file


def make_routes() -> list[dict]:
    """Return a route of each type, with the figures of tallapoosa-bells."""
    common = {"path_prefix": "/", "service": SERVICE, "max_attempts": 2}
    return [
        {
            "name": "r-1",
            "host": PRIMARY_ROUTE,
            "route_type": "primary",
            "timeout_ms": 1000,
            "target_latency_ms": 800,
            "priority": 1,
            **common,
        },
        {
            "name": "r-2",
            "host": BOUNDED_ROUTE,
            "route_type": "bounded_staleness",
            "timeout_ms": 3000,
            "target_latency_ms": 1200,
            "priority": 2,
            "max_staleness_ms": 1500,
            **common,
        },
        {
            "name": "r-3",
            "host": OWN_ROUTE,
            "route_type": "read_your_writes",
            "timeout_ms": 1000,
            "target_latency_ms": 1500,
            "priority": 2,
            "max_staleness_ms": 2500,
            **common,
        },
    ]


class Deployment:
    """Everything around the instances, and the instances."""

    def __init__(
        self,
        record: Record,
        folder: Path,
        instances: list[Instance],
        sync_replicas: int = 0,
    ):
        self.record = record
        self.store = StoreState()
        self.group = Group(SERVICE, record, PROMOTE_DELAY, sync_replicas)
        self.instances = instances
        self.store_servers: dict[str, StoreServer] = {}
        self.on_order = None
        self.store_zone = "piedmont-a"
        self.version = 0
        self._folder = folder
        self._server_port = 0
        self._server_count = 0

    async def start(self, instance_zones: list[str], server_zones: list[str]) -> None:
        """Start servers and instances; the first server is the primary.

        Returns once every instance is ready.
        """
        hosts = [f"127.77.{n}.1" for n in range(21, 21 + len(instance_zones))]
        other = [CLOUD_HOST, *(STORE_HOST.format(n) for n in range(1, len(hosts) + 1))]
        servers = [SERVER_HOST.format(n) for n in range(1, 13)]
        ports = find_free_ports([*hosts, *other, *servers], 6)
        self._server_port = ports[5]
        self.write_configuration(7)
        for number, zone in enumerate(server_zones):
            await self.add_server(zone, is_primary=number == 0)
        cloud = CloudServer(
            {SERVICE: self.group},
            self.record,
            lambda *order: self.on_order and self.on_order(*order),
        )
        await cloud.listen(CLOUD_HOST, ports[2])
        for number, (host, zone) in enumerate(
            zip(hosts, instance_zones, strict=True), 1
        ):
            name = f"edge-{zone}-{number}"
            store_host = STORE_HOST.format(number)
            self.store_servers[name] = StoreServer(self.store, self.record)
            if ZONES[zone] != ZONES[self.store_zone]:
                self.store_servers[name].delay += 2 * CROSS_REGION_DELAY
            await self.store_servers[name].listen(store_host, ports[2])
            settings = make_settings(
                name,
                host,
                zone,
                ZONES,
                ports,
                hosts[:3],
                f"{store_host}:{ports[2]}",
                f"{CLOUD_HOST}:{ports[2]}",
                BOUNDS,
            )
            instance = Instance(name, settings, self._folder, self.record)
            self.instances.append(instance)
            await instance.start()
        await self.wait_until_ready()

    def write_configuration(self, version: int) -> None:
        """Write the configuration under a version."""
        self.version = version
        self.store.put(
            "config",
            "main",
            {
                "version": version,
                "routes": make_routes(),
                "services": [
                    {
                        "name": SERVICE,
                        "health_path": "/health",
                        "max_conns": 60,
                        "protocol": "h1",
                        "tls": False,
                        "sync_replicas": self.group.sync_replicas,
                    }
                ],
                "limits": {"max_body_bytes": 262144, "tx_idle_ms": 3000},
            },
        )

    async def restore_store(self, state, outage: float) -> None:
        """Take the store away for a moment and let it come back from a copy.

        What the operator and the servers wrote since then is written again.
        """
        for server in self.store_servers.values():
            server.is_cut = True
        self.record("store away")
        await asyncio.sleep(outage)
        self.store.restore(state)
        self.write_configuration(self.version)
        for server in self.group.servers.values():
            if server.is_running:
                server.register()
        for server in self.store_servers.values():
            server.is_cut = False
        self.record("store back", era=self.store.era, revision=self.store.revision)

    async def add_server(self, zone: str, is_primary: bool = False, **speeds) -> Server:
        """Start another server of the service; it follows the present primary."""
        self._server_count += 1
        server = Server(
            self.group,
            f"i-{self._server_count:04x}",
            zone,
            SERVER_HOST.format(self._server_count),
            self._server_port,
            self.store,
            round(time.time() * 1000),
            **speeds,
        )
        if is_primary:
            self.group.primary = server
            server.is_primary = True
        elif self.group.primary is not None:
            server.follow(self.group.primary)
            server.applied = len(server.log)
        await server.start()
        self.record("server started", server=server.id, zone=zone)
        return server

    async def wait_until_ready(self) -> None:
        """Wait until every instance answers its ready probe with 200."""
        end = time.monotonic() + READY_TIMEOUT
        while True:
            states = [await i.is_ready() for i in self.instances]
            if all(states):
                return
            if time.monotonic() > end:
                raise CannotRun("instances do not get ready")
            await asyncio.sleep(0.2)

    async def find_leader(self) -> Instance:
        """Return the instance that leads."""
        for instance in self.instances:
            if (await instance.dump())["leading"]:
                return instance
        raise CannotRun("no instance leads")
