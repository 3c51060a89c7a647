"""A VM's part of a team's rate, in proportion to where its callers are.

The rate of a team holds over all VMs. Each VM admits its part of it; the parts follow
the demand that the VMs tell each other. A VM that falls silent may be cut off and
serving: the others leave it the part that it had, and it does the same by them.

Demand is told one by one inside a failure domain and as sums between domains, so that
what a VM hears does not grow with the fleet.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from math import floor, inf
from typing import TYPE_CHECKING

from xxhash import xxh3_64_intdigest

if TYPE_CHECKING:
    from collections.abc import Callable

DEMAND_SMOOTHING_S = 4.0
"""Time constant of the demand estimate; a few operations of a small team."""

MIN_DEMAND_PER_S = 0.5
"""Most demand credited to a VM without callers, so that a first caller is admitted."""

MIN_DEMAND_PART = 0.25
"""Part of a team's rate that is kept for VMs without callers, all of them together."""

MAX_TOLD = 128
"""Figures that wait to be heard by all; changes may bring 30 a second for a moment."""

RELAY_S = 0.9
"""Time until a demand has gone on into the sums of its failure domain: one pulse and
its way."""

MIN_CHANGE = 0.2
"""Part by which a demand must change before it is told again."""

MIN_CHANGE_PER_S = 0.25
"""Smallest change that is told: one operation within the smoothing."""

SILENT_S = 1.8
"""A VM that was not heard for two pulses and a margin may be cut off and serving."""

MIN_SMOOTHING_S = 0.5
"""Time constant of a new lifetime's estimate, which has nothing to go by yet."""

TOLERANCE_PART = 0.9
"""Part of the deployment's tolerance that is used; the rest covers parts in motion."""

FIRST_BURST_S = 1.0
"""A new lifetime starts with at most the tokens of this long: the one before
may have spent the burst within the same window, but none while it was down."""

SMALL_BURST = 2.0
"""Bursts below are rounded to whole operations, up at some VMs and down at others, so
that all of them together are right; a fraction of a token admits nothing."""


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
class RateLimit:
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


DOMAIN_PREFIX = "domain "
"""Sets failure domains apart from VMs; no name of a VM holds a space."""


def domain_source(domain: str) -> str:
    """Return the name under which the sums of a failure domain are kept."""
    return DOMAIN_PREFIX + domain


def _no_reserve(team: str) -> float:
    return 0.0


