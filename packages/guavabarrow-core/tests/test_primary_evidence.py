"""Failure detection of a primary, with virtual time."""

from __future__ import annotations

import pytest

from guavabarrow_core.primary_evidence import (
    CONFIRM_S,
    PROBE_VALID_S,
    VOTE_VALID_S,
    PrimaryEvidence,
    ProbeResult,
)

CONFIRMED_S = CONFIRM_S + 0.001
"""The required time and a margin for floating-point rounding."""


def check_failed(evidence: PrimaryEvidence, now: float, others: int = 8) -> bool:
    return evidence.is_failed(now, votes=evidence.votes(now), others=others)


def test_a_refused_connection_is_enough_once_it_is_confirmed():
    evidence = PrimaryEvidence()
    evidence.record_probe(ProbeResult.REFUSED, 1.0)
    assert not check_failed(evidence, 1.0)
    assert check_failed(evidence, 1.0 + CONFIRMED_S)


def test_an_unanswered_probe_needs_another_vms_vote():
    evidence = PrimaryEvidence()
    evidence.record_probe(ProbeResult.SILENT, 1.0)
    check_failed(evidence, 1.0)
    assert not check_failed(evidence, 1.0 + CONFIRMED_S)
    evidence.record_vote("b", False, 1.0)
    check_failed(evidence, 1.1)
    assert check_failed(evidence, 1.1 + CONFIRMED_S)


def test_a_few_votes_do_not_outweigh_an_answered_probe():
    evidence = PrimaryEvidence()
    evidence.record_probe(ProbeResult.ANSWERED, 1.0)
    for vm in ("b", "c", "d"):
        evidence.record_vote(vm, False, 1.0)
    check_failed(evidence, 1.0)
    assert not check_failed(evidence, 1.0 + CONFIRMED_S)
    evidence.record_vote("e", False, 1.0)
    check_failed(evidence, 1.0)
    assert check_failed(evidence, 1.0 + CONFIRMED_S)


def test_evidence_from_before_a_partition_ended_expires():
    evidence = PrimaryEvidence()
    evidence.record_probe(ProbeResult.SILENT, 1.0)
    evidence.record_vote("b", False, 1.0)
    check_failed(evidence, 1.0)
    later = 1.0 + max(PROBE_VALID_S, VOTE_VALID_S) + 0.01
    assert not check_failed(evidence, later)
    assert not check_failed(evidence, later + CONFIRMED_S)


def test_a_withdrawn_vote_does_not_count():
    evidence = PrimaryEvidence()
    evidence.record_vote("b", False, 1.0)
    evidence.record_vote("b", True, 1.1)
    assert evidence.votes(1.2) == 0


def test_a_primary_is_reachable_only_by_a_recent_answer():
    evidence = PrimaryEvidence()
    assert not evidence.is_reachable(1.0)
    evidence.record_probe(ProbeResult.ANSWERED, 1.0)
    assert evidence.is_reachable(1.1)
    assert not evidence.is_reachable(1.0 + PROBE_VALID_S + 0.1)


def test_votes_expire():
    evidence = PrimaryEvidence()
    for vm in ("b", "c", "d", "e"):
        evidence.record_vote(vm, False, 1.0)
    assert evidence.votes(1.1) == 4
    assert evidence.votes(1.0 + VOTE_VALID_S + 0.01) == 0


@pytest.mark.parametrize("result", [ProbeResult.SILENT, ProbeResult.REFUSED])
def test_a_primary_that_another_domain_reaches_is_kept(result):
    """A cut between two domains replaced a primary that a third one still used."""
    evidence = PrimaryEvidence()
    evidence.record_probe(result, 1.0)
    evidence.record_relayed_answer(1.0)
    evidence.record_vote("b", False, 1.0)
    evidence.record_vote("c", False, 1.0)
    check_failed(evidence, 1.0)
    assert not check_failed(evidence, 1.0 + CONFIRMED_S)
    assert evidence.is_reachable(1.1)


def test_a_primary_that_most_vms_cannot_use_is_replaced_although_others_reach_it():
    evidence = PrimaryEvidence()
    evidence.record_probe(ProbeResult.SILENT, 1.0)
    evidence.record_relayed_answer(1.0)
    for vm in "bcdef":
        evidence.record_vote(vm, False, 1.0)
    check_failed(evidence, 1.0)
    assert check_failed(evidence, 1.0 + CONFIRMED_S)


def test_an_old_relayed_answer_does_not_keep_a_failed_primary():
    evidence = PrimaryEvidence()
    evidence.record_relayed_answer(1.0)
    later = 1.0 + PROBE_VALID_S + 0.01
    evidence.record_probe(ProbeResult.REFUSED, later)
    check_failed(evidence, later)
    assert check_failed(evidence, later + CONFIRMED_S)
