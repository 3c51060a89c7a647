"""Messages that VMs exchange over their peer connections."""

from __future__ import annotations

import zlib
from typing import Any

import msgspec

from guavabarrow_core.store_position import NO_POSITION, StorePosition
from guavabarrow_core.target_directory import TargetEntry
from guavabarrow_core.usage_counts import UsageEntry
from guavabarrow_daemon.fleet.hosted_messages import (
    HostedReply,
    HostedStatement,
    HostPing,
    HostPong,
)

MIN_COMPRESS_BYTES = 2000
"""Compressing smaller values rarely saves more than the headers add."""

UNKNOWN_AGE_S = 1e9
"""Age of data that was never received."""

UNKNOWN_STORE_S = float("-inf")
"""Store time of data that was not received in this era of the store."""


class Hello(msgspec.Struct, frozen=True, tag="hello"):
    """First message of a connection, which identifies its sender."""

    vm: str
    incarnation: str


class RelayedDomainReport(msgspec.Struct, frozen=True):
    """Report on a failure domain that the sender received from the domain's hubs.

    Parameters
    ----------
    age_s : float
        Age of the newest of their reports, in s.
    unreachable : list of str
        VMs of the domain that none of these hubs reaches.
    """

    age_s: float
    unreachable: list[str]


class SharedPace(msgspec.Struct, frozen=True, array_like=True):
    """What a service host knows about one target; see ``PaceDigest``.

    Parameters
    ----------
    demand, running : float
        Mean of the statements that it runs at or holds back from the target, and of
        those that it runs.
    limit : float
        Limit that it found; 0 if it no longer hosts the service.
    """

    demand: float = 0.0
    running: float = 0.0
    limit: float = 0.0


class PeerHeartbeat(msgspec.Struct, frozen=True, tag="pulse", omit_defaults=True):
    """Periodic message that shows that a VM is alive, with its current state.

    Parameters
    ----------
    demand_by_team : dict of str to float
        Requested operations per second of teams whose demand changed: at this VM if
        sent inside its failure domain, else of the whole domain, which only the host of
        the domain's pool sends.
    is_full : bool
        Whether teams that are missing from ``demand_by_team`` have no demand.
    pool_host : str
        VM of the sender's failure domain whose pool the sender uses, empty if none.
    has_pool : bool
        Whether the sender hosts an open pool.
    share_held_s : float
        Time for which a pool that the sender left may still admit its share, in s.
    sent_s : float
        Time of sending on the sender's clock, in s; only inside its failure domain.
    suspected : dict of str to str
        Evidence against each target that the sender can't use.
    store_age_s : float
        Age of the sender's copy of the shared table, in s.
    era : int
        Newest era of the store that the sender knows.
    rows_version, orders_version : StorePosition
        Positions of the newest rows in the sender's copies of the shared and the
        operators' table.
    configuration_version : int
        The operators' version of the configuration in force.
    orders_age_s : float
        Age of the sender's copy of the operators' table, in s, if it reads it itself.
    directory_age_s : float
        Age of the sender's list of targets, in s.
    directory_change : int
        Digest of the list.
    holder_hops : int
        1 if the sender is in contact with the duty holder or is it, 2 if a VM that it
        is in contact with is, 0 otherwise.
    released_duty : StorePosition
        Position of the duty's row if the sender holds the duty but has given it up.
    unreachable : list of str or None
        Registered VMs of its failure domain that the sender is not in contact with;
        only hubs report them, to other domains.
    lost_domains : list of str
        Failure domains none of whose hubs the sender is in contact with.
    domain_reports : dict of str to RelayedDomainReport
        Reports on failure domains that receivers have lost.
    is_leaving : bool
        Whether the sender stops as planned and serves only what it has.
    clock_offset_s : float or None
        Wall clock of the sender minus the store's clock, in s; None if usage isn't
        reported.
    true_offset_s : float or None
        True time minus the store's clock as a hub knows it, in s; only sent inside its
        failure domain.
    paces : dict of str to SharedPace
        Changed digests of targets whose services the sender hosts; only hubs send them,
        to other domains.
    has_all_paces : bool
        Whether targets that are missing from ``paces`` have no digest.
    """

    demand_by_team: dict[str, float] = {}
    is_full: bool = False
    pool_host: str = ""
    has_pool: bool = False
    share_held_s: float = 0.0
    sent_s: float = 0.0
    suspected: dict[str, str] = {}
    store_age_s: float = UNKNOWN_AGE_S
    era: int = 0
    rows_version: StorePosition = NO_POSITION
    orders_version: StorePosition = NO_POSITION
    configuration_version: int = 0
    orders_age_s: float = UNKNOWN_AGE_S
    directory_age_s: float = UNKNOWN_AGE_S
    directory_change: int = 0
    holder_hops: int = 0
    released_duty: StorePosition = NO_POSITION
    unreachable: list[str] | None = None
    lost_domains: list[str] = []
    domain_reports: dict[str, RelayedDomainReport] = {}
    is_leaving: bool = False
    clock_offset_s: float | None = None
    true_offset_s: float | None = None
    paces: dict[str, SharedPace] = {}
    has_all_paces: bool = False


