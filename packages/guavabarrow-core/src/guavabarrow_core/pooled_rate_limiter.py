"""Rate limiter that pools the tokens of a failure domain at one VM.

Some teams have a small rate and callers spread over many VMs. Divided among all VMs,
such a rate leaves less than one operation to each, and callers are refused although the
team is far below its limit. The VMs of a failure domain therefore transfer their shares
to one of them, the host of the pool, and request tokens from it. A VM that cannot reach
the host uses its own share once the host's lease on it has ended (``share_lease.py``).
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from enum import Enum

from guavabarrow_core.rate_limiter import (
    RELAY_DELAY_S,
    RateLimit,
    RateLimiter,
    RateTolerance,
    domain_source,
)
from guavabarrow_core.share_lease import (
    LEASE_TERM_S,
    PeerPoolState,
    PoolLeases,
    TransferredShare,
)

POOL_OPENING_DELAY_S = 0.1
"""Time for which a new pool grants no tokens, in s: several one-way delays of a slow
link. By then all reachable VMs use the pool and admit nothing from their own share."""

AGREEMENT_S = 2.0
"""Time after which a host opens its pool although other VMs use another one, in s."""

LOCAL_FALLBACK_S = 1.0
"""Time for which a VM uses its own share after the host repeatedly did not answer, in
s; it may be reachable in one direction only."""

MAX_UPDATE_GAP_S = 1.8
"""Longest time between two calls of ``update_pool``, in s; after a longer one the VM
was suspended, and another host has replaced it meanwhile."""

PREFETCH_S = 0.2
"""Period whose expected demand a VM prefetches tokens for, in s."""

PREFETCHED_TTL_S = 1.0
"""Lifetime of prefetched tokens, in s; unused ones must not cause a burst later."""

INITIAL_POOL_S = 0.5
"""A pool that a new process opens starts with the tokens of this time, in s. Callers
that lost their VMs return together, but the burst may have been spent within the same
window."""

FRESH_PROCESS_S = 2.0
"""Age up to which a process is new: it has seen no operations to speak of, in s."""

POOL_EXCESS_FRACTION = 0.3
"""Fraction of a rate's tolerated excess that a pool uses; the rest covers VMs that
admit from their own share while the host still includes that share in the pool."""


class AdmissionDecision(Enum):
    """Whether an operation may start."""

    ADMITTED = "admitted"
    REFUSED = "refused"
    ASK_HOST = "ask host"


@dataclass(slots=True)
class PrefetchedTokens:
    """Unused tokens of one team that the host granted."""

    tokens: float = 0.0
    granted_at: float = float("-inf")


@dataclass(slots=True)
class PooledRateLimiter:
    """Rate limiter of all teams at one VM, with or without a pool.

    Parameters
    ----------
    vm, domain : str
        This VM and its failure domain.
    tolerance : RateTolerance
        Tolerated excess over the rate limits.

    Attributes
    ----------
    local : RateLimiter
        Limiter for this VM's own share, used without a pool.
    pool : RateLimiter or None
        Limiter for the share of the failure domain, if this VM is the host.
    host : str
        VM whose open pool is used, empty if none.
    """

    vm: str
    domain: str
    tolerance: RateTolerance = RateTolerance()
    local: RateLimiter = field(init=False)
    pool: RateLimiter | None = None
    host: str = ""
    _rate_by_team: dict[str, RateLimit] = field(default_factory=dict)
    _domain_peers: frozenset[str] = frozenset()
    _vms_by_domain: dict[str, int] = field(default_factory=dict)
    _prefetched_by_team: dict[str, PrefetchedTokens] = field(default_factory=dict)
    _leases: PoolLeases | None = None
    _transferred: TransferredShare = field(default_factory=TransferredShare)
    _renewed_at: float = float("-inf")
    _reserved_as_of: float = float("-inf")
    _failed_host: str = ""
    _failed_at: float = float("-inf")
    _failure_count: int = 0
    _host_since: float | None = None
    _updated_at: float = float("-inf")
    _first_updated_at: float | None = None

    def __post_init__(self) -> None:
        self.local = RateLimiter(self.vm, self.tolerance, relay_delay_s=RELAY_DELAY_S)
        self.local.is_unknown_outside = True

    def configure(self, rate_by_team: dict[str, RateLimit]) -> None:
        """Set the rate limits of all teams."""
        self._rate_by_team = rate_by_team
        self.local.configure(rate_by_team)
        if self.pool is not None:
            self.pool.configure(rate_by_team)

    def set_members(
        self, domain_vms: frozenset[str], vms_by_domain: dict[str, int]
    ) -> None:
        """Set the VMs that may serve.

        Parameters
        ----------
        domain_vms : frozenset of str
            VMs of the same failure domain.
        vms_by_domain : dict of str to int
            Number of VMs in each other domain.
        """
        self._domain_peers = domain_vms - {self.vm}
        self._vms_by_domain = vms_by_domain
        self.local.set_members(domain_vms, vms_by_domain)
        if self.pool is not None:
            self._set_pool_members(self.pool)

    def update_domain_demand(
        self,
        domain: str,
        demand_by_team: dict[str, float],
        now: float,
        *,
        is_full: bool,
    ) -> None:
        """Store the demand of another failure domain."""
        self.local.update_domain_demand(domain, demand_by_team, now, is_full=is_full)
        if self.pool is not None:
            self.pool.update_domain_demand(domain, demand_by_team, now, is_full=is_full)

    def update_pool(
        self, designated_host: str, state_by_peer: dict[str, PeerPoolState], now: float
    ) -> None:
        """Open, close or switch the pool.

        Parameters
        ----------
        designated_host : str
            VM that should host the pool according to this VM.
        state_by_peer : dict of str to PeerPoolState
            States of the reachable VMs of the same failure domain.
        now : float
            Local time, in s.
        """
        self._updated_at = now
        self._end_leases(state_by_peer, now)
        if self._first_updated_at is None:
            self._first_updated_at = now
        if designated_host != self.vm:
            self._close_pool()
            peer_state = state_by_peer.get(designated_host)
            is_usable = peer_state is not None and peer_state.has_pool
            is_usable = is_usable and self._may_join(designated_host, now)
            self._switch_host(designated_host if is_usable else "", now)
            self._end_leases(state_by_peer, now)
            return
        if self._host_since is None:
            self._host_since = now
        if not state_by_peer and self._domain_peers:
            # Isolated from the domain: only this VM's own share is safe to use.
            self.pool = None
            self._leases = None
            self._switch_host("", now)
            return
        is_agreed = all(
            peer_state.host in ("", self.vm) for peer_state in state_by_peer.values()
        )
        if self.pool is None and (is_agreed or now - self._host_since > AGREEMENT_S):
            self._open_pool(now)
        if self._leases is not None:
            self._leases.update(state_by_peer)
        self._switch_host(self.vm if self.pool is not None else "", now)

    def admit(
        self, team: str, now: float, *, is_retry: bool = False
    ) -> AdmissionDecision:
        """Decide whether an operation may start.

        Parameters
        ----------
        team : str
            The team.
        now : float
            Local time, in s.
        is_retry : bool
            Whether the operation is waiting and was counted as demand before.
        """
        if team not in self._rate_by_team:
            return AdmissionDecision.ADMITTED
        self._leave_pool_if_suspended(now)
        self._reserved_as_of = now
        if not self.host:
            return _decision(self.local.admit(team, now, is_retry=is_retry))
        if not is_retry:
            self.local.count(team, now)
        if self.pool is not None:
            return _decision(self.pool.admit(team, now, is_retry=is_retry))
        prefetched = self._prefetched_by_team.get(team)
        if (
            prefetched is None
            or now - prefetched.granted_at > PREFETCHED_TTL_S
            or prefetched.tokens < 1.0
        ):
            return AdmissionDecision.ASK_HOST
        prefetched.tokens -= 1.0
        return AdmissionDecision.ADMITTED

    def tokens(self, team: str, now: float) -> float | None:
        """Return a team's tokens, without taking one; None if it has no limit."""
        if team not in self._rate_by_team:
            return None
        self._reserved_as_of = now
        if self.pool is not None or not self.host:
            return (self.pool or self.local).tokens(team, now)
        prefetched = self._prefetched_by_team.get(team)
        if prefetched is None or now - prefetched.granted_at > PREFETCHED_TTL_S:
            return 0.0
        return prefetched.tokens

    def tokens_to_request(self, team: str, now: float) -> int:
        """Return the number of tokens to request from the host."""
        return 1 + int(self.local.local_demand_per_s(team, now) * PREFETCH_S)

    def grant(
        self, team: str, count: int, now: float, *, is_retry: bool = False
    ) -> int:
        """Grant tokens to another VM of the failure domain, 0 if there are none."""
        self._leave_pool_if_suspended(now)
        self._reserved_as_of = now
        if self.pool is None:
            return 0
        granted = 0
        while granted < count and self.pool.admit(team, now, is_retry=is_retry):
            granted += 1
        return granted

    def accept_grant(self, team: str, tokens: int, now: float) -> bool:
        """Store granted tokens and use one, False if none were granted."""
        self._failure_count = 0
        if tokens < 1:
            return False
        self._prefetched_by_team[team] = PrefetchedTokens(tokens - 1.0, now)
        return True

    def on_host_unreachable(self, now: float) -> None:
        """Leave the pool, because the host did not answer."""
        if not self.host or self.pool is not None:
            return
        self._failure_count += 1
        self._failed_host = self.host
        self._failed_at = now
        self._switch_host("", now)

    def on_renewal_sent(self, now: float) -> None:
        """Record a heartbeat that was sent without publishing the demand."""
        self._renewed_at = now

    def is_pool_user(self, vm: str) -> bool:
        """Return whether a VM has said that it uses the pool of this one."""
        return self._leases is not None and self._leases.is_user(vm)

    @property
    def free_at(self) -> float:
        """Local time from which no pool that this VM left admits its share, in s."""
        return self._transferred.free_at

    def return_token(self, team: str, now: float) -> None:
        """Put back the token of an operation that reached no target."""
        if self.pool is not None:
            self.pool.return_token(team)
        elif not self.host:
            self.local.return_token(team)
        else:
            self._prefetched_by_team.setdefault(
                team, PrefetchedTokens(0.0, now)
            ).tokens += 1.0

    def wait_s(self, team: str, now: float) -> float:
        """Return the time until the next token of a team, in s."""
        if self.pool is None:
            return max(0.0, self.free_at - now) + self.local.wait_s(team)
        wait_s = self.pool.wait_s(team)
        free_at = self._shares_free_at()
        if free_at <= now:
            return wait_s
        return min(wait_s, free_at - now + self.interval_s(team, now))

    def interval_s(self, team: str, now: float) -> float:
        """Return the time between two tokens of a team, in s.

        Shares that other pools may still admit count as free, as they soon are.
        """
        if self.pool is None:
            return self.local.interval_s(team)
        self._reserved_as_of = max(now, self._shares_free_at())
        interval_s = self.pool.interval_s(team)
        self._reserved_as_of = now
        return interval_s

    def describe(self, team: str) -> str:
        """Return the inputs of the team's last admission decision."""
        return f"{(self.pool or self.local).describe(team)} pool={self.host or 'none'}"

    def _leave_pool_if_suspended(self, now: float) -> None:
        if self.host and now - self._updated_at > MAX_UPDATE_GAP_S:
            self._close_pool()
            self._switch_host("", now)

    def _switch_host(self, host: str, now: float) -> None:
        if host == self.host:
            return
        was_local = not self.host
        if self.host not in ("", self.vm):
            renewed_at = max(self._renewed_at, self.local.published_at)
            self._transferred.on_left(self.host, renewed_at)
        self._transferred.on_joined(host)
        tokens_by_team = self.local.drain_tokens(now) if was_local and host else {}
        if not was_local:
            self.local.empty(max(now, self.free_at))
        self.host = host
        self.local.is_unknown_outside = not host
        if self.pool is not None:
            self.pool.add_tokens(tokens_by_team, now)
            tokens_by_team = {}
        self._prefetched_by_team = {
            team: PrefetchedTokens(tokens, now)
            for team, tokens in tokens_by_team.items()
        }

    def _open_pool(self, now: float) -> None:
        pool = RateLimiter(
            domain_source(self.domain),
            replace(
                self.tolerance,
                excess_fraction=self.tolerance.excess_fraction * POOL_EXCESS_FRACTION,
            ),
            reserve_share=self._share_outside_pool,
        )
        pool.configure(self._rate_by_team)
        pool.empty(now + POOL_OPENING_DELAY_S)
        self._set_pool_members(pool)
        self.local.seed_demand(pool, now)
        first_at = self._first_updated_at
        if first_at is not None and now - first_at < FRESH_PROCESS_S:
            pool.add_initial_tokens(INITIAL_POOL_S, now)
        self.pool = pool
        self._leases = PoolLeases(self.vm, now, self.local.heard_at)

    def _close_pool(self) -> None:
        self.pool = None
        self._leases = None
        self._host_since = None

    def _end_leases(self, state_by_peer: dict[str, PeerPoolState], now: float) -> None:
        before = self.free_at
        self._transferred.update(self._domain_peers, state_by_peer)
        if now < before != self.free_at:
            self.local.empty(max(now, self.free_at))

    def _may_join(self, host: str, now: float) -> bool:
        if host == self.host or host != self._failed_host:
            return True
        if now >= self._failed_at + LEASE_TERM_S + LOCAL_FALLBACK_S:
            return True
        # It was slow once, unless only one direction works.
        return self._failure_count <= 1 and self.local.heard_at(host) > self._failed_at

    def _share_outside_pool(self, team: str) -> float:
        """Return the share of this failure domain that the pool must not admit."""
        if self._leases is None:
            return 0.0
        now = self._reserved_as_of
        outside = [
            vm for vm in self._domain_peers if not self._leases.is_leased(vm, now)
        ]
        own = self.local.share(team) if now < self.free_at else 0.0
        return own + self.local.share_of(outside, team)

    def _shares_free_at(self) -> float:
        """Return the time from which all shares of the pool's users are free."""
        free_times = () if self._leases is None else self._leases.free_times()
        return max(self.free_at, *free_times, float("-inf"))

    def _set_pool_members(self, pool: RateLimiter) -> None:
        pool.represented_vms = 1 + len(self._domain_peers)
        pool.set_members(frozenset(), self._vms_by_domain)


def _decision(is_admitted: bool) -> AdmissionDecision:
    return AdmissionDecision.ADMITTED if is_admitted else AdmissionDecision.REFUSED
