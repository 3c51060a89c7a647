"""Registers the services of usage reports, if the settings name the duty."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from guavabarrow_core.usage_report import CLOSE_FRACTION
from guavabarrow_daemon.operations.clock import wall_s
from guavabarrow_daemon.usage.counting_service import UsageCounting
from guavabarrow_daemon.usage.gathering_service import UsageGathering
from guavabarrow_daemon.usage.reporting_service import UsageReporting
from guavabarrow_daemon.usage.true_clock import TrueClock

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavabarrow_daemon.kernel import Kernel
    from guavabarrow_daemon.session_settings import SessionVmSettings
    from guavabarrow_daemon.store.watched_table import UsageAuthority, WatchedTable


def register_usage_services(
    kernel: Kernel,
    settings: SessionVmSettings,
    table: WatchedTable | None,
    authority: UsageAuthority | None,
    reactor: Any,
    *,
    wall_clock: Callable[[], float] = wall_s,
) -> None:
    """Register the services, unless no usage is to be reported.

    Parameters
    ----------
    kernel : Kernel
        Registry of services.
    settings : SessionVmSettings
        Settings of this VM.
    table, authority : WatchedTable or None, UsageAuthority or None
        Interfaces of the platform.
    reactor : object
        Twisted reactor.
    wall_clock : callable
        Returns this VM's wall clock, in s since the start of 1970.
    """
    window_s, late_s = settings.usage_window_s, settings.usage_late_s
    if window_s is None or table is None or authority is None:
        return
    kernel.register(TrueClock(kernel, wall_clock))
    kernel.register(UsageCounting(kernel, window_s, late_s * CLOSE_FRACTION))
    kernel.register(UsageGathering(kernel, reactor, window_s=window_s, late_s=late_s))
    kernel.register(
        UsageReporting(
            kernel,
            table,
            authority,
            reactor,
            window_s=window_s,
            late_s=late_s,
            lease_s=settings.duty_lease_s,
        )
    )
