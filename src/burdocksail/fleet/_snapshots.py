"""Takes from peers what the store does not tell this instance."""

import asyncio
import random
from dataclasses import dataclass

import structlog

from burdocksail.board import Blackboard
from burdocksail.fleet._codec import Snapshot
from burdocksail.fleet._peers import Address, Peers
from burdocksail.fleet._tracking import StoreTracker

FETCH_INTERVAL = 0.5  # seconds between fetches
BEHIND_PATIENCE = 0.8  # seconds for the store's own event to arrive first


@dataclass(frozen=True, slots=True)
class _Ahead:
    """What a peer said that it knows, and since when that is more than here."""

    version: int
    revision: int
    since: float


class SnapshotExchange:
    """Serves this instance's snapshot, and fetches those of peers that know more."""

    def __init__(self, board: Blackboard, peers: Peers, tracker: StoreTracker):
        self._board = board
        self._peers = peers
        self._tracker = tracker
        self._ahead: dict[Address, _Ahead] = {}
        self._random = random.Random(board.member.incarnation)
        self._log = structlog.get_logger()

    def take(self) -> Snapshot:
        """Return what this instance has read from the store."""
        board = self._board
        return Snapshot(
            board.catalog.stored,
            tuple(board.directory.stored.values()),
            board.directory.revision,
        )

    def compare(self, address: Address, version: int, revision: int) -> None:
        """Note what a peer knows, to fetch it if that is more than known here."""
        known = self._ahead.get(address)
        since = self._board.now() if known is None else known.since
        ahead = _Ahead(version, revision, since)
        if self._is_ahead(ahead):
            self._ahead[address] = ahead
        else:
            self._ahead.pop(address, None)

    async def keep_up(self) -> None:
        """Fetch from peers that have been ahead for a moment, for ever."""
        while True:
            await asyncio.sleep(FETCH_INTERVAL)
            limit = self._board.now() - BEHIND_PATIENCE
            self._ahead = {a: s for a, s in self._ahead.items() if self._is_ahead(s)}
            due = [a for a, s in self._ahead.items() if s.since <= limit]
            for address in due[:1]:
                del self._ahead[address]
                await self._fetch(address)

    def _is_ahead(self, ahead: _Ahead) -> bool:
        board = self._board
        catalog = board.catalog.catalog
        if ahead.version > (0 if catalog is None else catalog.version):
            return True
        return ahead.revision > board.directory.revision

    async def bootstrap(self) -> None:
        """Ask peers for a configuration while the store does not answer."""
        board = self._board
        while board.catalog.catalog is None:
            await asyncio.sleep(FETCH_INTERVAL)
            if board.store.works:
                continue  # There is none yet.
            own = board.member.address
            for address in board.members.pick_addresses(own, self._random):
                if board.catalog.catalog is None:
                    await self._fetch(address)

    async def _fetch(self, address: Address) -> None:
        snapshot = await self._peers.fetch_snapshot(address)
        if snapshot is None:
            return
        self._log.info(
            "snapshot fetched",
            peer=f"{address[0]}:{address[1]}",
            directory_revision=snapshot.directory_revision,
        )
        if snapshot.catalog is not None:
            self._tracker.adopt_catalog(snapshot.catalog)
        self._tracker.adopt_upstreams(snapshot.upstreams, snapshot.directory_revision)
