"""Ranking of targets, without a network.

Guards against a failure in which callers of one failure domain overload its own target
while others are idle.
"""

from __future__ import annotations

from guavabarrow_core.target_load import ESTIMATE_DECAY_S, FAILURE_PENALTY_S, TargetLoad


def test_the_local_target_is_preferred_while_it_is_fast():
    local, remote = TargetLoad(), TargetLoad()
    assert local.expected_s(0.0, is_local=True) < remote.expected_s(0.0, is_local=False)


def test_a_remote_target_is_preferred_when_the_local_one_is_slow():
    local, remote = TargetLoad(), TargetLoad()
    for _ in range(30):
        local.record(0.2, 1.0)
        remote.record(0.02, 1.0)
    assert local.expected_s(1.0, is_local=True) > remote.expected_s(1.0, is_local=False)


def test_statements_in_flight_increase_the_expected_time():
    busy, idle = TargetLoad(running=6), TargetLoad()
    assert busy.expected_s(0.0, is_local=True) > idle.expected_s(0.0, is_local=False)


def test_a_failed_target_ranks_last_until_its_penalty_ends():
    failed, slow = TargetLoad(), TargetLoad()
    failed.record_failure(1.0)
    slow.record(0.3, 1.0)
    assert failed.expected_s(1.1, is_local=True) > slow.expected_s(1.1, is_local=False)
    later = 1.0 + FAILURE_PENALTY_S + 0.1
    assert failed.expected_s(later, is_local=True) < FAILURE_PENALTY_S / 2


def test_an_old_estimate_decays_to_the_initial_one():
    load = TargetLoad()
    for _ in range(30):
        load.record(1.0, 1.0)
    assert load.expected_s(1.0 + ESTIMATE_DECAY_S, is_local=True) < 0.1
