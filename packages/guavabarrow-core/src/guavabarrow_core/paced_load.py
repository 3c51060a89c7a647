"""Window and load estimate of a target of a hosted service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavabarrow_core.send_window import ConcurrencyWindow
from guavabarrow_core.target_health import TargetHealth
from guavabarrow_core.target_load import (
    FAILURE_PENALTY_S,
    REMOTE_PENALTY_S,
    RESPONSE_SMOOTHING,
    ExpectedTime,
    LoadEstimate,
)
from guavabarrow_core.target_pace import INITIAL_RESPONSE_S, TargetPace

if TYPE_CHECKING:
    from guavabarrow_core.response_baseline import WorkClass
    from guavabarrow_core.target_pace import PaceSample

BUSY_WEIGHT = 0.5
"""Relative increase of the expected time at a target that all hosts use up to its
limit; statements spread before response times show the load."""

PRIMARY_BUSY_WEIGHT = 2.0
"""The same for reads at a primary, which leave it first: writes have no other target.
"""

RETRY_COST_S = 0.05
"""Time that a failed read costs: it is run again elsewhere. A larger cost would keep
all reads away after a single failure, so that neither the fraction of failures nor the
recovery could be measured."""

FAIR_TIMEOUT_FACTOR = 4.0
"""A time-out counts as a failure of the target only if the statement had this many
times the usual response time; others ran out of time in a queue."""


class PacedWindow(ConcurrencyWindow):
    """Window that is this VM's share of a learned limit.

    Parameters
    ----------
    pace : TargetPace
        What was learned about the target.
    """

    def __init__(self, pace: TargetPace) -> None:
        self.pace = pace
        self.size = float(pace.share)

    def set_part(self, part: int, weight: float) -> None:
        """Set this VM's part of the limit; see :meth:`TargetPace.set_part`."""
        self.pace.set_part(part, weight)
        self.size = float(self.pace.share)

    def allows(self, running: int) -> bool:
        """Return whether a statement may be sent while ``running`` others run."""
        return running < self.size

    def on_answer(self, response_s: float, sample: PaceSample | None = None) -> None:
        """Learn from an answer; one whose class isn't known is ignored."""
        if sample is not None:
            self.pace.on_answer(sample)
            self.size = float(self.pace.share)

    def on_refused(self, now: float = 0.0) -> None:
        """Shrink the limit after a refusal because the target was full."""
        self.pace.on_refused(now)
        self.size = float(self.pace.share)

    def wait_s(self, waiting: int, response_s: float) -> float:
        """Return the expected wait of a statement behind ``waiting`` others, in s."""
        return waiting * response_s / self.size


class PacedLoad(LoadEstimate):
    """Expected times by class, and failures, of one target.

    Parameters
    ----------
    pace : TargetPace
        What was learned about the target.
    running : int
        Statements of this VM that are in flight or wait for a connection.
    """

    def __init__(self, pace: TargetPace, running: int = 0) -> None:
        self.pace = pace
        self.health = TargetHealth()
        self.running = running
        self.response_s = INITIAL_RESPONSE_S
        self.measured_at = float("-inf")
        self._unreachable_at = float("-inf")

    def record(self, response_s: float, now: float) -> None:
        """Record a good answer and update the average that waits are computed from."""
        self.response_s += RESPONSE_SMOOTHING * (response_s - self.response_s)
        self.measured_at = now
        self.health.record(now, is_failure=False)

    def record_failure(self, now: float) -> None:
        """Record a broken connection, or a target that can't be reached."""
        self._unreachable_at = now
        self.health.record(now, is_failure=True)

    def record_timeout(self, waited_s: float, now: float) -> None:
        """Record a time-out, if the target had time enough."""
        if waited_s >= FAIR_TIMEOUT_FACTOR * self.response_s:
            self.health.record(now, is_failure=True)

    def record_failed_answer(self, response_s: float, now: float) -> None:
        """Record a failure; its response time tells nothing about the speed."""
        self.measured_at = now
        self.health.record(now, is_failure=True)

    def expect(
        self, now: float, work: WorkClass, *, is_local: bool, is_primary: bool
    ) -> ExpectedTime:
        """Return the expected time of a statement, without its wait."""
        weight = PRIMARY_BUSY_WEIGHT if is_primary else BUSY_WEIGHT
        busy = (self.running + self.pace.peers_running) / self.pace.limit
        pace_s = self.pace.response_s(work, now) * (1.0 + weight * busy)
        since_s = now - self._unreachable_at
        penalty_s = max(
            RETRY_COST_S * self.health.fraction(now), FAILURE_PENALTY_S - since_s
        )
        return ExpectedTime(pace_s, penalty_s, 0.0 if is_local else REMOTE_PENALTY_S)

    @property
    def is_probed(self) -> bool:
        """Whether the target failed so often that it gets probes only."""
        return self.health.is_probed

    def is_probe_due(self, now: float) -> bool:
        """Return whether a probe may be sent now."""
        return self.health.is_probe_due(now, self.running)

    def begin_probe(self, now: float) -> None:
        """Record that a probe was chosen for this target."""
        self.health.begin_probe(now)
