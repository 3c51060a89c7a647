"""Which statements count as operations of a team's usage."""

from __future__ import annotations

from types import SimpleNamespace

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from guavabarrow_core.exceptions import SessionError
from guavabarrow_core.session_messages import (
    NOT_RUN_CODES,
    Completed,
    FailureCode,
    Reply,
    SessionReady,
    StatementFailed,
    TransactionState,
)
from guavabarrow_core.usage_counts import UsageSource
from guavabarrow_daemon.front import target_exchange
from guavabarrow_daemon.front.session_admission import ANONYMOUS_TEAM
from guavabarrow_daemon.front.statement_context import OpenTransaction
from guavabarrow_daemon.front.target_exchange import TargetExchange
from guavabarrow_daemon.kernel import Kernel, Service
from guavabarrow_daemon.operations.session_metrics import SessionMetrics
from guavabarrow_daemon.targets.interface import TargetConnectionBroken
from guavabarrow_daemon.usage import counting_service
from guavabarrow_daemon.usage.counting_service import UsageCounting
from guavabarrow_daemon.usage.true_clock import TrueClock

WINDOW_S = 5.0


class FakeClock(TrueClock):
    def __init__(self, kernel: Kernel) -> None:
        Service.__init__(self, kernel)
        self.now = 52.0

    def true_s(self) -> float:
        return self.now


class FakeExchange(TargetExchange):
    """Exchange whose collaborators do nothing."""

    def __init__(self, kernel: Kernel, reactor: Clock) -> None:
        Service.__init__(self, kernel)
        self.on_sent = []
        self._reactor = reactor
        self._primary_service = SimpleNamespace(
            observe=lambda *arguments: None, known_end=lambda *arguments: None
        )
        self._metrics = kernel.find(SessionMetrics)


class FakePool:
    entry = SimpleNamespace(target_id="t1")
    in_flight = 0
    load = SimpleNamespace(
        record=lambda *a: None,
        record_failure=lambda *a: None,
        record_failed_answer=lambda *a: None,
        record_timeout=lambda *a: None,
    )
    window = SimpleNamespace(on_answer=lambda *a: None, on_refused=lambda *a: None)

    def begin_statement(self) -> None:
        pass

    def end_statement(self) -> None:
        pass

    def release(self, connection) -> None:
        pass


class Harness:
    def __init__(self, monkeypatch) -> None:
        self.reactor = Clock()
        monkeypatch.setattr(target_exchange, "now_s", self.reactor.seconds)
        self.kernel = Kernel()
        self.kernel.register(SessionMetrics(self.kernel))
        self.clock = FakeClock(self.kernel)
        self.kernel.register(self.clock)
        self.exchange = FakeExchange(self.kernel, self.reactor)
        self.kernel.register(self.exchange)
        self.counting = UsageCounting(self.kernel, WINDOW_S, 5.0)
        Deferred.fromCoroutine(self.counting.start())

    def send(self, *, team="red", **options) -> tuple[Deferred, Deferred]:
        """Send a statement; return the target's answer and the exchange's result."""
        answer: Deferred = Deferred()
        connection = SimpleNamespace(
            send=lambda *arguments: answer, state=TransactionState.IDLE
        )
        context = SimpleNamespace(
            team=team,
            deadline=self.reactor.seconds() + 3.0,
            was_sent_to_target=False,
            route=SimpleNamespace(service="orders"),
        )
        result = Deferred.fromCoroutine(
            self.exchange.run(context, connection, FakePool(), b"", 0, **options)
        )
        return answer, result

    def run(self, code: FailureCode | None = None, **options) -> None:
        """Send a statement that the target answers."""
        answer, _ = self.send(**options)
        outcome = StatementFailed(code) if code is not None else Completed()
        answer.callback(Reply((), outcome, SessionReady(TransactionState.IDLE)))

    def counts(self) -> dict[int, dict[str, int]]:
        return self.counting.counter.entry(UsageSource("vm", "1")).counts_by_window


@pytest.fixture
def harness(monkeypatch) -> Harness:
    return Harness(monkeypatch)


def open_transaction() -> OpenTransaction:
    return OpenTransaction(None, None, "orders", at_primary=True)


def test_an_answered_statement_counts_in_the_window_in_which_it_was_sent(harness):
    """Guards against counting a slow statement in the window of its answer."""
    answer, _ = harness.send()
    harness.clock.now = 56.0
    ready = SessionReady(TransactionState.IDLE)
    answer.callback(Reply((), Completed(), ready))
    assert harness.counts() == {10: {"red": 1}}


@pytest.mark.parametrize("code", list(FailureCode))
def test_only_failures_that_say_so_were_not_run(harness, code):
    """Guards against counts of statements that a full or lagging target refused."""
    harness.run(code)
    expected = {} if code in NOT_RUN_CODES else {10: {"red": 1}}
    assert harness.counts() == expected


@pytest.mark.parametrize("is_lost", [True, False])
def test_a_statement_without_an_answer_counts(harness, is_lost):
    """Guards against operations that ran although their answers were lost."""
    answer, result = harness.send()
    result.addErrback(lambda failure: failure.trap(SessionError))
    if is_lost:
        answer.errback(TargetConnectionBroken("lost"))
    else:
        harness.reactor.advance(3.1)
    assert harness.counts() == {10: {"red": 1}}


def test_a_transaction_counts_once_with_its_first_statement_that_ran(harness):
    """Guards against counts of BEGIN, of refused first statements, and of each
    statement of a transaction."""
    transaction = open_transaction()
    harness.run(setup_only=True, keep_connection=True)
    assert harness.counts() == {}
    for code in (FailureCode.OVERLOADED, None, None):
        harness.run(code, transaction=transaction, keep_connection=True)
        harness.clock.now += WINDOW_S
    assert harness.counts() == {11: {"red": 1}}


def test_each_statement_of_a_transaction_counts_if_so_chosen(harness, monkeypatch):
    """Guards against a constant that changes nothing."""
    monkeypatch.setattr(counting_service, "COUNTED_PER_OPERATION", False)
    transaction = open_transaction()
    for _ in range(3):
        harness.run(transaction=transaction, keep_connection=True)
    assert harness.counts() == {10: {"red": 3}}


def test_a_retry_counts_again_and_callers_without_a_team_do_not(harness):
    """Guards against reports that lack second attempts, or name no team."""
    harness.run(FailureCode.FAILED)
    harness.run()
    harness.run(team=ANONYMOUS_TEAM)
    assert harness.counts() == {10: {"red": 2}}
