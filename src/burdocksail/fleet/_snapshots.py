"""Exchange of store snapshots.

Snapshots are for instances that cannot reach the store or lag behind it.
"""

import asyncio
import contextlib
import random
from dataclasses import dataclass

from burdocksail.board import Blackboard
from burdocksail.core import get_logger
from burdocksail.fleet._codec import Snapshot
from burdocksail.fleet._peers import Address, Peers
from burdocksail.fleet._tracking import StoreTracker
from burdocksail.ports import StoreVersion

FETCH_INTERVAL = 0.5  # seconds between rounds of fetches
FETCH_DELAY = 0.8  # seconds in which the store's own event may still arrive
# The same where the leader names instances to fetch from: if all fetched from the
# leader, its link would be busy for seconds.
RELAYED_FETCH_DELAY = 2.5


@dataclass(frozen=True, slots=True)
class _PeerVersions:
    """Versions that a peer has reported.

    Attributes
    ----------
    catalog : int
        Version of the catalog.
    directory : StoreVersion
        Version of the upstreams.
    since : float
        Clock reading since which the peer has been ahead of this instance.
    """

    catalog: int
    directory: StoreVersion
    since: float


class SnapshotExchange:
    """Serves this instance's snapshot, and fetches those of peers that are ahead."""

    def __init__(self, board: Blackboard, peers: Peers, tracker: StoreTracker):
        self._board = board
        self._peers = peers
        self._tracker = tracker
        self._peers_ahead: dict[Address, _PeerVersions] = {}
        self._source: Address | None = None
        self._source_named = asyncio.Event()
        self._random = random.Random(board.member.incarnation)
        self._log = get_logger()

    def take(self) -> Snapshot:
        """Return the catalog and upstreams that this instance knows."""
        board = self._board
        return Snapshot(
            board.catalog.stored,
            tuple(board.directory.stored.values()),
            board.directory.version,
        )

    def record_peer_versions(
        self, address: Address, catalog: int, directory: StoreVersion
    ) -> None:
        """Record the versions of a peer, to fetch its snapshot if they are newer.

        Parameters
        ----------
        catalog : int
            Version of the peer's catalog.
        directory : StoreVersion
            Version of its upstreams, in the latest timeline that it knows.
        """
        self._tracker.handle_peer_timeline(directory.timeline)
        known = self._peers_ahead.get(address)
        since = self._board.now() if known is None else known.since
        reported = _PeerVersions(catalog, directory, since)
        if self._is_ahead(reported):
            self._peers_ahead[address] = reported
        else:
            self._peers_ahead.pop(address, None)

    def fetch_soon(self, address: Address) -> None:
        """Fetch the snapshot of an instance that the leader has named as a source."""
        self._source = address
        self._source_named.set()

    async def catch_up(self) -> None:
        """Fetch from named sources, and from peers that stay ahead; do not return."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(FETCH_INTERVAL):
                    await self._source_named.wait()
            self._source_named.clear()
            if self._source is not None:
                address, self._source = self._source, None
                await self._fetch(address)
                continue
            is_relayed = not self._tracker.should_watch_store()
            delay = RELAYED_FETCH_DELAY if is_relayed else FETCH_DELAY
            limit = self._board.now() - delay
            self._peers_ahead = {
                a: s for a, s in self._peers_ahead.items() if self._is_ahead(s)
            }
            due = [a for a, s in self._peers_ahead.items() if s.since <= limit]
            for address in due[:1]:
                del self._peers_ahead[address]
                await self._fetch(address)

    def _is_ahead(self, reported: _PeerVersions) -> bool:
        board = self._board
        catalog = board.catalog.catalog
        if reported.catalog > (0 if catalog is None else catalog.version):
            return True
        return reported.directory > board.directory.version

    async def bootstrap(self) -> None:
        """Fetch a first configuration from peers while the store does not answer."""
        board = self._board
        while board.catalog.catalog is None:
            await asyncio.sleep(FETCH_INTERVAL)
            if board.store.is_available:
                continue  # The store has no configuration yet.
            own = board.member.address
            for address in board.members.sample_addresses(own, self._random):
                if board.catalog.catalog is None:
                    await self._fetch(address)

    async def _fetch(self, address: Address) -> None:
        snapshot = await self._peers.fetch_snapshot(address)
        if snapshot is None:
            return
        self._log.info(
            "snapshot fetched",
            peer=f"{address[0]}:{address[1]}",
            directory_revision=snapshot.directory_version.revision,
            timeline=snapshot.directory_version.timeline,
        )
        if snapshot.catalog is not None:
            self._tracker.adopt_catalog(snapshot.catalog)
        self._tracker.adopt_upstreams(snapshot.upstreams, snapshot.directory_version)
