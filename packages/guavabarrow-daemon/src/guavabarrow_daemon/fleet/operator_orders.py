"""The operators' orders as this VM knows them, and whether they are current.

Rows come from the store or from other VMs; :class:`OperatorRows` keeps the newest of
each. When a process starts or was suspended, orders may have changed unnoticed. They
then count as unconfirmed until a copy of a later moment has arrived. That is awaited
for a limited time only, because a VM that reaches nobody serves with what it has.

If the store has returned from an older copy, it lacks rows until the operators have
written them again. The version inside a configuration tells which one is newer.
Evacuations have none, so what this VM knows of them counts for a limited time.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from loguru import logger
from twisted.internet.defer import Deferred

from guavabarrow_core.operator_rows import NEVER, OperatorRows
from guavabarrow_core.session_configuration import SessionConfiguration
from guavabarrow_core.store_position import NO_POSITION, StorePosition
from guavabarrow_core.store_recovery import StoreRecovery
from guavabarrow_daemon.decoding import UndecodableValue
from guavabarrow_daemon.operations.clock import now_s
from guavabarrow_daemon.operations.decision_log import log_decision
from guavabarrow_daemon.store.exceptions import HistoryDropped
from guavabarrow_daemon.store.watched_table import Evacuation

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable

    from guavabarrow_core.operator_rows import TableRow
    from guavabarrow_core.store_clock import StoreClock
    from guavabarrow_daemon.store.watched_table import OperatorSource, TableReadResult

START_CONFIRM_TIMEOUT_S = 1.5
"""Longest wait for confirmed orders after a start. A VM that watches the store has
newer ones once in 1.2 s."""

RESUME_CONFIRM_TIMEOUT_S = 0.5
"""Longest wait after a suspension, which a statement spends of its timeout."""

MAX_CONFIRM_WAITS = 3
"""Such waits in a row. A suspension during one begins another, and a VM that is often
suspended and reaches nobody has to serve at some time."""

SUSPENDED_AFTER_S = 1.0
"""Time without a turn of the event loop after which it counts as suspended."""


RECOVERY_S = 2.5
"""Time within which the operators have written again what the store has lost, as the
targets have; well below the time within which an evacuation has to be followed."""


class OperatorOrders:
    """Configuration and evacuations in force at this VM.

    Parameters
    ----------
    source : OperatorSource
        Reads and decodes the operators' table.
    clock : StoreClock
        Converts the store's times to local times.
    reactor : object
        Reactor of the time-outs.

    Attributes
    ----------
    evacuated : frozenset of str
        Failure domains whose targets get no work.
    rows : OperatorRows
        Rows of the operators' table, without those that can't be decoded.
    has_read : bool
        Whether this VM has read the whole table from the store.
    on_newer_era : callable
        Called with the era of a reading that is newer.
    on_lost : callable
        Called when rows were not written again, and the table has to be read.
    on_changed : list of callable
        Called after rows changed.
    on_unconfirmed : list of callable
        Called when the orders have to be confirmed after a suspension.
    """

    def __init__(self, source: OperatorSource, clock: StoreClock, reactor: Any) -> None:
        self.evacuated: frozenset[str] = frozenset()
        self.rows = OperatorRows()
        self.has_read = False
        self.on_newer_era: Callable[[int], None] = self.enter_era
        self.on_lost: Callable[[], None] = lambda: None
        self.on_changed: list[Callable[[], None]] = []
        self.on_unconfirmed: list[Callable[[], None]] = []
        self._source = source
        self._clock = clock
        self._reactor = reactor
        self._received: SessionConfiguration | None = None
        self._received_from = ""
        self._order_by_key: dict[str, SessionConfiguration | Evacuation | None] = {}
        self._undecodable_by_key: dict[str, TableRow] = {}
        self._read_at = NEVER
        self._recovery = StoreRecovery()
        self._needs_full_read = True
        self._recovery_timer: Any = None
        self._turned_at = now_s()
        self._unconfirmed_since = self._turned_at
        self._is_confirmed = False
        self._has_been_confirmed = False
        self._timeout: Any = None
        self._waits = 0
        self._waiting: list[Deferred[None]] = []

    @property
    def configuration(self) -> SessionConfiguration | None:
        """Configuration in force, None until one has been confirmed after the start."""
        return self._received if self._has_been_confirmed else None

    @property
    def configuration_version(self) -> int:
        """The operators' version of the configuration in force, 0 without one."""
        configuration = self.configuration
        return configuration.version if configuration is not None else 0

    @property
    def era(self) -> int:
        """Era of the store that this VM knows."""
        return self._recovery.era

    @property
    def age_s(self) -> float:
        """Time since the rows were last known to be complete, in s."""
        return now_s() - self.rows.as_of

    @property
    def read_age_s(self) -> float:
        """Time since this VM read the table from the store, in s."""
        return now_s() - self._read_at

    @property
    def received_version(self) -> StorePosition:
        """Position of the newest row received, up to which other VMs aren't asked.

        Without a configuration it is 0: if the newest one can't be decoded, others may
        still have the one before it.
        """
        if self._received is None:
            return NO_POSITION
        undecodable = [row.version for row in self._undecodable_by_key.values()]
        return max(self.rows.newest_version, self.rows.version, *undecodable)

    @property
    def request_version(self) -> StorePosition:
        """Position after which rows are requested from other VMs.

        The pages of a full read are not of one moment: a row may be known that is newer
        than one that is not.
        """
        if self.rows.version == 0:
            return self.received_version
        return min(self.rows.version, self.received_version)

    # Relaying rows

    def rows_for(
        self, version: StorePosition, configuration_version: int
    ) -> list[TableRow]:
        """Return the rows that another VM lacks, oldest first.

        Undecodable rows are included, as the other VM may run a version that decodes
        them, and so are rows that this VM doesn't follow yet; without them its copy
        wouldn't be complete.

        Parameters
        ----------
        version : StorePosition
            Position up to which it has received rows. That doesn't tell whether it has
            rows of former eras, which the store may have lost.
        configuration_version : int
            Version of its configuration.
        """
        unused = [*self._live_undecodable(), *self._recovery.disputed_by_key.values()]
        unused = [row for row in unused if row.version > version]
        former = [
            row
            for row in self.rows.former()
            if row.version <= version
            and self._is_worth_sending(row, configuration_version)
        ]
        rows = [*self.rows.newer_than(version), *unused, *former]
        return sorted(rows, key=lambda row: row.version)

    def _is_worth_sending(self, row: TableRow, configuration_version: int) -> bool:
        order = self._order_by_key.get(row.key)
        if isinstance(order, SessionConfiguration):
            return order.version > configuration_version
        return self._recovery.is_active

    def live_keys(self) -> list[str]:
        """Return the keys of all rows of the table, sorted."""
        undecodable = {row.key for row in self._live_undecodable()}
        unused = undecodable.union(self._recovery.disputed_by_key)
        return sorted(unused.union(self.rows.live_keys()))

    def _live_undecodable(self) -> list[TableRow]:
        known = self.rows.row_by_key
        return [
            row
            for key, row in self._undecodable_by_key.items()
            if key not in known or known[key].version < row.version
        ]

    # Receiving rows

    async def read(self, wait_s: float) -> None:
        """Read the whole table from the store, and after that its changes.

        Parameters
        ----------
        wait_s : float
            Time to wait for a change, in s.

        Raises
        ------
        HistoryDropped
            If the store no longer has the changes; the next call reads all rows.
        StoreUnavailable
            If the store did not answer.
        """
        sent_at = now_s()
        is_full = self._needs_full_read or not self.has_read
        if is_full:
            reading = await self._source.read()
            self.has_read = True
        else:
            try:
                after = self.rows.version
                reading = await self._source.watch(after, wait_s)
                reading.require_era_of(after)
            except HistoryDropped:
                self.has_read = False
                raise
        self._apply_reading(reading, sent_at, is_full=is_full)

    def enter_era(self, era: int) -> None:
        """Keep what is known while the store may lack it.

        Parameters
        ----------
        era : int
            Present era of the store, newer than the known one.
        """
        self._needs_full_read = True
        self.rows.store_s = NEVER
        is_known = bool(self.rows.row_by_key)
        self._recovery.begin(era, is_active=is_known)
        if self._recovery_timer is not None and self._recovery_timer.active():
            self._recovery_timer.cancel()
        if is_known:
            self._recovery_timer = self._reactor.callLater(
                RECOVERY_S, self._end_recovery
            )

    def _end_recovery(self) -> None:
        """Follow the store again, also where it disagrees with this VM."""
        lost = [
            row.key
            for row in self.rows.former()
            if row.value is not None
            and isinstance(self._order_by_key.get(row.key), Evacuation)
        ]
        disputed = self._recovery.end()
        log_decision(
            "orders_recovered",
            era=self.era,
            lost=lost,
            disputed=[row.key for row in disputed],
        )
        changed = self.rows.merge(self._decode_newer(disputed))
        if changed:
            self._receive(changed, "store")
        if lost:
            self._needs_full_read = True
            self.on_lost()

    def _apply_reading(
        self, reading: TableReadResult, sent_at: float, *, is_full: bool
    ) -> None:
        era = StorePosition(reading.version).era
        if is_full:
            log_decision(
                "orders_read",
                version=str(reading.version),
                known_version=str(self.rows.version),
                row_versions={row.key: str(row.version) for row in reading.rows},
            )
        if era > self.era:
            self.on_newer_era(era)
        if era != self.era:
            # An answer of a former era that was overtaken.
            return
        if is_full:
            self._needs_full_read = False
        self._read_at = now_s()
        self._clock.observe(
            store_s=reading.store_s, sent_at=sent_at, received_at=self._read_at
        )
        self.apply(
            reading.rows,
            source="store",
            version=reading.version,
            as_of=max(sent_at, self._clock.earliest_local(reading.store_s)),
            store_s=reading.store_s,
            live_keys={row.key for row in reading.rows} if is_full else None,
        )

    def apply_relayed(
        self,
        rows: Iterable[TableRow],
        *,
        source: str,
        version: StorePosition,
        store_s: float,
        live_keys: Collection[str],
    ) -> None:
        """Apply the copy of another VM.

        Parameters
        ----------
        rows : iterable of TableRow
            Rows that are newer than those received before.
        source : str
            The other VM.
        version, store_s, live_keys : StorePosition, float, collection of str
            What its copy is complete up to; see :meth:`OperatorRows.complete`. A
            version of 0 says that this isn't known.
        """
        self.apply(
            rows,
            source=source,
            version=version,
            as_of=self._clock.earliest_local(store_s),
            store_s=store_s,
            live_keys=live_keys,
        )

    def apply(
        self,
        rows: Iterable[TableRow],
        *,
        source: str,
        version: StorePosition,
        as_of: float,
        store_s: float,
        live_keys: Collection[str] | None,
    ) -> None:
        """Apply rows, and what is known of the copy that they come from."""
        self._recovery.observe(version)
        rows = list(rows)
        changed = self.rows.merge(self._decode_newer(rows))
        changed += self._take_remembered(rows)
        if live_keys is not None and version >= max(self.rows.version, 1):
            self._drop_undecodable(version, live_keys)
            self._recovery.drop_deleted(version, live_keys)
        if version > 0:
            changed += self.rows.complete(
                version,
                as_of=as_of,
                store_s=store_s,
                live_keys=live_keys,
                keeps_former=self._recovery.is_active,
            )
        if changed:
            self._receive(changed, source)
        self._follow_confirmation()

    def _decode_newer(self, rows: Iterable[TableRow]) -> list[TableRow]:
        """Decode the rows that are newer than the cached ones, and return them."""
        newer = []
        for row in rows:
            is_replaceable = (
                row.key in self._undecodable_by_key
                and row.key not in self.rows.row_by_key
            )
            if not self.rows.lacks(row) and not is_replaceable:
                continue
            if row.value is not None:
                try:
                    order = self._source.decode(row)
                except UndecodableValue as error:
                    self._reject(row, error)
                    continue
                if self._is_taken_back(row, order):
                    continue
                self._order_by_key[row.key] = order
            newer.append(row)
        return newer

    def _take_remembered(self, rows: list[TableRow]) -> list[TableRow]:
        """Store configurations that the store has lost and another VM remembers."""
        taken = []
        for row in rows:
            known = self.rows.row_by_key.get(row.key)
            if row.value is None or known is None or known.era <= row.era:
                continue
            try:
                order = self._source.decode(row)
            except UndecodableValue as error:
                self._reject(row, error)
                continue
            if not isinstance(order, SessionConfiguration):
                continue
            if self._received is None or order.version > self._received.version:
                self._order_by_key[row.key] = order
                self.rows.put(row)
                taken.append(row)
        return taken

    def _is_taken_back(
        self, row: TableRow, order: SessionConfiguration | Evacuation | None
    ) -> bool:
        """Return whether a row is an older one that the store has returned to."""
        if isinstance(order, SessionConfiguration):
            return self._received is not None and order.version < self._received.version
        return self._recovery.disputes(row, self.rows.row_by_key.get(row.key))

    def _reject(self, row: TableRow, error: UndecodableValue) -> None:
        known = self._undecodable_by_key.get(row.key)
        if known is None or row.version > known.version:
            self._undecodable_by_key[row.key] = row
            logger.bind(
                key=row.key, row_version=str(row.version), error=str(error)
            ).error("configuration_unreadable")

    def _drop_undecodable(
        self, version: StorePosition, live_keys: Collection[str]
    ) -> None:
        for key, row in list(self._undecodable_by_key.items()):
            if key not in live_keys and row.version <= version:
                del self._undecodable_by_key[key]

    def _receive(self, changed: list[TableRow], source: str) -> None:
        for row in changed:
            self._recovery.settle(row)
            # A deletion may have arrived together with a newer row.
            if self.rows.row_by_key[row.key].value is None:
                self._order_by_key.pop(row.key, None)
        orders = self._order_by_key.values()
        evacuated = frozenset(
            order.domain for order in orders if isinstance(order, Evacuation)
        )
        if evacuated != self.evacuated:
            self.evacuated = evacuated
            log_decision(
                "evacuations_changed",
                domains=sorted(evacuated),
                source=source,
                row_version=str(self.rows.newest_version),
            )
        for order in orders:
            if isinstance(order, SessionConfiguration) and (
                self._received is None or order.version > self._received.version
            ):
                self._received = order
                self._received_from = source
                self._log_configuration()
        for callback in self.on_changed:
            callback()

    def _log_configuration(self) -> None:
        configuration = self.configuration
        if configuration is not None:
            log_decision(
                "configuration_in_force",
                version=configuration.version,
                routes=len(configuration.route_by_database),
                source=self._received_from,
                row_version=str(self.rows.newest_version),
            )

    # Confirmation

    def is_confirmed(self) -> bool:
        """Return whether statements may begin by these orders.

        They may not for a limited time after a start or a suspension, until a copy of a
        later moment has arrived.
        """
        self.record_turn()
        return self._is_confirmed

    def record_turn(self) -> None:
        """Record a turn of the event loop, and notice if it was suspended before."""
        now = now_s()
        suspended_s = now - self._turned_at
        self._turned_at = now
        if suspended_s <= SUSPENDED_AFTER_S:
            return
        if self._received is None:
            self._unconfirmed_since = now
            return
        log_decision(
            "orders_unconfirmed",
            suspended_s=round(suspended_s, 2),
            age_s=round(self.age_s, 2),
        )
        self._is_confirmed = False
        self._unconfirmed_since = now
        self._limit_wait(
            RESUME_CONFIRM_TIMEOUT_S
            if self._has_been_confirmed
            else START_CONFIRM_TIMEOUT_S
        )
        for callback in self.on_unconfirmed:
            callback()

    def when_confirmed(self) -> Deferred[None]:
        """Return a Deferred that fires once the orders are confirmed."""
        waiting: Deferred[None] = Deferred()
        self._waiting.append(waiting)
        return waiting

    def _follow_confirmation(self) -> None:
        if self._is_confirmed:
            return
        self.record_turn()
        if self._received is None:
            return
        if self.rows.as_of >= self._unconfirmed_since:
            self._set_confirmed("copy")
        elif self._timeout is None:
            self._limit_wait(START_CONFIRM_TIMEOUT_S)

    def _limit_wait(self, timeout_s: float) -> None:
        self._cancel_timeout()
        self._waits += 1
        self._timeout = self._reactor.callLater(timeout_s, self._on_timeout)

    def _on_timeout(self) -> None:
        self._timeout = None
        if self._waits < MAX_CONFIRM_WAITS:
            # Timers run before anything else after a suspension.
            self.record_turn()
        if self._timeout is None:
            self._set_confirmed("timeout")

    def _cancel_timeout(self) -> None:
        if self._timeout is not None and self._timeout.active():
            self._timeout.cancel()
        self._timeout = None

    def _set_confirmed(self, reason: str) -> None:
        self._cancel_timeout()
        self._waits = 0
        is_first = not self._has_been_confirmed
        self._is_confirmed = self._has_been_confirmed = True
        log_decision("orders_confirmed", reason=reason, age_s=round(self.age_s, 2))
        if is_first:
            self._log_configuration()
            for callback in self.on_changed:
                callback()
        waiting, self._waiting = self._waiting, []
        for deferred in waiting:
            deferred.callback(None)
