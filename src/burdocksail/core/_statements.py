"""Classification of SQL text by its leading keywords.

A full parse costs several times what forwarding a statement costs, and the
proxy needs to know only whether a statement may run on a replica. Everything
that is not evidently a plain read counts as a write.
"""

import re

import xxhash

from burdocksail.core._requests import StatementKind

_LEADING_NOISE = re.compile(
    r"(?:\s+|/\*(?!!).*?\*/|--[^\n]*(?:\n|$)|#[^\n]*(?:\n|$))*", re.S
)
_FIRST_WORD = re.compile(r"[A-Za-z]+")
_TRANSACTION_WORDS = {
    "BEGIN": StatementKind.BEGIN,
    "START": StatementKind.BEGIN,
    "COMMIT": StatementKind.COMMIT,
    "ROLLBACK": StatementKind.ROLLBACK,
}
_READ_WORDS = frozenset({"SELECT", "SHOW", "DESCRIBE", "DESC", "EXPLAIN"})
# Locking reads, reads that write files, variables or sequences, and anything
# that may hold a second statement go to the primary.
_NOT_PLAIN_READ = re.compile(
    r"\bFOR\s+(?:UPDATE|SHARE)\b|\bLOCK\s+IN\b|\bINTO\b|:=|;|/\*!|"
    r"\b(?:LAST_INSERT_ID|FOUND_ROWS|ROW_COUNT|NEXTVAL)\s*\(|"
    r"\bANALYZE\b",
    re.I,
)
_SESSION_STATE = re.compile(
    r"^\s*(?:LOCK\s+TABLES?|UNLOCK\s+TABLES?|CREATE\s+TEMPORARY|PREPARE|EXECUTE|"
    r"DEALLOCATE|HANDLER|SAVEPOINT|RELEASE|XA|CHANGE|STOP|RESET|PURGE|KILL|"
    r"INSTALL|SHUTDOWN)\b|"
    r"\b(?:GET_LOCK|RELEASE_LOCK|RELEASE_ALL_LOCKS)\s*\(|@\w+\s*:=|"
    r"\bINTO\s+@",
    re.I,
)
_LITERALS = re.compile(r"'(?:[^'\\]|\\.|'')*'|\"(?:[^\"\\]|\\.)*\"|\b\d+(?:\.\d+)?\b")


def classify_statement(sql: str) -> StatementKind:
    """Return what `sql` may do; in doubt, that it may write."""
    start = _LEADING_NOISE.match(sql).end()
    word = _FIRST_WORD.match(sql, start)
    if word is None:
        return StatementKind.WRITE
    keyword = word[0].upper()
    transaction = _TRANSACTION_WORDS.get(keyword)
    if transaction is not None:
        return transaction
    if keyword in _READ_WORDS and not _NOT_PLAIN_READ.search(sql.rstrip("; \n\t")):
        return StatementKind.READ
    return StatementKind.WRITE


def find_unsupported_part(sql: str) -> str:
    """Return the part of `sql` that cannot run on a pooled connection.

    That is what would leave state on the connection, and what follows a first
    statement: if a second one fails, the first has run all the same. The
    result is empty for a statement that can run.
    """
    if ";" in sql:
        first, _, rest = _LITERALS.sub("?", sql).partition(";")
        if rest.strip("; \t\r\n"):
            return "a second statement"
    match = _SESSION_STATE.search(sql)
    return match[0].strip() if match else ""


def fingerprint_statement(sql: str) -> int:
    """Return a hash of `sql` that is the same whatever its literals are."""
    return xxhash.xxh64_intdigest(_LITERALS.sub("?", sql).encode())
