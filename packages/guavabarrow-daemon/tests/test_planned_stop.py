"""What the other VMs do when one stops as planned, in virtual time.

Load: VMs are restarted in turn. The last VM of a failure domain of two took itself for
isolated and admitted a third of its callers' operations until the other one was back.
"""

from __future__ import annotations

import pytest
from sim_fleet import SimFleet

from guavabarrow_daemon.fleet.rate_service import RateService

FAILOVER_S = 4.0
"""Limit for a failover with all VMs reachable."""


@pytest.fixture
def fleet(monkeypatch) -> SimFleet:
    fleet = SimFleet(monkeypatch, per_domain=2)
    fleet.wait_until_serving()
    fleet.run(3.0)
    return fleet


def test_the_remaining_vm_admits_for_its_whole_domain(fleet):
    rates = fleet.vm_by_name["east-0"].kernel.find(RateService).rates
    assert rates.pool is not None
    members = rates.pool.members
    fleet.stop("east-1")
    fleet.run(0.1)
    assert rates.pool is not None
    assert rates.pool.represented_vms == 1
    assert rates.pool.members == members - 1
    fleet.run(3.0)
    assert rates.pool is not None


def test_the_share_of_a_killed_vm_stays_reserved(fleet):
    """It may be cut off and go on serving; nothing tells a kill from a cut."""
    rates = fleet.vm_by_name["east-0"].kernel.find(RateService).rates
    fleet.kill("east-1")
    fleet.run(3.0)
    assert rates.pool is None


def test_a_stopped_vm_that_starts_again_is_included_again(fleet):
    rates = fleet.vm_by_name["east-0"].kernel.find(RateService).rates
    fleet.stop("east-1")
    fleet.run(0.5)
    fleet.start("east-1")
    fleet.run(3.0)
    assert rates.pool is not None
    assert rates.pool.represented_vms == 2
    assert fleet.is_serving()


def test_a_replacement_does_not_wait_for_a_stopped_vm(fleet):
    holder = fleet.holder()
    stopped = next(vm for vm in fleet.vm_by_name if vm != holder)
    fleet.stop(stopped)
    fleet.group.crash(fleet.group.leader)
    fleet.run_until(fleet.is_serving, FAILOVER_S)
    fleet.assert_invariants()
