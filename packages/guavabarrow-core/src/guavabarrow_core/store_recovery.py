"""Which rows of a table to follow after the store returned from an older copy.

Until their writers have written them again, the store lacks rows, and has others in
older versions. What was known before then goes first, for a limited time.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavabarrow_core.store_position import MAX_VERSION, NO_POSITION, StorePosition

if TYPE_CHECKING:
    from collections.abc import Collection

    from guavabarrow_core.operator_rows import TableRow


class StoreRecovery:
    """Rows of the present era that contradict what is known, and aren't followed yet.

    Attributes
    ----------
    era : int
        Era of the store.
    is_active : bool
        Whether what is known goes first.
    disputed_by_key : dict of str to TableRow
        Rows that are not followed yet.

    Examples
    --------
    >>> from guavabarrow_core.operator_rows import TableRow
    >>> recovery = StoreRecovery()
    >>> recovery.begin(2, is_active=True)
    >>> recovery.observe(StorePosition.at(2, 25))
    >>> deleted = TableRow("a", None, StorePosition.at(1, 26))
    >>> copied = TableRow("a", b"", StorePosition.at(2, 20))
    >>> written = TableRow("a", b"", StorePosition.at(2, 26))
    >>> recovery.disputes(copied, deleted), recovery.disputes(written, deleted)
    (True, False)
    """

    def __init__(self) -> None:
        self.era = 0
        self.is_active = False
        self.disputed_by_key: dict[str, TableRow] = {}
        self._copied_up_to = MAX_VERSION

    def begin(self, era: int, *, is_active: bool) -> None:
        """Enter an era.

        Parameters
        ----------
        era : int
            Present era of the store.
        is_active : bool
            Whether anything is known from before.
        """
        self.era = era
        self.is_active = is_active
        self.disputed_by_key.clear()
        self._copied_up_to = MAX_VERSION

    def end(self) -> list[TableRow]:
        """Follow the store from now on; return the rows that were not followed."""
        rows = list(self.disputed_by_key.values())
        self.is_active = False
        self.disputed_by_key.clear()
        return rows

    def observe(self, position: StorePosition) -> None:
        """Record a position of the store.

        Versions above the lowest one that was seen in this era are surely of this era.
        """
        position = StorePosition(position)
        if position.era == self.era and position != NO_POSITION:
            self._copied_up_to = min(self._copied_up_to, position.version)

    def disputes(self, row: TableRow, known: TableRow | None) -> bool:
        """Return whether a row may be one of the copy, and must not replace another.

        Parameters
        ----------
        row : TableRow
            Row as read in this era.
        known : TableRow or None
            Row that is known under its key.
        """
        is_disputed = (
            self.is_active
            and known is not None
            and known.era < row.era
            and StorePosition(row.version).version <= self._copied_up_to
        )
        if is_disputed:
            self.disputed_by_key[row.key] = row
        return is_disputed

    def settle(self, row: TableRow) -> None:
        """Record that a row is followed, which ends a dispute on an older one."""
        disputed = self.disputed_by_key.get(row.key)
        if disputed is not None and disputed.version <= row.version:
            del self.disputed_by_key[row.key]

    def drop_deleted(self, version: StorePosition, live_keys: Collection[str]) -> None:
        """Forget rows that the store no longer had at a position."""
        for key, row in list(self.disputed_by_key.items()):
            if key not in live_keys and row.version <= version:
                del self.disputed_by_key[key]
