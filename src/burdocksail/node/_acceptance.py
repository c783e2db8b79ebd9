"""Acceptance: validation and publication of operators' records.

One instance, the acceptor, validates the records: the live instance with the
greatest rendezvous weight. It needs no lease. Publication is a conditional
update and what is published depends on the records alone, so two concurrent
acceptors are harmless. A refusal is written to the record status object, and
the last accepted content stays in effect.
"""

import json
from dataclasses import dataclass

from burdocksail.core import seconds
from burdocksail.node import _placement
from burdocksail.node._board import Blackboard, StoredRecord
from burdocksail.node._configuration import ACCEPTED_PREFIX
from burdocksail.node._store import (
    GetObject,
    ListObjects,
    PutObject,
    StoredObject,
    StoreReply,
    StoreStatus,
    WatchObjects,
)
from burdocksail.node._store_calls import call_store
from burdocksail.records import (
    Group,
    Record,
    RecordError,
    Service,
    Team,
    convert_record,
    parse_record_text,
)

RECORDS_PREFIX = "records/"
RECORD_STATUS_PREFIX = "status/"
WATCH_TIMEOUT = seconds(20)
WATCH_CALL_TIMEOUT = seconds(22)  # longer than the watch, so the store answers first
MAX_CALLS_IN_FLIGHT = 16


@dataclass(frozen=True, slots=True)
class ValidationResult:
    """Result of the validation of one record.

    Attributes
    ----------
    path : str
        Kind and name, ``service/booking``.
    version : int
        Store version of the validated content.
    error : str
        Reason for the refusal; empty if the record is accepted.
    """

    path: str
    version: int
    content: str
    error: str


def validate_records(
    records: dict[str, StoredRecord],
) -> tuple[list[ValidationResult], list[str]]:
    """Validate each record by itself and against the other records.

    Returns
    -------
    results : list of ValidationResult
        One for each record, teams and groups before services.
    errors : list of str
        Path and reason of each refusal.
    """
    parsed: dict[str, Record] = {}
    reasons: dict[str, str] = {}
    for path, stored_record in sorted(records.items()):
        try:
            record = _parse_stored_record(path, stored_record)
        except RecordError as error:
            reasons[path] = str(error)
            continue
        if record is not None:
            parsed[path] = record
    for path, record in parsed.items():
        reason = _find_inconsistency(path, record, parsed)
        if reason:
            reasons[path] = reason
    order = sorted(records, key=lambda path: (path.startswith("service/"), path))
    results = [
        ValidationResult(p, records[p].version, records[p].value, reasons.get(p, ""))
        for p in order
    ]
    return results, [f"{path}: {reason}" for path, reason in reasons.items()]


def run_acceptor(board: Blackboard) -> None:
    """Start or stop acting as the acceptor, according to the current ranking."""
    section = board.acceptance
    ranked = _placement.rank_live_instances(board, "acceptor")
    active = bool(ranked) and ranked[0].key == board.me.key
    if not active:
        section.active = False
        section.loaded = False
        return
    if section.active:
        return
    section.active = True
    _load(board)


def _load(board: Blackboard) -> None:
    section = board.acceptance
    section.records.clear()
    section.accepted_object_versions.clear()
    section.accepted_generations.clear()
    section.refusals.clear()

    def handle_accepted(board: Blackboard, reply: StoreReply) -> None:
        if reply.status is not StoreStatus.OK:
            section.active = False
            return
        for stored in reply.objects:
            _track_accepted_object(board, stored)
        call_store(board, ListObjects(RECORDS_PREFIX), handle_records)

    def handle_records(board: Blackboard, reply: StoreReply) -> None:
        if reply.status is not StoreStatus.OK:
            section.active = False
            return
        section.loaded = True
        _process_records(board, reply)

    call_store(board, ListObjects(ACCEPTED_PREFIX), handle_accepted)


def _process_records(board: Blackboard, reply: StoreReply) -> None:
    section = board.acceptance
    for stored in reply.objects:
        path = stored.key.removeprefix(RECORDS_PREFIX)
        section.records[path] = StoredRecord(stored.version, stored.value)
    section.revision = max(section.revision, reply.revision)
    publish_results(board)
    _watch(board)


def _watch(board: Blackboard) -> None:
    section = board.acceptance

    def handle_changes(board: Blackboard, reply: StoreReply) -> None:
        if not section.active:
            return
        if reply.status is StoreStatus.OK:
            _process_records(board, reply)
        else:
            section.active = False

    operation = WatchObjects(RECORDS_PREFIX, section.revision, WATCH_TIMEOUT)
    call_store(board, operation, handle_changes, WATCH_CALL_TIMEOUT)


