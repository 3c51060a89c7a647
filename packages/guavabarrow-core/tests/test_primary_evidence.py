"""When a primary counts as lost, under virtual time."""

from __future__ import annotations

from guavabarrow_core.primary_evidence import (
    CONFIRM_S,
    PROBE_VALID_S,
    VOTE_VALID_S,
    PrimaryEvidence,
    ProbeResult,
)

CONFIRMED_S = CONFIRM_S + 0.001
"""The bound and a margin for binary fractions."""


def lost(evidence: PrimaryEvidence, now: float, others: int = 8) -> bool:
    return evidence.is_failed(now, votes=evidence.votes(now), others=others)


def test_a_refused_connection_is_enough_once_it_is_confirmed():
    evidence = PrimaryEvidence()
    evidence.record_probe(ProbeResult.REFUSED, 1.0)
    assert not lost(evidence, 1.0)
    assert lost(evidence, 1.0 + CONFIRMED_S)


def test_silence_needs_another_vms_word():
    evidence = PrimaryEvidence()
    evidence.record_probe(ProbeResult.SILENT, 1.0)
    lost(evidence, 1.0)
    assert not lost(evidence, 1.0 + CONFIRMED_S)
    evidence.record_vote("b", False, 1.0)
    lost(evidence, 1.1)
    assert lost(evidence, 1.1 + CONFIRMED_S)


def test_a_few_vms_do_not_outvote_an_answered_probe():
    evidence = PrimaryEvidence()
    evidence.record_probe(ProbeResult.ANSWERED, 1.0)
    for vm in ("b", "c", "d"):
        evidence.record_vote(vm, False, 1.0)
    lost(evidence, 1.0)
    assert not lost(evidence, 1.0 + CONFIRMED_S)
    evidence.record_vote("e", False, 1.0)
    lost(evidence, 1.0)
    assert lost(evidence, 1.0 + CONFIRMED_S)


def test_evidence_from_before_a_cut_healed_does_not_count():
    evidence = PrimaryEvidence()
    evidence.record_probe(ProbeResult.SILENT, 1.0)
    evidence.record_vote("b", False, 1.0)
    lost(evidence, 1.0)
    later = 1.0 + max(PROBE_VALID_S, VOTE_VALID_S) + 0.01
    assert not lost(evidence, later)
    assert not lost(evidence, later + CONFIRMED_S)


def test_a_withdrawn_word_does_not_count():
    evidence = PrimaryEvidence()
    evidence.record_vote("b", False, 1.0)
    evidence.record_vote("b", True, 1.1)
    assert evidence.votes(1.2) == 0


def test_a_primary_is_back_only_by_a_fresh_answer():
    evidence = PrimaryEvidence()
    assert not evidence.is_reachable(1.0)
    evidence.record_probe(ProbeResult.ANSWERED, 1.0)
    assert evidence.is_reachable(1.1)
    assert not evidence.is_reachable(1.0 + PROBE_VALID_S + 0.1)


def test_words_of_a_while_ago_do_not_count():
    evidence = PrimaryEvidence()
    for vm in ("b", "c", "d", "e"):
        evidence.record_vote(vm, False, 1.0)
    assert evidence.votes(1.1) == 4
    assert evidence.votes(1.0 + VOTE_VALID_S + 0.01) == 0
