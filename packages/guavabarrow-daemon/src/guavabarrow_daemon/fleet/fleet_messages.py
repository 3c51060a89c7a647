"""Messages between VMs with connected sessions."""

from __future__ import annotations

import msgspec


class Hello(msgspec.Struct, frozen=True, tag="hello"):
    """Who speaks on this connection."""

    vm: str
    incarnation: str


class Pulse(msgspec.Struct, frozen=True, tag="pulse"):
    """Regular sign of life.

    Parameters
    ----------
    demand_by_team : dict of str to float
        Operations per second asked for at this VM.
    suspected : dict of str to str
        Evidence by target that this VM can't use.
    store_age_s : float
        Age of the shared table as this VM knows it.
    orders_version : int
        Version of the operators' table that it knows.
    """

    demand_by_team: dict[str, float] = {}
    suspected: dict[str, str] = {}
    store_age_s: float = 1e9
    orders_version: int = 0


class SharedRow(msgspec.Struct, frozen=True):
    """A row of a table in the store's own form; no value means dropped."""

    key: str
    version: int
    value: bytes | None


class FleetRows(msgspec.Struct, frozen=True, tag="rows"):
    """Rows of the shared table that the sender just wrote."""

    rows: list[SharedRow]


class Stopped(msgspec.Struct, frozen=True, tag="stopped"):
    """The sender no longer uses a primary whose row was marked."""

    vm: str
    incarnation: str
    service: str
    version: int


class TableRequest(msgspec.Struct, frozen=True, tag="ask"):
    """Asks a VM for what it knows of the store.

    Parameters
    ----------
    number : int
        Names the request in the answer.
    fleet_version, orders_version : int
        Versions that the sender knows.
    """

    number: int
    fleet_version: int
    orders_version: int


class TableAnswer(msgspec.Struct, frozen=True, tag="tell"):
    """What a VM knows of the store.

    Parameters
    ----------
    number : int
        Number of the request.
    store_s : float
        A store time that is not before the moment of the answer.
    heard_store_s : float
        A store time at which the shared table was as given.
    fleet_version : int
        Version of the shared table.
    rows : list of SharedRow
        All rows, empty if the version that the sender knows is the same.
    orders_version : int
        Version of the operators' table.
    orders : list of SharedRow
        All rows, empty if the version that the sender knows is the same.
    """

    number: int
    store_s: float
    heard_store_s: float
    fleet_version: int
    rows: list[SharedRow]
    orders_version: int
    orders: list[SharedRow]


FleetMessage = Hello | Pulse | FleetRows | Stopped | TableRequest | TableAnswer

ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(FleetMessage)
