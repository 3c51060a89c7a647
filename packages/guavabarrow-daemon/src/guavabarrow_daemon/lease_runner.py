"""Contends for the ledger lease of this VM's failure domain."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred

from guavabarrow_core.lease import (
    Claim,
    Lease,
    LeaseTick,
    RowRead,
    StoreFailed,
    WriteRow,
)
from guavabarrow_daemon.lease_store import LeaseStore
from guavabarrow_daemon.store.exceptions import StoreUnavailable

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavabarrow_core.lease import LeaseAction
    from guavabarrow_daemon.membership_service import MembershipService
    from guavabarrow_daemon.settings import Settings
    from guavabarrow_daemon.store.interface import TableService

HOLDER_SILENT_S = 1.6
STANDBYS = 2


class LeaseRunner:
    """Feeds the lease with time, heartbeats and answers of the store.

    Parameters
    ----------
    settings : Settings
        Own name and domain.
    table : TableService
        Holds the row.
    membership : MembershipService
        Tells which VMs are alive and claim the lease.
    reactor : object
        Clock.
    on_step : callable
        Called after each step, when the role may have changed.
    """

    def __init__(
        self,
        settings: Settings,
        table: TableService,
        membership: MembershipService,
        reactor: Any,
        on_step: Callable[[], None],
    ) -> None:
        self._settings = settings
        self._membership = membership
        self._reactor = reactor
        self._on_step = on_step
        self._store = LeaseStore(table, f"ledger/{settings.domain}")
        self._lease = Lease(settings.vm)
        self._is_leaving = False

    @property
    def is_holder(self) -> bool:
        """Whether this VM may act as the holder now."""
        return self._lease.holds(self._reactor.seconds())

    @property
    def is_initial_holder(self) -> bool:
        """Whether nobody has held the lease before, so nothing can be granted."""
        return self._lease.is_initial_holder

    @property
    def epoch(self) -> int:
        """Epoch of the lease as last read."""
        return self._lease.epoch

    def tick(self) -> None:
        """Let time pass."""
        now = self._reactor.seconds()
        for action in self._lease.step(self._create_tick(), now):
            Deferred.fromCoroutine(self._perform(action))
        self._on_step()

    async def release(self) -> None:
        """Give the lease back and take it no more."""
        self._is_leaving = True
        for action in self._lease.release(self._reactor.seconds()):
            await self._perform(action)

    def _create_tick(self) -> LeaseTick:
        table = self._membership.table
        rank = self._membership.rank("ledger", self._settings.domain)
        claim = self._membership.ledger_holder(self._settings.domain)
        epochs = [
            beat.ledger_epoch
            for beat in table.by_vm.values()
            if beat.domain == self._settings.domain
        ]
        rival_claim = None
        if claim is not None and claim.vm != self._settings.vm:
            rival_claim = Claim(claim.ledger_epoch, claim.vm)
        is_silent = table.since_heartbeat_s(self._lease.row.holder) > HOLDER_SILENT_S
        return LeaseTick(
            is_candidate=rank < STANDBYS and not self._is_leaving,
            is_preferred=rank == 0,
            holder_unreachable=claim is None and is_silent,
            max_heartbeat_epoch=max(epochs, default=0),
            rival_claim=rival_claim,
        )

    async def _perform(self, action: LeaseAction) -> None:
        asked_at = self._reactor.seconds()
        try:
            if isinstance(action, WriteRow):
                row, written = await self._store.write(action.row)
            else:
                row, written = await self._store.read(), False
            event: RowRead | StoreFailed = RowRead(row, asked_at, written)
        except StoreUnavailable:
            event = StoreFailed()
        self._lease.step(event, self._reactor.seconds())
        self._on_step()
