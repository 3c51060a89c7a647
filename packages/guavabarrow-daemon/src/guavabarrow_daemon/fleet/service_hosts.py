"""Selects the host of each hosted service, and watches the hosts that are in use."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, Any

from guavabarrow_core.service_host import HostCheck, HostWatch
from guavabarrow_daemon.fleet.directory_service import EVIDENCE_TTL_S, DirectoryService
from guavabarrow_daemon.fleet.fleet_service import HEARTBEAT_INTERVAL_S, FleetService
from guavabarrow_daemon.fleet.hosted_messages import HostPing, HostPong
from guavabarrow_daemon.fleet.peer_links import PeerLinks
from guavabarrow_daemon.kernel import Kernel, Service
from guavabarrow_daemon.operations.clock import now_s
from guavabarrow_daemon.operations.decision_log import log_decision
from guavabarrow_daemon.operations.session_metrics import SessionMetrics

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavabarrow_daemon.fleet.fleet_messages import FleetMessage, PeerHeartbeat
    from guavabarrow_daemon.fleet.fleet_service import HeartbeatDraft

RELAYED = "relayed"
"""Evidence against a target that this VM has from its host. It isn't relayed further,
so that two VMs that select each other don't sustain it."""


class HostLossReason(Enum):
    """Why statements at a host are not awaited any more."""

    NOT_LINKED = "not_linked"
    LINK_LOST = "link_lost"
    SILENT = "silent"
    LATE = "late"


class ServiceHosts(Service):
    """Choice of the host of each service, as this VM sees the others.

    Attributes
    ----------
    on_bypassed : list of callable
        Called with the name of a host that is bypassed from now on, and the reason.
    """

    name = "service_hosts"

    def __init__(self, kernel: Kernel, reactor: Any) -> None:
        super().__init__(kernel)
        self.on_bypassed: list[Callable[[str, HostLossReason], None]] = []
        self._reactor = reactor
        self._fleet = kernel.find(FleetService)
        self._directory = kernel.find(DirectoryService)
        self._links = kernel.find(PeerLinks)
        self._metrics = kernel.find(SessionMetrics)
        self._watch_by_vm: dict[str, HostWatch] = {}
        self._checked_vms: set[str] = set()
        self._host_by_service: dict[str, str] = {}
        self._suspected_by_host: dict[str, frozenset[str]] = {}

    async def start(self) -> None:
        """Subscribe to the messages of other VMs."""
        self._links.on_peer_message.append(self._on_message)
        self._links.on_peer_up.append(self._record_heard)
        self._links.on_peer_lost.append(self._on_peer_lost)
        self._fleet.on_heartbeat.append(self._on_heartbeat)
        self._fleet.heartbeat_fillers.append(self._fill_heartbeat)

    def host_of(self, service: str) -> str:
        """Return the other VM that runs a service's statements, empty if this one."""
        vm = self._fleet.state.vm
        plan = self._fleet.host_selection
        if not plan.is_hosted(service):
            if service in self._host_by_service:
                self._record_host(service, "")
            return ""
        host = plan.select(service, self.is_bypassed)
        if self._host_by_service.get(service) != host:
            self._record_host(service, host)
        return "" if host == vm else host

    def is_bypassed(self, vm: str) -> bool:
        """Return whether a VM is not used as a host because it didn't respond."""
        watch = self._watch_by_vm.get(vm)
        return watch is not None and watch.is_bypassed(now_s())

    def begin_statement(self, vm: str) -> None:
        """Record that a statement is sent to a host, and watch it from now on."""
        watch = self._watch_by_vm.setdefault(vm, HostWatch())
        watch.begin(now_s())
        self._metrics.hosted_statements.labels("sent").inc()
        if vm not in self._checked_vms:
            self._checked_vms.add(vm)
            self._schedule_check(vm, watch)

    def end_statement(self, vm: str) -> None:
        """Record that a statement at a host isn't awaited any more."""
        self._watch_by_vm[vm].end()

    def record_answer(self, vm: str) -> None:
        """Record that a host answered a statement."""
        self._watch_by_vm[vm].record_answer()

    def record_late(self, vm: str) -> None:
        """Record that a host didn't answer a statement by its deadline."""
        if self._watch_by_vm[vm].record_late(now_s()):
            self._on_bypass(vm, HostLossReason.LATE)

    def _schedule_check(self, vm: str, watch: HostWatch) -> None:
        delay_s = max(0.0, watch.due_at - now_s())
        self._reactor.callLater(delay_s, self._check, vm, watch)

    def _check(self, vm: str, watch: HostWatch) -> None:
        match watch.check(now_s()):
            case HostCheck.PING:
                self._links.send(vm, HostPing())
            case HostCheck.BYPASS:
                self._on_bypass(vm, HostLossReason.SILENT)
        if watch.pending > 0:
            self._schedule_check(vm, watch)
        else:
            self._checked_vms.discard(vm)

    def _on_bypass(self, vm: str, reason: HostLossReason) -> None:
        self._metrics.host_bypasses.labels(reason.value).inc()
        log_decision("service_host_bypassed", host=vm, reason=reason.value)
        for callback in self.on_bypassed:
            callback(vm, reason)

    def _on_peer_lost(self, vm: str) -> None:
        watch = self._watch_by_vm.get(vm)
        if watch is not None and watch.pending > 0:
            self._on_bypass(vm, HostLossReason.LINK_LOST)

    def _on_message(self, vm: str, message: FleetMessage) -> None:
        self._record_heard(vm)
        if isinstance(message, HostPing):
            self._links.send(vm, HostPong())

    def _record_heard(self, vm: str) -> None:
        watch = self._watch_by_vm.get(vm)
        if watch is not None:
            watch.record_heard(now_s())

    def _on_heartbeat(self, vm: str, heartbeat: PeerHeartbeat) -> None:
        """Pass on at once that the host of a service has come to suspect a target."""
        previous = self._suspected_by_host.pop(vm, frozenset())
        if vm not in self._host_by_service.values():
            return
        suspected = frozenset(
            target_id
            for target_id, evidence in heartbeat.suspected.items()
            if evidence != RELAYED
        )
        if suspected:
            self._suspected_by_host[vm] = suspected
        if suspected - previous:
            self._fleet.send_heartbeat_now()

    def _fill_heartbeat(self, draft: HeartbeatDraft) -> None:
        """Report targets that this VM can't use because its host can't.

        This VM opens no connections to them, but the duty holder counts the VMs that
        can't use a primary.
        """
        for service, host in self._host_by_service.items():
            if host not in self._suspected_by_host:
                continue
            age_s, heartbeat = self._fleet.last_heartbeat(host)
            if age_s > HEARTBEAT_INTERVAL_S + EVIDENCE_TTL_S:
                continue
            for target_id, evidence in heartbeat.suspected.items():
                entry = self._directory.entry(target_id)
                if evidence == RELAYED or entry is None or entry.service != service:
                    continue
                draft.common["suspected"].setdefault(target_id, RELAYED)

    def _record_host(self, service: str, host: str) -> None:
        former = self._host_by_service.pop(service, "")
        if host:
            self._host_by_service[service] = host
        log_decision(
            "service_host_changed",
            service=service,
            host=host,
            former=former,
            bypassed=[vm for vm in self._watch_by_vm if self.is_bypassed(vm)],
        )
