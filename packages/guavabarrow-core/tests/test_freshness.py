"""Positions required for reads, checked against a model of acknowledged commits."""

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
def test_no_commit_older_than_the_maximum_age_is_missed(steps, max_age_s):
    """Responses are delayed; ages are measured from the sending of the statement."""
    history = PrimaryHistory()
    now, index = 0.0, 0
    acknowledged: list[tuple[float, int]] = []
    for pause_s, commits, delay_s in steps:
        now += pause_s
        sent_at = now
        if commits:
            index += 1
            acknowledged.append((now, index))
        position = LogPosition(1, index)
        now += delay_s
        history.record(Observation(sent_at, position))
        required = history.required_position(now=now, max_age_s=max_age_s)
        if required is None:
            continue
        must_be_visible = [i for at, i in acknowledged if at < now - max_age_s]
        assert required.index >= max(must_be_visible, default=0)


def test_the_oldest_sufficiently_recent_observation_is_used():
    history = PrimaryHistory()
    for second in range(4):
        history.record(Observation(float(second), LogPosition(1, second)))
    assert history.required_position(now=3.5, max_age_s=2.0) == LogPosition(1, 2)


def test_no_position_without_a_recent_observation():
    history = PrimaryHistory()
    history.record(Observation(1.0, LogPosition(1, 1)))
    assert history.required_position(now=4.0, max_age_s=2.5) is None
