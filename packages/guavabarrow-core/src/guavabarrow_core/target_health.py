"""Recent failures of a target whose health check is good.

A target that fails part of its statements isn't avoided by response times: failed
statements may even be fast. Above a bound it gets single probes, and more the more of
them succeed in a row, until it counts as normal again.
"""

from __future__ import annotations

from collections import deque

FAILURE_WINDOW_S = 3.0
"""Time over which failures are counted: a few dozen statements."""

MIN_FAILURES = 3
MAX_FAILURE_FRACTION = 0.2
"""Bound above which a target gets probes only. Two failures are also seen when one
statement is wrong and tried again."""

PROBE_INTERVAL_S = 0.3
"""Time between the first probes; it shrinks with each success in a row."""

SUCCESSES_TO_REINSTATE = 10
"""A target that fails three statements in ten passes once in 35 attempts."""


class TargetHealth:
    """Whether a target answers, as seen by the statements of this VM.

    Attributes
    ----------
    is_probed : bool
        Whether it gets probes only.

    Examples
    --------
    >>> health = TargetHealth()
    >>> for number in range(3):
    ...     health.record(0.1 * number, is_failure=True)
    >>> health.is_probed, health.is_probe_due(0.3, running=0)
    (True, True)
    """

    def __init__(self) -> None:
        self.is_probed = False
        self._outcomes: deque[tuple[float, bool]] = deque()
        self._successes = 0
        self._next_probe_at = float("-inf")

    def record(self, now: float, *, is_failure: bool) -> None:
        """Record the outcome of one statement."""
        self._outcomes.append((now, is_failure))
        if self.is_probed:
            self._successes = 0 if is_failure else self._successes + 1
            if self._successes >= SUCCESSES_TO_REINSTATE:
                self.is_probed = False
                self._outcomes.clear()
            return
        failures = self._failure_count(now)
        if failures >= MIN_FAILURES and self.fraction(now) > MAX_FAILURE_FRACTION:
            self.is_probed = True
            self._successes = 0

    def fraction(self, now: float) -> float:
        """Return the fraction of recent statements that failed, 0 without any."""
        failures = self._failure_count(now)
        return failures / len(self._outcomes) if self._outcomes else 0.0

    def is_probe_due(self, now: float, running: int) -> bool:
        """Return whether one more statement may be sent while ``running`` run."""
        return now >= self._next_probe_at and running <= self._successes

    def begin_probe(self, now: float) -> None:
        """Record that a probe is sent."""
        self._next_probe_at = now + PROBE_INTERVAL_S / (1 + self._successes)

    def _failure_count(self, now: float) -> int:
        while self._outcomes and now - self._outcomes[0][0] > FAILURE_WINDOW_S:
            self._outcomes.popleft()
        return sum(is_failure for _, is_failure in self._outcomes)
