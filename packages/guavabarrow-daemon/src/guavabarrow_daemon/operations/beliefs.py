"""Local view of a VM, served to operators for diagnostics."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from guavabarrow_core.fleet_state import LeadRow
from guavabarrow_daemon.fleet.contact_service import ContactService
from guavabarrow_daemon.fleet.directory_service import DirectoryService
from guavabarrow_daemon.fleet.duty_service import DutyService
from guavabarrow_daemon.fleet.fleet_service import FleetService
from guavabarrow_daemon.fleet.peer_links import PeerLinks
from guavabarrow_daemon.fleet.primary_service import PrimaryService
from guavabarrow_daemon.fleet.rate_service import RateService
from guavabarrow_daemon.operations.clock import now_s

if TYPE_CHECKING:
    from guavabarrow_daemon.kernel import Kernel


class MemberView(msgspec.Struct, frozen=True):
    """A registered VM, as this VM sees it.

    ``is_reported`` is true if a hub of its failure domain reports contact with it.
    """

    vm: str
    domain: str
    is_out: bool
    is_in_contact: bool
    is_reported: bool = False


class PrimaryView(msgspec.Struct, frozen=True):
    """Primary of a service; ``may_be_used`` is true if this VM may use it now."""

    service: str
    target: str
    term: int
    phase: str
    may_be_used: bool


class TargetView(msgspec.Struct, frozen=True):
    """A registered target; ``evidence`` is recent evidence of a failure, if any."""

    target: str
    service: str
    domain: str
    is_draining: bool
    evidence: str


class LocalView(msgspec.Struct, frozen=True):
    """Cached state that determines how a VM routes statements.

    Parameters
    ----------
    vm, incarnation : str
        Name and process incarnation of the VM.
    table_age_s, targets_age_s : float
        Ages of the cached shared table and of the cached target list, in s.
    is_registered : bool
        Whether this incarnation may obtain leases.
    configuration : int
        Version of the active configuration, 0 if there is none.
    evacuated : list of str
        Failure domains whose targets receive no statements.
    duty_holder : str
        VM that holds the promotion duty, empty if there is none.
    holds_duty : bool
        Whether this VM may order promotions now.
    sponsor : str
        VM by whose sponsorship this one uses primaries, empty if it does not.
    hubs : dict of str to list of str
        Hubs of each failure domain.
    pool_host : str
        VM whose token pool limits the teams' rates, empty if this VM uses its own
        share.
    """

    vm: str
    incarnation: str
    table_age_s: float
    targets_age_s: float
    is_registered: bool
    configuration: int
    evacuated: list[str]
    duty_holder: str
    holds_duty: bool
    pool_host: str
    members: list[MemberView]
    primaries: list[PrimaryView]
    targets: list[TargetView]
    sponsor: str = ""
    hubs: dict[str, list[str]] = {}


def read_local_view(kernel: Kernel) -> LocalView:
    """Collect the local view of a VM."""
    fleet = kernel.find(FleetService)
    primary_service = kernel.find(PrimaryService)
    directory = kernel.find(DirectoryService)
    live_peers = kernel.find(PeerLinks).live_peers()
    contact = kernel.find(ContactService)
    suspected = directory.suspected()
    state = fleet.state
    duty = state.duty()
    rows = [cached.row for _, cached in sorted(state.row_by_key.items())]
    return LocalView(
        vm=state.vm,
        incarnation=state.incarnation,
        table_age_s=fleet.table_age_s(),
        targets_age_s=round(directory.age_s, 3),
        is_registered=state.is_registered(),
        configuration=fleet.configuration.version if fleet.configuration else 0,
        evacuated=sorted(fleet.evacuated),
        duty_holder=duty.holder if duty is not None else "",
        holds_duty=kernel.find(DutyService).may_order_promotions(),
        sponsor=state.sponsor if state.is_sponsored(now_s()) else "",
        hubs={domain: list(vms) for domain, vms in fleet.hubs_by_domain.items()},
        pool_host=kernel.find(RateService).rates.host,
        members=[
            MemberView(
                vm,
                member.domain,
                member.is_out,
                vm in live_peers,
                contact.is_reached(vm, frozenset()),
            )
            for vm, member in sorted(state.member_by_vm().items())
        ],
        primaries=[
            PrimaryView(
                row.service,
                row.primary_id,
                row.term,
                row.phase.value,
                primary_service.may_use(row.service, row.primary_id),
            )
            for row in rows
            if isinstance(row, LeadRow)
        ],
        targets=[
            TargetView(
                entry.target_id,
                entry.service,
                entry.domain,
                entry.is_draining,
                suspected.get(entry.target_id, ""),
            )
            for entry in directory.entries()
        ],
    )
