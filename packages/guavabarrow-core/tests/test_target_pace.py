"""Learned limits and failures of targets, in virtual time without a network."""

from __future__ import annotations

from itertools import pairwise

import numpy as np
import pytest
from pace_sim import READ, WRITE, Flow, Sim, Target

from guavabarrow_core import pace_share, target_health
from guavabarrow_core.pace_share import (
    PaceDigest,
    PeerPaces,
    divide_limit,
    joint_limit,
)
from guavabarrow_core.response_baseline import WorkClass, WorkKind
from guavabarrow_core.target_pace import DIVISION_S, PaceSample, TargetPace

ALL = ("a", "b", "c")
COSTLY = WorkClass(WorkKind.READ, 1.2)
SEEDS = range(4)


def limits_between(sim: Sim, target: str, since: float, until: float) -> np.ndarray:
    return np.array([v[target] for at, v in sim.limits if since <= at < until])


def simulate_slow_target(seed: int) -> Sim:
    """One of three targets runs at a third of its speed from 6 s to 12 s."""
    targets = [Target(name) for name in ALL]
    sim = Sim(targets, [Flow(READ, 0.024, 40.0, ALL)], seed=seed)
    sim.run(6.0)
    targets[0].factor = 3.0
    sim.run(6.0)
    targets[0].factor = 1.0
    sim.run(5.0)
    return sim


@pytest.mark.parametrize("seed", SEEDS)
def test_reads_leave_a_slow_target_and_return_when_it_has_recovered(seed):
    """Load: 120 reads a second on three targets, one at a third of its speed."""
    sim = simulate_slow_target(seed)
    assert sim.share_of("a", 8.0, 12.0) < 0.15
    assert sim.share_of("a", 14.0, 17.0) > 0.2


def test_reads_stay_at_a_slow_target_if_its_pace_is_not_measured(monkeypatch):
    """Shows that the test above depends on the measured pace."""
    monkeypatch.setattr(TargetPace, "response_s", lambda self, work, now: 0.024)
    assert simulate_slow_target(0).share_of("a", 8.0, 12.0) > 0.15


def simulate_knee(seed: int, *, is_learned: bool) -> tuple[Sim, float]:
    """From 6 s to 12 s each statement above three makes the others slower.

    Returns the simulation and the answers per second from 8 s to 12 s.
    """
    target = Target("p", slots=6, knee_slope=1.0)
    flow = Flow(WRITE, 0.02, 75.0, ("p",))
    sim = Sim([target], [flow], seed=seed, is_learned=is_learned)
    sim.run(6.0)
    target.knee = 3
    sim.run(6.0)
    answers = [entry for entry in sim.answers if 8.0 <= entry[0] < 12.0]
    target.knee = 100
    sim.run(4.0)
    return sim, len(answers) / 4.0


@pytest.mark.parametrize("seed", SEEDS)
def test_the_limit_follows_a_target_that_slows_down_from_half_of_its_slots(seed):
    """Load: writes for 1.5 times what the target runs at three statements at once."""
    sim, learned_per_s = simulate_knee(seed, is_learned=True)
    _, fixed_per_s = simulate_knee(seed, is_learned=False)
    assert limits_between(sim, "p", 8.0, 12.0).mean() < 5.0
    assert limits_between(sim, "p", 14.0, 16.0).mean() > 5.0
    assert learned_per_s > 1.25 * fixed_per_s


@pytest.mark.parametrize("seed", SEEDS)
def test_a_costly_mix_does_not_look_like_a_slow_target(seed):
    """Load: statements of 40 ms join those of 5 ms."""
    slowdowns, limits = {}, {}
    for costly in (COSTLY, READ):
        flows = [Flow(READ, 0.005, 20.0, ("a",)), Flow(costly, 0.04, 0.0, ("a",))]
        sim = Sim([Target("a")], flows, seed=seed)
        sim.run(6.0)
        sim.flows[0].per_s, sim.flows[1].per_s = 5.0, 20.0
        worst = 1.0
        for _ in range(20):
            sim.run(0.2)
            host = max(sim.hosts, key=lambda h: h.pace["a"].slowdown(sim.now))
            worst = max(worst, host.pace["a"].slowdown(sim.now))
        slowdowns[costly], limits[costly] = worst, sim.limit("a")
    assert slowdowns[COSTLY] < 2.0
    assert limits[COSTLY] > 4.0
    # Without classes, the same mix looks slow.
    assert slowdowns[READ] > 3.0


