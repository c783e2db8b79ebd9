"""The node: dispatch of events to controllers, and periodic tasks.

A node is deterministic and performs no I/O. Time comes from its clock and
randomness from its seed, so the same events at the same times give the same
effects.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from functools import singledispatch

from burdocksail.core import Clock, ExplainQuery, Instance, seconds
from burdocksail.node import (
    _acceptance,
    _admission,
    _claims,
    _configuration,
    _connections,
    _entry,
    _handover,
    _invariants,
    _leadership,
    _membership,
    _promises,
    _promotion,
    _servers,
    _stopping,
    _store_calls,
    _transactions,
    _work,
)
from burdocksail.node._board import Blackboard
from burdocksail.node._dump import dump_board
from burdocksail.node._effects import Effect
from burdocksail.node._events import (
    AdminFinished,
    Event,
    MessageArrived,
    MessageNotSent,
    OperationFinished,
    PeerUnreachable,
    SessionEnded,
    SessionOpened,
    StatementArrived,
    StopRequested,
    StoreReplied,
    Tick,
    UpstreamClosed,
    UpstreamConnected,
)
from burdocksail.node._explain import explain
from burdocksail.node._groups import GroupRuntime
from burdocksail.node._messages import (
    AskLease,
    ConfigurationChanges,
    ForwardAnswer,
    ForwardRequest,
    HandOver,
    HandOverAccepted,
    LeaseReport,
    LeasesAnswered,
    Message,
    NotLeader,
    Ping,
    Pong,
    ProbeServer,
    PullConfiguration,
    ReleaseLeases,
    RenewLeases,
    ServerProbed,
    SessionClosed,
)
from burdocksail.node._settings import NodeSettings

HEDGE_TOKENS_PER_SECOND = 2.0
MAX_HEDGE_TOKENS = 10.0


class Node:
    """State machine of one instance of the proxy, without its sockets.

    Parameters
    ----------
    settings : NodeSettings
        Settings of the instance.
    clock : Clock
        Source of monotonic time.
    seed : int
        Seed of the node's random decisions.
    """

    def __init__(self, settings: NodeSettings, clock: Clock, seed: int):
        self.board = Blackboard(settings, clock, random.Random(seed))
        self.board.now = clock.now()
        self._started_at = self.board.now
        self._next_run_at = dict.fromkeys(PERIODIC_TASKS, self.board.now)

    def start(self) -> list[Effect]:
        """Register this instance, probe the seeds and return the effects."""
        self.board.now = self.board.clock.now()
        _membership.start_membership(self.board)
        return self._take_effects()

    def handle(self, event: Event) -> list[Effect]:
        """Handle one event and return its effects.

        A `Tick` also runs the periodic tasks that are due.
        """
        self.board.now = self.board.clock.now()
        handle_event(event, self.board)
        if isinstance(event, Tick):
            self._run_periodic_tasks()
        while self.board.entry.answers or self.board.work.groups_awaiting_replica:
            _entry.deliver_local_answers(self.board)
            self._start_replica_waits()
        return self._take_effects()

    def dump(self) -> dict:
        """Return the node's state as JSON values, without secrets."""
        return dump_board(self.board)

    def explain(self, query: ExplainQuery) -> dict:
        """Return where a request would go now and why, as JSON values.

        Nothing is sent or changed.
        """
        return explain(self.board, query)

    def _start_replica_waits(self) -> None:
        waiting_groups = self.board.work.groups_awaiting_replica
        while waiting_groups:
            runtime = self.board.work.runtimes.get(waiting_groups.pop())
            if runtime is not None:
                _servers.start_position_waits(self.board, runtime)

    def _run_periodic_tasks(self) -> None:
        now = self.board.now
        for task, next_run_at in self._next_run_at.items():
            if now >= next_run_at:
                self._next_run_at[task] = now + task.interval
                task.run(self.board)

    def _take_effects(self) -> list[Effect]:
        effects = self.board.outbox
        self.board.outbox = []
        return effects


@singledispatch
def handle_event(event: Event, board: Blackboard) -> None:
    """Dispatch an event to the controller that handles it.

    Raises
    ------
    TypeError
        If the object is not an event.
    """
    raise TypeError(f"not an event: {type(event).__name__}")


@handle_event.register
def _(event: Tick, board: Blackboard) -> None:
    pass


@handle_event.register
def _(event: SessionOpened, board: Blackboard) -> None:
    _entry.handle_session_opened(board, event)


@handle_event.register
def _(event: SessionEnded, board: Blackboard) -> None:
    _entry.handle_session_ended(board, event)


@handle_event.register
def _(event: StatementArrived, board: Blackboard) -> None:
    _entry.handle_statement(board, event)


@handle_event.register
def _(event: MessageArrived, board: Blackboard) -> None:
    board.metrics.count(f"messages_in.{type(event.message).__name__}")
    _MESSAGE_HANDLERS[type(event.message)](board, event.sender, event.message)


@handle_event.register
def _(event: MessageNotSent, board: Blackboard) -> None:
    _entry.handle_message_not_sent(board, event)


