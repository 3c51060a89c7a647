"""Statements and transactions under way."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from guavabarrow_daemon.operations.clock import now_s

if TYPE_CHECKING:
    from guavabarrow_core.log_position import LogPosition
    from guavabarrow_core.session_configuration import Route
    from guavabarrow_core.session_values import SessionValues
    from guavabarrow_daemon.targets.session_connection import SessionConnection
    from guavabarrow_daemon.targets.session_pool import SessionPool

MAX_HOLD_PART = 0.4
"""Part of the time limit that a statement may wait for a connection; the rest is for
the target, and for the caller to try another VM."""


@dataclass(slots=True)
class Work:
    """One statement or transaction under way.

    Parameters
    ----------
    route : Route
        Route in force when it began.
    team : str
        Team that it runs for.
    request_id : str
        Id of its current statement.
    began_at : float
        Local time of its first byte, in s.
    deadline : float
        Local time after which its statement is given up, in s.
    values : SessionValues
        Values of the session.
    session_position : LogPosition or None
        Last commit of the session.
    trail : list of str
        What earlier attempts led to.
    has_reached_target : bool
        Whether a statement of the caller was sent to a target.
    """

    route: Route
    team: str
    request_id: str
    began_at: float
    deadline: float
    values: SessionValues
    session_position: LogPosition | None = None
    trail: list[str] = field(default_factory=list)
    has_reached_target: bool = False

    @property
    def hold_until(self) -> float:
        """Local time until which it may wait for a connection."""
        return self.deadline - (1.0 - MAX_HOLD_PART) * self.route.timeout_s

    @property
    def remaining_s(self) -> float:
        """Time until the deadline, in s."""
        return self.deadline - now_s()


@dataclass(slots=True)
class OpenTransaction:
    """A transaction that holds a connection."""

    connection: SessionConnection
    pool: SessionPool
    service: str
    at_primary: bool
    has_left: bool = False
