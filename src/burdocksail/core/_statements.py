"""Classification of SQL text by keywords, without parsing it.

Parsing a statement in full costs several times as much as forwarding it, and
the proxy only needs to know whether the statement may run on a replica. What is
not recognised as a plain read counts as a write.
"""

import re

import xxhash

from burdocksail.core._requests import StatementKind

_LEADING_WHITESPACE_AND_COMMENTS = re.compile(
    r"(?:\s+|/\*(?!!).*?\*/|--[^\n]*(?:\n|$)|#[^\n]*(?:\n|$))*", re.S
)
_FIRST_KEYWORD = re.compile(r"[A-Za-z]+")
_TRANSACTION_KEYWORDS = {
    "BEGIN": StatementKind.BEGIN,
    "START": StatementKind.BEGIN,
    "COMMIT": StatementKind.COMMIT,
    "ROLLBACK": StatementKind.ROLLBACK,
}
_READ_KEYWORDS = frozenset({"SELECT", "SHOW", "DESCRIBE", "DESC", "EXPLAIN"})
# These go to the primary: locking reads; reads that write files, variables or
# sequences; reads that depend on the connection's previous statement; `EXPLAIN
# ANALYZE`, as it runs the statement; executable comments; and text that may contain
# a second statement.
_NOT_PLAIN_READ = re.compile(
    r"\bFOR\s+(?:UPDATE|SHARE)\b|\bLOCK\s+IN\b|\bINTO\b|:=|;|/\*!|"
    r"\b(?:LAST_INSERT_ID|FOUND_ROWS|ROW_COUNT|NEXTVAL)\s*\(|"
    r"\bANALYZE\b",
    re.I,
)
# Statements that leave state on the connection or administer the server.
_UNSUPPORTED = re.compile(
    r"^\s*(?:LOCK\s+TABLES?|UNLOCK\s+TABLES?|CREATE\s+TEMPORARY|PREPARE|EXECUTE|"
    r"DEALLOCATE|HANDLER|SAVEPOINT|RELEASE|XA|CHANGE|STOP|RESET|PURGE|KILL|"
    r"INSTALL|SHUTDOWN)\b|"
    r"\b(?:GET_LOCK|RELEASE_LOCK|RELEASE_ALL_LOCKS)\s*\(|@\w+\s*:=|"
    r"\bINTO\s+@",
    re.I,
)
_LITERALS = re.compile(r"'(?:[^'\\]|\\.|'')*'|\"(?:[^\"\\]|\\.)*\"|\b\d+(?:\.\d+)?\b")


def classify_statement(sql: str) -> StatementKind:
    """Return what `sql` may do; ``WRITE`` if that is in doubt."""
    start = _LEADING_WHITESPACE_AND_COMMENTS.match(sql).end()
    word = _FIRST_KEYWORD.match(sql, start)
    if word is None:
        return StatementKind.WRITE
    keyword = word[0].upper()
    transaction = _TRANSACTION_KEYWORDS.get(keyword)
    if transaction is not None:
        return transaction
    if keyword in _READ_KEYWORDS and not _NOT_PLAIN_READ.search(sql.rstrip("; \n\t")):
        return StatementKind.READ
    return StatementKind.WRITE


def find_unsupported_part(sql: str) -> str:
    """Return what in `sql` cannot run on a pooled connection, for an error message.

    The result is empty if nothing is found. Statements that leave state on the
    connection or administer the server are not supported. Neither is a text with
    more than one statement: if the second fails, the first has already run.

    The text is not parsed: a keyword in a literal and a comment after a semicolon
    are reported too, and a leading comment hides the first keyword.
    """
    if ";" in sql:
        first, _, rest = _LITERALS.sub("?", sql).partition(";")
        if rest.strip("; \t\r\n"):
            return "a second statement"
    match = _UNSUPPORTED.search(sql)
    return match[0].strip() if match else ""


def fingerprint_statement(sql: str) -> int:
    """Return a hash of `sql` that does not depend on its literals."""
    return xxhash.xxh64_intdigest(_LITERALS.sub("?", sql).encode())
