"""Fault tests of whole fleets under virtual time: network, process and store faults.

Every 0.01 s the simulation asks each VM, reachable or not, which primary it would send
a statement to. No VM may name a primary after another one has replaced it.
"""

from __future__ import annotations

import numpy as np
import pytest
from sim_fleet import DOMAINS, SimFleet
from sim_platform import (
    SimDirectory,
    SimOrders,
    SimTable,
    SimTarget,
    publish_configuration,
)
from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall

from guavabarrow_core import fleet_state
from guavabarrow_core.fleet_state import FleetState
from guavabarrow_daemon.fleet.duty_service import DutyService
from guavabarrow_daemon.fleet.promotion_service import PromotionService

FAILOVER_S = 4.0
"""Limit for a failover with all VMs reachable: detection, acknowledgements of all VMs,
promotion and the settled row, with a margin."""

PARTITION_FAILOVER_S = 12.0
"""Limit for a failover with an unreachable VM, whose lease must expire first."""

ROLLOUT_S = 5.0
"""Time within which deployments require a new configuration to be active at all VMs."""

FAST_ROLLOUT_S = 3.0
"""Rollout limit of the strictest deployment."""

SLOW_LINK_BYTES_PER_S = 312_500.0
"""Half of 5 Mbit/s, the slowest link of a deployment; callers use the other half."""

RECOVERY_S = 15.0
"""Time within which deployments require service to be restored."""


@pytest.fixture
def fleet(monkeypatch) -> SimFleet:
    fleet = SimFleet(monkeypatch)
    fleet.wait_until_serving()
    fleet.run(3.0)
    return fleet


def test_crashed_primary_is_replaced(fleet):
    fleet.group.crash(fleet.target("north"))
    fleet.run_until(fleet.is_serving, FAILOVER_S)
    fleet.assert_invariants()


def test_two_consecutive_primary_crashes_are_survived(fleet):
    first = fleet.group.leader
    fleet.group.crash(first)
    fleet.run_until(fleet.is_serving, FAILOVER_S)
    fleet.group.restart(first)
    fleet.run(0.1)
    fleet.group.crash(fleet.group.leader)
    fleet.run_until(fleet.is_serving, FAILOVER_S)
    fleet.assert_invariants()


def test_replica_that_crashes_during_its_promotion_is_replaced(fleet):
    fleet.group.crash(fleet.group.leader)
    fleet.run_until(lambda: bool(fleet.group.promotion_calls), FAILOVER_S)
    fleet.run(0.35)
    if fleet.group.leader.domain != "north":
        fleet.group.crash(fleet.group.leader)
    fleet.run_until(fleet.is_serving, RECOVERY_S)
    fleet.assert_invariants()


def test_exactly_one_vm_may_order_promotions_without_faults(fleet):
    """The duty lease is short, so the holder must read the store itself."""
    for _ in range(500):
        fleet.run(0.02)
        holders = [vm.name for vm in fleet.vm_by_name.values() if vm.holds_duty]
        assert len(holders) == 1


def test_unresponsive_primary_is_replaced(fleet):
    """The primary neither refuses nor answers connections from any VM."""
    fleet.network.is_blocked = lambda one, other: "target-north" in (one, other)
    fleet.run_until(lambda: fleet.group.leader.domain != "north", FAILOVER_S)
    fleet.run_until(fleet.is_serving, FAILOVER_S)
    fleet.heal()
    fleet.run(5.0)
    assert fleet.is_serving()
    fleet.assert_invariants()


def test_primary_unreachable_from_most_vms_is_replaced(fleet):
    """The duty holder is among the VMs that still reach the primary."""
    connected = {fleet.holder(), "north-0", "north-1"}
    blocked = set(fleet.vm_by_name) - connected
    fleet.network.is_blocked = lambda one, other: (
        "target-north" in (one, other) and bool({one, other} & blocked)
    )
    fleet.run_until(lambda: fleet.group.leader.domain != "north", PARTITION_FAILOVER_S)
    fleet.run_until(fleet.is_serving, FAILOVER_S)
    fleet.assert_invariants()


