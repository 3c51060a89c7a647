"""Background work whose failures are logged, counted and survived."""

from __future__ import annotations

import ast
from collections import Counter
from itertools import pairwise
from pathlib import Path
from types import SimpleNamespace

import pytest
from twisted.internet.defer import Deferred, fail
from twisted.internet.task import Clock, deferLater

from guavabarrow_daemon import background
from guavabarrow_daemon.background import (
    LOG_INTERVAL_S,
    MAX_RESTART_PAUSE_S,
    MIN_RESTART_PAUSE_S,
    STABLE_AFTER_S,
    BackgroundTasks,
)
from guavabarrow_daemon.kernel import Kernel, Service
from guavabarrow_daemon.operations.session_metrics import SessionMetrics


@pytest.fixture
def world(monkeypatch) -> SimpleNamespace:
    clock = Clock()
    monkeypatch.setattr(background, "now_s", clock.seconds)
    tasks = BackgroundTasks()
    lines: list[dict] = []
    tasks.log = lambda event, **fields: lines.append({"event": event, **fields})
    failed: list[str] = []
    tasks.on_failure.append(failed.append)
    return SimpleNamespace(clock=clock, tasks=tasks, lines=lines, failed=failed)


def advance(clock: Clock, duration_s: float, step_s: float = 0.05) -> None:
    for _ in range(round(duration_s / step_s)):
        clock.advance(step_s)


def test_a_loop_that_fails_is_restarted_with_growing_pauses(world):
    """A poll that met an unexpected value ended silently for the VM's lifetime."""
    started_at = []

    async def run() -> None:
        started_at.append(world.clock.seconds())
        raise RecursionError("nested")

    world.tasks.start_loop("poll", run, world.clock)
    advance(world.clock, 30.0)
    pauses = [late - early for early, late in pairwise(started_at)]
    assert pauses[0] == pytest.approx(MIN_RESTART_PAUSE_S, abs=0.06)
    assert all(late > early - 0.06 for early, late in pairwise(pauses))
    assert pauses[-1] == pytest.approx(MAX_RESTART_PAUSE_S, abs=0.06)
    assert world.failed == ["poll"] * len(started_at)
    assert "RecursionError" in world.lines[0]["error"]


def test_a_loop_that_ran_for_long_is_restarted_soon(world):
    started_at = []

    async def run() -> None:
        started_at.append(world.clock.seconds())
        await deferLater(world.clock, 2.0 * STABLE_AFTER_S, lambda: None)
        raise ValueError

    world.tasks.start_loop("watch", run, world.clock)
    advance(world.clock, 10.0 * STABLE_AFTER_S)
    pauses = [
        late - early - 2.0 * STABLE_AFTER_S for early, late in pairwise(started_at)
    ]
    assert pauses == pytest.approx([MIN_RESTART_PAUSE_S] * len(pauses), abs=0.11)


def test_a_loop_that_fails_each_time_is_known_until_it_runs_again(world):
    """Its VM reports that it is not ready, instead of serving from old knowledge."""
    is_broken = True

    async def run() -> None:
        if is_broken:
            raise ValueError
        await deferLater(world.clock, 1000.0, lambda: None)

    world.tasks.start_loop("poll", run, world.clock)
    assert world.tasks.failing_loops() == []
    advance(world.clock, 3.0)
    assert world.tasks.failing_loops() == ["poll"]
    is_broken = False
    advance(world.clock, MAX_RESTART_PAUSE_S + STABLE_AFTER_S)
    assert world.tasks.failing_loops() == []


def test_a_loop_that_returns_is_not_restarted(world):
    starts = []

    async def run() -> None:
        starts.append(1)

    world.tasks.start_loop("watch", run, world.clock)
    advance(world.clock, 10.0)
    assert (len(starts), world.failed) == (1, [])


@pytest.mark.parametrize("is_deferred", [False, True])
def test_a_periodic_call_goes_on_after_a_failure(world, is_deferred):
    """LoopingCall ends with the first exception, without a word."""
    calls = []

    def call() -> Deferred | None:
        calls.append(1)
        if is_deferred:
            return fail(KeyError("vm"))
        raise KeyError("vm")

    world.tasks.create_periodic("trim", call, world.clock).start(0.1, now=False)
    advance(world.clock, 2.0)
    assert len(calls) >= 18
    assert world.failed == ["trim"] * len(calls)


def test_failures_in_a_row_are_logged_at_a_bounded_rate(world):
    def call() -> None:
        raise KeyError("vm")

    world.tasks.create_periodic("trim", call, world.clock).start(0.1, now=False)
    advance(world.clock, 3.5 * LOG_INTERVAL_S)
    assert len(world.lines) == 4
    logged = len(world.lines) + sum(line["unlogged_failures"] for line in world.lines)
    assert 0 <= len(world.failed) - logged < LOG_INTERVAL_S / 0.1


def test_a_task_that_fails_is_logged_and_counted():
    kernel = Kernel()
    metrics = SessionMetrics(kernel)
    kernel.tasks.log = lambda event, **fields: None

    async def run() -> None:
        raise ValueError

    results: list = []
    kernel.tasks.start("probe", run()).addBoth(results.append)
    assert results == [None]
    assert b'background_failures_total{task="probe"} 1.0' in metrics.render()


def test_services_are_stopped_also_if_one_of_them_fails():
    """Connections of the others stayed open until the process was killed."""
    kernel = Kernel()
    kernel.tasks.log = lambda event, **fields: None
    stopped = []

    class FirstService(Service):
        name = "first"

        async def stop(self) -> None:
            stopped.append(self.name)

    class FailingService(Service):
        name = "failing"

        async def stop(self) -> None:
            raise OSError

    kernel.register(FirstService(kernel))
    kernel.register(FailingService(kernel))
    Deferred.fromCoroutine(kernel.stop())
    assert stopped == ["first"]


HANDLED_STARTS = {
    "front/session_front.py": 1,
    "fleet/promotion_service.py": 1,
    "http/site.py": 1,
    "main.py": 1,
    "session_vm.py": 1,
    "targets/target_admin_client.py": 1,
    "configuration_service.py": 1,
    "membership_service.py": 1,
    "usage/reporting_service.py": 1,
}
"""Coroutines with an error handler of their own, or whose result a periodic call or a
caller awaits."""


def test_background_work_is_started_by_the_tasks_of_the_kernel():
    """A coroutine or loop that is started otherwise can end without being noticed."""
    root = Path(background.__file__).parent
    starts: Counter[str] = Counter()
    for path in root.rglob("*.py"):
        if path.name == "background.py":
            continue
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Call) and (
                ast.unparse(node.func)
                in ("Deferred.fromCoroutine", "ensureDeferred", "LoopingCall")
            ):
                starts[path.relative_to(root).as_posix()] += 1
    assert starts == HANDLED_STARTS
