"""Replacement of one service's primary, ordered by the VM that holds the duty.

The order is: mark the row as moving, wait until no VM uses the old primary, compare
the replicas, stop the old primary if it can be reached, promote, settle the row.
Until the promotion is sent it can be taken back.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, auto
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from guavabarrow_core.log_position import LogPosition
    from guavabarrow_core.session_messages import TargetStatus

STATUS_INTERVAL_S = 0.03
"""Pause between two looks at the replicas while a planned move waits for one."""

CATCH_UP_TIMEOUT_S = 1.0
"""Longest wait of a planned move for its chosen replica."""

PROMOTION_TIMEOUT_S = 2.0
"""Longest wait until a promoted target says that it leads; twice the longest time
that a deployment states for a promotion."""


class PromotionStage(Enum):
    """Where a replacement stands."""

    MARKING = auto()
    STOPPING = auto()
    COMPARING = auto()
    PROMOTING = auto()
    SETTLING = auto()
    REVERTING = auto()
    DONE = auto()


@dataclass(frozen=True, slots=True)
class MarkMoving:
    """Write the row as moving, on condition that it is unchanged."""


@dataclass(frozen=True, slots=True)
class ReadStatuses:
    """Ask targets where their logs end."""

    target_ids: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class DemotePrimary:
    """Tell the old primary that a newer term begins."""

    target_id: str
    term: int


@dataclass(frozen=True, slots=True)
class RequestPromotion:
    """Ask the platform to let a target lead."""

    target_id: str


@dataclass(frozen=True, slots=True)
class MarkSettled:
    """Write the row as settled."""

    primary_id: str
    term: int


PromotionAction = (
    MarkMoving | ReadStatuses | DemotePrimary | RequestPromotion | MarkSettled
)


@dataclass(slots=True)
class Promotion:
    """State machine of one replacement.

    Parameters
    ----------
    service, old_primary_id : str
        Service and its primary.
    term : int
        Term of the old primary.
    is_planned : bool
        Whether the old primary still works, so that nothing may be lost.
    candidates : tuple of str
        Replicas that may lead, preferred ones first.
    is_resumed : bool
        Whether another VM began it and may have ordered a promotion.
    is_failed_by_vote : bool
        Whether other VMs can't use the old primary although this one may reach it.
    """

    service: str
    old_primary_id: str
    term: int
    is_planned: bool
    candidates: tuple[str, ...]
    is_resumed: bool = False
    is_failed_by_vote: bool = False
    stage: PromotionStage = PromotionStage.MARKING
    chosen_id: str = ""
    started_at: float = 0.0
    marked_at: float = 0.0
    marked_version: int = 0
    compared_at: float = 0.0
    final_position: LogPosition | None = None
    status_by_id: dict[str, TargetStatus] = field(default_factory=dict)
    refused_ids: set[str] = field(default_factory=set)

    def start(self, now: float) -> list[PromotionAction]:
        """Begin."""
        self.started_at = now
        return [MarkMoving()]

    def on_marked(self) -> None:
        """Handle the row being marked; the VMs were told."""
        self.stage = PromotionStage.STOPPING

    def on_stopped(self, now: float) -> list[PromotionAction]:
        """Handle that no VM uses the old primary any more."""
        if self.stage is not PromotionStage.STOPPING:
            return []
        self.stage = PromotionStage.COMPARING
        self.compared_at = now
        return [ReadStatuses(self._asked())]

    @property
    def can_revert(self) -> bool:
        """Whether the old primary may go on: nothing was ordered yet."""
        nothing_requested = self.stage is PromotionStage.STOPPING
        must_replace = self.is_planned or self.is_resumed or self.is_failed_by_vote
        return nothing_requested and not must_replace

    def on_primary_recovered(self) -> list[PromotionAction]:
        """Handle that the old primary can be used again; too late once promoting."""
        if not self.can_revert:
            return []
        self.stage = PromotionStage.REVERTING
        return [MarkSettled(self.old_primary_id, self.term)]

    def on_statuses(
        self, status_by_id: dict[str, TargetStatus], now: float
    ) -> list[PromotionAction]:
        """Handle where the logs end; targets that didn't answer are missing."""
        if self.stage is not PromotionStage.COMPARING:
            return []
        self.status_by_id.update(status_by_id)
        leader = self._leader_elsewhere()
        if leader is not None:
            self.stage = PromotionStage.SETTLING
            self.chosen_id = leader
            return [MarkSettled(leader, self.status_by_id[leader].term)]
        old = status_by_id.get(self.old_primary_id)
        if old is not None and old.is_primary:
            if self._may_keep(old):
                self.stage = PromotionStage.REVERTING
                return [MarkSettled(self.old_primary_id, self.term)]
            self.final_position = old.received
        chosen = self._most_advanced()
        waited_s = now - self.compared_at
        if chosen is None:
            return [ReadStatuses(self._asked())]
        if not self._is_caught_up(chosen) and waited_s < CATCH_UP_TIMEOUT_S:
            return [ReadStatuses(self._asked())]
        self.chosen_id = chosen
        self.stage = PromotionStage.PROMOTING
        next_term = max([self.term, *(s.term for s in self.status_by_id.values())])
        return [
            DemotePrimary(self.old_primary_id, next_term + 1),
            RequestPromotion(chosen),
        ]

    def on_promoted(self, term: int) -> list[PromotionAction]:
        """Handle that the chosen target leads with ``term``."""
        if self.stage is not PromotionStage.PROMOTING:
            return []
        self.stage = PromotionStage.SETTLING
        return [MarkSettled(self.chosen_id, term)]

    def on_refused(self, now: float) -> list[PromotionAction]:
        """Handle that the chosen target doesn't run; look for another one."""
        if self.stage is not PromotionStage.PROMOTING:
            return []
        self.refused_ids.add(self.chosen_id)
        if self.refused_ids >= set(self.candidates):
            self.refused_ids.clear()
        self.status_by_id.clear()
        self.stage = PromotionStage.COMPARING
        self.compared_at = now
        return [ReadStatuses(self._asked())]

    def on_settled(self) -> None:
        """Handle the row being settled."""
        self.stage = PromotionStage.DONE

    def _may_keep(self, old: TargetStatus) -> bool:
        """Tell whether the old primary is back before anything was ordered.

        A cut between domains that heals lets the last VMs confirm and the old primary
        answer at the same moment; promoting then would only roll commits back.
        """
        is_unharmed = old.term == self.term and not self.refused_ids
        must_replace = self.is_planned or self.is_resumed or self.is_failed_by_vote
        return is_unharmed and not must_replace

    def _asked(self) -> tuple[str, ...]:
        return (*self.candidates, self.old_primary_id)

    def _leader_elsewhere(self) -> str | None:
        for target_id in self.candidates:
            status = self.status_by_id.get(target_id)
            if status and status.is_primary and status.term > self.term:
                return target_id
        return None

    def _most_advanced(self) -> str | None:
        compared = [
            target_id
            for target_id in self.candidates
            if target_id in self.status_by_id and target_id not in self.refused_ids
        ]
        if not compared:
            return None
        return max(compared, key=lambda key: self.status_by_id[key].received)

    def _is_caught_up(self, target_id: str) -> bool:
        if not self.is_planned or self.final_position is None:
            return True
        return self.status_by_id[target_id].received >= self.final_position
