"""Keeps the shared table and the operators' orders, from the store or other VMs."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall, deferLater

from guavabarrow_core.fleet_state import (
    FleetState,
    MemberRow,
    PrimaryRow,
    VersionedRow,
    member_key,
)
from guavabarrow_core.peer_topology import peers_to_link
from guavabarrow_core.store_clock import StoreClock
from guavabarrow_daemon.fleet.fleet_messages import (
    FleetMessage,
    FleetRows,
    PeerHeartbeat,
    SharedRow,
)
from guavabarrow_daemon.fleet.peer_links import PeerLinks
from guavabarrow_daemon.fleet.row_codec import decode_row, encode_row
from guavabarrow_daemon.kernel import Kernel, Service
from guavabarrow_daemon.operations.clock import now_s
from guavabarrow_daemon.operations.decision_log import log_decision
from guavabarrow_daemon.operations.session_metrics import SessionMetrics
from guavabarrow_daemon.store.exceptions import HistoryDropped, StoreUnavailable
from guavabarrow_daemon.store.watched_table import (
    OperatorOrders,
    TableReading,
    TableRow,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavabarrow_core.session_configuration import SessionConfiguration
    from guavabarrow_daemon.session_settings import SessionVmSettings
    from guavabarrow_daemon.store.watched_table import (
        OperatorSource,
        WatchedTable,
        Written,
    )

FLEET_WAIT_S = 1.2
"""Longest wait of one look at the shared table."""

HOLDER_WAIT_S = 0.5
"""The same at the holder of the duty, whose right is short."""

ORDERS_WAIT_S = 2.5
"""Longest wait of one look at the operators' table."""

STALE_S = 2.0
"""Age of the shared table that only an outage of the store explains."""

RETRY_S = 0.25
"""Pause after the store gave no answer."""

HEARTBEAT_INTERVAL_S = 0.7
MIN_HEARTBEAT_INTERVAL_S = 0.03
"""Shortest pause between two pulses of which one is sent because of a change."""

SOON_S = 0.15
"""Pause before a pulse for VMs that were linked; when many VMs start, links come up by
the dozen, and a pulse for each would fill a slow one."""

RELAY_LIMIT_S = 2.6
"""Age of the shared table up to which a VM leaves the store to its observer."""

RELAY_CHECK_S = 0.3


@dataclass(frozen=True, slots=True)
class HeartbeatDraft:
    """Fields of the next pulse.

    Parameters
    ----------
    common : dict
        Told to all VMs.
    inside, outside : dict
        Told to the own failure domain, and to the others.
    """

    common: dict[str, Any]
    inside: dict[str, Any] = field(default_factory=dict)
    outside: dict[str, Any] = field(default_factory=dict)


