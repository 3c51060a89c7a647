"""The five measures of the users, taken from the callers' side."""

from __future__ import annotations

from dataclasses import asdict, dataclass
from statistics import mean
from typing import TYPE_CHECKING, Any

from guavabarrow_core.history import check_rate

if TYPE_CHECKING:
    from guavabarrow_cli.embedded_fleet import Layout
    from guavabarrow_cli.experiment_plan import ExperimentPlan
    from guavabarrow_cli.load_result import LoadResult

GAP_WINDOW_S = 6.0
RETURN_WINDOW_S = 3.0


@dataclass(frozen=True)
class Measures:
    """The five measures of one run.

    Parameters
    ----------
    replica_share : float
        Share of reads served by replicas.
    failover_gap_s : float or None
        Longest time without an acknowledged write of the service around the kills
        of its primary, worst of the run.
    worst_served_share : float
        Share of requests with a result of the worst-served team within its rate.
    wrongful_refusal_share : float
        Share of requests of teams within their rate refused for their rate.
    domain_service_share : float or None
        Share of requests with a result while a domain leaves and returns.
    teams_above_rate : int
        Teams that got more than rate and burst in some window; must be 0.
    p50_ms, p99_ms : float
        Latency of all teams within their rate.
    """

    replica_share: float
    failover_gap_s: float | None
    worst_served_share: float
    wrongful_refusal_share: float
    domain_service_share: float | None
    teams_above_rate: int
    p50_ms: float
    p99_ms: float


def take_measures(plan: ExperimentPlan, layout: Layout, result: LoadResult) -> Measures:
    """Return the measures of one run.

    Parameters
    ----------
    plan : ExperimentPlan
        Names the faults and the greedy team.
    layout : Layout
        Rates and bursts of the teams.
    result : LoadResult
        What callers saw.
    """
    greedy = plan.greedy.team if plan.greedy else None
    within = [team for name, team in result.by_team.items() if name != greedy]
    sent = sum(team.sent for team in within)
    refused = sum(team.count_by_code.get("rate_exceeded", 0) for team in within)
    return Measures(
        replica_share=round(result.replica_share, 4),
        failover_gap_s=_failover_gap(plan, result),
        worst_served_share=round(min(team.served_share for team in within), 5),
        wrongful_refusal_share=round(refused / max(1, sent), 6),
        domain_service_share=_domain_service(plan, result, greedy),
        teams_above_rate=_teams_above_rate(layout, result),
        p50_ms=round(mean(_percentile(team, 50.0) for team in within), 2),
        p99_ms=round(max(_percentile(team, 99.0) for team in within), 2),
    )


def summarize(runs: list[Measures]) -> dict[str, dict[str, float]]:
    """Return mean, lowest and highest value of each measure over the repeats."""
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


def _failover_gap(plan: ExperimentPlan, result: LoadResult) -> float | None:
    gaps = []
    for fault in plan.faults:
        if fault.kind == "kill_primary":
            times = sorted(
                time
                for team in result.by_team.values()
                for time, service in team.answered_writes
                if service == fault.subject
            )
            since = result.started_at + fault.at_s
            marks = [since]
            marks += [time for time in times if since < time < since + GAP_WINDOW_S]
            marks.append(since + GAP_WINDOW_S)
            pairs = zip(marks, marks[1:], strict=False)
            gaps.append(max(later - earlier for earlier, later in pairs))
    return round(max(gaps), 3) if gaps else None


def _teams_above_rate(layout: Layout, result: LoadResult) -> int:
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


def _domain_service(
    plan: ExperimentPlan, result: LoadResult, greedy: str | None
) -> float | None:
    sent = served = 0
    for fault in plan.faults:
        if fault.kind != "domain_out":
            continue
        since = result.started_at + fault.at_s
        until = since + fault.for_s + RETURN_WINDOW_S
        for name, team in result.by_team.items():
            if name == greedy:
                continue
            codes = [code for due, code in team.timeline if since <= due <= until]
            sent += len(codes)
            served += codes.count("ok")
    return round(served / sent, 5) if sent else None


def _percentile(team: Any, percentile: float) -> float:
    return team.latency.get_value_at_percentile(percentile) / 1000
