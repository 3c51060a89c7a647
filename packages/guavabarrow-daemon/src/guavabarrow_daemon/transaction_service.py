"""Interactive transactions, each pinned to one connection to the primary."""

from __future__ import annotations

from dataclasses import dataclass, field
from hashlib import blake2b
from secrets import token_urlsafe
from typing import TYPE_CHECKING, Any

import msgspec

from guavabarrow_core.exceptions import (
    OutcomeUnknown,
    Overloaded,
    RequestIdReused,
    StatementFailed,
    TransactionLost,
    UnknownTransaction,
)
from guavabarrow_core.group_view import Durability
from guavabarrow_core.request_id import create_request_id
from guavabarrow_daemon.group_service import GroupService
from guavabarrow_daemon.kernel import Kernel, Service
from guavabarrow_daemon.key_service import KeyService
from guavabarrow_daemon.statement_service import (
    RETRY_AFTER_S,
    StatementService,
)
from guavabarrow_daemon.targets.http_messages import (
    CODE_ID_REUSED,
    CODE_STATEMENT_FAILED,
    Commit,
    Execute,
    Result,
)
from guavabarrow_daemon.targets.interface import TargetConnectionBroken, TargetRefused

if TYPE_CHECKING:
    from guavabarrow_core.key_ring import KeyOwner
    from guavabarrow_daemon.caller_context import CallerContext
    from guavabarrow_daemon.group import Group
    from guavabarrow_daemon.settings import Settings
    from guavabarrow_daemon.targets.permit_pool import Checkout

STALE_CHECK_INTERVAL_S = 0.25
TRANSACTION_ID_BYTES = 18


@dataclass(eq=False, slots=True)
class OpenTransaction:
    """An open transaction of one caller.

    Parameters
    ----------
    transaction_id : str
        Random id that cannot be guessed.
    owner : KeyOwner
        Team and key that opened it; other teams cannot use it.
    service : str
        Service in whose group it runs.
    checkout : Checkout
        Connection that the transaction holds exclusively until it ends.
    term : int
        Term of the primary when the transaction began.
    last_used_at : float
        Monotonic time of the last statement, in s.
    """

    transaction_id: str
    owner: KeyOwner
    service: str
    checkout: Checkout
    term: int
    last_used_at: float
    is_busy: bool = False
    fingerprint: Any = field(default_factory=lambda: blake2b(digest_size=16))


