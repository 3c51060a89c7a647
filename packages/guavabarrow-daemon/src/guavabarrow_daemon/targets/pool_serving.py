"""Which waiting statement a pool serves next, and which it refuses.

A VM that runs only its own callers' statements keeps its part of the target's load
small (:class:`OwnServing`). A host, which runs those of its whole failure domain,
decides for all teams and priorities (:class:`HostServing`).
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Any

from guavabarrow_core.connection_budget import allowed_handshakes
from guavabarrow_core.send_window import SendWindow
from guavabarrow_core.statement_queue import (
    QueuedStatement,
    RefusalReason,
    longest_wait_s,
)
from guavabarrow_daemon.operations.clock import now_s
from guavabarrow_daemon.targets.pool_view import summarize_pool

if TYPE_CHECKING:
    from guavabarrow_daemon.targets.session_pool import SessionPool

MAX_CONCURRENT_HANDSHAKES = 1
"""Handshakes of one VM with a target at a time. Each occupies a slot of the target, and
many at once leave none for statements."""

MAX_WAITERS = 40
"""Maximum number of statements that wait for a connection to one target."""

MAX_HOST_WAITERS = 128
"""The same at a host, whose targets serve some 200 statements a second: less than a
second's worth, so that the entry check refuses before the queue is full."""

INITIAL_WINDOW = 3.0
MAX_WINDOW = 8.0

MAX_HOST_WINDOW = 3.0
"""Three hosts send to a target of 4 to 6 slots. Larger windows keep a queue at the
target, where the order by priority and team does not hold."""

FREE_SOON_RESPONSE_S = 0.06
"""Response time up to which a host waits for a connection in use instead of opening
another: twice what the opening takes with its round trips."""

CHECK_INTERVAL_S = 0.05
"""Interval between checks for waiting statements that can't meet their deadlines."""


class ServingPolicy(ABC):
    """Serves and refuses the waiting statements of a pool.

    Parameters
    ----------
    pool : SessionPool
        The pool.
    """

    def __init__(self, pool: SessionPool) -> None:
        self._pool = pool

    @abstractmethod
    def expected_wait_s(self, team: str, priority: int) -> float:
        """Return the expected wait of a statement that is added now, in s."""

    @abstractmethod
    def enter(self, item: QueuedStatement[Any], objective_s: float) -> None:
        """Add a statement, or refuse it or another one.

        Parameters
        ----------
        item : QueuedStatement
            The statement.
        objective_s : float
            Its latency objective, in s.
        """

    @abstractmethod
    def refuse_late(self) -> None:
        """Refuse the statements that have waited for too long."""

    @abstractmethod
    def serve_next(self) -> bool:
        """Serve a statement or open a connection for one.

        Returns
        -------
        bool
            Whether another statement may be served.
        """


class OwnServing(ServingPolicy):
    """Policy of a VM that runs the statements of its own callers."""

    def __init__(self, pool: SessionPool) -> None:
        super().__init__(pool)
        pool.waiters.set_shared(False)
        pool.waiters.max_length = MAX_WAITERS
        if isinstance(pool.window, SendWindow):
            pool.window = SendWindow(MAX_WINDOW, pool.window.size)

    def expected_wait_s(self, team: str, priority: int) -> float:
        """Return the expected wait behind all waiting statements, in s."""
        return self._pool.wait_s

    def enter(self, item: QueuedStatement[Any], objective_s: float) -> None:
        """Add a statement unless it would wait beyond its deadline."""
        pool = self._pool
        wait_s = pool.wait_s
        is_full = len(pool.waiters) >= pool.waiters.max_length
        if is_full or now_s() + wait_s > item.deadline:
            reason = (
                RefusalReason.QUEUE_FULL if is_full else RefusalReason.EXPECTED_WAIT
            )
            pool.refuse(item, reason, wait_s)
            return
        pool.waiters.push(item)
        pool.serve_waiters()

    def refuse_late(self) -> None:
        """Refuse the statements whose deadlines have passed."""
        pool = self._pool
        for item in pool.waiters.expired(now_s()):
            pool.waiters.discard(item)
            detail = f"No connection became free: {summarize_pool(pool)}."
            pool.fail([item], RefusalReason.DEADLINE, detail)

    def serve_next(self) -> bool:
        """Serve the first statement whose team has an idle connection."""
        pool = self._pool
        if not pool.window.allows(pool.running_count):
            return False
        item = next((w for w in pool.waiters if pool.has_idle(w.team)), None)
        connection = None if item is None else pool.held.pop_idle(item.team)
        if item is not None and connection is not None:
            pool.hand_over(item, connection)
            return True
        if pool.opening_count >= min(MAX_CONCURRENT_HANDSHAKES, len(pool.waiters)):
            return False
        if not self._has_capacity():
            return False
        pool.start_opening(next(iter(pool.waiters)).team)
        return True

    def _has_capacity(self) -> bool:
        pool = self._pool
        limits = pool.budget.limits
        now = now_s()
        if limits.is_hosted:
            if pool.budget.retry_s(now) > 0:
                return False
            limit = pool.budget.limit(now)
        elif now < pool.full_until:
            limit = limits.fair_share
        else:
            limit = limits.connection_limit
        return pool.make_room(limit, pool.waiters.count_by_team) or pool.make_room(
            limit, ()
        )


