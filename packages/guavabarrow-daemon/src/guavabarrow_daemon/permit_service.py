"""Shares each target's connections between the VMs."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from twisted.internet.task import LoopingCall

from guavabarrow_core.permits import (
    REGISTRATION_S,
    PermitGrant,
    PermitTable,
)
from guavabarrow_daemon.configuration_service import ConfigurationService
from guavabarrow_daemon.kernel import Kernel, Service
from guavabarrow_daemon.ledger_service import LedgerService
from guavabarrow_daemon.membership_service import MembershipService
from guavabarrow_daemon.peer_messages import AskPermits, GrantPermits
from guavabarrow_daemon.peers import Peers

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavabarrow_core.fleet import Fleet, Target
    from guavabarrow_daemon.settings import Settings

RENEW_S = 1.0
ASK_TIMEOUT_S = 0.1
NO_LEDGER_S = 2.0
NO_LEDGER_PERMITS = 1


@dataclass(eq=False, slots=True)
class PermitAccount:
    """Permits of one target that this VM holds.

    Parameters
    ----------
    target : Target
        Database.
    usage : callable
        Returns the connections that are open or being opened, and those wanted.
    on_change : callable
        Called when the number of permits changed.
    """

    target: Target
    usage: Callable[[], tuple[int, int]]
    on_change: Callable[[], None]
    total: int = 0
    recall: int = 0
    ask_id: int = 0
    asked_at: float = float("-inf")
    granted_at: float = float("-inf")


class PermitService(Service):
    """Borrows permits for this VM's pools and keeps the permit tables of its domain.

    Parameters
    ----------
    kernel : Kernel
        Registry.
    settings : Settings
        Own name and domain.
    reactor : object
        Clock.
    """

    name = "permits"

    def __init__(self, kernel: Kernel, settings: Settings, reactor: Any) -> None:
        super().__init__(kernel)
        self._settings = settings
        self._reactor = reactor
        self._peers = kernel.find(Peers)
        self._membership = kernel.find(MembershipService)
        self._configuration = kernel.find(ConfigurationService)
        self._ledger = kernel.find(LedgerService)
        self._account_by_target: dict[str, PermitAccount] = {}
        self._table_by_target: dict[str, PermitTable] = {}
        self._budget_by_target: dict[str, int] = {}
        self._holder_since: float | None = None
        self._ask_id = 0
        self._loop = LoopingCall(self._tick)
        self._loop.clock = reactor

    async def start(self) -> None:
        """Start to renew permits."""
        self._configuration.on_change.append(self._apply)
        self._loop.start(ASK_TIMEOUT_S)

    async def stop(self) -> None:
        """Give all permits back."""
        if self._loop.running:
            self._loop.stop()
        for account in self._account_by_target.values():
            self._send_ask(account, held=0, wanted=0)

    def open_account(self, account: PermitAccount) -> None:
        """Register a pool."""
        self._account_by_target[account.target.name] = account

    def close_account(self, target: str) -> None:
        """Give the permits of a removed target back."""
        account = self._account_by_target.pop(target, None)
        if account is not None:
            self._send_ask(account, held=0, wanted=0)

    def ask(self, target: str) -> None:
        """Ask for more permits now."""
        account = self._account_by_target.get(target)
        if account is None:
            return
        if self._reactor.seconds() - account.asked_at >= ASK_TIMEOUT_S:
            self._renew(account)

    def receive(self, reply_to: str, message: object) -> None:
        """Handle asks as the holder and grants as a borrower."""
        match message:
            case AskPermits():
                self._on_ask(reply_to, message)
            case GrantPermits():
                self._on_grant(message)

    def _tick(self) -> None:
        now = self._reactor.seconds()
        self._notice_role(now)
        for account in self._account_by_target.values():
            open_now, wanted = account.usage()
            is_short = wanted > account.total and open_now >= account.total
            interval_s = ASK_TIMEOUT_S if is_short else RENEW_S
            is_idle = not (wanted or open_now or account.total)
            if not is_idle and now - account.asked_at >= interval_s:
                self._renew(account)
            self._allow_without_ledger(account, now)

    def _allow_without_ledger(self, account: PermitAccount, now: float) -> None:
        """Allow one connection where no ledger is left to ask for permits."""
        _, wanted = account.usage()
        is_cut_off = wanted > 0 and now - account.granted_at > NO_LEDGER_S
        if is_cut_off and account.total < NO_LEDGER_PERMITS:
            account.total = NO_LEDGER_PERMITS
            account.on_change()

    def _renew(self, account: PermitAccount) -> None:
        open_now, wanted = account.usage()
        held = min(account.total, max(open_now, wanted))
        if account.recall:
            held = max(open_now, account.total - account.recall)
            held = min(held, account.total)
        account.total = held
        self._send_ask(account, held=held, wanted=wanted)

    def _send_ask(self, account: PermitAccount, *, held: int, wanted: int) -> None:
        holder = self._membership.ledger_holder(account.target.domain)
        if holder is None:
            return
        self._ask_id += 1
        account.ask_id = self._ask_id
        account.asked_at = self._reactor.seconds()
        message = AskPermits(account.ask_id, account.target.name, wanted, held)
        if holder.vm == self._settings.vm:
            self._on_ask("", message)
        else:
            self._peers.send(holder.peer_address, message)

    def _on_grant(self, message: GrantPermits) -> None:
        account = self._account_by_target.get(message.target)
        if account is None or message.ask_id != account.ask_id:
            return
        if not message.is_holder:
            return
        account.granted_at = self._reactor.seconds()
        account.total = message.total
        account.recall = message.recall
        account.on_change()

    def _on_ask(self, reply_to: str, ask: AskPermits) -> None:
        now = self._reactor.seconds()
        self._notice_role(now)
        table = (
            self._permit_table(ask.target) if self._holder_since is not None else None
        )
        grant = PermitGrant(0, 0)
        if table is not None:
            grant = table.renew(reply_to, held=ask.held, wanted=ask.wanted, now=now)
        message = GrantPermits(
            ask.ask_id,
            ask.target,
            grant.total,
            grant.recall,
            table is not None,
        )
        if reply_to:
            self._peers.send(reply_to, message)
        else:
            self._on_grant(message)

    def _notice_role(self, now: float) -> None:
        if not self._ledger.is_holder:
            self._holder_since = None
            self._table_by_target.clear()
        elif self._holder_since is None:
            self._holder_since = now
            if self._ledger.is_initial_holder:
                self._holder_since -= REGISTRATION_S

    def _permit_table(self, target: str) -> PermitTable | None:
        table = self._table_by_target.get(target)
        budget = self._budget_by_target.get(target)
        if table is not None or self._holder_since is None or budget is None:
            return table
        table = PermitTable(budget, self._holder_since)
        self._table_by_target[target] = table
        return table

    def _apply(self, fleet: Fleet) -> None:
        self._budget_by_target = {
            target.name: service.connections
            for service in fleet.services.values()
            for target in service.targets
        }
        for name, table in self._table_by_target.items():
            table.budget = self._budget_by_target.get(name, 0)
