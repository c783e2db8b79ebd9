"""Callers' sessions: pass MySQL statements to the node and return its replies."""

import asyncio
from typing import Protocol

from burdocksail.core import Answer, AnswerError, Outcome, ResultSet
from burdocksail.node import (
    Event,
    OptionError,
    Reply,
    SessionEnded,
    SessionOpened,
    StatementArrived,
    StatementOptions,
    parse_options,
)
from burdocksail.shell._sql_server import SqlError, SqlSession

ATTRIBUTE_PREFIX = "burdocksail_"

# MySQL error codes by their meaning to common clients: 1213 asks to restart the
# transaction, 2013 says that the connection was lost during the query, so that
# its outcome is unknown, and 3024 that the query exceeded its time limit.
_ERROR_CODES = {
    AnswerError.OVERLOADED: 1226,
    AnswerError.DEADLINE: 3024,
    AnswerError.NO_LEADER: 1105,
    AnswerError.NO_PRIMARY: 1105,
    AnswerError.LOST_WRITE: 1105,
    AnswerError.TRANSACTION_LOST: 1213,
    AnswerError.UPSTREAM_LOST: 1105,
    AnswerError.BAD_REQUEST: 1235,
    AnswerError.STOPPING: 1053,
}
UNKNOWN_OUTCOME_CODE = 2013
_MESSAGE_PREFIXES = {Outcome.NOT_RUN: "not run", Outcome.UNKNOWN: "outcome unknown"}


class EventSink(Protocol):
    """Receiver of events for the node."""

    def handle_event(self, event: Event) -> None:
        """Pass an event to the node."""
        ...


class ReplyTable:
    """Matches the node's replies to the statements that await them."""

    def __init__(self) -> None:
        self._pending: dict[str, asyncio.Future[Reply]] = {}

    def expect(self, request_id: str) -> asyncio.Future[Reply]:
        """Register a statement and return the future of its reply."""
        future = asyncio.get_running_loop().create_future()
        self._pending[request_id] = future
        return future

    def resolve(self, reply: Reply) -> None:
        """Complete the future of the statement that a reply answers."""
        future = self._pending.pop(reply.request_id, None)
        if future is not None and not future.done():
            future.set_result(reply)


class CallerSession(SqlSession):
    """Session of one caller at this instance."""

    def __init__(self, sink: EventSink, replies: ReplyTable, instance_key: str):
        self._sink = sink
        self._replies = replies
        self._instance_key = instance_key
        self._session_id = ""
        self._statement_count = 0
        self._in_transaction = False
        self._autocommit = True
        self.close_after_answer = False

    async def open(self, account: str, connection_id: int) -> None:
        """Register the session with the node."""
        self._session_id = f"{self._instance_key}:{connection_id}"
        self._sink.handle_event(SessionOpened(self._session_id, account))

    async def run(
        self, database: str, sql: str, attributes: dict[str, str]
    ) -> ResultSet:
        """Run a statement through the node and return its result.

        Raises
        ------
        SqlError
            If an option is invalid, the statement was not run or failed, or its
            outcome is unknown.
        """
        options = _parse_attributes(attributes)
        self._statement_count += 1
        request_id = f"{self._session_id}:{self._statement_count}"
        future = self._replies.expect(request_id)
        event = StatementArrived(request_id, self._session_id, database, sql, options)
        self._sink.handle_event(event)
        reply = await future
        self._in_transaction = reply.in_transaction
        self._autocommit = reply.autocommit
        self.close_after_answer = reply.answer.error is AnswerError.STOPPING
        return _unwrap_answer(reply.answer)

    async def close(self) -> None:
        """Report the end of the session to the node."""
        if self._session_id:
            self._sink.handle_event(SessionEnded(self._session_id))

    def is_in_transaction(self) -> bool:
        """Return whether the session has an open transaction."""
        return self._in_transaction

    def is_autocommit(self) -> bool:
        """Return whether the session is in autocommit mode."""
        return self._autocommit


def _parse_attributes(attributes: dict[str, str]) -> StatementOptions:
    option_values = {
        name.removeprefix(ATTRIBUTE_PREFIX): str(value)
        for name, value in attributes.items()
        if name.startswith(ATTRIBUTE_PREFIX)
    }
    try:
        return parse_options(option_values)
    except OptionError as error:
        raise SqlError(
            _ERROR_CODES[AnswerError.BAD_REQUEST], f"not run: {error}"
        ) from error


def _unwrap_answer(answer: Answer) -> ResultSet:
    """Return the result of an answer, or raise its error as `SqlError`."""
    if answer.outcome is Outcome.ANSWERED and answer.error is AnswerError.NONE:
        return answer.result
    prefix = _MESSAGE_PREFIXES[answer.outcome]
    if answer.outcome is Outcome.UNKNOWN:
        code = UNKNOWN_OUTCOME_CODE
    else:
        code = answer.error_code or _ERROR_CODES[answer.error]
    raise SqlError(code, f"{prefix}: {answer.message}")