def test_primary_crashes_during_a_store_outage(fleet):
    fleet.store.unreachable_from = fleet.operator_store.unreachable_from = set(
        fleet.vm_by_name
    )
    fleet.run(0.5)
    fleet.group.crash(fleet.group.leader)
    fleet.run(4.0)
    fleet.store.unreachable_from = fleet.operator_store.unreachable_from = set()
    fleet.run_until(fleet.is_serving, PARTITION_FAILOVER_S)
    fleet.assert_invariants()


def test_primary_crashes_while_the_store_is_slow(fleet):
    fleet.store.extra_latency_s = fleet.operator_store.extra_latency_s = 0.25
    fleet.run(3.0)
    fleet.group.crash(fleet.group.leader)
    fleet.run_until(fleet.is_serving, RECOVERY_S)
    fleet.assert_invariants()


def test_added_vms_join_the_fleet(fleet):
    added = [f"{domain}-{number}" for domain in DOMAINS for number in (7, 8)]
    for name in added:
        fleet.start(name)
    fleet.run_until(fleet.is_serving, FAILOVER_S)
    fleet.group.crash(fleet.group.leader)
    fleet.run_until(fleet.is_serving, FAILOVER_S)
    fleet.assert_invariants()


def test_vm_replaced_at_another_address_joins_the_fleet(fleet):
    holder = fleet.holder()
    for name in (holder, "west-2"):
        fleet.kill(name)
        fleet.start(name, host=f"{name}-elsewhere")
    fleet.run_until(fleet.is_serving, PARTITION_FAILOVER_S)
    fleet.group.crash(fleet.group.leader)
    fleet.run_until(fleet.is_serving, PARTITION_FAILOVER_S)
    fleet.assert_invariants()


def test_duty_holder_and_primary_crash_together(fleet):
    fleet.kill(fleet.holder())
    fleet.group.crash(fleet.group.leader)
    fleet.run_until(fleet.is_serving, PARTITION_FAILOVER_S)
    fleet.assert_invariants()


@pytest.mark.parametrize("with_others", [False, True])
def test_primary_crashes_while_the_duty_holder_cannot_reach_the_store(
    fleet, with_others
):
    """The table is relayed to the holder, so it kept the duty and could mark nothing.

    In a simulated day of 195 VMs the replacement began 2 s late.
    """
    holder = fleet.holder()
    without_store = {holder}
    if with_others:
        without_store |= {"east-0", "north-0", "west-0"} - {"north-1"}
    fleet.store.unreachable_from = without_store
    fleet.run(5.0)
    assert fleet.holder() not in without_store
    fleet.group.crash(fleet.group.leader)
    fleet.run_until(fleet.is_serving, FAILOVER_S)
    fleet.store.unreachable_from = set()
    fleet.run(5.0)
    fleet.assert_invariants()


def test_delayed_store_writes_cause_no_second_replacement(fleet):
    """The store applies the row that marks a replacement after its writer timed out."""
    fleet.store.write_delay_s = 2.5
    fleet.group.crash(fleet.group.leader)
    fleet.run(5.0)
    fleet.store.write_delay_s = 0.0
    fleet.run_until(fleet.is_serving, RECOVERY_S)
    fleet.run(5.0)
    fleet.assert_invariants()
    assert fleet.is_serving()


def test_lost_store_replies_do_not_prevent_a_failover(fleet):
    fleet.store.drops_write_replies = True
    fleet.group.crash(fleet.group.leader)
    fleet.run(5.0)
    fleet.store.drops_write_replies = False
    fleet.run_until(fleet.is_serving, RECOVERY_S)
    fleet.assert_invariants()


def test_compacted_store_is_read_in_full(fleet):
    fleet.store.compacted_version = 10**6
    fleet.group.crash(fleet.group.leader)
    fleet.run(3.0)
    fleet.store.compacted_version = fleet.store.version
    fleet.run_until(fleet.is_serving, RECOVERY_S)
    fleet.assert_invariants()


