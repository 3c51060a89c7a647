"""Concurrency windows in front of one target, without a network.

Replicas lag, so that every read goes to a primary with two slots and a queue of 24, and
callers give up after a second.
"""

from __future__ import annotations

import heapq

import numpy as np
import pytest

from guavabarrow_core.send_window import SendWindow

SLOTS = 2
MAX_QUEUED = 24
VMS = 8
MEAN_SERVICE_S = 0.02
REQUESTS_PER_S = 160.0
DURATION_S = 20.0


class Target:
    """A target with slots and a bounded queue in order of arrival."""

    def __init__(self, rng) -> None:
        self._free_at = [0.0] * SLOTS
        self._ends: list[float] = []
        self._rng = rng

    def run(self, now: float) -> float | None:
        """Return the end of a statement, None if the queue is full."""
        while self._ends and self._ends[0] <= now:
            heapq.heappop(self._ends)
        if len(self._ends) >= SLOTS + MAX_QUEUED:
            return None
        started_at = max(now, heapq.heappop(self._free_at))
        end = started_at + self._rng.exponential(MEAN_SERVICE_S)
        heapq.heappush(self._free_at, end)
        heapq.heappush(self._ends, end)
        return end


def simulate(seed: int, *, is_bounded: bool) -> tuple[float, int]:
    """Return the 95th percentile of the target's response time and its refusals."""
    rng = np.random.default_rng(seed)
    target = Target(rng)
    windows = [SendWindow(8.0, 3.0) for _ in range(VMS)]
    running = [0] * VMS
    completions: list[tuple[float, int, float]] = []
    response_times_s: list[float] = []
    refused = 0
    now = 0.0
    while now < DURATION_S:
        now += rng.exponential(1.0 / REQUESTS_PER_S)
        while completions and completions[0][0] <= now:
            ended_at, vm, sent_at = heapq.heappop(completions)
            running[vm] -= 1
            windows[vm].on_answer(ended_at - sent_at)
            response_times_s.append(ended_at - sent_at)
        vm = int(rng.integers(VMS))
        if is_bounded and not windows[vm].allows(running[vm]):
            continue
        end = target.run(now)
        if end is None:
            refused += 1
            windows[vm].on_refused()
            continue
        running[vm] += 1
        heapq.heappush(completions, (end, vm, now))
    return float(np.percentile(response_times_s, 95)), refused


@pytest.mark.parametrize("seed", range(5))
def test_the_window_keeps_the_queue_at_the_vms(seed):
    bounded_s, bounded_refusals = simulate(seed, is_bounded=True)
    unbounded_s, unbounded_refusals = simulate(seed, is_bounded=False)
    assert bounded_s < 0.75 * unbounded_s
    assert bounded_refusals < 0.1 * unbounded_refusals


def test_a_window_grows_with_fast_responses_and_never_closes():
    window = SendWindow(8.0, 3.0)
    for _ in range(200):
        window.on_answer(0.02)
    assert window.allows(7)
    assert not window.allows(8)
    for _ in range(100):
        window.on_refused()
    assert window.allows(0)
