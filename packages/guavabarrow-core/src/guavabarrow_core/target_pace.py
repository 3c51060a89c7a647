"""Learned limit of the statements that run concurrently at one target.

The limit is a gradient limit with additive probing. Response times are compared with
those of the same class at light load (``response_baseline``). While the window is in
use and responses are as fast as without load, the limit grows; when statements sent at
a high concurrency take longer, it shrinks in proportion. Between both bounds it is
held, so that it doesn't oscillate. A target that is slow at light load, too, isn't
helped by a smaller limit: its baseline rises instead, and reads are sent elsewhere.

All hosts of a service send to the same targets, so the limit and the concurrency are
those of all hosts together.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from guavabarrow_core.response_baseline import (
    ResponseBaseline,
    WorkClass,
    WorkKind,
    low_quantile,
)

__all__ = ["PaceSample", "TargetPace", "WorkClass", "WorkKind"]

MIN_LIMIT = 1.0
MAX_LIMIT = 64.0

LIGHT_FRACTION = 0.4
"""Fraction of the limit up to which a statement counts as sent without load."""

RECENT_S = 1.2
MAX_RECENT_SAMPLES = 96
MIN_RECENT_SAMPLES = 10
"""Samples that are compared with the baseline: at a dozen to sixty statements a second
these are enough for a quantile within two seconds, and one long statement doesn't move
it."""

EVALUATE_INTERVAL_S = 0.25
FAST_RATIO = 1.15
"""Ratio to the baseline below which the limit may grow."""

SLOW_RATIO = 1.5
"""Ratio above which it shrinks. The distance of both is several times the standard
error of the ratio, so that the limit stays between them under steady load."""

LANDING_RATIO = 1.25
"""Ratio that a decrease aims at."""

MAX_DECREASE = 0.7
"""Strongest change of the limit in one evaluation, and that after a refusal."""

FIRST_STEP = 0.25
MAX_STEP = 1.0
"""Steps of the growth, doubled while it goes on: small under steady load, but a limit
that was halved is regained within two seconds."""

FULL_FRACTION = 0.75
"""Fraction of the limit from which it counts as used."""

MIN_FULL_FRACTION = 0.5
"""Fraction of the recent statements that must have been sent while the limit was used
for it to grow: a limit that isn't reached can't be judged."""

HELPED_RATIO = 0.85
"""A smaller limit has helped if responses take at most this fraction of the time
before. The limit shrinks by up to 0.7, and a queue with it."""

FASTER_RATIO = 0.75
"""Ratio to the baseline at which the target has become faster at any load."""

SLOWDOWN_DECAY_S = 1.5
"""Time without answers after which a target is expected to be as fast as its baseline,
so that a read tries it again."""

PRIOR_SAMPLES = 2
"""Samples at the baseline that are added to the recent ones: the first answers after a
pause, one of which may be a long statement, don't make a target slow."""

INITIAL_RESPONSE_S = 0.02


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

    ``limit`` is the one before it shrank, ``ratio`` the ratio to the baseline at the
    limit before the last decrease; None if it wasn't measured at that limit alone.
    """

    limit: float
    ratio: float | None


class TargetPace:
    """Concurrency limit and speed of one target, learned from its answers.

    Parameters
    ----------
    limit : float
        Initial limit: the slots that the target has registered.

    Attributes
    ----------
    limit : float
        Statements of all hosts up to which response times stay good.
    peers_running : float
        Statements of the other hosts at the target.
    """

    def __init__(self, limit: float) -> None:
        self.limit = max(MIN_LIMIT, limit)
        self.peers_running = 0.0
        self._part = max(1, round(self.limit))
        self._weight = 1.0
        self._divided_limit = self.limit
        self._step = FIRST_STEP
        self._changed_at = float("-inf")
        self._evaluated_at = float("-inf")
        self._refused_at = float("-inf")
        self._answered_at = float("-inf")
        self._trial: _Trial | None = None
        self._baseline_by_work: dict[WorkClass, ResponseBaseline] = {}
        self._recent: deque[_Quotient] = deque()
        self._busy: deque[tuple[float, float]] = deque()

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
            self._set_limit(self.limit * MAX_DECREASE, now)

    def follow(self, limit: float) -> None:
        """Adopt part of the limit that all hosts found; see ``pace_share``."""
        self.limit = min(MAX_LIMIT, max(MIN_LIMIT, limit))

    def slowdown(self, now: float) -> float:
        """Return the recent response time in units of the baseline, at least 1."""
        self._drop_old(now)
        age_s = now - self._answered_at
        weight = max(0.0, 1.0 - age_s / SLOWDOWN_DECAY_S)
        if not self._recent or not weight:
            return 1.0
        ratios = [quotient.ratio for quotient in self._recent]
        measured = low_quantile(ratios + [1.0] * PRIOR_SAMPLES)
        return 1.0 + weight * (max(1.0, measured) - 1.0)

    def response_s(self, work: WorkClass, now: float) -> float:
        """Return the expected time of a statement at the target, in s.

        For a class without samples here the mean of the other classes is used.
        """
        baseline = self._baseline_by_work.get(work)
        if baseline is not None:
            base_s = baseline.baseline_s
        elif self._baseline_by_work:
            known = [b.baseline_s for b in self._baseline_by_work.values()]
            base_s = sum(known) / len(known)
        else:
            base_s = INITIAL_RESPONSE_S
        return base_s * self.slowdown(now)

    def mean_running(self, now: float) -> float:
        """Return this VM's mean concurrency at the target in the last second."""
        while self._busy and now - self._busy[0][0] > 1.0:
            self._busy.popleft()
        return sum(response_s for _, response_s in self._busy)

    def _evaluate(self, now: float) -> None:
        self._evaluated_at = now
        if len(self._recent) < MIN_RECENT_SAMPLES:
            return
        ratio_of_all = low_quantile([quotient.ratio for quotient in self._recent])
        if ratio_of_all < FASTER_RATIO:
            self._rescale_baselines(ratio_of_all)
            return
        loaded = [quotient.ratio for quotient in self._recent if not quotient.is_light]
        if len(loaded) < MIN_RECENT_SAMPLES:
            return
        ratio = low_quantile(loaded)
        if ratio > SLOW_RATIO:
            self._on_slow(ratio, now)
            return
        self._trial = None
        if ratio < FAST_RATIO:
            self._grow()
        else:
            self._step = FIRST_STEP

    def _on_slow(self, ratio: float, now: float) -> None:
        """Shrink the limit, or restore it if shrinking doesn't make answers faster."""
        trial = self._trial
        if trial is None:
            # The samples may also be of the time before the target became slow.
            self._trial = _Trial(self.limit, None)
        elif trial.ratio is None or ratio < HELPED_RATIO * trial.ratio:
            self._trial = _Trial(trial.limit, ratio)
        else:
            self._trial = None
            self._rescale_baselines(ratio)
            self._set_limit(trial.limit, now)
            return
        self._set_limit(self.limit * max(MAX_DECREASE, LANDING_RATIO / ratio), now)

    def _grow(self) -> None:
        recent = self._recent
        full_count = sum(quotient.is_full for quotient in recent)
        if full_count < MIN_FULL_FRACTION * len(recent):
            self._step = FIRST_STEP
            return
        self.limit = min(MAX_LIMIT, self.limit + self._step)
        self._step = min(MAX_STEP, 2.0 * self._step)

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