@pytest.mark.parametrize("seed", SEEDS)
def test_targets_that_are_all_slow_are_all_used(seed):
    """Failure: storage that all targets share makes each three times slower."""
    targets = [Target(name) for name in ALL]
    sim = Sim(targets, [Flow(READ, 0.024, 30.0, ALL)], seed=seed)
    sim.run(6.0)
    for target in targets:
        target.factor = 3.0
    sim.run(6.0)
    assert all(sim.share_of(name, 8.0, 12.0) > 0.15 for name in ALL)
    assert not sim.refused


def simulate_gray_failure(seed: int) -> Sim:
    """The only local target fails 40% of its statements from 6 s to 12 s."""
    targets = [Target("a"), Target("b", is_local=False), Target("c", is_local=False)]
    sim = Sim(targets, [Flow(READ, 0.02, 15.0, ALL)], seed=seed)
    sim.run(6.0)
    targets[0].failing = 0.4
    sim.run(6.0)
    targets[0].failing = 0.0
    sim.run(6.0)
    return sim


@pytest.mark.parametrize("seed", SEEDS)
def test_a_target_that_fails_statements_is_avoided_probed_and_reinstated(seed):
    """Failure: a target fails 40% of its statements while its health check is good."""
    sim = simulate_gray_failure(seed)
    assert 0.0 < sim.share_of("a", 8.0, 12.0) < 0.4
    assert sim.share_of("a", 14.0, 18.0) > 0.7


def test_a_target_that_fails_statements_is_used_without_the_bound(monkeypatch):
    """Shows that the test above depends on the bound."""
    monkeypatch.setattr(target_health, "MAX_FAILURE_FRACTION", 1.0)
    assert simulate_gray_failure(0).share_of("a", 8.0, 12.0) > 0.5


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("per_s", [10.0, 20.0, 61.0])
def test_the_limit_is_steady_under_steady_load(seed, per_s):
    """Load: 30 to 183 statements a second, the latter 0.8 of what the target runs."""
    sim = Sim([Target("p")], [Flow(WRITE, 0.02, per_s, ("p",))], seed=seed)
    sim.run(25.0)
    limits = limits_between(sim, "p", 5.0, 25.0)
    assert np.abs(limits / limits.mean() - 1.0).max() <= 0.1


@pytest.mark.parametrize("seed", SEEDS)
def test_hosts_with_equal_load_answer_within_the_objective(seed):
    """Load: 183 statements a second, 0.8 of what the target runs, on three hosts."""
    sim = Sim([Target("p")], [Flow(WRITE, 0.02, 61.0, ("p",))], seed=seed)
    sim.run(25.0)
    times = [response_s for at, _, _, response_s in sim.answers if at >= 5.0]
    assert np.quantile(times, 0.98) < WRITE.objective_s


def test_a_short_queue_of_one_host_leaves_the_parts_of_the_others():
    """Load: three hosts run 1.4 statements each, and ten more wait at one of them."""
    demands = {}
    for vm, waiting in (("a", 10), ("b", 0), ("c", 0)):
        pace = TargetPace(9.0)
        for number in range(70):
            pace.on_answer(PaceSample(WRITE, 0.02, 1.0 + 0.01 * number, 1))
        demands[vm] = pace.demand(waiting, 1.7)
    assert demands["a"] == pytest.approx(1.4 + 10 * 0.02 / DIVISION_S)
    assert divide_limit(9.0, demands, "t1") == {"a": 3, "b": 3, "c": 3}


