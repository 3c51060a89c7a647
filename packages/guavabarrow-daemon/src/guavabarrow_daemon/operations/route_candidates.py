"""Read-only collection of the targets that a statement could go to."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from guavabarrow_core.target_load import TargetLoad
from guavabarrow_daemon.fleet.directory_service import DirectoryService
from guavabarrow_daemon.fleet.fleet_service import FleetService
from guavabarrow_daemon.fleet.primary_service import PrimaryService
from guavabarrow_daemon.front.target_chooser import HANDSHAKE_COST_S, TargetChooser
from guavabarrow_daemon.operations.clock import now_s

if TYPE_CHECKING:
    from guavabarrow_core.log_position import LogPosition
    from guavabarrow_core.target_directory import TargetEntry
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
    """What a statement needs; ``max_age_s`` is in s."""

    service: str
    team: str
    needs_primary: bool
    max_age_s: float
    session_position: LogPosition | None


def collect_candidates(kernel: Kernel, query: CandidateQuery) -> list[Candidate]:
    """Return all targets of the service, the one that would be chosen marked.

    Follows ``TargetChooser`` without changing state. The lead replaces it by a method
    of the chooser that returns its candidates with their parts.
    """
    directory = kernel.find(DirectoryService)
    primaries = kernel.find(PrimaryService)
    primary = primaries.primary(query.service)
    row = kernel.find(FleetService).state.primary_row(query.service)
    history = primaries.history(query.service)
    required = None
    if not query.needs_primary:
        required = history.required_position(now=now_s(), max_age_s=query.max_age_s)
    if required is not None and query.session_position is not None:
        required = max(required, query.session_position)
    suspected = directory.suspected()
    candidates = []
    for entry in directory.entries():
        if entry.service != query.service:
            continue
        is_primary = row is not None and row.primary_id == entry.target_id
        obstacle = (
            _primary_obstacle(kernel, entry, primary)
            if is_primary
            else _replica_obstacle(kernel, entry, query, required)
        )
        known = history.newest.position if is_primary and history.newest else None
        needed = None if is_primary else required
        candidates.append(
            Candidate(
                target=entry.target_id,
                domain=entry.domain,
                role="primary" if is_primary else "replica",
                is_usable=not obstacle,
                is_chosen=False,
                reason=obstacle,
                required_position=_format(needed),
                known_position=_format(known),
                evidence=suspected.get(entry.target_id, ""),
                **_load_fields(directory, entry, query.team),
            )
        )
    return _mark_choice(candidates)


def _primary_obstacle(
    kernel: Kernel, entry: TargetEntry, primary: TargetEntry | None
) -> str:
    if primary is not None and primary.target_id == entry.target_id:
        return ""
    row = kernel.find(FleetService).state.primary_row(entry.service)
    if row is not None and row.phase.value != "settled":
        return f"the primary may not be used: phase {row.phase.value}"
    unusable_s = kernel.find(DirectoryService).unusable_s(entry.target_id)
    if unusable_s:
        return f"the primary may not be used: drained or evacuated {unusable_s:.1f} s"
    return "the primary may not be used: this VM has no lease"


def _replica_obstacle(
    kernel: Kernel,
    entry: TargetEntry,
    query: CandidateQuery,
    required: LogPosition | None,
) -> str:
    if query.needs_primary:
        return "the statement needs the primary"
    if entry.is_draining:
        return "draining"
    if entry.domain in kernel.find(FleetService).evacuated:
        return "its domain is evacuated"
    if required is None:
        return "no observation of the primary is young enough to judge freshness"
    behind_s = kernel.find(TargetChooser).behind_s(entry.target_id)
    if behind_s:
        return f"lacked a log position, excluded for {behind_s * 1000:.0f} ms more"
    return ""


def _load_fields(directory: DirectoryService, entry: TargetEntry, team: str) -> dict:
    pool = directory.pool_by_id.get(entry.target_id)
    load = pool.load if pool is not None else TargetLoad()
    wait_s = pool.wait_s if pool is not None else 0.0
    has_idle = pool is not None and pool.has_idle(team)
    is_local = entry.domain == directory.domain
    expected_s = load.expected_s(now_s(), is_local=is_local) + wait_s
    expected_s += 0.0 if has_idle else HANDSHAKE_COST_S
    return {
        "waiting": pool.waiting if pool is not None else 0,
        "wait_s": round(wait_s, 4),
        "expected_s": round(expected_s, 4),
        "has_idle": has_idle,
    }


def _mark_choice(candidates: list[Candidate]) -> list[Candidate]:
    usable = [candidate for candidate in candidates if candidate.is_usable]
    # The chooser lists the primary last, so a replica wins a tie.
    usable.sort(key=lambda candidate: candidate.role == "primary")
    chosen = min(usable, key=lambda candidate: candidate.expected_s, default=None)
    marked = []
    for candidate in candidates:
        reason = candidate.reason
        if chosen is not None and candidate is chosen:
            reason = (
                "the lowest expected time"
                if len(usable) > 1
                else "the only one that can be used"
            )
        elif chosen is not None and candidate.is_usable:
            slower_ms = (candidate.expected_s - chosen.expected_s) * 1000
            reason = f"{slower_ms:.0f} ms slower than {chosen.target}"
        marked.append(
            msgspec.structs.replace(
                candidate, is_chosen=candidate is chosen, reason=reason
            )
        )
    return marked


def _format(position: LogPosition | None) -> str:
    return "" if position is None else f"{position.term}:{position.index}"
