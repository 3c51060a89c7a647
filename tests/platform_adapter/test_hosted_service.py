"""Statements by way of service hosts, on processes against stand-ins.

Load: three VMs share five connections to each target, so their share is one.
"""

from __future__ import annotations

import signal
import time
from typing import TYPE_CHECKING

import pytest
from local_deployment import Caller, wait_for

from guavabarrow_cli.commands.beliefs_command import beliefs, fetch_local_view

if TYPE_CHECKING:
    from local_deployment import LocalDeployment, Vm

pytestmark = pytest.mark.processes

VM_COUNT = 3
SCARCE_CONNECTIONS = 5
GRACE_S = 6.0


@pytest.fixture
def fleet(deployment) -> LocalDeployment:
    """Yield three VMs that have selected one host."""
    deployment.configure(max_connections=SCARCE_CONNECTIONS)
    for number in range(VM_COUNT):
        deployment.start_vm(f"vm-{number}")
    wait_for(lambda: find_host(deployment), "all VMs select one host")
    return deployment


def selected(vm: Vm) -> str:
    """Return the host that a VM selected last."""
    changes = vm.events("service_host_changed")
    return changes[-1]["host"] if changes else ""


def find_host(deployment: LocalDeployment) -> Vm | None:
    """Return the VM that all running VMs select, None while they disagree."""
    running = [vm for vm in deployment.vms if vm.process.poll() is None]
    for vm in running:
        Caller(vm.front, "primary").execute("READ probe")
    hosts = {selected(vm) for vm in running}
    if len(hosts) != 1:
        return None
    return next((vm for vm in running if vm.name in hosts), None)


def counter(vm: Vm, name: str) -> float:
    """Return the value of a counter with its labels, 0 if it has none yet."""
    for line in vm.metrics().splitlines():
        if line.startswith(f"guavabarrow_{name} "):
            return float(line.rpartition(" ")[2])
    return 0.0


def test_the_local_view_shows_hosts_and_queues(fleet, capsys):
    """Guards against operators who can't see where the statements of a service run."""
    host = find_host(fleet)
    other = next(vm for vm in fleet.vms if vm is not host)
    for vm in (host, other):
        view = fetch_local_view(f"127.0.0.1:{vm.metrics_port}")
        assert [service.host for service in view.hosted_services] == [host.name]
        assert [service.is_host for service in view.hosted_services] == [vm is host]
    pools = fetch_local_view(f"127.0.0.1:{host.metrics_port}").pools
    assert pools
    assert all(pool.is_host and pool.budget >= 1 for pool in pools)
    beliefs(f"127.0.0.1:{host.metrics_port}")
    assert f"{host.name} (this VM)" in capsys.readouterr().out


def test_statements_that_wait_at_the_host_are_refused_once_their_key_is_withdrawn(
    fleet,
):
    """Failure: the host ran them later with the key that had been withdrawn."""
    fleet.configure(max_connections=SCARCE_CONNECTIONS, timeout_ms=10_000)
    host = find_host(fleet)
    other = next(vm for vm in fleet.vms if vm is not host)
    callers = [Caller(other.front, "primary") for _ in range(12)]
    with fleet.group.lock:
        for number, caller in enumerate(callers):
            caller.send_line(f"QUERY q-{number} WRITE a {number}")
        time.sleep(0.1)
        fleet.configure(
            ("another-key",), max_connections=SCARCE_CONNECTIONS, timeout_ms=10_000
        )
        for vm in fleet.vms:
            wait_for(
                lambda vm=vm: (
                    vm.events("configuration_in_force")[-1]["version"] == fleet.version
                ),
                "the withdrawal takes effect",
            )
    replies = [caller.read_line() for caller in callers]
    ran = {s.text for s in fleet.group.ran if s.text.startswith("WRITE a ")}
    assert 0 < len(ran) < len(callers)
    for number, reply in enumerate(replies):
        has_run = f"WRITE a {number}" in ran
        assert reply.startswith("COMPLETE" if has_run else "ERROR NOAUTH")


def test_sessions_of_all_vms_share_the_connections_of_the_host(fleet):
    """Load: each VM opened connections of its own until the target refused them."""
    host = find_host(fleet)
    callers = [Caller(vm.front, "read-your-writes") for vm in fleet.vms]
    opened = [counter(vm, 'handshakes_total{result="opened"}') for vm in fleet.vms]
    for number, caller in enumerate(callers):
        caller.execute(f"SET lang l{number}")
        caller.execute("PREPARE s1 READ q2")
    for turn in range(5):
        for number, caller in enumerate(callers):
            item = f"a{number}"
            assert caller.execute(f"WRITE {item} {turn}")[1].startswith("COMPLETE i-")
            rows, outcome, _ = caller.execute(f"EXECUTE s1 {item}")
            assert (rows, outcome[:8]) == ([str(turn)], "COMPLETE")
            ran = next(s for s in fleet.group.ran if s.request_id == caller.last_id)
            assert dict(ran.values) == {"lang": f"l{number}"}
    for vm, before in zip(fleet.vms, opened, strict=True):
        if vm is not host:
            assert counter(vm, 'handshakes_total{result="opened"}') == before
            assert counter(vm, 'hosted_statements_total{role="sent"}') >= 10
    assert counter(host, 'hosted_statements_total{role="served"}') >= 20


