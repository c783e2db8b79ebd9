"""Password hashes of accounts.

MySQL's native scheme stores the double SHA-1 of the password and never sends
the password itself. Knowing the stored hash does not let anybody log in. A
salted hash of the password cannot be checked against the scheme's scramble;
docs/design/0001-path.md weighs the alternatives.
"""

import hashlib


def hash_password(password: str) -> str:
    """Return the hexadecimal hash that an account record stores."""
    return hashlib.sha1(hashlib.sha1(password.encode()).digest()).hexdigest()
