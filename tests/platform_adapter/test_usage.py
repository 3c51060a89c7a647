"""End-to-end tests of usage reports on VM processes, and tests of their client."""

from __future__ import annotations

import time
from collections import Counter
from typing import TYPE_CHECKING

import pytest
from local_deployment import TEAM, USAGE_WINDOW_S, Caller, wait_for
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from guavabarrow_cli.commands.beliefs_command import fetch_local_view
from guavabarrow_daemon.store.watched_table import (
    UsageReportRefused,
    UsageReportUnanswered,
    UsageReportWithdrawn,
)
from guavabarrow_platform import cloud_caller
from guavabarrow_platform.cloud_caller import CloudCaller
from guavabarrow_platform.usage_client import PlatformUsageClient

if TYPE_CHECKING:
    from local_deployment import Vm
    from standin_platform import StandInStore


def reported(store: StandInStore) -> Counter[str]:
    """Return the operations of each team in all windows."""
    by_window = {}
    for report in store.usage_reports:
        assert by_window.setdefault(report.window, report.counts) == report.counts
    return sum((Counter(counts) for counts in by_window.values()), Counter())


def operations(group) -> int:
    """Return the operations that databases began to run: transactions count once."""
    single = [s for s in group.ran if not s.in_transaction and s.request_id != "-"]
    commits = [s for s in group.ran if s.text == "COMMIT"]
    return len(single) + len(commits)


def last_window_shown(vms: list[Vm]) -> int:
    """Return the newest reported window in the local views of VMs."""
    views = [fetch_local_view(f"127.0.0.1:{vm.metrics_port}") for vm in vms]
    return max(view.usage.last_window for view in views if view.usage)


@pytest.mark.processes
def test_the_operations_of_a_team_are_reported_once(deployment):
    """Guards against counts of BEGIN, of each statement of a transaction, and of what
    VMs send on their own account."""
    deployment.duties.append("metering")
    vms = [deployment.start_vm(name) for name in ("vm-1", "vm-2")]
    for vm in vms:
        caller = Caller(vm.front, "read-your-writes")
        for number in range(5):
            caller.execute(f"WRITE a{number} x")
            caller.execute(f"READ a{number}")
        caller.execute("BEGIN")
        for number in range(3):
            caller.execute(f"WRITE t{number} x")
        caller.execute("COMMIT")
        caller.execute("FETCH 3")
    store, expected = deployment.store, operations(deployment.group)
    wait_for(lambda: reported(store)[TEAM] >= expected, "all operations are reported")
    time.sleep(2 * USAGE_WINDOW_S)
    assert reported(store) == {TEAM: expected}
    windows = [report.window for report in store.usage_reports]
    assert windows == sorted(set(windows))
    assert abs(windows[-1] - time.time() / USAGE_WINDOW_S) < 8.0
    # A window is marked as reported by a write to the store after its acceptance.
    wait_for(
        lambda: last_window_shown(vms) >= windows[-1], "the view shows the last window"
    )
    shown = last_window_shown(vms)
    assert shown in [report.window for report in store.usage_reports]
    assert 'usage_reports_total{result="done",step="send"}' in (
        vms[0].metrics() + vms[1].metrics()
    )


@pytest.mark.processes
def test_a_deployment_without_the_duty_calls_nothing(deployment):
    """Guards against calls that the platform doesn't expect."""
    vm = deployment.start_vm("vm-1")
    caller = Caller(vm.front, "primary")
    for _ in range(10):
        caller.execute("READ a1")
    time.sleep(4 * USAGE_WINDOW_S)
    assert deployment.store.usage_reports == []
    assert vm.events("usage_reported") == []


class FakeConnection:
    """Connection whose response has a given status, None for no response."""

    def __init__(self, status: int | None) -> None:
        self.status = status
        self.sent = []
        self.is_open = True

    def request(self, method, path, body, headers):
        self.sent.append((method, path, body, headers))
        result = Deferred()
        if self.status is not None:
            result.callback(type("Response", (), {"status": self.status}))
        return result

    def abort(self) -> None:
        self.is_open = False


@pytest.mark.parametrize(
    ("status", "error"),
    [
        (200, None),
        (400, UsageReportRefused),
        (429, UsageReportUnanswered),
        (500, UsageReportUnanswered),
        (None, UsageReportUnanswered),
    ],
)
def test_each_answer_has_its_typed_error(monkeypatch, status, error):
    """Guards against a report that is given up or repeated by mistake."""
    connection, clock, failures = FakeConnection(status), Clock(), []

    async def open_connection(*arguments, **options):
        return connection

    monkeypatch.setattr(cloud_caller, "open_connection", open_connection)
    client = PlatformUsageClient(CloudCaller("10.0.0.1", 1, clock), timeout_s=3.0)
    call = client.report(
        353445120,
        {"red": 1, "blue": 2},
        holder="vm-1",
        fencing_token=7,
        may_send=lambda: True,
    )
    done = Deferred.fromCoroutine(call).addErrback(failures.append)
    clock.advance(2.9)
    assert done.called == (status is not None)
    clock.advance(0.2)
    assert [failure.type for failure in failures] == ([error] if error else [])
    headers = {"Guavabarrow-Lease-Holder": "vm-1", "Guavabarrow-Fencing-Token": "7"}
    body = b'{"WindowId":353445120,"Counts":{"blue":2,"red":1}}'
    assert connection.sent == [("POST", "/usage", body, headers)]
    assert not connection.is_open


def test_a_report_is_not_sent_if_the_duty_was_lost_while_connecting(monkeypatch):
    """Guards against a holder that is frozen while it opens the connection."""
    connection, failures = FakeConnection(200), []

    async def open_connection(*arguments, **options):
        return connection

    monkeypatch.setattr(cloud_caller, "open_connection", open_connection)
    client = PlatformUsageClient(CloudCaller("10.0.0.1", 1, Clock()), timeout_s=3.0)
    call = client.report(1, {}, holder="vm-1", fencing_token=7, may_send=lambda: False)
    Deferred.fromCoroutine(call).addErrback(failures.append)
    assert [failure.type for failure in failures] == [UsageReportWithdrawn]
    assert connection.sent == []
