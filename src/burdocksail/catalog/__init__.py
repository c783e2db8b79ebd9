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

__all__ = [
    "Catalog",
    "ReadPolicy",
    "Route",
    "Service",
    "Upstream",
    "UpstreamRole",
    "UpstreamState",
]
