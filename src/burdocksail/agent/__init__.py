"""One instance of the proxy as a process, whatever protocols surround it."""

from burdocksail.agent._instance import InstanceProcess, PeersFactory
from burdocksail.agent._logging import configure_logging
from burdocksail.agent._sessions import SessionRegistry

__all__ = ["InstanceProcess", "PeersFactory", "SessionRegistry", "configure_logging"]
