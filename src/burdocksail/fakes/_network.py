"""Messages between instances in memory, with links that can be cut."""

import asyncio
from collections.abc import Callable

from burdocksail.fleet import (
    Address,
    Message,
    MessageError,
    Snapshot,
    decode_message,
    encode_message,
)

LINK_DELAY = 0.012  # seconds one way, as between regions
SNAPSHOT_DELAY = 0.05  # seconds


class MemoryNetwork:
    """Carries datagrams between the instances that are attached to it.

    Attributes
    ----------
    cut : set of (str, str)
        Pairs of hosts; nothing passes from the first to the second.
    """

    def __init__(self) -> None:
        self.cut: set[tuple[str, str]] = set()
        self._peers: dict[Address, MemoryPeers] = {}

    def attach(self, address: Address, peers: "MemoryPeers") -> None:
        """Let an instance receive at an address."""
        self._peers[address] = peers

    def detach(self, address: Address, peers: "MemoryPeers") -> None:
        """End what receives at an address."""
        if self._peers.get(address) is peers:
            del self._peers[address]

    def isolate(self, host: str, others: list[str]) -> None:
        """Cut a host from others in both directions."""
        for other in others:
            self.cut |= {(host, other), (other, host)}

    def heal(self) -> None:
        """Mend all links."""
        self.cut.clear()

    def carry(self, sender: Address, receiver: Address, payload: bytes) -> None:
        """Deliver a datagram after the link's delay, if the link is whole."""
        if (sender[0], receiver[0]) in self.cut:
            return
        loop = asyncio.get_running_loop()
        loop.call_later(LINK_DELAY, self._deliver, sender, receiver, payload)

    def find(self, sender: Address, receiver: Address) -> "MemoryPeers | None":
        """Return what receives at an address, None if it cannot be reached."""
        if (sender[0], receiver[0]) in self.cut:
            return None
        return self._peers.get(receiver)

    def _deliver(self, sender: Address, receiver: Address, payload: bytes) -> None:
        peers = self._peers.get(receiver)
        if peers is not None:
            peers.receive(decode_message(payload), sender)


class MemoryPeers:
    """One instance's way to the others."""

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
        """Receive at an address."""
        self._address = (host, port)
        self._network.attach(self._address, self)

    def close(self) -> None:
        """Receive nothing more."""
        self._network.detach(self._address, self)

    def send(self, address: Address, message: Message) -> None:
        """Send a datagram."""
        self._network.carry(self._address, address, encode_message(message))

    async def fetch_snapshot(self, address: Address) -> Snapshot | None:
        """Return what another instance has read from the store."""
        await asyncio.sleep(SNAPSHOT_DELAY)
        peers = self._network.find(self._address, address)
        return None if peers is None else peers.take_snapshot()
