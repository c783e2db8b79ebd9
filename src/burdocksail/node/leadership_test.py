"""Claims and handovers of a group's leadership, each matched as a whole."""

import unittest
from dataclasses import replace

from burdocksail.core import Instance, ManualClock
from burdocksail.node import Node, NodeSettings, _claims, _handover, _lease
from burdocksail.node._board import Role
from burdocksail.node._messages import Ballot, HandOverAccepted
from burdocksail.node._status import GroupStatus, encode_status

GROUP = "booking"
OWN = Instance("instance-0", "a", "north", "10.0.0.1", 7440)
SUCCESSOR = Instance("instance-1", "b", "east", "10.0.0.2", 7440)
CLAIM = GroupStatus(Ballot(5, 0), OWN, ((OWN,),), 1, "server-0", "instance-0/a:1")


class HandoverTest(unittest.TestCase):
    def role_after(self, accepted: Ballot) -> Role:
        board = Node(NodeSettings(OWN, b"key"), ManualClock(), 1).board
        leadership = _lease.get_or_create_leadership(board, GROUP)
        leadership.role = Role.HANDING_OVER
        leadership.ballot = Ballot(5, 2)
        message = HandOverAccepted(GROUP, accepted)
        _handover.handle_hand_over_accepted(board, SUCCESSOR, message)
        return leadership.role

    def test_accepted_handover_ends_the_leadership(self):
        self.assertIs(self.role_after(Ballot(5, 3)), Role.FOLLOWER)

    def test_late_answer_to_an_earlier_handover_does_not_end_a_later_one(self):
        """Earlier fault: the epoch alone was compared, and the order not repeated."""
        for ballot in (Ballot(5, 1), Ballot(5, 2), Ballot(4, 3)):
            with self.subTest(ballot=ballot):
                self.assertIs(self.role_after(ballot), Role.HANDING_OVER)


class ClaimTest(unittest.TestCase):
    def test_claim_whose_answer_was_lost_is_recognized(self):
        self.assertTrue(_claims._is_own_claim(encode_status(CLAIM), CLAIM))

    def test_later_claim_with_a_longer_request_id_is_not_taken_for_it(self):
        """Earlier fault: the request id was searched for in the stored text."""
        later = replace(CLAIM, request_id=f"{CLAIM.request_id}0")
        self.assertFalse(_claims._is_own_claim(encode_status(later), CLAIM))

    def test_unreadable_status_is_no_claim(self):
        self.assertFalse(_claims._is_own_claim("{", CLAIM))


if __name__ == "__main__":
    unittest.main()
