"""Caller sessions at the entry instance: forwarding and retries of statements.

Each statement is sent to the leader of its group, which may be this instance.
A request that certainly did not run is retried. After an unknown outcome only
reads, requests with a request key and requests marked as repeatable are
retried; any other request is answered as unknown.
"""

import heapq
from dataclasses import replace
from datetime import timedelta

from burdocksail.core import (
    Answer,
    AnswerError,
    Freshness,
    Instance,
    Outcome,
    Request,
    ResultSet,
    StatementKind,
    TokenError,
    classify_statement,
    encode_token,
    find_unsupported_part,
    rank_instances,
    seconds,
)
from burdocksail.node import (
    _claims,
    _invariants,
    _lease,
    _membership,
    _outcomes,
    _placement,
    _transactions,
    _work,
)
from burdocksail.node._board import Blackboard, PendingRequest, Session
from burdocksail.node._effects import Reply, Send
from burdocksail.node._events import (
    MessageNotSent,
    PeerUnreachable,
    SessionEnded,
    SessionOpened,
    StatementArrived,
    StatementOptions,
)
from burdocksail.node._local_statements import (
    adopt_token,
    clear_request_key,
    run_local_statement,
)
from burdocksail.node._messages import (
    ForwardAnswer,
    ForwardRequest,
    NotLeader,
    SessionClosed,
)
from burdocksail.node._options import OptionError

RETRY_DELAY = seconds(0.05)
STOPPING_MESSAGE = "the instance is stopping; connect again"
ANSWER_GRACE = seconds(0.3)  # after the deadline, for an answer in flight
FORWARD_CANDIDATES = 5  # instances tried in turn while the leader is unknown
STOP_GRACE = seconds(5)  # after it, only open transactions may continue

ENDING_KINDS = (StatementKind.COMMIT, StatementKind.ROLLBACK)


def handle_session_opened(board: Blackboard, event: SessionOpened) -> None:
    """Register the session of a caller that has authenticated."""
    board.entry.sessions[event.session_id] = Session(event.session_id, event.account)


def handle_session_ended(board: Blackboard, event: SessionEnded) -> None:
    """Remove a caller's session and roll back its open transaction."""
    session = board.entry.sessions.pop(event.session_id, None)
    if session is not None:
        _abandon_transaction(board, session)


def handle_statement(board: Blackboard, event: StatementArrived) -> None:
    """Answer a statement locally or send it to the leader of its group."""
    session = board.entry.sessions[event.session_id]
    board.metrics.count("statements")
    if must_refuse_for_stop(board, session):
        answer = Answer(
            Outcome.NOT_RUN, error=AnswerError.STOPPING, message=STOPPING_MESSAGE
        )
        _reply(board, session, event.request_id, answer)
        return
    try:
        local = run_local_statement(board, session, event.sql)
        if local is not None:
            _reply(board, session, event.request_id, Answer(Outcome.ANSWERED, local))
            return
        request = _make_request(board, session, event)
    except (OptionError, TokenError) as error:
        _refuse(board, session, event.request_id, str(error))
        return
    if request is not None:
        _start_request(board, session, request)


def handle_forward_request(
    board: Blackboard, sender: Instance, message: ForwardRequest
) -> None:
    """Run a request for another instance, or return it with the leader known here."""
    request = message.request
    if _lease.is_lease_valid(board, request.group):
        _work.accept_request(board, request, sender)
        return
    _outcomes.return_request(board, request, sender)
    if not _lease.is_leading(board, request.group):
        hint = board.authority.leader_hints.get(request.group)
        if hint is None or not _membership.is_live(board, hint):
            _claims.look_up_leader(board, request.group)


def handle_forward_answer(
    board: Blackboard, sender: Instance, message: ForwardAnswer
) -> None:
    """Pass an answer to its pending request.

    An answer is dropped if its request is no longer pending or was last sent
    to another instance.
    """
    pending = board.entry.pending.get(message.request_id)
    if pending is None or pending.forwarded_to is None:
        board.metrics.count("answers_late")
        return
    if pending.forwarded_to.key != sender.key:
        board.metrics.count("answers_late")
        return
    board.authority.leader_hints[pending.request.group] = sender
    _handle_answer(board, pending, message.answer)


