"""Callers' sessions: from MySQL statements to events of the node and back."""

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

# MySQL error codes by what they mean to common clients: 1213 asks to restart
# the transaction, 2013 says that the connection was lost during the query, so
# that the outcome is open, and 3024 that the time for a query is over.
_CODES = {
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
_PREFIXES = {Outcome.NOT_RUN: "not run", Outcome.UNKNOWN: "outcome unknown"}


class EventSink(Protocol):
    """Takes events for the node."""

    def handle_event(self, event: Event) -> None:
        """Let the node handle an event."""
        ...


class ReplyTable:
    """Matches the node's replies with the statements that wait for them."""

    def __init__(self) -> None:
        self._waiting: dict[str, asyncio.Future[Reply]] = {}

    def expect(self, request_id: str) -> asyncio.Future[Reply]:
        """Return the future of a statement's reply."""
        future = asyncio.get_running_loop().create_future()
        self._waiting[request_id] = future
        return future

    def resolve(self, reply: Reply) -> None:
        """Hand a reply to the statement that it answers."""
        future = self._waiting.pop(reply.request_id, None)
        if future is not None and not future.done():
            future.set_result(reply)


class CallerSession(SqlSession):
    """The session of one caller at this instance."""

    def __init__(self, sink: EventSink, replies: ReplyTable, instance_key: str):
        self._sink = sink
        self._replies = replies
        self._instance_key = instance_key
        self._session_id = ""
        self._statements = 0
        self._in_transaction = False
        self._autocommit = True
        self.must_leave = False

    async def open(self, account: str, connection_id: int) -> None:
        """Register the session with the node."""
        self._session_id = f"{self._instance_key}:{connection_id}"
        self._sink.handle_event(SessionOpened(self._session_id, account))

    async def run(
        self, database: str, sql: str, attributes: dict[str, str]
    ) -> ResultSet:
        """Run a statement through the node."""
        options = _parse_attributes(attributes)
        self._statements += 1
        request_id = f"{self._session_id}:{self._statements}"
        future = self._replies.expect(request_id)
        event = StatementArrived(request_id, self._session_id, database, sql, options)
        self._sink.handle_event(event)
        reply = await future
        self._in_transaction = reply.in_transaction
        self._autocommit = reply.autocommit
        self.must_leave = reply.answer.error is AnswerError.STOPPING
        return _unwrap_answer(reply.answer)

    async def close(self) -> None:
        """End the session."""
        if self._session_id:
            self._sink.handle_event(SessionEnded(self._session_id))

    def is_in_transaction(self) -> bool:
        """Return whether the session has an open transaction."""
        return self._in_transaction

    def is_autocommit(self) -> bool:
        """Return whether the session's statements commit by themselves."""
        return self._autocommit


def _parse_attributes(attributes: dict[str, str]) -> StatementOptions:
    own = {
        name.removeprefix(ATTRIBUTE_PREFIX): str(value)
        for name, value in attributes.items()
        if name.startswith(ATTRIBUTE_PREFIX)
    }
    try:
        return parse_options(own)
    except OptionError as error:
        raise SqlError(_CODES[AnswerError.BAD_REQUEST], f"not run: {error}") from error


def _unwrap_answer(answer: Answer) -> ResultSet:
    """Return the result of an answer, or raise the error that it stands for."""
    if answer.outcome is Outcome.ANSWERED and answer.error is AnswerError.NONE:
        return answer.result
    prefix = _PREFIXES[answer.outcome]
    if answer.outcome is Outcome.UNKNOWN:
        code = UNKNOWN_OUTCOME_CODE
    else:
        code = answer.error_code or _CODES[answer.error]
    raise SqlError(code, f"{prefix}: {answer.message}")
