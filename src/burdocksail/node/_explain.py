"""Explains where a request would go now and why, without accepting it.

Everything is decided by the functions that handle requests, on a copy of the board
that takes what they emit and count.
"""

import copy
from datetime import timedelta
from typing import Any

from burdocksail.core import (
    AnswerError,
    ExplainCandidate,
    ExplainOutcome,
    ExplainQuery,
    Request,
    StatementKind,
    TokenError,
    complete_answer,
)
from burdocksail.node import _admission, _entry, _lease, _routing, _work
from burdocksail.node._board import Blackboard, PendingRequest, Session
from burdocksail.node._events import StatementArrived
from burdocksail.node._groups import GroupRuntime, ServerState, Work
from burdocksail.node._local_statements import run_local_statement
from burdocksail.node._metrics import Metrics
from burdocksail.node._options import OptionError
from burdocksail.records import Group

EXPLAINED_ID = "explain"


def explain(board: Blackboard, query: ExplainQuery) -> dict[str, Any]:
    """Return where a request outside of a transaction would go now, as JSON values.

    The workspace of the query names the account. A position stands for a consistency
    token that holds it.
    """
    preview = _make_preview(board)
    is_known = query.workspace in preview.configuration.service_of_account
    answer: dict[str, Any] = {
        "instance": preview.me.name,
        "database": query.database,
        # A name that is not configured may be a misplaced password.
        "workspace": query.workspace if is_known else None,
        "quota": {"limited": False},
    }
    service = preview.configuration.service_of_database.get(query.database)
    if service is None:
        return complete_answer(
            answer, ExplainOutcome("refused", reason="unknown database")
        )
    group = service.databases[query.database]
    answer["route"] = {
        "service": service.name,
        "group": group,
        "policy": service.reads.freshness.value,
        "max_age_ms": _to_ms(service.reads.max_age),
        "timeout_ms": _to_ms(service.time_limit),
        "needs_key": True,
    }
    answer["known"] = _describe_known(preview, group)
    session = Session(EXPLAINED_ID, query.workspace)
    if query.position is not None:
        session.seen_positions[group] = query.position
        session.has_token = True
    event = StatementArrived(
        EXPLAINED_ID, EXPLAINED_ID, query.database, query.statement
    )
    outcome = _find_early_outcome(preview, session, event)
    if outcome is not None:
        return complete_answer(answer, outcome)
    request = _entry.build_request(preview, session, event, session.options)
    answer["statement"] = request.kind.value
    if request.kind in _entry.ENDING_KINDS:
        return complete_answer(
            answer, ExplainOutcome("local", reason="no transaction is open")
        )
    outcome, candidates = _follow(preview, request)
    return complete_answer(answer, outcome, candidates)


def _make_preview(board: Blackboard) -> Blackboard:
    """Return a board of the present time that knows the same.

    What decisions write (effects, metrics and the preferred leaders that they look up)
    is of its own.
    """
    preview = copy.copy(board)
    preview.now = board.clock.now()
    preview.outbox = []
    preview.metrics = Metrics()
    preview.membership = copy.copy(board.membership)
    preview.membership.preferred = dict(board.membership.preferred)
    preview.membership.preferred_groups = set(board.membership.preferred_groups)
    return preview


def _find_early_outcome(
    board: Blackboard, session: Session, event: StatementArrived
) -> ExplainOutcome | None:
    """Return the outcome of a statement that goes to no server, else None."""
    if _entry.must_refuse_for_stop(board, session):
        return ExplainOutcome("refused", reason=_entry.STOPPING_MESSAGE)
    try:
        if run_local_statement(board, session, event.sql) is not None:
            return ExplainOutcome("local", reason="it concerns only the session")
    except (OptionError, TokenError) as error:
        return ExplainOutcome("refused", reason=str(error))
    refusal = _entry.find_refusal(board, session.account, event.database, event.sql)
    if refusal and not session.account:
        refusal += "; name the account of the request as its workspace"
    return ExplainOutcome("refused", reason=refusal) if refusal else None


