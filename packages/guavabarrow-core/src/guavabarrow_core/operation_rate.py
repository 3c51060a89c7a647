"""A VM's part of a team's rate, in proportion to where its callers are.

The rate of a team holds over all VMs. Each VM admits its part of it; the parts follow
the demand that the VMs tell each other. A VM that falls silent keeps the part that it
had, because it may still be serving.
"""

from __future__ import annotations

from dataclasses import dataclass, field

DEMAND_SMOOTHING_S = 4.0
"""Time constant of the demand estimate; a few operations of a small team."""

MIN_DEMAND_PER_S = 0.5
"""Demand credited to a VM without callers, so that a first caller is admitted."""

FIRST_BURST_S = 1.0
"""A new lifetime starts with at most this many seconds' worth of tokens: the one before
may have spent the burst within the same window, but none were spent while it was down."""

MIN_BURST = 2.0
"""Smallest burst of a VM; callers of a small team come two at a time."""


@dataclass(slots=True)
class TeamBucket:
    """Token bucket of one team at one VM.

    Parameters
    ----------
    tokens : float
        Operations that may start now.
    filled_at : float
        Time of the last refill.
    demand_per_s : float
        Smoothed rate at which operations were asked for.
    """

    tokens: float
    filled_at: float
    demand_per_s: float = 0.0
    demand_at: float = 0.0

    def count_demand(self, now: float) -> None:
        """Count one operation asked for."""
        self.decay(now)
        self.demand_per_s += 1.0 / DEMAND_SMOOTHING_S

    def decay(self, now: float) -> None:
        """Age the demand estimate."""
        elapsed_s = max(0.0, now - self.demand_at)
        self.demand_per_s *= max(0.0, 1.0 - elapsed_s / DEMAND_SMOOTHING_S)
        self.demand_at = now


@dataclass(frozen=True, slots=True)
class TeamRate:
    """Rate of a team over all VMs.

    Parameters
    ----------
    per_s : float
        Operations per second.
    burst : float
        Operations that may start at once.
    """

    per_s: float
    burst: float


@dataclass(slots=True)
class OperationRates:
    """Rates of all teams at one VM.

    Parameters
    ----------
    vm : str
        This VM.
    members : int
        VMs that may serve, this one included.

    Examples
    --------
    >>> rates = OperationRates("a")
    >>> rates.configure({"team": TeamRate(10.0, 10.0)})
    >>> rates.admit("team", 0.0)
    True
    """

    vm: str
    members: int = 1
    _rate_by_team: dict[str, TeamRate] = field(default_factory=dict)
    _bucket_by_team: dict[str, TeamBucket] = field(default_factory=dict)
    _demand_by_vm: dict[str, dict[str, float]] = field(default_factory=dict)

    def configure(self, rate_by_team: dict[str, TeamRate]) -> None:
        """Take the rates of a configuration."""
        self._rate_by_team = rate_by_team

    def learn(self, vm: str, demand_by_team: dict[str, float]) -> None:
        """Take another VM's demand, in operations per second."""
        self._demand_by_vm[vm] = demand_by_team

    def set_members(self, vms: frozenset[str]) -> None:
        """Take the VMs that may serve; the demand of others is dropped."""
        self.members = max(1, len(vms | {self.vm}))
        for vm in list(self._demand_by_vm):
            if vm not in vms:
                del self._demand_by_vm[vm]

    def demand(self, now: float) -> dict[str, float]:
        """Return this VM's own demand by team, in operations per second."""
        demand_by_team = {}
        for team, bucket in self._bucket_by_team.items():
            bucket.decay(now)
            if bucket.demand_per_s > 0.1:
                demand_by_team[team] = round(bucket.demand_per_s, 1)
        return demand_by_team

    def part(self, team: str) -> float:
        """Return this VM's part of a team's rate, 0 to 1."""
        bucket = self._bucket_by_team.get(team)
        own = max(MIN_DEMAND_PER_S, bucket.demand_per_s if bucket else 0.0)
        others = sum(
            max(MIN_DEMAND_PER_S, demand.get(team, 0.0))
            for demand in self._demand_by_vm.values()
        )
        unheard = max(0, self.members - 1 - len(self._demand_by_vm))
        mean = (own + others) / (1 + len(self._demand_by_vm))
        return own / (own + others + unheard * mean)

    def admit(self, team: str, now: float) -> bool:
        """Take a token for one operation, False if the team has none here."""
        rate = self._rate_by_team.get(team)
        if rate is None:
            return True
        bucket = self._bucket_by_team.get(team)
        if bucket is None:
            burst = min(rate.burst, rate.per_s * FIRST_BURST_S)
            first = max(MIN_BURST, burst * self.part(team))
            bucket = TeamBucket(tokens=first, filled_at=now, demand_at=now)
            self._bucket_by_team[team] = bucket
        bucket.count_demand(now)
        part = self.part(team)
        limit = max(MIN_BURST, rate.burst * part)
        elapsed_s = max(0.0, now - bucket.filled_at)
        bucket.tokens = min(limit, bucket.tokens + elapsed_s * rate.per_s * part)
        bucket.filled_at = now
        if bucket.tokens < 1.0:
            return False
        bucket.tokens -= 1.0
        return True

    def give_back(self, team: str) -> None:
        """Return the token of an operation that reached no target."""
        bucket = self._bucket_by_team.get(team)
        if bucket is not None:
            bucket.tokens += 1.0

    def describe(self, team: str) -> str:
        """Return the inputs of the last decision about a team."""
        rate = self._rate_by_team.get(team)
        bucket = self._bucket_by_team.get(team)
        if rate is None or bucket is None:
            return f"team={team}"
        return (
            f"team={team} rate={rate.per_s:g}/s burst={rate.burst:g} "
            f"part={self.part(team):.3f} demand={bucket.demand_per_s:.1f}/s "
            f"heard={len(self._demand_by_vm)} of {self.members - 1}"
        )

    def wait_s(self, team: str) -> float:
        """Return the time until the next token of a team, in s."""
        rate = self._rate_by_team.get(team)
        bucket = self._bucket_by_team.get(team)
        if rate is None or bucket is None or rate.per_s <= 0:
            return 1.0
        missing = max(0.0, 1.0 - bucket.tokens)
        return missing / max(0.1, rate.per_s * self.part(team))
