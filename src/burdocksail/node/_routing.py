"""Choice of the server that runs a statement.

A replica may serve a read only if what it is known to have applied covers
everything that the session may have written, and, for a read of stated age,
what the primary had applied at a recent enough time.
"""

from datetime import timedelta

from burdocksail.core import (
    Freshness,
    LogPosition,
    LogVector,
    Request,
    WorkClass,
    seconds,
)
from burdocksail.node import _admission
from burdocksail.node._board import Blackboard
from burdocksail.node._groups import GroupRuntime, ServerState, Work
from burdocksail.records import Group

OTHER_DOMAIN_PENALTY_SECONDS = 0.001
PRIMARY_SPILLOVER_RUNS = 2  # times the expected run time of the statement


def find_primary(runtime: GroupRuntime) -> ServerState | None:
    """Return the primary, if the group has one."""
    return runtime.servers.get(runtime.primary)


def choose_read_server(
    board: Blackboard, runtime: GroupRuntime, work: Work, group: Group
) -> ServerState | None:
    """Return the server that should run a read, or None if none may."""
    replicas = [
        state
        for state in runtime.servers.values()
        if may_serve_read(board, runtime, state, work.request, group)
    ]
    primary = find_primary(runtime)
    if not replicas:
        return primary if primary is not None and primary.reachable else None
    delays = [estimate_delay_seconds(board, s, work, group) for s in replicas]
    shortest = min(delays)
    best = replicas[delays.index(shortest)]
    if primary is None or not primary.reachable:
        return best
    # The primary's slots are kept for work that only it can run, until the
    # replicas are so overloaded that keeping them free would waste capacity.
    spillover_delay = PRIMARY_SPILLOVER_RUNS * _admission.estimate_run_seconds(
        best, work.work_class
    )
    if shortest <= spillover_delay:
        return best
    primary_delay = estimate_delay_seconds(board, primary, work, group)
    return primary if primary_delay + spillover_delay < shortest else best


def may_serve_read(
    board: Blackboard,
    runtime: GroupRuntime,
    state: ServerState,
    request: Request,
    group: Group,
) -> bool:
    """Return whether a replica may run a read that starts now."""
    return not find_read_obstacle(board, runtime, state, request, group)


def find_read_obstacle(
    board: Blackboard,
    runtime: GroupRuntime,
    state: ServerState,
    request: Request,
    group: Group,
) -> str:
    """Return why a server may not run a read as a replica; empty if it may."""
    if request.freshness is Freshness.PRIMARY:
        return "the read asks for the primary"
    if state.name == runtime.primary:
        return "it is no replica"
    if not is_healthy_replica(runtime, state):
        return "it is unreachable, of an earlier term or has errant transactions"
    if state.name in group.leaving:
        return "it is leaving the group"
    if not covers_floor(runtime, state, request):
        return "it has not applied what the session may have written"
    if request.freshness is not Freshness.STATED_AGE:
        return ""
    run = seconds(_admission.estimate_run_seconds(state, WorkClass.SHORT))
    age = measure_age(board, runtime, state.name, state.vector)
    if age is not None and age + run <= (request.max_age or timedelta()):
        return ""
    return "its data is older than the read allows, or of unknown age"


def is_healthy_replica(runtime: GroupRuntime, state: ServerState) -> bool:
    """Return whether a server may be treated as a healthy replica.

    It has to be reachable, to hold no errant transactions and to have last
    reported the current term.
    """
    report = state.report
    return (
        state.reachable
        and not state.errant
        and report is not None
        and report.term == runtime.term
    )


def covers_floor(runtime: GroupRuntime, state: ServerState, request: Request) -> bool:
    """Return whether a server has applied all that the session may have written.

    A caller without tokens may spread one session over several connections, so
    its floor is the last write of its whole account. If the account has no
    acknowledged write in this term, the server must have applied all that the
    primary had when the group was opened, which includes what is left of the
    writes of earlier terms.
    """
    if request.floor is not None and not state.vector.covers(request.floor):
        return False
    if request.has_token:
        return True
    account_floor = runtime.floors.get(request.account)
    if account_floor is not None:
        return state.vector.covers(account_floor)
    return state.vector.covers_all(runtime.opening_vector)


def measure_age(
    board: Blackboard, runtime: GroupRuntime, server: str, vector: LogVector
) -> timedelta | None:
    """Return an upper bound of the age of a server's data, or None if unknown.

    The age is that of the newest sample of the primary that `vector` covers,
    counted from before the sample was requested.
    """
    if server == runtime.primary:
        return timedelta()
    for sample in reversed(runtime.samples):
        if vector.covers_all(sample.vector):
            return board.now - sample.taken_at
    return None


def is_lost_write(runtime: GroupRuntime, floor: LogPosition | None) -> bool:
    """Return whether a write that the session has seen was lost.

    An earlier term ends at the last position that the current primary's log
    held of it when the group was opened; later positions are lost.
    """
    if floor is None or floor.term >= runtime.term:
        return False
    return not runtime.opening_vector.covers(floor)


def estimate_delay_seconds(
    board: Blackboard, state: ServerState, work: Work, group: Group
) -> float:
    """Return the time until a server is expected to have run work, with penalties."""
    wait = _admission.estimate_wait_seconds(state, work.work_class, group.slots)
    run = _admission.estimate_run_seconds(state, work.work_class)
    load = len(state.running) / group.slots
    same_domain = state.record.failure_domain == board.me.failure_domain
    penalty = 0.0 if same_domain else OTHER_DOMAIN_PENALTY_SECONDS
    return wait + run * (1 + load) + penalty
