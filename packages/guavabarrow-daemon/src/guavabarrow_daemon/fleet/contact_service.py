"""Reports between the hubs of failure domains on who reaches whom.

A hub tells the other domains' hubs which VMs of its domain it does not reach. A VM that
reaches no hub of some domain asks for reports on it; the hubs that reach it answer in
their heartbeats. Without faults these fields are empty.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavabarrow_core.fleet_contact import (
    DIRECT_HOPS,
    REPORT_VALID_S,
    DomainReport,
    FleetContact,
)
from guavabarrow_daemon.fleet.fleet_messages import PeerHeartbeat, RelayedDomainReport
from guavabarrow_daemon.fleet.fleet_service import FleetService
from guavabarrow_daemon.fleet.peer_links import PeerLinks
from guavabarrow_daemon.kernel import Kernel, Service
from guavabarrow_daemon.operations.clock import now_s
from guavabarrow_daemon.operations.decision_log import log_decision

if TYPE_CHECKING:
    from collections.abc import Iterable

    from guavabarrow_daemon.fleet.fleet_service import HeartbeatDraft

RELAYED_PREFIX = "relayed "
"""Distinguishes relayed reports from a hub's own; VM names contain no spaces."""


class ContactService(Service):
    """Exchange of reports on the duty holder and on unreachable failure domains.

    Attributes
    ----------
    contact : FleetContact
        Reports received so far.
    """

    name = "contact"

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self.contact = FleetContact()
        self._fleet = kernel.find(FleetService)
        self._links = kernel.find(PeerLinks)
        self._asked_at_by_domain: dict[str, float] = {}
        self._lost_domains: frozenset[str] = frozenset()

    async def start(self) -> None:
        """Subscribe to heartbeats."""
        self._fleet.on_heartbeat.append(self._on_heartbeat)
        self._fleet.heartbeat_fillers.append(self._fill_heartbeat)

    def reaches_holder(self) -> bool:
        """Return whether this VM is in contact with the duty holder, or is it."""
        duty = self._fleet.state.duty()
        if duty is None or not duty.holder:
            return False
        if duty.holder == self._fleet.state.vm:
            return duty.incarnation == self._fleet.state.incarnation
        return (
            duty.holder in self._links.live_peers()
            and self._links.incarnation_of(duty.holder) == duty.incarnation
        )

    def is_holder_reached_by_others(self, since: float) -> bool:
        """Return whether others reach the duty holder that this VM lost.

        Parameters
        ----------
        since : float
            Local time at which this VM lost contact with the holder, in s.
        """
        max_hops = DIRECT_HOPS if self._fleet.is_hub() else DIRECT_HOPS + 1
        return self.contact.is_holder_reached(
            self._links.live_peers(), since=since, now=now_s(), max_hops=max_hops
        )

    def is_reached(self, vm: str, live_peers: frozenset[str]) -> bool:
        """Return whether this VM or a hub of its domain reaches a member."""
        if vm in live_peers:
            return True
        member = self._fleet.state.member_by_vm().get(vm)
        return member is not None and self.contact.is_reached(
            vm, member.domain, now_s()
        )

    def is_reported_unreachable(self, vm: str) -> bool:
        """Return whether the hubs of its domain report a member as unreachable."""
        member = self._fleet.state.member_by_vm().get(vm)
        return member is not None and self.contact.is_reported_unreachable(
            vm, member.domain, now_s()
        )

    def _on_heartbeat(self, vm: str, heartbeat: PeerHeartbeat) -> None:
        now = now_s()
        has_lost_holder = self.contact.record_holder(vm, heartbeat.holder_hops, now)
        if has_lost_holder and self.reaches_holder():
            self._fleet.send_heartbeat_now()
        member = self._fleet.state.member_by_vm().get(vm)
        if heartbeat.unreachable is not None and member is not None:
            unreachable = frozenset(heartbeat.unreachable)
            self.contact.record_domain(
                vm, DomainReport(member.domain, unreachable, now)
            )
        for domain, relayed in heartbeat.domain_reports.items():
            report = DomainReport(
                domain, frozenset(relayed.unreachable), now - relayed.age_s
            )
            self.contact.record_domain(f"{RELAYED_PREFIX}{vm} {domain}", report)
        for domain in heartbeat.lost_domains:
            asked_at = self._asked_at_by_domain.get(domain, float("-inf"))
            self._asked_at_by_domain[domain] = now
            if now - asked_at > REPORT_VALID_S:
                self._fleet.send_heartbeat_now()

    def _fill_heartbeat(self, draft: HeartbeatDraft) -> None:
        live_peers = self._links.live_peers()
        draft.common["holder_hops"] = self._holder_hops(live_peers)
        if draft.is_greeting or not (
            self._fleet.is_hub() or self._fleet.is_duty_holder()
        ):
            return
        self._find_lost_domains(live_peers)
        draft.between_hubs["lost_domains"] = sorted(self._lost_domains)
        draft.between_hubs["domain_reports"] = self._requested_reports()
        if self._fleet.is_hub():
            draft.between_hubs["unreachable"] = self._unreachable_members(live_peers)

    def _holder_hops(self, live_peers: Iterable[str]) -> int:
        if self.reaches_holder():
            return DIRECT_HOPS
        now = now_s()
        is_reached = self.contact.is_holder_reached(
            live_peers, since=now - REPORT_VALID_S, now=now, max_hops=DIRECT_HOPS
        )
        return DIRECT_HOPS + 1 if is_reached else 0

    def _find_lost_domains(self, live_peers: frozenset[str]) -> None:
        own_domain = self._fleet.domain
        lost = frozenset(
            domain
            for domain, hubs in self._fleet.hubs_by_domain.items()
            if domain != own_domain and hubs and not live_peers.intersection(hubs)
        )
        if lost != self._lost_domains:
            log_decision("domains_out_of_contact", domains=sorted(lost))
            self._lost_domains = lost

    def _requested_reports(self) -> dict[str, RelayedDomainReport]:
        now = now_s()
        reports = {}
        for domain, asked_at in self._asked_at_by_domain.items():
            if now - asked_at > REPORT_VALID_S or domain in self._lost_domains:
                continue
            report = self.contact.summary(domain, now)
            if report is not None:
                reports[domain] = RelayedDomainReport(
                    round(now - report.at, 3), sorted(report.unreachable)
                )
        return reports

    def _unreachable_members(self, live_peers: frozenset[str]) -> list[str]:
        own = self._fleet.state.vm
        return [
            vm
            for vm, member in self._fleet.state.member_by_vm().items()
            if member.domain == self._fleet.domain
            and vm != own
            and vm not in live_peers
            and not member.is_out
        ]
