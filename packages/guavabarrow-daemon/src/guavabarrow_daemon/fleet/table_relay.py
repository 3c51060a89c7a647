"""Relays the store's data between VMs, so that only a few VMs read the store.

One VM in each failure domain, the observer, reads the tables, and one VM of the fleet
reads the list of targets. The other VMs request the data from them, and a VM that can't
reach the store requests it from any VM with newer data. Ages are passed on by the
store's clock, so that relayed data never appears newer than it is.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from guavabarrow_core.fleet_state import SPONSORSHIP_S
from guavabarrow_core.operator_rows import TableRow
from guavabarrow_daemon.fleet.directory_service import DirectoryService
from guavabarrow_daemon.fleet.fleet_messages import (
    UNKNOWN_AGE_S,
    FleetMessage,
    PeerHeartbeat,
    SharedRow,
    TableAnswer,
    TableRequest,
)
from guavabarrow_daemon.fleet.fleet_service import FleetService
from guavabarrow_daemon.fleet.peer_links import PeerLinks
from guavabarrow_daemon.fleet.row_codec import encode_row
from guavabarrow_daemon.kernel import Kernel, Service
from guavabarrow_daemon.operations.clock import now_s
from guavabarrow_daemon.operations.decision_log import log_decision

if TYPE_CHECKING:
    from twisted.internet.task import LoopingCall

    from guavabarrow_core.fleet_state import VersionedRow
    from guavabarrow_core.store_position import StorePosition

REQUEST_INTERVAL_S = 0.7
"""Interval at which a VM requests the tables from its observer."""

STALE_AFTER_S = 1.8
"""Age of the shared table beyond which any VM with a newer one is asked."""

STALE_ORDERS_AFTER_S = 2.4
"""The same for the operators' table: an observer confirms its copy once in 1.2 s, and
is asked for it within the interval of requests."""

MIN_LEAD_S = 0.3
"""Such a VM is asked if its copy is newer by at least this much. After its answer, it
is asked again after the same time at the earliest."""

SPONSOR_INTERVAL_S = 0.35
"""Interval at which a VM that can't register requests a sponsorship; a third of how
long one lasts."""

ANSWER_TIMEOUT_S = 5.0
"""An unanswered request is repeated after this long. A large answer takes seconds on a
slow link, and repeating the request sooner would only delay it further."""


@dataclass(frozen=True, slots=True)
class PendingRequest:
    """A request without an answer so far."""

    number: int
    sent_at: float


class TableRelay(Service):
    """Requests the store's data from other VMs, and answers their requests."""

    name = "table_relay"

    def __init__(self, kernel: Kernel, reactor: Any) -> None:
        super().__init__(kernel)
        self._reactor = reactor
        self._fleet = kernel.find(FleetService)
        self._links = kernel.find(PeerLinks)
        self._directory = kernel.find(DirectoryService)
        self._pending_by_vm: dict[str, PendingRequest] = {}
        self._answered_at_by_vm: dict[str, float] = {}
        self._packed_by_key: dict[str, SharedRow] = {}
        self._delayed_vms: set[str] = set()
        self._last_number = 0
        self._request_loop: LoopingCall | None = None
        self._sponsor_loop: LoopingCall | None = None

    async def start(self) -> None:
        """Start to send requests."""
        self._links.on_peer_message.append(self._on_message)
        self._links.on_peer_up.append(self._drop_pending)
        tasks = self.kernel.tasks
        self._request_loop = tasks.create_periodic(
            "table_request", self._request_from_observer, self._reactor
        )
        self._request_loop.start(REQUEST_INTERVAL_S, now=False)
        self._sponsor_loop = tasks.create_periodic(
            "sponsorship_request", self._request_sponsorship, self._reactor
        )
        self._follow_registration()

    async def stop(self) -> None:
        """Stop sending requests."""
        for loop in (self._request_loop, self._sponsor_loop):
            if loop is not None and loop.running:
                loop.stop()

    def _follow_registration(self) -> None:
        """Run the loop that requests sponsorships only while it is needed."""
        if self._sponsor_loop is None or self._fleet.is_stopping:
            return
        is_registered = self._fleet.state.is_registered()
        if is_registered and self._sponsor_loop.running:
            self._sponsor_loop.stop()
        elif not is_registered and not self._sponsor_loop.running:
            self._sponsor_loop.start(SPONSOR_INTERVAL_S, now=False)

    def _drop_pending(self, vm: str) -> None:
        # A request on the previous connection is not answered on the new one.
        self._pending_by_vm.pop(vm, None)

    def _request_from_observer(self) -> None:
        self._follow_registration()
        observer = self._fleet.observer()
        if observer != self._fleet.state.vm:
            self._request(observer)

    def _request_sponsorship(self) -> None:
        """Request a sponsorship from a registered VM while this one is not registered.

        A VM that did not answer the last request is not asked again at once.
        """
        state = self._fleet.state
        if state.version == 0 or state.is_registered():
            return
        members = state.member_by_vm()
        candidates = [
            members[vm]
            for vm in self._links.live_peers()
            if state.is_current_member(vm)
            and not members[vm].is_out
            and members[vm].incarnation == self._links.incarnation_of(vm)
            and not self._is_awaited(vm)
        ]
        if candidates:
            chosen = min(
                candidates,
                key=lambda member: (
                    member.vm != state.sponsor,
                    member.domain != self._fleet.domain,
                    member.relay_order,
                ),
            )
            self._request(chosen.vm, wants_sponsor=True)

    def _is_awaited(self, vm: str) -> bool:
        pending = self._pending_by_vm.get(vm)
        return pending is not None and now_s() - pending.sent_at < ANSWER_TIMEOUT_S

    def _request(self, vm: str, *, wants_sponsor: bool = False) -> None:
        now = now_s()
        if self._is_awaited(vm):
            return
        if not self._links.is_linked(vm):
            return
        self._last_number += 1
        self._pending_by_vm[vm] = PendingRequest(self._last_number, now)
        request = TableRequest(
            self._last_number,
            self._fleet.state.rows_version,
            self._fleet.orders.request_version,
            self._directory.list_digest,
            wants_sponsor,
            self._fleet.orders.configuration_version,
        )
        self._links.send(vm, request)

    def _on_message(self, vm: str, message: FleetMessage) -> None:
        match message:
            case PeerHeartbeat():
                self._on_heartbeat(vm, message)
            case TableRequest():
                self._answer(vm, message)
            case TableAnswer():
                self._apply(vm, message)

    def _on_heartbeat(self, vm: str, heartbeat: PeerHeartbeat) -> None:
        needs_targets = self._needs_target_list(vm, heartbeat)
        if not needs_targets and not self._has_newer_rows(vm, heartbeat):
            return
        wait_s = self._answered_at_by_vm.get(vm, 0.0) + MIN_LEAD_S - now_s()
        if wait_s <= 0.0:
            self._request(vm)
        elif vm not in self._delayed_vms:
            # Its next heartbeat may be much later.
            self._delayed_vms.add(vm)
            self._reactor.callLater(wait_s, self._request_delayed, vm)

    def _request_delayed(self, vm: str) -> None:
        self._delayed_vms.discard(vm)
        if self._fleet.is_stopping:
            return
        _, heartbeat = self._fleet.last_heartbeat(vm)
        if self._has_newer_rows(vm, heartbeat):
            self._request(vm)

    def _has_newer_rows(self, vm: str, heartbeat: PeerHeartbeat) -> bool:
        """Return whether a VM has rows that this one should request from it."""
        fleet = self._fleet
        orders_age_s = min(fleet.orders.age_s, UNKNOWN_AGE_S)
        lead_s = fleet.table_age_s() - heartbeat.store_age_s
        orders_lead_s = orders_age_s - heartbeat.orders_age_s
        are_orders_stale = (
            orders_age_s > STALE_ORDERS_AFTER_S or not fleet.orders.is_confirmed()
        )
        is_ahead = (fleet.table_age_s() > STALE_AFTER_S and lead_s > MIN_LEAD_S) or (
            are_orders_stale and orders_lead_s > MIN_LEAD_S
        )
        is_source = is_ahead or vm == fleet.observer()
        has_newer = (
            heartbeat.rows_version > fleet.state.rows_version
            or heartbeat.orders_version > fleet.orders.received_version
        )
        return (
            is_ahead
            or (is_source and has_newer)
            or self._observer_lacks_orders(heartbeat.orders_version)
            or self._remembers_newer_configuration(heartbeat)
        )

    def _remembers_newer_configuration(self, heartbeat: PeerHeartbeat) -> bool:
        """Return whether a VM has a configuration that the store has lost."""
        orders = self._fleet.orders
        return (
            heartbeat.configuration_version > orders.configuration_version
            and heartbeat.orders_version <= orders.received_version
        )

    def _observer_lacks_orders(self, orders_version: StorePosition) -> bool:
        """Return whether the observer lacks orders; it may not reach the store."""
        if orders_version <= self._fleet.orders.received_version:
            return False
        observer = self._fleet.observer()
        if observer == self._fleet.state.vm:
            return True
        _, heartbeat = self._fleet.last_heartbeat(observer)
        return heartbeat.orders_version < orders_version and not self._pending_by_vm

    def _needs_target_list(self, vm: str, heartbeat: PeerHeartbeat) -> bool:
        duty = self._fleet.state.duty()
        is_reader = duty is not None and duty.holder == vm
        if not is_reader or heartbeat.directory_age_s > self._directory.age_s:
            return False
        if heartbeat.directory_change == self._directory.list_digest:
            self._directory.confirm_relayed_listing(heartbeat.directory_age_s)
            return False
        return True

    def _answer(self, vm: str, request: TableRequest) -> None:
        fleet = self._fleet
        if not fleet.clock.is_set or fleet.state.version == 0:
            return
        rows_version = fleet.state.rows_version
        rows = [
            _to_shared_row(row)
            for row in fleet.state.row_by_key.values()
            if row.version > request.rows_version
        ]
        copy = fleet.orders.rows
        orders = [
            self._pack(row)
            for row in fleet.orders.rows_for(
                request.orders_version, request.configuration_version
            )
        ]
        is_current = request.directory_change == self._directory.list_digest
        answer = TableAnswer(
            number=request.number,
            store_s=fleet.clock.latest_store(now_s()),
            heard_store_s=fleet.heard_store_s,
            fleet_version=fleet.state.version,
            rows_version=rows_version,
            rows=rows,
            orders_version=copy.newest_version,
            orders=orders,
            orders_read_version=copy.version,
            orders_store_s=copy.store_s,
            order_keys=fleet.orders.live_keys(),
            directory_age_s=self._directory.age_s,
            directory_change=self._directory.list_digest,
            targets=None if is_current else self._directory.entries(),
            is_sponsor=request.wants_sponsor and self._grant_sponsorship(),
            era=fleet.state.era,
        )
        self._links.send(vm, answer)

    def _grant_sponsorship(self) -> bool:
        now = now_s()
        state = self._fleet.state
        if not (state.is_registered() and state.has_primary_lease(now)):
            return False
        self._fleet.sponsoring_until = now + SPONSORSHIP_S
        return True

    def _pack(self, row: TableRow) -> SharedRow:
        packed = self._packed_by_key.get(row.key)
        if packed is None or packed.version != row.version:
            packed = SharedRow(row.key, row.version, row.value).compress()
            self._packed_by_key[row.key] = packed
        return packed

    def _apply(self, vm: str, answer: TableAnswer) -> None:
        pending = self._pending_by_vm.get(vm)
        if pending is None or pending.number != answer.number:
            return
        del self._pending_by_vm[vm]
        self._answered_at_by_vm[vm] = now_s()
        sent_at = pending.sent_at
        self._fleet.follow_era(answer.era, vm)
        if answer.era != self._fleet.state.era:
            log_decision("former_table_ignored", peer=vm, era=answer.era)
            return
        try:
            orders = [_to_table_row(row.decompress()) for row in answer.orders]
        except zlib.error as error:
            log_decision("relayed_orders_unreadable", peer=vm, detail=str(error))
            return
        # The answer was made after the request was sent, so `sent_at` is a lower bound
        # for the local time that belongs to its store time.
        self._fleet.clock.observe(
            store_s=answer.store_s, sent_at=sent_at, received_at=float("inf")
        )
        self._fleet.apply_relayed_table(
            answer.rows,
            answer.fleet_version,
            answer.rows_version,
            answer.heard_store_s,
        )
        if answer.is_sponsor:
            self._accept_sponsorship(vm, answer, sent_at)
        self._fleet.orders.apply_relayed(
            orders,
            source=vm,
            version=answer.orders_read_version,
            store_s=answer.orders_store_s,
            live_keys=answer.order_keys,
        )
        if answer.targets is not None:
            age_s = answer.directory_age_s + now_s() - sent_at
            self._directory.apply_relayed_listing(answer.targets, age_s)

    def _accept_sponsorship(self, vm: str, answer: TableAnswer, sent_at: float) -> None:
        # The sponsor relies on these rows being known here, also those of a table that
        # is otherwise older than this VM's.
        self._fleet.merge_relayed_rows(answer.rows)
        state = self._fleet.state
        if vm != state.sponsor or now_s() > state.sponsored_until:
            log_decision("sponsored", sponsor=vm, table_age_s=self._fleet.table_age_s())
        state.accept_sponsorship(vm, self._links.incarnation_of(vm), sent_at)


def _to_table_row(row: SharedRow) -> TableRow:
    return TableRow(row.key, row.value, row.version)


def _to_shared_row(row: VersionedRow) -> SharedRow:
    value = None if row.row is None else encode_row(row.row)
    return SharedRow(row.key, row.version, value)
