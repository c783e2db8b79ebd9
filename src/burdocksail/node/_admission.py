"""Work queues of a server: work classes, fair queuing and wait estimates.

Short and long statements have separate queues. Long ones may hold only some of
the slots, so a short statement never waits for a slow one to finish. Within a
class the services share the slots in proportion to their teams' shares
(start-time fair queuing). The work of a service runs in order of arrival, which
lets its sessions take turns, since each has one statement at a time.
"""

import math
from collections import deque
from datetime import timedelta

from burdocksail.core import WorkClass, seconds
from burdocksail.node._board import Blackboard
from burdocksail.node._groups import (
    FingerprintStatistics,
    GroupRuntime,
    Hold,
    ServerState,
    Work,
    WorkQueue,
    WorkState,
)
from burdocksail.records import Group, Service

LONG_FACTOR = 8.0  # times the mean duration of short statements
LONG_MINIMUM_SECONDS = 0.05
SMOOTHING_FACTOR = 0.1  # weight of a new duration in the moving average
MIN_SERVICE_TIME_SECONDS = 0.0002
MAX_IN_FLIGHT_FACTOR = 3  # times the slots
MAX_FINGERPRINTS = 4096
MAX_QUEUE_LENGTH = 20_000
DEFAULT_SHARE = 1


def classify_work(
    board: Blackboard, sql: str, service: Service | None, fingerprint: int
) -> WorkClass:
    """Return the class of a statement by its service's rules, or by its history."""
    if service is not None:
        for rule in service.work_rules:
            if sql.startswith(rule.statement_prefix):
                return rule.work_class
    statistics = board.work.fingerprints.get(fingerprint)
    if statistics is not None and statistics.mean_seconds >= LONG_MINIMUM_SECONDS:
        return WorkClass.LONG
    return WorkClass.SHORT


def update_duration_estimates(
    board: Blackboard, state: ServerState, work: Work, duration: timedelta
) -> None:
    """Update the moving averages with the duration of a finished statement."""
    elapsed = duration.total_seconds()
    fingerprints = board.work.fingerprints
    previous = fingerprints.pop(work.fingerprint, None)
    mean = elapsed if previous is None else _smooth(previous.mean_seconds, elapsed)
    fingerprints[work.fingerprint] = FingerprintStatistics(mean)
    if len(fingerprints) > MAX_FINGERPRINTS:
        del fingerprints[next(iter(fingerprints))]
    if work.work_class is WorkClass.LONG:
        state.long_seconds = _smooth(state.long_seconds, elapsed)
    elif elapsed < max(LONG_MINIMUM_SECONDS, LONG_FACTOR * state.short_seconds):
        # A statement that took too long for its class must not lengthen the
        # expected wait of all the others.
        state.short_seconds = _smooth(state.short_seconds, elapsed)


def reclassify_overrunning(
    board: Blackboard, runtime: GroupRuntime, state: ServerState
) -> None:
    """Move running statements that exceed the short class's limit to the long class."""
    limit = seconds(max(LONG_MINIMUM_SECONDS, LONG_FACTOR * state.short_seconds))
    for operation_id, work_class in state.running.items():
        operation = board.work.operations.get(operation_id)
        if operation is None or work_class is WorkClass.LONG:
            continue
        if board.now - operation.started_at >= limit:
            state.running[operation_id] = WorkClass.LONG
            state.running_long += 1
            if operation.work is not None:
                operation.work.work_class = WorkClass.LONG


def estimate_wait_seconds(
    state: ServerState, work_class: WorkClass, slots: int
) -> float:
    """Return how long new work of a class is expected to wait for a slot."""
    if work_class is WorkClass.LONG:
        class_limit = max_long_slots(slots)
        ahead = state.long.length + max(0, state.running_long - class_limit + 1)
        return ahead * state.long_seconds / class_limit
    class_limit = max(1, max_in_flight(state, slots) - state.running_long)
    running_short = len(state.running) - state.running_long
    ahead = state.short.length + max(0, running_short - class_limit + 1)
    return ahead * state.short_seconds / class_limit


def estimate_run_seconds(state: ServerState, work_class: WorkClass) -> float:
    """Return how long work of a class is expected to run."""
    is_long = work_class is WorkClass.LONG
    return state.long_seconds if is_long else state.short_seconds


def estimate_fair_wait_seconds(
    board: Blackboard, state: ServerState, work: Work, slots: int
) -> float:
    """Return the expected wait of work, given the fair share of its service."""
    total = estimate_wait_seconds(state, work.work_class, slots)
    queue = _queue_of(state, work.work_class)
    if queue.length == 0:
        return total
    own_queue = queue.by_service.get(work.request.service_name)
    own_length = len(own_queue) if own_queue else 0
    shares = {s: _share(board, s) for s, queued in queue.by_service.items() if queued}
    shares.setdefault(
        work.request.service_name, _share(board, work.request.service_name)
    )
    slowdown = sum(shares.values()) / shares[work.request.service_name]
    return total * min(1.0, (own_length * slowdown) / queue.length)