def publish_results(board: Blackboard) -> None:
    """Validate all records and write the results not yet in the store.

    Stops once `MAX_CALLS_IN_FLIGHT` store calls are in flight; a later call
    continues.
    """
    section = board.acceptance
    if not section.loaded or section.calls_in_flight >= MAX_CALLS_IN_FLIGHT:
        return
    results, _ = validate_records(section.records)
    for result in results:
        if section.calls_in_flight >= MAX_CALLS_IN_FLIGHT:
            return
        if result.error:
            _publish_refusal(board, result)
        elif section.accepted_generations.get(result.path) != result.version:
            _publish_accepted(board, result)


def _publish_accepted(board: Blackboard, result: ValidationResult) -> None:
    section = board.acceptance
    section.refusals.pop(result.path, None)
    section.accepted_generations[result.path] = result.version
    version = section.accepted_object_versions.get(result.path, 0)
    value = json.dumps(
        {
            "schema_version": 1,
            # Store revisions only increase, so the record's own version serves
            # as the generation: older content never replaces newer content.
            "generation": result.version,
            "content": result.content if not _is_deletion(result.content) else "",
        }
    )
    operation = PutObject(f"{ACCEPTED_PREFIX}{result.path}", value, version)
    section.calls_in_flight += 1

    def finish(board: Blackboard, reply: StoreReply) -> None:
        section.calls_in_flight -= 1
        if reply.status is StoreStatus.OK:
            section.accepted_object_versions[result.path] = reply.objects[0].version
            _write_record_status(board, result)
        else:
            section.accepted_generations.pop(result.path, None)
            _reread_accepted_object(board, result.path)

    call_store(board, operation, finish)


def _reread_accepted_object(board: Blackboard, path: str) -> None:
    """Read the stored object again after a conflict or a lost answer."""

    def finish(board: Blackboard, reply: StoreReply) -> None:
        for stored in reply.objects:
            _track_accepted_object(board, stored)

    call_store(board, GetObject(f"{ACCEPTED_PREFIX}{path}"), finish)


def _track_accepted_object(board: Blackboard, stored: StoredObject) -> None:
    section = board.acceptance
    path = stored.key.removeprefix(ACCEPTED_PREFIX)
    section.accepted_object_versions[path] = stored.version
    try:
        section.accepted_generations[path] = int(json.loads(stored.value)["generation"])
    except (ValueError, KeyError, TypeError):
        board.metrics.count("accepted_objects_malformed")


def _publish_refusal(board: Blackboard, result: ValidationResult) -> None:
    section = board.acceptance
    reason = f"{result.version}: {result.error}"
    if section.refusals.get(result.path) == reason:
        return
    section.refusals[result.path] = reason
    board.metrics.count("records_refused")
    _write_record_status(board, result)


def _write_record_status(board: Blackboard, result: ValidationResult) -> None:
    """Write the result to the record status object.

    Only operators use the status; no instance depends on it.
    """
    section = board.acceptance
    key = f"{RECORD_STATUS_PREFIX}{result.path}"
    value = json.dumps(
        {
            "schema_version": 1,
            "record_version": result.version,
            "state": "refused" if result.error else "accepted",
            "reason": result.error,
        }
    )
    section.calls_in_flight += 1

    def put_status(board: Blackboard, reply: StoreReply) -> None:
        if reply.status is StoreStatus.UNAVAILABLE:
            finish(board, reply)
            return
        version = reply.objects[0].version if reply.objects else 0
        call_store(board, PutObject(key, value, version), finish)

    def finish(board: Blackboard, reply: StoreReply) -> None:
        section.calls_in_flight -= 1
        if reply.status is not StoreStatus.OK:
            # So that a refusal is written again.
            section.refusals.pop(result.path, None)

    call_store(board, GetObject(key), put_status)


def _parse_stored_record(path: str, stored_record: StoredRecord) -> Record | None:
    if _is_deletion(stored_record.value):
        return None
    record = convert_record(parse_record_text(stored_record.value))
    kind = {Team: "team", Service: "service", Group: "group"}[type(record)]
    if path != f"{kind}/{record.name}":
        raise RecordError(f"name: the record is stored as {path}")
    return record


def _is_deletion(text: str) -> bool:
    return text.strip() in ("", "null")


def _find_inconsistency(path: str, record: Record, records: dict[str, Record]) -> str:
    """Return why a record is inconsistent with others, or an empty string."""
    if not isinstance(record, Service):
        return ""
    if f"team/{record.team}" not in records:
        return f"team: there is no accepted team {record.team!r}"
    for group in record.databases.values():
        if f"group/{group}" not in records:
            return f"databases: there is no accepted group {group!r}"
    for other_path, other in records.items():
        # If two services list the same database or account, the one whose
        # name sorts first keeps it, even if it is itself refused as inconsistent.
        if not isinstance(other, Service) or other_path >= path:
            continue
        shared = set(record.databases) & set(other.databases)
        if shared:
            return f"databases: {min(shared)!r} belongs to service {other.name!r}"
        accounts = {a.name for a in record.accounts} & {a.name for a in other.accounts}
        if accounts:
            return f"accounts: {min(accounts)!r} belongs to service {other.name!r}"
    return ""
