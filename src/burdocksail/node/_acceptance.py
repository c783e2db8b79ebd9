"""Acceptance: operators' records are checked once and published.

One instance, the first by rendezvous, examines records. No lease is needed for
that: publication is a conditional update, and what is published is a function
of the records alone, so two acceptors at once do no harm. A refusal is written
to the record's status, and the last accepted content stays in force.
"""

import json
from dataclasses import dataclass

from burdocksail.core import seconds
from burdocksail.node import _placement
from burdocksail.node._board import Blackboard, RecordView
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
STATUS_PREFIX = "status/"
WATCH_TIMEOUT = seconds(20)
WATCH_CALL_TIMEOUT = seconds(22)
MAX_CALLS_AT_ONCE = 16


@dataclass(frozen=True, slots=True)
class Verdict:
    """Result of the examination of one record.

    Attributes
    ----------
    error : str
        Reason of the refusal; empty if the record is accepted.
    """

    path: str
    version: int
    content: str
    error: str


def examine_records(
    records: dict[str, RecordView],
) -> tuple[list[Verdict], list[str]]:
    """Check all records, alone and against each other.

    Returns
    -------
    verdicts : list of Verdict
        One for each record, teams and groups first.
    errors : list of str
        The reasons of all refusals.
    """
    parsed: dict[str, Record] = {}
    reasons: dict[str, str] = {}
    for path, view in sorted(records.items()):
        try:
            record = _parse_view(path, view)
        except RecordError as error:
            reasons[path] = str(error)
            continue
        if record is not None:
            parsed[path] = record
    for path, record in parsed.items():
        reason = _find_contradiction(path, record, parsed)
        if reason:
            reasons[path] = reason
    order = sorted(records, key=lambda path: (path.startswith("service/"), path))
    verdicts = [
        Verdict(p, records[p].version, records[p].value, reasons.get(p, ""))
        for p in order
    ]
    return verdicts, [f"{path}: {reason}" for path, reason in reasons.items()]


def run_acceptor(board: Blackboard) -> None:
    """Examine records if this instance is the acceptor."""
    section = board.acceptance
    ranked = _placement.rank_live(board, "acceptor")
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
    section.accepted_versions.clear()
    section.accepted_records.clear()
    section.refusals.clear()

    def take_accepted(board: Blackboard, reply: StoreReply) -> None:
        if reply.status is not StoreStatus.OK:
            section.active = False
            return
        for stored in reply.objects:
            _note_accepted(board, stored)
        call_store(board, ListObjects(RECORDS_PREFIX), take_records)

    def take_records(board: Blackboard, reply: StoreReply) -> None:
        if reply.status is not StoreStatus.OK:
            section.active = False
            return
        section.loaded = True
        _take_records(board, reply)

    call_store(board, ListObjects(ACCEPTED_PREFIX), take_accepted)


def _take_records(board: Blackboard, reply: StoreReply) -> None:
    section = board.acceptance
    for stored in reply.objects:
        path = stored.key.removeprefix(RECORDS_PREFIX)
        section.records[path] = RecordView(stored.version, stored.value)
    section.revision = max(section.revision, reply.revision)
    publish_verdicts(board)
    _watch(board)


def _watch(board: Blackboard) -> None:
    section = board.acceptance

    def take(board: Blackboard, reply: StoreReply) -> None:
        if not section.active:
            return
        if reply.status is StoreStatus.OK:
            _take_records(board, reply)
        else:
            section.active = False

    operation = WatchObjects(RECORDS_PREFIX, section.revision, WATCH_TIMEOUT)
    call_store(board, operation, take, WATCH_CALL_TIMEOUT)


def publish_verdicts(board: Blackboard) -> None:
    """Write what is new in the verdicts on all records."""
    section = board.acceptance
    if not section.loaded or section.calls_open >= MAX_CALLS_AT_ONCE:
        return
    verdicts, _ = examine_records(section.records)
    for verdict in verdicts:
        if section.calls_open >= MAX_CALLS_AT_ONCE:
            return
        if verdict.error:
            _publish_refusal(board, verdict)
        elif section.accepted_records.get(verdict.path) != verdict.version:
            _publish_accepted(board, verdict)


