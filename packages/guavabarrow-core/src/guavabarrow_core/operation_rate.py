"""A VM's part of a team's rate, in proportion to where its callers are.

The rate of a team holds over all VMs. Each VM admits its part of it; the parts follow
the demand that the VMs tell each other. A VM that falls silent may be cut off and
serving: the others leave it the part that it had, and it does the same by them.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

DEMAND_SMOOTHING_S = 4.0
"""Time constant of the demand estimate; a few operations of a small team."""

MIN_DEMAND_PER_S = 0.5
"""Demand credited to a VM without callers, so that a first caller is admitted."""

MAX_TOLD = 16
"""Figures that wait to be heard by all; several times what a slow link delays."""

MIN_CHANGE = 0.2
"""Part by which a demand must change before it is told again."""

SILENT_S = 1.8
"""A VM that was not heard for two pulses and a margin may be cut off and serving."""

MIN_SMOOTHING_S = 0.5
"""Time constant of a new lifetime's estimate, which has nothing to go by yet."""

TOLERANCE_PART = 0.9
"""Part of the deployment's tolerance that is used; the rest covers parts in motion."""

FIRST_BURST_S = 1.0
"""A new lifetime starts with at most the tokens of this long: the one before
may have spent the burst within the same window, but none while it was down."""

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
    counted_from: float = 0.0

    def count_demand(self, now: float) -> None:
        """Count one operation asked for."""
        self.decay(now)
        self.demand_per_s += 1.0 / self._smoothing_s(now)

    def decay(self, now: float) -> None:
        """Age the demand estimate."""
        elapsed_s = max(0.0, now - self.demand_at)
        self.demand_per_s *= max(0.0, 1.0 - elapsed_s / self._smoothing_s(now))
        self.demand_at = now

    def _smoothing_s(self, now: float) -> float:
        age_s = now - self.counted_from
        return min(DEMAND_SMOOTHING_S, max(MIN_SMOOTHING_S, age_s))


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


@dataclass(frozen=True, slots=True)
class RateTolerance:
    """How far the deployment lets all VMs together go beyond a rate.

    Parameters
    ----------
    window_s : float
        Span over which operations are counted, in s.
    over : float
        Part of rate and burst that may come on top.
    slack : float
        Operations per window that may come on top.
    """

    window_s: float = 5.0
    over: float = 0.0
    slack: float = 0.0