def _follow(
    board: Blackboard, request: Request
) -> tuple[ExplainOutcome, list[ExplainCandidate]]:
    """Return the outcome of a request that enters here, and the servers considered."""
    deadline = board.now + request.time_left
    target = _entry.choose_target(
        board, PendingRequest(request, EXPLAINED_ID, deadline)
    )
    if target is None:
        return ExplainOutcome("waits", reason="no live instance is known"), []
    if target.key != board.me.key:
        reason = "it leads the group, as far as is known here, and decides: ask it"
        return ExplainOutcome("forwarded", target.name, reason), []
    runtime = board.work.runtimes.get(request.group)
    if runtime is None or not _lease.is_lease_valid(board, request.group):
        reason = "this instance should lead the group and holds no valid lease"
        return ExplainOutcome("waits", reason=reason), []
    work = _work.make_work(board, request, None)
    placement = _work.plan_work(board, runtime, work)
    if placement.error is not AnswerError.NONE:
        result = "refused"
    else:
        result = "waits" if placement.server is None else "runs"
    outcome = ExplainOutcome(
        result,
        "" if placement.server is None else placement.server.name,
        placement.reason,
        placement.wait_seconds,
    )
    group = board.configuration.groups[request.group]
    candidates = [
        _describe_candidate(board, runtime, state, work, group)
        for state in runtime.servers.values()
    ]
    return outcome, candidates


def _describe_candidate(
    board: Blackboard,
    runtime: GroupRuntime,
    state: ServerState,
    work: Work,
    group: Group,
) -> ExplainCandidate:
    is_primary = state.name == runtime.primary
    candidate = ExplainCandidate(state.name, is_primary)
    candidate.weigh(state.reachable, "", "it does not answer")
    if work.request.kind is not StatementKind.READ:
        candidate.weigh(is_primary, "it is the primary", "only the primary may run it")
    elif is_primary:
        candidate.pros.append("it has all that was acknowledged")
        candidate.cons.append("reads spare the primary")
    else:
        obstacle = _routing.find_read_obstacle(
            board, runtime, state, work.request, group
        )
        candidate.weigh(not obstacle, "it may run the read", obstacle)
    age = _routing.measure_age(board, runtime, state.name, state.vector)
    wait = _admission.estimate_fair_wait_seconds(board, state, work, group.slots)
    run = _admission.estimate_run_seconds(state, work.work_class)
    delay = _routing.estimate_delay_seconds(board, state, work, group)
    last = state.vector.last
    candidate.load = {
        "cost_ms": {"total": round(delay * 1000, 1), "run": round(run * 1000, 1)},
        "expected_wait_ms": round(wait * 1000, 1),
        "work_class": work.work_class.value,
        "queued_short": state.short.length,
        "queued_long": state.long.length,
        "in_flight": len(state.running),
        "limit": _admission.max_in_flight(state, group.slots),
        "connections": len(state.connections),
        "idle_connections": len(state.idle),
        "applied": f"{last.term}.{last.sequence}",
        "data_age_ms": _to_ms(age),
        "reported_ms_ago": _measure_age(board, state.reported_at),
    }
    return candidate


def _describe_known(board: Blackboard, group: str) -> dict[str, Any]:
    """Return what is known of the configuration and of the group, with its age."""
    hint = board.authority.leader_hints.get(group)
    known: dict[str, Any] = {
        "configuration": board.configuration.position,
        "leads": _lease.is_leading(board, group),
        "lease_valid": _lease.is_lease_valid(board, group),
        "leader_hint": None if hint is None else hint.name,
        "store_answered_ms_ago": _measure_age(board, board.store.last_answer),
    }
    runtime = board.work.runtimes.get(group)
    if runtime is None:
        return known
    samples = runtime.samples
    return known | {
        "primary": runtime.primary,
        "primary_state": runtime.phase.value,
        "hold": runtime.hold.value,
        "parked": len(runtime.parked),
        "position_sampled_ms_ago": _measure_age(
            board, samples[-1].taken_at if samples else None
        ),
    }


def _measure_age(board: Blackboard, at: timedelta | None) -> float | None:
    return None if at is None else _to_ms(board.now - at)


def _to_ms(duration: timedelta | None) -> float | None:
    return None if duration is None else round(duration.total_seconds() * 1000, 1)
