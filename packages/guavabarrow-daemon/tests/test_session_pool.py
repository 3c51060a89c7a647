"""Tests the session pool of one target without a network."""

from __future__ import annotations

import pytest
from twisted.internet.task import Clock

from guavabarrow_core import connection_budget
from guavabarrow_core.connection_budget import PoolLimits
from guavabarrow_core.exceptions import SessionError
from guavabarrow_core.target_directory import TargetEntry
from guavabarrow_daemon.targets import pool_serving, session_pool
from guavabarrow_daemon.targets.session_pool import SessionPool

ENTRY = TargetEntry("t1", "orders", "north", "10.0.0.1", 80, False, True)
DEADLINE = 1e12


class FakeConnection:
    """Open connection of one team."""

    def __init__(self, team: str) -> None:
        self.team = team
        self.is_open = True
        self.has_pending = False
        self.idle_since = 0.0

    def close(self) -> None:
        self.is_open = False

    abort = close


class ManualPool(SessionPool):
    """Session pool whose handshakes the test completes."""

    def __init__(self) -> None:
        super().__init__(
            ENTRY,
            lambda: None,
            Clock(),
            on_evidence=lambda target_id, evidence: None,
            count_handshake=lambda result: None,
        )
        self.set_limits(PoolLimits(2, 3))
        self.handshakes: list[str] = []

    async def _open(self, team: str) -> None:
        self.handshakes.append(team)

    def complete(self) -> FakeConnection:
        connection = FakeConnection(self.handshakes[-1])
        self.opening_count -= 1
        self.connections.add(connection)
        self.release(connection)
        return connection


def set_clock(monkeypatch, now_s) -> None:
    for module in (session_pool, pool_serving):
        monkeypatch.setattr(module, "now_s", now_s)


def request_connection(pool: ManualPool, team: str, priority: int = 1):
    results: list = []
    pool.acquire(team, priority=priority, deadline=DEADLINE).addBoth(results.append)
    return results


def test_one_handshake_at_a_time():
    """Statements of six teams arrive while the pool has no connection."""
    pool = ManualPool()
    waiting = [request_connection(pool, f"team-{number}") for number in range(6)]
    assert len(pool.handshakes) == 1
    connection = pool.complete()
    assert waiting[0] == [connection]
    assert len(pool.handshakes) == 2


def test_connection_serves_only_its_team():
    pool = ManualPool()
    request_connection(pool, "a")
    connection = pool.complete()
    pool.release(connection)
    other = request_connection(pool, "b")
    assert other == []
    assert pool.handshakes == ["a", "b"]
    assert request_connection(pool, "a") == [connection]


def test_idle_connection_is_closed_for_a_new_one_at_the_limit():
    pool = ManualPool()
    held = []
    for team in ("a", "b", "c"):
        held += request_connection(pool, team)
        pool.complete()
    request_connection(pool, "d")
    assert pool.handshakes == ["a", "b", "c"]
    pool.release(next(iter(pool.connections)))
    assert pool.handshakes == ["a", "b", "c", "d"]
    assert pool.open_count == 3


def test_higher_priority_is_served_first():
    pool = ManualPool()
    late = request_connection(pool, "a", priority=2)
    early = request_connection(pool, "a", priority=0)
    connection = pool.complete()
    assert early == [connection]
    assert late == []


def test_statements_wait_while_the_window_is_full():
    pool = ManualPool()
    request_connection(pool, "a")
    connection = pool.complete()
    for _ in range(3):
        pool.begin_statement()
    pool.release(connection)
    waiting = request_connection(pool, "a")
    assert waiting == []
    pool.end_statement()
    assert waiting == [connection]


def test_requests_for_an_unreachable_target_fail_at_once(monkeypatch):
    """Under load, each caller of an isolated target waited for its own attempt."""
    now = [100.0]
    set_clock(monkeypatch, lambda: now[0])
    pool = ManualPool()
    first = request_connection(pool, "a")
    pool.opening_count -= 1
    pool._on_unreachable("no answer", "silent")
    assert isinstance(first[0].value, SessionError)
    refused = request_connection(pool, "a")
    assert refused[0].value.retry_after_s == session_pool.UNREACHABLE_BACKOFF_S
    now[0] += session_pool.UNREACHABLE_BACKOFF_S
    assert request_connection(pool, "a") == []
    assert len(pool.handshakes) == 2
    assert isinstance(request_connection(pool, "a")[0].value, SessionError)


def test_request_is_refused_if_its_expected_wait_exceeds_the_deadline(monkeypatch):
    set_clock(monkeypatch, lambda: 100.0)
    pool = ManualPool()
    pool.load.response_s = 2.0
    for _ in range(3):
        pool.begin_statement()
    results: list = []
    pool.acquire("a", priority=1, deadline=100.4).addBoth(results.append)
    assert isinstance(results[0].value, SessionError)
    assert results[0].value.retry_after_s > 0.4


@pytest.mark.parametrize("idle_s", [0.2, 1.0])
def test_idle_connections_are_closed_after_the_timeout(monkeypatch, idle_s):
    now = [100.0]
    set_clock(monkeypatch, lambda: now[0])
    monkeypatch.setattr(session_pool, "idle_s", lambda c: now[0] - c.idle_since)
    pool = ManualPool()
    request_connection(pool, "a")
    connection = pool.complete()
    pool.release(connection)
    now[0] += idle_s
    pool.trim()
    assert connection.is_open is (idle_s < connection_budget.IDLE_TIMEOUT_S)


def test_team_with_many_statements_does_not_starve_another():
    """One team sends five statements before another sends its first."""
    pool = ManualPool()
    pool.set_limits(PoolLimits(2, 1))
    many = [request_connection(pool, "many") for _ in range(5)]
    connection = pool.complete()
    assert many[0] == [connection]
    request_connection(pool, "few")
    request_connection(pool, "many")
    assert [waiter.team for waiter in pool.waiters][:2] == ["few", "many"]
