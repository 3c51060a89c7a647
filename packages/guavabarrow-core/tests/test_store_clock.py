"""Bounds on the offset of the store's clock."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from guavabarrow_core.store_clock import StoreClock

delays = st.floats(min_value=0.0, max_value=3.0)


@given(
    offset=st.floats(min_value=-1e4, max_value=1e4),
    calls=st.lists(st.tuples(delays, delays, delays), min_size=1, max_size=20),
    event_at=st.floats(min_value=0.0, max_value=100.0),
)
def test_bounds_hold_for_any_delays(offset, calls, event_at):
    clock = StoreClock()
    now = 0.0
    for pause_s, request_s, response_s in calls:
        sent_at = now + pause_s
        computed_at = sent_at + request_s
        now = computed_at + response_s
        clock.observe(store_s=computed_at + offset, sent_at=sent_at, received_at=now)
    store_s = event_at + offset
    assert clock.earliest_local(store_s) <= event_at + 1e-6
    assert clock.latest_local(store_s) >= event_at - 1e-6
    assert clock.latest_store(event_at) >= store_s - 1e-6
