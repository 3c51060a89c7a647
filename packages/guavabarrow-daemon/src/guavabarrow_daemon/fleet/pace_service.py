"""Divides the limits of targets among the hosts of their services."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavabarrow_core.heartbeat_delta import HeartbeatDelta
from guavabarrow_core.pace_share import (
    FOLLOW_FRACTION,
    NO_DIGEST,
    PaceDigest,
    PeerPaces,
    divide_limit,
    joint_limit,
    weights_of,
)
from guavabarrow_core.paced_load import PacedWindow
from guavabarrow_daemon.fleet.directory_service import DirectoryService
from guavabarrow_daemon.fleet.fleet_messages import PeerHeartbeat, SharedPace
from guavabarrow_daemon.fleet.fleet_service import FleetService
from guavabarrow_daemon.fleet.peer_links import PeerLinks
from guavabarrow_daemon.kernel import Kernel, Service
from guavabarrow_daemon.operations.clock import now_s
from guavabarrow_daemon.operations.decision_log import log_decision

if TYPE_CHECKING:
    from guavabarrow_daemon.fleet.fleet_service import HeartbeatDraft
    from guavabarrow_daemon.session_settings import SessionVmSettings
    from guavabarrow_daemon.targets.session_pool import SessionPool

DIGEST_DIGITS = 1
"""Decimal digits of published figures; finer changes aren't worth a message."""

LOGGED_CHANGE = 0.25
"""Relative change of a target's limit that is logged."""


class PaceService(Service):
    """Publishes what this VM knows about the targets of the services that it hosts.

    Attributes
    ----------
    peers : PeerPaces
        What the other hosts know.
    """

    name = "paces"

    def __init__(self, kernel: Kernel, settings: SessionVmSettings) -> None:
        super().__init__(kernel)
        self._vm = settings.vm
        self._domain = settings.domain
        self._fleet = kernel.find(FleetService)
        self._links = kernel.find(PeerLinks)
        self._directory = kernel.find(DirectoryService)
        self.peers = PeerPaces()
        self._delta: HeartbeatDelta[PaceDigest] = HeartbeatDelta(removed=NO_DIGEST)
        self._own_by_target: dict[str, PaceDigest] = {}
        self._logged_limit_by_target: dict[str, float] = {}
        self._has_published = False
        self._probed: frozenset[str] = frozenset()

    async def start(self) -> None:
        """Subscribe to heartbeats."""
        self._fleet.heartbeat_fillers.append(self._fill_heartbeat)
        self._fleet.on_heartbeat.append(self._on_heartbeat)
        self._fleet.on_departure.append(self.peers.forget)
        self._links.on_peer_up.append(self._on_peer_up)

    def _on_peer_up(self, vm: str) -> None:
        # A newly connected VM has none of the digests that were sent before.
        self._delta.reset()

    def _fill_heartbeat(self, draft: HeartbeatDraft) -> None:
        if draft.is_greeting:
            return
        now = now_s()
        self._own_by_target = {
            target_id: self._digest(pool, window, now)
            for target_id, pool, window in self._hosted()
        }
        is_full, changed = self._delta.next_changes(self._own_by_target)
        self._has_published = self._has_published or bool(changed)
        if changed or (is_full and self._has_published):
            draft.between_hubs["paces"] = {
                target_id: SharedPace(digest.demand, digest.running, digest.limit)
                for target_id, digest in changed.items()
            }
            draft.between_hubs["has_all_paces"] = is_full
        self.divide(now)
        self._log_changes()

    def _on_heartbeat(self, vm: str, heartbeat: PeerHeartbeat) -> None:
        member = self._fleet.state.member_by_vm().get(vm)
        if member is None or member.domain == self._domain:
            return
        now = now_s()
        self.peers.update(
            vm,
            {
                target_id: PaceDigest(pace.demand, pace.running, pace.limit)
                for target_id, pace in heartbeat.paces.items()
            },
            now,
            is_full=heartbeat.has_all_paces,
        )
        if heartbeat.paces:
            self.divide(now)

    def divide(self, now: float) -> None:
        """Set this VM's part of each limit, from digests that are recent enough."""
        hosted = {target_id for target_id, _, _ in self._hosted()}
        for target_id, pool in self._directory.pool_by_id.items():
            window = pool.window
            if not isinstance(window, PacedWindow):
                continue
            digest_by_vm = self.peers.of_target(target_id, now)
            window.pace.peers_running = sum(d.running for d in digest_by_vm.values())
            if target_id not in hosted:
                # Statements that this VM runs while it reaches no host.
                window.set_part(1, 0.0)
                continue
            own = self._own_by_target.get(target_id)
            if own is None:
                continue
            digest_by_vm[self._vm] = PaceDigest(
                own.demand, own.running, window.pace.limit
            )
            limit = joint_limit(digest_by_vm)
            window.pace.follow(
                window.pace.limit + FOLLOW_FRACTION * (limit - window.pace.limit)
            )
            demand_by_vm = {vm: digest.demand for vm, digest in digest_by_vm.items()}
            part_by_vm = divide_limit(limit, demand_by_vm, target_id)
            weight_by_vm = weights_of(demand_by_vm)
            window.set_part(part_by_vm[self._vm], weight_by_vm[self._vm])

    def _hosted(self) -> list[tuple[str, SessionPool, PacedWindow]]:
        return [
            (target_id, pool, pool.window)
            for target_id, pool in self._directory.pool_by_id.items()
            if isinstance(pool.window, PacedWindow)
            and self._directory.host_plan_of(pool.entry.service).is_host
        ]

    @staticmethod
    def _digest(pool: SessionPool, window: PacedWindow, now: float) -> PaceDigest:
        running = window.pace.mean_running(now)
        return PaceDigest(
            round(window.pace.demand(pool.waiting, now), DIGEST_DIGITS),
            round(running, DIGEST_DIGITS),
            round(window.pace.limit, DIGEST_DIGITS),
        )

    def _log_changes(self) -> None:
        for target_id, digest in self._own_by_target.items():
            logged = self._logged_limit_by_target.get(target_id, digest.limit)
            self._logged_limit_by_target.setdefault(target_id, digest.limit)
            if abs(digest.limit - logged) > LOGGED_CHANGE * logged:
                self._logged_limit_by_target[target_id] = digest.limit
                log_decision(
                    "target_limit_changed",
                    target=target_id,
                    limit=digest.limit,
                    former=logged,
                    running=digest.running,
                    demand=digest.demand,
                )
        probed = frozenset(
            target_id
            for target_id, pool in self._directory.pool_by_id.items()
            if pool.load.is_probed
        )
        for target_id in probed - self._probed:
            log_decision("target_probed", target=target_id)
        for target_id in self._probed - probed:
            log_decision("target_reinstated", target=target_id)
        self._probed = probed
