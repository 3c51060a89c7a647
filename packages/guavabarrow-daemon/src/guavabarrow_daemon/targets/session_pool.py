"""Connection pool of this VM for one target; a connection serves one session at a time.

A connection belongs to one team, because the handshake names the team. All VMs share
the target's connection limit: each VM may open its fair share without coordination and
more while the target accepts it. Connections above the fair share are closed after a
short idle time.
"""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred

from guavabarrow_core.exceptions import SessionError
from guavabarrow_core.paced_load import PacedLoad, PacedWindow
from guavabarrow_core.send_window import ConcurrencyWindow, SendWindow
from guavabarrow_core.session_messages import FailureCode, OpenSession
from guavabarrow_core.target_load import LoadEstimate, TargetLoad
from guavabarrow_core.target_pace import TargetPace
from guavabarrow_daemon.operations.clock import now_s
from guavabarrow_daemon.operations.decision_log import log_decision
from guavabarrow_daemon.targets.interface import (
    TargetConnectionBroken,
    TargetRefused,
    TargetUnreachable,
)
from guavabarrow_daemon.targets.session_connection import idle_s

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavabarrow_core.target_directory import TargetEntry
    from guavabarrow_daemon.targets.interface import TargetDriver
    from guavabarrow_daemon.targets.session_connection import SessionConnection

FULL_BACKOFF_S = 0.06
"""Pause after the target refused a session at its connection limit; about as long as
a few statements take."""

EXCESS_IDLE_TIMEOUT_S = 0.3
"""Idle time after which a connection above the fair share is closed."""

IDLE_TIMEOUT_S = 0.4
"""Idle time after which any connection is closed. The connections of a machine that
loses power count against the target's limit for seconds, so VMs keep few of them."""

UNREACHABLE_BACKOFF_S = 0.25
"""Pause between attempts to connect to an unreachable target; meanwhile, requests for a
connection are refused at once."""

MAX_CONCURRENT_HANDSHAKES = 1
"""Handshakes of one VM with a target at a time. Each occupies a slot of the target, and
many at once leave none for statements."""

MAX_WAITERS = 40
"""Maximum number of statements that wait for a connection to one target."""

INITIAL_WINDOW = 3.0
MAX_WINDOW = 8.0


@dataclass(slots=True)
class Waiter:
    """A statement that waits for a connection.

    Parameters
    ----------
    team : str
        Team that it runs for.
    priority : int
        Lower values are served first.
    start_tag : float
        Virtual start time for fair queueing between teams; see
        ``guavabarrow_core.fair_queue``.
    order : int
        Arrival number, which breaks ties.
    deadline : float
        Local time after which the statement is refused, in s.
    result : Deferred
        Fires with the connection.
    """

    team: str
    priority: int
    start_tag: float
    order: int
    deadline: float
    result: Deferred[SessionConnection]


