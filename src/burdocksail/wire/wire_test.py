"""Tests of message encoding and framing, malformed input included."""

import struct
import unittest

from hypothesis import given
from hypothesis import strategies as st

from burdocksail.core import (
    Answer,
    Column,
    Instance,
    LogPosition,
    Outcome,
    Request,
    ResultSet,
    StatementKind,
)
from burdocksail.node._messages import (
    AcceptedItem,
    AskLease,
    Ballot,
    ConfigurationChanges,
    ForwardAnswer,
    ForwardRequest,
    HandOver,
    HandOverAccepted,
    LeaseItem,
    LeaseRefusal,
    LeaseReport,
    LeasesAnswered,
    Message,
    NotLeader,
    Ping,
    Pong,
    ProbeServer,
    PullConfiguration,
    ReleaseLeases,
    RenewLeases,
    Rumour,
    ServerProbed,
    SessionClosed,
)
from burdocksail.wire import (
    FrameDecoder,
    FrameEncoder,
    WireError,
    decode_hello,
    decode_message,
    encode_hello,
    encode_message,
)

INSTANCE = Instance("a", "1", "inari", "10.0.0.1", 7306)
ITEM = LeaseItem("orders", Ballot(3, 1))
ROWS = [(b"1", None), (b"\xff\x00", b"")]
RESULT = ResultSet((Column("a", 8), Column("b", 253)), ROWS, 3, 1 << 40)
REQUEST = Request("r", "s", "desk", "booking", "g", "SELECT 'ä'", StatementKind.READ)
MESSAGES = (
    ForwardRequest(REQUEST),
    ForwardAnswer("r", Answer(Outcome.ANSWERED, RESULT, position=LogPosition(2, 9))),
    NotLeader("r", "g", None),
    NotLeader("r", "g", INSTANCE),
    SessionClosed("g", "s"),
    RenewLeases(7, (ITEM,)),
    LeasesAnswered(7, (ITEM,), (LeaseRefusal("g", Ballot(1), Ballot(2, 3)),)),
    ReleaseLeases((ITEM,)),
    AskLease("g"),
    LeaseReport("g", Ballot(4, 0), INSTANCE),
    HandOver("g", Ballot(4, 1), "{}", 12),
    HandOverAccepted("g", Ballot(4, 1)),
    ProbeServer("g", "a"),
    ServerProbed("g", "a", True),
    Ping(1, INSTANCE, (Rumour(INSTANCE, "suspect", 4, "w", "d"),)),
    Pong(1, INSTANCE),
    PullConfiguration(4),
    ConfigurationChanges((AcceptedItem("team/a", 1, 2, "{}"),), 9, False),
)
KEY = b"k" * 32


class MessageTest(unittest.TestCase):
    def test_every_message_type_round_trips(self):
        """Guards against a message whose fields and thrift struct differ.

        The second assertion fails if a message type has no example here.
        """
        for message in MESSAGES:
            self.assertEqual(decode_message(encode_message(message)), message)
        tested = {type(message) for message in MESSAGES}
        self.assertEqual(tested, set(Message.__args__))

    def test_hello_round_trips(self):
        decoded = decode_hello(encode_hello(INSTANCE, b"\x00\xff" * 8))
        self.assertEqual(decoded, (INSTANCE, b"\x00\xff" * 8))

    @given(st.binary(max_size=200))
    def test_garbage_raises_wire_error_only(self, data):
        with self.assertRaises(WireError):
            decode_message(data)

    @given(st.sampled_from(MESSAGES), st.integers(0, 400), st.integers(0, 255))
    def test_changed_bytes_raise_wire_error_or_decode(self, message, index, byte):
        payload = bytearray(encode_message(message))
        payload[index % len(payload)] = byte
        try:
            decode_message(bytes(payload))
        except WireError:
            return


class FrameTest(unittest.TestCase):
    @given(st.lists(st.binary(max_size=50), max_size=6), st.integers(1, 40))
    def test_payloads_survive_any_split(self, payloads, step):
        encoder = FrameEncoder(KEY)
        decoder = FrameDecoder(KEY)
        data = b"".join(encoder.encode(payload) for payload in payloads)
        received = []
        for start in range(0, len(data), step):
            received.extend(decoder.feed(data[start : start + step]))
        self.assertEqual(received, payloads)

    def test_an_absurd_length_is_refused_at_once(self):
        """Guards against buffering up to a length that an attacker declares."""
        decoder = FrameDecoder(KEY)
        with self.assertRaises(WireError):
            list(decoder.feed(struct.pack(">I16s", 1 << 31, b"")))

    def test_a_frame_of_another_key_is_refused(self):
        """Guards against messages from a peer without the shared key."""
        frame = FrameEncoder(b"other" * 7).encode(b"payload")
        with self.assertRaises(WireError):
            list(FrameDecoder(KEY).feed(frame))

    def test_a_repeated_frame_is_refused(self):
        """Guards against a replayed frame: the MAC must cover the counter."""
        frame = FrameEncoder(KEY).encode(b"payload")
        decoder = FrameDecoder(KEY)
        self.assertEqual(list(decoder.feed(frame)), [b"payload"])
        with self.assertRaises(WireError):
            list(decoder.feed(frame))


if __name__ == "__main__":
    unittest.main()
