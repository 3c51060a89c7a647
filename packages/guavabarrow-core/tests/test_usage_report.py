"""Order of closing, storing and sending reports, and a random exploration of failures.

The exploration runs several VMs against a model of the store, the duty and the platform
in virtual time. The duty moves at random, VMs freeze, writes to the store take effect
late, and calls arrive late or remain unanswered. The platform's rules are checked in
the order in which calls arrive.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field, replace
from itertools import count
from typing import TYPE_CHECKING

import numpy as np
import pytest

from guavabarrow_core.fleet_state import DUTY_LEASE_S
from guavabarrow_core.usage_counts import KEPT_WINDOWS, UsageWindowOutOfRange
from guavabarrow_core.usage_report import (
    MAX_MARKED_REPORTS,
    MAX_UNSENT_REPORTS,
    ReportPhase,
    Step,
    StepKind,
    StoredReport,
    UsageReporter,
)

if TYPE_CHECKING:
    from collections.abc import Callable

WINDOW_S, LATE_S, LEASE_S = 5.0, 10.0, 3.0
TICK_S = 0.1
CALL_TIMEOUT_S = LEASE_S
STORE_TIMEOUT_S = 1.0
MAX_ROWS = MAX_MARKED_REPORTS + MAX_UNSENT_REPORTS + 5
"""Rows of the table at most, with some that were written late."""

LATE_WRITE_S = 60.0
"""Longer than a marked report stays stored."""


class Counts:
    """Counts that differ at each call, as late counts do."""

    def __init__(self, is_complete: bool = True) -> None:
        self._numbers = count(1)
        self._is_complete = is_complete
        self.missing: set[int] = set()

    def has_data(self, window: int) -> bool:
        return window not in self.missing

    def is_complete(self, window: int) -> bool:
        return self._is_complete

    def totals(self, window: int) -> dict[str, int]:
        return {"red": next(self._numbers)}


def create_reporter(now: float = 0.0, token: int = 5) -> UsageReporter:
    reporter = UsageReporter("a", window_s=WINDOW_S, late_s=LATE_S, lease_s=LEASE_S)
    reporter.acquire(token, now)
    return reporter


def read(reporter: UsageReporter, *reports: StoredReport, true_s: float) -> None:
    step = reporter.next_step(true_s, Counts())
    assert step.kind is StepKind.READ
    reporter.on_read(step, reports, true_s)


def carry_out(reporter: UsageReporter, true_s: float, counts: Counts) -> list[Step]:
    """Carry out all steps without failures."""
    steps = []
    while (step := reporter.next_step(true_s, counts)) is not None:
        steps.append(step)
        match step.kind:
            case StepKind.SEND:
                reporter.on_sent(step, ReportPhase.SENT)
            case StepKind.SKIP:
                reporter.on_skipped(step)
            case _:
                reporter.on_written(step, len(steps))
    return steps


def marked(window: int) -> StoredReport:
    return StoredReport(window, {"red": 7}, ReportPhase.SENT, window)


def test_a_new_holder_waits_before_it_acts():
    """Guards against calls of two holders that overlap."""
    reporter = create_reporter(now=10.0)
    acts_at = 10.0 + DUTY_LEASE_S + LEASE_S
    assert not reporter.may_act(5, acts_at - 0.01)
    assert reporter.may_act(5, acts_at)
    assert not reporter.may_act(6, acts_at)
    assert not reporter.may_act(0, acts_at)


def test_a_window_is_stored_sent_and_marked_in_this_order():
    """Guards against a report that a successor can't repeat."""
    reporter = create_reporter()
    read(reporter, marked(98), true_s=501.0)
    steps = carry_out(reporter, 501.0, Counts())
    kinds = [StepKind.STORE, StepKind.SEND, StepKind.MARK]
    assert [(step.kind, step.window) for step in steps] == [(k, 99) for k in kinds]
    assert len({tuple(s.report.count_by_team.items()) for s in steps}) == 1


def test_an_incomplete_window_is_closed_at_the_latest_moment():
    """Guards against waiting for a domain that is cut off."""
    reporter = create_reporter()
    read(reporter, marked(98), true_s=504.9)
    counts = Counts(is_complete=False)
    assert reporter.next_step(504.9, counts) is None
    assert reporter.next_step(505.0, counts).kind is StepKind.STORE


def test_missed_windows_follow_oldest_first_and_those_without_data_are_skipped():
    """Guards against lost windows after an outage, and against
    reports about nothing."""
    reporter = create_reporter()
    read(reporter, marked(80), true_s=500.5)
    counts = Counts()
    counts.missing = {95, 96}
    steps = carry_out(reporter, 500.5, counts)
    sent = [step.window for step in steps if step.kind is StepKind.SEND]
    assert sent == [93, 94, 97, 98, 99]
    assert sent[0] == 100 - KEPT_WINDOWS + 1


