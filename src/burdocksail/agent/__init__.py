"""One instance of the proxy, independent of the protocols in front of it."""

from burdocksail.agent._instance import InstanceProcess, PeersFactory
from burdocksail.agent._logging import configure_logging
from burdocksail.agent._sessions import SessionRegistry

__all__ = ["InstanceProcess", "PeersFactory", "SessionRegistry", "configure_logging"]
