"""Instances that may hold a lease, and the choice of monitors."""

import unittest
from dataclasses import replace

from burdocksail.authority._grantees import Grantees
from burdocksail.authority._limits import (
    LEADER_LEASE_DURATION,
    LEASE_DURATION,
    MAJORITY_WINDOW,
    MAX_RENEWAL_DELAY,
)
from burdocksail.board import MAX_MONITORS, Member
from burdocksail.fleet import Renew


def make_member(number: int, incarnation: str = "a") -> Member:
    return Member(f"instance-{number}", incarnation, "north", f"10.0.0.{number}", 7440)


def make_renewal(member: Member, epoch: int, generation: int = 0) -> Renew:
    return Renew(member, 0.0, epoch, generation, 1, 1, True, (), (), (), False)


class GranteesTest(unittest.TestCase):
    def setUp(self):
        self.own = make_member(1)
        self.old = make_member(2)
        self.members = (self.old, self.own, make_member(3), make_member(4))

    def make_grantees(self, unsettled, known=True) -> Grantees:
        grantees = Grantees(self.own, 5, 100.0, dict(unsettled), instances_known=known)
        grantees.settle(100.0)
        return grantees

    def test_first_leader_waits_for_no_lease(self):
        """Without an earlier leader no lease can be outstanding."""
        grantees = self.make_grantees({}, known=False)
        self.assertEqual(grantees.find_unconfirmed(1, set(), 100.0), [])

    def test_silent_leader_is_waited_for_until_its_last_lease_expires(self):
        """It may grant a last lease at the end of its leader lease."""
        grantees = self.make_grantees({self.old: (self.old,)})
        almost = 100.0 + LEADER_LEASE_DURATION + LEASE_DURATION
        self.assertTrue(grantees.find_unconfirmed(1, set(), almost))
        self.assertFalse(grantees.find_unconfirmed(1, set(), almost + 0.2))

    def test_unknown_leader_is_waited_for_from_the_restoration(self):
        """A claim that a restored store has lost was confirmed before that at most.

        Earlier fault: each leader since then waited from its own start.
        """
        grantees = Grantees(self.own, 5, 100.0, {}, restored_at=95.0)
        silent = {("10.0.0.9", 1)}
        almost = 95.0 + LEADER_LEASE_DURATION + LEASE_DURATION
        self.assertTrue(grantees.find_unconfirmed(1, silent, almost))
        self.assertFalse(grantees.find_unconfirmed(1, silent, almost + 0.2))

    def test_own_earlier_incarnation_is_settled_at_once(self):
        """Another incarnation at this address proves that the earlier one ended."""
        earlier = make_member(1, "earlier run")
        grantees = self.make_grantees({earlier: (earlier,)})
        self.assertFalse(grantees.unsettled)

    def test_leader_that_restarted_is_settled(self):
        """Its own grants have ended, but leases granted before may still run."""
        grantees = self.make_grantees({self.old: (self.old,)})
        grantees.record_renewal(make_renewal(make_member(2, "b"), 0), 101.0)
        self.assertFalse(grantees.unsettled)
        self.assertTrue(grantees.find_unconfirmed(1, {("10.0.0.9", 1)}, 101.0))
        later = 101.0 + LEASE_DURATION + 0.2
        self.assertFalse(grantees.find_unconfirmed(1, {("10.0.0.9", 1)}, later))

    def test_leader_without_a_majority_stops_after_the_window(self):
        """Members that follow a later epoch no longer renew with the old leader."""
        grantees = self.make_grantees({self.old: self.members})
        grantees.record_renewal(make_renewal(make_member(3), 5), 101.0)
        self.assertIn(self.old, grantees.find_earlier_leaders(101.0))
        grantees.record_renewal(make_renewal(make_member(4), 5), 102.0)
        stops = 102.0 + MAJORITY_WINDOW + MAX_RENEWAL_DELAY
        self.assertTrue(grantees.find_unconfirmed(1, set(), stops - 0.1))
        self.assertFalse(
            grantees.find_unconfirmed(1, set(), stops + LEASE_DURATION + 0.2)
        )

    def test_half_of_the_members_is_no_majority(self):
        """Members that left settle their old leader only if they are more than half."""
        grantees = self.make_grantees({self.old: self.members})
        grantees.record_renewal(make_renewal(make_member(3), 5), 101.0)
        self.assertIn(self.old, grantees.unsettled)

    def test_member_that_still_follows_the_old_leader_has_not_left(self):
        grantees = self.make_grantees({self.old: self.members})
        grantees.record_renewal(make_renewal(make_member(3), 4), 101.0)
        grantees.record_renewal(make_renewal(make_member(4), 4), 101.0)
        self.assertIn(self.old, grantees.unsettled)

    def test_settled_leader_stays_in_the_record_until_its_leases_expire(self):
        """The next leader has to wait for those leases too."""
        grantees = self.make_grantees({self.old: (self.old,)})
        grantees.record_renewal(make_renewal(self.old, 5), 101.0)
        self.assertIn(self.old, grantees.find_earlier_leaders(102.0))
        later = 101.0 + LEASE_DURATION + 0.2
        self.assertNotIn(self.old, grantees.find_earlier_leaders(later))

    def test_another_incarnation_counts_towards_no_majority(self):
        """The recorded member has ended, so it no longer renews."""
        grantees = self.make_grantees({})
        grantees.record_renewal(make_renewal(make_member(3, "b"), 5), 100.0)
        members = frozenset({make_member(3), make_member(4), self.own})
        self.assertFalse(grantees.has_majority(members, 100.0))

    def test_grant_is_waited_for_until_confirmed(self):
        """A lease holder may act on its old view until it confirms the new one."""
        grantees = self.make_grantees({})
        grantee = grantees.record_renewal(make_renewal(make_member(3), 5, 1), 100.0)
        grantee.granted_until = 103.0
        self.assertEqual(grantees.find_unconfirmed(2, set(), 100.5), ["instance-3"])
        grantees.record_renewal(make_renewal(make_member(3), 5, 2), 101.0)
        self.assertEqual(grantees.find_unconfirmed(2, set(), 101.0), [])

    def test_monitors_are_spread_over_failure_domains_and_kept(self):
        grantees = self.make_grantees({})
        for number in range(40):
            member = replace(
                make_member(number), failure_domain=f"domain-{number // 10}"
            )
            grantees.record_renewal(make_renewal(member, 5), 100.0)
        chosen = grantees.choose_monitors(frozenset(), 100.0)
        self.assertEqual(len(chosen), MAX_MONITORS)
        domains = {
            grantees.by_address[address].member.failure_domain for address in chosen
        }
        self.assertEqual(len(domains), 4)
        self.assertEqual(grantees.choose_monitors(chosen, 100.5), chosen)

    def test_instance_that_cannot_reach_the_store_is_no_monitor(self):
        grantees = self.make_grantees({})
        renewal = replace(make_renewal(make_member(3), 5), store_works=False)
        grantees.record_renewal(renewal, 100.0)
        self.assertFalse(grantees.choose_monitors(frozenset(), 100.0))


if __name__ == "__main__":
    unittest.main()
