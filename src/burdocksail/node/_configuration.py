"""Accepted configuration: how it reaches this instance and goes in force.

Only accepted objects go in force, and only forward: an item with a generation
that is not larger than the one in force is dropped. In each failure domain the
first instance by rendezvous watches the store; the others pull from a peer
nearer to it, in a tree whose fan-out is fixed. Store load thus grows with the
failure domains and not with the fleet, and an instance that starts during a
store outage learns everything from its peers.
"""

import json
from datetime import timedelta

from burdocksail.core import Instance, seconds
from burdocksail.node import _placement, _runtime
from burdocksail.node._board import Blackboard, Role
from burdocksail.node._effects import Send
from burdocksail.node._messages import (
    AcceptedItem,
    ConfigurationChanges,
    PullConfiguration,
)
from burdocksail.node._store import (
    ListObjects,
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

ACCEPTED_PREFIX = "accepted/"
WATCH_TIMEOUT = seconds(20)
WATCH_CALL_TIMEOUT = seconds(22)
RETRY_INTERVAL = seconds(1)
PULL_INTERVAL = seconds(0.5)
PULL_PATIENCE = seconds(1.2)
TREE_FAN_OUT = 8
MAX_ITEMS_PER_MESSAGE = 200
MAX_BYTES_PER_MESSAGE = 400_000


def refresh_configuration(board: Blackboard) -> None:
    """Watch the store or pull from a peer, by this instance's place."""
    section = board.configuration
    ranked = _rank_domain(board)
    place = next((i for i, x in enumerate(ranked) if x.key == board.me.key), 0)
    if place == 0 or not section.listed:
        _watch_store(board)
    source = _choose_source(board, ranked, place)
    if source is None:
        return
    last = section.last_pull
    if last is not None and board.now - last < PULL_INTERVAL:
        return
    section.last_pull = board.now
    board.emit(Send(source, PullConfiguration(section.revision)))


def handle_pull_configuration(
    board: Blackboard, sender: Instance, message: PullConfiguration
) -> None:
    """Send a peer what it does not have yet."""
    section = board.configuration
    if message.after_revision >= section.revision:
        answer = ConfigurationChanges((), section.revision)
        board.emit(Send(sender, answer))
        return
    newer = [x for x in section.items.values() if x.revision > message.after_revision]
    newer.sort(key=lambda item: item.revision)
    batch: list[AcceptedItem] = []
    size = 0
    for item in newer:
        size += len(item.content)
        full = len(batch) >= MAX_ITEMS_PER_MESSAGE or size > MAX_BYTES_PER_MESSAGE
        if batch and full:
            break
        batch.append(item)
    complete = len(batch) == len(newer)
    revision = section.revision if complete else batch[-1].revision
    board.emit(Send(sender, ConfigurationChanges(tuple(batch), revision, complete)))


def handle_configuration_changes(
    board: Blackboard, sender: Instance, message: ConfigurationChanges
) -> None:
    """Put a peer's newer items in force."""
    section = board.configuration
    section.last_refresh = board.now
    section.source_attempt = 0
    put_in_force(board, message.items)
    section.revision = max(section.revision, message.revision)
    if not message.complete:
        board.emit(Send(sender, PullConfiguration(section.revision)))


def put_in_force(board: Blackboard, items: tuple[AcceptedItem, ...]) -> None:
    """Put items in force that are newer than those in force."""
    section = board.configuration
    for item in items:
        known = section.items.get(item.path)
        if known is not None and known.generation >= item.generation:
            continue
        section.items[item.path] = item
        _apply_item(board, item)
        board.metrics.count("configuration_changes")


def decode_accepted(stored: StoredObject) -> AcceptedItem:
    """Return the item that an accepted object describes.

    Raises
    ------
    ValueError, KeyError
        If the object is malformed.
    """
    value = json.loads(stored.value)
    return AcceptedItem(
        path=stored.key.removeprefix(ACCEPTED_PREFIX),
        generation=int(value["generation"]),
        revision=stored.version,
        content=value["content"],
    )


def _rank_domain(board: Blackboard) -> list[Instance]:
    domain = board.me.failure_domain
    return _placement.rank_live(board, f"configuration/{domain}", domain)


def _choose_source(
    board: Blackboard, ranked: list[Instance], place: int
) -> Instance | None:
    """Return the peer to pull from; another one if the usual one is silent."""
    section = board.configuration
    silent_since = section.last_refresh
    silent = silent_since is None or board.now - silent_since > PULL_PATIENCE
    if place > 0 and not (silent and section.last_pull is not None):
        return ranked[(place - 1) // TREE_FAN_OUT]
    store_works = (
        board.store.last_answer is not None
        and (board.store.last_failure or timedelta.min) < board.store.last_answer
    )
    if place == 0 and section.listed and store_works:
        return None
    others = [i for i in board.membership.live.values() if i.key != board.me.key]
    if not others:
        return None
    return others[board.random.randrange(len(others))]


def _watch_store(board: Blackboard) -> None:
    section = board.configuration
    if section.watching:
        return
    section.watching = True
    if not section.listed:
        call_store(board, ListObjects(ACCEPTED_PREFIX), _handle_listed)
        return
    operation = WatchObjects(ACCEPTED_PREFIX, section.revision, WATCH_TIMEOUT)
    call_store(board, operation, _handle_watched, WATCH_CALL_TIMEOUT)


def _handle_listed(board: Blackboard, reply: StoreReply) -> None:
    board.configuration.watching = False
    if reply.status is StoreStatus.OK:
        _take_objects(board, reply)
        board.configuration.listed = True


def _handle_watched(board: Blackboard, reply: StoreReply) -> None:
    section = board.configuration
    section.watching = False
    if reply.status is StoreStatus.OK:
        _take_objects(board, reply)
    elif reply.status is StoreStatus.MISSING:
        # The store no longer remembers changes since that revision.
        section.listed = False


def _take_objects(board: Blackboard, reply: StoreReply) -> None:
    items = []
    for stored in reply.objects:
        try:
            items.append(decode_accepted(stored))
        except (ValueError, KeyError, TypeError):
            board.metrics.count("accepted_objects_malformed")
    put_in_force(board, tuple(items))
    section = board.configuration
    section.revision = max(section.revision, reply.revision)
    section.last_refresh = board.now


def _apply_item(board: Blackboard, item: AcceptedItem) -> None:
    kind, _, name = item.path.partition("/")
    if not item.content:
        _remove_record(board, kind, name)
        _index_services(board)
        return
    try:
        record = convert_record(parse_record_text(item.content))
    except RecordError:
        # An instance of an older release cannot read a newer schema version;
        # what it has in force stays.
        board.metrics.count("accepted_records_unreadable")
        return
    _store_record(board, record)


def _store_record(board: Blackboard, record: Record) -> None:
    section = board.configuration
    if isinstance(record, Team):
        section.teams[record.name] = record
    elif isinstance(record, Service):
        section.services[record.name] = record
        _index_services(board)
    elif isinstance(record, Group):
        section.groups[record.name] = record
        _placement.find_preferred(board, record.name)
        _runtime.update_runtime(board, record.name)


def _remove_record(board: Blackboard, kind: str, name: str) -> None:
    section = board.configuration
    tables = {
        "team": section.teams,
        "service": section.services,
        "group": section.groups,
    }
    table = tables.get(kind)
    if table is not None:
        table.pop(name, None)
    if kind == "group":
        _placement.forget_groups(board)
        leadership = board.authority.leaderships.get(name)
        if leadership is not None:
            leadership.role = Role.FOLLOWER
        _runtime.close_runtime(board, name)


def _index_services(board: Blackboard) -> None:
    section = board.configuration
    section.service_of_account = {
        account.name: service
        for service in section.services.values()
        for account in service.accounts
    }
    section.service_of_database = {
        database: service
        for service in section.services.values()
        for database in service.databases
    }
