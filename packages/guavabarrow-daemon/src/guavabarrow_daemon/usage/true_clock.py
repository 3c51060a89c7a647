"""True time of this VM: the store's clock plus the median of reported wall clocks.

Each VM reports its wall clock in its heartbeats. Hubs hear all VMs of their failure
domain and the other hubs; the other VMs hear few, so they follow their observer.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavabarrow_core.true_time import OFFSET_VALID_S, TrueTime
from guavabarrow_daemon.fleet.fleet_service import FleetService
from guavabarrow_daemon.kernel import Kernel, Service
from guavabarrow_daemon.operations.clock import now_s, wall_s
from guavabarrow_daemon.operations.decision_log import log_decision

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavabarrow_daemon.fleet.fleet_messages import PeerHeartbeat
    from guavabarrow_daemon.fleet.fleet_service import HeartbeatDraft

REFRESH_INTERVAL_S = 0.25
"""Time for which a median is kept; true time is needed for each operation."""

LOGGED_CHANGE_S = 0.5
"""A larger change of the offset shifts counts between windows noticeably."""


class TrueClock(Service):
    """True time, in s since the start of 1970.

    Parameters
    ----------
    kernel : Kernel
        Registry of services.
    wall_clock : callable
        Returns this VM's wall clock, in s since the start of 1970.
    """

    name = "true_clock"

    def __init__(
        self, kernel: Kernel, wall_clock: Callable[[], float] = wall_s
    ) -> None:
        super().__init__(kernel)
        self._wall_clock = wall_clock
        self._fleet = kernel.find(FleetService)
        self._time = TrueTime()
        self._observer_offset: tuple[float, float] | None = None
        self._offset_s: float | None = None
        self._refreshed_at = float("-inf")

    async def start(self) -> None:
        """Subscribe to heartbeats."""
        self._fleet.heartbeat_fillers.append(self._fill_heartbeat)
        self._fleet.on_heartbeat.append(self._on_heartbeat)

    def true_s(self) -> float:
        """Return true time; this VM's wall clock while nothing better is known."""
        now = now_s()
        if not self._fleet.clock.is_set:
            return self._wall_clock()
        if now - self._refreshed_at > REFRESH_INTERVAL_S:
            self._refresh(now)
        offset_s = self._offset_s or 0.0
        return self._fleet.clock.estimate_store(now) + offset_s

    def _refresh(self, now: float) -> None:
        self._refreshed_at = now
        self._time.record(self._fleet.state.vm, self._own_offset_s(now), now)
        offset_s = self._time.offset_s(now)
        if self._observer_offset is not None and not self._fleet.is_hub():
            followed_s, at = self._observer_offset
            if now - at <= OFFSET_VALID_S:
                offset_s = followed_s
        previous, self._offset_s = self._offset_s, offset_s
        if previous is None or offset_s is None:
            return
        if abs(offset_s - previous) > LOGGED_CHANGE_S:
            log_decision("true_time_changed", by_s=round(offset_s - previous, 3))

    def _own_offset_s(self, now: float) -> float:
        return self._wall_clock() - self._fleet.clock.estimate_store(now)

    def _fill_heartbeat(self, draft: HeartbeatDraft) -> None:
        if not self._fleet.clock.is_set:
            return
        now = now_s()
        draft.common["clock_offset_s"] = round(self._own_offset_s(now), 3)
        if self._fleet.is_hub():
            self._refresh(now)
            draft.inside["true_offset_s"] = self._offset_s

    def _on_heartbeat(self, vm: str, heartbeat: PeerHeartbeat) -> None:
        now = now_s()
        if heartbeat.clock_offset_s is not None:
            self._time.record(vm, heartbeat.clock_offset_s, now)
        if heartbeat.true_offset_s is not None and vm == self._fleet.observer():
            self._observer_offset = (heartbeat.true_offset_s, now)
