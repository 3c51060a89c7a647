"""Failure detection and promotion for a database group.

No other component starts promotions in a group. Safety depends on the databases alone:
a database promises a term to one owner and rejects log entries of lower terms, so
competing VMs cannot both promote, and a superseded primary cannot reach a majority.
Timing affects only how long a group is without a primary.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from random import Random

from guavabarrow_core.group_view import DatabaseReport, GroupView, Role
from guavabarrow_core.log_position import LogPosition  # noqa: TC001 (decoded)

ANSWER_TIMEOUT_S = 1.0
LINK_TIMEOUT_S = 0.3
ISOLATION_TIMEOUT_S = 1.0
RANK_DELAY_S = 0.15
JITTER_S = 0.05
PROMOTION_COOLDOWN_S = 0.5
ROUND_TIMEOUT_S = 0.5
BACKOFF_BASE_S = 0.1
BACKOFF_LIMIT_S = 2.0
HANDOVER_TIMEOUT_S = 3.0
HANDOVER_RANK_DELAY_S = 1.0


@dataclass(frozen=True, slots=True)
class ReportReceived:
    """A database answered a probe."""

    report: DatabaseReport


@dataclass(frozen=True, slots=True)
class ProbeFailed:
    """A probe failed.

    Parameters
    ----------
    database : str
        Database that was probed.
    connection_broken : bool
        True if the connection was refused or reset, False if the probe timed out.
    """

    database: str
    connection_broken: bool


@dataclass(frozen=True, slots=True)
class FenceReplied:
    """A database answered a fence request.

    Parameters
    ----------
    database : str
        Database that answered.
    term : int
        Term of the fence.
    granted : bool
        Whether the database promised the term to this VM.
    last : LogPosition or None
        Position of its last log entry, if granted.
    promised_term : int
        Highest term it has promised.
    """

    database: str
    term: int
    granted: bool
    last: LogPosition | None
    promised_term: int


@dataclass(frozen=True, slots=True)
class PromoteReplied:
    """A database answered a promotion request."""

    database: str
    term: int
    accepted: bool


@dataclass(frozen=True, slots=True)
class MembersChanged:
    """The members of the group or the VMs of the fleet changed.

    Parameters
    ----------
    databases : tuple of str
        Members of the group.
    leaving : frozenset of str
        Members that are being drained and get no new work.
    rank : int
        Promotion rank of this VM in this group; rank 0 acts first.
    """

    databases: tuple[str, ...]
    leaving: frozenset[str]
    rank: int


@dataclass(frozen=True, slots=True)
class Tick:
    """Periodic timer event."""


Event = (
    ReportReceived | ProbeFailed | FenceReplied | PromoteReplied | MembersChanged | Tick
)


@dataclass(frozen=True, slots=True)
class SendFence:
    """Ask ``database`` to promise ``term`` to this VM."""

    database: str
    term: int


@dataclass(frozen=True, slots=True)
class SendPromote:
    """Ask ``database`` to become primary of ``term``."""

    database: str
    term: int


@dataclass(frozen=True, slots=True)
class PromotionEnded:
    """A promotion attempt succeeded or was abandoned.

    Parameters
    ----------
    database : str or None
        The new primary, None if the attempt was abandoned.
    term : int
        Term of the attempt.
    detection_s, fencing_s, promotion_s : float
        Duration of each phase in seconds.
    """

    database: str | None
    term: int
    detection_s: float
    fencing_s: float
    promotion_s: float


Action = SendFence | SendPromote | PromotionEnded


class Phase(Enum):
    """Phase of failure detection and promotion."""

    STEADY = "steady"
    SUSPECTED = "suspected"
    FENCING = "fencing"
    PROMOTING = "promoting"
    BACKOFF = "backoff"


@dataclass(slots=True)
class PromotionAttempt:
    """State of one promotion attempt."""

    term: int
    started_at: float
    preferred: str | None
    last_by_database: dict[str, LogPosition] = field(default_factory=dict)
    refused: set[str] = field(default_factory=set)
    fenced_at: float = 0.0
    candidate: str | None = None


@dataclass(slots=True)
class Contact:
    """Time of a database's last answer, and whether its connection broke since."""

    last_answer_at: float
    broken: bool = False


