"""Store calls in virtual time over a fake connection."""

from __future__ import annotations

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from guavabarrow_daemon.http.client_connection import HttpResponse
from guavabarrow_daemon.store.exceptions import StoreUnavailable
from guavabarrow_daemon.store.http_caller import MAX_CALL_S, HttpStoreCaller

IDLE_TIMEOUT_S = 1.0


class FakeConnection:
    """Connection with one request, which the test completes."""

    def __init__(self) -> None:
        self.pending: Deferred[HttpResponse] = Deferred()
        self.on_progress = None
        self.is_aborted = False

    def request(self, method, path, body, headers) -> Deferred[HttpResponse]:
        return self.pending

    def abort(self) -> None:
        self.is_aborted = True


class FakePool:
    """Pool with a single connection."""

    def __init__(self) -> None:
        self.connection = FakeConnection()
        self.released: list[FakeConnection] = []

    async def acquire(self) -> FakeConnection:
        return self.connection

    def release(self, connection: FakeConnection) -> None:
        self.released.append(connection)


class Call:
    """A call that is waiting for its response."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.pool = FakePool()
        self.results: list[str] = []
        caller = HttpStoreCaller(
            "10.0.0.1",
            1,
            self.clock,
            connect_timeout_s=IDLE_TIMEOUT_S,
            call_timeout_s=IDLE_TIMEOUT_S,
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


def test_call_without_received_data_times_out(call):
    call.clock.advance(IDLE_TIMEOUT_S + 0.1)
    assert call.outcome[0].check(StoreUnavailable)
    assert not call.outcome[0].value.is_not_applied
    assert call.pool.connection.is_aborted


def test_received_data_restarts_the_idle_timeout(call):
    """Seen in a simulated day: 500 KB over a slow link took longer than the timeout."""
    for _ in range(5):
        call.clock.advance(0.8)
        call.pool.connection.on_progress()
    call.pool.connection.pending.callback(HttpResponse(200, b"rows", {}))
    assert call.outcome[0].body == b"rows"
    assert call.pool.released == [call.pool.connection]
    assert call.clock.getDelayedCalls() == []


def test_endless_response_hits_the_total_timeout(call):
    for _ in range(int(MAX_CALL_S / 0.8) + 2):
        call.clock.advance(0.8)
        if not call.outcome:
            call.pool.connection.on_progress()
    assert call.outcome[0].check(StoreUnavailable)


def test_rejected_call_has_no_effect(call):
    call.pool.connection.pending.callback(HttpResponse(503, b"", {}))
    assert call.outcome[0].value.is_not_applied
    assert call.results == ["503"]
