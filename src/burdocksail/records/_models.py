"""Pydantic models of each record kind and schema version.

A released version is never edited. A change adds a model, and both versions
are accepted side by side while operators migrate.
"""

from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, IPvAnyAddress

Name = Annotated[str, Field(pattern=r"^[a-z][a-z0-9_-]{0,62}$")]
PasswordHash = Annotated[str, Field(pattern=r"^[0-9a-f]{40}$")]
Milliseconds = Annotated[int, Field(ge=1, le=3_600_000)]


class StrictModel(BaseModel):
    """Base of all models; rejects unknown fields, so a misspelt one is an error."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class TeamV1(StrictModel):
    """Team, schema version 1."""

    schema_version: Literal[1]
    kind: Literal["team"]
    name: Name
    owner: Annotated[str, Field(min_length=1, max_length=200)]
    share: Annotated[int, Field(ge=1, le=1000)] = 1


class AccountModel(StrictModel):
    """Account of a service."""

    name: Annotated[str, Field(min_length=1, max_length=32)]
    password_hash: PasswordHash


class ServiceV1(StrictModel):
    """Service, schema version 1: one database, no work classes."""

    schema_version: Literal[1]
    kind: Literal["service"]
    name: Name
    team: Name
    database: Name
    group: Name
    accounts: Annotated[list[AccountModel], Field(min_length=1, max_length=100)]
    reads: Literal["primary", "own_writes", "stated_age"] = "own_writes"
    max_age_ms: Milliseconds | None = None
    deadline_ms: Milliseconds = 5_000


class ReadRuleModel(StrictModel):
    """Default freshness of a service's reads."""

    freshness: Literal["primary", "own_writes", "stated_age"] = "own_writes"
    max_age_ms: Milliseconds | None = None


class WorkRuleModel(StrictModel):
    """Work class of the statements that start with a prefix."""

    statement_prefix: Annotated[str, Field(min_length=3, max_length=200)]
    work_class: Literal["short", "long"]


class ServiceV2(StrictModel):
    """Service, schema version 2: several databases, work classes, durability."""

    schema_version: Literal[2]
    kind: Literal["service"]
    name: Name
    team: Name
    databases: Annotated[dict[Name, Name], Field(min_length=1, max_length=100)]
    accounts: Annotated[list[AccountModel], Field(min_length=1, max_length=100)]
    reads: ReadRuleModel = ReadRuleModel()
    deadline_ms: Milliseconds = 5_000
    acknowledge_after: Literal["primary", "replica"] = "replica"
    work_rules: Annotated[list[WorkRuleModel], Field(max_length=100)] = []


class ServerModel(StrictModel):
    """Server of a database group."""

    name: Name
    host: IPvAnyAddress
    port: Annotated[int, Field(ge=1, le=65535)]
    failure_domain: Name


class GroupV1(StrictModel):
    """Database group, schema version 1."""

    schema_version: Literal[1]
    kind: Literal["group"]
    name: Name
    servers: Annotated[list[ServerModel], Field(min_length=1, max_length=9)]
    slots: Annotated[int, Field(ge=2, le=1000)]
    connections: Annotated[int, Field(ge=6, le=10_000)]
    user: Annotated[str, Field(min_length=1, max_length=32)]
    password: Annotated[str, Field(max_length=200)] = ""


class GroupV2(GroupV1):
    """Database group, schema version 2: adds planned changes of its servers."""

    schema_version: Literal[2]
    preferred_primary: Name | None = None
    leaving: Annotated[list[Name], Field(max_length=9)] = []
    lost_instances: Annotated[list[str], Field(max_length=100)] = []
