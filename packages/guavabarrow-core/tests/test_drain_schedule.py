"""Times of a planned stop."""

from __future__ import annotations

import pytest

from guavabarrow_core.drain_schedule import DrainSchedule


@pytest.mark.parametrize("grace_s", [0.5, 1.0, 2.0, 3.0, 6.0, 30.0])
def test_the_steps_of_a_drain_are_in_order_within_any_grace_period(grace_s):
    """With fixed times, a short grace period ended before idle sessions were closed."""
    schedule = DrainSchedule(100.0, grace_s)
    closed_at = schedule.close_idle_from + schedule.close_spread_s
    assert 100.0 < schedule.close_idle_from < closed_at <= schedule.finish_by
    assert schedule.finish_by < schedule.answer_by < 100.0 + grace_s


@pytest.mark.parametrize("objective_s", [0.1, 0.5, 2.0, 60.0])
def test_transactions_have_half_of_the_grace_period_in_any_case(objective_s):
    schedule = DrainSchedule(100.0, 6.0)
    assert schedule.accepts(103.0, objective_s)
    assert not schedule.accepts(schedule.finish_by, objective_s)


def test_what_can_be_expected_to_end_in_time_is_accepted():
    schedule = DrainSchedule(100.0, 6.0)
    assert schedule.accepts(schedule.finish_by - 0.41, 0.4)
    assert not schedule.accepts(schedule.finish_by - 0.39, 0.4)
