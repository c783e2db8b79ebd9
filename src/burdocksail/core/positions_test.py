"""Tests of log positions and of their conversion to GTID sets."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from burdocksail.core import LogPosition, LogVector, parse_gtid_set

positions = st.lists(
    st.builds(LogPosition, st.integers(1, 6), st.integers(1, 50)),
    max_size=12,
)


def build(items):
    vector = LogVector()
    for item in items:
        vector = vector.advance(item)
    return vector


class LogVectorTest(unittest.TestCase):
    @given(positions)
    def test_covers_exactly_what_was_applied(self, items):
        vector = build(items)
        naive = {}
        for item in items:
            naive[item.term] = max(naive.get(item.term, 0), item.sequence)
        for term in range(1, 8):
            for sequence in (1, 25, 50):
                expected = naive.get(term, 0) >= sequence
                position = LogPosition(term, sequence)
                self.assertEqual(vector.covers(position), expected)

    @given(positions)
    def test_gtid_set_round_trip(self, items):
        vector = build(items)
        self.assertEqual(parse_gtid_set(vector.to_gtid_set()), vector)

    @given(st.text(max_size=60))
    def test_malformed_sets_raise_value_error_only(self, text):
        try:
            parse_gtid_set(text)
        except ValueError:
            return

    def test_lost_write_of_an_earlier_term_is_not_covered(self):
        """Guards against a lost write that counts as applied.

        The new primary of term 2 has the log of term 1 only up to number 10, so
        number 11 was lost in the promotion, although term 2 is later.
        """
        primary = build([LogPosition(1, 10), LogPosition(2, 3)])
        self.assertTrue(primary.covers(LogPosition(1, 10)))
        self.assertFalse(primary.covers(LogPosition(1, 11)))


if __name__ == "__main__":
    unittest.main()
