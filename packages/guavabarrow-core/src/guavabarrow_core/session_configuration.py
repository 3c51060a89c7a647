"""Configuration of VMs whose callers keep one connection per session."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from guavabarrow_core.rate_limiter import RateLimit


class Consistency(Enum):
    """Read consistency of a route."""

    PRIMARY = "primary"
    STATED_AGE = "stated_age"
    READ_YOUR_WRITES = "read_your_writes"


@dataclass(frozen=True, slots=True)
class Route:
    """A database that callers can open.

    Parameters
    ----------
    database : str
        Name that callers use.
    service : str
        Database group that holds it.
    consistency : Consistency
        Consistency of its reads.
    max_age_s : float
        Maximum age of the data that reads return, in s.
    timeout_s : float
        Timeout of one statement, in s.
    objective_s : float
        Latency objective of a whole operation, in s.
    priority : int
        0 is the highest.
    is_open : bool
        Whether no key is needed.
    """

    database: str
    service: str
    consistency: Consistency
    max_age_s: float = 0.0
    timeout_s: float = 1.0
    objective_s: float = 0.5
    priority: int = 1
    is_open: bool = False

    def runs_like(self, other: Route) -> bool:
        """Return whether both routes allow the same targets to run a statement."""
        return (self.service, self.consistency, self.max_age_s) == (
            other.service,
            other.consistency,
            other.max_age_s,
        )


@dataclass(frozen=True, slots=True)
class ServiceLimits:
    """Limits of one database group.

    Parameters
    ----------
    max_connections : int
        Connections to each of its targets over the whole fleet.
    sync_replicas : int
        Replicas that must have a commit before it is acknowledged.
    """

    max_connections: int = 20
    sync_replicas: int = 0


@dataclass(frozen=True, slots=True)
class SessionTeam:
    """A team with its keys and rate limit."""

    name: str
    keys: frozenset[str]
    rate: RateLimit | None = None


@dataclass(frozen=True, slots=True)
class SessionConfiguration:
    """One version of the whole configuration.

    Parameters
    ----------
    version : int
        Never decreases within one process.
    idle_transaction_s : float
        Idle time after which a transaction may be aborted, in s.
    max_message_bytes : int
        Maximum size of a caller's message, in bytes.
    """

    version: int
    route_by_database: dict[str, Route] = field(default_factory=dict)
    limits_by_service: dict[str, ServiceLimits] = field(default_factory=dict)
    team_by_name: dict[str, SessionTeam] = field(default_factory=dict)
    team_by_key: dict[str, str] = field(default_factory=dict)
    idle_transaction_s: float = 3.0
    max_message_bytes: int = 262144

    def may_concern(
        self, earlier: SessionConfiguration, service: str, team: str
    ) -> bool:
        """Return whether an operation may run otherwise than by an earlier version.

        Parameters
        ----------
        earlier : SessionConfiguration
            Version by which the operation began.
        service, team : str
            Service and team of the operation, whose route and key are not known.

        Returns
        -------
        bool
            Whether a route to the service was changed or withdrawn, or a key of the
            team was; for a team without keys, whether a key was added.
        """
        for database, route in earlier.route_by_database.items():
            current = self.route_by_database.get(database)
            if route.service == service and not (current and current.runs_like(route)):
                return True
        keys = {key for key, name in earlier.team_by_key.items() if name == team}
        if not keys:
            return bool(self.team_by_key.keys() - earlier.team_by_key.keys())
        return any(self.team_by_key.get(key) != team for key in keys)

    def rates(self) -> dict[str, RateLimit]:
        """Return the rate limits of all teams that have one, keyed by team."""
        return {
            team.name: team.rate
            for team in self.team_by_name.values()
            if team.rate is not None
        }
