"""Messages between VMs. Each names the service that receives it."""

from __future__ import annotations

import msgspec

from guavabarrow_core.fleet import Fleet
from guavabarrow_core.fleet_change import Revision
from guavabarrow_core.membership import Heartbeat, HeartbeatDigest


class Gossip(msgspec.Struct, tag=True, frozen=True):
    """Signs of life that the sender knows."""

    digests: list[HeartbeatDigest]


class PullHeartbeats(msgspec.Struct, tag=True, frozen=True):
    """Ask for the whole heartbeats of these VMs."""

    vms: list[str]


class PushHeartbeats(msgspec.Struct, tag=True, frozen=True):
    """Whole heartbeats."""

    heartbeats: list[Heartbeat]


class PullConfiguration(msgspec.Struct, tag=True, frozen=True):
    """Ask for what follows ``version``."""

    version: int


class PushConfiguration(msgspec.Struct, tag=True, frozen=True):
    """Revisions in order, or a snapshot if they are no longer retained."""

    revisions: list[Revision] = []
    snapshot: Fleet | None = None


class AskTokens(msgspec.Struct, tag=True, frozen=True):
    """Ask the ledger holder for tokens.

    Parameters
    ----------
    ask_id : int
        Matches the answer to the ask.
    team : str
        Team whose requests wait.
    wanted, held, returned : float
        Tokens asked for, those still held, and those that expired unspent.
    """

    ask_id: int
    team: str
    wanted: float
    held: float
    returned: float = 0.0


class GrantTokens(msgspec.Struct, tag=True, frozen=True):
    """Answer to :class:`AskTokens`; ``ttl_s`` counts from the ask."""

    ask_id: int
    team: str
    tokens: float
    ttl_s: float
    retry_after_s: float
    is_holder: bool


class AskLoan(msgspec.Struct, tag=True, frozen=True):
    """Ask another domain's ledger for tokens that it does not need."""

    ask_id: int
    team: str
    wanted: float


class GiveLoan(msgspec.Struct, tag=True, frozen=True):
    """Answer to :class:`AskLoan`; the tokens left the sender's bucket."""

    ask_id: int
    team: str
    tokens: float


class AskPermits(msgspec.Struct, tag=True, frozen=True):
    """Ask for connection permits of a target, and renew those held."""

    ask_id: int
    target: str
    wanted: int
    held: int


class GrantPermits(msgspec.Struct, tag=True, frozen=True):
    """Answer to :class:`AskPermits`; ``total`` permits are held from now on.

    Parameters
    ----------
    total : int
        Permits that the asker may use.
    recall : int
        Idle permits that others wait for.
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
    """A message with its sender.

    Parameters
    ----------
    sender, reply_to : str
        VM and its address for messages.
    incarnation, sequence : int
        Increase with every message, so that copies are recognised.
    message : PeerMessage
        Content.
    """

    sender: str
    reply_to: str
    incarnation: int
    sequence: int
    message: PeerMessage
