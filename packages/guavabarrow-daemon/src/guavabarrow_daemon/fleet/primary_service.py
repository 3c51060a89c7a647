"""Selects the usable primary of each service and drains one that is being replaced."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred

from guavabarrow_core.fleet_state import (
    LeadPhase,
    LeadRow,
    VersionedRow,
    primary_row_key,
)
from guavabarrow_core.freshness import Observation, PrimaryHistory
from guavabarrow_daemon.fleet.directory_service import DirectoryService
from guavabarrow_daemon.fleet.fleet_messages import PrimaryUseStopped
from guavabarrow_daemon.fleet.fleet_service import FleetService
from guavabarrow_daemon.fleet.peer_links import PeerLinks
from guavabarrow_daemon.kernel import Kernel, Service
from guavabarrow_daemon.operations.clock import now_s
from guavabarrow_daemon.operations.decision_log import log_decision

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavabarrow_core.log_position import LogPosition
    from guavabarrow_core.target_directory import TargetEntry

SWITCHOVER_DRAIN_TIMEOUT_S = 0.4
"""Time that running work has to finish before a planned switchover aborts it."""

UNUSABLE_PRIMARY_GRACE_S = 2.0
"""Time for which a draining or evacuated primary is still used until it is replaced;
well below the time that a draining target or an evacuated failure domain is given."""

DRAIN_CHECK_INTERVAL_S = 0.01
USUAL_REPLACEMENT_S = 1.6
"""Usual duration of a replacement with all VMs reachable: up to 1 s for the promotion
itself, the rest for draining, comparing the replicas and writing the settled row."""


class PrimaryService(Service):
    """Primaries that this VM may use, and the work that runs at them.

    Attributes
    ----------
    on_stopped : list of callable
        Called with the service and the row version once this VM has stopped using a
        primary.
    """

    name = "lead"

    def __init__(self, kernel: Kernel, reactor: Any) -> None:
        super().__init__(kernel)
        self.on_stopped: list[Callable[[str, int], None]] = []
        self._reactor = reactor
        self._fleet = kernel.find(FleetService)
        self._directory = kernel.find(DirectoryService)
        self._links = kernel.find(PeerLinks)
        self._history_by_service: dict[str, PrimaryHistory] = {}
        self._running_by_service: dict[str, int] = {}
        self._waiters_by_service: dict[str, list[Deferred[None]]] = {}
        self._moving_since_by_service: dict[str, float] = {}

    async def start(self) -> None:
        """Subscribe to changes of the primaries' rows and to new peer connections."""
        self._fleet.on_rows.append(self._on_rows)
        self._links.on_peer_up.append(self._repeat_acknowledgements)

    def primary(self, service: str) -> TargetEntry | None:
        """Return the primary that statements may be sent to, None if there is none."""
        if not self._fleet.state.may_use_primary(service, now_s()):
            return None
        primary_row = self._fleet.state.primary_row(service)
        if (
            primary_row is None
            or self._directory.unusable_s(primary_row.primary_id)
            > UNUSABLE_PRIMARY_GRACE_S
        ):
            return None
        return self._directory.entry(primary_row.primary_id)

    def may_use(self, service: str, target_id: str) -> bool:
        """Return whether a target is still the primary that this VM may use."""
        if not self._fleet.state.may_use_primary(service, now_s()):
            return False
        primary_row = self._fleet.state.primary_row(service)
        return primary_row is not None and primary_row.primary_id == target_id

    def replacement_wait_s(self, service: str) -> float:
        """Return how long a statement should wait for a running replacement, in s.

        A replacement that exceeds the usual duration is held up by unreachable VMs or
        by the store; waiting longer would not help.
        """
        primary_row = self._fleet.state.primary_row(service)
        if primary_row is None or primary_row.phase is not LeadPhase.MOVING:
            return 0.0
        started_at = self._moving_since_by_service.get(service, float("-inf"))
        return started_at + USUAL_REPLACEMENT_S - now_s()

    def draining_primary(self, service: str) -> str:
        """Return the id of the primary that running work may still use, or empty."""
        primary_row = self._fleet.state.primary_row(service)
        if (
            primary_row is None
            or primary_row.phase is not LeadPhase.MOVING
            or not primary_row.is_planned
        ):
            return ""
        return primary_row.primary_id

    def history(self, service: str) -> PrimaryHistory:
        """Return the observed log positions of a service's primary."""
        return self._history_by_service.setdefault(service, PrimaryHistory())

    def observe(
        self, service: str, target_id: str, asked_at: float, position: LogPosition
    ) -> None:
        """Record the end of the primary's log if the target is still the primary.

        Parameters
        ----------
        service, target_id : str
            Service and the target that answered.
        asked_at : float
            Local time at which the statement was sent, in s.
        position : LogPosition
            End of the log in the answer.
        """
        if self.may_use(service, target_id):
            self.history(service).record(Observation(asked_at, position))

    def begin_work(self, service: str) -> None:
        """Record that an operation started at the primary."""
        self._running_by_service[service] = self._running_by_service.get(service, 0) + 1

    def end_work(self, service: str) -> None:
        """Record that an operation ended at the primary."""
        self._running_by_service[service] -= 1

    def when_changed(self, service: str) -> Deferred[None]:
        """Return a Deferred that fires once a primary of the service is settled."""
        waiters = self._waiters_by_service.setdefault(service, [])
        result: Deferred[None] = Deferred(
            lambda d: waiters.remove(d) if d in waiters else None
        )
        waiters.append(result)
        return result

    def _on_rows(self, rows: list[VersionedRow]) -> None:
        for row in rows:
            primary_row = row.row
            if not isinstance(primary_row, LeadRow):
                continue
            if primary_row.phase is LeadPhase.MOVING:
                self._moving_since_by_service[primary_row.service] = now_s()
                self._stop_using(primary_row, row.version)
                continue
            waiters, self._waiters_by_service[primary_row.service] = (
                self._waiters_by_service.get(primary_row.service, []),
                [],
            )
            for deferred in waiters:
                deferred.callback(None)

    def _stop_using(self, primary_row: LeadRow, version: int) -> None:
        limit_s = SWITCHOVER_DRAIN_TIMEOUT_S if primary_row.is_planned else 0.0
        self._drain(primary_row, version, now_s() + limit_s)

    def _drain(self, primary_row: LeadRow, version: int, until: float) -> None:
        if (
            self._fleet.state.version_of(primary_row_key(primary_row.service))
            != version
        ):
            return
        running = self._running_by_service.get(primary_row.service, 0)
        if running > 0 and now_s() < until:
            self._reactor.callLater(
                DRAIN_CHECK_INTERVAL_S, self._drain, primary_row, version, until
            )
            return
        pool = self._directory.pool_by_id.get(primary_row.primary_id)
        if pool is not None:
            pool.abort_all("The primary is being replaced.")
        log_decision(
            "primary_left",
            service=primary_row.service,
            primary=primary_row.primary_id,
            version=version,
            broken_off=running,
        )
        self._acknowledge_stop(primary_row.service, version)

    def _acknowledge_stop(self, service: str, version: int) -> None:
        state = self._fleet.state
        duty = state.duty()
        message = PrimaryUseStopped(state.vm, state.incarnation, service, version)
        if duty is not None and duty.holder != state.vm:
            self._links.send(duty.holder, message)
        for callback in self.on_stopped:
            callback(service, version)

    def _repeat_acknowledgements(self, vm: str) -> None:
        duty = self._fleet.state.duty()
        if duty is None or duty.holder != vm:
            return
        for versioned in list(self._fleet.state.row_by_key.values()):
            if (
                isinstance(versioned.row, LeadRow)
                and versioned.row.phase is LeadPhase.MOVING
            ):
                self._stop_using(versioned.row, versioned.version)
