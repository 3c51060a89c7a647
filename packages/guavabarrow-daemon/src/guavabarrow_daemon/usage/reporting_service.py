"""Reports usage to the platform while this VM holds the duty."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec
from twisted.internet.defer import Deferred

from guavabarrow_core.fleet_state import DUTY_KEY
from guavabarrow_core.store_position import StorePosition
from guavabarrow_core.usage_counts import UsageWindowOutOfRange
from guavabarrow_core.usage_report import (
    ReportPhase,
    Step,
    StepKind,
    StoredReport,
    UsageReporter,
)
from guavabarrow_daemon.fleet.duty_service import DutyService
from guavabarrow_daemon.fleet.fleet_service import FleetService
from guavabarrow_daemon.kernel import Kernel, Service
from guavabarrow_daemon.operations.clock import now_s
from guavabarrow_daemon.operations.decision_log import log_decision
from guavabarrow_daemon.operations.session_metrics import SessionMetrics
from guavabarrow_daemon.store.exceptions import StoreUnavailable
from guavabarrow_daemon.store.watched_table import (
    UsageReportRefused,
    UsageReportUnanswered,
    UsageReportWithdrawn,
)
from guavabarrow_daemon.usage.gathering_service import UsageGathering
from guavabarrow_daemon.usage.report_codec import (
    decode_report,
    encode_report,
    report_key,
)
from guavabarrow_daemon.usage.true_clock import TrueClock

if TYPE_CHECKING:
    from twisted.internet.task import LoopingCall

    from guavabarrow_daemon.store.watched_table import UsageAuthority, WatchedTable

CHECK_INTERVAL_S = 0.25
RETRY_DELAY_S = 0.5
"""Delay before the next step after one that failed; a platform that is overloaded gets
two calls a second."""


class UsageStatus(msgspec.Struct, frozen=True):
    """State of the usage reports as this VM knows it.

    Parameters
    ----------
    is_reporting : bool
        Whether this VM reports now.
    current_window : int
        Window of the present moment.
    last_window : int
        Last window that was reported or refused, 0 if none is known.
    last_holder : str
        VM that reported it.
    unsent_windows : list of int
        Windows whose counts are stored but not accepted yet.
    missing_domains : list of str
        Failure domains without complete counts of the last window that has ended.
    """

    is_reporting: bool
    current_window: int
    last_window: int
    last_holder: str
    unsent_windows: list[int]
    missing_domains: list[str]


class UsageReporting(Service):
    """Carries out the steps of :class:`UsageReporter`.

    Parameters
    ----------
    kernel : Kernel
        Registry of services.
    table : WatchedTable
        Table of the stored reports; only the holder of the duty uses it.
    authority : UsageAuthority
        Accepts the reports.
    reactor : object
        Twisted reactor.
    window_s, late_s, lease_s : float
        Length of a window, time after its end at which its report is due, and time
        within which the duty may not pass to another VM and back, in s.

    Attributes
    ----------
    reporter : UsageReporter
        Decides on the steps.
    """

    name = "usage_reporting"

    def __init__(
        self,
        kernel: Kernel,
        table: WatchedTable,
        authority: UsageAuthority,
        reactor: Any,
        *,
        window_s: float,
        late_s: float,
        lease_s: float,
    ) -> None:
        super().__init__(kernel)
        self._fleet = kernel.find(FleetService)
        self.reporter = UsageReporter(
            self._fleet.state.vm, window_s=window_s, late_s=late_s, lease_s=lease_s
        )
        self._table = table
        self._authority = authority
        self._reactor = reactor
        self._duty = kernel.find(DutyService)
        self._clock = kernel.find(TrueClock)
        self._gathering = kernel.find(UsageGathering)
        self._metrics = kernel.find(SessionMetrics)
        self._missing_by_window: dict[int, list[str]] = {}
        self._retry_at = float("-inf")
        self._loop: LoopingCall | None = None

    async def start(self) -> None:
        """Start the periodic checks."""
        self._duty.on_acquired.append(self._on_acquired)
        self._loop = self.kernel.tasks.create_periodic(
            "usage_report", self._check, self._reactor
        )
        self._loop.start(CHECK_INTERVAL_S, now=False)

    async def stop(self) -> None:
        """Stop the periodic checks."""
        if self._loop is not None and self._loop.running:
            self._loop.stop()

    def status(self) -> UsageStatus:
        """Return the state for operators."""
        reports = sorted(self.reporter.report_by_window.items())
        marked = [r for _, r in reports if r.phase is not ReportPhase.STORED]
        current = self._gathering.current_window
        return UsageStatus(
            is_reporting=self._may_act(),
            current_window=current,
            last_window=marked[-1].window if marked else 0,
            last_holder=marked[-1].holder if marked else "",
            unsent_windows=[w for w, r in reports if r.phase is ReportPhase.STORED],
            missing_domains=self._gathering.missing_domains(current - 1),
        )

    def _on_acquired(self) -> None:
        self.reporter.acquire(int(self._fleet.state.version_of(DUTY_KEY)), now_s())
        self._missing_by_window.clear()

    def _may_act(self) -> bool:
        is_holder = self._duty.may_order_promotions()
        held_token = int(self._fleet.state.version_of(DUTY_KEY)) if is_holder else 0
        return self.reporter.may_act(held_token, now_s())

    def _check(self) -> Deferred[None] | None:
        # The loop waits for the result, so steps never overlap.
        if now_s() < self._retry_at or not self._may_act():
            return None
        return Deferred.fromCoroutine(self._carry_out_steps())

    async def _carry_out_steps(self) -> None:
        while self._may_act():
            step = self.reporter.next_step(self._clock.true_s(), self._gathering)
            if step is None:
                break
            is_done = await self._carry_out(step)
            result = "done" if is_done else "failed"
            self._metrics.usage_reports.labels(step.kind.name.lower(), result).inc()
            if not is_done:
                self._retry_at = now_s() + RETRY_DELAY_S
                break
        unsent = [
            report
            for report in self.reporter.report_by_window.values()
            if report.phase is ReportPhase.STORED
        ]
        self._metrics.usage_unsent_windows.set(len(unsent))

    async def _carry_out(self, step: Step) -> bool:
        """Carry out a step and return whether it succeeded."""
        if step.kind is StepKind.READ:
            return await self._read(step)
        if step.kind is StepKind.SKIP:
            log_decision("usage_window_skipped", window=step.window)
            self.reporter.on_skipped(step)
            return True
        if step.report is None:
            return False
        if step.kind is StepKind.SEND:
            return await self._send(step, step.report)
        return await self._write(step, step.report)

    async def _read(self, step: Step) -> bool:
        try:
            reading = await self._table.read()
        except StoreUnavailable as error:
            log_decision("usage_store_unavailable", step="read", detail=str(error))
            return False
        decoded = [decode_report(r.key, r.value, r.version) for r in reading.rows]
        reports = [report for report in decoded if report is not None]
        try:
            self.reporter.on_read(step, reports, self._clock.true_s())
        except UsageWindowOutOfRange as error:
            log_decision("usage_window_ahead", detail=str(error))
        return True

    async def _write(self, step: Step, report: StoredReport) -> bool:
        if step.kind is StepKind.STORE:
            missing = self._gathering.missing_domains(step.window)
            self._missing_by_window[step.window] = missing
        is_delete = step.kind is StepKind.DELETE
        value = None if is_delete else encode_report(report)
        try:
            written = await self._table.write(
                report_key(step.window), value, StorePosition(report.version)
            )
        except StoreUnavailable as error:
            log_decision(
                "usage_store_unavailable",
                step=step.kind.name.lower(),
                window=step.window,
                detail=str(error),
            )
            self.reporter.on_written(step, None)
            return False
        era = StorePosition(written.version).era
        if era != self._fleet.state.era:
            # The condition may have met a version that was given out again.
            log_decision("usage_era_ended", window=step.window, era=era)
            self._fleet.follow_era(era, "store")
            self.reporter.on_written(step, None)
            return False
        self.reporter.on_written(step, written.version if written.is_applied else None)
        if not written.is_applied:
            log_decision(
                "usage_row_changed", step=step.kind.name.lower(), window=step.window
            )
        elif step.kind is StepKind.MARK:
            self._log_marked(step, report)
        return True

    async def _send(self, step: Step, report: StoredReport) -> bool:
        try:
            await self._authority.report(
                step.window,
                report.count_by_team,
                holder=self._fleet.state.vm,
                fencing_token=step.token,
                may_send=lambda: self._may_act() and step.token == self.reporter.token,
            )
        except UsageReportRefused as error:
            log_decision(
                "usage_report_refused", window=step.window, status=error.status
            )
            self.reporter.on_sent(step, ReportPhase.REFUSED)
            return True
        except (UsageReportUnanswered, UsageReportWithdrawn) as error:
            event = (
                "usage_report_withdrawn"
                if isinstance(error, UsageReportWithdrawn)
                else "usage_report_unanswered"
            )
            log_decision(event, window=step.window, detail=str(error))
            return False
        self.reporter.on_sent(step, ReportPhase.SENT)
        return True

    def _log_marked(self, step: Step, report: StoredReport) -> None:
        missing = self._missing_by_window.pop(step.window, [])
        if report.phase is ReportPhase.SENT:
            self._metrics.usage_last_window.set(step.window)
            log_decision(
                "usage_reported",
                window=step.window,
                token=step.token,
                teams=len(report.count_by_team),
                operations=sum(report.count_by_team.values()),
                missing_domains=missing,
            )
