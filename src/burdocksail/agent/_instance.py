"""Assembles the controllers of one instance, and stops them in order."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import TYPE_CHECKING, Any, Protocol

from burdocksail.agent._logging import LineBuffer
from burdocksail.agent._sessions import SessionRegistry
from burdocksail.authority import AuthorityController
from burdocksail.board import Blackboard
from burdocksail.core import CallerCommand, get_logger
from burdocksail.fleet import (
    Address,
    Message,
    MessageError,
    Peers,
    Registration,
    Snapshot,
    SnapshotExchange,
    StoreTracker,
)
from burdocksail.ports import Connector, ObjectDecoder, ObjectStore, Promoter
from burdocksail.serving import (
    AllowanceHolder,
    ConnectionPools,
    PrimaryProber,
    ServingContext,
)

if TYPE_CHECKING:
    from burdocksail.core import ExplainQuery

FLUSH_INTERVAL = 0.2  # seconds between flushes of the log buffer
# Seconds until a load balancer that probes each second sends no more callers.
ROTATION_DELAY = 2.3
POLL_INTERVAL = 0.05  # seconds
ADMISSION_MARGIN = 1.0  # seconds of the grace period without new sessions
EXIT_MARGIN = 0.5  # seconds of the grace period reserved for closing
WITHDRAW_MARGIN = 0.3  # seconds of the grace period reserved for what needs no session
WITHDRAW_TIMEOUT = 0.15  # seconds
LAST_SESSIONS_TIMEOUT = 0.5  # seconds for callers that came after the admission ended
# An instance stays ready for this long after its lease has expired.
READINESS_GRACE = 2.0  # seconds


class ListeningPeers(Peers, Protocol):
    """Peers that also receive messages at the address of this instance."""

    async def open(self, host: str, port: int) -> None:
        """Listen on an address."""
        ...

    def close(self) -> None:
        """Stop listening."""
        ...


PeersFactory = Callable[
    [
        Callable[[Message, Address], None],
        Callable[[], Snapshot],
        Callable[[Address, MessageError], None],
    ],
    ListeningPeers,
]


class InstanceProcess:
    """One instance: its controllers, its readiness and its graceful stop.

    Parameters
    ----------
    make_peers : callable
        Returns the transport to the other instances, given the handlers of
        messages, snapshot requests and malformed datagrams.
    log_buffer : LineBuffer, optional
        Buffer of the log lines, flushed at intervals and when the instance ends.
    """

    def __init__(
        self,
        board: Blackboard,
        store: ObjectStore,
        decoder: ObjectDecoder,
        connector: Connector,
        promoter: Promoter,
        make_peers: PeersFactory,
        log_buffer: LineBuffer | None = None,
    ):
        self.board = board
        self.sessions = SessionRegistry()
        self._log_buffer = log_buffer
        self._pools = ConnectionPools(board, connector)
        self.serving = ServingContext(
            board,
            self._pools,
            AllowanceHolder(
                board,
                lambda address, message: self._peers.send(address, message),
                lambda *demands: self._authority.issue_allowances(*demands),
            ),
        )
        self._peers = make_peers(
            lambda message, address: self._authority.handle_message(message, address),
            lambda: self._snapshots.take(),
            self._report_malformed,
        )
        self._tracker = StoreTracker(
            board,
            store,
            decoder,
            lambda stored: self._authority.handle_record(stored),
            lambda stored: self._authority.handle_challenge(stored),
        )
        self._snapshots = SnapshotExchange(board, self._peers, self._tracker)
        self._authority = AuthorityController(
            board,
            store,
            self._peers,
            connector,
            promoter,
            self._snapshots,
            self.serving.allowances,
        )
        self._registration = Registration(board, store)
        self._prober = PrimaryProber(board, self._pools)
        self._tasks: dict[asyncio.Task, None] = {}
        self._log = get_logger()

    @property
    def is_ready(self) -> bool:
        """Return whether a load balancer should send callers to this instance."""
        board = self.board
        if board.stop.requested or board.catalog.catalog is None:
            return False
        if not board.directory.is_listed or not board.authority.groups:
            return False
        return board.now() < board.authority.lease_expires_at + READINESS_GRACE

    async def wait_for_catalog(self, timeout: float) -> bool:
        """Wait for a configuration; return whether one is in force.

        Waits up to `timeout` seconds.
        """
        board = self.board
        deadline = board.now() + timeout
        while board.catalog.catalog is None:
            if not await board.changed.wait(deadline - board.now()):
                return board.catalog.catalog is not None
        return True

    async def start(self) -> None:
        """Listen for messages and start all tasks."""
        self._log.info("started", incarnation=self.board.member.incarnation)
        await self._peers.open(*self.board.member.address)
        for coroutine in (
            self._tracker.watch_catalog(),
            self._tracker.watch_upstreams(),
            self._tracker.watch_fleet(),
            self._tracker.expire_missing(),
            self._snapshots.bootstrap(),
            self._snapshots.catch_up(),
            self._registration.maintain(),
            self._authority.keep_lease(),
            self._authority.claim_when_needed(),
            self._prober.run(),
            self._flush_logs(),
        ):
            self._spawn(coroutine)
        if self.board.quotas.bounds is not None:
            self._spawn(self.serving.allowances.run())

    @property
    def admits_sessions(self) -> bool:
        """Return whether a session may begin here."""
        return not self.board.stop.admission_ended

    async def stop(
        self, grace: float, close_listener: Callable[[], None] = lambda: None
    ) -> None:
        """Stop within `grace` seconds; the process may exit after that.

        Whatever admits a caller ends before that which serves it: readiness, idle
        sessions, admission, sessions with their requests, lease, registration,
        listener. Callers keep arriving until the load balancer has taken this instance
        out of rotation, and all the time if too few others are in rotation, so the
        listener stays open until the end; a caller that comes after the admission is
        told to come back.

        Open transactions have half of the time. Requests are answered by `EXIT_MARGIN`
        before the end of the grace period; one that was already running when the stop
        was requested may take until `WITHDRAW_MARGIN` before it.

        Parameters
        ----------
        close_listener : callable
            Accepts no further connections of callers from then on.
        """
        board = self.board
        if board.stop.requested:
            return
        started_at = board.now()
        end = started_at + grace
        board.stop.requested_at = started_at
        board.stop.transactions_end_at = started_at + grace / 2
        board.stop.requests_end_at = started_at + grace - EXIT_MARGIN
        board.changed.notify()
        self._log.info("stopping", sessions=len(self.sessions), grace=grace)
        self._authority.request_takeover()
        await asyncio.sleep(min(ROTATION_DELAY, grace / 2))
        await self._end_idle_sessions(end - ADMISSION_MARGIN)
        board.stop.admission_ended = True
        self._log.info("admission ended", sessions=len(self.sessions))
        await self._end_idle_sessions(end - EXIT_MARGIN)
        self.sessions.end_all()
        await self._wait_until_sessions_ended(end - WITHDRAW_MARGIN)
        self._authority.release_lease()
        await self._withdraw()
        close_listener()
        await asyncio.sleep(POLL_INTERVAL)  # until the last accepted ones are counted
        last = min(board.now() + LAST_SESSIONS_TIMEOUT, end - 2 * POLL_INTERVAL)
        await self._wait_until_sessions_ended(last)
        self._pools.close()
        self._log.info(
            "stopped",
            took=round(board.now() - started_at, 3),
            sessions_cut=len(self.sessions),
        )
        if self._log_buffer is not None:
            self._log_buffer.flush()

    def kill(self) -> None:
        """Abort all work at once, as a crash would."""
        for task in list(self._tasks):
            task.cancel()
        self._authority.kill()
        self._pools.close()
        self._peers.close()

    def log_reload(self) -> None:
        """Log that the settings have changed; nothing needs to be reloaded.

        What the settings hold is fixed while the instance runs; the configuration
        that may change is read from the store.
        """
        self._log.info("settings changed")

    def describe(self) -> dict[str, Any]:
        """Return the state of this instance, as shown in its state dump."""
        board = self.board
        authority = board.authority
        now = board.now()
        catalog = board.catalog.catalog
        return {
            "instance": board.member.name,
            "incarnation": board.member.incarnation,
            "ready": self.is_ready,
            "stopping": board.stop.requested,
            "catalog_version": None if catalog is None else catalog.version,
            "directory_revision": board.directory.version.revision,
            "store_timeline": board.store.timeline,
            "store_works": board.store.is_available,
            "epoch": authority.epoch,
            "leader": None if authority.leader is None else authority.leader.name,
            "leading": self._authority.is_leading(),
            "evidence_left": round(max(0.0, authority.lease_expires_at - now), 3),
            "groups": {
                view.service_name: {
                    "primary": view.primary_id,
                    "change": view.change,
                    "state": view.state.value,
                }
                for view in authority.groups.values()
            },
            "unreachable": sorted(authority.unreachable),
            "sessions": len(self.sessions),
            "open_transactions": self.serving.open_transactions,
            "instances_alive": board.members.alive_count,
            "allowances": self.serving.allowances.describe(),
            "allowances_issued": self._authority.describe_allowances(),
            "upstreams": self._pools.describe(),
        }

    def explain(self, query: "ExplainQuery", command: CallerCommand) -> dict[str, Any]:
        """Return where a request would go now and why, as JSON values.

        Nothing is sent or changed.
        """
        # Only operators ask, so it is not imported at the start.
        from burdocksail.serving._explain import explain

        return {
            "instance": self.board.member.name,
            "ready": self.is_ready,
            **explain(self.serving, query, command),
        }

    async def _end_idle_sessions(self, until: float) -> None:
        """End sessions as they become idle, until there is none or for so long."""
        while self.sessions and self.board.now() < until:
            self.sessions.end_idle()
            await asyncio.sleep(POLL_INTERVAL)

    async def _wait_until_sessions_ended(self, until: float) -> None:
        while self.sessions and self.board.now() < until:
            await asyncio.sleep(POLL_INTERVAL)

    async def _withdraw(self) -> None:
        try:
            async with asyncio.timeout(WITHDRAW_TIMEOUT):
                await self._registration.withdraw()
        except TimeoutError:
            self._log.warning("registration not withdrawn", reason="no answer in time")

    async def _flush_logs(self) -> None:
        while True:
            if self._log_buffer is not None:
                self._log_buffer.flush()
            await asyncio.sleep(FLUSH_INTERVAL)

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks[task] = None
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task) -> None:
        self._tasks.pop(task, None)
        if not task.cancelled() and task.exception() is not None:
            self._log.critical("controller failed", error=repr(task.exception()))
            if self._log_buffer is not None:
                self._log_buffer.flush()
            # Without one of its tasks the process would continue on stale state. It
            # exits, and the platform starts a new one.
            raise SystemExit(1)

    def _report_malformed(self, address: tuple[str, int], error: Exception) -> None:
        self.board.metrics.count("messages_malformed")
        self._log.warning("malformed message", peer=str(address), reason=str(error))
