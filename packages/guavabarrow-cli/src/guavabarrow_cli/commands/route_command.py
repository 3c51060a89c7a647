"""Command ``guavabarrow route``."""

from __future__ import annotations

from http.client import HTTPConnection, HTTPException

import msgspec

from guavabarrow_cli.console import (
    EXIT_USAGE,
    fail,
    print_json,
    print_line,
    print_table,
)
from guavabarrow_daemon.operations.route_explanation import (
    RouteProblem,
    RouteQuery,
    RouteView,
)

TIMEOUT_S = 5.0
"""VMs respond within milliseconds, busy ones within a second."""


def route(
    database: str,
    *,
    vm: str,
    team: str = "",
    key: str = "",
    kind: str = "read",
    position: str = "",
    age: float | None = None,
    json: bool = False,
) -> None:
    """Explain where a VM would send a statement now, without sending it.

    Parameters
    ----------
    database : str
        Database name that callers use.
    vm : str
        Metrics address of the VM, HOST:PORT.
    team, key : str
        Team, or a key of it; none for a caller without a key.
    kind : str
        ``read``, ``write`` or ``begin``.
    position : str
        Position of the session's last commit, TERM:INDEX.
    age : float, optional
        Maximum age of a read's data, in s; that of the route by default.
    json : bool
        Print JSON.
    """
    if age is not None and not isinstance(age, int | float):
        fail(f"Invalid age {age!r}: expected a time in s.", EXIT_USAGE)
    query = RouteQuery(str(database), kind, str(team), str(key), str(position), age)
    view = fetch_route(str(vm), query)
    if json:
        print_json(view)
        return
    print_route(view)


def print_route(view: RouteView) -> None:
    """Print an explanation as text."""
    print_line(
        f"{view.vm}: {view.kind} of {view.database} for team {view.team}: service "
        f"{view.service}, {view.consistency}, data up to {view.max_age_s:g} s old"
    )
    admission = view.admission
    tokens = "no limit" if admission.tokens is None else f"{admission.tokens:g} tokens"
    print_line(
        f"admission: {admission.decision}, {tokens}, next in {admission.wait_s:g} s, "
        f"pool {admission.pool_host or 'none'} ({admission.detail})"
    )
    if view.host:
        print_line(f"host: {view.host} runs it and decides by its own view")
    print_line(f"evacuated: {' '.join(view.evacuated) or 'none'}")
    print_line(f"choice: {view.choice or 'none'}, {view.why}")
    print_line("")
    print_table(
        (
            "target",
            "role",
            "domain",
            "required",
            "known",
            "waiting",
            "wait_ms",
            "idle",
            "expected_ms",
            "evidence",
            "reason",
        ),
        [
            (
                entry.target,
                entry.role,
                entry.domain,
                entry.required_position or "-",
                entry.known_position or "-",
                entry.waiting,
                f"{entry.wait_s * 1000:.0f}",
                "yes" if entry.has_idle else "no",
                f"{entry.expected_s * 1000:.0f}",
                entry.evidence or "-",
                entry.reason,
            )
            for entry in view.candidates
        ],
    )


def fetch_route(address: str, query: RouteQuery) -> RouteView:
    """Request an explanation from a VM; exits with an error if that fails."""
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        fail(f"Invalid address {address!r}: expected HOST:PORT.", EXIT_USAGE)
    connection = HTTPConnection(host, int(port), timeout=TIMEOUT_S)
    try:
        connection.request("POST", "/route", msgspec.json.encode(query))
        response = connection.getresponse()
        body = response.read()
        if response.status == 400:
            problem = msgspec.json.decode(body, type=RouteProblem)
            fail(f"{problem.code}: {problem.detail}", EXIT_USAGE)
        if response.status != 200:
            fail(f"{address} responded with status {response.status}: {body[:200]!r}")
        return msgspec.json.decode(body, type=RouteView)
    except (OSError, HTTPException, msgspec.MsgspecError) as error:
        fail(f"{address}: {error}")
    finally:
        connection.close()
