"""Distribution of the accepted configuration to this instance.

Only accepted objects are applied. Generations only increase, also when the store is
restored from a copy: an item whose generation is not greater than the current one is
dropped. In each failure domain the instance with the greatest rendezvous weight
watches the store. The others pull from a peer that is closer to it, in a tree with a
fixed fan-out. Store load thus grows with the number of failure domains and not with
that of instances, and an instance that starts during a store outage gets the whole
configuration from its peers.
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
from burdocksail.node._store_calls import call_store, record_timeline
from burdocksail.ports import StoreVersion
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
WATCH_CALL_TIMEOUT = seconds(22)  # longer than the watch, so the store answers first
RETRY_INTERVAL = seconds(1)
PULL_INTERVAL = seconds(0.5)
PULL_TIMEOUT = seconds(1.2)
TREE_FAN_OUT = 8
MAX_ITEMS_PER_MESSAGE = 200
MAX_CONTENT_CHARACTERS_PER_MESSAGE = 400_000


def refresh_configuration(board: Blackboard) -> None:
    """Watch the store or pull from a peer.

    Which one depends on this instance's rank in its failure domain. Until it
    has listed the store once, an instance of any rank also calls the store.
    """
    section = board.configuration
    ranking = _rank_domain_instances(board)
    rank = next((i for i, x in enumerate(ranking) if x.key == board.me.key), 0)
    if rank == 0 or not section.listed:
        _watch_store(board)
    source = _choose_source(board, ranking, rank)
    if source is None:
        return
    last = section.last_pull
    if last is not None and board.now - last < PULL_INTERVAL:
        return
    section.last_pull = board.now
    board.emit(Send(source, PullConfiguration(section.position)))


def handle_pull_configuration(
    board: Blackboard, sender: Instance, message: PullConfiguration
) -> None:
    """Send a peer the items that changed after its position.

    A message is limited to `MAX_ITEMS_PER_MESSAGE` items and, beyond the first
    item, to `MAX_CONTENT_CHARACTERS_PER_MESSAGE` characters of content. The peer
    pulls the rest.
    """
    section = board.configuration
    if message.after_revision >= section.position:
        answer = ConfigurationChanges((), section.position)
        board.emit(Send(sender, answer))
        return
    newer = [x for x in section.items.values() if x.revision > message.after_revision]
    newer.sort(key=lambda item: item.revision)
    batch: list[AcceptedItem] = []
    size = 0
    for item in newer:
        size += len(item.content)
        full = (
            len(batch) >= MAX_ITEMS_PER_MESSAGE
            or size > MAX_CONTENT_CHARACTERS_PER_MESSAGE
        )
        if batch and full:
            break
        batch.append(item)
    complete = len(batch) == len(newer)
    revision = section.position if complete else batch[-1].revision
    board.emit(Send(sender, ConfigurationChanges(tuple(batch), revision, complete)))


def handle_configuration_changes(
    board: Blackboard, sender: Instance, message: ConfigurationChanges
) -> None:
    """Apply the items that a peer sent, and pull the rest if there is one."""
    section = board.configuration
    # An instance that does not watch the store learns of a restoration from its peers.
    record_timeline(board, StoreVersion.from_number(message.revision).timeline)
    section.last_refresh = board.now
    section.source_attempt = 0
    apply_items(board, message.items)
    section.position = max(section.position, message.revision)
    if not message.complete:
        board.emit(Send(sender, PullConfiguration(section.position)))


def apply_items(board: Blackboard, items: tuple[AcceptedItem, ...]) -> None:
    """Apply the items whose generation is greater than the current one."""
    section = board.configuration
    for item in items:
        known = section.items.get(item.path)
        if known is not None and known.generation >= item.generation:
            continue
        section.items[item.path] = item
        _apply_item(board, item)
        board.metrics.count("configuration_changes")


def decode_accepted(stored: StoredObject, timeline: int = 0) -> AcceptedItem:
    """Return the item that an accepted object describes.

    Parameters
    ----------
    timeline : int
        Timeline of the store in which it was read.

    Raises
    ------
    ValueError, KeyError, TypeError, RecursionError
        If the object is malformed.
    """
    value = json.loads(stored.value)
    return AcceptedItem(
        path=stored.key.removeprefix(ACCEPTED_PREFIX),
        generation=int(value["generation"]),
        revision=StoreVersion(timeline, stored.version).to_number(),
        content=value["content"],
    )


def _rank_domain_instances(board: Blackboard) -> list[Instance]:
    domain = board.me.failure_domain
    return _placement.rank_live_instances(board, f"configuration/{domain}", domain)


def _choose_source(
    board: Blackboard, ranking: list[Instance], rank: int
) -> Instance | None:
    """Return the peer to pull from, or None if there is none or no need.

    Below the root this is the parent in the tree, or a random peer once pulls
    have given no refresh for `PULL_TIMEOUT`. The root pulls from a random peer
    only if it has not listed the store yet or its last store call failed.
    """
    section = board.configuration
    refreshed_at = section.last_refresh
    timed_out = refreshed_at is None or board.now - refreshed_at > PULL_TIMEOUT
    if rank > 0 and not (timed_out and section.last_pull is not None):
        return ranking[(rank - 1) // TREE_FAN_OUT]
    store_available = (
        board.store.last_answer is not None
        and (board.store.last_failure or timedelta.min) < board.store.last_answer
    )
    if rank == 0 and section.listed and store_available:
        return None
    others = [i for i in board.membership.live.values() if i.key != board.me.key]
    if not others:
        return None
    return others[board.random.randrange(len(others))]


def _watch_store(board: Blackboard) -> None:
    section = board.configuration
    if section.call_in_flight:
        return
    section.call_in_flight = True
    watched = section.watched
    if not section.listed or watched.timeline != board.store.timeline:
        call_store(board, ListObjects(ACCEPTED_PREFIX), _handle_listed)
        return
    operation = WatchObjects(ACCEPTED_PREFIX, watched.revision, WATCH_TIMEOUT)
    call_store(board, operation, _handle_watched, WATCH_CALL_TIMEOUT)


def _handle_listed(board: Blackboard, reply: StoreReply) -> None:
    board.configuration.call_in_flight = False
    if reply.status is StoreStatus.OK:
        _apply_objects(board, reply)
        board.configuration.listed = True


def _handle_watched(board: Blackboard, reply: StoreReply) -> None:
    section = board.configuration
    section.call_in_flight = False
    if reply.status is StoreStatus.OK:
        _apply_objects(board, reply)
    elif reply.status is StoreStatus.MISSING:
        # The store no longer keeps the changes since that revision.
        section.listed = False


def _apply_objects(board: Blackboard, reply: StoreReply) -> None:
    items = []
    for stored in reply.objects:
        try:
            items.append(decode_accepted(stored, reply.timeline))
        except (ValueError, KeyError, TypeError, RecursionError):
            board.metrics.count("accepted_objects_malformed")
    apply_items(board, tuple(items))
    section = board.configuration
    section.watched = StoreVersion(reply.timeline, reply.revision)
    section.position = max(section.position, section.watched.to_number())
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
        # An instance of an older release cannot read a newer schema version
        # and keeps the content that it last applied.
        board.metrics.count("accepted_records_unreadable")
        return
    _set_record(board, record)


def _set_record(board: Blackboard, record: Record) -> None:
    section = board.configuration
    if isinstance(record, Team):
        section.teams[record.name] = record
    elif isinstance(record, Service):
        section.services[record.name] = record
        _index_services(board)
    elif isinstance(record, Group):
        section.groups[record.name] = record
        _placement.find_preferred_leader(board, record.name)
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
        _placement.remove_unconfigured_groups(board)
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
