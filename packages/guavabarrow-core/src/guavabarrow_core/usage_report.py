"""Order in which windows of usage are closed, stored, sent and marked as sent.

The duty holder closes a window by storing its counts under the condition that the
window has none, sends what is stored, and marks it. A successor sends what it finds
stored and not marked, so no window is reported with two different counts. Whoever
acquires the duty waits until the previous holder's calls have certainly ended.

Windows are closed and sent in ascending order. So reports that aren't marked come after
all marked ones; a report before them was written late by a previous holder, after its
window had been deleted, and must not be sent.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum, auto
from typing import TYPE_CHECKING, Protocol

from guavabarrow_core.fleet_state import DUTY_LEASE_S
from guavabarrow_core.usage_counts import (
    KEPT_WINDOWS,
    UsageWindowOutOfRange,
    window_at,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

KEPT_REPORTS = 8
"""Marked reports that stay stored, so that operators can compare them."""

MAX_MARKED_REPORTS = 2 * KEPT_REPORTS
"""Marked reports above which the oldest is deleted before anything else is done, while
failures leave no time for it."""

MAX_UNSENT_REPORTS = 6
"""Reports that are stored while the platform doesn't accept any. Later windows are
stored after some of these were sent, as long as their counts are kept."""

CLOSE_FRACTION = 0.5
"""Part of the time until a report is due after which its window is closed. The rest is
for a successor that has to wait before it may send."""


class ReportPhase(Enum):
    """What has become of a stored report."""

    STORED = "stored"
    SENT = "sent"
    REFUSED = "refused"


@dataclass(frozen=True, slots=True)
class StoredReport:
    """Counts of one window as stored.

    Parameters
    ----------
    window : int
        Number of the window.
    count_by_team : dict of str to int
        Operations by team; never changed.
    phase : ReportPhase
        What has become of it.
    version : int
        Version of the row, 0 if it isn't stored yet.
    holder : str
        VM that stored or marked it.
    """

    window: int
    count_by_team: dict[str, int]
    phase: ReportPhase = ReportPhase.STORED
    version: int = 0
    holder: str = ""


class StepKind(Enum):
    """What to do next."""

    READ = auto()
    STORE = auto()
    SEND = auto()
    MARK = auto()
    DELETE = auto()
    SKIP = auto()


@dataclass(frozen=True, slots=True)
class Step:
    """One step, valid while this VM holds the duty under the token.

    Parameters
    ----------
    kind : StepKind
        What to do.
    token : int
        Fencing token.
    report : StoredReport or None
        Report to store, send, mark or delete; a skipped window has no counts.
    """

    kind: StepKind
    token: int
    report: StoredReport | None = None

    @property
    def window(self) -> int:
        """Window of the report."""
        return self.report.window if self.report is not None else 0


class WindowCounts(Protocol):
    """Counts that are known of each window."""

    def has_data(self, window: int) -> bool:
        """Return whether any process reported on a window."""

    def is_complete(self, window: int) -> bool:
        """Return whether all processes' counts of a window are complete."""

    def totals(self, window: int) -> dict[str, int]:
        """Return the operations of each team in a window."""


def settle_time_s(lease_s: float) -> float:
    """Return how long a new holder waits before its first step.

    A previous holder may begin a call until its copy of the duty has expired, and the
    call lasts at most ``lease_s``.

    Parameters
    ----------
    lease_s : float
        Time within which the platform forbids the holders A, B, A, in s.
    """
    return DUTY_LEASE_S + lease_s


