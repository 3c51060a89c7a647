"""Expected response times, by which targets are ranked for a statement.

Guards against a load pattern in which callers of one failure domain overload its own
target while others are idle. The expected time follows from recent responses of the
target and from the statements that this VM has in flight there. A small penalty for
remote targets keeps traffic in the local failure domain while that costs callers
nothing.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from guavabarrow_core.response_baseline import WorkClass

RESPONSE_SMOOTHING = 0.15
"""Weight of the newest response; the average covers about a dozen responses."""

ESTIMATE_DECAY_S = 3.0
"""An estimate that was not updated for this long has decayed to the initial one."""

INITIAL_RESPONSE_S = 0.02
REMOTE_PENALTY_S = 0.03
"""Two extra crossings between failure domains and the cost of their traffic."""

FAILURE_PENALTY_S = 0.5
"""Ranks a target that has just failed behind every other one."""


@dataclass(frozen=True, slots=True)
class ExpectedTime:
    """Parts of the expected time of a statement at one target, in s.

    Parameters
    ----------
    pace_s : float
        Time at the target.
    failures_s : float
        Penalty for recent failures.
    remote_s : float
        Penalty for a target in another failure domain.
    """

    pace_s: float
    failures_s: float
    remote_s: float

    @property
    def total_s(self) -> float:
        """Sum of the parts, in s."""
        return self.pace_s + self.failures_s + self.remote_s


class LoadEstimate(ABC):
    """Response time, load and failures of one target, as known to this VM.

    Attributes
    ----------
    response_s : float
        Average of the time from sending a statement to its response, in s.
    running : int
        Statements of this VM that are in flight or wait for a connection.
    measured_at : float
        Local time of the last response, in s.
    """

    response_s: float
    running: int
    measured_at: float

    @abstractmethod
    def record(self, response_s: float, now: float) -> None:
        """Update the estimate with the time of one response, in s."""

    @abstractmethod
    def record_failure(self, now: float) -> None:
        """Record a broken connection or a rejected statement."""

    @abstractmethod
    def record_timeout(self, waited_s: float, now: float) -> None:
        """Record that no answer arrived within ``waited_s`` after sending."""

    @abstractmethod
    def record_failed_answer(self, response_s: float, now: float) -> None:
        """Record that the target answered a statement with FAILED."""

    @abstractmethod
    def expect(
        self, now: float, work: WorkClass, *, is_local: bool, is_primary: bool
    ) -> ExpectedTime:
        """Return the expected time of a statement sent now, without its wait.

        Parameters
        ----------
        now : float
            Local time, in s.
        work : WorkClass
            Class of the statement.
        is_local, is_primary : bool
            Whether the target is in this failure domain, and is the primary.
        """

    @property
    def is_probed(self) -> bool:
        """Whether the target failed so often that it gets probes only."""
        return False

    def is_probe_due(self, now: float) -> bool:
        """Return whether a probe may be sent now."""
        return False

    @abstractmethod
    def begin_probe(self, now: float) -> None:
        """Record that a probe was chosen for this target."""


@dataclass(slots=True)
class TargetLoad(LoadEstimate):
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

    def record_timeout(self, waited_s: float, now: float) -> None:
        """Record a time-out as a failure, however long the target had."""
        self.record_failure(now)

    def record_failed_answer(self, response_s: float, now: float) -> None:
        """Record it as any response: only hosts avoid targets for their answers."""
        self.record(response_s, now)

    def begin_probe(self, now: float) -> None:
        """Do nothing, because this target is never only probed."""

    def expected_s(self, now: float, *, is_local: bool) -> float:
        """Return the expected time of a statement sent now, in s."""
        return self._expect(now, is_local=is_local).total_s

    def expect(
        self, now: float, work: WorkClass, *, is_local: bool, is_primary: bool
    ) -> ExpectedTime:
        """Return the parts of the expected time, the same for all classes."""
        return self._expect(now, is_local=is_local)

    def _expect(self, now: float, *, is_local: bool) -> ExpectedTime:
        base = self._current(now) * (1.0 + 0.5 * self.running)
        since_failure = now - self.failed_at
        penalty = max(0.0, FAILURE_PENALTY_S - since_failure)
        return ExpectedTime(base, penalty, 0.0 if is_local else REMOTE_PENALTY_S)

    def _current(self, now: float) -> float:
        age = max(0.0, now - self.measured_at)
        weight = max(0.0, 1.0 - age / ESTIMATE_DECAY_S)
        return INITIAL_RESPONSE_S + weight * (self.response_s - INITIAL_RESPONSE_S)
