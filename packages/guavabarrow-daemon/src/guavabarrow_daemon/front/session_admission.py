"""Which route and team a session has, and whether an operation may start."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from guavabarrow_core.exceptions import SessionFailure
from guavabarrow_core.operation_rate import OperationRates, RateTolerance
from guavabarrow_core.session_messages import FailureCode, StatementRequest
from guavabarrow_daemon.fleet.fleet_service import FleetService
from guavabarrow_daemon.fleet.peer_links import PeerLinks
from guavabarrow_daemon.kernel import Kernel, Service
from guavabarrow_daemon.operations.clock import now_s
from guavabarrow_daemon.operations.decision_log import SUCCESS_SAMPLE, log_decision
from guavabarrow_daemon.operations.session_metrics import SessionMetrics

if TYPE_CHECKING:
    from guavabarrow_core.fleet_state import VersionedRow
    from guavabarrow_core.session_configuration import Route, SessionConfiguration
    from guavabarrow_daemon.fleet.fleet_messages import Pulse
    from guavabarrow_daemon.session_settings import SessionVmSettings

SILENCED_AFTER_S = 9.0
"""A VM that is out of contact can't reach targets any longer after this time: its right
to use primaries has lapsed, and its observations are older than any stated age."""

FULL_PULSE_EVERY = 8
"""Every so many pulses all demand is told, whatever was missed."""

OPEN_TEAM = "-"
"""Told to targets where a route needs no key and none was given."""


class SessionAdmission(Service):
    """Routes, teams and rates of connected sessions."""

    name = "session_admission"

    def __init__(self, kernel: Kernel, settings: SessionVmSettings) -> None:
        super().__init__(kernel)
        self._fleet = kernel.find(FleetService)
        self._metrics = kernel.find(SessionMetrics)
        tolerance = RateTolerance(
            settings.rate_window_s, settings.rate_over, settings.rate_slack
        )
        self._rates = OperationRates(settings.vm, tolerance)
        self._successes = 0
        self._pulses = 0
        self._told_demand: dict[str, float] | None = None

    async def start(self) -> None:
        """Follow configuration and the other VMs' demand."""
        self.kernel.find(PeerLinks).on_peer_up.append(self._on_peer_up)
        self._fleet.on_orders.append(self._on_orders)
        self._fleet.on_pulse.append(self._on_pulse)
        self._fleet.on_rows.append(self._on_rows)
        self._fleet.fill_pulse.append(self._fill_pulse)

    @property
    def configuration(self) -> SessionConfiguration | None:
        """Version in force."""
        return self._fleet.configuration

    def look_up(self, database: str, key: str) -> tuple[Route, str]:
        """Return the route of a database and the team of a key.

        Raises
        ------
        SessionFailure
            If either is unknown.
        """
        configuration = self._fleet.configuration
        if configuration is None:
            raise SessionFailure(FailureCode.OVERLOADED, "not configured yet")
        route = configuration.route_by_database.get(database)
        if route is None:
            raise SessionFailure(FailureCode.UNKNOWN_DATABASE, "unknown database")
        team = configuration.team_by_key.get(key)
        if team is None:
            if not route.is_open:
                raise SessionFailure(FailureCode.UNAUTHORIZED, "unknown key")
            team = OPEN_TEAM
        return route, team

    def is_withdrawn(self, key: str, database: str) -> bool:
        """Tell whether a session's key or route is no longer in force."""
        try:
            self.look_up(database, key)
        except SessionFailure:
            return True
        return False

    def admit(self, team: str) -> None:
        """Let an operation start.

        Raises
        ------
        SessionFailure
            If the team is above its rate.
        """
        if not self._rates.admit(team, now_s()):
            raise SessionFailure(
                FailureCode.OVERLOADED,
                f"above its rate: {self._rates.describe(team)}",
                retry_after_s=self._rates.wait_s(team),
            )

    def give_back(self, team: str) -> None:
        """Return the token of an operation that reached no target."""
        self._rates.give_back(team)

    def count(
        self,
        route: Route | None,
        request: StatementRequest,
        result: str,
        received_at: float,
        detail: str,
    ) -> None:
        """Count an answer and log failures, and a sample of successes."""
        elapsed_s = now_s() - received_at
        consistency = route.consistency.value if route else "none"
        outcome = "completed" if result == "completed" else "failed"
        self._metrics.statements.labels(consistency, result).inc()
        self._metrics.latency.labels(consistency, outcome).observe(elapsed_s)
        if result == "completed":
            self._successes += 1
            if self._successes % SUCCESS_SAMPLE:
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

    def _on_orders(self) -> None:
        if self._fleet.configuration is not None:
            self._rates.configure(self._fleet.configuration.rates())

    def _on_peer_up(self, vm: str) -> None:
        # A VM that is linked anew knows none of the demand told before.
        self._told_demand = None

    def _on_rows(self, rows: list[VersionedRow]) -> None:
        self._set_members()

    def _set_members(self) -> None:
        now = now_s()
        state = self._fleet.state
        self._rates.set_members(
            frozenset(
                vm
                for vm, member in state.member_by_vm().items()
                if not member.is_out
                or now - state.out_known_at.get(vm, now) < SILENCED_AFTER_S
            )
        )

    def _on_pulse(self, vm: str, pulse: Pulse) -> None:
        self._rates.learn(vm, pulse.demand_by_team, now_s(), is_full=pulse.is_full)

    def _fill_pulse(self, fields: dict[str, Any]) -> None:
        self._set_members()
        demand = self._rates.demand(now_s())
        self._pulses += 1
        if self._pulses % FULL_PULSE_EVERY == 0:
            self._told_demand = None
        last = self._told_demand or {}
        fields["is_full"] = self._told_demand is None
        fields["demand_by_team"] = {
            team: demand.get(team, 0.0)
            for team in {*demand, *last}
            if demand.get(team, 0.0) != last.get(team)
        }
        self._told_demand = demand
