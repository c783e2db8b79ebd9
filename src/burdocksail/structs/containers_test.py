"""Payloads that announce more than they hold."""

import time
import unittest

from burdocksail.fleet import MessageError, decode_message
from burdocksail.structs import StructError
from burdocksail.structs._containers import MAX_DEPTH, check_containers

FIELD = b"\x00\x63"  # id of a field that no message has
MANY = b"\x7f\xff\xff\xff"


class ContainerTest(unittest.TestCase):
    def test_elements_without_bytes_are_not_skipped_one_by_one(self):
        """Earlier fault: a datagram of eight bytes stopped an instance for 8.6 s."""
        for header in (b"\x0e%s\x00", b"\x0f%s\x01", b"\x0d%s\x00\x00"):
            payload = header % FIELD + MANY
            with self.subTest(payload=payload):
                started_at = time.process_time()
                with self.assertRaises(MessageError):
                    decode_message(payload)
                self.assertLess(time.process_time() - started_at, 0.1)

    def test_payload_that_holds_less_than_it_announces_is_refused(self):
        for value in (
            b"\x0b%s\x00\x00\x00\x09abc\x00",  # text
            b"\x0b%s\xff\xff\xff\xff\x00",  # a negative length
            b"\x0f%s\x08\x00\x00\x00\x02\x00\x00\x00\x01\x00",  # integers
            b"\x0f%s\x0b\x00\x00\x00\x02\x00",  # a list of texts
            b"\x0c%s\x08\x00\x01",  # a struct
            b"\x10%s\x00",  # a type that does not exist
            b"\x08%s\x00",
            b"",
        ):
            payload = value.replace(b"%s", FIELD)
            with self.subTest(payload=payload), self.assertRaises(StructError):
                check_containers(payload)

    def test_nesting_is_limited(self):
        payload = (b"\x0c" + FIELD) * (MAX_DEPTH + 1) + b"\x00" * (MAX_DEPTH + 2)
        with self.assertRaises(StructError):
            check_containers(payload)

    def test_every_type_is_passed_over(self):
        for value in (
            b"\x02%s\x01",
            b"\x03%s\x01",
            b"\x04%s12345678",
            b"\x06%s12",
            b"\x08%s1234",
            b"\x0a%s12345678",
            b"\x0b%s\x00\x00\x00\x02ab",
            b"\x0c%s\x08%s1234\x00",
            b"\x0d%s\x0b\x08\x00\x00\x00\x01\x00\x00\x00\x01a1234",
            b"\x0e%s\x06\x00\x00\x00\x021234",
            b"\x0f%s\x0f\x00\x00\x00\x01\x03\x00\x00\x00\x02ab",
        ):
            payload = value.replace(b"%s", FIELD) + b"\x00 and more"
            with self.subTest(payload=payload):
                check_containers(payload)


if __name__ == "__main__":
    unittest.main()
