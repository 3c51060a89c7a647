"""Orders of operators that change while a VM is suspended or starts, on processes."""

from __future__ import annotations

import signal
import time

import pytest
from local_deployment import KEY, Caller, wait_for

pytestmark = pytest.mark.processes

FROZEN_S = 2.0
CONFIRMED_WITHIN_S = 2.0
"""Time budget of most callers."""


def test_a_resumed_vm_runs_nothing_for_a_key_that_was_withdrawn_meanwhile(deployment):
    """Statements that had arrived were run before the VM read the new configuration."""
    frozen, _ = (deployment.start_vm(f"vm-{number}") for number in (1, 2))
    callers = [Caller(frozen.front, "read-your-writes") for _ in range(12)]
    for caller in callers:
        assert caller.execute("READ a1")[1].startswith("COMPLETE")
    ran = len(deployment.group.ran)
    frozen.process.send_signal(signal.SIGSTOP)
    try:
        deployment.configure(keys=("another key",))
        for number, caller in enumerate(callers):
            caller.send_line(f"QUERY late-{number} READ a{number}")
        time.sleep(FROZEN_S)
    finally:
        frozen.process.send_signal(signal.SIGCONT)
    answers = [caller.read_line() for caller in callers]
    assert [answer[:12] for answer in answers] == ["ERROR NOAUTH"] * len(callers)
    assert len(deployment.group.ran) == ran


def test_a_statement_that_waited_during_a_suspension_is_checked_again(deployment):
    """A connection became free before the withdrawal of the key was read."""
    frozen = deployment.start_vm("vm-1")
    deployment.configure(max_connections=1, timeout_ms=20_000)
    wait_for(
        lambda: any(
            line["version"] == deployment.version
            for line in frozen.events("configuration_in_force")
        ),
        "the new limits are in force",
    )
    callers = [Caller(frozen.front, "primary") for _ in range(6)]
    deployment.group.work_s = 1.0
    for number, caller in enumerate(callers):
        caller.send_line(f"QUERY slow-{number} READ a{number}")
    time.sleep(0.3)
    frozen.process.send_signal(signal.SIGSTOP)
    time.sleep(0.2)
    ran = {statement.request_id for statement in deployment.group.ran}
    try:
        deployment.configure(keys=("another key",), max_connections=1)
        time.sleep(FROZEN_S)
        ran |= {statement.request_id for statement in deployment.group.ran}
    finally:
        frozen.process.send_signal(signal.SIGCONT)
    for caller in callers:
        caller.read_line()
    assert {statement.request_id for statement in deployment.group.ran} == ran


def test_a_resumed_vm_opens_no_session_by_a_configuration_from_before(deployment):
    """A route that was added meanwhile was refused as unknown."""
    frozen = deployment.start_vm("vm-1")
    frozen.process.send_signal(signal.SIGSTOP)
    try:
        deployment.configure(keys=(KEY, "new key"))
        time.sleep(FROZEN_S)
    finally:
        frozen.process.send_signal(signal.SIGCONT)
    caller = Caller(frozen.front, "primary", "new key")
    assert caller.greeting.startswith("READY")


def test_a_resumed_vm_serves_although_nobody_confirms_its_orders(deployment):
    frozen = deployment.start_vm("vm-1")
    caller = Caller(frozen.front, "read-your-writes")
    assert caller.execute("READ a1")[1].startswith("COMPLETE")
    deployment.store.is_silent = True
    frozen.process.send_signal(signal.SIGSTOP)
    time.sleep(FROZEN_S)
    frozen.process.send_signal(signal.SIGCONT)
    resumed_at = time.monotonic()
    assert caller.execute("READ a1")[1].startswith("COMPLETE")
    assert time.monotonic() - resumed_at < CONFIRMED_WITHIN_S
    deployment.store.is_silent = False
    wait_for(lambda: frozen.events("orders_confirmed"), "the wait is logged")
