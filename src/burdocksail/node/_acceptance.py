"""Acceptance: validation and publication of operators' records.

One instance, the acceptor, validates the records: the live instance with the
greatest rendezvous weight. It needs no lease. Publication is a conditional
update and what is published depends on the records alone, so two concurrent
acceptors are harmless. A refusal is written to the record status object, and
the last accepted content stays in effect.

A store that is restored may hold records older than those accepted, which operators
write again. Such a record is published only if the store still holds it after
`RESTORED_RECORD_GRACE`.
"""

import json
from dataclasses import dataclass, replace

from burdocksail.core import seconds
from burdocksail.node import _placement
from burdocksail.node._board import (
    AcceptanceSection,
    AcceptedObject,
    Blackboard,
    StoredRecord,
)
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
from burdocksail.ports import FIRST_TIMELINE, StoreVersion
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
# Time after a restoration in which operators' tools write again what it has lost.
RESTORED_RECORD_GRACE = seconds(6)


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
        section.knows_records = False
        return
    if section.active:
        return
    section.active = True
    _load(board)


def _load(board: Blackboard) -> None:
    section = board.acceptance
    section.loaded = False

    def handle_accepted(board: Blackboard, reply: StoreReply) -> None:
        if reply.status is not StoreStatus.OK:
            section.active = False
            return
        section.accepted.clear()
        section.refusals.clear()
        for stored in reply.objects:
            _track_accepted_object(board, stored)
        call_store(board, ListObjects(RECORDS_PREFIX), handle_records)

    def handle_records(board: Blackboard, reply: StoreReply) -> None:
        if reply.status is not StoreStatus.OK:
            section.active = False
            return
        if reply.timeline > section.version.timeline:
            section.doubtful_versions = _find_doubtful_versions(board, reply)
        section.records.clear()
        section.loaded = True
        section.knows_records = True
        _process_records(board, reply)

    call_store(board, ListObjects(ACCEPTED_PREFIX), handle_accepted)


def _find_doubtful_versions(board: Blackboard, reply: StoreReply) -> dict[str, int]:
    """Return the versions of listed records that may be older than what is accepted.

    These are all, unless this instance was the acceptor before the restoration: then
    those of which it knew a later version.
    """
    section = board.acceptance
    if reply.timeline <= FIRST_TIMELINE:
        return {}
    doubtful = {}
    for stored in reply.objects:
        path = stored.key.removeprefix(RECORDS_PREFIX)
        if not section.knows_records:
            doubtful[path] = stored.version
            continue
        known = section.records.get(path)
        if known is not None and known.version > stored.version:
            doubtful[path] = stored.version
    return doubtful


def _process_records(board: Blackboard, reply: StoreReply) -> None:
    section = board.acceptance
    for stored in reply.objects:
        path = stored.key.removeprefix(RECORDS_PREFIX)
        section.records[path] = StoredRecord(stored.version, stored.value)
    section.version = StoreVersion(reply.timeline, reply.revision)
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

    operation = WatchObjects(RECORDS_PREFIX, section.version.revision, WATCH_TIMEOUT)
    call_store(board, operation, handle_changes, WATCH_CALL_TIMEOUT)


def publish_results(board: Blackboard) -> None:
    """Validate all records and write the results not yet in the store.

    Stops once `MAX_CALLS_IN_FLIGHT` store calls are in flight; a later call
    continues.
    """
    section = board.acceptance
    if section.version.timeline != board.store.timeline:
        return
    if not section.loaded or section.calls_in_flight >= MAX_CALLS_IN_FLIGHT:
        return
    results, _ = validate_records(section.records)
    for result in results:
        if section.calls_in_flight >= MAX_CALLS_IN_FLIGHT:
            return
        if result.error:
            _publish_refusal(board, result)
        elif not _is_published(section, result) and not _is_doubtful(board, result):
            _publish_accepted(board, result)


def _is_published(section: AcceptanceSection, result: ValidationResult) -> bool:
    """Return whether the accepted object has this version of a record.

    It may have been published in an earlier timeline, with the generation of that one.
    """
    accepted = section.accepted.get(result.path)
    if accepted is None:
        return False
    if accepted.generation == _make_generation(section, result):
        return True
    published = StoreVersion.from_number(accepted.generation)
    is_same_content = accepted.content == _make_content(result)
    return published.revision == result.version and is_same_content


def _is_doubtful(board: Blackboard, result: ValidationResult) -> bool:
    section = board.acceptance
    return (
        section.doubtful_versions.get(result.path) == result.version
        and board.now < board.store.timeline_since + RESTORED_RECORD_GRACE
    )


def _make_generation(section: AcceptanceSection, result: ValidationResult) -> int:
    """Return a generation that older content of the record does not have.

    Within a timeline, the version of the record grows with each change of it.
    """
    return StoreVersion(section.version.timeline, result.version).to_number()


def _make_content(result: ValidationResult) -> str:
    return "" if _is_deletion(result.content) else result.content


def _publish_accepted(board: Blackboard, result: ValidationResult) -> None:
    section = board.acceptance
    section.refusals.pop(result.path, None)
    previous = section.accepted.get(result.path)
    version = 0 if previous is None else previous.version
    published = AcceptedObject(
        version, _make_generation(section, result), _make_content(result)
    )
    section.accepted[result.path] = published
    value = json.dumps(
        {
            "schema_version": 1,
            "generation": published.generation,
            "content": published.content,
        }
    )
    operation = PutObject(f"{ACCEPTED_PREFIX}{result.path}", value, version)
    section.calls_in_flight += 1

    def finish(board: Blackboard, reply: StoreReply) -> None:
        section.calls_in_flight -= 1
        if reply.status is StoreStatus.OK:
            stored = replace(published, version=reply.objects[0].version)
            section.accepted[result.path] = stored
            _write_record_status(board, result)
        else:
            section.accepted[result.path] = AcceptedObject(version, 0, "")
            _reread_accepted_object(board, result.path)

    call_store(board, operation, finish)


def _reread_accepted_object(board: Blackboard, path: str) -> None:
    """Read the stored object again after a conflict or a lost answer."""

    def finish(board: Blackboard, reply: StoreReply) -> None:
        if reply.status is StoreStatus.MISSING:
            board.acceptance.accepted.pop(path, None)
        for stored in reply.objects:
            _track_accepted_object(board, stored)

    call_store(board, GetObject(f"{ACCEPTED_PREFIX}{path}"), finish)


def _track_accepted_object(board: Blackboard, stored: StoredObject) -> None:
    section = board.acceptance
    path = stored.key.removeprefix(ACCEPTED_PREFIX)
    generation, content = 0, ""
    try:
        value = json.loads(stored.value)
        generation, content = int(value["generation"]), str(value["content"])
    except (ValueError, KeyError, TypeError, RecursionError):
        board.metrics.count("accepted_objects_malformed")
    section.accepted[path] = AcceptedObject(stored.version, generation, content)


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
