"""Which log position a read needs, from what was seen of the primary.

An observation says that the primary's log ended at a position in an answer to a
statement sent at a time. Every commit acknowledged before that time is at or before
the position. A read that may lack what was acknowledged in the last seconds therefore
needs the position of any observation not older than that.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from guavabarrow_core.log_position import LogPosition

RETENTION_S = 6.0
"""Longer than any stated age in use; older observations are dropped."""

MIN_SPACING_S = 0.02
"""Observations closer together than this add nothing to the choice."""


@dataclass(frozen=True, slots=True)
class Observation:
    """End of the primary's log, seen in an answer.

    Parameters
    ----------
    asked_at : float
        Time at which the statement was sent, in s on the suspension-aware clock.
    position : LogPosition
        End of the primary's log when it answered.
    """

    asked_at: float
    position: LogPosition


class PrimaryHistory:
    """Recent observations of one service's primary.

    Examples
    --------
    >>> from guavabarrow_core.log_position import LogPosition
    >>> history = PrimaryHistory()
    >>> history.record(Observation(1.0, LogPosition(1, 5)))
    >>> history.record(Observation(2.0, LogPosition(1, 9)))
    >>> history.required_position(now=3.0, max_age_s=2.5)
    LogPosition(term=1, index=5)
    >>> history.required_position(now=3.0, max_age_s=1.5)
    LogPosition(term=1, index=9)
    >>> history.required_position(now=9.0, max_age_s=1.5) is None
    True
    """

    def __init__(self) -> None:
        self._observations: deque[Observation] = deque()

    def record(self, observation: Observation) -> None:
        """Add an observation; one that is older than the newest is ignored."""
        if self._observations:
            newest = self._observations[-1]
            if observation.asked_at < newest.asked_at + MIN_SPACING_S:
                return
        self._observations.append(observation)
        horizon = observation.asked_at - RETENTION_S
        while self._observations[0].asked_at < horizon:
            self._observations.popleft()

    def required_position(self, *, now: float, max_age_s: float) -> LogPosition | None:
        """Return the lowest position that a read started at ``now`` may have.

        Parameters
        ----------
        now : float
            Time of the read's first byte.
        max_age_s : float
            Stated age of the read, in s.

        Returns
        -------
        LogPosition or None
            None if no observation is young enough.
        """
        oldest = now - max_age_s
        for observation in self._observations:
            if observation.asked_at >= oldest:
                return observation.position
        return None

    @property
    def newest(self) -> Observation | None:
        """The newest observation, None if there is none."""
        return self._observations[-1] if self._observations else None

    def clear(self) -> None:
        """Forget everything, because the primary changed."""
        self._observations.clear()