@dataclass(slots=True)
class RateLimiter:
    """Rates of all teams at one VM.

    A source of demand is another VM of the own failure domain, or another domain.

    Parameters
    ----------
    vm : str
        This VM.
    tolerance : RateTolerance
        What may come on top of the rates.
    own_vms : int
        VMs that these rates are for, several if a failure domain shares its part.
    relay_s : float
        Time until those who divide the rates have heard a demand that was told.
    reserve_part : callable
        Part of a team's rate that is left to others beside their demand.

    Examples
    --------
    >>> rates = RateLimiter("a")
    >>> rates.configure({"team": RateLimit(10.0, 10.0)})
    >>> rates.admit("team", 0.0)
    True
    """

    vm: str
    tolerance: RateTolerance = RateTolerance()
    own_vms: int = 1
    relay_s: float = 0.0
    reserve_part: Callable[[str], float] = _no_reserve
    empty_from: float | None = None
    _rate_by_team: dict[str, RateLimit] = field(default_factory=dict)
    _bucket_by_team: dict[str, TeamBucket] = field(default_factory=dict)
    _vms_by_source: dict[str, int] = field(default_factory=dict)
    _demand_by_source: dict[str, dict[str, float]] = field(default_factory=dict)
    _heard_at_by_source: dict[str, float] = field(default_factory=dict)
    _agreed_demand: dict[str, float] = field(default_factory=dict)
    _told_demand: dict[str, float] = field(default_factory=dict)
    _told: deque[tuple[float, dict[str, float]]] = field(default_factory=deque)
    _silent: frozenset[str] = frozenset()
    _kept_part_by_team: dict[str, dict[str, float]] = field(default_factory=dict)

    def configure(self, rate_by_team: dict[str, RateLimit]) -> None:
        """Take the rates of a configuration."""
        self._rate_by_team = rate_by_team

    def set_members(
        self, vms: frozenset[str], vms_by_domain: dict[str, int] | None = None
    ) -> None:
        """Take the VMs that may serve; the demand of others is dropped.

        Parameters
        ----------
        vms : frozenset of str
            Those of the own failure domain.
        vms_by_domain : dict of str to int, optional
            How many there are in each other domain.
        """
        domains = (vms_by_domain or {}).items()
        self._vms_by_source = {
            **dict.fromkeys(vms - {self.vm}, 1),
            **{domain_source(domain): count for domain, count in domains},
        }
        self._silent &= self._vms_by_source.keys()
        for source in self._demand_by_source.keys() - self._vms_by_source.keys():
            del self._demand_by_source[source]
            del self._heard_at_by_source[source]

    @property
    def members(self) -> int:
        """Number of VMs that may serve, the own ones included."""
        return self.own_vms + sum(self._vms_by_source.values())

    def update_peer_demand(
        self,
        vm: str,
        demand_by_team: dict[str, float],
        now: float,
        *,
        is_full: bool = True,
    ) -> None:
        """Take the demand of another VM of the own failure domain.

        Parameters
        ----------
        vm : str
            The VM.
        demand_by_team : dict of str to float
            Its demand, in operations per second.
        now : float
            Local time, in s.
        is_full : bool
            Whether teams that are missing have none, rather than what they had.
        """
        if vm not in self._vms_by_source:
            return
        known = {} if is_full else self._demand_by_source.get(vm, {})
        self._demand_by_source[vm] = {**known, **demand_by_team}
        self._heard_at_by_source[vm] = now

    def update_domain_demand(
        self,
        domain: str,
        demand_by_team: dict[str, float],
        now: float,
        *,
        is_full: bool = True,
    ) -> None:
        """Take the demand of another failure domain, as :meth:`learn` does."""
        self.update_peer_demand(
            domain_source(domain), demand_by_team, now, is_full=is_full
        )

    def publish_demand(self, now: float) -> dict[str, float]:
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
            is_news = change >= max(MIN_CHANGE_PER_S, MIN_CHANGE * told)
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
        live = [source for source in self._vms_by_source if source not in self._silent]
        others = sum(self._demand_of(source, team) for source in live)
        kept = sum(self._kept_part(team, source) for source in self._silent)
        part = max(0.0, 1.0 - kept) * own / (own + others)
        return max(0.0, part - self.reserve_part(team))

    def unreachable_part(self, team: str) -> float:
        """Return the part that is left to silent VMs of the own failure domain."""
        return sum(
            self._kept_part(team, source)
            for source in self._silent
            if not source.startswith(DOMAIN_PREFIX)
        )

    def _demand_of(self, source: str, team: str) -> float:
        least = self._least_demand(team) * self._vms_by_source[source]
        return max(least, self._demand_by_source.get(source, {}).get(team, 0.0))

    def _least_demand(self, team: str) -> float:
        """Return the demand that is credited to each VM, in operations per second."""
        rate = self._rate_by_team.get(team)
        if rate is None:
            return MIN_DEMAND_PER_S
        return min(MIN_DEMAND_PER_S, MIN_DEMAND_PART * rate.per_s / self.members)

    def _agree(self, silent: frozenset[str], now: float) -> None:
        """Use the newest figures that every VM in contact can have heard."""
        last_updates = [
            at
            for source, at in self._heard_at_by_source.items()
            if source not in silent
        ]
        cutoff = min(last_updates, default=now)
        cutoff -= self.relay_s
        while self._told and self._told[0][0] <= cutoff:
            _, self._agreed_demand = self._told.popleft()
        while len(self._told) > MAX_TOLD:
            self._told.popleft()

    def _own_demand(self, team: str) -> float:
        agreed = self._agreed_demand.get(team, 0.0)
        told = self._told_demand.get(team, 0.0)
        return max(self._least_demand(team) * self.own_vms, min(agreed, told))

    def _find_silent(self, now: float) -> frozenset[str]:
        horizon = now - SILENT_S
        return frozenset(
            source
            for source in self._vms_by_source
            if self._heard_at_by_source.get(source, float("-inf")) < horizon
        )

    def _keep_parts(self) -> None:
        demands = self._demand_by_source.values()
        teams = {team for demand in demands for team in demand}
        self._kept_part_by_team = {}
        for team in teams | set(self._agreed_demand):
            part_by_source = {
                source: self._demand_of(source, team) for source in self._vms_by_source
            }
            total = self._own_demand(team) + sum(part_by_source.values())
            self._kept_part_by_team[team] = {
                source: demand / total for source, demand in part_by_source.items()
            }

    def _kept_part(self, team: str, source: str) -> float:
        parts = self._kept_part_by_team.get(team, {})
        return parts.get(source, self._vms_by_source[source] / self.members)

    def admit(self, team: str, now: float) -> bool:
        """Take a token for one operation, False if the team has none here."""
        rate = self._rate_by_team.get(team)
        if rate is None:
            return True
        bucket = self._bucket(team, rate, now)
        bucket.count_demand(now)
        part = self.part(team)
        elapsed_s = max(0.0, now - bucket.filled_at)
        bucket.tokens = min(
            self._burst(team, rate, part),
            bucket.tokens + elapsed_s * self._refill_per_s(rate, part),
        )
        bucket.filled_at = max(bucket.filled_at, now)
        if bucket.tokens < 1.0:
            return False
        bucket.tokens -= 1.0
        return True

    def count(self, team: str, now: float) -> None:
        """Count the demand of an operation that is admitted elsewhere."""
        rate = self._rate_by_team.get(team)
        if rate is not None:
            self._bucket(team, rate, now).count_demand(now)

    def demand_of(self, team: str, now: float) -> float:
        """Return this VM's own demand of a team, in operations per second."""
        bucket = self._bucket_by_team.get(team)
        if bucket is None:
            return 0.0
        bucket.decay(now)
        return bucket.demand_per_s

    def hand_demand(self, pool: RateLimiter, now: float) -> None:
        """Start a pool's estimates with the demand told in the own failure domain."""
        for team, rate in self._rate_by_team.items():
            demand = self._told_demand.get(team, 0.0) + sum(
                told.get(team, 0.0)
                for source, told in self._demand_by_source.items()
                if not source.startswith(DOMAIN_PREFIX)
            )
            if demand > 0.0:
                pool._bucket(team, rate, now).demand_per_s = demand

    def take_tokens(self, now: float) -> dict[str, float]:
        """Hand over all tokens, and start again without any."""
        tokens_by_team = {
            team: bucket.tokens
            for team, bucket in self._bucket_by_team.items()
            if bucket.tokens > 0.0
        }
        self.empty(now)
        return tokens_by_team

    def add_tokens(self, tokens_by_team: dict[str, float], now: float) -> None:
        """Take tokens that were left elsewhere."""
        for team, tokens in tokens_by_team.items():
            rate = self._rate_by_team.get(team)
            if rate is not None:
                self._bucket(team, rate, now).tokens += tokens

    def empty(self, now: float) -> None:
        """Start again without tokens, because others have spent them."""
        self.empty_from = now
        for bucket in self._bucket_by_team.values():
            bucket.tokens = 0.0
            bucket.filled_at = now

    def _bucket(self, team: str, rate: RateLimit, now: float) -> TeamBucket:
        bucket = self._bucket_by_team.get(team)
        if bucket is None:
            tokens, filled_at = 0.0, now
            if self.empty_from is None:
                tokens = self._burst(team, rate, self.part(team), FIRST_BURST_S)
            else:
                filled_at = self.empty_from
            bucket = TeamBucket(
                tokens=tokens, filled_at=filled_at, demand_at=now, counted_from=now
            )
            self._bucket_by_team[team] = bucket
        return bucket

    def _burst(
        self, team: str, rate: RateLimit, part: float, span_s: float = inf
    ) -> float:
        """Return the most tokens; a VM with few callers has some, paid for by slack."""
        total = rate.burst + self.tolerance.slack * TOLERANCE_PART
        even = total * self.own_vms / self.members
        burst = max(even, min(rate.burst, rate.per_s * span_s) * part)
        if burst >= SMALL_BURST:
            return burst
        whole = floor(burst)
        draw = xxh3_64_intdigest(f"{team}\0{self.vm}".encode()) / 2**64
        return whole + (1.0 if draw < burst - whole else 0.0)

    def _refill_per_s(self, rate: RateLimit, part: float) -> float:
        return rate.per_s * (1.0 + self.tolerance.over * TOLERANCE_PART) * part

    def return_token(self, team: str) -> None:
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
            f"silent={len(self._silent)} of {len(self._vms_by_source)}"
        )

    def wait_s(self, team: str) -> float:
        """Return the time until the next token of a team, in s."""
        rate = self._rate_by_team.get(team)
        bucket = self._bucket_by_team.get(team)
        if rate is None or bucket is None or rate.per_s <= 0:
            return 1.0
        missing = max(0.0, 1.0 - bucket.tokens)
        return missing / max(0.1, self._refill_per_s(rate, self.part(team)))
