"""Acquires and renews the ledger lease of this VM's failure domain."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

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

HOLDER_TIMEOUT_S = 1.6
CANDIDATE_COUNT = 2


class LeaseRunner:
    """Runs the lease state machine on timer ticks, heartbeats and store results.

    Parameters
    ----------
    settings : Settings
        Own name and domain.
    table : TableService
        Stores the lease row.
    membership : MembershipService
        Provides the live VMs and their claims to the lease.
    reactor : object
        Clock.
    on_step : callable
        Called after each step, as the role may have changed.
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
        self._is_releasing = False

    @property
    def is_holder(self) -> bool:
        """Whether this VM holds the lease now."""
        return self._lease.holds(self._reactor.seconds())

    @property
    def is_initial_holder(self) -> bool:
        """Whether no VM held the lease before, so that no grants are outstanding."""
        return self._lease.is_initial_holder

    @property
    def epoch(self) -> int:
        """Epoch of the lease as last read."""
        return self._lease.epoch

    def tick(self) -> None:
        """Step the lease and perform its actions on the store."""
        now = self._reactor.seconds()
        for action in self._lease.step(self._create_tick(), now):
            self._membership.kernel.tasks.start("lease_action", self._perform(action))
        self._on_step()

    async def release(self) -> None:
        """Release the lease and stop contending for it."""
        self._is_releasing = True
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
        has_timed_out = (
            table.since_heartbeat_s(self._lease.row.holder) > HOLDER_TIMEOUT_S
        )
        return LeaseTick(
            is_candidate=rank < CANDIDATE_COUNT and not self._is_releasing,
            is_preferred=rank == 0,
            holder_unreachable=claim is None and has_timed_out,
            max_heartbeat_epoch=max(epochs, default=0),
            rival_claim=rival_claim,
        )

    async def _perform(self, action: LeaseAction) -> None:
        sent_at = self._reactor.seconds()
        try:
            if isinstance(action, WriteRow):
                row, written = await self._store.write(action.row)
            else:
                row, written = await self._store.read(), False
            event: RowRead | StoreFailed = RowRead(row, sent_at, written)
        except StoreUnavailable:
            event = StoreFailed()
        self._lease.step(event, self._reactor.seconds())
        self._on_step()
