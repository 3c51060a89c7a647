"""Connections that the VMs may open to a target, and which of them are kept idle.

All VMs share the connection limit of a target. If one VM of each failure domain runs
the statements of a service (its host), most of the limit is divided among the hosts, so
that a team's next statement finds an idle connection instead of opening one, which
costs the target about as much as a statement. At most half of it is kept idle, because
a target counts the connections of a machine that lost power for some seconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from guavabarrow_core.service_host import HostPlan

RESERVED_CONNECTIONS = 2
"""Connections of each target kept free for joining VMs and status queries."""

HOST_FRACTION = 0.8
"""Fraction of a target's connections divided among the hosts of a service; the rest is
for VMs that cannot reach their host."""

KEPT_FRACTION = 0.5
"""Fraction of a host's connections kept when idle. After a power loss of all VMs, the
target counts these for seconds, and the new hosts need the other half."""

KEPT_IDLE_S = 8.0
"""Idle time after which a kept connection is closed: several intervals between the
statements of a team that sends one every second or two."""

RESTART_FRACTION = 0.6
"""Fraction of a host's connections up to which those beyond the kept ones may be idle
for ``IDLE_TIMEOUT_S``. After a power loss of all VMs, the connections of the former
hosts and as many of the new ones fit (2 * 0.6 * ``HOST_FRACTION`` < 1)."""

SPARE_IDLE_S = 0.1
"""Idle time after which a host with more connections closes those beyond the kept ones.
"""

EXCESS_IDLE_TIMEOUT_S = 0.3
"""Idle time after which a connection above the fair share is closed."""

IDLE_TIMEOUT_S = 0.4
"""Idle time after which any connection is closed. The connections of a machine that
loses power count against the target's limit for seconds, so VMs keep few of them."""

FULL_PAUSE_S = 3.0
"""Time for which a pool stays within the connections it had when the target was at its
limit: that for which targets count the connections of a VM that lost power."""

MIN_RETRY_S = 0.06
MAX_RETRY_S = 0.48
"""Pause of a pool without connections after the target refused one at its limit. It
doubles from the first to the second value, since each refusal costs the target as much
as a handshake."""

TEAM_TRANSACTION_FRACTION = 0.25
"""Fraction of a pool's connections that the open transactions of one team may hold
while other teams wait."""

TRANSACTION_FRACTION = 0.75
"""Fraction of a pool's connections that open transactions may hold together, so that
single statements never wait for an idle transaction to time out."""


@dataclass(frozen=True, slots=True)
class PoolLimits:
    """Connection limits of a VM's pool for one target.

    Parameters
    ----------
    fair_share : int
        Connections that the VM may always open.
    connection_limit : int
        Connections that it may open while the target accepts them.
    kept_idle : int
        Idle connections kept for ``KEPT_IDLE_S``.
    is_host : bool
        Whether the VM runs the statements of its whole failure domain.
    is_hosted : bool
        Whether some VM does.
    """

    fair_share: int
    connection_limit: int
    kept_idle: int = 0
    is_host: bool = False
    is_hosted: bool = False