def handle_not_leader(board: Blackboard, sender: Instance, message: NotLeader) -> None:
    """Resend a request that was not run because its receiver does not lead."""
    pending = board.entry.pending.get(message.request_id)
    if pending is None or pending.forwarded_to is None:
        return
    if pending.forwarded_to.key != sender.key:
        return
    _redirect(board, pending, message.leader)


def handle_message_not_sent(board: Blackboard, event: MessageNotSent) -> None:
    """Resend a request that did not reach its receiver."""
    if not isinstance(event.message, ForwardRequest):
        return
    pending = board.entry.pending.get(event.message.request.request_id)
    if pending is None or pending.forwarded_to is None:
        return
    if pending.forwarded_to.key == event.receiver.key:
        board.authority.leader_hints.pop(pending.request.group, None)
        _redirect(board, pending, None)


def handle_peer_unreachable(board: Blackboard, event: PeerUnreachable) -> None:
    """Handle the loss of the connection to another instance.

    Requests in flight to it have an unknown outcome, and the transactions of
    its sessions are rolled back.
    """
    lost = event.instance
    _membership.suspect_instance(board, lost)
    _transactions.roll_back_transactions_from(board, lost)
    leader_hints = board.authority.leader_hints
    for group in [g for g, hint in leader_hints.items() if hint.key == lost.key]:
        del leader_hints[group]
    affected = [
        pending
        for pending in board.entry.pending.values()
        if pending.forwarded_to is not None and pending.forwarded_to.key == lost.key
    ]
    for pending in affected:
        message = "the connection to the group's leader was lost"
        error = AnswerError.UPSTREAM_LOST
        _handle_answer(
            board, pending, Answer(Outcome.UNKNOWN, error=error, message=message)
        )


def deliver_local_answers(board: Blackboard) -> None:
    """Process the answers that this instance, as leader, gave to its own callers."""
    answers = board.entry.answers
    while answers:
        local = answers.popleft()
        pending = board.entry.pending.get(local.request.request_id)
        if pending is None:
            continue
        if local.answer is None:
            _redirect(board, pending, None)
        else:
            _handle_answer(board, pending, local.answer)


def advance_pending_requests(board: Blackboard) -> None:
    """Resend requests whose retry is due and answer those past their deadline."""
    entry = board.entry
    while entry.retries and entry.retries[0][0] <= board.now:
        _, request_id = heapq.heappop(entry.retries)
        pending = entry.pending.get(request_id)
        if pending is not None and pending.forwarded_to is None:
            _send(board, pending)
    while entry.deadlines and entry.deadlines[0][0] <= board.now:
        _, request_id = heapq.heappop(entry.deadlines)
        pending = entry.pending.get(request_id)
        if pending is not None:
            _expire_pending_request(board, pending)


def must_refuse_for_stop(board: Blackboard, session: Session) -> bool:
    """Return whether a stopping instance refuses the session's statements.

    It does so once `STOP_GRACE` has passed since the request to stop, unless the
    session has an open transaction.
    """
    requested_at = board.stop.requested_at
    if requested_at is None or session.transaction_group:
        return False
    return board.now - requested_at >= STOP_GRACE


def _make_request(
    board: Blackboard, session: Session, event: StatementArrived
) -> Request | None:
    """Return the request of a statement, or None if the statement was refused."""
    refusal = find_refusal(board, session.account, event.database, event.sql)
    if refusal:
        _refuse(board, session, event.request_id, refusal)
        return None
    options = _merge_options(session.options, event.options)
    if event.options.token:
        adopt_token(board, session, event.options.token)
    clear_request_key(session)
    return build_request(board, session, event, options)


def find_refusal(board: Blackboard, account: str, database: str, sql: str) -> str:
    """Return why a statement of an account is refused here; empty if it is not."""
    service = board.configuration.service_of_database.get(database)
    account_service = board.configuration.service_of_account.get(account)
    if (
        service is None
        or account_service is None
        or service.name != account_service.name
    ):
        return f"no database {database!r} here for you"
    unsupported = find_unsupported_part(sql)
    if unsupported:
        return f"{unsupported} is refused: connections are shared by callers"
    return ""


