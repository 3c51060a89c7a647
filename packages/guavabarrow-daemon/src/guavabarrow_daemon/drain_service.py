"""Readiness and graceful shutdown of this VM."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, Any

from twisted.internet.task import deferLater

from guavabarrow_core.exceptions import Draining, NoConfiguration
from guavabarrow_daemon.configuration_service import ConfigurationService
from guavabarrow_daemon.kernel import Kernel, Service
from guavabarrow_daemon.ledger_service import LedgerService
from guavabarrow_daemon.membership_service import MembershipService
from guavabarrow_daemon.metrics import Metrics
from guavabarrow_daemon.state_log import log_state
from guavabarrow_daemon.transaction_service import TransactionService

if TYPE_CHECKING:
    from guavabarrow_core.fleet import Fleet
    from guavabarrow_daemon.settings import Settings

ANSWER_MARGIN_S = 0.2
"""Time before the end of a drain at which the last requests are answered."""

POLL_INTERVAL_S = 0.05
RETRY_AFTER_S = 1.0


class Readiness(Enum):
    """Readiness for new requests; in NOTICE they are still accepted."""

    STARTING = "starting"
    READY = "ready"
    NOTICE = "notice"
    REFUSING = "refusing"


class DrainService(Service):
    """Accepts or refuses new requests and drains the VM.

    Parameters
    ----------
    kernel : Kernel
        Registry.
    settings : Settings
        Durations of the drain.
    reactor : object
        Clock.
    """

    name = "drain"

    def __init__(self, kernel: Kernel, settings: Settings, reactor: Any) -> None:
        super().__init__(kernel)
        self._settings = settings
        self._reactor = reactor
        self._configuration = kernel.find(ConfigurationService)
        self._membership = kernel.find(MembershipService)
        self._transactions = kernel.find(TransactionService)
        self._ledger = kernel.find(LedgerService)
        self._metrics = kernel.find(Metrics)
        self._in_progress = 0
        self._is_draining = False
        self._answer_by = float("inf")
        self.readiness = Readiness.STARTING

    async def start(self) -> None:
        """Subscribe to configuration changes."""
        self._configuration.on_change.append(self._apply_configuration)
        self._apply_configuration(self._configuration.fleet)

    @property
    def is_ready(self) -> bool:
        """Whether the balancer should send new connections."""
        return self.readiness is Readiness.READY

    def check_new_work(self) -> None:
        """Raise if this VM does not accept new requests.

        Raises
        ------
        NoConfiguration
            Until the first configuration is received.
        Draining
            After the notice period of a drain.
        """
        if self.readiness is Readiness.STARTING:
            raise NoConfiguration(
                "This VM has no configuration yet; not run.",
                retry_after_s=RETRY_AFTER_S,
            )
        if self.readiness is Readiness.REFUSING:
            raise Draining(
                "This VM takes no new work; not run. Connect again.",
                retry_after_s=0.0,
            )

    def limit_timeout_s(self, timeout_s: float) -> float:
        """Return the timeout of a request, so that it is answered before a drain ends.

        Raises
        ------
        Draining
            If this VM stops too soon for any request.
        """
        remaining_s = self._answer_by - self._reactor.seconds()
        if remaining_s <= 0:
            raise Draining(
                "This VM is stopping; not run. Connect again.", retry_after_s=0.0
            )
        return min(timeout_s, remaining_s)

    def begin_request(self) -> None:
        """Increment the number of requests in progress."""
        self._in_progress += 1
        self._metrics.in_progress.set(self._in_progress)

    def end_request(self) -> None:
        """Decrement the number of requests in progress."""
        self._in_progress -= 1
        self._metrics.in_progress.set(self._in_progress)

    @property
    def in_progress(self) -> int:
        """Number of requests in progress."""
        return self._in_progress

    async def drain(self) -> None:
        """Refuse new requests and wait until those in progress have ended."""
        if self._is_draining:
            return
        self._is_draining = True
        drain = self._settings.drain
        wait_until = self._reactor.seconds() + (drain.notice_ms + drain.limit_ms) / 1000
        self._answer_by = wait_until - ANSWER_MARGIN_S
        self._membership.announce(leaving=True)
        await self._wait_notice_period()
        while self._in_progress or len(self._transactions):
            if self._reactor.seconds() >= wait_until:
                log_state(
                    self._settings.vm,
                    "drain_cut_short",
                    requests=self._in_progress,
                    transactions=len(self._transactions),
                )
                break
            await deferLater(self._reactor, POLL_INTERVAL_S)
        await self._ledger.release_lease()
        log_state(self._settings.vm, "drained")

    def _apply_configuration(self, fleet: Fleet) -> None:
        if self._is_draining or not fleet.version:
            return
        if fleet.is_out(self._settings.domain):
            if self.readiness in (Readiness.READY, Readiness.STARTING):
                self._membership.announce(leaving=True)
                self.kernel.tasks.start("drain_notice", self._wait_notice_period())
            return
        if self.readiness is not Readiness.READY:
            self._membership.announce(leaving=False)
            self._set_readiness(Readiness.READY)

    async def _wait_notice_period(self) -> None:
        self._set_readiness(Readiness.NOTICE)
        await deferLater(self._reactor, self._settings.drain.notice_ms / 1000)
        if self.readiness is Readiness.NOTICE:
            self._set_readiness(Readiness.REFUSING)

    def _set_readiness(self, readiness: Readiness) -> None:
        self.readiness = readiness
        log_state(self._settings.vm, "readiness_changed", readiness=readiness.value)
