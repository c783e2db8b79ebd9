"""Randomized runs with callers and injected faults, checked by an observer.

The observer relies only on replies to callers and on the servers' logs, never on
the internal state of an instance.
"""

import asyncio
import itertools
import random
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import dataclass, field

from burdocksail.catalog import ReadPolicy
from burdocksail.core import (
    Begin,
    Commit,
    FailureKind,
    LogPosition,
    Rollback,
    Run,
    TransactionState,
)
from burdocksail.fakes._fleet import MAX_AGE, SERVICE, Fleet, make_catalog
from burdocksail.fakes._store import ANSWER_DELAY
from burdocksail.serving import CallerReply, CallerSession

NO_EFFECT_FAILURES = frozenset({FailureKind.BUSY, FailureKind.ABORTED})
CALLERS = 6
CALLER_INTERVAL = 0.25  # seconds between sessions of a caller, on average
FAULT_INTERVAL = 1.5  # seconds between faults, on average
FAULT_DURATIONS = (0.5, 8.0)  # seconds, shortest and longest
STORE_DELAYS = (0.05, 0.8)  # seconds; below the limit of a call
RESTORED_AGES = (1.0, 12.0)  # seconds that a restoration of the store loses
RECOVERY_TIME = 20.0  # seconds without faults, after which all must serve again
APPLY_TIME = 3.0  # seconds after which a configuration must be in force
DRAIN_TIME = 7.0  # seconds after which a draining server must get no new work


@dataclass(frozen=True, slots=True)
class AcknowledgedWrite:
    """A write that was acknowledged to a caller, at `acknowledged_at` seconds."""

    request_id: str
    position: LogPosition
    session: str
    acknowledged_at: float


@dataclass(slots=True)
class Observer:
    """Checks the guarantees given to callers, from outside the instances.

    Attributes
    ----------
    acknowledged : dict of str to AcknowledgedWrite
        Acknowledged writes by request id.
    reported_without_effect : set of str
        Request ids of writes whose caller was told that they have no effect.
    violations : list of str
        Violated guarantees, each with the time at which it was noticed.
    answered, failed : int
        Number of commands that succeeded and that did not.
    """

    fleet: Fleet
    acknowledged: dict[str, AcknowledgedWrite] = field(default_factory=dict)
    reported_without_effect: set[str] = field(default_factory=set)
    violations: list[str] = field(default_factory=list)
    answered: int = 0
    failed: int = 0

    def record_write(
        self, reply: CallerReply, request_id: str, session: str, now: float
    ) -> None:
        """Record the reply to a write, or to the COMMIT of one, and check it."""
        if reply.failure_kind in NO_EFFECT_FAILURES:
            self.reported_without_effect.add(request_id)
        elif reply.failure_kind is None:
            self._check_acknowledged(request_id, now)
            log_position = self._find_position(request_id)
            if log_position is not None:
                self.acknowledged[request_id] = AcknowledgedWrite(
                    request_id, log_position, session, now
                )

    def check_read(
        self,
        reply: CallerReply,
        policy: ReadPolicy,
        session: str,
        started_at: float,
    ) -> None:
        """Check that a read saw every write that its policy requires.

        Parameters
        ----------
        started_at : float
            Time at which the caller sent the first byte of the statement or, in a
            transaction, of its BEGIN.
        """
        read = self.fleet.database.reads[reply.rows[0]]
        rolled_back = self.fleet.database.rolled_back
        for write in self.acknowledged.values():
            if write.position in rolled_back:
                continue
            own = policy is ReadPolicy.OWN_WRITES and write.session == session
            age = 0.0 if policy is ReadPolicy.PRIMARY or own else MAX_AGE
            if write.acknowledged_at < started_at - age and (
                write.position not in read.positions
            ):
                self._report_violation(
                    f"stale read on {read.server} ({policy.value}) lacks "
                    f"{write.request_id} at {write.position}"
                )

    def check_end(self) -> None:
        """Check the guarantees that can be judged only at the end of the run."""
        for server in self.fleet.database.servers.values():
            ids = [entry.request_id for entry in server.log]
            if len(ids) != len(set(ids)):
                self._report_violation(
                    f"a write took effect twice at {server.upstream_id}"
                )
        kept = {e.request_id for e in self.fleet.database.current_primary(SERVICE).log}
        for request_id in self.reported_without_effect & kept:
            self._report_violation(
                f"{request_id} is kept though its caller was told it is not"
            )
        fencing_tokens = [
            fencing_token for _, fencing_token in self.fleet.database.fencing_tokens
        ]
        if fencing_tokens != sorted(fencing_tokens):
            self._report_violation(f"the fence went back: {fencing_tokens}")

    def _check_acknowledged(self, request_id: str, now: float) -> None:
        """Check that an acknowledged write was not taken by a replaced primary."""
        promotions = self.fleet.database.promotions
        for server in self.fleet.database.servers.values():
            for entry in server.log:
                if entry.request_id != request_id:
                    continue
                later = [
                    at
                    for at, _, _, term in promotions
                    if term > entry.position.term and at < entry.committed_at
                ]
                if later and server.term <= entry.position.term:
                    self._report_violation(
                        f"{request_id} acknowledged by a replaced primary"
                    )

    def _find_position(self, request_id: str) -> LogPosition | None:
        for server in self.fleet.database.servers.values():
            for entry in reversed(server.log):
                if entry.request_id == request_id:
                    return entry.position
        return None

    def _report_violation(self, violation: str) -> None:
        now = asyncio.get_running_loop().time()
        # A `VirtualLoop` starts at 1000 s; the run's own time starts at 0.
        self.violations.append(f"{now - 1000:.3f}: {violation}")