def test_windows_are_stored_while_the_platform_accepts_none():
    """Guards against counts that are lost in an outage of the platform, and against an
    unbounded table."""
    reporter = create_reporter()
    read(reporter, marked(99), true_s=505.5)
    for window in range(101, 120):
        true_s = window * WINDOW_S + 0.5
        while (step := reporter.next_step(true_s, Counts())) is not None:
            if step.kind is StepKind.SEND:
                break
            reporter.on_written(step, 1)
        assert step.window == 100
    assert len(reporter.report_by_window) == 1 + MAX_UNSENT_REPORTS


def test_a_refused_report_is_given_up():
    """Guards against a refused window that blocks all later ones."""
    reporter = create_reporter()
    read(reporter, marked(98), true_s=501.0)
    store = reporter.next_step(501.0, Counts())
    reporter.on_written(store, 3)
    reporter.on_sent(reporter.next_step(501.0, Counts()), ReportPhase.REFUSED)
    mark = reporter.next_step(501.0, Counts())
    assert (mark.kind, mark.report.phase) == (StepKind.MARK, ReportPhase.REFUSED)
    reporter.on_written(mark, 4)
    assert reporter.next_step(501.0, Counts()) is None


def test_a_report_that_was_written_late_is_deleted():
    """Guards against a second report of a window whose row had been deleted."""
    reporter = create_reporter()
    late = StoredReport(90, {"red": 1}, version=200)
    read(reporter, late, marked(98), marked(99), true_s=501.0)
    step = reporter.next_step(501.0, Counts())
    assert (step.kind, step.report) == (StepKind.DELETE, late)


def test_a_stored_window_in_the_future_blocks_nothing():
    """Guards against a window number that jumped at an earlier holder."""
    reporter = create_reporter()
    step = reporter.next_step(501.0, Counts())
    with pytest.raises(UsageWindowOutOfRange):
        reporter.on_read(step, [marked(98), marked(5000)], 501.0)
    assert reporter.next_step(501.0, Counts()).window == 99


# Random exploration


@dataclass
class Call:
    holder: str
    token: int
    window: int
    counts: dict[str, int]


@dataclass
class Platform:
    """Checks the rules for the calls in the order in which they arrive."""

    accepted_by_window: dict[int, dict[str, int]] = field(default_factory=dict)
    calls: list[tuple[float, Call]] = field(default_factory=list)

    def receive(self, call: Call, now: float) -> None:
        first = self.accepted_by_window.setdefault(call.window, call.counts)
        assert first == call.counts, f"window {call.window} has two reports"
        for at, earlier in self.calls:
            assert earlier.token <= call.token, "a token fell"
            if earlier.token == call.token:
                assert earlier.holder == call.holder, "a token has two holders"
            if earlier.holder == call.holder and now - at < LEASE_S:
                between = {c.holder for t, c in self.calls if t >= at}
                assert between == {call.holder}, "holders A, B, A"
        self.calls.append((now, call))


