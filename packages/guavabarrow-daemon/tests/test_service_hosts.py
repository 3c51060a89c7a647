"""Statements that go by way of a service host, in virtual time.

Load: VMs whose share of a target's connections is below two opened a connection for
nearly each operation, and targets refused thousands at their limits.
"""

from __future__ import annotations

import pytest
from sim_hosts import TIMEOUT_S, HostedFleet, outcome
from sim_platform import SERVICE
from twisted.internet.defer import Deferred

from guavabarrow_core.drain_schedule import DrainSchedule
from guavabarrow_core.exceptions import SessionError
from guavabarrow_core.service_host import (
    PING_TIMEOUT_S,
    SILENCE_S,
)
from guavabarrow_core.session_configuration import Consistency, Route
from guavabarrow_core.session_messages import FailureCode, Statement, StatementKind
from guavabarrow_core.session_values import SessionValues
from guavabarrow_daemon.fleet import service_hosts
from guavabarrow_daemon.fleet.fleet_messages import ENCODER
from guavabarrow_daemon.fleet.fleet_service import FleetService
from guavabarrow_daemon.fleet.hosted_messages import HostedOperation, HostedReply
from guavabarrow_daemon.front.hosted_codec import decode_statement, encode_statement
from guavabarrow_daemon.front.service_host_service import ServiceHostService
from guavabarrow_daemon.front.statement_context import StatementContext

AT_ONCE_S = 0.05
"""A few network latencies and steps of the simulation."""

NOTICE_S = SILENCE_S + PING_TIMEOUT_S + AT_ONCE_S
"""Time within which a silent host is bypassed."""


@pytest.fixture
def fleet(monkeypatch) -> HostedFleet:
    return HostedFleet(monkeypatch)


def test_statements_run_at_the_one_host_of_the_domain(fleet):
    """Load: 20 VMs of a domain each open connections of their own."""
    host = fleet.host()
    assert {fleet.host(f"east-{number}") for number in range(4)} == {host}
    callers = [fleet.caller(f"east-{number}") for number in range(4)]
    for caller in callers:
        assert fleet.execute(caller, "WRITE a 1") == "completed"
        assert fleet.execute(caller, "READ a") == "completed"
    assert len(fleet.router(host).ran) == 8
    assert fleet.counted(host, "hosted_statements", role="served") == 6
    senders = [vm for vm in fleet.vm_by_name if vm.startswith("east-") and vm != host]
    for vm in senders:
        assert fleet.router(vm).ran == []
        assert fleet.counted(vm, "hosted_statements", role="sent") == 2


def test_enough_connections_forward_nothing(monkeypatch):
    """Load: small deployments must behave as before; nothing may cost a message."""
    fleet = HostedFleet(monkeypatch, per_domain=3)
    for name in ("east-0", "east-1", "east-2"):
        caller = fleet.caller(name)
        assert fleet.execute(caller, "WRITE a 1") == "completed"
        assert fleet.execute(caller, "BEGIN") == "completed"
        assert fleet.execute(caller, "READ a") == "completed"
        assert fleet.execute(caller, "COMMIT") == "completed"
        assert fleet.router(name).ran == ["WRITE a 1", "READ a", "COMMIT"]
        assert fleet.counted(name, "hosted_statements", role="sent") == 0
        assert not fleet.find(name, ServiceHostService).overview()[SERVICE].is_hosted


def test_a_session_keeps_its_values_position_and_prepared_statements(fleet):
    """Failure: the host restores the values of another session, or none."""
    caller = fleet.caller()
    fleet.execute(caller, "SET zone north")
    fleet.execute(caller, "PREPARE s1 q1")
    assert fleet.execute(caller, "WRITE a some data") == "completed"
    assert fleet.execute(caller, "EXECUTE s1 p1") == "completed"
    router = fleet.router(fleet.host())
    context = router.contexts[-1]
    assert context.values.by_name == {"zone": "north"}
    assert context.session_position is not None
    assert router.shapes[-1].shape == "q1"
    assert router.ran == ["WRITE a some data", "EXECUTE s1 p1"]
    assert context.deadline - context.began_at < TIMEOUT_S


def test_a_transaction_commits_and_rolls_back_at_its_host(fleet):
    """Failure: a transaction that leaves its connection, or holds it after its end."""
    caller, router = fleet.caller(), fleet.router(fleet.host())
    for text in ("BEGIN", "WRITE a 1", "READ a", "COMMIT"):
        assert fleet.execute(caller, text) == "completed"
    assert (router.committed, router.open_count) == (1, 0)
    for text in ("BEGIN", "WRITE a 2", "ROLLBACK"):
        assert fleet.execute(caller, text) == "completed"
    fleet.run(AT_ONCE_S)
    assert (router.rolled_back, router.open_count) == (1, 0)
    assert fleet.execute(caller, "BEGIN") == "completed"
    assert fleet.execute(caller, "WRITE bad 1") == "aborted"
    fleet.run(AT_ONCE_S)
    assert router.open_count == 0
    assert fleet.execute(caller, "COMMIT") == "aborted"
    assert router.committed == 1


