"""Instances that share the quotas of workspaces, without servers, store or sockets.

Runs the code that leases and issues tokens on a virtual clock, over a network that
loses, doubles and delays messages. Leaders are appointed by the world, several at a
time if a test wants that.
"""

import asyncio
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from burdocksail.authority import AllowanceIssuer, Follower
from burdocksail.board import Blackboard, Member, QuotaBounds
from burdocksail.catalog import Catalog, Workspace, Workspaces
from burdocksail.fakes._virtual_loop import LoopClock
from burdocksail.fleet import (
    Address,
    AllowanceDemands,
    AllowanceGrant,
    AllowanceHandover,
    AllowanceRequest,
    Allowances,
    Grant,
    Message,
    NotLeader,
    Renew,
)
from burdocksail.serving import AllowanceHolder
from burdocksail.serving._replies import CommandFailed

BOUNDS = QuotaBounds(5.0, 0.1, 20.0)
DOMAINS = 3
MAX_QUEUE_TIME = 0.02  # seconds from the reservation of a token to the sending
DELIVERY_TIME = (0.001, 0.02)  # seconds to a server


class _NoSnapshots:
    """Stands for the exchange of snapshots, which these worlds do without."""

    def record_peer_versions(self, *args: object) -> None:
        """Do nothing."""


@dataclass(slots=True)
class LossyNetwork:
    """Delivers messages with the faults that are set.

    Attributes
    ----------
    loss, doubling, lateness : float
        Shares of messages that are lost, sent twice, and late by up to `max_delay`.
    groups : dict of str to int
        Side of a partition on which each host is; 0 if it is not named.
    frozen : dict of str to list of callable
        Hosts that do not run, with the deliveries that wait for them.
    """

    random: random.Random
    loss: float = 0.0
    doubling: float = 0.0
    lateness: float = 0.0
    max_delay: float = 0.8
    groups: dict[str, int] = field(default_factory=dict)
    frozen: dict[str, list[Callable[[], None]]] = field(default_factory=dict)
    messages: int = 0

    def send(self, sender: str, receiver: str, deliver: Callable[[], None]) -> None:
        """Deliver a message once, twice or not at all."""
        self.messages += 1
        if sender in self.frozen:
            return
        if self.groups.get(sender, 0) != self.groups.get(receiver, 0):
            return
        copies = 2 if self.random.random() < self.doubling else 1
        for _ in range(copies):
            if self.random.random() < self.loss:
                continue
            delay = self.random.uniform(0.0005, 0.02)
            if self.random.random() < self.lateness:
                delay += self.random.uniform(0.0, self.max_delay)
            loop = asyncio.get_running_loop()
            loop.call_later(delay, self._arrive, receiver, deliver)

    def thaw(self, host: str) -> None:
        """Let a frozen host run again; it receives what has come meanwhile."""
        for deliver in self.frozen.pop(host, []):
            deliver()

    def _arrive(self, receiver: str, deliver: Callable[[], None]) -> None:
        if receiver in self.frozen:
            self.frozen[receiver].append(deliver)
        else:
            deliver()


