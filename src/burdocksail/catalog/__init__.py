"""Records of the configuration in force and of the upstreams."""

from burdocksail.catalog._records import (
    Catalog,
    ReadPolicy,
    Route,
    Service,
    Upstream,
    UpstreamRole,
    UpstreamState,
)
from burdocksail.catalog._workspaces import (
    SALT_BYTES,
    Workspace,
    Workspaces,
    digest_key,
)

__all__ = [
    "Catalog",
    "ReadPolicy",
    "Route",
    "SALT_BYTES",
    "Service",
    "Upstream",
    "UpstreamRole",
    "UpstreamState",
    "Workspace",
    "Workspaces",
    "digest_key",
]
