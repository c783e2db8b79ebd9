"""Plays a load pattern on an in-memory fleet and records every request."""

import asyncio
import itertools
import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from hashlib import blake2b

from burdocksail.catalog import (
    Catalog,
    Route,
    Service,
    Workspace,
    Workspaces,
    digest_key,
)
from burdocksail.core import FailureKind, Run
from burdocksail.experiments._patterns import Event, EventKind, Pattern, RequestClass
from burdocksail.fakes import (
    DOMAINS,
    SERVICE,
    Fleet,
    ServerCapacity,
    run_in_virtual_time,
)
from burdocksail.serving import CallerReply, CallerSession

SALT = b"experiment"
SETTLE_TIME = 2.0  # seconds between the start of the fleet and the first request
NO_INSTANCE_DELAY = 0.25  # seconds until a caller without an instance tries again
GRADUAL_STEP = 0.05  # seconds between changes of a figure that changes gradually
FORWARDING_DELAY = 0.001  # seconds, one way between two instances
RETRYABLE = frozenset({FailureKind.BUSY, FailureKind.ABORTED})


@dataclass(slots=True)
class RequestRecord:
    """What became of a request; times are in seconds from the start of the pattern.

    Attributes
    ----------
    ended_at : float
        When the caller got its answer, or gave up.
    served : bool
        Whether it got an answer of a server.
    in_target : bool
        Whether it got that within the target of its class.
    failure : FailureKind or None
        Last failure of a request that was not served; None also if no instance
        took it.
    attempts : int
        Attempts of the caller.
    workspace : str
        Workspace of the caller; empty if the pattern has none.
    """

    request_class: RequestClass
    asked_at: float
    ended_at: float = 0.0
    served: bool = False
    in_target: bool = False
    failure: FailureKind | None = None
    attempts: int = 0
    workspace: str = ""


@dataclass(slots=True)
class Playback:
    """Result of one play of a pattern.

    Attributes
    ----------
    arrived, rejected : int
        Statements that arrived at servers, and statements and connections that
        servers rejected.
    opened : int
        Connections that were opened to servers.
    busiest_share : float
        Statements of the busiest server, over the mean of all.
    """

    pattern: Pattern
    seed: int
    requests: list[RequestRecord] = field(default_factory=list)
    arrived: int = 0
    rejected: int = 0
    opened: int = 0
    busiest_share: float = 1.0


def play(pattern: Pattern, seed: int) -> Playback:
    """Play a pattern in virtual time and return what happened."""
    return run_in_virtual_time(_Player(pattern, seed).run())


def _rank_instance(name: str, workspace: str) -> bytes:
    """Return the rank of an instance for a workspace by rendezvous hashing."""
    return blake2b(f"{name}/{workspace}".encode(), digest_size=8).digest()


