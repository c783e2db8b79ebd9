"""In-memory network between instances; its links can be cut."""

import asyncio
from collections import Counter
from collections.abc import Callable

from burdocksail.fleet import (
    Address,
    Message,
    MessageError,
    Snapshot,
    decode_message,
    encode_message,
)

LINK_DELAY = 0.012  # seconds, one way, as between regions
SNAPSHOT_DELAY = 0.05  # seconds


class MemoryNetwork:
    """Delivers datagrams and snapshots between attached instances.

    Attributes
    ----------
    cut_links : set of (str, str)
        Pairs of sending and receiving host between which datagrams and
        snapshot requests are dropped.
    snapshots_served : Counter of (str, int)
        Number of snapshots fetched from each address.
    """

    def __init__(self) -> None:
        self.cut_links: set[tuple[str, str]] = set()
        self.snapshots_served: Counter[Address] = Counter()
        self._peers: dict[Address, MemoryPeers] = {}

    def attach(self, address: Address, peers: "MemoryPeers") -> None:
        """Register `peers` as the receiver at an address."""
        self._peers[address] = peers

    def detach(self, address: Address, peers: "MemoryPeers") -> None:
        """Remove `peers` from an address.

        A receiver that has since replaced it there stays.
        """
        if self._peers.get(address) is peers:
            del self._peers[address]

    def isolate(self, host: str, others: list[str]) -> None:
        """Cut the links between a host and others in both directions."""
        for other in others:
            self.cut_links |= {(host, other), (other, host)}

    def heal(self) -> None:
        """Restore all links."""
        self.cut_links.clear()

    def carry(self, sender: Address, receiver: Address, payload: bytes) -> None:
        """Deliver a datagram after the link delay, unless the link is cut."""
        if (sender[0], receiver[0]) in self.cut_links:
            return
        loop = asyncio.get_running_loop()
        loop.call_later(LINK_DELAY, self._deliver, sender, receiver, payload)

    def find(self, sender: Address, receiver: Address) -> "MemoryPeers | None":
        """Return the receiver at an address, or None if it cannot be reached."""
        if (sender[0], receiver[0]) in self.cut_links:
            return None
        return self._peers.get(receiver)

    def _deliver(self, sender: Address, receiver: Address, payload: bytes) -> None:
        peers = self._peers.get(receiver)
        if peers is not None:
            peers.receive(decode_message(payload), sender)


class MemoryPeers:
    """One instance's endpoint in the network."""

    def __init__(
        self,
        network: MemoryNetwork,
        receive: Callable[[Message, Address], None],
        take_snapshot: Callable[[], Snapshot],
        report_malformed: Callable[[Address, MessageError], None],
    ):
        self._network = network
        self.receive = receive
        self.take_snapshot = take_snapshot
        self._address: Address = ("", 0)

    async def open(self, host: str, port: int) -> None:
        """Start receiving at an address."""
        self._address = (host, port)
        self._network.attach(self._address, self)

    def close(self) -> None:
        """Stop receiving."""
        self._network.detach(self._address, self)

    def send(self, address: Address, message: Message) -> None:
        """Send a datagram."""
        self._network.carry(self._address, address, encode_message(message))

    async def fetch_snapshot(self, address: Address) -> Snapshot | None:
        """Return the snapshot of another instance, or None if it is unreachable.

        The snapshot holds what that instance has read from the store.
        """
        await asyncio.sleep(SNAPSHOT_DELAY)
        peers = self._network.find(self._address, address)
        if peers is None:
            return None
        self._network.snapshots_served[address] += 1
        return peers.take_snapshot()
