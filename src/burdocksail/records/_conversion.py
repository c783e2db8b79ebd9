"""Conversion of record models of all schema versions to the internal types."""

from datetime import timedelta
from functools import singledispatch

from burdocksail.core import Freshness, WorkClass
from burdocksail.records._errors import RecordError
from burdocksail.records._models import (
    AccountModel,
    GroupV1,
    GroupV2,
    ServiceV1,
    ServiceV2,
    StrictModel,
    TeamV1,
)
from burdocksail.records._types import (
    Account,
    AcknowledgeAfter,
    Group,
    ReadRule,
    Record,
    Server,
    Service,
    Team,
    WorkRule,
)


@singledispatch
def convert_record(model: StrictModel) -> Record:
    """Return a validated model as an instance of its internal type.

    Raises
    ------
    RecordError
        If fields that are valid individually contradict each other.
    """
    raise RecordError(f"no conversion for {type(model).__name__}")


@convert_record.register
def _convert_team_v1(model: TeamV1) -> Team:
    return Team(name=model.name, owner=model.owner, share=model.share)


@convert_record.register
def _convert_service_v1(model: ServiceV1) -> Service:
    # Version 1 guaranteed that a write is acknowledged as soon as the primary
    # holds it; records of that version keep this behaviour.
    return Service(
        name=model.name,
        team=model.team,
        databases={model.database: model.group},
        accounts=_convert_accounts(model.accounts),
        reads=_convert_read_rule(model.reads, model.max_age_ms),
        time_limit=timedelta(milliseconds=model.deadline_ms),
        acknowledge_after=AcknowledgeAfter.PRIMARY,
    )


@convert_record.register
def _convert_service_v2(model: ServiceV2) -> Service:
    return Service(
        name=model.name,
        team=model.team,
        databases=dict(model.databases),
        accounts=_convert_accounts(model.accounts),
        reads=_convert_read_rule(model.reads.freshness, model.reads.max_age_ms),
        time_limit=timedelta(milliseconds=model.deadline_ms),
        acknowledge_after=AcknowledgeAfter(model.acknowledge_after),
        work_rules=tuple(
            WorkRule(rule.statement_prefix, WorkClass(rule.work_class))
            for rule in model.work_rules
        ),
    )


@convert_record.register
def _convert_group_v1(model: GroupV1) -> Group:
    servers = tuple(
        Server(s.name, str(s.host), s.port, s.failure_domain) for s in model.servers
    )
    if len({server.name for server in servers}) != len(servers):
        raise RecordError("servers: two servers have the same name")
    return Group(
        name=model.name,
        servers=servers,
        slots=model.slots,
        connections=model.connections,
        user=model.user,
        password=model.password,
    )


@convert_record.register
def _convert_group_v2(model: GroupV2) -> Group:
    group = _convert_group_v1(model)
    names = {server.name for server in group.servers}
    if model.preferred_primary is not None and model.preferred_primary not in names:
        raise RecordError("preferred_primary: no server has this name")
    if not names.issuperset(model.leaving):
        raise RecordError("leaving: names a server that the group does not have")
    return Group(
        name=group.name,
        servers=group.servers,
        slots=group.slots,
        connections=group.connections,
        user=group.user,
        password=group.password,
        preferred_primary=model.preferred_primary or "",
        leaving=frozenset(model.leaving),
        lost_instances=frozenset(model.lost_instances),
    )


def _convert_accounts(models: list[AccountModel]) -> tuple[Account, ...]:
    return tuple(Account(model.name, model.password_hash) for model in models)


def _convert_read_rule(freshness: str, max_age_ms: int | None) -> ReadRule:
    required_freshness = Freshness(freshness)
    if (required_freshness is Freshness.STATED_AGE) != (max_age_ms is not None):
        raise RecordError("max_age_ms: belongs to stated_age reads, and only to them")
    max_age = None if max_age_ms is None else timedelta(milliseconds=max_age_ms)
    return ReadRule(required_freshness, max_age)
