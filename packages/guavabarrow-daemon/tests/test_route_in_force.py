"""Statements that wait while the configuration changes.

Failure: a statement that waited for a token, a connection, a primary or another attempt
ran by the route and for the team of the configuration with which it had begun, also if
the route or the key was withdrawn meanwhile.
"""

from __future__ import annotations

import pytest
from sim_routes import DATABASE, RoutedVm, Sent, configuration

from guavabarrow_core.log_position import LogPosition
from guavabarrow_core.session_configuration import Consistency, SessionConfiguration
from guavabarrow_core.session_messages import FailureCode, TransactionState
from guavabarrow_daemon.front import caller_session
from guavabarrow_daemon.front.session_router import OVERLOADED_PAUSE_S


class Wait:
    """A place where operations wait.

    Attributes
    ----------
    sent_before : int
        Statements that were sent to a target before.
    """

    sent_before = 0

    def hold(self, vm: RoutedVm) -> None:
        """Have the next operation wait."""

    def release(self, vm: RoutedVm) -> None:
        """Let it go on."""


class TokenWait(Wait):
    def hold(self, vm):
        vm.rates.is_held = True

    def release(self, vm):
        vm.rates.release()


class RefusedTokenWait(TokenWait):
    def release(self, vm):
        vm.rates.refuse()


class QueueWait(Wait):
    def hold(self, vm):
        for target_id in ("orders-0", "orders-1"):
            vm.pool(target_id).is_held = True

    def release(self, vm):
        for target_id in ("orders-0", "orders-1"):
            vm.pool(target_id).serve()


class RefusedQueueWait(QueueWait):
    def release(self, vm):
        for target_id in ("orders-0", "orders-1"):
            vm.pool(target_id).refuse()


class PromotionWait(Wait):
    def hold(self, vm):
        del vm.primaries.entry_by_service["orders"]

    def release(self, vm):
        vm.primaries.settle(vm.entry("orders"))


class RetryPause(Wait):
    sent_before = 1

    def hold(self, vm):
        vm.exchange.failures = [FailureCode.OVERLOADED]

    def release(self, vm):
        vm.clock.advance(OVERLOADED_PAUSE_S)


class BeginRetryPause(RetryPause):
    sent_before = 0


class BeginReply(Wait):
    """BEGIN, which isn't the caller's, is on its way."""

    def hold(self, vm):
        vm.exchange.holds_begin = True

    def release(self, vm):
        vm.exchange.replies.pop().callback(None)


SINGLE = [
    *(
        (text, wait)
        for text in ("READ x", "WRITE x 1")
        for wait in (
            TokenWait(),
            QueueWait(),
            RefusedQueueWait(),
            PromotionWait(),
        )
    ),
    ("WRITE x 1", RetryPause()),
]
IN_TRANSACTION = [
    (begin, wait)
    for begin in ("BEGIN", "BEGIN READ")
    for wait in (
        QueueWait(),
        RefusedQueueWait(),
        PromotionWait(),
        BeginRetryPause(),
        BeginReply(),
    )
]


def describe(value: object) -> str:
    return value if isinstance(value, str) else type(value).__name__


def run_while_changing(
    vm: RoutedVm, text: str, wait: Wait, changed: SessionConfiguration
) -> list[str]:
    """Run a statement that waits, and change the configuration meanwhile."""
    wait.hold(vm)
    outcomes = vm.send(text)
    assert outcomes == []
    vm.fleet.configuration = changed
    wait.release(vm)
    return outcomes


@pytest.mark.parametrize(("text", "wait"), SINGLE, ids=describe)
def test_a_statement_that_waited_runs_by_the_route_in_force(text, wait):
    vm = RoutedVm()
    moved = configuration("stock")
    assert run_while_changing(vm, text, wait, moved) == ["completed"]
    assert vm.exchange.sent[wait.sent_before :] == [Sent("stock", "a", text)]
    assert vm.held_resources() == (0, {"a": 1})


@pytest.mark.parametrize(("text", "wait"), SINGLE, ids=describe)
@pytest.mark.parametrize(
    ("withdrawn", "code"),
    [
        (configuration(team=""), "unauthorized"),
        (configuration(service=""), "unknown_database"),
    ],
    ids=("key", "route"),
)
def test_a_statement_whose_key_or_route_was_withdrawn_is_refused(
    text, wait, withdrawn, code
):
    vm = RoutedVm()
    assert run_while_changing(vm, text, wait, withdrawn) == [f"closed: {code}"]
    assert len(vm.exchange.sent) == wait.sent_before
    # A statement that a target refused has spent its token.
    assert vm.held_resources() == (0, {"a": 1} if wait.sent_before else {})


@pytest.mark.parametrize(("text", "wait"), SINGLE, ids=describe)
def test_a_statement_runs_for_the_team_that_has_the_key(text, wait):
    vm = RoutedVm()
    other_team = configuration(team="b")
    assert run_while_changing(vm, text, wait, other_team) == ["completed"]
    assert vm.exchange.sent[wait.sent_before :] == [Sent("orders", "b", text)]
    spent = {"a": 1, "b": 1} if wait.sent_before else {"b": 1}
    assert vm.held_resources() == (0, spent)


