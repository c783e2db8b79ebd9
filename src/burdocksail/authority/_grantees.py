"""Instances that may hold a lease, and the view that each has confirmed.

An earlier leader is settled once the current one knows when it stops granting
leases. Its leases expire within `LEASE_DURATION` after it stops.
"""

from dataclasses import dataclass, field

from burdocksail.authority._limits import (
    CLOCK_MARGIN,
    LEADER_LEASE_DURATION,
    LEASE_DURATION,
    MAJORITY_WINDOW,
    MAX_RENEWAL_DELAY,
)
from burdocksail.board import MAX_MONITORS, Member
from burdocksail.fleet import Address, Renew

LIVENESS_WINDOW = 1.0  # seconds; three renewals
# Seconds from the last record that a leader confirms until its last lease expires.
ALL_LEASES_DURATION = LEADER_LEASE_DURATION + LEASE_DURATION + CLOCK_MARGIN


@dataclass(slots=True)
class Grantee:
    """One instance that has asked this leader for a lease.

    Attributes
    ----------
    renewal : Renew
        Last renewal received from the instance.
    heard_at : float
        Clock reading at which that renewal arrived.
    granted_until : float
        Clock reading at which the lease last granted to the instance expires.
    """

    member: Member
    renewal: Renew
    heard_at: float
    granted_until: float = float("-inf")


@dataclass(frozen=True, slots=True)
class SettledLeader:
    """An earlier leader that is known to stop granting leases at `stops_at`."""

    members: tuple[Member, ...]
    stops_at: float


@dataclass(slots=True)
class Grantees:
    """The instances that a leader has heard from in its epoch.

    Attributes
    ----------
    own : Member
        The leader itself.
    started_at : float
        Clock reading at which this leadership began.
    unsettled : dict of Member to tuple of Member
        Earlier leaders that may still grant leases, with their members.
    settled : dict of Member to SettledLeader
        Earlier leaders that have stopped granting leases or are about to.
    instances_known : bool
        Whether every instance in one listing of the store, made after the claim, is
        known here.
    restored_at : float or None
        Clock reading at which the store had been restored, if leaders that are not
        known here may still grant leases: a restoration loses claims.
    """

    own: Member
    epoch: int
    started_at: float
    unsettled: dict[Member, tuple[Member, ...]]
    settled: dict[Member, SettledLeader] = field(default_factory=dict)
    instances_known: bool = False
    restored_at: float | None = None
    by_address: dict[Address, Grantee] = field(default_factory=dict)

    def record_renewal(self, renewal: Renew, now: float) -> Grantee:
        """Keep a renewal and return its sender's entry.

        Another incarnation at the same address proves that the previous one has
        ended, and replaces its entry.
        """
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
        """Move an earlier leader to `settled` once it is known when it stops granting.

        A leader that has ended or follows this one has stopped already. One that
        a majority of its members has left stops when their last renewals, which
        may still be in flight, have left its majority window.
        """
        for leader, members in list(self.unsettled.items()):
            if self._has_left(leader):
                stops_granting_at = now
            elif 2 * sum(self._has_left(m) for m in members) > len(members):
                stops_granting_at = now + MAJORITY_WINDOW + MAX_RENEWAL_DELAY
            else:
                continue
            del self.unsettled[leader]
            self.settled[leader] = SettledLeader(members, stops_granting_at)

    def find_earlier_leaders(self, now: float) -> dict[Member, tuple[Member, ...]]:
        """Return the earlier leaders whose leases may not have expired."""
        unexpired = {
            leader: settled.members
            for leader, settled in self.settled.items()
            if now < settled.stops_at + LEASE_DURATION + CLOCK_MARGIN
        }
        return {**self.unsettled, **unexpired}

    def are_earlier_stopped(self, now: float) -> bool:
        """Return whether all earlier leaders are known to have stopped granting."""
        if self.restored_at is not None:
            return False
        return all(map(self._has_left, self.unsettled)) and all(
            settled.stops_at <= now or self._has_left(leader)
            for leader, settled in self.settled.items()
        )

    def has_majority(self, members: frozenset[Member], now: float) -> bool:
        """Return whether a majority of `members` renews with this leader."""
        return 2 * sum(self._follows(m, now) for m in members) > len(members)

    def drop(self, member: Member) -> None:
        """Remove an instance that has released its lease."""
        grantee = self.by_address.get(member.address)
        if grantee is not None and grantee.member == member:
            del self.by_address[member.address]

    def find_unconfirmed(
        self, generation: int, addresses: set[Address], now: float
    ) -> list[str]:
        """Return the names of instances that may use a view older than `generation`.

        Holders of leases of earlier leaders appear as a single entry.

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
        if not self.are_earlier_leases_ended(addresses, now):
            names.append("grantees of earlier leaders")
        return names

    def find_live(self, now: float) -> list[Grantee]:
        """Return the instances heard from within `LIVENESS_WINDOW`."""
        limit = now - LIVENESS_WINDOW
        return [g for g in self.by_address.values() if g.heard_at >= limit]

    def choose_monitors(
        self, current: frozenset[Address], now: float
    ) -> frozenset[Address]:
        """Return the addresses of up to `MAX_MONITORS` instances that watch the fleet.

        They are spread over the failure domains, and have to reach the store.

        Parameters
        ----------
        current : frozenset of (str, int)
            Present monitors; those still eligible are preferred.
        """
        eligible = [
            g.member
            for g in self.find_live(now)
            if g.renewal.store_works and not g.renewal.leaving
        ]
        eligible.sort(key=lambda m: (m.address not in current, m.address))
        domain_counts: dict[str, int] = {}
        ranked = []
        for member in eligible:
            domain_rank = domain_counts.get(member.failure_domain, 0)
            domain_counts[member.failure_domain] = domain_rank + 1
            ranked.append((domain_rank, member.address))
        return frozenset(address for _, address in sorted(ranked)[:MAX_MONITORS])

    def find_busy(self, service: str, now: float) -> list[str]:
        """Return the names of instances with work in flight at a service's primary."""
        return [g.member.name for g in self.find_live(now) if service in g.renewal.busy]

    def _confirms(self, grantee: Grantee, generation: int) -> bool:
        renewal = grantee.renewal
        return renewal.epoch == self.epoch and renewal.generation >= generation

    def are_earlier_leases_ended(self, addresses: set[Address], now: float) -> bool:
        """Return whether no instance can hold a lease of an earlier leader.

        Either all have expired, or all earlier leaders have stopped granting and
        every registered instance has adopted this epoch, which drops its earlier
        lease. Unknown leaders count as earlier ones.
        """
        if now >= self.started_at + ALL_LEASES_DURATION:
            return True
        may_be_unknown = (
            self.restored_at is not None
            and now < self.restored_at + ALL_LEASES_DURATION
        )
        if not may_be_unknown and not self.find_earlier_leaders(now):
            return True
        if self.unsettled or any(s.stops_at > now for s in self.settled.values()):
            return False
        return self.instances_known and all(
            self._has_adopted_epoch(a) for a in addresses
        )

    def _has_left(self, member: Member) -> bool:
        """Return whether a member has ended, or follows this leader or a later one."""
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

    def _has_adopted_epoch(self, address: Address) -> bool:
        grantee = self.by_address.get(address)
        return grantee is not None and grantee.renewal.epoch >= self.epoch