class Vm:
    """A VM's reporter, and its copy of the duty's row."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.reporter = UsageReporter(
            name, window_s=WINDOW_S, late_s=LATE_S, lease_s=LEASE_S
        )
        self.counts = Counts()
        self.row = ("", 0)
        self.as_of = -100.0
        self.frozen_until = 0.0
        self.cut_until = 0.0
        self.is_busy = False

    def held_token(self, now: float) -> int:
        holder, version = self.row
        is_valid = holder == self.name and now < self.as_of + DUTY_LEASE_S
        return version if is_valid else 0


class World:
    """VMs, store and platform; faults are drawn from a seed."""

    def __init__(self, seed: int) -> None:
        self.rng = np.random.default_rng(seed)
        self.now = 1000.0
        self.vms = [Vm(name) for name in "abc"]
        self.platform = Platform()
        self.duty = ("", 0)
        self.version = 0
        self.rows: dict[int, StoredReport] = {}
        self.has_faults = True
        self.silent_until = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = count()

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self.now + delay_s, next(self._numbers), action))

    def after_on(self, vm: Vm, delay_s: float, action: Callable[[], None]) -> None:
        """Run an action on a VM, after it has resumed if it is frozen then."""

        def run() -> None:
            if vm.frozen_until > self.now:
                self.after(vm.frozen_until - self.now, run)
            else:
                action()

        self.after(delay_s, run)

    def happens(self, chance: float) -> bool:
        return self.has_faults and self.rng.random() < chance

    def run(self, duration_s: float) -> None:
        until = self.now + duration_s
        while self.now < until:
            while self._events and self._events[0][0] <= self.now:
                heapq.heappop(self._events)[2]()
            for vm in self.vms:
                if vm.frozen_until <= self.now:
                    self.tick(vm)
            if self.happens(0.004):
                self.silent_until = self.now + self.rng.uniform(1.0, 8.0)
            self.now = round(self.now + TICK_S, 3)

    def tick(self, vm: Vm) -> None:
        if self.happens(0.004):
            vm.frozen_until = self.now + self.rng.choice([0.5, 2.0, 6.0, 20.0, 70.0])
            return
        if self.happens(0.01):
            vm.cut_until = self.now + self.rng.uniform(0.5, 6.0)
        if max(vm.cut_until, self.silent_until) <= self.now:
            vm.row, vm.as_of = self.duty, self.now
            self.consider_takeover(vm)
        may_act = vm.reporter.may_act(vm.held_token(self.now), self.now)
        if may_act and not vm.is_busy:
            step = vm.reporter.next_step(self.now, vm.counts)
            if step is not None:
                vm.is_busy = True
                self.begin(vm, step)

    def consider_takeover(self, vm: Vm) -> None:
        """Take the duty over from a holder that seems lost, or for no reason."""
        holder = next((v for v in self.vms if v.name == self.duty[0]), None)
        is_lost = holder is None or self.now < max(
            holder.frozen_until, holder.cut_until
        )
        chance = 0.2 if is_lost else 0.004 if self.has_faults else 0.0
        if self.duty[0] != vm.name and self.rng.random() < chance:
            self.version += 1
            self.duty = vm.row = (vm.name, self.version)
            vm.reporter.acquire(self.version, self.now)

    def begin(self, vm: Vm, step: Step) -> None:
        if step.kind is StepKind.SKIP:
            vm.reporter.on_skipped(step)
            vm.is_busy = False
        elif step.kind is StepKind.SEND:
            delay_s = self.rng.uniform(0.0, 0.3)
            self.after_on(vm, delay_s, lambda: self.send(vm, step))
        elif self.now < max(vm.cut_until, self.silent_until):
            self.after_on(vm, STORE_TIMEOUT_S, lambda: self.fail_write(vm, step))
        elif step.kind is StepKind.READ:
            reports = list(self.rows.values())
            self.after_on(vm, 0.05, lambda: self.finish_read(vm, step, reports))
        else:
            self.write(vm, step)

    def finish_read(self, vm: Vm, step: Step, reports: list[StoredReport]) -> None:
        vm.is_busy = False
        vm.reporter.on_read(step, reports, self.now)

    def fail_write(self, vm: Vm, step: Step) -> None:
        vm.is_busy = False
        if step.kind is not StepKind.READ:
            vm.reporter.on_written(step, None)

    def write(self, vm: Vm, step: Step) -> None:
        if self.happens(0.1):
            # The answer is lost; the write takes effect at once, late, or very late.
            delay_s = self.rng.choice([0.0, 2.0, 10.0, LATE_WRITE_S])
            self.after(delay_s, lambda: self.apply(step))
            self.after_on(vm, STORE_TIMEOUT_S, lambda: self.fail_write(vm, step))
            return

        def finish() -> None:
            version = self.apply(step)
            vm.is_busy = False
            vm.reporter.on_written(step, version)

        self.after_on(vm, 0.05, finish)

    def apply(self, step: Step) -> int | None:
        row = self.rows.get(step.window)
        if (row.version if row is not None else 0) != step.report.version:
            return None
        self.version += 1
        if step.kind is StepKind.DELETE:
            del self.rows[step.window]
        else:
            self.rows[step.window] = replace(step.report, version=self.version)
        assert len(self.rows) <= MAX_ROWS
        return self.version

    def send(self, vm: Vm, step: Step) -> None:
        is_holding = vm.reporter.may_act(vm.held_token(self.now), self.now)
        if not is_holding or step.token != vm.reporter.token:
            vm.is_busy = False
            return
        counts = step.report.count_by_team
        call = Call(vm.name, step.token, step.window, counts)
        is_unanswered = self.happens(0.4)
        if not (is_unanswered and self.happens(0.3)):
            delay_s = CALL_TIMEOUT_S - 0.05 if is_unanswered else 0.02
            self.after(delay_s, lambda: self.platform.receive(call, self.now))

        def finish() -> None:
            vm.is_busy = False
            if not is_unanswered:
                vm.reporter.on_sent(step, ReportPhase.SENT)

        self.after_on(vm, CALL_TIMEOUT_S if is_unanswered else 0.04, finish)


@pytest.mark.parametrize("seed", range(40))
def test_random_failures_break_no_rule_of_the_platform(seed):
    """Guards against reports with other counts, tokens that fall, a token of two
    holders, and holders A, B, A within the lease; and against windows that are lost
    once all failures are over."""
    world = World(seed)
    world.run(1000.0)
    world.has_faults = False
    world.run(100.0)
    accepted = world.platform.accepted_by_window
    current = int(world.now // WINDOW_S)
    for window in range(current - 5, current - 1):
        assert window in accepted
