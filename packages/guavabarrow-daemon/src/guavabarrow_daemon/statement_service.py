"""Runs reads and writes of callers on the databases of a group."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, NoReturn

import msgspec

from guavabarrow_core.exceptions import (
    BadRequest,
    DeadlineExceeded,
    ExecutionStatus,
    NoFreshDatabase,
    NoPrimary,
    OutcomeUnknown,
    Overloaded,
    RequestError,
    RequestIdReused,
    StatementFailed,
    Unauthenticated,
)
from guavabarrow_core.group_view import Durability
from guavabarrow_core.read_router import (
    AdaptiveReadPolicy,
    FixedWaitReadPolicy,
    PoolLoad,
    PrimaryOnlyReadPolicy,
    ReadFrom,
    ReadPolicy,
    ReadRequirement,
    WaitForReport,
)
from guavabarrow_core.retry_budget import RetryBudget
from guavabarrow_daemon.group_service import GroupService
from guavabarrow_daemon.kernel import Kernel, Service
from guavabarrow_daemon.key_service import KeyService
from guavabarrow_daemon.metrics import Metrics
from guavabarrow_daemon.targets.http_messages import (
    CODE_BEHIND,
    CODE_ID_REUSED,
    CODE_MUST_NOT_RUN,
    CODE_NOT_PRIMARY,
    CODE_STATEMENT_FAILED,
    CODE_WRITE_IN_READ,
    Execute,
    Resolve,
    Result,
)
from guavabarrow_daemon.targets.interface import (
    TargetBroken,
    TargetRefused,
    TargetUnreachable,
)

if TYPE_CHECKING:
    from guavabarrow_core.group_view import DatabaseReport
    from guavabarrow_daemon.caller_context import CallerContext
    from guavabarrow_daemon.group import Group
    from guavabarrow_daemon.settings import Settings
    from guavabarrow_daemon.targets.permit_pool import Checkout

REPORT_WAIT_S = 0.25
RETRY_AFTER_S = 0.5


@dataclass(frozen=True, slots=True)
class ReadResult:
    """Result of a read and where it was read."""

    result: Result
    is_replica: bool


class StatementService(Service):
    """Routes statements, retries them where that is safe and waits for durability.

    Parameters
    ----------
    kernel : Kernel
        Registry.
    settings : Settings
        Policies.
    reactor : object
        Clock.
    """

    name = "statements"

    def __init__(self, kernel: Kernel, settings: Settings, reactor: Any) -> None:
        super().__init__(kernel)
        self._reactor = reactor
        self._groups = kernel.find(GroupService)
        self._keys = kernel.find(KeyService)
        self._metrics = kernel.find(Metrics)
        self._policy = create_read_policy(settings.policies.reads)
        self._budget_by_service: dict[str, RetryBudget] = {}

    async def read(
        self,
        context: CallerContext,
        service: str,
        message: Execute,
        demand: ReadRequirement,
    ) -> ReadResult:
        """Run a read on a database that satisfies the demand.

        Parameters
        ----------
        context : CallerContext
            Caller.
        service : str
            Service that is read.
        message : Execute
            Statement; the required position is filled in.
        demand : ReadRequirement
            Position and age.

        Returns
        -------
        ReadResult
            Never older than demanded.

        Raises
        ------
        RequestError
            If no database can be used before the deadline.
        """
        group = self._groups.find(service)
        message = msgspec.structs.replace(
            message,
            read=True,
            min_term=demand.position.term,
            min_index=demand.position.index,
        )
        budget = self._budget(service)
        budget.deposit()
        failed: frozenset[str] = frozenset()
        while True:
            choice = await self._choose(context, group, demand, failed)
            try:
                result = await self._execute(context, group, choice.database, message)
                return ReadResult(result, choice.is_replica)
            except (TargetBroken, TargetUnreachable) as error:
                is_first = not failed
                failed = frozenset({choice.database})
                if not is_first and not budget.withdraw():
                    raise Overloaded(
                        f"The database failed and the retry budget is spent: {error}",
                        retry_after_s=RETRY_AFTER_S,
                    ) from error
                self._metrics.retries.labels(service).inc()
                if not is_first:
                    await group.wait_report(REPORT_WAIT_S)
            except TargetRefused as problem:
                if problem.code != CODE_BEHIND:
                    raise_refusal(problem)
                await group.wait_report(REPORT_WAIT_S)

    async def write(
        self, context: CallerContext, service: str, message: Execute
    ) -> Result:
        """Run a write and acknowledge it once it survives every promotion.

        Parameters
        ----------
        context : CallerContext
            Caller; its token is advanced.
        service : str
            Service that is written.
        message : Execute
            Statement with its request id; a repeat of the id cannot run twice.

        Returns
        -------
        Result
            Durable result.

        Raises
        ------
        RequestError
            States whether the write ran.
        """
        group = self._groups.find(service)
        budget = self._budget(service)
        budget.deposit()
        in_doubt = False
        while True:
            try:
                primary = await self.await_primary(group, context.deadline)
                result = await self._write_at(context, group, primary, message)
            except TargetUnreachable:
                await group.wait_report(REPORT_WAIT_S)
                continue
            except TargetRefused as problem:
                self._check_retryable(problem, in_doubt)
                await group.wait_report(REPORT_WAIT_S)
                continue
            except TargetBroken as error:
                in_doubt = True
                await self._check_budget(context, group, primary, budget, error)
                continue
            except RequestError as refusal:
                if in_doubt and refusal.ran is ExecutionStatus.NOT_RUN:
                    raise _unknown(refusal.detail) from refusal
                raise
            durability = await group.wait_durable(
                result.position, deadline=context.deadline
            )
            if durability is Durability.DURABLE:
                context.token = context.token.advanced(service, result.position)
                return result
            if durability is Durability.PENDING:
                raise _unknown("The write is not yet on a majority of the databases.")
            in_doubt = False

    async def resolve(
        self, context: CallerContext, service: str, request_id: str
    ) -> Result | None:
        """Learn the outcome of a request whose answer was lost.

        Returns
        -------
        Result or None
            None if it never ran and never will.

        Raises
        ------
        OutcomeUnknown
            If no primary could tell before the deadline.
        """
        group = self._groups.find(service)
        deadline = context.deadline
        while self._reactor.seconds() < deadline:
            try:
                primary = await self.await_primary(group, deadline)
                checkout = await self._checkout(
                    context, group, primary.database, deadline
                )
            except (RequestError, TargetUnreachable):
                continue
            message = Resolve(primary.lineage.last.term, context.team, request_id)
            timeout_s = deadline - self._reactor.seconds()
            try:
                answer = await checkout.connection.resolve(message, timeout_s=timeout_s)
                checkout.release(is_clean=True)
            except (TargetBroken, TargetRefused):
                checkout.release(is_clean=False)
                await group.wait_report(REPORT_WAIT_S)
                continue
            position = Result(term=answer.term, index=answer.index).position
            durability = await group.wait_durable(position, deadline=deadline)
            if durability is Durability.DURABLE:
                context.token = context.token.advanced(service, position)
                return answer.result
        raise _unknown("No primary could tell the outcome before the deadline.")

    async def await_primary(self, group: Group, deadline: float) -> DatabaseReport:
        """Wait until the group has a primary that takes writes.

        Raises
        ------
        NoPrimary
            If the deadline passes.
        """
        while True:
            primary = group.view.primary
            if primary is not None and not group.monitor.pauses_writes:
                return primary
            remaining_s = deadline - self._reactor.seconds()
            if remaining_s <= 0:
                raise NoPrimary(
                    f"Service {group.name!r} had no primary before the deadline.",
                    retry_after_s=RETRY_AFTER_S,
                )
            await group.wait_report(min(REPORT_WAIT_S, remaining_s))

    async def checkout_primary(
        self, context: CallerContext, group: Group
    ) -> tuple[Checkout, int]:
        """Return a connection to the primary and the primary's term."""
        while True:
            primary = await self.await_primary(group, context.deadline)
            try:
                checkout = await self._checkout(
                    context, group, primary.database, context.deadline
                )
            except TargetUnreachable:
                await group.wait_report(REPORT_WAIT_S)
                continue
            return checkout, primary.lineage.last.term

    async def _write_at(
        self,
        context: CallerContext,
        group: Group,
        primary: DatabaseReport,
        message: Execute,
    ) -> Result:
        term = primary.lineage.last.term
        message = msgspec.structs.replace(message, term=term, read=False)
        return await self._execute(context, group, primary.database, message)

    async def _check_budget(
        self,
        context: CallerContext,
        group: Group,
        primary: DatabaseReport,
        budget: RetryBudget,
        error: TargetBroken,
    ) -> None:
        """Let a write in doubt be repeated; at the same primary within the budget.

        The repeat carries the same request id, so it cannot run twice. A failover
        repeats every write in progress once, which loads the new primary with no
        more than callers asked for.
        """
        is_alive = await group.wait_checked(
            primary.database,
            since=self._reactor.seconds(),
            deadline=context.deadline,
        )
        if is_alive and not budget.withdraw():
            raise _unknown(str(error)) from error
        self._metrics.retries.labels(group.name).inc()

    async def _execute(
        self, context: CallerContext, group: Group, database: str, message: Execute
    ) -> Result:
        checkout = await self._checkout(context, group, database, context.deadline)
        is_clean = False
        try:
            timeout_s = context.deadline - self._reactor.seconds()
            result = await checkout.connection.execute(message, timeout_s=timeout_s)
            is_clean = True
            return result
        except TargetRefused:
            is_clean = True
            raise
        finally:
            checkout.release(is_clean=is_clean)

    async def _checkout(
        self, context: CallerContext, group: Group, database: str, deadline: float
    ) -> Checkout:
        pool = group.targets.pool_by_target.get(database)
        if pool is None:
            raise TargetUnreachable(f"Target {database!r} is not configured.")
        checkout = await pool.acquire(
            team=context.team, weight=context.limits.weight, deadline=deadline
        )
        if not self._keys.is_in_force(context.owner):
            checkout.release(is_clean=True)
            raise Unauthenticated("The key was withdrawn; the request was not run.")
        return checkout

    async def _choose(
        self,
        context: CallerContext,
        group: Group,
        demand: ReadRequirement,
        failed: frozenset[str],
    ) -> ReadFrom:
        while True:
            now = self._reactor.seconds()
            route = self._policy.route(
                demand,
                view=group.view,
                leaving=group.monitor.leaving | failed,
                load=group_load(group),
                waited_s=now - demand.arrived_at,
                now=now,
            )
            if isinstance(route, ReadFrom):
                return route
            remaining_s = context.deadline - now
            if remaining_s <= 0:
                raise NoFreshDatabase(
                    "No reachable database satisfied the session token and the "
                    "stated age before the deadline.",
                    retry_after_s=RETRY_AFTER_S,
                )
            wait_s = REPORT_WAIT_S
            if isinstance(route, WaitForReport):
                wait_s = min(wait_s, route.timeout_s)
                group.confirm()
            await group.wait_report(min(wait_s, remaining_s))

    def _check_retryable(self, problem: TargetRefused, in_doubt: bool) -> None:
        if problem.code == CODE_NOT_PRIMARY:
            return
        if in_doubt and problem.code == CODE_STATEMENT_FAILED:
            raise _unknown(problem.detail) from problem
        raise_refusal(problem)

    def _budget(self, service: str) -> RetryBudget:
        return self._budget_by_service.setdefault(service, RetryBudget())


