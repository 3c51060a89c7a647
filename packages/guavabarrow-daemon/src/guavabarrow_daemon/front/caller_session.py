"""One caller's session: its state, and what each of its statements leads to."""

from __future__ import annotations

from typing import TYPE_CHECKING

from twisted.internet.defer import Deferred

from guavabarrow_core.exceptions import SessionError
from guavabarrow_core.session_messages import (
    Completed,
    FailureCode,
    Row,
    SessionReady,
    Statement,
    StatementFailed,
    StatementKind,
    StatementRequest,
    TransactionState,
)
from guavabarrow_core.session_values import PreparedShape, SessionValues
from guavabarrow_daemon.front.work import OpenTransaction, Work
from guavabarrow_daemon.operations.clock import now_s
from guavabarrow_daemon.operations.decision_log import log_decision

if TYPE_CHECKING:
    from guavabarrow_core.log_position import LogPosition
    from guavabarrow_core.session_configuration import Route
    from guavabarrow_core.session_messages import Reply
    from guavabarrow_daemon.front.session_admission import SessionAdmission
    from guavabarrow_daemon.front.session_router import SessionRouter
    from guavabarrow_daemon.session_codec import Answer

PROMISE_CODES = frozenset(
    {
        FailureCode.OVERLOADED,
        FailureCode.ABORTED,
        FailureCode.BEHIND,
        FailureCode.READ_ONLY,
        FailureCode.WRONG_TARGET,
        FailureCode.TOO_MANY_CONNECTIONS,
    }
)
"""Codes that promise that nothing of the operation is kept."""


class SessionOver(Exception):
    """The session must end after its answers were sent.

    Parameters
    ----------
    answers : list of Answer
        Last answers.
    """

    def __init__(self, answers: list[Answer]) -> None:
        super().__init__("session over")
        self.answers = answers