def build_request(
    board: Blackboard,
    session: Session,
    event: StatementArrived,
    options: StatementOptions,
) -> Request:
    """Return the request of a statement that is not refused; changes nothing.

    Parameters
    ----------
    options : StatementOptions
        Those of the statement, with those of its session as defaults.
    """
    service = board.configuration.service_of_database[event.database]
    group = service.databases[event.database]
    kind = classify_statement(event.sql)
    freshness = options.freshness or service.reads.freshness
    max_age = options.max_age or service.reads.max_age
    if options.max_age is not None and options.freshness is None:
        freshness = Freshness.STATED_AGE
    return Request(
        request_id=event.request_id,
        session_id=session.session_id,
        account=session.account,
        database=event.database,
        group=group,
        sql=event.sql,
        kind=kind,
        freshness=freshness,
        max_age=max_age,
        floor=session.seen_positions.get(group),
        has_token=session.has_token,
        request_key=options.request_key if kind is not StatementKind.READ else "",
        time_left=options.deadline or service.time_limit,
        repeatable=options.repeatable,
        work_class=options.work_class,
        service_name=service.name,
    )


def _merge_options(
    session: StatementOptions, statement: StatementOptions
) -> StatementOptions:
    """Return a statement's options, with those of its session as defaults."""
    return StatementOptions(
        token=statement.token,
        freshness=statement.freshness or session.freshness,
        max_age=statement.max_age or session.max_age,
        request_key=statement.request_key or session.request_key,
        deadline=statement.deadline or session.deadline,
        repeatable=statement.repeatable or session.repeatable,
        work_class=statement.work_class or session.work_class,
    )


def _start_request(board: Blackboard, session: Session, request: Request) -> None:
    """Submit a request according to the session's transaction state."""
    kind = request.kind
    if session.transaction_failed and kind not in ENDING_KINDS:
        message = "the transaction was lost; end it by ROLLBACK"
        answer = Answer(
            Outcome.NOT_RUN, error=AnswerError.TRANSACTION_LOST, message=message
        )
        _reply(board, session, request.request_id, answer)
        return
    if session.transaction_group:
        _submit_in_transaction(board, session, request)
        return
    if kind in ENDING_KINDS:
        _answer_end_without_transaction(board, session, request)
        return
    if kind is StatementKind.WRITE and not session.autocommit:
        begin = replace(
            request,
            request_id=f"{request.request_id}:begin",
            kind=StatementKind.BEGIN,
            sql="BEGIN",
        )
        statement = replace(request, transaction_id=begin.request_id, request_key="")
        _submit_request(board, session, begin, follow_up=statement)
        return
    _submit_request(board, session, request)


def _submit_in_transaction(
    board: Blackboard, session: Session, request: Request
) -> None:
    if request.kind is StatementKind.BEGIN:
        _refuse(board, session, request.request_id, "a transaction is open already")
        return
    if request.group != session.transaction_group:
        message = "a transaction stays in one database group"
        _refuse(board, session, request.request_id, message)
        return
    transaction_id = session.transaction_id
    request = replace(request, transaction_id=transaction_id, request_key="")
    _submit_request(board, session, request)


def _answer_end_without_transaction(
    board: Blackboard, session: Session, request: Request
) -> None:
    failed = session.transaction_failed
    session.transaction_failed = False
    if failed and request.kind is StatementKind.COMMIT:
        message = "the transaction was lost and rolled back"
        error = AnswerError.TRANSACTION_LOST
        answer = Answer(Outcome.NOT_RUN, error=error, message=message)
        _reply(board, session, request.request_id, answer)
        return
    _reply(board, session, request.request_id, Answer(Outcome.ANSWERED, ResultSet()))


def _submit_request(
    board: Blackboard,
    session: Session,
    request: Request,
    follow_up: Request | None = None,
) -> None:
    pending = PendingRequest(
        request, session.session_id, board.now + request.time_left, follow_up=follow_up
    )
    board.entry.pending[request.request_id] = pending
    expires_at = pending.deadline + ANSWER_GRACE
    heapq.heappush(board.entry.deadlines, (expires_at, request.request_id))
    _send(board, pending)


