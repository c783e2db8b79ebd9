"""One instance of the proxy, without the protocols of callers, servers and store."""

from burdocksail.agent._instance import InstanceProcess, PeersFactory
from burdocksail.agent._logging import LineBuffer, configure_logging
from burdocksail.agent._sessions import SessionRegistry

__all__ = [
    "InstanceProcess",
    "LineBuffer",
    "PeersFactory",
    "SessionRegistry",
    "configure_logging",
]
