"""Demonstration: what callers and operators see while things fail."""

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
KEY_LIMIT_S = 4.0


class DemoFailed(GuavabarrowError):
    """A step of the demonstration did not go as promised."""


class Demo:
    """Runs the demonstration on an embedded fleet.

    Parameters
    ----------
    reactor : object
        Reactor that owns everything.
    """

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self._fleet = EmbeddedFleet(DEMO_LAYOUT, reactor)
        self._step = 0

    async def run(self) -> None:
        """Run all steps.

        Raises
        ------
        DemoFailed
            If a promise was not kept.
        """
        await self._fleet.start()
        self._say("Started: platform, 6 databases in 2 groups, 3 entry VMs.")
        session = self._session(0)
        try:
            await self._deposit(session)
            await self._read_elsewhere(session)
            await self._repeat(session)
            await self._promotion(session)
            await self._customer_hall()
            await self._withdraw(session)
        finally:
            session.close()
            await self._fleet.stop()
        print_line("All steps went as promised.")

    async def _deposit(self, session: CallerSession) -> None:
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
        self._say(
            f"Deposit through vm-1: {result.body['row_count']} row, acknowledged once "
            "2 of 3 databases hold it."
        )

    async def _read_elsewhere(self, session: CallerSession) -> None:
        session.roam()
        result = await self._expect_ok(
            session.read("orders-db", "SELECT builder, shilling FROM deposit")
        )
        self._check(result.body["rows"] == [["asha", 45000]], "read-your-writes")
        self._say(
            f"Read through vm-2 with the session token: {result.body['rows']} from a "
            f"{result.body['source']}, although replication lags 50 ms."
        )

    async def _repeat(self, session: CallerSession) -> None:
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
        self._say(
            "Sent the same top-up twice: the repeat was answered from its record "
            f"(replayed: {result.body['replayed']}), the balance is {rows[0][0]}."
        )

    async def _promotion(self, session: CallerSession) -> None:
        group = self._group("vm-1", "orders-db")
        primary = group.view.primary
        if primary is None:
            raise DemoFailed("The group has no primary.")
        await self._fleet.stop_database(primary.database)
        started_at = self._reactor.seconds()
        await self._expect_ok(
            session.write("orders-db", "INSERT INTO deposit VALUES ('juma', 1000)")
        )
        gap_ms = (self._reactor.seconds() - started_at) * 1000
        result = await self._expect_ok(
            session.read("orders-db", "SELECT COUNT(*) FROM deposit")
        )
        self._check(result.body["rows"] == [[2]], "no acknowledged write is lost")
        successor = group.view.primary
        name = successor.database if successor else "nobody"
        self._say(
            f"Stopped the primary {primary.database}: {name} was promoted, and the "
            f"next deposit was acknowledged after {gap_ms:.0f} ms. Nothing was lost."
        )

    async def _customer_hall(self) -> None:
        session = self._session(2, team=1)
        await self._expect_ok(
            session.write("customer-core", "CREATE TABLE account (meter TEXT)")
        )
        result = await self._expect_ok(
            session.read("customer-core", "SELECT COUNT(*) FROM account")
        )
        session.close()
        self._say(
            "The customer hall reads data of a stated age (2 s) from a "
            f"{result.body['source']}."
        )

    async def _withdraw(self, session: CallerSession) -> None:
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
            self._check(elapsed_s < KEY_LIMIT_S, "a withdrawn key stops working")
            await deferLater(self._reactor, 0.02, lambda: None)
        self._say(
            "Withdrew the key at vm-3: the caller that stayed connected to another VM "
            f"was refused after {elapsed_s * 1000:.0f} ms ({result.code}, "
            f"{result.ran})."
        )

    def _session(self, first: int, *, team: int = 0) -> CallerSession:
        names = list(self._fleet.settings_by_vm)
        addresses = [
            self._fleet.caller_address(name) for name in names[first:] + names[:first]
        ]
        return CallerSession(
            self._reactor, addresses, key=DEMO_LAYOUT.teams[team].key, deadline_s=10.0
        )

    def _group(self, vm: str, service: str) -> Group:
        groups = self._fleet.vm_by_name[vm].kernel.find(GroupService)
        return groups.find(service)

    async def _expect_ok(self, pending: Any) -> CallResult:
        result = await pending
        self._check(result.is_ok, f"a result, not {result.code}: {result.body}")
        return result

    def _check(self, holds: bool, promise: str) -> None:
        if not holds:
            raise DemoFailed(f"Promise not kept: {promise}.")

    def _say(self, text: str) -> None:
        self._step += 1
        print_line(f"{self._step}. {text}")
