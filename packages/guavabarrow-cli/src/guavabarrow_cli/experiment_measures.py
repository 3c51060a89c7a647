"""The users' five measures of service quality, from the results of callers."""

from __future__ import annotations

from dataclasses import asdict, dataclass
from statistics import mean
from typing import TYPE_CHECKING, Any

from guavabarrow_core.history import check_rate

if TYPE_CHECKING:
    from guavabarrow_cli.embedded_fleet import Layout
    from guavabarrow_cli.experiment_plan import ExperimentPlan
    from guavabarrow_cli.load_result import LoadResult

FAILOVER_WINDOW_S = 6.0
RECOVERY_WINDOW_S = 3.0


@dataclass(frozen=True)
class Measures:
    """The five measures and the latency of one run.

    Parameters
    ----------
    replica_share : float
        Share of reads served by replicas.
    failover_gap_s : float or None
        Longest time without an acknowledged write of a service within
        ``FAILOVER_WINDOW_S`` after its primary is stopped, maximum of the run.
    worst_served_share : float
        Lowest share of successful requests among the teams within their rate.
    wrongful_refusal_share : float
        Share of the requests of teams within their rate that were refused with
        ``rate_exceeded``.
    domain_service_share : float or None
        Share of successful requests while a failure domain is out of service and for
        ``RECOVERY_WINDOW_S`` after it returns.
    teams_above_rate : int
        Teams whose admitted requests exceed rate and burst in some window; must be 0.
    p50_ms, p99_ms : float
        Mean of the medians and highest 99th percentile of the latency of the teams
        within their rate, ms.
    """

    replica_share: float
    failover_gap_s: float | None
    worst_served_share: float
    wrongful_refusal_share: float
    domain_service_share: float | None
    teams_above_rate: int
    p50_ms: float
    p99_ms: float


def compute_measures(
    plan: ExperimentPlan, layout: Layout, result: LoadResult
) -> Measures:
    """Compute the measures of one run.

    Parameters
    ----------
    plan : ExperimentPlan
        Plan with the faults and the team that exceeds its rate.
    layout : Layout
        Layout with the rates and bursts of the teams.
    result : LoadResult
        Results of the callers.
    """
    greedy = plan.greedy.team if plan.greedy else None
    teams_within_rate = [
        team for name, team in result.by_team.items() if name != greedy
    ]
    sent = sum(team.sent for team in teams_within_rate)
    rate_refusals = sum(
        team.count_by_code.get("rate_exceeded", 0) for team in teams_within_rate
    )
    return Measures(
        replica_share=round(result.replica_share, 4),
        failover_gap_s=_longest_write_gap(plan, result),
        worst_served_share=round(
            min(team.served_share for team in teams_within_rate), 5
        ),
        wrongful_refusal_share=round(rate_refusals / max(1, sent), 6),
        domain_service_share=_domain_service_share(plan, result, greedy),
        teams_above_rate=_count_teams_above_rate(layout, result),
        p50_ms=round(
            mean(_latency_percentile_ms(team, 50.0) for team in teams_within_rate), 2
        ),
        p99_ms=round(
            max(_latency_percentile_ms(team, 99.0) for team in teams_within_rate), 2
        ),
    )


def summarize(runs: list[Measures]) -> dict[str, dict[str, float]]:
    """Return mean, minimum and maximum of each measure over the repeats."""
    summary = {}
    for name in asdict(runs[0]):
        values = [getattr(run, name) for run in runs if getattr(run, name) is not None]
        if values:
            summary[name] = {
                "mean": round(mean(values), 5),
                "min": min(values),
                "max": max(values),
            }
    return summary


def _longest_write_gap(plan: ExperimentPlan, result: LoadResult) -> float | None:
    gaps = []
    for fault in plan.faults:
        if fault.kind == "kill_primary":
            times = sorted(
                time
                for team in result.by_team.values()
                for time, service in team.acknowledged_writes
                if service == fault.subject
            )
            since = result.started_at + fault.at_s
            event_times = [since]
            event_times += [
                time for time in times if since < time < since + FAILOVER_WINDOW_S
            ]
            event_times.append(since + FAILOVER_WINDOW_S)
            pairs = zip(event_times, event_times[1:], strict=False)
            gaps.append(max(later - earlier for earlier, later in pairs))
    return round(max(gaps), 3) if gaps else None


def _count_teams_above_rate(layout: Layout, result: LoadResult) -> int:
    return sum(
        bool(
            check_rate(
                result.by_team[team.name].admitted,
                rate_per_s=team.rate_per_s,
                burst=team.burst,
            )
        )
        for team in layout.teams
    )


def _domain_service_share(
    plan: ExperimentPlan, result: LoadResult, greedy: str | None
) -> float | None:
    sent = served = 0
    for fault in plan.faults:
        if fault.kind != "domain_out":
            continue
        since = result.started_at + fault.at_s
        until = since + fault.for_s + RECOVERY_WINDOW_S
        for name, team in result.by_team.items():
            if name == greedy:
                continue
            codes = [code for due, code in team.timeline if since <= due <= until]
            sent += len(codes)
            served += codes.count("ok")
    return round(served / sent, 5) if sent else None


def _latency_percentile_ms(team: Any, percentile: float) -> float:
    return team.latency.get_value_at_percentile(percentile) / 1000
