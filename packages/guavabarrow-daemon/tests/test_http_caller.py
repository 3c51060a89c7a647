"""Calls of a store under virtual time, with a connection that the test answers."""

from __future__ import annotations

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from guavabarrow_daemon.http.client_connection import HttpResponse
from guavabarrow_daemon.store.exceptions import StoreUnavailable
from guavabarrow_daemon.store.http_caller import LONGEST_CALL_S, HttpStoreCaller

SILENCE_S = 1.0


class FakeConnection:
    """One request whose answer arrives when the test says so."""

    def __init__(self) -> None:
        self.pending: Deferred[HttpResponse] = Deferred()
        self.on_progress = None
        self.is_aborted = False

    def request(self, method, path, body, headers) -> Deferred[HttpResponse]:
        return self.pending

    def abort(self) -> None:
        self.is_aborted = True


class FakePool:
    """Hands out one connection."""

    def __init__(self) -> None:
        self.connection = FakeConnection()
        self.kept: list[FakeConnection] = []

    async def take(self) -> FakeConnection:
        return self.connection

    def give_back(self, connection: FakeConnection) -> None:
        self.kept.append(connection)


class Call:
    """A call that has been sent."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.pool = FakePool()
        self.results: list[str] = []
        caller = HttpStoreCaller(
            "10.0.0.1",
            1,
            self.clock,
            connect_timeout_s=SILENCE_S,
            call_timeout_s=SILENCE_S,
            max_idle=1,
            on_call=lambda name, result: self.results.append(result),
        )
        caller._connections = self.pool
        self.outcome: list = []
        call = Deferred.fromCoroutine(caller.call("GET", "/rows", name="rows"))
        call.addBoth(self.outcome.append)


@pytest.fixture
def call() -> Call:
    return Call()


def test_a_store_that_stays_silent_is_given_up(call):
    call.clock.advance(SILENCE_S + 0.1)
    assert call.outcome[0].check(StoreUnavailable)
    assert not call.outcome[0].value.is_undone
    assert call.pool.connection.is_aborted


def test_a_large_answer_that_still_arrives_is_waited_for(call):
    """Seen on a played day: 500 KB over a slow link needed more than the limit."""
    for _ in range(5):
        call.clock.advance(0.8)
        call.pool.connection.on_progress()
    call.pool.connection.pending.callback(HttpResponse(200, b"rows", {}))
    assert call.outcome[0].body == b"rows"
    assert call.pool.kept == [call.pool.connection]
    assert call.clock.getDelayedCalls() == []


def test_an_answer_that_never_ends_is_given_up(call):
    for _ in range(int(LONGEST_CALL_S / 0.8) + 2):
        call.clock.advance(0.8)
        if not call.outcome:
            call.pool.connection.on_progress()
    assert call.outcome[0].check(StoreUnavailable)


def test_a_server_that_turns_the_call_away_has_done_nothing(call):
    call.pool.connection.pending.callback(HttpResponse(503, b"", {}))
    assert call.outcome[0].value.is_undone
    assert call.results == ["503"]
