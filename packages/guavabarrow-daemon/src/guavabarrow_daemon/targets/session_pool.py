"""Connection pool of this VM for one target; a connection serves one session at a time.

A connection belongs to one team, because the handshake names the team. All VMs share
the target's connection limit: each VM may open its fair share without coordination and
more while the target accepts it. Connections above the fair share close sooner if idle.

The pool of a service host sees the statements of all VMs of its domain. It keeps idle
connections for longer and opens one only if none of the team will be free soon; see
``pool_serving``, ``statement_queue`` and ``connection_budget``.
"""

from __future__ import annotations

from collections import Counter
from functools import partial
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred

from guavabarrow_core.connection_budget import (
    ConnectionBudget,
    PoolLimits,
)
from guavabarrow_core.exceptions import SessionError
from guavabarrow_core.paced_load import PacedLoad, PacedWindow
from guavabarrow_core.send_window import ConcurrencyWindow, SendWindow
from guavabarrow_core.session_messages import FailureCode, OpenSession
from guavabarrow_core.statement_queue import (
    QueuedStatement,
    RefusalReason,
    StatementQueue,
)
from guavabarrow_core.target_load import LoadEstimate, TargetLoad
from guavabarrow_core.target_pace import TargetPace
from guavabarrow_daemon.background import BackgroundTasks
from guavabarrow_daemon.operations.clock import now_s
from guavabarrow_daemon.operations.decision_log import log_decision
from guavabarrow_daemon.targets.connection_set import ConnectionSet
from guavabarrow_daemon.targets.interface import (
    TargetConnectionBroken,
    TargetRefused,
    TargetUnreachable,
)
from guavabarrow_daemon.targets.pool_serving import (
    INITIAL_WINDOW,
    MAX_WAITERS,
    MAX_WINDOW,
    HostServing,
    OwnServing,
    ServingPolicy,
)
from guavabarrow_daemon.targets.pool_view import (
    PoolView,
    describe_pool,
    summarize_pool,
)
from guavabarrow_daemon.targets.session_connection import idle_s

if TYPE_CHECKING:
    from collections.abc import Callable, Container

    from guavabarrow_core.target_directory import TargetEntry
    from guavabarrow_daemon.targets.interface import TargetDriver
    from guavabarrow_daemon.targets.session_connection import SessionConnection

FULL_BACKOFF_S = 0.06
"""Pause after the target refused a session at its connection limit; about as long as
a few statements take."""

UNREACHABLE_BACKOFF_S = 0.25
"""Pause between attempts to connect to an unreachable target; meanwhile, requests for a
connection are refused at once."""