def test_a_caller_that_leaves_frees_its_connection(fleet):
    """Failure: callers that vanish hold the host's few connections."""
    caller, router = fleet.caller(), fleet.router(fleet.host())
    fleet.execute(caller, "BEGIN")
    fleet.execute(caller, "WRITE a 1")
    assert router.open_count == 1
    caller.session.abandon("caller left")
    fleet.run(AT_ONCE_S)
    assert (router.open_count, router.rolled_back) == (0, 1)


def test_a_host_that_stops_as_planned_finishes_the_open_transaction(fleet):
    """Failure: a planned stop must interrupt no request."""
    host = fleet.host()
    caller = fleet.caller()
    fleet.execute(caller, "BEGIN")
    fleet.execute(caller, "WRITE a 1")
    fleet.find(host, FleetService).announce_leaving()
    service = fleet.find(host, ServiceHostService)
    drained: list = []
    schedule = DrainSchedule(fleet.network.now, 5.0)
    Deferred.fromCoroutine(service.drain(schedule)).addCallback(drained.append)
    fleet.run(AT_ONCE_S + 0.03)
    assert fleet.host() != host != fleet.host(host)
    assert fleet.execute(fleet.caller(), "WRITE b 1") == "completed"
    assert "WRITE b 1" not in fleet.router(host).ran
    assert drained == []
    assert fleet.execute(caller, "WRITE a 2") == "completed"
    assert fleet.execute(caller, "COMMIT") == "completed"
    fleet.run(0.1)
    assert drained == [None]


def test_a_drain_ends_with_the_grace_period(fleet):
    """Failure: a transaction that stays open must not hold up the stop."""
    host = fleet.host()
    caller = fleet.caller()
    fleet.execute(caller, "BEGIN")
    fleet.execute(caller, "WRITE a 1")
    drained: list = []
    service = fleet.find(host, ServiceHostService)
    schedule = DrainSchedule(fleet.network.now, 1.25)
    running = service.drain(schedule)
    Deferred.fromCoroutine(running).addCallback(drained.append)
    fleet.run(0.9)
    assert drained == []
    fleet.run(0.2)
    assert drained == [None]


def test_a_refusal_is_passed_on_and_not_tried_elsewhere(fleet):
    """Load: the host's queue refuses; other VMs must not add to the load."""
    host = fleet.host()
    fleet.router(host).refusal = SessionError(
        FailureCode.OVERLOADED, "full", retry_after_s=0.25
    )
    caller = fleet.caller()
    answers = caller.send("WRITE a 1")
    fleet.run(AT_ONCE_S)
    assert outcome(answers) == "overloaded"
    assert "retry_after_ms=250" in answers[0].detail
    assert all(fleet.router(vm).ran == [] for vm in fleet.vm_by_name)
    assert caller.admission.tokens == 0


def test_hosts_move_back_in_one_log_line_each(fleet, monkeypatch):
    """Operators see each change of a service's host, and nothing per statement."""
    lines = []
    monkeypatch.setattr(
        service_hosts,
        "log_decision",
        lambda event, **fields: lines.append((event, fields.get("host"))),
    )
    host = fleet.host()
    caller = fleet.caller()
    for _ in range(5):
        fleet.execute(caller, "READ a")
    fleet.find(host, FleetService).announce_leaving()
    fleet.run(0.1)
    for _ in range(5):
        fleet.execute(caller, "READ a")
    changes = [name for event, name in lines if event == "service_host_changed"]
    assert changes == [host, fleet.host()]


def test_the_overview_tells_where_services_run_and_for_whom(fleet):
    """Operators must see who hosts what during an overload."""
    host = fleet.host()
    fleet.router(host).delay_s = 0.1
    transaction, single = fleet.caller(), fleet.caller("east-2")
    fleet.execute(transaction, "BEGIN")
    fleet.execute(transaction, "WRITE a 1")
    single.send("READ a")
    fleet.run(0.05)
    status = fleet.find(host, ServiceHostService).overview()[SERVICE]
    assert (status.is_hosted, status.is_host, status.host) == (True, True, host)
    expected = {"east-3"} | ({"east-2"} - {host})
    assert set(status.origins) == expected - {host}
    assert status.transactions == 1
    other = fleet.find("east-3", ServiceHostService).overview()[SERVICE]
    assert (other.host, other.is_host, other.transactions) == (host, False, 0)


def test_a_refusal_at_the_time_limit_arrives_before_it(fleet):
    """Load: a write that waited in vain at the host isn't in doubt."""
    fleet.router(fleet.host()).waits = True
    caller = fleet.caller()
    assert fleet.execute(caller, "WRITE a 1") == "overloaded"
    assert caller.admission.tokens == 0


def test_messages_stay_small():
    """Load: small VMs have 10 Mbit/s for callers and all messages."""
    route = Route("db", "catalogue", Consistency.READ_YOUR_WRITES, 1.5, 2.006, 0.401)
    context = StatementContext(
        route, "team-017", "caller-17-000123", 0.0, 1e9, SessionValues({"zone": "n"})
    )
    statement = Statement(StatementKind.WRITE, "WRITE i12 data", "i12", "data", True)
    message = encode_statement(
        context, HostedOperation.WRITE, statement, None, number=10**6
    )
    assert len(ENCODER.encode(message)) < 250
    assert decode_statement(message)[0].argument == "data"
    assert len(ENCODER.encode(HostedReply(10**6, ("x" * 60,), "t1.id"))) < 120
