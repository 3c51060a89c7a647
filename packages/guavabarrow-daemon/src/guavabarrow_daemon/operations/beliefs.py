"""What a VM believes now, for operators."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from guavabarrow_core.fleet_state import PrimaryRow
from guavabarrow_daemon.fleet.directory_service import DirectoryService
from guavabarrow_daemon.fleet.duty_service import DutyService
from guavabarrow_daemon.fleet.fleet_service import FleetService
from guavabarrow_daemon.fleet.peer_links import PeerLinks
from guavabarrow_daemon.fleet.primary_service import PrimaryService
from guavabarrow_daemon.fleet.rate_service import RateService

if TYPE_CHECKING:
    from guavabarrow_daemon.kernel import Kernel


class MemberBelief(msgspec.Struct, frozen=True):
    """One registered VM."""

    vm: str
    domain: str
    is_out: bool
    is_in_contact: bool


class PrimaryBelief(msgspec.Struct, frozen=True):
    """Primary of one service; ``may_be_used`` is this VM's own right."""

    service: str
    target: str
    term: int
    phase: str
    may_be_used: bool


class TargetBelief(msgspec.Struct, frozen=True):
    """One registered target, with evidence against it if there is any."""

    target: str
    service: str
    domain: str
    is_draining: bool
    evidence: str


class Beliefs(msgspec.Struct, frozen=True):
    """Everything that decides where a VM's statements go.

    Parameters
    ----------
    vm, incarnation : str
        The VM and its lifetime.
    table_age_s, targets_age_s : float
        Ages of the shared table and of the list of targets as known, in s.
    is_registered : bool
        Whether this lifetime may get rights.
    configuration : int
        Version in force, 0 if none.
    evacuated : list of str
        Failure domains whose targets get nothing.
    duty_holder : str
        VM that orders promotions.
    holds_duty : bool
        Whether this VM may order them now.
    pool_host : str
        VM whose tokens are used for teams' rates, empty if this VM uses its own part.
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
    members: list[MemberBelief]
    primaries: list[PrimaryBelief]
    targets: list[TargetBelief]


def read_beliefs(kernel: Kernel) -> Beliefs:
    """Return what a VM believes now."""
    fleet = kernel.find(FleetService)
    primary_service = kernel.find(PrimaryService)
    directory = kernel.find(DirectoryService)
    contacts = kernel.find(PeerLinks).live_peers()
    suspected = directory.suspected()
    state = fleet.state
    duty = state.duty()
    rows = [known.row for _, known in sorted(state.row_by_key.items())]
    return Beliefs(
        vm=state.vm,
        incarnation=state.incarnation,
        table_age_s=fleet.table_age_s(),
        targets_age_s=round(directory.age_s, 3),
        is_registered=state.is_registered(),
        configuration=fleet.configuration.version if fleet.configuration else 0,
        evacuated=sorted(fleet.evacuated),
        duty_holder=duty.holder if duty is not None else "",
        holds_duty=kernel.find(DutyService).may_order_promotions(),
        pool_host=kernel.find(RateService).rates.host,
        members=[
            MemberBelief(vm, member.domain, member.is_out, vm in contacts)
            for vm, member in sorted(state.member_by_vm().items())
        ],
        primaries=[
            PrimaryBelief(
                row.service,
                row.primary_id,
                row.term,
                row.phase.value,
                primary_service.may_use(row.service, row.primary_id),
            )
            for row in rows
            if isinstance(row, PrimaryRow)
        ],
        targets=[
            TargetBelief(
                entry.target_id,
                entry.service,
                entry.domain,
                entry.is_draining,
                suspected.get(entry.target_id, ""),
            )
            for entry in directory.entries()
        ],
    )
