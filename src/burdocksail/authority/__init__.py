"""Leader election, leases on the primaries, and changes of primary."""

from burdocksail.authority._allowances import AllowanceIssuer
from burdocksail.authority._controller import AuthorityController
from burdocksail.authority._follower import Follower
from burdocksail.authority._limits import PROMOTION_TIMEOUT

__all__ = [
    "PROMOTION_TIMEOUT",
    "AllowanceIssuer",
    "AuthorityController",
    "Follower",
]
