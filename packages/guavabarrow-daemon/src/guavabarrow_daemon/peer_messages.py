"""Messages between VMs, and the service that receives each type."""

from __future__ import annotations

import msgspec

from guavabarrow_core.fleet import Fleet
from guavabarrow_core.fleet_change import Revision
from guavabarrow_core.membership import Heartbeat, HeartbeatDigest


class Gossip(msgspec.Struct, tag=True, frozen=True):
    """Digests of the heartbeats in the sender's membership table."""

    digests: list[HeartbeatDigest]


class PullHeartbeats(msgspec.Struct, tag=True, frozen=True):
    """Request for the complete heartbeats of these VMs."""

    vms: list[str]


class PushHeartbeats(msgspec.Struct, tag=True, frozen=True):
    """Complete heartbeats."""

    heartbeats: list[Heartbeat]


class PullConfiguration(msgspec.Struct, tag=True, frozen=True):
    """Request for the revisions after ``version``."""

    version: int


class PushConfiguration(msgspec.Struct, tag=True, frozen=True):
    """Revisions in order, or a snapshot if they are no longer retained."""

    revisions: list[Revision] = []
    snapshot: Fleet | None = None


class AskTokens(msgspec.Struct, tag=True, frozen=True):
    """Request to the ledger holder for tokens.

    Parameters
    ----------
    ask_id : int
        Matches the answer to the request.
    team : str
        Team whose requests wait.
    wanted, held, returned : float
        Tokens requested, those still held, and those that expired unspent.
    """

    ask_id: int
    team: str
    wanted: float
    held: float
    returned: float = 0.0


class GrantTokens(msgspec.Struct, tag=True, frozen=True):
    """Answer to :class:`AskTokens`; ``ttl_s`` counts from the request."""

    ask_id: int
    team: str
    tokens: float
    ttl_s: float
    retry_after_s: float
    is_holder: bool


class AskLoan(msgspec.Struct, tag=True, frozen=True):
    """Request to another domain's ledger for tokens that it can spare."""

    ask_id: int
    team: str
    wanted: float


class GiveLoan(msgspec.Struct, tag=True, frozen=True):
    """Answer to :class:`AskLoan`; the sender has debited the tokens."""

    ask_id: int
    team: str
    tokens: float


class AskPermits(msgspec.Struct, tag=True, frozen=True):
    """Request for connection permits of a target; renews those held."""

    ask_id: int
    target: str
    wanted: int
    held: int


class GrantPermits(msgspec.Struct, tag=True, frozen=True):
    """Answer to :class:`AskPermits` that replaces the permits held.

    Parameters
    ----------
    total : int
        Permits that the requester may use from now on.
    recall : int
        Permits to return if idle, because other VMs wait for them.
    """

    ask_id: int
    target: str
    total: int
    recall: int
    is_holder: bool


PeerMessage = (
    Gossip
    | PullHeartbeats
    | PushHeartbeats
    | PullConfiguration
    | PushConfiguration
    | AskTokens
    | GrantTokens
    | AskLoan
    | GiveLoan
    | AskPermits
    | GrantPermits
)

SERVICE_BY_MESSAGE: dict[type, str] = {
    Gossip: "membership",
    PullHeartbeats: "membership",
    PushHeartbeats: "membership",
    PullConfiguration: "configuration",
    PushConfiguration: "configuration",
    AskTokens: "ledger",
    GrantTokens: "ledger",
    AskLoan: "ledger",
    GiveLoan: "ledger",
    AskPermits: "permits",
    GrantPermits: "permits",
}


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """Envelope of a message: its sender and sequence number.

    Parameters
    ----------
    sender, reply_to : str
        Sending VM and the address where it receives messages.
    incarnation, sequence : int
        Increase with every message, so that repeated messages are dropped.
    message : PeerMessage
        Content.
    """

    sender: str
    reply_to: str
    incarnation: int
    sequence: int
    message: PeerMessage
