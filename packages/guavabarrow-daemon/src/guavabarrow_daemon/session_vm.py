"""Creates and runs the services of a VM with connection-based caller sessions."""

from __future__ import annotations

import secrets
import signal
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred
from twisted.internet.epollreactor import EPollReactor
from twisted.internet.task import deferLater

from guavabarrow_core.drain_schedule import DrainSchedule
from guavabarrow_daemon.fleet.contact_service import ContactService
from guavabarrow_daemon.fleet.directory_service import DirectoryService
from guavabarrow_daemon.fleet.duty_service import DutyService
from guavabarrow_daemon.fleet.fleet_service import FleetService
from guavabarrow_daemon.fleet.pace_service import PaceService
from guavabarrow_daemon.fleet.peer_links import PeerLinks
from guavabarrow_daemon.fleet.primary_service import PrimaryService
from guavabarrow_daemon.fleet.primary_watch import PrimaryWatch
from guavabarrow_daemon.fleet.promotion_service import PromotionService
from guavabarrow_daemon.fleet.rate_service import RateService
from guavabarrow_daemon.fleet.replica_watch import ReplicaWatch
from guavabarrow_daemon.fleet.service_hosts import ServiceHosts
from guavabarrow_daemon.fleet.table_relay import TableRelay
from guavabarrow_daemon.front.host_exchange import HostExchange
from guavabarrow_daemon.front.hosted_runner import HostedRunner
from guavabarrow_daemon.front.service_host_service import ServiceHostService
from guavabarrow_daemon.front.session_admission import SessionAdmission
from guavabarrow_daemon.front.session_front import SessionFront
from guavabarrow_daemon.front.session_router import SessionRouter
from guavabarrow_daemon.front.target_chooser import TargetChooser
from guavabarrow_daemon.front.target_exchange import TargetExchange
from guavabarrow_daemon.kernel import Kernel
from guavabarrow_daemon.operations.clock import now_s
from guavabarrow_daemon.operations.decision_log import log_decision
from guavabarrow_daemon.operations.readiness_site import ReadinessSite
from guavabarrow_daemon.operations.session_metrics import SessionMetrics
from guavabarrow_daemon.usage.register import register_usage_services

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavabarrow_daemon.session_codec import FrontCodec, TargetCodec
    from guavabarrow_daemon.session_settings import SessionVmSettings
    from guavabarrow_daemon.store.watched_table import (
        DirectorySource,
        OperatorSource,
        PromotionAuthority,
        UsageAuthority,
        WatchedTable,
    )

INCARNATION_BYTES = 6


class MonotonicReactor(EPollReactor):
    """Reactor whose timers use the monotonic clock instead of the wall clock."""

    def seconds(self) -> float:
        """Return the monotonic time, in s."""
        return time.monotonic()


@dataclass(frozen=True, slots=True)
class PlatformInterfaces:
    """Interfaces through which one VM uses the platform.

    Parameters
    ----------
    fleet_table : WatchedTable
        Table that all VMs of the fleet read and write.
    orders : OperatorSource
        Reads the configuration and orders written by operators.
    directory : DirectorySource
        Lists the registered targets.
    authority : PromotionAuthority
        Promotes targets.
    create_front_codec, create_target_codec : callable
        Create a codec for each caller or target connection.
    ready_path : str
        HTTP path of the load balancer's readiness check.
    usage_table : WatchedTable or None
        Table of the stored usage reports; None if the platform takes none.
    usage_authority : UsageAuthority or None
        Accepts usage reports.
    """

    fleet_table: WatchedTable
    orders: OperatorSource
    directory: DirectorySource
    authority: PromotionAuthority
    create_front_codec: Callable[[], FrontCodec]
    create_target_codec: Callable[[], TargetCodec]
    ready_path: str
    usage_table: WatchedTable | None = None
    usage_authority: UsageAuthority | None = None


