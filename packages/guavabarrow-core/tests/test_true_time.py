"""Median of reported clock offsets."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from guavabarrow_core.true_time import OFFSET_VALID_S, TrueTime

errors = st.floats(min_value=-0.05, max_value=0.05)
jumps = st.floats(min_value=-1e4, max_value=1e4)


@given(right=st.lists(errors, min_size=3, max_size=9), wrong=st.lists(jumps))
def test_a_minority_of_wrong_clocks_changes_nothing(right, wrong):
    """Guards against wall clocks that jump at some VMs."""
    time = TrueTime()
    for number, error in enumerate(right):
        time.record(f"right-{number}", 100.0 + error, 0.0)
    for number, error in enumerate(wrong[: len(right) - 1]):
        time.record(f"wrong-{number}", error, 0.0)
    assert abs(time.offset_s(0.0) - 100.0) <= 0.05


def test_an_isolated_vm_keeps_the_last_agreed_offset():
    """Guards against a VM that follows its own wall clock once it is cut off."""
    time = TrueTime()
    for vm in ("a", "b", "c"):
        time.record(vm, 100.0, 0.0)
    assert time.offset_s(0.0) == 100.0
    later = OFFSET_VALID_S + 1.0
    time.record("a", 95.0, later)
    assert time.offset_s(later) == 100.0


def test_old_reports_expire():
    """Guards against offsets of VMs that have ended."""
    time = TrueTime()
    for number in range(5):
        time.record(f"old-{number}", 50.0, 0.0)
    later = OFFSET_VALID_S + 0.1
    for number in range(3):
        time.record(f"new-{number}", 100.0, later)
    assert time.offset_s(later) == 100.0
