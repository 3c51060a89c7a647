"""Detects failed primaries and promotes replacements.

Nobody else orders a promotion. Safety rests on the databases: a database promises
a term to one owner and refuses log of lower terms, so duelling VMs cannot both
promote, and a superseded primary cannot reach a majority. Timing only decides how
long a group is without a primary.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from random import Random

from guavabarrow_core.group_view import DatabaseReport, GroupView, Role
from guavabarrow_core.log_position import LogPosition  # noqa: TC001 (decoded)

SILENCE_S = 1.0
LINK_SILENCE_S = 0.3
ISOLATION_S = 1.0
RANK_DELAY_S = 0.15
JITTER_S = 0.05
SETTLE_S = 0.5
ROUND_TIMEOUT_S = 0.5
BACKOFF_BASE_S = 0.1
BACKOFF_LIMIT_S = 2.0
HANDOVER_LIMIT_S = 3.0
HANDOVER_RANK_DELAY_S = 1.0


@dataclass(frozen=True, slots=True)
class ReportReceived:
    """A probe was answered."""

    report: DatabaseReport


@dataclass(frozen=True, slots=True)
class ProbeFailed:
    """A probe got no answer.

    Parameters
    ----------
    database : str
        Database that was probed.
    connection_broken : bool
        Whether the connection was refused or reset, rather than silent.
    """

    database: str
    connection_broken: bool


@dataclass(frozen=True, slots=True)
class FenceReplied:
    """A database answered a fence.

    Parameters
    ----------
    database : str
        Database that answered.
    term : int
        Term of the fence.
    granted : bool
        Whether the database promised the term to this VM.
    last : LogPosition or None
        Its last entry, if granted.
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
    """A database answered a promotion."""

    database: str
    term: int
    accepted: bool