def test_all_vms_serve_during_a_short_store_outage(fleet):
    fleet.store.unreachable_from = fleet.operator_store.unreachable_from = set(
        fleet.vm_by_name
    )
    fleet.run(4.0)
    assert fleet.is_serving()
    fleet.store.unreachable_from = fleet.operator_store.unreachable_from = set()
    fleet.run(5.0)
    assert fleet.is_serving()
    fleet.assert_invariants()


def test_vms_without_store_access_get_a_promotion_from_peers(fleet):
    fleet.store.unreachable_from = {"east-0", "north-1", "west-2"}
    fleet.run(10.0)
    assert fleet.is_serving()
    fleet.group.crash(fleet.group.leader)
    fleet.run_until(fleet.is_serving, FAILOVER_S)
    fleet.assert_invariants()


@pytest.mark.parametrize("resets", [False, True])
@pytest.mark.parametrize("domain", DOMAINS)
def test_isolated_domain(fleet, domain, resets):
    """The others get a primary; the isolated VMs use none once their lease expired."""
    fleet.network.resets_connections = resets
    fleet.isolate_domain(domain)
    fleet.run(12.0)
    inside = [vm for vm in fleet.vm_by_name.values() if vm.domain == domain]
    outside = [vm for vm in fleet.vm_by_name.values() if vm.domain != domain]
    leader = fleet.group.leader.target_id
    assert all(vm.primary() == leader for vm in outside)
    assert all(vm.primary() == "" for vm in inside)
    fleet.heal()
    fleet.run_until(fleet.is_serving, RECOVERY_S)
    fleet.assert_invariants()


@pytest.mark.parametrize("resets", [False, True])
def test_primary_reachable_again_before_its_replacement_is_kept(fleet, resets):
    """Two incidents rolled back writes that an isolated primary had acknowledged.

    Its entry in the list of targets had expired, and it was replaced without being
    asked again.
    """
    fleet.network.resets_connections = resets
    fleet.isolate_domain("north")
    fleet.run(5.3)
    fleet.heal()
    version = fleet.store.version
    took_s = fleet.run_until(lambda: fleet.is_serving("target-north"), 3.0)
    fleet.run(6.0)
    assert fleet.is_serving("target-north")
    assert fleet.group.promotion_calls == []
    assert took_s < 2.0
    registrations, settled, duty = 3, 1, 1
    assert fleet.store.version - version <= registrations + settled + duty
    fleet.assert_invariants()


def test_unregistered_primary_is_replaced_although_it_answers(fleet):
    old = fleet.group.leader
    old.is_unregistered = True
    fleet.run_until(lambda: fleet.group.leader is not old, PARTITION_FAILOVER_S)
    fleet.run_until(fleet.is_serving, FAILOVER_S)
    assert len(fleet.group.promotion_calls) == 1
    fleet.assert_invariants()


def test_domain_that_reaches_only_the_store(fleet):
    fleet.isolate_domain("north", from_store=False)
    fleet.run(12.0)
    outside = [vm for vm in fleet.vm_by_name.values() if vm.domain != "north"]
    assert all(vm.primary() == fleet.group.leader.target_id for vm in outside)
    fleet.heal()
    fleet.run_until(fleet.is_serving, RECOVERY_S)
    fleet.assert_invariants()


def test_vm_isolated_during_a_failover(fleet):
    fleet.isolate_vm("west-1")
    fleet.run(0.5)
    fleet.group.crash(fleet.group.leader)
    fleet.run(PARTITION_FAILOVER_S)
    others = [vm for vm in fleet.vm_by_name.values() if vm.name != "west-1"]
    assert all(vm.primary() == fleet.group.leader.target_id for vm in others)
    assert fleet.vm_by_name["west-1"].primary() == ""
    fleet.heal()
    fleet.run_until(fleet.is_serving, RECOVERY_S)
    fleet.assert_invariants()


