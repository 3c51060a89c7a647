"""Messages of the platform's table service and VM list."""

from __future__ import annotations

import msgspec


class Condition(msgspec.Struct, frozen=True):
    """Requires that a row has this revision; 0 requires that it does not exist."""

    key: str
    revision: int


class Put(msgspec.Struct, frozen=True):
    """Creates or replaces a row."""

    key: str
    value: str


class Transact(msgspec.Struct, frozen=True):
    """Applies all puts and deletes if all conditions hold, nothing otherwise."""

    conditions: list[Condition] = []
    puts: list[Put] = []
    deletes: list[str] = []


class TransactAnswer(msgspec.Struct, frozen=True):
    """Whether the transaction was applied, and the new revisions by key."""

    applied: bool
    revisions: dict[str, int] = {}


class Read(msgspec.Struct, frozen=True):
    """Reads rows by key, and rows by prefix in order of their keys."""

    keys: list[str] = []
    prefix: str = ""
    after: str = ""
    limit: int = 200


class Row(msgspec.Struct, frozen=True):
    """One row of the table service."""

    key: str
    value: str
    revision: int


class ReadAnswer(msgspec.Struct, frozen=True):
    """The requested rows that exist."""

    rows: list[Row]


class VmEntry(msgspec.Struct, frozen=True):
    """A VM in the platform's list.

    Parameters
    ----------
    vm, domain, peer_address : str
        Name, failure domain, and address for messages from other VMs.
    leaving : bool
        Whether the platform is about to replace it.
    """

    vm: str
    domain: str
    peer_address: str
    leaving: bool = False


class VmList(msgspec.Struct, frozen=True):
    """The platform's list of VMs; may be out of date."""

    vms: list[VmEntry] = []
