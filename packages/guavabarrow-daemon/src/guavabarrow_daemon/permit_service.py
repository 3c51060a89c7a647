"""Distributes each target's connection permits among the VMs."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

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

RENEW_INTERVAL_S = 1.0
REQUEST_TIMEOUT_S = 0.1
LEDGER_TIMEOUT_S = 2.0
PERMITS_WITHOUT_LEDGER = 1


@dataclass(eq=False, slots=True)
class PermitAccount:
    """Permits of one target that this VM holds.

    Parameters
    ----------
    target : Target
        Target of the permits.
    usage : callable
        Returns the number of connections open or opening, and the number wanted.
    on_change : callable
        Called after the number of permits has changed.
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
    """Requests permits for this VM's pools and, as the holder, grants them.

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
        self._loop = kernel.tasks.create_periodic("permit_tick", self._tick, reactor)

    async def start(self) -> None:
        """Start renewing permits."""
        self._configuration.on_change.append(self._apply_configuration)
        self._loop.start(REQUEST_TIMEOUT_S)

    async def stop(self) -> None:
        """Return all permits."""
        if self._loop.running:
            self._loop.stop()
        for account in self._account_by_target.values():
            self._send_request(account, held=0, wanted=0)

    def open_account(self, account: PermitAccount) -> None:
        """Register the account of a pool."""
        self._account_by_target[account.target.name] = account

    def close_account(self, target: str) -> None:
        """Return the permits of a removed target."""
        account = self._account_by_target.pop(target, None)
        if account is not None:
            self._send_request(account, held=0, wanted=0)

    def ask(self, target: str) -> None:
        """Request more permits unless a recent request is still pending."""
        account = self._account_by_target.get(target)
        if account is None:
            return
        if self._reactor.seconds() - account.asked_at >= REQUEST_TIMEOUT_S:
            self._renew(account)

    def receive(self, reply_to: str, message: object) -> None:
        """Handle requests as the holder and grants as a requester."""
        match message:
            case AskPermits():
                self._handle_permit_request(reply_to, message)
            case GrantPermits():
                self._handle_grant(message)

    def _tick(self) -> None:
        now = self._reactor.seconds()
        self._update_role(now)
        for account in self._account_by_target.values():
            open_count, wanted = account.usage()
            needs_more = wanted > account.total and open_count >= account.total
            interval_s = REQUEST_TIMEOUT_S if needs_more else RENEW_INTERVAL_S
            is_idle = not (wanted or open_count or account.total)
            if not is_idle and now - account.asked_at >= interval_s:
                self._renew(account)
            self._use_fallback_permits(account, now)

    def _use_fallback_permits(self, account: PermitAccount, now: float) -> None:
        """Allow one connection if no ledger holder has answered in time."""
        _, wanted = account.usage()
        has_no_ledger = wanted > 0 and now - account.granted_at > LEDGER_TIMEOUT_S
        if has_no_ledger and account.total < PERMITS_WITHOUT_LEDGER:
            account.total = PERMITS_WITHOUT_LEDGER
            account.on_change()

    def _renew(self, account: PermitAccount) -> None:
        open_count, wanted = account.usage()
        held = min(account.total, max(open_count, wanted))
        if account.recall:
            held = max(open_count, account.total - account.recall)
            held = min(held, account.total)
        account.total = held
        self._send_request(account, held=held, wanted=wanted)

    def _send_request(self, account: PermitAccount, *, held: int, wanted: int) -> None:
        holder = self._membership.ledger_holder(account.target.domain)
        if holder is None:
            return
        self._ask_id += 1
        account.ask_id = self._ask_id
        account.asked_at = self._reactor.seconds()
        message = AskPermits(account.ask_id, account.target.name, wanted, held)
        if holder.vm == self._settings.vm:
            self._handle_permit_request("", message)
        else:
            self._peers.send(holder.peer_address, message)

    def _handle_grant(self, message: GrantPermits) -> None:
        account = self._account_by_target.get(message.target)
        if account is None or message.ask_id != account.ask_id:
            return
        if not message.is_holder:
            return
        account.granted_at = self._reactor.seconds()
        account.total = message.total
        account.recall = message.recall
        account.on_change()

    def _handle_permit_request(self, reply_to: str, ask: AskPermits) -> None:
        now = self._reactor.seconds()
        self._update_role(now)
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
            self._handle_grant(message)

    def _update_role(self, now: float) -> None:
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

    def _apply_configuration(self, fleet: Fleet) -> None:
        self._budget_by_target = {
            target.name: service.connections
            for service in fleet.services.values()
            for target in service.targets
        }
        for name, table in self._table_by_target.items():
            table.budget = self._budget_by_target.get(name, 0)
