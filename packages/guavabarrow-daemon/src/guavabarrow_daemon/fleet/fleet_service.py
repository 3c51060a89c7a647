"""Follows the shared table and the operators' orders, in the store or via other VMs."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from twisted.internet.task import deferLater

from guavabarrow_core.fleet_state import (
    SPONSORSHIP_S,
    FleetState,
    LeadRow,
    MemberRow,
    VersionedRow,
    member_key,
)
from guavabarrow_core.peer_topology import hubs_by_domain, peers_to_link
from guavabarrow_core.service_host import HostSelection
from guavabarrow_core.store_clock import StoreClock
from guavabarrow_core.store_position import NO_POSITION, StorePosition
from guavabarrow_daemon.fleet.fleet_messages import (
    UNKNOWN_AGE_S,
    UNKNOWN_STORE_S,
    Departure,
    FleetMessage,
    FleetRows,
    PeerHeartbeat,
    SharedRow,
)
from guavabarrow_daemon.fleet.operator_orders import OperatorOrders
from guavabarrow_daemon.fleet.peer_links import PeerLinks
from guavabarrow_daemon.fleet.row_codec import (
    decode_row,
    encode_row,
    parse_stored_row,
    stored_key,
)
from guavabarrow_daemon.kernel import Kernel, Service
from guavabarrow_daemon.operations.clock import now_s
from guavabarrow_daemon.operations.decision_log import log_decision
from guavabarrow_daemon.operations.session_metrics import SessionMetrics
from guavabarrow_daemon.store.exceptions import HistoryDropped, StoreUnavailable

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from twisted.internet.task import LoopingCall

    from guavabarrow_core.operator_rows import TableRow
    from guavabarrow_core.session_configuration import SessionConfiguration
    from guavabarrow_daemon.session_settings import SessionVmSettings
    from guavabarrow_daemon.store.watched_table import (
        OperatorSource,
        TableReadResult,
        TableWriteResult,
        WatchedTable,
    )

WATCH_TIMEOUT_S = 1.2
"""Long-poll timeout for a table; its answer shows that there was no change."""

HOLDER_WATCH_TIMEOUT_S = 0.5
"""Long-poll timeout at the duty holder, whose lease is short."""

OUTAGE_TABLE_AGE_S = 2.0
"""Age of the shared table above which an outage of the store is assumed."""

WATCH_PAUSE_S = 0.3
"""Pause between two watches of a VM that is no hub and has no relay yet. While many VMs
start, each registration would otherwise answer the watches of all of them."""

HUBS_LOST_AFTER_S = 1.5
"""Time without contact to any hub after which a VM links to its whole domain."""

RETRY_DELAY_S = 0.25
"""Delay before a retry after a failed store request."""

CONFIRM_RETRY_DELAY_S = 0.1
"""The same while statements wait for confirmed orders, which they do for 0.5 s."""

HEARTBEAT_INTERVAL_S = 0.7
TURN_INTERVAL_S = 0.25
"""Interval at which turns of the event loop are recorded. It is far less than
``SUSPENDED_AFTER_S``, so that a late heartbeat of an idle VM isn't a suspension."""

MIN_HEARTBEAT_INTERVAL_S = 0.03
"""Minimum interval between a heartbeat sent for a change and the one before it."""

HEARTBEAT_DELAY_S = 0.15
"""Delay that coalesces heartbeats to newly connected VMs. When many VMs start, dozens
of connections open at once, and a heartbeat for each would saturate a slow one."""

MAX_RELAYED_AGE_S = 2.6
"""Age of a table up to which a VM relies on its observer's copy."""

RELAY_CHECK_INTERVAL_S = 0.3
FORMER_MEMBERS_S = 12.0
"""Time for which a VM that can't be reached is kept after a return of the store. It
holds its shares of the teams' rates as long in other outages."""

MEMBER_PREFIX = member_key("")
MAX_OBSERVER_AGE_S = 0.1
"""Time for which the choice of the observer is kept; it is needed for each message."""


@dataclass(frozen=True, slots=True)
class HeartbeatDraft:
    """Fields of the next heartbeat.

    Parameters
    ----------
    common : dict
        Sent to all VMs.
    inside : dict
        Sent to VMs of this failure domain.
    between_hubs : dict
        Sent to the hubs of the other failure domains.
    is_greeting : bool
        Whether it goes to one newly connected VM and so contains no changes.
    """

    common: dict[str, Any]
    is_greeting: bool = False
    inside: dict[str, Any] = field(default_factory=dict)
    between_hubs: dict[str, Any] = field(default_factory=dict)


