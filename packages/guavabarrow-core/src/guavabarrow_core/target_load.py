"""Expected response times, by which targets are ranked for a statement.

Guards against a load pattern in which callers of one failure domain overload its own
target while others are idle. The expected time follows from recent responses of the
target and from the statements that this VM has in flight there. A small penalty for
remote targets keeps traffic in the local failure domain while that costs callers
nothing.
"""

from __future__ import annotations

from dataclasses import dataclass

RESPONSE_SMOOTHING = 0.15
"""Weight of the newest response; the average covers about a dozen responses."""

ESTIMATE_DECAY_S = 3.0
"""An estimate that was not updated for this long has decayed to the initial one."""

INITIAL_RESPONSE_S = 0.02
REMOTE_PENALTY_S = 0.03
"""Two extra crossings between failure domains and the cost of their traffic."""

FAILURE_PENALTY_S = 0.5
"""Ranks a target that has just failed behind every other one."""


@dataclass(slots=True)
class TargetLoad:
    """Response time and load of one target, as measured by this VM.

    Parameters
    ----------
    response_s : float
        Moving average of the time from sending a statement to its response, in s.
    running : int
        Statements of this VM that are in flight or wait for a connection.
    """

    response_s: float = INITIAL_RESPONSE_S
    running: int = 0
    measured_at: float = float("-inf")
    failed_at: float = float("-inf")

    def record(self, response_s: float, now: float) -> None:
        """Update the estimate with the time of one response, in s."""
        self.response_s = self._current(now) + RESPONSE_SMOOTHING * (
            response_s - self._current(now)
        )
        self.measured_at = now

    def record_failure(self, now: float) -> None:
        """Record a broken connection or a rejected statement."""
        self.failed_at = now

    def expected_s(self, now: float, *, is_local: bool) -> float:
        """Return the expected time of a statement sent now, in s."""
        base = self._current(now) * (1.0 + 0.5 * self.running)
        since_failure = now - self.failed_at
        penalty = max(0.0, FAILURE_PENALTY_S - since_failure)
        return base + penalty + (0.0 if is_local else REMOTE_PENALTY_S)

    def _current(self, now: float) -> float:
        age = max(0.0, now - self.measured_at)
        weight = max(0.0, 1.0 - age / ESTIMATE_DECAY_S)
        return INITIAL_RESPONSE_S + weight * (self.response_s - INITIAL_RESPONSE_S)
