"""Chooses the usable and fresh enough target with the lowest expected response time."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.internet.defer import TimeoutError

from guavabarrow_core.exceptions import SessionError
from guavabarrow_core.session_configuration import Consistency
from guavabarrow_core.session_messages import FailureCode
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
        self, context: StatementContext, failed: set[str]
    ) -> tuple[SessionPool, LogPosition | None]:
        """Choose the target of a read or read-only transaction.

        Parameters
        ----------
        context : StatementContext
            Context of the statement.
        failed : set of str
            Ids of targets that failed in earlier attempts.

        Returns
        -------
        tuple of SessionPool and (LogPosition or None)
            Pool of the target, and the log position that it must have reached; None at
            the primary.

        Raises
        ------
        SessionError
            If no target can be used.
        """
        now = now_s()
        route = context.route
        primary = self._primary_service.primary(route.service)
        candidates: list[tuple[float, TargetEntry, LogPosition | None]] = []
        required = None
        if route.consistency is not Consistency.PRIMARY:
            required = self._primary_service.history(route.service).required_position(
                now=context.began_at, max_age_s=route.max_age_s
            )
        if required is not None:
            if context.session_position is not None:
                required = max(required, context.session_position)
            for entry in self._directory.usable_targets(route.service):
                is_primary = primary is not None and entry == primary
                if is_primary or entry.target_id in failed:
                    continue
                if now < self._behind_until.get(entry.target_id, 0.0):
                    continue
                expected = self._expected_response_s(entry, context.team, now)
                candidates.append((expected, entry, required))
        if primary is not None and primary.target_id not in failed:
            expected = self._expected_response_s(primary, context.team, now)
            candidates.append((expected, primary, None))
        if candidates:
            _, entry, after = min(candidates, key=lambda candidate: candidate[0])
            return self._directory.pool(entry), after
        entry = await self._await_primary(context)
        if entry.target_id in failed:
            raise SessionError(FailureCode.OVERLOADED, "All targets failed.")
        return self._directory.pool(entry), None

    async def acquire_primary(
        self, context: StatementContext
    ) -> tuple[SessionPool, SessionConnection]:
        """Acquire a connection to the primary and check that it may still be used.

        Raises
        ------
        SessionError
            If no primary can be used, or no connection became free in time.
        """
        service = context.route.service
        while True:
            entry = await self._await_primary(context)
            pool = self._directory.pool(entry)
            try:
                connection = await pool.acquire(
                    context.team,
                    priority=context.route.priority,
                    deadline=context.acquire_deadline,
                )
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
            try:
                await changed
            except TimeoutError:
                continue

    def _expected_response_s(self, entry: TargetEntry, team: str, now: float) -> float:
        pool = self._directory.pool(entry)
        is_local = entry.domain == self._directory.domain
        expected = pool.load.expected_s(now, is_local=is_local)
        expected += pool.wait_s
        return expected if pool.has_idle(team) else expected + HANDSHAKE_COST_S
