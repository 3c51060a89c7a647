"""Messages between the VMs of a large fleet without faults, in virtual time.

On a deployment of 195 VMs heartbeats between all pairs of a domain, and between every
VM and the hubs of all domains, took nearly all processor time. The bounds are those of
docs/CAPACITY.md.
"""

from __future__ import annotations

import pytest
from sim_fleet import SimFleet

from guavabarrow_daemon.fleet.fleet_service import FleetService
from guavabarrow_daemon.operations.session_metrics import SessionMetrics

MESSAGES_PER_S = 12.0
"""Limit for a VM that is neither a hub nor the duty holder."""

HUB_MESSAGES_PER_LINK_S = 4.0
"""Limit for hubs and the duty holder, for each VM that they are linked to."""

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
