"""Chooses the target of a statement: fresh enough, usable, and soonest to answer."""

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
    from guavabarrow_daemon.front.work import Work
    from guavabarrow_daemon.targets.session_connection import SessionConnection
    from guavabarrow_daemon.targets.session_pool import SessionPool

BEHIND_PAUSE_S = 0.08
"""A replica that lacked a position is not asked for it again this soon."""

RETRY_ADVICE_S = 0.5
"""When a caller should return if no primary can be used; a usual promotion."""

MIN_WAIT_S = 0.005
"""Less is not worth waiting for."""

HANDSHAKE_S = 0.03
"""Cost of a new connection: its slot at the target, a round trip, and the connection
of another team that it may displace."""


class TargetChooser(Service):
    """Chooses targets, and waits for a primary that is being replaced."""

    name = "target_chooser"

    def __init__(self, kernel: Kernel, reactor: Any) -> None:
        super().__init__(kernel)
        self._reactor = reactor
        self._directory = kernel.find(DirectoryService)
        self._primary_service = kernel.find(PrimaryService)
        self._behind_until: dict[str, float] = {}

    def note_behind(self, target_id: str) -> None:
        """Pass a replica over for a moment because it lacked a position."""
        self._behind_until[target_id] = now_s() + BEHIND_PAUSE_S

    async def choose_reader(
        self, work: Work, failed: set[str]
    ) -> tuple[SessionPool, LogPosition | None]:
        """Return the pool of the target that a read or read-only transaction goes to.

        Parameters
        ----------
        work : Work
            What it is for.
        failed : set of str
            Targets that failed it before.

        Returns
        -------
        tuple of SessionPool and (LogPosition or None)
            With the position that the target's log must hold, None at the primary.

        Raises
        ------
        SessionError
            If there is none.
        """
        now = now_s()
        route = work.route
        primary = self._primary_service.primary(route.service)
        candidates: list[tuple[float, TargetEntry, LogPosition | None]] = []
        required = None
        if route.consistency is not Consistency.PRIMARY:
            required = self._primary_service.history(route.service).required_position(
                now=work.began_at, max_age_s=route.max_age_s
            )
        if required is not None:
            if work.session_position is not None:
                required = max(required, work.session_position)
            for entry in self._directory.usable_targets(route.service):
                is_primary = primary is not None and entry == primary
                if is_primary or entry.target_id in failed:
                    continue
                if now < self._behind_until.get(entry.target_id, 0.0):
                    continue
                expected = self._expected_s(entry, work.team, now)
                candidates.append((expected, entry, required))
        if primary is not None and primary.target_id not in failed:
            expected = self._expected_s(primary, work.team, now)
            candidates.append((expected, primary, None))
        if candidates:
            _, entry, after = min(candidates, key=lambda candidate: candidate[0])
            return self._directory.pool(entry), after
        entry = await self._await_primary(work)
        if entry.target_id in failed:
            raise SessionError(FailureCode.OVERLOADED, "Every target failed.")
        return self._directory.pool(entry), None

    async def acquire_primary(
        self, work: Work
    ) -> tuple[SessionPool, SessionConnection]:
        """Return a connection to the primary that may be used now.

        Raises
        ------
        SessionError
            If there is none, or none in time.
        """
        service = work.route.service
        while True:
            entry = await self._await_primary(work)
            pool = self._directory.pool(entry)
            try:
                connection = await pool.acquire(
                    work.team, priority=work.route.priority, deadline=work.hold_until
                )
            except SessionError:
                if self._primary_service.may_use(service, entry.target_id):
                    raise
                continue
            if self._primary_service.may_use(service, entry.target_id):
                return pool, connection
            pool.release(connection)

    async def _await_primary(self, work: Work) -> TargetEntry:
        service = work.route.service
        while True:
            entry = self._primary_service.primary(service)
            if entry is not None:
                return entry
            remaining_s = min(
                work.remaining_s, self._primary_service.replacement_wait_s(service)
            )
            if remaining_s <= MIN_WAIT_S:
                raise SessionError(
                    FailureCode.OVERLOADED,
                    "No primary can be used now.",
                    retry_after_s=RETRY_ADVICE_S,
                )
            changed = self._primary_service.when_changed(service)
            changed.addTimeout(remaining_s, self._reactor)
            try:
                await changed
            except TimeoutError:
                continue

    def _expected_s(self, entry: TargetEntry, team: str, now: float) -> float:
        pool = self._directory.pool(entry)
        is_local = entry.domain == self._directory.domain
        expected = pool.load.expected_s(now, is_local=is_local)
        expected += pool.wait_s
        return expected if pool.has_idle(team) else expected + HANDSHAKE_S