class UsageReporter:
    """Decides on the holder's steps; they are carried out one after another.

    Parameters
    ----------
    vm : str
        Name of this VM.
    window_s : float
        Length of a window, in s.
    late_s : float
        Time after the end of a window at which its report is due, in s.
    lease_s : float
        Time within which the platform forbids the holders A, B, A, in s.

    Attributes
    ----------
    token : int
        Version of the duty's row, 0 if this VM doesn't hold the duty.
    report_by_window : dict of int to StoredReport
        Reports in the store, as last read or written.
    """

    def __init__(
        self, vm: str, *, window_s: float, late_s: float, lease_s: float
    ) -> None:
        self.token = 0
        self.report_by_window: dict[int, StoredReport] = {}
        self._vm = vm
        self._window_s = window_s
        self._close_after_s = late_s * CLOSE_FRACTION
        self._settle_s = settle_time_s(lease_s)
        self._active_from = float("inf")
        self._is_read = False
        self._skipped_through = -1
        self._result_by_window: dict[int, ReportPhase] = {}

    def acquire(self, token: int, now: float) -> None:
        """Begin to hold the duty under a new token at a local time, in s."""
        self.token = token
        self._active_from = now + self._settle_s
        self._is_read = False
        self.report_by_window = {}
        self._result_by_window = {}
        self._skipped_through = -1

    def may_act(self, held_token: int, now: float) -> bool:
        """Return whether steps may be carried out.

        Parameters
        ----------
        held_token : int
            Token under which this VM holds the duty according to its copy of the
            shared table, 0 if it doesn't hold it or the copy is too old.
        now : float
            Local time, in s, on a clock that advances while the machine is suspended.
        """
        return 0 < held_token == self.token and now >= self._active_from

    def closes_at(self, window: int) -> float:
        """Return the true time, in s, at which a window is closed at the latest."""
        return (window + 1) * self._window_s + self._close_after_s

    def next_step(self, true_s: float, counts: WindowCounts) -> Step | None:
        """Return the next step, None if there is nothing to do.

        Parameters
        ----------
        true_s : float
            True time, in s since the start of 1970.
        counts : WindowCounts
            Counts that are known.
        """
        if not self._is_read:
            return Step(StepKind.READ, self.token)
        unsent = self._unsent()
        for report in unsent:
            if report.window in self._result_by_window:
                return self._mark(report)
        if unsent and unsent[0].window < self._last_marked():
            return Step(StepKind.DELETE, self.token, unsent[0])
        marked = len(self.report_by_window) - len(unsent)
        if marked > MAX_MARKED_REPORTS:
            return self._delete_oldest()
        if len(unsent) < MAX_UNSENT_REPORTS:
            step = self._close_next(true_s, counts)
            if step is not None:
                return step
        if unsent:
            return Step(StepKind.SEND, self.token, unsent[0])
        return self._delete_oldest() if marked > KEPT_REPORTS else None

    def _delete_oldest(self) -> Step:
        oldest = self.report_by_window[min(self.report_by_window)]
        return Step(StepKind.DELETE, self.token, oldest)

    def _unsent(self) -> list[StoredReport]:
        reports = sorted(self.report_by_window.items())
        return [r for _, r in reports if r.phase is ReportPhase.STORED]

    def _last_marked(self) -> int:
        return max(
            (
                report.window
                for report in self.report_by_window.values()
                if report.phase is not ReportPhase.STORED
            ),
            default=-1,
        )

    def _mark(self, report: StoredReport) -> Step:
        phase = self._result_by_window[report.window]
        marked = replace(report, phase=phase, holder=self._vm)
        return Step(StepKind.MARK, self.token, marked)

    def _close_next(self, true_s: float, counts: WindowCounts) -> Step | None:
        current = window_at(true_s, self._window_s)
        newest = max([*self.report_by_window, self._skipped_through])
        window = max(newest + 1, current - KEPT_WINDOWS + 1)
        if window >= current:
            return None
        is_latest = true_s >= self.closes_at(window)
        if not counts.has_data(window):
            empty = StoredReport(window, {})
            return Step(StepKind.SKIP, self.token, empty) if is_latest else None
        if not (is_latest or counts.is_complete(window)):
            return None
        report = StoredReport(window, counts.totals(window), holder=self._vm)
        return Step(StepKind.STORE, self.token, report)

    # Results of steps. Those of steps under an earlier token are ignored.

    def on_read(
        self, step: Step, reports: Iterable[StoredReport], true_s: float
    ) -> None:
        """Take over all stored reports.

        Raises
        ------
        UsageWindowOutOfRange
            If a report's window lies in the future; the others are taken over. Its
            window is reported as stored when its time has come.
        """
        if step.token != self.token:
            return
        current = window_at(true_s, self._window_s)
        all_reports = {report.window: report for report in reports}
        self.report_by_window = {
            window: report
            for window, report in all_reports.items()
            if window <= current
        }
        self._is_read = True
        newest = max(all_reports, default=current)
        if newest > current:
            raise UsageWindowOutOfRange(newest, current, "the store")

    def on_written(self, step: Step, version: int | None) -> None:
        """Take over the result of storing, marking or deleting a report.

        Parameters
        ----------
        step : Step
            The step.
        version : int or None
            New version of the row, None if the condition failed or the store didn't
            answer; all reports are then read again.
        """
        if step.token != self.token or step.report is None:
            return
        if version is None:
            self._is_read = False
        elif step.kind is StepKind.DELETE:
            self.report_by_window.pop(step.window, None)
        else:
            self.report_by_window[step.window] = replace(step.report, version=version)
            if step.kind is StepKind.MARK:
                self._result_by_window.pop(step.window, None)

    def on_sent(self, step: Step, phase: ReportPhase) -> None:
        """Record that the platform accepted or refused a report."""
        if step.token == self.token:
            self._result_by_window[step.window] = phase

    def on_skipped(self, step: Step) -> None:
        """Record that a window is left out because no process reported on it."""
        if step.token == self.token:
            self._skipped_through = step.window