@pytest.mark.parametrize("peer_limit, growth", [(6.0, 1.75), (5.0, 1.0)])
def test_a_limit_grows_by_small_steps_where_a_peer_found_a_lower_one(
    peer_limit, growth
):
    """Load: 100 fast answers a second above the limit, judged four times."""
    pace = TargetPace(6.0)
    pace.follow(peer_limit)
    for number in range(125):
        pace.on_answer(PaceSample(WRITE, 0.02, 1.0 + 0.01 * number, 20))
    assert pace.limit == pytest.approx(peer_limit + growth)


def test_parts_of_all_hosts_exceed_the_joint_limit_by_at_most_one_each():
    """Load: any demand of one to six hosts."""
    rng = np.random.default_rng(1)
    for _ in range(500):
        digests = {
            f"host-{number}": PaceDigest(rng.exponential(4.0), 1.0, rng.uniform(1, 20))
            for number in range(rng.integers(1, 7))
        }
        limit = joint_limit(digests)
        demands = {vm: digest.demand for vm, digest in digests.items()}
        parts = divide_limit(limit, demands, "t1")
        assert min(parts.values()) >= 1
        assert limit <= sum(parts.values()) <= limit + len(parts)


@pytest.mark.parametrize("is_dropped", [True, False])
def test_the_digest_of_a_host_that_is_cut_off_is_dropped(monkeypatch, is_dropped):
    """Failure: a host with a third of the load is cut off from the other two.

    While its digest is used, part of the limit is kept for it.
    """
    if not is_dropped:
        monkeypatch.setattr(pace_share, "MAX_DIGEST_AGE_S", 1e9)
    sim = Sim([Target("p", slots=6)], [Flow(WRITE, 0.02, 90.0, ("p",))], seed=1)
    sim.run(4.0)
    sim.hosts[2].is_cut = True
    sim.run(3.0)
    limit = sim.hosts[0].pace["p"].limit
    parts = sum(host.window["p"].size for host in sim.hosts[:2])
    assert (parts >= limit - 1.0) is is_dropped
    assert (not sim.hosts[0].peers.of_target("p", sim.now).get("host-2")) is is_dropped


def test_only_changed_digests_are_needed_and_a_removed_one_is_dropped():
    """Failure: a VM stops being the host of a service."""
    peers = PeerPaces()
    peers.update("x", {"t1": PaceDigest(1, 1, 5)}, 0.0, is_full=True)
    peers.update("x", {}, 1.9, is_full=False)
    assert peers.of_target("t1", 3.5)
    peers.update("x", {"t1": pace_share.NO_DIGEST}, 3.6, is_full=False)
    assert not peers.of_target("t1", 3.6)


def test_the_demand_of_slow_statements_is_kept_between_their_answers():
    """Load: statements of 2 s, one answer in 2 s, while five wait."""
    pace = TargetPace(6.0)
    pace.on_answer(PaceSample(WRITE, 2.0, 1.0, 1))
    assert pace.demand(5, 1.5) == pytest.approx(2.0 + 5 * 2.0 / DIVISION_S)
    assert pace.demand(5, 2.5) == pytest.approx(5 * 2.0 / DIVISION_S)


def test_a_limit_that_a_target_refused_is_exceeded_by_small_steps():
    """Load: 100 fast answers a second above the limit after a refusal at it."""
    pace = TargetPace(6.0)
    pace.on_refused(0.5)
    limits = []
    for number in range(300):
        pace.on_answer(PaceSample(WRITE, 0.02, 1.0 + 0.01 * number, 20))
        limits.append(pace.limit)
    steps = [b - a for a, b in pairwise(limits) if b > a and a >= 6.0]
    assert len(steps) > 3
    assert steps[1:] == pytest.approx([0.25] * len(steps[1:]))


def test_refusals_shrink_the_limit_once_for_one_full_queue():
    """Load: a target refuses ten statements at once because its queue is full."""
    pace = TargetPace(6.0)
    for _ in range(10):
        pace.on_refused(1.0)
    assert 4.0 < pace.limit < 4.5
    for number in range(20):
        pace.on_refused(2.0 + number)
    assert pace.share == 1
