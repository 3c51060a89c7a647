"""Ranking of targets, without a network.

Load: callers of one failure domain press on its own target while others are idle.
"""

from __future__ import annotations

from guavabarrow_core.target_load import FAILURE_PENALTY_S, FORGET_S, TargetLoad


def test_the_own_domain_is_preferred_while_it_is_quick():
    local, remote = TargetLoad(), TargetLoad()
    assert local.expected_s(0.0, is_local=True) < remote.expected_s(0.0, is_local=False)


def test_work_goes_elsewhere_when_the_own_domain_is_slow():
    local, remote = TargetLoad(), TargetLoad()
    for _ in range(30):
        local.record(0.2, 1.0)
        remote.record(0.02, 1.0)
    assert local.expected_s(1.0, is_local=True) > remote.expected_s(1.0, is_local=False)


def test_what_is_under_way_counts():
    busy, idle = TargetLoad(running=6), TargetLoad()
    assert busy.expected_s(0.0, is_local=True) > idle.expected_s(0.0, is_local=False)


def test_a_failed_target_comes_last_for_a_while():
    failed, slow = TargetLoad(), TargetLoad()
    failed.record_failure(1.0)
    slow.record(0.3, 1.0)
    assert failed.expected_s(1.1, is_local=True) > slow.expected_s(1.1, is_local=False)
    later = 1.0 + FAILURE_PENALTY_S + 0.1
    assert failed.expected_s(later, is_local=True) < FAILURE_PENALTY_S / 2


def test_an_old_estimate_is_forgotten():
    load = TargetLoad()
    for _ in range(30):
        load.record(1.0, 1.0)
    assert load.expected_s(1.0 + FORGET_S, is_local=True) < 0.1