def create_read_policy(name: str) -> ReadPolicy:
    """Return the policy with this name in the settings."""
    policies: dict[str, type[ReadPolicy]] = {
        "adaptive": AdaptiveReadPolicy,
        "fixed_wait": FixedWaitReadPolicy,
        "primary_only": PrimaryOnlyReadPolicy,
    }
    return policies[name]()


def group_load(group: Group) -> PoolLoad:
    """Return the outstanding statements of a group's pools."""
    return PoolLoad(
        {name: pool.outstanding for name, pool in group.targets.pool_by_target.items()}
    )


def raise_refusal(problem: TargetRefused) -> NoReturn:
    """Raise the refusal that tells a caller about a database's refusal."""
    match problem.code:
        case code if code == CODE_STATEMENT_FAILED:
            raise StatementFailed(problem.detail) from problem
        case code if code == CODE_WRITE_IN_READ:
            raise BadRequest("The statement writes; send it without read.") from problem
        case code if code == CODE_ID_REUSED:
            raise RequestIdReused(
                "The Request-Id was used before with another request; not run."
            ) from problem
        case code if code == CODE_MUST_NOT_RUN:
            raise DeadlineExceeded(
                "The request was reported as not run before and stays so; "
                "use a new Request-Id."
            ) from problem
    raise Overloaded(
        f"The database refused the request: {problem.code}",
        retry_after_s=RETRY_AFTER_S,
    ) from problem


def _unknown(detail: str) -> OutcomeUnknown:
    return OutcomeUnknown(
        f"{detail} Repeat the request with the same Request-Id to learn its outcome.",
        retry_after_s=RETRY_AFTER_S,
    )