class QuotaInstance:
    """One instance: its board, its follower, its holder, and its issuer if it leads."""

    def __init__(self, world: "QuotaWorld", index: int, run: int):
        loop = asyncio.get_running_loop()
        self.world = world
        self.index = index
        self.host = f"10.0.{index // 250}.{index % 250 + 1}"
        member = Member(f"i-{index}", f"run-{run}", str(index % DOMAINS), self.host, 1)
        self.board = Blackboard(member, LoopClock(loop), {})
        self.board.quotas.bounds = world.bounds
        self.board.catalog.catalog = world.catalog
        self.board.members.registered = world.registered
        world.registered[member.name] = member
        self.holder = AllowanceHolder(self.board, self.send, self.issue)
        self.follower = Follower(self.board, self, _NoSnapshots(), self.holder)
        self.issuer: AllowanceIssuer | None = None
        self.has_former_left = False
        self._tasks = [
            asyncio.create_task(self.follower.keep_lease()),
            asyncio.create_task(self.holder.run()),
        ]

    @property
    def leads(self) -> bool:
        """Return whether this instance believes that it is the leader."""
        return self.board.authority.leader == self.board.member

    def send(self, address: Address, message: Message) -> None:
        """Send a message to an instance."""
        receiver = self.world.by_host.get(address[0])
        if receiver is not None:
            self.world.network.send(
                self.host,
                receiver.host,
                lambda: receiver.receive(message, self.board.member.address),
            )

    def receive(self, message: Message, address: Address) -> None:
        """Handle a message as the authority does."""
        if self.world.by_host.get(self.host) is not self:
            return
        self._handle(message, address)
        if self.issuer is not None and not self.leads:
            self.issuer.close()
            leader = self.board.authority.leader
            self.issuer.hand_over(leader.address, self)

    def _handle(self, message: Message, address: Address) -> None:
        if isinstance(message, Renew):
            self._answer_renewal(message)
        elif isinstance(message, Grant):
            self.follower.handle_grant(message, address)
        elif isinstance(message, NotLeader):
            self.follower.handle_not_leader(message)
        elif isinstance(message, AllowanceRequest):
            answer = self.issue(message.member, message.epoch, message.demands)
            if answer is not None:
                grant = AllowanceGrant(self.board.member, message.epoch, answer)
                self.send(address, grant)
        elif isinstance(message, AllowanceGrant):
            self.holder.receive(message.epoch, message.allowances)
        elif isinstance(message, AllowanceHandover) and self.leads:
            self.issuer.receive_handover(message)

    def issue(
        self, member: Member, epoch: int, demands: AllowanceDemands
    ) -> Allowances | None:
        """Return the answer to demands, None while this instance does not lead."""
        return self.issuer.answer(member, epoch, demands) if self.leads else None

    def lead(self, epoch: int, former: Member | None) -> None:
        """Begin a leadership and notify all instances."""
        self.has_former_left = former is None
        self.former = former
        self.issuer = AllowanceIssuer(self.board, epoch, lambda: self.has_former_left)
        self.follower.adopt_leader(epoch, self.board.member)
        for other in self.world.by_host.values():
            if other is not self:
                self.send(other.board.member.address, self._make_grant(0.0))

    def renew_own(self) -> None:
        """Record that this leader hears itself."""
        if self.leads:
            now = self.board.now()
            self.board.quotas.record_sign(now, now)
            self.board.quotas.record_answer(now, len(self.world.registered))

    def stop(self) -> None:
        """End without a notice."""
        for task in self._tasks:
            task.cancel()

    def _answer_renewal(self, renewal: Renew) -> None:
        if not self.leads:
            authority = self.board.authority
            answer = NotLeader(self.board.member, authority.epoch, authority.leader)
            self.send(renewal.member.address, answer)
            return
        self.issuer.record_renewal(renewal)
        if (
            renewal.member == self.former
            and renewal.epoch >= self.board.authority.epoch
        ):
            self.has_former_left = True
        answer = None
        if renewal.allowances is not None:
            answer = self.issue(renewal.member, renewal.epoch, renewal.allowances)
        grant = replace(self._make_grant(renewal.sent_at), allowances=answer)
        self.send(renewal.member.address, grant)

    def _make_grant(self, echo: float) -> Grant:
        authority = self.board.authority
        return Grant(
            leader=self.board.member,
            epoch=authority.epoch,
            generation=0,
            echo=echo,
            extends_evidence=False,
            groups=(),
            alive=len(self.world.by_host),
            catalog_version=0,
            directory_revision=0,
            store_works=True,
            samples=(),
            registered=len(self.world.registered),
            monitor=False,
            leader_time=self.board.now(),
        )


@dataclass(slots=True)
class WorkspaceRecord:
    """What became of the operations of one workspace.

    Attributes
    ----------
    arrivals : list of float
        When operations arrived at servers.
    offered, refused, lost : int
        Operations; those refused at the first attempt; those that were refused at
        every attempt.
    refusals : list of (float, bool)
        When operations came, and whether they were refused at the first attempt.
    waits : list of float
        Seconds that operations which were not refused waited for a token.
    """

    arrivals: list[float] = field(default_factory=list)
    offered: int = 0
    refused: int = 0
    lost: int = 0
    refusals: list[tuple[float, bool]] = field(default_factory=list)
    waits: list[float] = field(default_factory=list)

    def count_refused_below(self, workspace: Workspace, since: float) -> int:
        """Return how many operations a single bucket of that size would not refuse.

        Counts those that came after `since` and were refused.
        """
        depth = max(1.0, workspace.burst)
        level, filled_at, refused = depth, 0.0, 0
        for at, was_refused in sorted(self.refusals):
            level = min(depth, level + workspace.rate * (at - filled_at))
            filled_at = at
            if level >= 1.0:
                level -= 1.0
                refused += was_refused and at >= since
        return refused

    def find_peak(self, window: float) -> int:
        """Return the largest number of arrivals in any window."""
        recent: deque[float] = deque()
        peak = 0
        for at in sorted(self.arrivals):
            recent.append(at)
            while recent[0] <= at - window:
                recent.popleft()
            peak = max(peak, len(recent))
        return peak


