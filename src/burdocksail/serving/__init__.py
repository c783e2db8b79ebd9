"""The data path: caller sessions, connection pools, routing and read freshness."""

from burdocksail.serving._context import Serving
from burdocksail.serving._freshness import Sampler
from burdocksail.serving._pools import Pools
from burdocksail.serving._replies import CallerReply
from burdocksail.serving._sessions import CallerSession

__all__ = ["CallerReply", "CallerSession", "Pools", "Sampler", "Serving"]
