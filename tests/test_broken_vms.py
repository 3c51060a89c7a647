"""Each check must fail on a daemon that breaks the promise on purpose."""

from __future__ import annotations

import time

from harness.caller import SERVICE
from harness.process_fleet import wait_until
from harness.world import KILIMA, MTO

from guavabarrow_cli.embedded_fleet import LayoutTeam
from guavabarrow_core.fleet_change import WithdrawKey
from guavabarrow_core.history import Guarantee, check_rate


def guarantees(violations):
    return {violation.guarantee for violation in violations}


def judge(world):
    workload = world.end_workload()
    return guarantees(workload.history.check(world.rows()))


def test_acknowledging_at_once_loses_writes(world):
    fleet = world.start(lag_ms=300.0, fault="acknowledge_at_once")
    world.start_workload()
    world.wait_acknowledged(100)
    fleet.kill(fleet.primary(SERVICE))
    world.wait_acknowledged(20)
    assert Guarantee.ACKNOWLEDGED_WRITE_KEPT in judge(world)


def test_forgetting_sessions_breaks_read_your_writes(world):
    world.start(lag_ms=100.0, fault="forget_sessions")
    world.start_workload()
    world.wait_acknowledged(100)
    assert Guarantee.READ_YOUR_WRITES in judge(world)


def test_forgetting_ids_runs_writes_twice(world):
    fleet = world.start(fault="forget_ids")
    world.start_workload()
    for _ in range(5):
        fleet.set_database_faults(fleet.primary(SERVICE), lost_answers=3)
        world.wait_acknowledged(20)
    assert Guarantee.AT_MOST_ONCE in judge(world)


def test_denying_doubt_is_caught(world):
    fleet = world.start(lag_ms=20.0, fault="deny_doubt")
    workload = world.start_workload()
    world.wait_acknowledged(20)
    primary = fleet.primary(SERVICE)
    others = [n for n in fleet.databases if n.startswith(SERVICE) and n != primary]
    workload.deadline_s = 0.3
    for other in others:
        fleet.set_link(primary, other, frozen=True)
    time.sleep(0.6)
    for other in others:
        fleet.set_link(primary, other, frozen=False)
    workload.deadline_s = 15.0
    world.wait_acknowledged(20)
    assert Guarantee.NOT_RUN_IS_TRUE in judge(world)


def test_believing_any_age_is_caught(world):
    fleet = world.start(lag_ms=20.0, fault="believe_any_age")
    world.start_workload()
    world.wait_acknowledged(20)
    primary = fleet.primary(SERVICE)
    other = next(n for n in fleet.databases if n.startswith(SERVICE) and n != primary)
    fleet.set_link(primary, other, cut=True)
    before = len(world.workload.history.reads)
    time.sleep(4.0)
    wait_until(lambda: len(world.workload.history.reads) > before + 100, "more reads")
    assert Guarantee.STATED_AGE in judge(world)


def test_admitting_everything_exceeds_the_rate(world):
    team = LayoutTeam("pwani", (SERVICE,), rate_per_s=30, burst=10)
    world.start(teams=(KILIMA, MTO, team), fault="admit_everything")
    caller = world.caller(team)
    admitted = []
    for _ in range(150):
        sent_at = time.monotonic()
        assert caller.read("SELECT 1").ok
        admitted.append((sent_at, time.monotonic()))
    assert guarantees(check_rate(admitted, rate_per_s=30, burst=10)) == {Guarantee.RATE}


def test_keeping_keys_is_noticed(world):
    fleet = world.start(fault="keep_keys")
    caller = world.caller()
    fleet.admin("vm-1").change([WithdrawKey("kilima", "first")], author="test")
    assert caller.read("SELECT 1").status == 200


def test_serving_every_team_is_noticed(world):
    world.start(fault="serve_every_team")
    answer = world.caller(MTO).write("INSERT INTO entry VALUES ('x')")
    assert answer.status == 200
