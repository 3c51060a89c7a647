"""Encoding of the shared table's rows as stored values."""

from __future__ import annotations

import re
from typing import Annotated

import msgspec

from guavabarrow_core.fleet_state import (
    DutyRow,
    FleetRow,
    LeadPhase,
    LeadRow,
    MemberRow,
    ReplicasRow,
    VersionedRow,
)
from guavabarrow_core.store_position import StorePosition
from guavabarrow_core.target_directory import MAX_NAME_LENGTH, MAX_PORT, TargetEntry
from guavabarrow_daemon.decoding import UndecodableValue, decode_value
from guavabarrow_daemon.operations.decision_log import log_decision

Text = Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)]
"""Bounded, because a row is relayed and logged by each VM."""

MAX_REPLICAS = 64
"""Targets in one row; longer ones could exceed the size of a row in the store."""

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
Port = Annotated[int, msgspec.Meta(ge=1, le=MAX_PORT)]
Term = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]


class StoredMember(msgspec.Struct, frozen=True, tag="vm"):
    """Stored form of a VM's registration."""

    vm: Name
    domain: Text
    host: Name
    port: Port
    incarnation: Text
    is_out: bool = False
    cpu_cores: float = 0.0


class StoredPrimary(msgspec.Struct, frozen=True, tag="lead"):
    """Stored form of a service's primary."""

    service: Name
    phase: LeadPhase
    primary_id: Text
    term: Term
    is_planned: bool = False


class StoredDuty(msgspec.Struct, frozen=True, tag="duty"):
    """Stored form of the promotion duty and its holder."""

    holder: Text
    incarnation: Text
    era_since_store_s: float | None = None


class StoredReplicas(msgspec.Struct, frozen=True, tag="replicas"):
    """Stored form of a service's replicas."""

    service: Name
    entries: Annotated[tuple[TargetEntry, ...], msgspec.Meta(max_length=MAX_REPLICAS)]


StoredRow = StoredMember | StoredPrimary | StoredDuty | StoredReplicas
ROW_TYPE_BY_STORED_TYPE: dict[type, type] = {
    StoredMember: MemberRow,
    StoredPrimary: LeadRow,
    StoredDuty: DutyRow,
    StoredReplicas: ReplicasRow,
}
STORED_TYPE_BY_ROW_TYPE = {
    row: stored for stored, row in ROW_TYPE_BY_STORED_TYPE.items()
}
DECODER = msgspec.json.Decoder(StoredRow)
ERA_PREFIX = re.compile("([0-9]{1,6})/(.+)", re.DOTALL)
"""Keys of a store without eras begin with a letter."""


def stored_key(era: int, key: str) -> str:
    """Return the key under which a row of an era is stored.

    Examples
    --------
    >>> stored_key(0, "duty"), stored_key(2, "duty")
    ('duty', '2/duty')
    """
    return f"{era}/{key}" if era else key


def parse_stored_row(stored: str, position: StorePosition) -> tuple[str, StorePosition]:
    """Return a row's key, and its position in the era in which it was written.

    Parameters
    ----------
    stored : str
        Key under which the row is stored.
    position : StorePosition
        Its position as read, in the present era.

    Examples
    --------
    >>> key, position = parse_stored_row("1/duty", StorePosition.at(2, 30))
    >>> key, str(position)
    ('duty', '1.30')
    """
    match = ERA_PREFIX.fullmatch(stored)
    if match is None:
        return stored, StorePosition.at(0, position.version)
    return match[2], StorePosition.at(int(match[1]), position.version)


def encode_row(row: FleetRow) -> bytes:
    """Encode a row as the value to store."""
    names = row.__dataclass_fields__
    stored = STORED_TYPE_BY_ROW_TYPE[type(row)]
    return msgspec.json.encode(stored(**{name: getattr(row, name) for name in names}))


def decode_row(key: str, value: bytes | None, version: StorePosition) -> VersionedRow:
    """Decode a stored row; an unreadable value is treated as a deleted row.

    Parameters
    ----------
    key : str
        Key of the row.
    value : bytes or None
        Stored value, None if the row was deleted.
    version : StorePosition
        Position of the row.
    """
    if value is None:
        return VersionedRow(key, version, None)
    try:
        stored = decode_value(DECODER, value)
    except UndecodableValue as error:
        log_decision("shared_row_unreadable", key=key, detail=str(error))
        return VersionedRow(key, version, None)
    row = ROW_TYPE_BY_STORED_TYPE[type(stored)](**msgspec.structs.asdict(stored))
    return VersionedRow(key, version, row)