class SharedRow(msgspec.Struct, frozen=True, omit_defaults=True):
    """A table row with its value as stored, None if the row was deleted."""

    key: str
    version: StorePosition
    value: bytes | None
    is_packed: bool = False

    def compress(self) -> SharedRow:
        """Return the row with its value compressed, if it is large enough."""
        if self.is_packed or self.value is None or len(self.value) < MIN_COMPRESS_BYTES:
            return self
        return msgspec.structs.replace(
            self, value=zlib.compress(self.value), is_packed=True
        )

    def decompress(self) -> SharedRow:
        """Return the row with its value as stored.

        Raises
        ------
        zlib.error
            If the value is corrupt.
        """
        if not self.is_packed or self.value is None:
            return self
        return msgspec.structs.replace(
            self, value=zlib.decompress(self.value), is_packed=False
        )


class FleetRows(msgspec.Struct, frozen=True, tag="rows"):
    """Rows of the shared table that the sender has just written."""

    rows: list[SharedRow]


class PrimaryUseStopped(msgspec.Struct, frozen=True, tag="stopped"):
    """Confirms that a VM no longer uses a primary that is being replaced.

    Parameters
    ----------
    vm, incarnation : str
        The VM that stopped.
    service : str
        Service of the primary.
    version : StorePosition
        Position of the row that marks the replacement.
    relays_left : int
        How many more VMs may relay the message to the duty holder.
    """

    vm: str
    incarnation: str
    service: str
    version: StorePosition
    relays_left: int = 0


class TableRequest(msgspec.Struct, frozen=True, tag="ask"):
    """Requests the rows and targets that are newer than the sender's.

    Parameters
    ----------
    number : int
        Identifies the request in the answer.
    rows_version, orders_version : StorePosition
        Positions of the newest rows that the sender received of the tables.
    directory_change : int
        Digest of the sender's list of targets.
    wants_sponsor : bool
        Whether the sender can't register and requests a sponsorship.
    configuration_version : int
        The operators' version of the sender's configuration.
    """

    number: int
    rows_version: StorePosition
    orders_version: StorePosition
    directory_change: int
    wants_sponsor: bool = False
    configuration_version: int = 0


