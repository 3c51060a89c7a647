"""A store that returns from an older copy and counts an era more, in virtual time.

What the VMs wrote since the copy is lost, and versions are given out again. In
simulated days changes that were confirmed afterwards never came into force, and readers
went round through dropped history and full reads.
"""

from __future__ import annotations

import pytest
from sim_orders import (
    CONTACT_S,
    OTHER_DOMAIN,
    ROLLOUT_S,
    OrdersFleet,
    end_faults,
    hunt,
)
from sim_platform import SERVICE

from guavabarrow_core.fleet_state import (
    DUTY_KEY,
    DUTY_LEASE_S,
    PRIMARY_LEASE_S,
    LeadPhase,
    member_key,
)
from guavabarrow_core.store_position import StorePosition
from guavabarrow_daemon.fleet.fleet_service import FORMER_MEMBERS_S, FleetService
from guavabarrow_daemon.fleet.operator_orders import RECOVERY_S
from guavabarrow_daemon.fleet.promotion_service import PromotionService

OUTAGE_S = 2.0
COPY_AGE_S = 9.0
REPAIR_S = 4.0
"""Time after a return within which all own rows are there again: the duty is taken and
its lease awaited, and the primaries' rows are written."""

MAX_CALL_RATIO = 1.5
"""Bound of the calls beside those of a store that is silent for as long."""

FAILOVER_S = PRIMARY_LEASE_S + REPAIR_S


class ReturningFleet(OrdersFleet):
    """Fleet whose store has eras."""

    first_era = 1

    def _check_evacuation(self, vm, known) -> None:
        """Check the evacuation once VMs that missed a change follow the store again.

        For a limited time after a return they follow what they remember.
        """
        if self.network.now - self._rewritten_at > RECOVERY_S + CONTACT_S:
            super()._check_evacuation(vm, known)

    def leave_store(self, duration_s: float = OUTAGE_S) -> None:
        """Let the store be away."""
        self.set_store_access(*self.names, has_access=False)
        self.run(duration_s)

    def come_back(self, age_s: float = COPY_AGE_S, **options) -> None:
        """Let the store return older."""
        self.return_store(age_s, **options)
        self.set_store_access(*self.names, has_access=True)

    def service(self, name: str, kind=FleetService):
        """Return a service of a VM."""
        return self.vm_by_name[name].kernel.find(kind)

    def assert_repaired(self) -> None:
        """Check that own rows are there again, and that nothing was broken."""
        era = self.store.era
        stored = set(self.store.row_by_key)
        expected = {member_key(name) for name in self.vm_by_name}
        expected |= {DUTY_KEY, f"lead/{SERVICE}"}
        assert {f"{era}/{key}" for key in expected} <= stored
        assert self.is_serving()
        self.assert_invariants()
        self.assert_all_current()


@pytest.fixture
def fleet(monkeypatch) -> ReturningFleet:
    fleet = ReturningFleet(monkeypatch)
    fleet.settle()
    fleet.run(COPY_AGE_S)
    return fleet


@pytest.mark.parametrize("outage_s", [0.02, OUTAGE_S, 7.0])
@pytest.mark.parametrize("age_s", [0.0, 3.0, COPY_AGE_S, 60.0])
def test_changes_after_a_return_are_in_force_in_time(fleet, outage_s, age_s):
    """They counted as older than what was known before the return, until the end."""
    fleet.publish()
    fleet.evacuate()
    fleet.run(1.0)
    fleet.publish()
    fleet.leave_store(outage_s)
    fleet.come_back(age_s)
    fleet.run(REPAIR_S)
    fleet.assert_repaired()
    fleet.publish()
    fleet.lift_evacuation()
    fleet.run(ROLLOUT_S)
    fleet.assert_repaired()


