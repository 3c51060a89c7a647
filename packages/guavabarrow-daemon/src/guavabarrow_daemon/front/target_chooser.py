"""Chooses the usable and fresh enough target with the lowest expected response time."""

from __future__ import annotations

from contextlib import suppress
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import TimeoutError

from guavabarrow_core.exceptions import SessionError
from guavabarrow_core.response_baseline import WorkClass, WorkKind
from guavabarrow_core.session_configuration import Consistency
from guavabarrow_core.session_messages import FailureCode
from guavabarrow_core.statement_queue import longest_wait_s, may_retry_elsewhere
from guavabarrow_core.target_ranking import Candidate, Verdict, rank
from guavabarrow_daemon.fleet.directory_service import DirectoryService
from guavabarrow_daemon.fleet.primary_service import PrimaryService
from guavabarrow_daemon.kernel import Kernel, Service
from guavabarrow_daemon.operations.clock import now_s

if TYPE_CHECKING:
    from guavabarrow_core.log_position import LogPosition
    from guavabarrow_core.target_directory import TargetEntry
    from guavabarrow_daemon.front.statement_context import StatementContext
    from guavabarrow_daemon.targets.session_connection import SessionConnection
    from guavabarrow_daemon.targets.session_pool import SessionPool

BEHIND_PAUSE_S = 0.08
"""Time for which a replica that lacked the required log position isn't chosen again."""

RETRY_AFTER_S = 0.5
"""Retry delay advised to callers if no primary can be used: the time of a usual
promotion."""

MIN_WAIT_S = 0.005
"""With less time left to wait for a primary, a statement is refused at once."""

HANDSHAKE_COST_S = 0.03
"""Estimated cost of opening a connection: a slot at the target, a round trip, and the
connection of another team that may be closed for it."""


