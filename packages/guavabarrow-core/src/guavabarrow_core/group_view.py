"""A VM's view of a database group, and the conclusions that it permits."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from enum import Enum

from guavabarrow_core.log_position import Lineage, LogPosition  # noqa: TC001 (decoded)

MAX_SAMPLES = 512


class Role(Enum):
    """Role that a database reports."""

    PRIMARY = "primary"
    REPLICA = "replica"


class Durability(Enum):
    """Whether an entry survives every possible promotion."""

    DURABLE = "durable"
    PENDING = "pending"
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class DatabaseReport:
    """State of one database, as reported to a probe.

    Parameters
    ----------
    database : str
        Name of the database.
    role : Role
        Role at the time of the answer.
    promised_term : int
        Highest term it has promised; it rejects log entries of lower terms.
    lineage : Lineage
        Terms and length of its log.
    link_age_s : float or None
        Replicas: seconds since the primary's last message; None if the link is broken.
    open_transactions : int
        Transactions open on client connections.
    sent_at : float
        Monotonic time at which the probe was sent.
    received_at : float
        Monotonic time at which the answer arrived.
    """

    database: str
    role: Role
    promised_term: int
    lineage: Lineage
    link_age_s: float | None
    open_transactions: int
    sent_at: float
    received_at: float


@dataclass(frozen=True, slots=True)
class PrimarySample:
    """A log position of the primary, and the time as of which it was current.

    Parameters
    ----------
    as_of : float
        Up to this time, no later primary can have acknowledged a write.
    position : LogPosition
        Covers every write that was acknowledged before ``as_of``.
    sampled_at : float
        Time at which the sample was taken.
    """

    as_of: float
    position: LogPosition
    sampled_at: float


class GroupView:
    """Latest reports of the databases of a group.

    Parameters
    ----------
    databases : iterable of str
        All members of the group, reachable or not.

    Attributes
    ----------
    primary : DatabaseReport or None
        Report of the primary of the highest term, None if it is superseded.
    """

    def __init__(self, databases: tuple[str, ...]) -> None:
        self.databases = databases
        self.by_database: dict[str, DatabaseReport] = {}
        self.primary: DatabaseReport | None = None
        self._samples: deque[PrimarySample] = deque(maxlen=MAX_SAMPLES)

    @property
    def majority(self) -> int:
        """Smallest number such that any two sets of that many databases overlap."""
        return len(self.databases) // 2 + 1

    @property
    def highest_promised_term(self) -> int:
        """Highest term that any database has reported."""
        terms = [report.promised_term for report in self.by_database.values()]
        return max(terms, default=0)

    def _find_primary(self) -> DatabaseReport | None:
        primaries = [
            report
            for report in self.by_database.values()
            if report.role is Role.PRIMARY
            and report.promised_term == report.lineage.last.term
        ]
        if not primaries:
            return None
        newest = max(primaries, key=lambda report: report.lineage.last.term)
        fenced = [
            report
            for report in self.by_database.values()
            if report.promised_term > newest.lineage.last.term
        ]
        return None if len(fenced) >= self.majority else newest

    @property
    def confirmed_at(self) -> float:
        """Time up to which the primary was certainly not superseded."""
        return self._samples[-1].as_of if self._samples else float("-inf")

    def set_databases(self, databases: tuple[str, ...]) -> None:
        """Replace the members and discard reports of removed ones."""
        self.databases = databases
        for name in set(self.by_database) - set(databases):
            del self.by_database[name]
        self.primary = self._find_primary()

    def record(self, report: DatabaseReport) -> bool:
        """Store a report unless a newer one is stored already.

        Parameters
        ----------
        report : DatabaseReport
            Answer to a probe.

        Returns
        -------
        bool
            False if the report was outdated.
        """
        previous = self.by_database.get(report.database)
        if previous is not None and previous.sent_at > report.sent_at:
            return False
        self.by_database[report.database] = report
        self.primary = self._find_primary()
        self._record_sample(report.received_at)
        return True

    def durability(self, position: LogPosition) -> Durability:
        """Return whether an entry can still be lost.

        An entry is durable once a majority of the databases have the same last term
        and hold a log of that term up to or beyond the entry. Replicas that hold the
        entry but end in an older term are not enough: a later primary may still
        overwrite it (Ongaro and Ousterhout, "In Search of an Understandable Consensus
        Algorithm", 2014, section 5.4.2).

        Parameters
        ----------
        position : LogPosition
            Entry written by the primary of ``position.term``.

        Returns
        -------
        Durability
            LOST if a durable later term does not contain the entry.
        """
        durable = self.durable_lineage()
        if durable is None or durable.last.term < position.term:
            return Durability.PENDING
        if durable.contains(position):
            return Durability.DURABLE
        if durable.last.term > position.term:
            return Durability.LOST
        return Durability.PENDING

    def durable_lineage(self) -> Lineage | None:
        """Return the log up to its highest durable entry, None if there is none."""
        by_term: dict[int, list[Lineage]] = {}
        for report in self.by_database.values():
            by_term.setdefault(report.lineage.last.term, []).append(report.lineage)
        for term in sorted(by_term, reverse=True):
            lineages = sorted(
                by_term[term], key=lambda lineage: lineage.last_index, reverse=True
            )
            if term > 0 and len(lineages) >= self.majority:
                return lineages[self.majority - 1]
        return None

    def safe_time(self, report: DatabaseReport) -> float:
        """Return the time up to which a database holds all acknowledged writes.

        It is derived only from this VM's monotonic clock and from answers of a
        majority, so clock steps, replication lag and superseded primaries cannot make
        data appear fresher than it is.

        Parameters
        ----------
        report : DatabaseReport
            Report of a replica or primary.

        Returns
        -------
        float
            Monotonic time in seconds; minus infinity if it cannot be determined.
        """
        for sample in reversed(self._samples):
            if report.lineage.satisfies(sample.position):
                return sample.as_of
        return float("-inf")

    def _record_sample(self, now: float) -> None:
        primary = self.primary
        if primary is None:
            return
        term = primary.lineage.last.term
        confirmations = sorted(
            (
                report.sent_at
                for report in self.by_database.values()
                if report.promised_term <= term
            ),
            reverse=True,
        )
        if len(confirmations) < self.majority:
            return
        as_of = min(primary.sent_at, confirmations[self.majority - 1])
        if as_of > self.confirmed_at:
            self._samples.append(PrimarySample(as_of, primary.lineage.last, now))
