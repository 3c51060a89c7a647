"""Values of the rows that VMs share through the store."""

from __future__ import annotations

import msgspec

from guavabarrow_core.fleet_state import (
    DutyRow,
    FleetRow,
    MemberRow,
    PrimaryPhase,
    PrimaryRow,
    VersionedRow,
)
from guavabarrow_daemon.operations.decision_log import log_decision


class StoredMember(msgspec.Struct, frozen=True, tag="vm"):
    """Registration of a VM."""

    vm: str
    domain: str
    host: str
    port: int
    incarnation: str
    is_out: bool = False


class StoredLead(msgspec.Struct, frozen=True, tag="lead"):
    """Primary of a service."""

    service: str
    phase: PrimaryPhase
    primary_id: str
    term: int
    is_planned: bool = False


class StoredDuty(msgspec.Struct, frozen=True, tag="duty"):
    """Who orders promotions."""

    holder: str
    incarnation: str


StoredRow = StoredMember | StoredLead | StoredDuty
ROW_BY_STORED: dict[type, type] = {
    StoredMember: MemberRow,
    StoredLead: PrimaryRow,
    StoredDuty: DutyRow,
}
STORED_BY_ROW = {row: stored for stored, row in ROW_BY_STORED.items()}
DECODER = msgspec.json.Decoder(StoredRow)


def encode_row(row: FleetRow) -> bytes:
    """Return the value of a row."""
    names = row.__dataclass_fields__
    stored = STORED_BY_ROW[type(row)]
    return msgspec.json.encode(stored(**{name: getattr(row, name) for name in names}))


def decode_row(key: str, value: bytes | None, version: int) -> VersionedRow:
    """Translate a row; one that can't be read counts as dropped.

    Parameters
    ----------
    key : str
        Its key.
    value : bytes or None
        Its value, None if it was dropped.
    version : int
        Its version.
    """
    if value is None:
        return VersionedRow(key, version, None)
    try:
        stored = DECODER.decode(value)
    except msgspec.MsgspecError as error:
        log_decision("shared_row_unreadable", key=key, detail=str(error))
        return VersionedRow(key, version, None)
    row = ROW_BY_STORED[type(stored)](**msgspec.structs.asdict(stored))
    return VersionedRow(key, version, row)
