"""Connections of one pool: idle ones, those in transactions and those being opened."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from guavabarrow_core.team_use import TeamUse

if TYPE_CHECKING:
    from collections.abc import Container

    from guavabarrow_daemon.targets.session_connection import SessionConnection


class ConnectionSet:
    """Connections of one pool.

    Attributes
    ----------
    all : set of SessionConnection
        Open connections.
    idle : list of SessionConnection
        Idle connections, the least recently used first.
    in_transaction : set of SessionConnection
        Connections that an open transaction holds.
    opening_by_team : Counter of str
        Connections that are being opened.
    use : TeamUse
        Recent statements by team.
    """

    def __init__(self) -> None:
        self.all: set[SessionConnection] = set()
        self.idle: list[SessionConnection] = []
        self.in_transaction: set[SessionConnection] = set()
        self.opening_by_team: Counter[str] = Counter()
        self.use = TeamUse()

    def has_idle(self, team: str) -> bool:
        """Return whether an idle connection of a team exists."""
        return any(connection.team == team for connection in self.idle)

    def pop_idle(self, team: str) -> SessionConnection | None:
        """Remove and return a team's most recently used idle connection."""
        for connection in reversed(self.idle):
            if connection.team == team:
                self.idle.remove(connection)
                if connection.is_open:
                    return connection
        return None

    def add_idle(self, connection: SessionConnection, now: float) -> None:
        """Add a connection that has become idle at a local time, in s."""
        connection.idle_since = now
        self.idle.append(connection)

    def discard(self, connection: SessionConnection) -> None:
        """Close an idle connection."""
        self.idle.remove(connection)
        self.all.discard(connection)
        connection.close()

    def remove_lost(self, connection: SessionConnection) -> bool:
        """Remove a lost connection and return whether it was in use or idle."""
        if connection in self.idle:
            self.idle.remove(connection)
        self.in_transaction.discard(connection)
        is_known = connection in self.all
        self.all.discard(connection)
        return is_known

    def least_recently_used(
        self, waiting_teams: Container[str]
    ) -> SessionConnection | None:
        """Return the idle connection to close for another team, None if there is none.

        Parameters
        ----------
        waiting_teams : container of str
            Teams whose connections are kept.
        """
        closable = [c for c in self.idle if c.team not in waiting_teams]
        return min(closable, key=lambda c: c.idle_since, default=None)

    def least_useful(
        self, waiting_teams: Container[str], now: float
    ) -> SessionConnection | None:
        """Return the last of :meth:`most_useful_first` that may be closed.

        Parameters
        ----------
        waiting_teams : container of str
            Teams whose connections are kept.
        now : float
            Local time, in s.
        """
        ranked = self.most_useful_first(now)
        closable = [c for c in ranked if c.team not in waiting_teams]
        return closable[-1] if closable else None

    def most_useful_first(self, now: float) -> list[SessionConnection]:
        """Return the idle connections, those first that are used again soonest.

        They are ordered by the recent use of their teams. Of each team one connection
        counts, so that a team that sends much doesn't displace the others; spare ones
        follow, the most recently used first.

        Parameters
        ----------
        now : float
            Local time, in s.
        """
        idle = set(self.idle)
        served = {connection.team for connection in self.all - idle}
        first: list[SessionConnection] = []
        spare: list[SessionConnection] = []
        for connection in reversed(self.idle):
            (spare if connection.team in served else first).append(connection)
            served.add(connection.team)
        first.sort(key=lambda c: self.use.recent(c.team, now), reverse=True)
        return first + spare

    def expected_by_team(self, *, is_fast: bool) -> Counter[str]:
        """Return by team how many connections will be free soon.

        Parameters
        ----------
        is_fast : bool
            Whether running statements end soon; if not, only the connections that are
            being opened count.
        """
        expected = Counter(self.opening_by_team)
        if is_fast:
            idle = set(self.idle)
            expected.update(
                connection.team
                for connection in self.all - self.in_transaction - idle
                if connection.is_open
            )
        return expected

    def transactions_of(self, team: str) -> int:
        """Return how many open transactions of a team hold a connection."""
        return sum(connection.team == team for connection in self.in_transaction)
