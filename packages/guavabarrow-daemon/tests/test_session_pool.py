"""Connections of one VM to one target, without a network."""

from __future__ import annotations

import pytest
from twisted.internet.task import Clock

from guavabarrow_core.exceptions import SessionError
from guavabarrow_core.target_directory import TargetEntry
from guavabarrow_daemon.targets import session_pool
from guavabarrow_daemon.targets.session_pool import SessionPool

ENTRY = TargetEntry("t1", "orders", "north", "10.0.0.1", 80, False, True)
DEADLINE = 1e12


class FakeConnection:
    """An open connection of a team."""

    def __init__(self, team: str) -> None:
        self.team = team
        self.is_open = True
        self.has_pending = False
        self.idle_since = 0.0

    def close(self) -> None:
        self.is_open = False

    abort = close


class Pool(SessionPool):
    """Pool whose handshakes the test completes."""

    def __init__(self) -> None:
        super().__init__(
            ENTRY,
            lambda: None,
            Clock(),
            on_evidence=lambda target_id, evidence: None,
            count_handshake=lambda result: None,
        )
        self.even_part, self.most = 2, 3
        self.handshakes: list[str] = []

    async def _open(self, team: str) -> None:
        self.handshakes.append(team)

    def complete(self) -> FakeConnection:
        connection = FakeConnection(self.handshakes[-1])
        self._opening -= 1
        self.connections.add(connection)
        self.release(connection)
        return connection


def ask(pool: Pool, team: str, priority: int = 1):
    results: list = []
    pool.acquire(team, priority=priority, deadline=DEADLINE).addBoth(results.append)
    return results


def test_one_handshake_at_a_time():
    """Load: many statements of many teams meet a target without connections."""
    pool = Pool()
    waiting = [ask(pool, f"team-{number}") for number in range(6)]
    assert len(pool.handshakes) == 1
    connection = pool.complete()
    assert waiting[0] == [connection]
    assert len(pool.handshakes) == 2


def test_a_connection_serves_its_own_team_only():
    pool = Pool()
    ask(pool, "a")
    connection = pool.complete()
    pool.release(connection)
    other = ask(pool, "b")
    assert other == []
    assert pool.handshakes == ["a", "b"]
    assert ask(pool, "a") == [connection]


def test_the_limit_holds_and_an_idle_connection_makes_room():
    pool = Pool()
    held = []
    for team in ("a", "b", "c"):
        held += ask(pool, team)
        pool.complete()
    ask(pool, "d")
    assert pool.handshakes == ["a", "b", "c"]
    pool.release(next(iter(pool.connections)))
    assert pool.handshakes == ["a", "b", "c", "d"]
    assert pool.open_count == 3


def test_a_higher_priority_is_served_first():
    pool = Pool()
    late = ask(pool, "a", priority=2)
    early = ask(pool, "a", priority=0)
    connection = pool.complete()
    assert early == [connection]
    assert late == []


def test_a_full_window_keeps_statements_waiting():
    pool = Pool()
    ask(pool, "a")
    connection = pool.complete()
    for _ in range(3):
        pool.begin_statement()
    pool.release(connection)
    waiting = ask(pool, "a")
    assert waiting == []
    pool.end_statement()
    assert waiting == [connection]


def test_statements_do_not_wait_for_a_target_that_gave_no_answer(monkeypatch):
    """Load: every caller of a cut-off target waited for an attempt of its own."""
    now = [100.0]
    monkeypatch.setattr(session_pool, "now_s", lambda: now[0])
    pool = Pool()
    first = ask(pool, "a")
    pool._opening -= 1
    pool._on_unreachable("no answer", "silent")
    assert isinstance(first[0].value, SessionError)
    refused = ask(pool, "a")
    assert refused[0].value.retry_after_s == session_pool.UNREACHABLE_PAUSE_S
    now[0] += session_pool.UNREACHABLE_PAUSE_S
    assert ask(pool, "a") == []
    assert len(pool.handshakes) == 2
    assert isinstance(ask(pool, "a")[0].value, SessionError)


def test_what_would_come_too_late_is_refused_at_once(monkeypatch):
    monkeypatch.setattr(session_pool, "now_s", lambda: 100.0)
    pool = Pool()
    pool.load.response_s = 2.0
    for _ in range(3):
        pool.begin_statement()
    results: list = []
    pool.acquire("a", priority=1, deadline=100.4).addBoth(results.append)
    assert isinstance(results[0].value, SessionError)
    assert results[0].value.retry_after_s > 0.4


@pytest.mark.parametrize("idle_s", [0.2, 1.0])
def test_idle_connections_are_given_back_soon(monkeypatch, idle_s):
    now = [100.0]
    monkeypatch.setattr(session_pool, "now_s", lambda: now[0])
    monkeypatch.setattr(session_pool, "idle_s", lambda c: now[0] - c.idle_since)
    pool = Pool()
    ask(pool, "a")
    connection = pool.complete()
    pool.release(connection)
    now[0] += idle_s
    pool.trim()
    assert connection.is_open is (idle_s < session_pool.IDLE_S)


def test_a_team_with_many_statements_does_not_starve_another():
    """Load: one team sends five statements before another sends its first."""
    pool = Pool()
    pool.most = 1
    many = [ask(pool, "many") for _ in range(5)]
    connection = pool.complete()
    assert many[0] == [connection]
    ask(pool, "few")
    ask(pool, "many")
    assert [waiter.team for waiter in pool._waiters][:2] == ["few", "many"]
