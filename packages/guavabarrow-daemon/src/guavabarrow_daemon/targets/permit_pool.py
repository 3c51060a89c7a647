"""Connection pool of one database with fair queueing between teams."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.task import deferLater

from guavabarrow_core.exceptions import DeadlineExceeded, GuavabarrowError
from guavabarrow_core.fair_queue import FairQueue, QueuedItem
from guavabarrow_daemon.background import BackgroundTasks
from guavabarrow_daemon.permit_service import PermitAccount, PermitService
from guavabarrow_daemon.targets.interface import (
    SqlConnection,
    SqlDriver,
    TargetConnectionBroken,
    TargetRefused,
    TargetUnreachable,
)

if TYPE_CHECKING:
    from guavabarrow_core.fleet import Target

CONNECT_BACKOFF_S = 0.1
RESET_TIMEOUT_S = 0.5


@dataclass(eq=False, slots=True)
class Checkout:
    """A connection in use by one caller.

    Parameters
    ----------
    connection : SqlConnection
        The connection.
    pool : PermitPool
        Pool that owns the connection.
    """

    connection: SqlConnection
    pool: PermitPool
    is_returned: bool = False

    def release(self, *, is_clean: bool) -> None:
        """Return the connection; it is closed unless its state is clean."""
        if self.is_returned:
            return
        self.is_returned = True
        self.pool.return_connection(self.connection, is_clean=is_clean)


@dataclass(slots=True)
class PoolState:
    """Connections of a pool by state."""

    idle: list[SqlConnection] = field(default_factory=list)
    busy: set[SqlConnection] = field(default_factory=set)
    opening: int = 0

    @property
    def open(self) -> int:
        """Connections that are open or being opened."""
        return len(self.idle) + len(self.busy) + self.opening


class PermitPool:
    """Connection pool of one database.

    Parameters
    ----------
    target : Target
        Database.
    address : tuple of (str, int)
        Address to connect to.
    driver : SqlDriver
        Opens connections.
    permits : PermitService
        Grants permits, which limit the number of connections.
    reactor : object
        Source of time and timers.
    tasks : BackgroundTasks, optional
        Runs the opening of connections.
    is_fair : bool
        Whether teams are served by weight; False serves first come, first served, as a
        baseline for comparison.
    """

    def __init__(
        self,
        target: Target,
        address: tuple[str, int],
        *,
        driver: SqlDriver,
        permits: PermitService,
        reactor: Any,
        tasks: BackgroundTasks | None = None,
        is_fair: bool = True,
    ) -> None:
        self.target = target
        self.state = PoolState()
        self._address = address
        self._driver = driver
        self._permits = permits
        self._reactor = reactor
        self._tasks = tasks or BackgroundTasks()
        self._is_fair = is_fair
        self._queue: FairQueue[Deferred[Checkout]] = FairQueue()
        self._completed_at = 0.0
        self._retry_at = 0.0
        self._is_closed = False
        self.account = PermitAccount(target, self._usage, self._dispatch)
        permits.open_account(self.account)

    @property
    def outstanding(self) -> int:
        """Statements that run or wait for a connection."""
        return len(self.state.busy) + len(self._queue)

    @property
    def queued(self) -> int:
        """Statements that wait for a connection."""
        return len(self._queue)

    async def acquire(self, *, team: str, weight: float, deadline: float) -> Checkout:
        """Wait for a connection.

        Parameters
        ----------
        team : str
            Team whose queue the request joins.
        weight : float
            Weight of the team.
        deadline : float
            Monotonic time, in s.

        Returns
        -------
        Checkout
            The caller must release it.

        Raises
        ------
        DeadlineExceeded
            If the deadline passes; no statement was sent.
        Overloaded
            If the queue is full.
        TargetUnreachable
            If the database cannot be reached.
        """
        now = self._reactor.seconds()
        if now >= deadline:
            raise _deadline_exceeded()
        while self.state.idle and not len(self._queue):
            connection = self.state.idle.pop()
            if connection.is_open:
                return self._check_out(connection)
        granted: Deferred[Checkout] = Deferred()
        queue_team = team if self._is_fair else ""
        item = self._queue.push(
            granted, team=queue_team, weight=weight, deadline=deadline, now=now
        )
        timer = self._reactor.callLater(deadline - now, self._expire, item)
        self._dispatch()
        try:
            return await granted
        except CancelledError:
            self._queue.discard(item)
            raise
        finally:
            if timer.active():
                timer.cancel()

    def return_connection(self, connection: SqlConnection, *, is_clean: bool) -> None:
        """Return a connection after use."""
        self.state.busy.discard(connection)
        now = self._reactor.seconds()
        if self._completed_at:
            self._queue.record_service(min(1.0, now - self._completed_at))
        self._completed_at = now
        exceeds_permits = (
            self.state.open >= self.account.total and self.account.recall > 0
        )
        if not is_clean or self._is_closed or exceeds_permits:
            connection.abort()
        elif connection.is_open:
            self.state.idle.append(connection)
        self._dispatch()

    def close(self) -> None:
        """Close idle connections and fail waiters; busy ones close when returned."""
        self._is_closed = True
        self._permits.close_account(self.target.name)
        for connection in self.state.idle:
            connection.abort()
        self.state.idle.clear()
        self._fail_waiters("The target is no longer part of the configuration.")

    def abort_all(self) -> None:
        """Abort all connections; the outcome of running requests is unknown."""
        for connection in list(self.state.busy):
            connection.abort()
        self.close_idle()

    def close_idle(self) -> None:
        """Close idle connections, for example of a target that is being removed."""
        for connection in self.state.idle:
            connection.abort()
        self.state.idle.clear()

    def _usage(self) -> tuple[int, int]:
        demand = len(self.state.busy) + len(self._queue)
        return self.state.open, demand

    def _check_out(self, connection: SqlConnection) -> Checkout:
        self.state.busy.add(connection)
        return Checkout(connection, self)

    def _dispatch(self) -> None:
        while len(self._queue) and self.state.idle:
            connection = self.state.idle.pop()
            if not connection.is_open:
                continue
            if not self._assign_to_next(connection):
                self.state.idle.append(connection)
                return
        needed = len(self._queue) - self.state.opening
        free = self.account.total - self.state.open
        for _ in range(min(needed, free)):
            self.state.opening += 1
            self._tasks.start("target_connect", self._open())
        if needed > free:
            self._permits.ask(self.target.name)

    def _assign_to_next(self, connection: SqlConnection) -> bool:
        now = self._reactor.seconds()
        while True:
            item = self._queue.pop(now=now)
            if item is None:
                return False
            if item.deadline <= now:
                item.value.errback(_deadline_exceeded())
                continue
            item.value.callback(self._check_out(connection))
            return True

    async def _open(self) -> None:
        wait_s = self._retry_at - self._reactor.seconds()
        if wait_s > 0:
            await deferLater(self._reactor, wait_s)
        host, port = self._address
        try:
            connection = await self._driver.connect(host, port)
        except (TargetRefused, TargetConnectionBroken) as error:
            self.state.opening -= 1
            self._retry_at = self._reactor.seconds() + CONNECT_BACKOFF_S
            self._on_connect_failed(error)
            return
        self.state.opening -= 1
        connection.set_on_lost(lambda: self._on_lost(connection))
        if self._is_closed:
            connection.abort()
            return
        self.state.idle.append(connection)
        self._dispatch()

    def _on_connect_failed(self, error: GuavabarrowError) -> None:
        if isinstance(error, TargetConnectionBroken) and not self.state.open:
            self._fail_waiters(f"The target cannot be reached: {error}")
            return
        self._reactor.callLater(CONNECT_BACKOFF_S, self._dispatch)

    def _fail_waiters(self, reason: str) -> None:
        now = self._reactor.seconds()
        while (item := self._queue.pop(now=now)) is not None:
            item.value.errback(TargetUnreachable(reason))

    def _on_lost(self, connection: SqlConnection) -> None:
        if connection in self.state.idle:
            self.state.idle.remove(connection)

    def _expire(self, item: QueuedItem[Deferred[Checkout]]) -> None:
        if self._queue.discard(item):
            item.value.errback(_deadline_exceeded())


def _deadline_exceeded() -> DeadlineExceeded:
    return DeadlineExceeded(
        "No connection to the database was free before the deadline.",
        retry_after_s=CONNECT_BACKOFF_S,
    )