def _send(board: Blackboard, pending: PendingRequest) -> None:
    """Send a request to the instance that most likely leads its group."""
    request = pending.request
    time_left = pending.deadline - board.now
    if time_left <= timedelta():
        _expire_pending_request(board, pending)
        return
    target = choose_target(board, pending)
    if target is None:
        _schedule_retry(board, pending)
        return
    pending.forwarded_to = target
    pending.sent_at = board.now
    if pending.attempts or target.key != board.me.key:
        request = replace(request, time_left=time_left)
    if target.key != board.me.key:
        board.metrics.count("requests_forwarded")
        board.emit(Send(target, ForwardRequest(request)))
        return
    if _lease.is_lease_valid(board, request.group):
        _work.accept_request(board, request, None)
        return
    pending.forwarded_to = None
    if not _lease.is_leading(board, request.group):
        _claims.look_up_leader(board, request.group)
    _schedule_retry(board, pending)


def choose_target(board: Blackboard, pending: PendingRequest) -> Instance | None:
    """Return the instance that most likely leads the group of a request."""
    request = pending.request
    session = board.entry.sessions.get(pending.session_id)
    if request.in_transaction:
        return session.transaction_leader if session is not None else None
    if _lease.is_leading(board, request.group):
        return board.me
    hint = board.authority.leader_hints.get(request.group)
    if hint is not None and _membership.is_live(board, hint):
        return hint
    # Without a known leader, the first two attempts go to the preferred leader and
    # later ones to the candidates in turn.
    if pending.attempts < 2:
        return _placement.find_preferred_leader(board, request.group)
    ranked = rank_instances(request.group, board.membership.live.values())
    ranked = ranked[:FORWARD_CANDIDATES]
    return ranked[pending.attempts % len(ranked)] if ranked else None


def _redirect(
    board: Blackboard, pending: PendingRequest, leader: Instance | None
) -> None:
    """Send a request that its receiver did not run to another instance."""
    sender = pending.forwarded_to
    pending.forwarded_to = None
    pending.attempts += 1
    request = pending.request
    if request.in_transaction:
        error = AnswerError.TRANSACTION_LOST
        answer = Answer(
            Outcome.NOT_RUN, error=error, message="the group's leader has changed"
        )
        _handle_answer(board, pending, answer)
        return
    leader_hints = board.authority.leader_hints
    if leader is not None and (sender is None or leader.key != sender.key):
        leader_hints[request.group] = leader
        if pending.attempts % 4:  # every fourth attempt is sent after a delay
            _send(board, pending)
            return
    else:
        leader_hints.pop(request.group, None)
    _schedule_retry(board, pending)


def _schedule_retry(board: Blackboard, pending: PendingRequest) -> None:
    delay = RETRY_DELAY * (0.5 + board.random.random())
    entry = (board.now + delay, pending.request.request_id)
    heapq.heappush(board.entry.retries, entry)


def _handle_answer(board: Blackboard, pending: PendingRequest, answer: Answer) -> None:
    request = pending.request
    if answer.outcome is Outcome.UNKNOWN:
        pending.may_have_run = True
        if _may_repeat(request) and pending.deadline > board.now:
            pending.forwarded_to = None
            pending.attempts += 1
            _schedule_retry(board, pending)
            return
    if _is_too_old(board, pending, answer):
        board.metrics.count("answers_too_old")
        pending.request = replace(request, freshness=Freshness.PRIMARY, max_age=None)
        pending.forwarded_to = None
        _schedule_retry(board, pending)
        return
    if answer.outcome is Outcome.NOT_RUN and pending.may_have_run:
        # An earlier attempt may have run, even though this one did not.
        answer = replace(answer, outcome=Outcome.UNKNOWN)
    _finish(board, pending, answer)


def _is_too_old(board: Blackboard, pending: PendingRequest, answer: Answer) -> bool:
    """Return whether the data exceeds its age limit by the time of arrival.

    The leader measured the age after it received the request, so the time
    since the request was sent is an upper bound of the age to be added.
    """
    if answer.age is None or pending.request.max_age is None:
        return False
    return answer.age + board.now - pending.sent_at > pending.request.max_age


