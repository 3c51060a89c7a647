"""Replacement of a service's primary, run by the VM that holds the promotion duty.

The steps are: mark the primary row as moving, wait until no VM uses the old primary,
compare the replicas, demote the old primary if it is reachable, promote a replica, and
mark the row as settled. The replacement can be reverted until the promotion is
requested.

If a service has synchronous replicas, each acknowledged commit is in the logs of so
many replicas, whichever they are. Then only a replica is promoted whose log is known to
have all of them: it has the end of the old primary's log, or no log of so many replicas
is longer that each acknowledged commit must be in one of them. Replicas that are
draining or evacuated count, and are promoted if only they have the commits.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, auto
from typing import TYPE_CHECKING

from guavabarrow_core.log_position import reaches
from guavabarrow_core.store_position import NO_POSITION, StorePosition

if TYPE_CHECKING:
    from collections.abc import Collection

    from guavabarrow_core.log_position import LogPosition
    from guavabarrow_core.session_messages import TargetStatus

STATUS_INTERVAL_S = 0.03
"""Interval at which the replicas are polled during a replacement."""

CATCH_UP_TIMEOUT_S = 1.0
"""Longest time that a planned switchover waits for the chosen replica to catch up."""

REFUSED_RETRY_S = 0.5
"""Time after which a replica that was refused is tried again if no other one has all
acknowledged commits."""

EMPTY_LOG_WAIT_S = 15.0
"""Time for which a replacement without synchronous replicas waits for a log if all that
answer hold nothing. A log is on its way to a new replica, or the primary may return."""

PROMOTION_TIMEOUT_S = 2.0
"""Longest wait until a promoted target reports that it is the primary; twice the
longest promotion time that is specified for a deployment."""


class PromotionStage(Enum):
    """Stage of a replacement."""

    MARKING = auto()
    STOPPING = auto()
    COMPARING = auto()
    PROMOTING = auto()
    SETTLING = auto()
    REVERTING = auto()
    DONE = auto()


@dataclass(frozen=True, slots=True)
class MarkMoving:
    """Mark the primary row as moving, provided that it is unchanged."""


@dataclass(frozen=True, slots=True)
class ReadStatuses:
    """Request the role, term and log end of targets."""

    target_ids: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class DemotePrimary:
    """Demote the old primary by announcing a newer term to it."""

    target_id: str
    term: int


@dataclass(frozen=True, slots=True)
class RequestPromotion:
    """Request the promotion of a target from the platform."""

    target_id: str


@dataclass(frozen=True, slots=True)
class MarkSettled:
    """Mark the primary row as settled."""

    primary_id: str
    term: int


PromotionAction = (
    MarkMoving | ReadStatuses | DemotePrimary | RequestPromotion | MarkSettled
)


@dataclass(slots=True)
class Promotion:
    """State machine that replaces the primary of one service.

    Parameters
    ----------
    service, old_primary_id : str
        Service, and its primary before the replacement.
    term : int
        Term of the old primary.
    is_planned : bool
        Whether this is a switchover from a working primary, which must lose nothing.
    candidates : tuple of str
        Replicas that accept new work, in order of preference.
    other_replicas : tuple of str
        Further replicas, which may have acknowledged commits that the candidates lack.
        They include those that can't be reached at the moment.
    sync_replicas : int
        Replicas that had each commit before it was acknowledged.
    is_resumed : bool
        Whether another VM started it and may have requested a promotion.
    is_failed_by_vote : bool
        Whether the primary counts as failed because enough other VMs can't use it,
        although this VM can reach it.
    is_absent : bool
        Whether the primary's absence from the list is the reason.
    has_log : bool
        Whether the service's log is known to have held anything.
    ended_count : int
        Further processes that may have received commits and can't answer any more.
    copies : int
        Logs, of those of the replicas and of these processes, that have each
        acknowledged commit.
    """

    service: str
    old_primary_id: str
    term: int
    is_planned: bool
    candidates: tuple[str, ...]
    other_replicas: tuple[str, ...] = ()
    sync_replicas: int = 0
    is_resumed: bool = False
    is_failed_by_vote: bool = False
    is_absent: bool = False
    has_log: bool = False
    ended_count: int = 0
    copies: int = 1
    stage: PromotionStage = PromotionStage.MARKING
    chosen_id: str = ""
    started_at: float = 0.0
    marked_at: float = 0.0
    marked_version: StorePosition = NO_POSITION
    compared_at: float = 0.0
    final_position: LogPosition | None = None
    status_by_id: dict[str, TargetStatus] = field(default_factory=dict)
    refused_ids: set[str] = field(default_factory=set)
    refused_at: float = float("-inf")

    def start(self, now: float) -> list[PromotionAction]:
        """Start the replacement."""
        self.started_at = now
        return [MarkMoving()]

    def on_marked(self) -> None:
        """Handle the row being marked as moving; the VMs have been notified."""
        self.stage = PromotionStage.STOPPING

    def on_stopped(self, now: float) -> list[PromotionAction]:
        """Handle that no VM uses the old primary any longer."""
        if self.stage is not PromotionStage.STOPPING:
            return []
        self.stage = PromotionStage.COMPARING
        self.compared_at = now
        return [ReadStatuses(self._status_targets())]

    @property
    def can_revert(self) -> bool:
        """Whether the old primary can still be kept: no promotion was requested yet."""
        nothing_requested = self.stage is PromotionStage.STOPPING
        return nothing_requested and not self._must_replace

    def on_primary_recovered(self) -> list[PromotionAction]:
        """Handle that the old primary is usable again; ignored once it is too late."""
        if not self.can_revert:
            return []
        self.stage = PromotionStage.REVERTING
        return [MarkSettled(self.old_primary_id, self.term)]

    def on_statuses(
        self, status_by_id: dict[str, TargetStatus], now: float
    ) -> list[PromotionAction]:
        """Handle the targets' statuses; targets that did not answer are missing."""
        if self.stage is not PromotionStage.COMPARING:
            return []
        self.status_by_id.update(status_by_id)
        promoted = self._promoted_candidate()
        if promoted is not None:
            self.stage = PromotionStage.SETTLING
            self.chosen_id = promoted
            return [MarkSettled(promoted, self.status_by_id[promoted].term)]
        old = status_by_id.get(self.old_primary_id)
        if old is not None and old.is_primary:
            if self._can_keep_primary(old):
                self.stage = PromotionStage.REVERTING
                return [MarkSettled(self.old_primary_id, self.term)]
            self.final_position = old.received
        has_waited = now - self.compared_at >= CATCH_UP_TIMEOUT_S
        if self.sync_replicas > 0:
            chosen = self._complete_replica(status_by_id, now)
            if chosen is None and has_waited and self._can_return_to(old):
                self.stage = PromotionStage.REVERTING
                return [MarkSettled(self.old_primary_id, self.term)]
        else:
            chosen = self._most_advanced(now)
            if chosen is not None and not self._is_caught_up(chosen):
                chosen = chosen if has_waited else None
        if chosen is None:
            return [ReadStatuses(self._status_targets())]
        self.chosen_id = chosen
        self.stage = PromotionStage.PROMOTING
        next_term = max([self.term, *(s.term for s in self.status_by_id.values())])
        return [
            DemotePrimary(self.old_primary_id, next_term + 1),
            RequestPromotion(chosen),
        ]

    def on_promoted(self, term: int) -> list[PromotionAction]:
        """Handle that the chosen target is the primary of ``term``."""
        if self.stage is not PromotionStage.PROMOTING:
            return []
        self.stage = PromotionStage.SETTLING
        return [MarkSettled(self.chosen_id, term)]

    def on_refused(self, now: float) -> list[PromotionAction]:
        """Handle that the chosen target is not running; select another one."""
        if self.stage is not PromotionStage.PROMOTING:
            return []
        self.refused_ids.add(self.chosen_id)
        self.refused_at = now
        if self.sync_replicas == 0 and self.refused_ids >= set(self.candidates):
            self.refused_ids.clear()
        self.status_by_id.clear()
        self.stage = PromotionStage.COMPARING
        self.compared_at = now
        return [ReadStatuses(self._status_targets())]

    def set_replicas(
        self,
        candidates: tuple[str, ...],
        other_replicas: tuple[str, ...],
        *,
        ended_count: int = 0,
        copies: int = 1,
    ) -> None:
        """Replace the replicas, which may join and leave during a long replacement."""
        self.candidates = candidates
        self.other_replicas = other_replicas
        self.ended_count = ended_count
        self.copies = copies

    def forget(self, target_ids: Collection[str]) -> None:
        """Drop the answers of targets whose process has ended."""
        for target_id in target_ids:
            self.status_by_id.pop(target_id, None)

    def on_restarted(self) -> list[PromotionAction]:
        """Handle that a target started again after it had answered; compare anew."""
        if self.stage is not PromotionStage.PROMOTING:
            return []
        self.stage = PromotionStage.COMPARING
        return [ReadStatuses(self._status_targets())]

    def on_settled(self) -> None:
        """Handle the row being marked as settled."""
        self.stage = PromotionStage.DONE

    def _can_keep_primary(self, old: TargetStatus) -> bool:
        """Return whether the old primary answers before a promotion was requested.

        When a network partition between domains ends, the last VMs confirm that they
        stopped using the old primary at the same moment as it answers again. Promoting
        a replica then would roll back commits needlessly. A primary that started again
        without its log isn't kept.
        """
        has_its_log = old.received is not None or not self.has_log
        is_unchanged = old.term == self.term and has_its_log and not self.refused_ids
        return is_unchanged and not self._must_replace

    @property
    def _must_replace(self) -> bool:
        return (
            self.is_planned
            or self.is_resumed
            or self.is_failed_by_vote
            or self.is_absent
        )

    def _can_return_to(self, old: TargetStatus | None) -> bool:
        """Return whether a planned switchover can be given up for the old primary."""
        return (
            self.is_planned
            and old is not None
            and old.is_primary
            and old.term == self.term
            and not self.refused_ids
            and not self.is_resumed
        )

    @property
    def _replicas(self) -> tuple[str, ...]:
        return (*self.candidates, *self.other_replicas)

    def _status_targets(self) -> tuple[str, ...]:
        return (*self._replicas, self.old_primary_id)

    def _promoted_candidate(self) -> str | None:
        """Return the replica that leads the newest term, None if none was promoted."""
        promoted = [
            target_id
            for target_id in self._replicas
            if (status := self.status_by_id.get(target_id)) is not None
            and status.is_primary
            and status.term > self.term
        ]
        return max(promoted, key=lambda key: self.status_by_id[key].term, default=None)

    def _complete_replica(self, answered: Collection[str], now: float) -> str | None:
        """Return a replica that has all acknowledged commits, None if none is known.

        One that doesn't answer now may be starting again without its log.
        """
        received_by_id = {
            target_id: self.status_by_id[target_id].received
            for target_id in self._replicas
            if target_id in self.status_by_id
        }
        end_by_id = {
            target_id: received
            for target_id, received in received_by_id.items()
            if received is not None
        }
        empty_count = len(received_by_id) - len(end_by_id)
        counted = len(self._replicas) + self.ended_count - empty_count
        if not end_by_id:
            return self._first_without_log(counted)
        required = max(end_by_id.values())
        required_count = max(1, counted - self.copies + 1)
        if self.final_position is not None and self.final_position >= required:
            required = self.final_position
        elif len(end_by_id) < required_count:
            # An old primary whose log ends earlier has started again without it.
            return None
        complete = [
            key for key, end in end_by_id.items() if end >= required and key in answered
        ]
        if now - self.refused_at > REFUSED_RETRY_S:
            self.refused_ids.difference_update(complete)
        return next((key for key in complete if key not in self.refused_ids), None)

    def _first_without_log(self, unknown: int) -> str | None:
        """Return a replica if no target of the service has ever held a commit.

        Parameters
        ----------
        unknown : int
            Replicas of which it isn't known whether they hold anything.
        """
        if unknown > 0 or self.has_log or self.final_position is not None:
            return None
        return next(
            (key for key in self._replicas if key not in self.refused_ids), None
        )

    def _most_advanced(self, now: float) -> str | None:
        end_by_id = {
            target_id: self.status_by_id[target_id].received
            for target_id in self.candidates
            if target_id in self.status_by_id and target_id not in self.refused_ids
        }
        longest = max(
            (end for end in end_by_id.values() if end is not None), default=None
        )
        may_find_log = self.has_log or len(end_by_id) < len(self.candidates)
        has_waited = now - self.compared_at >= EMPTY_LOG_WAIT_S
        if longest is None and may_find_log and not has_waited:
            return None
        return next((key for key, end in end_by_id.items() if end == longest), None)

    def _is_caught_up(self, target_id: str) -> bool:
        if not self.is_planned or self.final_position is None:
            return True
        return reaches(self.status_by_id[target_id].received, self.final_position)
