"""Failures of service hosts, of their links and of callers' VMs, in virtual time.

Failure: one VM runs the statements of twenty others, so its loss concerns them all.
"""

from __future__ import annotations

import pytest
from sim_hosts import TIMEOUT_S, HostedFleet, outcome
from sim_platform import SERVICE
from twisted.internet.defer import Deferred

from guavabarrow_core.drain_schedule import DrainSchedule
from guavabarrow_core.service_host import (
    BYPASS_S,
    LATE_LIMIT,
    PING_TIMEOUT_S,
    SILENCE_S,
)
from guavabarrow_daemon.fleet.directory_service import DirectoryService
from guavabarrow_daemon.fleet.fleet_service import FleetService
from guavabarrow_daemon.fleet.peer_links import LIVENESS_TIMEOUT_S, PeerLinks
from guavabarrow_daemon.fleet.primary_watch import PrimaryWatch
from guavabarrow_daemon.front import service_host_service
from guavabarrow_daemon.front.service_host_service import ServiceHostService
from guavabarrow_daemon.operations.clock import now_s

GRACE_S = 3.0
"""Shorter than the time for which a transaction may be idle."""

AT_ONCE_S = 0.05
"""A few network latencies and steps of the simulation."""

NOTICE_S = SILENCE_S + PING_TIMEOUT_S + AT_ONCE_S
"""Time within which a silent host is bypassed."""


@pytest.fixture
def fleet(monkeypatch) -> HostedFleet:
    return HostedFleet(monkeypatch)


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
    second = fleet.host()
    assert second != host
    assert fleet.find(second, FleetService).host_selection.is_host(SERVICE)
    assert fleet.counted("east-3", "host_bypasses", reason="silent") == 1
    fleet.network.suspended.clear()
    fleet.run(BYPASS_S + 1.0)
    assert fleet.host() == host
    assert not fleet.find(second, FleetService).host_selection.is_host(SERVICE)
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
    sent = fleet.counted("east-3", "hosted_statements", role="sent")
    assert fleet.execute(caller, "COMMIT") == "aborted"
    assert fleet.counted("east-3", "hosted_statements", role="sent") == sent
    assert router.committed == 0


def test_a_link_that_is_replaced_counts_as_lost_at_both_ends(fleet):
    """Failure: what was under way on the former connection never arrives."""
    host = fleet.host()
    caller, writer, router = fleet.caller(), fleet.caller(), fleet.router(host)
    fleet.execute(caller, "BEGIN")
    fleet.execute(caller, "WRITE a 1")
    router.delay_s = 1.0
    answers = writer.send("WRITE b 1")
    fleet.run(0.02)
    links = fleet.find("east-3", PeerLinks)
    links._start_connecting(links._peers[host])
    fleet.run(AT_ONCE_S)
    assert outcome(answers) == "outcome_unknown"
    assert (router.open_count, router.rolled_back) == (0, 1)
    assert fleet.execute(caller, "COMMIT") == "aborted"


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


def test_a_restarted_vm_gets_no_answer_meant_for_its_former_process(fleet):
    """Failure: the host answers the old process's statement of the same number."""
    router = fleet.router(fleet.host())
    router.delay_s = 4.0
    fleet.caller().send("WRITE old 1")
    fleet.run(0.02)
    fleet.kill("east-3")
    fleet.start("east-3")
    fleet.run(3.0)
    router.delay_s = 60.0
    assert fleet.execute(fleet.caller(), "READ a") == "timeout"


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
    fleet.run(1.2)
    fleet.find(host, DirectoryService).record_evidence(target_id, "silent")
    fleet.run(0.1)
    evidence = fleet.find(holder, PrimaryWatch)._evidence(target_id)
    assert {host, name} <= evidence.vote_at_by_vm.keys()
    fleet.run(3.0)
    assert evidence.votes(fleet.network.now) == 0


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


def test_an_internal_error_frees_the_connection(fleet):
    """Failure: a fault of the program at the host must not hold a transaction open."""
    caller, router = fleet.caller(), fleet.router(fleet.host())
    fleet.execute(caller, "BEGIN")
    fleet.execute(caller, "WRITE a 1")
    router.refusal = RuntimeError("a fault")
    assert fleet.execute(caller, "WRITE a 2") == "outcome_unknown"
    fleet.run(AT_ONCE_S)
    assert (router.open_count, router.rolled_back) == (0, 1)


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


def test_a_host_that_stops_answers_what_it_runs_and_refuses_what_is_too_late(fleet):
    """Failure: a host's drain ended while statements of transactions were running."""
    host = fleet.host()
    running, late, idle = (fleet.caller() for _ in range(3))
    for caller in (running, late, idle):
        fleet.execute(caller, "BEGIN")
        fleet.execute(caller, "READ a")
    service = fleet.find(host, ServiceHostService)
    schedule = DrainSchedule(now_s(), GRACE_S)
    service.drain_schedule = schedule
    drained: list = []
    Deferred.fromCoroutine(service.drain(schedule)).addCallback(drained.append)
    fleet.run(schedule.finish_by - 0.6 - now_s())
    fleet.router(host).delay_s = 0.65
    answers = running.send("READ b")
    fleet.run(0.55)
    assert fleet.execute(late, "READ c") == "aborted"
    fleet.run_until(lambda: bool(drained), GRACE_S)
    assert outcome(answers) == "completed"
    assert now_s() < schedule.answer_by
    assert fleet.router(host).open_count == 0
    assert fleet.execute(idle, "COMMIT") == "aborted"
