"""Directory of targets whose listing lags and whose entries expire."""

from __future__ import annotations

from dataclasses import replace

import pytest

from guavabarrow_core.target_directory import (
    RECOVERY_GRACE_S,
    RETURNED_ENTRY_S,
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


@pytest.mark.parametrize("born_ms", [1, 2])
def test_an_older_copy_takes_no_drain_and_no_departure_back(born_ms):
    """Statements went to targets that had left, until their old entries expired."""
    ready = [
        replace(SECOND, target_id=name, host=f"10.0.0.{number}", born_ms=1)
        for number, name in enumerate(("drains", "leaves", "stays"), 1)
    ]
    directory = TargetDirectory()
    directory.apply_listing(ready, now=1.0)
    drains = replace(ready[0], is_draining=True)
    directory.apply_listing([drains, ready[2]], now=2.0)
    directory.record_return(3.0)
    copy = [replace(entry, born_ms=born_ms) for entry in ready]
    directory.apply_listing(copy, now=3.1)
    is_same_process = born_ms == 1
    assert directory.entry_by_id["drains"].is_draining == is_same_process
    assert ("leaves" in directory.entry_by_id) != is_same_process
    directory.apply_listing(copy, now=3.0 + RETURNED_ENTRY_S)
    assert "leaves" in directory.entry_by_id


def test_an_older_copy_removes_no_target_that_it_lacks():
    directory = TargetDirectory()
    directory.apply_listing([SECOND], now=1.0)
    directory.record_return(2.0)
    assert directory.apply_listing([], now=2.1) == ([], [])
    assert directory.apply_listing([], now=2.2 + RECOVERY_GRACE_S) == ([], ["t2"])