def _publish_accepted(board: Blackboard, verdict: Verdict) -> None:
    section = board.acceptance
    section.refusals.pop(verdict.path, None)
    section.accepted_records[verdict.path] = verdict.version
    version = section.accepted_versions.get(verdict.path, 0)
    value = json.dumps(
        {
            "schema_version": 1,
            # Store versions only grow, so the record's own version serves as
            # the generation, and no older content can ever supersede.
            "generation": verdict.version,
            "content": verdict.content if not _is_deletion(verdict.content) else "",
        }
    )
    operation = PutObject(f"{ACCEPTED_PREFIX}{verdict.path}", value, version)
    section.calls_open += 1

    def finish(board: Blackboard, reply: StoreReply) -> None:
        section.calls_open -= 1
        if reply.status is StoreStatus.OK:
            section.accepted_versions[verdict.path] = reply.objects[0].version
            _write_status(board, verdict)
        else:
            section.accepted_records.pop(verdict.path, None)
            _read_accepted_back(board, verdict.path)

    call_store(board, operation, finish)


def _read_accepted_back(board: Blackboard, path: str) -> None:
    """Find out what the store holds after a conflict or a lost answer."""

    def finish(board: Blackboard, reply: StoreReply) -> None:
        for stored in reply.objects:
            _note_accepted(board, stored)

    call_store(board, GetObject(f"{ACCEPTED_PREFIX}{path}"), finish)


def _note_accepted(board: Blackboard, stored: StoredObject) -> None:
    section = board.acceptance
    path = stored.key.removeprefix(ACCEPTED_PREFIX)
    section.accepted_versions[path] = stored.version
    try:
        section.accepted_records[path] = int(json.loads(stored.value)["generation"])
    except (ValueError, KeyError, TypeError):
        board.metrics.count("accepted_objects_malformed")


def _publish_refusal(board: Blackboard, verdict: Verdict) -> None:
    section = board.acceptance
    reason = f"{verdict.version}: {verdict.error}"
    if section.refusals.get(verdict.path) == reason:
        return
    section.refusals[verdict.path] = reason
    board.metrics.count("records_refused")
    _write_status(board, verdict)


def _write_status(board: Blackboard, verdict: Verdict) -> None:
    """Tell operators of the verdict; the status has no other reader."""
    section = board.acceptance
    key = f"{STATUS_PREFIX}{verdict.path}"
    value = json.dumps(
        {
            "schema_version": 1,
            "record_version": verdict.version,
            "state": "refused" if verdict.error else "accepted",
            "reason": verdict.error,
        }
    )
    section.calls_open += 1

    def put(board: Blackboard, reply: StoreReply) -> None:
        if reply.status is StoreStatus.UNAVAILABLE:
            finish(board, reply)
            return
        version = reply.objects[0].version if reply.objects else 0
        call_store(board, PutObject(key, value, version), finish)

    def finish(board: Blackboard, reply: StoreReply) -> None:
        section.calls_open -= 1
        if reply.status is not StoreStatus.OK:
            section.refusals.pop(verdict.path, None)

    call_store(board, GetObject(key), put)


def _parse_view(path: str, view: RecordView) -> Record | None:
    if _is_deletion(view.value):
        return None
    record = convert_record(parse_record_text(view.value))
    kind = {Team: "team", Service: "service", Group: "group"}[type(record)]
    if path != f"{kind}/{record.name}":
        raise RecordError(f"name: the record is stored as {path}")
    return record


def _is_deletion(text: str) -> bool:
    return text.strip() in ("", "null")


def _find_contradiction(path: str, record: Record, records: dict[str, Record]) -> str:
    """Return why a record contradicts the others, or an empty string."""
    if not isinstance(record, Service):
        return ""
    if f"team/{record.team}" not in records:
        return f"team: there is no accepted team {record.team!r}"
    for group in record.databases.values():
        if f"group/{group}" not in records:
            return f"databases: there is no accepted group {group!r}"
    for other_path, other in records.items():
        # The first service by name keeps a contested database or account.
        if not isinstance(other, Service) or other_path >= path:
            continue
        shared = set(record.databases) & set(other.databases)
        if shared:
            return f"databases: {min(shared)!r} belongs to service {other.name!r}"
        accounts = {a.name for a in record.accounts} & {a.name for a in other.accounts}
        if accounts:
            return f"accounts: {min(accounts)!r} belongs to service {other.name!r}"
    return ""
