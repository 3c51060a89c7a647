"""State of one caller's session, and the handling of its statements."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavabarrow_core.exceptions import SessionError
from guavabarrow_core.memory_budget import MemoryExceeded
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
from guavabarrow_daemon.front.statement_context import (
    RouteChanged,
    StatementContext,
    TransactionHandle,
)
from guavabarrow_daemon.operations.clock import now_s
from guavabarrow_daemon.operations.decision_log import log_decision

if TYPE_CHECKING:
    from guavabarrow_core.log_position import LogPosition
    from guavabarrow_core.memory_budget import MemoryAccount
    from guavabarrow_core.session_configuration import Route, SessionConfiguration
    from guavabarrow_core.session_messages import Reply
    from guavabarrow_daemon.front.session_admission import SessionAdmission
    from guavabarrow_daemon.front.statement_runner import StatementRunner
    from guavabarrow_daemon.session_codec import Answer

NO_EFFECT_CODES = frozenset(
    {
        FailureCode.OVERLOADED,
        FailureCode.ABORTED,
        FailureCode.BEHIND,
        FailureCode.READ_ONLY,
        FailureCode.WRONG_TARGET,
        FailureCode.TOO_MANY_CONNECTIONS,
    }
)
"""Codes that guarantee that the operation has no lasting effect."""

STOPPING_DETAIL = "the VM is stopping"


class SessionTerminated(Exception):
    """The session must be closed after its last answers were sent.

    Parameters
    ----------
    answers : list of Answer
        Last answers to the caller.
    """

    def __init__(self, answers: list[Answer]) -> None:
        super().__init__("session terminated")
        self.answers = answers


class CallerSession:
    """State of one caller's session.

    Parameters
    ----------
    admission : SessionAdmission
        Resolves route and team, and applies the rate limits.
    runner : StatementRunner
        Runs statements.
    database, key : str
        Database that the caller opened, and the key that it presented.
    memory : MemoryAccount or None
        Account for session values and prepared statements; None if they aren't limited.
    """

    def __init__(
        self,
        admission: SessionAdmission,
        runner: StatementRunner[TransactionHandle],
        database: str,
        key: str,
        memory: MemoryAccount | None = None,
    ) -> None:
        self._memory = memory
        self._admission = admission
        self._runner = runner
        self.database = database
        self.key = key
        self.state = TransactionState.IDLE
        self.last_active_at = now_s()
        self._values = SessionValues()
        self._position_by_service: dict[str, LogPosition] = {}
        self._route: Route | None = None
        self._team = ""
        self._configuration: SessionConfiguration | None = None
        self._began_at = 0.0
        self._is_read_only = False
        self._token_team = ""
        self._transaction: TransactionHandle | None = None
        self._failed_attempts: list[str] = []
        self._context: StatementContext | None = None

    async def handle(self, request: StatementRequest) -> list[Answer]:
        """Run one statement and return all of its answers.

        Raises
        ------
        SessionTerminated
            If the session must be closed.
        """
        received_at = now_s()
        self.last_active_at = received_at
        self._failed_attempts = []
        self._context = None
        try:
            answers = await self._dispatch(request, received_at)
        except SessionError as error:
            answers = self._answer_failed(request, error, received_at)
        self.last_active_at = now_s()
        return answers

    def abandon(self, reason: str) -> None:
        """Roll back the open transaction and log the reason."""
        transaction, self._transaction = self._transaction, None
        if transaction is not None:
            log_decision(
                "transaction_abandoned",
                database=self.database,
                team=self._team,
                location=transaction.location,
                reason=reason,
            )
            self._start_roll_back(transaction)

    def _start_roll_back(self, transaction: TransactionHandle) -> None:
        self._runner.kernel.tasks.start(
            "roll_back", self._runner.roll_back(transaction)
        )

    def expire(self, limit_s: float) -> None:
        """Roll back a transaction that has been idle for longer than ``limit_s``."""
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
            return self._handle_after_failure(kind)
        state = self.state
        await self._admission.wait_for_orders()
        if self.state is not state:
            raise SessionError(FailureCode.ABORTED, STOPPING_DETAIL)
        if state is TransactionState.IDLE:
            self._start_operation(received_at)
        elif kind is not StatementKind.ROLLBACK:
            self._check_transaction(received_at)
        match kind:
            case StatementKind.SET:
                name, value = statement.name, statement.argument
                self._resize(self._values.growth_of_value(name, value))
                self._values.by_name[name] = value
                return self._completed()
            case StatementKind.PREPARE:
                shape = PreparedShape(statement.argument, statement.writes)
                self._resize(self._values.growth_of_prepared(statement.name, shape))
                self._values.prepared_by_name[statement.name] = shape
                return self._completed()
            case StatementKind.DEALLOCATE:
                return self._deallocate(statement)
            case StatementKind.BEGIN | StatementKind.BEGIN_READ_ONLY:
                return await self._begin(statement, received_at)
            case StatementKind.ROLLBACK:
                return self._roll_back()
            case StatementKind.COMMIT:
                return await self._commit(request, received_at)
        return await self._forward(request, received_at)

    def _check_transaction(self, now: float) -> None:
        """Check that the open transaction may go on.

        It belongs to the team that its key had when it was opened at a target.

        Raises
        ------
        SessionError
            If it is rolled back instead.
        """
        if self._admission.is_withdrawn(self.key, self.database):
            raise SessionError(FailureCode.ABORTED, "the key was withdrawn")
        is_at_target = self._transaction is not None
        if is_at_target and self._admission.team_of(self.key) != self._team:
            raise SessionError(FailureCode.ABORTED, "the key is now of another team")
        if self._is_out_of_time(now):
            raise SessionError(FailureCode.ABORTED, STOPPING_DETAIL)

    def _is_out_of_time(self, now: float) -> bool:
        """Return whether this VM stops too soon for the open transaction to go on."""
        drain, route = self._admission.drain, self._route
        if drain is None or route is None:
            return False
        return not drain.accepts(now, route.objective_s)

    def give_up(self, request: StatementRequest) -> list[Answer]:
        """Return the final answers to a running statement, whose result is dropped.

        They promise that nothing is kept unless the statement may take effect alone:
        the open transaction is rolled back.
        """
        statement = request.statement
        shape = self._values.prepared_by_name.get(statement.name)
        writes = statement.writes
        if statement.kind is StatementKind.EXECUTE and shape is not None:
            writes = shape.writes
        is_single = (
            self.state is TransactionState.IDLE and not statement.opens_transaction
        )
        may_take_effect = statement.kind is StatementKind.COMMIT or (
            is_single and writes
        )
        code = FailureCode.OUTCOME_UNKNOWN if may_take_effect else FailureCode.ABORTED
        self.give_up_transaction()
        return self._answer_stopping(request, code)

    def give_up_transaction(self) -> list[Answer]:
        """Roll back the open transaction and return what tells its caller so."""
        self.abandon(STOPPING_DETAIL)
        self.state = TransactionState.IDLE
        return [StatementFailed(FailureCode.ABORTED, STOPPING_DETAIL)]

    def refuse(self, request: StatementRequest) -> list[Answer]:
        """Return the answers to a statement that is not run."""
        return self._answer_stopping(request, FailureCode.ABORTED)

    def _answer_stopping(
        self, request: StatementRequest, code: FailureCode
    ) -> list[Answer]:
        self._admission.record_answer(
            self._route, request, code.value, self.last_active_at, STOPPING_DETAIL
        )
        return [StatementFailed(code, STOPPING_DETAIL), SessionReady(self.state)]

    def _start_operation(self, received_at: float) -> None:
        self._look_up()
        self._began_at = received_at
        self._token_team = ""

    def _look_up(self) -> None:
        configuration = self._admission.configuration
        self._route, self._team = self._admission.look_up(self.database, self.key)
        self._configuration = configuration

    def _is_route_current(self) -> bool:
        """Return whether the operation's route and team are those in force.

        After a suspension that isn't known until the orders are confirmed.
        """
        if not self._admission.has_confirmed_orders():
            return False
        configuration = self._admission.configuration
        if configuration is self._configuration:
            return True
        route = self._route
        if route is None or not self._admission.is_in_force(
            self.database, self.key, route, self._team
        ):
            return False
        self._configuration = configuration
        return True

    async def _start_over(self, context: StatementContext, received_at: float) -> None:
        """Prepare an operation whose route or team changed while it waited."""
        await self._admission.wait_for_orders()
        self._look_up()
        log_decision(
            "operation_started_over",
            request=context.request_id,
            database=self.database,
            service=self._route.service if self._route is not None else "",
            former_service=context.route.service,
            team=self._team,
            former_team=context.team,
            waited_ms=round((now_s() - received_at) * 1000, 1),
            configuration=self._configuration.version if self._configuration else 0,
        )
        if self._team != self._token_team:
            self._return_token()
            self._token_team = ""
            context.was_sent_to_target = False
            await self._admit()
        self._update_context(context, received_at)

    async def _begin(self, statement: Statement, received_at: float) -> list[Answer]:
        if self.state is TransactionState.OPEN:
            raise SessionError(FailureCode.MALFORMED, "a transaction is already open")
        await self._admit()
        self._is_read_only = statement.kind is StatementKind.BEGIN_READ_ONLY
        self._began_at = received_at
        self.state = TransactionState.OPEN
        return self._completed()

    async def _admit(self) -> None:
        """Wait for a rate token of the key's team, which may change meanwhile."""
        while self._token_team != self._team:
            team, route = self._team, self._route
            objective_s = route.objective_s if route is not None else 0.0
            try:
                await self._admission.rates.admit(team, objective_s=objective_s)
            except SessionError:
                if self._is_route_current():
                    raise
                self._look_up()
                if self._team == team:
                    raise
                continue
            self._token_team = team
            if self._is_route_current():
                return
            try:
                self._look_up()
            except SessionError:
                self._return_unused_token()
                raise
            if self._team != team:
                self._return_unused_token()

    def _roll_back(self) -> list[Answer]:
        if self.state is not TransactionState.OPEN:
            raise SessionError(FailureCode.MALFORMED, "no transaction is open")
        transaction, self._transaction = self._transaction, None
        self.state = TransactionState.IDLE
        if transaction is not None:
            self._start_roll_back(transaction)
        else:
            self._return_unused_token()
        self._token_team = ""
        return self._completed()

    async def _commit(
        self, request: StatementRequest, received_at: float
    ) -> list[Answer]:
        if self.state is not TransactionState.OPEN:
            raise SessionError(FailureCode.MALFORMED, "no transaction is open")
        context = self._create_context(request, received_at)
        transaction = await self._ensure_transaction(context, received_at)
        reply = await self._runner.run_in_transaction(
            context, transaction, request.statement, None
        )
        self._transaction = None
        self._token_team = ""
        if reply.failure is None:
            self.state = TransactionState.IDLE
            if transaction.at_primary:
                self._record_position(context, reply)
            return self._answer_completed(request, reply, received_at)
        # COMMIT failed: the target rolled the transaction back.
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
        context = self._create_context(request, received_at)
        if self.state is TransactionState.OPEN:
            transaction = await self._ensure_transaction(context, received_at)
            reply = await self._runner.run_in_transaction(
                context, transaction, statement, shape
            )
            if reply.failure is not None:
                if reply.ready.state is not TransactionState.OPEN:
                    self.state = TransactionState.FAILED
                    self.abandon(reply.failure.code.value)
                raise SessionError(reply.failure.code, reply.failure.detail)
            return self._answer_completed(request, reply, received_at)
        await self._admit()
        self._update_context(context, received_at)
        run = self._runner.run_write if writes else self._runner.run_read
        while True:
            try:
                reply = await run(context, statement, shape)
                break
            except RouteChanged:
                await self._start_over(context, received_at)
        if writes:
            self._record_position(context, reply)
        self._token_team = ""
        return self._answer_completed(request, reply, received_at)

    async def _ensure_transaction(
        self, context: StatementContext, received_at: float
    ) -> TransactionHandle:
        while self._transaction is None:
            try:
                self._transaction = await self._begin_at_target(context)
            except RouteChanged:
                await self._start_over(context, received_at)
        return self._transaction

    async def _begin_at_target(self, context: StatementContext) -> TransactionHandle:
        context.check_route()
        transaction = await self._runner.begin(context, is_read_only=self._is_read_only)
        try:
            context.check_route()
        except RouteChanged:
            self._start_roll_back(transaction)
            raise
        return transaction

    def _create_context(
        self, request: StatementRequest, received_at: float
    ) -> StatementContext:
        route = self._route
        if route is None:
            raise SessionError(FailureCode.UNKNOWN_DATABASE, "the session has no route")
        self._context = StatementContext(
            route=route,
            team=self._team,
            request_id=request.request_id,
            began_at=self._began_at,
            deadline=self._deadline(route, received_at),
            values=self._values,
            session_position=self._position_by_service.get(route.service),
            failed_attempts=self._failed_attempts,
            is_route_current=self._is_route_current,
        )
        return self._context

    def _update_context(self, context: StatementContext, received_at: float) -> None:
        """Have a statement run by the route and team that were looked up last."""
        route = self._route
        if route is None or (context.route is route and context.team == self._team):
            return
        context.route, context.team = route, self._team
        context.deadline = self._deadline(route, received_at)
        context.session_position = self._position_by_service.get(route.service)

    def _deadline(self, route: Route, received_at: float) -> float:
        deadline = received_at + route.timeout_s
        if self._admission.drain is not None:
            deadline = min(deadline, self._admission.drain.answer_by)
        return deadline

    def _resize(self, growth: int) -> None:
        """Change what the session holds.

        Raises
        ------
        SessionError
            If it may not grow; nothing has changed.
        """
        if self._memory is None:
            return
        try:
            self._memory.resize(self._memory.held_bytes + growth)
        except MemoryExceeded as error:
            is_own_size = error.is_own_size
            code = FailureCode.TOO_LARGE if is_own_size else FailureCode.OVERLOADED
            raise SessionError(code, str(error)) from error

    def _deallocate(self, statement: Statement) -> list[Answer]:
        self._resize(self._values.growth_of_prepared(statement.name, None))
        if self._values.prepared_by_name.pop(statement.name, None) is None:
            raise SessionError(
                FailureCode.UNKNOWN_PREPARED, f"{statement.name} is not prepared"
            )
        return self._completed()

    def _handle_after_failure(self, kind: StatementKind) -> list[Answer]:
        if kind is StatementKind.ROLLBACK:
            self.state = TransactionState.IDLE
            return self._completed()
        if kind is StatementKind.COMMIT:
            self.state = TransactionState.IDLE
            raise SessionError(
                FailureCode.ABORTED, "the transaction had failed and was rolled back"
            )
        raise SessionError(
            FailureCode.MALFORMED, "the transaction has failed; roll it back first"
        )

    def _record_position(self, context: StatementContext, reply: Reply) -> None:
        """Record how far the log of the service must be read from now on."""
        service, position = context.route.service, reply.ready.position
        if position is None:
            return
        known = self._position_by_service.get(service)
        if known is None or position > known:
            self._position_by_service[service] = position

    def _return_token(self) -> None:
        """Return the operation's rate token if no statement was sent to a target."""
        context = self._context
        if self._transaction is not None:
            return
        if context is None or context.was_sent_to_target:
            return
        self._return_unused_token()

    def _return_unused_token(self) -> None:
        team, self._token_team = self._token_team, ""
        if team:
            self._admission.rates.return_token(team)

    def _completed(self) -> list[Answer]:
        return [Completed(), SessionReady(self.state)]

    def _answer_completed(
        self, request: StatementRequest, reply: Reply, received_at: float
    ) -> list[Answer]:
        self._admission.record_answer(
            self._route, request, "completed", received_at, ""
        )
        rows: list[Answer] = [Row(content) for content in reply.rows]
        ready = SessionReady(self.state, reply.ready.position)
        return [*rows, reply.outcome, ready]

    def _answer_failed(
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
        if self._failed_attempts:
            detail = f"{detail} after {' '.join(self._failed_attempts)}"
        self._admission.record_answer(
            self._route, request, code.value, received_at, detail
        )
        failed = StatementFailed(code, detail)
        if code in (FailureCode.UNAUTHORIZED, FailureCode.UNKNOWN_DATABASE):
            raise SessionTerminated([failed])
        return [failed, SessionReady(self.state)]