@dataclass(slots=True)
class OperationRates:
    """Rates of all teams at one VM.

    Parameters
    ----------
    vm : str
        This VM.
    tolerance : RateTolerance
        What may come on top of the rates.
    vms : frozenset of str
        The other VMs that may serve.

    Examples
    --------
    >>> rates = OperationRates("a")
    >>> rates.configure({"team": TeamRate(10.0, 10.0)})
    >>> rates.admit("team", 0.0)
    True
    """

    vm: str
    tolerance: RateTolerance = RateTolerance()
    vms: frozenset[str] = frozenset()
    _rate_by_team: dict[str, TeamRate] = field(default_factory=dict)
    _bucket_by_team: dict[str, TeamBucket] = field(default_factory=dict)
    _demand_by_vm: dict[str, dict[str, float]] = field(default_factory=dict)
    _heard_at_by_vm: dict[str, float] = field(default_factory=dict)
    _agreed_demand: dict[str, float] = field(default_factory=dict)
    _told_demand: dict[str, float] = field(default_factory=dict)
    _told: deque[tuple[float, dict[str, float]]] = field(default_factory=deque)
    _silent: frozenset[str] = frozenset()
    _kept_part_by_team: dict[str, dict[str, float]] = field(default_factory=dict)

    def configure(self, rate_by_team: dict[str, TeamRate]) -> None:
        """Take the rates of a configuration."""
        self._rate_by_team = rate_by_team

    def learn(
        self,
        vm: str,
        demand_by_team: dict[str, float],
        now: float,
        *,
        is_full: bool = True,
    ) -> None:
        """Take another VM's demand, in operations per second.

        Parameters
        ----------
        vm : str
            The VM.
        demand_by_team : dict of str to float
            Its demand.
        now : float
            Local time, in s.
        is_full : bool
            Whether teams that are missing have none, rather than what they had.
        """
        if vm not in self.vms:
            return
        known = {} if is_full else self._demand_by_vm.get(vm, {})
        self._demand_by_vm[vm] = {**known, **demand_by_team}
        self._heard_at_by_vm[vm] = now

    def set_members(self, vms: frozenset[str]) -> None:
        """Take the VMs that may serve; the demand of others is dropped."""
        self.vms = vms - {self.vm}
        self._silent &= self.vms
        for vm in set(self._demand_by_vm) - self.vms:
            del self._demand_by_vm[vm]
            del self._heard_at_by_vm[vm]

    @property
    def members(self) -> int:
        """Number of VMs that may serve, this one included."""
        return 1 + len(self.vms)

    def demand(self, now: float) -> dict[str, float]:
        """Return this VM's own demand by team, in operations per second.

        What is returned is told to the other VMs. This VM's own part is computed from
        what it told and the others can have heard, so that all of them divide a rate
        by the same figures.
        """
        demand_by_team = {}
        for team, bucket in self._bucket_by_team.items():
            bucket.decay(now)
            told = self._told_demand.get(team, 0.0)
            change = abs(bucket.demand_per_s - told)
            is_news = change >= max(MIN_DEMAND_PER_S, MIN_CHANGE * told)
            value = round(bucket.demand_per_s, 1) if is_news else told
            if value > 0.0:
                demand_by_team[team] = value
        silent = self._find_silent(now)
        self._agree(silent, now)
        self._told.append((now, demand_by_team))
        self._told_demand = demand_by_team
        self._silent = silent
        if not silent:
            self._keep_parts()
        return demand_by_team

    def part(self, team: str) -> float:
        """Return this VM's part of a team's rate, 0 to 1."""
        own = self._own_demand(team)
        others = sum(
            max(MIN_DEMAND_PER_S, demand.get(team, 0.0))
            for vm, demand in self._demand_by_vm.items()
            if vm not in self._silent
        )
        kept = sum(self._kept_part(team, vm) for vm in self._silent)
        return max(0.0, 1.0 - kept) * own / (own + others)

    def _agree(self, silent: frozenset[str], now: float) -> None:
        """Use the newest figures that every VM in contact can have heard."""
        heard = [at for vm, at in self._heard_at_by_vm.items() if vm not in silent]
        limit = min(heard, default=now)
        while self._told and self._told[0][0] <= limit:
            _, self._agreed_demand = self._told.popleft()
        while len(self._told) > MAX_TOLD:
            self._told.popleft()

    def _own_demand(self, team: str) -> float:
        agreed = self._agreed_demand.get(team, 0.0)
        return max(MIN_DEMAND_PER_S, min(agreed, self._told_demand.get(team, 0.0)))

    def _find_silent(self, now: float) -> frozenset[str]:
        horizon = now - SILENT_S
        return frozenset(
            vm
            for vm in self.vms
            if self._heard_at_by_vm.get(vm, float("-inf")) < horizon
        )

    def _keep_parts(self) -> None:
        teams = {team for demand in self._demand_by_vm.values() for team in demand}
        self._kept_part_by_team = {}
        for team in teams | set(self._agreed_demand):
            demands = {
                vm: max(MIN_DEMAND_PER_S, demand.get(team, 0.0))
                for vm, demand in self._demand_by_vm.items()
            }
            total = self._own_demand(team) + sum(demands.values())
            self._kept_part_by_team[team] = {
                vm: demand / total for vm, demand in demands.items()
            }

    def _kept_part(self, team: str, vm: str) -> float:
        parts = self._kept_part_by_team.get(team, {})
        return parts.get(vm, 1.0 / self.members)

    def admit(self, team: str, now: float) -> bool:
        """Take a token for one operation, False if the team has none here."""
        rate = self._rate_by_team.get(team)
        if rate is None:
            return True
        bucket = self._bucket_by_team.get(team)
        if bucket is None:
            burst = min(rate.burst, rate.per_s * FIRST_BURST_S)
            first = max(self._least_burst(rate), burst * self.part(team))
            bucket = TeamBucket(
                tokens=first, filled_at=now, demand_at=now, counted_from=now
            )
            self._bucket_by_team[team] = bucket
        bucket.count_demand(now)
        part = self.part(team)
        limit = max(self._least_burst(rate), rate.burst * part)
        elapsed_s = max(0.0, now - bucket.filled_at)
        bucket.tokens = min(
            limit, bucket.tokens + elapsed_s * self._refill_per_s(rate, part)
        )
        bucket.filled_at = now
        if bucket.tokens < 1.0:
            return False
        bucket.tokens -= 1.0
        return True

    def _least_burst(self, rate: TeamRate) -> float:
        """Return the burst of a VM with few callers, paid for by the slack."""
        total = rate.burst + self.tolerance.slack * TOLERANCE_PART
        return max(MIN_BURST, total / self.members)

    def _refill_per_s(self, rate: TeamRate, part: float) -> float:
        return rate.per_s * (1.0 + self.tolerance.over * TOLERANCE_PART) * part

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
            f"silent={len(self._silent)} of {len(self.vms)}"
        )

    def wait_s(self, team: str) -> float:
        """Return the time until the next token of a team, in s."""
        rate = self._rate_by_team.get(team)
        bucket = self._bucket_by_team.get(team)
        if rate is None or bucket is None or rate.per_s <= 0:
            return 1.0
        missing = max(0.0, 1.0 - bucket.tokens)
        return missing / max(0.1, self._refill_per_s(rate, self.part(team)))
