"""Model of a database group: terms, log positions, asynchronous replicas.

Data is held by SQLite in memory. A transaction that writes holds the server's
only lock until it ends, so no transaction sees uncommitted changes of another.
"""

import re
import sqlite3
from dataclasses import dataclass, field
from datetime import timedelta

from burdocksail.core import (
    Column,
    LogPosition,
    LogVector,
    ResultSet,
    parse_gtid_set,
)
from burdocksail.upstream import CREATE_REQUEST_KEY_TABLE, UpstreamError

STRING_TYPE_CODE = 253
INTEGER_TYPE_CODE = 8
DOUBLE_TYPE_CODE = 5

READ_ONLY_ERROR = 1290
ER_DUP_ENTRY = 1062
SYNTAX_ERROR = 1064
STALE_TERM_ERROR = 3100

_READ = re.compile(r"^\s*(?:SELECT|EXPLAIN|WITH)\b", re.I)
_SLEEP = re.compile(r"\bSLEEP\s*\(\s*([0-9.]+)\s*\)", re.I)
_VARIABLES = re.compile(r"^\s*SELECT\s+@@", re.I)
_WAIT = re.compile(r"WAIT_FOR_EXECUTED_GTID_SET\('([^']*)'\s*,\s*([0-9.]+)\)", re.I)
_SET_TERM = re.compile(r"^SET GLOBAL group_term = (\d+)$")
_SET_PRIMARY = re.compile(r"^SET GLOBAL group_primary_term = (\d+)$")
_CHANGE_SOURCE = re.compile(
    r"^CHANGE REPLICATION SOURCE TO SOURCE_HOST = '([^']*)', SOURCE_PORT = (\d+), "
    r"SOURCE_TERM = (\d+)$"
)


class LockWaitError(Exception):
    """The statement is blocked by another transaction and has to be retried."""


@dataclass(frozen=True, slots=True)
class LogEntry:
    """One committed transaction."""

    position: LogPosition
    statements: tuple[str, ...]
    committed_at: timedelta


@dataclass(slots=True)
class DatabaseSession:
    """A connection to a server, with its open transaction.

    Attributes
    ----------
    term : int
        Term of the server when the transaction began.
    statements : list of str
        Statements of the transaction that may have changed data.
    """

    session_id: int
    in_transaction: bool = False
    term: int = 0
    statements: list[str] = field(default_factory=list)


class DatabaseServer:
    """One server of a group.

    Parameters
    ----------
    name, host, port
        Name and address.

    Attributes
    ----------
    term : int
        Highest term that the server has accepted; it is fenced against lower ones.
    source : str
        Address ``host:port`` of the replication source; empty if none.
    vector : LogVector
        Positions that have been applied or committed here.
    lock_owner : DatabaseSession or None
        The session whose open transaction has written.
    """

    def __init__(self, name: str, host: str, port: int):
        self.name = name
        self.host = host
        self.port = port
        self.term = 0
        self.writable = False
        self.source = ""
        self.log: list[LogEntry] = []
        self.vector = LogVector()
        self.lock_owner: DatabaseSession | None = None
        self._database = _make_database()

    def execute(self, session: DatabaseSession, sql: str, now: timedelta) -> ResultSet:
        """Run one statement and return its result.

        Raises
        ------
        UpstreamError
            If the server answers with an error.
        LockWaitError
            If another transaction holds the lock; the statement has not run.
        """
        keyword = sql.split(None, 1)[0].upper() if sql.strip() else ""
        handler = _CONTROL_HANDLERS.get(keyword)
        if handler is not None:
            return handler(self, session, sql, now)
        if _VARIABLES.match(sql):
            return self._select_variables(sql)
        if self.lock_owner not in (None, session):
            raise LockWaitError
        if _READ.match(sql):
            return self._run_sql(sql)
        return self._write(session, sql, now)

    def close_session(self, session: DatabaseSession) -> None:
        """Roll back the open transaction of a closed connection, if any."""
        if session.in_transaction:
            _roll_back(self, session, "ROLLBACK", timedelta())

    def apply(self, entry: LogEntry) -> None:
        """Apply one transaction from the log of the replication source."""
        for statement in entry.statements:
            self._run_sql(statement)
        self._database.commit()
        self.log.append(entry)
        self.vector = self.vector.advance(entry.position)

    def rebuild(self, log: list[LogEntry]) -> None:
        """Replace all data with that of a log, as cloning the source would."""
        self._database.close()
        self._database = _make_database()
        self.log = []
        self.vector = LogVector()
        self.lock_owner = None
        for entry in log:
            self.apply(entry)

    def commit_entry(self, statements: tuple[str, ...], now: timedelta) -> None:
        """Commit a transaction that ran here and append it to the log."""
        last = self.vector.last
        sequence = last.sequence + 1 if last.term == self.term else 1
        position = LogPosition(self.term, sequence)
        self._database.commit()
        self.log.append(LogEntry(position, statements, now))
        self.vector = self.vector.advance(position)

    def roll_back_data(self) -> None:
        """Undo the statements of the open transaction."""
        self._database.rollback()

    def query(self, sql: str) -> list[tuple]:
        """Return rows for a check from outside, bypassing the lock."""
        return self._database.execute(sql).fetchall()

    def _write(self, session: DatabaseSession, sql: str, now: timedelta) -> ResultSet:
        self.check_writable()
        if session.in_transaction and session.term != self.term:
            raise UpstreamError(READ_ONLY_ERROR, "the term changed")
        result = self._run_sql(sql)
        if session.in_transaction:
            self.lock_owner = session
            session.statements.append(sql)
        else:
            self.commit_entry((sql,), now)
        return result

    def check_writable(self) -> None:
        """Raise `UpstreamError` unless the server accepts writes."""
        if not self.writable:
            raise UpstreamError(READ_ONLY_ERROR, "the server is read-only")

    def _run_sql(self, sql: str) -> ResultSet:
        try:
            cursor = self._database.execute(_SLEEP.sub("0", sql))
        except sqlite3.IntegrityError as error:
            raise UpstreamError(ER_DUP_ENTRY, str(error)) from error
        except (sqlite3.Error, sqlite3.Warning) as error:
            raise UpstreamError(SYNTAX_ERROR, str(error)) from error
        if cursor.description is None:
            return ResultSet(
                affected_rows=max(cursor.rowcount, 0),
                last_insert_id=cursor.lastrowid or 0,
            )
        return _encode_rows([d[0] for d in cursor.description], cursor.fetchall())

    def _select_variables(self, sql: str) -> ResultSet:
        names = [n.strip() for n in sql.split(None, 1)[1].split(",")]
        values = []
        for name in names:
            key = name.lower().removeprefix("@@").removeprefix("global.")
            if key not in _VARIABLE_GETTERS:
                raise UpstreamError(1193, f"Unknown system variable '{key}'")
            values.append(_VARIABLE_GETTERS[key](self))
        return _encode_rows(names, [tuple(values)])