def enqueue_work(board: Blackboard, state: ServerState, work: Work) -> None:
    """Add work to the queue of its class."""
    queue = _queue_of(state, work.work_class)
    service = work.request.service_name
    waiting = queue.by_service.get(service)
    if waiting is None:
        waiting = queue.by_service[service] = deque()
    if not waiting:
        finish_time = queue.virtual_finish_times.get(service, 0.0)
        queue.virtual_finish_times[service] = max(finish_time, queue.virtual_time)
    waiting.append(work)
    queue.length += 1
    work.state = WorkState.QUEUED
    work.server = state.name


def is_queue_full(state: ServerState, work: Work) -> bool:
    """Return whether the queue of the work's class is at `MAX_QUEUE_LENGTH`."""
    return _queue_of(state, work.work_class).length >= MAX_QUEUE_LENGTH


def max_in_flight(state: ServerState, slots: int) -> int:
    """Return how many statements may be in flight at a server.

    A statement is in flight for one round trip longer than it holds a slot at
    the server. The limit exceeds the slots by the statements that are on the
    network meanwhile, so the slots stay busy and hardly anything queues at the
    server.
    """
    service_time = state.short_seconds - state.round_trip_seconds
    service_time = max(service_time, MIN_SERVICE_TIME_SECONDS)
    extra = math.ceil(slots * state.round_trip_seconds / service_time)
    return slots + min(extra, slots * (MAX_IN_FLIGHT_FACTOR - 1))


def take_next_work(
    board: Blackboard, runtime: GroupRuntime, state: ServerState, group: Group
) -> Work | None:
    """Remove and return the work to run next, or None if none may start."""
    if runtime.hold is Hold.ALL:
        return None
    running_long = count_running(state, WorkClass.LONG)
    if len(state.running) >= max_in_flight(state, group.slots):
        return None
    may_run_long = (
        running_long < max_long_slots(group.slots) and runtime.hold is Hold.NONE
    )
    long_is_due = may_run_long and running_long == 0
    order = (state.long, state.short) if long_is_due else (state.short, state.long)
    for queue in order:
        if queue is state.long and not may_run_long:
            continue
        work = _pop_fairly(board, state, queue)
        if work is not None:
            return work
    return None


def remove_all_work(state: ServerState) -> list[Work]:
    """Empty both queues of a server and return the work that waited."""
    removed = []
    for queue in (state.short, state.long):
        for waiting in queue.by_service.values():
            removed.extend(w for w in waiting if w.state is WorkState.QUEUED)
            waiting.clear()
        queue.length = 0
    return removed


def decrement_queue_length(state: ServerState, work: Work) -> None:
    """Reduce the queue's length by work that ended while queued.

    `_pop_fairly` skips its entry later.
    """
    _queue_of(state, work.work_class).length -= 1


def max_long_slots(slots: int) -> int:
    """Return how many slots long work may hold; fewer than all."""
    return max(1, min(slots - 1, (slots + 1) // 2))


def count_running(state: ServerState, work_class: WorkClass) -> int:
    """Return how many statements of a class run on a server."""
    if work_class is WorkClass.LONG:
        return state.running_long
    return len(state.running) - state.running_long


def add_running(state: ServerState, operation_id: int, work_class: WorkClass) -> None:
    """Count a statement as running on a server."""
    state.running[operation_id] = work_class
    state.running_long += work_class is WorkClass.LONG


def remove_running(state: ServerState, operation_id: int) -> None:
    """Stop counting a statement as running on a server."""
    work_class = state.running.pop(operation_id, None)
    state.running_long -= work_class is WorkClass.LONG


def _pop_fairly(board: Blackboard, state: ServerState, queue: WorkQueue) -> Work | None:
    while queue.length > 0:
        candidates = [s for s, queued in queue.by_service.items() if queued]
        service = min(candidates, key=lambda s: (queue.virtual_finish_times[s], s))
        work = queue.by_service[service].popleft()
        if not queue.by_service[service]:
            del queue.by_service[service]
        if work.state is not WorkState.QUEUED or work.server != state.name:
            continue
        queue.length -= 1
        queue.virtual_time = queue.virtual_finish_times[service]
        cost = estimate_run_seconds(state, work.work_class)
        queue.virtual_finish_times[service] += cost / _share(board, service)
        return work
    return None


def _queue_of(state: ServerState, work_class: WorkClass) -> WorkQueue:
    return state.long if work_class is WorkClass.LONG else state.short


def _share(board: Blackboard, service_name: str) -> int:
    service = board.configuration.services.get(service_name)
    team = board.configuration.teams.get(service.team) if service else None
    return team.share if team else DEFAULT_SHARE


def _smooth(old: float, new: float) -> float:
    return old + SMOOTHING_FACTOR * (new - old)
