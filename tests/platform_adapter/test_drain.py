"""A planned stop of a VM whose callers' transactions go on for too long."""

from __future__ import annotations

import signal
import threading
import time

import pytest
from local_deployment import Caller, LocalDeployment, wait_for

GRACE_S = 6.0
WORK_S = 0.25
PAUSE_S = 0.25
SESSIONS = 9
STOP_S = GRACE_S + 1.0
NOT_RUN_CODES = ("BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY")


class TransactionLoop(threading.Thread):
    """A caller that keeps a transaction open until its session ends.

    Attributes
    ----------
    answers : list of tuple of (str, str, str)
        Text, outcome and ready line of each statement; the last two are empty if the
        connection ended instead.
    last_id : str
        Request id of the last statement.
    """

    def __init__(self, address: str, number: int, begin: str) -> None:
        super().__init__(daemon=True)
        self.answers: list[tuple[str, str, str]] = []
        self.last_id = ""
        self._caller = Caller(address, "read-your-writes")
        self._text = f"READ item-{number}"
        self._caller.execute(begin)

    def run(self) -> None:
        """Send statements until one of them is not completed."""
        while True:
            _, outcome, ready = self._caller.execute(self._text)
            self.answers.append((self._text, outcome, ready))
            self.last_id = self._caller.last_id
            if not outcome.startswith("COMPLETE "):
                return
            time.sleep(PAUSE_S)


def stop(vm) -> None:
    vm.process.send_signal(signal.SIGTERM)


def start_slow_vm(deployment: LocalDeployment):
    vm = deployment.start_vm("vm-1")
    deployment.group.work_s = WORK_S
    return vm


@pytest.mark.parametrize("begin", ["BEGIN READ", "BEGIN"])
def test_a_statement_that_was_passed_on_is_answered(deployment, begin):
    """4.8 s after the signal all connections were closed, busy ones as well."""
    vm = start_slow_vm(deployment)
    callers = []
    for number in range(SESSIONS):
        callers.append(TransactionLoop(vm.front, number, begin))
        callers[-1].start()
        time.sleep(PAUSE_S / SESSIONS)
    stop(vm)
    for caller in callers:
        caller.join(STOP_S)
        text, outcome, ready = caller.answers[-1]
        assert outcome.split(" ")[:1] == ["ERROR"], (text, outcome)
        assert outcome.split(" ")[1] in NOT_RUN_CODES
        # A caller that pauses is told without having asked, and gets no ready line.
        ran = {statement.request_id for statement in deployment.group.ran}
        assert ready or caller.last_id not in ran, text
    assert vm.process.wait(timeout=STOP_S) == 0
    [ended] = vm.events("drain_ended")
    assert ended["given_up"] == 0


def test_a_transaction_may_go_on_for_half_of_the_grace_period(deployment):
    vm = deployment.start_vm("vm-1")
    caller = Caller(vm.front, "primary")
    caller.execute("BEGIN")
    stop(vm)
    time.sleep(0.5 * GRACE_S - 0.3)
    assert caller.execute("WRITE late one")[1].startswith("COMPLETE ")
    assert caller.execute("COMMIT")[1].startswith("COMPLETE ")
    assert vm.process.wait(timeout=STOP_S) == 0
    assert deployment.group.primary.read("late") == "one"


def test_an_idle_transaction_is_told_that_it_is_rolled_back(deployment):
    """Its caller would otherwise see a broken connection, which promises nothing."""
    deployment.configure(IdleTxMs=20_000)
    vm = deployment.start_vm("vm-1")
    caller = Caller(vm.front, "primary")
    caller.execute("BEGIN")
    caller.execute("WRITE never one")
    stop(vm)
    assert caller.read_line().startswith("ERROR ABORTED")
    assert caller.read_line() == ""
    assert vm.process.wait(timeout=STOP_S) == 0
    assert deployment.group.primary.read("never") == "none"


@pytest.mark.parametrize(
    ("begin", "text", "is_promise"),
    [
        ("", "WRITE slow one", False),
        ("", "READ slow", True),
        ("BEGIN", "WRITE slow one", True),
        ("BEGIN", "COMMIT", False),
        ("BEGIN READ", "READ slow", True),
        ("PREPARE s1 WRITE q1", "EXECUTE s1 slow one", False),
        ("PREPARE s1 READ q1", "EXECUTE s1 slow", True),
    ],
)
def test_statements_that_outlast_the_grace_period_are_answered_truthfully(
    deployment, begin, text, is_promise
):
    """Their route allows them more time than the VM has left."""
    deployment.configure(timeout_ms=20_000)
    vm = deployment.start_vm("vm-1")
    caller = Caller(vm.front, "primary")
    if begin:
        caller.execute(begin)
        caller.execute("READ first")
    deployment.group.work_s = 2.0 * GRACE_S
    caller.send_line(f"QUERY q1 {text}")
    caller.send_line("QUERY q2 READ queued")
    time.sleep(0.3)
    stop(vm)
    lines = [caller.read_line() for _ in range(5)]
    code = lines[0].split(" ")[1]
    assert (code in NOT_RUN_CODES) == is_promise, lines
    assert lines[1].startswith("READY")
    assert lines[2].split(" ")[1] in NOT_RUN_CODES
    assert lines[3].startswith("READY")
    assert lines[4] == ""
    assert vm.process.wait(timeout=STOP_S) == 0


def test_a_store_that_is_down_does_not_delay_a_drain(deployment):
    """The duty was handed over first, and its write waits for the store."""
    vm = deployment.start_vm("vm-1")
    wait_for(lambda: vm.events("duty_taken"), "the VM holds the duty")
    deployment.store.is_silent = True
    stopped_at = time.monotonic()
    stop(vm)
    wait_for(lambda: vm.readiness() != 200, "the VM is not ready", timeout_s=0.5)
    assert vm.process.wait(timeout=STOP_S) == 0
    assert time.monotonic() - stopped_at < GRACE_S
