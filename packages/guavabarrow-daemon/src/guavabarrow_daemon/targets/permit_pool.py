"""Connections of this VM to one database, handed out fairly."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.task import deferLater

from guavabarrow_core.exceptions import DeadlineExceeded, GuavabarrowError
from guavabarrow_core.fair_queue import FairQueue, QueuedItem
from guavabarrow_daemon.permit_service import PermitAccount, PermitService
from guavabarrow_daemon.targets.interface import (
    SqlConnection,
    SqlDriver,
    TargetBroken,
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
        Pool to return it to.
    """

    connection: SqlConnection
    pool: PermitPool
    is_returned: bool = False

    def release(self, *, is_clean: bool) -> None:
        """Return the connection; one in doubt is closed."""
        if self.is_returned:
            return
        self.is_returned = True
        self.pool.take_back(self.connection, is_clean=is_clean)


@dataclass(slots=True)
class PoolState:
    """Connections of a pool by their use."""

    idle: list[SqlConnection] = field(default_factory=list)
    busy: set[SqlConnection] = field(default_factory=set)
    opening: int = 0

    @property
    def open(self) -> int:
        """Connections that are open or being opened."""
        return len(self.idle) + len(self.busy) + self.opening


class PermitPool:
    """Pool of one database.

    Parameters
    ----------
    target : Target
        Database.
    address : tuple of (str, int)
        Address to dial.
    driver : SqlDriver
        Opens connections.
    permits : PermitService
        Grants the number of connections.
    reactor : object
        Clock.
    is_fair : bool
        Whether teams are served by weight; False gives the first-come baseline.
    """

    def __init__(
        self,
        target: Target,
        address: tuple[str, int],
        *,
        driver: SqlDriver,
        permits: PermitService,
        reactor: Any,
        is_fair: bool = True,
    ) -> None:
        self.target = target
        self.state = PoolState()
        self._address = address
        self._driver = driver
        self._permits = permits
        self._reactor = reactor
        self._is_fair = is_fair
        self._queue: FairQueue[Deferred[Checkout]] = FairQueue()
        self._completed_at = 0.0
        self._retry_at = 0.0
        self._is_closed = False
        self.account = PermitAccount(target, self._usage, self._dispatch)
        permits.open_account(self.account)

    @property
    def outstanding(self) -> int:
        """Statements that run or wait."""
        return len(self.state.busy) + len(self._queue)

    @property
    def queued(self) -> int:
        """Statements that wait."""
        return len(self._queue)

    async def acquire(self, *, team: str, weight: float, deadline: float) -> Checkout:
        """Wait for a connection.

        Parameters
        ----------
        team : str
            Team that is charged in the queue.
        weight : float
            Its weight.
        deadline : float
            Monotonic time.

        Returns
        -------
        Checkout
            Must be released.

        Raises
        ------
        DeadlineExceeded
            If the deadline passes; nothing was sent.
        Overloaded
            If the queue is full.
        TargetUnreachable
            If the database refuses connections.
        """
        now = self._reactor.seconds()
        if now >= deadline:
            raise _too_late()
        while self.state.idle and not len(self._queue):
            connection = self.state.idle.pop()
            if connection.is_open:
                return self._lend(connection)
        turn: Deferred[Checkout] = Deferred()
        charged = team if self._is_fair else ""
        item = self._queue.push(
            turn, team=charged, weight=weight, deadline=deadline, now=now
        )
        timer = self._reactor.callLater(deadline - now, self._expire, item)
        self._dispatch()
        try:
            return await turn
        except CancelledError:
            self._queue.discard(item)
            raise
        finally:
            if timer.active():
                timer.cancel()

    def take_back(self, connection: SqlConnection, *, is_clean: bool) -> None:
        """Return a connection after use."""
        self.state.busy.discard(connection)
        now = self._reactor.seconds()
        if self._completed_at:
            self._queue.record_service(min(1.0, now - self._completed_at))
        self._completed_at = now
        over = self.state.open >= self.account.total and self.account.recall > 0
        if not is_clean or self._is_closed or over:
            connection.abort()
        elif connection.is_open:
            self.state.idle.append(connection)
        self._dispatch()

    def close(self) -> None:
        """Close idle connections and refuse those that wait; busy ones end."""
        self._is_closed = True
        self._permits.close_account(self.target.name)
        for connection in self.state.idle:
            connection.abort()
        self.state.idle.clear()
        self._fail_waiting("The target is no longer part of the configuration.")

    def abort_all(self) -> None:
        """Break all connections; requests in progress end in doubt."""
        for connection in list(self.state.busy):
            connection.abort()
        self.close_idle()

    def close_idle(self) -> None:
        """Close idle connections, for example of a leaving target."""
        for connection in self.state.idle:
            connection.abort()
        self.state.idle.clear()

    def _usage(self) -> tuple[int, int]:
        wanted = len(self.state.busy) + len(self._queue)
        return self.state.open, wanted

    def _lend(self, connection: SqlConnection) -> Checkout:
        self.state.busy.add(connection)
        return Checkout(connection, self)

    def _dispatch(self) -> None:
        while len(self._queue) and self.state.idle:
            connection = self.state.idle.pop()
            if not connection.is_open:
                continue
            if not self._hand_to_next(connection):
                self.state.idle.append(connection)
                return
        missing = len(self._queue) - self.state.opening
        free = self.account.total - self.state.open
        for _ in range(min(missing, free)):
            self.state.opening += 1
            Deferred.fromCoroutine(self._open())
        if missing > free:
            self._permits.ask(self.target.name)

    def _hand_to_next(self, connection: SqlConnection) -> bool:
        now = self._reactor.seconds()
        while True:
            item = self._queue.pop(now=now)
            if item is None:
                return False
            if item.deadline <= now:
                item.value.errback(_too_late())
                continue
            item.value.callback(self._lend(connection))
            return True

    async def _open(self) -> None:
        wait_s = self._retry_at - self._reactor.seconds()
        if wait_s > 0:
            await deferLater(self._reactor, wait_s)
        host, port = self._address
        try:
            connection = await self._driver.connect(host, port)
        except (TargetRefused, TargetBroken) as error:
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
        if isinstance(error, TargetBroken) and not self.state.open:
            self._fail_waiting(f"The target cannot be reached: {error}")
            return
        self._reactor.callLater(CONNECT_BACKOFF_S, self._dispatch)

    def _fail_waiting(self, reason: str) -> None:
        now = self._reactor.seconds()
        while (item := self._queue.pop(now=now)) is not None:
            item.value.errback(TargetUnreachable(reason))

    def _on_lost(self, connection: SqlConnection) -> None:
        if connection in self.state.idle:
            self.state.idle.remove(connection)

    def _expire(self, item: QueuedItem[Deferred[Checkout]]) -> None:
        if self._queue.discard(item):
            item.value.errback(_too_late())


def _too_late() -> DeadlineExceeded:
    return DeadlineExceeded(
        "No connection to the database was free before the deadline.",
        retry_after_s=CONNECT_BACKOFF_S,
    )
