"""Validity of results under the view of the primaries."""

import unittest
from dataclasses import replace

from burdocksail.board import GroupState, GroupView
from burdocksail.board._authority import AuthoritySection

NOW = 100.0
STARTED = GroupView("orders", "server-1", 7, GroupState.OPEN)


class ResultValidityTest(unittest.TestCase):
    def is_valid_under(self, present: GroupView, lease_left: float = 1.0) -> bool:
        section = AuthoritySection(
            groups={present.service_name: present}, lease_expires_at=NOW + lease_left
        )
        return section.is_result_valid(STARTED, NOW)

    def test_result_is_valid_during_the_whole_tenure(self):
        for state in (GroupState.OPEN, GroupState.HOLDING):
            with self.subTest(state=state):
                self.assertTrue(self.is_valid_under(replace(STARTED, state=state)))

    def test_result_of_another_primary_under_the_same_number_is_not_valid(self):
        """Earlier fault: the number alone was compared, and two primaries had it."""
        self.assertFalse(self.is_valid_under(replace(STARTED, primary_id="server-2")))

    def test_result_of_another_tenure_of_the_same_primary_is_not_valid(self):
        self.assertFalse(self.is_valid_under(replace(STARTED, change=8)))

    def test_result_is_not_valid_once_closed_or_without_a_lease(self):
        closed = replace(STARTED, state=GroupState.CLOSED)
        self.assertFalse(self.is_valid_under(closed))
        self.assertFalse(self.is_valid_under(STARTED, lease_left=0.0))


if __name__ == "__main__":
    unittest.main()
