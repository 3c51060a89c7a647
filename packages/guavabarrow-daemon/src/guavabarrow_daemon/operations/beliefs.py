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
from guavabarrow_daemon.front.service_host_service import ServiceHostService
from guavabarrow_daemon.kernel import UnknownService
from guavabarrow_daemon.operations.clock import now_s
from guavabarrow_daemon.targets.pool_view import PoolView
from guavabarrow_daemon.usage.reporting_service import UsageReporting, UsageStatus

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


class HostedServiceView(msgspec.Struct, frozen=True):
    """Where the statements of a service run.

    Parameters
    ----------
    service : str
        The service.
    host : str
        VM that runs this VM's statements; its own name if it does so itself.
    is_host : bool
        Whether this VM runs statements for others.
    statements, transactions : int
        Running statements and open transactions of other VMs.
    origins : list of str
        The VMs that they come from.
    """

    service: str
    host: str
    is_host: bool
    statements: int
    transactions: int
    origins: list[str]


class TargetLimitView(msgspec.Struct, frozen=True):
    """Concurrency limit of a target at this VM.

    Parameters
    ----------
    target : str
        The target.
    window : float
        Statements that this VM may run at once.
    is_probed : bool
        Whether the target fails so often that it only gets probes.
    """

    target: str
    window: float
    is_probed: bool


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
    hosted_services : list of HostedServiceView
        Services whose statements one VM of each failure domain runs.
    pools : list of PoolView
        Connections and queues of the targets that this VM has used.
    limits : list of TargetLimitView
        Concurrency limits of these targets.
    usage : UsageStatus or None
        State of the usage reports, None if the settings don't ask for any.
    store_era : int
        Era of the store that this VM knows.
    table_position, orders_position : str
        Era and version up to which it knows the shared and the operators' table.
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
    hosted_services: list[HostedServiceView] = []
    pools: list[PoolView] = []
    limits: list[TargetLimitView] = []
    usage: UsageStatus | None = None
    store_era: int = 0
    table_position: str = ""
    orders_position: str = ""


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
        hosted_services=_read_hosted_services(kernel),
        pools=[pool.describe() for _, pool in sorted(directory.pool_by_id.items())],
        limits=[
            TargetLimitView(target_id, round(pool.window.size, 2), pool.load.is_probed)
            for target_id, pool in sorted(directory.pool_by_id.items())
        ],
        usage=_read_usage(kernel),
        store_era=state.era,
        table_position=str(state.version),
        orders_position=str(fleet.orders.rows.version),
    )


def _read_hosted_services(kernel: Kernel) -> list[HostedServiceView]:
    overview = kernel.find(ServiceHostService).overview()
    return [
        HostedServiceView(
            service,
            status.host,
            status.is_host,
            status.statements,
            status.transactions,
            list(status.origins),
        )
        for service, status in sorted(overview.items())
        if status.is_hosted
    ]


def _read_usage(kernel: Kernel) -> UsageStatus | None:
    try:
        return kernel.find(UsageReporting).status()
    except UnknownService:
        # Registered only where the settings name the duty.
        return None
