"""What VMs know of the configuration and the evacuations, under faults in virtual time.

Users saw statements run at one VM as only an older configuration allows.
"""

from __future__ import annotations

import numpy as np
import pytest
from sim_fleet import SimVm
from sim_orders import (
    OTHER_DOMAIN,
    ROLLOUT_S,
    LinkDelays,
    OrdersFleet,
    heal_stores,
    hunt,
    spread_connection_attempts,
)
from sim_platform import publish_unreadable_configuration

from guavabarrow_daemon.fleet.fleet_service import FleetService
from guavabarrow_daemon.operations.session_metrics import SessionMetrics

OBSERVERS = ("east-0", "north-0", "west-0")
"""VMs that read the store for their failure domains."""

WATCH_S = 4.0
"""Time in which watches that are under way end."""

BEHIND = ("east-1", "east-2", "north-2")
"""VMs that don't know the newest configuration while another one starts."""

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


@pytest.mark.parametrize("fault", ["silent", "slow"])
@pytest.mark.parametrize("with_holder", [False, True])
def test_vms_whose_observer_does_not_follow_the_orders_get_a_configuration(
    fleet, fault, with_holder
):
    """Only the age of the shared table decided whether an observer was relied on."""
    silent = {*OBSERVERS, fleet.holder()} if with_holder else set(OBSERVERS)
    store = fleet.operator_store
    if fault == "silent":
        store.silent_watches_from = silent
    else:
        store.watch_delay_s_by_host = dict.fromkeys(silent, 6.0)
    fleet.run(WATCH_S)
    fleet.publish()
    fleet.run(ROLLOUT_S + 1.0)
    fleet.assert_orders()


def let_an_older_answer_arrive_late(fleet: OrdersFleet, change, change_again) -> None:
    """Let a VM read two changes itself while an answer with the first is under way."""
    links = [(other, "east-0") for other in fleet.others("east-0")]
    fleet.network.latency_s_by_link = dict.fromkeys(links, 0.45)
    fleet.operator_store.watch_delay_s_by_host = {"east-0": 0.8}
    fleet.run(WATCH_S)
    change()
    fleet.run(0.1)
    fleet.operator_store.watch_delay_s_by_host = {}
    fleet.run(0.5)
    change_again()
    fleet.run(0.45)


def test_an_older_answer_of_a_peer_does_not_restore_a_lifted_evacuation(fleet):
    let_an_older_answer_arrive_late(fleet, fleet.evacuate, fleet.lift_evacuation)
    fleet.run(ROLLOUT_S)
    fleet.assert_orders()


def test_an_older_answer_of_a_peer_does_not_lift_an_evacuation(fleet):
    fleet.evacuate()
    fleet.run(1.0)
    let_an_older_answer_arrive_late(fleet, fleet.lift_evacuation, fleet.evacuate)
    fleet.run(ROLLOUT_S)
    fleet.assert_orders()


def test_an_older_answer_of_a_peer_does_not_replace_the_rows_that_are_relayed_on(fleet):
    """The VM kept its configuration, but gave the older one to VMs that started."""
    let_an_older_answer_arrive_late(fleet, fleet.publish, fleet.publish)
    newest = fleet.published[-1][1]
    assert fleet.vm_by_name["east-0"].configuration_version == newest
    fleet.cut_links("east-0", fleet.others("east-0", "east-1"))
    fleet.cut_links("east-1", fleet.others("east-0", "east-1"))
    fleet.network.latency_s_by_link = {}
    fleet.set_store_access("east-0", "east-1", has_access=False)
    fleet.kill("east-1")
    fleet.start("east-1")
    fleet.run_until(
        lambda: fleet.vm_by_name["east-1"].configuration_version > 0, ROLLOUT_S
    )
    assert fleet.vm_by_name["east-1"].configuration_version == newest


def test_an_older_answer_of_the_store_does_not_restore_a_lifted_evacuation(fleet):
    """A watch was answered late, after other VMs had told of a later change."""
    fleet.operator_store.watch_delay_s_by_host = {"east-0": 1.5}
    fleet.run(WATCH_S)
    fleet.evacuate()
    fleet.run(0.5)
    fleet.lift_evacuation()
    fleet.run(ROLLOUT_S)
    fleet.assert_orders()


def test_an_evacuation_that_is_lifted_before_a_full_read_is_lifted_everywhere(fleet):
    """A full read has no row for it; VMs that hear of it by relay kept it for good."""
    fleet.evacuate()
    fleet.run(1.0)
    fleet.operator_store.unreachable_from = set(fleet.names)
    fleet.run(WATCH_S)
    fleet.lift_evacuation()
    fleet.operator_store.drop_history()
    fleet.operator_store.unreachable_from = set()
    fleet.run(2 * ROLLOUT_S)
    for vm in fleet.vm_by_name.values():
        assert OTHER_DOMAIN not in vm.evacuated, vm.name


