"""State of running statements and open transactions."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from guavabarrow_core.exceptions import SessionError
from guavabarrow_daemon.operations.clock import now_s

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavabarrow_core.log_position import LogPosition
    from guavabarrow_core.session_configuration import Route
    from guavabarrow_core.session_values import SessionValues
    from guavabarrow_daemon.targets.session_connection import SessionConnection
    from guavabarrow_daemon.targets.session_pool import SessionPool

MAX_ACQUIRE_FRACTION = 0.4
"""Fraction of the timeout that a statement may wait for a connection; the rest is left
for the target, and for the caller to try another VM."""


class RouteChanged(Exception):
    """The route or team of an operation is not the one in force any more.

    No write of the operation was sent, or none was run, so it may start over.
    """


@dataclass(slots=True)
class StatementContext:
    """Context of one running statement, single or in a transaction.

    Parameters
    ----------
    route : Route
        Route in force when the statement, or the transaction at its target, began.
    team : str
        Team that the statement runs for.
    request_id : str
        Caller's id of the statement.
    began_at : float
        Local time at which the statement or its transaction was received, in s.
    deadline : float
        Local time at which the statement times out, in s.
    values : SessionValues
        Session values and prepared statements to restore on the connection.
    session_position : LogPosition or None
        Log position of the session's last commit.
    failed_attempts : list of str
        Target and failure code of each failed attempt, as TARGET:CODE.
    was_sent_to_target : bool
        Whether the caller's statement was sent to a target.
    is_route_current : callable
        Returns whether the route and team are those in force.
    """

    route: Route
    team: str
    request_id: str
    began_at: float
    deadline: float
    values: SessionValues
    session_position: LogPosition | None = None
    failed_attempts: list[str] = field(default_factory=list)
    was_sent_to_target: bool = False
    is_route_current: Callable[[], bool] = lambda: True

    @property
    def acquire_deadline(self) -> float:
        """Local time until which the statement may wait for a connection, in s."""
        return self.deadline - (1.0 - MAX_ACQUIRE_FRACTION) * self.route.timeout_s

    @property
    def remaining_s(self) -> float:
        """Time until the deadline, in s."""
        return self.deadline - now_s()

    def check_route(self) -> None:
        """Check that the operation may be sent to a target by its route.

        Raises
        ------
        RouteChanged
            If its route or team changed or was withdrawn while it waited.
        """
        if not self.is_route_current():
            raise RouteChanged

    async def acquire(
        self, pool: SessionPool, *, in_transaction: bool = False
    ) -> SessionConnection:
        """Acquire a connection for the statement, or for its whole transaction.

        Raises
        ------
        SessionError
            If none became free in time.
        RouteChanged
            If the route or team changed or was withdrawn meanwhile.
        """
        try:
            connection = await pool.acquire(
                self.team,
                priority=self.route.priority,
                deadline=self.acquire_deadline,
                objective_s=self.route.objective_s,
                in_transaction=in_transaction,
            )
        except SessionError:
            self.check_route()
            raise
        if not self.is_route_current():
            pool.release(connection)
            raise RouteChanged
        return connection


class TransactionHandle(ABC):
    """An open transaction, wherever it is open.

    Attributes
    ----------
    at_primary : bool
        Whether its target was chosen as the primary.
    has_ended : bool
        Whether it can't go on.
    """

    __slots__ = ()

    at_primary: bool
    has_ended: bool

    @property
    @abstractmethod
    def location(self) -> str:
        """Target or VM that the transaction is open on, for the log."""


@dataclass(slots=True)
class OpenTransaction(TransactionHandle):
    """A transaction that is open on a target and holds a connection.

    Parameters
    ----------
    connection : SessionConnection
        Connection that the transaction runs on.
    pool : SessionPool
        Pool that the connection is returned to.
    service : str
        Service of the target.
    at_primary : bool
        Whether the target was chosen as the primary; the transaction then ends if the
        target is replaced as such.
    has_ended : bool
        Whether the connection was returned.
    is_counted : bool
        Whether a target ran or may have run a statement of it, so that it counts as an
        operation in the team's usage.
    """

    connection: SessionConnection
    pool: SessionPool
    service: str
    at_primary: bool
    has_ended: bool = False
    is_counted: bool = False

    @property
    def location(self) -> str:
        """Target that the transaction is open on."""
        return self.pool.entry.target_id


@dataclass(slots=True, eq=False)
class HostedTransaction(TransactionHandle):
    """A transaction that is open on the service's host on behalf of this VM.

    Parameters
    ----------
    host : str
        VM that holds its connection.
    number : int
        Number of the statement that opened it, which identifies it at the host.
    service : str
        Service of the target.
    at_primary : bool
        Whether the target was chosen as the primary.
    has_ended : bool
        Whether it can't go on: it has ended, or the link to the host has.
    """

    host: str
    number: int
    service: str
    at_primary: bool
    has_ended: bool = False

    @property
    def location(self) -> str:
        """VM that the transaction is open on."""
        return self.host
