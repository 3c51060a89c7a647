"""Tells which primary of a service may be used, and stops using one that moves."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred

from guavabarrow_core.fleet_state import (
    PrimaryPhase,
    PrimaryRow,
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

PLANNED_DRAIN_S = 0.4
"""Time that running work has before a planned move breaks it off."""

LEAVING_S = 2.0
"""Time for which a primary that gets no new work is used until it is replaced; well
below the time that a leaving target or an evacuated failure domain has."""

DRAIN_CHECK_S = 0.01
USUAL_MOVE_S = 1.6
"""A replacement with all VMs in reach: up to 1 s for the promotion itself, the rest for
running work, comparing and settling."""


class PrimaryService(Service):
    """Primaries as this VM may use them.

    Attributes
    ----------
    on_stopped : list of callable
        Called with the service and the version once this VM stopped using a primary.
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
        self._waiting: dict[str, list[Deferred[None]]] = {}
        self._moving_since: dict[str, float] = {}

    async def start(self) -> None:
        """Listen for marks."""
        self._fleet.on_rows.append(self._on_rows)
        self._links.on_peer_up.append(self._repeat_stopped)

    def primary(self, service: str) -> TargetEntry | None:
        """Return the primary that statements may go to now, None if there is none."""
        if not self._fleet.state.may_use_primary(service, now_s()):
            return None
        lead = self._fleet.state.primary_row(service)
        if lead is None or self._directory.unusable_s(lead.primary_id) > LEAVING_S:
            return None
        return self._directory.entry(lead.primary_id)

    def may_use(self, service: str, target_id: str) -> bool:
        """Tell whether a target still is the primary that this VM may use."""
        if not self._fleet.state.may_use_primary(service, now_s()):
            return False
        lead = self._fleet.state.primary_row(service)
        return lead is not None and lead.primary_id == target_id

    def replacement_wait_s(self, service: str) -> float:
        """Return how long it makes sense to wait for a primary, in s.

        A replacement that takes longer than usual waits for VMs that can't be reached
        or for the store; then waiting is hopeless.
        """
        lead = self._fleet.state.primary_row(service)
        if lead is None or lead.phase is not PrimaryPhase.MOVING:
            return 0.0
        began_at = self._moving_since.get(service, float("-inf"))
        return began_at + USUAL_MOVE_S - now_s()

    def draining_primary(self, service: str) -> str:
        """Return the primary that running work may still use, empty if none."""
        lead = self._fleet.state.primary_row(service)
        if lead is None or lead.phase is not PrimaryPhase.MOVING or not lead.is_planned:
            return ""
        return lead.primary_id

    def history(self, service: str) -> PrimaryHistory:
        """Return what was seen of a service's primary."""
        return self._history_by_service.setdefault(service, PrimaryHistory())

    def observe(
        self, service: str, target_id: str, asked_at: float, position: LogPosition
    ) -> None:
        """Record where the primary's log ended, if it still is the primary."""
        if self.may_use(service, target_id):
            self.history(service).record(Observation(asked_at, position))

    def begin_work(self, service: str) -> None:
        """Count work that begins at the primary."""
        self._running_by_service[service] = self._running_by_service.get(service, 0) + 1

    def end_work(self, service: str) -> None:
        """Count work that ended at the primary."""
        self._running_by_service[service] -= 1

    def when_changed(self, service: str) -> Deferred[None]:
        """Return a Deferred that fires when the primary of a service changes."""
        waiting = self._waiting.setdefault(service, [])
        result: Deferred[None] = Deferred(
            lambda d: waiting.remove(d) if d in waiting else None
        )
        waiting.append(result)
        return result

    def _on_rows(self, rows: list[VersionedRow]) -> None:
        for row in rows:
            lead = row.row
            if not isinstance(lead, PrimaryRow):
                continue
            if lead.phase is PrimaryPhase.MOVING:
                self._moving_since[lead.service] = now_s()
                self._stop_using(lead, row.version)
                continue
            waiting, self._waiting[lead.service] = (
                self._waiting.get(lead.service, []),
                [],
            )
            for deferred in waiting:
                deferred.callback(None)

    def _stop_using(self, lead: PrimaryRow, version: int) -> None:
        limit_s = PLANNED_DRAIN_S if lead.is_planned else 0.0
        self._await_end(lead, version, now_s() + limit_s)

    def _await_end(self, lead: PrimaryRow, version: int, until: float) -> None:
        if self._fleet.state.version_of(primary_row_key(lead.service)) != version:
            return
        running = self._running_by_service.get(lead.service, 0)
        if running > 0 and now_s() < until:
            self._reactor.callLater(
                DRAIN_CHECK_S, self._await_end, lead, version, until
            )
            return
        pool = self._directory.pool_by_id.get(lead.primary_id)
        if pool is not None:
            pool.close_all("The primary is being replaced.")
        log_decision(
            "primary_left",
            service=lead.service,
            primary=lead.primary_id,
            version=version,
            broken_off=running,
        )
        self._send_stopped(lead.service, version)

    def _send_stopped(self, service: str, version: int) -> None:
        state = self._fleet.state
        duty = state.duty()
        message = PrimaryUseStopped(state.vm, state.incarnation, service, version)
        if duty is not None and duty.holder != state.vm:
            self._links.send(duty.holder, message)
        for callback in self.on_stopped:
            callback(service, version)

    def _repeat_stopped(self, vm: str) -> None:
        duty = self._fleet.state.duty()
        if duty is None or duty.holder != vm:
            return
        for known in list(self._fleet.state.row_by_key.values()):
            if (
                isinstance(known.row, PrimaryRow)
                and known.row.phase is PrimaryPhase.MOVING
            ):
                self._stop_using(known.row, known.version)
