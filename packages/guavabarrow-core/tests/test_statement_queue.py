"""Tests the order and the refusal of waiting statements."""

from __future__ import annotations

import random

import pytest

from guavabarrow_core.connection_budget import (
    FULL_PAUSE_S,
    IDLE_TIMEOUT_S,
    KEPT_IDLE_S,
    ConnectionBudget,
    allowed_handshakes,
    divide_connections,
)
from guavabarrow_core.service_host import HostPlan
from guavabarrow_core.statement_queue import QueuedStatement, StatementQueue


def push(queue, team, priority=1, deadline=1e9, weight=1.0):
    return queue.push(
        QueuedStatement(object(), team, priority, deadline, weight=weight)
    )


def take_first(queue):
    item = next(iter(queue))
    queue.take(item)
    return item


def test_less_urgent_statements_are_not_starved():
    """Urgent statements always wait; each less urgent priority has its share."""
    queue = StatementQueue(max_length=999, is_shared=True)
    for priority in (1, 2):
        for number in range(50):
            push(queue, f"team-{number}", priority)
    served = []
    for number in range(100):
        push(queue, f"urgent-{number}", 0)
        served.append(take_first(queue).priority)
    assert 8 <= served.count(1) <= 12
    assert 8 <= served.count(2) <= 12


def test_teams_share_by_weight():
    """A heavy team's statements all arrived first."""
    queue = StatementQueue(max_length=999, is_shared=True)
    for team, weight in (("heavy", 1.0), ("double", 2.0), ("light", 1.0)):
        for _ in range(60):
            push(queue, team, weight=weight)
    served = [take_first(queue).team for _ in range(80)]
    assert abs(served.count("double") - 40) <= 2
    assert abs(served.count("light") - 20) <= 2


def test_refused_statements_are_not_charged():
    """A team whose statements were refused kept a late place in the queue."""
    queue = StatementQueue(max_length=999, is_shared=True)
    items = [push(queue, "a") for _ in range(20)]
    push(queue, "b")
    for item in items[1:]:
        queue.discard(item)
    push(queue, "a")
    assert [item.team for item in queue] == ["a", "b", "a"]


@pytest.mark.parametrize("seed", range(5))
def test_order_without_hosts_is_that_of_the_former_list(seed):
    """Compatibility: services without hosts keep their order."""
    rng = random.Random(seed)
    queue = StatementQueue(max_length=999)
    former: list[tuple[int, float, int, object]] = []
    finish: dict[str, float] = {}
    virtual_time = 0.0
    for order in range(400):
        if former and rng.random() < 0.5:
            priority, tag, _, item = former.pop(0)
            virtual_time = max(virtual_time, tag)
            if not former:
                finish.clear()
            assert take_first(queue) is item
            continue
        team, priority = rng.choice("aaabc"), rng.choice((0, 1, 1, 2))
        tag = max(virtual_time, finish.get(team, 0.0))
        finish[team] = tag + 1.0
        former.append((priority, tag, order, push(queue, team, priority)))
        former.sort(key=lambda entry: entry[:3])


def test_hopeless_statements_are_found_at_once():
    """A queue of ten statements is served at one per 0.1 s; limits are 0.5 s."""
    queue = StatementQueue(max_length=999, is_shared=True)
    items = [push(queue, f"team-{n}", deadline=0.5) for n in range(10)]
    assert queue.hopeless(0.0, 0.1) == items[6:]


@pytest.mark.parametrize(
    ("max_connections", "members", "fair_share", "limit"),
    [(56, 58, 1, 2), (20, 4, 4, 5), (20, 1, 18, 18), (2, 9, 1, 1)],
)
def test_limits_without_hosts_are_unchanged(
    max_connections, members, fair_share, limit
):
    """Compatibility: limits and idle times without hosts are as before."""
    limits = divide_connections(max_connections, members, HostPlan())
    assert (limits.fair_share, limits.connection_limit) == (fair_share, limit)
    budget = ConnectionBudget(limits)
    assert budget.idle_timeout_s(0, fair_share) == IDLE_TIMEOUT_S
    assert budget.idle_timeout_s(0, fair_share + 1) < IDLE_TIMEOUT_S


@pytest.mark.parametrize(("max_connections", "hosts"), [(56, 3), (70, 3), (70, 1)])
def test_hosts_keep_at_most_half_of_the_limit_idle(max_connections, hosts):
    """Power loss: the target counts the kept connections for seconds."""
    limits = divide_connections(max_connections, 60, HostPlan(True, True, hosts))
    assert limits.connection_limit * hosts <= 0.8 * max_connections
    assert limits.kept_idle * hosts <= max_connections / 2
    budget = ConnectionBudget(limits)
    assert budget.idle_timeout_s(limits.kept_idle - 1, 5) == KEPT_IDLE_S
    assert budget.idle_timeout_s(limits.kept_idle, 5) == IDLE_TIMEOUT_S
    # The connections of the lost VMs and as many new ones fit.
    crowded = next(
        count
        for count in range(limits.connection_limit + 1)
        if budget.idle_timeout_s(limits.kept_idle, count) < IDLE_TIMEOUT_S
    )
    assert 2 * (crowded - 1) * hosts <= max_connections
    other = divide_connections(max_connections, 60, HostPlan(True, False, hosts))
    assert other.connection_limit == 1


def test_the_budget_shrinks_after_a_refusal_at_the_limit():
    """The target was asked again every 60 ms while others held its connections."""
    budget = ConnectionBudget(divide_connections(56, 58, HostPlan(True, True, 3)))
    pauses = []
    now = 0.0
    while now < 3.0:
        budget.on_full(open_count=0, now=now)
        pauses.append(budget.retry_s(now))
        now += pauses[-1]
    assert len(pauses) <= 10
    assert budget.limit(now) == 1
    assert budget.limit(now + FULL_PAUSE_S) == 14


def test_two_handshakes_only_for_several_teams_with_room():
    assert allowed_handshakes(["a", "b"], has_room=True) == 2
    assert allowed_handshakes(["a", "a"], has_room=True) == 1
    assert allowed_handshakes(["a", "b"], has_room=False) == 1