class GroupMonitor:
    """State machine that ensures that a database group has a primary.

    Parameters
    ----------
    databases : tuple of str
        Members of the group.
    rank : int
        Promotion rank of this VM; rank 0 acts first.
    seed : int
        Seed of the random jitter.
    now : float
        Monotonic time in seconds.
    corroborate : bool
        Whether broken connections and the replicas' replication links are used as
        evidence to shorten detection; False selects the baseline that uses only the
        answer timeout.
    """

    def __init__(
        self,
        databases: tuple[str, ...],
        *,
        rank: int,
        seed: int,
        now: float,
        corroborate: bool = True,
    ) -> None:
        self.view = GroupView(databases)
        self.leaving: frozenset[str] = frozenset()
        self.phase = Phase.STEADY
        self._rank = rank
        self._random = Random(seed)
        self._corroborate = corroborate
        self._created_at = now
        self._contacts: dict[str, Contact] = {}
        self._suspected_at = 0.0
        self._next_attempt_at = 0.0
        self._isolated_since: float | None = None
        self._handover_since: float | None = None
        self._failures = 0
        self._attempt: PromotionAttempt | None = None
        self._highest_refused_term = 0

    @property
    def pauses_writes(self) -> bool:
        """Whether new writes must wait because the primary is being handed over."""
        return self._handover_since is not None

    def since_answer_s(self, database: str, now: float) -> float:
        """Return the time since the last answer of a database, in seconds."""
        return now - self._contact(database).last_answer_at

    def step(self, event: Event, now: float) -> list[Action]:
        """Process one event.

        Parameters
        ----------
        event : Event
            Event to process.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        list of Action
            Actions that the caller must perform.
        """
        actions: list[Action] = []
        match event:
            case ReportReceived(report):
                self._record(report, now)
            case ProbeFailed(database, connection_broken):
                contact = self._contact(database)
                contact.broken = contact.broken or connection_broken
            case FenceReplied():
                actions += self._on_fence_reply(event, now)
            case PromoteReplied():
                actions += self._on_promote_reply(event, now)
            case MembersChanged(databases, leaving, rank):
                self.view.set_databases(databases)
                self.leaving = leaving
                self._rank = rank
            case Tick():
                pass
        return actions + self._evaluate(now)

    def _record(self, report: DatabaseReport, now: float) -> None:
        if not self.view.record(report):
            return
        contact = self._contact(report.database)
        contact.last_answer_at = now
        contact.broken = False

    def _contact(self, database: str) -> Contact:
        return self._contacts.setdefault(database, Contact(self._created_at))

    def _evaluate(self, now: float) -> list[Action]:
        self._track_handover(now)
        if self.phase in (Phase.FENCING, Phase.PROMOTING):
            return self._check_round_timeout(now)
        if not self._needs_promotion(now):
            self.phase = Phase.STEADY
            self._failures = 0
            return []
        if self.phase is Phase.STEADY:
            self._start_suspicion(now)
        if now < self._next_attempt_at:
            return []
        return self._start_fencing(now)

    def _needs_promotion(self, now: float) -> bool:
        primary = self.view.primary
        if primary is None:
            waited_s = now - self._created_at
            return waited_s >= ANSWER_TIMEOUT_S and self._can_reach_majority(
                now, without=None
            )
        if self._is_isolated(primary, now):
            return True
        if self._is_failed(primary, now):
            return True
        return self._handover_is_due(primary, now)

    def _is_failed(self, primary: DatabaseReport, now: float) -> bool:
        contact = self._contact(primary.database)
        timed_out = now - contact.last_answer_at >= ANSWER_TIMEOUT_S
        if not self._can_reach_majority(now, without=primary.database):
            return False
        if not self._corroborate:
            return now - contact.last_answer_at >= 2 * ANSWER_TIMEOUT_S
        if not (timed_out or contact.broken):
            return False
        return self._replicas_lost_link(primary, now)

    def _is_isolated(self, primary: DatabaseReport, now: float) -> bool:
        if not self._corroborate:
            return False
        is_cut_off = self._can_reach_majority(
            now, without=primary.database
        ) and self._replicas_lost_link(primary, now)
        if not is_cut_off:
            self._isolated_since = None
            return False
        if self._isolated_since is None:
            self._isolated_since = now
        return now - self._isolated_since >= ISOLATION_TIMEOUT_S

    def _replicas_lost_link(self, primary: DatabaseReport, now: float) -> bool:
        term = primary.lineage.last.term
        for report in self._reachable_replicas(primary.database, now):
            if report.promised_term > term:
                continue
            if report.link_age_s is not None and report.link_age_s < LINK_TIMEOUT_S:
                return False
        return True

    def _reachable_replicas(self, primary: str, now: float) -> list[DatabaseReport]:
        return [
            report
            for name, report in self.view.by_database.items()
            if name != primary and self._is_reachable(name, now)
        ]

    def _is_reachable(self, database: str, now: float) -> bool:
        contact = self._contact(database)
        has_report = database in self.view.by_database
        return (
            has_report
            and not contact.broken
            and now - contact.last_answer_at < ANSWER_TIMEOUT_S
        )

    def _can_reach_majority(self, now: float, *, without: str | None) -> bool:
        reachable = [
            name
            for name in self.view.databases
            if name != without and self._is_reachable(name, now)
        ]
        return len(reachable) >= self.view.majority

    def _start_suspicion(self, now: float) -> None:
        self.phase = Phase.SUSPECTED
        self._suspected_at = self._last_primary_answer_at(now)
        delay_s = self._rank * RANK_DELAY_S
        if self._rank:
            delay_s += self._random.random() * JITTER_S
        self._next_attempt_at = now + delay_s

    def _last_primary_answer_at(self, now: float) -> float:
        primary = self.view.primary
        return (
            now if primary is None else self._contact(primary.database).last_answer_at
        )

    def _start_fencing(self, now: float) -> list[Action]:
        term = max(self.view.highest_promised_term, self._highest_refused_term) + 1
        preferred = self._successor() if self._handover_since is not None else None
        self._attempt = PromotionAttempt(term, now, preferred)
        self.phase = Phase.FENCING
        return [SendFence(database, term) for database in self.view.databases]

    def _on_fence_reply(self, event: FenceReplied, now: float) -> list[Action]:
        attempt = self._attempt
        if not event.granted:
            self._highest_refused_term = max(
                self._highest_refused_term, event.promised_term
            )
        if (
            attempt is None
            or self.phase is not Phase.FENCING
            or event.term != attempt.term
        ):
            return []
        if not event.granted or event.last is None:
            attempt.refused.add(event.database)
            remaining = len(self.view.databases) - len(attempt.refused)
            if remaining < self.view.majority:
                return self._abort_attempt(now)
            return []
        attempt.last_by_database[event.database] = event.last
        if len(attempt.last_by_database) < self.view.majority:
            return []
        return self._start_promoting(attempt, now)

    def _start_promoting(self, attempt: PromotionAttempt, now: float) -> list[Action]:
        attempt.fenced_at = now
        attempt.candidate = self._most_advanced(attempt)
        self.phase = Phase.PROMOTING
        return [SendPromote(attempt.candidate, attempt.term)]

    def _most_advanced(self, attempt: PromotionAttempt) -> str:
        return max(
            attempt.last_by_database,
            key=lambda name: (
                attempt.last_by_database[name],
                name == attempt.preferred,
                name not in self.leaving,
                name,
            ),
        )

    def _on_promote_reply(self, event: PromoteReplied, now: float) -> list[Action]:
        attempt = self._attempt
        if (
            attempt is None
            or self.phase is not Phase.PROMOTING
            or event.term != attempt.term
        ):
            return []
        if not event.accepted:
            return self._abort_attempt(now)
        self._attempt = None
        self.phase = Phase.BACKOFF
        self._next_attempt_at = now + PROMOTION_COOLDOWN_S
        return [
            PromotionEnded(
                event.database,
                attempt.term,
                detection_s=attempt.started_at - self._suspected_at,
                fencing_s=attempt.fenced_at - attempt.started_at,
                promotion_s=now - attempt.fenced_at,
            )
        ]

    def _check_round_timeout(self, now: float) -> list[Action]:
        attempt = self._attempt
        if attempt is None:
            return []
        started_at = (
            attempt.started_at if self.phase is Phase.FENCING else attempt.fenced_at
        )
        if now - started_at < ROUND_TIMEOUT_S:
            return []
        return self._abort_attempt(now)

    def _abort_attempt(self, now: float) -> list[Action]:
        attempt = self._attempt
        self._attempt = None
        self._failures += 1
        limit_s = min(BACKOFF_LIMIT_S, BACKOFF_BASE_S * 2**self._failures)
        self.phase = Phase.BACKOFF
        self._next_attempt_at = now + limit_s * (0.5 + self._random.random() / 2)
        if attempt is None:
            return []
        return [PromotionEnded(None, attempt.term, 0.0, 0.0, 0.0)]

    def _track_handover(self, now: float) -> None:
        primary = self.view.primary
        is_leaving = primary is not None and primary.database in self.leaving
        if not is_leaving or self._successor() is None:
            self._handover_since = None
        elif self._handover_since is None:
            self._handover_since = now

    def _successor(self) -> str | None:
        candidates = [
            report
            for name, report in self.view.by_database.items()
            if name not in self.leaving and report.role is Role.REPLICA
        ]
        if not candidates:
            return None
        best = max(candidates, key=lambda report: report.lineage.last)
        return best.database

    def _handover_is_due(self, primary: DatabaseReport, now: float) -> bool:
        if self._handover_since is None:
            return False
        waited_s = now - self._handover_since
        if waited_s < self._rank * HANDOVER_RANK_DELAY_S:
            return False
        if waited_s >= HANDOVER_TIMEOUT_S:
            return True
        successor = self._successor()
        if successor is None or primary.open_transactions > 0:
            return False
        writes_paused = primary.sent_at > self._handover_since + LINK_TIMEOUT_S
        replica = self.view.by_database[successor]
        return writes_paused and replica.lineage.contains(primary.lineage.last)
