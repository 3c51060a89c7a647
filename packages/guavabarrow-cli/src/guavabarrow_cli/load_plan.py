"""Plan of a load: teams, services, arrival rates and sessions."""

from __future__ import annotations

from typing import Annotated

from pydantic import Field

from guavabarrow_daemon.settings import SettingsModel

Share = Annotated[float, Field(ge=0, le=1)]


class Surge(SettingsModel):
    """An interval in which the arrival rate is multiplied by a factor."""

    factor: Annotated[float, Field(gt=0)]
    at_s: Annotated[float, Field(ge=0)] = 0.0
    for_s: Annotated[float, Field(ge=0)] = 10.0


class TeamLoad(SettingsModel):
    """Load of one team.

    Parameters
    ----------
    team, key : str
        Team and its key.
    services : list of str
        Services among which each request chooses at random.
    rate_per_s : float
        Arrivals per second, independent of the completion of earlier requests.
    sessions : int
        Number of sessions; each runs one request at a time.
    reads : float
        Share of reads among the requests.
    aged_reads : float
        Share of reads with a maximum age.
    max_age_ms : float
        Maximum age of these reads, ms.
    roaming : float
        Share of requests before which the session switches to another VM.
    repeats : float
        Share of writes that are sent a second time with the same request id.
    transactions : float
        Share of writes that are interactive transactions.
    surge : Surge or None
        Interval with a different arrival rate.
    """

    team: str
    key: str
    services: list[str]
    rate_per_s: Annotated[float, Field(gt=0)]
    sessions: Annotated[int, Field(gt=0)] = 8
    reads: Share = 0.8
    aged_reads: Share = 0.25
    max_age_ms: Annotated[float, Field(ge=0)] = 2000.0
    roaming: Share = 0.2
    repeats: Share = 0.0
    transactions: Share = 0.0
    surge: Surge | None = None

    def rate_at(self, elapsed_s: float) -> float:
        """Return the arrivals per second at a time since the start of the load."""
        surge = self.surge
        if surge is None or not surge.at_s <= elapsed_s < surge.at_s + surge.for_s:
            return self.rate_per_s
        return self.rate_per_s * surge.factor


class LoadPlan(SettingsModel):
    """A load on a fleet.

    Parameters
    ----------
    addresses : list of str
        Caller addresses of the VMs, ``ip:port``.
    teams : list of TeamLoad
        Load of each team.
    duration_s : float
        Time during which requests arrive, seconds.
    deadline_ms : float
        Deadline of each request, ms.
    seed : int
        Seed of arrivals and requests.
    """

    addresses: list[str]
    teams: list[TeamLoad]
    duration_s: Annotated[float, Field(gt=0)] = 10.0
    deadline_ms: Annotated[float, Field(gt=0)] = 5000.0
    seed: int = 1
