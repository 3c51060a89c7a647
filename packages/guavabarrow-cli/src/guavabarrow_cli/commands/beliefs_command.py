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
