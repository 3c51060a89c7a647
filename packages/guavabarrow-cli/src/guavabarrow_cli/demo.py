"""Demonstration of what callers and operators observe during failures."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

from twisted.internet.task import deferLater

from guavabarrow_cli.caller_client import CallerSession, CallResult
from guavabarrow_cli.console import print_line
from guavabarrow_cli.embedded_fleet import (
    EmbeddedFleet,
    Layout,
    LayoutService,
    LayoutTeam,
)
from guavabarrow_core.exceptions import GuavabarrowError
from guavabarrow_core.fleet_change import WithdrawKey
from guavabarrow_core.request_id import create_request_id
from guavabarrow_daemon.configuration_service import ConfigurationService
from guavabarrow_daemon.group_service import GroupService

if TYPE_CHECKING:
    from guavabarrow_daemon.group import Group

KARIAKOO = "dar-kariakoo"
TANTA = "tanta-hall"
DEMO_LAYOUT = Layout(
    vm_domains=(KARIAKOO, KARIAKOO, TANTA),
    services=(
        LayoutService("orders-db", (KARIAKOO,) * 3, connections=20, slots=3),
        LayoutService("customer-core", (TANTA,) * 3, connections=30, slots=2),
    ),
    teams=(
        LayoutTeam("kilima", ("orders-db",)),
        LayoutTeam("bakery-hall", ("customer-core",), read_max_age_ms=2000),
    ),
    lag_ms=50.0,
)
KEY_WITHDRAWAL_TIMEOUT_S = 4.0


class DemoFailed(GuavabarrowError):
    """A step of the demonstration did not give the expected result."""


class Demo:
    """Runs the demonstration on an embedded fleet.

    Parameters
    ----------
    reactor : object
        Reactor on which the fleet runs.
    """

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self._fleet = EmbeddedFleet(DEMO_LAYOUT, reactor)
        self._step_number = 0

    async def run(self) -> None:
        """Run all steps.

        Raises
        ------
        DemoFailed
            If a step did not give the expected result.
        """
        await self._fleet.start()
        self._print_step("Started: platform, 6 databases in 2 groups, 3 entry VMs.")
        session = self._create_session(0)
        try:
            await self._write_deposit(session)
            await self._read_through_other_vm(session)
            await self._repeat_write(session)
            await self._fail_over(session)
            await self._read_with_max_age()
            await self._withdraw_key(session)
        finally:
            session.close()
            await self._fleet.stop()
        print_line("All steps passed.")

    async def _write_deposit(self, session: CallerSession) -> None:
        await self._expect_ok(
            session.write(
                "orders-db",
                "CREATE TABLE deposit (builder TEXT PRIMARY KEY, shilling INTEGER)",
            )
        )
        result = await self._expect_ok(
            session.write(
                "orders-db", "INSERT INTO deposit VALUES (?, ?)", ["asha", 45000]
            )
        )
        self._print_step(
            f"Deposit through vm-1: {result.body['row_count']} row, acknowledged once "
            "2 of 3 databases hold it."
        )

    async def _read_through_other_vm(self, session: CallerSession) -> None:
        session.roam()
        result = await self._expect_ok(
            session.read("orders-db", "SELECT builder, shilling FROM deposit")
        )
        self._check(result.body["rows"] == [["asha", 45000]], "read-your-writes")
        self._print_step(
            f"Read through vm-2 with the session token: {result.body['rows']} from a "
            f"{result.body['source']}, although replication lags 50 ms."
        )

    async def _repeat_write(self, session: CallerSession) -> None:
        request_id = create_request_id(time.time())
        sql = "UPDATE deposit SET shilling = shilling + 5000"
        for _ in range(2):
            result = await self._expect_ok(
                session.write("orders-db", sql, request_id=request_id)
            )
        rows = (
            await self._expect_ok(
                session.read("orders-db", "SELECT shilling FROM deposit")
            )
        ).body["rows"]
        self._check(rows == [[50000]], "at-most-once")
        self._print_step(
            "Sent the same top-up twice: the repeat was answered from its record "
            f"(replayed: {result.body['replayed']}), the balance is {rows[0][0]}."
        )

    async def _fail_over(self, session: CallerSession) -> None:
        group = self._group("vm-1", "orders-db")
        primary = group.view.primary
        if primary is None:
            raise DemoFailed("The group orders-db has no primary.")
        await self._fleet.stop_database(primary.database)
        started_at = self._reactor.seconds()
        await self._expect_ok(
            session.write("orders-db", "INSERT INTO deposit VALUES ('juma', 1000)")
        )
        gap_ms = (self._reactor.seconds() - started_at) * 1000
        result = await self._expect_ok(
            session.read("orders-db", "SELECT COUNT(*) FROM deposit")
        )
        self._check(result.body["rows"] == [[2]], "no acknowledged write to be lost")
        successor = group.view.primary
        name = successor.database if successor else "nobody"
        self._print_step(
            f"Stopped the primary {primary.database}: {name} was promoted, and the "
            f"next deposit was acknowledged after {gap_ms:.0f} ms. Nothing was lost."
        )

    async def _read_with_max_age(self) -> None:
        session = self._create_session(2, team=1)
        await self._expect_ok(
            session.write("customer-core", "CREATE TABLE account (meter TEXT)")
        )
        result = await self._expect_ok(
            session.read("customer-core", "SELECT COUNT(*) FROM account")
        )
        session.close()
        self._print_step(
            "The customer hall reads data of a stated age (2 s) from a "
            f"{result.body['source']}."
        )

    async def _withdraw_key(self, session: CallerSession) -> None:
        vm = self._fleet.vm_by_name["vm-3"]
        started_at = self._reactor.seconds()
        await vm.kernel.find(ConfigurationService).change(
            (WithdrawKey("kilima", "first"),),
            base_version=None,
            operation_id="demo-withdraw",
            author="demo",
        )
        while True:
            result = await session.read("orders-db", "SELECT 1")
            elapsed_s = self._reactor.seconds() - started_at
            if result.status == 401:
                break
            self._check(
                elapsed_s < KEY_WITHDRAWAL_TIMEOUT_S,
                "the withdrawn key to be rejected in time",
            )
            await deferLater(self._reactor, 0.02, lambda: None)
        self._print_step(
            "Withdrew the key at vm-3: the caller that stayed connected to another VM "
            f"was refused after {elapsed_s * 1000:.0f} ms ({result.code}, "
            f"{result.ran})."
        )

    def _create_session(self, first_vm_index: int, *, team: int = 0) -> CallerSession:
        names = list(self._fleet.settings_by_vm)
        addresses = [
            self._fleet.caller_address(name)
            for name in names[first_vm_index:] + names[:first_vm_index]
        ]
        return CallerSession(
            self._reactor,
            addresses,
            key=DEMO_LAYOUT.teams[team].key,
            deadline_s=10.0,
        )

    def _group(self, vm: str, service: str) -> Group:
        groups = self._fleet.vm_by_name[vm].kernel.find(GroupService)
        return groups.find(service)

    async def _expect_ok(self, pending: Any) -> CallResult:
        result = await pending
        self._check(result.is_ok, f"a result, not {result.code}: {result.body}")
        return result

    def _check(self, is_met: bool, expectation: str) -> None:
        if not is_met:
            raise DemoFailed(f"Expected {expectation}.")

    def _print_step(self, text: str) -> None:
        self._step_number += 1
        print_line(f"{self._step_number}. {text}")
