"""What the proxy says to upstream servers, without saying how.

Scripts are generators that yield SQL and are sent results. The asyncio adapter
and the in-memory driver run the same scripts, so both speak the same protocol.
"""

from burdocksail.upstream._errors import UpstreamError
from burdocksail.upstream._scripts import (
    KEY_TABLE,
    KEY_TABLE_DEFINITION,
    Script,
    script_admin,
    script_operation,
)

__all__ = [
    "KEY_TABLE",
    "KEY_TABLE_DEFINITION",
    "Script",
    "UpstreamError",
    "script_admin",
    "script_operation",
]
