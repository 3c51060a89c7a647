"""Replacements in a service whose commits are acknowledged once a replica has them.

Commits go on until the primary crashes; no target without all acknowledged ones may be
promoted, whichever replicas are draining, deaf, silent or gone meanwhile.
"""

from __future__ import annotations

import random

import pytest
from sim_fleet import SimFleet
from sim_platform import SimTarget, publish_configuration
from twisted.internet.task import LoopingCall

from guavabarrow_daemon.fleet.directory_service import LOG_TRANSFER_S, DirectoryService

COMMIT_INTERVAL_S = 0.05
FAILOVER_S = 4.0
RECOVERY_S = 15.0


@pytest.fixture
def fleet(monkeypatch) -> SimFleet:
    fleet = SimFleet(monkeypatch)
    fleet.operator_store.sync_replicas = 1
    version = publish_configuration(fleet.operator_store)
    fleet.wait_until_serving()
    fleet.run_until(lambda: fleet.has_configuration(version), RECOVERY_S)
    commits = LoopingCall(fleet.group.commit)
    commits.clock = fleet.network.reactor("callers")
    commits.start(COMMIT_INTERVAL_S)
    fleet.run(3.0)
    return fleet


def replace_crashed_primary(fleet: SimFleet, limit_s: float = FAILOVER_S) -> str:
    """Crash the primary, wait until another target leads, and return its id."""
    old = fleet.group.leader
    fleet.group.crash(old)
    fleet.run_until(lambda: fleet.group.leader is not old, limit_s)
    return fleet.group.leader.target_id


def assert_nothing_lost(fleet: SimFleet) -> None:
    assert fleet.group.lost == []
    fleet.assert_invariants()


def test_a_draining_replica_is_promoted_if_only_it_has_all_commits(fleet):
    """A deaf replica was promoted, because draining ones were left out."""
    fleet.target("east").is_draining = True
    fleet.target("west").is_deaf = True
    fleet.run(2.0)
    assert replace_crashed_primary(fleet) == "target-east"
    fleet.run(1.0)
    assert fleet.group.leader.target_id == "target-east"
    fleet.target("west").is_deaf = False
    fleet.run_until(lambda: fleet.is_serving("target-west"), FAILOVER_S)
    assert_nothing_lost(fleet)


def test_a_usable_replica_is_preferred_if_it_has_all_commits(fleet):
    fleet.target("east").is_draining = True
    fleet.run(2.0)
    assert replace_crashed_primary(fleet) == "target-west"
    fleet.run_until(fleet.is_serving, FAILOVER_S)
    assert_nothing_lost(fleet)


def test_a_silent_replica_is_waited_for(fleet):
    """One that answers late may be the only one with the last commits."""
    fleet.target("west").is_deaf = True
    fleet.run(1.0)
    fleet.network.is_blocked = lambda one, other: (
        "target-east" in (one, other) and "store" not in (one, other)
    )
    fleet.group.crash(fleet.target("north"))
    fleet.run(3.0)
    assert fleet.group.promotion_calls == []
    fleet.heal()
    fleet.run_until(lambda: fleet.is_serving("target-east"), FAILOVER_S)
    assert_nothing_lost(fleet)


def test_a_planned_switchover_waits_for_a_deaf_replica(fleet):
    """The primary goes on meanwhile, as long as a draining one may be used."""
    fleet.target("east").is_unregistered = True
    fleet.run(4.0)
    fleet.target("west").is_deaf = True
    fleet.run(0.5)
    fleet.target("north").is_draining = True
    fleet.run(1.5)
    assert fleet.is_serving("target-north")
    fleet.run(3.0)
    assert fleet.group.promotion_calls == []
    fleet.target("west").is_deaf = False
    fleet.run_until(lambda: fleet.is_serving("target-west"), FAILOVER_S)
    assert_nothing_lost(fleet)


