"""Connection pools, one per upstream, shared by the sessions of this instance."""

from typing import Any

from burdocksail.board import Blackboard
from burdocksail.catalog import Catalog, Upstream
from burdocksail.ports import Connector
from burdocksail.serving._connections import (
    Forecast,
    NoConnection,
    PooledConnection,
)
from burdocksail.serving._pool import Pool
from burdocksail.traffic import Demand

__all__ = ["ConnectionPools", "Forecast", "NoConnection", "Pool", "PooledConnection"]


class ConnectionPools:
    """The connection pools of this instance, by upstream."""

    def __init__(self, board: Blackboard, connector: Connector):
        self._board = board
        self._connector = connector
        self._demand = Demand()
        self._checked_catalog: Catalog | None = None
        self._pools: dict[str, Pool] = {}

    def get(self, upstream: Upstream) -> Pool:
        """Return the pool of an upstream, creating it if needed.

        A restarted server has lost its sessions, and one at another address is a
        different server, so either gets a new pool and the old one is closed.
        """
        pool = self._find(upstream)
        if pool is None:
            # Connections in use are still released to the old pool.
            replaced = self._pools.get(upstream.id)
            if replaced is not None:
                replaced.close()
            pool = self._pools[upstream.id] = self._make(upstream)
        return pool

    def make_preview(self) -> "ConnectionPools":
        """Return the same pools, in a collection whose changes concern nobody.

        A pool that does not exist yet is made there, and one of a replaced server is
        not closed.
        """
        preview = ConnectionPools(self._board, self._connector)
        preview._pools = {
            name: pool
            for name, pool in self._pools.items()
            if (found := self._board.directory.upstreams.get(name)) is not None
            and self._find(found) is pool
        }
        return preview

    def _find(self, upstream: Upstream) -> Pool | None:
        """Return the pool of a server, None if it has none that is in use."""
        pool = self._pools.get(upstream.id)
        if pool is None or pool.is_closed:
            return None
        return pool if _is_same_server(pool.upstream, upstream) else None

    def _make(self, upstream: Upstream) -> Pool:
        return Pool(self._board, self._connector, upstream, self._demand)

    def close_unused(self) -> None:
        """Close the pools of removed upstreams, and surplus idle connections.

        Also what belongs to workspaces that are no longer configured.
        """
        self._close_orphaned()
        known = self._board.directory.upstreams
        for upstream_id, pool in list(self._pools.items()):
            if upstream_id not in known:
                pool.close()
                if pool.is_unused:
                    del self._pools[upstream_id]
                    self._board.speeds.own.pop(upstream_id, None)
            else:
                pool.close_surplus()

    def _close_orphaned(self) -> None:
        catalog = self._board.catalog.catalog
        if catalog is not self._checked_catalog:
            self._checked_catalog = catalog
            for pool in self._pools.values():
                pool.close_orphaned()

    def close(self) -> None:
        """Close all pools; connections in use close when they are released."""
        for pool in self._pools.values():
            pool.close()

    def describe(self) -> dict[str, dict[str, Any]]:
        """Return the state of each pool for the dump."""
        return {name: pool.describe() for name, pool in self._pools.items()}


def _is_same_server(known: Upstream, current: Upstream) -> bool:
    return (known.host, known.port, known.started_at_ms, known.service) == (
        current.host,
        current.port,
        current.started_at_ms,
        current.service,
    )