def test_a_return_costs_few_calls_more_than_an_outage(monkeypatch, fleet):
    """Readers went round through dropped history and full reads until the end."""
    calls = {}
    for is_return in (False, True):
        for _ in range(4):
            fleet.publish()
            fleet.run(1.0)
        before = fleet.store.calls + fleet.operator_store.calls
        fleet.leave_store()
        if is_return:
            fleet.come_back()
        else:
            fleet.set_store_access(*fleet.names, has_access=True)
        fleet.run(20.0)
        calls[is_return] = fleet.store.calls + fleet.operator_store.calls - before
    assert calls[True] <= MAX_CALL_RATIO * calls[False]


@pytest.mark.parametrize("is_alone", [True, False])
def test_a_vm_for_which_the_counter_has_passed_reads_in_full(fleet, is_alone):
    """No dropped history tells of the return, and rows below the version are missed."""
    name = "north-1" if is_alone else "north-0"
    fleet.publish()
    fleet.run(1.0)
    fleet.suspend(name)
    if is_alone:
        fleet.cut_links(name, fleet.others(name))
    fleet.leave_store()
    fleet.come_back()
    fleet.evacuate()
    known = fleet.service(name).orders.rows.version.version
    for _ in range(12):
        fleet.publish()
        fleet.run(0.2)
    assert fleet.operator_store.version > known
    fleet.resume(name)
    fleet.run(CONTACT_S)
    assert OTHER_DOMAIN in fleet.vm_by_name[name].evacuated
    fleet.heal()
    fleet.run(REPAIR_S)
    fleet.assert_repaired()


def test_a_vm_that_starts_takes_the_configuration_that_others_remember(fleet):
    """The store has an older one until the operators write it again."""
    version = fleet.publish()
    fleet.run(1.0)
    fleet.leave_store()
    fleet.come_back(written_after_s=30.0)
    fleet.kill("east-1")
    fleet.run(0.5)
    fleet.start("east-1")
    fleet.run(2.0)
    assert fleet.vm_by_name["east-1"].configuration_version == version
    fleet.run(REPAIR_S)
    fleet.assert_orders()


def test_a_lost_evacuation_holds_until_it_is_written_again(fleet):
    fleet.evacuate()
    fleet.run(1.0)
    fleet.leave_store()
    fleet.come_back(written_after_s=0.8 * RECOVERY_S)
    for _ in range(20):
        fleet.run(0.25)
        assert all(OTHER_DOMAIN in vm.evacuated for vm in fleet.vm_by_name.values())
    fleet.assert_repaired()


def test_an_evacuation_that_was_lifted_does_not_come_back(fleet):
    fleet.evacuate()
    fleet.run(COPY_AGE_S)
    fleet.lift_evacuation()
    fleet.run(1.0)
    fleet.leave_store()
    fleet.come_back(written_after_s=0.8 * RECOVERY_S)
    for _ in range(20):
        fleet.run(0.25)
        assert not any(OTHER_DOMAIN in vm.evacuated for vm in fleet.vm_by_name.values())
    fleet.assert_repaired()


@pytest.mark.parametrize("is_evacuated", [True, False])
def test_the_store_wins_if_nothing_is_written_again(fleet, is_evacuated):
    if not is_evacuated:
        fleet.evacuate()
        fleet.run(COPY_AGE_S)
        fleet.lift_evacuation()
    else:
        fleet.evacuate()
    fleet.run(1.0)
    fleet.leave_store()
    fleet.come_back(written_after_s=100.0)
    fleet.run(2 * RECOVERY_S + ROLLOUT_S)
    for vm in fleet.vm_by_name.values():
        assert (OTHER_DOMAIN in vm.evacuated) != is_evacuated


def test_a_primary_that_was_replaced_does_not_come_back(fleet):
    """The copy names the former primary, and VMs that start believed it."""
    fleet.group.crash(fleet.group.leader)
    fleet.run_until(fleet.is_serving, FAILOVER_S)
    fleet.group.restart(fleet.target("north"))
    fleet.leave_store()
    fleet.come_back(age_s=fleet.network.now - 10.0)
    fleet.kill("west-2")
    fleet.run(0.3)
    fleet.start("west-2")
    fleet.run(REPAIR_S)
    fleet.assert_repaired()


