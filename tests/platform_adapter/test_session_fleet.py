"""What operators and targets ask for, and the loss of all VMs, on real processes."""

from __future__ import annotations

import signal
import time

import pytest
from session_world import SERVICE, Caller, wait_for

pytestmark = pytest.mark.processes

EVACUATION_LIMIT_S = 5.0
DRAIN_LIMIT_S = 7.0
RECOVERY_LIMIT_S = 12.0
"""Limits of the users' pages."""

STILL_RIGHT_S = 3.0
"""A VM that stands still is waited for at least this long: its right lasts 6 s from the
last time at which it knew the shared table, which may be 2.6 s old."""

PAUSE_S = 0.005
"""Keeps one caller below its team's rate."""


def test_an_evacuated_domain_gets_nothing_until_it_is_taken_back(session_world):
    vm = session_world.start_vm("vm-1")
    session_world.store.put("op", "evacuate/north", {})
    time.sleep(EVACUATION_LIMIT_S)
    ran = len(session_world.group.ran)
    caller = Caller(vm.front, "read-your-writes")
    for _ in range(5):
        assert caller.ask("READ a1")[1].startswith("ERROR BUSY")
        assert caller.ask("WRITE a1 x")[1].startswith("ERROR BUSY")
    assert len(session_world.group.ran) == ran
    session_world.store.remove("op", "evacuate/north")
    wait_for(lambda: session_world.can_write(vm), "writes work again")


def test_a_draining_primary_is_replaced_without_a_write_in_doubt(session_world):
    vm = session_world.start_vm("vm-1")
    group = session_world.group
    old = group.primary
    caller = Caller(vm.front, "read-your-writes")
    group.register(old, state="draining")
    until = time.monotonic() + DRAIN_LIMIT_S
    number, kept = 0, []
    while group.primary is old and time.monotonic() < until:
        number += 1
        outcome = caller.ask(f"WRITE d{number} data{number}")[1]
        assert not outcome.startswith("ERROR INDOUBT")
        if outcome.startswith("COMPLETE"):
            kept.append(number)
        time.sleep(PAUSE_S)
    assert group.primary is not old
    wait_for(lambda: session_world.can_write(vm), "writes work at the new primary")
    assert kept
    for number in kept:
        time.sleep(PAUSE_S)
        rows, outcome, _ = caller.ask(f"READ d{number}")
        assert (rows, outcome[:8]) == ([f"data{number}"], "COMPLETE")
    ran = len(group.ran)
    caller.ask("WRITE after drain")
    assert all(s.target_id != old.target_id for s in group.ran[ran:])


def test_a_draining_replica_gets_no_reads(session_world):
    vm = session_world.start_vm("vm-1")
    group = session_world.group
    replica = next(d for d in group.databases if not d.is_primary)
    group.register(replica, state="draining")
    wait_for(
        lambda: any(line["draining"] for line in vm.events("target_entry")),
        "the entry is known",
        timeout_s=DRAIN_LIMIT_S,
    )
    ran = len(group.ran)
    caller = Caller(vm.front, "bounded-staleness")
    for _ in range(30):
        assert caller.ask("READ a1")[1].startswith("COMPLETE")
    assert all(s.target_id != replica.target_id for s in group.ran[ran:])


def test_callers_are_served_soon_after_the_loss_of_all_vms(session_world):
    first = [session_world.start_vm(f"vm-{number}") for number in (1, 2)]
    Caller(first[0].front, "read-your-writes").ask("WRITE kept data")
    lost_at = time.monotonic()
    for vm in first:
        vm.stop()
    again = [session_world.start_vm(f"vm-{number}") for number in (1, 2)]
    assert time.monotonic() - lost_at < RECOVERY_LIMIT_S
    assert Caller(again[1].front, "primary").ask("READ kept")[0] == ["data"]
    assert session_world.store.promotions == []


def test_fencing_tokens_rise_over_the_loss_of_all_vms(session_world):
    tokens = []
    for _ in range(2):
        vm = session_world.start_vm("vm-1")
        old = session_world.group.primary
        session_world.store.promotions.clear()
        session_world.group.register(old, state="draining")
        wait_for(lambda: session_world.store.promotions, "a promotion is ordered")
        wait_for(lambda vm=vm: session_world.can_write(vm), "writes work again")
        session_world.group.register(old)
        tokens += [order[3] for order in session_world.store.promotions]
        assert {order[0] for order in session_world.store.promotions} == {SERVICE}
        vm.stop()
    assert tokens == sorted(set(tokens))
    assert len(tokens) >= 2


def test_a_vm_starts_although_the_store_loses_answers_of_its_writes(session_world):
    """Registration, duty and primary are written, and no answer says so."""
    session_world.store.loses_answers_of_writes = 3
    vm = session_world.start_vm("vm-1")
    assert session_world.store.loses_answers_of_writes == 0
    assert len(vm.events("duty_taken")) <= 1


def test_a_frozen_vm_that_wakes_uses_no_primary_that_was_replaced(session_world):
    """The others wait until its right has lapsed; then they replace the primary."""
    frozen, second = (session_world.start_vm(f"vm-{number}") for number in (1, 2))
    group = session_world.group
    callers = [Caller(frozen.front, "primary") for _ in range(4)]
    for caller in callers:
        caller.ask("READ a1")
    frozen.process.send_signal(signal.SIGSTOP)
    try:
        old = group.primary
        frozen_at = time.monotonic()
        group.register(old, state="draining")
        wait_for(lambda: group.primary is not old, "the primary is replaced")
        waited_s = time.monotonic() - frozen_at
        wait_for(lambda: session_world.can_write(second), "writes work again")
        assert (
            Caller(second.front, "primary")
            .ask("WRITE a1 new")[1]
            .startswith("COMPLETE")
        )
        ran = len(group.ran)
        for caller in callers:
            caller.send_line("QUERY late READ a1")
    finally:
        frozen.process.send_signal(signal.SIGCONT)
    first_lines = [caller.read_line() for caller in callers]
    assert all(line.startswith(("DATAROW new", "ERROR")) for line in first_lines)
    late = [s for s in group.ran[ran:] if s.request_id == "late"]
    assert all(statement.at_primary for statement in late)
    assert waited_s > STILL_RIGHT_S
