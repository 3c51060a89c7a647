"""Distributed rate limiter: each VM admits a share of a team's rate.

A team's rate limit applies to all VMs together. The VMs publish their demand to each
other, and each admits a share of the rate in proportion to its demand. An unreachable
VM may still be serving on the far side of a network partition: the others keep
reserving the share that it had last, and it reserves theirs.

Demand is published per VM inside a failure domain and as sums between domains, so that
the data that a VM receives does not grow with the fleet.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from math import floor, inf
from typing import TYPE_CHECKING

from xxhash import xxh3_64_intdigest

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

DEMAND_SMOOTHING_S = 4.0
"""Time constant of the demand estimate, in s; a few operations of a small team."""

MAX_IDLE_DEMAND_PER_S = 0.5
"""Upper limit of the demand assumed for a VM without callers, in operations per second;
with none assumed, its first caller would be refused."""

IDLE_RATE_FRACTION = 0.25
"""Fraction of a team's rate reserved for all VMs without callers together."""

MAX_UNCONFIRMED = 128
"""Most published estimates that wait until all VMs have received them; while much
changes, up to 30 per second are published for a short time."""

RELAY_DELAY_S = 0.9
"""Time until a published demand is included in the sums of its failure domain, in s:
one heartbeat interval and the transmission."""

MIN_RELATIVE_CHANGE = 0.2
"""Relative change of a demand from which it is published again."""

MIN_CHANGE_PER_S = 0.25
"""Smallest change that is published: one operation per ``DEMAND_SMOOTHING_S``."""

UNREACHABLE_AFTER_S = 1.8
"""Time without a heartbeat after which a VM counts as unreachable, in s: two heartbeat
intervals and a margin. It may still be serving behind a network partition."""

LATE_AFTER_S = 0.9
"""Time without a heartbeat after which the share reserved for a VM is kept, in s: one
heartbeat interval and the transmission. Its copy of the others' demand may be old, so
it divides the rate by that."""

MIN_SMOOTHING_S = 0.5
"""Time constant of the first estimate after a process start, in s, when no earlier
demand is available."""

TOLERANCE_FRACTION = 0.9
"""Fraction of the deployment's tolerance that is used; the rest covers the
transition while the VMs' shares change."""

INITIAL_BURST_S = 1.0
"""A new process starts with at most the tokens of this time, in s: the previous process
may have spent the burst within the same window, but spent nothing while it was down."""

MIN_REFILL_PER_S = 0.1
"""Refill assumed at least when a wait is estimated."""

ROUNDING_LIMIT = 2.0
"""Smaller bursts are rounded to whole operations, up at some VMs and down at others, so
that their sum is right on average; a fraction of a token admits no operation."""


@dataclass(slots=True)
class TeamBucket:
    """Token bucket of one team at one VM.

    Parameters
    ----------
    tokens : float
        Operations that may start now.
    refilled_at : float
        Time of the last refill.
    demand_per_s : float
        Smoothed rate of requested operations.
    demand_at : float
        Time at which the estimate was last decayed.
    created_at : float
        Time from which the estimate covers the demand.
    """

    tokens: float
    refilled_at: float
    demand_per_s: float = 0.0
    demand_at: float = 0.0
    created_at: float = 0.0

    def record_demand(self, now: float) -> None:
        """Add one requested operation to the estimate."""
        self.decay(now)
        self.demand_per_s += 1.0 / self._smoothing_s(now)

    def decay(self, now: float) -> None:
        """Decay the demand estimate to ``now``."""
        elapsed_s = max(0.0, now - self.demand_at)
        self.demand_per_s *= max(0.0, 1.0 - elapsed_s / self._smoothing_s(now))
        self.demand_at = now

    def _smoothing_s(self, now: float) -> float:
        age_s = now - self.created_at
        return min(DEMAND_SMOOTHING_S, max(MIN_SMOOTHING_S, age_s))