class _Player:
    def __init__(self, pattern: Pattern, seed: int):
        self._pattern = pattern
        self._random = random.Random(f"{pattern.name}/{seed}")
        self._fleet = Fleet()
        self._playback = Playback(pattern, seed)
        self._ids = itertools.count()
        self._shifted_domains: dict[str, str] = {}
        self._rate_factors: dict[str, float] = {}
        workspaces = pattern.workspaces
        self._shares = {} if workspaces is None else workspaces.compute_shares()
        self._started_at = 0.0

    async def run(self) -> Playback:
        fleet = self._fleet
        server = self._pattern.server
        await fleet.start(self._pattern.instances, server.count, self._make_catalog())
        slots = itertools.chain(server.slots_by_server, itertools.repeat(server.slots))
        factors = itertools.chain(server.slow_factors, itertools.repeat(1.0))
        for memory_server in fleet.database.servers.values():
            memory_server.lag = server.lag
            memory_server.max_connections = server.max_connections
            memory_server.capacity = ServerCapacity(
                next(slots), server.queue, server.handshake, next(factors)
            )
        self._set_distances()
        await asyncio.sleep(SETTLE_TIME)
        self._started_at = asyncio.get_running_loop().time()
        try:
            await self._play_classes_and_events()
        finally:
            self._count_server_work()
            fleet.stop()
        return self._playback

    async def _play_classes_and_events(self) -> None:
        async with asyncio.TaskGroup() as group:
            for event in self._pattern.events:
                group.create_task(self._play_event(event))
            for request_class in self._pattern.classes:
                group.create_task(self._generate(request_class, group))

    def _set_distances(self) -> None:
        fleet = self._fleet
        for name, instance in fleet.instances.items():
            for server in fleet.database.servers.values():
                if instance.board.member.failure_domain != server.failure_domain:
                    delay = self._pattern.distance
                    fleet.database.link_delays[name, server.upstream_id] = delay

    def _make_catalog(self) -> Catalog:
        server = self._pattern.server
        routes = {
            c.name: Route(
                name=c.name,
                database=c.name,
                service=SERVICE,
                policy=c.policy,
                max_age=1.5,
                statement_timeout=c.timeout,
                target_latency=c.target,
                priority=c.priority,
            )
            for c in self._pattern.classes
        }
        services = {SERVICE: Service(SERVICE, server.max_connections, 0)}
        workspaces = self._make_workspaces()
        return Catalog(1, routes, services, 3.0, 1 << 18, workspaces)

    def _make_workspaces(self) -> Workspaces | None:
        """Return the workspaces; the key of each is its name."""
        pattern = self._pattern.workspaces
        if pattern is None:
            return None
        priorities = itertools.cycle(pattern.priorities)
        by_name = {n: Workspace(n, priority=next(priorities)) for n in self._shares}
        owners = {digest_key(name, SALT): name for name in self._shares}
        return Workspaces(by_name, SALT, owners)

    def _count_server_work(self) -> None:
        capacities = [
            s.capacity for s in self._fleet.database.servers.values() if s.capacity
        ]
        playback = self._playback
        playback.arrived = sum(c.arrived for c in capacities)
        playback.rejected = sum(c.rejected for c in capacities)
        playback.opened = sum(c.opened for c in capacities)
        mean = playback.arrived / max(1, len(capacities))
        playback.busiest_share = max(c.arrived for c in capacities) / max(1.0, mean)

    def _now(self) -> float:
        return asyncio.get_running_loop().time() - self._started_at

    async def _generate(
        self, request_class: RequestClass, group: asyncio.TaskGroup
    ) -> None:
        while True:
            factor = self._rate_factors.get(request_class.name, 1.0)
            rate = request_class.per_second * factor * sum(self._shares.values() or [1])
            await asyncio.sleep(self._random.expovariate(rate))
            if self._now() >= self._pattern.duration:
                return
            group.create_task(self._ask(request_class))

    async def _ask(self, request_class: RequestClass) -> None:
        """Play one caller's request with its retries."""
        record = RequestRecord(request_class, self._now())
        if self._shares:
            (record.workspace,) = self._random.choices(
                list(self._shares), list(self._shares.values())
            )
        self._playback.requests.append(record)
        deadline = record.asked_at + request_class.deadline
        domain = self._random.choice(DOMAINS)
        writes = self._random.random() < request_class.write_share
        work = request_class.work * self._random.lognormvariate(-0.125, 0.5)
        if self._random.random() < request_class.straggler_share:
            work *= request_class.straggler_factor
        while record.attempts <= self._pattern.retries:
            name = self._choose_instance(domain, record.workspace)
            if name is None:
                delay = NO_INSTANCE_DELAY
            else:
                record.attempts += 1
                reply = await self._attempt(name, record, writes, work)
                if reply.failure_kind is None:
                    record.served = True
                    break
                record.failure = reply.failure_kind
                if reply.failure_kind not in RETRYABLE and writes:
                    break
                delay = reply.retry_after or 0.0
            if self._now() + delay >= deadline:
                break
            await asyncio.sleep(delay)
        record.ended_at = self._now()
        record.in_target = record.served and (
            record.ended_at - record.asked_at <= request_class.target
        )

    def _choose_instance(self, domain: str, workspace: str) -> str | None:
        near = self._choose_near_instance(domain)
        workspaces = self._pattern.workspaces
        if near is None or workspaces is None or not workspaces.serving_set:
            return near
        ready = [n for n, i in self._fleet.instances.items() if i.is_ready]
        ranked = sorted(ready or [near], key=lambda n: _rank_instance(n, workspace))
        return self._random.choice(ranked[: workspaces.serving_set])

    def _choose_near_instance(self, domain: str) -> str | None:
        domain = self._shifted_domains.get(domain, domain)
        ready = [n for n, i in self._fleet.instances.items() if i.is_ready]
        near = [
            n
            for n in ready
            if self._fleet.instances[n].board.member.failure_domain == domain
        ]
        # A load balancer sends callers to instances that are not ready only if
        # there are no others.
        names = sorted(near or ready or self._fleet.instances)
        return self._random.choice(names) if names else None

    async def _attempt(
        self, name: str, record: RequestRecord, writes: bool, work: float
    ) -> CallerReply:
        instance = self._fleet.instances[name]
        request_class = record.request_class
        if self._pattern.workspaces and self._pattern.workspaces.serving_set:
            await asyncio.sleep(2 * FORWARDING_DELAY)
        await instance.wait_for_catalog(request_class.timeout)
        session = CallerSession(instance.serving, request_class.name, record.workspace)
        text = f"{'WRITE' if writes else 'READ'} work={work:.6f}"
        try:
            return await session.execute(Run(str(next(self._ids)), text, writes))
        finally:
            await session.close()

    async def _play_event(self, event: Event) -> None:
        await asyncio.sleep(event.at)
        await _EVENT_PLAYERS[event.kind](self, event)

    async def _burst(self, event: Event) -> None:
        self._rate_factors[event.target] = event.value
        await asyncio.sleep(event.duration)
        del self._rate_factors[event.target]

    async def _heat(self, event: Event) -> None:
        """Raise the share of a workspace; the requests of the others stay."""
        self._shares[event.target] *= event.value
        await asyncio.sleep(event.duration)
        self._shares[event.target] /= event.value

    async def _shift(self, event: Event) -> None:
        for domain in DOMAINS:
            self._shifted_domains[domain] = event.target
        await asyncio.sleep(event.duration)
        self._shifted_domains.clear()

    async def _change_capacity(self, event: Event) -> None:
        """Change one figure of a server's capacity for the duration of the event."""
        capacity = self._fleet.database.servers[event.target].capacity
        name = _CAPACITY_FIELDS[event.kind]
        usual = getattr(capacity, name)
        setattr(capacity, name, type(usual)(event.value))
        await asyncio.sleep(event.duration)
        setattr(capacity, name, usual)

    async def _slow(self, event: Event) -> None:
        """Slow a server down for the duration of the event, and let it recover."""
        capacity = self._fleet.database.servers[event.target].capacity
        usual = capacity.slow_factor
        await self._move_slow_factor(capacity, usual * event.value, event.over)
        await asyncio.sleep(event.duration - event.over)
        await self._move_slow_factor(capacity, usual, event.over)

    async def _move_slow_factor(
        self, capacity: ServerCapacity, factor: float, over: float
    ) -> None:
        """Change the slow factor, by the same ratio in each step."""
        steps = max(1, round(over / GRADUAL_STEP))
        ratio = (factor / capacity.slow_factor) ** (1 / steps)
        for _ in range(steps - 1):
            capacity.slow_factor *= ratio
            await asyncio.sleep(GRADUAL_STEP)
        capacity.slow_factor = factor

    async def _slow_link(self, event: Event) -> None:
        """Delay each message between an instance and a server by `value` seconds."""
        instance, _, server = event.target.partition("/")
        delays = self._fleet.database.link_delays
        usual = delays.get((instance, server), 0.0)
        delays[instance, server] = usual + event.value
        await asyncio.sleep(event.duration)
        delays[instance, server] = usual

    async def _lag(self, event: Event) -> None:
        replicas = [
            s for s in self._fleet.database.servers.values() if not s.is_primary
        ]
        for server in replicas:
            server.lag = event.value
        await asyncio.sleep(event.duration)
        for server in replicas:
            server.lag = self._pattern.server.lag

    async def _release(self, event: Event) -> None:
        """Drain and restart the replicas in turn."""
        servers = self._fleet.database.servers
        for name in [n for n, s in servers.items() if not s.is_primary]:
            self._fleet.draining.add(name)
            await asyncio.sleep(event.duration)
            servers[name].crash()
            await asyncio.sleep(event.value)
            servers[name].alive = True
            self._fleet.draining.discard(name)
            await asyncio.sleep(event.duration)

    async def _lose_power(self, event: Event) -> None:
        names = sorted(self._fleet.instances)
        for name in names:
            self._fleet.lose_power(name)
        await asyncio.sleep(event.duration)
        for name in names:
            await self._fleet.start_instance(name)

    async def _crash_primary(self, event: Event) -> None:
        self._fleet.database.current_primary(SERVICE).crash()


_CAPACITY_FIELDS = {
    EventKind.SHED: "queue",
    EventKind.FAIL: "failing_share",
    EventKind.SILENT: "silent_share",
}
_EVENT_PLAYERS: dict[EventKind, Callable[[_Player, Event], Coroutine]] = {
    EventKind.BURST: _Player._burst,
    EventKind.HOT: _Player._heat,
    EventKind.SHIFT: _Player._shift,
    EventKind.SLOW: _Player._slow,
    EventKind.SLOW_LINK: _Player._slow_link,
    EventKind.SHED: _Player._change_capacity,
    EventKind.FAIL: _Player._change_capacity,
    EventKind.SILENT: _Player._change_capacity,
    EventKind.LAG: _Player._lag,
    EventKind.RELEASE: _Player._release,
    EventKind.LOSE_POWER: _Player._lose_power,
    EventKind.CRASH_PRIMARY: _Player._crash_primary,
}
