"""Selects the usable primary of each service and drains one that is being replaced."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from msgspec.structs import replace
from twisted.internet.defer import Deferred

from guavabarrow_core.fleet_state import (
    LeadPhase,
    LeadRow,
    VersionedRow,
    primary_row_key,
)
from guavabarrow_core.freshness import Observation, PrimaryHistory
from guavabarrow_daemon.fleet.directory_service import DirectoryService
from guavabarrow_daemon.fleet.fleet_messages import FleetMessage, PrimaryUseStopped
from guavabarrow_daemon.fleet.fleet_service import FleetService
from guavabarrow_daemon.fleet.peer_links import PeerLinks
from guavabarrow_daemon.kernel import Kernel, Service
from guavabarrow_daemon.operations.clock import now_s
from guavabarrow_daemon.operations.decision_log import log_decision

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavabarrow_core.log_position import LogPosition
    from guavabarrow_core.store_position import StorePosition
    from guavabarrow_core.target_directory import TargetEntry
    from guavabarrow_daemon.fleet.fleet_service import HeartbeatDraft

SWITCHOVER_DRAIN_TIMEOUT_S = 0.4
"""Time that running work has to finish before a planned switchover aborts it."""

UNUSABLE_PRIMARY_GRACE_S = 2.0
"""Time for which a draining or evacuated primary is still used until it is replaced;
well below the time that a draining target or an evacuated failure domain is given."""

DRAIN_CHECK_INTERVAL_S = 0.01
USUAL_REPLACEMENT_S = 1.6
"""Usual duration of a replacement with all VMs reachable: up to 1 s for the promotion
itself, the rest for draining, comparing the replicas and writing the settled row."""


REPEAT_INTERVAL_S = 0.5
"""Interval at which a confirmation is repeated while its replacement goes on; a message
to or through a VM that has just failed is lost."""


@dataclass(slots=True)
class PrimaryStop:
    """This VM's part in one replacement of a primary.

    Parameters
    ----------
    version : StorePosition
        Position of the row that marks the replacement.
    sponsored_until : float
        Local time, in s, at which the sponsorships granted before have expired.
    is_stopped : bool
        Whether this VM has stopped using the primary.
    sent_at : float
        Local time of the last confirmation, in s.
    """

    version: StorePosition
    sponsored_until: float
    is_stopped: bool = False
    sent_at: float = float("-inf")


@dataclass(frozen=True, slots=True)
class PrimaryEnd:
    """Farthest end of a primary's log that was seen in its term."""

    target_id: str
    term: int
    position: LogPosition


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
        self.on_stopped: list[Callable[[str, StorePosition], None]] = []
        self._reactor = reactor
        self._fleet = kernel.find(FleetService)
        self._directory = kernel.find(DirectoryService)
        self._links = kernel.find(PeerLinks)
        self._history_by_service: dict[str, PrimaryHistory] = {}
        self._end_by_service: dict[str, PrimaryEnd] = {}
        self._running_by_service: dict[str, int] = {}
        self._waiters_by_service: dict[str, list[Deferred[None]]] = {}
        self._moving_since_by_service: dict[str, float] = {}
        self._stop_by_service: dict[str, PrimaryStop] = {}

    async def start(self) -> None:
        """Subscribe to changes of the primaries' rows and to peers."""
        self._fleet.on_rows.append(self._on_rows)
        self._fleet.heartbeat_fillers.append(self._repeat_with_heartbeat)
        self._links.on_peer_up.append(self._repeat_to_holder)
        self._links.on_peer_message.append(self._on_message)

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

    def may_accept_answer(self, service: str, target_id: str) -> bool:
        """Return whether an answer of a target is an answer of the service's primary.

        While a planned replacement lets running work finish, that holds until this VM
        has stopped, because the replacement waits for its confirmation.
        """
        if self.may_use(service, target_id):
            return True
        if self.draining_primary(service) != target_id:
            return False
        stop = self._stop_by_service.get(service)
        is_draining = stop is not None and not stop.is_stopped
        return is_draining and self._fleet.state.has_lease_of(service, now_s())

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
        if not self.may_use(service, target_id):
            return
        self.history(service).record(Observation(asked_at, position))
        known_end = self.known_end(service, target_id)
        primary_row = self._fleet.state.primary_row(service)
        if primary_row is not None and (known_end is None or position > known_end):
            end = PrimaryEnd(target_id, primary_row.term, position)
            self._end_by_service[service] = end

    def known_end(self, service: str, target_id: str) -> LogPosition | None:
        """Return how far a primary's log has been seen in its term, None if not at all.

        A target whose log ends earlier has started again without its log.
        """
        end = self._end_by_service.get(service)
        primary_row = self._fleet.state.primary_row(service)
        if end is None or primary_row is None or end.target_id != target_id:
            return None
        leader = (primary_row.primary_id, primary_row.term)
        return end.position if (end.target_id, end.term) == leader else None

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

    def _stop_using(self, primary_row: LeadRow, version: StorePosition) -> None:
        stop = self._stop_by_service.get(primary_row.service)
        if stop is not None and stop.version == version:
            return
        limit_s = SWITCHOVER_DRAIN_TIMEOUT_S if primary_row.is_planned else 0.0
        stop = PrimaryStop(version, self._fleet.sponsoring_until)
        self._stop_by_service[primary_row.service] = stop
        self._drain(primary_row, stop, now_s() + limit_s)

    def _drain(self, primary_row: LeadRow, stop: PrimaryStop, until: float) -> None:
        if not self._is_current(primary_row.service, stop):
            return
        running = self._running_by_service.get(primary_row.service, 0)
        if running > 0 and now_s() < until:
            self._reactor.callLater(
                DRAIN_CHECK_INTERVAL_S, self._drain, primary_row, stop, until
            )
            return
        stop.is_stopped = True
        pool = self._directory.pool_by_id.get(primary_row.primary_id)
        if pool is not None:
            pool.abort_all("The primary is being replaced.")
        wait_s = max(0.0, stop.sponsored_until - now_s())
        log_decision(
            "primary_left",
            service=primary_row.service,
            primary=primary_row.primary_id,
            version=stop.version,
            broken_off=running,
            sponsored_s=round(wait_s, 3),
        )
        if wait_s > 0.0:
            self._reactor.callLater(
                wait_s, self._confirm_stop, primary_row.service, stop
            )
        else:
            self._confirm_stop(primary_row.service, stop)

    def _is_current(self, service: str, stop: PrimaryStop) -> bool:
        return self._fleet.state.position_of(primary_row_key(service)) == stop.version

    def _confirm_stop(self, service: str, stop: PrimaryStop) -> None:
        if not self._is_current(service, stop):
            return
        stop.sent_at = now_s()
        state = self._fleet.state
        if not self._fleet.is_duty_holder():
            self._send_to_holder(
                PrimaryUseStopped(state.vm, state.incarnation, service, stop.version)
            )
        for callback in self.on_stopped:
            callback(service, stop.version)

    def _send_to_holder(self, message: PrimaryUseStopped) -> None:
        """Send a confirmation to the duty holder, through hubs if there is no link."""
        duty = self._fleet.state.duty()
        if duty is not None and self._links.is_linked(duty.holder):
            self._links.send(duty.holder, message)
        elif self._fleet.is_hub():
            self._links.send_to(self._outer_hubs(), message)
        else:
            own_hubs = self._fleet.hubs_by_domain.get(self._fleet.domain, ())
            self._links.send_to(own_hubs, replace(message, relays_left=1))

    def _outer_hubs(self) -> list[str]:
        return [
            vm
            for domain, hubs in self._fleet.hubs_by_domain.items()
            if domain != self._fleet.domain
            for vm in hubs
        ]

    def _on_message(self, vm: str, message: FleetMessage) -> None:
        if not isinstance(message, PrimaryUseStopped) or self._fleet.is_duty_holder():
            return
        duty = self._fleet.state.duty()
        if duty is not None and self._links.is_linked(duty.holder):
            self._links.send(duty.holder, replace(message, relays_left=0))
        elif message.relays_left > 0:
            relayed = replace(message, relays_left=message.relays_left - 1)
            self._links.send_to(self._outer_hubs(), relayed)

    def _repeat_to_holder(self, vm: str) -> None:
        duty = self._fleet.state.duty()
        if duty is not None and duty.holder == vm:
            self._repeat(min_age_s=0.0)

    def _repeat_with_heartbeat(self, draft: HeartbeatDraft) -> None:
        if not draft.is_greeting:
            self._repeat(min_age_s=REPEAT_INTERVAL_S)

    def _repeat(self, *, min_age_s: float) -> None:
        now = now_s()
        for service, stop in list(self._stop_by_service.items()):
            if not self._is_current(service, stop):
                del self._stop_by_service[service]
            elif stop.sent_at > float("-inf") and now - stop.sent_at >= min_age_s:
                self._confirm_stop(service, stop)
