"""Request context of callers, and bodies of statement requests and answers."""

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
        Whether the statement is read-only.
    max_age_ms : float or None
        Reads: maximum age of the data, in ms; None takes the team's limit.
    idempotent : bool
        Writes: the statement may run twice, so it needs no request id.
    """

    sql: str
    params: list[Any] = []
    read: bool = False
    max_age_ms: float | None = None
    idempotent: bool = False


class StatementAnswer(msgspec.Struct, frozen=True):
    """Body of the answer to a statement.

    Parameters
    ----------
    columns, rows, row_count
        Result of the statement.
    ran : str
        Always ``ran``.
    replayed : bool
        Whether this is the stored result of an earlier run of the request id.
    source : str
        Role of the database that ran it, ``primary`` or ``replica``.
    """

    columns: list[str]
    rows: list[list[Any]]
    row_count: int
    ran: str = "ran"
    replayed: bool = False
    source: str = "primary"


@dataclass(slots=True)
class CallerContext:
    """Caller, limits and session state of one request.

    Parameters
    ----------
    owner : KeyOwner
        Team and key of the caller.
    limits : TeamLimits
        Limits of the team.
    token : SessionToken
        Log positions that the session has written; advanced by writes.
    arrived_at, deadline : float
        Monotonic times, in s.
    request_id : str
        Request id in canonical form, empty if the caller sent none.
    fingerprint : str
        Hash of the path and body, to detect a reused request id.
    key : str
        The caller's key; statements that contain it are rejected.
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