def divide_connections(
    max_connections: int, member_count: int, plan: HostPlan
) -> PoolLimits:
    """Divide a target's connection limit among the VMs.

    Parameters
    ----------
    max_connections : int
        Connections that the target accepts from the whole fleet.
    member_count : int
        Number of registered VMs.
    plan : HostPlan
        Role of this VM for the target's service.

    Returns
    -------
    PoolLimits
        Limits of this VM.

    Examples
    --------
    >>> from guavabarrow_core.service_host import HostPlan
    >>> limits = divide_connections(20, 4, HostPlan())
    >>> limits.fair_share, limits.connection_limit, limits.kept_idle
    (4, 5, 0)
    >>> limits = divide_connections(56, 58, HostPlan(True, True, 3))
    >>> limits.connection_limit, limits.kept_idle
    (14, 7)
    """
    available = max(1, max_connections - RESERVED_CONNECTIONS)
    if plan.is_host and plan.is_hosted:
        budget = max(1, int(HOST_FRACTION * available) // max(1, plan.host_count))
        return PoolLimits(budget, budget, int(KEPT_FRACTION * budget), True, True)
    if plan.is_hosted:
        return PoolLimits(1, 1, is_hosted=True)
    fair_share = max(1, available // max(1, member_count))
    return PoolLimits(fair_share, max(fair_share, min(available, fair_share + 1)))


@dataclass(slots=True)
class ConnectionBudget:
    """Connections that a pool may open now, after refusals at the target's limit.

    Used for services with hosts. Elsewhere a pool pauses for a fixed time and falls
    back to its fair share.

    Parameters
    ----------
    limits : PoolLimits
        Limits of the pool.

    Examples
    --------
    >>> budget = ConnectionBudget(PoolLimits(14, 14, 7, is_host=True, is_hosted=True))
    >>> budget.on_full(open_count=9, now=1.0)
    >>> budget.limit(1.1), budget.limit(1.0 + FULL_PAUSE_S)
    (9, 14)
    """

    limits: PoolLimits
    _reduced_limit: int = 0
    _reduced_until: float = float("-inf")
    _retry_at: float = float("-inf")
    _retry_s: float = MIN_RETRY_S

    def limit(self, now: float) -> int:
        """Return how many connections may be open at a local time, in s."""
        if now < self._reduced_until:
            return min(self._reduced_limit, self.limits.connection_limit)
        return self.limits.connection_limit

    def retry_s(self, now: float) -> float:
        """Return for how long no connection may be opened, in s."""
        return max(0.0, self._retry_at - now)

    def on_opened(self) -> None:
        """Record that the target accepted a connection."""
        self._retry_s = MIN_RETRY_S

    def on_full(self, open_count: int, now: float) -> None:
        """Record a refusal at the target's connection limit.

        Parameters
        ----------
        open_count : int
            Connections of the pool that are open, without the refused one.
        now : float
            Local time, in s.
        """
        self._reduced_limit = max(1, open_count)
        self._reduced_until = now + FULL_PAUSE_S
        self._retry_at = now + self._retry_s
        self._retry_s = min(MAX_RETRY_S, 2.0 * self._retry_s)

    def idle_timeout_s(self, rank: int, open_count: int) -> float:
        """Return the idle time after which an idle connection is closed, in s.

        Parameters
        ----------
        rank : int
            Number of idle connections that are used again sooner; see ``team_use``.
        open_count : int
            Open connections of the pool.
        """
        if rank < self.limits.kept_idle:
            return KEPT_IDLE_S
        limits = self.limits
        if limits.is_host and open_count > RESTART_FRACTION * limits.connection_limit:
            return SPARE_IDLE_S
        is_excess = open_count > self.limits.fair_share
        return EXCESS_IDLE_TIMEOUT_S if is_excess else IDLE_TIMEOUT_S

    def may_begin_transaction(self, open_transactions: int) -> bool:
        """Return whether one more transaction may hold a connection now."""
        bound = int(TRANSACTION_FRACTION * self.limits.connection_limit)
        return open_transactions < max(1, bound)

    def is_team_at_bound(self, team_transactions: int, *, others_wait: bool) -> bool:
        """Return whether a team's next transaction is to be refused.

        Parameters
        ----------
        team_transactions : int
            Transactions of the team that are open or wait for a connection.
        others_wait : bool
            Whether statements of other teams wait.
        """
        bound = int(TEAM_TRANSACTION_FRACTION * self.limits.connection_limit)
        return others_wait and team_transactions >= max(1, bound)


def allowed_handshakes(waiting_teams: Iterable[str], *, has_room: bool) -> int:
    """Return how many connections a pool may be opening at a time.

    Each handshake occupies a slot of the target, and many at once leave none for
    statements.

    Parameters
    ----------
    waiting_teams : iterable of str
        Teams that wait for a connection and have none that will be free soon.
    has_room : bool
        Whether the send window has room for one more statement.
    """
    return 2 if has_room and len(set(waiting_teams)) > 1 else 1
