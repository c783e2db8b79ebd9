"""Encoding, decoding and claiming of the authority record."""

import unittest

from burdocksail.authority._record import (
    AuthorityRecord,
    EarlierLeader,
    GroupRecord,
    RecordError,
    decode_record,
    encode_record,
)
from burdocksail.board import Member

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


if __name__ == "__main__":
    unittest.main()