@dataclass(frozen=True, slots=True)
class RateLimit:
    """Rate limit of a team over all VMs.

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
    """By how much all VMs together may exceed a rate limit.

    Parameters
    ----------
    window_s : float
        Length of the window in which operations are counted, in s.
    excess_fraction : float
        Tolerated excess as a fraction of rate and burst.
    slack : float
        Tolerated excess in operations per window.
    """

    window_s: float = 5.0
    excess_fraction: float = 0.0
    slack: float = 0.0


DOMAIN_PREFIX = "domain "
"""Distinguishes failure domains from VMs; VM names contain no spaces."""


def domain_source(domain: str) -> str:
    """Return the key under which the summed demand of a failure domain is stored."""
    return DOMAIN_PREFIX + domain


def _no_reserve(team: str) -> float:
    return 0.0


@dataclass(slots=True)
class RateLimiter:
    """Rate limiter of one VM or of one failure domain, for all teams.

    A source of demand is another VM of the same failure domain, or another domain.

    Parameters
    ----------
    vm : str
        This VM, or the key of its failure domain.
    tolerance : RateTolerance
        Tolerated excess over the rate limits.
    represented_vms : int
        VMs whose share this limiter admits, several if it serves a failure domain.
    relay_delay_s : float
        Time until a published demand reaches all limiters that use it, in s.
    reserve_share : callable
        Returns the fraction of a team's rate to reserve for other VMs in addition to
        their share by demand.
    emptied_at : float or None
        Time from which new buckets are refilled, once the tokens were discarded.
    published_at : float
        Time at which this VM's demand was last published.
    is_unknown_outside : bool
        Whether other failure domains do not know this VM's demand. They reserve its
        last share then, so it must not divide the rate by their present demand.

    Examples
    --------
    >>> rates = RateLimiter("a")
    >>> rates.configure({"team": RateLimit(10.0, 10.0)})
    >>> rates.admit("team", 0.0)
    True
    """

    vm: str
    tolerance: RateTolerance = RateTolerance()
    represented_vms: int = 1
    relay_delay_s: float = 0.0
    reserve_share: Callable[[str], float] = _no_reserve
    emptied_at: float | None = None
    published_at: float = float("-inf")
    is_unknown_outside: bool = False
    _rate_by_team: dict[str, RateLimit] = field(default_factory=dict)
    _bucket_by_team: dict[str, TeamBucket] = field(default_factory=dict)
    _vms_by_source: dict[str, int] = field(default_factory=dict)
    _demand_by_source: dict[str, dict[str, float]] = field(default_factory=dict)
    _updated_at_by_source: dict[str, float] = field(default_factory=dict)
    _confirmed_demand: dict[str, float] = field(default_factory=dict)
    _published_demand: dict[str, float] = field(default_factory=dict)
    _unconfirmed: deque[tuple[float, dict[str, float]]] = field(default_factory=deque)
    _unreachable: frozenset[str] = frozenset()
    _reserved_share_by_team: dict[str, dict[str, float]] = field(default_factory=dict)

    def configure(self, rate_by_team: dict[str, RateLimit]) -> None:
        """Set the rate limits of all teams."""
        self._rate_by_team = rate_by_team

    def set_members(
        self, vms: frozenset[str], vms_by_domain: dict[str, int] | None = None
    ) -> None:
        """Set the VMs that may serve; the demand of others is dropped.

        Parameters
        ----------
        vms : frozenset of str
            VMs of the same failure domain.
        vms_by_domain : dict of str to int, optional
            Number of VMs in each other domain.
        """
        domains = (vms_by_domain or {}).items()
        self._vms_by_source = {
            **dict.fromkeys(vms - {self.vm}, 1),
            **{domain_source(domain): count for domain, count in domains},
        }
        self._unreachable &= self._vms_by_source.keys()
        for source in self._demand_by_source.keys() - self._vms_by_source.keys():
            del self._demand_by_source[source]
            del self._updated_at_by_source[source]

    @property
    def members(self) -> int:
        """Number of VMs that may serve, the represented ones included."""
        return self.represented_vms + sum(self._vms_by_source.values())

    def update_peer_demand(
        self,
        vm: str,
        demand_by_team: dict[str, float],
        now: float,
        *,
        is_full: bool = True,
    ) -> None:
        """Store the demand of another VM of the same failure domain.

        Parameters
        ----------
        vm : str
            The VM.
        demand_by_team : dict of str to float
            Its demand, in operations per second.
        now : float
            Local time, in s.
        is_full : bool
            Whether a missing team has no demand, rather than an unchanged one.
        """
        if vm not in self._vms_by_source:
            return
        previous = {} if is_full else self._demand_by_source.get(vm, {})
        self._demand_by_source[vm] = {**previous, **demand_by_team}
        self._updated_at_by_source[vm] = now

    def update_domain_demand(
        self,
        domain: str,
        demand_by_team: dict[str, float],
        now: float,
        *,
        is_full: bool = True,
    ) -> None:
        """Store the demand of another failure domain."""
        self.update_peer_demand(
            domain_source(domain), demand_by_team, now, is_full=is_full
        )

    def publish_demand(self, now: float) -> dict[str, float]:
        """Return the demand to publish by team, in operations per second.

        This VM's share is computed from the newest published demand that all reachable
        VMs have received, so that all VMs divide a rate by the same figures.
        """
        self.published_at = now
        demand_by_team = {}
        for team, bucket in self._bucket_by_team.items():
            bucket.decay(now)
            published = self._published_demand.get(team, 0.0)
            change = abs(bucket.demand_per_s - published)
            is_significant = change >= max(
                MIN_CHANGE_PER_S, MIN_RELATIVE_CHANGE * published
            )
            value = round(bucket.demand_per_s, 1) if is_significant else published
            if value > 0.0:
                demand_by_team[team] = value
        unreachable = self._find_unreachable(now)
        self._confirm_published(unreachable, now)
        self._unconfirmed.append((now, demand_by_team))
        self._published_demand = demand_by_team
        self._unreachable = unreachable
        if not unreachable:
            self._record_reserved_shares(now)
        return demand_by_team

    def share(self, team: str) -> float:
        """Return this VM's share of a team's rate, 0 to 1."""
        own = self._local_demand(team)
        reachable = [
            source for source in self._vms_by_source if source not in self._unreachable
        ]
        others = sum(self._demand_from(source, team) for source in reachable)
        reserved = sum(
            self._reserved_share(team, source) for source in self._unreachable
        )
        share = max(0.0, 1.0 - reserved) * own / (own + others)
        return max(0.0, share - self.reserve_share(team))

    def share_of(self, vms: Iterable[str], team: str) -> float:
        """Return the share of other VMs of the same failure domain."""
        return sum(self._reserved_share(team, vm) for vm in vms)

    def heard_at(self, vm: str) -> float:
        """Return the local time of a VM's last published demand, in s."""
        return self._updated_at_by_source.get(vm, float("-inf"))

    def _demand_from(self, source: str, team: str) -> float:
        min_demand = self._min_demand_per_s(team) * self._vms_by_source[source]
        return max(min_demand, self._demand_by_source.get(source, {}).get(team, 0.0))

    def _min_demand_per_s(self, team: str) -> float:
        """Return the minimum demand assumed per VM, in operations per second."""
        rate = self._rate_by_team.get(team)
        if rate is None:
            return MAX_IDLE_DEMAND_PER_S
        return min(
            MAX_IDLE_DEMAND_PER_S, IDLE_RATE_FRACTION * rate.per_s / self.members
        )

    def _confirm_published(self, unreachable: frozenset[str], now: float) -> None:
        """Select the newest published demand that all reachable VMs have received."""
        last_updates = [
            at
            for source, at in self._updated_at_by_source.items()
            if source not in unreachable
        ]
        cutoff = min(last_updates, default=now)
        cutoff -= self.relay_delay_s
        while self._unconfirmed and self._unconfirmed[0][0] <= cutoff:
            _, self._confirmed_demand = self._unconfirmed.popleft()
        while len(self._unconfirmed) > MAX_UNCONFIRMED:
            self._unconfirmed.popleft()

    def _local_demand(self, team: str) -> float:
        confirmed = self._confirmed_demand.get(team, 0.0)
        published = self._published_demand.get(team, 0.0)
        return max(
            self._min_demand_per_s(team) * self.represented_vms,
            min(confirmed, published),
        )

    def _find_unreachable(self, now: float) -> frozenset[str]:
        oldest = now - UNREACHABLE_AFTER_S
        return frozenset(
            source
            for source in self._vms_by_source
            if self.heard_at(source) < oldest or self._is_unaware(source)
        )

    def _is_unaware(self, source: str) -> bool:
        return self.is_unknown_outside and source.startswith(DOMAIN_PREFIX)

    def _record_reserved_shares(self, now: float) -> None:
        demands = self._demand_by_source.values()
        teams = {team for demand in demands for team in demand}
        previous_by_team, self._reserved_share_by_team = (
            self._reserved_share_by_team,
            {},
        )
        late = {
            source
            for source in self._vms_by_source
            if now - self.heard_at(source) > LATE_AFTER_S
        }
        for team in teams | set(self._confirmed_demand):
            share_by_source = {
                source: self._demand_from(source, team)
                for source in self._vms_by_source
            }
            total = self._local_demand(team) + sum(share_by_source.values())
            previous = previous_by_team.get(team, {})
            self._reserved_share_by_team[team] = {
                source: previous[source]
                if source in late and source in previous
                else demand / total
                for source, demand in share_by_source.items()
            }

    def _reserved_share(self, team: str, source: str) -> float:
        shares = self._reserved_share_by_team.get(team, {})
        return shares.get(source, self._vms_by_source[source] / self.members)

    def admit(self, team: str, now: float, *, is_retry: bool = False) -> bool:
        """Take a token for one operation, False if this VM has none for the team.

        Parameters
        ----------
        team : str
            The team.
        now : float
            Local time, in s.
        is_retry : bool
            Whether the operation is waiting and was counted as demand before.
        """
        rate = self._rate_by_team.get(team)
        if rate is None:
            return True
        bucket = self._bucket(team, rate, now)
        if not is_retry:
            bucket.record_demand(now)
        share = self.share(team)
        elapsed_s = max(0.0, now - bucket.refilled_at)
        bucket.tokens = min(
            self._burst(team, rate, share),
            bucket.tokens + elapsed_s * self._refill_per_s(rate, share),
        )
        bucket.refilled_at = max(bucket.refilled_at, now)
        if bucket.tokens < 1.0:
            return False
        bucket.tokens -= 1.0
        return True

    def tokens(self, team: str, now: float) -> float:
        """Return the tokens that a team has now, without taking one or refilling."""
        rate = self._rate_by_team[team]
        share = self.share(team)
        bucket = self._bucket_by_team.get(team)
        if bucket is not None:
            tokens, refilled_at = bucket.tokens, bucket.refilled_at
        elif self.emptied_at is None:
            return self._burst(team, rate, share, INITIAL_BURST_S)
        else:
            tokens, refilled_at = 0.0, self.emptied_at
        refill = max(0.0, now - refilled_at) * self._refill_per_s(rate, share)
        return min(self._burst(team, rate, share), tokens + refill)

    def count(self, team: str, now: float) -> None:
        """Record the demand of an operation that another limiter admits."""
        rate = self._rate_by_team.get(team)
        if rate is not None:
            self._bucket(team, rate, now).record_demand(now)

    def local_demand_per_s(self, team: str, now: float) -> float:
        """Return this VM's demand of a team, in operations per second."""
        bucket = self._bucket_by_team.get(team)
        if bucket is None:
            return 0.0
        bucket.decay(now)
        return bucket.demand_per_s

    def seed_demand(self, pool: RateLimiter, now: float) -> None:
        """Initialise a pool with the demand of its domain and the reserved shares."""
        pool._reserved_share_by_team = {
            team: {
                source: share
                for source, share in share_by_source.items()
                if source.startswith(DOMAIN_PREFIX)
            }
            for team, share_by_source in self._reserved_share_by_team.items()
        }
        for team, rate in self._rate_by_team.items():
            demand = self._published_demand.get(team, 0.0) + sum(
                demand_by_team.get(team, 0.0)
                for source, demand_by_team in self._demand_by_source.items()
                if not source.startswith(DOMAIN_PREFIX)
            )
            if demand > 0.0:
                pool._bucket(team, rate, now).demand_per_s = demand

    def drain_tokens(self, now: float) -> dict[str, float]:
        """Remove and return all tokens."""
        tokens_by_team = {
            team: bucket.tokens
            for team, bucket in self._bucket_by_team.items()
            if bucket.tokens > 0.0
        }
        self.empty(now)
        return tokens_by_team

    def add_initial_tokens(self, span_s: float, now: float) -> None:
        """Add the tokens that the represented VMs' equal share creates in a time.

        Parameters
        ----------
        span_s : float
            The time, in s.
        now : float
            Local time, in s.
        """
        share = self.represented_vms / self.members
        for team, rate in self._rate_by_team.items():
            self._bucket(team, rate, now).tokens += rate.per_s * span_s * share

    def add_tokens(self, tokens_by_team: dict[str, float], now: float) -> None:
        """Add tokens that another limiter gave up."""
        for team, tokens in tokens_by_team.items():
            rate = self._rate_by_team.get(team)
            if rate is not None:
                self._bucket(team, rate, now).tokens += tokens

    def empty(self, now: float) -> None:
        """Discard all tokens, because other VMs may have spent them."""
        self.emptied_at = now
        for bucket in self._bucket_by_team.values():
            bucket.tokens = 0.0
            bucket.refilled_at = now

    def _bucket(self, team: str, rate: RateLimit, now: float) -> TeamBucket:
        bucket = self._bucket_by_team.get(team)
        if bucket is None:
            tokens, refilled_at = 0.0, now
            if self.emptied_at is None:
                tokens = self._burst(team, rate, self.share(team), INITIAL_BURST_S)
            else:
                refilled_at = self.emptied_at
            bucket = TeamBucket(
                tokens=tokens, refilled_at=refilled_at, demand_at=now, created_at=now
            )
            self._bucket_by_team[team] = bucket
        return bucket

    def _burst(
        self, team: str, rate: RateLimit, share: float, span_s: float = inf
    ) -> float:
        """Return the bucket size; slack covers a minimum for VMs with few callers."""
        total = rate.burst + self.tolerance.slack * TOLERANCE_FRACTION
        equal_share = total * self.represented_vms / self.members
        burst = max(equal_share, min(rate.burst, rate.per_s * span_s) * share)
        if burst >= ROUNDING_LIMIT:
            return burst
        whole = floor(burst)
        draw = xxh3_64_intdigest(f"{team}\0{self.vm}".encode()) / 2**64
        return whole + (1.0 if draw < burst - whole else 0.0)

    def _refill_per_s(self, rate: RateLimit, share: float) -> float:
        return (
            rate.per_s
            * (1.0 + self.tolerance.excess_fraction * TOLERANCE_FRACTION)
            * share
        )

    def return_token(self, team: str) -> None:
        """Put back the token of an operation that reached no target."""
        bucket = self._bucket_by_team.get(team)
        if bucket is not None:
            bucket.tokens += 1.0

    def describe(self, team: str) -> str:
        """Return the inputs of the team's last admission decision."""
        rate = self._rate_by_team.get(team)
        bucket = self._bucket_by_team.get(team)
        if rate is None or bucket is None:
            return f"team={team}"
        return (
            f"team={team} rate={rate.per_s:g}/s burst={rate.burst:g} "
            f"part={self.share(team):.3f} demand={bucket.demand_per_s:.1f}/s "
            f"silent={len(self._unreachable)} of {len(self._vms_by_source)}"
        )

    def wait_s(self, team: str) -> float:
        """Return the time until the next token of a team, in s."""
        rate = self._rate_by_team.get(team)
        bucket = self._bucket_by_team.get(team)
        if rate is None or bucket is None or rate.per_s <= 0:
            return 1.0
        missing = max(0.0, 1.0 - bucket.tokens)
        return missing * self.interval_s(team)

    def interval_s(self, team: str) -> float:
        """Return the time between two tokens of a team, in s."""
        rate = self._rate_by_team.get(team)
        if rate is None or rate.per_s <= 0:
            return 1.0
        refill_per_s = self._refill_per_s(rate, self.share(team))
        return 1.0 / max(MIN_REFILL_PER_S, refill_per_s)
