"""Configuration records for the demo, tests and measurements."""

import json
from collections.abc import Iterable

from burdocksail.records import Server, hash_password

GROUP_USER = "proxy"
GROUP_PASSWORD = "standin-only"


def make_team_record(name: str, share: int = 1) -> str:
    """Return a team record as JSON text."""
    value = {"schema_version": 1, "kind": "team", "name": name, "owner": f"{name} team"}
    return json.dumps({**value, "share": share})


def make_group_record(
    name: str, servers: Iterable[Server], slots: int, connections: int, **extra: object
) -> str:
    """Return a database group record as JSON text; `extra` adds fields."""
    return json.dumps(
        {
            "schema_version": 2,
            "kind": "group",
            "name": name,
            "servers": [
                {
                    "name": server.name,
                    "host": server.host,
                    "port": server.port,
                    "failure_domain": server.failure_domain,
                }
                for server in servers
            ],
            "slots": slots,
            "connections": connections,
            "user": GROUP_USER,
            "password": GROUP_PASSWORD,
            **extra,
        }
    )


def make_service_record(
    name: str,
    team: str,
    databases: dict[str, str],
    accounts: dict[str, str],
    **extra: object,
) -> str:
    """Return a service record as JSON text; `extra` adds fields.

    `databases` maps the name of a database to its group, and `accounts` the name
    of an account to its password, of which the record holds only the hash.
    """
    return json.dumps(
        {
            "schema_version": 2,
            "kind": "service",
            "name": name,
            "team": team,
            "databases": databases,
            "accounts": [
                {"name": account, "password_hash": hash_password(password)}
                for account, password in accounts.items()
            ],
            **extra,
        }
    )
