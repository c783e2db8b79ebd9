"""Records of routes, services and upstreams that are in force."""

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
