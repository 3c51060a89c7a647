"""How often each team was served recently, to tell which connections are used again."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import exp

DECAY_S = 16.0
"""Time constant of the weight of a statement: a team counts for longer than an idle
connection of it is kept."""

FORGET_S = 8.0 * DECAY_S
"""Time without statements after which a team is forgotten; its weight is then small."""


@dataclass(slots=True)
class TeamUse:
    """Recent statements of each team, weighted by ``exp(-age / DECAY_S)``.

    Examples
    --------
    >>> use = TeamUse()
    >>> for now in (1.0, 2.0, 3.0):
    ...     use.record("often", now)
    >>> use.record("once", 4.0)
    >>> use.recent("often", 4.0) > use.recent("once", 4.0)
    True
    >>> use.recent("never", 4.0)
    0.0
    """

    _use_by_team: dict[str, tuple[float, float]] = field(default_factory=dict)

    def record(self, team: str, now: float) -> None:
        """Record a statement of a team at a local time, in s."""
        recent = self.recent(team, now)
        # The dictionary is kept in the order of the last statements.
        self._use_by_team.pop(team, None)
        self._use_by_team[team] = (recent + 1.0, now)
        self._forget_old(now)

    def recent(self, team: str, now: float) -> float:
        """Return the weighted number of recent statements of a team."""
        recent, used_at = self._use_by_team.get(team, (0.0, now))
        return recent * exp((used_at - now) / DECAY_S)

    def __len__(self) -> int:
        return len(self._use_by_team)

    def _forget_old(self, now: float) -> None:
        while self._use_by_team:
            team, (_, used_at) = next(iter(self._use_by_team.items()))
            if now - used_at <= FORGET_S:
                return
            del self._use_by_team[team]
