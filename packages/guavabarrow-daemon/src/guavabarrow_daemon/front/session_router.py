"""Runs the statements of connected sessions on targets.

Reads go to the target with the lowest expected response time among those that are
provably fresh enough; writes and read-write transactions go to the primary. Only reads
are retried after they may have run.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.internet.defer import TimeoutError
from twisted.internet.task import deferLater

from guavabarrow_core.exceptions import SessionError
from guavabarrow_core.response_baseline import WorkKind
from guavabarrow_core.session_messages import (
    FailureCode,
    Reply,
    Statement,
    StatementKind,
    TransactionState,
)
from guavabarrow_daemon.fleet.directory_service import DirectoryService
from guavabarrow_daemon.fleet.primary_service import PrimaryService
from guavabarrow_daemon.front.statement_context import OpenTransaction, StatementContext
from guavabarrow_daemon.front.statement_runner import StatementRunner
from guavabarrow_daemon.front.target_chooser import RETRY_AFTER_S, TargetChooser
from guavabarrow_daemon.front.target_exchange import TargetExchange
from guavabarrow_daemon.operations.clock import now_s
from guavabarrow_daemon.targets.interface import TargetConnectionBroken

if TYPE_CHECKING:
    from guavabarrow_core.log_position import LogPosition
    from guavabarrow_core.session_values import PreparedShape
    from guavabarrow_daemon.kernel import Kernel
    from guavabarrow_daemon.targets.session_pool import SessionPool

OVERLOADED_PAUSE_S = 0.02
"""Pause before a retry at a target that had no free slot: half the time of a
statement."""

EVACUATION_GRACE_S = 2.0
"""Time for which open read transactions go on at a target whose failure domain is
evacuated; the deployments require that all statements to it end within 5 s, of which
the order may take up to 3 s to reach this VM."""

MAX_READ_ATTEMPTS = 5
"""Three targets, and further attempts at replicas that lagged behind."""


class SessionRouter(StatementRunner[OpenTransaction]):
    """Runs statements on targets, over this VM's own connections."""

    name = "session_router"

    def __init__(self, kernel: Kernel, reactor: Any) -> None:
        super().__init__(kernel)
        self._reactor = reactor
        self._directory = kernel.find(DirectoryService)
        self._primary_service = kernel.find(PrimaryService)
        self._chooser = kernel.find(TargetChooser)
        self._exchange = kernel.find(TargetExchange)
        self._codec = self._directory.create_codec()

    # Single statements

    async def run_read(
        self,
        context: StatementContext,
        statement: Statement,
        shape: PreparedShape | None,
    ) -> Reply:
        """Run a read-only statement on any target that is fresh enough.

        Raises
        ------
        SessionError
            If no target could run it.
        """
        failed: set[str] = set()
        failure = SessionError(FailureCode.OVERLOADED, "No target can be used.")
        for _ in range(MAX_READ_ATTEMPTS):
            pool, after = await self._chooser.choose_read_target(context, failed)
            try:
                return await self._read_once(context, statement, shape, pool, after)
            except SessionError as error:
                failure = error
                context.failed_attempts.append(
                    f"{pool.entry.target_id}:{error.code.value}"
                )
            if context.remaining_s <= 0:
                break
            if failure.code is FailureCode.BEHIND:
                self._chooser.mark_behind(pool.entry.target_id)
            else:
                failed.add(pool.entry.target_id)
            if not self._chooser.may_retry(context, failed):
                break
        raise failure

    async def _read_once(
        self,
        context: StatementContext,
        statement: Statement,
        shape: PreparedShape | None,
        pool: SessionPool,
        after: LogPosition | None,
    ) -> Reply:
        at_primary = after is None
        pool.load.running += 1
        try:
            connection = await context.acquire(pool)
            if at_primary and not self._primary_service.may_use(
                context.route.service, pool.entry.target_id
            ):
                pool.release(connection)
                raise SessionError(FailureCode.BEHIND, "The primary was replaced.")
            data, restore_count = self._exchange.restore_session(
                context, connection, shape
            )
            data += self._codec.encode_statement(
                context.request_id,
                statement,
                prepared_name=shape.shared_name if shape else "",
                after=after,
            )
            reply = await self._exchange.run(
                context, connection, pool, data, restore_count
            )
        finally:
            pool.load.running -= 1
        if at_primary and not self._primary_service.may_use(
            context.route.service, pool.entry.target_id
        ):
            raise SessionError(
                FailureCode.BEHIND, "The primary was replaced during the read."
            )
        if reply.failure is not None:
            raise SessionError(reply.failure.code, reply.failure.detail)
        return reply

    async def run_write(
        self,
        context: StatementContext,
        statement: Statement,
        shape: PreparedShape | None,
    ) -> Reply:
        """Run a single write on the primary.

        Raises
        ------
        SessionError
            If the write wasn't run, or its outcome is unknown.
        """
        while True:
            pool, connection = await self._chooser.acquire_primary(context)
            service = context.route.service
            data, restore_count = self._exchange.restore_session(
                context, connection, shape
            )
            data += self._codec.encode_statement(
                context.request_id,
                statement,
                prepared_name=shape.shared_name if shape else "",
            )
            self._primary_service.begin_work(service)
            pool.load.running += 1
            try:
                reply = await self._exchange.run(
                    context,
                    connection,
                    pool,
                    data,
                    restore_count,
                    is_write=True,
                    kind=WorkKind.WRITE,
                )
                is_valid = self._primary_service.may_accept_answer(
                    service, pool.entry.target_id
                )
            finally:
                self._primary_service.end_work(service)
                pool.load.running -= 1
            failure = reply.failure
            if failure is None and not is_valid:
                raise SessionError(
                    FailureCode.OUTCOME_UNKNOWN,
                    "The primary was replaced during the write.",
                )
            if failure is None:
                return reply
            context.failed_attempts.append(
                f"{pool.entry.target_id}:{failure.code.value}"
            )
            if failure.code is FailureCode.OVERLOADED and context.remaining_s > 0.1:
                await deferLater(self._reactor, OVERLOADED_PAUSE_S, lambda: None)
                continue
            raise SessionError(failure.code, failure.detail)

    # Transactions

    async def begin(
        self, context: StatementContext, *, is_read_only: bool
    ) -> OpenTransaction:
        """Open a transaction on a target and reserve its connection.

        Raises
        ------
        SessionError
            If none could be opened; nothing was run.
        """
        kind = StatementKind.BEGIN_READ_ONLY if is_read_only else StatementKind.BEGIN
        statement = Statement(kind, "BEGIN READ" if is_read_only else "BEGIN")
        failed: set[str] = set()
        failure = SessionError(FailureCode.OVERLOADED, "No target can be used.")
        for _ in range(MAX_READ_ATTEMPTS):
            after = None
            if is_read_only:
                pool, after = await self._chooser.choose_read_target(
                    context, failed, may_probe=False
                )
                connection = await context.acquire(pool, in_transaction=True)
            else:
                pool, connection = await self._chooser.acquire_primary(
                    context, in_transaction=True
                )
            target_id = pool.entry.target_id
            service = context.route.service
            if after is None and not self._primary_service.may_use(service, target_id):
                pool.release(connection)
                continue
            data, restore_count = self._exchange.restore_session(
                context, connection, None
            )
            data += self._codec.encode_statement("", statement, after=after)
            try:
                reply = await self._exchange.run(
                    context,
                    connection,
                    pool,
                    data,
                    restore_count,
                    keep_connection=True,
                    setup_only=True,
                )
            except SessionError as error:
                failure = error
                failed.add(target_id)
                continue
            if reply.failure is None and reply.ready.state is TransactionState.OPEN:
                transaction = OpenTransaction(
                    connection, pool, service, at_primary=after is None
                )
                if transaction.at_primary:
                    self._primary_service.begin_work(service)
                return transaction
            if connection.is_open:
                self._exchange.release_connection(connection, pool)
            code = reply.failure.code if reply.failure else FailureCode.FAILED
            context.failed_attempts.append(f"{target_id}:{code.value}")
            failure = SessionError(FailureCode.OVERLOADED, f"BEGIN failed: {code}.")
            if code is FailureCode.BEHIND:
                self._chooser.mark_behind(target_id)
            elif code is FailureCode.OVERLOADED and context.remaining_s > 0.1:
                await deferLater(self._reactor, OVERLOADED_PAUSE_S, lambda: None)
            else:
                failed.add(target_id)
                if not is_read_only:
                    raise failure
        raise failure

    async def run_in_transaction(
        self,
        context: StatementContext,
        transaction: OpenTransaction,
        statement: Statement,
        shape: PreparedShape | None,
    ) -> Reply:
        """Run a statement on the connection of its transaction.

        Raises
        ------
        SessionError
            If the transaction can't go on and is rolled back, or if the outcome of
            COMMIT is unknown.
        """
        connection = transaction.connection
        is_commit = statement.kind is StatementKind.COMMIT
        target_id = transaction.pool.entry.target_id
        if not connection.is_open or (
            transaction.at_primary and not self._may_run(transaction, statement)
        ):
            self.end(transaction)
            raise SessionError(
                FailureCode.ABORTED,
                "The transaction lost its connection or primary and is rolled back.",
                retry_after_s=RETRY_AFTER_S,
            )
        if self._directory.evacuated_s(target_id) > EVACUATION_GRACE_S:
            # It can't move: its statements run on one connection.
            await self.roll_back(transaction)
            raise SessionError(
                FailureCode.ABORTED,
                "The failure domain of the transaction's target is being evacuated.",
                retry_after_s=RETRY_AFTER_S,
            )
        data, restore_count = self._exchange.restore_session(context, connection, shape)
        data += self._codec.encode_statement(
            context.request_id,
            statement,
            prepared_name=shape.shared_name if shape else "",
        )
        try:
            reply = await self._exchange.run(
                context,
                connection,
                transaction.pool,
                data,
                restore_count,
                is_write=is_commit,
                keep_connection=True,
                transaction=transaction,
                kind=_work_kind(statement),
            )
        except SessionError as error:
            self.end(transaction)
            if is_commit:
                raise
            raise SessionError(
                FailureCode.ABORTED,
                f"Rolled back: {error.detail}",
                retry_after_s=RETRY_AFTER_S,
            ) from error
        is_valid = (
            not transaction.at_primary
            or self._primary_service.may_accept_answer(transaction.service, target_id)
        )
        if reply.failure is None and not is_valid and is_commit:
            self.end(transaction)
            raise SessionError(
                FailureCode.OUTCOME_UNKNOWN,
                "The primary was replaced during the commit.",
            )
        if is_commit or reply.ready.state is TransactionState.IDLE:
            self.end(transaction)
        return reply

    def _may_run(self, transaction: OpenTransaction, statement: Statement) -> bool:
        target_id = transaction.pool.entry.target_id
        if self._primary_service.may_use(transaction.service, target_id):
            return True
        # During a planned switchover, open transactions may continue on the old
        # primary, but not commit.
        draining_id = self._primary_service.draining_primary(transaction.service)
        return draining_id == target_id and statement.kind is not StatementKind.COMMIT

    async def roll_back(self, transaction: OpenTransaction) -> None:
        """Roll back a transaction and return its connection to the pool."""
        connection = transaction.connection
        if transaction.has_ended:
            return
        if not connection.is_open or connection.has_pending:
            connection.abort()
            self.end(transaction)
            return
        statement = Statement(StatementKind.ROLLBACK, "ROLLBACK")
        sent = connection.send(self._codec.encode_statement("", statement), 0, now_s())
        sent.addTimeout(1.0, self._reactor)
        try:
            await sent
        except (TargetConnectionBroken, TimeoutError):
            connection.abort()
        self.end(transaction)

    def end(self, transaction: OpenTransaction) -> None:
        """End a transaction and return its connection to the pool."""
        if transaction.has_ended:
            return
        transaction.has_ended = True
        if transaction.at_primary:
            self._primary_service.end_work(transaction.service)
        self._exchange.release_connection(transaction.connection, transaction.pool)


def _work_kind(statement: Statement) -> WorkKind:
    if statement.kind is StatementKind.COMMIT:
        return WorkKind.COMMIT
    is_write = statement.writes or statement.kind is StatementKind.WRITE
    return WorkKind.WRITE if is_write else WorkKind.READ