class DatabaseGroup:
    """Servers with asynchronous replication between them.

    Parameters
    ----------
    servers : list of DatabaseServer
        The first one starts as the primary of term 1.
    lag : timedelta
        Time until a replica applies a committed transaction.

    Attributes
    ----------
    extra_lag : dict
        Additional lag of single servers, by name.
    cut_servers : set of str
        Servers that neither send nor receive log entries.
    """

    def __init__(self, servers: list[DatabaseServer], lag: timedelta):
        self.servers = servers
        self.lag = lag
        self.extra_lag: dict[str, timedelta] = {}
        self.cut_servers: set[str] = set()
        primary = servers[0]
        for server in servers:
            server.term = 1
        primary.writable = True
        for server in servers[1:]:
            server.source = f"{primary.host}:{primary.port}"

    def replicate(self, now: timedelta) -> None:
        """Apply at each replica the log entries that its lag and links let through."""
        for server in self.servers:
            source = self.find_server(server.source)
            if source is not None and self._may_replicate(server, source):
                self._replicate_from(server, source, now)

    def find_server(self, address: str) -> DatabaseServer | None:
        """Return the server with an address ``host:port``, or None."""
        for server in self.servers:
            if f"{server.host}:{server.port}" == address:
                return server
        return None

    def _may_replicate(self, server: DatabaseServer, source: DatabaseServer) -> bool:
        # A fenced source still ships what it committed before it was fenced.
        linked = not self.cut_servers & {server.name, source.name}
        return linked and server.term <= source.term

    def _replicate_from(
        self, server: DatabaseServer, source: DatabaseServer, now: timedelta
    ) -> None:
        if server.lock_owner is not None:
            return
        lag = self.lag + self.extra_lag.get(server.name, timedelta())
        if _is_errant(server, source):
            # A server with errant transactions repairs itself by cloning its source.
            server.rebuild([e for e in source.log if e.committed_at + lag <= now])
            return
        for entry in source.log[len(server.log) :]:
            if entry.committed_at + lag > now:
                return
            server.apply(entry)


def parse_sleep(sql: str) -> timedelta:
    """Return the duration of a statement's ``SLEEP``, or zero."""
    match = _SLEEP.search(sql)
    return timedelta(seconds=float(match[1])) if match else timedelta()


def parse_wait(sql: str) -> tuple[LogVector, timedelta] | None:
    """Return the positions that a statement waits for, and its timeout.

    None if the statement is no ``WAIT_FOR_EXECUTED_GTID_SET``.
    """
    match = _WAIT.search(sql)
    if match is None:
        return None
    return parse_gtid_set(match[1]), timedelta(seconds=float(match[2]))


