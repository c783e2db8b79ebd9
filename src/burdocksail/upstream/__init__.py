"""SQL that the proxy runs on upstream servers, independent of I/O.

Scripts are generators that yield SQL statements and are sent their results. The
asyncio adapter and the in-memory driver run the same scripts, so both issue the
same statements.
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
