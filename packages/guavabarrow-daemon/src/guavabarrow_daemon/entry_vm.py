"""Creates and runs the services of one entry VM."""

from __future__ import annotations

import time
from functools import partial
from typing import TYPE_CHECKING, Any

from guavabarrow_daemon.admin_api import AdminApi
from guavabarrow_daemon.caller_api import CallerApi
from guavabarrow_daemon.configuration_service import ConfigurationService
from guavabarrow_daemon.drain_service import DrainService
from guavabarrow_daemon.group_service import GroupService
from guavabarrow_daemon.kernel import Kernel
from guavabarrow_daemon.key_service import KeyService
from guavabarrow_daemon.ledger_service import LedgerService
from guavabarrow_daemon.membership_service import (
    MembershipService,
    create_incarnation,
)
from guavabarrow_daemon.metrics import Metrics
from guavabarrow_daemon.peers import Peers
from guavabarrow_daemon.permit_service import PermitService
from guavabarrow_daemon.state_log import log_state
from guavabarrow_daemon.statement_service import StatementService
from guavabarrow_daemon.store.http_client import HttpPlatform
from guavabarrow_daemon.targets.http_driver import HttpTargetDriver
from guavabarrow_daemon.transaction_service import TransactionService

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavabarrow_daemon.settings import Settings


class EntryVm:
    """One entry VM with all of its services.

    Parameters
    ----------
    settings : Settings
        Validated settings.
    reactor : object
        Reactor that owns all sockets and timers.
    on_drain : callable, optional
        Called when an operator requests a graceful shutdown.
    """

    def __init__(
        self,
        settings: Settings,
        reactor: Any,
        *,
        on_drain: Callable[[], None] | None = None,
    ) -> None:
        self.settings = settings
        self.kernel = Kernel()
        incarnation = create_incarnation()
        kernel = self.kernel
        kernel.tasks.log = partial(log_state, settings.vm)
        metrics = Metrics(kernel)
        kernel.register(metrics)
        self._platform = create_platform(settings, reactor, metrics)
        platform = self._platform
        credential = settings.secrets.target.get_secret_value()
        driver = HttpTargetDriver(reactor, credential=credential)
        kernel.register(Peers(kernel, settings, reactor, incarnation=incarnation))
        kernel.register(
            MembershipService(
                kernel, settings, platform, reactor, incarnation=incarnation
            )
        )
        kernel.register(
            ConfigurationService(kernel, settings, platform, platform, reactor)
        )
        kernel.register(KeyService(kernel))
        kernel.register(LedgerService(kernel, settings, platform, reactor))
        kernel.register(PermitService(kernel, settings, reactor))
        kernel.register(
            GroupService(kernel, settings, driver, reactor, incarnation=incarnation)
        )
        kernel.register(StatementService(kernel, settings, reactor))
        kernel.register(TransactionService(kernel, settings, reactor, time.time))
        kernel.register(DrainService(kernel, settings, reactor))
        kernel.register(CallerApi(kernel, settings, reactor, time.time))
        kernel.register(AdminApi(kernel, settings, reactor, on_drain or (lambda: None)))

    async def start(self) -> None:
        """Start all services."""
        await self.kernel.start()
        log_state(
            self.settings.vm,
            "started",
            domain=self.settings.domain,
            callers=self.kernel.find(CallerApi).address,
            admin=self.kernel.find(AdminApi).address,
            peers=self.kernel.find(Peers).address,
        )

    async def drain(self) -> None:
        """Refuse new requests and wait until those in progress have ended."""
        await self.kernel.find(CallerApi).drain()

    async def stop(self) -> None:
        """Stop all services."""
        await self.kernel.stop()
        self._platform.close()
        log_state(self.settings.vm, "stopped")


def create_platform(settings: Settings, reactor: Any, metrics: Metrics) -> HttpPlatform:
    """Create the client of the configured platform service."""
    address = settings.resolve_address(settings.platform.host, settings.platform.port)
    return HttpPlatform(
        *address,
        credential=settings.platform.credential.get_secret_value(),
        reactor=reactor,
        on_operation=lambda kind: metrics.store_operations.labels(kind).inc(),
    )
