"""Statements that go by way of a service host, in virtual time.

Load: VMs whose share of a target's connections is below two opened a connection for
nearly each operation, and targets refused thousands at their limits.
"""

from __future__ import annotations

import pytest
from sim_hosts import TIMEOUT_S, HostedFleet, outcome
from sim_platform import SERVICE
from twisted.internet.defer import Deferred

from guavabarrow_core.exceptions import SessionError
from guavabarrow_core.service_host import (
    BYPASS_S,
    LATE_LIMIT,
    PING_TIMEOUT_S,
    SILENCE_S,
)
from guavabarrow_core.session_configuration import Consistency, Route
from guavabarrow_core.session_messages import FailureCode, Statement, StatementKind
from guavabarrow_core.session_values import SessionValues
from guavabarrow_daemon.fleet import service_hosts
from guavabarrow_daemon.fleet.directory_service import DirectoryService
from guavabarrow_daemon.fleet.fleet_messages import ENCODER
from guavabarrow_daemon.fleet.fleet_service import FleetService
from guavabarrow_daemon.fleet.hosted_messages import HostedOperation, HostedReply
from guavabarrow_daemon.fleet.peer_links import LIVENESS_TIMEOUT_S, PeerLinks
from guavabarrow_daemon.fleet.primary_watch import PrimaryWatch
from guavabarrow_daemon.front import service_host_service
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


def test_a_killed_host_leaves_a_write_in_doubt_and_reads_go_elsewhere(fleet):
    """Failure: the host is killed while a write and a read are handed over."""
    host = fleet.host()
    fleet.router(host).delay_s = 1.0
    write, read, begin = fleet.caller(), fleet.caller(), fleet.caller()
    fleet.execute(begin, "BEGIN")
    answers = [write.send("WRITE a 1"), read.send("READ a"), begin.send("READ b")]
    fleet.run(0.02)
    fleet.kill(host)
    fleet.run(AT_ONCE_S)
    assert outcome(answers[0]) == "outcome_unknown"
    fleet.run(AT_ONCE_S)
    assert [outcome(answer) for answer in answers[1:]] == ["completed"] * 2
    assert write.admission.tokens == 1
    assert fleet.execute(write, "WRITE a 2") == "completed"
    assert fleet.host() != host
    assert fleet.counted("east-3", "host_bypasses", reason="link_lost") == 1


def test_a_commit_is_in_doubt_and_other_statements_are_aborted_with_their_host(fleet):
    """Failure: the host is killed within transactions. ABORTED must be true."""
    host = fleet.host()
    committing, running, idle = (fleet.caller() for _ in range(3))
    for caller in (committing, running, idle):
        fleet.execute(caller, "BEGIN")
        fleet.execute(caller, "WRITE a 1")
    fleet.router(host).delay_s = 1.0
    answers = [committing.send("COMMIT"), running.send("WRITE b 1")]
    fleet.run(0.02)
    fleet.kill(host)
    fleet.run(AT_ONCE_S)
    assert [outcome(answer) for answer in answers] == ["outcome_unknown", "aborted"]
    assert fleet.execute(idle, "COMMIT") == "aborted"


def test_a_silent_host_is_bypassed_and_used_again(fleet):
    """Failure: a host freezes. Nothing waits for the deadline, 2 s."""
    host = fleet.host()
    write, read, transaction = (fleet.caller() for _ in range(3))
    fleet.execute(transaction, "BEGIN")
    fleet.execute(transaction, "WRITE t 1")
    fleet.network.suspended.add(host)
    answers = [write.send("WRITE a 1"), read.send("READ a")]
    fleet.run(NOTICE_S)
    assert outcome(answers[0]) == "outcome_unknown"
    fleet.run(AT_ONCE_S)
    assert outcome(answers[1]) == "completed"
    assert fleet.execute(transaction, "COMMIT") == "aborted"
    assert fleet.host() != host
    assert fleet.counted("east-3", "host_bypasses", reason="silent") == 1
    fleet.network.suspended.clear()
    fleet.run(BYPASS_S + 1.0)
    assert fleet.host() == host
    assert fleet.router(host).open_count == 0