class CallerSession:
    """State of one session.

    Parameters
    ----------
    admission : SessionAdmission
        Tells route and team, and keeps rates.
    router : SessionRouter
        Runs statements on targets.
    database, key : str
        What the caller asked for and who it says it is.
    """

    def __init__(
        self,
        admission: SessionAdmission,
        router: SessionRouter,
        database: str,
        key: str,
    ) -> None:
        self._admission = admission
        self._router = router
        self.database = database
        self.key = key
        self.state = TransactionState.IDLE
        self.last_active_at = now_s()
        self._values = SessionValues()
        self._position: LogPosition | None = None
        self._route: Route | None = None
        self._team = ""
        self._began_at = 0.0
        self._is_read_only = False
        self._has_token = False
        self._transaction: OpenTransaction | None = None
        self._trail: list[str] = []
        self._work_in_hand: Work | None = None

    async def handle(self, request: StatementRequest) -> list[Answer]:
        """Run one statement and return all of its answers.

        Raises
        ------
        SessionOver
            If the session must end.
        """
        received_at = now_s()
        self.last_active_at = received_at
        self._trail = []
        self._work_in_hand = None
        try:
            answers = await self._dispatch(request, received_at)
        except SessionError as error:
            answers = self._fail(request, error, received_at)
        self.last_active_at = now_s()
        return answers

    def abandon(self, reason: str) -> None:
        """Roll back because the caller left or was idle for too long."""
        transaction, self._transaction = self._transaction, None
        if transaction is not None:
            log_decision(
                "transaction_abandoned",
                database=self.database,
                team=self._team,
                reason=reason,
            )
            Deferred.fromCoroutine(self._router.roll_back(transaction))

    def expire(self, limit_s: float) -> None:
        """End a transaction that has been idle for longer than the limit."""
        if self._transaction is None or now_s() - self.last_active_at < limit_s:
            return
        self.abandon("idle")
        self.state = TransactionState.FAILED

    async def _dispatch(
        self, request: StatementRequest, received_at: float
    ) -> list[Answer]:
        statement = request.statement
        kind = statement.kind
        if kind is StatementKind.INVALID:
            raise SessionError(FailureCode.MALFORMED, "unknown statement")
        if self.state is TransactionState.FAILED:
            return self._after_failure(kind)
        if self.state is TransactionState.IDLE:
            self._enter(received_at)
        elif self._admission.is_withdrawn(self.key, self.database):
            raise SessionError(FailureCode.ABORTED, "the key was withdrawn")
        match kind:
            case StatementKind.SET:
                self._values.by_name[statement.name] = statement.argument
                return self._done()
            case StatementKind.PREPARE:
                shape = PreparedShape(statement.argument, statement.writes)
                self._values.prepared_by_name[statement.name] = shape
                return self._done()
            case StatementKind.DEALLOCATE:
                return self._deallocate(statement)
            case StatementKind.BEGIN | StatementKind.BEGIN_READ_ONLY:
                return await self._begin(statement, received_at)
            case StatementKind.ROLLBACK:
                return self._roll_back()
            case StatementKind.COMMIT:
                return await self._commit(request, received_at)
        return await self._forward(request, received_at)

    def _enter(self, received_at: float) -> None:
        self._route, self._team = self._admission.look_up(self.database, self.key)
        self._began_at = received_at

    async def _begin(self, statement: Statement, received_at: float) -> list[Answer]:
        if self.state is TransactionState.OPEN:
            raise SessionError(FailureCode.MALFORMED, "a transaction is open")
        await self._admission.rates.admit(self._team)
        self._has_token = True
        self._is_read_only = statement.kind is StatementKind.BEGIN_READ_ONLY
        self._began_at = received_at
        self.state = TransactionState.OPEN
        return self._done()

    def _roll_back(self) -> list[Answer]:
        if self.state is not TransactionState.OPEN:
            raise SessionError(FailureCode.MALFORMED, "no transaction is open")
        transaction, self._transaction = self._transaction, None
        self.state = TransactionState.IDLE
        if transaction is not None:
            Deferred.fromCoroutine(self._router.roll_back(transaction))
        elif self._has_token:
            self._admission.rates.return_token(self._team)
        self._has_token = False
        return self._done()

    async def _commit(
        self, request: StatementRequest, received_at: float
    ) -> list[Answer]:
        if self.state is not TransactionState.OPEN:
            raise SessionError(FailureCode.MALFORMED, "no transaction is open")
        work = self._work(request, received_at)
        transaction = await self._open(work)
        reply = await self._router.run_in_transaction(
            work, transaction, request.statement, None
        )
        self._transaction = None
        self._has_token = False
        if reply.failure is None:
            self.state = TransactionState.IDLE
            self._note_position(transaction.at_primary, reply)
            return self._answers(request, reply, received_at)
        # The target ended the transaction without keeping it.
        self.state = TransactionState.IDLE
        raise SessionError(reply.failure.code, reply.failure.detail)

    async def _forward(
        self, request: StatementRequest, received_at: float
    ) -> list[Answer]:
        statement = request.statement
        shape = None
        writes = statement.writes
        if statement.kind is StatementKind.EXECUTE:
            shape = self._values.prepared_by_name.get(statement.name)
            if shape is None:
                raise SessionError(
                    FailureCode.UNKNOWN_PREPARED, f"{statement.name} is not prepared"
                )
            writes = shape.writes
        work = self._work(request, received_at)
        if self.state is TransactionState.OPEN:
            transaction = await self._open(work)
            reply = await self._router.run_in_transaction(
                work, transaction, statement, shape
            )
            if reply.failure is not None:
                if reply.ready.state is not TransactionState.OPEN:
                    self.state = TransactionState.FAILED
                    self.abandon(reply.failure.code.value)
                raise SessionError(reply.failure.code, reply.failure.detail)
            return self._answers(request, reply, received_at)
        await self._admission.rates.admit(self._team)
        self._has_token = True
        if writes:
            reply = await self._router.run_write(work, statement, shape)
            self._note_position(True, reply)
        else:
            reply = await self._router.run_read(work, statement, shape)
        self._has_token = False
        return self._answers(request, reply, received_at)

    async def _open(self, work: Work) -> OpenTransaction:
        if self._transaction is None:
            self._transaction = await self._router.begin(
                work, is_read_only=self._is_read_only
            )
        return self._transaction

    def _work(self, request: StatementRequest, received_at: float) -> Work:
        route = self._route
        if route is None:
            raise SessionError(FailureCode.UNKNOWN_DATABASE, "no route")
        self._work_in_hand = Work(
            route=route,
            team=self._team,
            request_id=request.request_id,
            began_at=self._began_at,
            deadline=received_at + route.timeout_s,
            values=self._values,
            session_position=self._position,
            trail=self._trail,
        )
        return self._work_in_hand

    def _deallocate(self, statement: Statement) -> list[Answer]:
        if self._values.prepared_by_name.pop(statement.name, None) is None:
            raise SessionError(
                FailureCode.UNKNOWN_PREPARED, f"{statement.name} is not prepared"
            )
        return self._done()

    def _after_failure(self, kind: StatementKind) -> list[Answer]:
        if kind is StatementKind.ROLLBACK:
            self.state = TransactionState.IDLE
            return self._done()
        if kind is StatementKind.COMMIT:
            self.state = TransactionState.IDLE
            raise SessionError(FailureCode.ABORTED, "the transaction had failed")
        raise SessionError(FailureCode.MALFORMED, "the transaction has failed")

    def _note_position(self, at_primary: bool, reply: Reply) -> None:
        position = reply.ready.position
        if not at_primary or position is None:
            return
        if self._position is None or position > self._position:
            self._position = position

    def _return_token(self) -> None:
        """Give the operation's token back if no statement reached a target."""
        work = self._work_in_hand
        if not self._has_token or self._transaction is not None:
            return
        if work is None or work.has_reached_target:
            return
        self._has_token = False
        self._admission.rates.return_token(self._team)

    def _done(self) -> list[Answer]:
        return [Completed(), SessionReady(self.state)]

    def _answers(
        self, request: StatementRequest, reply: Reply, received_at: float
    ) -> list[Answer]:
        self._admission.count(self._route, request, "completed", received_at, "")
        rows: list[Answer] = [Row(content) for content in reply.rows]
        ready = SessionReady(self.state, reply.ready.position)
        return [*rows, reply.outcome, ready]

    def _fail(
        self, request: StatementRequest, error: SessionError, received_at: float
    ) -> list[Answer]:
        code = error.code
        self._return_token()
        if self.state is TransactionState.OPEN and code is not FailureCode.MALFORMED:
            kind = request.statement.kind
            is_commit = kind is StatementKind.COMMIT
            self.state = TransactionState.IDLE if is_commit else TransactionState.FAILED
            self.abandon(code.value)
        if code is FailureCode.UNKNOWN_PREPARED and self.state is TransactionState.OPEN:
            self.state = TransactionState.FAILED
        detail = error.detail
        if error.retry_after_s is not None:
            detail = f"{detail} retry_after_ms={int(error.retry_after_s * 1000)}"
        if self._trail:
            detail = f"{detail} after {' '.join(self._trail)}"
        self._admission.count(self._route, request, code.value, received_at, detail)
        failed = StatementFailed(code, detail)
        if code in (FailureCode.UNAUTHORIZED, FailureCode.UNKNOWN_DATABASE):
            raise SessionOver([failed])
        return [failed, SessionReady(self.state)]
