"""When a VM that stops as planned closes sessions, refuses statements and gives up.

The load it answers: callers whose transactions are open when the VM is told to stop and
go on for longer than its grace period. What is sent to a target is awaited, so that no
answer is lost, and what could not end in time is refused while that is a true promise.
"""

from __future__ import annotations

from dataclasses import dataclass

BALANCER_REACTION_S = 2.2
"""Time in which the load balancer stops sending callers: two failed readiness checks,
one a second, and a margin."""

CLOSE_SPREAD_S = 1.6
"""Time over which closing idle sessions is spread, so that callers don't reconnect all
at once."""

FINISH_MARGIN_S = 1.2
"""Time before the end of the grace period at which accepted work should have ended."""

ANSWER_MARGIN_S = 0.6
"""Time that is left for sending the last answers and stopping the services."""

OWED_FRACTION = 0.5
"""Part of the grace period in which open transactions may go on in any case."""

REACTION_FRACTION, SPREAD_FRACTION = 0.4, 0.3
FINISH_FRACTION, ANSWER_FRACTION = 0.2, 0.1
"""Upper bounds of these times as parts of a short grace period."""


@dataclass(frozen=True, slots=True)
class DrainSchedule:
    """Times of one drain.

    Parameters
    ----------
    began_at : float
        Local time at which the VM was told to stop, in s.
    grace_s : float
        Time after which the process is killed, in s.

    Examples
    --------
    >>> schedule = DrainSchedule(100.0, 6.0)
    >>> round(schedule.finish_by, 1), round(schedule.answer_by, 1)
    (104.8, 105.4)
    >>> schedule.accepts(104.0, objective_s=0.4), schedule.accepts(104.5, 0.4)
    (True, False)
    """

    began_at: float
    grace_s: float

    @property
    def close_idle_from(self) -> float:
        """Local time from which idle sessions are closed, in s."""
        return self.began_at + min(
            BALANCER_REACTION_S, REACTION_FRACTION * self.grace_s
        )

    @property
    def close_spread_s(self) -> float:
        """Time over which closing idle sessions is spread, in s."""
        return min(CLOSE_SPREAD_S, SPREAD_FRACTION * self.grace_s)

    @property
    def finish_by(self) -> float:
        """Local time at which idle transactions are rolled back, in s."""
        margin_s = min(FINISH_MARGIN_S, FINISH_FRACTION * self.grace_s)
        return self.began_at + self.grace_s - margin_s

    @property
    def answer_by(self) -> float:
        """Local time at which all statements are answered at the latest, in s."""
        margin_s = min(ANSWER_MARGIN_S, ANSWER_FRACTION * self.grace_s)
        return self.began_at + self.grace_s - margin_s

    def accepts(self, now: float, objective_s: float) -> bool:
        """Return whether an open transaction may still run statements.

        Parameters
        ----------
        now : float
            Local time, in s.
        objective_s : float
            Latency objective of its route, in s.
        """
        owed_until = self.began_at + OWED_FRACTION * self.grace_s
        return now <= max(owed_until, self.finish_by - objective_s)
