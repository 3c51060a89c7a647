"""Response time of each class of statements at a target that isn't loaded.

Response times of different classes aren't comparable: a route whose statements take
40 ms would look like a slow target beside one of 5 ms. Each response is therefore
divided by the baseline of its class, and the quotients of all classes are compared.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from math import exp

BASELINE_QUANTILE = 0.3
"""Low quantile, so that the few statements that take several times the mean don't
count; the recent quotients are compared at the same quantile, so the spread of the
response times cancels out."""

MAX_LIGHT_SAMPLES = 64
MAX_LIGHT_AGE_S = 6.0
"""Samples without load that form the baseline, of some seconds: more make its error
smaller, and older ones delay its rise at a target that became slower at any load."""

MIN_LIGHT_SAMPLES = 8
"""With fewer samples a baseline that exists is kept."""

DRIFT_PER_S = 0.005
"""Relative rise of a baseline in each second without samples that confirm it. Faster
drift would take a lasting overload for the normal state."""

SOUND_DRIFT_PER_S = 0.02
"""Relative rise of the time of a sound target towards the baseline in each second: a
target that is slow for a minute is tried again now and then, one that stays slow isn't.
"""


class WorkKind(Enum):
    """What a statement does at a target."""

    READ = "read"
    WRITE = "write"
    COMMIT = "commit"


@dataclass(frozen=True, slots=True)
class WorkClass:
    """Statements whose response times are comparable.

    Parameters
    ----------
    kind : WorkKind
        What the statement does.
    objective_s : float
        Latency objective of its route, in s, which tells cheap from costly routes.
    """

    kind: WorkKind
    objective_s: float


def low_quantile(values: list[float]) -> float:
    """Return the ``BASELINE_QUANTILE`` of values, which must not be empty.

    Examples
    --------
    >>> low_quantile([5.0, 1.0, 2.0, 3.0, 4.0])
    2.2
    """
    ordered = sorted(values)
    rank = BASELINE_QUANTILE * (len(ordered) - 1)
    lower = int(rank)
    upper = min(lower + 1, len(ordered) - 1)
    return ordered[lower] + (rank - lower) * (ordered[upper] - ordered[lower])


@dataclass(slots=True)
class ResponseBaseline:
    """Baseline of one class at one target.

    Parameters
    ----------
    baseline_s : float
        Recent response time without load, in s; 0 until the first sample.
    sound_s : float
        Lowest baseline of the last minute, in s: what to expect of a target that was
        slow when it was last used.
    """

    baseline_s: float = 0.0
    sound_s: float = 0.0
    _drifted_at: float = 0.0
    _light: deque[tuple[float, float]] = field(default_factory=deque)
    _changed_at: float = 0.0

    def record(self, response_s: float, now: float, *, is_light: bool) -> None:
        """Add a sample.

        Parameters
        ----------
        response_s : float
            Response time, in s.
        now : float
            Local time, in s.
        is_light : bool
            Whether the target ran few statements; others can't raise the baseline,
            except for the slow drift.
        """
        if is_light or not self._is_settled:
            self._light.append((now, response_s))
            self._drop_old(now)
            if len(self._light) >= MIN_LIGHT_SAMPLES or not self.baseline_s:
                self.baseline_s = low_quantile([value for _, value in self._light])
                self._changed_at = now
                self._follow_sound(now)
            return
        if response_s > self.baseline_s:
            self.baseline_s *= exp(DRIFT_PER_S * max(0.0, now - self._changed_at))
        self._changed_at = now

    def _follow_sound(self, now: float) -> None:
        elapsed_s = max(0.0, now - self._drifted_at)
        self._drifted_at = now
        if not self._is_settled or not self.sound_s:
            self.sound_s = self.baseline_s
        else:
            drifted_s = self.sound_s * exp(SOUND_DRIFT_PER_S * elapsed_s)
            self.sound_s = min(self.baseline_s, drifted_s)

    def rescale(self, factor: float) -> None:
        """Multiply the baseline, because the target's speed changed at any load."""
        self.baseline_s *= factor
        self._light = deque((at, value * factor) for at, value in self._light)

    @property
    def _is_settled(self) -> bool:
        return len(self._light) >= MIN_LIGHT_SAMPLES

    def _drop_old(self, now: float) -> None:
        while len(self._light) > MAX_LIGHT_SAMPLES or (
            len(self._light) > MIN_LIGHT_SAMPLES
            and now - self._light[0][0] > MAX_LIGHT_AGE_S
        ):
            self._light.popleft()
