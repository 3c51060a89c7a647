"""Monitors the health of the primaries while this VM holds the promotion duty."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from guavabarrow_core.fleet_state import LeadPhase, LeadRow
from guavabarrow_core.primary_evidence import PrimaryEvidence, ProbeResult
from guavabarrow_daemon.fleet.directory_service import DirectoryService
from guavabarrow_daemon.fleet.duty_service import DutyService
from guavabarrow_daemon.fleet.fleet_messages import (
    FleetMessage,
    PeerHeartbeat,
    ProbeAnswer,
    ProbeRequest,
)
from guavabarrow_daemon.fleet.fleet_service import FleetService
from guavabarrow_daemon.fleet.peer_links import PeerLinks
from guavabarrow_daemon.kernel import Kernel, Service
from guavabarrow_daemon.operations.clock import now_s
from guavabarrow_daemon.operations.decision_log import log_decision
from guavabarrow_daemon.targets.interface import TargetUnreachable
from guavabarrow_daemon.targets.target_admin_client import TargetAdminClient

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavabarrow_core.target_directory import TargetEntry

PROBE_INTERVAL_S = 0.6
"""Probe interval for a primary that has not answered this VM recently."""

SUSPECT_PROBE_INTERVAL_S = 0.15
"""Probe interval for a primary that is suspected or is being replaced."""

IDLE_PROBE_INTERVAL_S = 2.0
"""Probe interval for a primary that answered the last probe."""


class PrimaryWatch(Service):
    """Failure detector for the primary of each service.

    Attributes
    ----------
    on_relayed_answer : list of callable
        Called with the id of a target that answered the probe of another VM.
    """

    name = "primary_watch"

    def __init__(self, kernel: Kernel, reactor: Any) -> None:
        super().__init__(kernel)
        self.on_relayed_answer: list[Callable[[str], None]] = []
        self._fleet = kernel.find(FleetService)
        self._directory = kernel.find(DirectoryService)
        self._links = kernel.find(PeerLinks)
        self._duty = kernel.find(DutyService)
        self._admin_client = TargetAdminClient(self._directory.create_codec, reactor)
        self._evidence_by_id: dict[str, PrimaryEvidence] = {}
        self._probing: set[str] = set()
        self._relayed_probes: set[str] = set()

    async def start(self) -> None:
        """Subscribe to peers and to the checks of the duty holder."""
        self._fleet.on_heartbeat.append(self._on_heartbeat)
        self._links.on_peer_message.append(self._on_message)
        self._duty.on_check.append(self._check)

    def is_failed(self, target_id: str, now: float) -> bool:
        """Return whether a primary has failed and should be replaced."""
        evidence = self._evidence(target_id)
        live_peers = self._links.live_peers()
        return evidence.is_failed(
            now, votes=evidence.votes(now), others=len(live_peers)
        )

    def is_reachable(self, target_id: str, now: float) -> bool:
        """Return whether a primary answered a recent probe."""
        return self._evidence(target_id).is_reachable(now)

    def describe(self, target_id: str, now: float) -> str:
        """Return the evidence as text for the log."""
        evidence = self._evidence(target_id)
        probe = evidence.probe.value if evidence.probe else "none"
        age_s = now - evidence.probed_at
        relayed_age_s = min(99.0, now - evidence.relayed_at)
        return (
            f"probe={probe} age_s={age_s:.2f} votes={evidence.votes(now)} "
            f"relayed_age_s={relayed_age_s:.2f}"
        )

    def _evidence(self, target_id: str) -> PrimaryEvidence:
        return self._evidence_by_id.setdefault(target_id, PrimaryEvidence())

    def _on_heartbeat(self, vm: str, heartbeat: PeerHeartbeat) -> None:
        if not self._fleet.is_duty_holder():
            return
        now = now_s()
        for primary_row in self._fleet.state.primary_rows():
            target_id = primary_row.primary_id
            self._evidence(target_id).record_vote(
                vm, target_id not in heartbeat.suspected, now
            )

    def _check(self, now: float) -> None:
        primaries = set()
        for versioned in list(self._fleet.state.row_by_key.values()):
            primary_row = versioned.row
            if not isinstance(primary_row, LeadRow):
                continue
            primaries.add(primary_row.primary_id)
            entry = self._directory.last_known_entry(primary_row.primary_id)
            if entry is not None and self._is_due(primary_row, now):
                self._probing.add(primary_row.primary_id)
                self.kernel.tasks.start("primary_probe", self._probe(entry))
        for target_id in set(self._evidence_by_id) - primaries:
            del self._evidence_by_id[target_id]

    def _is_due(self, primary_row: LeadRow, now: float) -> bool:
        target_id = primary_row.primary_id
        if target_id in self._probing:
            return False
        evidence = self._evidence(target_id)
        pool = self._directory.pool_by_id.get(target_id)
        is_suspected = (
            primary_row.phase is LeadPhase.MOVING
            or evidence.votes(now) > 0
            or target_id in self._directory.suspected()
        )
        if is_suspected:
            return now - evidence.probed_at >= SUSPECT_PROBE_INTERVAL_S
        if pool is not None and pool.answered_recently(now):
            evidence.record_probe(ProbeResult.ANSWERED, now)
            return False
        was_answered = evidence.probe is ProbeResult.ANSWERED
        return now - evidence.probed_at >= (
            IDLE_PROBE_INTERVAL_S if was_answered else PROBE_INTERVAL_S
        )

    async def _probe(self, entry: TargetEntry) -> None:
        result = ProbeResult.ANSWERED
        try:
            connection = await self._admin_client.open_connection(entry)
            connection.close()
            self._keep_listed(entry.target_id)
        except TargetUnreachable as error:
            result = ProbeResult.REFUSED if error.is_refused else ProbeResult.SILENT
            log_decision(
                "primary_probe_failed", target=entry.target_id, detail=str(error)
            )
            self.request_relayed_probes(entry.target_id)
        finally:
            self._probing.discard(entry.target_id)
        self._evidence(entry.target_id).record_probe(result, now_s())

    def _keep_listed(self, target_id: str) -> None:
        """Keep a primary that is being replaced in the list, because it answered."""
        entry = self._directory.last_known_entry(target_id)
        if entry is None:
            return
        primary_row = self._fleet.state.primary_row(entry.service)
        if (
            primary_row is not None
            and primary_row.phase is LeadPhase.MOVING
            and primary_row.primary_id == target_id
        ):
            self._directory.confirm_entry(entry)

    def request_relayed_probes(self, target_id: str) -> None:
        """Request a probe from one VM of each other failure domain."""
        live_peers = self._links.live_peers()
        for domain, hubs in self._fleet.hubs_by_domain.items():
            hub = next((vm for vm in hubs if vm in live_peers), None)
            if hub is not None and domain != self._fleet.domain:
                self._links.send(hub, ProbeRequest(target_id))

    def _on_message(self, vm: str, message: FleetMessage) -> None:
        match message:
            case ProbeRequest(target_id):
                entry = self._directory.last_known_entry(target_id)
                if entry is not None and target_id not in self._relayed_probes:
                    self._relayed_probes.add(target_id)
                    self.kernel.tasks.start("relayed_probe", self._probe_for(vm, entry))
            case ProbeAnswer(target_id):
                self._evidence(target_id).record_relayed_answer(now_s())
                self._keep_listed(target_id)
                for callback in self.on_relayed_answer:
                    callback(target_id)

    async def _probe_for(self, vm: str, entry: TargetEntry) -> None:
        try:
            connection = await self._admin_client.open_connection(entry)
            connection.close()
        except TargetUnreachable as error:
            log_decision(
                "relayed_probe_failed",
                target=entry.target_id,
                requested_by=vm,
                detail=str(error),
            )
        else:
            self._links.send(vm, ProbeAnswer(entry.target_id))
        finally:
            self._relayed_probes.discard(entry.target_id)
