"""Which target runs a statement.

Pattern: callers of one failure domain press on its own target while others are idle.
Each target is ranked by the time that it is expected to need, from its recent answers
and from what this VM already has under way there; a small preference keeps traffic in
the own failure domain while that costs the caller nothing.
"""

from __future__ import annotations

from dataclasses import dataclass

RESPONSE_SMOOTHING = 0.15
"""Weight of the newest answer; about a dozen answers are remembered."""

FORGET_S = 3.0
"""An estimate not refreshed for this long has decayed to the initial one."""

INITIAL_RESPONSE_S = 0.02
REMOTE_PENALTY_S = 0.03
"""Two extra crossings between failure domains and the price of their bytes."""

FAILURE_PENALTY_S = 0.5
"""Keeps a target that just failed behind every other one."""


@dataclass(slots=True)
class TargetLoad:
    """What this VM knows of one target's speed.

    Parameters
    ----------
    response_s : float
        Smoothed time from sending a statement to its answer.
    running : int
        Statements of this VM that are under way or wait for a connection.
    """

    response_s: float = INITIAL_RESPONSE_S
    running: int = 0
    measured_at: float = float("-inf")
    failed_at: float = float("-inf")

    def record(self, response_s: float, now: float) -> None:
        """Take the time of one answer."""
        self.response_s = self._current(now) + RESPONSE_SMOOTHING * (
            response_s - self._current(now)
        )
        self.measured_at = now

    def record_failure(self, now: float) -> None:
        """Note a broken connection or a refusal."""
        self.failed_at = now

    def expected_s(self, now: float, *, is_local: bool) -> float:
        """Return the expected time of a statement sent now, in s."""
        base = self._current(now) * (1.0 + 0.5 * self.running)
        since_failure = now - self.failed_at
        penalty = max(0.0, FAILURE_PENALTY_S - since_failure)
        return base + penalty + (0.0 if is_local else REMOTE_PENALTY_S)

    def _current(self, now: float) -> float:
        age = max(0.0, now - self.measured_at)
        weight = max(0.0, 1.0 - age / FORGET_S)
        return INITIAL_RESPONSE_S + weight * (self.response_s - INITIAL_RESPONSE_S)