class FleetService(Service):
    """Shared table and operators' orders of one VM.

    Attributes
    ----------
    state : FleetState
        The shared table and the rights that follow from it.
    configuration : SessionConfiguration or None
        Version in force, None until one was read.
    evacuated : frozenset of str
        Failure domains whose targets get nothing.
    store_failed_at, stale_at : float
        Local times at which the store last gave no answer, and at which the table was
        last too old for a store that works.
    on_rows, on_orders, on_heartbeat : list of callable
        Called with changed rows; after changed orders; with each pulse.
    """

    name = "fleet"

    def __init__(
        self,
        kernel: Kernel,
        settings: SessionVmSettings,
        table: WatchedTable,
        orders: OperatorSource,
        reactor: Any,
        *,
        incarnation: str,
    ) -> None:
        super().__init__(kernel)
        self.state = FleetState(settings.vm, incarnation)
        self.clock = StoreClock()
        self.configuration: SessionConfiguration | None = None
        self.evacuated: frozenset[str] = frozenset()
        self.on_rows: list[Callable[[list[VersionedRow]], None]] = []
        self.on_orders: list[Callable[[], None]] = []
        self.on_heartbeat: list[Callable[[str, PeerHeartbeat], None]] = []
        self.heartbeat_fillers: list[Callable[[HeartbeatDraft], None]] = []
        self.store_failed_at = float("-inf")
        self.stale_at = float("-inf")
        self.is_stopping = False
        self._settings = settings
        self._table = table
        self._orders = orders
        self._reactor = reactor
        self._orders_version = 0
        self.order_row_by_key: dict[str, SharedRow] = {}
        self.heard_store_s = 0.0
        self._links = kernel.find(PeerLinks)
        self._pulse_by_vm: dict[str, tuple[float, PeerHeartbeat]] = {}
        self._pulse_at = 0.0
        self._is_pulse_due = False
        self._is_store_reachable: bool | None = None
        self._pulses: LoopingCall | None = None

    async def start(self) -> None:
        """Begin to follow both tables."""
        self._links.on_peer_message.append(self._on_message)
        Deferred.fromCoroutine(self._follow_fleet())
        Deferred.fromCoroutine(self._follow_orders())
        self._pulses = LoopingCall(self._pulse)
        self._pulses.clock = self._reactor
        self._pulses.start(HEARTBEAT_INTERVAL_S, now=False)

    async def stop(self) -> None:
        """Stop following."""
        self.is_stopping = True
        if self._pulses is not None and self._pulses.running:
            self._pulses.stop()

    async def write(self, key: str, row: Any) -> Written | None:
        """Write a row that is unchanged since it was last seen, and tell the others.

        Parameters
        ----------
        key : str
            Key of the row.
        row : FleetRow or None
            New row, None to drop it.

        Returns
        -------
        Written or None
            None if the store gave no answer; the row may change later.
        """
        sent_at = now_s()
        value = None if row is None else encode_row(row)
        try:
            written = await self._table.write(key, value, self.state.version_of(key))
        except StoreUnavailable as error:
            self._note_store(False, str(error))
            return None
        self._note_store(True)
        received_at = now_s()
        self.clock.observe(
            store_s=written.store_s, sent_at=sent_at, received_at=received_at
        )
        log_decision(
            "shared_row_written",
            key=key,
            applied=written.is_applied,
            version=written.version,
            row=str(row),
        )
        if written.is_applied:
            shared = SharedRow(key, written.version, value)
            self._links.broadcast(FleetRows([shared]))
            self._merge([shared])
        return written

    async def refresh(self) -> bool:
        """Read the shared table in full, False if the store gave no answer."""
        sent_at = now_s()
        try:
            reading = await self._table.read()
        except StoreUnavailable as error:
            self._note_store(False, str(error))
            return False
        self._note_store(True)
        self._hear(reading, sent_at, is_full=True)
        return True

    async def _follow_fleet(self) -> None:
        while not self.is_stopping:
            if self.state.version == 0:
                if await self.refresh():
                    await self._register()
                else:
                    await deferLater(self._reactor, RETRY_S, lambda: None)
                continue
            if not self.state.is_registered():
                # Others marked this VM as out, which it may know from them alone.
                await self._register()
                if not self.state.is_registered():
                    await deferLater(self._reactor, RETRY_S, lambda: None)
                continue
            if self._is_relayed():
                await deferLater(self._reactor, RELAY_CHECK_S, lambda: None)
                continue
            sent_at = now_s()
            try:
                wait_s = HOLDER_WAIT_S if self._has_duty() else FLEET_WAIT_S
                reading = await self._table.watch(self.state.version, wait_s)
            except HistoryDropped:
                log_decision("shared_table_history_dropped", version=self.state.version)
                if not await self.refresh():
                    await deferLater(self._reactor, RETRY_S, lambda: None)
                continue
            except StoreUnavailable as error:
                self._note_store(False, str(error))
                await deferLater(self._reactor, RETRY_S, lambda: None)
                continue
            self._note_store(True)
            self._hear(reading, sent_at, is_full=False)

    async def _register(self) -> None:
        own = MemberRow(
            vm=self._settings.vm,
            domain=self._settings.domain,
            host=self._settings.host,
            port=self._links.port,
            incarnation=self.state.incarnation,
        )
        written = await self.write(member_key(own.vm), own)
        if written is not None and written.is_applied:
            # Only a look after the registration may give a right.
            self.state.as_of = float("-inf")
        await self.refresh()

    def _hear(self, reading: TableReading, sent_at: float, *, is_full: bool) -> None:
        now = now_s()
        self.clock.observe(store_s=reading.store_s, sent_at=sent_at, received_at=now)
        rows = [decode_row(row.key, row.value, row.version) for row in reading.rows]
        as_of = max(sent_at, self.clock.earliest_local(reading.store_s))
        self.heard_store_s = max(self.heard_store_s, reading.store_s)
        changed = self.state.apply(
            rows, reading.version, as_of=as_of, now=now, is_full=is_full
        )
        self._tell_rows(changed)

    def _merge(self, rows: list[SharedRow]) -> None:
        decoded = [decode_row(row.key, row.value, row.version) for row in rows]
        self._tell_rows(self.state.merge(decoded, now_s()))

    def _tell_rows(self, changed: list[VersionedRow]) -> None:
        if not changed:
            return
        if any(not isinstance(row.row, PrimaryRow) for row in changed):
            self._choose_peers()
        for row in changed:
            if isinstance(row.row, PrimaryRow):
                log_decision(
                    "lead_known",
                    service=row.row.service,
                    primary=row.row.primary_id,
                    term=row.row.term,
                    phase=row.row.phase.value,
                    version=row.version,
                )
        for callback in self.on_rows:
            callback(changed)

    def _choose_peers(self) -> None:
        members = self.state.member_by_vm()
        duty = self.state.duty()
        peers = peers_to_link(
            self._settings.vm,
            self._settings.domain,
            members,
            duty.holder if duty is not None else "",
        )
        self._links.set_peers({vm: members[vm] for vm in peers if vm in members})

    async def _follow_orders(self) -> None:
        while not self.is_stopping:
            if self._orders_version > 0 and self._is_relayed():
                await deferLater(self._reactor, RELAY_CHECK_S, lambda: None)
                continue
            try:
                orders, reading = await self._look_at_orders()
            except HistoryDropped:
                log_decision("orders_history_dropped", version=self._orders_version)
                self._orders_version = 0
                continue
            except StoreUnavailable as error:
                self._note_store(False, str(error))
                await deferLater(self._reactor, RETRY_S, lambda: None)
                continue
            self._note_store(True)
            self._take_orders(orders, reading.rows, reading.version)

    async def _look_at_orders(self) -> tuple[OperatorOrders | None, TableReading]:
        if self._orders_version == 0:
            return await self._orders.read()
        return await self._orders.watch(self._orders_version, ORDERS_WAIT_S)

    def _take_orders(
        self, orders: OperatorOrders | None, rows: list[TableRow], version: int
    ) -> None:
        self._orders_version = max(self._orders_version, version)
        for row in rows:
            self.order_row_by_key[row.key] = SharedRow(row.key, row.version, row.value)
        if orders is None:
            return
        if orders.evacuated != self.evacuated:
            log_decision("evacuations_changed", domains=sorted(orders.evacuated))
        self.evacuated = orders.evacuated
        newest = orders.configuration
        current = self.configuration
        if newest and (current is None or newest.version > current.version):
            self.configuration = newest
            log_decision(
                "configuration_in_force",
                version=newest.version,
                routes=len(newest.route_by_database),
            )
            metrics = self.kernel.find(SessionMetrics)
            metrics.configuration_version.set(newest.version)
        for callback in self.on_orders:
            callback()
        self.send_heartbeat_now()

    @property
    def orders_row_version(self) -> int:
        """Version of the newest known row of the operators' table."""
        return max((row.version for row in self.order_row_by_key.values()), default=0)

    def observer(self) -> str:
        """Return the VM of the own failure domain that follows the store."""
        return self.state.observer(self._settings.domain, self._links.live_peers())

    def last_heartbeat(self, vm: str) -> tuple[float, PeerHeartbeat]:
        """Return a VM's last pulse and its age in s."""
        at, heartbeat = self._pulse_by_vm.get(vm, (float("-inf"), PeerHeartbeat()))
        return now_s() - at, heartbeat

    def apply_relayed_table(
        self, rows: list[SharedRow], version: int, rows_version: int, store_s: float
    ) -> None:
        """Take the shared table as another VM knows it.

        Parameters
        ----------
        rows : list of SharedRow
            All rows, or none if their newest version is known.
        version, rows_version : int
            Version up to which the sender knows all rows, and that of the newest.
        store_s : float
            Store time at which the sender read that.
        """
        if version < self.state.version:
            return
        if not rows and rows_version > self.state.rows_version:
            return
        decoded = [decode_row(row.key, row.value, row.version) for row in rows]
        as_of = self.clock.earliest_local(store_s)
        self.heard_store_s = max(self.heard_store_s, store_s)
        changed = self.state.apply(decoded, version, as_of=as_of, now=now_s())
        self._tell_rows(changed)

    def apply_relayed_orders(self, shared: list[SharedRow]) -> None:
        """Take the operators' table as another VM knows it."""
        rows = [TableRow(row.key, row.value, row.version) for row in shared]
        # The next look of this VM's own starts where its own last one ended.
        self._take_orders(self._orders.decode(rows), rows, self._orders_version)

    def _has_duty(self) -> bool:
        duty = self.state.duty()
        return duty is not None and duty.holder == self._settings.vm

    def _is_relayed(self) -> bool:
        observer = self.observer()
        is_own_task = self._has_duty() or observer == self._settings.vm
        if is_own_task or self.table_age_s() > RELAY_LIMIT_S:
            return False
        heartbeat_age_s, heartbeat = self.last_heartbeat(observer)
        return heartbeat_age_s + heartbeat.store_age_s < RELAY_LIMIT_S

    def _note_store(self, is_reachable: bool, detail: str = "") -> None:
        if not is_reachable:
            self.store_failed_at = now_s()
        if is_reachable != self._is_store_reachable:
            self._is_store_reachable = is_reachable
            event = "store_regained" if is_reachable else "store_lost"
            log_decision(event, detail=detail, table_age_s=self.table_age_s())

    def table_age_s(self) -> float:
        """Return the age of the shared table as known, in s."""
        return round(min(1e9, now_s() - self.state.as_of), 3)

    def send_heartbeat_now(self) -> None:
        """Tell the other VMs at once that something changed."""
        wait_s = self._pulse_at + MIN_HEARTBEAT_INTERVAL_S - now_s()
        if wait_s <= 0.0:
            self._pulse()
        else:
            self.send_heartbeat_soon(wait_s)

    def send_heartbeat_soon(self, wait_s: float = SOON_S) -> None:
        """Tell the other VMs shortly, together with what else changes until then."""
        if not self._is_pulse_due:
            self._is_pulse_due = True
            self._reactor.callLater(wait_s, self._pulse_if_due)

    def _pulse_if_due(self) -> None:
        if self._is_pulse_due and not self.is_stopping:
            self._pulse()

    def _pulse(self) -> None:
        self._pulse_at = now_s()
        self._is_pulse_due = False
        age_s = self.table_age_s()
        self.kernel.find(SessionMetrics).store_age.set(age_s)
        if age_s > STALE_S:
            self.stale_at = now_s()
        draft = HeartbeatDraft(
            {
                "store_age_s": age_s,
                "rows_version": self.state.rows_version,
                "orders_version": self.orders_row_version,
            }
        )
        for fill in self.heartbeat_fillers:
            fill(draft)
        self._links.dial_missing()
        inside = PeerHeartbeat(**draft.common, **draft.inside)
        outside = PeerHeartbeat(**draft.common, **draft.outside)
        domain = self._settings.domain
        self._links.broadcast_by_domain(domain, inside=inside, outside=outside)

    def _on_message(self, vm: str, message: FleetMessage) -> None:
        match message:
            case PeerHeartbeat():
                self._pulse_by_vm[vm] = (now_s(), message)
                for callback in self.on_heartbeat:
                    callback(vm, message)
            case FleetRows(rows):
                self._merge(rows)