def test_a_resumed_host_runs_nothing_whose_time_has_passed(fleet):
    """Failure: a host reads statements from its buffer seconds after their deadline."""
    host = fleet.host()
    caller = fleet.caller()
    fleet.execute(caller, "WRITE first 1")
    fleet.network.suspended.add(host)
    late = fleet.caller().send("WRITE late 1")
    # Heartbeats of others end the link otherwise; its bytes are in the buffer already.
    fleet.run(min(TIMEOUT_S + 0.1, LIVENESS_TIMEOUT_S + 1.0))
    assert outcome(late) == "outcome_unknown"
    fleet.network.suspended.clear()
    fleet.run(1.0)
    assert "WRITE late 1" not in fleet.router(host).ran


def test_a_host_that_stops_as_planned_finishes_the_open_transaction(fleet):
    """Failure: a planned stop must interrupt no request."""
    host = fleet.host()
    caller = fleet.caller()
    fleet.execute(caller, "BEGIN")
    fleet.execute(caller, "WRITE a 1")
    fleet.find(host, FleetService).announce_leaving()
    service = fleet.find(host, ServiceHostService)
    drained: list = []
    until = fleet.network.now + 4.0
    Deferred.fromCoroutine(service.drain(until)).addCallback(drained.append)
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
    running = service.drain(fleet.network.now + 1.0)
    Deferred.fromCoroutine(running).addCallback(drained.append)
    fleet.run(0.9)
    assert drained == []
    fleet.run(0.2)
    assert drained == [None]


def test_the_end_of_a_link_rolls_back_at_the_host(fleet):
    """Failure: a link is reset between two statements of a transaction."""
    host = fleet.host()
    caller, router = fleet.caller(), fleet.router(host)
    fleet.execute(caller, "BEGIN")
    fleet.execute(caller, "WRITE a 1")
    fleet.cut_link("east-3", host)
    fleet.run(AT_ONCE_S)
    assert (router.open_count, router.rolled_back) == (0, 1)
    fleet.run(2.0)
    assert fleet.execute(caller, "COMMIT") == "aborted"
    assert router.committed == 0


def test_a_restarted_vm_has_its_transactions_rolled_back(fleet):
    """Failure: a VM restarts; its new process reuses the numbers of the old one."""
    host = fleet.host()
    router = fleet.router(host)
    caller = fleet.caller()
    fleet.execute(caller, "BEGIN")
    fleet.execute(caller, "WRITE a 1")
    fleet.kill("east-3")
    fleet.start("east-3")
    fleet.run(3.0)
    assert (router.open_count, router.rolled_back) == (0, 1)
    caller = fleet.caller()
    for text in ("BEGIN", "WRITE b 1", "COMMIT"):
        assert fleet.execute(caller, text) == "completed"
    assert router.committed == 1


def test_a_begin_that_is_given_up_leaves_no_connection_reserved(fleet):
    """Failure: the host opens a transaction after its caller's deadline."""
    host = fleet.host()
    caller, router = fleet.caller(), fleet.router(host)
    router.delay_s = TIMEOUT_S + 0.5
    fleet.execute(caller, "BEGIN")
    assert fleet.execute(caller, "WRITE a 1") == "overloaded"
    assert caller.admission.tokens == 0
    fleet.run(1.0)
    assert (router.open_count, router.rolled_back) == (0, 1)


def test_an_idle_transaction_is_rolled_back_by_the_host(fleet):
    """Failure: a VM loses its state of a transaction while its link stays."""
    host = fleet.host()
    caller, router = fleet.caller(), fleet.router(host)
    fleet.execute(caller, "BEGIN")
    fleet.execute(caller, "WRITE a 1")
    limit_s = fleet.find(host, FleetService).configuration.idle_transaction_s
    fleet.run(limit_s + 0.5)
    assert router.open_count == 1
    fleet.run(service_host_service.IDLE_MARGIN_S)
    assert router.open_count == 0
    assert fleet.execute(caller, "COMMIT") == "aborted"


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


