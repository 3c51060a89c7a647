"""Rates of teams at one VM, with the tokens of a failure domain kept in one place.

Pattern: teams with small rates whose callers are spread over many VMs. Divided among
all of them a rate leaves less than one operation to each, and callers are refused
although the team is far below it. So the VMs of a failure domain leave their parts to
one of them, the host of the pool, and ask it for tokens. A VM that is out of touch with
the host goes on with its own part, which the host then leaves to it.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from enum import Enum

from guavabarrow_core.rate_limiter import (
    RELAY_S,
    RateLimit,
    RateLimiter,
    RateTolerance,
    domain_source,
)

OPENING_S = 0.1
"""A new pool gives nothing for this long, so that all VMs in contact have heard of it
and admit nothing on their own any more; several crossings of a slow link."""

AGREEMENT_S = 2.0
"""Time after which a host no longer waits for VMs that use the pool of another one."""

SUSPECT_S = 1.0
"""Time for which a VM goes on alone after the host gave no answer."""

MAX_UPDATE_GAP_S = 1.8
"""A VM that has not looked at the others for this long was suspended, and has been
replaced as a host meanwhile."""

STOCK_S = 0.2
"""Demand that a VM asks tokens for at once."""

STOCK_LIFE_S = 1.0
"""Tokens that were not used by then are dropped, so that they make no burst later."""


POOL_OVER_PART = 0.3
"""Part of the tolerated excess of a rate that a pool uses; the rest covers VMs that go
on alone while the host still counts on them."""


class AdmissionDecision(Enum):
    """Whether an operation may start."""

    ADMITTED = "admitted"
    REFUSED = "refused"
    ASK_HOST = "ask host"


@dataclass(frozen=True, slots=True)
class PeerPoolState:
    """What a VM of the own failure domain said last.

    Parameters
    ----------
    host : str
        VM whose pool it uses, empty if it admits on its own part.
    has_pool : bool
        Whether it hosts an open pool.
    """

    host: str
    has_pool: bool


@dataclass(slots=True)
class TokenStock:
    """Tokens of one team that the host granted."""

    tokens: float = 0.0
    granted_at: float = float("-inf")


@dataclass(slots=True)
class PooledRateLimiter:
    """Rates of all teams at one VM.

    Parameters
    ----------
    vm, domain : str
        This VM and its failure domain.
    tolerance : RateTolerance
        What may come on top of the rates.

    Attributes
    ----------
    local : RateLimiter
        Parts that this VM uses when it has no pool.
    pool : RateLimiter or None
        Tokens of the failure domain, if this VM hosts them.
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
    _stock_by_team: dict[str, TokenStock] = field(default_factory=dict)
    _alone_until: float = float("-inf")
    _first_since: float | None = None
    _updated_at: float = float("-inf")

    def __post_init__(self) -> None:
        self.local = RateLimiter(self.vm, self.tolerance, relay_s=RELAY_S)

    def configure(self, rate_by_team: dict[str, RateLimit]) -> None:
        """Take the rates of a configuration."""
        self._rate_by_team = rate_by_team
        self.local.configure(rate_by_team)
        if self.pool is not None:
            self.pool.configure(rate_by_team)

    def set_members(self, near: frozenset[str], vms_by_domain: dict[str, int]) -> None:
        """Take the VMs that may serve.

        Parameters
        ----------
        near : frozenset of str
            Those of the own failure domain.
        vms_by_domain : dict of str to int
            How many there are in each other domain.
        """
        self._domain_peers = near - {self.vm}
        self._vms_by_domain = vms_by_domain
        self.local.set_members(near, vms_by_domain)
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
        """Take the demand of another failure domain."""
        self.local.update_domain_demand(domain, demand_by_team, now, is_full=is_full)
        if self.pool is not None:
            self.pool.update_domain_demand(domain, demand_by_team, now, is_full=is_full)

    def update_pool(
        self, first: str, state_by_peer: dict[str, PeerPoolState], now: float
    ) -> None:
        """Open, close or change the pool.

        Parameters
        ----------
        first : str
            VM that should host the pool, as this VM sees it.
        state_by_peer : dict of str to PeerPoolState
            Views of the VMs of the own failure domain that are in contact.
        now : float
            Local time, in s.
        """
        self._updated_at = now
        if first != self.vm:
            self._first_since = None
            self.pool = None
            view = state_by_peer.get(first)
            self._use(first if view is not None and view.has_pool else "", now)
            return
        if self._first_since is None:
            self._first_since = now
        if not state_by_peer and self._domain_peers:
            # Cut off alone: only the own part is safe.
            self.pool = None
            self._use("", now)
            return
        is_agreed = all(view.host in ("", self.vm) for view in state_by_peer.values())
        if self.pool is None and (is_agreed or now - self._first_since > AGREEMENT_S):
            self._open(now)
        self._use(self.vm if self.pool is not None else "", now)

    def admit(self, team: str, now: float) -> AdmissionDecision:
        """Tell whether an operation may start."""
        if team not in self._rate_by_team:
            return AdmissionDecision.ADMITTED
        self._leave_if_suspended(now)
        if not self.host or now < self._alone_until:
            return _verdict(self.local.admit(team, now))
        self.local.count(team, now)
        if self.pool is not None:
            return _verdict(self.pool.admit(team, now))
        stock = self._stock_by_team.get(team)
        if stock is None or now - stock.granted_at > STOCK_LIFE_S or stock.tokens < 1.0:
            return AdmissionDecision.ASK_HOST
        stock.tokens -= 1.0
        return AdmissionDecision.ADMITTED

    def tokens_to_request(self, team: str, now: float) -> int:
        """Return how many tokens to ask the host for."""
        return 1 + int(self.local.demand_of(team, now) * STOCK_S)

    def grant(self, team: str, count: int, now: float) -> int:
        """Give tokens to another VM of the failure domain, 0 if there are none."""
        self._leave_if_suspended(now)
        if self.pool is None:
            return 0
        granted = 0
        while granted < count and self.pool.admit(team, now):
            granted += 1
        return granted

    def accept_grant(self, team: str, tokens: int, now: float) -> bool:
        """Take tokens and use one, False if none came."""
        if tokens < 1:
            return False
        self._stock_by_team[team] = TokenStock(tokens - 1.0, now)
        return True

    def on_host_unreachable(self, now: float) -> None:
        """Go on alone because the host gave no answer."""
        if now >= self._alone_until:
            self.local.empty(now)
        self._alone_until = now + SUSPECT_S

    def return_token(self, team: str, now: float) -> None:
        """Return the token of an operation that reached no target."""
        if self.pool is not None:
            self.pool.return_token(team)
        elif not self.host:
            self.local.return_token(team)
        else:
            self._stock_by_team.setdefault(team, TokenStock(0.0, now)).tokens += 1.0

    def wait_s(self, team: str) -> float:
        """Return the time until the next token of a team, in s."""
        return (self.pool or self.local).wait_s(team)

    def describe(self, team: str) -> str:
        """Return the inputs of the last decision about a team."""
        return f"{(self.pool or self.local).describe(team)} pool={self.host or 'none'}"

    def _leave_if_suspended(self, now: float) -> None:
        if self.host and now - self._updated_at > MAX_UPDATE_GAP_S:
            self.pool = None
            self._first_since = None
            self._use("", now)

    def _use(self, host: str, now: float) -> None:
        if host == self.host:
            return
        was_local = not self.host or now < self._alone_until
        tokens_by_team = self.local.take_tokens(now) if was_local and host else {}
        if not was_local:
            self.local.empty(now)
        self.host = host
        self._alone_until = float("-inf")
        if self.pool is not None:
            self.pool.add_tokens(tokens_by_team, now)
            tokens_by_team = {}
        self._stock_by_team = {
            team: TokenStock(tokens, now) for team, tokens in tokens_by_team.items()
        }

    def _open(self, now: float) -> None:
        pool = RateLimiter(
            domain_source(self.domain),
            replace(self.tolerance, over=self.tolerance.over * POOL_OVER_PART),
            reserve_part=self.local.unreachable_part,
        )
        pool.configure(self._rate_by_team)
        pool.empty(now + OPENING_S)
        self._set_pool_members(pool)
        self.local.hand_demand(pool, now)
        self.pool = pool

    def _set_pool_members(self, pool: RateLimiter) -> None:
        pool.own_vms = 1 + len(self._domain_peers)
        pool.set_members(frozenset(), self._vms_by_domain)


def _verdict(is_admitted: bool) -> AdmissionDecision:
    return AdmissionDecision.ADMITTED if is_admitted else AdmissionDecision.REFUSED
