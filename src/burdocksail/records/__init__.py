"""Validation of operators' records and their conversion to internal types."""

from burdocksail.records._conversion import convert_record
from burdocksail.records._errors import RecordError
from burdocksail.records._passwords import hash_password
from burdocksail.records._types import (
    Account,
    AcknowledgeAfter,
    Group,
    ReadRule,
    Record,
    Server,
    Service,
    Team,
    WorkRule,
)
from burdocksail.records._validation import (
    MAX_RECORD_BYTES,
    RECORD_KINDS,
    RecordIdentity,
    parse_record,
    parse_record_text,
)

__all__ = [
    "MAX_RECORD_BYTES",
    "RECORD_KINDS",
    "Account",
    "AcknowledgeAfter",
    "Group",
    "ReadRule",
    "Record",
    "RecordError",
    "RecordIdentity",
    "Server",
    "Service",
    "Team",
    "WorkRule",
    "convert_record",
    "hash_password",
    "parse_record",
    "parse_record_text",
]
