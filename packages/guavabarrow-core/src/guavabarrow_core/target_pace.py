"""Learned limit of the statements that run concurrently at one target.

The limit is a gradient limit with additive probing. Response times are compared with
those of the same class at light load (``response_baseline``). While the window is in
use and responses are as fast as without load, the limit grows; when statements sent at
a high concurrency take longer, it shrinks in proportion. Between both bounds it is
held, so that it doesn't oscillate. It grows fast until answers first become slower, and
after a decrease up to the former limit. Beyond, each step needs answers to statements
that were sent after the one before. A target that is slow at light load, too, isn't
helped by a smaller limit: its baseline rises instead, and reads are sent elsewhere.

All hosts of a service send to the same targets, so the limit and the concurrency are
those of all hosts together.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from math import exp, inf, sqrt

from guavabarrow_core.response_baseline import (
    ResponseBaseline,
    WorkClass,
    WorkKind,
    low_quantile,
)

__all__ = ["PaceSample", "TargetPace", "WorkClass", "WorkKind"]

MIN_LIMIT = 1.0
MAX_LIMIT = 64.0

LIGHT_FRACTION = 0.6
"""Fraction of the limit up to which a statement counts as sent without load."""

RECENT_S = 1.6
MAX_RECENT_SAMPLES = 128
MIN_RECENT_SAMPLES = 10
"""Samples that are compared with the baseline: at a dozen to sixty statements a second
these are enough for a quantile within two seconds, and one long statement doesn't move
it."""

EVALUATE_INTERVAL_S = 0.25
FAST_RATIO = 1.15
"""Ratio to the baseline below which the limit may grow."""

SLOW_RATIO = 1.35
CHANCE = 1.8
"""The limit shrinks above ``SLOW_RATIO * exp(CHANCE / sqrt(samples))``: nearly three
standard errors of the low quantile of log-normal times, as at a dozen samples chance
alone can give one and a half times the baseline. Under steady load the limit stays
between both bounds."""

LANDING_RATIO = 1.45
"""Ratio that a decrease aims at."""

MAX_DECREASE = 0.7
"""Strongest change of the limit in one evaluation, and that after a refusal."""

FIRST_STEP = 0.25
MAX_STEP = 0.5
"""Steps of the growth, doubled while a former limit is regained. With 0.35 at most, a
limit that was halved is not regained within two seconds."""

LOWER_LIMIT = 0.1
"""Difference from which the joint limit is lower than the own one; digests are rounded
to it."""

FULL_FRACTION = 0.9
"""Fraction of the limit from which it counts as used."""

MIN_FULL_FRACTION = 0.5
"""Fraction of the recent statements that must have been sent while the limit was used
for it to grow: a limit that isn't reached can't be judged."""

TRIAL_FACTOR = 0.6
HELPED_RATIO = 0.8
"""A limit that shrank to ``TRIAL_FACTOR`` has helped if answers then take at most
``HELPED_RATIO`` of the time before. A queue at the target shrinks with the limit; a
target that is slow at any load answers as before."""

FASTER_RATIO = 0.85
"""Ratio to the baseline below which, less the same allowance for chance, the target has
become faster at any load."""

SLOWDOWN_DECAY_S = 1.5
"""Time without answers after which a target is expected to be sound, so that a read
tries it again."""

PRIOR_SAMPLES = 2
"""Samples at the baseline that are added to the recent ones: the first answers after a
pause, one of which may be a long statement, don't make a target slow."""

INITIAL_RESPONSE_S = 0.02

DIVISION_S = 0.7
"""Time for which a division of the limit holds: the interval of the heartbeats."""


@dataclass(frozen=True, slots=True)
class PaceSample:
    """One answer of a target.

    Parameters
    ----------
    work : WorkClass
        Class of the statement.
    response_s : float
        Time from sending it to the answer, in s.
    now : float
        Local time of the answer, in s.
    running : int
        Statements of this VM at the target when it was sent, with itself.
    """

    work: WorkClass
    response_s: float
    now: float
    running: int


@dataclass(frozen=True, slots=True)
class _Quotient:
    """A response time divided by its baseline, and how it was measured."""

    now: float
    ratio: float
    is_light: bool
    is_full: bool


