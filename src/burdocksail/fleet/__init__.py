"""Exchange of state between an instance, the store and the other instances."""

from burdocksail.fleet._codec import (
    MessageError,
    Snapshot,
    decode_message,
    decode_snapshot,
    encode_message,
    encode_snapshot,
    is_sendable,
)
from burdocksail.fleet._messages import (
    Allowance,
    AllowanceDemand,
    AllowanceGrant,
    AllowanceRequest,
    Farewell,
    Grant,
    LeaderQuery,
    LeaderReport,
    Message,
    NotLeader,
    Renew,
    SharedSample,
    TakeOver,
)
from burdocksail.fleet._peers import Address, DatagramPeers, Peers
from burdocksail.fleet._registration import (
    INSTANCE_PREFIX,
    Registration,
    decode_member,
    encode_member,
    is_addressable,
    make_object_name,
)
from burdocksail.fleet._snapshots import SnapshotExchange
from burdocksail.fleet._tracking import (
    AUTHORITY_NAME,
    CHALLENGE_PREFIX,
    StoreTracker,
    make_authority_name,
)

__all__ = [
    "Allowance",
    "AllowanceDemand",
    "AllowanceGrant",
    "AllowanceRequest",
    "AUTHORITY_NAME",
    "CHALLENGE_PREFIX",
    "Address",
    "DatagramPeers",
    "Farewell",
    "INSTANCE_PREFIX",
    "Grant",
    "LeaderQuery",
    "LeaderReport",
    "Message",
    "MessageError",
    "NotLeader",
    "Peers",
    "Registration",
    "Renew",
    "SharedSample",
    "Snapshot",
    "SnapshotExchange",
    "StoreTracker",
    "TakeOver",
    "decode_member",
    "decode_message",
    "decode_snapshot",
    "encode_member",
    "encode_message",
    "encode_snapshot",
    "is_addressable",
    "is_sendable",
    "make_authority_name",
    "make_object_name",
]