class QuotaWorld:
    """Instances, their network, and callers with a given load.

    Attributes
    ----------
    weights : callable
        Returns the shares of the load that arrive at each instance at a time.
    """

    def __init__(
        self,
        instances: int,
        workspaces: list[Workspace],
        seed: int,
        bounds: QuotaBounds = BOUNDS,
        retries: int = 2,
    ):
        self.random = random.Random(seed)
        self.network = LossyNetwork(self.random)
        self.bounds = bounds
        self.retries = retries
        self.registered: dict[str, Member] = {}
        self.by_host: dict[str, QuotaInstance] = {}
        self.records = {w.name: WorkspaceRecord() for w in workspaces}
        self.epoch = 0
        self.started_at = 0.0
        self.catalog: Catalog | None = None
        self._runs = 0
        self._tasks: set[asyncio.Task] = set()
        self.configure(workspaces)
        for index in range(instances):
            self.start_instance(index)

    def configure(self, workspaces: list[Workspace]) -> None:
        """Put workspaces into force at all instances."""
        version = 1 if self.catalog is None else self.catalog.version + 1
        by_name = {w.name: w for w in workspaces}
        self.catalog = Catalog(version, {}, {}, 3.0, 1, Workspaces(by_name))
        for instance in self.by_host.values():
            instance.board.catalog.catalog = self.catalog

    def start_instance(self, index: int) -> QuotaInstance:
        """Start an instance, or start it again with a new incarnation."""
        self._runs += 1
        instance = QuotaInstance(self, index, self._runs)
        former = self.by_host.get(instance.host)
        if former is not None:
            former.stop()
        self.by_host[instance.host] = instance
        others = [h for h in self.by_host if h != instance.host][:3]
        instance.board.members.seeds = tuple((host, 1) for host in others)
        return instance

    def kill(self, instance: QuotaInstance) -> None:
        """Stop an instance; it stays registered."""
        instance.stop()
        self.by_host.pop(instance.host, None)

    def appoint(self, instance: QuotaInstance) -> None:
        """Make an instance the leader of the next epoch."""
        former = instance.board.authority.leader
        self.epoch += 1
        instance.lead(self.epoch, former)

    def find_leader(self) -> QuotaInstance | None:
        """Return the leader of the highest epoch that runs, None without one."""
        leading = [i for i in self.by_host.values() if i.leads]
        return max(leading, key=lambda i: i.board.authority.epoch, default=None)

    async def play(
        self,
        duration: float,
        rate: Callable[[str, float], float],
        choose: Callable[[float, str], QuotaInstance] | None = None,
    ) -> None:
        """Send operations at random times, until `duration` seconds have passed.

        Parameters
        ----------
        rate : callable
            Operations per second of a workspace, at a time since the start.
        choose : callable, optional
            Returns the instance for an operation of a workspace at a time; any at
            random by default.
        """
        loop = asyncio.get_running_loop()
        started = self.started_at = loop.time()
        feeders = [
            asyncio.create_task(
                self._feed(name, started, duration, rate, choose or self._choose)
            )
            for name in self.records
        ]
        ticker = asyncio.create_task(self._renew_leaders())
        await asyncio.gather(*feeders)
        ticker.cancel()

    def stop(self) -> None:
        """Stop all instances."""
        for instance in list(self.by_host.values()):
            self.kill(instance)

    def _choose(self, now: float, name: str) -> QuotaInstance:
        return self.random.choice(list(self.by_host.values()))

    async def _renew_leaders(self) -> None:
        while True:
            for instance in self.by_host.values():
                if instance.host not in self.network.frozen:
                    instance.renew_own()
            await asyncio.sleep(0.1)

    async def _feed(self, name, started, duration, rate, choose) -> None:
        loop = asyncio.get_running_loop()
        while (elapsed := loop.time() - started) < duration:
            await asyncio.sleep(self.random.expovariate(max(rate(name, elapsed), 1e-3)))
            elapsed = loop.time() - started
            if elapsed >= duration:
                return
            task = asyncio.create_task(self._operate(name, choose, started))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _operate(self, name, choose, started) -> None:
        loop = asyncio.get_running_loop()
        record = self.records[name]
        record.offered += 1
        for attempt in range(1 + self.retries):
            instance = choose(loop.time() - started, name)
            if instance is None or instance.host in self.network.frozen:
                return
            began = loop.time()
            try:
                reservation = await instance.holder.take(name)
                if attempt == 0:
                    record.refusals.append((began, False))
            except CommandFailed as error:
                record.refused += attempt == 0
                if attempt == 0:
                    record.refusals.append((began, True))
                await asyncio.sleep(error.retry_after)
                continue
            waited = loop.time() - began
            await asyncio.sleep(self.random.uniform(0.0, MAX_QUEUE_TIME))
            while instance.host in self.network.frozen:
                await asyncio.sleep(0.05)
            if reservation is not None and reservation.spend() is None:
                continue
            record.waits.append(waited)
            delivered = loop.time() + self.random.uniform(*DELIVERY_TIME)
            record.arrivals.append(delivered)
            return
        record.lost += 1