@handle_event.register
def _(event: PeerUnreachable, board: Blackboard) -> None:
    _entry.handle_peer_unreachable(board, event)


@handle_event.register
def _(event: UpstreamConnected, board: Blackboard) -> None:
    _work.handle_upstream_connected(board, event)


@handle_event.register
def _(event: UpstreamClosed, board: Blackboard) -> None:
    _work.handle_upstream_closed(board, event)


@handle_event.register
def _(event: OperationFinished, board: Blackboard) -> None:
    _work.handle_operation_finished(board, event)


@handle_event.register
def _(event: AdminFinished, board: Blackboard) -> None:
    _servers.handle_admin_finished(board, event)


@handle_event.register
def _(event: StoreReplied, board: Blackboard) -> None:
    _store_calls.handle_store_replied(board, event)


@handle_event.register
def _(event: StopRequested, board: Blackboard) -> None:
    _stopping.handle_stop_requested(board, event)


def _handle_session_closed(
    board: Blackboard, sender: Instance, message: SessionClosed
) -> None:
    _transactions.roll_back_transaction(board, message.group, message.transaction_id)


_MESSAGE_HANDLERS: dict[type, Callable[[Blackboard, Instance, Message], None]] = {
    ForwardRequest: _entry.handle_forward_request,
    ForwardAnswer: _entry.handle_forward_answer,
    NotLeader: _entry.handle_not_leader,
    SessionClosed: _handle_session_closed,
    RenewLeases: _promises.handle_renew_leases,
    LeasesAnswered: _leadership.handle_leases_answered,
    ReleaseLeases: _promises.handle_release_leases,
    AskLease: _promises.handle_ask_lease,
    LeaseReport: _claims.handle_lease_report,
    HandOver: _handover.handle_hand_over,
    HandOverAccepted: _handover.handle_hand_over_accepted,
    ProbeServer: _promotion.handle_probe_server,
    ServerProbed: _promotion.handle_server_probed,
    Ping: _membership.handle_ping,
    Pong: _membership.handle_pong,
    PullConfiguration: _configuration.handle_pull_configuration,
    ConfigurationChanges: _configuration.handle_configuration_changes,
}


def _maintain_leases(board: Blackboard) -> None:
    _leadership.renew_due_leases(board)
    for leadership in list(board.authority.leaderships.values()):
        _claims.expire_lease_query(board, leadership)
        _leadership.advance_acquisition(board, leadership)
        _leadership.reacquire_expired_lease(board, leadership)
        _handover.advance_drain(board, leadership)
        _leadership.replace_missing_members(board, leadership)
        _leadership.advance_member_change(board, leadership)
        _leadership.publish_after_restoration(board, leadership)
        if leadership.publish_needed:
            _leadership.publish_status(board, leadership)
    _claims.claim_expired_groups(board)
    _invariants.check_promises(board)


def _maintain_runtimes(board: Blackboard) -> None:
    for runtime in list(board.work.runtimes.values()):
        _servers.inspect_servers(board, runtime)
        _promotion.advance_group(board, runtime)
        _servers.start_position_waits(board, runtime)
        _maintain_work(board, runtime)


def _maintain_work(board: Blackboard, runtime: GroupRuntime) -> None:
    group = board.configuration.groups.get(runtime.group)
    if group is None:
        return
    _work.release_waiting_work(board, runtime)
    _transactions.roll_back_idle_transactions(board, runtime)
    _work.close_stuck_connections(board, runtime)
    for state in runtime.servers.values():
        _admission.reclassify_overrunning(board, runtime, state)
        _connections.close_excess_connections(board, state, group)
        _work.dispatch_queued_work(board, runtime, state)


def _expire_requests(board: Blackboard) -> None:
    _work.expire_work(board)
    _entry.advance_pending_requests(board)
    for runtime in board.work.runtimes.values():
        _work.hedge_slow_reads(board, runtime)


def _refill_hedge_tokens(board: Blackboard) -> None:
    tokens = board.work.hedge_tokens + HEDGE_TOKENS_PER_SECOND
    board.work.hedge_tokens = min(MAX_HEDGE_TOKENS, tokens)


@dataclass(frozen=True, slots=True)
class PeriodicTask:
    """Function that runs on the first tick after each interval."""

    interval: timedelta
    run: Callable[[Blackboard], None]


PERIODIC_TASKS = (
    PeriodicTask(seconds(0.02), _expire_requests),
    PeriodicTask(seconds(0.05), _maintain_runtimes),
    PeriodicTask(seconds(0.1), _maintain_leases),
    PeriodicTask(seconds(0.1), _stopping.advance_stop),
    PeriodicTask(seconds(0.25), _configuration.refresh_configuration),
    PeriodicTask(seconds(0.5), _membership.probe_next_member),
    PeriodicTask(seconds(0.5), _claims.claim_preferred_groups),
    PeriodicTask(seconds(0.5), _acceptance.run_acceptor),
    PeriodicTask(seconds(0.5), _acceptance.publish_results),
    PeriodicTask(seconds(1), _handover.rebalance),
    PeriodicTask(seconds(1), _refill_hedge_tokens),
)
