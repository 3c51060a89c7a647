"""Service-level objectives and the burn rates of their error budgets.

Source of the thresholds: Beyer et al., "The Site Reliability Workbook", 2018,
chapter 5, "Alerting on SLOs".
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum

FAST_BURN = 14.4
SLOW_BURN = 3.0
SHORT_WINDOW_FRACTION = 1 / 12


class Alert(Enum):
    """Action required of an operator."""

    NONE = "none"
    SLOW_BURN = "slow burn: look today"
    FAST_BURN = "fast burn: act now"


@dataclass(frozen=True, slots=True)
class Objective:
    """Target fraction of good responses.

    Parameters
    ----------
    name : str
        Display name.
    target : float
        Fraction of good responses, below 1.
    """

    name: str
    target: float


@dataclass(frozen=True, slots=True)
class Sample:
    """Counter values of one team at one time.

    Parameters
    ----------
    at : float
        Time, in s.
    good, total : float
        Responses since the counters started.
    """

    at: float
    good: float
    total: float


@dataclass(slots=True)
class BurnTracker:
    """Burn rates of one team and objective.

    Parameters
    ----------
    objective : Objective
        Service-level objective.

    Examples
    --------
    >>> tracker = BurnTracker(Objective("served", 0.99))
    >>> tracker.add(Sample(0.0, 0, 0))
    >>> tracker.add(Sample(60.0, 80, 100))
    >>> round(tracker.burn_rate(60.0), 1)
    20.0
    >>> tracker.alert(60.0)
    <Alert.FAST_BURN: 'fast burn: act now'>
    """

    objective: Objective
    samples: deque[Sample] = field(default_factory=lambda: deque(maxlen=10_000))

    def add(self, sample: Sample) -> None:
        """Append a sample; a lower counter means a restart and clears the history."""
        if self.samples and sample.total < self.samples[-1].total:
            self.samples.clear()
        self.samples.append(sample)

    def burn_rate(self, window_s: float) -> float:
        """Return the rate of error budget consumption relative to the allowed rate.

        Parameters
        ----------
        window_s : float
            Length of the window that ends with the last sample, in s.

        Returns
        -------
        float
            1 consumes the budget exactly; 0 without requests.
        """
        if len(self.samples) < 2:
            return 0.0
        last = self.samples[-1]
        first = next(
            sample for sample in self.samples if sample.at >= last.at - window_s
        )
        total = last.total - first.total
        if total <= 0:
            return 0.0
        bad_fraction = 1.0 - (last.good - first.good) / total
        return bad_fraction / (1.0 - self.objective.target)

    def alert(self, window_s: float) -> Alert:
        """Return the alert for the lower burn rate of a window and its last twelfth."""
        burn = min(
            self.burn_rate(window_s), self.burn_rate(window_s * SHORT_WINDOW_FRACTION)
        )
        if len(self.samples) == 2:
            burn = self.burn_rate(window_s)
        if burn >= FAST_BURN:
            return Alert.FAST_BURN
        if burn >= SLOW_BURN:
            return Alert.SLOW_BURN
        return Alert.NONE
