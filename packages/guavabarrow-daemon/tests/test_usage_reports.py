"""Fault tests of usage reports: whole fleets under virtual time, without a network."""

from __future__ import annotations

import pytest
from sim_usage import LATE_S, TEAM_RATES, WALL_START_S, WINDOW_S, UsageFleet
from twisted.internet.defer import Deferred

from guavabarrow_core.usage_counts import UsageCursor, UsageEntry, UsageSource
from guavabarrow_core.usage_report import KEPT_REPORTS
from guavabarrow_daemon.fleet.duty_service import DutyService
from guavabarrow_daemon.fleet.fleet_messages import UsageCounts
from guavabarrow_daemon.fleet.fleet_service import FleetService
from guavabarrow_daemon.kernel import UnknownService
from guavabarrow_daemon.operations.session_metrics import SessionMetrics
from guavabarrow_daemon.usage.gathering_service import SEND_INTERVAL_S, UsageGathering
from guavabarrow_daemon.usage.true_clock import TrueClock


@pytest.fixture
def fleet(monkeypatch) -> UsageFleet:
    fleet = UsageFleet(monkeypatch)
    fleet.run(2 * WINDOW_S)
    return fleet


def finish(fleet: UsageFleet, first: int, **checks) -> None:
    """Run until the windows up to now are due, and check their reports."""
    last = fleet.window
    fleet.run(WINDOW_S + LATE_S)
    fleet.assert_reports(range(first, last + 1), **checks)


def observer_of(fleet: UsageFleet, domain: str) -> str:
    vm = next(vm for vm in fleet.vm_by_name.values() if vm.domain == domain)
    return vm.kernel.find(FleetService).observer()


def test_each_window_is_reported_exactly_once_without_faults(fleet):
    """Guards against windows that are late, left out or counted twice."""
    first = fleet.window - 1
    fleet.run(30.0)
    finish(fleet, first, off=0.01)
    windows = [call.window for call in fleet.platform.calls]
    assert len(windows) == len(set(windows))
    assert windows == sorted(windows)
    status = fleet.reporting(fleet.duty_vm()).status()
    assert (status.is_reporting, status.unsent_windows) == (True, [])
    assert (status.last_window, status.missing_domains) == (windows[-1], [])
    assert status.last_holder == fleet.duty_vm()


def test_a_complete_window_is_closed_early(fleet):
    """Guards against reports that use up the time that a successor would need."""
    first = fleet.window
    fleet.run(20.0)
    finish(fleet, first, late_s=2.5)


def test_a_deployment_without_the_duty_reports_nothing(monkeypatch):
    """Guards against calls that the platform doesn't expect, and against needless
    messages."""
    fleet = UsageFleet(monkeypatch, is_on=False)
    fleet.run(25.0)
    assert fleet.platform.calls == []
    assert fleet.usage_store.row_by_key == {}
    vm = fleet.vm_by_name["east-0"]
    with pytest.raises(UnknownService):
        vm.kernel.find(UsageGathering)
    _, heartbeat = vm.kernel.find(FleetService).last_heartbeat("east-1")
    assert heartbeat.clock_offset_s is None


@pytest.mark.parametrize("role", ["inner", "observer", "holder"])
def test_a_killed_vms_counts_are_reported(fleet, role):
    """Guards against the loss of what a killed VM has sent, whatever its role: at most
    the counts of the last send interval are missing."""
    first = fleet.window - 1
    holder = fleet.duty_vm()
    domain = holder.split("-")[0]
    others = [vm for vm in fleet.vm_by_name if vm.split("-")[0] != domain]
    observers = [vm for vm in others if observer_of(fleet, vm.split("-")[0]) == vm]
    inner = [vm for vm in others if vm not in observers]
    fleet.run(2.7)
    fleet.kill({"inner": inner[0], "observer": observers[0], "holder": holder}[role])
    fleet.run(1.0)
    finish(fleet, first, off=0.02)


def test_a_vm_that_stops_as_planned_loses_no_counts(fleet):
    """Guards against operations that were counted after the last message."""
    first = fleet.window - 1
    fleet.run(2.3)
    for name in ("north-2", observer_of(fleet, "west")):
        fleet.stop(name)
    finish(fleet, first, off=0.005)


def test_a_domain_that_is_cut_off_for_long_is_missing_and_others_are_reported(fleet):
    """Guards against reports that wait for a domain that can't send its counts."""
    first = fleet.window
    holder_domain = fleet.duty_vm().split("-")[0]
    cut = next(d for d in ("east", "north", "west") if d != holder_domain)
    fleet.run(WINDOW_S - 0.5)
    fleet.isolate_domain(cut)
    fleet.run(25.0)
    missing = fleet.reporting(fleet.duty_vm()).status().missing_domains
    fleet.heal()
    last = fleet.window - 1
    fleet.run(WINDOW_S + LATE_S)
    fleet.assert_reports(range(first, last + 1), off=0.4)
    assert missing == [cut]
    later = fleet.window
    finish(fleet, later)


