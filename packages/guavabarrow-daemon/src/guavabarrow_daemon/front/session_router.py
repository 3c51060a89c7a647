"""Runs the statements of connected sessions on targets.

Reads go to the target that is expected to answer first among those that are provably
fresh enough; writes and plain transactions go to the primary. What may have run is
never repeated unless it only reads.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.internet.defer import TimeoutError
from twisted.internet.task import deferLater

from guavabarrow_core.exceptions import SessionError
from guavabarrow_core.session_messages import (
    FailureCode,
    Reply,
    Statement,
    StatementKind,
    TransactionState,
)
from guavabarrow_daemon.fleet.directory_service import DirectoryService
from guavabarrow_daemon.fleet.primary_service import PrimaryService
from guavabarrow_daemon.front.target_chooser import RETRY_ADVICE_S, TargetChooser
from guavabarrow_daemon.front.target_exchange import TargetExchange
from guavabarrow_daemon.front.work import OpenTransaction, Work
from guavabarrow_daemon.kernel import Kernel, Service
from guavabarrow_daemon.operations.clock import now_s
from guavabarrow_daemon.targets.interface import TargetBroken

if TYPE_CHECKING:
    from guavabarrow_core.log_position import LogPosition
    from guavabarrow_core.session_values import PreparedShape
    from guavabarrow_daemon.targets.session_pool import SessionPool

BUSY_PAUSE_S = 0.02
"""Pause before a target that had no slot is asked again; half a statement."""

MAX_READ_ATTEMPTS = 5
"""Targets are three; lagging replicas are asked again."""


class SessionRouter(Service):
    """Runs statements on targets."""

    name = "session_router"

    def __init__(self, kernel: Kernel, reactor: Any) -> None:
        super().__init__(kernel)
        self._reactor = reactor
        self._primary_service = kernel.find(PrimaryService)
        self._chooser = kernel.find(TargetChooser)
        self._exchange = kernel.find(TargetExchange)
        self._codec = kernel.find(DirectoryService).create_codec()

    # Single statements

    async def run_read(
        self, work: Work, statement: Statement, shape: PreparedShape | None
    ) -> Reply:
        """Run a statement that only reads, on any target that is fresh enough.

        Raises
        ------
        SessionError
            If no target answered it.
        """
        failed: set[str] = set()
        failure = SessionError(FailureCode.OVERLOADED, "No target can be used.")
        for _ in range(MAX_READ_ATTEMPTS):
            pool, after = await self._chooser.choose_reader(work, failed)
            try:
                return await self._read_once(work, statement, shape, pool, after)
            except SessionError as error:
                failure = error
                work.trail.append(f"{pool.entry.target_id}:{error.code.value}")
            if work.remaining_s <= 0:
                break
            if failure.code is FailureCode.BEHIND:
                self._chooser.note_behind(pool.entry.target_id)
            else:
                failed.add(pool.entry.target_id)
        raise failure

    async def _read_once(
        self,
        work: Work,
        statement: Statement,
        shape: PreparedShape | None,
        pool: SessionPool,
        after: LogPosition | None,
    ) -> Reply:
        at_primary = after is None
        pool.load.running += 1
        try:
            connection = await pool.acquire(
                work.team, priority=work.route.priority, deadline=work.hold_until
            )
            if at_primary and not self._primary_service.may_use(
                work.route.service, pool.entry.target_id
            ):
                pool.release(connection)
                raise SessionError(FailureCode.BEHIND, "The primary moved.")
            data, preparations = self._exchange.prepare(work, connection, shape)
            data += self._codec.encode_statement(
                work.request_id,
                statement,
                prepared_name=shape.shared_name if shape else "",
                after=after,
            )
            reply = await self._exchange.run(work, connection, pool, data, preparations)
        finally:
            pool.load.running -= 1
        if at_primary and not self._primary_service.may_use(
            work.route.service, pool.entry.target_id
        ):
            raise SessionError(FailureCode.BEHIND, "The primary moved meanwhile.")
        if reply.failure is not None:
            raise SessionError(reply.failure.code, reply.failure.detail)
        return reply

    async def run_write(
        self, work: Work, statement: Statement, shape: PreparedShape | None
    ) -> Reply:
        """Run a single write at the primary.

        Raises
        ------
        SessionError
            If it did not run, or may have run.
        """
        while True:
            pool, connection = await self._chooser.acquire_primary(work)
            service = work.route.service
            data, preparations = self._exchange.prepare(work, connection, shape)
            data += self._codec.encode_statement(
                work.request_id,
                statement,
                prepared_name=shape.shared_name if shape else "",
            )
            self._primary_service.begin_work(service)
            pool.load.running += 1
            try:
                reply = await self._exchange.run(
                    work, connection, pool, data, preparations, is_write=True
                )
                is_valid = self._primary_service.may_use(service, pool.entry.target_id)
            finally:
                self._primary_service.end_work(service)
                pool.load.running -= 1
            failure = reply.failure
            if failure is None and not is_valid:
                raise SessionError(
                    FailureCode.OUTCOME_UNKNOWN,
                    "The primary was replaced while the write ran.",
                )
            if failure is None:
                return reply
            work.trail.append(f"{pool.entry.target_id}:{failure.code.value}")
            if failure.code is FailureCode.OVERLOADED and work.remaining_s > 0.1:
                await deferLater(self._reactor, BUSY_PAUSE_S, lambda: None)
                continue
            raise SessionError(failure.code, failure.detail)

    # Transactions

    async def begin(self, work: Work, *, is_read_only: bool) -> OpenTransaction:
        """Open a transaction on a target and keep its connection.

        Raises
        ------
        SessionError
            If none could be opened; nothing has run.
        """
        kind = StatementKind.BEGIN_READ_ONLY if is_read_only else StatementKind.BEGIN
        statement = Statement(kind, "BEGIN READ" if is_read_only else "BEGIN")
        failed: set[str] = set()
        failure = SessionError(FailureCode.OVERLOADED, "No target can be used.")
        for _ in range(MAX_READ_ATTEMPTS):
            after = None
            if is_read_only:
                pool, after = await self._chooser.choose_reader(work, failed)
                connection = await pool.acquire(
                    work.team, priority=work.route.priority, deadline=work.hold_until
                )
            else:
                pool, connection = await self._chooser.acquire_primary(work)
            target_id = pool.entry.target_id
            service = work.route.service
            if after is None and not self._primary_service.may_use(service, target_id):
                pool.release(connection)
                continue
            data, preparations = self._exchange.prepare(work, connection, None)
            data += self._codec.encode_statement("", statement, after=after)
            try:
                reply = await self._exchange.run(
                    work,
                    connection,
                    pool,
                    data,
                    preparations,
                    keeps=True,
                    preparations_only=True,
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
                self._exchange.give_back(connection, pool)
            code = reply.failure.code if reply.failure else FailureCode.FAILED
            work.trail.append(f"{target_id}:{code.value}")
            failure = SessionError(FailureCode.OVERLOADED, f"No transaction: {code}.")
            if code is FailureCode.BEHIND:
                self._chooser.note_behind(target_id)
            elif code is FailureCode.OVERLOADED and work.remaining_s > 0.1:
                await deferLater(self._reactor, BUSY_PAUSE_S, lambda: None)
            else:
                failed.add(target_id)
                if not is_read_only:
                    raise failure
        raise failure

    async def run_in_transaction(
        self,
        work: Work,
        transaction: OpenTransaction,
        statement: Statement,
        shape: PreparedShape | None,
    ) -> Reply:
        """Run a statement on the connection of its transaction.

        Raises
        ------
        SessionError
            If the transaction is over; it is rolled back.
        """
        connection = transaction.connection
        is_commit = statement.kind is StatementKind.COMMIT
        target_id = transaction.pool.entry.target_id
        if not connection.is_open or (
            transaction.at_primary and not self._lead_allows(transaction, statement)
        ):
            self.end(transaction)
            raise SessionError(
                FailureCode.ABORTED,
                "The connection of the transaction is gone; it is rolled back.",
                retry_after_s=RETRY_ADVICE_S,
            )
        data, preparations = self._exchange.prepare(work, connection, shape)
        data += self._codec.encode_statement(
            work.request_id,
            statement,
            prepared_name=shape.shared_name if shape else "",
        )
        try:
            reply = await self._exchange.run(
                work,
                connection,
                transaction.pool,
                data,
                preparations,
                is_write=is_commit,
                keeps=True,
            )
        except SessionError as error:
            self.end(transaction)
            if is_commit:
                raise
            raise SessionError(
                FailureCode.ABORTED,
                f"Rolled back: {error.detail}",
                retry_after_s=RETRY_ADVICE_S,
            ) from error
        still_leads = not transaction.at_primary or self._primary_service.may_use(
            transaction.service, target_id
        )
        if reply.failure is None and not still_leads and is_commit:
            self.end(transaction)
            raise SessionError(
                FailureCode.OUTCOME_UNKNOWN,
                "The primary was replaced while the commit ran.",
            )
        if is_commit or reply.ready.state is TransactionState.IDLE:
            self.end(transaction)
        return reply

    def _lead_allows(self, transaction: OpenTransaction, statement: Statement) -> bool:
        target_id = transaction.pool.entry.target_id
        if self._primary_service.may_use(transaction.service, target_id):
            return True
        # Statements of a running transaction may end it during a planned move.
        lead = self._primary_service.draining_primary(transaction.service)
        return lead == target_id and statement.kind is not StatementKind.COMMIT

    async def roll_back(self, transaction: OpenTransaction) -> None:
        """Roll a transaction back and free its connection."""
        connection = transaction.connection
        if transaction.has_left:
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
        except (TargetBroken, TimeoutError):
            connection.abort()
        self.end(transaction)

    def end(self, transaction: OpenTransaction) -> None:
        """Free the connection of a transaction that is over."""
        if transaction.has_left:
            return
        transaction.has_left = True
        if transaction.at_primary:
            self._primary_service.end_work(transaction.service)
        self._exchange.give_back(transaction.connection, transaction.pool)
