"""What VMs know of the configuration and the evacuations, under faults in virtual time.

Users saw statements run at one VM as only an older configuration allows.
"""

from __future__ import annotations

import pytest
from sim_fleet import SimVm
from sim_orders import (
    OTHER_DOMAIN,
    ROLLOUT_S,
    OrdersFleet,
)
from sim_platform import publish_unreadable_configuration

from guavabarrow_daemon.operations.session_metrics import SessionMetrics

WAKE_S = 0.3
"""Time in which the store and the other VMs answer a VM that was suspended."""

IN_TOUCH_ROLLOUT_S = 0.5
"""Time within which a configuration is in force at VMs in touch, without faults."""

LARGE_BYTES = 200_000


@pytest.fixture
def fleet(monkeypatch) -> OrdersFleet:
    fleet = OrdersFleet(monkeypatch)
    fleet.settle()
    return fleet


def received_bytes(fleet: OrdersFleet) -> float:
    """Return the size of all answers that the VMs received from each other."""
    return sum(
        vm.kernel.find(SessionMetrics)
        .fleet_bytes.labels("received", "tell")
        ._value.get()
        for vm in fleet.vm_by_name.values()
    )


def test_an_unreadable_configuration_leaves_the_last_one_in_force(fleet):
    readable = fleet.publish()
    fleet.run(ROLLOUT_S)
    publish_unreadable_configuration(fleet.operator_store)
    fleet.run(ROLLOUT_S)
    assert fleet.has_configuration(readable)
    later = fleet.publish()
    fleet.run_until(lambda: fleet.has_configuration(later), IN_TOUCH_ROLLOUT_S)
    fleet.assert_orders()


@pytest.mark.parametrize("restarts", [False, True])
def test_an_unreadable_configuration_is_not_relayed_again_and_again(fleet, restarts):
    publish_unreadable_configuration(fleet.operator_store, LARGE_BYTES)
    fleet.run(ROLLOUT_S)
    if restarts:
        fleet.kill("east-0")
        fleet.start("east-0")
        fleet.run(ROLLOUT_S)
    before = received_bytes(fleet)
    fleet.run(10.0)
    assert received_bytes(fleet) - before < LARGE_BYTES


def test_all_vms_that_start_after_a_loss_of_power_have_the_newest_configuration(fleet):
    """The store answers only some of them, and the others hear only each other."""
    for _ in range(5):
        fleet.publish()
        for name in fleet.names:
            fleet.kill(name)
        fleet.run(0.3)
        fleet.set_store_access("east-0", "north-1", "west-2", has_access=False)
        for name in fleet.names:
            fleet.start(name)
        fleet.run(3.0)
        fleet.set_store_access(*fleet.names, has_access=True)
        fleet.run(2.0)
    fleet.assert_all_current()


def time_behind_after_waking(fleet: OrdersFleet, name: str) -> float:
    """Return for how long a VM that resumes would begin work by an older version."""
    newest = fleet.published[-1][1]
    vm = fleet.vm_by_name[name]
    behind_s = 0.0
    resumed_at = fleet.network.now
    fleet.resume(name)
    while fleet.network.now < resumed_at + 2.0:
        fleet.run(0.005)
        if 0 < vm.new_operation_version < newest:
            behind_s = fleet.network.now - resumed_at
    return behind_s


@pytest.mark.parametrize("name", ["east-0", "east-2"])
def test_a_vm_that_wakes_is_up_to_date_as_soon_as_others_answer(fleet, name):
    fleet.suspend(name)
    fleet.run(3.0)
    fleet.publish()
    fleet.run(0.5)
    assert time_behind_after_waking(fleet, name) <= WAKE_S


def test_the_check_detects_a_vm_that_follows_nothing(fleet):
    """Broken build: a VM that reaches the store reads and relays nothing."""
    fleet.network.reactor_by_host["east-1"].calls.clear()
    fleet.cut_links("east-1", fleet.others("east-1"))
    fleet.publish()
    fleet.run(ROLLOUT_S + 1.0)
    with pytest.raises(AssertionError, match="east-1 late"):
        fleet.assert_orders()


@pytest.mark.parametrize("restarts", [False, True])
def test_the_check_detects_an_older_configuration(fleet, monkeypatch, restarts):
    """Broken build: the first configuration comes into force again."""
    first, _ = fleet.publish(), fleet.publish()
    fleet.run(ROLLOUT_S)
    if restarts:
        fleet.kill("east-1")
        fleet.start("east-1")
    monkeypatch.setattr(SimVm, "configuration_version", property(lambda vm: first))
    fleet.run(0.1)
    found = "east-1 older than at its start" if restarts else "east-1 went back"
    with pytest.raises(AssertionError, match=found):
        fleet.assert_orders()


@pytest.mark.parametrize("is_evacuated", [False, True])
def test_the_check_detects_a_wrong_evacuation(fleet, monkeypatch, is_evacuated):
    """Broken build: all VMs forget an evacuation, or have one that was lifted."""
    fleet.evacuate()
    fleet.run(1.0)
    if is_evacuated:
        fleet.lift_evacuation()
        fleet.run(1.0)
    shown = frozenset({OTHER_DOMAIN} if is_evacuated else ())
    monkeypatch.setattr(SimVm, "evacuated", property(lambda vm: shown))
    fleet.run(0.1)
    with pytest.raises(AssertionError, match="evacuation went back"):
        fleet.assert_orders()