def test_an_evacuation_is_lifted_at_a_vm_that_hears_only_vms_that_started_later(fleet):
    """They read the table without the deleted row, and could not pass it on."""
    fleet.evacuate()
    fleet.run(1.0)
    fleet.set_store_access("west-2", has_access=False)
    fleet.cut_links("west-2", fleet.others("west-2"))
    fleet.run(0.5)
    fleet.lift_evacuation()
    fleet.operator_store.drop_history()
    for name in sorted(fleet.others("west-2")):
        fleet.kill(name)
        fleet.start(name)
    fleet.run(3.0)
    fleet.heal()
    fleet.run(2 * ROLLOUT_S)
    assert OTHER_DOMAIN not in fleet.vm_by_name["west-2"].evacuated


def test_a_vm_that_starts_hears_of_no_evacuation_that_was_lifted(fleet):
    """VMs that had read the table in full still passed the older row on."""
    fleet.evacuate()
    fleet.run(1.0)
    fleet.set_store_access(*fleet.names, has_access=False)
    fleet.run(WATCH_S)
    fleet.lift_evacuation()
    fleet.operator_store.drop_history()
    fleet.set_store_access(*fleet.names, has_access=True)
    fleet.run(2 * ROLLOUT_S)
    fleet.kill("west-2")
    fleet.set_store_access("west-2", has_access=False)
    fleet.start("west-2")
    fleet.run(ROLLOUT_S)
    vm = fleet.vm_by_name["west-2"]
    assert vm.configuration_version > 0
    assert OTHER_DOMAIN not in vm.evacuated


def test_an_unreadable_configuration_leaves_the_last_one_in_force(fleet):
    readable = fleet.publish()
    fleet.run(ROLLOUT_S)
    publish_unreadable_configuration(fleet.operator_store)
    fleet.run(ROLLOUT_S)
    assert fleet.has_configuration(readable)
    later = fleet.publish()
    fleet.run_until(lambda: fleet.has_configuration(later), IN_TOUCH_ROLLOUT_S)
    fleet.assert_orders()


@pytest.mark.parametrize("has_store", [False, True])
def test_a_vm_that_starts_gets_the_configuration_before_an_unreadable_one(
    fleet, has_store
):
    """VMs kept only the newest row, so that a VM that started had no configuration."""
    readable = fleet.publish()
    fleet.run(ROLLOUT_S)
    publish_unreadable_configuration(fleet.operator_store)
    fleet.run(ROLLOUT_S)
    fleet.kill("west-1")
    fleet.set_store_access("west-1", has_access=has_store)
    fleet.start("west-1")
    fleet.run(ROLLOUT_S)
    assert fleet.vm_by_name["west-1"].configuration_version == readable
    later = fleet.publish()
    fleet.run_until(lambda: fleet.has_configuration(later), ROLLOUT_S)


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


def suspend_some(fleet: OrdersFleet) -> None:
    fleet.suspend(*BEHIND)


def cut_some(fleet: OrdersFleet) -> None:
    """Let some VMs reach neither the store nor others, but for the one that starts."""
    fleet.set_store_access(*BEHIND, has_access=False)
    for name in BEHIND:
        fleet.cut_links(name, fleet.others(name, "west-2"))


def silence_watches(fleet: OrdersFleet) -> None:
    """Let all VMs but two depend on relays."""
    fleet.operator_store.silent_watches_from = fleet.others("east-0", "north-0")
    fleet.run(WATCH_S)


def slow_store(fleet: OrdersFleet) -> None:
    """Let the store answer all VMs, but slower than VMs connect to each other."""
    fleet.set_store_access("west-2", has_access=True)
    fleet.store.extra_latency_s = fleet.operator_store.extra_latency_s = 0.3


@pytest.mark.parametrize(
    "put_behind",
    [suspend_some, cut_some, silence_watches, slow_store],
    ids=lambda f: f.__name__,
)
def test_a_vm_that_starts_takes_no_older_configuration_from_a_peer(fleet, put_behind):
    """It took the rows of the first VM that it was linked to, however old."""
    rng = np.random.default_rng(0)
    spread_connection_attempts(fleet, 0)
    for _ in range(12):
        fleet.kill("west-2")
        fleet.set_store_access("west-2", has_access=False)
        put_behind(fleet)
        fleet.run(1.1 + float(rng.uniform(0.0, 0.7)))
        fleet.publish()
        fleet.run(0.01)
        fleet.start("west-2")
        fleet.run(float(rng.uniform(0.0, 0.4)))
        fleet.resume()
        fleet.run(1.5)
        fleet.heal()
        heal_stores(fleet)
        fleet.run(2.5)
    fleet.assert_orders()


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