def test_vm_with_one_way_connectivity(fleet):
    fleet.network.is_blocked = lambda one, other: one == "west-1"
    fleet.run(0.5)
    fleet.group.crash(fleet.group.leader)
    fleet.run(PARTITION_FAILOVER_S)
    fleet.heal()
    fleet.run_until(fleet.is_serving, RECOVERY_S)
    fleet.assert_invariants()


def test_black_holed_connections_are_replaced(fleet):
    holder = fleet.holder()
    fleet.network.blackhole_connections(holder)
    fleet.run(4.0)
    fleet.group.crash(fleet.group.leader)
    fleet.run_until(fleet.is_serving, FAILOVER_S)
    fleet.assert_invariants()


def test_resumed_vm_does_not_use_a_replaced_primary(fleet):
    fleet.network.suspended = {"east-1"}
    fleet.run(0.5)
    fleet.group.crash(fleet.group.leader)
    fleet.run(PARTITION_FAILOVER_S)
    fleet.network.suspended = set()
    fleet.run_until(fleet.is_serving, RECOVERY_S)
    fleet.assert_invariants()


def test_all_vms_restart_at_once(fleet):
    for name in list(fleet.vm_by_name):
        fleet.kill(name)
    fleet.group.crash(fleet.group.leader)
    for domain in DOMAINS:
        for number in range(3):
            fleet.start(f"{domain}-{number}")
    fleet.run_until(fleet.is_serving, RECOVERY_S)
    fleet.assert_invariants()


@pytest.mark.parametrize("with_holder", [False, True])
def test_configuration_reaches_all_vms_if_observers_cannot_reach_the_store(
    fleet, with_holder
):
    """VMs must read the operators' table if the observers cannot reach the store.

    Found by randomised fault tests: relays from the duty holder kept the shared table
    recent, so no VM read the operators' table.
    """
    without_store = {"east-0", "north-0", "west-0"}
    if with_holder:
        without_store.add(fleet.holder())
    fleet.store.unreachable_from = fleet.operator_store.unreachable_from = without_store
    fleet.run(0.2)
    version = publish_configuration(fleet.operator_store)
    fleet.run_until(lambda: fleet.has_configuration(version), FAST_ROLLOUT_S)
    fleet.assert_invariants()


def test_consecutive_large_configurations_reach_vms_behind_slow_links(monkeypatch):
    """A VM must not repeat a request while a large answer is still being transferred.

    In a simulated day a VM timed out on an answer of 400 KB, asked again and thereby
    saturated its own link for 15 s. Load: 8 VMs per domain, links of 5 Mbit/s half of
    which callers use, three configurations within 4 s.
    """
    fleet = SimFleet(monkeypatch, per_domain=8)
    fleet.wait_until_serving()
    fast = {"east-0", "north-0", "west-0"}
    slow = {
        name: SLOW_LINK_BYTES_PER_S for name in fleet.vm_by_name if name not in fast
    }
    fleet.network.bytes_per_s_by_host = slow
    for _ in range(3):
        version = publish_configuration(fleet.operator_store, 400_000)
        fleet.run(2.0)
    fleet.run_until(lambda: fleet.has_configuration(version), ROLLOUT_S - 2.0)
    assert fleet.is_serving()
    fleet.assert_invariants()


@pytest.mark.parametrize("fault", ["no_wait", "long_lease", "no_check"])
def test_invariant_check_detects_broken_builds(fleet, monkeypatch, fault):
    """Broken builds: no wait for unreachable VMs, 60 s leases, no check of the row."""
    if fault == "no_wait":
        monkeypatch.setattr(FleetState, "lease_has_expired", lambda *arguments: True)
    elif fault == "long_lease":
        monkeypatch.setattr(fleet_state, "PRIMARY_LEASE_S", 60.0)
        monkeypatch.setattr(
            FleetState,
            "lease_has_expired",
            lambda self, member, at, now: now > at + 6.0,
        )
    else:
        monkeypatch.setattr(
            FleetState, "may_use_primary", lambda self, service, now: True
        )
    fleet.isolate_vm("west-1")
    fleet.run(0.5)
    fleet.group.crash(fleet.group.leader)
    fleet.run(PARTITION_FAILOVER_S)
    with pytest.raises(AssertionError):
        fleet.assert_invariants()