@pytest.mark.parametrize("loses_holder", [True, False])
@pytest.mark.parametrize("after_s", [0.05, 0.3, 0.6])
def test_a_replacement_whose_mark_was_lost_is_completed(fleet, loses_holder, after_s):
    """A mark that vanished halfway let VMs use the old primary beside the new one."""
    holder = fleet.holder()
    service = fleet.service(holder, PromotionService)
    fleet.group.crash(fleet.group.leader)
    fleet.run_until(lambda: service.is_busy, FAILOVER_S)
    fleet.run(after_s)
    fleet.leave_store(0.1)
    if loses_holder:
        fleet.kill(holder)
    fleet.group.restart(fleet.target("north"))
    fleet.come_back()
    fleet.run(0.5)
    if loses_holder:
        fleet.start(holder)
    fleet.run(FAILOVER_S + REPAIR_S)
    fleet.assert_repaired()


def test_no_primary_is_replaced_while_a_lost_registration_may_use_it(fleet):
    """A VM that registered after the copy is unknown to the holder, and serves on."""
    fleet.kill("east-2")
    fleet.run(1.0)
    fleet.start("east-2")
    fleet.run(CONTACT_S)
    fleet.cut_links("east-2", fleet.others("east-2") | {"store"})
    fleet.leave_store(0.05)
    fleet.come_back()
    fleet.run(REPAIR_S / 2)
    fleet.group.crash(fleet.group.leader)
    fleet.run(FAILOVER_S)
    fleet.assert_invariants()
    fleet.heal()
    fleet.run(CONTACT_S)
    fleet.assert_invariants()


def test_a_former_holder_that_the_copy_names_orders_nothing(fleet):
    former = fleet.holder()
    fleet.isolate_vm(former)
    fleet.run_until(lambda: fleet.holder() not in ("", former), FAILOVER_S)
    fleet.heal()
    fleet.run(1.0)
    fleet.leave_store(0.1)
    fleet.come_back()
    fleet.run(DUTY_LEASE_S / 2)
    assert fleet.holder() == ""
    fleet.group.crash(fleet.group.leader)
    fleet.run_until(fleet.is_serving, FAILOVER_S + DUTY_LEASE_S)
    fleet.assert_invariants()


def test_another_vm_takes_the_duty_if_the_holder_does_not_reach_the_store(fleet):
    holder = fleet.holder()
    fleet.leave_store()
    fleet.come_back()
    fleet.set_store_access(holder, has_access=False)
    fleet.run_until(lambda: fleet.holder() not in ("", holder), REPAIR_S)
    fleet.run(REPAIR_S)
    fleet.assert_invariants()


def test_a_vm_that_the_store_turns_away_keeps_its_share_of_rates(fleet):
    """Others took its share, while it went on by sponsorship."""
    name = "west-1"
    fleet.leave_store()
    fleet.come_back()
    fleet.set_store_access(name, has_access=False)
    for _ in range(30):
        fleet.run(1.0)
        for other in fleet.others(name):
            assert name in fleet.service(other).state.member_by_vm()
    fleet.set_store_access(name, has_access=True)
    fleet.run(REPAIR_S)
    fleet.assert_repaired()


def test_a_vm_that_is_lost_at_a_return_is_forgotten(fleet):
    fleet.leave_store()
    fleet.kill("west-1")
    fleet.come_back()
    fleet.run(2 * FORMER_MEMBERS_S)
    assert all(
        "west-1" not in fleet.service(name).state.member_by_vm()
        for name in fleet.vm_by_name
    )


