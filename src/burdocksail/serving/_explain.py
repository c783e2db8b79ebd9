"""Explains where a request would go now and why, without sending it.

Everything is decided by the functions that the sessions call, on a preview of the
serving context; this module only asks them in the same order and describes what they
say.
"""

from collections.abc import Coroutine, Mapping
from dataclasses import replace
from typing import Any

from burdocksail.board import GroupView
from burdocksail.catalog import Route, Upstream, UpstreamState
from burdocksail.core import (
    CallerCommand,
    ExplainCandidate,
    ExplainOutcome,
    ExplainQuery,
    FailureKind,
    Run,
    complete_answer,
)
from burdocksail.serving._budget import compute_budget
from burdocksail.serving._choice import (
    QUEUES_TOO_LONG,
    PrimaryCheck,
    check_primary,
    find_read_wait_limit,
    forecast_acquisition,
    plan_read,
)
from burdocksail.serving._context import ServingContext, SessionState
from burdocksail.serving._freshness import Floor, compute_floor
from burdocksail.serving._pool import QUEUE_TOO_LONG
from burdocksail.serving._pools import Pool
from burdocksail.serving._replies import CommandFailed
from burdocksail.serving._requests import StatementRequest, describe_floor, reject
from burdocksail.serving._routing import Survey, survey_servers
from burdocksail.serving._sessions import may_use_route, must_run_at_primary
from burdocksail.serving._statements import TOO_LITTLE_TIME, estimate_answer
from burdocksail.serving._statistics import find_shared_speed
from burdocksail.traffic import Obstacle, ServerHealth, itemize_cost, judge_servers

KEY_NEEDED = "the route needs a key; name the workspace that it belongs to"
TOKEN_NEEDED = "it asks the leader for a token of the workspace first"
SLOW_FACTOR_SHOWN = 1.1  # a server that is slower by less is not called slow


def explain(
    serving: ServingContext, query: ExplainQuery, command: CallerCommand
) -> dict[str, Any]:
    """Return where a request outside of a transaction would go now, as JSON values.

    Has to be called by a task or callback of the event loop. Changes nothing.

    Parameters
    ----------
    command : CallerCommand
        Command that the statement of the query stands for.
    """
    preview = serving.make_preview(query.workspace)
    route = preview.find_route(query.database)
    answer: dict[str, Any] = {
        "database": query.database,
        # A name that is not configured may be a misplaced key and is not repeated.
        "workspace": _find_workspace(preview, query),
        "known": _describe_known(preview, route),
    }
    if route is None:
        has_catalog = preview.board.catalog.catalog is not None
        reason = "unknown database" if has_catalog else "there is no configuration yet"
        return complete_answer(answer, ExplainOutcome("refused", reason=reason))
    answer["route"] = _describe_route(preview, route)
    session = SessionState(workspace=_find_workspace(preview, query) or "")
    if query.position is not None:
        view = preview.board.authority.groups.get(route.service)
        change = 0 if view is None else view.change
        committed_at = preview.board.now() - query.position_age
        session.commits.record_commit(
            route.service, query.position, change, committed_at
        )
    if not isinstance(command, Run):
        reason = "the session answers it, and a transaction picks its server later"
        return complete_answer(answer, ExplainOutcome("local", reason=reason))
    request = StatementRequest(preview, route, session, command)
    return _Explanation(request, query).describe(answer)


