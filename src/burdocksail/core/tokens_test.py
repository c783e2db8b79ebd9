"""Tests of consistency tokens.

A forged or damaged token that is accepted could make reads wait for a position
that is never reached.
"""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from burdocksail.core import LogPosition, TokenError, decode_token, encode_token

KEY = b"0123456789abcdef"
group_names = st.from_regex(r"[a-z][a-z0-9_-]{0,10}", fullmatch=True)
seen = st.dictionaries(
    group_names, st.builds(LogPosition, st.integers(0, 99), st.integers(0, 1 << 40))
)


class TokenTest(unittest.TestCase):
    @given(seen)
    def test_round_trip(self, positions):
        self.assertEqual(decode_token(encode_token(positions, KEY), KEY), positions)

    @given(seen, st.integers(0, 200), st.characters(codec="ascii"))
    def test_a_changed_token_is_refused(self, positions, index, character):
        token = encode_token(positions, KEY)
        index %= len(token)
        changed = token[:index] + character + token[index + 1 :]
        if changed != token:
            with self.assertRaises(TokenError):
                decode_token(changed, KEY)

    @given(st.text(max_size=100))
    def test_garbage_is_refused(self, text):
        with self.assertRaises(TokenError):
            decode_token(text, KEY)

    def test_a_token_of_another_key_is_refused(self):
        token = encode_token({"orders": LogPosition(1, 2)}, b"another key")
        with self.assertRaises(TokenError):
            decode_token(token, KEY)

    def test_a_long_token_is_refused(self):
        with self.assertRaises(TokenError):
            decode_token("x" * 10_000, KEY)


if __name__ == "__main__":
    unittest.main()
