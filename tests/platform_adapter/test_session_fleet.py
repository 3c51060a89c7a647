"""Evacuation, draining, replacement of primaries and loss of all VMs, on processes."""

from __future__ import annotations

import signal
import time

import pytest
from local_deployment import SERVICE, Caller, wait_for

pytestmark = pytest.mark.processes

EVACUATION_LIMIT_S = 5.0
DRAIN_LIMIT_S = 7.0
RECOVERY_LIMIT_S = 12.0
"""Limits that deployments require, in s."""

MIN_REPLACEMENT_WAIT_S = 3.0
"""Minimum time before the primary of a frozen VM is replaced: the VM's lease lasts 6 s
from its last valid reading of the shared table, which may be 2.6 s old."""

PAUSE_S = 0.005
"""Pause between statements in s; keeps one caller below its team's rate."""


def test_an_evacuated_domain_receives_no_statements_until_the_evacuation_ends(
    deployment,
):
    vm = deployment.start_vm("vm-1")
    deployment.store.put("op", "evacuate/north", {})
    time.sleep(EVACUATION_LIMIT_S)
    ran = len(deployment.group.ran)
    caller = Caller(vm.front, "read-your-writes")
    for _ in range(5):
        assert caller.execute("READ a1")[1].startswith("ERROR BUSY")
        assert caller.execute("WRITE a1 x")[1].startswith("ERROR BUSY")
    assert len(deployment.group.ran) == ran
    deployment.store.remove("op", "evacuate/north")
    wait_for(lambda: deployment.can_write(vm), "writes work again")


@pytest.mark.parametrize("begin", ["BEGIN READ", "BEGIN"])
def test_an_open_transaction_leaves_an_evacuated_domain_in_time(deployment, begin):
    """Read transactions went on at a replica there until they ended."""
    vm = deployment.start_vm("vm-1")
    caller = Caller(vm.front, "read-your-writes")
    caller.execute(begin)
    assert caller.execute("READ a1")[1].startswith("COMPLETE ")
    deployment.store.put("op", "evacuate/north", {})
    until = time.monotonic() + EVACUATION_LIMIT_S
    outcome = "COMPLETE"
    while outcome.startswith("COMPLETE") and time.monotonic() < until:
        time.sleep(0.3)
        outcome = caller.execute("READ a1")[1]
    assert outcome.startswith("ERROR ABORTED")


def test_a_draining_primary_is_replaced_without_a_write_in_doubt(deployment):
    vm = deployment.start_vm("vm-1")
    group = deployment.group
    old = group.primary
    caller = Caller(vm.front, "read-your-writes")
    group.register(old, state="draining")
    deadline = time.monotonic() + DRAIN_LIMIT_S
    number, acknowledged = 0, []
    while not group.has_replaced(old) and time.monotonic() < deadline:
        number += 1
        outcome = caller.execute(f"WRITE d{number} data{number}")[1]
        assert not outcome.startswith("ERROR INDOUBT")
        if outcome.startswith("COMPLETE"):
            acknowledged.append(number)
        time.sleep(PAUSE_S)
    assert group.has_replaced(old)
    wait_for(lambda: deployment.can_write(vm), "writes work at the new primary")
    assert acknowledged
    for number in acknowledged:
        time.sleep(PAUSE_S)
        rows, outcome, _ = caller.execute(f"READ d{number}")
        assert (rows, outcome[:8]) == ([f"data{number}"], "COMPLETE")
    ran = len(group.ran)
    caller.execute("WRITE after drain")
    assert all(s.target_id != old.target_id for s in group.ran[ran:])


def test_a_draining_replica_gets_no_reads(deployment):
    vm = deployment.start_vm("vm-1")
    group = deployment.group
    replica = next(d for d in group.databases if not d.is_primary)
    group.register(replica, state="draining")
    wait_for(
        lambda: any(line["draining"] for line in vm.events("target_entry")),
        "the VM reads the draining entry",
        timeout_s=DRAIN_LIMIT_S,
    )
    ran = len(group.ran)
    caller = Caller(vm.front, "bounded-staleness")
    for _ in range(30):
        assert caller.execute("READ a1")[1].startswith("COMPLETE")
    assert all(s.target_id != replica.target_id for s in group.ran[ran:])


def test_callers_are_served_soon_after_the_loss_of_all_vms(deployment):
    first = [deployment.start_vm(f"vm-{number}") for number in (1, 2)]
    Caller(first[0].front, "read-your-writes").execute("WRITE kept data")
    lost_at = time.monotonic()
    for vm in first:
        vm.stop()
    restarted = [deployment.start_vm(f"vm-{number}") for number in (1, 2)]
    assert time.monotonic() - lost_at < RECOVERY_LIMIT_S
    assert Caller(restarted[1].front, "primary").execute("READ kept")[0] == ["data"]
    assert deployment.store.promotions == []


def test_fencing_tokens_increase_across_the_loss_of_all_vms(deployment):
    tokens = []
    for _ in range(2):
        vm = deployment.start_vm("vm-1")
        old = deployment.group.primary
        deployment.store.promotions.clear()
        deployment.group.register(old, state="draining")
        wait_for(lambda: deployment.store.promotions, "a promotion is requested")
        wait_for(lambda vm=vm: deployment.can_write(vm), "writes work again")
        deployment.group.register(old)
        tokens += [order[3] for order in deployment.store.promotions]
        assert {order[0] for order in deployment.store.promotions} == {SERVICE}
        vm.stop()
    assert tokens == sorted(set(tokens))
    assert len(tokens) >= 2


def test_a_vm_starts_although_responses_to_its_writes_are_lost(deployment):
    """The rows of registration, duty and primary are written, the responses lost."""
    deployment.store.write_responses_to_drop = 3
    vm = deployment.start_vm("vm-1")
    assert deployment.store.write_responses_to_drop == 0
    assert len(vm.events("duty_taken")) <= 1


def test_a_resumed_vm_does_not_use_a_replaced_primary(deployment):
    """A frozen VM's lease must have expired before others replace its primary.

    Otherwise its sessions could read stale data from the replaced primary on resume.
    """
    frozen, other = (deployment.start_vm(f"vm-{number}") for number in (1, 2))
    group = deployment.group
    callers = [Caller(frozen.front, "primary") for _ in range(4)]
    for caller in callers:
        caller.execute("READ a1")
    frozen.process.send_signal(signal.SIGSTOP)
    try:
        old = group.primary
        frozen_at = time.monotonic()
        group.register(old, state="draining")
        wait_for(lambda: group.has_replaced(old), "the primary is replaced")
        waited_s = time.monotonic() - frozen_at
        wait_for(lambda: deployment.can_write(other), "writes work again")
        assert (
            Caller(other.front, "primary")
            .execute("WRITE a1 new")[1]
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
    assert waited_s > MIN_REPLACEMENT_WAIT_S
