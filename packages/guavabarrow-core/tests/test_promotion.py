"""Replacement of a primary, with virtual time."""

from __future__ import annotations

from dataclasses import replace

from guavabarrow_core.log_position import LogPosition
from guavabarrow_core.promotion import (
    CATCH_UP_TIMEOUT_S,
    EMPTY_LOG_WAIT_S,
    REFUSED_RETRY_S,
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


def start_promotion(**changes) -> Promotion:
    fields = {"is_planned": False, "candidates": ("r1", "r2"), **changes}
    promotion = Promotion("orders", "p", 1, **fields)
    assert promotion.start(0.0) == [MarkMoving()]
    promotion.on_marked()
    return promotion


def compare_replicas(promotion: Promotion, statuses, now: float = 0.1):
    assert isinstance(promotion.on_stopped(0.0)[0], ReadStatuses)
    return promotion.on_statuses(statuses, now)


def status_at(index: int, status: TargetStatus = REPLICA) -> TargetStatus:
    return replace(status, received=LogPosition(1, index))


def test_the_most_advanced_replica_is_chosen():
    actions = compare_replicas(
        start_promotion(), {"r1": status_at(9), "r2": status_at(12)}
    )
    assert actions == [DemotePrimary("p", 2), RequestPromotion("r2")]


def test_no_promotion_is_requested_before_all_vms_stopped_using_the_primary():
    promotion = start_promotion()
    assert promotion.on_statuses({"r1": REPLICA}, 0.1) == []
    assert promotion.stage is PromotionStage.STOPPING


def test_a_planned_switchover_waits_for_its_replica():
    promotion = start_promotion(is_planned=True)
    statuses = {"p": status_at(12, PRIMARY), "r1": status_at(9), "r2": status_at(10)}
    assert isinstance(compare_replicas(promotion, statuses)[0], ReadStatuses)
    statuses["r1"] = status_at(12)
    actions = promotion.on_statuses(statuses, 0.2)
    assert actions[-1] == RequestPromotion("r1")


def test_a_planned_switchover_does_not_wait_indefinitely():
    promotion = start_promotion(is_planned=True)
    statuses = {"p": status_at(12, PRIMARY), "r1": status_at(9)}
    compare_replicas(promotion, statuses)
    actions = promotion.on_statuses(statuses, CATCH_UP_TIMEOUT_S + 0.1)
    assert actions[-1] == RequestPromotion("r1")


def test_the_next_term_is_above_every_reported_one():
    actions = compare_replicas(start_promotion(), {"r1": replace(REPLICA, term=7)})
    assert actions[0] == DemotePrimary("p", 8)


def test_a_replacement_is_reverted_only_before_a_request():
    promotion = start_promotion()
    assert promotion.on_primary_recovered() == [MarkSettled("p", 1)]
    promotion = start_promotion()
    compare_replicas(promotion, {"r1": REPLICA})
    assert promotion.on_primary_recovered() == []


def test_a_resumed_replacement_is_not_reverted():
    assert start_promotion(is_resumed=True).on_primary_recovered() == []


def test_an_earlier_request_that_took_effect_is_adopted():
    promotion = start_promotion(is_resumed=True)
    promoted = TargetStatus(is_primary=True, term=2, received=LogPosition(1, 10))
    assert compare_replicas(promotion, {"r1": promoted, "r2": REPLICA}) == [
        MarkSettled("r1", 2)
    ]


def test_a_target_that_is_not_running_is_skipped():
    promotion = start_promotion()
    compare_replicas(promotion, {"r1": status_at(9), "r2": status_at(12)})
    assert isinstance(promotion.on_refused(0.2)[0], ReadStatuses)
    actions = promotion.on_statuses({"r1": status_at(9), "r2": status_at(12)}, 0.3)
    assert actions[-1] == RequestPromotion("r1")


def test_a_row_is_settled_only_after_a_confirmed_promotion():
    promotion = start_promotion()
    assert promotion.on_promoted(2) == []
    compare_replicas(promotion, {"r1": REPLICA})
    assert promotion.on_promoted(2) == [MarkSettled("r1", 2)]


def test_a_primary_that_answers_again_before_a_request_is_kept():
    """Occurs when a partition ends: the last VMs confirm while the primary answers."""
    statuses = {"p": status_at(12, PRIMARY), "r1": status_at(9)}
    assert compare_replicas(start_promotion(), statuses) == [MarkSettled("p", 1)]


def test_a_primary_that_many_vms_cannot_reach_is_replaced_though_it_answers():
    statuses = {"p": status_at(12, PRIMARY), "r1": status_at(9)}
    actions = compare_replicas(start_promotion(is_failed_by_vote=True), statuses)
    assert actions[-1] == RequestPromotion("r1")


def test_a_primary_is_not_kept_by_a_resumed_replacement():
    statuses = {"p": status_at(12, PRIMARY), "r1": status_at(9)}
    actions = compare_replicas(start_promotion(is_resumed=True), statuses)
    assert actions[-1] == RequestPromotion("r1")


def test_the_newest_of_several_promoted_replicas_is_adopted():
    """An old leader that lost contact still leads its term when it is asked."""
    promotion = start_promotion(is_resumed=True)
    older = TargetStatus(is_primary=True, term=2, received=LogPosition(1, 10))
    newer = TargetStatus(is_primary=True, term=3, received=LogPosition(2, 4))
    assert compare_replicas(promotion, {"r1": older, "r2": newer}) == [
        MarkSettled("r2", 3)
    ]


def start_durable(**changes) -> Promotion:
    fields = {"other_replicas": ("d1",), "sync_replicas": 1, **changes}
    return start_promotion(**fields)


def test_all_replicas_are_asked_if_any_of_them_may_have_the_last_commit():
    promotion = start_durable()
    statuses = {"r1": status_at(9), "r2": status_at(12)}
    [action] = compare_replicas(promotion, statuses)
    assert action == ReadStatuses(("r1", "r2", "d1", "p"))
    assert isinstance(promotion.on_statuses(statuses, 60.0)[0], ReadStatuses)
    statuses = {"r2": status_at(12), "d1": status_at(12)}
    assert promotion.on_statuses(statuses, 60.1)[-1] == RequestPromotion("r2")


def test_a_replica_that_does_not_answer_any_more_is_not_promoted():
    """It may be starting again without its log, which the list doesn't show yet."""
    promotion = start_durable()
    statuses = {"r1": status_at(12), "r2": status_at(9)}
    compare_replicas(promotion, statuses)
    late = promotion.on_statuses({"r2": status_at(9), "d1": status_at(9)}, 0.2)
    assert isinstance(late[0], ReadStatuses)


def test_fewer_replicas_suffice_if_more_have_each_commit():
    promotion = start_durable(sync_replicas=2, copies=2)
    actions = compare_replicas(promotion, {"r1": status_at(12), "d1": status_at(12)})
    assert actions[-1] == RequestPromotion("r1")


def test_a_replica_that_accepts_no_work_is_promoted_if_only_it_has_all_commits():
    statuses = {"r1": status_at(9), "r2": status_at(9), "d1": status_at(12)}
    actions = compare_replicas(start_durable(), statuses)
    assert actions[-1] == RequestPromotion("d1")


def test_the_end_of_the_old_log_shows_that_a_replica_has_all_commits():
    promotion = start_durable(is_failed_by_vote=True)
    statuses = {"p": status_at(12, PRIMARY), "r1": status_at(11)}
    assert isinstance(compare_replicas(promotion, statuses)[0], ReadStatuses)
    actions = promotion.on_statuses({"p": statuses["p"], "r1": status_at(12)}, 0.2)
    assert actions[-1] == RequestPromotion("r1")


def test_a_switchover_without_a_complete_replica_is_reverted():
    promotion = start_durable(is_planned=True)
    statuses = {"p": status_at(12, PRIMARY), "r1": status_at(9), "r2": status_at(9)}
    assert isinstance(compare_replicas(promotion, statuses)[0], ReadStatuses)
    assert promotion.on_statuses(statuses, CATCH_UP_TIMEOUT_S + 0.1) == [
        MarkSettled("p", 1)
    ]


def test_a_refused_replica_is_tried_again_if_only_it_has_all_commits():
    promotion = start_durable()
    statuses = {"r1": status_at(9), "r2": status_at(9), "d1": status_at(12)}
    compare_replicas(promotion, statuses)
    promotion.on_refused(0.2)
    assert isinstance(promotion.on_statuses(statuses, 0.3)[0], ReadStatuses)
    actions = promotion.on_statuses(statuses, 0.3 + REFUSED_RETRY_S)
    assert actions[-1] == RequestPromotion("d1")


def test_replicas_that_register_later_are_asked_too():
    promotion = start_durable(candidates=(), other_replicas=("gone",))
    assert isinstance(compare_replicas(promotion, {})[0], ReadStatuses)
    promotion.set_replicas(("new",), ())
    actions = promotion.on_statuses({"new": status_at(12)}, 0.2)
    assert actions[-1] == RequestPromotion("new")


def test_an_old_primary_that_lost_its_log_does_not_show_what_was_acknowledged():
    """It may start again under its id and hold nothing of before."""
    promotion = start_durable(is_resumed=True)
    statuses = {"p": status_at(0, PRIMARY), "r1": status_at(9)}
    assert isinstance(compare_replicas(promotion, statuses)[0], ReadStatuses)
    statuses |= {"r2": status_at(9), "d1": status_at(12)}
    assert promotion.on_statuses(statuses, 0.2)[-1] == RequestPromotion("d1")


def test_only_a_planned_switchover_is_reverted_without_a_complete_replica():
    promotion = start_durable(is_failed_by_vote=True)
    statuses = {"p": status_at(12, PRIMARY), "r1": status_at(9), "r2": status_at(9)}
    compare_replicas(promotion, statuses)
    late = promotion.on_statuses(statuses, CATCH_UP_TIMEOUT_S + 0.1)
    assert isinstance(late[0], ReadStatuses)


EMPTY = replace(REPLICA, term=9, received=None)


def test_a_replica_that_holds_nothing_is_not_the_most_advanced():
    """It counted as the start of the newest term, which is above older logs."""
    for changes in ({}, {"sync_replicas": 1}):
        promotion = start_promotion(has_log=True, **changes)
        actions = compare_replicas(promotion, {"r1": EMPTY, "r2": REPLICA})
        assert actions[-1] == RequestPromotion("r2")


def test_a_replica_that_holds_nothing_stands_for_no_other():
    """It acknowledged nothing, so its answer doesn't replace one that is missing."""
    promotion = start_durable(has_log=True)
    statuses = {"r1": EMPTY, "r2": REPLICA}
    assert isinstance(compare_replicas(promotion, statuses)[0], ReadStatuses)
    actions = promotion.on_statuses({"d1": status_at(12)}, 0.2)
    assert actions[-1] == RequestPromotion("d1")


def test_an_empty_replica_is_not_promoted_while_a_log_may_turn_up():
    promotion = start_promotion(has_log=True)
    statuses = {"r1": EMPTY, "r2": EMPTY}
    assert isinstance(compare_replicas(promotion, statuses)[0], ReadStatuses)
    actions = promotion.on_statuses({"r2": REPLICA}, 0.9 * EMPTY_LOG_WAIT_S)
    assert actions[-1] == RequestPromotion("r2")


def test_no_empty_replica_is_promoted_where_commits_were_acknowledged():
    promotion = start_promotion(has_log=True, sync_replicas=1)
    statuses = {"r1": EMPTY, "r2": EMPTY}
    compare_replicas(promotion, statuses)
    late = promotion.on_statuses(statuses, 10.0 * EMPTY_LOG_WAIT_S)
    assert isinstance(late[0], ReadStatuses)


def test_a_service_without_any_log_is_not_held_up():
    for changes in ({}, {"sync_replicas": 1}):
        statuses = {"r1": EMPTY, "r2": EMPTY}
        actions = compare_replicas(start_promotion(**changes), statuses)
        assert actions[-1] == RequestPromotion("r1")


def test_a_service_without_any_log_waits_for_replicas_that_may_have_one():
    promotion = start_promotion(sync_replicas=1)
    actions = compare_replicas(promotion, {"r1": EMPTY})
    assert isinstance(actions[0], ReadStatuses)


def test_a_primary_that_started_again_without_its_log_is_not_kept():
    statuses = {"p": replace(PRIMARY, received=None), "r1": REPLICA}
    actions = compare_replicas(start_promotion(has_log=True), statuses)
    assert actions[-1] == RequestPromotion("r1")


def test_a_planned_switchover_waits_for_a_replica_that_holds_nothing_yet():
    promotion = start_promotion(is_planned=True, candidates=("r1",), has_log=True)
    statuses = {"p": PRIMARY, "r1": EMPTY}
    assert isinstance(compare_replicas(promotion, statuses)[0], ReadStatuses)
    actions = promotion.on_statuses({"p": PRIMARY, "r1": REPLICA}, 0.2)
    assert actions[-1] == RequestPromotion("r1")


def test_a_process_that_has_ended_counts_as_one_that_does_not_answer():
    """It may have been the only one with the last commits."""
    promotion = start_durable(ended_count=1)
    statuses = {"r1": status_at(9), "r2": status_at(9), "d1": status_at(3)}
    assert isinstance(compare_replicas(promotion, statuses)[0], ReadStatuses)
    promotion.set_replicas(("r1", "r2"), ("d1",))
    assert promotion.on_statuses(statuses, 0.2)[-1] == RequestPromotion("r1")


def test_the_answer_of_a_former_process_is_not_compared():
    """Its successor may have received more than the others."""
    promotion = start_durable()
    statuses = {"r1": status_at(9), "r2": status_at(9)}
    assert isinstance(compare_replicas(promotion, statuses)[0], ReadStatuses)
    promotion.forget(["r1"])
    statuses = {"r2": status_at(9), "d1": status_at(9)}
    assert isinstance(promotion.on_statuses(statuses, 0.2)[0], ReadStatuses)
    statuses["r1"] = status_at(12)
    assert promotion.on_statuses(statuses, 0.3)[-1] == RequestPromotion("r1")


def test_replicas_are_compared_anew_if_one_started_again_after_it_answered():
    promotion = start_durable()
    statuses = {"r1": status_at(12), "r2": status_at(9), "d1": status_at(9)}
    assert compare_replicas(promotion, statuses)[-1] == RequestPromotion("r1")
    promotion.forget(["r1"])
    assert isinstance(promotion.on_restarted()[0], ReadStatuses)
    promotion.set_replicas(("r1", "r2"), ("d1",), ended_count=1)
    statuses["r1"] = status_at(2)
    late = promotion.on_statuses(statuses, 0.2)
    assert isinstance(late[0], ReadStatuses)


def test_a_primary_that_is_listed_again_is_kept():
    """It is replaced because it was missing from the list, and for nothing else."""
    promotion = start_durable(is_absent=True)
    statuses = {"p": status_at(12, PRIMARY), "r1": status_at(9)}
    assert isinstance(compare_replicas(promotion, statuses)[0], ReadStatuses)
    promotion.is_absent = False
    assert promotion.on_statuses(statuses, 0.2) == [MarkSettled("p", 1)]
