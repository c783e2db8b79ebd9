"""Objects and messages that cannot be sent on, from writers that nobody controls."""

import unittest
from dataclasses import replace
from unittest import mock

from burdocksail.board import GroupState, GroupView, Member
from burdocksail.fleet import (
    DatagramPeers,
    Farewell,
    Grant,
    LeaderQuery,
    MessageError,
    Snapshot,
    decode_member,
    decode_message,
    decode_snapshot,
    encode_member,
    encode_message,
    encode_snapshot,
    is_sendable,
)
from burdocksail.ports import StoredObject, StoreVersion

MEMBER = Member("instance-1", "a", "north", "10.0.0.1", 7440)
GOOD = StoredObject("i-1", 3, {"service": "orders"}, 1)
ADDRESS = ("10.0.0.2", 7440)


def nest(depth: int) -> list:
    value: list = []
    for _ in range(depth - 1):
        value = [value]
    return value


def make_grant(group: GroupView) -> Grant:
    return Grant(MEMBER, 1, 1, 0.0, False, (group,), 1, 1, 1, True, (), 1, False)


class SendableTest(unittest.TestCase):
    def test_object_that_cannot_be_sent_on_is_recognized(self):
        odd = {
            "too many digits": {"slots": 10**5000},
            "too deep": {"slots": nest(500)},
            "no Unicode": {"zone": "\udcff"},
            "too long": {"zone": "x" * 20_000},
            "no JSON": {"zone": object()},
        }
        for label, spec in odd.items():
            with self.subTest(label):
                self.assertFalse(is_sendable(replace(GOOD, spec=spec)))
        for name in ("\udcff", "x" * 300):
            self.assertFalse(is_sendable(replace(GOOD, name=name)))

    def test_usual_object_is_sendable(self):
        for spec in (GOOD.spec, {"zone": "ä", "new": [[{"a": 1.5}], None]}, None):
            self.assertTrue(is_sendable(replace(GOOD, spec=spec)))


class SnapshotTest(unittest.TestCase):
    def test_object_that_cannot_be_encoded_costs_only_itself(self):
        """Earlier fault: no snapshot could be sent, to any peer."""
        odd = [
            replace(GOOD, spec={"slots": 10**5000}),
            replace(GOOD, spec=nest(100_000)),
            replace(GOOD, name="\udcff"),
        ]
        snapshot = Snapshot(None, (GOOD, *odd, GOOD), StoreVersion(1, 9))
        decoded = decode_snapshot(encode_snapshot(snapshot))
        self.assertEqual(decoded.upstreams, (GOOD, GOOD))

    def test_object_that_cannot_be_decoded_costs_only_itself(self):
        payload = encode_snapshot(Snapshot(None, (GOOD, GOOD), StoreVersion(1, 9)))
        spec = b'{"service":"orders"}'
        damaged = payload.replace(spec, b"9" * len(spec), 1).replace(spec, b"[" * 20)
        self.assertEqual(len(decode_snapshot(damaged).upstreams), 1)


class MemberTest(unittest.TestCase):
    ODD = (
        replace(MEMBER, port=0),
        replace(MEMBER, port=70_000),
        replace(MEMBER, host="some.host"),
        replace(MEMBER, name="x" * 2000),
    )

    def test_instance_to_which_nothing_can_be_sent_is_not_registered(self):
        self.assertEqual(decode_member(encode_member(MEMBER)), MEMBER)
        for member in (*self.ODD, replace(MEMBER, name="\udcff")):
            with self.subTest(member=member):
                self.assertIsNone(decode_member(encode_member(member)))

    def test_message_that_names_such_an_instance_is_malformed(self):
        """Its receiver would send an answer there."""
        for member in self.ODD:
            for message in (Farewell(member), LeaderQuery(member, 1)):
                with self.subTest(message=message), self.assertRaises(MessageError):
                    decode_message(encode_message(message))


class SendTest(unittest.TestCase):
    def test_message_that_cannot_be_encoded_does_not_end_its_sender(self):
        """Earlier fault: the error ended the task that sends, and so the process."""
        reported: list[MessageError] = []
        peers = DatagramPeers(
            mock.Mock(), mock.Mock(), lambda address, error: reported.append(error)
        )
        peers._transport = mock.Mock()
        peers._transport.is_closing.return_value = False
        for group in (
            GroupView("orders", "\udcff", 1, GroupState.OPEN),
            GroupView("orders", "i-1", 2**63, GroupState.OPEN),
        ):
            peers.send(ADDRESS, make_grant(group))
        self.assertEqual(len(reported), 2)
        peers.send(ADDRESS, make_grant(GroupView("orders", "i", 1, GroupState.OPEN)))
        peers._transport.sendto.assert_called_once()


if __name__ == "__main__":
    unittest.main()