class TableAnswer(msgspec.Struct, frozen=True, tag="tell"):
    """Answer to :class:`TableRequest`.

    Parameters
    ----------
    number : int
        Number of the request.
    store_s : float
        Store time that is not earlier than the moment of the answer, in s.
    heard_store_s : float
        Store time at which the shared table had these contents, in s.
    fleet_version : StorePosition
        Position up to which the shared table is complete.
    rows_version : StorePosition
        Position of its newest row.
    rows : list of SharedRow
        Rows that are newer than the version in the request.
    orders_version : StorePosition
        Position of the newest row of the operators' table.
    orders : list of SharedRow
        Rows that are newer than the position in the request, and rows of former eras
        that the store has lost.
    orders_read_version : StorePosition
        Position up to which the operators' table is complete, 0 if unknown.
    orders_store_s : float
        Store time of that version, in s.
    order_keys : list of str
        Keys of all of its rows.
    directory_age_s : float
        Age of the list of targets, in s.
    directory_change : int
        Digest of the list.
    targets : list of TargetEntry or None
        All entries, None if the requester already has this list.
    is_sponsor : bool
        Whether the sender grants the requested sponsorship.
    era : int
        Newest era of the store that the sender knows, to which the store times belong.
    """

    number: int
    store_s: float
    heard_store_s: float
    fleet_version: StorePosition
    rows_version: StorePosition
    rows: list[SharedRow]
    orders_version: StorePosition
    orders: list[SharedRow]
    orders_read_version: StorePosition = NO_POSITION
    orders_store_s: float = UNKNOWN_STORE_S
    order_keys: list[str] = []
    directory_age_s: float = UNKNOWN_AGE_S
    directory_change: int = 0
    targets: list[TargetEntry] | None = None
    is_sponsor: bool = False
    era: int = 0


class ProbeRequest(msgspec.Struct, frozen=True, tag="probe"):
    """Requests a probe of a target that the sender can't reach."""

    target_id: str


class ProbeAnswer(msgspec.Struct, frozen=True, tag="probed"):
    """Reports that a target answered the sender's probe."""

    target_id: str


class TokenRequest(msgspec.Struct, frozen=True, tag="tokens"):
    """Requests tokens of a team from the host of a pool.

    Parameters
    ----------
    number : int
        Identifies the request in the answer.
    team : str
        The team.
    count : int
        Tokens requested.
    is_retry : bool
        Whether the request repeats one that was granted nothing.
    """

    number: int
    team: str
    count: int
    is_retry: bool = False


class TokenGrant(msgspec.Struct, frozen=True, tag="grant"):
    """Answer to :class:`TokenRequest`.

    Parameters
    ----------
    number : int
        Number of the request.
    count : int
        Tokens granted.
    wait_s : float
        Time until the next token if none was granted, in s.
    interval_s : float
        Time between further tokens if none was granted, in s.
    may_wait : bool
        Whether the operation may wait for its token.
    detail : str
        Reason if none was granted.
    """

    number: int
    count: int
    wait_s: float = 0.0
    interval_s: float = 0.0
    may_wait: bool = False
    detail: str = ""


class UsageCounts(msgspec.Struct, frozen=True, tag="usage"):
    """Operations of teams by process and window; only what has changed.

    Parameters
    ----------
    entries : list of UsageEntry
        Cumulative counts.
    """

    entries: list[UsageEntry]


class Departure(msgspec.Struct, frozen=True, tag="leave"):
    """Last message of a VM that stops as planned: it runs no operation any more."""

    incarnation: str


FleetMessage = (
    Hello
    | PeerHeartbeat
    | FleetRows
    | PrimaryUseStopped
    | TableRequest
    | TableAnswer
    | ProbeRequest
    | ProbeAnswer
    | TokenRequest
    | TokenGrant
    | UsageCounts
    | Departure
    | HostedStatement
    | HostedReply
    | HostPing
    | HostPong
)


def _decode_position(kind: type, value: Any) -> StorePosition:
    if kind is not StorePosition or not isinstance(value, int) or value < 0:
        raise ValueError(f"not a {kind.__name__}")
    return StorePosition(value)


ENCODER = msgspec.msgpack.Encoder(enc_hook=int)
DECODER = msgspec.msgpack.Decoder(FleetMessage, dec_hook=_decode_position)
