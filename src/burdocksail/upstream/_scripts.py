"""Sequences of SQL statements for operations and administrative actions.

A request key makes a write idempotent. It is inserted in the transaction of the
request itself. A duplicate of the request, through any instance and under any
primary, therefore finds the key if and only if the first one committed. The
duplicate of a single write gets the counts that the first one recorded; that of
a transaction is refused with ER_DUP_ENTRY.
"""

from collections.abc import Callable, Generator
from functools import singledispatch

from burdocksail.core import LogVector, ResultSet, parse_gtid_set
from burdocksail.node import (
    AdminAction,
    AwaitPosition,
    FenceServer,
    FollowServer,
    InspectServer,
    Operation,
    OperationMode,
    OperationResult,
    OperationStatus,
    PromoteServer,
    ServerReport,
)
from burdocksail.upstream._errors import UpstreamError

REQUEST_KEY_TABLE = "burdocksail_request"
CREATE_REQUEST_KEY_TABLE = (
    f"CREATE TABLE IF NOT EXISTS {REQUEST_KEY_TABLE} "
    "(request_key VARCHAR(128) PRIMARY KEY, "
    "affected_rows BIGINT NOT NULL, last_insert_id BIGINT NOT NULL)"
)
ER_DUP_ENTRY = 1062
# Shorter than the node's POSITION_WAIT_TIMEOUT of 1 s, which leaves time for the
# report. In a promotion, the node ends the action earlier, after its
# ACTION_TIMEOUT of 0.6 s.
POSITION_WAIT_TIMEOUT_S = 0.9

_SELECT_APPLIED_GTIDS = "SELECT @@global.gtid_executed"
# The variables `group_*` and the option SOURCE_TERM are not part of MySQL; the
# servers must provide them, as those of `burdocksail.standin` do.
_SELECT_SERVER_STATE = (
    "SELECT @@global.group_term, @@global.read_only, @@global.gtid_executed, "
    "@@global.group_source"
)

OperationScript = Generator[str, ResultSet, OperationResult]
AdminScript = Generator[str, ResultSet, ServerReport]


def build_operation_script(operation: Operation) -> OperationScript:
    """Return the script that runs an operation.

    The script yields SQL, is sent a `ResultSet` or thrown an `UpstreamError`,
    and returns an `OperationResult`. An error that the operation does not
    handle itself becomes a result with status ``REFUSED``.
    """
    return _convert_errors(_OPERATION_SCRIPTS[operation.mode](operation))


@singledispatch
def build_admin_script(action: AdminAction) -> AdminScript:
    """Return the script that runs an administrative action.

    The script yields SQL, is sent a `ResultSet` and returns a `ServerReport`;
    an `UpstreamError` that is thrown into it propagates.

    Raises
    ------
    TypeError
        If `action` is not an administrative action.
    """
    raise TypeError(f"not an administrative action: {type(action).__name__}")


@build_admin_script.register
def _script_inspect(action: InspectServer) -> AdminScript:
    result = yield _SELECT_SERVER_STATE
    term, read_only, applied, source = result.rows[0]
    host, _, port = _decode(source).rpartition(":")
    return ServerReport(
        term=int(_decode(term)),
        writable=_decode(read_only) == "0",
        vector=parse_gtid_set(_decode(applied)),
        source_host=host,
        source_port=int(port or 0),
    )


@build_admin_script.register
def _script_await_position(action: AwaitPosition) -> AdminScript:
    gtid_set = LogVector((action.position,)).to_gtid_set()
    # The returned value is ignored: the report shows whether the server has
    # reached the position.
    yield f"SELECT WAIT_FOR_EXECUTED_GTID_SET('{gtid_set}', {POSITION_WAIT_TIMEOUT_S})"
    return (yield from build_admin_script(InspectServer()))


@build_admin_script.register
def _script_fence(action: FenceServer) -> AdminScript:
    yield f"SET GLOBAL group_term = {action.term}"
    return (yield from build_admin_script(InspectServer()))


@build_admin_script.register
def _script_promote(action: PromoteServer) -> AdminScript:
    yield f"SET GLOBAL group_primary_term = {action.term}"
    return (yield from build_admin_script(InspectServer()))


@build_admin_script.register
def _script_follow(action: FollowServer) -> AdminScript:
    yield (
        f"CHANGE REPLICATION SOURCE TO SOURCE_HOST = '{action.source.host}', "
        f"SOURCE_PORT = {action.source.port}, SOURCE_TERM = {action.term}"
    )
    return (yield from build_admin_script(InspectServer()))


