"""This VM's copy of the operators' table, with the time at which it was last complete.

Rows arrive from the store and from other VMs, in any order. A copy is described by the
position up to which it lacks no row, so an older copy never replaces a newer one.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from guavabarrow_core.store_position import NO_POSITION, StorePosition

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

NEVER = float("-inf")


@dataclass(frozen=True, slots=True)
class TableRow:
    """One row; ``value`` is None if the row was deleted."""

    key: str
    value: bytes | None
    version: StorePosition

    @property
    def era(self) -> int:
        """Era of the store in which the row had this version."""
        return StorePosition(self.version).era


@dataclass(slots=True)
class OperatorRows:
    """Newest known version of each row of the operators' table.

    Attributes
    ----------
    row_by_key : dict of str to TableRow
        Newest version of each row, including deleted ones.
    version : StorePosition
        Position of the store up to which no row is missing, 0 if that isn't known.
    as_of : float
        Local time, in s, not later than the moment at which the table had this content.
    store_s : float
        The same moment on the store's clock, in s, minus infinity if not known.

    Examples
    --------
    >>> rows = OperatorRows()
    >>> rows.merge([TableRow("a", b"new", 5), TableRow("a", b"old", 4)])
    [TableRow(key='a', value=b'new', version=5)]
    >>> rows.complete(7, as_of=1.0, store_s=101.0, live_keys=["b"])
    [TableRow(key='a', value=None, version=7)]
    """

    row_by_key: dict[str, TableRow] = field(default_factory=dict)
    version: StorePosition = NO_POSITION
    as_of: float = NEVER
    store_s: float = NEVER

    @property
    def newest_version(self) -> StorePosition:
        """Position of the newest row, 0 if there is none."""
        return max(
            (row.version for row in self.row_by_key.values()), default=NO_POSITION
        )

    def newer_than(self, version: StorePosition) -> list[TableRow]:
        """Return the rows that changed after a position."""
        return [row for row in self.row_by_key.values() if row.version > version]

    def former(self) -> list[TableRow]:
        """Return the rows that were last seen in an era before that of the copy."""
        era = StorePosition(self.version).era
        return [row for row in self.row_by_key.values() if row.era < era]

    def live_keys(self) -> list[str]:
        """Return the keys of the rows that were not deleted, sorted."""
        rows = self.row_by_key.values()
        return sorted(row.key for row in rows if row.value is not None)

    def lacks(self, row: TableRow) -> bool:
        """Return whether a row is newer than what is known of its key.

        A key without a row was deleted, or never there, at ``version``.
        """
        known = self.row_by_key.get(row.key)
        return row.version > (self.version if known is None else known.version)

    def merge(self, rows: Iterable[TableRow]) -> list[TableRow]:
        """Store the rows that are newer than the cached ones, and return those."""
        changed = []
        for row in rows:
            known = self.row_by_key.get(row.key)
            if known is None or known.version < row.version:
                self.row_by_key[row.key] = row
                changed.append(row)
        return changed

    def put(self, row: TableRow) -> None:
        """Store a row also if its position is older than that of the cached one."""
        self.row_by_key[row.key] = row

    def complete(
        self,
        version: StorePosition,
        *,
        as_of: float,
        store_s: float,
        live_keys: Collection[str] | None = None,
        keeps_former: bool = False,
    ) -> list[TableRow]:
        """Record that all rows up to a position of the store are stored.

        Parameters
        ----------
        version : StorePosition
            Position of the store.
        as_of, store_s : float
            Moment of that position, in s: a local time that is not later, and the time
            on the store's clock.
        live_keys : collection of str, optional
            All keys of the table at that position; other rows were deleted before.
        keeps_former : bool
            Whether rows of former eras are kept although the store lacks them.

        Returns
        -------
        list of TableRow
            Rows that were deleted.
        """
        if version < self.version:
            return []
        deleted = []
        for row in list(self.row_by_key.values()):
            is_missing = live_keys is not None and row.key not in live_keys
            if keeps_former and row.era < StorePosition(version).era:
                continue
            if is_missing and row.value is not None and row.version <= version:
                deleted.append(TableRow(row.key, None, version))
        self.merge(deleted)
        self.version = version
        self.as_of = max(self.as_of, as_of)
        self.store_s = max(self.store_s, store_s)
        return deleted
