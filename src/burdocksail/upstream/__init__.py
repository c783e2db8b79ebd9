"""SQL that the proxy runs on upstream servers, independent of I/O.

Scripts are generators that yield SQL statements and are sent their results. The
asyncio adapter and the in-memory simulator run the same scripts, so both issue the
same statements.
"""

from burdocksail.upstream._errors import UpstreamError
from burdocksail.upstream._scripts import (
    CREATE_REQUEST_KEY_TABLE,
    REQUEST_KEY_TABLE,
    OperationScript,
    build_admin_script,
    build_operation_script,
)

__all__ = [
    "CREATE_REQUEST_KEY_TABLE",
    "OperationScript",
    "REQUEST_KEY_TABLE",
    "UpstreamError",
    "build_admin_script",
    "build_operation_script",
]
