"""Fleet-wide rate limits: the ledger of a failure domain lends tokens to its VMs.

A team's rate and burst are split over the failure domains. In each domain the
holder of the ledger lease keeps one token bucket per team and grants tokens to VMs
on request. Lent tokens count against the burst, so that buckets and VMs together never
hold more tokens than the burst, and no more are created than the rate allows.
"""

from __future__ import annotations

from dataclasses import dataclass, field

GRANT_TTL_S = 1.0
PREFETCH_S = 0.1
DEMAND_SMOOTHING_S = 0.5
LEND_RESERVE_S = 0.5
ROUNDING_ERROR = 1e-9
RETURN_GRACE_S = 1.0


@dataclass(frozen=True, slots=True)
class Grant:
    """Tokens lent to a VM.

    Parameters
    ----------
    tokens : float
        Number of tokens, possibly 0.
    ttl_s : float
        Seconds during which they may be spent, counted from sending the request.
    retry_after_s : float
        Seconds until the missing tokens are created if fewer than wanted were granted.
    """

    tokens: float
    ttl_s: float
    retry_after_s: float


@dataclass(slots=True)
class Loan:
    """Lent tokens that a VM may still spend."""

    tokens: float
    expires_at: float


@dataclass(slots=True)
class DomainBucket:
    """Token bucket of one team in one failure domain, kept by the lease holder.

    Parameters
    ----------
    rate_per_s : float
        Share of the team's rate.
    burst : float
        Share of the team's burst.
    refilled_at : float
        Monotonic time from which tokens are created. The bucket starts empty: the
        previous holder may have granted all its tokens, so a new holder passes the
        time at which the last such grant has expired.
    """

    rate_per_s: float
    burst: float
    refilled_at: float
    level: float = 0.0
    loan_by_vm: dict[str, Loan] = field(default_factory=dict)
    _demand_per_s: float = 0.0
    _demand_at: float = 0.0

    @property
    def outstanding(self) -> float:
        """Tokens that VMs may still spend or return."""
        return sum(loan.tokens for loan in self.loan_by_vm.values())

    def set_limits(self, *, rate_per_s: float, burst: float, now: float) -> None:
        """Change rate and burst; tokens above the new burst are discarded."""
        self.refill(now)
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.level = min(self.level, max(0.0, burst - self.outstanding))

    def grant(
        self,
        vm: str,
        *,
        wanted: float,
        held: float,
        now: float,
        returned: float = 0.0,
        ttl_s: float = GRANT_TTL_S,
    ) -> Grant:
        """Lend tokens to a VM.

        Parameters
        ----------
        vm : str
            VM that borrows.
        wanted : float
            Tokens requested.
        held : float
            Tokens from earlier grants that the VM still holds.
        returned : float
            Tokens from earlier grants that expired unspent at the VM.
        now : float
            Monotonic time at the lease holder.
        ttl_s : float
            Lifetime of the grant, limited by the holder's lease.

        Returns
        -------
        Grant
            The wanted tokens, or as many as the bucket has.
        """
        self.refill(now)
        self._record_demand(wanted, now)
        previous = self.loan_by_vm.pop(vm, Loan(0.0, now))
        returned = min(returned, previous.tokens)
        held = min(held, previous.tokens - returned)
        self.level += returned
        tokens = min(wanted, self.level)
        self.level -= tokens
        expires_at = max(now + ttl_s, previous.expires_at)
        self.loan_by_vm[vm] = Loan(held + tokens, expires_at)
        missing = max(0.0, wanted - tokens)
        retry_after_s = missing / self.rate_per_s if self.rate_per_s > 0 else 1.0
        return Grant(tokens, ttl_s, retry_after_s)

    def lend(self, wanted: float, now: float) -> float:
        """Transfer tokens to another domain's ledger, but keep a reserve for local use.

        Parameters
        ----------
        wanted : float
            Tokens that the other domain requests.
        now : float
            Monotonic time.

        Returns
        -------
        float
            Tokens transferred; they are not returned to this bucket.
        """
        self.refill(now)
        reserve = min(self.burst, self._recent_demand(now) * LEND_RESERVE_S)
        tokens = max(0.0, min(wanted, self.level - reserve))
        self.level -= tokens
        return tokens

    def receive(self, tokens: float, now: float) -> None:
        """Add tokens from another domain, up to the burst share."""
        self.refill(now)
        free = max(0.0, self.burst - self.outstanding - self.level)
        self.level += min(tokens, free)

    def refill(self, now: float) -> None:
        """Create the tokens due since the last call, up to the burst share."""
        for vm, loan in list(self.loan_by_vm.items()):
            if loan.expires_at + RETURN_GRACE_S <= now:
                del self.loan_by_vm[vm]
        elapsed_s = max(0.0, now - self.refilled_at)
        self.refilled_at = max(now, self.refilled_at)
        ceiling = max(0.0, self.burst - self.outstanding)
        self.level = min(ceiling, self.level + elapsed_s * self.rate_per_s)

    def _record_demand(self, wanted: float, now: float) -> None:
        demand_per_s = self._recent_demand(now)
        self._demand_per_s = demand_per_s + wanted / DEMAND_SMOOTHING_S
        self._demand_at = now

    def _recent_demand(self, now: float) -> float:
        decay = max(0.0, 1.0 - (now - self._demand_at) / DEMAND_SMOOTHING_S)
        return self._demand_per_s * decay


@dataclass(slots=True)
class TokenCache:
    """Borrowed tokens of one team at a VM.

    Examples
    --------
    >>> cache = TokenCache()
    >>> cache.spend(1.0, now=0.0)
    False
    >>> cache.add(2.0, expires_at=1.0, now=0.0)
    >>> cache.spend(1.0, now=0.5), cache.spend(1.0, now=1.0)
    (True, False)
    """

    tokens: float = 0.0
    expires_at: float = 0.0
    _demand_per_s: float = 0.0
    _demand_at: float = 0.0
    _returned: float = 0.0

    def spend(self, cost: float, now: float) -> bool:
        """Spend tokens, False if fewer than the cost are held."""
        self._record_demand(cost, now)
        self._expire(now)
        if self.tokens < cost - ROUNDING_ERROR:
            return False
        self.tokens = max(0.0, self.tokens - cost)
        return True

    def take_returned(self) -> float:
        """Return the tokens that expired unspent since the last call."""
        returned, self._returned = self._returned, 0.0
        return returned

    def add(self, tokens: float, *, expires_at: float, now: float) -> None:
        """Add granted tokens; all held tokens get the earlier expiry."""
        self._expire(now)
        if self.tokens > 0:
            expires_at = min(expires_at, self.expires_at)
        self.tokens += tokens
        self.expires_at = expires_at

    def wanted(self, waiting: float, now: float) -> float:
        """Return how many tokens to request, given the cost of waiting operations."""
        self._expire(now)
        decay = max(0.0, 1.0 - (now - self._demand_at) / DEMAND_SMOOTHING_S)
        prefetch = self._demand_per_s * decay * PREFETCH_S
        return max(0.0, waiting + prefetch - self.tokens)

    def _expire(self, now: float) -> None:
        if now >= self.expires_at:
            self._returned += self.tokens
            self.tokens = 0.0

    def _record_demand(self, cost: float, now: float) -> None:
        decay = max(0.0, 1.0 - (now - self._demand_at) / DEMAND_SMOOTHING_S)
        self._demand_per_s = self._demand_per_s * decay + cost / DEMAND_SMOOTHING_S
        self._demand_at = now
