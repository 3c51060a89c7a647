"""Plans of a load: who calls what, how often and from how many sessions."""

from __future__ import annotations

from typing import Annotated

from pydantic import Field

from guavabarrow_daemon.settings import SettingsModel

Share = Annotated[float, Field(ge=0, le=1)]


class Surge(SettingsModel):
    """A time in which arrivals come at a multiple of the rate."""

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
        Services that are called in turn.
    rate_per_s : float
        Arrivals per second, whether or not earlier requests were answered.
    sessions : int
        Sessions; each runs one request at a time.
    reads : float
        Share of reads among the requests.
    aged_reads : float
        Share of reads that state an age.
    max_age_ms : float
        The stated age.
    roaming : float
        Share of requests before which the session moves to another VM.
    repeats : float
        Share of writes that are sent a second time with the same request id.
    transactions : float
        Share of writes that are interactive transactions.
    surge : Surge or None
        Time with more arrivals.
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
        """Return the arrivals per second at a time of the load."""
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
        Duration of the arrivals.
    deadline_ms : float
        Deadline of each request.
    seed : int
        Seed of the arrivals.
    """

    addresses: list[str]
    teams: list[TeamLoad]
    duration_s: Annotated[float, Field(gt=0)] = 10.0
    deadline_ms: Annotated[float, Field(gt=0)] = 5000.0
    seed: int = 1