def _may_repeat(request: Request) -> bool:
    if request.in_transaction or request.kind is StatementKind.BEGIN:
        return False
    is_read = request.kind is StatementKind.READ
    return is_read or bool(request.request_key) or request.repeatable


def _expire_pending_request(board: Blackboard, pending: PendingRequest) -> None:
    """Answer a request that is still pending after its deadline."""
    outcome_is_unknown = pending.may_have_run or pending.forwarded_to is not None
    outcome = Outcome.UNKNOWN if outcome_is_unknown else Outcome.NOT_RUN
    error = AnswerError.DEADLINE if outcome_is_unknown else AnswerError.NO_LEADER
    message = "the deadline has passed"
    _finish(board, pending, Answer(outcome, error=error, message=message))


def _finish(board: Blackboard, pending: PendingRequest, answer: Answer) -> None:
    request = pending.request
    leader = pending.forwarded_to
    del board.entry.pending[request.request_id]
    session = board.entry.sessions.get(pending.session_id)
    if session is None:
        if request.kind is StatementKind.BEGIN and leader is not None:
            _request_rollback(board, leader, request.group, request.request_id)
        return
    _update_session_position(board, session, request, answer)
    _update_session_transaction(board, session, request, answer, leader)
    if pending.follow_up is None:
        _reply(board, session, request.request_id, answer)
    elif answer.outcome is Outcome.ANSWERED:
        time_left = pending.deadline - board.now
        _submit_request(board, session, replace(pending.follow_up, time_left=time_left))
    else:
        _reply(board, session, pending.follow_up.request_id, answer)


def _update_session_position(
    board: Blackboard, session: Session, request: Request, answer: Answer
) -> None:
    if answer.error is AnswerError.LOST_WRITE:
        # The caller is told of the loss; its session no longer requires the write.
        session.seen_positions.pop(request.group, None)
        _refresh_token(board, session)
    if answer.position is None:
        return
    _invariants.require(
        answer.outcome is Outcome.ANSWERED, "a position came without an answer"
    )
    seen = session.seen_positions.get(request.group)
    if seen is None or answer.position > seen:
        session.seen_positions[request.group] = answer.position
        _refresh_token(board, session)


def _refresh_token(board: Blackboard, session: Session) -> None:
    session.token = encode_token(session.seen_positions, board.settings.token_key)


def _update_session_transaction(
    board: Blackboard,
    session: Session,
    request: Request,
    answer: Answer,
    leader: Instance | None,
) -> None:
    if request.kind is StatementKind.BEGIN:
        if answer.outcome is Outcome.ANSWERED:
            session.transaction_group = request.group
            session.transaction_id = request.request_id
            session.transaction_leader = leader
        elif leader is not None:
            _request_rollback(board, leader, request.group, request.request_id)
        return
    if not request.in_transaction:
        return
    if request.kind in ENDING_KINDS:
        session.transaction_group = ""
        session.transaction_leader = None
        return
    lost = answer.outcome is Outcome.UNKNOWN
    if lost or answer.error is AnswerError.TRANSACTION_LOST:
        _abandon_transaction(board, session)
        session.transaction_failed = True


def _abandon_transaction(board: Blackboard, session: Session) -> None:
    if session.transaction_group and session.transaction_leader is not None:
        _request_rollback(
            board,
            session.transaction_leader,
            session.transaction_group,
            session.transaction_id,
        )
    session.transaction_group = ""
    session.transaction_leader = None


def _request_rollback(
    board: Blackboard, leader: Instance, group: str, transaction_id: str
) -> None:
    if leader.key == board.me.key:
        _transactions.roll_back_transaction(board, group, transaction_id)
    else:
        board.emit(Send(leader, SessionClosed(group, transaction_id)))


def _refuse(board: Blackboard, session: Session, request_id: str, message: str) -> None:
    answer = Answer(Outcome.NOT_RUN, error=AnswerError.BAD_REQUEST, message=message)
    _reply(board, session, request_id, answer)


def _reply(
    board: Blackboard, session: Session, request_id: str, answer: Answer
) -> None:
    in_transaction = bool(session.transaction_group) or session.transaction_failed
    board.emit(
        Reply(
            request_id,
            session.session_id,
            answer,
            session.token,
            in_transaction,
            session.autocommit,
        )
    )
