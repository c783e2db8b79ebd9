"""Who may hold evidence of a leader, and who has confirmed its view."""

from dataclasses import dataclass, field

from burdocksail.authority._limits import (
    CLOCK_MARGIN,
    LEADER_LEASE_DURATION,
    LEASE_DURATION,
    MAJORITY_WINDOW,
    MAX_RENEWAL_DELAY,
)
from burdocksail.board import MONITORS, Member
from burdocksail.fleet import Address, Renew

FRESH_RENEWAL = 1.0  # seconds; three renewals


@dataclass(slots=True)
class Grantee:
    """One instance that has asked this leader for evidence."""

    member: Member
    renewal: Renew
    heard_at: float
    granted_until: float = float("-inf")


@dataclass(frozen=True, slots=True)
class Settled:
    """An earlier leader of which it is known when it stops granting."""

    members: tuple[Member, ...]
    stops_at: float


@dataclass(slots=True)
class Grantees:
    """The instances that a leader has heard from in its epoch.

    Attributes
    ----------
    own : Member
        The leader itself.
    unsettled : dict of Member to tuple of Member
        Earlier leaders that may still grant evidence, with their members.
    settled : dict of Member to Settled
        Earlier leaders that have stopped granting, or will have soon.
    listed : bool
        Whether the registered instances were read after the claim.
    """

    own: Member
    epoch: int
    started_at: float
    unsettled: dict[Member, tuple[Member, ...]]
    settled: dict[Member, Settled] = field(default_factory=dict)
    listed: bool = False
    by_address: dict[Address, Grantee] = field(default_factory=dict)

    def take_renewal(self, renewal: Renew, now: float) -> Grantee:
        """Note a renewal; another incarnation at an address ends the one before."""
        address = renewal.member.address
        grantee = self.by_address.get(address)
        if grantee is None or grantee.member != renewal.member:
            grantee = Grantee(renewal.member, renewal, now)
            self.by_address[address] = grantee
        grantee.renewal = renewal
        grantee.heard_at = now
        self.settle(now)
        return grantee

    def settle(self, now: float) -> None:
        """Note which earlier leaders have stopped granting, or will have soon."""
        for leader, members in list(self.unsettled.items()):
            if self._has_left(leader):
                stopped_at = now
            elif 2 * sum(self._has_left(m) for m in members) > len(members):
                stopped_at = now + MAJORITY_WINDOW + MAX_RENEWAL_DELAY
            else:
                continue
            del self.unsettled[leader]
            self.settled[leader] = Settled(members, stopped_at)

    def find_earlier_leaders(self, now: float) -> dict[Member, tuple[Member, ...]]:
        """Return the earlier leaders whose grants may not have run out."""
        running = {
            leader: settled.members
            for leader, settled in self.settled.items()
            if now < settled.stops_at + LEASE_DURATION + CLOCK_MARGIN
        }
        return {**self.unsettled, **running}

    def has_majority(self, members: frozenset[Member], now: float) -> bool:
        """Return whether most of `members` renew with this leader."""
        return 2 * sum(self._follows(m, now) for m in members) > len(members)

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

    def choose_monitors(
        self, current: frozenset[Address], now: float
    ) -> frozenset[Address]:
        """Return who should watch the fleet, spread over the failure domains.

        Parameters
        ----------
        current : frozenset of (str, int)
            Present choice, of which those that still can are kept.
        """
        able = [
            g.member
            for g in self.fresh(now)
            if g.renewal.store_works and not g.renewal.leaving
        ]
        able.sort(key=lambda m: (m.address not in current, m.address))
        turns: dict[str, int] = {}
        ranked = []
        for member in able:
            turn = turns.get(member.failure_domain, 0)
            turns[member.failure_domain] = turn + 1
            ranked.append((turn, member.address))
        return frozenset(address for _, address in sorted(ranked)[:MONITORS])

    def find_busy(self, service: str, now: float) -> list[str]:
        """Return the instances with work in flight at a service's primary."""
        return [g.member.name for g in self.fresh(now) if service in g.renewal.busy]

    def _confirms(self, grantee: Grantee, generation: int) -> bool:
        renewal = grantee.renewal
        return renewal.epoch == self.epoch and renewal.generation >= generation

    def are_earlier_grants_over(self, addresses: set[Address], now: float) -> bool:
        """Return whether nobody holds evidence of an earlier leader."""
        if (
            now
            >= self.started_at + LEADER_LEASE_DURATION + LEASE_DURATION + CLOCK_MARGIN
        ):
            return True
        if not self.find_earlier_leaders(now):
            return True
        if self.unsettled or any(s.stops_at > now for s in self.settled.values()):
            return False
        return self.listed and all(self._has_adopted(a) for a in addresses)

    def _has_left(self, member: Member) -> bool:
        """Return whether a member has ended or follows this leadership."""
        if member.address == self.own.address:
            return True
        grantee = self.by_address.get(member.address)
        if grantee is None:
            return False
        return grantee.member != member or grantee.renewal.epoch >= self.epoch

    def _follows(self, member: Member, now: float) -> bool:
        if member == self.own:
            return True
        grantee = self.by_address.get(member.address)
        return (
            grantee is not None
            and grantee.member == member
            and grantee.renewal.epoch == self.epoch
            and now - grantee.heard_at < MAJORITY_WINDOW
        )

    def _has_adopted(self, address: Address) -> bool:
        grantee = self.by_address.get(address)
        return grantee is not None and grantee.renewal.epoch >= self.epoch
