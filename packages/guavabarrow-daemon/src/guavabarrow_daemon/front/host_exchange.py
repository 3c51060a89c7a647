"""Sends statements to the hosts of services and waits for their answers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred, TimeoutError

from guavabarrow_daemon.fleet.hosted_messages import (
    HostedOperation,
    HostedReply,
    HostedStatement,
)
from guavabarrow_daemon.fleet.peer_links import PeerLinks
from guavabarrow_daemon.fleet.service_hosts import HostLossReason, ServiceHosts
from guavabarrow_daemon.front.hosted_codec import encode_statement
from guavabarrow_daemon.kernel import Kernel, Service

if TYPE_CHECKING:
    from guavabarrow_core.session_messages import Statement
    from guavabarrow_core.session_values import PreparedShape
    from guavabarrow_daemon.fleet.fleet_messages import FleetMessage
    from guavabarrow_daemon.front.statement_context import (
        HostedTransaction,
        StatementContext,
    )


class HostLost(Exception):
    """A host gave no answer.

    Parameters
    ----------
    host : str
        The VM.
    reason : HostLossReason
        Why; the statement was handed over unless the reason is ``NOT_LINKED``.
    """

    def __init__(self, host: str, reason: HostLossReason) -> None:
        super().__init__(f"{host}: {reason.value}")
        self.host = host
        self.reason = reason

    @property
    def was_handed_over(self) -> bool:
        """Whether the host may have received the statement."""
        return self.reason is not HostLossReason.NOT_LINKED


@dataclass(slots=True)
class PendingStatement:
    """A statement that awaits its host's answer."""

    host: str
    result: Deferred[HostedReply]


class HostExchange(Service):
    """Statements and transactions of this VM's callers at other VMs."""

    name = "host_exchange"

    def __init__(self, kernel: Kernel, reactor: Any) -> None:
        super().__init__(kernel)
        self._reactor = reactor
        self._links = kernel.find(PeerLinks)
        self._hosts = kernel.find(ServiceHosts)
        self._last_number = 0
        self._pending_by_number: dict[int, PendingStatement] = {}
        self._transactions_by_host: dict[str, set[HostedTransaction]] = {}

    async def start(self) -> None:
        """Subscribe to answers, and to the loss of hosts."""
        self._links.on_peer_message.append(self._on_message)
        self._links.on_peer_lost.append(self._on_peer_lost)
        self._links.link_users.append(self._uses_link)
        self._hosts.on_bypassed.append(self._fail_pending)

    async def run(
        self,
        host: str,
        context: StatementContext,
        operation: HostedOperation,
        statement: Statement,
        shape: PreparedShape | None = None,
        *,
        transaction: int = 0,
    ) -> HostedReply:
        """Hand a statement over to a host and wait for its answer.

        Raises
        ------
        HostLost
            If there is no answer; at the statement's deadline at the latest.
        """
        if not self._links.is_linked(host):
            raise HostLost(host, HostLossReason.NOT_LINKED)
        self._last_number += 1
        number = self._last_number
        message = encode_statement(
            context,
            operation,
            statement,
            shape,
            number=number,
            transaction=transaction,
        )
        result: Deferred[HostedReply] = Deferred()
        result.addTimeout(max(0.0, context.remaining_s), self._reactor)
        self._pending_by_number[number] = PendingStatement(host, result)
        self._hosts.begin_statement(host)
        self._links.send(host, message)
        try:
            reply = await result
        except (TimeoutError, HostLost) as error:
            if operation in (HostedOperation.BEGIN, HostedOperation.BEGIN_READ_ONLY):
                self._send_roll_back(host, number)
            if isinstance(error, HostLost):
                raise
            self._hosts.record_late(host)
            raise HostLost(host, HostLossReason.LATE) from error
        finally:
            self._pending_by_number.pop(number, None)
            self._hosts.end_statement(host)
        self._hosts.record_answer(host)
        context.failed_attempts.extend(reply.failed_attempts)
        context.was_sent_to_target |= reply.was_sent_to_target
        return reply

    def register(self, transaction: HostedTransaction) -> None:
        """Record a transaction that was opened; it ends with the link to its host."""
        by_host = self._transactions_by_host
        by_host.setdefault(transaction.host, set()).add(transaction)

    def end(self, transaction: HostedTransaction) -> None:
        """Record that a transaction has ended at its host."""
        transaction.has_ended = True
        transactions = self._transactions_by_host.get(transaction.host, set())
        transactions.discard(transaction)
        if not transactions:
            self._transactions_by_host.pop(transaction.host, None)

    def roll_back(self, transaction: HostedTransaction) -> None:
        """Have a transaction rolled back, without waiting for it."""
        if not transaction.has_ended:
            self._send_roll_back(transaction.host, transaction.number)
            self.end(transaction)

    def _send_roll_back(self, host: str, number: int) -> None:
        message = HostedStatement(0, HostedOperation.ROLL_BACK, transaction=number)
        self._links.send(host, message)

    def _on_message(self, vm: str, message: FleetMessage) -> None:
        if not isinstance(message, HostedReply):
            return
        pending = self._pending_by_number.get(message.number)
        if pending is not None and pending.host == vm and not pending.result.called:
            pending.result.callback(message)

    def _on_peer_lost(self, vm: str) -> None:
        """End the transactions at a host, which rolls them back when the link ends.

        Pending statements fail by way of ``ServiceHosts.on_bypassed``.
        """
        for transaction in self._transactions_by_host.pop(vm, set()):
            transaction.has_ended = True

    def _fail_pending(self, vm: str, reason: HostLossReason) -> None:
        for pending in list(self._pending_by_number.values()):
            if pending.host == vm and not pending.result.called:
                pending.result.errback(HostLost(vm, reason))

    def _uses_link(self, vm: str) -> bool:
        return vm in self._transactions_by_host or any(
            pending.host == vm for pending in self._pending_by_number.values()
        )