class _Explanation:
    """What is decided on one request."""

    def __init__(self, request: StatementRequest, query: ExplainQuery):
        self._request = request
        self._query = query
        self._serving = request.serving
        self._board = request.board
        self._at_primary = must_run_at_primary(request.route, request.command.writes)
        self._floor = self._find_floor()
        self._survey = (
            None
            if self._floor is None
            else _survey_without_ejecting(self._serving, request.route, self._floor)
        )
        self._check = check_primary(request, request.primary_deadline)

    def describe(self, answer: dict[str, Any]) -> dict[str, Any]:
        """Return all of it as JSON values, added to `answer`."""
        request = self._request
        answer["statement"] = "write" if request.command.writes else "read"
        answer["quota"] = self._describe_quota()
        if not self._at_primary:
            answer["floor"] = self._describe_floor()
        try:
            outcome = self._decide()
        except CommandFailed as error:
            outcome = ExplainOutcome(
                "refused",
                reason=f"{error.failure_kind.value}: {error.message}",
                expected_wait=request.expected_wait,
                retry_after=error.retry_after,
            )
        candidates = [
            self._describe_candidate(upstream)
            for upstream in self._board.directory.of_service(request.route.service)
        ]
        return complete_answer(answer, outcome, candidates)

    def _find_floor(self) -> Floor | None:
        request = self._request
        if self._at_primary:
            return None
        return compute_floor(
            self._board, request.route, request.session.commits, request.arrived_at
        )

    def _decide(self) -> ExplainOutcome:
        """Return the outcome of the first attempt.

        Raises
        ------
        CommandFailed
            If the request is refused.
        """
        request = self._request
        self._check_admission()
        has_token = _run_until_it_waits(request.allowance.reserve())
        outcome = self._decide_server()
        if has_token or outcome.result != "runs":
            return outcome
        return replace(outcome, result="waits", reason=TOKEN_NEEDED)

    def _decide_server(self) -> ExplainOutcome:
        request = self._request
        if self._at_primary:
            return self._decide_at_primary(request.single_wait_limit)
        plan = plan_read(request, _rank_without_ejecting)
        limit = find_read_wait_limit(request)
        if plan.floor is None:
            return self._decide_at_primary(limit)
        if plan.pool is None:
            return ExplainOutcome("waits", reason=request.last_error)
        if plan.excess > 0:
            request.expected_wait = plan.excess
            raise reject(request, QUEUES_TOO_LONG, Obstacle.OVERLOAD)
        return self._decide_connection(plan.pool, limit)

    def _decide_at_primary(self, limit: float) -> ExplainOutcome:
        request, check = self._request, self._check
        if check.view is None:
            now = self._board.now()
            request.expected_wait = max(0.0, check.opens_at - now)
            if check.is_hopeless(now):
                raise reject(request, check.reason, check.obstacle)
            return ExplainOutcome(
                "waits", reason=check.reason, expected_wait=request.expected_wait
            )
        pool = self._serving.pools.get(check.upstream)
        outcome = self._decide_connection(pool, limit)
        expected = estimate_answer(request, pool) if self._at_primary else 0.0
        if expected > request.time_left:
            request.expected_wait = expected
            raise reject(request, TOO_LITTLE_TIME, Obstacle.OVERLOAD)
        return outcome

    def _decide_connection(self, pool: Pool, limit: float) -> ExplainOutcome:
        request = self._request
        forecast = forecast_acquisition(request, pool, limit)
        server, wait = pool.upstream.id, forecast.expected_wait
        if forecast.is_too_long:
            if self._serving.has_workspaces:
                request.expected_wait = wait
                raise reject(request, QUEUE_TOO_LONG, Obstacle.OVERLOAD)
            reason = f"{QUEUE_TOO_LONG} at {server}; another attempt follows"
            return ExplainOutcome("waits", server, reason, wait)
        is_free = forecast.connection is not None
        return ExplainOutcome(
            "runs", server, "" if is_free else "opens or awaits a connection", wait
        )

    def _check_admission(self) -> None:
        request = self._request
        if not self._serving.has_workspaces:
            return
        owner = _find_workspace(self._serving, self._query)
        if not may_use_route(request.route, owner):
            named = self._query.workspace
            reason = "the workspace is not configured" if named else KEY_NEEDED
            raise CommandFailed(FailureKind.DENIED, reason)

    def _describe_floor(self) -> dict[str, Any]:
        floor = self._floor
        if floor is None:
            return {"known": False, "position": None, "age_ms": None}
        age = floor.compute_age(self._board.now())
        return {
            "known": True,
            "position": describe_floor(floor),
            "age_ms": None if floor.position is None else _to_ms(age),
        }

    def _describe_quota(self) -> dict[str, Any]:
        """Return rate and tokens of the workspace; only what holds for it."""
        catalog = self._board.catalog.catalog
        name = self._request.session.workspace
        workspace = catalog.workspaces.by_name.get(name) if name else None
        quotas = self._board.quotas
        if workspace is None or workspace.rate is None or quotas.bounds is None:
            return {"limited": False}
        described = self._serving.allowances.describe()
        now = self._board.now()
        return {
            "limited": True,
            "rate_per_s": workspace.rate,
            "burst": workspace.burst,
            "on_floor": described["on_floor"],
            "leader_answered_ms_ago": _measure_age(now, quotas.answered_at),
            **described["workspaces"].get(name, {}),
        }

    def _describe_candidate(self, upstream: Upstream) -> ExplainCandidate:
        pool = self._serving.pools.get(upstream)
        view = self._board.authority.groups.get(upstream.service)
        is_primary = view is not None and view.primary_id == upstream.id
        candidate = ExplainCandidate(upstream.id, is_primary)
        is_ready = upstream.state is UpstreamState.READY
        candidate.weigh(is_ready, "", f"it is {upstream.state.value}")
        if self._survey is None:
            self._weigh_primary(candidate, self._check)
        else:
            self._weigh_for_read(candidate, self._survey)
        candidate.load = {**candidate.load, **self._describe_load(pool)}
        return candidate

    def _weigh_primary(self, candidate: ExplainCandidate, check: PrimaryCheck) -> None:
        if not candidate.is_primary:
            only = "only the primary may run it"
            no_floor = "what replicas have to hold is not known, so the primary runs it"
            candidate.cons.append(only if self._at_primary else no_floor)
            return
        candidate.pros.append("it is the primary")
        candidate.weigh(check.view is not None, "it takes new work", check.reason)

    def _weigh_for_read(self, candidate: ExplainCandidate, survey: Survey) -> None:
        load = next((x for x in survey.loads if x.id == candidate.server), None)
        if load is None:
            return
        candidate.weigh(load.may_cover, "", "it is known to lag behind the floor")
        candidate.weigh(
            not load.is_avoided, "", "it has just failed, refused or slowed"
        )
        candidate.weigh(not load.is_ejected, "", "it fails more than its peers")
        candidate.weigh(
            load.slow_factor < SLOW_FACTOR_SHOWN,
            "",
            f"it is {load.slow_factor:.1f} times as slow as its peers",
        )
        candidate.weigh(not load.is_primary, "", "reads spare the primary")
        ranked = survey.rank()
        if ranked[0].id == candidate.server:
            candidate.pros.append("it has the lowest cost")
        parts = itemize_cost(load)
        costs = {name: _to_ms(part) for name, part in parts._asdict().items()}
        candidate.load = {"cost_ms": {"total": _to_ms(sum(parts)), **costs}}

    def _describe_load(self, pool: Pool) -> Mapping[str, Any]:
        request, board = self._request, self._board
        now, upstream = board.now(), pool.upstream
        statistics = pool.statistics
        shared = board.speeds.shared.get(upstream.id)
        wait = pool.estimate_wait(
            request.order, request.session.workspace, request.route.priority
        )
        lag_left = max(0.0, statistics.lag.expires_at - now)
        avoided = max(0.0, statistics.avoid_until - now)
        return {
            **statistics.describe(now, *find_shared_speed(board, upstream)),
            "connections": pool.size,
            "connection_limit": compute_budget(board, upstream).capacity,
            "waiting": pool.waiting,
            "expected_wait_ms": _to_ms(wait),
            "lag_ms": _to_ms(statistics.lag.bound) if lag_left else None,
            "lag_expires_ms": _to_ms(lag_left),
            "avoided_for_ms": _to_ms(avoided),
            "shared_speed_ms_ago": _measure_age(now, shared and shared[1]),
        }


