"""Encoding, decoding and claiming of the authority record."""

import unittest

from burdocksail.authority._record import (
    CHANGES_PER_EPOCH,
    EPOCHS_PER_TIMELINE,
    AuthorityRecord,
    EarlierLeader,
    GroupRecord,
    RecordError,
    decode_record,
    encode_record,
    number_change,
)
from burdocksail.board import Member
from burdocksail.ports import MAX_TIMELINE, count_from_timeline

SERVICE = "orders"


def make_member(number: int) -> Member:
    return Member(f"instance-{number}", "a", "north", f"10.0.0.{number}", 7440)


class RecordTest(unittest.TestCase):
    def test_round_trip(self):
        record = AuthorityRecord(
            7,
            make_member(1),
            (make_member(1), make_member(2)),
            (EarlierLeader(make_member(3), (make_member(3),)),),
            {SERVICE: GroupRecord("server-1", 3, changing=True)},
        )
        self.assertEqual(decode_record(encode_record(record)), record)

    def test_malformed_records_are_refused(self):
        for spec in ({}, {"schema_version": 9}, {"schema_version": 1, "epoch": "x"}):
            with self.subTest(spec=spec), self.assertRaises(RecordError):
                decode_record(spec)

    def test_claim_keeps_the_earlier_leader(self):
        record = AuthorityRecord(7, make_member(1), (make_member(1),), (), {})
        claimed = record.claimed_by(make_member(2))
        self.assertEqual(claimed.epoch, 8)
        self.assertEqual([e.leader for e in claimed.unsettled], [make_member(1)])

    def test_tenures_of_different_leaders_have_different_numbers(self):
        """Whether or not an earlier leader could record its last tenure.

        Earlier fault: two leaders in a row counted on from the same recorded number.
        """
        earlier = [number_change(7, n) for n in range(CHANGES_PER_EPOCH)]
        later = [number_change(8, n) for n in range(CHANGES_PER_EPOCH)]
        self.assertLess(max(earlier), min(later))
        self.assertEqual(len({*earlier, *later}), 2 * CHANGES_PER_EPOCH)

    def test_numbers_of_the_last_timeline_fit_into_a_message(self):
        epoch = count_from_timeline(MAX_TIMELINE + 1, EPOCHS_PER_TIMELINE)
        self.assertLess(number_change(epoch, CHANGES_PER_EPOCH), 2**63)


if __name__ == "__main__":
    unittest.main()
