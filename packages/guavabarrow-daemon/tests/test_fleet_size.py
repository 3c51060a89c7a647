"""Messages between the VMs of a large fleet without faults, in virtual time.

On a deployment of 195 VMs heartbeats between all pairs of a domain, and between every
VM and the hubs of all domains, took nearly all processor time. The bounds are those of
docs/CAPACITY.md.
"""

from __future__ import annotations

import pytest
from sim_fleet import SimFleet
from sim_platform import SimTable

from guavabarrow_daemon.fleet.fleet_service import FleetService
from guavabarrow_daemon.fleet.rate_service import RateService
from guavabarrow_daemon.operations.session_metrics import SessionMetrics

MESSAGES_PER_S = 12.0
"""Limit for a VM that is neither a hub nor the duty holder."""

HUB_MESSAGES_PER_LINK_S = 4.0
"""Limit for hubs and the duty holder, for each VM that they are linked to."""

STORE_CALLS_PER_START = 10.0
"""Limit for a VM that starts: reads, its registration, and two watches on average."""

MEASURED_S = 5.0


def sent_messages(fleet: SimFleet, name: str) -> float:
    metrics = fleet.vm_by_name[name].kernel.find(SessionMetrics)
    return sum(
        sample.value
        for metric in metrics.fleet_messages.collect()
        for sample in metric.samples
        if sample.name.endswith("_total") and sample.labels["direction"] == "sent"
    )


@pytest.mark.parametrize("per_domain", [6, 20])
def test_messages_per_vm_do_not_grow_with_the_fleet(monkeypatch, per_domain):
    fleet = SimFleet(monkeypatch, per_domain)
    fleet.wait_until_serving()
    fleet.run(4.0)
    before = {name: sent_messages(fleet, name) for name in fleet.vm_by_name}
    fleet.run(MEASURED_S)
    for name, vm in fleet.vm_by_name.items():
        per_s = (sent_messages(fleet, name) - before[name]) / MEASURED_S
        service = vm.kernel.find(FleetService)
        if service.is_hub() or service.is_duty_holder():
            assert per_s < HUB_MESSAGES_PER_LINK_S * 3 * per_domain
        else:
            assert per_s < MESSAGES_PER_S
    fleet.assert_invariants()


def test_vms_that_start_one_after_another_make_few_calls_of_the_store(monkeypatch):
    """Each registration answered the watches of all VMs that had no relay yet.

    On a deployment of 195 VMs a day with a power loss took 6,800 calls of the store.
    """
    calls = 0
    for name in ("read", "watch", "write"):
        original = getattr(SimTable, name)

        async def counted(self, *arguments, original=original):
            nonlocal calls
            calls += 1
            return await original(self, *arguments)

        monkeypatch.setattr(SimTable, name, counted)
    fleet = SimFleet(monkeypatch, per_domain=20)
    fleet.wait_until_serving()
    names = sorted(fleet.vm_by_name)
    for name in names:
        fleet.kill(name)
    fleet.run(1.0)
    calls = 0
    for name in names:
        fleet.start(name)
        fleet.run(0.02)
    fleet.run_until(fleet.is_serving, 5.0)
    assert calls / len(names) < STORE_CALLS_PER_START


def test_a_new_vm_learns_the_pool_host_with_its_first_link(monkeypatch):
    """Its callers' teams have no share worth speaking of at a single VM."""
    fleet = SimFleet(monkeypatch, per_domain=8)
    fleet.wait_until_serving()
    fleet.run(4.0)
    fleet.start("east-9")
    rates = fleet.vm_by_name["east-9"].kernel.find(RateService).rates
    assert fleet.run_until(lambda: bool(rates.host), 5.0) < 0.2
