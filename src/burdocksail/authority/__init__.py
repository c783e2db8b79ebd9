"""Who leads, who is primary, and the evidence for it."""

from burdocksail.authority._controller import AuthorityController
from burdocksail.authority._limits import ORDER_TIMEOUT

__all__ = ["ORDER_TIMEOUT", "AuthorityController"]
