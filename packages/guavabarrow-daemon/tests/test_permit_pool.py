"""Tests the permit pool of one target with a fake driver and a simulated clock."""

from types import SimpleNamespace

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from guavabarrow_core.exceptions import DeadlineExceeded, Overloaded
from guavabarrow_core.fair_queue import MAX_QUEUED_PER_TEAM
from guavabarrow_core.fleet import Target
from guavabarrow_daemon.targets.interface import (
    TargetConnectionBroken,
    TargetUnreachable,
)
from guavabarrow_daemon.targets.permit_pool import PermitPool


class FakeConnection:
    def __init__(self):
        self.is_open = True

    def set_on_lost(self, callback):
        self.on_lost = callback

    def abort(self):
        self.is_open = False


class FakeDriver:
    def __init__(self):
        self.opened = []
        self.is_down = False

    async def connect(self, host, port):
        if self.is_down:
            raise TargetConnectionBroken("refused")
        connection = FakeConnection()
        self.opened.append(connection)
        return connection


class FakePermits:
    """Grants a fixed number of permits."""

    def __init__(self, total):
        self.total = total

    def open_account(self, account):
        account.total = self.total

    def close_account(self, target):
        pass

    def ask(self, target):
        pass


@pytest.fixture
def environment():
    return SimpleNamespace(clock=Clock(), driver=FakeDriver())


def create_pool(environment, total=1, **options):
    return PermitPool(
        Target("t", "d", "127.0.0.1", 1),
        ("127.0.0.1", 1),
        driver=environment.driver,
        permits=FakePermits(total),
        reactor=environment.clock,
        **options,
    )


def acquire(pool, team="a", weight=1.0, deadline=10.0):
    outcome = []
    pending = Deferred.fromCoroutine(
        pool.acquire(team=team, weight=weight, deadline=deadline)
    )
    pending.addBoth(outcome.append)
    return outcome


def test_connection_is_used_by_one_caller_at_a_time(environment):
    pool = create_pool(environment)
    first, second = acquire(pool), acquire(pool)
    assert len(environment.driver.opened) == 1
    assert not second
    first[0].release(is_clean=True)
    assert second[0].connection is first[0].connection


def test_unclean_connection_is_not_reused(environment):
    pool = create_pool(environment)
    first, second = acquire(pool), acquire(pool)
    first[0].release(is_clean=False)
    assert not first[0].connection.is_open
    assert second[0].connection is not first[0].connection


def test_connection_is_returned_only_once(environment):
    pool = create_pool(environment, total=2)
    first = acquire(pool)
    first[0].release(is_clean=True)
    first[0].release(is_clean=True)
    assert len(pool.state.idle) == 1


def test_acquire_after_the_deadline_fails_even_with_an_idle_connection(environment):
    pool = create_pool(environment)
    acquire(pool)[0].release(is_clean=True)
    environment.clock.advance(11.0)
    outcome = acquire(pool, deadline=10.0)
    assert outcome[0].check(DeadlineExceeded)
    assert len(pool.state.idle) == 1


def test_waiter_fails_at_its_deadline(environment):
    pool = create_pool(environment)
    acquire(pool)
    waiting = acquire(pool, deadline=1.0)
    environment.clock.advance(1.1)
    assert waiting[0].check(DeadlineExceeded)
    assert pool.queued == 0


def test_full_queue_of_one_team_does_not_affect_another(environment):
    pool = create_pool(environment)
    acquire(pool)
    for _ in range(MAX_QUEUED_PER_TEAM):
        assert not acquire(pool, team="big")
    refused = acquire(pool, team="big")
    assert refused[0].check(Overloaded)
    assert refused[0].value.retry_after_s > 0
    assert not acquire(pool, team="small")


def test_teams_are_served_in_proportion_to_weight(environment):
    pool = create_pool(environment)
    holding = acquire(pool)
    waiting = {
        (team, number): acquire(pool, team=team, weight=weight)
        for team, weight in (("big", 3.0), ("small", 1.0))
        for number in range(40)
    }
    served = []
    for _ in range(40):
        holding[0].release(is_clean=True)
        team_number = next(k for k, o in waiting.items() if o and k not in served)
        served.append(team_number)
        holding = waiting[team_number]
    big = sum(team == "big" for team, _ in served)
    assert 28 <= big <= 32


def test_unreachable_target_fails_waiters(environment):
    environment.driver.is_down = True
    pool = create_pool(environment)
    assert acquire(pool)[0].check(TargetUnreachable)


def test_close_fails_waiters_and_keeps_busy_connections(environment):
    pool = create_pool(environment)
    running, waiting = acquire(pool), acquire(pool)
    pool.close()
    assert waiting[0].check(TargetUnreachable)
    assert running[0].connection.is_open
    running[0].release(is_clean=True)
    assert not running[0].connection.is_open
