"""Runs the statements that other VMs of the failure domain hand over to this VM."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from twisted.internet.task import deferLater

from guavabarrow_core.exceptions import SessionError
from guavabarrow_core.session_messages import FailureCode, Reply, StatementKind
from guavabarrow_daemon.fleet.fleet_service import FleetService
from guavabarrow_daemon.fleet.hosted_messages import (
    HostedOperation,
    HostedReply,
    HostedStatement,
)
from guavabarrow_daemon.fleet.peer_links import PeerLinks
from guavabarrow_daemon.fleet.service_hosts import ServiceHosts
from guavabarrow_daemon.front.hosted_codec import (
    OPENED,
    create_context,
    decode_statement,
    encode_refusal,
    encode_reply,
    encode_superseded,
)
from guavabarrow_daemon.front.hosted_origin import HostedWork, Origin
from guavabarrow_daemon.front.session_router import SessionRouter
from guavabarrow_daemon.front.statement_context import RouteChanged
from guavabarrow_daemon.kernel import Kernel, Service
from guavabarrow_daemon.operations.clock import now_s
from guavabarrow_daemon.operations.decision_log import log_decision
from guavabarrow_daemon.operations.session_metrics import SessionMetrics

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavabarrow_core.drain_schedule import DrainSchedule
    from guavabarrow_core.session_messages import Statement
    from guavabarrow_core.session_values import PreparedShape
    from guavabarrow_daemon.fleet.fleet_messages import FleetMessage
    from guavabarrow_daemon.front.statement_context import StatementContext

CHECK_INTERVAL_S = 0.25
"""Interval at which idle transactions are looked for while there are any."""

IDLE_MARGIN_S = 1.0
"""Time beyond ``idle_transaction_s`` after which the host rolls back. The caller's VM
does so first; this is for one that lost its state of the transaction."""

DEFAULT_IDLE_S = 3.0
"""Used until there is a configuration."""

ACTING_S = 2.0
"""Time after the last statement for which this VM counts as host of a service; as long
as other VMs bypass the host that they prefer."""

DRAIN_POLL_S = 0.05

MAX_ROWS_CHARACTERS = 1_000_000
"""Size of the rows of an answer; with four bytes a character the message stays below
the limit of a link, which would otherwise be closed."""


@dataclass(frozen=True, slots=True)
class HostedServiceStatus:
    """Where the statements of one service run, as one VM sees it.

    Parameters
    ----------
    is_hosted : bool
        Whether hosts run the service's statements.
    host : str
        The VM that runs this VM's statements; its own name if it does so itself.
    is_host : bool
        Whether this VM hosts the service.
    statements, transactions : int
        Running statements and open transactions of other VMs at this VM.
    origins : tuple of str
        The VMs that they come from.
    """

    is_hosted: bool
    host: str
    is_host: bool
    statements: int
    transactions: int
    origins: tuple[str, ...]


class ServiceHostService(Service):
    """Statements and transactions that this VM runs as a host.

    Attributes
    ----------
    drain_schedule : DrainSchedule or None
        How this VM stops as planned, None unless it does.
    """

    name = "service_host"

    def __init__(self, kernel: Kernel, reactor: Any) -> None:
        super().__init__(kernel)
        self._reactor = reactor
        self._fleet = kernel.find(FleetService)
        self._links = kernel.find(PeerLinks)
        self._hosts = kernel.find(ServiceHosts)
        self._router = kernel.find(SessionRouter)
        self._metrics = kernel.find(SessionMetrics)
        self._origin_by_vm: dict[str, Origin] = {}
        self._served_at_by_service: dict[str, float] = {}
        self.drain_schedule: DrainSchedule | None = None
        self._check_loop = kernel.tasks.create_periodic(
            "hosted_work_check", self._check, reactor
        )

    async def start(self) -> None:
        """Subscribe to the statements of other VMs."""
        self._links.on_peer_message.append(self._on_message)
        self._links.on_peer_lost.append(self._on_peer_lost)
        self._links.link_users.append(self._uses_link)

    async def stop(self) -> None:
        """Roll back what is left; callers' VMs see the links end."""
        for vm in list(self._origin_by_vm):
            self._on_peer_lost(vm)
        if self._check_loop.running:
            self._check_loop.stop()

    @property
    def open_work(self) -> int:
        """Number of statements and transactions of other VMs."""
        return sum(origin.open_work for origin in self._origin_by_vm.values())

    async def drain(self, schedule: DrainSchedule) -> None:
        """Wait for the work of other VMs to end, and roll back what can't in time."""
        while self.open_work and now_s() < schedule.answer_by:
            if now_s() >= schedule.finish_by:
                self._roll_back_idle_transactions()
            await deferLater(self._reactor, DRAIN_POLL_S, lambda: None)
        if self.open_work:
            log_decision("hosted_work_left", open_work=self.open_work)

    def _roll_back_idle_transactions(self) -> None:
        for origin in self._origin_by_vm.values():
            for number, work in list(origin.work_by_number.items()):
                if not work.is_running:
                    self._roll_back(origin, number, work)

    def overview(self) -> dict[str, HostedServiceStatus]:
        """Return where the statements of each configured service run, by service."""
        configuration = self._fleet.configuration
        services = configuration.limits_by_service if configuration else {}
        plan = self._fleet.host_selection
        status_by_service = {}
        for service in services:
            origins = [
                origin
                for origin in self._origin_by_vm.values()
                if origin.running_by_service[service]
                or origin.count_transactions(service)
            ]
            status_by_service[service] = HostedServiceStatus(
                is_hosted=plan.is_hosted(service),
                host=plan.select(service, self._hosts.is_bypassed),
                is_host=plan.is_host(service),
                statements=sum(o.running_by_service[service] for o in origins),
                transactions=sum(o.count_transactions(service) for o in origins),
                origins=tuple(sorted(origin.vm for origin in origins)),
            )
        return status_by_service

    def _on_message(self, vm: str, message: FleetMessage) -> None:
        if not isinstance(message, HostedStatement):
            return
        origin = self._find_origin(vm)
        if message.operation is HostedOperation.ROLL_BACK:
            work = origin.work_by_number.get(message.transaction)
            if work is not None:
                self._roll_back(origin, message.transaction, work)
            return
        self._record_served(message.service)
        self.kernel.tasks.start("hosted_statement", self._serve(origin, message))

    def _find_origin(self, vm: str) -> Origin:
        origin = self._origin_by_vm.get(vm)
        if origin is None:
            origin = self._origin_by_vm[vm] = Origin(vm)
        return origin

    def _record_served(self, service: str) -> None:
        self._metrics.hosted_statements.labels("served").inc()
        self._served_at_by_service[service] = now_s()
        self._fleet.host_selection.acting.add(service)
        if not self._check_loop.running:
            self._check_loop.start(CHECK_INTERVAL_S, now=False)

    async def _serve(self, origin: Origin, message: HostedStatement) -> None:
        now = now_s()
        # A message may have waited in a buffer while this VM was suspended.
        excess_s = origin.delay.excess_s(sent_at=message.sent_at, now=now)
        deadline = now + message.remaining_s - excess_s
        if self.drain_schedule is not None:
            deadline = min(deadline, self.drain_schedule.answer_by)
        context = create_context(
            message,
            arrived_at=now,
            deadline=deadline,
            is_route_current=self._create_route_check(message),
        )
        origin.running_by_service[message.service] += 1
        try:
            answer = await self._answer(origin, message, context)
        except SessionError as error:
            answer = encode_refusal(message.number, error, context)
        except RouteChanged:
            answer = encode_superseded(message.number, context)
        except Exception as error:
            log_decision(
                "hosted_statement_failed_internally",
                origin=origin.vm,
                request=message.request_id,
                error=repr(error),
            )
            work = origin.work_by_number.get(message.transaction)
            if work is not None:
                self._roll_back(origin, message.transaction, work)
            failure = SessionError(FailureCode.OUTCOME_UNKNOWN, "internal error")
            answer = encode_refusal(message.number, failure, context)
        finally:
            origin.running_by_service[message.service] -= 1
        if not origin.has_left:
            self._links.send(origin.vm, answer)

    def _create_route_check(self, message: HostedStatement) -> Callable[[], bool]:
        """Return what tells whether a change may concern a statement that waits here.

        Only its sender knows the key and decides.
        """
        arrived_with = self._fleet.configuration

        def is_route_current() -> bool:
            configuration = self._fleet.configuration
            if configuration is arrived_with:
                return True
            if configuration is None or arrived_with is None:
                return True
            return not configuration.may_concern(
                arrived_with, message.service, message.team
            )

        return is_route_current

    async def _answer(
        self, origin: Origin, message: HostedStatement, context: StatementContext
    ) -> HostedReply:
        operation, number = message.operation, message.number
        is_late = context.remaining_s <= 0.0
        if operation is HostedOperation.IN_TRANSACTION:
            return await self._run_in_transaction(origin, message, context, is_late)
        if is_late:
            raise SessionError(
                FailureCode.OVERLOADED, "The statement reached its host too late."
            )
        if operation in (HostedOperation.BEGIN, HostedOperation.BEGIN_READ_ONLY):
            return await self._begin(origin, message, context)
        statement, shape = decode_statement(message)
        if operation is HostedOperation.READ:
            reply = await self._router.run_read(context, statement, shape)
        else:
            reply = await self._router.run_write(context, statement, shape)
        _check_size(reply, is_write=operation is HostedOperation.WRITE)
        return encode_reply(number, reply, context)

    async def _begin(
        self, origin: Origin, message: HostedStatement, context: StatementContext
    ) -> HostedReply:
        work = HostedWork(message.service, now_s())
        origin.work_by_number[message.number] = work
        try:
            transaction = await self._router.begin(
                context,
                is_read_only=message.operation is HostedOperation.BEGIN_READ_ONLY,
            )
        except BaseException:
            origin.work_by_number.pop(message.number, None)
            raise
        work.transaction = transaction
        self._end_statement(origin, message.number, work)
        if work.is_cancelled:
            raise SessionError(FailureCode.ABORTED, "The transaction was given up.")
        return encode_reply(message.number, OPENED, context, transaction)

    async def _run_in_transaction(
        self,
        origin: Origin,
        message: HostedStatement,
        context: StatementContext,
        is_late: bool,
    ) -> HostedReply:
        number = message.transaction
        work = origin.work_by_number.get(number)
        if work is None or work.transaction is None or work.is_running:
            raise SessionError(FailureCode.ABORTED, "The transaction was rolled back.")
        if is_late:
            self._roll_back(origin, number, work)
            raise SessionError(
                FailureCode.ABORTED, "The statement reached its host too late."
            )
        schedule = self.drain_schedule
        if schedule is not None and not schedule.accepts(now_s(), message.objective_s):
            self._roll_back(origin, number, work)
            raise SessionError(FailureCode.ABORTED, "The host is stopping.")
        statement, shape = decode_statement(message)
        work.is_running = True
        work.is_committing = statement.kind is StatementKind.COMMIT
        try:
            reply = await self._run(work.transaction, context, statement, shape)
        finally:
            self._end_statement(origin, number, work)
        return encode_reply(message.number, reply, context, work.transaction)

    async def _run(
        self,
        transaction: Any,
        context: StatementContext,
        statement: Statement,
        shape: PreparedShape | None,
    ) -> Reply:
        reply = await self._router.run_in_transaction(
            context, transaction, statement, shape
        )
        try:
            _check_size(reply, is_write=statement.kind is StatementKind.COMMIT)
        except SessionError:
            await self._router.roll_back(transaction)
            raise
        return reply

    def _end_statement(self, origin: Origin, number: int, work: HostedWork) -> None:
        """Record that a statement of a transaction has ended, and drop it if it has."""
        work.is_running = work.is_committing = False
        work.last_active_at = now_s()
        if work.is_cancelled:
            self._roll_back(origin, number, work)
        elif work.transaction is None or work.transaction.has_ended:
            origin.work_by_number.pop(number, None)

    def _roll_back(self, origin: Origin, number: int, work: HostedWork) -> None:
        """Roll back a transaction now, or once BEGIN or COMMIT has ended."""
        work.is_cancelled = True
        if work.transaction is None or work.is_committing:
            return
        origin.work_by_number.pop(number, None)
        self.kernel.tasks.start(
            "hosted_roll_back", self._router.roll_back(work.transaction)
        )

    def _on_peer_lost(self, vm: str) -> None:
        origin = self._origin_by_vm.pop(vm, None)
        if origin is None:
            return
        origin.has_left = True
        if origin.work_by_number:
            log_decision(
                "hosted_transactions_rolled_back",
                origin=vm,
                reason="link_lost",
                count=len(origin.work_by_number),
            )
        for number, work in list(origin.work_by_number.items()):
            self._roll_back(origin, number, work)

    def _uses_link(self, vm: str) -> bool:
        origin = self._origin_by_vm.get(vm)
        return origin is not None and origin.open_work > 0

    def _check(self) -> None:
        """Roll back idle transactions, and end the role of host where it is unused."""
        now = now_s()
        configuration = self._fleet.configuration
        limit_s = configuration.idle_transaction_s if configuration else DEFAULT_IDLE_S
        for origin in self._origin_by_vm.values():
            for number, work in list(origin.work_by_number.items()):
                idle_s = now - work.last_active_at
                if work.is_running or idle_s < limit_s + IDLE_MARGIN_S:
                    continue
                log_decision(
                    "hosted_transactions_rolled_back",
                    origin=origin.vm,
                    reason="idle",
                    count=1,
                )
                self._roll_back(origin, number, work)
        for service, served_at in list(self._served_at_by_service.items()):
            if now - served_at > ACTING_S:
                del self._served_at_by_service[service]
                self._fleet.host_selection.acting.discard(service)
        if not self._served_at_by_service and not self.open_work:
            self._check_loop.stop()


def _check_size(reply: Reply, *, is_write: bool) -> None:
    """Refuse rows that exceed the size of a message between VMs.

    Raises
    ------
    SessionError
        If they do.
    """
    if sum(map(len, reply.rows)) <= MAX_ROWS_CHARACTERS:
        return
    code = FailureCode.OUTCOME_UNKNOWN if is_write else FailureCode.FAILED
    raise SessionError(code, "The result is too large for a message between VMs.")
