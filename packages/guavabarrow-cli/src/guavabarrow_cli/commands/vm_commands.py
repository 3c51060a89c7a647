"""Commands that drain a VM or show its status."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavabarrow_cli.admin_client import AdminRequestFailed
from guavabarrow_cli.commands.operator_command import OperatorCommand
from guavabarrow_cli.console import fail, print_json, print_line, print_table

if TYPE_CHECKING:
    from guavabarrow_daemon.admin_api import VmStatus


class VmCommand(OperatorCommand):
    """VM at the given operator address.

    Example: guavabarrow vm drain --admin 10.0.0.7:7001
    """

    def drain(self) -> None:
        """Stop the VM gracefully: accept no new requests, complete running ones."""
        try:
            self._client().drain()
        except AdminRequestFailed as error:
            fail(str(error))
        print_line("draining")


class StatusCommand(OperatorCommand):
    """State of the fleet in the local view of one VM.

    Example: guavabarrow status show --admin 10.0.0.7:7001
    """

    def show(self) -> None:
        """Print the VMs of the fleet and the targets of its services."""
        try:
            status = self._client().status()
        except AdminRequestFailed as error:
            fail(str(error))
        if self._json:
            print_json(status)
            return
        print_status(status)


def print_status(status: VmStatus) -> None:
    """Print a VM's status as text."""
    print_line(
        f"{status.vm} in {status.domain}: {status.readiness}, configuration version "
        f"{status.version}, {status.requests_in_progress} requests in progress"
    )
    print_line("")
    print_table(
        ("vm", "domain", "state", "version", "leaving", "ledger"),
        [
            (
                member.vm,
                member.domain,
                member.state,
                member.version,
                "yes" if member.leaving else "no",
                "holder" if member.ledger_holder else "",
            )
            for member in status.members
        ],
    )
    print_line("")
    print_table(
        ("service", "target", "role", "term", "index", "age s", "conns", "queued"),
        [
            (
                group.service,
                target.target,
                f"{target.role}{' (leaving)' if target.leaving else ''}",
                target.term,
                target.index,
                "unknown" if target.age_s is None else target.age_s,
                f"{target.connections}/{target.permits}",
                target.queued,
            )
            for group in status.groups
            for target in group.targets
        ],
    )