@pytest.mark.parametrize(("begin", "wait"), IN_TRANSACTION, ids=describe)
def test_a_transaction_opens_by_the_route_in_force(begin, wait):
    vm = RoutedVm()
    assert vm.send(begin) == ["completed"]
    changed = configuration("stock", "b")
    assert run_while_changing(vm, "READ x", wait, changed) == ["completed"]
    assert vm.exchange.sent == [Sent("stock", "b", "READ x")]
    assert vm.send("COMMIT") == ["completed"]
    assert vm.held_resources() == (0, {"b": 1})


@pytest.mark.parametrize(("begin", "wait"), IN_TRANSACTION, ids=describe)
def test_a_transaction_whose_key_was_withdrawn_is_not_opened(begin, wait):
    vm = RoutedVm()
    assert vm.send(begin) == ["completed"]
    outcomes = run_while_changing(vm, "READ x", wait, configuration(team=""))
    assert outcomes == ["closed: unauthorized"]
    assert vm.exchange.sent == []
    assert vm.held_resources() == (0, {})


@pytest.mark.parametrize("begin", ["BEGIN", "BEGIN READ"])
def test_begin_that_waited_for_a_token_has_one_of_the_team_in_force(begin):
    vm = RoutedVm()
    other_team = configuration(team="b")
    assert run_while_changing(vm, begin, TokenWait(), other_team) == ["completed"]
    assert vm.held_resources() == (0, {"b": 1})
    assert vm.send("ROLLBACK") == ["completed"]
    assert vm.held_resources() == (0, {})


def test_begin_whose_key_was_withdrawn_while_it_waited_is_refused():
    vm = RoutedVm()
    outcomes = run_while_changing(vm, "BEGIN", TokenWait(), configuration(team=""))
    assert outcomes == ["closed: unauthorized"]
    assert vm.session.state is TransactionState.IDLE
    assert vm.held_resources() == (0, {})


@pytest.mark.parametrize("text", ["READ x", "WRITE x 1", "BEGIN"])
@pytest.mark.parametrize(
    ("changed", "outcome", "tokens"),
    [
        (configuration(team=""), "closed: unauthorized", {}),
        (configuration(service=""), "closed: unknown_database", {}),
        (configuration(team="b"), "completed", {"b": 1}),
        (configuration("stock"), "overloaded", {}),
        (configuration(timeout_s=1.0), "overloaded", {}),
    ],
    ids=("key", "route", "team", "service", "timeout"),
)
def test_a_refusal_for_lack_of_a_token_is_one_of_the_team_in_force(
    text, changed, outcome, tokens
):
    vm = RoutedVm()
    outcomes = run_while_changing(vm, text, RefusedTokenWait(), changed)
    assert outcomes == [outcome]
    assert vm.held_resources() == (0, tokens)


def test_a_transaction_takes_the_route_in_force_at_its_first_statement():
    """Failure: BEGIN was answered here, and its route changed before it was used."""
    vm = RoutedVm()
    vm.send("BEGIN")
    vm.fleet.configuration = configuration("stock")
    assert vm.send("WRITE x 1") == ["completed"]
    assert vm.exchange.sent == [Sent("stock", "a", "WRITE x 1")]


def test_an_open_transaction_keeps_its_route():
    """Failure: the statements of one transaction ran at two services."""
    vm = RoutedVm()
    vm.send("BEGIN")
    vm.send("WRITE x 1")
    vm.fleet.configuration = configuration("stock")
    assert vm.send("WRITE y 1") == ["completed"]
    assert vm.send("COMMIT") == ["completed"]
    assert {sent.service for sent in vm.exchange.sent} == {"orders"}
    assert vm.send("WRITE z 1") == ["completed"]
    assert vm.exchange.sent[-1].service == "stock"


def test_each_attempt_of_a_read_runs_by_the_route_in_force():
    """Failure: a read was repeated at the targets of a route that had changed."""
    vm = RoutedVm(Consistency.STATED_AGE)
    pools = [vm.pool("orders-0"), vm.pool("orders-1")]
    for pool in pools:
        pool.is_held = True
    vm.exchange.failures = [FailureCode.FAILED]
    outcomes = vm.send("READ x")
    first, second = sorted(pools, key=lambda pool: -len(pool.acquiring))
    first.serve()
    assert len(vm.exchange.sent) == len(second.acquiring) == 1
    vm.fleet.configuration = configuration("stock")
    second.serve()
    assert outcomes == ["completed"]
    assert [sent.service for sent in vm.exchange.sent] == ["orders", "stock"]
    assert vm.held_resources() == (0, {"a": 1})


def test_another_timeout_does_not_send_a_statement_back_to_the_queue():
    """Load: each change of a timeout cost all waiting statements their places."""
    vm = RoutedVm()
    vm.pool("orders-0").is_held = True
    outcomes = vm.send("WRITE x 1")
    vm.fleet.configuration = configuration(timeout_s=1.0)
    vm.pool("orders-0").serve_first()
    assert outcomes == ["completed"]
    assert vm.held_resources() == (0, {"a": 1})


