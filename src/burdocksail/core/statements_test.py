"""Tests of the classification of SQL statements."""

import unittest

from burdocksail.core import (
    StatementKind,
    classify_statement,
    find_unsupported_part,
    fingerprint_statement,
)

READS = (
    "SELECT 1",
    "  select a from t where b = 'FOR UPDATE is text'".replace("FOR UPDATE", "for"),
    "/* note */ SELECT a FROM t;",
    "-- note\nSHOW TABLES",
)
WRITES = (
    "INSERT INTO t VALUES (1)",
    "SELECT a FROM t FOR UPDATE",
    "SELECT a FROM t LOCK IN SHARE MODE",
    "SELECT a INTO OUTFILE 'x' FROM t",
    "WITH x AS (SELECT 1) DELETE FROM t",
    "/*!50000 DELETE FROM t */",
    "SELECT /*!50000 SQL_NO_CACHE */ 1",
    "(SELECT 1)",
    "",
    "CALL work()",
    "EXPLAIN ANALYZE SELECT 1",
)
UNSUPPORTED = (
    "SELECT 1; DELETE FROM t",
    "LOCK TABLES t READ",
    "CREATE TEMPORARY TABLE t (a INT)",
    "SELECT GET_LOCK('a', 1)",
    "SELECT @x := 1",
    "SELECT 1 INTO @x",
    "SAVEPOINT a",
    "KILL 3",
)


class ClassifyTest(unittest.TestCase):
    def test_plain_reads(self):
        for sql in READS:
            self.assertIs(classify_statement(sql), StatementKind.READ, sql)

    def test_everything_else_counts_as_a_write(self):
        """Guards against running a statement with side effects on a replica."""
        for sql in WRITES:
            self.assertIs(classify_statement(sql), StatementKind.WRITE, sql)

    def test_transaction_statements(self):
        self.assertIs(classify_statement("begin"), StatementKind.BEGIN)
        self.assertIs(classify_statement("START TRANSACTION"), StatementKind.BEGIN)
        self.assertIs(classify_statement("COMMIT;"), StatementKind.COMMIT)

    def test_unsupported_statements_are_found(self):
        """Guards against session state that the next caller would inherit.

        Callers share connections, so locks, temporary tables, variables and
        savepoints of one caller would affect another. Administrative statements
        and second statements are found as well.
        """
        for sql in UNSUPPORTED:
            self.assertTrue(find_unsupported_part(sql), sql)

    def test_a_semicolon_in_a_literal_or_at_the_end_is_no_second_statement(self):
        self.assertEqual(find_unsupported_part("SELECT 'a; b';"), "")
        self.assertEqual(find_unsupported_part("INSERT INTO t VALUES ('x;y')"), "")

    def test_fingerprint_ignores_literals(self):
        first = fingerprint_statement("SELECT a FROM t WHERE b = 'x' AND c = 17")
        second = fingerprint_statement("SELECT a FROM t WHERE b = 'it''s' AND c = 9")
        self.assertEqual(first, second)
        self.assertNotEqual(first, fingerprint_statement("SELECT b FROM t"))


if __name__ == "__main__":
    unittest.main()
