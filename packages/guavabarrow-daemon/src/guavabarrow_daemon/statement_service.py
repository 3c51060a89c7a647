"""Runs the reads and writes of callers on the databases of a group."""

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
    TargetConnectionBroken,
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
    """Result of a read and the kind of database that served it."""

    result: Result
    is_replica: bool


class StatementService(Service):
    """Routes statements, retries them where that is safe and waits for durability.

    Parameters
    ----------
    kernel : Kernel
        Service registry.
    settings : Settings
        Read policy.
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
        self._retry_budget_by_service: dict[str, RetryBudget] = {}

    async def read(
        self,
        context: CallerContext,
        service: str,
        message: Execute,
        requirement: ReadRequirement,
    ) -> ReadResult:
        """Run a read on a database that is fresh enough.

        Parameters
        ----------
        context : CallerContext
            Caller.
        service : str
            Service that is read.
        message : Execute
            Statement; the required log position is filled in.
        requirement : ReadRequirement
            Required log position and maximum age.

        Returns
        -------
        ReadResult
            Result that satisfies the requirement.

        Raises
        ------
        RequestError
            If no database can be used before the deadline.
        """
        group = self._groups.find(service)
        message = msgspec.structs.replace(
            message,
            read=True,
            min_term=requirement.position.term,
            min_index=requirement.position.index,
        )
        budget = self._retry_budget(service)
        budget.deposit()
        failed: frozenset[str] = frozenset()
        while True:
            choice = await self._choose_database(context, group, requirement, failed)
            try:
                result = await self._execute(context, group, choice.database, message)
                return ReadResult(result, choice.is_replica)
            except (TargetConnectionBroken, TargetUnreachable) as error:
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
                    raise_request_error(problem)
                await group.wait_report(REPORT_WAIT_S)

    async def write(
        self, context: CallerContext, service: str, message: Execute
    ) -> Result:
        """Run a write and acknowledge it once no promotion can lose it.

        Parameters
        ----------
        context : CallerContext
            Caller; its token is advanced.
        service : str
            Service that is written.
        message : Execute
            Statement with its request id, which prevents it from running twice.

        Returns
        -------
        Result
            Result of the durable write.

        Raises
        ------
        RequestError
            If the write failed; its ``ran`` states whether the write ran.
        """
        group = self._groups.find(service)
        budget = self._retry_budget(service)
        budget.deposit()
        in_doubt = False
        while True:
            try:
                primary = await self.await_primary(group, context.deadline)
                result = await self._execute_write(context, group, primary, message)
            except TargetUnreachable:
                await group.wait_report(REPORT_WAIT_S)
                continue
            except TargetRefused as problem:
                self._check_retryable(problem, in_doubt)
                await group.wait_report(REPORT_WAIT_S)
                continue
            except TargetConnectionBroken as error:
                in_doubt = True
                await self._authorize_write_retry(
                    context, group, primary, budget, error
                )
                continue
            except RequestError as request_error:
                if in_doubt and request_error.ran is ExecutionStatus.NOT_RUN:
                    raise _outcome_unknown(request_error.detail) from request_error
                raise
            durability = await group.wait_durable(
                result.position, deadline=context.deadline
            )
            if durability is Durability.DURABLE:
                context.token = context.token.advanced(service, result.position)
                return result
            if durability is Durability.PENDING:
                raise _outcome_unknown(
                    "The write has not yet reached a majority of the databases."
                )
            in_doubt = False

    async def resolve(
        self, context: CallerContext, service: str, request_id: str
    ) -> Result | None:
        """Look up the outcome of a request whose answer was lost.

        Returns
        -------
        Result or None
            None if the request did not run and is now barred from running.

        Raises
        ------
        OutcomeUnknown
            If no primary answered before the deadline.
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
            except (TargetConnectionBroken, TargetRefused):
                checkout.release(is_clean=False)
                await group.wait_report(REPORT_WAIT_S)
                continue
            position = Result(term=answer.term, index=answer.index).position
            durability = await group.wait_durable(position, deadline=deadline)
            if durability is Durability.DURABLE:
                context.token = context.token.advanced(service, position)
                return answer.result
        raise _outcome_unknown("No primary reported the outcome before the deadline.")

    async def await_primary(self, group: Group, deadline: float) -> DatabaseReport:
        """Wait until the group has a primary that accepts writes.

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
        """Check out a connection to the primary and return it with the term."""
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

    async def _execute_write(
        self,
        context: CallerContext,
        group: Group,
        primary: DatabaseReport,
        message: Execute,
    ) -> Result:
        term = primary.lineage.last.term
        message = msgspec.structs.replace(message, term=term, read=False)
        return await self._execute(context, group, primary.database, message)

    async def _authorize_write_retry(
        self,
        context: CallerContext,
        group: Group,
        primary: DatabaseReport,
        budget: RetryBudget,
        error: TargetConnectionBroken,
    ) -> None:
        """Wait until a write in doubt can be retried, and charge the retry budget.

        The retry carries the same request id, so it cannot run twice. Only a retry
        at the same primary is charged: a failover retries every write in progress
        once, which loads the new primary with no more than the callers' own writes.
        """
        is_still_primary = await group.wait_until_checked(
            primary.database,
            since=self._reactor.seconds(),
            deadline=context.deadline,
        )
        if is_still_primary and not budget.withdraw():
            raise _outcome_unknown(str(error)) from error
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
        if not self._keys.is_valid(context.owner):
            checkout.release(is_clean=True)
            raise Unauthenticated("The key was withdrawn; the request was not run.")
        return checkout

    async def _choose_database(
        self,
        context: CallerContext,
        group: Group,
        requirement: ReadRequirement,
        failed: frozenset[str],
    ) -> ReadFrom:
        while True:
            now = self._reactor.seconds()
            route = self._policy.route(
                requirement,
                view=group.view,
                leaving=group.monitor.leaving | failed,
                load=group_load(group),
                waited_s=now - requirement.arrived_at,
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
                group.probe_all()
            await group.wait_report(min(wait_s, remaining_s))

    def _check_retryable(self, problem: TargetRefused, in_doubt: bool) -> None:
        if problem.code == CODE_NOT_PRIMARY:
            return
        if in_doubt and problem.code == CODE_STATEMENT_FAILED:
            raise _outcome_unknown(problem.detail) from problem
        raise_request_error(problem)

    def _retry_budget(self, service: str) -> RetryBudget:
        return self._retry_budget_by_service.setdefault(service, RetryBudget())


def create_read_policy(name: str) -> ReadPolicy:
    """Return the read policy that the settings name."""
    policies: dict[str, type[ReadPolicy]] = {
        "adaptive": AdaptiveReadPolicy,
        "fixed_wait": FixedWaitReadPolicy,
        "primary_only": PrimaryOnlyReadPolicy,
    }
    return policies[name]()


def group_load(group: Group) -> PoolLoad:
    """Return the number of outstanding statements per pool of a group."""
    return PoolLoad(
        {name: pool.outstanding for name, pool in group.targets.pool_by_target.items()}
    )


def raise_request_error(problem: TargetRefused) -> NoReturn:
    """Raise the caller's error for a statement that a database refused."""
    match problem.code:
        case code if code == CODE_STATEMENT_FAILED:
            raise StatementFailed(problem.detail) from problem
        case code if code == CODE_WRITE_IN_READ:
            raise BadRequest(
                "The statement writes; send it without read: true."
            ) from problem
        case code if code == CODE_ID_REUSED:
            raise RequestIdReused(
                "The Request-Id was used for another request; this one was not run."
            ) from problem
        case code if code == CODE_MUST_NOT_RUN:
            raise DeadlineExceeded(
                "The request was already reported as not run and cannot run any more; "
                "use a new Request-Id."
            ) from problem
    raise Overloaded(
        f"The database refused the request: {problem.code}.",
        retry_after_s=RETRY_AFTER_S,
    ) from problem


def _outcome_unknown(detail: str) -> OutcomeUnknown:
    return OutcomeUnknown(
        f"{detail} Repeat the request with the same Request-Id to get its outcome.",
        retry_after_s=RETRY_AFTER_S,
    )