def test_a_domain_that_returns_before_the_latest_close_is_counted(fleet):
    """Guards against closing early because a domain is marked unavailable."""
    first = fleet.window
    holder_domain = fleet.duty_vm().split("-")[0]
    cut = next(d for d in ("east", "north", "west") if d != holder_domain)
    fleet.run(WINDOW_S - 2.0)
    fleet.isolate_domain(cut)
    fleet.run(4.5)
    fleet.heal()
    finish(fleet, first, off=0.02)


@pytest.mark.parametrize("step_s", [-4.0, 3.0])
def test_a_wall_clock_that_steps_at_one_vm_shifts_no_counts(fleet, step_s):
    """Guards against windows that follow a single wall clock, the holder's included."""
    first = fleet.window - 1
    for name in (fleet.duty_vm(), "west-2"):
        fleet.run(3.0)
        fleet.wall_step_by_vm = {name: step_s}
        fleet.run(6.0)
        fleet.wall_step_by_vm = {}
    finish(fleet, first, off=0.02)


def test_a_holder_killed_between_store_and_call_is_repeated_exactly(fleet):
    """Guards against a successor that counts a stored window anew."""
    fleet.platform.drops_answers = True
    start = len(fleet.platform.calls)
    fleet.run_until(lambda: len(fleet.platform.calls) > start, 10.0)
    call = fleet.platform.calls[-1]
    fleet.kill(call.holder)
    fleet.platform.drops_answers = False
    finish(fleet, call.window)
    repeats = [c for c in fleet.platform.calls if c.window == call.window]
    assert {c.holder for c in repeats} > {call.holder}


def test_a_frozen_holder_sends_nothing_when_it_resumes(fleet):
    """Guards against calls of a VM that lost the duty while it was suspended, and
    against A, B, A when it takes the duty back."""
    first = fleet.window
    holder = fleet.duty_vm()
    fleet.run(WINDOW_S + 0.8)
    fleet.network.suspended.add(holder)
    fleet.run(9.0)
    frozen_until = fleet.network.now
    fleet.network.suspended.discard(holder)
    fleet.run(8.0)
    late = [c for c in fleet.platform.calls if c.at > frozen_until - 9.0]
    assert late and holder not in {c.holder for c in late}
    finish(fleet, first, off=0.4)


def test_a_holder_frozen_between_store_and_call_sends_nothing(fleet):
    """Guards against a call with an old token by a holder that is suspended while it
    opens the connection, and resumes after its successor has reported."""
    frozen = []

    def freeze(holder: str) -> None:
        if not frozen:
            frozen.append(holder)
            fleet.network.suspended.add(holder)

    first = fleet.window
    fleet.platform.on_connect = freeze
    fleet.run_until(lambda: bool(frozen), 10.0)
    fleet.run(9.0)
    resumed_at = fleet.network.now
    assert frozen[0] not in {c.holder for c in fleet.platform.calls if c.window > first}
    fleet.network.suspended.clear()
    fleet.run(1.0)
    late = [c for c in fleet.platform.calls if c.at >= resumed_at]
    assert frozen[0] not in {c.holder for c in late}
    finish(fleet, first, off=0.4)


def test_a_slow_platform_gets_the_same_report_again(fleet):
    """Guards against changed counts in a repeat after a time-out."""
    fleet.platform.drops_answers = True
    first = fleet.window
    fleet.run(3 * WINDOW_S)
    fleet.platform.drops_answers = False
    finish(fleet, first, late_s=2 * LATE_S)
    windows = [call.window for call in fleet.platform.calls]
    assert len(windows) > len(set(windows))
    assert windows == sorted(windows)


def test_nothing_is_sent_while_the_store_is_silent_and_missed_windows_follow(fleet):
    """Guards against calls without a valid duty, and against lost windows."""
    first = fleet.window - 1
    fleet.run(1.0)
    fleet.set_store_reachable(False)
    silent_at = fleet.network.now
    fleet.run(14.0)
    assert [c for c in fleet.platform.calls if c.at > silent_at + 2.0] == []
    fleet.set_store_reachable(True)
    finish(fleet, first, late_s=25.0)
    windows = [call.window for call in fleet.platform.calls]
    assert windows == sorted(windows)


def test_a_refused_report_is_given_up_and_later_ones_follow(fleet, monkeypatch):
    """Guards against a refused window that blocks all later ones."""
    events = []
    monkeypatch.setattr(
        "guavabarrow_daemon.usage.reporting_service.log_decision",
        lambda event, **fields: events.append((event, fields)),
    )
    refused = fleet.window
    fleet.platform.refused_windows.add(refused)
    finish(fleet, refused)
    assert [c.window for c in fleet.platform.calls].count(refused) == 1
    assert ("usage_report_refused", {"window": refused, "status": 400}) in events


