"""Replacements in a service whose commits are acknowledged once a replica has them.

Commits go on until the primary crashes; no target without all acknowledged ones may be
promoted, whichever replicas are draining, deaf, silent or gone meanwhile.
"""

from __future__ import annotations

import random

import pytest
from sim_fleet import SimFleet
from sim_platform import SERVICE, SimTarget, publish_configuration
from twisted.internet.task import LoopingCall

from guavabarrow_core.fleet_state import replicas_row_key
from guavabarrow_core.replica_set import GONE_AFTER_S
from guavabarrow_daemon.fleet.directory_service import DirectoryService

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


def wait_until_unlisted(fleet: SimFleet, target_id: str) -> None:
    """Advance time until no VM lists a target."""
    directories = [v.kernel.find(DirectoryService) for v in fleet.vm_by_name.values()]
    fleet.run_until(
        lambda: not any(directory.entry(target_id) for directory in directories),
        RECOVERY_S,
    )


def lose(fleet: SimFleet, domain: str, *, is_dark: bool) -> None:
    """End a target for good; a dark one answers nothing, not even with a reset."""
    host = fleet.target(domain).host
    fleet.group.crash(fleet.target(domain))
    if is_dark:
        fleet.network.is_blocked = lambda one, other: host in (one, other)


def assert_nothing_lost(fleet: SimFleet) -> None:
    assert fleet.group.lost == []
    fleet.assert_invariants()


def assert_return_is_awaited(fleet: SimFleet, primary: SimTarget) -> None:
    """Crash a primary, the only one with the last commits, for some seconds."""
    fleet.group.crash(primary)
    fleet.run(7.0)
    assert fleet.group.promotion_calls == []
    fleet.group.restart(primary)
    fleet.run_until(lambda: fleet.is_serving(primary.target_id), FAILOVER_S)
    assert_nothing_lost(fleet)


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
    fleet.run(0.5 * GONE_AFTER_S)
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


def test_a_replica_that_only_the_store_cannot_hear_is_compared(fleet):
    """It was left out when its entry ran out, and a deaf replica was promoted."""
    east = fleet.target("east")
    east.is_unregistered = True
    fleet.target("west").is_deaf = True
    wait_until_unlisted(fleet, "target-east")
    assert replace_crashed_primary(fleet) == "target-east"
    east.is_unregistered = False
    fleet.target("west").is_deaf = False
    fleet.run_until(fleet.is_serving, RECOVERY_S)
    assert_nothing_lost(fleet)


def test_a_replica_that_is_promoted_unlisted_is_replaced_by_a_listed_one(fleet):
    """No caller's statement may reach a target whose entry has run out."""
    fleet.target("east").is_unregistered = True
    fleet.target("west").is_deaf = True
    wait_until_unlisted(fleet, "target-east")
    assert replace_crashed_primary(fleet) == "target-east"
    fleet.target("west").is_deaf = False
    fleet.run_until(lambda: fleet.is_serving("target-west"), RECOVERY_S)
    assert_nothing_lost(fleet)


def test_a_replica_whose_entry_runs_out_during_the_comparison_is_waited_for(fleet):
    """The comparison went on with the replicas that were still listed."""
    fleet.target("west").is_deaf = True
    fleet.run(1.0)
    fleet.network.is_blocked = lambda one, other: (
        "target-east" in (one, other) and "store" not in (one, other)
    )
    fleet.group.crash(fleet.target("north"))
    fleet.run(1.0)
    fleet.target("east").is_unregistered = True
    wait_until_unlisted(fleet, "target-east")
    fleet.run(2.0)
    assert fleet.group.promotion_calls == []
    fleet.heal()
    fleet.run_until(lambda: bool(fleet.group.promotion_calls), FAILOVER_S)
    fleet.target("east").is_unregistered = False
    fleet.run_until(lambda: fleet.is_serving("target-east"), RECOVERY_S)
    assert_nothing_lost(fleet)


