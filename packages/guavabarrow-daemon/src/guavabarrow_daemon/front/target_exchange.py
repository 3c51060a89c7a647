"""Sends statements to targets and updates load estimates from the replies."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.internet.defer import TimeoutError

from guavabarrow_core.exceptions import SessionError
from guavabarrow_core.log_position import reaches
from guavabarrow_core.response_baseline import WorkClass, WorkKind
from guavabarrow_core.session_messages import (
    NOT_RUN_CODES,
    FailureCode,
    Reply,
    TransactionState,
)
from guavabarrow_core.target_pace import PaceSample
from guavabarrow_daemon.fleet.directory_service import DirectoryService
from guavabarrow_daemon.fleet.primary_service import PrimaryService
from guavabarrow_daemon.kernel import Kernel, Service
from guavabarrow_daemon.operations.clock import now_s
from guavabarrow_daemon.operations.decision_log import log_decision
from guavabarrow_daemon.operations.session_metrics import SessionMetrics
from guavabarrow_daemon.targets.interface import TargetConnectionBroken

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavabarrow_core.session_values import PreparedShape
    from guavabarrow_daemon.front.statement_context import (
        OpenTransaction,
        StatementContext,
    )
    from guavabarrow_daemon.targets.session_connection import SessionConnection
    from guavabarrow_daemon.targets.session_pool import SessionPool

MIN_TIMEOUT_S = 0.01
"""Minimum timeout of a statement that is sent."""


class TargetExchange(Service):
    """Runs single request-reply exchanges on target connections.

    Attributes
    ----------
    on_sent : list of callable
        Called with the context, and the open transaction or None, of each statement of
        a caller that is sent to a target. Each returns a callable that is called once,
        with whether the target ran the statement or may have run it.
    """

    name = "target_exchange"

    def __init__(self, kernel: Kernel, reactor: Any) -> None:
        super().__init__(kernel)
        self.on_sent: list[
            Callable[[StatementContext, OpenTransaction | None], Callable[[bool], None]]
        ] = []
        self._reactor = reactor
        self._primary_service = kernel.find(PrimaryService)
        self._metrics = kernel.find(SessionMetrics)
        self._codec = kernel.find(DirectoryService).create_codec()

    def restore_session(
        self,
        context: StatementContext,
        connection: SessionConnection,
        shape: PreparedShape | None,
    ) -> tuple[bytes, int]:
        """Encode the statements that restore a session's values on a connection.

        Parameters
        ----------
        context : StatementContext
            Context of the statement that needs the values.
        connection : SessionConnection
            Connection to restore them on; the values are recorded as set on it.
        shape : PreparedShape or None
            Prepared statement that is about to run.

        Returns
        -------
        tuple of bytes and int
            The encoded statements and how many replies they bring.
        """
        plan = connection.values.plan(context.values, shape)
        connection.values.apply(plan)
        return self._codec.encode_restore(plan)

    async def run(
        self,
        context: StatementContext,
        connection: SessionConnection,
        pool: SessionPool,
        data: bytes,
        restore_count: int,
        *,
        is_write: bool = False,
        keep_connection: bool = False,
        setup_only: bool = False,
        transaction: OpenTransaction | None = None,
        kind: WorkKind = WorkKind.READ,
    ) -> Reply:
        """Send a statement and wait for its reply.

        Parameters
        ----------
        context : StatementContext
            Context of the statement.
        connection, pool : SessionConnection, SessionPool
            Connection to send on, and its pool.
        data : bytes
            The encoded statement, after those that restore the session's values.
        restore_count : int
            Number of statements before it.
        is_write : bool
            Whether the statement may take effect even if no reply arrives.
        keep_connection : bool
            Whether the connection isn't returned to the pool.
        setup_only : bool
            Whether no statement of the caller is sent, only BEGIN, which needs no slot
            at the target: its reply updates neither the load estimate nor, unless it
            is OVERLOADED, the send window.
        transaction : OpenTransaction, optional
            Transaction that the statement belongs to.
        kind : WorkKind
            What the statement does; its response time is compared with those of the
            same kind and latency objective.

        Raises
        ------
        SessionError
            If no reply arrived, or the primary ran the statement without its log.
        """
        asked_at = now_s()
        service, target_id = context.route.service, pool.entry.target_id
        known_end = self._primary_service.known_end(service, target_id)
        pool.begin_statement()
        running = pool.in_flight
        if not setup_only:
            context.was_sent_to_target = True
        observers = [] if setup_only else self._notify_sent(context, transaction)
        sent = connection.send(data, restore_count, asked_at)
        sent.addBoth(_end_statement, pool)
        sent.addBoth(_notify_ended, observers)
        sent.addTimeout(max(MIN_TIMEOUT_S, context.deadline - asked_at), self._reactor)
        role = "primary" if is_write else "any"
        try:
            reply = await sent
        except (TargetConnectionBroken, TimeoutError) as error:
            failed_at = now_s()
            is_timeout = isinstance(error, TimeoutError)
            if is_timeout:
                pool.load.record_timeout(failed_at - asked_at, failed_at)
            else:
                pool.load.record_failure(failed_at)
            self._metrics.attempts.labels(
                role, "timeout" if is_timeout else "lost"
            ).inc()
            if not keep_connection:
                pool.release(connection)
            if is_write:
                code = FailureCode.OUTCOME_UNKNOWN
            else:
                code = FailureCode.TIMEOUT if is_timeout else FailureCode.FAILED
            detail = "no reply in time" if is_timeout else "the connection was lost"
            raise SessionError(code, f"{pool.entry.target_id}: {detail}") from error
        now = now_s()
        result = reply.failure.code.value if reply.failure else "completed"
        self._metrics.attempts.labels(role, result).inc()
        self._update_load(
            pool,
            reply.failure.code if reply.failure else None,
            PaceSample(
                WorkClass(kind, context.route.objective_s), now - asked_at, now, running
            ),
            setup_only=setup_only,
        )
        position = reply.ready.position
        has_run = reply.failure is None and not setup_only
        if has_run and not reaches(position, known_end):
            log_decision(
                "primary_log_lost",
                service=service,
                target=target_id,
                position=str(position),
                known_end=str(known_end),
            )
            connection.abort()
            if not keep_connection:
                pool.release(connection)
            code = FailureCode.OUTCOME_UNKNOWN if is_write else FailureCode.FAILED
            raise SessionError(code, f"{target_id}: the primary has lost its log")
        if position is not None and reply.failure is None:
            self._primary_service.observe(service, target_id, asked_at, position)
        if not keep_connection:
            self.release_connection(connection, pool)
        return reply

    def _notify_sent(
        self, context: StatementContext, transaction: OpenTransaction | None
    ) -> list[Callable[[bool], None]]:
        return [callback(context, transaction) for callback in self.on_sent]

    def _update_load(
        self,
        pool: SessionPool,
        failure_code: FailureCode | None,
        sample: PaceSample,
        *,
        setup_only: bool,
    ) -> None:
        if failure_code is FailureCode.OVERLOADED:
            pool.window.on_refused(sample.now)
            return
        if failure_code is FailureCode.BEHIND or setup_only:
            return
        # Failed statements may be fast, so they tell nothing about the pace.
        pool.window.on_answer(sample.response_s, None if failure_code else sample)
        if failure_code is FailureCode.FAILED:
            pool.load.record_failed_answer(sample.response_s, sample.now)
        else:
            pool.load.record(sample.response_s, sample.now)

    def release_connection(
        self, connection: SessionConnection, pool: SessionPool
    ) -> None:
        """Return a connection to its pool, aborted if a transaction is open on it."""
        if connection.state is not TransactionState.IDLE:
            connection.abort()
        pool.release(connection)


def _end_statement(result: Any, pool: SessionPool) -> Any:
    pool.end_statement()
    return result


def _notify_ended(result: Any, observers: list[Callable[[bool], None]]) -> Any:
    """Tell whether the target may have run the statement; lost replies count as run."""
    is_refused = (
        isinstance(result, Reply)
        and result.failure is not None
        and result.failure.code in NOT_RUN_CODES
    )
    for notify in observers:
        notify(not is_refused)
    return result
