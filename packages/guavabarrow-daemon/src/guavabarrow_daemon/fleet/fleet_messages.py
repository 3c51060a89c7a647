"""Messages between VMs with connected sessions."""

from __future__ import annotations

import zlib

import msgspec

from guavabarrow_core.target_directory import TargetEntry

PACK_FROM_BYTES = 2000
"""Smaller values are hardly ever shortened by more than their headers."""

UNKNOWN_AGE_S = 1e9
"""Age of what was never known."""


class Hello(msgspec.Struct, frozen=True, tag="hello"):
    """Who speaks on this connection."""

    vm: str
    incarnation: str


class PeerHeartbeat(msgspec.Struct, frozen=True, tag="pulse", omit_defaults=True):
    """Regular sign of life.

    Parameters
    ----------
    demand_by_team : dict of str to float
        Operations per second asked for, of teams whose demand changed. Inside the
        failure domain that at this VM; to other domains that of the whole domain, from
        the host of its pool.
    is_full : bool
        Whether teams that are missing have no demand.
    pool_host : str
        VM of the own failure domain whose pool the sender uses, empty if none.
    has_pool : bool
        Whether the sender hosts an open pool.
    suspected : dict of str to str
        Evidence by target that this VM can't use.
    store_age_s : float
        Age of the shared table as this VM knows it.
    rows_version, orders_version : int
        Versions of the shared and the operators' table that it knows.
    directory_age_s : float
        Age of the list of targets as this VM knows it.
    directory_change : int
        Names the present contents of the list.
    """

    demand_by_team: dict[str, float] = {}
    is_full: bool = False
    pool_host: str = ""
    has_pool: bool = False
    suspected: dict[str, str] = {}
    store_age_s: float = UNKNOWN_AGE_S
    rows_version: int = 0
    orders_version: int = 0
    directory_age_s: float = UNKNOWN_AGE_S
    directory_change: int = 0


class SharedRow(msgspec.Struct, frozen=True, omit_defaults=True):
    """A row of a table in the store's own form; no value means dropped."""

    key: str
    version: int
    value: bytes | None
    is_packed: bool = False

    def pack(self) -> SharedRow:
        """Return the row with its value compressed, if that is worth it."""
        if self.is_packed or self.value is None or len(self.value) < PACK_FROM_BYTES:
            return self
        return msgspec.structs.replace(
            self, value=zlib.compress(self.value), is_packed=True
        )

    def unpack(self) -> SharedRow:
        """Return the row with its value as the store has it.

        Raises
        ------
        zlib.error
            If it can't be read.
        """
        if not self.is_packed or self.value is None:
            return self
        return msgspec.structs.replace(
            self, value=zlib.decompress(self.value), is_packed=False
        )


class FleetRows(msgspec.Struct, frozen=True, tag="rows"):
    """Rows of the shared table that the sender just wrote."""

    rows: list[SharedRow]


class PrimaryUseStopped(msgspec.Struct, frozen=True, tag="stopped"):
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
    rows_version, orders_version : int
        Versions that the sender knows.
    directory_change : int
        Contents of the list of targets that the sender knows.
    """

    number: int
    rows_version: int
    orders_version: int
    directory_change: int


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
        Version up to which the shared table is known in full.
    rows_version : int
        Version of its newest row.
    rows : list of SharedRow
        Rows that are newer than the version that was asked with.
    orders_version : int
        Version of the newest row of the operators' table.
    orders : list of SharedRow
        Rows that are newer than the version that was asked with.
    directory_age_s : float
        Age of the list of targets.
    directory_change : int
        Names its contents.
    targets : list of TargetEntry or None
        All entries, None if the sender knows the contents.
    """

    number: int
    store_s: float
    heard_store_s: float
    fleet_version: int
    rows_version: int
    rows: list[SharedRow]
    orders_version: int
    orders: list[SharedRow]
    directory_age_s: float = UNKNOWN_AGE_S
    directory_change: int = 0
    targets: list[TargetEntry] | None = None


class TokenRequest(msgspec.Struct, frozen=True, tag="tokens"):
    """Asks the host of a pool for tokens of a team."""

    number: int
    team: str
    count: int


class TokenGrant(msgspec.Struct, frozen=True, tag="grant"):
    """Answer to :class:`TokenRequest`.

    Parameters
    ----------
    number : int
        Number of the request.
    count : int
        Tokens granted.
    wait_s : float
        Time until the next token, if there was none.
    detail : str
        Why there was none.
    """

    number: int
    count: int
    wait_s: float = 0.0
    detail: str = ""


FleetMessage = (
    Hello
    | PeerHeartbeat
    | FleetRows
    | PrimaryUseStopped
    | TableRequest
    | TableAnswer
    | TokenRequest
    | TokenGrant
)

ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(FleetMessage)
