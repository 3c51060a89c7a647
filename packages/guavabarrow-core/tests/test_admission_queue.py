"""Waiting for tokens, under virtual time.

Load: after a restart the callers of a team return together. Their mean rate is within
the limit, but each refused caller tries again at once and gives up after three
attempts.
"""

from __future__ import annotations

import heapq

import pytest

from guavabarrow_core.admission_queue import (
    MAX_BUSY_S,
    RECOVERY_S,
    AdmissionQueue,
)
from guavabarrow_core.rate_limiter import RateLimit, RateLimiter

TEAM = "team"
RATE = RateLimit(20.0, 2.0)
RETRY_PAUSE_S = 0.05
ATTEMPTS = 3
LIMIT_S = 0.2


def served_callers(arrivals: list[float], limit_s: float) -> tuple[int, float]:
    """Return how many callers are served, and the longest wait of a refused attempt."""
    limiter = RateLimiter("vm")
    limiter.configure({TEAM: RATE})
    queue = AdmissionQueue()
    events = [(at, number, 1, at, False) for number, at in enumerate(arrivals)]
    heapq.heapify(events)
    served, longest_s = 0, 0.0
    while events:
        now, number, attempt, asked_at, is_waiting = heapq.heappop(events)
        if is_waiting:
            queue.leave(TEAM)
        if limiter.admit(TEAM, now, is_retry=is_waiting):
            served += 1
            continue
        wait_s = queue.enter(
            TEAM,
            now,
            next_token_s=limiter.wait_s(TEAM),
            interval_s=limiter.interval_s(TEAM),
            limit_s=asked_at + limit_s - now,
        )
        if wait_s is not None:
            event = (now + wait_s + 1e-6, number, attempt, asked_at, True)
            heapq.heappush(events, event)
            continue
        longest_s = max(longest_s, now - asked_at)
        if attempt < ATTEMPTS:
            at = now + RETRY_PAUSE_S
            heapq.heappush(events, (at, number, attempt + 1, at, False))
    return served, longest_s


def test_callers_that_return_together_are_served_in_turn():
    arrivals = [0.001 * number for number in range(8)]
    without, _ = served_callers(arrivals, 0.0)
    served, _ = served_callers(arrivals, LIMIT_S)
    assert without < 6
    assert served == 8


def test_an_operation_that_cannot_be_admitted_in_time_is_refused_at_once():
    arrivals = [0.0005 * number for number in range(60)]
    _, longest_s = served_callers(arrivals, LIMIT_S)
    assert longest_s < RETRY_PAUSE_S


@pytest.mark.parametrize("limit_s", [0.0, LIMIT_S])
def test_waiting_admits_no_more_than_the_rate_allows(limit_s):
    arrivals = [0.002 * number for number in range(400)]
    served, _ = served_callers(arrivals, limit_s)
    duration_s = arrivals[-1] + LIMIT_S + ATTEMPTS * RETRY_PAUSE_S
    assert served <= RATE.per_s * duration_s + RATE.burst + 1


def test_the_refusal_names_the_time_behind_all_that_wait():
    queue = AdmissionQueue()
    token = {"next_token_s": 0.1, "interval_s": 0.2}
    for _ in range(2):
        queue.enter(TEAM, 0.0, limit_s=1.0, **token)
    assert queue.expected_wait_s(TEAM, **token) == pytest.approx(0.5)
    assert queue.expected_wait_s("other", **token) == pytest.approx(0.1)


def test_a_team_that_stays_above_its_rate_does_not_wait():
    """A queue that never drains made all operations of such a team late."""
    queue = AdmissionQueue()
    token = {"next_token_s": 0.01, "interval_s": 0.02, "limit_s": 0.2}
    assert queue.enter(TEAM, 0.0, **token) is not None
    now = 0.0
    while now <= MAX_BUSY_S:
        assert queue.enter(TEAM, now, **token) is not None
        queue.leave(TEAM)
        now += 0.05
    while now <= 3 * MAX_BUSY_S:
        assert queue.enter(TEAM, now, **token) is None
        now += 0.05
    queue.leave(TEAM)
    assert queue.enter(TEAM, now, **token) is None
    assert queue.enter(TEAM, now + RECOVERY_S, **token) is not None


def test_another_team_is_not_affected_by_a_closed_queue():
    queue = AdmissionQueue()
    token = {"next_token_s": 0.01, "interval_s": 0.02, "limit_s": 0.2}
    queue.enter(TEAM, 0.0, **token)
    assert queue.enter(TEAM, MAX_BUSY_S + 0.1, **token) is None
    assert queue.enter("other", MAX_BUSY_S + 0.1, **token) is not None
