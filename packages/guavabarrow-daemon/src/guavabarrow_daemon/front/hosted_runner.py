"""Runs the statements of hosted services by way of their hosts.

A read and BEGIN are tried elsewhere when a host is lost. A single write and COMMIT are
handed over once: what a lost host did with them is unknown. Any other statement of a
transaction fails with ABORTED, which is true because only this VM can send the COMMIT
and because the host rolls back when the link to this VM ends.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavabarrow_core.exceptions import SessionError
from guavabarrow_core.session_messages import (
    FailureCode,
    Reply,
    Statement,
    StatementKind,
)
from guavabarrow_daemon.fleet.hosted_messages import HostedOperation
from guavabarrow_daemon.fleet.service_hosts import ServiceHosts
from guavabarrow_daemon.front.host_exchange import HostExchange, HostLost
from guavabarrow_daemon.front.hosted_codec import HANDOVER_MARGIN_S, decode_reply
from guavabarrow_daemon.front.session_router import SessionRouter
from guavabarrow_daemon.front.statement_context import (
    HostedTransaction,
    OpenTransaction,
    TransactionHandle,
)
from guavabarrow_daemon.front.statement_runner import StatementRunner
from guavabarrow_daemon.front.target_chooser import RETRY_AFTER_S

if TYPE_CHECKING:
    from guavabarrow_core.session_values import PreparedShape
    from guavabarrow_daemon.fleet.hosted_messages import HostedReply
    from guavabarrow_daemon.front.statement_context import StatementContext
    from guavabarrow_daemon.kernel import Kernel

MAX_HOST_ATTEMPTS = 2
"""Hosts that a read or BEGIN is sent to before this VM runs it itself."""

MIN_RETRY_S = 0.1
"""Time that must be left for another attempt; less does not suffice for a connection
and the statement itself."""


class HostedRunner(StatementRunner[TransactionHandle]):
    """Sends statements to the hosts of their services, or runs them locally."""

    name = "hosted_runner"

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._local = kernel.find(SessionRouter)
        self._hosts = kernel.find(ServiceHosts)
        self._exchange = kernel.find(HostExchange)

    async def run_read(
        self,
        context: StatementContext,
        statement: Statement,
        shape: PreparedShape | None,
    ) -> Reply:
        """Run a read, elsewhere if its host is lost."""
        for _ in range(MAX_HOST_ATTEMPTS):
            host = self._choose_host(context)
            if not host:
                break
            try:
                reply = await self._exchange.run(
                    host, context, HostedOperation.READ, statement, shape
                )
            except HostLost as lost:
                self._record_lost(context, lost)
                if context.remaining_s < MIN_RETRY_S:
                    raise SessionError(
                        FailureCode.TIMEOUT, f"{host}: no answer in time"
                    ) from lost
                continue
            return _accept(reply)
        return await self._local.run_read(context, statement, shape)

    async def run_write(
        self,
        context: StatementContext,
        statement: Statement,
        shape: PreparedShape | None,
    ) -> Reply:
        """Run a single write; it is in doubt if its host is lost."""
        host = self._choose_host(context)
        if not host:
            return await self._local.run_write(context, statement, shape)
        try:
            reply = await self._exchange.run(
                host, context, HostedOperation.WRITE, statement, shape
            )
        except HostLost as lost:
            self._record_lost(context, lost)
            if not lost.was_handed_over:
                return await self._local.run_write(context, statement, shape)
            raise SessionError(
                FailureCode.OUTCOME_UNKNOWN,
                f"The host {host} was lost during the write: {lost.reason.value}.",
            ) from lost
        return _accept(reply)

    async def begin(
        self, context: StatementContext, *, is_read_only: bool
    ) -> TransactionHandle:
        """Open a transaction, elsewhere if its host is lost."""
        kind = StatementKind.BEGIN_READ_ONLY if is_read_only else StatementKind.BEGIN
        operation = (
            HostedOperation.BEGIN_READ_ONLY if is_read_only else HostedOperation.BEGIN
        )
        for _ in range(MAX_HOST_ATTEMPTS):
            host = self._choose_host(context)
            if not host:
                break
            try:
                reply = await self._exchange.run(
                    host, context, operation, Statement(kind, "")
                )
            except HostLost as lost:
                # BEGIN is no statement of the caller, so no token is spent.
                context.failed_attempts.append(_describe(lost))
                if context.remaining_s < MIN_RETRY_S:
                    raise SessionError(
                        FailureCode.OVERLOADED,
                        f"{host} opened no transaction in time",
                        retry_after_s=RETRY_AFTER_S,
                    ) from lost
                continue
            decode_reply(reply)
            transaction = HostedTransaction(
                host, reply.number, context.route.service, reply.at_primary
            )
            self._exchange.register(transaction)
            return transaction
        return await self._local.begin(context, is_read_only=is_read_only)

    async def run_in_transaction(
        self,
        context: StatementContext,
        transaction: TransactionHandle,
        statement: Statement,
        shape: PreparedShape | None,
    ) -> Reply:
        """Run a statement where its transaction is open."""
        if isinstance(transaction, OpenTransaction):
            return await self._local.run_in_transaction(
                context, transaction, statement, shape
            )
        if not isinstance(transaction, HostedTransaction):
            raise TypeError(f"unknown transaction: {transaction!r}")
        if transaction.has_ended or self._hosts.is_bypassed(transaction.host):
            self._exchange.roll_back(transaction)
            raise _aborted(f"The host {transaction.host} was lost.")
        try:
            reply = await self._exchange.run(
                transaction.host,
                context,
                HostedOperation.IN_TRANSACTION,
                statement,
                shape,
                transaction=transaction.number,
            )
        except HostLost as lost:
            self._record_lost(context, lost)
            if statement.kind is StatementKind.COMMIT and lost.was_handed_over:
                self._exchange.end(transaction)
                raise SessionError(
                    FailureCode.OUTCOME_UNKNOWN,
                    f"The host was lost during the commit: {lost}.",
                ) from lost
            self._exchange.roll_back(transaction)
            raise _aborted(f"Rolled back: {lost}.") from lost
        if reply.has_ended:
            self._exchange.end(transaction)
        return decode_reply(reply)

    async def roll_back(self, transaction: TransactionHandle) -> None:
        """Roll back a transaction where it is open."""
        if isinstance(transaction, OpenTransaction):
            await self._local.roll_back(transaction)
        elif isinstance(transaction, HostedTransaction):
            self._exchange.roll_back(transaction)

    def end(self, transaction: TransactionHandle) -> None:
        """Release what a transaction holds here or at its host."""
        if isinstance(transaction, OpenTransaction):
            self._local.end(transaction)
        elif isinstance(transaction, HostedTransaction):
            self._exchange.roll_back(transaction)

    def _choose_host(self, context: StatementContext) -> str:
        """Return the host of a statement's service, empty to run it here.

        Raises
        ------
        RouteChanged
            If its route or team changed or was withdrawn during an earlier attempt.
        """
        context.check_route()
        if context.remaining_s <= HANDOVER_MARGIN_S:
            return ""
        return self._hosts.host_of(context.route.service)

    @staticmethod
    def _record_lost(context: StatementContext, lost: HostLost) -> None:
        context.failed_attempts.append(_describe(lost))
        if lost.was_handed_over:
            # It may have reached a target, so its rate token is spent.
            context.was_sent_to_target = True


def _accept(reply: HostedReply) -> Reply:
    """Return the reply to a single statement, or raise its failure."""
    decoded = decode_reply(reply)
    if decoded.failure is not None:
        raise SessionError(decoded.failure.code, decoded.failure.detail)
    return decoded


def _describe(lost: HostLost) -> str:
    return f"{lost.host}:{lost.reason.value}"


def _aborted(detail: str) -> SessionError:
    return SessionError(FailureCode.ABORTED, detail, retry_after_s=RETRY_AFTER_S)
