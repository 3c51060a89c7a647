"""Translates statements and replies from and to the messages of service hosts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavabarrow_core.exceptions import SessionError
from guavabarrow_core.log_position import LogPosition
from guavabarrow_core.session_configuration import Route
from guavabarrow_core.session_messages import (
    Completed,
    FailureCode,
    Reply,
    SessionReady,
    Statement,
    StatementFailed,
    TransactionState,
)
from guavabarrow_core.session_values import PreparedShape, SessionValues
from guavabarrow_daemon.fleet.hosted_messages import (
    HostedOperation,
    HostedReply,
    HostedStatement,
)
from guavabarrow_daemon.front.statement_context import RouteChanged, StatementContext
from guavabarrow_daemon.operations.clock import now_s

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavabarrow_daemon.front.statement_context import TransactionHandle

HANDOVER_MARGIN_S = 0.05
"""Time by which a host's time limit is shorter than the caller's, so that its answer at
the limit, which may be "not run", still arrives in time. The network takes a few ms, a
busy event loop tens of them."""


def encode_statement(
    context: StatementContext,
    operation: HostedOperation,
    statement: Statement,
    shape: PreparedShape | None,
    *,
    number: int,
    transaction: int = 0,
) -> HostedStatement:
    """Return the message that hands a statement over to a host."""
    route = context.route
    position = context.session_position
    now = now_s()
    return HostedStatement(
        number,
        operation,
        transaction=transaction,
        service=route.service,
        sent_at=now,
        remaining_s=context.deadline - HANDOVER_MARGIN_S - now,
        request_id=context.request_id,
        kind=statement.kind,
        text=statement.text,
        argument_size=len(statement.argument),
        writes=statement.writes,
        shape=None if shape is None else (shape.shape, shape.writes),
        team=context.team,
        consistency=route.consistency,
        max_age_s=route.max_age_s,
        priority=route.priority,
        timeout_s=route.timeout_s,
        objective_s=route.objective_s,
        values=context.values.by_name,
        position=None if position is None else (position.term, position.index),
    )


def decode_statement(
    message: HostedStatement,
) -> tuple[Statement, PreparedShape | None]:
    """Return the statement of a message and the shape that it executes, if any."""
    text, size = message.text, message.argument_size
    statement = Statement(
        message.kind,
        text,
        argument=text[len(text) - size :] if size else "",
        writes=message.writes,
    )
    if message.shape is None:
        return statement, None
    shape, writes = message.shape
    return statement, PreparedShape(shape, writes=writes)


def create_context(
    message: HostedStatement,
    *,
    arrived_at: float,
    deadline: float,
    is_route_current: Callable[[], bool] = lambda: True,
) -> StatementContext:
    """Return the context of a statement at its host.

    Parameters
    ----------
    message : HostedStatement
        The statement.
    arrived_at : float
        Local time of its arrival, in s. Freshness is counted from it; it is later than
        the caller's first byte, so what was fresh enough for it is for the caller.
    deadline : float
        Local time at which it times out, in s.
    is_route_current : callable
        Returns whether its route and team can be relied on to be those in force.
    """
    route = Route(
        database="",
        service=message.service,
        consistency=message.consistency,
        max_age_s=message.max_age_s,
        timeout_s=message.timeout_s,
        objective_s=message.objective_s,
        priority=message.priority,
    )
    position = message.position
    return StatementContext(
        route=route,
        team=message.team,
        request_id=message.request_id,
        began_at=arrived_at,
        deadline=deadline,
        values=SessionValues(by_name=message.values),
        session_position=None if position is None else LogPosition(*position),
        is_route_current=is_route_current,
    )


def encode_reply(
    number: int,
    reply: Reply,
    context: StatementContext,
    transaction: TransactionHandle | None = None,
) -> HostedReply:
    """Return the message for a reply, in or outside of a transaction."""
    position = reply.ready.position
    outcome = reply.outcome
    return HostedReply(
        number,
        rows=reply.rows,
        signature=outcome.signature if isinstance(outcome, Completed) else "",
        code=outcome.code if isinstance(outcome, StatementFailed) else None,
        detail=outcome.detail if isinstance(outcome, StatementFailed) else "",
        state=reply.ready.state,
        position=None if position is None else (position.term, position.index),
        at_primary=transaction is not None and transaction.at_primary,
        has_ended=transaction is not None and transaction.has_ended,
        failed_attempts=tuple(context.failed_attempts),
        was_sent_to_target=context.was_sent_to_target,
    )


def encode_refusal(
    number: int, error: SessionError, context: StatementContext
) -> HostedReply:
    """Return the message for an error of the host."""
    return HostedReply(
        number,
        code=error.code,
        detail=error.detail,
        is_refusal=True,
        retry_after_s=error.retry_after_s,
        has_ended=True,
        failed_attempts=tuple(context.failed_attempts),
        was_sent_to_target=context.was_sent_to_target,
    )


def encode_superseded(number: int, context: StatementContext) -> HostedReply:
    """Return the message for a statement that its sender must decide on again."""
    return HostedReply(
        number,
        code=FailureCode.OVERLOADED,
        detail="Its route or key may have changed while it waited.",
        is_refusal=True,
        has_ended=True,
        failed_attempts=tuple(context.failed_attempts),
        was_sent_to_target=context.was_sent_to_target,
        is_superseded=True,
    )


def decode_reply(message: HostedReply) -> Reply:
    """Return the reply that a host passes on.

    Raises
    ------
    SessionError
        If the host could not run the statement, as it would if this VM had tried.
    RouteChanged
        If the configuration changed while the statement waited at the host.
    """
    if message.is_superseded:
        raise RouteChanged
    if message.is_refusal:
        raise SessionError(
            message.code or FailureCode.FAILED,
            message.detail,
            retry_after_s=message.retry_after_s,
        )
    outcome: Completed | StatementFailed = Completed(message.signature)
    if message.code is not None:
        outcome = StatementFailed(message.code, message.detail)
    position = None if message.position is None else LogPosition(*message.position)
    return Reply(message.rows, outcome, SessionReady(message.state, position))


OPENED = Reply((), Completed(), SessionReady(TransactionState.OPEN))
"""Reply of a host that has opened a transaction."""
