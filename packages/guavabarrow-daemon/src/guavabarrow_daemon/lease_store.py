"""Stores a lease as a row of the platform's table service."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from guavabarrow_core.lease import LeaseRow
from guavabarrow_daemon.decoding import decode_value
from guavabarrow_daemon.store.messages import Condition, Put, Read, Transact

if TYPE_CHECKING:
    from guavabarrow_daemon.store.interface import TableService


class StoredLease(msgspec.Struct, frozen=True):
    """Value of a lease row, encoded as JSON."""

    holder: str
    epoch: int
    renewal: int


LEASE_DECODER = msgspec.json.Decoder(StoredLease)


class LeaseStore:
    """Reads and conditionally writes one lease row.

    Parameters
    ----------
    table : TableService
        The platform's table service.
    key : str
        Key of the row.
    """

    def __init__(self, table: TableService, key: str) -> None:
        self._table = table
        self._key = key

    async def read(self) -> LeaseRow:
        """Return the row, or an empty row if it does not exist."""
        answer = await self._table.read(Read(keys=[self._key]))
        if not answer.rows:
            return LeaseRow()
        row = answer.rows[0]
        value = decode_value(LEASE_DECODER, row.value.encode())
        return LeaseRow(value.holder, value.epoch, value.renewal, row.revision)

    async def write(self, row: LeaseRow) -> tuple[LeaseRow, bool]:
        """Write the row if its revision is unchanged.

        Returns
        -------
        tuple of LeaseRow and bool
            Current row, and whether this call wrote it.
        """
        value = StoredLease(row.holder, row.epoch, row.renewal)
        put = Put(self._key, msgspec.json.encode(value).decode())
        answer = await self._table.transact(
            Transact(conditions=[Condition(self._key, row.revision)], puts=[put])
        )
        if not answer.applied:
            return await self.read(), False
        revision = answer.revisions[self._key]
        return LeaseRow(row.holder, row.epoch, row.renewal, revision), True
