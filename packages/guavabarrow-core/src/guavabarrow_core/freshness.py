"""Log position that a bounded-staleness read needs, from observations of the primary.

An observation records where the primary's log ended according to its response to a
statement, and when that statement was sent. Every commit acknowledged before that time
is at or before the position. A read that may miss the commits of the last seconds
therefore needs the position of any observation that is not older than that.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from guavabarrow_core.log_position import LogPosition

RETENTION_S = 6.0
"""Longer than any maximum age in use; older observations are dropped."""

MIN_SPACING_S = 0.02
"""Observations closer together than this are skipped; they add no precision."""


@dataclass(frozen=True, slots=True)
class Observation:
    """End of the primary's log, as reported in a response.

    Parameters
    ----------
    sent_at : float
        Time at which the statement was sent, in s, on a clock that advances while the
        machine is suspended.
    position : LogPosition
        End of the primary's log when it responded.
    """

    sent_at: float
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
        """Add an observation, unless it is older than the newest or too close to it."""
        if self._observations:
            newest = self._observations[-1]
            if observation.sent_at < newest.sent_at + MIN_SPACING_S:
                return
        self._observations.append(observation)
        horizon = observation.sent_at - RETENTION_S
        while self._observations[0].sent_at < horizon:
            self._observations.popleft()

    def required_position(self, *, now: float, max_age_s: float) -> LogPosition | None:
        """Return the log position that a read started at ``now`` must have reached.

        Parameters
        ----------
        now : float
            Time of the read's first byte, in s.
        max_age_s : float
            Maximum age of the data, in s.

        Returns
        -------
        LogPosition or None
            None if no observation is recent enough.
        """
        oldest = now - max_age_s
        for observation in self._observations:
            if observation.sent_at >= oldest:
                return observation.position
        return None

    @property
    def newest(self) -> Observation | None:
        """The newest observation, None if there is none."""
        return self._observations[-1] if self._observations else None

    def clear(self) -> None:
        """Drop all observations, because the primary changed."""
        self._observations.clear()
