"""Who may hold evidence of a leader, and who has confirmed its view."""

from dataclasses import dataclass, field

from burdocksail.authority._limits import (
    CLOCK_MARGIN,
    EVIDENCE_DURATION,
    RIGHT_DURATION,
)
from burdocksail.board import Member
from burdocksail.fleet import Address, Renew

FRESH_RENEWAL = 1.0  # seconds; three renewals


@dataclass(slots=True)
class Grantee:
    """One instance that has asked this leader for evidence."""

    member: Member
    renewal: Renew
    heard_at: float
    granted_until: float = float("-inf")


@dataclass(slots=True)
class Grantees:
    """The instances that a leader has heard from in its epoch.

    Attributes
    ----------
    unsettled : set of Member
        Earlier leaders that may still grant evidence.
    settled_at : float
        When the last of them was known to have stopped granting.
    listed : bool
        Whether the registered instances were read after the claim.
    """

    epoch: int
    started_at: float
    unsettled: set[Member]
    settled_at: float = float("-inf")
    listed: bool = False
    by_address: dict[Address, Grantee] = field(default_factory=dict)

    def settle_address(self, member: Member) -> None:
        """Note that earlier runs of an instance at its address have ended."""
        self.unsettled -= {
            m for m in self.unsettled if m.address == member.address and m != member
        }

    def take_renewal(self, renewal: Renew, now: float) -> Grantee:
        """Note a renewal; another incarnation at an address ends the one before."""
        address = renewal.member.address
        grantee = self.by_address.get(address)
        if grantee is None or grantee.member != renewal.member:
            grantee = Grantee(renewal.member, renewal, now)
            self.by_address[address] = grantee
        grantee.renewal = renewal
        grantee.heard_at = now
        self._settle(renewal, now)
        return grantee

    def drop(self, member: Member) -> None:
        """Forget an instance that has dropped its evidence."""
        grantee = self.by_address.get(member.address)
        if grantee is not None and grantee.member == member:
            del self.by_address[member.address]

    def find_unconfirmed(
        self, generation: int, addresses: set[Address], now: float
    ) -> list[str]:
        """Return who may act on a view older than `generation`.

        Parameters
        ----------
        addresses : set of (str, int)
            Addresses of all registered instances.
        """
        names = [
            grantee.member.name
            for grantee in self.by_address.values()
            if grantee.granted_until + CLOCK_MARGIN > now
            and not self._confirms(grantee, generation)
        ]
        if not self.are_earlier_grants_over(addresses, now):
            names.append("grantees of earlier leaders")
        return names

    def fresh(self, now: float) -> list[Grantee]:
        """Return the instances heard from within the last renewals."""
        limit = now - FRESH_RENEWAL
        return [g for g in self.by_address.values() if g.heard_at >= limit]

    def find_busy(self, service: str, now: float) -> list[str]:
        """Return the instances with work in flight at a service's primary."""
        return [g.member.name for g in self.fresh(now) if service in g.renewal.busy]

    def _confirms(self, grantee: Grantee, generation: int) -> bool:
        renewal = grantee.renewal
        return renewal.epoch == self.epoch and renewal.generation >= generation

    def _settle(self, renewal: Renew, now: float) -> None:
        for member in list(self.unsettled):
            if member.address != renewal.member.address:
                continue
            if member != renewal.member or renewal.epoch >= self.epoch:
                self.unsettled.discard(member)
                self.settled_at = max(self.settled_at, now)

    def are_earlier_grants_over(self, addresses: set[Address], now: float) -> bool:
        """Return whether nobody holds evidence of an earlier leader."""
        if now >= self.started_at + RIGHT_DURATION + EVIDENCE_DURATION + CLOCK_MARGIN:
            return True
        if self.unsettled:
            return False
        if now >= self.settled_at + EVIDENCE_DURATION + CLOCK_MARGIN:
            return now >= self.started_at + EVIDENCE_DURATION + CLOCK_MARGIN
        return self.listed and all(self._has_adopted(a) for a in addresses)

    def _has_adopted(self, address: Address) -> bool:
        grantee = self.by_address.get(address)
        return grantee is not None and grantee.renewal.epoch >= self.epoch
