"""Password hashes of accounts.

MySQL's native password authentication stores the double SHA-1 of the password
and never sends the password itself. The stored hash is not enough to log in. A
salted hash could not be verified against the scramble that a client sends;
docs/design/0001-path.md compares the alternatives.
"""

import hashlib


def hash_password(password: str) -> str:
    """Return the hexadecimal hash that is stored in an account's record."""
    return hashlib.sha1(hashlib.sha1(password.encode()).digest()).hexdigest()
