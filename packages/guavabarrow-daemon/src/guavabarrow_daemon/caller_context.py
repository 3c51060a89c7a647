"""What is known about the caller of one request."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import msgspec

if TYPE_CHECKING:
    from guavabarrow_core.fleet import TeamLimits
    from guavabarrow_core.key_ring import KeyOwner
    from guavabarrow_core.session_token import SessionToken


class StatementBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of a statement request.

    Parameters
    ----------
    sql : str
        Statement.
    params : list
        Positional parameters.
    read : bool
        Whether it only reads.
    max_age_ms : float or None
        Reads: stated age.
    idempotent : bool
        Writes: running twice is harmless, so no request id is needed.
    """

    sql: str
    params: list[Any] = []
    read: bool = False
    max_age_ms: float | None = None
    idempotent: bool = False


class StatementAnswer(msgspec.Struct, frozen=True):
    """Body of an answer with a result.

    Parameters
    ----------
    columns, rows, row_count
        Result of the statement.
    ran : str
        Always ``ran``.
    replayed : bool
        Whether an earlier run with the same request id was returned.
    source : str
        ``primary`` or ``replica``.
    """

    columns: list[str]
    rows: list[list[Any]]
    row_count: int
    ran: str = "ran"
    replayed: bool = False
    source: str = "primary"


@dataclass(slots=True)
class CallerContext:
    """Caller and limits of one request.

    Parameters
    ----------
    owner : KeyOwner
        Team and key.
    limits : TeamLimits
        Parameters of the team.
    token : SessionToken
        What the session has written; advanced while the request runs.
    arrived_at, deadline : float
        Monotonic times.
    request_id : str
        Canonical id, empty if the caller gave none.
    fingerprint : str
        Hash of the request.
    key : str
        The caller's key, which must not occur in what is sent to a target.
    """

    owner: KeyOwner
    limits: TeamLimits
    token: SessionToken
    arrived_at: float
    deadline: float
    request_id: str = ""
    fingerprint: str = ""
    key: str = field(default="", repr=False)

    @property
    def team(self) -> str:
        """Team of the caller."""
        return self.owner.team