class HostServing(ServingPolicy):
    """Policy of the VM that runs the statements of its whole failure domain."""

    def __init__(self, pool: SessionPool) -> None:
        super().__init__(pool)
        pool.waiters.set_shared(True)
        pool.waiters.max_length = MAX_HOST_WAITERS
        if isinstance(pool.window, SendWindow):
            size = min(MAX_HOST_WINDOW, pool.window.size)
            pool.window = SendWindow(MAX_HOST_WINDOW, size)
        self._checked_at = float("-inf")

    def expected_wait_s(self, team: str, priority: int) -> float:
        """Return the expected wait behind the statements that go first, in s."""
        pool = self._pool
        if not pool.waiters and pool.window.allows(pool.running_count):
            return 0.0
        return pool.waiters.expected_wait_s(
            team, priority, pool.interval_s, weight=pool.weight_of(team)
        )

    def enter(self, item: QueuedStatement[Any], objective_s: float) -> None:
        """Add a statement unless it is expected to wait for too long.

        If the queue is full, the least urgent statement of the heaviest team is
        refused.
        """
        pool = self._pool
        self.refuse_late()
        team = item.team
        item.weight = pool.weight_of(team)
        may_wait_s = longest_wait_s(item.deadline - now_s(), objective_s)
        if self.expected_wait_s(team, item.priority) > may_wait_s:
            self._refuse(item, RefusalReason.EXPECTED_WAIT)
            return
        if item.in_transaction and pool.budget.is_team_at_bound(
            pool.held.transactions_of(team), others_wait=pool.waiters.others_wait(team)
        ):
            self._refuse(item, RefusalReason.TEAM_TRANSACTIONS)
            return
        pool.waiters.push(item)
        if len(pool.waiters) > pool.waiters.max_length:
            victim = pool.waiters.victim()
            pool.waiters.discard(victim)
            self._refuse(victim, RefusalReason.QUEUE_FULL)
        pool.serve_waiters()

    def refuse_late(self) -> None:
        """Refuse the statements that can't be served before their deadlines."""
        pool = self._pool
        now = now_s()
        if now - self._checked_at < CHECK_INTERVAL_S:
            return
        self._checked_at = now
        for item in pool.waiters.hopeless(now, pool.interval_s):
            pool.waiters.discard(item)
            self._refuse(item, RefusalReason.DEADLINE)

    def serve_next(self) -> bool:
        """Serve the first statement that can be, or open a connection for it.

        A statement is passed over while a connection of its team will soon be free.
        Handshakes count in the send window, since each occupies a slot of the target.
        """
        pool = self._pool
        if not pool.window.allows(pool.running_count + pool.opening_count):
            return False
        expected_by_team = pool.held.expected_by_team(
            is_fast=pool.load.response_s <= FREE_SOON_RESPONSE_S
        )
        may_begin = pool.budget.may_begin_transaction(len(pool.held.in_transaction))
        for item in pool.waiters:
            if item.in_transaction and not may_begin:
                continue
            connection = pool.held.pop_idle(item.team)
            if connection is not None:
                pool.hand_over(item, connection)
                return True
            if expected_by_team[item.team] > 0:
                expected_by_team[item.team] -= 1
            elif self._may_open():
                pool.start_opening(item.team)
                return True
        return False

    def _refuse(self, item: QueuedStatement[Any], reason: RefusalReason) -> None:
        pool = self._pool
        retry_after_s = pool.waiters.retry_after_s(
            item.priority, now_s(), pool.interval_s
        )
        pool.refuse(item, reason, retry_after_s)

    def _may_open(self) -> bool:
        pool = self._pool
        now = now_s()
        teams = pool.waiters.count_by_team
        has_room = pool.window.allows(pool.running_count + pool.opening_count + 1)
        if pool.opening_count >= allowed_handshakes(teams, has_room=has_room):
            return False
        if pool.budget.retry_s(now) > 0:
            return False
        return pool.make_room(pool.budget.limit(now), teams)
