"""State of the pool of one target, for display and metrics."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable

    from guavabarrow_daemon.operations.session_metrics import SessionMetrics
    from guavabarrow_daemon.targets.session_pool import SessionPool


class PoolView(msgspec.Struct, frozen=True):
    """State of the pool of one target.

    Parameters
    ----------
    target, service : str
        The target and its service.
    is_hosted, is_host : bool
        Whether the service has hosts, and whether this VM is the one of its domain.
    budget, kept : int
        Connections that may be open now, and how many are kept when idle.
    open, opening, idle, in_transaction : int
        Connections by state.
    running : int
        Statements that run at the target.
    waiting_by_priority : dict of int to int
        Statements that wait.
    refused_by_priority : dict of int to dict of str to int
        Statements refused so far, by priority and reason.
    opened, closed_for_another : int
        Connections opened so far, and idle ones closed for another team.
    expected_wait_s : float
        Expected wait of a statement that is added now, in s.
    """

    target: str
    service: str
    is_hosted: bool
    is_host: bool
    budget: int
    kept: int
    open: int
    opening: int
    idle: int
    in_transaction: int
    running: int
    waiting_by_priority: dict[int, int]
    refused_by_priority: dict[int, dict[str, int]]
    opened: int
    closed_for_another: int
    expected_wait_s: float


def describe_pool(pool: SessionPool, now: float) -> PoolView:
    """Return the state of a pool at a local time, in s."""
    waiting = pool.waiters.count_by_priority
    limits = pool.budget.limits
    return PoolView(
        target=pool.entry.target_id,
        service=pool.entry.service,
        is_hosted=limits.is_hosted,
        is_host=limits.is_host,
        budget=pool.budget.limit(now),
        kept=limits.kept_idle,
        open=len(pool.connections),
        opening=pool.opening_count,
        idle=len(pool.held.idle),
        in_transaction=len(pool.held.in_transaction),
        running=pool.running_count,
        waiting_by_priority={key: n for key, n in sorted(waiting.items()) if n},
        refused_by_priority={key: dict(n) for key, n in sorted(pool.refused.items())},
        opened=pool.opened,
        closed_for_another=pool.evicted,
        expected_wait_s=round(pool.wait_s, 3),
    )


def summarize_pool(pool: SessionPool) -> str:
    """Return the state of a pool for error messages."""
    limits = pool.budget.limits
    return (
        f"target={pool.entry.target_id} open={len(pool.connections)} "
        f"opening={pool.opening_count} idle={len(pool.held.idle)} "
        f"waiting={pool.waiting} "
        f"limit={limits.fair_share}-{limits.connection_limit}"
    )


def publish_pools(metrics: SessionMetrics, views: Iterable[PoolView]) -> None:
    """Set the gauges of all pools of this VM.

    Parameters
    ----------
    metrics : SessionMetrics
        Metrics of this VM; gauges of pools that no longer exist are removed.
    views : iterable of PoolView
        All pools.
    """
    metrics.pool_connections.clear()
    metrics.pool_waiting.clear()
    for view in views:
        for state, count in (
            ("budget", view.budget),
            ("open", view.open),
            ("idle", view.idle),
            ("in_transaction", view.in_transaction),
        ):
            metrics.pool_connections.labels(view.service, view.target, state).set(count)
        for priority, count in view.waiting_by_priority.items():
            metrics.pool_waiting.labels(view.service, view.target, priority).set(count)
