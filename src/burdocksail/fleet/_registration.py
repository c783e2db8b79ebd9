"""Registration of an instance: the store object that holds its address."""

import asyncio
import ipaddress

import msgspec

from burdocksail.board import Blackboard, Member
from burdocksail.core import get_logger
from burdocksail.ports import ObjectKind, ObjectStore, StoreConflict, StoreUnavailable

INSTANCE_PREFIX = "instance."
MAX_PORT = 65535
MAX_NAMES_BYTES = 1024  # of a member; a datagram may name one for each instance
# Longest wait between two checks, and pause after a failed write.
RETRY_DELAY = 0.5  # seconds


def make_object_name(member: Member) -> str:
    """Return the name of an instance's object in the store.

    It contains the host: at one host only one process of an instance runs at a
    time, while two processes of the same name may run at different hosts.
    """
    return f"{INSTANCE_PREFIX}{member.name}.{member.host}"


def decode_member(spec: object) -> Member | None:
    """Return the instance that an object describes; None if it is malformed."""
    try:
        member = msgspec.convert(spec, Member)
    except (msgspec.ValidationError, RecursionError):
        return None
    return member if is_addressable(member) else None


def is_addressable(member: Member) -> bool:
    """Return whether messages can be sent to an instance and can name it."""
    names = (member.name, member.incarnation, member.failure_domain)
    try:
        ipaddress.IPv4Address(member.host)
        total = sum(len(name.encode()) for name in names)
    except ValueError:
        return False
    return 0 < member.port <= MAX_PORT and total <= MAX_NAMES_BYTES


def encode_member(member: Member) -> dict[str, str | int]:
    """Return the content of an instance's object in the store."""
    return {
        "name": member.name,
        "incarnation": member.incarnation,
        "failure_domain": member.failure_domain,
        "host": member.host,
        "port": member.port,
    }


class Registration:
    """Maintains the object of this instance in the store."""

    def __init__(self, board: Blackboard, store: ObjectStore):
        self._board = board
        self._store = store
        self._log = get_logger()

    async def maintain(self) -> None:
        """Write the object at start, and again if it is removed or replaced.

        The object as this instance last saw it in the store is compared with this
        incarnation. Returns when a stop is requested.
        """
        board = self._board
        name = make_object_name(board.member)
        while not board.stop.requested:
            if board.members.registered.get(name) != board.member:
                await self._write(name)
            await board.changed.wait(RETRY_DELAY)

    async def withdraw(self) -> None:
        """Remove the object; if that fails, the leader removes it later."""
        name = make_object_name(self._board.member)
        try:
            stored = await self._store.read(ObjectKind.FLEET, name)
            if stored is not None:
                await self._store.delete(ObjectKind.FLEET, name, stored.revision)
        except (StoreUnavailable, StoreConflict) as error:
            self._log.warning("registration not withdrawn", reason=str(error))

    async def _write(self, name: str) -> None:
        spec = encode_member(self._board.member)
        try:
            try:
                await self._store.create(ObjectKind.FLEET, name, spec)
            except StoreConflict:
                await self._store.replace(ObjectKind.FLEET, name, spec, None)
        except (StoreUnavailable, StoreConflict) as error:
            self._log.warning("registration not written", reason=str(error))
            await asyncio.sleep(RETRY_DELAY)
            return
        self._board.members.registered[name] = self._board.member
        self._log.info("registered", name=name)
        self._board.changed.notify()