class TargetChooser(Service):
    """Chooses targets, and waits for a primary that is being replaced."""

    name = "target_chooser"

    def __init__(self, kernel: Kernel, reactor: Any) -> None:
        super().__init__(kernel)
        self._reactor = reactor
        self._directory = kernel.find(DirectoryService)
        self._primary_service = kernel.find(PrimaryService)
        self._behind_until: dict[str, float] = {}

    def mark_behind(self, target_id: str) -> None:
        """Exclude a replica for ``BEHIND_PAUSE_S`` because it lacked a log position."""
        self._behind_until[target_id] = now_s() + BEHIND_PAUSE_S

    def behind_s(self, target_id: str) -> float:
        """Return how long a replica that lacked a log position stays excluded, in s."""
        return max(0.0, self._behind_until.get(target_id, 0.0) - now_s())

    async def choose_read_target(
        self, context: StatementContext, failed: set[str], *, may_probe: bool = True
    ) -> tuple[SessionPool, LogPosition | None]:
        """Choose the target of a read or read-only transaction.

        Parameters
        ----------
        context : StatementContext
            Context of the statement.
        failed : set of str
            Ids of targets that failed in earlier attempts.
        may_probe : bool
            Whether the statement may probe a target that fails often.

        Returns
        -------
        tuple of SessionPool and (LogPosition or None)
            Pool of the target, and the log position that it must have reached; None at
            the primary.

        Raises
        ------
        SessionError
            If no target can be used.
        RouteChanged
            If the route or team changed or was withdrawn while no primary could be
            used.
        """
        now = now_s()
        candidates = self.explain_read(context, failed, now, may_probe=may_probe)
        for candidate in candidates:
            entry = self._directory.entry(candidate.target_id)
            if candidate.is_chosen and entry is not None:
                pool = self._directory.pool(entry)
                if candidate.verdict is Verdict.CHOSEN_AS_PROBE:
                    pool.load.begin_probe(now)
                return pool, candidate.after
        entry = await self._await_primary(context)
        if entry.target_id in failed:
            raise SessionError(FailureCode.OVERLOADED, "All targets failed.")
        return self._directory.pool(entry), None

    def may_retry(self, context: StatementContext, failed: set[str]) -> bool:
        """Return whether a read that failed at some targets is worth another attempt.

        It is not if all others are known to be full. Only a host knows.
        """
        pools = [
            self._directory.pool(entry)
            for entry in self._directory.usable_targets(context.route.service)
            if entry.target_id not in failed
        ]
        if not pools or not all(pool.is_host for pool in pools):
            return True
        return may_retry_elsewhere(
            (
                pool.expected_wait_s(context.team, context.route.priority)
                for pool in pools
            ),
            may_wait_s=longest_wait_s(
                context.acquire_deadline - now_s(), context.route.objective_s
            ),
            remaining_s=context.remaining_s,
        )

    def explain_read(
        self,
        context: StatementContext,
        failed: set[str],
        now: float,
        *,
        may_probe: bool = True,
    ) -> list[Candidate]:
        """Return all targets of a read's service with what is decided about them.

        Changes nothing: :meth:`choose_read_target` makes the choice that this method
        explains.

        Parameters
        ----------
        context : StatementContext
            Context of the statement.
        failed : set of str
            Ids of targets that failed in earlier attempts.
        now : float
            Local time, in s.
        may_probe : bool
            Whether the statement may probe a target that fails often.

        Returns
        -------
        list of Candidate
            At most one of them is chosen; if none is, the read waits for a primary.
        """
        route = context.route
        primary = self._primary_service.primary(route.service)
        required = self._required_position(context)
        candidates = []
        for entry in self._directory.directory.of_service(route.service):
            if primary is None or entry.target_id != primary.target_id:
                verdict = self._replica_verdict(entry, context, required, failed, now)
                candidates.append(
                    self._candidate(entry, context, now, verdict, after=required)
                )
        if primary is not None:
            has_failed = primary.target_id in failed
            verdict = Verdict.FAILED_BEFORE if has_failed else Verdict.SLOWER
            candidates.append(
                self._candidate(primary, context, now, verdict, is_primary=True)
            )
        return rank(candidates, may_probe=may_probe)

    def _required_position(self, context: StatementContext) -> LogPosition | None:
        route = context.route
        if route.consistency is Consistency.PRIMARY:
            return None
        required = self._primary_service.history(route.service).required_position(
            now=context.began_at, max_age_s=route.max_age_s
        )
        if required is not None and context.session_position is not None:
            return max(required, context.session_position)
        return required

    def _replica_verdict(
        self,
        entry: TargetEntry,
        context: StatementContext,
        required: LogPosition | None,
        failed: set[str],
        now: float,
    ) -> Verdict:
        """Return what excludes a replica, or ``SLOWER`` if nothing does."""
        if context.route.consistency is Consistency.PRIMARY:
            return Verdict.PRIMARY_ONLY
        if required is None:
            return Verdict.NO_POSITION
        if entry.is_draining:
            return Verdict.DRAINING
        if not self._directory.is_usable(entry.target_id):
            return Verdict.EVACUATED
        if entry.target_id in failed:
            return Verdict.FAILED_BEFORE
        if now < self._behind_until.get(entry.target_id, 0.0):
            return Verdict.BEHIND
        return Verdict.SLOWER

    def _candidate(
        self,
        entry: TargetEntry,
        context: StatementContext,
        now: float,
        verdict: Verdict,
        *,
        is_primary: bool = False,
        after: LogPosition | None = None,
    ) -> Candidate:
        pool = self._directory.current_pool(entry)
        load = pool.load if pool is not None else self._directory.new_load(entry)
        has_idle = pool is not None and pool.has_idle(context.team)
        work = WorkClass(WorkKind.READ, context.route.objective_s)
        is_local = entry.domain == self._directory.domain
        return Candidate(
            entry.target_id,
            entry.domain,
            is_primary,
            after,
            queue_s=(
                pool.expected_wait_s(context.team, context.route.priority)
                if pool is not None
                else 0.0
            ),
            handshake_s=0.0 if has_idle else HANDSHAKE_COST_S,
            time=load.expect(now, work, is_local=is_local, is_primary=is_primary),
            has_idle=has_idle,
            is_probed=load.is_probed,
            is_probe_due=load.is_probe_due(now),
            verdict=verdict,
        )

    async def acquire_primary(
        self, context: StatementContext, *, in_transaction: bool = False
    ) -> tuple[SessionPool, SessionConnection]:
        """Acquire a connection to the primary and check that it may still be used.

        Raises
        ------
        SessionError
            If no primary can be used, or no connection became free in time.
        RouteChanged
            If the route or team changed or was withdrawn meanwhile.
        """
        service = context.route.service
        while True:
            entry = await self._await_primary(context)
            pool = self._directory.pool(entry)
            try:
                connection = await context.acquire(pool, in_transaction=in_transaction)
            except SessionError:
                if self._primary_service.may_use(service, entry.target_id):
                    raise
                continue
            if self._primary_service.may_use(service, entry.target_id):
                return pool, connection
            pool.release(connection)

    async def _await_primary(self, context: StatementContext) -> TargetEntry:
        service = context.route.service
        while True:
            entry = self._primary_service.primary(service)
            if entry is not None:
                return entry
            remaining_s = min(
                context.remaining_s, self._primary_service.replacement_wait_s(service)
            )
            if remaining_s <= MIN_WAIT_S:
                raise SessionError(
                    FailureCode.OVERLOADED,
                    "No primary can be used now.",
                    retry_after_s=RETRY_AFTER_S,
                )
            changed = self._primary_service.when_changed(service)
            changed.addTimeout(remaining_s, self._reactor)
            with suppress(TimeoutError):
                await changed
            context.check_route()