def test_large_fleet_survives_loss_of_duty_holder_and_primary(monkeypatch):
    """In a fleet of 24 VMs, 8 per domain, not every pair of VMs is connected."""
    fleet = SimFleet(monkeypatch, per_domain=8)
    fleet.wait_until_serving()
    fleet.run(2.0)
    fleet.kill(fleet.holder())
    fleet.group.crash(fleet.group.leader)
    fleet.run_until(fleet.is_serving, PARTITION_FAILOVER_S)
    fleet.assert_invariants()


@pytest.mark.parametrize("seed", range(6))
def test_random_overlapping_faults(monkeypatch, seed):
    fleet = SimFleet(monkeypatch)
    fleet.wait_until_serving()
    rng = np.random.default_rng(seed)
    for _ in range(8):
        toggle_random_fault(fleet, rng)
        fleet.run(float(rng.uniform(0.2, 5.0)))
    end_faults(fleet)
    fleet.run_until(fleet.is_serving, RECOVERY_S)
    fleet.assert_invariants()


def toggle_random_fault(fleet: SimFleet, rng) -> None:
    """Start or end one randomly chosen fault."""
    names = sorted(fleet.vm_by_name)
    some = {str(name) for name in rng.choice(names, rng.integers(1, 5), replace=False)}
    match rng.integers(0, 12):
        case 0:
            alive = [t for t in fleet.group.targets if t.is_alive]
            if len(alive) == len(fleet.group.targets):
                fleet.group.crash(fleet.group.leader)
        case 1:
            for target in fleet.group.targets:
                if not target.is_alive:
                    fleet.group.restart(target)
        case 2:
            fleet.isolate_domain(
                str(rng.choice(DOMAINS)), from_store=bool(rng.integers(2))
            )
        case 3:
            fleet.isolate_vm(names[rng.integers(len(names))])
        case 4:
            fleet.heal()
        case 5:
            fleet.store.unreachable_from = some if rng.integers(2) else set(names)
        case 6:
            fleet.store.unreachable_from = set()
        case 7:
            fleet.store.write_delay_s = (
                0.0 if fleet.store.write_delay_s else rng.uniform(0.5, 3.0)
            )
        case 8:
            fleet.store.drops_write_replies = not fleet.store.drops_write_replies
        case 9:
            fleet.network.suspended = set() if fleet.network.suspended else some
        case 10:
            name = names[rng.integers(len(names))]
            fleet.kill(name)
            fleet.start(name)
        case 11:
            fleet.network.blackhole_connections(names[rng.integers(len(names))])


def end_faults(fleet: SimFleet) -> None:
    """End all faults."""
    fleet.heal()
    fleet.store.unreachable_from = set()
    fleet.store.write_delay_s = 0.0
    fleet.store.drops_write_replies = False
    fleet.network.suspended = set()
    for target in fleet.group.targets:
        if not target.is_alive:
            fleet.group.restart(target)


@pytest.mark.parametrize("error", [RecursionError, OverflowError, KeyError])
def test_the_list_of_targets_is_read_again_after_an_unexpected_error(
    fleet, monkeypatch, error
):
    """VMs that started meanwhile knew no target for as long as they ran."""
    read = SimDirectory.read

    async def fail(directory):
        raise error("unexpected")

    monkeypatch.setattr(SimDirectory, "read", fail)
    names = list(fleet.vm_by_name)
    for name in names:
        fleet.kill(name)
    fleet.run(0.5)
    for name in names:
        fleet.start(name)
    fleet.run(4.0)
    monkeypatch.setattr(SimDirectory, "read", read)
    fleet.run_until(fleet.is_serving, RECOVERY_S)
    fleet.assert_invariants()