class FleetService(Service):
    """This VM's copies of the shared table and of the operators' orders.

    Attributes
    ----------
    state : FleetState
        The shared table and the leases derived from it.
    orders : OperatorOrders
        Configuration and evacuations.
    store_lost_at : float or None
        Local time, in s, since which no request to the store has succeeded.
    store_failed_at, stale_at : float
        Local times of the last failed store request, and of the last heartbeat at which
        the shared table was older than ``OUTAGE_TABLE_AGE_S``.
    on_rows, on_heartbeat, on_departure : list of callable
        Called with changed rows; with each heartbeat that was received; with the name
        of a VM that has stopped as planned.
    on_era : list of callable
        Called after the store has returned from an older copy.
    heartbeat_fillers : list of callable
        Called with the draft of each heartbeat to add fields.
    hubs_by_domain : dict of str to tuple of str
        Hubs of each failure domain.
    host_selection : HostSelection
        Which services are hosted, and where.
    is_leaving : bool
        Whether this VM stops as planned.
    domain : str
        This VM's failure domain.
    sponsoring_until : float
        Local time, in s, until which a VM may use primaries by a sponsorship of this
        VM, or of an earlier process of it.
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
        self.domain = settings.domain
        self.hubs_by_domain: dict[str, tuple[str, ...]] = {}
        self.sponsoring_until = now_s() + SPONSORSHIP_S
        self.clock = StoreClock()
        self.orders = OperatorOrders(orders, self.clock, reactor)
        self.on_rows: list[Callable[[list[VersionedRow]], None]] = []
        self.on_heartbeat: list[Callable[[str, PeerHeartbeat], None]] = []
        self.on_departure: list[Callable[[str], None]] = []
        self.on_era: list[Callable[[], None]] = []
        self.heartbeat_fillers: list[Callable[[HeartbeatDraft], None]] = []
        self.store_lost_at: float | None = None
        self.store_failed_at = float("-inf")
        self.stale_at = float("-inf")
        self.is_stopping = False
        self.is_leaving = False
        self.host_selection = HostSelection(
            settings.vm, settings.domain, self._can_host
        )
        self._settings = settings
        self._table = table
        self._reactor = reactor
        self.heard_store_s = UNKNOWN_STORE_S
        self._links = kernel.find(PeerLinks)
        self._heartbeat_by_vm: dict[str, tuple[float, PeerHeartbeat]] = {}
        self._incarnation_by_vm: dict[str, str] = {}
        self._departure_by_vm: dict[str, tuple[str, float]] = {}
        self._hub_seen_at = now_s()
        self._has_lost_hubs = False
        self._observer = settings.vm
        self._observer_chosen_at = float("-inf")
        self._heartbeat_sent_at = 0.0
        self._is_heartbeat_due = False
        self._is_confirming = False
        self._is_store_reachable: bool | None = None
        self._heartbeat_loop: LoopingCall | None = None
        self._turn_loop: LoopingCall | None = None

    async def start(self) -> None:
        """Start watching both tables and sending heartbeats."""
        self._links.on_peer_message.append(self._on_message)
        self._links.on_peer_up.append(self._on_peer_up)
        self.orders.on_changed.append(self._on_orders_changed)
        self.orders.on_unconfirmed.append(self._on_orders_unconfirmed)
        self.orders.on_lost = lambda: self.kernel.tasks.start(
            "orders_recovery", self._read_orders(0.0)
        )
        self.orders.on_newer_era = lambda era: self.follow_era(era, "store")
        tasks = self.kernel.tasks
        tasks.start_loop("table_watch", self._watch_table, self._reactor)
        tasks.start_loop("orders_watch", self._watch_orders, self._reactor)
        self._heartbeat_loop = tasks.create_periodic(
            "heartbeat", self._send_heartbeat, self._reactor
        )
        self._heartbeat_loop.start(HEARTBEAT_INTERVAL_S, now=False)
        self._turn_loop = tasks.create_periodic(
            "turn", self.orders.record_turn, self._reactor
        )
        self._turn_loop.start(TURN_INTERVAL_S, now=False)

    async def stop(self) -> None:
        """Stop watching and sending; targets and callers are disconnected already."""
        self.is_stopping = True
        self._links.broadcast(Departure(self.state.incarnation))
        for loop in (self._heartbeat_loop, self._turn_loop):
            if loop is not None and loop.running:
                loop.stop()

    def announce_leaving(self) -> None:
        """Tell the other VMs that this one stops as planned and takes no new work."""
        self.is_leaving = True
        self.send_heartbeat_now()

    def _can_host(self, vm: str) -> bool:
        """Return whether a VM is linked, has what it needs to host, and stays."""
        if vm == self._settings.vm:
            return not self.is_leaving
        if not self._links.is_linked(vm):
            return False
        _, heartbeat = self.last_heartbeat(vm)
        return (
            not heartbeat.is_leaving
            and heartbeat.orders_version > 0
            and heartbeat.directory_age_s < UNKNOWN_AGE_S
        )

    def follow_era(self, era: int, source: str) -> None:
        """Treat all copies as those of a former era if the store has a newer one.

        Parameters
        ----------
        era : int
            Era of the store.
        source : str
            VM that knows it, or the store.
        """
        former = self.state.era
        if era <= former:
            return
        is_return = max(self.state.version, self.orders.rows.version) > NO_POSITION
        log_decision(
            "store_era_entered",
            era=era,
            former=former,
            source=source,
            is_return=is_return,
            table=str(self.state.version),
            orders=str(self.orders.rows.version),
            rows_to_write=len(self.state.row_by_key),
            orders_to_confirm=len(self.orders.live_keys()),
        )
        metrics = self.kernel.find(SessionMetrics)
        metrics.store_era.set(era)
        self.clock.reset()
        self.heard_store_s = UNKNOWN_STORE_S
        self.state.enter_era(era, now_s())
        self.orders.enter_era(era)
        if not is_return:
            return
        metrics.store_returns.inc()
        self._reactor.callLater(FORMER_MEMBERS_S, self._forget_former_members, era)
        self._send_former_rows(self._links.connected_vms())
        for callback in self.on_era:
            callback()
        self.send_heartbeat_now()

    def _forget_former_members(self, era: int) -> None:
        if self.state.era != era or self.is_stopping:
            return
        if self.state.forget_former_members(self._links.live_peers()):
            self._reactor.callLater(FORMER_MEMBERS_S, self._forget_former_members, era)
        self._update_peers()

    def _send_former_rows(self, vms: Iterable[str]) -> None:
        """Send remembered rows of primaries, of which the store may have older ones."""
        rows = [_to_shared_row(row) for row in self.state.former_primary_rows()]
        if rows:
            self._links.send_to(vms, FleetRows(rows))

    async def write(self, key: str, row: Any) -> TableWriteResult | None:
        """Write a row if the store still has the cached version, and broadcast it.

        Parameters
        ----------
        key : str
            Key of the row.
        row : FleetRow or None
            New row, None to delete it.

        Returns
        -------
        TableWriteResult or None
            None if the store did not answer, or not in the era of the row; the write
            may still be applied later.
        """
        sent_at = now_s()
        value = None if row is None else encode_row(row)
        era = self.state.era
        try:
            written = await self._table.write(
                stored_key(era, key), value, self.state.version_of(key)
            )
        except StoreUnavailable as error:
            self._record_store_access(False, str(error))
            return None
        self._record_store_access(True)
        answer_era = StorePosition(written.version).era
        self.follow_era(answer_era, "store")
        is_current = answer_era == era == self.state.era
        log_decision(
            "shared_row_written",
            key=key,
            era=era,
            applied=written.is_applied,
            version=str(written.version),
            row=str(row),
        )
        if not is_current:
            return None
        self.clock.observe(
            store_s=written.store_s, sent_at=sent_at, received_at=now_s()
        )
        if written.is_applied:
            shared = SharedRow(key, written.version, value)
            self._links.broadcast(FleetRows([shared]))
            self._merge_rows([shared])
        return written

    async def refresh(self) -> bool:
        """Read the whole shared table and return whether the store answered."""
        sent_at = now_s()
        try:
            reading = await self._table.read()
        except StoreUnavailable as error:
            self._record_store_access(False, str(error))
            return False
        self._record_store_access(True)
        self._apply_reading(reading, sent_at, is_full=True)
        return True

    async def _watch_table(self) -> None:
        while not self.is_stopping:
            if self.state.version == 0:
                if await self.refresh():
                    await self._register()
                else:
                    await deferLater(self._reactor, RETRY_DELAY_S, lambda: None)
                continue
            if not self.state.is_registered():
                # Another VM marked this one unavailable; that row may have arrived from
                # a peer rather than from the store.
                await self._register()
                if not self.state.is_registered():
                    await deferLater(self._reactor, RETRY_DELAY_S, lambda: None)
                continue
            if self._uses_relayed_table():
                await self._pause_for_relay(self.table_age_s())
                continue
            sent_at = now_s()
            try:
                wait_s = (
                    HOLDER_WATCH_TIMEOUT_S if self.is_duty_holder() else WATCH_TIMEOUT_S
                )
                after = self.state.version
                reading = await self._table.watch(after, wait_s)
                reading.require_era_of(after)
            except HistoryDropped:
                log_decision(
                    "shared_table_history_dropped", version=str(self.state.version)
                )
                if not await self.refresh():
                    await deferLater(self._reactor, RETRY_DELAY_S, lambda: None)
                continue
            except StoreUnavailable as error:
                self._record_store_access(False, str(error))
                await deferLater(self._reactor, RETRY_DELAY_S, lambda: None)
                continue
            self._record_store_access(True)
            self._apply_reading(reading, sent_at, is_full=False)
            if reading.rows and not (self.is_hub() or self.is_duty_holder()):
                await deferLater(self._reactor, WATCH_PAUSE_S, lambda: None)

    async def _register(self) -> None:
        own = MemberRow(
            vm=self._settings.vm,
            domain=self._settings.domain,
            host=self._settings.host,
            port=self._links.port,
            incarnation=self.state.incarnation,
            cpu_cores=self._settings.cpu_cores,
        )
        written = await self.write(member_key(own.vm), own)
        if written is not None and written.is_applied:
            # Only a read after the registration may grant a lease.
            self.state.as_of = float("-inf")
        await self.refresh()

    def _apply_reading(
        self, reading: TableReadResult, sent_at: float, *, is_full: bool
    ) -> None:
        now = now_s()
        if is_full:
            log_decision(
                "shared_table_read",
                version=str(reading.version),
                known_version=str(self.state.version),
                rows=len(reading.rows),
            )
        era = StorePosition(reading.version).era
        self.follow_era(era, "store")
        if era != self.state.era:
            # An answer of a former era that was overtaken.
            return
        self.clock.observe(store_s=reading.store_s, sent_at=sent_at, received_at=now)
        rows = [row for row in map(_decode_stored, reading.rows) if self._follows(row)]
        as_of = max(sent_at, self.clock.earliest_local(reading.store_s))
        self.heard_store_s = max(self.heard_store_s, reading.store_s)
        changed = self.state.apply(
            rows, reading.version, as_of=as_of, now=now, is_full=is_full
        )
        self._notify_changed_rows(changed)

    def _follows(self, row: VersionedRow) -> bool:
        """Return whether a stored row counts, or may be a hint of a former era."""
        is_member = row.key.startswith(MEMBER_PREFIX)
        era = row.version.era
        return era == self.state.era or (era < self.state.era and not is_member)

    def _merge_rows(self, rows: list[SharedRow]) -> None:
        decoded = [decode_row(row.key, row.value, row.version) for row in rows]
        self._notify_changed_rows(self.state.merge(decoded, now_s()))

    def _notify_changed_rows(self, changed: list[VersionedRow]) -> None:
        if not changed:
            return
        if any(not isinstance(row.row, LeadRow) for row in changed):
            self._update_peers()
        self._forward_to_domain(changed)
        for row in changed:
            if isinstance(row.row, LeadRow):
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

    def _forward_to_domain(self, changed: list[VersionedRow]) -> None:
        """Send changed rows, except registrations, to VMs without links to others.

        Their writer may not be connected to these VMs, and a replacement waits until
        they have stopped using the primary.
        """
        if not self.is_hub() or self.observer() != self.state.vm:
            return
        rows = [
            _to_shared_row(row) for row in changed if not isinstance(row.row, MemberRow)
        ]
        members = self.state.member_by_vm()
        hubs = self.hubs_by_domain.get(self.domain, ())
        inner = [
            vm
            for vm in self._links.connected_vms()
            if vm not in hubs and vm in members and members[vm].domain == self.domain
        ]
        if rows and inner:
            self._links.send_to(inner, FleetRows(rows))

    def _update_peers(self) -> None:
        self._observer_chosen_at = float("-inf")
        members = self.state.member_by_vm()
        duty = self.state.duty()
        self.hubs_by_domain = hubs_by_domain(members)
        self.host_selection.set_members(members, self.hubs_by_domain)
        peers = peers_to_link(
            self._settings.vm,
            self.domain,
            members,
            duty.holder if duty is not None else "",
            self.hubs_by_domain,
            has_lost_hubs=self._has_lost_hubs,
        )
        self._links.set_peers({vm: members[vm] for vm in peers})

    def _follow_hubs(self) -> None:
        """Link to the whole domain while none of its hubs is reached."""
        now = now_s()
        hubs = self.hubs_by_domain.get(self.domain, ())
        if self.is_hub() or self._links.live_peers().intersection(hubs):
            self._hub_seen_at = now
        has_lost_hubs = now - self._hub_seen_at > HUBS_LOST_AFTER_S
        if has_lost_hubs != self._has_lost_hubs:
            self._has_lost_hubs = has_lost_hubs
            log_decision("hubs_lost" if has_lost_hubs else "hubs_regained", hubs=hubs)
            self._update_peers()

    def _on_peer_up(self, vm: str) -> None:
        """Send a heartbeat to a newly connected VM, which may have no other source."""
        self._observer_chosen_at = float("-inf")
        incarnation = self._links.incarnation_of(vm)
        if self._incarnation_by_vm.get(vm) != incarnation:
            # What its former process knew, this one doesn't.
            self._incarnation_by_vm[vm] = incarnation
            self._heartbeat_by_vm.pop(vm, None)
        draft = self._draft_heartbeat(is_greeting=True)
        member = self.state.member_by_vm().get(vm)
        inside = (
            draft.inside if member is not None and member.domain == self.domain else {}
        )
        self._links.send(vm, PeerHeartbeat(**draft.common, **inside))
        self._send_former_rows([vm])

    def is_hub(self) -> bool:
        """Return whether this VM is a hub of its failure domain."""
        return self.state.vm in self.hubs_by_domain.get(self.domain, ())

    async def _watch_orders(self) -> None:
        while not self.is_stopping:
            if self.orders.has_read and self._uses_relay(
                self.orders.age_s, lambda heartbeat: heartbeat.orders_age_s
            ):
                await self._pause_for_relay(self.orders.age_s)
            elif not await self._read_orders(WATCH_TIMEOUT_S):
                await deferLater(self._reactor, RETRY_DELAY_S, lambda: None)

    async def _read_orders(self, wait_s: float) -> bool:
        """Read the operators' table and return whether the store answered."""
        try:
            await self.orders.read(wait_s)
        except HistoryDropped:
            log_decision(
                "orders_history_dropped", version=str(self.orders.rows.version)
            )
        except StoreUnavailable as error:
            self._record_store_access(False, str(error))
            return False
        self._record_store_access(True)
        return True

    def _on_orders_unconfirmed(self) -> None:
        """Read the operators' table at once, whoever does so otherwise."""
        if not self._is_confirming:
            self._is_confirming = True
            self.kernel.tasks.start("orders_confirmation", self._confirm_orders())

    async def _confirm_orders(self) -> None:
        try:
            while not self.is_stopping and not self.orders.is_confirmed():
                if not await self._read_orders(0.0):
                    await deferLater(self._reactor, CONFIRM_RETRY_DELAY_S, lambda: None)
        finally:
            self._is_confirming = False

    def _on_orders_changed(self) -> None:
        configuration = self.configuration
        if configuration is not None:
            self.host_selection.configure(configuration.limits_by_service)
            metrics = self.kernel.find(SessionMetrics)
            metrics.configuration_version.set(configuration.version)
        self.send_heartbeat_now()

    @property
    def configuration(self) -> SessionConfiguration | None:
        """Configuration in force, None until one has been confirmed."""
        return self.orders.configuration

    @property
    def evacuated(self) -> frozenset[str]:
        """Failure domains whose targets get no work."""
        return self.orders.evacuated

    def observer(self) -> str:
        """Return the VM that watches the store for this failure domain."""
        now = now_s()
        if now - self._observer_chosen_at > MAX_OBSERVER_AGE_S:
            self._observer = self.state.observer(self.domain, self._links.live_peers())
            self._observer_chosen_at = now
        return self._observer

    def last_heartbeat(self, vm: str) -> tuple[float, PeerHeartbeat]:
        """Return the age of a VM's last heartbeat, in s, and the heartbeat."""
        at, heartbeat = self._heartbeat_by_vm.get(vm, (float("-inf"), PeerHeartbeat()))
        return now_s() - at, heartbeat

    def apply_relayed_table(
        self,
        rows: list[SharedRow],
        version: StorePosition,
        rows_version: StorePosition,
        store_s: float,
    ) -> None:
        """Apply the shared table as cached by another VM.

        Parameters
        ----------
        rows : list of SharedRow
            Rows newer than those cached here; may be empty.
        version, rows_version : StorePosition
            Position up to which the sender has all rows, and that of the newest row.
        store_s : float
            Store time of the reading that the sender's copy is based on.
        """
        if version < self.state.version:
            return
        if not rows and rows_version > self.state.rows_version:
            return
        decoded = [decode_row(row.key, row.value, row.version) for row in rows]
        as_of = self.clock.earliest_local(store_s)
        self.heard_store_s = max(self.heard_store_s, store_s)
        changed = self.state.apply(decoded, version, as_of=as_of, now=now_s())
        self._notify_changed_rows(changed)

    def is_duty_holder(self) -> bool:
        """Return whether the shared table names this VM as the duty holder."""
        duty = self.state.duty()
        return duty is not None and duty.holder == self.state.vm

    def _uses_relay(
        self, age_s: float, read_age: Callable[[PeerHeartbeat], float]
    ) -> bool:
        """Return whether the observer's copy of a table may be relied on.

        Parameters
        ----------
        age_s : float
            Age of this VM's copy, in s.
        read_age : callable
            Returns the age of the sender's copy, in s, given its heartbeat.
        """
        observer = self.observer()
        if observer == self._settings.vm or age_s > MAX_RELAYED_AGE_S:
            return False
        heartbeat_age_s, heartbeat = self.last_heartbeat(observer)
        return heartbeat_age_s + read_age(heartbeat) < MAX_RELAYED_AGE_S

    def _uses_relayed_table(self) -> bool:
        return not self.is_duty_holder() and self._uses_relay(
            self.table_age_s(), lambda heartbeat: heartbeat.store_age_s
        )

    async def _pause_for_relay(self, age_s: float) -> None:
        """Wait until the relayed copy of a table could have become too old."""
        if self.is_hub() or self.is_duty_holder():
            pause_s = RELAY_CHECK_INTERVAL_S
        else:
            remaining_s = MAX_RELAYED_AGE_S - age_s
            pause_s = max(RELAY_CHECK_INTERVAL_S, min(1.0, remaining_s))
        await deferLater(self._reactor, pause_s, lambda: None)

    def _record_store_access(self, is_reachable: bool, detail: str = "") -> None:
        if is_reachable:
            self.store_lost_at = None
        else:
            self.store_failed_at = now_s()
            if self.store_lost_at is None:
                self.store_lost_at = self.store_failed_at
        if is_reachable != self._is_store_reachable:
            self._is_store_reachable = is_reachable
            event = "store_regained" if is_reachable else "store_lost"
            log_decision(event, detail=detail, table_age_s=self.table_age_s())

    def table_age_s(self) -> float:
        """Return the age of the cached shared table, in s."""
        return round(min(1e9, now_s() - self.state.as_of), 3)

    def send_heartbeat_now(self) -> None:
        """Send a heartbeat as soon as the minimum interval allows."""
        wait_s = self._heartbeat_sent_at + MIN_HEARTBEAT_INTERVAL_S - now_s()
        if wait_s <= 0.0:
            self._send_heartbeat()
        else:
            self.send_heartbeat_soon(wait_s)

    def send_heartbeat_soon(self, wait_s: float = HEARTBEAT_DELAY_S) -> None:
        """Send a heartbeat after a delay, during which further changes are coalesced.

        Parameters
        ----------
        wait_s : float
            Delay, in s.
        """
        if not self._is_heartbeat_due:
            self._is_heartbeat_due = True
            self._reactor.callLater(wait_s, self._send_heartbeat_if_due)

    def _send_heartbeat_if_due(self) -> None:
        if self._is_heartbeat_due and not self.is_stopping:
            self._send_heartbeat()

    def _send_heartbeat(self) -> None:
        self._heartbeat_sent_at = now_s()
        self._is_heartbeat_due = False
        age_s = self.table_age_s()
        metrics = self.kernel.find(SessionMetrics)
        metrics.store_age.set(age_s)
        metrics.orders_age.set(round(min(UNKNOWN_AGE_S, self.orders.age_s), 3))
        if age_s > OUTAGE_TABLE_AGE_S:
            self.stale_at = now_s()
        self._follow_hubs()
        draft = self._draft_heartbeat(is_greeting=False)
        self._links.connect_missing_peers()
        members = self.state.member_by_vm()
        all_hubs = {vm for hubs in self.hubs_by_domain.values() for vm in hubs}
        inside, between_hubs, others = [], [], []
        for vm in self._links.connected_vms():
            member = members.get(vm)
            if member is not None and member.domain == self.domain:
                inside.append(vm)
            elif vm in all_hubs:
                between_hubs.append(vm)
            else:
                others.append(vm)
        self._links.send_to(inside, PeerHeartbeat(**draft.common, **draft.inside))
        self._links.send_to(
            between_hubs, PeerHeartbeat(**draft.common, **draft.between_hubs)
        )
        self._links.send_to(others, PeerHeartbeat(**draft.common))

    def _draft_heartbeat(self, *, is_greeting: bool) -> HeartbeatDraft:
        # Until a configuration is in force, this VM is no host and no source of orders.
        has_orders = self.configuration is not None
        common = {
            "era": self.state.era,
            "store_age_s": self.table_age_s(),
            "rows_version": self.state.rows_version,
            "orders_version": (
                self.orders.rows.newest_version if has_orders else NO_POSITION
            ),
            "configuration_version": self.orders.configuration_version,
            "orders_age_s": self._announced_orders_age_s(),
            "is_leaving": self.is_leaving,
        }
        draft = HeartbeatDraft(common, is_greeting)
        for fill in self.heartbeat_fillers:
            fill(draft)
        return draft

    def _announced_orders_age_s(self) -> float:
        """Return the age of the operators' table for heartbeats, in s.

        Only VMs that read it themselves announce one; the others learn nothing sooner.
        """
        if self.orders.read_age_s > MAX_RELAYED_AGE_S:
            return UNKNOWN_AGE_S
        return round(self.orders.age_s, 3)

    def merge_relayed_rows(self, rows: list[SharedRow]) -> None:
        """Store rows of another VM that are newer than the cached ones."""
        self._merge_rows(rows)

    def _on_message(self, vm: str, message: FleetMessage) -> None:
        match message:
            case PeerHeartbeat():
                self.follow_era(message.era, vm)
                self._heartbeat_by_vm[vm] = (now_s(), message)
                for callback in self.on_heartbeat:
                    callback(vm, message)
            case FleetRows(rows):
                self.follow_era(max((row.version.era for row in rows), default=0), vm)
                self._merge_rows(rows)
            case Departure(incarnation):
                log_decision("vm_departed", vm=vm, incarnation=incarnation)
                self._departure_by_vm[vm] = (incarnation, now_s())
                for notify in self.on_departure:
                    notify(vm)

    def departed_at(self, vm: str) -> float | None:
        """Return when the registered process of a VM stopped, None if it runs."""
        member = self.state.member_by_vm().get(vm)
        incarnation, at = self._departure_by_vm.get(vm, ("", 0.0))
        return at if member is not None and member.incarnation == incarnation else None


def _decode_stored(row: TableRow) -> VersionedRow:
    key, position = parse_stored_row(row.key, StorePosition(row.version))
    return decode_row(key, row.value, position)


def _to_shared_row(row: VersionedRow) -> SharedRow:
    value = None if row.row is None else encode_row(row.row)
    return SharedRow(row.key, row.version, value)