@dataclass(frozen=True, slots=True)
class MembersChanged:
    """Membership of the group or of the fleet changed.

    Parameters
    ----------
    databases : tuple of str
        Members of the group.
    leaving : frozenset of str
        Members that must get no new work.
    rank : int
        Rank of this VM for promoting in this group, 0 goes first.
    """

    databases: tuple[str, ...]
    leaving: frozenset[str]
    rank: int


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


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
    """A promotion succeeded or was given up.

    Parameters
    ----------
    database : str or None
        The new primary, None if given up.
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
    """Phase of a promotion."""

    STEADY = "steady"
    SUSPECTED = "suspected"
    FENCING = "fencing"
    PROMOTING = "promoting"
    BACKOFF = "backoff"


@dataclass(slots=True)
class Attempt:
    """One promotion attempt."""

    term: int
    started_at: float
    preferred: str | None
    last_by_database: dict[str, LogPosition] = field(default_factory=dict)
    refused: set[str] = field(default_factory=set)
    fenced_at: float = 0.0
    candidate: str | None = None


@dataclass(slots=True)
class Contact:
    """When a database was last heard of, and whether its connection broke since."""

    heard_at: float
    broken: bool = False


class GroupMonitor:
    """State machine that keeps one database group with a primary.

    Parameters
    ----------
    databases : tuple of str
        Members of the group.
    rank : int
        Rank of this VM for promoting, 0 goes first.
    seed : int
        Seed of the jitter.
    now : float
        Monotonic time.
    corroborate : bool
        Whether broken connections and replication links shorten detection;
        False gives the baseline that only waits for silence.
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
        self._act_at = 0.0
        self._isolated_since: float | None = None
        self._handover_since: float | None = None
        self._failures = 0
        self._attempt: Attempt | None = None
        self._highest_refused_term = 0

    @property
    def pauses_writes(self) -> bool:
        """Whether new writes must wait because the primary is being moved."""
        return self._handover_since is not None

    def since_answer_s(self, database: str, now: float) -> float:
        """Return for how long a database has not answered, seconds."""
        return now - self._contact(database).heard_at

    def step(self, event: Event, now: float) -> list[Action]:
        """Take one event.

        Parameters
        ----------
        event : Event
            What happened.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        list of Action
            What the caller must do.
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
        return actions + self._advance(now)

    def _record(self, report: DatabaseReport, now: float) -> None:
        if not self.view.record(report):
            return
        contact = self._contact(report.database)
        contact.heard_at = now
        contact.broken = False

    def _contact(self, database: str) -> Contact:
        return self._contacts.setdefault(database, Contact(self._created_at))

    def _advance(self, now: float) -> list[Action]:
        self._track_handover(now)
        if self.phase in (Phase.FENCING, Phase.PROMOTING):
            return self._check_round_timeout(now)
        if not self._needs_promotion(now):
            self.phase = Phase.STEADY
            self._failures = 0
            return []
        if self.phase is Phase.STEADY:
            self._suspect(now)
        if now < self._act_at:
            return []
        return self._start_fencing(now)

    def _needs_promotion(self, now: float) -> bool:
        primary = self.view.primary
        if primary is None:
            waited_s = now - self._created_at
            return waited_s >= SILENCE_S and self._can_fence(now, without=None)
        if self._is_isolated(primary, now):
            return True
        if self._is_failed(primary, now):
            return True
        return self._handover_is_due(primary, now)

    def _is_failed(self, primary: DatabaseReport, now: float) -> bool:
        contact = self._contact(primary.database)
        silent = now - contact.heard_at >= SILENCE_S
        if not self._can_fence(now, without=primary.database):
            return False
        if not self._corroborate:
            return now - contact.heard_at >= 2 * SILENCE_S
        if not (silent or contact.broken):
            return False
        return self._replicas_lost_link(primary, now)

    def _is_isolated(self, primary: DatabaseReport, now: float) -> bool:
        if not self._corroborate:
            return False
        alone = self._can_fence(
            now, without=primary.database
        ) and self._replicas_lost_link(primary, now)
        if not alone:
            self._isolated_since = None
            return False
        if self._isolated_since is None:
            self._isolated_since = now
        return now - self._isolated_since >= ISOLATION_S

    def _replicas_lost_link(self, primary: DatabaseReport, now: float) -> bool:
        term = primary.lineage.last.term
        for report in self._heard_replicas(primary.database, now):
            if report.promised_term > term:
                continue
            if report.link_age_s is not None and report.link_age_s < LINK_SILENCE_S:
                return False
        return True

    def _heard_replicas(self, primary: str, now: float) -> list[DatabaseReport]:
        return [
            report
            for name, report in self.view.by_database.items()
            if name != primary and self._is_heard(name, now)
        ]

    def _is_heard(self, database: str, now: float) -> bool:
        contact = self._contact(database)
        known = database in self.view.by_database
        return known and not contact.broken and now - contact.heard_at < SILENCE_S

    def _can_fence(self, now: float, *, without: str | None) -> bool:
        heard = [
            name
            for name in self.view.databases
            if name != without and self._is_heard(name, now)
        ]
        return len(heard) >= self.view.majority

    def _suspect(self, now: float) -> None:
        self.phase = Phase.SUSPECTED
        self._suspected_at = self._last_contact_with_primary(now)
        delay_s = self._rank * RANK_DELAY_S
        if self._rank:
            delay_s += self._random.random() * JITTER_S
        self._act_at = now + delay_s

    def _last_contact_with_primary(self, now: float) -> float:
        primary = self.view.primary
        return now if primary is None else self._contact(primary.database).heard_at

    def _start_fencing(self, now: float) -> list[Action]:
        term = max(self.view.highest_promised_term, self._highest_refused_term) + 1
        preferred = self._successor() if self._handover_since is not None else None
        self._attempt = Attempt(term, now, preferred)
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
                return self._give_up(now)
            return []
        attempt.last_by_database[event.database] = event.last
        if len(attempt.last_by_database) < self.view.majority:
            return []
        return self._start_promoting(attempt, now)

    def _start_promoting(self, attempt: Attempt, now: float) -> list[Action]:
        attempt.fenced_at = now
        attempt.candidate = self._most_advanced(attempt)
        self.phase = Phase.PROMOTING
        return [SendPromote(attempt.candidate, attempt.term)]

    def _most_advanced(self, attempt: Attempt) -> str:
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
            return self._give_up(now)
        self._attempt = None
        self.phase = Phase.BACKOFF
        self._act_at = now + SETTLE_S
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
        return self._give_up(now)

    def _give_up(self, now: float) -> list[Action]:
        attempt = self._attempt
        self._attempt = None
        self._failures += 1
        limit_s = min(BACKOFF_LIMIT_S, BACKOFF_BASE_S * 2**self._failures)
        self.phase = Phase.BACKOFF
        self._act_at = now + limit_s * (0.5 + self._random.random() / 2)
        if attempt is None:
            return []
        return [PromotionEnded(None, attempt.term, 0.0, 0.0, 0.0)]

    def _track_handover(self, now: float) -> None:
        primary = self.view.primary
        leaves = primary is not None and primary.database in self.leaving
        if not leaves or self._successor() is None:
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
        held_s = now - self._handover_since
        if held_s < self._rank * HANDOVER_RANK_DELAY_S:
            return False
        if held_s >= HANDOVER_LIMIT_S:
            return True
        successor = self._successor()
        if successor is None or primary.open_transactions > 0:
            return False
        after_hold = primary.sent_at > self._handover_since + LINK_SILENCE_S
        replica = self.view.by_database[successor]
        return after_hold and replica.lineage.contains(primary.lineage.last)