def _is_errant(server: DatabaseServer, source: DatabaseServer) -> bool:
    count = len(server.log)
    if count == 0:
        return False
    if count > len(source.log):
        return True
    return source.log[count - 1].position != server.log[-1].position


def _begin(
    server: DatabaseServer, session: DatabaseSession, sql: str, now: timedelta
) -> ResultSet:
    session.in_transaction = True
    session.term = server.term
    session.statements = []
    return ResultSet()


def _commit(
    server: DatabaseServer, session: DatabaseSession, sql: str, now: timedelta
) -> ResultSet:
    statements = tuple(session.statements)
    if statements:
        server.check_writable()
        if session.term != server.term:
            raise UpstreamError(READ_ONLY_ERROR, "the term changed")
        server.commit_entry(statements, now)
    _end_transaction(server, session)
    return ResultSet()


def _roll_back(
    server: DatabaseServer, session: DatabaseSession, sql: str, now: timedelta
) -> ResultSet:
    if server.lock_owner is session:
        server.roll_back_data()
    _end_transaction(server, session)
    return ResultSet()


def _end_transaction(server: DatabaseServer, session: DatabaseSession) -> None:
    session.in_transaction = False
    session.statements = []
    if server.lock_owner is session:
        server.lock_owner = None


def _set(
    server: DatabaseServer, session: DatabaseSession, sql: str, now: timedelta
) -> ResultSet:
    fence = _SET_TERM.match(sql)
    if fence is not None:
        _advance_term(server, int(fence[1]))
        return ResultSet()
    promote = _SET_PRIMARY.match(sql)
    if promote is not None:
        if int(promote[1]) != server.term:
            raise UpstreamError(STALE_TERM_ERROR, f"the term is {server.term}")
        server.writable = True
        server.source = ""
        return ResultSet()
    if re.match(r"^SET (NAMES|AUTOCOMMIT|SESSION)", sql, re.I):
        return ResultSet()
    raise UpstreamError(1193, "unknown variable")


def _advance_term(server: DatabaseServer, term: int) -> None:
    """Accept a higher term, which fences the server.

    The open transaction is rolled back, and the server accepts no more writes and
    has no replication source. The present term changes nothing.

    Raises
    ------
    UpstreamError
        If the term is lower than the present one.
    """
    if term < server.term:
        raise UpstreamError(STALE_TERM_ERROR, f"the term is {server.term}")
    if term == server.term:
        return
    owner = server.lock_owner
    if owner is not None:
        _roll_back(server, owner, "ROLLBACK", timedelta())
    server.term = term
    server.writable = False
    server.source = ""


def _change_source(
    server: DatabaseServer, session: DatabaseSession, sql: str, now: timedelta
) -> ResultSet:
    match = _CHANGE_SOURCE.match(sql)
    if match is None:
        raise UpstreamError(SYNTAX_ERROR, "malformed CHANGE REPLICATION SOURCE")
    term = int(match[3])
    if term == server.term and server.writable:
        raise UpstreamError(STALE_TERM_ERROR, "the server is the primary of the term")
    _advance_term(server, term)
    server.source = f"{match[1]}:{match[2]}"
    return ResultSet()


_CONTROL_HANDLERS = {
    "BEGIN": _begin,
    "START": _begin,
    "COMMIT": _commit,
    "ROLLBACK": _roll_back,
    "SET": _set,
    "CHANGE": _change_source,
}
_VARIABLE_GETTERS = {
    "group_term": lambda server: server.term,
    "read_only": lambda server: 0 if server.writable else 1,
    "gtid_executed": lambda server: server.vector.to_gtid_set(),
    "group_source": lambda server: server.source,
    "version": lambda server: "8.0.0-standin",
    "version_comment": lambda server: "burdocksail stand-in",
    "hostname": lambda server: server.name,
}


def _make_database() -> sqlite3.Connection:
    database = sqlite3.connect(":memory:", check_same_thread=False)
    database.execute(CREATE_REQUEST_KEY_TABLE)
    database.commit()
    return database


def _encode_rows(names: list[str], rows: list[tuple]) -> ResultSet:
    codes = []
    for index in range(len(names)):
        sample = next((row[index] for row in rows if row[index] is not None), "")
        codes.append(_TYPE_CODES.get(type(sample), STRING_TYPE_CODE))
    columns = tuple(Column(n, c) for n, c in zip(names, codes, strict=True))
    return ResultSet(columns, [tuple(map(_encode_value, row)) for row in rows])


_TYPE_CODES = {int: INTEGER_TYPE_CODE, float: DOUBLE_TYPE_CODE}


def _encode_value(value: object) -> bytes | None:
    if value is None:
        return None
    return value if isinstance(value, bytes) else str(value).encode()