class SessionPool:
    """Connection pool of one target.

    Parameters
    ----------
    entry : TargetEntry
        The target.
    driver : TargetDriver of SessionConnection
        Opens connections.
    reactor : object
        Clock.
    on_evidence : callable
        Called with the target's id and ``answered``, ``refused``, ``silent`` or
        ``lost``.
    count_handshake : callable
        Called with the result of each handshake.
    """

    def __init__(
        self,
        entry: TargetEntry,
        driver: TargetDriver[SessionConnection],
        reactor: Any,
        *,
        on_evidence: Callable[[str, str], None],
        count_handshake: Callable[[str], None],
    ) -> None:
        self.entry = entry
        self.load: LoadEstimate = TargetLoad()
        self.window: ConcurrencyWindow = SendWindow(MAX_WINDOW, INITIAL_WINDOW)
        self._running_count = 0
        self.fair_share = 1
        self.connection_limit = 4
        self.connections: set[SessionConnection] = set()
        self._driver = driver
        self._reactor = reactor
        self._on_evidence = on_evidence
        self._count_handshake = count_handshake
        self._idle: list[SessionConnection] = []
        self._waiters: list[Waiter] = []
        self._opening_count = 0
        self._order = 0
        self._virtual_time = 0.0
        self._finish_tag_by_team: dict[str, float] = {}
        self._full_until = 0.0
        self._unreachable_at: float | None = None
        self._is_closed = False

    @property
    def open_count(self) -> int:
        """Connections that are open or being opened."""
        return len(self.connections) + self._opening_count

    @property
    def waiting(self) -> int:
        """Statements that wait for a connection."""
        return len(self._waiters)

    def answered_recently(self, now: float) -> bool:
        """Return whether the target answered within the last second."""
        return now - self.load.measured_at < 1.0

    @property
    def wait_s(self) -> float:
        """Expected wait of a statement that requests a connection now, in s."""
        ahead = len(self._waiters)
        if not ahead and self.window.allows(self._running_count):
            return 0.0
        return self.window.wait_s(ahead + 1, self.load.response_s)

    @property
    def in_flight(self) -> int:
        """Statements that were sent to the target and not answered."""
        return self._running_count

    def set_paced(self, is_paced: bool) -> None:
        """Use a learned limit, or the window of a VM that decides alone."""
        if isinstance(self.window, PacedWindow) == is_paced:
            return
        running = self.load.running
        if is_paced:
            pace = TargetPace(self.entry.slots)
            self.window, self.load = PacedWindow(pace), PacedLoad(pace)
        else:
            self.window = SendWindow(MAX_WINDOW, INITIAL_WINDOW)
            self.load = TargetLoad()
        self.load.running = running

    def begin_statement(self) -> None:
        """Increment the number of running statements."""
        self._running_count += 1

    def end_statement(self) -> None:
        """Decrement the number of running statements after an answer or a failure."""
        self._running_count -= 1
        self._serve_waiters()

    def has_idle(self, team: str) -> bool:
        """Return whether an idle connection of a team exists."""
        return any(connection.team == team for connection in self._idle)

    def acquire(
        self, team: str, *, priority: int, deadline: float
    ) -> Deferred[SessionConnection]:
        """Acquire a connection for one statement or transaction.

        Parameters
        ----------
        team : str
            Team that the connection is opened for.
        priority : int
            Lower values are served first.
        deadline : float
            Local time after which the request fails, in s.

        Returns
        -------
        Deferred of SessionConnection
            Fails with :class:`SessionError`.
        """
        result: Deferred[SessionConnection] = Deferred(self._on_cancel)
        if self._is_closed:
            result.errback(_unavailable("The connection pool of the target is closed."))
            return result
        if self._is_unreachable():
            detail = f"The target is unreachable: {self._describe_state()}."
            result.errback(
                SessionError(
                    FailureCode.OVERLOADED, detail, retry_after_s=UNREACHABLE_BACKOFF_S
                )
            )
            return result
        wait_s = self.wait_s
        if len(self._waiters) >= MAX_WAITERS or now_s() + wait_s > deadline:
            result.errback(
                SessionError(
                    FailureCode.OVERLOADED,
                    f"Expected wait of {wait_s:.2f} s: {self._describe_state()}.",
                    retry_after_s=wait_s,
                )
            )
            return result
        self._order += 1
        start_tag = max(self._virtual_time, self._finish_tag_by_team.get(team, 0.0))
        self._finish_tag_by_team[team] = start_tag + 1.0
        self._waiters.append(
            Waiter(team, priority, start_tag, self._order, deadline, result)
        )
        self._waiters.sort(key=lambda w: (w.priority, w.start_tag, w.order))
        self._serve_waiters()
        return result

    def release(self, connection: SessionConnection) -> None:
        """Return a connection to the pool after its last answer."""
        if not connection.is_open:
            self._serve_waiters()
            return
        if self._is_closed or connection.has_pending:
            connection.abort()
            return
        connection.idle_since = now_s()
        self._idle.append(connection)
        self._serve_waiters()

    def trim(self) -> None:
        """Close connections that were idle for too long and fail expired waiters."""
        now = now_s()
        for connection in list(self._idle):
            is_excess = self.open_count > self.fair_share
            timeout_s = EXCESS_IDLE_TIMEOUT_S if is_excess else IDLE_TIMEOUT_S
            if idle_s(connection) > timeout_s:
                self._discard(connection)
        for waiter in list(self._waiters):
            if now >= waiter.deadline:
                self._waiters.remove(waiter)
                waiter.result.errback(
                    _unavailable(
                        f"No connection became free: {self._describe_state()}."
                    )
                )
        self._serve_waiters()

    def abort_all(self, reason: str) -> None:
        """Abort all connections and fail all waiters."""
        waiters, self._waiters = self._waiters, []
        for connection in list(self.connections):
            connection.abort()
        self._idle.clear()
        for waiter in waiters:
            waiter.result.errback(_unavailable(reason))

    def close(self, reason: str) -> None:
        """Abort all connections and refuse further requests."""
        self._is_closed = True
        self.abort_all(reason)

    def _is_unreachable(self) -> bool:
        if self._unreachable_at is None or self.connections:
            return False
        is_recent = now_s() - self._unreachable_at < UNREACHABLE_BACKOFF_S
        return is_recent or self._opening_count > 0

    def _describe_state(self) -> str:
        return (
            f"target={self.entry.target_id} open={len(self.connections)} "
            f"opening={self._opening_count} idle={len(self._idle)} "
            f"waiting={len(self._waiters)} "
            f"limit={self.fair_share}-{self.connection_limit}"
        )

    def _serve_waiters(self) -> None:
        while self._waiters and not self._is_closed:
            if not self.window.allows(self._running_count):
                return
            waiter = next((w for w in self._waiters if self.has_idle(w.team)), None)
            connection = None if waiter is None else self._pop_idle(waiter.team)
            if waiter is not None and connection is not None:
                self._waiters.remove(waiter)
                self._virtual_time = max(self._virtual_time, waiter.start_tag)
                if not self._waiters:
                    self._finish_tag_by_team.clear()
                waiter.result.callback(connection)
                continue
            if self._opening_count >= min(
                MAX_CONCURRENT_HANDSHAKES, len(self._waiters)
            ):
                return
            if not self._ensure_capacity():
                return
            self._opening_count += 1
            Deferred.fromCoroutine(self._open(self._waiters[0].team))

    def _pop_idle(self, team: str) -> SessionConnection | None:
        for connection in reversed(self._idle):
            if connection.team == team:
                self._idle.remove(connection)
                if connection.is_open:
                    return connection
        return None

    def _ensure_capacity(self) -> bool:
        now = now_s()
        limit = self.fair_share if now < self._full_until else self.connection_limit
        if self.open_count < limit:
            return True
        waiting_teams = {waiter.team for waiter in self._waiters}
        closable = [c for c in self._idle if c.team not in waiting_teams] or self._idle
        if not closable:
            return False
        self._discard(min(closable, key=lambda c: c.idle_since))
        return True

    def _discard(self, connection: SessionConnection) -> None:
        self._idle.remove(connection)
        self.connections.discard(connection)
        connection.close()

    async def _open(self, team: str) -> None:
        open_message = OpenSession(self.entry.service, team, self.entry.target_id)
        connection = None
        evidence = "answered"
        try:
            connection = await self._driver.connect(
                self.entry.host, self.entry.port, open_message
            )
            self._count_handshake("opened")
            self._unreachable_at = None
        except TargetRefused as error:
            self._count_handshake(error.code)
            self._on_refused(error.code)
            evidence = ""
        except TargetConnectionBroken as error:
            self._count_handshake("lost")
            evidence = "silent"
            self._on_unreachable(str(error), evidence)
        except TargetUnreachable as error:
            evidence = "refused" if error.is_refused else "silent"
            self._count_handshake(evidence)
            self._on_unreachable(str(error), evidence)
        finally:
            self._opening_count -= 1
        if evidence:
            self._on_evidence(self.entry.target_id, evidence)
        if connection is None or not connection.is_open:
            self._schedule_serve()
            return
        self.connections.add(connection)
        connection.set_on_lost(partial(self._on_lost, connection))
        self.release(connection)

    def _on_refused(self, code: str) -> None:
        now = now_s()
        if code == FailureCode.TOO_MANY_CONNECTIONS.value:
            self._full_until = now + FULL_BACKOFF_S
            return
        log_decision(
            "target_refused_session",
            target=self.entry.target_id,
            service=self.entry.service,
            code=code,
        )
        self.load.record_failure(now)
        self._fail_waiters(f"The target refused the session: {code}.")

    def _on_unreachable(self, detail: str, evidence: str) -> None:
        log_decision(
            "target_unreachable",
            target=self.entry.target_id,
            service=self.entry.service,
            evidence=evidence,
            detail=detail,
        )
        self.load.record_failure(now_s())
        self._unreachable_at = now_s()
        if not self.connections:
            self._fail_waiters("The target cannot be reached.")

    def _fail_waiters(self, detail: str) -> None:
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            waiter.result.errback(_unavailable(detail))

    def _schedule_serve(self) -> None:
        if self._waiters:
            self._reactor.callLater(FULL_BACKOFF_S, self._serve_waiters)

    def _on_lost(self, connection: SessionConnection) -> None:
        was_idle = connection in self._idle
        if was_idle:
            self._idle.remove(connection)
        if connection in self.connections:
            self.connections.discard(connection)
            self._on_evidence(self.entry.target_id, "lost")
        self._serve_waiters()

    def _on_cancel(self, result: Deferred[SessionConnection]) -> None:
        self._waiters = [w for w in self._waiters if w.result is not result]


def _unavailable(detail: str) -> SessionError:
    return SessionError(FailureCode.OVERLOADED, detail)
