"""Replacement of a primary, under virtual time."""

from __future__ import annotations

from dataclasses import replace

from guavabarrow_core.log_position import LogPosition
from guavabarrow_core.promotion import (
    CATCH_UP_TIMEOUT_S,
    DemotePrimary,
    MarkMoving,
    MarkSettled,
    Promotion,
    PromotionStage,
    ReadStatuses,
    RequestPromotion,
)
from guavabarrow_core.session_messages import TargetStatus

REPLICA = TargetStatus(is_primary=False, term=1, received=LogPosition(1, 10))
PRIMARY = replace(REPLICA, is_primary=True)


def begun(**changes) -> Promotion:
    fields = {"is_planned": False, "candidates": ("r1", "r2"), **changes}
    promotion = Promotion("orders", "p", 1, **fields)
    assert promotion.start(0.0) == [MarkMoving()]
    promotion.on_marked()
    return promotion


def compared(promotion: Promotion, statuses, now: float = 0.1):
    assert isinstance(promotion.on_stopped(0.0)[0], ReadStatuses)
    return promotion.on_statuses(statuses, now)


def ahead(number: int, status: TargetStatus = REPLICA) -> TargetStatus:
    return replace(status, received=LogPosition(1, number))


def test_the_most_advanced_replica_is_chosen():
    actions = compared(begun(), {"r1": ahead(9), "r2": ahead(12)})
    assert actions == [DemotePrimary("p", 2), RequestPromotion("r2")]


def test_nothing_is_ordered_before_all_vms_stopped():
    promotion = begun()
    assert promotion.on_statuses({"r1": REPLICA}, 0.1) == []
    assert promotion.stage is PromotionStage.STOPPING


def test_a_planned_move_waits_for_its_replica():
    promotion = begun(is_planned=True)
    statuses = {"p": ahead(12, PRIMARY), "r1": ahead(9), "r2": ahead(10)}
    assert isinstance(compared(promotion, statuses)[0], ReadStatuses)
    statuses["r1"] = ahead(12)
    actions = promotion.on_statuses(statuses, 0.2)
    assert actions[-1] == RequestPromotion("r1")


def test_a_planned_move_does_not_wait_for_ever():
    promotion = begun(is_planned=True)
    statuses = {"p": ahead(12, PRIMARY), "r1": ahead(9)}
    compared(promotion, statuses)
    actions = promotion.on_statuses(statuses, CATCH_UP_TIMEOUT_S + 0.1)
    assert actions[-1] == RequestPromotion("r1")


def test_the_next_term_is_above_every_known_one():
    actions = compared(begun(), {"r1": replace(REPLICA, term=7)})
    assert actions[0] == DemotePrimary("p", 8)


def test_a_move_is_taken_back_only_before_an_order():
    promotion = begun()
    assert promotion.on_primary_recovered() == [MarkSettled("p", 1)]
    promotion = begun()
    compared(promotion, {"r1": REPLICA})
    assert promotion.on_primary_recovered() == []


def test_a_move_that_another_vm_began_is_not_taken_back():
    assert begun(is_resumed=True).on_primary_recovered() == []


def test_an_earlier_order_that_took_effect_is_adopted():
    promotion = begun(is_resumed=True)
    leader = TargetStatus(is_primary=True, term=2, received=LogPosition(1, 10))
    assert compared(promotion, {"r1": leader, "r2": REPLICA}) == [MarkSettled("r1", 2)]


def test_a_target_that_does_not_run_is_passed_over():
    promotion = begun()
    compared(promotion, {"r1": ahead(9), "r2": ahead(12)})
    assert isinstance(promotion.on_refused(0.2)[0], ReadStatuses)
    actions = promotion.on_statuses({"r1": ahead(9), "r2": ahead(12)}, 0.3)
    assert actions[-1] == RequestPromotion("r1")


def test_only_a_confirmed_lead_is_settled():
    promotion = begun()
    assert promotion.on_promoted(2) == []
    compared(promotion, {"r1": REPLICA})
    assert promotion.on_promoted(2) == [MarkSettled("r1", 2)]


def test_a_primary_that_answers_again_before_an_order_stays():
    """Seen when a cut healed: the last VMs confirm while the primary is back."""
    statuses = {"p": ahead(12, PRIMARY), "r1": ahead(9)}
    assert compared(begun(), statuses) == [MarkSettled("p", 1)]


def test_a_primary_that_many_vms_cannot_reach_is_replaced_though_it_answers():
    statuses = {"p": ahead(12, PRIMARY), "r1": ahead(9)}
    actions = compared(begun(is_failed_by_vote=True), statuses)
    assert actions[-1] == RequestPromotion("r1")


def test_a_primary_of_a_resumed_move_does_not_stay():
    statuses = {"p": ahead(12, PRIMARY), "r1": ahead(9)}
    actions = compared(begun(is_resumed=True), statuses)
    assert actions[-1] == RequestPromotion("r1")
