"""Explains where a statement would go now and why, without sending it.

Nothing is sent to a target, no token is taken and no pool is created.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from guavabarrow_core.exceptions import GuavabarrowError
from guavabarrow_core.log_position import LogPosition
from guavabarrow_core.pooled_rate_limiter import AdmissionDecision
from guavabarrow_core.session_configuration import Consistency
from guavabarrow_daemon.fleet.fleet_service import FleetService
from guavabarrow_daemon.fleet.rate_service import RateService
from guavabarrow_daemon.front.session_admission import ANONYMOUS_TEAM
from guavabarrow_daemon.operations.clock import now_s
from guavabarrow_daemon.operations.route_candidates import (
    Candidate,
    CandidateQuery,
    collect_candidates,
)

if TYPE_CHECKING:
    from guavabarrow_core.session_configuration import Route, SessionConfiguration
    from guavabarrow_daemon.kernel import Kernel

KINDS = ("read", "write", "begin")
"""``begin`` starts a transaction that may write; a read-only one goes as ``read``."""


class RouteQueryError(GuavabarrowError):
    """A query that names something unknown or is malformed.

    Parameters
    ----------
    code : str
        ``unknown_database``, ``unknown_key``, ``unknown_team``, ``malformed`` or
        ``no_configuration``.
    detail : str
        What is wrong.
    """

    def __init__(self, code: str, detail: str) -> None:
        super().__init__(detail)
        self.code = code

    @property
    def status(self) -> int:
        """HTTP status: 503 while there is no configuration, 400 otherwise."""
        return 503 if self.code == "no_configuration" else 400


class RouteProblem(msgspec.Struct, frozen=True):
    """Body of the answer to a refused query."""

    code: str
    detail: str


class RouteQuery(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Statement whose route is to be explained.

    Parameters
    ----------
    database : str
        Name that callers use.
    kind : str
        One of ``KINDS``.
    team, key : str
        Team, or a key of it; both empty for a caller without a key.
    position : str
        Position of the session's last commit as TERM:INDEX, empty if none.
    age_s : float or None
        Maximum age of a read's data, in s; None for that of the route.
    """

    database: str
    kind: str = "read"
    team: str = ""
    key: str = ""
    position: str = ""
    age_s: float | None = None


class AdmissionView(msgspec.Struct, frozen=True):
    """Admission by rate.

    Parameters
    ----------
    decision : str
        ``admitted``, ``refused``, or ``ask host`` if only the pool host can tell.
    pool_host : str
        Host of the pool, empty if this VM uses its own share.
    tokens : float or None
        Tokens at this VM, None if the team has no limit.
    wait_s : float
        Time until the next token, in s, as far as this VM knows.
    detail : str
        Inputs of the decision.
    """

    decision: str
    pool_host: str
    tokens: float | None
    wait_s: float
    detail: str


class RouteView(msgspec.Struct, frozen=True):
    """Where a statement would go now, and why.

    Parameters
    ----------
    vm, database, service, team, kind, consistency : str
        The VM that answers, and the route that was found.
    max_age_s : float
        Maximum age of a read's data, in s.
    admission : AdmissionView
        Admission by rate.
    evacuated : list of str
        Failure domains whose targets get no work.
    candidates : list of Candidate
        All targets of the service.
    choice : str
        Target that would be used, empty if none.
    why : str
        Reason of the choice, or why there is none.
    """

    vm: str
    database: str
    service: str
    team: str
    kind: str
    consistency: str
    max_age_s: float
    admission: AdmissionView
    evacuated: list[str]
    candidates: list[Candidate]
    choice: str
    why: str


def explain_route(kernel: Kernel, query: RouteQuery) -> RouteView:
    """Explain where a statement would go now.

    Raises
    ------
    RouteQueryError
        If the query is malformed or names something unknown.
    """
    fleet = kernel.find(FleetService)
    if fleet.configuration is None:
        raise RouteQueryError("no_configuration", "The VM has no configuration yet.")
    route = _find_route(fleet.configuration, query.database)
    team = _find_team(fleet.configuration, route, query)
    if query.kind not in KINDS:
        raise RouteQueryError("malformed", f"kind is none of {', '.join(KINDS)}.")
    max_age_s = route.max_age_s if query.age_s is None else query.age_s
    if not 0.0 <= max_age_s < float("inf"):
        raise RouteQueryError("malformed", "age_s is not a time in s.")
    candidates = collect_candidates(
        kernel,
        CandidateQuery(
            service=route.service,
            team=team,
            needs_primary=query.kind != "read"
            or route.consistency is Consistency.PRIMARY,
            max_age_s=max_age_s,
            session_position=parse_position(query.position),
        ),
    )
    chosen = next((entry for entry in candidates if entry.is_chosen), None)
    return RouteView(
        vm=fleet.state.vm,
        database=query.database,
        service=route.service,
        team=team,
        kind=query.kind,
        consistency=route.consistency.value,
        max_age_s=max_age_s,
        admission=_explain_admission(kernel, team),
        evacuated=sorted(fleet.evacuated),
        candidates=candidates,
        choice=chosen.target if chosen is not None else "",
        why=chosen.reason if chosen is not None else "no candidate can be used",
    )


def parse_position(text: str) -> LogPosition | None:
    """Return a log position written as TERM:INDEX, None if the text is empty.

    Examples
    --------
    >>> parse_position("2:40")
    LogPosition(term=2, index=40)
    """
    if not text:
        return None
    term, _, index = text.partition(":")
    if not (term.isdecimal() and index.isdecimal()):
        raise RouteQueryError("malformed", f"{text!r} is no position TERM:INDEX.")
    return LogPosition(int(term), int(index))


def _find_route(configuration: SessionConfiguration, database: str) -> Route:
    route = configuration.route_by_database.get(database)
    if route is None:
        raise RouteQueryError("unknown_database", f"No route for {database!r}.")
    return route


def _find_team(
    configuration: SessionConfiguration, route: Route, query: RouteQuery
) -> str:
    if query.team and query.key:
        raise RouteQueryError("malformed", "Give a team or a key, not both.")
    if query.team:
        if query.team not in configuration.team_by_name:
            raise RouteQueryError("unknown_team", f"No team {query.team!r}.")
        return query.team
    team = configuration.team_by_key.get(query.key)
    if team is not None:
        return team
    if not route.is_open:
        raise RouteQueryError("unknown_key", "The route needs a known key.")
    return ANONYMOUS_TEAM


def _explain_admission(kernel: Kernel, team: str) -> AdmissionView:
    rates = kernel.find(RateService).rates
    now = now_s()
    tokens = rates.tokens(team, now)
    decision, wait_s = AdmissionDecision.ADMITTED, 0.0
    if tokens is not None and tokens < 1.0:
        has_remote_pool = bool(rates.host) and rates.pool is None
        decision = (
            AdmissionDecision.ASK_HOST if has_remote_pool else AdmissionDecision.REFUSED
        )
        wait_s = 0.0 if has_remote_pool else rates.wait_s(team, now)
    return AdmissionView(
        decision=decision.value,
        pool_host=rates.host,
        tokens=None if tokens is None else round(tokens, 3),
        wait_s=round(wait_s, 4),
        detail=rates.describe(team),
    )