def test_transactions_of_other_vms_commit_and_roll_back(fleet):
    """Failure: a transaction over the host leaves its connection or keeps too much."""
    host = find_host(fleet)
    other = next(vm for vm in fleet.vms if vm is not host)
    caller = Caller(other.front, "primary")
    assert caller.execute("BEGIN")[2].startswith("READY T")
    caller.execute("WRITE t1 kept")
    caller.execute("WRITE t2 kept")
    assert caller.execute("COMMIT")[1].startswith("COMPLETE i-")
    ran = [s for s in fleet.group.ran if "kept" in s.text or s.text == "COMMIT"]
    assert len({s.connection for s in ran}) == 1
    assert all(s.in_transaction for s in ran)
    caller.execute("BEGIN")
    caller.execute("WRITE t1 dropped")
    assert caller.execute("ROLLBACK")[2] == "READY I -"
    assert caller.execute("READ t1")[0] == ["kept"]
    leaver = Caller(other.front, "primary")
    leaver.execute("BEGIN")
    leaver.execute("WRITE t1 dropped")
    leaver.close()
    assert caller.execute("READ t1")[0] == ["kept"]


def test_callers_are_served_after_the_host_was_killed(fleet):
    """Failure: the host is killed. A write is acknowledged once or in doubt."""
    host = find_host(fleet)
    other = next(vm for vm in fleet.vms if vm is not host)
    caller = Caller(other.front, "read-your-writes")
    transaction = Caller(other.front, "primary")
    transaction.execute("BEGIN")
    transaction.execute("WRITE x 1")
    host.stop()
    outcomes = []
    for number in range(20):
        outcomes.append(caller.execute(f"WRITE k{number} data")[1].split()[:2])
        time.sleep(0.05)
    allowed = (["ERROR", "INDOUBT"], ["ERROR", "BUSY"])
    failed = [o for o in outcomes if o[0] != "COMPLETE"]
    assert all(o in list(allowed) for o in failed)
    assert outcomes[-1][0] == "COMPLETE"
    assert transaction.execute("COMMIT")[1].startswith("ERROR ABORTED")
    for number, result in enumerate(outcomes):
        if result[0] == "COMPLETE":
            assert caller.execute(f"READ k{number}")[0] == ["data"]
    assert caller.execute("READ x")[0] == ["none"]
    assert find_host(fleet) not in (None, host)


def test_a_frozen_host_delays_others_for_a_moment_only(fleet):
    """Failure: the host freezes. Nothing waits for its time limit of 3 s."""
    host = find_host(fleet)
    other = next(vm for vm in fleet.vms if vm is not host)
    caller = Caller(other.front, "bounded-staleness")
    caller.execute("READ a1")
    host.process.send_signal(signal.SIGSTOP)
    try:
        started_at = time.monotonic()
        assert caller.execute("READ a1")[1].startswith("COMPLETE")
        assert time.monotonic() - started_at < 1.5
        assert caller.execute("WRITE a1 x")[1].startswith("COMPLETE")
    finally:
        host.process.send_signal(signal.SIGCONT)
    assert other.events("service_host_bypassed")


def test_a_host_that_stops_as_planned_interrupts_nothing(fleet):
    """Failure: a planned stop of the host loses a statement or a transaction."""
    host = find_host(fleet)
    other = next(vm for vm in fleet.vms if vm is not host)
    caller = Caller(other.front, "read-your-writes")
    transaction = Caller(other.front, "primary")
    transaction.execute("BEGIN")
    transaction.execute("WRITE tx 1")
    host.process.send_signal(signal.SIGTERM)
    stopped_at = time.monotonic()
    number = 0
    while time.monotonic() - stopped_at < 2.0:
        number += 1
        assert caller.execute(f"WRITE d{number} data")[1].startswith("COMPLETE")
        time.sleep(0.01)
    assert transaction.execute("WRITE tx 2")[1].startswith("COMPLETE")
    assert transaction.execute("COMMIT")[1].startswith("COMPLETE")
    assert caller.execute("READ tx")[0] == ["2"]
    while host.process.poll() is None:
        assert caller.execute("WRITE last data")[1].startswith("COMPLETE")
        assert time.monotonic() - stopped_at < GRACE_S
        time.sleep(0.02)
    assert caller.execute("WRITE after data")[1].startswith("COMPLETE")
