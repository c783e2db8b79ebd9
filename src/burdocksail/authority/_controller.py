"""Entry point of the package: wires follower, claimant and leadership together.

It dispatches the messages of other instances and the records read from the store,
and runs the tasks of a leadership.
"""

import asyncio
from typing import Any

from burdocksail.authority._claims import Claimant
from burdocksail.authority._follower import AllowanceClient, Follower
from burdocksail.authority._leadership import Leadership
from burdocksail.authority._record import RecordError, decode_record
from burdocksail.authority._watchdog import Watchdog
from burdocksail.board import Blackboard, Member
from burdocksail.core import get_logger
from burdocksail.fleet import (
    Address,
    AllowanceDemands,
    AllowanceGrant,
    AllowanceHandover,
    AllowanceRequest,
    Allowances,
    Farewell,
    Grant,
    LeaderQuery,
    LeaderReport,
    Message,
    NotLeader,
    Peers,
    Renew,
    SnapshotExchange,
    TakeOver,
    make_object_name,
)
from burdocksail.ports import (
    Connector,
    ObjectStore,
    Promoter,
    StoredObject,
    StoreVersion,
)


class AuthorityController:
    """Follows the leader, and leads while this instance holds the leadership.

    Parameters
    ----------
    allowances : AllowanceClient
        Holds this instance's tokens for the quotas of workspaces.
    """

    def __init__(
        self,
        board: Blackboard,
        store: ObjectStore,
        peers: Peers,
        connector: Connector,
        promoter: Promoter,
        snapshots: SnapshotExchange,
        allowances: AllowanceClient,
    ):
        self._board = board
        self._store = store
        self._peers = peers
        self._connector = connector
        self._promoter = promoter
        self._snapshots = snapshots
        self._follower = Follower(board, peers, snapshots, allowances)
        self._claimant = Claimant(
            board, store, peers, self._begin_leadership, self._get_leadership
        )
        self._leadership: Leadership | None = None
        self._tasks: dict[asyncio.Task, None] = {}
        self._handlers = {
            Renew: self._handle_renew,
            Grant: self._follower.handle_grant,
            NotLeader: lambda m, _: self._follower.handle_not_leader(m),
            LeaderQuery: self._follower.answer_query,
            LeaderReport: lambda m, _: self._claimant.handle_report(m),
            TakeOver: self._handle_take_over,
            Farewell: self._handle_farewell,
            AllowanceRequest: self._handle_allowance_request,
            AllowanceGrant: lambda m, _: allowances.receive(m.epoch, m.allowances),
            AllowanceHandover: lambda m, _: self._handle_allowance_handover(m),
        }
        self._log = get_logger()

    def is_leading(self) -> bool:
        """Return whether this instance leads, as far as it knows."""
        return self._leadership is not None and not self._leadership.ended

    def issue_allowances(
        self, member: Member, epoch: int, demands: AllowanceDemands
    ) -> Allowances | None:
        """Return the answer to demands; None while this instance does not lead."""
        if not self.is_leading():
            return None
        return self._leadership.allowances.answer(member, epoch, demands)

    def describe_allowances(self) -> dict[str, Any] | None:
        """Return the state of the buckets, None while this instance does not lead."""
        return self._leadership.allowances.describe() if self.is_leading() else None

    def _get_leadership(self) -> Leadership | None:
        return self._leadership if self.is_leading() else None

    def handle_message(self, message: Message, address: Address) -> None:
        """Handle a message from another instance."""
        self._handlers[type(message)](message, address)
        self._end_if_superseded()

    def handle_record(self, stored: StoredObject) -> None:
        """Handle the authority record as the store holds it now.

        Ends this instance's leadership if a later epoch is recorded; follows
        another recorded leader, or begins a leadership claimed by this instance.
        """
        try:
            record = decode_record(stored.spec)
        except RecordError as error:
            self._log.error("record unreadable", reason=str(error))
            return
        if record.is_of_earlier_timeline(stored.timeline):
            return
        if self._leadership is not None:
            self._leadership.check_record(stored)
        if record.leader != self._board.member:
            self._follower.adopt_leader(record.epoch, record.leader)
        elif not self.is_leading() and record.epoch > self._board.authority.epoch:
            # The store's reply to this instance's own claim was lost.
            self._begin_leadership(stored, self._board.now())

    def handle_challenge(self, stored: StoredObject) -> None:
        """Answer an isolated instance that asks via the store for a leader."""
        if self._follower.hears_leader():
            self._spawn(self._claimant.answer_challenge(stored))

    async def keep_lease(self) -> None:
        """Renew this instance's lease; does not return."""
        await self._follower.keep_lease()

    async def claim_when_needed(self) -> None:
        """Claim the leadership whenever that is needed; does not return."""
        await self._claimant.run()

    def request_takeover(self) -> None:
        """Ask another instance to take over the leadership, as this one stops."""
        if self._leadership is not None and self.is_leading():
            self._leadership.request_takeover("stopping")

    def kill(self) -> None:
        """Cancel all tasks without notifying other instances, to simulate a crash."""
        if self._leadership is not None:
            self._leadership.end("killed")
        for task in list(self._tasks):
            task.cancel()

    def release_lease(self) -> None:
        """Drop this instance's lease and notify the leader.

        The leader then does not wait for the lease to expire.
        """
        self._follower.release_lease()

    def _begin_leadership(self, stored: StoredObject, asked_at: float) -> None:
        leadership = Leadership(
            self._board, self._store, self._peers, self._follower, stored, asked_at
        )
        if leadership.epoch <= self._board.authority.epoch:
            # The record was delivered before the claim was answered, or another
            # instance leads by now. Views are numbered anew with each leadership, so
            # an epoch may have only one.
            self._log.info("leadership not begun", epoch=leadership.epoch)
            return
        if self._leadership is not None:
            self._leadership.end("claimed again")
        self._leadership = leadership
        leadership.begin()
        watchdog = Watchdog(self._board, leadership, self._connector, self._promoter)
        self._spawn(leadership.wait_until_instances_known())
        self._spawn(leadership.keep_leader_lease())
        self._spawn(watchdog.run())

    def _spawn(self, coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks[task] = None
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task) -> None:
        self._tasks.pop(task, None)
        if task.cancelled() or task.exception() is None:
            return
        self._log.error("task failed", error=repr(task.exception()))
        if self._leadership is not None:
            self._leadership.end("a task failed")

    def _handle_renew(self, renewal: Renew, address: Address) -> None:
        self._snapshots.record_peer_versions(
            address,
            renewal.catalog_version,
            StoreVersion(renewal.store_timeline, renewal.directory_revision),
        )
        if self.is_leading():
            self._leadership.handle_renewal(renewal)
            return
        authority = self._board.authority
        leader = authority.leader
        answer = NotLeader(self._board.member, authority.epoch, leader)
        self._peers.send(address, answer)

    def _handle_allowance_request(
        self, request: AllowanceRequest, address: Address
    ) -> None:
        answer = self.issue_allowances(request.member, request.epoch, request.demands)
        if answer is not None:
            grant = AllowanceGrant(self._board.member, request.epoch, answer)
            self._peers.send(address, grant)
        elif not self.is_leading():
            authority = self._board.authority
            answer = NotLeader(self._board.member, authority.epoch, authority.leader)
            self._peers.send(address, answer)

    def _handle_allowance_handover(self, handover: AllowanceHandover) -> None:
        if self.is_leading():
            self._leadership.allowances.receive_handover(handover)

    def _handle_take_over(self, message: TakeOver, address: Address) -> None:
        authority = self._board.authority
        if message.epoch >= authority.epoch and not self._board.stop.requested:
            self._claimant.request_claim()

    def _handle_farewell(self, message: Farewell, address: Address) -> None:
        if self._leadership is not None:
            self._leadership.grantees.drop(message.member)
        members = self._board.members
        name = make_object_name(message.member)
        if members.registered.get(name) == message.member:
            members.ended[name] = message.member

    def _end_if_superseded(self) -> None:
        leadership = self._leadership
        authority = self._board.authority
        if leadership is None or authority.epoch <= leadership.epoch:
            return
        leadership.end("a message of a later epoch arrived")
        if authority.leader != self._board.member:
            leadership.allowances.hand_over(authority.leader.address, self._peers)
