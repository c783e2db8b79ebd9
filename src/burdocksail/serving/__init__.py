"""The data path: sessions, connections, routing and freshness."""

from burdocksail.serving._context import Serving
from burdocksail.serving._freshness import Sampler
from burdocksail.serving._pools import Pools
from burdocksail.serving._replies import CallerReply
from burdocksail.serving._sessions import CallerSession

__all__ = ["CallerReply", "CallerSession", "Pools", "Sampler", "Serving"]
