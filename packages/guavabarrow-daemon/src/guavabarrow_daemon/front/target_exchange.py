"""Sends statements to targets and takes account of their answers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.internet.defer import TimeoutError

from guavabarrow_core.exceptions import SessionError
from guavabarrow_core.session_messages import FailureCode, Reply, TransactionState
from guavabarrow_daemon.fleet.directory_service import DirectoryService
from guavabarrow_daemon.fleet.primary_service import PrimaryService
from guavabarrow_daemon.kernel import Kernel, Service
from guavabarrow_daemon.operations.clock import now_s
from guavabarrow_daemon.operations.session_metrics import SessionMetrics
from guavabarrow_daemon.targets.interface import TargetBroken

if TYPE_CHECKING:
    from guavabarrow_core.session_values import PreparedShape
    from guavabarrow_daemon.front.work import Work
    from guavabarrow_daemon.targets.session_connection import SessionConnection
    from guavabarrow_daemon.targets.session_pool import SessionPool

MIN_TIMEOUT_S = 0.01
"""A statement that is sent gets at least this long."""


class TargetExchange(Service):
    """One statement and its answer on a connection."""

    name = "target_exchange"

    def __init__(self, kernel: Kernel, reactor: Any) -> None:
        super().__init__(kernel)
        self._reactor = reactor
        self._primary_service = kernel.find(PrimaryService)
        self._metrics = kernel.find(SessionMetrics)
        self._codec = kernel.find(DirectoryService).create_codec()

    def prepare(
        self,
        work: Work,
        connection: SessionConnection,
        shape: PreparedShape | None,
    ) -> tuple[bytes, int]:
        """Return the statements that restore the session's values, and their number."""
        plan = connection.values.plan(work.values, shape)
        connection.values.apply(plan)
        return self._codec.encode_restore(plan)

    async def run(
        self,
        work: Work,
        connection: SessionConnection,
        pool: SessionPool,
        data: bytes,
        preparations: int,
        *,
        is_write: bool = False,
        keeps: bool = False,
        preparations_only: bool = False,
    ) -> Reply:
        """Send a statement and wait for its answer.

        Parameters
        ----------
        work : Work
            What it is for.
        connection, pool : SessionConnection, SessionPool
            Where it goes.
        data : bytes
            The statement, after those that prepare the connection.
        preparations : int
            How many come before it.
        is_write : bool
            Whether it may have an effect once it was sent.
        keeps : bool
            Whether the connection stays with the caller of this method.
        preparations_only : bool
            Whether nothing of the caller's is sent, and no slot is needed.

        Raises
        ------
        SessionError
            If no answer came.
        """
        asked_at = now_s()
        pool.begin_statement()
        if not preparations_only:
            work.has_reached_target = True
        sent = connection.send(data, preparations, asked_at)
        sent.addBoth(_end_statement, pool)
        sent.addTimeout(max(MIN_TIMEOUT_S, work.deadline - asked_at), self._reactor)
        role = "primary" if is_write else "any"
        try:
            reply = await sent
        except (TargetBroken, TimeoutError) as error:
            pool.load.record_failure(now_s())
            is_timeout = isinstance(error, TimeoutError)
            self._metrics.attempts.labels(
                role, "timeout" if is_timeout else "lost"
            ).inc()
            if not keeps:
                pool.release(connection)
            if is_write:
                code = FailureCode.OUTCOME_UNKNOWN
            else:
                code = FailureCode.TIMEOUT if is_timeout else FailureCode.FAILED
            detail = "no answer in time" if is_timeout else "the connection was lost"
            raise SessionError(code, f"{pool.entry.target_id}: {detail}") from error
        now = now_s()
        result = reply.failure.code.value if reply.failure else "completed"
        self._metrics.attempts.labels(role, result).inc()
        refusal = reply.failure.code if reply.failure else None
        if refusal is FailureCode.OVERLOADED:
            pool.window.on_refused()
        elif refusal is not FailureCode.BEHIND and not preparations_only:
            pool.window.on_answer(now - asked_at)
            pool.load.record(now - asked_at, now)
        if reply.ready.position is not None and reply.failure is None:
            self._primary_service.observe(
                work.route.service,
                pool.entry.target_id,
                asked_at,
                reply.ready.position,
            )
        if not keeps:
            self.give_back(connection, pool)
        return reply

    def give_back(self, connection: SessionConnection, pool: SessionPool) -> None:
        """Return a connection to its pool; one inside a transaction is broken off."""
        if connection.state is not TransactionState.IDLE:
            connection.abort()
        pool.release(connection)


def _end_statement(result: Any, pool: SessionPool) -> Any:
    pool.end_statement()
    return result