def test_a_holder_that_never_saw_a_replica_compares_it(fleet):
    """All VMs start again while its entry is missing; only the shared table has it."""
    fleet.target("east").is_unregistered = True
    fleet.target("west").is_deaf = True
    wait_until_unlisted(fleet, "target-east")
    names = list(fleet.vm_by_name)
    for name in names:
        fleet.kill(name)
    for name in names:
        fleet.start(name)
    fleet.run_until(fleet.is_serving, RECOVERY_S)
    fleet.run(1.0)
    assert replace_crashed_primary(fleet, RECOVERY_S) == "target-east"
    fleet.target("east").is_unregistered = False
    fleet.target("west").is_deaf = False
    fleet.run_until(fleet.is_serving, RECOVERY_S)
    assert_nothing_lost(fleet)


def test_a_replica_that_only_other_domains_reach_is_not_gone(fleet):
    """The holder's own failure to reach it says nothing about it."""
    domain = fleet.holder().split("-")[0]
    complete, deaf = ("west", "east") if domain == "east" else ("east", "west")
    fleet.target(complete).is_unregistered = fleet.target(deaf).is_deaf = True
    host = fleet.target(complete).host
    fleet.network.is_blocked = lambda one, other: (
        host in (one, other)
        and any(name.startswith(f"{domain}-") for name in (one, other))
    )
    fleet.run(2.0 * GONE_AFTER_S)
    fleet.group.crash(fleet.target("north"))
    fleet.run(0.8 * GONE_AFTER_S)
    assert fleet.group.promotion_calls == []
    fleet.heal()
    fleet.run_until(lambda: fleet.group.leader is fleet.target(complete), FAILOVER_S)
    assert_nothing_lost(fleet)


@pytest.mark.parametrize("is_dark", [False, True])
def test_a_replica_that_died_long_before_holds_up_no_replacement(fleet, is_dark):
    """Its port is closed, or its machine is silent for ``GONE_AFTER_S``."""
    lose(fleet, "east", is_dark=is_dark)
    fleet.run(GONE_AFTER_S + 5.0 if is_dark else 5.0)
    assert replace_crashed_primary(fleet) == "target-west"
    fleet.run_until(fleet.is_serving, FAILOVER_S)
    assert_nothing_lost(fleet)


@pytest.mark.parametrize("is_dark", [False, True])
def test_a_replica_that_died_with_the_primary_is_waited_for_within_the_limit(
    fleet, is_dark
):
    """A change of the primary has to be over within 18 s."""
    lose(fleet, "east", is_dark=is_dark)
    fleet.group.crash(fleet.target("north"))
    fleet.run_until(fleet.is_serving, 18.0)
    assert fleet.group.leader.target_id == "target-west"
    assert_nothing_lost(fleet)


def test_a_replica_that_returns_with_its_log_is_waited_for(fleet):
    """It has the last commits, was down when the primary crashed, and starts again."""
    fleet.target("west").is_deaf = True
    fleet.run(1.0)
    east = fleet.target("east")
    fleet.group.crash(east)
    fleet.run(1.0)
    fleet.group.crash(fleet.target("north"))
    fleet.run(5.0)
    assert fleet.group.promotion_calls == []
    fleet.group.restart(east)
    fleet.run_until(lambda: fleet.is_serving("target-east"), FAILOVER_S)
    assert_nothing_lost(fleet)


def test_a_replica_that_starts_again_without_its_log_does_not_stand_for_it(fleet):
    """What it held is only at the primary, which comes back before it is given up."""
    fleet.target("west").is_deaf = True
    fleet.run(1.0)
    east, north = fleet.target("east"), fleet.target("north")
    fleet.group.crash(east)
    fleet.run(0.2)
    fleet.group.restart(east)
    east.is_deaf, east.received, east.born_ms = True, 0, 1
    fleet.run(0.2)
    fleet.group.crash(north)
    fleet.run(6.0)
    assert fleet.group.promotion_calls == []
    fleet.group.restart(north)
    east.is_deaf = False
    fleet.run_until(fleet.is_serving, RECOVERY_S)
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


