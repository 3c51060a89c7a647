"""Polls the status of one database and reports it to its group."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from guavabarrow_core.group_monitor import ProbeFailed, ReportReceived
from guavabarrow_core.group_view import DatabaseReport, Role
from guavabarrow_daemon.targets.http_messages import Status, Watch
from guavabarrow_daemon.targets.interface import (
    TargetConnectionBroken,
    TargetControl,
    TargetRefused,
)

if TYPE_CHECKING:
    from guavabarrow_core.fleet import Target
    from guavabarrow_daemon.background import BackgroundTasks

LONG_POLL_S = 0.5
WATCH_TIMEOUT_S = 1.0
RETRY_DELAY_S = 0.1


class ReportReceiver(ABC):
    """Receives status reports and probe failures of a group's databases."""

    @property
    @abstractmethod
    def watch_interval_s(self) -> float:
        """Shortest time between two probes of a database, in s."""

    @abstractmethod
    def step(self, event: ProbeFailed | ReportReceived) -> None:
        """Handle a report or a failed probe."""


class TargetWatch:
    """Task that long-polls the status of one database.

    Parameters
    ----------
    target : Target
        Database.
    control : TargetControl
        Control client of the database; closed by ``stop``.
    group : ReportReceiver
        Receiver of the events.
    reactor : object
        Clock.
    """

    def __init__(
        self,
        target: Target,
        control: TargetControl,
        group: ReportReceiver,
        reactor: Any,
        tasks: BackgroundTasks,
    ) -> None:
        self.target = target
        self.control = control
        self._group = group
        self._reactor = reactor
        self._running = True
        self._pause: Deferred[None] | None = None
        self._tasks = tasks
        tasks.start_loop(f"target_watch_{target.name}", self._run, reactor)

    def wake(self) -> None:
        """End the pause between two probes early."""
        pause, self._pause = self._pause, None
        if pause is not None:
            pause.callback(None)

    def stop(self) -> None:
        """Stop the task and close the control client."""
        self._running = False
        self.control.close()

    def probe_now(self) -> None:
        """Request the status at once, in parallel with the running long poll."""
        self._tasks.start("target_probe", self._probe())

    async def _probe(self) -> None:
        sent_at = self._reactor.seconds()
        try:
            status = await self.control.status(timeout_s=WATCH_TIMEOUT_S)
        except (TargetConnectionBroken, TargetRefused):
            return
        if self._running:
            self._report(status, sent_at)

    async def _run(self) -> None:
        watch_request = Watch()
        while self._running:
            sent_at = self._reactor.seconds()
            try:
                status = await self.control.watch(
                    watch_request, timeout_s=WATCH_TIMEOUT_S
                )
            except (TargetConnectionBroken, TargetRefused):
                watch_request = Watch()
                if self._running:
                    elapsed_s = self._reactor.seconds() - sent_at
                    is_broken = elapsed_s < WATCH_TIMEOUT_S * 0.9
                    self._group.step(ProbeFailed(self.target.name, is_broken))
                    await deferLater(self._reactor, RETRY_DELAY_S)
                continue
            if not self._running:
                return
            poll_duration_s = self._reactor.seconds() - sent_at
            self._report(status, sent_at)
            last = status.lineage.last
            watch_request = Watch(
                last.term, last.index, status.promised_term, int(LONG_POLL_S * 1000)
            )
            pause_s = self._group.watch_interval_s - poll_duration_s
            if pause_s > 0:
                await self._pause_for(pause_s)

    async def _pause_for(self, duration_s: float) -> None:
        self._pause = Deferred()
        timer = self._reactor.callLater(duration_s, self.wake)
        await self._pause
        if timer.active():
            timer.cancel()

    def _report(self, status: Status, sent_at: float) -> None:
        link_age_s = None
        if status.link_age_ms is not None:
            link_age_s = status.link_age_ms / 1000
        report = DatabaseReport(
            database=self.target.name,
            role=Role(status.role),
            promised_term=status.promised_term,
            lineage=status.lineage,
            link_age_s=link_age_s,
            open_transactions=status.open_transactions,
            sent_at=sent_at,
            received_at=self._reactor.seconds(),
        )
        self._group.step(ReportReceived(report))
