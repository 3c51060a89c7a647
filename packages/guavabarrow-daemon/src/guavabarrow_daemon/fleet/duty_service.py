"""Elects the VM that orders promotions, and marks unreachable VMs as unavailable.

The right to order promotions is the promotion duty, a lease in the shared table.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Any

from guavabarrow_core.fleet_state import (
    DUTY_KEY,
    DUTY_LEASE_S,
    PRIMARY_LEASE_S,
    DutyRow,
    MemberRow,
    VersionedRow,
    member_key,
)
from guavabarrow_core.rendezvous import rank_of
from guavabarrow_core.store_position import NO_POSITION
from guavabarrow_daemon.fleet.contact_service import ContactService
from guavabarrow_daemon.fleet.fleet_service import FleetService
from guavabarrow_daemon.fleet.peer_links import PeerLinks
from guavabarrow_daemon.kernel import Kernel, Service
from guavabarrow_daemon.operations.clock import now_s
from guavabarrow_daemon.operations.decision_log import log_decision

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.task import LoopingCall

    from guavabarrow_daemon.fleet.fleet_service import HeartbeatDraft

CHECK_INTERVAL_S = 0.1
INNER_CHECK_INTERVAL_S = 0.5
"""The same for VMs that are neither hubs nor the holder. They take over only if no hub
does, and most VMs of a large fleet are such."""

UNAVAILABLE_AFTER_S = 2.0
"""Time without contact after which a VM is marked unavailable, so that a later
replacement of a primary need not wait for its lease to expire."""

MARK_AGAIN_DELAY_S = 8.0
"""Delay before an unreachable VM that registered again is marked once more. Until then
it serves callers with the store as its only source."""

HOLDER_TIMEOUT_S = 0.3
"""Time after the loss of contact with the holder at which other VMs take over."""

MAX_TABLE_AGE_S = 1.6
"""Age of the shared table above which this VM may itself be disconnected."""

STARTUP_GRACE_S = 2.0
"""Time that a VM needs after its start to connect to its peers. Until then it cannot
judge whether the holder is unreachable."""

MINORITY_DELAY_S = 4.0
"""Additional delay for a VM in the minority of a network partition. If the majority is
alive, it marks this VM unavailable within this time."""

MARKED_BACKOFF_S = 10.0
"""Time for which a VM that was marked unavailable leaves the duty to the VMs that
marked it."""

RELEASE_AFTER_S = 0.5
"""Time without access to the store after which a holder gives the duty up, if others
have access."""

VACANT_DELAY_S = 0.1
"""Delay before a duty that has no holder is taken over."""

FORMER_HOLDER_LEAD_S = 0.5
"""Time for which the holder of a former era of the store may take the duty first. Its
own rows are the newest of all VMs' on what it ordered."""

TAKEOVER_STAGGER_S = 0.2
"""Additional delay per rank, so that candidates take over one after another."""


