"""Directory of targets whose listing lags and whose entries expire."""

from __future__ import annotations

from dataclasses import replace

from guavabarrow_core.target_directory import (
    RECOVERY_GRACE_S,
    TargetDirectory,
    TargetEntry,
)

FIRST = TargetEntry("t1", "orders", "north", "10.0.0.1", 80, False, True)
SECOND = replace(FIRST, target_id="t2", host="10.0.0.2", is_primary=False)


def test_an_entry_missing_from_the_listing_is_removed_at_once():
    directory = TargetDirectory()
    directory.apply_listing([FIRST, SECOND], 1.0)
    assert directory.apply_listing([FIRST], 2.0) == ([], ["t2"])


def test_entries_that_expired_during_an_outage_are_kept_for_the_grace_period():
    directory = TargetDirectory()
    directory.apply_listing([FIRST, SECOND], 1.0)
    directory.record_outage(5.0)
    assert directory.apply_listing([], 8.0) == ([], [])
    assert directory.apply_listing([FIRST], 9.0) == ([], [])
    assert directory.apply_listing([FIRST], 8.0 + RECOVERY_GRACE_S) == ([], ["t2"])


def test_a_target_whose_address_is_reused_is_removed_despite_the_grace_period():
    directory = TargetDirectory()
    directory.apply_listing([FIRST], 1.0)
    directory.record_outage(5.0)
    successor = replace(FIRST, target_id="t9")
    assert directory.apply_listing([successor], 6.0) == (["t9"], ["t1"])


def test_a_restarted_target_is_reported_as_changed():
    directory = TargetDirectory()
    directory.apply_listing([FIRST], 1.0)
    assert directory.apply_listing([replace(FIRST, born_ms=5)], 2.0) == (["t1"], [])