@pytest.mark.parametrize("has_store", [True, False])
@pytest.mark.parametrize("frozen_s", [2.0, 5.0])
@pytest.mark.parametrize("name", ["east-0", "east-2"])
def test_a_vm_that_wakes_begins_no_operation_by_an_older_configuration(
    fleet, name, frozen_s, has_store
):
    """Messages and answers from before were buffered, and read in any order."""
    fleet.network.read_delay_s = LinkDelays(0, frozen_s).constant
    fleet.suspend(name)
    for _ in range(3):
        fleet.run(frozen_s / 3)
        fleet.publish()
    fleet.run(0.1)
    fleet.set_store_access(name, has_access=has_store)
    assert time_behind_after_waking(fleet, name) == 0.0


@pytest.mark.parametrize("name", ["east-0", "east-2"])
def test_a_vm_that_wakes_is_up_to_date_as_soon_as_others_answer(fleet, name):
    fleet.suspend(name)
    fleet.run(3.0)
    fleet.publish()
    fleet.run(0.5)
    assert time_behind_after_waking(fleet, name) <= WAKE_S


@pytest.mark.parametrize("refused_s", [0.1, 0.3])
@pytest.mark.parametrize("frozen_s", [1.5, 2.0, 5.0])
@pytest.mark.parametrize("name", ["east-0", "east-2"])
def test_a_vm_that_wakes_while_the_store_refuses_calls_reads_again(
    fleet, name, frozen_s, refused_s
):
    """The store may reject a call beyond its rate, as when many VMs wake at once."""
    store = fleet.operator_store
    fleet.suspend(name)
    fleet.run(frozen_s / 2)
    fleet.publish()
    fleet.run(frozen_s / 2)
    fleet.cut_links(name, fleet.others(name))
    store.refused_from = {name}
    fleet.network.reactor_by_host["east-1"].callLater(
        refused_s, setattr, store, "refused_from", set()
    )
    assert time_behind_after_waking(fleet, name) == 0.0


def test_a_vm_without_a_configuration_in_force_hosts_no_service(fleet):
    """Other VMs chose it, as its heartbeats named the rows that it had received."""
    fleet.operator_store.unreachable_from = set(fleet.names)
    fleet.run(WATCH_S)
    fleet.kill("east-1")
    fleet.start("east-1")
    is_received = False
    for _ in range(300):
        fleet.run(0.01)
        service = fleet.vm_by_name["east-1"].kernel.find(FleetService)
        is_received |= service.orders.rows.newest_version > 0
        if service.configuration is not None:
            break
        for other in ("east-0", "east-2"):
            chooser = fleet.vm_by_name[other].kernel.find(FleetService)
            assert not chooser._can_host("east-1")
    assert is_received


def test_an_idle_vm_that_stands_still_for_half_a_second_was_not_suspended(fleet):
    """Only heartbeats showed that it ran; each late one cost a call of the store."""
    suspended = []
    for name, vm in fleet.vm_by_name.items():
        vm.kernel.find(FleetService).orders.on_unconfirmed.append(
            lambda name=name: suspended.append(name)
        )
    for _ in range(6):
        fleet.suspend(*fleet.names)
        fleet.run(0.5)
        fleet.resume()
        fleet.run(0.43)
    assert suspended == []


@pytest.mark.parametrize("seed", range(2))
def test_a_configuration_is_in_force_within_half_a_second_without_faults(fleet, seed):
    """Heartbeats soon after an answer were ignored, which cost up to 0.7 s."""
    rng = np.random.default_rng(seed)
    for _ in range(30):
        fleet.publish()
        fleet.run(float(rng.uniform(0.1, 3.0)))
    fleet.run(ROLLOUT_S)
    fleet.assert_all_current()
    slowest = max(max(times.values()) for times in fleet.rollout_times().values())
    assert slowest <= IN_TOUCH_ROLLOUT_S


@pytest.mark.parametrize("seed", [0, 8, 57, 66, 84, 105, 116, 117])
def test_random_faults_while_the_operators_change_the_orders(monkeypatch, seed):
    fleet = OrdersFleet(monkeypatch)
    hunt(fleet, seed)
    fleet.assert_all_current()


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