Fault = Callable[["World", float], Coroutine]


class World:
    """One run with random callers and faults, determined by its seed.

    Parameters
    ----------
    faults : sequence of callable
        Faults to draw from, `FAULTS` if empty.
    """

    def __init__(self, seed: int, instances: int = 4, faults: Sequence[Fault] = ()):
        self.random = random.Random(seed)
        self.fleet = Fleet()
        self.observer = Observer(self.fleet)
        self._instances = instances
        self._ids = itertools.count()
        self._stopping = False
        self._drawn_faults = faults or FAULTS
        self.faults: list[str] = []

    async def run(self, duration: float) -> None:
        """Inject faults for `duration` seconds, then wait for recovery and check it."""
        await self.fleet.start(self._instances)
        callers = [asyncio.create_task(self._run_caller(i)) for i in range(CALLERS)]
        await self._inject_faults(duration)
        await asyncio.sleep(RECOVERY_TIME)
        await self._check_recovery()
        await self._check_configuration()
        await self._check_draining()
        self._stopping = True
        await asyncio.gather(*callers)
        self.observer.check_end()
        self.fleet.stop()

    async def _run_caller(self, number: int) -> None:
        rng = random.Random(f"{number}/{self.random.random()}")
        while not self._stopping:
            await asyncio.sleep(rng.expovariate(1 / CALLER_INTERVAL))
            names = sorted(self.fleet.instances)
            if not names:
                continue
            policy = rng.choice(list(ReadPolicy))
            name = rng.choice(names)
            session_id = f"session-{next(self._ids)}"
            session = self.fleet.session(name, policy)
            instance = self.fleet.instances[name]
            try:
                for _ in range(rng.randint(1, 6)):
                    if self.fleet.instances.get(name) is not instance:
                        break
                    await self._run_operation(rng, session, session_id, policy)
            finally:
                await session.close()

    async def _run_operation(
        self,
        rng: random.Random,
        session: CallerSession,
        session_id: str,
        policy: ReadPolicy,
    ) -> None:
        kind = rng.random()
        if kind < 0.4:
            await self._read(session, session_id, policy)
        elif kind < 0.7:
            await self._write(session, session_id)
        else:
            await self._run_transaction(rng, session, session_id, policy)
        if session.state is not TransactionState.IDLE:
            await session.execute(Rollback(""))

    async def _read(self, session, session_id: str, policy: ReadPolicy) -> None:
        started_at = asyncio.get_running_loop().time()
        reply = await session.execute(Run(self._next_id(), "READ", False))
        self._count_reply(reply)
        if reply.failure_kind is None:
            self.observer.check_read(reply, policy, session_id, started_at)

    async def _write(self, session, session_id: str) -> None:
        request_id = self._next_id()
        reply = await session.execute(Run(request_id, "WRITE", True))
        self._count_reply(reply)
        now = asyncio.get_running_loop().time()
        self.observer.record_write(reply, request_id, session_id, now)

    async def _run_transaction(self, rng, session, session_id: str, policy) -> None:
        read_only = rng.random() < 0.4
        started_at = asyncio.get_running_loop().time()
        await session.execute(Begin(self._next_id(), read_only))
        written = None
        for _ in range(rng.randint(1, 3)):
            await asyncio.sleep(rng.random() * 0.05)
            if not read_only and rng.random() < 0.5:
                written = self._next_id()
                reply = await session.execute(Run(written, "WRITE", True))
            else:
                reply = await session.execute(Run(self._next_id(), "READ", False))
                if reply.failure_kind is None:
                    self.observer.check_read(reply, policy, session_id, started_at)
            if reply.failure_kind is not None:
                self._count_reply(reply)
                if written is not None:
                    self.observer.reported_without_effect.add(written)
                return
        if rng.random() < 0.2:
            return
        reply = await session.execute(Commit(self._next_id()))
        self._count_reply(reply)
        if written is not None:
            now = asyncio.get_running_loop().time()
            self.observer.record_write(reply, written, session_id, now)

    def _next_id(self) -> str:
        return f"request-{next(self._ids)}"

    def _count_reply(self, reply: CallerReply) -> None:
        if reply.failure_kind is None:
            self.observer.answered += 1
        else:
            self.observer.failed += 1

    async def _check_recovery(self) -> None:
        for name in sorted(self.fleet.instances):
            session = self.fleet.session(name, ReadPolicy.PRIMARY)
            reply = await session.execute(Run(self._next_id(), "WRITE", True))
            if reply.failure_kind is not None:
                self.observer.violations.append(
                    f"{name} does not serve after the faults: {reply.message}"
                )

    async def _check_configuration(self) -> None:
        """Check that a route added after the faults is served everywhere."""
        database = "added-last"
        version = self.fleet.published.version + 1
        self.fleet.publish(make_catalog(version, (database,)))
        await asyncio.sleep(APPLY_TIME)
        for name, instance in sorted(self.fleet.instances.items()):
            session = CallerSession(instance.serving, database)
            reply = await session.execute(Run(self._next_id(), "READ", False))
            if reply.failure_kind is not None:
                self.observer.violations.append(
                    f"{name} does not serve an added route: {reply.message}"
                )

    async def _check_draining(self) -> None:
        """Check that a replica that leaves after the faults gets no more reads."""
        database = self.fleet.database
        primary = database.current_primary(SERVICE).upstream_id
        replica = next(s for s in sorted(database.servers) if s != primary)
        self.fleet.draining.add(replica)
        await asyncio.sleep(DRAIN_TIME)
        earlier = set(database.reads)
        await asyncio.sleep(1.0)
        late = [r.server for row, r in database.reads.items() if row not in earlier]
        if replica in late:
            self.observer.violations.append(f"late read on {replica}, which leaves")

    async def _inject_faults(self, duration: float) -> None:
        loop = asyncio.get_running_loop()
        end = loop.time() + duration
        running: set[asyncio.Task] = set()
        while loop.time() < end:
            await asyncio.sleep(self.random.expovariate(1 / FAULT_INTERVAL))
            fault = self.random.choice(self._drawn_faults)
            length = self.random.uniform(*FAULT_DURATIONS)
            # A `VirtualLoop` starts at 1000 s; the run's own time starts at 0.
            self.faults.append(
                f"{loop.time() - 1000:.2f} {fault.__name__} {length:.2f}"
            )
            task = asyncio.create_task(fault(self, length))
            running.add(task)
        await asyncio.gather(*running)

    async def kill_instances(self, length: float) -> None:
        """Kill some or all instances, and restart them."""
        names = sorted(self.fleet.instances)
        count = self.random.choice([1, 1, 2, len(names)])
        killed = self.random.sample(names, min(count, len(names)))
        for name in killed:
            self.fleet.kill(name)
        await asyncio.sleep(length / 3)
        for name in killed:
            await self.fleet.start_instance(name)

    async def kill_leader(self, length: float) -> None:
        """Kill the leader, and restart it."""
        leader = self.fleet.leader()
        if leader is None:
            return
        name = leader.board.member.name
        self.fleet.kill(name)
        await asyncio.sleep(length)
        await self.fleet.start_instance(name)

    async def cut_instance(self, length: float) -> None:
        """Partition an instance from the others, and in half of the cases the store."""
        name = self.random.choice(sorted(self.fleet.clients))
        host = self.fleet.host(name)
        self.fleet.network.isolate(host, self.fleet.hosts())
        client = self.fleet.clients[name]
        client.down = self.random.random() < 0.5
        await asyncio.sleep(length)
        self.fleet.network.heal()
        client.down = False

    async def cut_store(self, length: float) -> None:
        """Fail all store calls of some or all instances.

        If all are affected, heartbeats of servers stop too.
        """
        names = sorted(self.fleet.clients)
        count = self.random.randint(1, len(names))
        for name in self.random.sample(names, count):
            self.fleet.clients[name].down = True
        self.fleet.heartbeats_stopped = count == len(names)
        await asyncio.sleep(length)
        self.fleet.heartbeats_stopped = False
        for name in names:
            self.fleet.clients[name].down = False

    async def lose_store_answers(self, length: float) -> None:
        """Apply changes of one instance in the store, but lose the answers."""
        client = self.fleet.clients[self.random.choice(sorted(self.fleet.clients))]
        client.lose_answers = True
        await asyncio.sleep(length)
        client.lose_answers = False

    async def slow_store(self, length: float) -> None:
        """Delay the calls of some or all instances before they are performed."""
        names = sorted(self.fleet.clients)
        slowed = self.random.sample(names, self.random.randint(1, len(names)))
        for name in slowed:
            self.fleet.clients[name].delay = self.random.uniform(*STORE_DELAYS)
        await asyncio.sleep(length)
        for name in slowed:
            self.fleet.clients[name].delay = ANSWER_DELAY

    async def delay_store_changes(self, length: float) -> None:
        """Apply changes of some or all instances some seconds late, unanswered."""
        names = sorted(self.fleet.clients)
        for name in self.random.sample(names, self.random.randint(1, len(names))):
            self.fleet.clients[name].change_delay = self.random.uniform(1.0, 6.0)
        await asyncio.sleep(length / 2)
        for name in names:
            self.fleet.clients[name].change_delay = 0.0

    async def forget_history(self, length: float) -> None:
        """Discard the history of changes that the store retains."""
        self.fleet.store.forget_history()

    async def hang_watches(self, length: float) -> None:
        """Leave the waiting watches of some or all instances unanswered."""
        names = sorted(self.fleet.clients)
        hanging = self.random.sample(names, self.random.randint(1, len(names)))
        for name in hanging:
            self.fleet.clients[name].hangs = True
        self.fleet.store.changed.notify()
        await asyncio.sleep(0.1)
        for name in hanging:
            self.fleet.clients[name].hangs = False

    async def restore_store(self, length: float) -> None:
        """Restore the store from a copy, after an outage; sometimes twice."""
        for _ in range(self.random.choice([1, 1, 2])):
            age = self.random.uniform(*RESTORED_AGES)
            await self.fleet.restore_store(age, self.random.uniform(0.0, length / 2))
            await asyncio.sleep(self.random.uniform(0.0, 2.0))

    async def crash_primary(self, length: float) -> None:
        """Crash the primary; it restarts with its log, as a replica if replaced."""
        server = self.fleet.database.current_primary(SERVICE)
        server.crash()
        await asyncio.sleep(length)
        server.alive = True
        current_primary = self.fleet.database.current_primary(SERVICE)
        if current_primary is not server:
            server.is_primary = False

    async def cut_primary(self, length: float) -> None:
        """Partition the primary from some or all instances and replicas."""
        server = self.fleet.database.current_primary(SERVICE)
        others = [*sorted(self.fleet.clients), *sorted(self.fleet.database.servers)]
        others.remove(server.upstream_id)
        count = self.random.randint(1, len(others))
        server.cut_from = set(self.random.sample(others, count))
        await asyncio.sleep(length)
        server.cut_from = set()

    async def cut_minority(self, length: float) -> None:
        """Partition the primary and one instance from everything else."""
        server = self.fleet.database.current_primary(SERVICE)
        name = self.random.choice(sorted(self.fleet.clients))
        server.cut_from = {*self.fleet.clients, *self.fleet.database.servers} - {
            name,
            server.upstream_id,
        }
        self.fleet.network.isolate(self.fleet.host(name), self.fleet.hosts())
        await asyncio.sleep(length)
        self.fleet.network.heal()
        server.cut_from = set()

    async def delay_replicas(self, length: float) -> None:
        """Delay or stop replication to servers."""
        for server in self.fleet.database.servers.values():
            server.replication_stopped = self.random.random() < 0.4
            server.lag = self.random.choice([0.02, 0.5, 3.0])
        await asyncio.sleep(length)
        for server in self.fleet.database.servers.values():
            server.replication_stopped = False
            server.lag = 0.02

    async def lose_answers(self, length: float) -> None:
        """Lose the answers of a server, which still runs the statements."""
        server = self.random.choice(list(self.fleet.database.servers.values()))
        server.lose_answer = True
        await asyncio.sleep(length / 4)
        server.lose_answer = False

    async def lose_orders(self, length: float) -> None:
        """Carry out orders to promote without confirming them."""
        self.fleet.database.lose_promotion_answers = True
        await asyncio.sleep(length)
        self.fleet.database.lose_promotion_answers = False

    async def drain_primary(self, length: float) -> None:
        """Announce that the primary is draining, and withdraw that later."""
        server = self.fleet.database.current_primary(SERVICE)
        self.fleet.draining.add(server.upstream_id)
        await asyncio.sleep(length)
        self.fleet.draining.discard(server.upstream_id)

    async def change_configuration(self, length: float) -> None:
        """Publish a catalog with other routes."""
        version = self.fleet.published.version + 1
        extra = tuple(f"extra-{i}" for i in range(self.random.randint(0, 5)))
        self.fleet.publish(make_catalog(version, extra))


# A crash and a partition of the primary are twice as likely as each other fault.
FAULTS = [
    World.kill_instances,
    World.kill_leader,
    World.cut_instance,
    World.cut_store,
    World.lose_store_answers,
    World.forget_history,
    World.crash_primary,
    World.crash_primary,
    World.cut_primary,
    World.cut_primary,
    World.delay_replicas,
    World.lose_answers,
    World.lose_orders,
    World.drain_primary,
    World.change_configuration,
]

# Restorations of the store among the faults that change what it holds.
RESTORATION_FAULTS = [
    World.restore_store,
    World.restore_store,
    World.restore_store,
    World.kill_instances,
    World.kill_leader,
    World.kill_leader,
    World.cut_instance,
    World.cut_store,
    World.lose_store_answers,
    World.slow_store,
    World.slow_store,
    World.delay_store_changes,
    World.hang_watches,
    World.crash_primary,
    World.crash_primary,
    World.cut_primary,
    World.drain_primary,
    World.change_configuration,
]
