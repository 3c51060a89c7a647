"""Verifies that the checks detect each injected fault of broken_vm."""

from __future__ import annotations

import time

from harness.caller import SERVICE
from harness.process_fleet import wait_until
from harness.world import KILIMA, MTO

from guavabarrow_cli.embedded_fleet import LayoutTeam
from guavabarrow_core.fleet_change import WithdrawKey
from guavabarrow_core.history import Guarantee, check_rate


def violated_guarantees(violations):
    return {violation.guarantee for violation in violations}


def check_history(world):
    workload = world.end_workload()
    return violated_guarantees(workload.history.check(world.rows()))


def test_acknowledging_without_replicas_loses_writes(world):
    fleet = world.start(lag_ms=300.0, fault="acknowledge_without_replicas")
    world.start_workload()
    world.wait_acknowledged(100)
    fleet.kill(fleet.primary(SERVICE))
    world.wait_acknowledged(20)
    assert Guarantee.ACKNOWLEDGED_WRITE_KEPT in check_history(world)


def test_ignoring_session_position_breaks_read_your_writes(world):
    world.start(lag_ms=100.0, fault="ignore_session_position")
    world.start_workload()
    world.wait_acknowledged(100)
    assert Guarantee.READ_YOUR_WRITES in check_history(world)


def test_dropping_request_ids_runs_writes_twice(world):
    fleet = world.start(fault="drop_request_ids")
    world.start_workload()
    for _ in range(5):
        fleet.set_database_faults(fleet.primary(SERVICE), lost_answers=3)
        world.wait_acknowledged(20)
    assert Guarantee.AT_MOST_ONCE in check_history(world)


def test_reporting_unknown_as_not_run_is_detected(world):
    fleet = world.start(lag_ms=20.0, fault="report_unknown_as_not_run")
    workload = world.start_workload()
    world.wait_acknowledged(20)
    primary = fleet.primary(SERVICE)
    others = [n for n in fleet.databases if n.startswith(SERVICE) and n != primary]
    workload.deadline_s = 0.3
    for other in others:
        fleet.set_link_faults(primary, other, frozen=True)
    time.sleep(0.6)
    for other in others:
        fleet.set_link_faults(primary, other, frozen=False)
    workload.deadline_s = 15.0
    world.wait_acknowledged(20)
    assert Guarantee.NOT_RUN_IS_TRUE in check_history(world)


def test_ignoring_replica_age_is_detected(world):
    fleet = world.start(lag_ms=20.0, fault="ignore_replica_age")
    world.start_workload()
    world.wait_acknowledged(20)
    primary = fleet.primary(SERVICE)
    other = next(n for n in fleet.databases if n.startswith(SERVICE) and n != primary)
    fleet.set_link_faults(primary, other, cut=True)
    before = len(world.workload.history.reads)
    time.sleep(4.0)
    wait_until(lambda: len(world.workload.history.reads) > before + 100, "more reads")
    assert Guarantee.STATED_AGE in check_history(world)


def test_disabling_rate_limits_exceeds_the_rate(world):
    team = LayoutTeam("pwani", (SERVICE,), rate_per_s=30, burst=10)
    world.start(teams=(KILIMA, MTO, team), fault="disable_rate_limits")
    caller = world.caller(team)
    admitted = []
    for _ in range(150):
        sent_at = time.monotonic()
        assert caller.read("SELECT 1").ok
        admitted.append((sent_at, time.monotonic()))
    assert violated_guarantees(check_rate(admitted, rate_per_s=30, burst=10)) == {
        Guarantee.RATE
    }


def test_keeping_withdrawn_keys_is_detected(world):
    fleet = world.start(fault="keep_withdrawn_keys")
    caller = world.caller()
    fleet.admin("vm-1").change([WithdrawKey("kilima", "first")], author="test")
    assert caller.read("SELECT 1").status == 200


def test_skipping_service_check_is_detected(world):
    world.start(fault="skip_service_check")
    response = world.caller(MTO).write("INSERT INTO entry VALUES ('x')")
    assert response.status == 200