class DutyService(Service):
    """Election of the holder of the promotion duty.

    Attributes
    ----------
    on_check : list of callable
        Called with the local time, in s, periodically while this VM may order
        promotions.
    on_acquired : list of callable
        Called when this VM becomes the holder.
    is_request_pending : callable
        Returns whether a promotion was requested whose outcome is not known yet.
    """

    name = "duty"

    def __init__(self, kernel: Kernel, reactor: Any) -> None:
        super().__init__(kernel)
        self.on_check: list[Callable[[float], None]] = []
        self.on_acquired: list[Callable[[], None]] = []
        self.is_request_pending: Callable[[], bool] = lambda: False
        self._reactor = reactor
        self._fleet = kernel.find(FleetService)
        self._links = kernel.find(PeerLinks)
        self._contact = kernel.find(ContactService)
        self._unreachable_since: dict[str, float] = {}
        self._marked_at: dict[str, float] = {}
        self._holder_lost_at: float | None = None
        self._holder_unreachable_since: float | None = None
        self._active_from: float | None = None
        self._is_write_pending = False
        self._has_handed_over = False
        self._released_version = NO_POSITION
        self._marked_unavailable_at = float("-inf")
        self._registered_at: float | None = None
        self._check_loop: LoopingCall | None = None

    async def start(self) -> None:
        """Start the periodic checks."""
        self._fleet.on_rows.append(self._on_rows)
        self._fleet.heartbeat_fillers.append(self._fill_heartbeat)
        self._check_loop = self.kernel.tasks.create_periodic(
            "duty_check", self._check, self._reactor
        )
        self._check_loop.start(CHECK_INTERVAL_S, now=False)

    async def stop(self) -> None:
        """Stop the periodic checks."""
        if self._check_loop is not None and self._check_loop.running:
            self._check_loop.stop()

    def _set_check_interval(self) -> None:
        is_candidate = self._fleet.is_hub() or self._fleet.is_duty_holder()
        has_started = self._registered_at is not None
        if self._check_loop is not None:
            self._check_loop.interval = (
                INNER_CHECK_INTERVAL_S
                if has_started and not is_candidate
                else CHECK_INTERVAL_S
            )

    def may_order_promotions(self) -> bool:
        """Return whether this VM may order promotions now."""
        now = now_s()
        is_active = self._active_from is not None and now >= self._active_from
        return (
            is_active and not self._has_released() and self._fleet.state.holds_duty(now)
        )

    def _has_released(self) -> bool:
        version = self._fleet.state.version_of(DUTY_KEY)
        return self._released_version == version > NO_POSITION

    def former_leases_until(self) -> float:
        """Return the local time, in s, at which all leases of former eras have ended.

        VMs of which no row tells may use a primary until then: the store may have lost
        their registrations.
        """
        duty = self._fleet.state.duty()
        if duty is None or duty.era_since_store_s is None:
            return float("-inf")
        since = self._fleet.clock.latest_local(duty.era_since_store_s)
        return since + PRIMARY_LEASE_S

    async def hand_over(self) -> None:
        """Release the duty, so that another VM can take it over immediately."""
        self._has_handed_over = True
        if not self._fleet.state.holds_duty(now_s()):
            return
        self._active_from = None
        await self._fleet.write(DUTY_KEY, self._new_row("", ""))

    def _new_row(self, holder: str, incarnation: str) -> DutyRow:
        state = self._fleet.state
        duty = state.duty()
        since_s = duty.era_since_store_s if duty is not None else None
        if state.is_former(DUTY_KEY):
            since_s = self._fleet.clock.latest_store(now_s())
        return DutyRow(holder, incarnation, since_s)

    def _check(self) -> None:
        self._set_check_interval()
        state = self._fleet.state
        if state.version == 0 or not state.is_registered():
            return
        now = now_s()
        if self._registered_at is None:
            self._registered_at = now
        self._track_unreachable_members(now)
        if not state.holds_duty(now):
            self._consider_takeover(now)
            return
        if self._has_handed_over or self._is_write_pending:
            return
        if self._has_released():
            if self._fleet.store_lost_at is None:
                self._acquire(acts_in_s=0.0)
            return
        if self._should_release(now):
            self._release()
            return
        if self._active_from is None:
            # The reply to the write was lost, but the table shows that it was applied.
            self._activate(acts_in_s=DUTY_LEASE_S)
        self._mark_unreachable_members(now)
        if not self.may_order_promotions():
            return
        for callback in self.on_check:
            callback(now)

    def _should_release(self, now: float) -> bool:
        """Return whether this VM can't write to the store although others can.

        The table was relayed to it since, so another VM has read the store.
        """
        lost_at = self._fleet.store_lost_at
        return (
            lost_at is not None
            and now - lost_at > RELEASE_AFTER_S
            and self._fleet.state.as_of > lost_at
            and not self.is_request_pending()
        )

    def _release(self) -> None:
        """Give the duty up, so that a VM with access to the store takes it at once.

        This VM orders nothing more under the present row, and none of its requests is
        pending, so the successor need not wait for the lease to expire.
        """
        self._active_from = None
        self._released_version = self._fleet.state.version_of(DUTY_KEY)
        log_decision("duty_released", version=str(self._released_version))
        self._fleet.send_heartbeat_now()

    def _fill_heartbeat(self, draft: HeartbeatDraft) -> None:
        if self._has_released() and self._fleet.is_duty_holder():
            draft.common["released_duty"] = self._released_version

    def _is_released_by(self, holder: str) -> bool:
        """Return whether another VM has given up the duty that it still holds."""
        _, heartbeat = self._fleet.last_heartbeat(holder)
        version = self._fleet.state.version_of(DUTY_KEY)
        return heartbeat.released_duty == version > NO_POSITION

    def _consider_takeover(self, now: float) -> None:
        state = self._fleet.state
        duty = state.duty()
        if self._is_write_pending or self._has_handed_over:
            return
        is_former = state.is_former(DUTY_KEY)
        if duty is not None and duty.holder == state.vm:
            if is_former:
                if self._fleet.store_lost_at is None:
                    self._acquire(acts_in_s=DUTY_LEASE_S)
            elif duty.incarnation != state.incarnation:
                # The holder is a previous incarnation of this VM, which has ended.
                self._acquire(acts_in_s=0.0)
            return
        self._active_from = None
        if is_former and now - state.era_since < FORMER_HOLDER_LEAD_S:
            return
        has_holder = duty is not None and bool(duty.holder) and not is_former
        is_starting = now - (self._registered_at or now) < STARTUP_GRACE_S
        if self._fleet.table_age_s() > MAX_TABLE_AGE_S or (has_holder and is_starting):
            # A VM that was disconnected or has just started cannot judge whether the
            # holder is unreachable.
            self._holder_unreachable_since = None
            return
        if duty is not None and has_holder and self._is_released_by(duty.holder):
            self._take_over_released(duty.holder, now)
            return
        if self._contact.reaches_holder() and not is_former:
            self._holder_lost_at = self._holder_unreachable_since = None
            return
        if self._holder_lost_at is None:
            self._holder_lost_at = now
            # The others' answers show whether only this VM has lost the holder.
            self._fleet.send_heartbeat_now()
        if self._holder_unreachable_since is None:
            self._holder_unreachable_since = now
        if has_holder and self._contact.is_holder_reached_by_others(
            self._holder_lost_at
        ):
            self._holder_unreachable_since = now
            return
        live_peers = self._links.live_peers()
        rank = self._candidate_rank(live_peers)
        delay_s = HOLDER_TIMEOUT_S if has_holder else VACANT_DELAY_S
        if has_holder and not self._is_in_majority(live_peers):
            if now - self._marked_unavailable_at < MARKED_BACKOFF_S:
                return
            delay_s += MINORITY_DELAY_S
        if now - self._holder_unreachable_since >= delay_s + rank * TAKEOVER_STAGGER_S:
            self._acquire(acts_in_s=DUTY_LEASE_S if has_holder or is_former else 0.0)

    def _take_over_released(self, holder: str, now: float) -> None:
        if self._fleet.store_lost_at is not None:
            return
        if self._holder_unreachable_since is None:
            self._holder_unreachable_since = now
        rank = self._candidate_rank(self._links.live_peers() - {holder})
        waited_s = now - self._holder_unreachable_since
        if waited_s >= VACANT_DELAY_S + rank * TAKEOVER_STAGGER_S:
            self._acquire(acts_in_s=0.0)

    def _is_in_majority(self, live_peers: frozenset[str]) -> bool:
        """Return whether the majority of the available VMs is within reach.

        VMs without a link to this one are within reach if a hub of their failure domain
        reports so. If exactly half is reached, the half with the first VM by name is
        the majority.
        """
        own = self._fleet.state.vm
        available = {
            vm
            for vm, member in self._fleet.state.member_by_vm().items()
            if not member.is_out
        } | {own}
        reached = {own} | {
            vm for vm in available if self._contact.is_reached(vm, live_peers)
        }
        if 2 * len(reached) == len(available):
            return min(available) in reached
        return 2 * len(reached) > len(available)

    def _on_rows(self, rows: list[VersionedRow]) -> None:
        for row in rows:
            member = row.row
            if not isinstance(member, MemberRow):
                continue
            if member.vm == self._fleet.state.vm and member.is_out:
                self._marked_unavailable_at = now_s()

    def _candidate_rank(self, live_peers: frozenset[str]) -> int:
        """Return how many candidates precede this VM.

        Hubs come first, because they are connected to all VMs.
        """
        hubs = {vm for names in self._fleet.hubs_by_domain.values() for vm in names}
        candidates = live_peers & hubs
        vm = self._fleet.state.vm
        if vm in hubs:
            return rank_of("duty", vm, candidates)
        return len(candidates) + rank_of("duty", vm, live_peers - hubs)

    def _acquire(self, *, acts_in_s: float) -> None:
        self._is_write_pending = True
        state = self._fleet.state

        async def acquire() -> None:
            row = self._new_row(state.vm, state.incarnation)
            try:
                written = await self._fleet.write(DUTY_KEY, row)
            finally:
                self._is_write_pending = False
                self._holder_unreachable_since = None
            if written is not None and written.is_applied:
                self._activate(acts_in_s=acts_in_s)

        self.kernel.tasks.start("duty_acquire", acquire())

    def _activate(self, *, acts_in_s: float) -> None:
        self._active_from = now_s() + acts_in_s
        version = self._fleet.state.version_of(DUTY_KEY)
        log_decision("duty_taken", version=str(version), acts_in_s=acts_in_s)
        for callback in self.on_acquired:
            callback()

    def _track_unreachable_members(self, now: float) -> None:
        if not (self._fleet.is_hub() or self._fleet.is_duty_holder()):
            self._unreachable_since.clear()
            return
        live_peers = self._links.live_peers()
        members = self._fleet.state.member_by_vm()
        for vm in set(members) | set(self._unreachable_since):
            if vm in members and self._is_unreachable(vm, live_peers):
                self._unreachable_since.setdefault(vm, now)
            else:
                self._unreachable_since.pop(vm, None)

    def _is_unreachable(self, vm: str, live_peers: frozenset[str]) -> bool:
        if self._contact.is_reached(vm, live_peers):
            return False
        return self._links.is_peer(vm) or self._contact.is_reported_unreachable(vm)

    def _mark_unreachable_members(self, now: float) -> None:
        state = self._fleet.state
        for vm, member in list(state.member_by_vm().items()):
            since = self._unreachable_since.get(vm, now)
            marked_at = self._marked_at.get(vm, float("-inf"))
            is_due = (
                now - since > UNAVAILABLE_AFTER_S
                and now - marked_at > MARK_AGAIN_DELAY_S
            )
            if is_due and not member.is_out and state.is_current_member(vm):
                self._marked_at[vm] = now
                out = replace(member, is_out=True)
                self.kernel.tasks.start(
                    "member_mark", self._fleet.write(member_key(vm), out)
                )
