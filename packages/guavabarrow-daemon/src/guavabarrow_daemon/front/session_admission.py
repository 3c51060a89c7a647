"""Resolves routes and teams of sessions, and records answers in metrics and log."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavabarrow_core.exceptions import SessionError
from guavabarrow_core.session_messages import FailureCode, StatementRequest
from guavabarrow_daemon.fleet.fleet_service import FleetService
from guavabarrow_daemon.fleet.rate_service import RateService
from guavabarrow_daemon.kernel import Kernel, Service
from guavabarrow_daemon.operations.clock import now_s
from guavabarrow_daemon.operations.decision_log import (
    SUCCESS_LOG_INTERVAL,
    log_decision,
)
from guavabarrow_daemon.operations.session_metrics import SessionMetrics

if TYPE_CHECKING:
    from guavabarrow_core.drain_schedule import DrainSchedule
    from guavabarrow_core.session_configuration import Route, SessionConfiguration

ANONYMOUS_TEAM = "-"
"""Team sent to targets for callers without a known key on an open route."""


class SessionAdmission(Service):
    """Access checks and answer statistics of connected sessions.

    Attributes
    ----------
    drain : DrainSchedule or None
        How this VM stops as planned, None unless it does.
    """

    name = "session_admission"

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self.rates = kernel.find(RateService)
        self._fleet = kernel.find(FleetService)
        self._metrics = kernel.find(SessionMetrics)
        self._successes = 0
        self.drain: DrainSchedule | None = None

    @property
    def configuration(self) -> SessionConfiguration | None:
        """Configuration in force."""
        return self._fleet.configuration

    def has_confirmed_orders(self) -> bool:
        """Return whether operations may begin by the configuration in force."""
        orders = self._fleet.orders
        return orders.is_confirmed() or orders.configuration is None

    async def wait_for_orders(self) -> None:
        """Wait until operations may begin by the configuration in force."""
        while not self.has_confirmed_orders():
            await self._fleet.orders.when_confirmed()

    def look_up(self, database: str, key: str) -> tuple[Route, str]:
        """Return the route of a database and the team of a key.

        Raises
        ------
        SessionError
            If the database is unknown, the key is unknown on a route that requires one,
            or there is no configuration yet.
        """
        configuration = self._fleet.configuration
        if configuration is None:
            raise SessionError(FailureCode.OVERLOADED, "no configuration yet")
        route = configuration.route_by_database.get(database)
        if route is None:
            raise SessionError(FailureCode.UNKNOWN_DATABASE, "unknown database")
        if key not in configuration.team_by_key and not route.is_open:
            raise SessionError(FailureCode.UNAUTHORIZED, "unknown key")
        return route, self.team_of(key)

    def team_of(self, key: str) -> str:
        """Return the team that holds a key, ``ANONYMOUS_TEAM`` if none does."""
        configuration = self._fleet.configuration
        teams = configuration.team_by_key if configuration is not None else {}
        return teams.get(key, ANONYMOUS_TEAM)

    def is_in_force(self, database: str, key: str, route: Route, team: str) -> bool:
        """Return whether an operation may be sent to a target by a route and team.

        Timeouts, objective and priority are those with which the operation began.
        """
        try:
            current, current_team = self.look_up(database, key)
        except SessionError:
            return False
        return current_team == team and current.runs_like(route)

    def is_withdrawn(self, key: str, database: str) -> bool:
        """Return whether a session's key or route is no longer in force."""
        try:
            self.look_up(database, key)
        except SessionError:
            return True
        return False

    def record_answer(
        self,
        route: Route | None,
        request: StatementRequest,
        result: str,
        received_at: float,
        detail: str,
    ) -> None:
        """Update the metrics, and log every failure and a sample of successes."""
        elapsed_s = now_s() - received_at
        consistency = route.consistency.value if route else "none"
        outcome = "completed" if result == "completed" else "failed"
        self._metrics.statements.labels(consistency, result).inc()
        self._metrics.latency.labels(consistency, outcome).observe(elapsed_s)
        if result == "completed":
            self._successes += 1
            if self._successes % SUCCESS_LOG_INTERVAL:
                return
        log_decision(
            "statement_answered",
            request=request.request_id,
            kind=request.statement.kind.name,
            consistency=consistency,
            service=route.service if route else "",
            result=result,
            elapsed_ms=round(elapsed_s * 1000, 1),
            configuration=self.configuration.version if self.configuration else 0,
            table_age_s=self._fleet.table_age_s(),
            detail=detail,
        )
