"""Chooses the database for a read."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from guavabarrow_core.group_view import Role

if TYPE_CHECKING:
    from guavabarrow_core.group_view import DatabaseReport, GroupView
    from guavabarrow_core.log_position import LogPosition

REPORT_STALE_S = 1.5
MAX_REPLICA_WAIT_S = 0.02
SESSION_READ_MAX_AGE_S = 10.0


@dataclass(frozen=True, slots=True)
class ReadRequirement:
    """What a read requires.

    Parameters
    ----------
    position : LogPosition
        Highest position that the session has written.
    arrived_at : float
        Monotonic time at which the read arrived; ages count from here.
    max_age_s : float or None
        Stated age; None if only the session's own writes matter.
    primary_only : bool
        Whether the session token or the transaction requires the primary.
    """

    position: LogPosition
    arrived_at: float
    max_age_s: float | None = None
    primary_only: bool = False

    @property
    def oldest_as_of(self) -> float:
        """Time before which every acknowledged write must be visible."""
        if self.max_age_s is None:
            return self.arrived_at - SESSION_READ_MAX_AGE_S
        return self.arrived_at - self.max_age_s


@dataclass(frozen=True, slots=True)
class ReadFrom:
    """Send the read to this database."""

    database: str
    is_replica: bool


@dataclass(frozen=True, slots=True)
class WaitForReport:
    """Decide again when a report arrives or after ``timeout_s``."""

    timeout_s: float


@dataclass(frozen=True, slots=True)
class NoDatabase:
    """No reachable database satisfies the demand now."""


Route = ReadFrom | WaitForReport | NoDatabase


@dataclass(slots=True)
class PoolLoad:
    """Outstanding work per database, keyed by database name."""

    by_database: dict[str, int] = field(default_factory=dict)

    def of(self, database: str) -> int:
        """Return the outstanding statements of ``database``."""
        return self.by_database.get(database, 0)


class ReadPolicy(ABC):
    """Decides between replicas, waiting and the primary."""

    def route(
        self,
        demand: ReadRequirement,
        *,
        view: GroupView,
        leaving: frozenset[str],
        load: PoolLoad,
        waited_s: float,
        now: float,
    ) -> Route:
        """Choose a database.

        Parameters
        ----------
        demand : ReadRequirement
            What the read requires.
        view : GroupView
            Reports of the group.
        leaving : frozenset of str
            Databases that get no new work.
        load : PoolLoad
            Outstanding statements of this VM.
        waited_s : float
            Seconds this read has waited so far.
        now : float
            Monotonic time.

        Returns
        -------
        Route
            Database, wait or refusal.
        """
        if not demand.primary_only:
            replicas = self._fresh_replicas(demand, view=view, now=now)
            usable = [name for name in replicas if name not in leaving]
            if usable:
                best = min(usable, key=lambda name: (load.of(name), name))
                return ReadFrom(best, is_replica=True)
            wait_s = self._replica_wait_s(demand, view=view, now=now) - waited_s
            if wait_s > 0:
                return WaitForReport(wait_s)
        return self._primary(demand, view=view)

    @abstractmethod
    def _replica_wait_s(
        self, demand: ReadRequirement, *, view: GroupView, now: float
    ) -> float:
        """Return how long to wait for a replica before using the primary."""

    def _fresh_replicas(
        self, demand: ReadRequirement, *, view: GroupView, now: float
    ) -> list[str]:
        return [
            report.database
            for report in view.by_database.values()
            if report.role is Role.REPLICA
            and now - report.received_at < REPORT_STALE_S
            and self._satisfies(report, demand, view=view)
        ]

    def _satisfies(
        self,
        report: DatabaseReport,
        demand: ReadRequirement,
        *,
        view: GroupView,
    ) -> bool:
        if not report.lineage.satisfies(demand.position):
            return False
        return view.safe_time(report) >= demand.oldest_as_of

    def _primary(self, demand: ReadRequirement, *, view: GroupView) -> Route:
        primary = view.primary
        if primary is None:
            return NoDatabase()
        if not primary.lineage.satisfies(demand.position):
            return WaitForReport(REPORT_STALE_S)
        if demand.max_age_s is None:
            return ReadFrom(primary.database, is_replica=False)
        if view.confirmed_at < demand.oldest_as_of:
            return WaitForReport(REPORT_STALE_S)
        return ReadFrom(primary.database, is_replica=False)


class PrimaryOnlyReadPolicy(ReadPolicy):
    """Baseline: all reads go to the primary."""

    def _replica_wait_s(
        self, demand: ReadRequirement, *, view: GroupView, now: float
    ) -> float:
        return 0.0

    def _fresh_replicas(
        self, demand: ReadRequirement, *, view: GroupView, now: float
    ) -> list[str]:
        return []


@dataclass(slots=True)
class FixedWaitReadPolicy(ReadPolicy):
    """Baseline: waits a fixed time for a replica."""

    wait_s: float = MAX_REPLICA_WAIT_S

    def _replica_wait_s(
        self, demand: ReadRequirement, *, view: GroupView, now: float
    ) -> float:
        return self.wait_s


@dataclass(slots=True)
class AdaptiveReadPolicy(ReadPolicy):
    """Waits for a replica only where one can be expected to satisfy the read soon.

    A session's writes were acknowledged by a majority, so some replica holds them and
    the next probe shows which. A stated age below the observed lag cannot be met by
    a replica, however long the read waits.

    Parameters
    ----------
    max_wait_s : float
        Longest wait for a replica.
    """

    max_wait_s: float = MAX_REPLICA_WAIT_S

    def _replica_wait_s(
        self, demand: ReadRequirement, *, view: GroupView, now: float
    ) -> float:
        lags = [
            report.received_at - view.safe_time(report)
            for report in view.by_database.values()
            if report.role is Role.REPLICA and now - report.received_at < REPORT_STALE_S
        ]
        if not lags:
            return 0.0
        if demand.max_age_s is not None and min(lags) > demand.max_age_s:
            return 0.0
        return self.max_wait_s