def test_a_log_on_its_way_to_a_successor_is_waited_for(fleet):
    """It counted as transferred as soon as its address was listed again."""
    fleet.target("west").is_deaf = True
    fleet.run(1.0)
    new = replace_drained_replica(fleet)
    end = fleet.target("east").received
    fleet.group.crash(fleet.target("north"))
    for received in (0, end // 2, end // 2 + 1, end - 1):
        new.received = received
        fleet.run(2.0)
        assert fleet.group.promotion_calls == []
    new.received = end
    fleet.run_until(lambda: fleet.is_serving("target-new"), 18.0 - 4 * 2.0)
    assert_nothing_lost(fleet)


def test_a_log_that_is_transferred_up_to_an_old_end_is_not_whole(fleet):
    """A drained replica commits until it ends, after it was asked for the last time.

    The primary has the rest, crashes while it is on its way, and comes back with it.
    """
    fleet.target("west").is_deaf = True
    fleet.run(1.0)
    east, north = fleet.target("east"), fleet.target("north")
    east.is_draining = True
    fleet.run(3.0)
    fleet.group.crash(east)
    new = SimTarget("target-new", "east", east.host, False, is_deaf=True)
    new.received = east.received - 3
    fleet.group.targets.append(new)
    fleet.run(0.7)
    assert_return_is_awaited(fleet, north)


def test_a_lost_primary_holds_up_the_successor_of_a_drained_replica_for_the_limit(
    fleet,
):
    """The primary that has the rest never returns; a change is over within 18 s."""
    fleet.target("west").is_deaf = True
    east = fleet.target("east")
    east.is_draining = True
    fleet.run(3.0)
    fleet.group.crash(east)
    new = SimTarget("target-new", "east", east.host, False, is_deaf=True)
    new.received = east.received
    fleet.group.targets.append(new)
    fleet.run(0.2)
    fleet.group.crash(fleet.target("north"))
    fleet.run_until(lambda: fleet.is_serving("target-new"), 18.0)
    assert_nothing_lost(fleet)


def restart_last_copy(fleet: SimFleet, received: int | None) -> None:
    """Start the only replica with the last commits again, under its id.

    The log has been copied to it up to an end; None for all but three commits.
    """
    fleet.target("west").is_deaf = True
    fleet.run(2.0)
    east = fleet.target("east")
    east.received = east.received - 3 if received is None else received
    east.is_deaf = True
    east.born_ms += 1


def test_a_log_that_is_copied_up_to_an_old_end_is_not_whole(fleet):
    """A replica that started again was whole once it had what it had minutes ago."""
    restart_last_copy(fleet, fleet.target("west").received + 5)
    fleet.run(2.0)
    assert_return_is_awaited(fleet, fleet.target("north"))


def test_the_next_holder_knows_that_a_replica_lost_its_log(fleet):
    """It took the replica, which answers and holds nothing, for one that never did."""
    restart_last_copy(fleet, 0)
    fleet.run(3.0)
    former = fleet.holder()
    fleet.kill(former)
    fleet.run_until(lambda: fleet.holder() not in ("", former), RECOVERY_S)
    fleet.run(2.0)
    assert_return_is_awaited(fleet, fleet.target("north"))


def test_a_replica_that_starts_again_just_before_a_promotion_is_not_promoted(fleet):
    """The list shows its new process only when it is read the next time."""
    restart_last_copy(fleet, None)
    assert_return_is_awaited(fleet, fleet.target("north"))


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


def test_a_primary_that_starts_again_as_a_replica_is_replaced(fleet):
    """Its port was closed too briefly to be noticed, and nobody else leads."""
    north = fleet.target("north")
    north.is_primary, north.received, north.born_ms = False, 0, 1
    fleet.run_until(lambda: fleet.group.leader is not north, 2.0 * FAILOVER_S)
    fleet.run_until(fleet.is_serving, FAILOVER_S)
    assert_nothing_lost(fleet)


def test_nothing_is_written_or_asked_while_all_replicas_are_listed(fleet):
    """The record of the replicas costs nothing in calm operation."""
    row = fleet.store.row_by_key[replicas_row_key(SERVICE)]
    asked = fleet.group.status_rounds
    fleet.run(10.0)
    assert fleet.store.row_by_key[replicas_row_key(SERVICE)] == row
    assert fleet.group.status_rounds == asked


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