def test_no_statement_waits_beyond_its_deadline(fleet):
    """Failure: a host answers pings, but not its statements."""
    host = fleet.host()
    fleet.router(host).delay_s = 60.0
    started_at = fleet.network.now
    caller, reader = fleet.caller(), fleet.caller()
    write, read = caller.send("WRITE a 1"), reader.send("READ a")
    fleet.run(TIMEOUT_S + AT_ONCE_S)
    assert (outcome(write), outcome(read)) == ("outcome_unknown", "timeout")
    assert caller.answered_at[0] - started_at <= TIMEOUT_S + AT_ONCE_S


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


def test_vms_vote_as_their_host_on_a_primary_that_it_cannot_use(fleet):
    """Failure: a primary that only the duty holder reaches; others open no connection.

    Replacing it takes 40% of the VMs, but only one VM per domain tries to use it.
    """
    holder = fleet.holder()
    domain = next(d for d in ("east", "west") if not holder.startswith(d))
    name = f"{domain}-3"
    host = fleet.host(name)
    target_id = fleet.group.leader.target_id
    for vm in fleet.vm_by_name.values():
        vm._statement_loop.stop()
    fleet.run(1.0)
    fleet.find(host, DirectoryService).record_evidence(target_id, "silent")
    fleet.run(0.1)
    evidence = fleet.find(holder, PrimaryWatch)._evidence(target_id)
    assert {host, name} <= evidence.vote_at_by_vm.keys()
    fleet.run(3.0)
    assert evidence.votes(fleet.network.now) == 0


def test_a_refusal_at_the_time_limit_arrives_before_it(fleet):
    """Load: a write that waited in vain at the host isn't in doubt."""
    fleet.router(fleet.host()).waits = True
    caller = fleet.caller()
    assert fleet.execute(caller, "WRITE a 1") == "overloaded"
    assert caller.admission.tokens == 0


def test_a_host_that_answers_no_statement_is_bypassed(fleet):
    """Failure: a host sends heartbeats, but statements time out one after another."""
    host = fleet.host()
    fleet.router(host).delay_s = 60.0
    caller = fleet.caller()
    for _ in range(LATE_LIMIT):
        assert fleet.execute(caller, "READ a") == "timeout"
    assert fleet.execute(caller, "READ a") == "completed"
    assert fleet.counted("east-3", "host_bypasses", reason="late") == 1


def test_a_vm_that_was_suspended_keeps_its_host_and_its_answers(fleet):
    """Failure: a caller's VM freezes while a write is under way; the answer waits."""
    host = fleet.host()
    caller = fleet.caller()
    fleet.router(host).delay_s = 0.4
    answers = caller.send("WRITE a 1")
    fleet.run(SILENCE_S + 0.02)
    fleet.network.suspended.add("east-3")
    fleet.run(0.6)
    fleet.network.suspended.clear()
    fleet.run(0.3)
    assert outcome(answers) == "completed"
    assert fleet.host() == host


@pytest.mark.parametrize(
    ("text", "expected"), [("READ a", "failed"), ("WRITE a 1", "outcome_unknown")]
)
def test_a_result_too_large_for_a_link_does_not_close_it(fleet, text, expected):
    """Failure: the link closes and everything else at the host is lost with it."""
    host = fleet.host()
    fleet.router(host).row = "x" * (service_host_service.MAX_ROWS_CHARACTERS + 1)
    assert fleet.execute(fleet.caller(), text) == expected
    assert fleet.find("east-3", PeerLinks).is_linked(host)


def test_a_link_is_kept_while_a_transaction_uses_it(fleet):
    """Failure: a larger VM joins and the host is no hub any more."""
    host = fleet.host()
    caller = fleet.caller()
    fleet.execute(caller, "BEGIN")
    fleet.execute(caller, "WRITE a 1")
    links = [fleet.find(name, PeerLinks) for name in ("east-3", host)]
    for link, other in zip(links, (host, "east-3"), strict=True):
        members = {vm: row for vm, row in link._peers.items() if vm != other}
        link.set_peers(members)
    fleet.run(1.0)
    assert fleet.execute(caller, "COMMIT") == "completed"
    fleet.run(1.0)
    assert not links[0].is_linked(host)


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
