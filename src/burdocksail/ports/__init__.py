"""Interfaces that adapters implement, and the errors that they raise.

They cover connections to upstreams, the object store, the decoding of its
objects, and promotions.
"""

from burdocksail.ports._decoding import ObjectDecoder
from burdocksail.ports._errors import (
    ConnectFailed,
    HistoryLost,
    PortError,
    PromotionRefused,
    PromotionUnknown,
    StoreConflict,
    StoreUnavailable,
    TooManyConnections,
    UpstreamLost,
    WrongUpstream,
)
from burdocksail.ports._promotion import Promoter
from burdocksail.ports._store import (
    FIRST_TIMELINE,
    MAX_TIMELINE,
    REVISIONS_PER_TIMELINE,
    Listing,
    ObjectKind,
    ObjectStore,
    StoredObject,
    StoreEvent,
    StoreEvents,
    StoreVersion,
    count_from_timeline,
)
from burdocksail.ports._upstreams import (
    Connector,
    Reply,
    ReplyStatus,
    ServerStatus,
    UpstreamConnection,
)

__all__ = [
    "FIRST_TIMELINE",
    "MAX_TIMELINE",
    "REVISIONS_PER_TIMELINE",
    "ConnectFailed",
    "Connector",
    "HistoryLost",
    "Listing",
    "ObjectDecoder",
    "ObjectKind",
    "ObjectStore",
    "PortError",
    "Promoter",
    "PromotionRefused",
    "PromotionUnknown",
    "Reply",
    "ReplyStatus",
    "ServerStatus",
    "StoreConflict",
    "StoreEvent",
    "StoreEvents",
    "StoreUnavailable",
    "StoreVersion",
    "StoredObject",
    "TooManyConnections",
    "UpstreamConnection",
    "UpstreamLost",
    "WrongUpstream",
    "count_from_timeline",
]