@dataclass(frozen=True, slots=True)
class _Trial:
    """Whether a smaller limit makes answers faster.

    Parameters
    ----------
    limit : float
        Limit before it shrank.
    measured_limit, ratio : float
        A smaller limit, and the ratio to the baseline at that limit alone; 0 until it
        was measured.
    """

    limit: float
    measured_limit: float = 0.0
    ratio: float = 0.0


class TargetPace:
    """Concurrency limit and speed of one target, learned from its answers.

    Parameters
    ----------
    limit : float
        Initial limit: the slots that the target has registered, up to ``MAX_LIMIT``.

    Attributes
    ----------
    limit : float
        Statements of all hosts up to which response times stay good.
    peers_running : float
        Statements of the other hosts at the target.
    """

    def __init__(self, limit: float) -> None:
        self.limit = min(MAX_LIMIT, max(MIN_LIMIT, limit))
        self.peers_running = 0.0
        self._part = max(1, round(self.limit))
        self._weight = 1.0
        self._divided_limit = self.limit
        self._step = FIRST_STEP
        self._regain_limit = inf
        self._has_grown = True
        self._changed_at = float("-inf")
        self._evaluated_at = float("-inf")
        self._refused_at = float("-inf")
        self._answered_at = float("-inf")
        self._trial: _Trial | None = None
        self._baseline_by_work: dict[WorkClass, ResponseBaseline] = {}
        self._recent: deque[_Quotient] = deque()
        self._busy: deque[tuple[float, float]] = deque()
        self._mean_response_s = INITIAL_RESPONSE_S

    @property
    def share(self) -> int:
        """Statements that this VM may run: its part, and its weight of what changed."""
        change = self._weight * (self.limit - self._divided_limit)
        return max(1, self._part + round(change))

    def set_part(self, part: int, weight: float) -> None:
        """Set this VM's part of the present limit.

        Parameters
        ----------
        part : int
            Statements that it may run.
        weight : float
            Its fraction of the demand, and so of later changes of the limit.
        """
        self._part = part
        self._weight = weight
        self._divided_limit = self.limit

    def on_answer(self, sample: PaceSample) -> None:
        """Update the estimates with an answer that counts towards the speed."""
        now = sample.now
        running = sample.running + self.peers_running
        is_light = running <= max(1.0, LIGHT_FRACTION * self.limit)
        baseline = self._baseline_by_work.setdefault(sample.work, ResponseBaseline())
        baseline.record(sample.response_s, now, is_light=is_light)
        self._answered_at = now
        self._busy.append((now, sample.response_s))
        ratio = sample.response_s / baseline.baseline_s
        is_full = running >= FULL_FRACTION * self.limit
        if now - sample.response_s >= self._changed_at:
            self._recent.append(_Quotient(now, ratio, is_light, is_full))
        self._drop_old(now)
        if now - self._evaluated_at >= EVALUATE_INTERVAL_S:
            self._evaluate(now)

    def on_refused(self, now: float) -> None:
        """Shrink the limit because the target's queue was full.

        Refusals that follow within ``EVALUATE_INTERVAL_S`` are of the same queue.
        """
        if now - self._refused_at >= EVALUATE_INTERVAL_S:
            self._refused_at = now
            self._begin_decrease()
            self._set_limit(self.limit * MAX_DECREASE, now)

    def follow(self, limit: float) -> None:
        """Adopt part of the limit that all hosts found; see ``pace_share``."""
        if limit <= self.limit - LOWER_LIMIT:
            self._end_search(limit)
        self.limit = min(MAX_LIMIT, max(MIN_LIMIT, limit))

    def slowdown(self, now: float) -> float:
        """Return the recent response time in units of the baseline."""
        self._drop_old(now)
        if not self._recent:
            return 1.0
        ratios = [quotient.ratio for quotient in self._recent]
        # A fast answer shows what the target can do, a slow one may be a long one.
        return min(low_quantile(ratios), low_quantile(ratios + [1.0] * PRIOR_SAMPLES))

    def response_s(self, work: WorkClass, now: float) -> float:
        """Return the expected time of a statement at the target, in s.

        For a class without samples here the mean of the other classes is used.
        """
        weight = max(0.0, 1.0 - (now - self._answered_at) / SLOWDOWN_DECAY_S)
        known = self._baseline_by_work
        baselines = [known[work]] if work in known else list(known.values())
        if not baselines:
            return INITIAL_RESPONSE_S
        sound_s = sum(baseline.sound_s for baseline in baselines) / len(baselines)
        base_s = sum(baseline.baseline_s for baseline in baselines) / len(baselines)
        return sound_s + weight * (base_s * self.slowdown(now) - sound_s)

    def mean_running(self, now: float) -> float:
        """Return this VM's mean concurrency at the target in the last second."""
        while self._busy and now - self._busy[0][0] > 1.0:
            self._busy.popleft()
        return sum(response_s for _, response_s in self._busy)

    def demand(self, waiting: int, now: float) -> float:
        """Return the concurrency that this VM needs until the next division.

        Parameters
        ----------
        waiting : int
            Statements that it holds back from the target.
        now : float
            Local time, in s.

        Returns
        -------
        float
            Mean of the running statements, plus the concurrency that serves the waiting
            ones within ``DIVISION_S``.
        """
        running = self.mean_running(now)
        if self._busy:
            self._mean_response_s = running / len(self._busy)
        return running + waiting * self._mean_response_s / DIVISION_S

    def _evaluate(self, now: float) -> None:
        self._evaluated_at = now
        if len(self._recent) < MIN_RECENT_SAMPLES:
            return
        ratio_of_all = low_quantile([quotient.ratio for quotient in self._recent])
        chance = exp(CHANCE / sqrt(len(self._recent)))
        if ratio_of_all < FASTER_RATIO / chance:
            self._rescale_baselines(ratio_of_all)
            return
        loaded = [quotient.ratio for quotient in self._recent if not quotient.is_light]
        if len(loaded) < MIN_RECENT_SAMPLES:
            return
        ratio = low_quantile(loaded)
        if ratio > SLOW_RATIO * exp(CHANCE / sqrt(len(loaded))):
            self._on_slow(ratio, now)
            return
        self._trial = None
        if ratio < FAST_RATIO:
            self._grow(now)
        else:
            self._step = FIRST_STEP
            self._end_search(self.limit)

    def _end_search(self, limit: float) -> None:
        """End the fast growth of the beginning, which has no limit to regain."""
        if self._regain_limit == inf:
            self._regain_limit = limit

    def _begin_decrease(self) -> None:
        """Take the present limit for the one to regain, unless it is shrinking."""
        if self._has_grown:
            self._has_grown = False
            self._regain_limit = self.limit

    def _on_slow(self, ratio: float, now: float) -> None:
        """Shrink the limit, or restore it if shrinking doesn't make answers faster."""
        self._begin_decrease()
        trial = self._trial
        if trial is None:
            # The samples may also be of the time before the target became slow.
            self._trial = _Trial(self.limit)
        elif not trial.ratio:
            self._trial = _Trial(trial.limit, self.limit, ratio)
        elif self.limit <= max(1.5, TRIAL_FACTOR * trial.measured_limit):
            if ratio > HELPED_RATIO * trial.ratio:
                self._trial = None
                self._rescale_baselines(ratio)
                self._set_limit(trial.limit, now)
                return
            self._trial = _Trial(trial.limit, self.limit, ratio)
        self._set_limit(self.limit * max(MAX_DECREASE, LANDING_RATIO / ratio), now)

    def _grow(self, now: float) -> None:
        """Increase the limit if it is used."""
        recent = self._recent
        full_count = sum(quotient.is_full for quotient in recent)
        if full_count < MIN_FULL_FRACTION * len(recent):
            self._step = FIRST_STEP
            return
        self._has_grown = True
        limit = min(MAX_LIMIT, self.limit + self._step)
        if self.limit < self._regain_limit:
            self.limit = limit
            self._step = min(MAX_STEP, 2.0 * self._step)
        else:
            self._set_limit(limit, now)

    def _rescale_baselines(self, factor: float) -> None:
        for baseline in self._baseline_by_work.values():
            baseline.rescale(factor)
        self._recent.clear()

    def _set_limit(self, limit: float, now: float) -> None:
        self.limit = max(MIN_LIMIT, limit)
        self._step = FIRST_STEP
        # Answers to statements sent before the change tell nothing about the new limit.
        self._changed_at = now
        self._recent.clear()

    def _drop_old(self, now: float) -> None:
        while self._recent and (
            len(self._recent) > MAX_RECENT_SAMPLES
            or now - self._recent[0].now > RECENT_S
        ):
            self._recent.popleft()
