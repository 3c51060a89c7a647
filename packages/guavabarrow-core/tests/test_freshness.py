"""Positions that reads need, against a model of acknowledged commits."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from guavabarrow_core.freshness import Observation, PrimaryHistory
from guavabarrow_core.log_position import LogPosition

steps = st.lists(
    st.tuples(st.floats(0.001, 0.6), st.booleans(), st.floats(0.0, 0.3)),
    min_size=1,
    max_size=60,
)


@given(steps=steps, max_age_s=st.floats(0.1, 3.0))
def test_no_commit_older_than_the_stated_age_is_missed(steps, max_age_s):
    """Answers come late; what counts is when their statement was sent."""
    history = PrimaryHistory()
    now, index = 0.0, 0
    acknowledged: list[tuple[float, int]] = []
    for pause_s, commits, delay_s in steps:
        now += pause_s
        asked_at = now
        if commits:
            index += 1
            acknowledged.append((now, index))
        position = LogPosition(1, index)
        now += delay_s
        history.record(Observation(asked_at, position))
        needed = history.required_position(now=now, max_age_s=max_age_s)
        if needed is None:
            continue
        must_see = [i for at, i in acknowledged if at < now - max_age_s]
        assert needed.index >= max(must_see, default=0)


def test_the_oldest_position_that_is_young_enough_is_enough():
    history = PrimaryHistory()
    for second in range(4):
        history.record(Observation(float(second), LogPosition(1, second)))
    assert history.required_position(now=3.5, max_age_s=2.0) == LogPosition(1, 2)


def test_without_a_young_observation_nothing_is_known():
    history = PrimaryHistory()
    history.record(Observation(1.0, LogPosition(1, 1)))
    assert history.required_position(now=4.0, max_age_s=2.5) is None
