"""Operations that wait for a token of their team's rate.

Answers the pattern of callers that return together: after a restart, when a pool opens
or a failure domain moves in, a team's operations arrive faster than tokens are created,
although their mean rate is within its limit. Refusing them makes the callers try again
at once, which takes further attempts and raises the demand that the VMs publish. An
operation whose token is due well within its latency objective waits for it instead. One
that would wait longer is refused at once.

A team that stays above its rate gains nothing by waiting: its queue would only make
each of its operations late. So a queue that does not drain within ``MAX_BUSY_S`` is
closed until the team has been within its rate for ``RECOVERY_S``, as controlled-delay
queues do (Nichols and Jacobson, "Controlling queue delay", ACM Queue 10(5), 2012). And
operations wait only for ``TRANSITION_S`` after the shares of the rate have changed; in
steady state one beyond the share would only delay a later one.
"""

from __future__ import annotations

from dataclasses import dataclass, field

MAX_WAIT_FRACTION = 0.5
"""Fraction of the latency objective that an operation may wait for its token; the rest
is for the operation itself."""

MIN_WAIT_S = 0.005
"""Shortest wait, so that an estimate of no wait that proves wrong is not repeated in a
busy loop."""

MAX_BUSY_S = 1.0
"""Time within which a burst of returning callers drains, in s."""

RECOVERY_S = 1.0
"""Time within its rate after which a team's operations may wait again, in s."""

TRANSITION_S = 4.0
"""Time that shares take to follow a change of VMs, in s: that of the estimate."""


@dataclass(slots=True)
class AdmissionQueue:
    """Waiting operations of all teams at one VM, first come, first served.

    Examples
    --------
    >>> queue = AdmissionQueue()
    >>> token = {"next_token_s": 0.05, "interval_s": 0.1, "limit_s": 0.2}
    >>> [queue.enter("team", 0.0, **token) for _ in range(3)]
    [0.05, 0.15000000000000002, None]
    >>> queue.leave("team")
    >>> queue.waiting("team")
    1
    >>> queue.enter("team", MAX_BUSY_S + 0.1, **token) is None
    True
    """

    _waiting_by_team: dict[str, int] = field(default_factory=dict)
    _busy_since_by_team: dict[str, float] = field(default_factory=dict)
    _closed_until_by_team: dict[str, float] = field(default_factory=dict)

    def waiting(self, team: str) -> int:
        """Return how many operations of a team wait."""
        return self._waiting_by_team.get(team, 0)

    def expected_wait_s(
        self, team: str, *, next_token_s: float, interval_s: float
    ) -> float:
        """Return how long one more operation would wait, in s.

        Parameters
        ----------
        team : str
            The team.
        next_token_s : float
            Time until the team's next token, in s.
        interval_s : float
            Time between further tokens, in s.
        """
        return next_token_s + self.waiting(team) * interval_s

    def enter(
        self,
        team: str,
        now: float,
        *,
        next_token_s: float,
        interval_s: float,
        limit_s: float,
    ) -> float | None:
        """Let an operation wait if its token is due in time.

        Parameters
        ----------
        team : str
            The team.
        now : float
            Local time, in s.
        next_token_s, interval_s : float
            Time until the team's next token and between further ones, in s.
        limit_s : float
            Longest time that the operation may wait, in s.

        Returns
        -------
        float or None
            How long to wait, in s; None if that would exceed the limit, or if the team
            stays above its rate.
        """
        if self._is_closed(team, now):
            return None
        wait_s = self.expected_wait_s(
            team, next_token_s=next_token_s, interval_s=interval_s
        )
        if wait_s > limit_s:
            return None
        self._busy_since_by_team.setdefault(team, now)
        self._waiting_by_team[team] = self.waiting(team) + 1
        return max(MIN_WAIT_S, wait_s)

    def leave(self, team: str) -> None:
        """Record that an operation no longer waits."""
        remaining = self.waiting(team) - 1
        if remaining > 0:
            self._waiting_by_team[team] = remaining
        else:
            self._waiting_by_team.pop(team, None)
            self._busy_since_by_team.pop(team, None)

    def _is_closed(self, team: str, now: float) -> bool:
        is_closed = now < self._closed_until_by_team.get(team, now)
        busy_since = self._busy_since_by_team.get(team, now)
        if is_closed or now - busy_since > MAX_BUSY_S:
            self._closed_until_by_team[team] = now + RECOVERY_S
            return True
        return False
