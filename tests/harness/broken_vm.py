"""Runs the daemon with an injected fault that the tests must detect.

Usage: python -m harness.broken_vm FAULT run --config FILE
"""

from __future__ import annotations

import sys
from dataclasses import replace

import msgspec

from guavabarrow_core.exceptions import ExecutionStatus, OutcomeUnknown
from guavabarrow_core.group_view import Durability, GroupView
from guavabarrow_core.key_ring import KeyRing
from guavabarrow_core.log_position import LogPosition
from guavabarrow_daemon import main
from guavabarrow_daemon.caller_api import CallerApi
from guavabarrow_daemon.group import Group
from guavabarrow_daemon.key_service import KeyService
from guavabarrow_daemon.ledger_service import LedgerService
from guavabarrow_daemon.statement_service import StatementService


def acknowledge_without_replicas() -> None:
    """Acknowledge writes that only the primary has stored."""

    async def wait_durable(self, position, *, deadline):
        return Durability.DURABLE

    Group.wait_durable = wait_durable


def ignore_session_position() -> None:
    """Read from any replica, even one that lacks the session's writes."""
    original = StatementService.read

    async def read(self, context, service, message, requirement):
        requirement = replace(requirement, position=LogPosition(0, 0))
        return await original(self, context, service, message, requirement)

    StatementService.read = read


def drop_request_ids() -> None:
    """Send writes without their request id, so that retries aren't deduplicated."""
    original = StatementService.write

    async def write(self, context, service, message):
        message = msgspec.structs.replace(message, request_id="")
        return await original(self, context, service, message)

    StatementService.write = write


def report_unknown_as_not_run() -> None:
    """Report every unknown outcome as not run."""
    OutcomeUnknown.ran = ExecutionStatus.NOT_RUN


def ignore_replica_age() -> None:
    """Treat the data of every database as current."""
    GroupView.safe_time = lambda self, report: float("inf")


def disable_rate_limits() -> None:
    """Admit every request regardless of the team's rate."""

    async def admit(self, team, *, cost, deadline):
        return None

    LedgerService.admit = admit


def keep_withdrawn_keys() -> None:
    """Keep accepting withdrawn keys."""
    original = KeyService._apply

    def apply(self, fleet):
        previous_owners = self._ring._owner_by_hash
        original(self, fleet)
        self._ring = KeyRing(previous_owners | self._ring._owner_by_hash)

    KeyService._apply = apply


def skip_service_check() -> None:
    """Skip the check that a team may use the service."""
    original = CallerApi._admit

    async def admit(self, context, service):
        await original(self, context, None)

    CallerApi._admit = admit


FAULTS = {
    fault.__name__: fault
    for fault in (
        acknowledge_without_replicas,
        ignore_session_position,
        drop_request_ids,
        report_unknown_as_not_run,
        ignore_replica_age,
        disable_rate_limits,
        keep_withdrawn_keys,
        skip_service_check,
    )
}

if __name__ == "__main__":
    FAULTS[sys.argv.pop(1)]()
    main.main()
