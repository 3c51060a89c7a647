"""Command ``guavabarrow beliefs``."""

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
from guavabarrow_daemon.operations.beliefs import LocalView, MemberView

TIMEOUT_S = 5.0
"""VMs respond within milliseconds, busy ones within a second."""


def beliefs(address: str, *, json: bool = False) -> None:
    """Show the local view of a session VM: members, primaries, leases, targets.

    Parameters
    ----------
    address : str
        Metrics address of the VM, HOST:PORT.
    json : bool
        Print JSON.
    """
    view = fetch_local_view(str(address))
    if json:
        print_json(view)
        return
    print_line(
        f"{view.vm} ({view.incarnation}): table {view.table_age_s} s old, targets "
        f"{view.targets_age_s} s, configuration {view.configuration}, "
        f"{'registered' if view.is_registered else 'NOT REGISTERED'}"
    )
    print_line(
        f"promotion duty: {view.duty_holder or 'none'}"
        f"{' (this VM)' if view.holds_duty else ''}; "
        f"pool: {view.pool_host or 'none'}; "
        f"evacuated: {' '.join(view.evacuated) or 'none'}"
    )
    print_line(
        f"store: era {view.store_era}, shared table up to {view.table_position}, "
        f"operators' table up to {view.orders_position}"
    )
    if view.sponsor:
        print_line(f"uses primaries by the sponsorship of {view.sponsor}")
    print_line("")
    hubs = {vm for names in view.hubs.values() for vm in names}
    print_table(
        ("vm", "domain", "hub", "state"),
        [
            (
                member.vm,
                member.domain,
                "yes" if member.vm in hubs else "",
                describe_contact(member),
            )
            for member in view.members
        ],
    )
    print_line("")
    print_table(
        ("service", "primary", "term", "phase", "usable"),
        [
            (p.service, p.target, p.term, p.phase, "yes" if p.may_be_used else "no")
            for p in view.primaries
        ],
    )
    print_line("")
    print_table(
        ("target", "service", "domain", "draining", "evidence"),
        [
            (
                t.target,
                t.service,
                t.domain,
                "yes" if t.is_draining else "no",
                t.evidence,
            )
            for t in view.targets
        ],
    )
    _print_load(view)


def _print_load(view: LocalView) -> None:
    """Print service hosts, queues, connections and limits, and usage reports."""
    if view.hosted_services:
        print_line("")
        print_table(
            ("service", "host", "statements", "transactions", "of"),
            [
                (
                    s.service,
                    f"{s.host} (this VM)" if s.is_host else s.host,
                    s.statements,
                    s.transactions,
                    " ".join(s.origins),
                )
                for s in view.hosted_services
            ],
        )
    limit_by_target = {limit.target: limit for limit in view.limits}
    if view.pools:
        print_line("")
        print_table(
            (
                "target",
                "limit",
                "running",
                "waiting",
                "refused",
                "budget",
                "open",
                "idle",
                "state",
            ),
            [
                (
                    p.target,
                    f"{limit_by_target[p.target].window:g}",
                    p.running,
                    describe_counts(p.waiting_by_priority),
                    describe_refusals(p.refused_by_priority),
                    p.budget,
                    p.open,
                    p.idle,
                    "probed" if limit_by_target[p.target].is_probed else "normal",
                )
                for p in view.pools
            ],
        )
    if view.usage is not None:
        usage = view.usage
        print_line("")
        print_line(
            f"usage: window {usage.current_window}, last reported "
            f"{usage.last_window or 'none'} by {usage.last_holder or 'nobody known'}, "
            f"not accepted yet {len(usage.unsent_windows)}, "
            f"missing {' '.join(usage.missing_domains) or 'none'}"
        )


def describe_counts(count_by_priority: dict[int, int]) -> str:
    """Return counts by priority as text.

    Examples
    --------
    >>> describe_counts({0: 2, 2: 7})
    '0:2 2:7'
    """
    return " ".join(f"{priority}:{n}" for priority, n in count_by_priority.items())


def describe_refusals(refused_by_priority: dict[int, dict[str, int]]) -> str:
    """Return refusals by priority and reason as text.

    Examples
    --------
    >>> describe_refusals({2: {"queue_full": 3}})
    '2:queue_full=3'
    """
    return " ".join(
        f"{priority}:{reason}={n}"
        for priority, count_by_reason in refused_by_priority.items()
        for reason, n in count_by_reason.items()
    )


def describe_contact(member: MemberView) -> str:
    """Return whether and how a VM is reached."""
    if member.is_out:
        return "out"
    if member.is_in_contact:
        return "in contact"
    return "reached by its hubs" if member.is_reported else ""


def fetch_local_view(address: str) -> LocalView:
    """Request the local view of a VM; exits with an error if that fails."""
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        fail(f"Invalid address {address!r}: expected HOST:PORT.", EXIT_USAGE)
    connection = HTTPConnection(host, int(port), timeout=TIMEOUT_S)
    try:
        connection.request("GET", "/beliefs")
        response = connection.getresponse()
        if response.status != 200:
            fail(f"{address} responded with status {response.status}.")
        return msgspec.json.decode(response.read(), type=LocalView)
    except (OSError, HTTPException, msgspec.MsgspecError) as error:
        fail(f"{address}: {error}")
    finally:
        connection.close()