class TransactionService(Service):
    """Runs the open transactions of this VM.

    Parameters
    ----------
    kernel : Kernel
        Service registry.
    settings : Settings
        Idle limit of transactions.
    reactor : object
        Clock.
    wall_clock : callable
        Returns the Unix time in s; used only for new request ids.
    """

    name = "transactions"

    def __init__(
        self, kernel: Kernel, settings: Settings, reactor: Any, wall_clock: Any
    ) -> None:
        super().__init__(kernel)
        self._settings = settings
        self._reactor = reactor
        self._wall_clock = wall_clock
        self._statements = kernel.find(StatementService)
        self._groups = kernel.find(GroupService)
        self._keys = kernel.find(KeyService)
        self._by_id: dict[str, OpenTransaction] = {}
        self._loop = kernel.tasks.create_periodic(
            "stale_transaction_check", self._abort_stale, reactor
        )

    def __len__(self) -> int:
        return len(self._by_id)

    async def start(self) -> None:
        """Start aborting transactions that are idle or whose key was withdrawn."""
        self._loop.start(STALE_CHECK_INTERVAL_S)

    async def stop(self) -> None:
        """Abort the open transactions; the databases roll them back."""
        if self._loop.running:
            self._loop.stop()
        for transaction in list(self._by_id.values()):
            self._abort(transaction)

    async def begin(self, context: CallerContext, service: str) -> str:
        """Open a transaction on the primary.

        Returns
        -------
        str
            Id for the following requests, valid only at this VM.
        """
        group = self._groups.find(service)
        while True:
            checkout, term = await self._statements.checkout_primary(context, group)
            timeout_s = context.deadline - self._reactor.seconds()
            try:
                await checkout.connection.begin(term, timeout_s=timeout_s)
            except (TargetConnectionBroken, TargetRefused):
                checkout.release(is_clean=False)
                await group.wait_report(RETRY_AFTER_S)
                continue
            transaction = OpenTransaction(
                token_urlsafe(TRANSACTION_ID_BYTES),
                context.owner,
                service,
                checkout,
                term,
                self._reactor.seconds(),
            )
            self._by_id[transaction.transaction_id] = transaction
            return transaction.transaction_id

    async def execute(
        self, context: CallerContext, transaction_id: str, message: Execute
    ) -> Result:
        """Run a statement in an open transaction."""
        transaction = self._claim(context, transaction_id)
        transaction.fingerprint.update(msgspec.json.encode(message))
        timeout_s = context.deadline - self._reactor.seconds()
        try:
            result = await transaction.checkout.connection.execute(
                message, timeout_s=timeout_s
            )
        except TargetConnectionBroken as error:
            self._abort(transaction)
            raise TransactionLost(
                f"The connection of the transaction was lost: {error}. "
                "It is rolled back; begin a new one."
            ) from error
        except TargetRefused as problem:
            if problem.code == CODE_STATEMENT_FAILED:
                raise StatementFailed(problem.detail) from problem
            self._abort(transaction)
            raise TransactionLost(
                f"The database ended the transaction: {problem.code}. Begin a new one."
            ) from problem
        finally:
            transaction.is_busy = False
            transaction.last_used_at = self._reactor.seconds()
        return result

    async def rollback(self, context: CallerContext, transaction_id: str) -> None:
        """Roll back a transaction."""
        transaction = self._claim(context, transaction_id)
        self._by_id.pop(transaction_id, None)
        timeout_s = context.deadline - self._reactor.seconds()
        try:
            await transaction.checkout.connection.reset(timeout_s=timeout_s)
        except (TargetConnectionBroken, TargetRefused):
            transaction.checkout.release(is_clean=False)
            return
        transaction.checkout.release(is_clean=True)

    async def commit(self, context: CallerContext, transaction_id: str) -> Result:
        """Commit a transaction and acknowledge it once it is durable.

        Raises
        ------
        TransactionLost
            If it was rolled back.
        OutcomeUnknown
            If its outcome could not be determined before the deadline.
        """
        transaction = self._claim(context, transaction_id)
        self._by_id.pop(transaction_id, None)
        request_id = context.request_id or create_request_id(self._wall_clock())
        message = Commit(context.team, request_id, transaction.fingerprint.hexdigest())
        timeout_s = context.deadline - self._reactor.seconds()
        try:
            result = await transaction.checkout.connection.commit(
                message, timeout_s=timeout_s
            )
        except TargetConnectionBroken:
            transaction.checkout.release(is_clean=False)
            return await self._resolve(context, transaction, request_id)
        except TargetRefused as problem:
            transaction.checkout.release(is_clean=True)
            raise _create_commit_error(problem) from problem
        transaction.checkout.release(is_clean=True)
        group = self._groups.find(transaction.service)
        return await self._acknowledge(context, group, result, request_id, transaction)

    async def _acknowledge(
        self,
        context: CallerContext,
        group: Group,
        result: Result,
        request_id: str,
        transaction: OpenTransaction,
    ) -> Result:
        durability = await group.wait_durable(
            result.position, deadline=context.deadline
        )
        if durability is Durability.DURABLE:
            context.token = context.token.advanced(group.name, result.position)
            return result
        if durability is Durability.LOST:
            return await self._resolve(context, transaction, request_id)
        raise OutcomeUnknown(
            "The commit has not yet reached a majority of the databases.",
            retry_after_s=RETRY_AFTER_S,
        )

    async def _resolve(
        self, context: CallerContext, transaction: OpenTransaction, request_id: str
    ) -> Result:
        result = await self._statements.resolve(
            context, transaction.service, request_id
        )
        if result is None:
            raise TransactionLost(
                "The commit did not take effect; the transaction was rolled back. "
                "Begin a new one with a new Request-Id."
            )
        return result

    def _claim(self, context: CallerContext, transaction_id: str) -> OpenTransaction:
        transaction = self._by_id.get(transaction_id)
        if transaction is None or transaction.owner.team != context.team:
            raise UnknownTransaction(
                "No such transaction is open at this VM; it ended, expired or was "
                "opened at another VM."
            )
        if transaction.is_busy:
            raise Overloaded(
                "A statement of this transaction is still running.",
                retry_after_s=RETRY_AFTER_S,
            )
        if not transaction.checkout.connection.is_open:
            self._abort(transaction)
            raise TransactionLost(
                "The connection of the transaction was lost. It is rolled back; "
                "begin a new one."
            )
        transaction.is_busy = True
        return transaction

    def _abort(self, transaction: OpenTransaction) -> None:
        self._by_id.pop(transaction.transaction_id, None)
        transaction.checkout.release(is_clean=False)

    def _abort_stale(self) -> None:
        now = self._reactor.seconds()
        idle_s = self._settings.limits.transaction_idle_ms / 1000
        for transaction in list(self._by_id.values()):
            is_idle = (
                not transaction.is_busy and now - transaction.last_used_at > idle_s
            )
            if is_idle or not self._keys.is_valid(transaction.owner):
                self._abort(transaction)


def _create_commit_error(problem: TargetRefused) -> Exception:
    if problem.code == CODE_ID_REUSED:
        return RequestIdReused(
            "The Request-Id was used for another request; this one was not run."
        )
    if problem.code == CODE_STATEMENT_FAILED:
        return StatementFailed(problem.detail)
    return TransactionLost(
        f"The database did not commit: {problem.code}. "
        "It is rolled back; begin a new one."
    )