@pytest.mark.parametrize("table_type", [SimTable, SimOrders])
def test_tables_are_watched_again_after_an_unexpected_error(
    fleet, monkeypatch, table_type
):
    """A watch that ended left the VM with an old primary or configuration."""
    watch = table_type.watch

    async def fail(table, after, wait_s):
        raise RecursionError("unexpected")

    monkeypatch.setattr(table_type, "watch", fail)
    fleet.run(8.0)
    monkeypatch.setattr(table_type, "watch", watch)
    fleet.run(5.0)
    version = publish_configuration(fleet.operator_store)
    fleet.run_until(lambda: fleet.has_configuration(version), ROLLOUT_S)
    fleet.group.crash(fleet.group.leader)
    fleet.run_until(fleet.is_serving, FAILOVER_S)
    fleet.assert_invariants()


@pytest.mark.parametrize("answers", [False, True])
def test_another_entry_that_claims_to_be_the_primary_does_not_stop_a_first_start(
    monkeypatch, answers
):
    """No primary was ever settled if two entries claimed the role."""
    fleet = SimFleet(monkeypatch)
    other = SimTarget("other", "east", "other-host", is_primary=True)
    other.is_alive, other.renewed_at = answers, 1e9
    fleet.group.targets.append(other)
    if answers:
        other.is_primary = False
        monkeypatch.setattr(SimTarget, "is_listed_as_primary", property(lambda t: True))
    fleet.run_until(lambda: fleet.is_serving("target-north"), RECOVERY_S)
    fleet.assert_invariants()


def test_a_holder_that_hands_over_while_it_connects_orders_no_promotion(fleet):
    """A request under an older fencing token would follow the successor's."""
    fleet.group.connect_s = 1.0
    holder = fleet.holder()
    kernel = fleet.vm_by_name[holder].kernel
    fleet.group.crash(fleet.group.leader)
    fleet.run_until(
        lambda: kernel.find(PromotionService)._has_pending_request(), FAILOVER_S
    )
    Deferred.fromCoroutine(kernel.find(DutyService).hand_over())
    fleet.run_until(fleet.is_serving, PARTITION_FAILOVER_S)
    assert holder not in [vm for vm, _ in fleet.group.promotion_calls]
    fleet.assert_invariants()


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize("sync_replicas", [0, 1])
def test_links_cut_one_way_while_a_promotion_a_rollout_and_a_stop_overlap(
    monkeypatch, seed, sync_replicas
):
    """Links between VMs, to targets and to the store are cut one way, both, or some."""
    fleet = SimFleet(monkeypatch)
    fleet.operator_store.sync_replicas = sync_replicas
    publish_configuration(fleet.operator_store)
    fleet.wait_until_serving()
    commits = LoopingCall(fleet.group.commit)
    commits.clock = fleet.network.reactor("callers")
    commits.start(0.1)
    rng = np.random.default_rng(seed)
    hosts = [*fleet.vm_by_name, *(t.host for t in fleet.group.targets), "store"]
    for _ in range(3):
        cut = {
            (str(source), str(destination))
            for source in hosts
            for destination in hosts
            if rng.random() < rng.choice([0.05, 0.2])
        }
        is_both_ways = bool(rng.integers(2))
        fleet.network.is_blocked = (
            lambda source, destination, cut=cut, both=is_both_ways: (
                (source, destination) in cut or (both and (destination, source) in cut)
            )
        )
        fleet.run(float(rng.uniform(0.1, 2.0)))
        crashed = fleet.group.leader
        fleet.group.crash(crashed)
        version = publish_configuration(fleet.operator_store)
        stopped = str(rng.choice(sorted(fleet.vm_by_name)))
        fleet.stop(stopped)
        fleet.run(float(rng.uniform(0.5, 6.0)))
        fleet.start(stopped)
        fleet.group.restart(crashed)
        fleet.heal()
        fleet.run_until(fleet.is_serving, RECOVERY_S)
        fleet.run_until(lambda v=version: fleet.has_configuration(v), ROLLOUT_S)
    if sync_replicas:
        assert fleet.group.lost == []
    fleet.assert_invariants()
