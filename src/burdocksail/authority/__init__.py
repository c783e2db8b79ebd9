"""Leader election, leases on the primaries, and changes of primary."""

from burdocksail.authority._controller import AuthorityController
from burdocksail.authority._limits import PROMOTION_TIMEOUT

__all__ = ["PROMOTION_TIMEOUT", "AuthorityController"]
