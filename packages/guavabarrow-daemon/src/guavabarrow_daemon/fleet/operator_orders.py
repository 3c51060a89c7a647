"""The operators' orders as this VM knows them.

Rows come from the store or from other VMs; :class:`OperatorRows` keeps the newest of
each.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavabarrow_core.operator_rows import OperatorRows
from guavabarrow_core.session_configuration import SessionConfiguration
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


class OperatorOrders:
    """Configuration and evacuations in force at this VM.

    Parameters
    ----------
    source : OperatorSource
        Reads and decodes the operators' table.
    clock : StoreClock
        Converts the store's times to local times.

    Attributes
    ----------
    configuration : SessionConfiguration or None
        Configuration in force, None until one has been received.
    evacuated : frozenset of str
        Failure domains whose targets get no work.
    rows : OperatorRows
        Rows of the operators' table, without those that can't be decoded.
    has_read : bool
        Whether this VM has read the whole table from the store.
    on_changed : list of callable
        Called after rows changed.
    """

    def __init__(self, source: OperatorSource, clock: StoreClock) -> None:
        self.configuration: SessionConfiguration | None = None
        self.evacuated: frozenset[str] = frozenset()
        self.rows = OperatorRows()
        self.has_read = False
        self.on_changed: list[Callable[[], None]] = []
        self._source = source
        self._clock = clock
        self._order_by_key: dict[str, SessionConfiguration | Evacuation | None] = {}
        self._undecodable_version_by_key: dict[str, int] = {}

    @property
    def age_s(self) -> float:
        """Time since the rows were last known to be complete, in s."""
        return now_s() - self.rows.as_of

    @property
    def received_version(self) -> int:
        """Version of the newest row received, up to which other VMs aren't asked.

        Without a configuration it is 0: if the newest one can't be decoded, others may
        still have the one before it.
        """
        if self.configuration is None:
            return 0
        undecodable = self._undecodable_version_by_key.values()
        return max(self.rows.newest_version, *undecodable, 0)

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
        is_full = not self.has_read
        if is_full:
            reading = await self._source.read()
            self.has_read = True
        else:
            try:
                reading = await self._source.watch(self.rows.version, wait_s)
            except HistoryDropped:
                self.has_read = False
                raise
        self._apply_reading(reading, sent_at, is_full=is_full)

    def _apply_reading(
        self, reading: TableReadResult, sent_at: float, *, is_full: bool
    ) -> None:
        self._clock.observe(
            store_s=reading.store_s, sent_at=sent_at, received_at=now_s()
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
        version: int,
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
        version, store_s, live_keys : int, float, collection of str
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
        version: int,
        as_of: float,
        store_s: float,
        live_keys: Collection[str] | None,
    ) -> None:
        """Apply rows, and what is known of the copy that they come from."""
        changed = self.rows.merge(self._decode_newer(rows))
        if version > 0:
            changed += self.rows.complete(
                version, as_of=as_of, store_s=store_s, live_keys=live_keys
            )
        if changed:
            self._put_in_force(changed, source)

    def _decode_newer(self, rows: Iterable[TableRow]) -> list[TableRow]:
        """Decode the rows that are newer than the cached ones, and return them."""
        newer = []
        for row in rows:
            is_replaceable = (
                row.key in self._undecodable_version_by_key
                and row.key not in self.rows.row_by_key
            )
            if not self.rows.lacks(row) and not is_replaceable:
                continue
            if row.value is not None:
                try:
                    self._order_by_key[row.key] = self._source.decode(row)
                except UndecodableValue as error:
                    self._reject(row, error)
                    continue
            newer.append(row)
        return newer

    def _reject(self, row: TableRow, error: UndecodableValue) -> None:
        if row.version > self._undecodable_version_by_key.get(row.key, 0):
            self._undecodable_version_by_key[row.key] = row.version
            log_decision(
                "order_undecodable",
                key=row.key,
                row_version=row.version,
                detail=str(error),
            )

    def _put_in_force(self, changed: list[TableRow], source: str) -> None:
        for row in changed:
            if row.value is None:
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
                row_version=self.rows.newest_version,
            )
        for order in orders:
            if isinstance(order, SessionConfiguration):
                self._put_configuration_in_force(order, source)
        for callback in self.on_changed:
            callback()

    def _put_configuration_in_force(
        self, configuration: SessionConfiguration, source: str
    ) -> None:
        replaced = self.configuration
        if replaced is not None and replaced.version >= configuration.version:
            return
        self.configuration = configuration
        log_decision(
            "configuration_in_force",
            version=configuration.version,
            routes=len(configuration.route_by_database),
            source=source,
            row_version=self.rows.newest_version,
            replaced=replaced.version if replaced else 0,
        )