class SessionPool:
    """Connection pool of one target.

    Parameters
    ----------
    entry : TargetEntry
        Target.
    driver : TargetDriver of SessionConnection
        Opens connections.
    reactor : object
        Clock.
    on_evidence : callable
        Called with the target's id and ``answered``, ``refused``, ``silent`` or
        ``lost``.
    count_handshake : callable
        Called with the result of each handshake.
    count_refusal : callable
        Called with the priority of each refused statement and the reason.
    count_eviction : callable
        Called when an idle connection is closed for another team.
    tasks : BackgroundTasks, optional
        Runs the opening of connections.

    Attributes
    ----------
    weight_of : callable
        Returns the weight of a team relative to other teams, used at a host.
    """

    def __init__(
        self,
        entry: TargetEntry,
        driver: TargetDriver[SessionConnection],
        reactor: Any,
        *,
        on_evidence: Callable[[str, str], None],
        count_handshake: Callable[[str], None],
        count_refusal: Callable[[int, str], None] = lambda priority, reason: None,
        count_eviction: Callable[[], None] = lambda: None,
        tasks: BackgroundTasks | None = None,
    ) -> None:
        self.entry = entry
        self.load: LoadEstimate = TargetLoad()
        self.window: ConcurrencyWindow = SendWindow(MAX_WINDOW, INITIAL_WINDOW)
        self.budget = ConnectionBudget(PoolLimits(1, 4))
        self.weight_of: Callable[[str], float] = lambda team: 1.0
        self.running_count = 0
        self._driver = driver
        self._reactor = reactor
        self._tasks = tasks or BackgroundTasks()
        self._on_evidence = on_evidence
        self._count_handshake = count_handshake
        self._count_refusal = count_refusal
        self.count_eviction = count_eviction
        self.held = ConnectionSet()
        self.waiters: StatementQueue[Deferred[SessionConnection]] = StatementQueue(
            MAX_WAITERS
        )
        self.opening_count = 0
        self.full_until = 0.0
        self._unreachable_at: float | None = None
        self._checked_at = 0.0
        self.is_closed = False
        self.refused: dict[int, Counter[str]] = {}
        self.opened = 0
        self.evicted = 0
        self._serving: ServingPolicy = OwnServing(self)

    @property
    def connections(self) -> set[SessionConnection]:
        """Open connections."""
        return self.held.all

    @property
    def open_count(self) -> int:
        """Connections that are open or being opened."""
        return len(self.connections) + self.opening_count

    @property
    def waiting(self) -> int:
        """Statements that wait for a connection."""
        return len(self.waiters)

    @property
    def is_host(self) -> bool:
        """Whether this VM runs the statements of its whole failure domain."""
        return self.budget.limits.is_host

    def set_limits(self, limits: PoolLimits) -> None:
        """Set the connection limits, and the queue and window that suit the role."""
        if limits.is_host != self.is_host:
            serving_class = HostServing if limits.is_host else OwnServing
            self._serving = serving_class(self)
        self.budget.limits = limits

    def describe(self) -> PoolView:
        """Return the state of the pool for display."""
        return describe_pool(self, now_s())

    def answered_recently(self, now: float) -> bool:
        """Return whether the target answered within the last second."""
        return now - self.load.measured_at < 1.0

    @property
    def wait_s(self) -> float:
        """Expected wait of a statement that requests a connection now, in s."""
        ahead = len(self.waiters)
        if not ahead and self.window.allows(self.running_count):
            return 0.0
        return self.window.wait_s(ahead + 1, self.load.response_s)

    def expected_wait_s(self, team: str, priority: int) -> float:
        """Return the expected wait of a statement, in s."""
        return self._serving.expected_wait_s(team, priority)

    @property
    def interval_s(self) -> float:
        """Expected interval between two statements that the target serves, in s."""
        return self.window.wait_s(1, self.load.response_s)

    @property
    def in_flight(self) -> int:
        """Statements that were sent to the target and not answered."""
        return self.running_count

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
        self.running_count += 1

    def end_statement(self) -> None:
        """Decrement the number of running statements after an answer or a failure."""
        self.running_count -= 1
        if self.is_host:
            self._serving.refuse_late()
        self.serve_waiters()

    def has_idle(self, team: str) -> bool:
        """Return whether an idle connection of a team exists."""
        return self.held.has_idle(team)

    def acquire(
        self,
        team: str,
        *,
        priority: int,
        deadline: float,
        objective_s: float = float("inf"),
        in_transaction: bool = False,
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
        objective_s : float
            Latency objective, in s. A host refuses a statement that is expected to wait
            for most of it.
        in_transaction : bool
            Whether the connection is held until a transaction ends.

        Returns
        -------
        Deferred of SessionConnection
            Fails with :class:`SessionError`.
        """
        result: Deferred[SessionConnection] = Deferred(self._on_cancel)
        item = QueuedStatement(
            result, team, priority, deadline, in_transaction=in_transaction
        )
        target = RefusalReason.TARGET
        if self.is_closed:
            self.fail([item], target, "The pool of the target is closed.")
        elif self._is_unreachable():
            detail = f"The target is unreachable: {summarize_pool(self)}."
            self.fail([item], target, detail, UNREACHABLE_BACKOFF_S)
        else:
            self._serving.enter(item, objective_s)
        return result

    def release(self, connection: SessionConnection) -> None:
        """Return a connection to the pool after its last answer."""
        self.held.in_transaction.discard(connection)
        if not connection.is_open:
            self.serve_waiters()
            return
        if self.is_closed or connection.has_pending:
            connection.abort()
            return
        self.held.add_idle(connection, now_s())
        self.serve_waiters()

    def trim(self) -> None:
        """Close connections that were idle for too long and fail expired waiters."""
        for rank, connection in enumerate(self.held.most_useful_first(now_s())):
            if idle_s(connection) > self.budget.idle_timeout_s(rank, self.open_count):
                self.held.discard(connection)
        self._serving.refuse_late()
        self.serve_waiters()

    def abort_all(self, reason: str) -> None:
        """Abort all connections and fail all waiters."""
        for connection in list(self.connections):
            connection.abort()
        self.held.idle.clear()
        self._fail_waiters(reason)

    def close(self, reason: str) -> None:
        """Abort all connections and refuse further requests."""
        self.is_closed = True
        self.abort_all(reason)

    def refuse(
        self, item: QueuedStatement[Any], reason: RefusalReason, retry_after_s: float
    ) -> None:
        """Refuse a statement that isn't in the queue, or no longer.

        Parameters
        ----------
        item : QueuedStatement
            The statement.
        reason : RefusalReason
            The reason.
        retry_after_s : float
            Time after which its caller should try again, in s.
        """
        wait_s = self.expected_wait_s(item.team, item.priority)
        detail = f"Expected wait of {wait_s:.2f} s ({reason.value})"
        self.fail([item], reason, f"{detail}: {summarize_pool(self)}.", retry_after_s)

    def fail(
        self,
        items: list[QueuedStatement[Any]],
        reason: RefusalReason,
        detail: str,
        retry_after_s: float | None = None,
    ) -> None:
        """Fail statements that aren't in the queue, or no longer, as not run."""
        for item in items:
            self.refused.setdefault(item.priority, Counter())[reason.value] += 1
            self._count_refusal(item.priority, reason.value)
            item.value.errback(
                SessionError(
                    FailureCode.OVERLOADED, detail, retry_after_s=retry_after_s
                )
            )

    def _is_unreachable(self) -> bool:
        if self._unreachable_at is None or self.connections:
            return False
        is_recent = now_s() - self._unreachable_at < UNREACHABLE_BACKOFF_S
        return is_recent or self.opening_count > 0

    def serve_waiters(self) -> None:
        """Serve waiting statements while there is room."""
        while self.waiters and not self.is_closed and self._serving.serve_next():
            pass

    def hand_over(
        self, item: QueuedStatement[Any], connection: SessionConnection
    ) -> None:
        """Serve a waiting statement with a connection."""
        self.waiters.take(item)
        self.held.use.record(item.team, now_s())
        if item.in_transaction:
            self.held.in_transaction.add(connection)
        item.value.callback(connection)

    def start_opening(self, team: str) -> None:
        """Open a connection for a team."""
        self.opening_count += 1
        self._tasks.start("target_connect", self._open(team))

    def make_room(self, limit: int, kept_teams: Container[str]) -> bool:
        """Make room for one more connection, closing an idle one if need be.

        Parameters
        ----------
        limit : int
            Connections that may be open or being opened.
        kept_teams : container of str
            Teams whose idle connections are not closed.

        Returns
        -------
        bool
            Whether there is room.
        """
        if self.open_count < limit:
            return True
        if self.is_host:
            connection = self.held.least_useful(kept_teams, now_s())
        else:
            connection = self.held.least_recently_used(kept_teams)
        if connection is None:
            return False
        self.held.discard(connection)
        self.evicted += 1
        self.count_eviction()
        return True

    async def _open(self, team: str) -> None:
        open_message = OpenSession(self.entry.service, team, self.entry.target_id)
        connection = None
        evidence = "answered"
        self.held.opening_by_team[team] += 1
        try:
            connection = await self._driver.connect(
                self.entry.host, self.entry.port, open_message
            )
            self._count_handshake("opened")
            self.opened += 1
            self.budget.on_opened()
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
            self.opening_count -= 1
            self.held.opening_by_team[team] -= 1
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
            self.full_until = now + FULL_BACKOFF_S
            self.budget.on_full(len(self.connections), now)
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
        self.fail(self.waiters.clear(), RefusalReason.TARGET, detail)

    def _schedule_serve(self) -> None:
        if self.waiters:
            delay_s = FULL_BACKOFF_S
            if self.budget.limits.is_hosted:
                delay_s = max(delay_s, self.budget.retry_s(now_s()))
            self._reactor.callLater(delay_s, self.serve_waiters)

    def _on_lost(self, connection: SessionConnection) -> None:
        if self.held.remove_lost(connection):
            self._on_evidence(self.entry.target_id, "lost")
        self.serve_waiters()

    def _on_cancel(self, result: Deferred[SessionConnection]) -> None:
        item = self.waiters.find(result)
        if item is not None:
            self.waiters.discard(item)
