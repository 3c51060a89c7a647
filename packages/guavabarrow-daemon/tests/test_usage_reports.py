"""Fault tests of usage reports: whole fleets under virtual time, without a network."""

from __future__ import annotations

import pytest
from sim_usage import LATE_S, LEASE_S, TEAM_RATES, WINDOW_S, UsageFleet

from guavabarrow_daemon.fleet.fleet_service import FleetService
from guavabarrow_daemon.kernel import UnknownService
from guavabarrow_daemon.operations import decision_log
from guavabarrow_daemon.usage.gathering_service import UsageGathering


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


def test_a_complete_window_is_closed_early(fleet):
    """Guards against reports that use up the time that a successor would need."""
    first = fleet.window
    fleet.run(20.0)
    finish(fleet, first, late_s=2.5)