def test_a_consistency_that_changed_while_a_read_waited_is_kept():
    """Failure: a read of a route that became primary-only ran at a replica."""
    vm = RoutedVm(Consistency.STATED_AGE)
    vm.pool("orders-0").is_held = vm.pool("orders-1").is_held = True
    vm.pool("orders-0").load.running = 50
    outcomes = vm.send("READ x")
    assert vm.pool("orders-1").acquiring
    vm.fleet.configuration = configuration()
    vm.pool("orders-1").serve()
    assert vm.exchange.sent == []
    vm.pool("orders-0").serve()
    assert outcomes == ["completed"]


def test_a_position_counts_for_the_service_whose_log_it_is_of():
    """Failure: after a route moved, reads awaited a position of another service's log.

    No replica has such a position, or one that lacks the session's commits has it.
    """
    vm = RoutedVm(Consistency.READ_YOUR_WRITES)
    vm.send("WRITE x 1")
    committed = LogPosition(3, 7)
    before = vm.fleet.configuration
    vm.send("READ x")
    assert vm.exchange.sent[-1].position == committed
    moved = configuration("stock", consistency=Consistency.READ_YOUR_WRITES)
    vm.fleet.configuration = moved
    vm.send("READ x")
    assert vm.exchange.sent[-1].position is None
    vm.fleet.configuration = before
    vm.send("READ x")
    assert vm.exchange.sent[-1].position == committed


def test_a_read_that_waited_has_the_position_of_its_new_service():
    """Failure: the same, where the route moved while the read waited."""
    vm = RoutedVm(Consistency.READ_YOUR_WRITES)
    vm.send("WRITE x 1")
    moved = configuration("stock", consistency=Consistency.READ_YOUR_WRITES)
    assert run_while_changing(vm, "READ x", QueueWait(), moved) == ["completed"]
    assert vm.exchange.sent[-1] == Sent("stock", "a", "READ x", None)


def test_an_operation_that_starts_over_is_logged_without_its_key(monkeypatch):
    """Operators must see by which version a statement that had waited ran."""
    lines = []
    monkeypatch.setattr(
        caller_session,
        "log_decision",
        lambda event, **fields: lines.append((event, fields)),
    )
    vm = RoutedVm()
    run_while_changing(vm, "READ x", QueueWait(), configuration("stock", "b"))
    ((event, fields),) = lines
    assert fields.pop("waited_ms") >= 0.0
    assert (event, fields) == (
        "operation_started_over",
        {
            "request": "id",
            "database": DATABASE,
            "service": "stock",
            "former_service": "orders",
            "team": "b",
            "former_team": "a",
            "configuration": 2,
        },
    )


def suspend(vm: RoutedVm) -> None:
    """Have the orders count as unconfirmed, as after a suspension."""
    vm.fleet.orders.is_confirmed = lambda: False


def confirm(vm: RoutedVm) -> None:
    """Confirm the orders, as a copy of a later moment does."""
    vm.fleet.orders.is_confirmed = lambda: True
    waiting, vm.fleet.waiting = vm.fleet.waiting, []
    for waiter in waiting:
        waiter.callback(None)


@pytest.mark.parametrize("text", ["READ a", "WRITE a 1", "COMMIT"])
def test_an_open_transaction_waits_for_confirmed_orders(text):
    """After a suspension its next statement ran for a key that had been withdrawn."""
    vm = RoutedVm()
    vm.send("BEGIN")
    vm.send("WRITE x 1")
    sent = len(vm.exchange.sent)
    suspend(vm)
    outcome = vm.send(text)
    assert outcome == []
    vm.fleet.configuration = configuration(team="")
    confirm(vm)
    assert outcome == [FailureCode.ABORTED.value]
    assert len(vm.exchange.sent) == sent


@pytest.mark.parametrize("text", ["READ a", "WRITE a 1", "COMMIT"])
def test_a_statement_whose_transaction_ends_while_it_waits_does_not_run(text):
    """The VM stops and promises that nothing of the transaction is kept."""
    vm = RoutedVm()
    vm.send("BEGIN")
    vm.send("WRITE x 1")
    sent = len(vm.exchange.sent)
    suspend(vm)
    outcome = vm.send(text)
    vm.session.give_up_transaction()
    confirm(vm)
    assert outcome == [FailureCode.ABORTED.value]
    assert len(vm.exchange.sent) == sent


def test_an_operation_waits_again_after_a_second_suspension():
    vm = RoutedVm()
    suspend(vm)
    outcome = vm.send("READ a")
    waiting, vm.fleet.waiting = vm.fleet.waiting, []
    vm.fleet.configuration = configuration(team="")
    for waiter in waiting:
        waiter.callback(None)
    assert outcome == []
    vm.fleet.configuration = configuration()
    confirm(vm)
    assert outcome == ["completed"]