def test_bad_counts_are_rejected_with_a_log_line(fleet, monkeypatch):
    """Guards against a VM whose window numbers jump, negative counts, and teams that
    don't exist."""
    events = []
    monkeypatch.setattr(
        "guavabarrow_daemon.usage.gathering_service.log_decision",
        lambda event, **fields: events.append(event),
    )
    first = fleet.window
    gathering = fleet.vm_by_name[fleet.duty_vm()].kernel.find(UsageGathering)
    source = UsageSource("north-9", "x")
    for window, counts in (
        (first + 1000, {"red": 1}),
        (first, {"red": -5}),
        (first, {"ghost": 5}),
    ):
        entry = UsageEntry(source, first, first - 1, {window: counts})
        gathering._on_message("north-9", UsageCounts([entry]))
    assert events == ["usage_counts_rejected", "usage_counts_rejected"]
    finish(fleet, first)
    assert "usage_team_unknown" in events
    assert all(set(c.counts) <= set(TEAM_RATES) for c in fleet.platform.calls)


def test_the_table_of_reports_stays_small(fleet):
    """Guards against a table that grows by a row for each window."""
    fleet.run(100.0)
    rows = [r for r in fleet.usage_store.row_by_key.values() if r.value is not None]
    assert len(rows) <= KEPT_REPORTS + 1


def test_the_number_of_messages_per_vm_is_constant(fleet):
    """Guards against a message for each operation."""
    sent = fleet.vm_by_name["west-2"].kernel.find(SessionMetrics).fleet_messages
    counter = sent.labels("sent", "usage")
    before = counter._value.get()
    fleet.run(10.0)
    assert 10.0 <= counter._value.get() - before <= 10.0 / SEND_INTERVAL_S + 1


def test_a_holder_that_stops_as_planned_delays_no_report(fleet):
    """Guards against windows that are late because the duty is handed over."""
    first = fleet.window - 1
    fleet.run(2.3)
    holder = fleet.duty_vm()
    duty = fleet.vm_by_name[holder].kernel.find(DutyService)
    Deferred.fromCoroutine(duty.hand_over())
    fleet.run(1.0)
    fleet.stop(holder)
    finish(fleet, first, off=0.005)


def test_reports_go_on_after_all_vms_lost_power(fleet):
    """Guards against a second report of a window that was reported before the loss."""
    fleet.run(1.0)
    names = list(fleet.vm_by_name)
    for name in names:
        fleet.kill(name)
    fleet.run(2.0)
    for name in names:
        fleet.start(name)
    fleet.run(2 * WINDOW_S)
    first = fleet.window
    finish(fleet, first)


def test_reports_go_on_after_the_store_applied_writes_late(fleet):
    """Guards against counts that differ from those of a write without an answer."""
    first = fleet.window - 1
    fleet.usage_store.write_delay_s = 2.0
    fleet.run(12.0)
    fleet.usage_store.write_delay_s = 0.0
    finish(fleet, first, late_s=20.0)


def test_vms_of_an_earlier_build_get_no_counts(monkeypatch):
    """Guards against links that an earlier build closes on an unknown message, while
    builds are replaced."""
    fleet = UsageFleet(monkeypatch, other_builds=frozenset({"west-0"}))
    fleet.run(2 * WINDOW_S)
    metrics = fleet.vm_by_name["west-0"].kernel.find(SessionMetrics)
    assert metrics.fleet_messages.labels("received", "usage")._value.get() == 0


def test_vms_that_hear_few_others_follow_their_observers_true_time(monkeypatch):
    """Guards against a true time that depends on the clocks of the few VMs in reach."""
    fleet = UsageFleet(monkeypatch, per_domain=5)
    fleet.run(3.0)
    inner = fleet.vm_by_name["west-4"].kernel
    assert not inner.find(FleetService).is_hub()
    hubs = inner.find(FleetService).hubs_by_domain["west"]
    fleet.wall_step_by_vm = dict.fromkeys((*hubs, "west-4"), 3.0)
    fleet.run(3.0)
    error_s = inner.find(TrueClock).true_s() - WALL_START_S - fleet.network.now
    assert abs(error_s) < 0.1


def test_open_windows_stay_inside_their_domain(fleet):
    """Guards against bytes between domains for counts that nobody reports yet."""
    holder = fleet.duty_vm()
    fleet.run(3.0)
    tally = fleet.vm_by_name[holder].kernel.find(UsageGathering).tally
    sources = {
        entry.source.vm.split("-")[0]
        for entry in tally.take_changes(UsageCursor())
        if fleet.window in entry.counts_by_window
    }
    assert sources <= {holder.split("-")[0]}


def test_counts_lost_with_a_link_are_sent_again(fleet):
    """Guards against messages that were sent over a link that had died."""
    fleet.run(WINDOW_S - fleet.network.now % WINDOW_S - 1.2)
    first = fleet.window
    fleet.network.blackhole_connections("west-2")
    fleet.run(3.0)
    finish(fleet, first, off=0.005)