def _find_workspace(serving: ServingContext, query: ExplainQuery) -> str | None:
    """Return the workspace that the named one resolves to, None if it is unknown."""
    if not serving.has_workspaces:
        return ""
    by_name = serving.board.catalog.catalog.workspaces.by_name
    return query.workspace if query.workspace in by_name else None


def _rank_without_ejecting(
    serving: ServingContext, route: Route, floor: Floor
) -> list[Upstream]:
    return _survey_without_ejecting(serving, route, floor).rank()


def _survey_without_ejecting(
    serving: ServingContext, route: Route, floor: Floor
) -> Survey:
    return survey_servers(serving, route, floor, _find_ejected)


def _find_ejected(healths: Mapping[str, ServerHealth], now: float) -> set[str]:
    """Return the servers that would be ejected; none of them is by this."""
    ejected, outlier = judge_servers(healths, now)
    return ejected if outlier is None else ejected | {outlier}


def _run_until_it_waits(coroutine: Coroutine[Any, Any, None]) -> bool:
    """Run a coroutine up to its first wait; return whether it ended without one.

    What it awaits is cancelled, as if its task had been.
    """
    try:
        coroutine.send(None)
    except StopIteration:
        return True
    coroutine.close()
    return False


def _describe_known(serving: ServingContext, route: Route | None) -> dict[str, Any]:
    """Return what is known of the configuration and of the primary, with its age."""
    board = serving.board
    authority, catalog, now = board.authority, board.catalog.catalog, board.now()
    known: dict[str, Any] = {
        "configuration": None if catalog is None else catalog.version,
        "lease_left_ms": _to_ms(max(0.0, authority.lease_expires_at - now)),
        "leader_heard_ms_ago": _measure_age(now, authority.last_grant_at),
    }
    if route is None:
        return known
    view: GroupView | None = authority.groups.get(route.service)
    samples = board.samples.by_service.get(route.service)
    return known | {
        "primary": None if view is None else view.primary_id,
        "primary_state": None if view is None else view.state.value,
        "primary_answered_ms_ago": _measure_age(
            now, authority.reached.get(route.service)
        ),
        "position_sampled_ms_ago": _measure_age(
            now, samples[-1].asked_at if samples else None
        ),
    }


def _describe_route(serving: ServingContext, route: Route) -> dict[str, Any]:
    return {
        "name": route.name,
        "service": route.service,
        "policy": route.policy.value,
        "max_age_ms": None if route.max_age is None else _to_ms(route.max_age),
        "timeout_ms": _to_ms(route.statement_timeout),
        "needs_key": serving.has_workspaces and route.requires_key,
    }


def _measure_age(now: float, at: float | None) -> float | None:
    return None if at is None else _to_ms(now - at)


def _to_ms(seconds: float) -> float:
    return round(seconds * 1000, 1)