class SessionVm:
    """One VM with all of its services.

    Parameters
    ----------
    settings : SessionVmSettings
        Validated settings.
    reactor : object
        Reactor that owns all sockets and timers.
    create_interfaces : callable
        Creates the platform interfaces; receives the metrics that count their calls.
    """

    def __init__(
        self,
        settings: SessionVmSettings,
        reactor: Any,
        create_interfaces: Callable[[SessionMetrics], PlatformInterfaces],
    ) -> None:
        self.settings = settings
        self.kernel = Kernel()
        kernel = self.kernel
        incarnation = secrets.token_hex(INCARNATION_BYTES)
        metrics = SessionMetrics(kernel)
        kernel.register(metrics)
        interfaces = create_interfaces(metrics)
        kernel.register(PeerLinks(kernel, settings, reactor, incarnation=incarnation))
        kernel.register(
            FleetService(
                kernel,
                settings,
                interfaces.fleet_table,
                interfaces.orders,
                reactor,
                incarnation=incarnation,
            )
        )
        kernel.register(
            DirectoryService(
                kernel,
                interfaces.directory,
                interfaces.create_target_codec,
                reactor,
                domain=settings.domain,
            )
        )
        kernel.register(PaceService(kernel, settings))
        kernel.register(TableRelay(kernel, reactor))
        kernel.register(ContactService(kernel))
        kernel.register(PrimaryService(kernel, reactor))
        kernel.register(DutyService(kernel, reactor))
        kernel.register(PrimaryWatch(kernel, reactor))
        kernel.register(ReplicaWatch(kernel, reactor))
        kernel.register(PromotionService(kernel, interfaces.authority, reactor))
        kernel.register(TargetChooser(kernel, reactor))
        kernel.register(TargetExchange(kernel, reactor))
        kernel.register(SessionRouter(kernel, reactor))
        kernel.register(ServiceHosts(kernel, reactor))
        kernel.register(HostExchange(kernel, reactor))
        kernel.register(HostedRunner(kernel))
        kernel.register(ServiceHostService(kernel, reactor))
        kernel.register(RateService(kernel, settings, reactor))
        kernel.register(SessionAdmission(kernel))
        # Stops after the front, whose last statements are counted, and before the
        # links, over which the last counts are sent.
        register_usage_services(
            kernel,
            settings,
            interfaces.usage_table,
            interfaces.usage_authority,
            reactor,
        )
        kernel.register(
            SessionFront(kernel, settings, interfaces.create_front_codec, reactor)
        )
        kernel.register(
            ReadinessSite(kernel, settings, reactor, ready_path=interfaces.ready_path)
        )

    async def start(self) -> None:
        """Start all services."""
        await self.kernel.start()
        log_decision(
            "started", domain=self.settings.domain, front=self.settings.front_address
        )

    async def drain(self) -> None:
        """Hand over the promotion duty, then drain callers' sessions and hosted work.

        The duty stays while a promotion runs, until the sessions are drained. Other VMs
        are told at once, and select other service hosts.
        """
        schedule = DrainSchedule(now_s(), self.settings.grace_s)
        hosted_work = self.kernel.find(ServiceHostService)
        duty = self.kernel.find(DutyService)
        self.kernel.find(SessionAdmission).drain = schedule
        hosted_work.drain_schedule = schedule
        self.kernel.find(FleetService).announce_leaving()
        is_promoting = self.kernel.find(PromotionService).is_busy
        if not is_promoting:
            # Not awaited: the store may be slow, and the time for draining is fixed.
            self.kernel.tasks.start("duty_hand_over", duty.hand_over())
        await self.kernel.find(SessionFront).drain()
        await hosted_work.drain(schedule)
        if is_promoting:
            self.kernel.tasks.start("duty_hand_over", duty.hand_over())

    async def stop(self) -> None:
        """Stop all services."""
        await self.kernel.stop()
        log_decision("stopped")


def run_session_vm(
    settings: SessionVmSettings,
    reactor: Any,
    create_interfaces: Callable[[SessionMetrics], PlatformInterfaces],
    *,
    reload: Callable[[], None],
) -> None:
    """Run a VM until SIGTERM or SIGINT drains it; SIGHUP reloads settings."""
    vm = SessionVm(settings, reactor, create_interfaces)
    received_signals: list[int] = []

    def on_signal(number: int, frame: object) -> None:
        received_signals.append(number)
        if len(received_signals) == 1:
            reactor.callFromThread(
                lambda: vm.kernel.tasks.start("shut_down", shut_down())
            )

    async def shut_down() -> None:
        log_decision("signal_to_stop", grace_s=settings.grace_s)
        # Its failure is logged; the services are stopped all the same.
        await vm.kernel.tasks.start("drain", vm.drain())
        await vm.stop()
        await deferLater(reactor, 0.05, lambda: None)
        reactor.stop()

    def start_vm() -> None:
        started = Deferred.fromCoroutine(vm.start())
        started.addErrback(on_start_failure)

    def on_start_failure(failure: Any) -> None:
        log_decision("start_failed", error=failure.getTraceback())
        reactor.stop()

    signal.signal(signal.SIGTERM, on_signal)
    signal.signal(signal.SIGINT, on_signal)
    signal.signal(signal.SIGHUP, lambda *_: reactor.callFromThread(reload))
    reactor.callWhenRunning(start_vm)
    reactor.run(installSignalHandlers=False)
