"""Passes what the store said on between VMs, so that few of them ask it.

One VM in each failure domain follows the store and one VM of the fleet reads the list
of targets. The others ask these VMs, and whoever the store turned away asks any VM that
knows more. Ages are carried along on the store's clock, so that nothing seems younger
than it is.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from twisted.internet.task import LoopingCall

from guavabarrow_daemon.fleet.directory_service import DirectoryService
from guavabarrow_daemon.fleet.fleet_messages import (
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
    from guavabarrow_core.fleet_state import VersionedRow

ASK_S = 0.7
"""Pace at which a VM asks the one that follows the store for it."""

ASK_AFTER_S = 1.8
"""Age of the shared table at which any VM that knows more is asked."""

MIN_GAIN_S = 0.3
"""A VM is worth asking if it is ahead by this much."""

ANSWER_LIMIT_S = 5.0
"""A VM that has not answered is asked again after this long. A large answer needs
seconds on a slow link, and asking meanwhile would only make it later."""


@dataclass(frozen=True, slots=True)
class Ask:
    """A request that has no answer yet."""

    number: int
    asked_at: float


class TableRelay(Service):
    """Asks other VMs for what the store said, and answers them."""

    name = "table_relay"

    def __init__(self, kernel: Kernel, reactor: Any) -> None:
        super().__init__(kernel)
        self._reactor = reactor
        self._fleet = kernel.find(FleetService)
        self._links = kernel.find(PeerLinks)
        self._directory = kernel.find(DirectoryService)
        self._ask_by_vm: dict[str, Ask] = {}
        self._answered_at_by_vm: dict[str, float] = {}
        self._packed_by_key: dict[str, SharedRow] = {}
        self._number = 0
        self._asks: LoopingCall | None = None

    async def start(self) -> None:
        """Begin to ask."""
        self._links.on_peer_message.append(self._on_message)
        self._links.on_peer_up.append(self._forget_ask)
        self._asks = LoopingCall(self._ask_observer)
        self._asks.clock = self._reactor
        self._asks.start(ASK_S, now=False)

    async def stop(self) -> None:
        """Stop asking."""
        if self._asks is not None and self._asks.running:
            self._asks.stop()

    def _forget_ask(self, vm: str) -> None:
        # What was asked on the former link is not answered on this one.
        self._ask_by_vm.pop(vm, None)

    def _ask_observer(self) -> None:
        observer = self._fleet.observer()
        if observer != self._fleet.state.vm:
            self._ask(observer)

    def _ask(self, vm: str) -> None:
        now = now_s()
        former = self._ask_by_vm.get(vm)
        if former is not None and now - former.asked_at < ANSWER_LIMIT_S:
            return
        if not self._links.is_linked(vm):
            return
        self._number += 1
        self._ask_by_vm[vm] = Ask(self._number, now)
        request = TableRequest(
            self._number,
            self._fleet.state.rows_version,
            self._fleet.orders_row_version,
            self._directory.change,
        )
        self._links.send(vm, request)

    def _on_message(self, vm: str, message: FleetMessage) -> None:
        match message:
            case PeerHeartbeat():
                self._on_heartbeat(vm, message)
            case TableRequest():
                self._answer(vm, message)
            case TableAnswer():
                self._take(vm, message)

    def _on_heartbeat(self, vm: str, heartbeat: PeerHeartbeat) -> None:
        own_age_s = self._fleet.table_age_s()
        is_ahead = own_age_s > ASK_AFTER_S and (
            heartbeat.store_age_s < own_age_s - MIN_GAIN_S
        )
        is_guide = vm == self._fleet.observer() or is_ahead
        is_newer = is_guide and (
            heartbeat.rows_version > self._fleet.state.rows_version
            or heartbeat.orders_version > self._fleet.orders_row_version
        )
        is_newer = is_newer or self._observer_lacks(heartbeat.orders_version)
        has_targets = self._follow_directory(vm, heartbeat)
        if not (is_ahead or is_newer or has_targets):
            return
        if now_s() - self._answered_at_by_vm.get(vm, 0.0) > MIN_GAIN_S:
            self._ask(vm)

    def _observer_lacks(self, orders_version: int) -> bool:
        """Tell whether to take orders from elsewhere: the store may turn it away."""
        if orders_version <= self._fleet.orders_row_version:
            return False
        observer = self._fleet.observer()
        if observer == self._fleet.state.vm:
            return True
        _, heartbeat = self._fleet.last_heartbeat(observer)
        return heartbeat.orders_version < orders_version and not self._ask_by_vm

    def _follow_directory(self, vm: str, heartbeat: PeerHeartbeat) -> bool:
        duty = self._fleet.state.duty()
        is_reader = duty is not None and duty.holder == vm
        if not is_reader or heartbeat.directory_age_s > self._directory.age_s:
            return False
        if heartbeat.directory_change == self._directory.change:
            self._directory.confirm_relayed(heartbeat.directory_age_s)
            return False
        return True

    def _answer(self, vm: str, request: TableRequest) -> None:
        fleet = self._fleet
        if not fleet.clock.is_set or fleet.state.version == 0:
            return
        rows_version = fleet.state.rows_version
        rows = [
            _share(known)
            for known in fleet.state.row_by_key.values()
            if known.version > request.rows_version
        ]
        orders = [
            self._pack(row)
            for row in fleet.order_row_by_key.values()
            if row.version > request.orders_version
        ]
        is_known = request.directory_change == self._directory.change
        answer = TableAnswer(
            number=request.number,
            store_s=fleet.clock.latest_store(now_s()),
            heard_store_s=fleet.heard_store_s,
            fleet_version=fleet.state.version,
            rows_version=rows_version,
            rows=rows,
            orders_version=fleet.orders_row_version,
            orders=orders,
            directory_age_s=self._directory.age_s,
            directory_change=self._directory.change,
            targets=None if is_known else self._directory.entries(),
        )
        self._links.send(vm, answer)

    def _pack(self, row: SharedRow) -> SharedRow:
        packed = self._packed_by_key.get(row.key)
        if packed is None or packed.version != row.version:
            packed = self._packed_by_key[row.key] = row.pack()
        return packed

    def _take(self, vm: str, answer: TableAnswer) -> None:
        ask = self._ask_by_vm.get(vm)
        if ask is None or ask.number != answer.number:
            return
        del self._ask_by_vm[vm]
        self._answered_at_by_vm[vm] = now_s()
        asked_at = ask.asked_at
        try:
            orders = [row.unpack() for row in answer.orders]
        except zlib.error as error:
            log_decision("relayed_orders_unreadable", peer=vm, detail=str(error))
            return
        # The answer was made after the request was sent: its store time bounds ours.
        self._fleet.clock.observe(
            store_s=answer.store_s, sent_at=asked_at, received_at=float("inf")
        )
        self._fleet.apply_relayed_table(
            answer.rows,
            answer.fleet_version,
            answer.rows_version,
            answer.heard_store_s,
        )
        if orders:
            self._fleet.apply_relayed_orders(orders)
        if answer.targets is not None:
            age_s = answer.directory_age_s + now_s() - asked_at
            self._directory.take_relayed(answer.targets, age_s)


def _share(known: VersionedRow) -> SharedRow:
    value = None if known.row is None else encode_row(known.row)
    return SharedRow(known.key, known.version, value)