def _convert_errors(script: OperationScript) -> OperationScript:
    """Return a ``REFUSED`` result for an error that the script does not handle.

    Scripts handle errors that follow a commit themselves, as the write has then
    taken effect.
    """
    try:
        return (yield from script)
    except UpstreamError as error:
        return OperationResult(
            OperationStatus.REFUSED, error_code=error.code, message=error.message
        )


def _script_single_statement(operation: Operation) -> OperationScript:
    result = yield operation.sql
    return OperationResult(OperationStatus.DONE, result)


def _script_write(operation: Operation) -> OperationScript:
    result = yield operation.sql
    return (yield from _finish_with_applied_gtids(result))


def _script_keyed_write(operation: Operation) -> OperationScript:
    key = _quote(operation.request_key)
    yield "BEGIN"
    try:
        yield f"INSERT INTO {REQUEST_KEY_TABLE} VALUES ({key}, 0, 0)"
    except UpstreamError as error:
        yield "ROLLBACK"
        if error.code != ER_DUP_ENTRY:
            raise
        return (yield from _return_recorded_result(key))
    try:
        result = yield operation.sql
        yield (
            f"UPDATE {REQUEST_KEY_TABLE} SET affected_rows = {result.affected_rows}, "
            f"last_insert_id = {result.last_insert_id} WHERE request_key = {key}"
        )
        yield "COMMIT"
    except UpstreamError:
        yield "ROLLBACK"
        raise
    return (yield from _finish_with_applied_gtids(result))


def _script_begin(operation: Operation) -> OperationScript:
    yield "BEGIN"
    if operation.request_key:
        key = _quote(operation.request_key)
        try:
            yield f"INSERT INTO {REQUEST_KEY_TABLE} VALUES ({key}, 0, 0)"
        except UpstreamError:
            yield "ROLLBACK"
            raise
    return OperationResult(OperationStatus.DONE)


def _script_commit(operation: Operation) -> OperationScript:
    try:
        result = yield "COMMIT"
    except UpstreamError:
        yield "ROLLBACK"
        raise
    return (yield from _finish_with_applied_gtids(result))


def _script_rollback(operation: Operation) -> OperationScript:
    yield "ROLLBACK"
    return OperationResult(OperationStatus.DONE)


_OPERATION_SCRIPTS: dict[OperationMode, Callable[[Operation], OperationScript]] = {
    OperationMode.READ: _script_single_statement,
    OperationMode.STATEMENT: _script_single_statement,
    OperationMode.WRITE: _script_write,
    OperationMode.KEYED_WRITE: _script_keyed_write,
    OperationMode.BEGIN: _script_begin,
    OperationMode.COMMIT: _script_commit,
    OperationMode.ROLLBACK: _script_rollback,
}


def _finish_with_applied_gtids(
    result: ResultSet, repeated: bool = False
) -> OperationScript:
    """Return a ``DONE`` result, without positions if the server does not tell them.

    The write has committed, so no error may turn it into ``REFUSED``.
    """
    try:
        applied = yield _SELECT_APPLIED_GTIDS
        vector = parse_gtid_set(_decode(applied.rows[0][0]))
    except (UpstreamError, ValueError, IndexError) as error:
        return _make_result_without_position(result, repeated, error)
    return OperationResult(
        OperationStatus.DONE, result, vector=vector, repeated=repeated
    )


def _make_result_without_position(
    result: ResultSet, repeated: bool, error: Exception
) -> OperationResult:
    """Return the result of a write that has committed at an unknown position."""
    return OperationResult(
        OperationStatus.DONE,
        result,
        repeated=repeated,
        message=f"the position of the commit is unknown: {error}",
    )


def _return_recorded_result(key: str) -> OperationScript:
    """Return the counts that an earlier attempt recorded under the key.

    The key proves that the write has committed, so no error here may turn it into
    ``REFUSED``.
    """
    try:
        found = yield (
            f"SELECT affected_rows, last_insert_id FROM {REQUEST_KEY_TABLE} "
            f"WHERE request_key = {key}"
        )
        affected_rows, last_insert_id = found.rows[0]
        result = ResultSet(
            affected_rows=int(_decode(affected_rows)),
            last_insert_id=int(_decode(last_insert_id)),
        )
    except (UpstreamError, ValueError, IndexError) as error:
        return _make_result_without_position(ResultSet(), True, error)
    return (yield from _finish_with_applied_gtids(result, repeated=True))


def _quote(text: str) -> str:
    escaped = text.replace("\\", "\\\\").replace("'", "''")
    return f"'{escaped}'"


def _decode(value: bytes | None) -> str:
    return "" if value is None else value.decode()
