"""Tests of records: conversion of all versions, and errors that name the field."""

import json
import unittest

from hypothesis import given
from hypothesis import strategies as st

from burdocksail.records import (
    AcknowledgeAfter,
    Group,
    RecordError,
    Service,
    convert_record,
    hash_password,
    parse_record,
    parse_record_text,
)

ACCOUNTS = [{"name": "desk", "password_hash": hash_password("x")}]
SERVICE_V1 = {
    "schema_version": 1,
    "kind": "service",
    "name": "booking",
    "team": "lumilinna",
    "database": "booking",
    "group": "booking",
    "accounts": ACCOUNTS,
}
SERVICE_V2 = {
    "schema_version": 2,
    "kind": "service",
    "name": "booking",
    "team": "lumilinna",
    "databases": {"booking": "booking"},
    "accounts": ACCOUNTS,
}
SERVER = {"name": "a", "host": "10.0.0.1", "port": 3306, "failure_domain": "inari"}
GROUP_V2 = {
    "schema_version": 2,
    "kind": "group",
    "name": "booking",
    "servers": [SERVER],
    "slots": 3,
    "connections": 20,
    "user": "proxy",
}


def assert_refused(test, value, field):
    with test.assertRaises(RecordError) as caught:
        convert_record(parse_record(value))
    test.assertIn(field, str(caught.exception))


class RecordTest(unittest.TestCase):
    def test_both_versions_have_the_same_internal_type(self):
        """Guards against a version 1 service that changes its meaning.

        Records of version 1 keep acknowledging after the primary alone, while
        the default of version 2 waits for a replica.
        """
        first = convert_record(parse_record(SERVICE_V1))
        second = convert_record(parse_record(SERVICE_V2))
        self.assertIsInstance(first, Service)
        self.assertEqual(first.databases, second.databases)
        self.assertIs(first.acknowledge_after, AcknowledgeAfter.PRIMARY)
        self.assertIs(second.acknowledge_after, AcknowledgeAfter.REPLICA)

    def test_refusals_name_the_field(self):
        assert_refused(self, {**SERVICE_V2, "deadlin_ms": 3}, "deadlin_ms")
        assert_refused(self, {**SERVICE_V2, "schema_version": 3}, "schema_version")
        assert_refused(self, {**SERVICE_V2, "schema_version": True}, "schema_version")
        assert_refused(self, {**SERVICE_V2, "kind": "srvice"}, "kind")
        assert_refused(self, {**SERVICE_V2, "deadline_ms": 0}, "deadline_ms")
        assert_refused(
            self, {**GROUP_V2, "preferred_primary": "b"}, "preferred_primary"
        )
        assert_refused(self, {**GROUP_V2, "servers": [SERVER, SERVER]}, "servers")
        reads = {"freshness": "stated_age"}
        assert_refused(self, {**SERVICE_V2, "reads": reads}, "max_age_ms")
        host = {**SERVER, "host": "db.example"}
        assert_refused(self, {**GROUP_V2, "servers": [host]}, "host")

    def test_a_large_record_is_refused(self):
        with self.assertRaises(RecordError):
            parse_record_text(json.dumps({"kind": "x" * 2_000_000}))

    def test_secrets_are_not_shown(self):
        """Guards against a password that reaches dumps or logs through `repr`."""
        record = convert_record(parse_record({**GROUP_V2, "password": "s3cret"}))
        self.assertIsInstance(record, Group)
        self.assertNotIn("s3cret", repr(record))

    @given(st.recursive(st.none() | st.integers() | st.text(), st.lists))
    def test_any_json_value_is_refused_clearly(self, value):
        with self.assertRaises(RecordError):
            parse_record(value)

    @given(st.text(max_size=200))
    def test_any_text_is_refused_clearly(self, text):
        with self.assertRaises(RecordError):
            parse_record_text(text)


if __name__ == "__main__":
    unittest.main()
