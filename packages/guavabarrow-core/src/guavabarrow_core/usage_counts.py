"""Counts of teams' operations by window of true time, and their aggregation.

The VM that sends operations to targets counts them (:class:`UsageCounter`). Counts are
cumulative, and an aggregating VM keeps the largest one for each process, window and
team (:class:`UsageTally`), so repeated and reordered messages change nothing.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from math import floor
from typing import TYPE_CHECKING

from guavabarrow_core.exceptions import GuavabarrowError

if TYPE_CHECKING:
    from collections.abc import Container, Iterable, Mapping

KEPT_WINDOWS = 8
"""Windows that are kept: the open one, two that aren't due yet, and those of a store
outage of 20 s with windows of 5 s."""

STOPPED_WINDOW = 2**53
"""Last final window of a process that has stopped as planned."""


class UsageWindowOutOfRange(GuavabarrowError):
    """A message or a stored report names a window that lies in the future.

    Parameters
    ----------
    window, current : int
        The window, and the one in which it was received.
    origin : str
        Where it came from.
    """

    def __init__(self, window: int, current: int, origin: str) -> None:
        super().__init__(f"{origin}: window {window} is after {current}.")
        self.window = window
        self.current = current


class InvalidUsageCount(GuavabarrowError):
    """A message has a count that isn't positive."""


class UnknownUsageTeam(GuavabarrowError):
    """Operations were counted for teams that no known configuration has.

    Parameters
    ----------
    count_by_team : dict of str to int
        Their operations.
    """

    def __init__(self, count_by_team: dict[str, int]) -> None:
        super().__init__(f"Unknown teams: {', '.join(sorted(count_by_team))}.")
        self.count_by_team = count_by_team


def check_teams(count_by_team: Mapping[str, int], known: Container[str]) -> None:
    """Check that all teams are known.

    Raises
    ------
    UnknownUsageTeam
        With the counts of those that aren't.
    """
    unknown = {t: count for t, count in count_by_team.items() if t not in known}
    if unknown:
        raise UnknownUsageTeam(unknown)


def window_at(true_s: float, window_s: float) -> int:
    """Return the window that contains a time.

    Examples
    --------
    >>> window_at(1767225604.9, 5.0)
    353445120
    """
    return floor(true_s / window_s)


@dataclass(frozen=True, slots=True)
class UsageSource:
    """A process that counts operations."""

    vm: str
    incarnation: str


@dataclass(frozen=True, slots=True)
class UsageEntry:
    """Counts of one process, or those that changed.

    Parameters
    ----------
    source : UsageSource
        The process.
    first_window : int
        Window in which it began to count.
    final_through : int
        Last window whose counts won't change any more.
    counts_by_window : dict of int to dict of str to int
        Operations by team.
    """

    source: UsageSource
    first_window: int
    final_through: int
    counts_by_window: dict[int, dict[str, int]]


@dataclass(eq=False, slots=True)
class PendingOperation:
    """An operation that was sent to a target and not answered yet."""

    team: str
    window: int
    is_counted: bool = False


class UsageCounter:
    """Counts of this process.

    Parameters
    ----------
    window_s : float
        Length of a window, in s.
    wait_s : float
        Time after the end of a window, in s, after which operations without an answer
        are counted as begun.
    """

    def __init__(self, window_s: float, wait_s: float) -> None:
        self.window_s = window_s
        self.first_window: int | None = None
        self.final_through = -1
        self._wait_s = wait_s
        self._pending: set[PendingOperation] = set()
        self._counts_by_window: dict[int, Counter[str]] = {}

    def begin(self, team: str, true_s: float) -> PendingOperation:
        """Record that an operation was sent to a target."""
        window = window_at(true_s, self.window_s)
        if self.first_window is None:
            self.first_window = window
        if window == self.final_through:
            # True time was corrected backwards by less than a window.
            window += 1
        operation = PendingOperation(team, window)
        self._pending.add(operation)
        return operation

    def finish(self, operation: PendingOperation, *, has_run: bool) -> None:
        """Record whether a target began to run an operation, or may have."""
        self._pending.discard(operation)
        if has_run and not operation.is_counted:
            self._count(operation)

    def advance(self, true_s: float) -> None:
        """Mark windows as final that have ended, and drop old ones."""
        current = window_at(true_s, self.window_s)
        if self.first_window is None:
            self.first_window = current
        oldest_pending = current
        for operation in list(self._pending):
            end_s = (operation.window + 1) * self.window_s
            if true_s >= end_s + self._wait_s:
                self.finish(operation, has_run=True)
            else:
                oldest_pending = min(oldest_pending, operation.window)
        self.final_through = max(self.final_through, oldest_pending - 1)
        for window in list(self._counts_by_window):
            if window <= current - KEPT_WINDOWS:
                del self._counts_by_window[window]

    def stop(self) -> None:
        """Count what has no answer yet, and mark all windows as final."""
        for operation in list(self._pending):
            self.finish(operation, has_run=True)
        self.final_through = STOPPED_WINDOW

    def entry(self, source: UsageSource) -> UsageEntry:
        """Return all counts."""
        counts = {window: dict(c) for window, c in self._counts_by_window.items()}
        first_window = self.first_window if self.first_window is not None else 0
        return UsageEntry(source, first_window, self.final_through, counts)

    def _count(self, operation: PendingOperation) -> None:
        operation.is_counted = True
        counts = self._counts_by_window.setdefault(operation.window, Counter())
        counts[operation.team] += 1


