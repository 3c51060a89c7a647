"""Selection of the database for a read."""

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
        Monotonic time at which the read arrived, in s; ages are measured from it.
    max_age_s : float or None
        Maximum age of the data, in s; None if the read must only see the session's
        own writes.
    primary_only : bool
        Whether the session token or the transaction requires the primary.
    """

    position: LogPosition
    arrived_at: float
    max_age_s: float | None = None
    primary_only: bool = False

    @property
    def required_safe_time(self) -> float:
        """Time, in s, before which every acknowledged write must be visible."""
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
    """Choose again when a report arrives or after ``timeout_s``."""

    timeout_s: float


@dataclass(frozen=True, slots=True)
class NoDatabase:
    """No reachable database satisfies the requirement now."""


RoutingDecision = ReadFrom | WaitForReport | NoDatabase


@dataclass(slots=True)
class PoolLoad:
    """Outstanding statements of this VM, keyed by database name."""

    by_database: dict[str, int] = field(default_factory=dict)

    def of(self, database: str) -> int:
        """Return the number of outstanding statements of ``database``."""
        return self.by_database.get(database, 0)


class ReadPolicy(ABC):
    """Chooses between a replica, waiting and the primary."""

    def route(
        self,
        requirement: ReadRequirement,
        *,
        view: GroupView,
        leaving: frozenset[str],
        load: PoolLoad,
        waited_s: float,
        now: float,
    ) -> RoutingDecision:
        """Choose a database.

        Parameters
        ----------
        requirement : ReadRequirement
            What the read requires.
        view : GroupView
            Reports of the group.
        leaving : frozenset of str
            Databases that get no new work.
        load : PoolLoad
            Outstanding statements of this VM.
        waited_s : float
            Time that this read has waited so far, in s.
        now : float
            Monotonic time, in s.

        Returns
        -------
        RoutingDecision
            Database, wait, or no database.
        """
        if not requirement.primary_only:
            replicas = self._fresh_replicas(requirement, view=view, now=now)
            usable = [name for name in replicas if name not in leaving]
            if usable:
                best = min(usable, key=lambda name: (load.of(name), name))
                return ReadFrom(best, is_replica=True)
            wait_s = self._replica_wait_s(requirement, view=view, now=now) - waited_s
            if wait_s > 0:
                return WaitForReport(wait_s)
        return self._primary(requirement, view=view)

    @abstractmethod
    def _replica_wait_s(
        self, requirement: ReadRequirement, *, view: GroupView, now: float
    ) -> float:
        """Return how long, in s, to wait for a replica before using the primary."""

    def _fresh_replicas(
        self, requirement: ReadRequirement, *, view: GroupView, now: float
    ) -> list[str]:
        return [
            report.database
            for report in view.by_database.values()
            if report.role is Role.REPLICA
            and now - report.received_at < REPORT_STALE_S
            and self._satisfies(report, requirement, view=view)
        ]

    def _satisfies(
        self,
        report: DatabaseReport,
        requirement: ReadRequirement,
        *,
        view: GroupView,
    ) -> bool:
        if not report.lineage.satisfies(requirement.position):
            return False
        return view.safe_time(report) >= requirement.required_safe_time

    def _primary(
        self, requirement: ReadRequirement, *, view: GroupView
    ) -> RoutingDecision:
        primary = view.primary
        if primary is None:
            return NoDatabase()
        if not primary.lineage.satisfies(requirement.position):
            return WaitForReport(REPORT_STALE_S)
        if requirement.max_age_s is None:
            return ReadFrom(primary.database, is_replica=False)
        if view.confirmed_at < requirement.required_safe_time:
            return WaitForReport(REPORT_STALE_S)
        return ReadFrom(primary.database, is_replica=False)


class PrimaryOnlyReadPolicy(ReadPolicy):
    """Baseline: all reads go to the primary."""

    def _replica_wait_s(
        self, requirement: ReadRequirement, *, view: GroupView, now: float
    ) -> float:
        return 0.0

    def _fresh_replicas(
        self, requirement: ReadRequirement, *, view: GroupView, now: float
    ) -> list[str]:
        return []


@dataclass(slots=True)
class FixedWaitReadPolicy(ReadPolicy):
    """Baseline: waits a fixed time for a replica."""

    wait_s: float = MAX_REPLICA_WAIT_S

    def _replica_wait_s(
        self, requirement: ReadRequirement, *, view: GroupView, now: float
    ) -> float:
        return self.wait_s


@dataclass(slots=True)
class AdaptiveReadPolicy(ReadPolicy):
    """Waits for a replica only if one is expected to satisfy the read soon.

    A session's writes were acknowledged by a majority, so some replica has them and
    the next probe shows which. A maximum age below the observed lag cannot be met by
    a replica, however long the read waits.

    Parameters
    ----------
    max_wait_s : float
        Longest wait for a replica, in s.
    """

    max_wait_s: float = MAX_REPLICA_WAIT_S

    def _replica_wait_s(
        self, requirement: ReadRequirement, *, view: GroupView, now: float
    ) -> float:
        lags = [
            report.received_at - view.safe_time(report)
            for report in view.by_database.values()
            if report.role is Role.REPLICA and now - report.received_at < REPORT_STALE_S
        ]
        if not lags:
            return 0.0
        if requirement.max_age_s is not None and min(lags) > requirement.max_age_s:
            return 0.0
        return self.max_wait_s