def test_a_late_write_of_a_former_era_changes_nothing(fleet):
    """Its condition met a version that was given out again."""
    holder = fleet.holder()
    fleet.store.write_delay_s = 2.5
    service = fleet.service(holder)
    duty = service.state.duty()
    service.kernel.tasks.start("late_write", service.write(DUTY_KEY, duty))
    fleet.run(0.5)
    fleet.store.write_delay_s = 0.0
    fleet.leave_store(0.5)
    fleet.come_back()
    fleet.run(REPAIR_S)
    row = fleet.store.row_by_key[f"{fleet.store.era}/{DUTY_KEY}"]
    positions = {fleet.service(name).state.version_of(DUTY_KEY) for name in fleet.names}
    assert positions == {StorePosition.at(fleet.store.era, row.version)}
    fleet.assert_repaired()


@pytest.mark.parametrize("clock_step_s", [-9.0, 30.0])
def test_ages_are_true_after_the_clock_of_the_store_was_set(fleet, clock_step_s):
    """A VM without the store took relayed data for younger than it was."""
    name = "north-2"
    fleet.set_store_access(name, has_access=False)
    fleet.run(1.0)
    fleet.leave_store()
    fleet.come_back(clock_step_s=clock_step_s)
    fleet.set_store_access(name, has_access=False)
    fleet.run(REPAIR_S)
    returned_at = fleet.network.now - REPAIR_S
    state = fleet.service(name).state
    assert returned_at <= state.as_of <= fleet.network.now
    fleet.leave_store(1.0)
    assert state.as_of <= fleet.network.now - 0.9
    fleet.group.crash(fleet.group.leader)
    end_faults(fleet)
    fleet.run(FAILOVER_S)
    fleet.assert_invariants()


@pytest.mark.parametrize("gap_s", [0.0, 0.3, 1.0, 3.0])
def test_a_second_return_during_the_repair_of_the_first(fleet, gap_s):
    fleet.publish()
    fleet.run(1.0)
    fleet.leave_store()
    fleet.come_back()
    fleet.run(gap_s)
    fleet.publish()
    fleet.leave_store(0.1)
    fleet.come_back(age_s=2.0)
    fleet.run(REPAIR_S)
    fleet.publish()
    fleet.run(ROLLOUT_S)
    fleet.assert_repaired()


@pytest.mark.parametrize("after_s", [0.01, 0.5, 3.0])
def test_all_vms_lose_power_after_a_return(fleet, after_s):
    fleet.publish()
    fleet.run(1.0)
    fleet.leave_store()
    fleet.come_back()
    fleet.run(after_s)
    for name in fleet.names:
        fleet.kill(name)
    fleet.run(1.0)
    for name in fleet.names:
        fleet.start(name)
    fleet.run(REPAIR_S)
    fleet.publish()
    fleet.run(ROLLOUT_S)
    fleet.assert_repaired()


def test_a_replacement_after_a_return_marks_and_settles_in_the_new_era(fleet):
    fleet.leave_store()
    fleet.come_back()
    fleet.run(REPAIR_S)
    fleet.group.crash(fleet.group.leader)
    fleet.run_until(fleet.is_serving, FAILOVER_S)
    row = fleet.service(fleet.holder()).state.primary_row(SERVICE)
    assert row.phase is LeadPhase.SETTLED
    fleet.assert_repaired()


def test_a_change_before_the_first_reading_of_the_era_is_taken(fleet):
    """Its version may be one that the copy has as well."""
    fleet.publish()
    fleet.run(1.0)
    fleet.leave_store()
    fleet.return_store(COPY_AGE_S)
    version = fleet.publish()
    fleet.set_store_access(*fleet.names, has_access=True)
    fleet.run(ROLLOUT_S)
    assert fleet.has_configuration(version)


@pytest.mark.parametrize("seed", range(12))
def test_random_faults_beside_returns(monkeypatch, seed):
    fleet = ReturningFleet(monkeypatch)
    hunt(fleet, seed, returns=True)
    fleet.assert_all_current()
    fleet.assert_invariants()