@dataclass(slots=True)
class _SourceCounts:
    """What is known of one process; revisions tell when an item changed."""

    first_window: int
    changed_in_window: int
    final_through: int = -1
    final_revision: int = 0
    counts_by_window: dict[int, dict[str, int]] = field(default_factory=dict)
    revisions_by_window: dict[int, dict[str, int]] = field(default_factory=dict)

    def covers(self, window: int) -> bool:
        """Return whether the process was counting in a window, as far as is known."""
        return window in self.counts_by_window or (
            self.first_window <= window <= self.final_through < STOPPED_WINDOW
        )


@dataclass(slots=True)
class UsageCursor:
    """How much of a tally another VM has been sent."""

    final_revision: int = 0
    revision_by_window: dict[int, int] = field(default_factory=dict)


class UsageTally:
    """Largest counts known of each process, window and team."""

    def __init__(self) -> None:
        self._revision = 0
        self._counts_by_source: dict[UsageSource, _SourceCounts] = {}

    def merge(self, entry: UsageEntry, current_window: int) -> None:
        """Take over counts that are larger than the known ones.

        Parameters
        ----------
        entry : UsageEntry
            Counts as received; windows that are no longer kept are ignored.
        current_window : int
            The window of the present moment.

        Raises
        ------
        UsageWindowOutOfRange
            If a window is later than the next one; nothing is taken over.
        InvalidUsageCount
            If a count is negative; nothing is taken over.
        """
        _check_entry(entry, current_window)
        known = self._counts_by_source.get(entry.source)
        if known is None:
            known = _SourceCounts(entry.first_window, current_window)
            self._counts_by_source[entry.source] = known
            # A process without counts must be passed on too.
            self._revision += 1
            known.final_revision = self._revision
        if entry.final_through > known.final_through:
            self._revision += 1
            known.final_through, known.final_revision = (
                entry.final_through,
                self._revision,
            )
            known.changed_in_window = current_window
        for window, count_by_team in entry.counts_by_window.items():
            if window > current_window - KEPT_WINDOWS:
                self._merge_window(known, window, count_by_team, current_window)

    def _merge_window(
        self,
        known: _SourceCounts,
        window: int,
        count_by_team: Mapping[str, int],
        current_window: int,
    ) -> None:
        counts = known.counts_by_window.setdefault(window, {})
        revisions = known.revisions_by_window.setdefault(window, {})
        for team, count in count_by_team.items():
            if count > counts.get(team, 0):
                self._revision += 1
                counts[team] = count
                revisions[team] = self._revision
                known.changed_in_window = current_window

    def take_changes(
        self,
        cursor: UsageCursor,
        *,
        without_vm: str = "",
        only: UsageSource | None = None,
        through: int = STOPPED_WINDOW,
    ) -> list[UsageEntry]:
        """Return what has changed since the last call with a cursor, and move it.

        Parameters
        ----------
        cursor : UsageCursor
            What was sent before; a new one for everything.
        without_vm : str
            VM whose own counts are left out, because it has them.
        only : UsageSource, optional
            Process to which the result is limited.
        through : int
            Last window whose counts are sent; later ones are sent by a later call.
        """
        entries = []
        sent_by_window = cursor.revision_by_window
        windows: set[int] = set()
        for source, known in self._counts_by_source.items():
            windows.update(known.counts_by_window)
            if source.vm == without_vm or (only is not None and source != only):
                continue
            changed = {}
            for window, revisions in known.revisions_by_window.items():
                sent = sent_by_window.get(window, 0)
                counts = known.counts_by_window[window]
                teams = {t: counts[t] for t, at in revisions.items() if at > sent}
                if teams and window <= through:
                    changed[window] = teams
            if changed or known.final_revision > cursor.final_revision:
                entries.append(
                    UsageEntry(source, known.first_window, known.final_through, changed)
                )
        cursor.final_revision = self._revision
        cursor.revision_by_window = {
            window: self._revision for window in windows if window <= through
        }
        return entries

    def prune(self, current_window: int) -> None:
        """Drop windows, and processes without recent changes, that are too old."""
        oldest = current_window - KEPT_WINDOWS + 1
        for source, known in list(self._counts_by_source.items()):
            for window in [w for w in known.counts_by_window if w < oldest]:
                del known.counts_by_window[window]
                del known.revisions_by_window[window]
            if not known.counts_by_window and known.changed_in_window < oldest:
                del self._counts_by_source[source]

    def totals(self, window: int) -> dict[str, int]:
        """Return the operations of each team in a window, over all processes."""
        total: Counter[str] = Counter()
        for known in self._counts_by_source.values():
            total.update(known.counts_by_window.get(window, {}))
        return dict(total)

    def has_data(self, window: int) -> bool:
        """Return whether any process reported on a window."""
        return any(known.covers(window) for known in self._counts_by_source.values())

    def is_final(self, source: UsageSource, window: int) -> bool:
        """Return whether a process's counts of a window are complete."""
        known = self._counts_by_source.get(source)
        return known is not None and known.final_through >= window

    def incomplete(
        self, window: int, sources: Iterable[UsageSource]
    ) -> list[UsageSource]:
        """Return those processes whose counts of a window aren't complete yet."""
        return [source for source in sources if not self.is_final(source, window)]


def _check_entry(entry: UsageEntry, current_window: int) -> None:
    origin = f"{entry.source.vm} {entry.source.incarnation}"
    windows = [entry.first_window, *entry.counts_by_window]
    if entry.final_through != STOPPED_WINDOW:
        windows.append(entry.final_through)
    newest = max(windows)
    if newest > current_window + 1:
        raise UsageWindowOutOfRange(newest, current_window, origin)
    for counts in entry.counts_by_window.values():
        for team, count in counts.items():
            if count < 0:
                raise InvalidUsageCount(f"{origin}: {count} operations of {team}.")
