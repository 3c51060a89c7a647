"""Runs the daemon with one promise broken on purpose; the proofs must notice.

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


def acknowledge_at_once() -> None:
    """Acknowledges on the primary's word alone."""

    async def wait_durable(self, position, *, deadline):
        return Durability.DURABLE

    Group.wait_durable = wait_durable


def forget_sessions() -> None:
    """Reads from any replica, whatever the session has written."""
    original = StatementService.read

    async def read(self, context, service, message, demand):
        demand = replace(demand, position=LogPosition(0, 0))
        return await original(self, context, service, message, demand)

    StatementService.read = read


def forget_ids() -> None:
    """Repeats writes without their request id."""
    original = StatementService.write

    async def write(self, context, service, message):
        message = msgspec.structs.replace(message, request_id="")
        return await original(self, context, service, message)

    StatementService.write = write


def deny_doubt() -> None:
    """Reports every unknown outcome as not run."""
    OutcomeUnknown.ran = ExecutionStatus.NOT_RUN


def believe_any_age() -> None:
    """Takes whatever a database reports for current."""
    GroupView.safe_time = lambda self, report: float("inf")


def admit_everything() -> None:
    """Ignores rates."""

    async def admit(self, team, *, cost, deadline):
        return None

    LedgerService.admit = admit


def keep_keys() -> None:
    """Goes on accepting withdrawn keys."""
    original = KeyService._apply

    def apply(self, fleet):
        known = self._ring._owner_by_hash
        original(self, fleet)
        self._ring = KeyRing(known | self._ring._owner_by_hash)

    KeyService._apply = apply


def serve_every_team() -> None:
    """Does not look at the services that a team reaches."""
    original = CallerApi._admit

    async def admit(self, context, service):
        await original(self, context, None)

    CallerApi._admit = admit


FAULTS = {
    fault.__name__: fault
    for fault in (
        acknowledge_at_once,
        forget_sessions,
        forget_ids,
        deny_doubt,
        believe_any_age,
        admit_everything,
        keep_keys,
        serve_every_team,
    )
}

if __name__ == "__main__":
    FAULTS[sys.argv.pop(1)]()
    main.main()
