"""Read-only collection of the targets that a statement could go to."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

import msgspec

from guavabarrow_core.fleet_state import LeadPhase
from guavabarrow_core.session_configuration import Consistency
from guavabarrow_core.session_values import SessionValues
from guavabarrow_core.target_ranking import Candidate as RankedCandidate
from guavabarrow_core.target_ranking import Verdict
from guavabarrow_daemon.fleet.directory_service import DirectoryService
from guavabarrow_daemon.fleet.fleet_service import FleetService
from guavabarrow_daemon.fleet.primary_service import PrimaryService
from guavabarrow_daemon.front.statement_context import StatementContext
from guavabarrow_daemon.front.target_chooser import TargetChooser
from guavabarrow_daemon.operations.clock import now_s

if TYPE_CHECKING:
    from guavabarrow_core.log_position import LogPosition
    from guavabarrow_core.session_configuration import Route
    from guavabarrow_daemon.kernel import Kernel


class Candidate(msgspec.Struct, frozen=True):
    """One target of the service.

    Parameters
    ----------
    target, domain, role : str
        Target, its failure domain, and ``primary`` or ``replica``.
    is_usable, is_chosen : bool
        Whether the statement could go there now, and whether it would.
    reason : str
        Why it is chosen or not.
    required_position, known_position : str
        Position that a replica must have reached, and the newest one observed at the
        primary, as TERM:INDEX; empty if none. A replica's own position is unknown.
    waiting : int
        Statements of this VM that wait for a connection.
    wait_s, expected_s : float
        Expected wait for a connection, and expected time in total, in s.
    has_idle : bool
        Whether the team has an idle connection.
    evidence : str
        Recent evidence of a failure, empty if none.
    """

    target: str
    domain: str
    role: str
    is_usable: bool
    is_chosen: bool
    reason: str
    required_position: str
    known_position: str
    waiting: int
    wait_s: float
    expected_s: float
    has_idle: bool
    evidence: str


@dataclass(frozen=True, slots=True)
class CandidateQuery:
    """Statement whose candidates are wanted.

    Parameters
    ----------
    route : Route
        Route with the maximum age that applies.
    team : str
        Team that the statement runs for.
    needs_primary : bool
        Whether only the primary can run it.
    session_position : LogPosition or None
        Position of the session's last commit.
    """

    route: Route
    team: str
    needs_primary: bool
    session_position: LogPosition | None


def collect_candidates(kernel: Kernel, query: CandidateQuery) -> list[Candidate]:
    """Return all targets of the service, the one that would be chosen marked.

    The chooser itself explains its choice, and no state is changed.
    """
    route = query.route
    if query.needs_primary:
        route = replace(route, consistency=Consistency.PRIMARY)
    now = now_s()
    context = StatementContext(
        route=route,
        team=query.team,
        request_id="",
        began_at=now,
        deadline=now + route.timeout_s,
        values=SessionValues(),
        session_position=query.session_position,
    )
    ranked = kernel.find(TargetChooser).explain_read(context, set(), now)
    return [_to_view(kernel, query, candidate, ranked) for candidate in ranked]


def _to_view(
    kernel: Kernel,
    query: CandidateQuery,
    candidate: RankedCandidate,
    ranked: list[RankedCandidate],
) -> Candidate:
    directory = kernel.find(DirectoryService)
    row = kernel.find(FleetService).state.primary_row(query.route.service)
    is_primary = row is not None and row.primary_id == candidate.target_id
    history = kernel.find(PrimaryService).history(query.route.service)
    known = history.newest.position if is_primary and history.newest else None
    pool = directory.pool_by_id.get(candidate.target_id)
    return Candidate(
        target=candidate.target_id,
        domain=candidate.domain,
        role="primary" if is_primary else "replica",
        is_usable=candidate.is_chosen or candidate.verdict is Verdict.SLOWER,
        is_chosen=candidate.is_chosen,
        reason=_describe(kernel, query.route.service, candidate, is_primary, ranked),
        required_position=_format(candidate.after),
        known_position=_format(known),
        waiting=pool.waiting if pool is not None else 0,
        wait_s=round(candidate.queue_s, 4),
        expected_s=round(candidate.expected_s, 4),
        has_idle=candidate.has_idle,
        evidence=directory.suspected().get(candidate.target_id, ""),
    )


def _describe(
    kernel: Kernel,
    service: str,
    candidate: RankedCandidate,
    is_primary: bool,
    ranked: list[RankedCandidate],
) -> str:
    if is_primary and not candidate.is_primary:
        return _primary_obstacle(kernel, service, candidate.target_id)
    chosen = next((other for other in ranked if other.is_chosen), None)
    if candidate.is_chosen:
        is_alone = all(
            other is candidate or other.verdict is not Verdict.SLOWER
            for other in ranked
        )
        if candidate.verdict is Verdict.CHOSEN_AS_PROBE:
            return candidate.verdict.value
        return (
            "the only one that can be used" if is_alone else "the lowest expected time"
        )
    if candidate.verdict is Verdict.SLOWER and chosen is not None:
        slower_ms = (candidate.expected_s - chosen.expected_s) * 1000
        return f"{slower_ms:.0f} ms slower than {chosen.target_id}"
    if candidate.verdict is Verdict.BEHIND:
        behind_s = kernel.find(TargetChooser).behind_s(candidate.target_id)
        return f"lacked a log position, excluded for {behind_s * 1000:.0f} ms more"
    return candidate.verdict.value


def _primary_obstacle(kernel: Kernel, service: str, target_id: str) -> str:
    """Return why the service's primary may not be used."""
    row = kernel.find(FleetService).state.primary_row(service)
    if row is not None and row.phase is not LeadPhase.SETTLED:
        return f"the primary may not be used: phase {row.phase.value}"
    unusable_s = kernel.find(DirectoryService).unusable_s(target_id)
    if unusable_s:
        return f"the primary may not be used: drained or evacuated {unusable_s:.1f} s"
    return "the primary may not be used: this VM has no lease"


def _format(position: LogPosition | None) -> str:
    return "" if position is None else f"{position.term}:{position.index}"