def test_the_log_of_a_drained_replica_is_waited_for(fleet):
    """Its log goes to a new target at its address, which has not registered yet."""
    east, west = fleet.target("east"), fleet.target("west")
    east.is_draining = True
    west.is_deaf = True
    fleet.run(3.0)
    fleet.group.crash(east)
    vm = fleet.vm_by_name["west-0"]
    directory = vm.kernel.find(DirectoryService)
    fleet.run_until(lambda: directory.entry("target-east") is None, RECOVERY_S)
    fleet.group.crash(fleet.target("north"))
    fleet.run(0.5 * LOG_TRANSFER_S)
    assert fleet.group.promotion_calls == []
    fleet.group.restart(east)
    east.is_draining = False
    fleet.run_until(lambda: fleet.is_serving("target-east"), RECOVERY_S)
    assert_nothing_lost(fleet)


def test_a_replica_that_is_gone_is_not_waited_for_indefinitely(fleet):
    fleet.group.crash(fleet.target("east"))
    fleet.run(4.0)
    assert replace_crashed_primary(fleet) == "target-west"
    fleet.run_until(fleet.is_serving, FAILOVER_S)
    assert_nothing_lost(fleet)


def test_the_new_duty_holder_adopts_a_promoted_draining_replica(fleet):
    """The holder ends after its request; the successor must not promote another one."""
    fleet.target("east").is_draining = True
    fleet.target("west").is_deaf = True
    fleet.run(1.0)
    fleet.group.crash(fleet.target("north"))
    fleet.run_until(lambda: bool(fleet.group.promotion_calls), FAILOVER_S)
    fleet.kill(fleet.holder())
    fleet.run(12.0)
    assert fleet.group.leader.target_id == "target-east"
    assert_nothing_lost(fleet)


def replace_drained_replica(fleet: SimFleet) -> SimTarget:
    """Drain the replica in the east; its successor holds nothing yet."""
    east = fleet.target("east")
    east.is_draining = True
    fleet.run(3.0)
    fleet.group.crash(east)
    new = SimTarget("target-new", "east", east.host, False, received=0, is_deaf=True)
    fleet.group.targets.append(new)
    fleet.run(3.0)
    return new


def test_an_empty_successor_of_a_drained_replica_is_not_promoted(fleet):
    """It counted as the most advanced one, with the newest term and no position."""
    replace_drained_replica(fleet)
    assert replace_crashed_primary(fleet) == "target-west"
    fleet.run_until(fleet.is_serving, FAILOVER_S)
    assert_nothing_lost(fleet)


def test_a_service_without_commits_gets_a_new_primary(monkeypatch):
    """All replicas hold nothing, and none of them has lost anything."""
    fleet = SimFleet(monkeypatch)
    fleet.operator_store.sync_replicas = 1
    for target in fleet.group.targets:
        target.received = 0
    fleet.group.acknowledged = 0
    version = publish_configuration(fleet.operator_store)
    fleet.wait_until_serving()
    fleet.run_until(lambda: fleet.has_configuration(version), RECOVERY_S)
    replace_crashed_primary(fleet)
    fleet.run_until(fleet.is_serving, FAILOVER_S)


@pytest.mark.parametrize("seed", range(6))
def test_random_faults_lose_no_acknowledged_commit(fleet, seed):
    """One replica at a time is deaf, draining or silent; primaries crash meanwhile."""
    rng = random.Random(seed)
    for _ in range(4):
        replicas = [t for t in fleet.group.targets if t is not fleet.group.leader]
        rng.shuffle(replicas)
        replicas[0].is_deaf = rng.random() < 0.7
        replicas[1].is_draining = rng.random() < 0.5
        fleet.run(rng.uniform(0.5, 2.5))
        crashed = fleet.group.leader
        if rng.random() < 0.7:
            fleet.group.crash(crashed)
        else:
            crashed.is_draining = True
        fleet.run(rng.uniform(0.5, 4.0))
        fleet.group.restart(crashed)
        for target in fleet.group.targets:
            target.is_deaf = target.is_draining = False
        fleet.run_until(fleet.is_serving, RECOVERY_S)
        fleet.run(1.0)
    assert_nothing_lost(fleet)
