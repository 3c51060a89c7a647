"""Which VM orders promotions, and which VMs others count on."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall

from guavabarrow_core.fleet_state import (
    DUTY_KEY,
    DUTY_LEASE_S,
    DutyRow,
    MemberRow,
    VersionedRow,
    member_key,
)
from guavabarrow_core.peer_topology import hubs_by_domain
from guavabarrow_core.rendezvous import rank_of
from guavabarrow_daemon.fleet.fleet_service import FleetService
from guavabarrow_daemon.fleet.peer_links import PeerLinks
from guavabarrow_daemon.kernel import Kernel, Service
from guavabarrow_daemon.operations.clock import now_s
from guavabarrow_daemon.operations.decision_log import log_decision

if TYPE_CHECKING:
    from collections.abc import Callable

CHECK_S = 0.1
OUT_AFTER_S = 2.0
"""Silence after which a VM is marked as out, so that a later replacement of a
primary need not wait for it."""

MARK_AGAIN_S = 8.0
"""Pause before a VM that registered again, although it is still silent, is marked once
more; it then serves through the store alone."""

HOLDER_SILENT_S = 0.3
"""Silence of the holder, beyond the end of contact, after which others step in."""

MAX_TABLE_AGE_S = 1.6
"""Age of the shared table above which this VM may itself be cut off."""

LEARN_S = 2.0
"""Time in which a VM that just started links to the others; until then it can't tell
whether the holder is silent."""

MINORITY_S = 4.0
"""Further wait of VMs that reach less than half of the others: if those are alive, they
mark these as out within this time."""

MARKED_S = 10.0
"""Time for which a VM that was marked as out leaves the duty to those who did it."""

VACANT_S = 0.1
TAKEOVER_STEP_S = 0.2
"""Later candidates for the duty wait this much longer each."""


class DutyService(Service):
    """The duty of ordering promotions.

    Attributes
    ----------
    on_check : list of callable
        Called with the time, regularly, while this VM may act.
    on_taken : list of callable
        Called when this VM takes the duty.
    """

    name = "duty"

    def __init__(self, kernel: Kernel, reactor: Any) -> None:
        super().__init__(kernel)
        self.on_check: list[Callable[[float], None]] = []
        self.on_taken: list[Callable[[], None]] = []
        self._reactor = reactor
        self._fleet = kernel.find(FleetService)
        self._links = kernel.find(PeerLinks)
        self._silent_since: dict[str, float] = {}
        self._marked_at: dict[str, float] = {}
        self._holder_lost_at: float | None = None
        self._acts_from: float | None = None
        self._is_writing = False
        self._has_handed_over = False
        self._marked_out_at = float("-inf")
        self._registered_at: float | None = None
        self._checks: LoopingCall | None = None

    async def start(self) -> None:
        """Begin to check."""
        self._fleet.on_rows.append(self._on_rows)
        self._checks = LoopingCall(self._check)
        self._checks.clock = self._reactor
        self._checks.start(CHECK_S, now=False)

    async def stop(self) -> None:
        """Stop checking."""
        if self._checks is not None and self._checks.running:
            self._checks.stop()

    def may_order_promotions(self) -> bool:
        """Tell whether this VM may order promotions now."""
        now = now_s()
        is_time = self._acts_from is not None and now >= self._acts_from
        return is_time and self._fleet.state.holds_duty(now)

    async def hand_over(self) -> None:
        """Give the duty up, so that another VM takes it at once."""
        self._has_handed_over = True
        if not self._fleet.state.holds_duty(now_s()):
            return
        self._acts_from = None
        await self._fleet.write(DUTY_KEY, DutyRow("", ""))

    def _check(self) -> None:
        state = self._fleet.state
        if state.version == 0 or not state.is_registered():
            return
        now = now_s()
        if self._registered_at is None:
            self._registered_at = now
        self._track_silence(now)
        if not state.holds_duty(now):
            self._consider(now)
            return
        if self._has_handed_over or self._is_writing:
            return
        if self._acts_from is None:
            # The answer to the write was lost; the table tells that it was done.
            self._begin(acts_in_s=DUTY_LEASE_S)
        self._mark_silent_members(now)
        if not self.may_order_promotions():
            return
        for callback in self.on_check:
            callback(now)

    def _consider(self, now: float) -> None:
        state = self._fleet.state
        duty = state.duty()
        if self._is_writing or self._has_handed_over:
            return
        if duty is not None and duty.holder == state.vm:
            if duty.incarnation != state.incarnation:
                # The holder was this VM's earlier lifetime, which has ended.
                self._take(acts_in_s=0.0)
            return
        self._acts_from = None
        has_holder = duty is not None and bool(duty.holder)
        is_new = now - (self._registered_at or now) < LEARN_S
        if self._fleet.table_age_s() > MAX_TABLE_AGE_S or (has_holder and is_new):
            # A VM that was cut off, or just started, can't tell whether the holder is
            # silent.
            self._holder_lost_at = None
            return
        contacts = self._links.live_peers()
        if (
            duty is not None
            and duty.holder in contacts
            and self._links.incarnation_of(duty.holder) == duty.incarnation
        ):
            self._holder_lost_at = None
            return
        if self._holder_lost_at is None:
            self._holder_lost_at = now
        rank = self._rank(contacts)
        patience_s = HOLDER_SILENT_S if has_holder else VACANT_S
        if has_holder and not self._reaches_most(contacts):
            if now - self._marked_out_at < MARKED_S:
                return
            patience_s += MINORITY_S
        if now - self._holder_lost_at >= patience_s + rank * TAKEOVER_STEP_S:
            self._take(acts_in_s=DUTY_LEASE_S if has_holder else 0.0)

    def _reaches_most(self, contacts: frozenset[str]) -> bool:
        """Tell whether this VM is on the larger side of a cut, if there is one."""
        own = self._fleet.state.vm
        wanted = {
            vm
            for vm, member in self._fleet.state.member_by_vm().items()
            if self._links.is_peer(vm) and not member.is_out
        }
        reached = len(wanted & contacts) + 1
        total = len(wanted) + 1
        if 2 * reached == total:
            return min(wanted | {own}) in contacts | {own}
        return 2 * reached > total

    def _on_rows(self, rows: list[VersionedRow]) -> None:
        for row in rows:
            member = row.row
            if not isinstance(member, MemberRow):
                continue
            if member.vm == self._fleet.state.vm and member.is_out:
                self._marked_out_at = now_s()

    def _rank(self, contacts: frozenset[str]) -> int:
        """Return how many candidates come first; hubs are linked to everybody."""
        hubs = {
            vm
            for names in hubs_by_domain(self._fleet.state.member_by_vm()).values()
            for vm in names
        }
        candidates = contacts & hubs
        vm = self._fleet.state.vm
        if vm in hubs:
            return rank_of("duty", vm, candidates)
        return len(candidates) + rank_of("duty", vm, contacts - hubs)

    def _take(self, *, acts_in_s: float) -> None:
        self._is_writing = True
        state = self._fleet.state

        async def take() -> None:
            row = DutyRow(state.vm, state.incarnation)
            written = await self._fleet.write(DUTY_KEY, row)
            self._is_writing = False
            self._holder_lost_at = None
            if written is not None and written.is_applied:
                self._begin(acts_in_s=acts_in_s)

        Deferred.fromCoroutine(take())

    def _begin(self, *, acts_in_s: float) -> None:
        self._acts_from = now_s() + acts_in_s
        version = self._fleet.state.version_of(DUTY_KEY)
        log_decision("duty_taken", version=version, acts_in_s=acts_in_s)
        for callback in self.on_taken:
            callback()

    def _track_silence(self, now: float) -> None:
        contacts = self._links.live_peers()
        members = self._fleet.state.member_by_vm()
        for vm in set(members) | set(self._silent_since):
            if vm in members and vm not in contacts and self._links.is_peer(vm):
                self._silent_since.setdefault(vm, now)
            else:
                self._silent_since.pop(vm, None)

    def _mark_silent_members(self, now: float) -> None:
        for vm, member in self._fleet.state.member_by_vm().items():
            since = self._silent_since.get(vm, now)
            marked_at = self._marked_at.get(vm, float("-inf"))
            is_due = now - since > OUT_AFTER_S and now - marked_at > MARK_AGAIN_S
            if is_due and not member.is_out:
                self._marked_at[vm] = now
                out = replace(member, is_out=True)
                Deferred.fromCoroutine(self._fleet.write(member_key(vm), out))
