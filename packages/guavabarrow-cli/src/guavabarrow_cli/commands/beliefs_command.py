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
from guavabarrow_daemon.operations.beliefs import Beliefs

TIMEOUT_S = 5.0
"""A VM answers within milliseconds, a busy one within a second."""


def beliefs(address: str, *, json: bool = False) -> None:
    """Show what a session VM believes: members, primaries, rights, targets.

    Parameters
    ----------
    address : str
        Its metrics address, HOST:PORT.
    json : bool
        Whether to print one JSON document.
    """
    known = fetch_beliefs(str(address))
    if json:
        print_json(known)
        return
    print_line(
        f"{known.vm} ({known.incarnation}): table {known.table_age_s} s old, targets "
        f"{known.targets_age_s} s, configuration {known.configuration}, "
        f"{'registered' if known.is_registered else 'NOT REGISTERED'}"
    )
    print_line(
        f"duty: {known.duty_holder or 'nobody'}"
        f"{' (acts)' if known.holds_duty else ''}; "
        f"pool: {known.pool_host or 'none'}; "
        f"evacuated: {' '.join(known.evacuated) or 'none'}"
    )
    print_line("")
    print_table(
        ("vm", "domain", "state"),
        [
            (
                member.vm,
                member.domain,
                "out"
                if member.is_out
                else "in contact"
                if member.is_in_contact
                else "",
            )
            for member in known.members
        ],
    )
    print_line("")
    print_table(
        ("service", "primary", "term", "phase", "usable"),
        [
            (p.service, p.target, p.term, p.phase, "yes" if p.may_be_used else "no")
            for p in known.primaries
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
            for t in known.targets
        ],
    )


def fetch_beliefs(address: str) -> Beliefs:
    """Ask a VM; ends the command if it does not say."""
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        fail(f"An address is HOST:PORT, not {address!r}.", EXIT_USAGE)
    connection = HTTPConnection(host, int(port), timeout=TIMEOUT_S)
    try:
        connection.request("GET", "/beliefs")
        response = connection.getresponse()
        if response.status != 200:
            fail(f"{address} answered {response.status}.")
        return msgspec.json.decode(response.read(), type=Beliefs)
    except (OSError, HTTPException, msgspec.MsgspecError) as error:
        fail(f"{address}: {error}")
    finally:
        connection.close()
