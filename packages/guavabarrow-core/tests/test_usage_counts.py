"""Counting of operations by window, and merging of counts."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from guavabarrow_core.usage_counts import (
    KEPT_WINDOWS,
    STOPPED_WINDOW,
    InvalidUsageCount,
    UnknownUsageTeam,
    UsageCounter,
    UsageCursor,
    UsageEntry,
    UsageSource,
    UsageTally,
    UsageWindowOutOfRange,
    check_teams,
)

WINDOW_S = 5.0
SOURCE = UsageSource("vm-1", "1")
OTHER = UsageSource("vm-2", "1")


def entry_of(counts, source=SOURCE, final_through=9) -> UsageEntry:
    return UsageEntry(source, 8, final_through, counts)


def count(counter: UsageCounter, team: str, true_s: float) -> None:
    counter.finish(counter.begin(team, true_s), has_run=True)


@given(
    steps=st.lists(
        st.tuples(st.sampled_from((SOURCE, OTHER)), st.integers(0, 9)), min_size=1
    ),
    order=st.randoms(use_true_random=False),
)
def test_repeats_and_reordering_change_nothing(steps, order):
    """Guards against messages that arrive twice or in another order."""
    messages, totals = [], {}
    for source, operations in steps:
        totals[source] = totals.get(source, 0) + operations
        messages.append(entry_of({10: {"red": totals[source]}}, source))
    received = messages * 2
    order.shuffle(received)
    tally = UsageTally()
    for message in received:
        tally.merge(message, 10)
    assert tally.totals(10).get("red", 0) == sum(totals.values())


@given(st.lists(st.tuples(st.sampled_from("ab"), st.integers(1, 9)), max_size=20))
def test_changes_bring_another_tally_up_to_date(changes):
    """Guards against counts that are never passed on, or again and again."""
    first, second = UsageTally(), UsageTally()
    known, cursor = {}, UsageCursor()
    for team, operations in changes:
        known[team] = known.get(team, 0) + operations
        first.merge(entry_of({10: dict(known)}), 10)
        for entry in first.take_changes(cursor):
            second.merge(entry, 10)
        assert first.take_changes(cursor) == []
    assert second.totals(10) == known


def test_counts_of_an_open_window_are_sent_once_it_has_ended():
    """Guards against counts that are skipped because a later window was sent."""
    tally, cursor = UsageTally(), UsageCursor()
    tally.merge(entry_of({9: {"red": 1}, 10: {"red": 2}}), 10)
    first = tally.take_changes(cursor, through=9)
    tally.merge(entry_of({9: {"red": 3}}), 10)
    second = tally.take_changes(cursor, through=10)
    assert [entry.counts_by_window for entry in first] == [{9: {"red": 1}}]
    assert [entry.counts_by_window for entry in second] == [
        {9: {"red": 3}, 10: {"red": 2}}
    ]


def test_operations_count_in_the_window_in_which_they_were_sent():
    """Guards against counting by the time of the answer, or what wasn't run."""
    counter = UsageCounter(WINDOW_S, wait_s=2.5)
    slow = counter.begin("red", 54.9)
    counter.finish(counter.begin("red", 54.9), has_run=False)
    counter.finish(slow, has_run=True)
    counter.finish(slow, has_run=True)
    count(counter, "blue", 55.0)
    assert counter.entry(SOURCE).counts_by_window == {10: {"red": 1}, 11: {"blue": 1}}


def test_a_window_is_final_once_all_its_operations_are_answered():
    """Guards against reports that lack operations whose answers are pending."""
    counter = UsageCounter(WINDOW_S, wait_s=2.5)
    pending = counter.begin("red", 54.9)
    counter.advance(55.1)
    assert counter.final_through == 9
    counter.finish(pending, has_run=True)
    counter.advance(55.2)
    assert counter.final_through == 10


def test_an_operation_without_an_answer_counts_before_its_window_is_closed():
    """Guards against targets that don't answer for longer than a report can wait."""
    counter = UsageCounter(WINDOW_S, wait_s=2.5)
    pending = counter.begin("red", 54.9)
    counter.advance(57.5)
    counter.finish(pending, has_run=True)
    assert counter.entry(SOURCE) == UsageEntry(SOURCE, 10, 10, {10: {"red": 1}})


def test_no_operation_is_added_to_a_final_window():
    """Guards against true time that is corrected backwards at the end of a window."""
    counter = UsageCounter(WINDOW_S, wait_s=2.5)
    counter.advance(55.0)
    count(counter, "red", 54.99)
    assert counter.entry(SOURCE).counts_by_window == {11: {"red": 1}}


def test_a_stop_counts_what_is_pending():
    """Guards against operations that are lost at a planned stop."""
    counter = UsageCounter(WINDOW_S, wait_s=2.5)
    counter.begin("red", 52.0)
    counter.stop()
    assert counter.entry(SOURCE) == UsageEntry(
        SOURCE, 10, STOPPED_WINDOW, {10: {"red": 1}}
    )


def test_old_windows_and_processes_are_dropped():
    """Guards against memory that grows with time."""
    counter, tally = UsageCounter(WINDOW_S, 2.5), UsageTally()
    for window in range(10, 40):
        count(counter, "red", window * WINDOW_S)
        counter.advance(window * WINDOW_S + 1.0)
        tally.merge(counter.entry(SOURCE), window)
        tally.merge(entry_of({10: {"red": 1}}, OTHER), window)
        tally.prune(window)
        assert len(counter.entry(SOURCE).counts_by_window) <= KEPT_WINDOWS
    assert not tally.has_data(39 - KEPT_WINDOWS) or tally.totals(10) == {}
    assert tally.totals(10) == {}
    sources = {entry.source for entry in tally.take_changes(UsageCursor())}
    assert SOURCE in sources


@pytest.mark.parametrize(
    ("entry", "error"),
    [
        (entry_of({12: {"red": 1}}), UsageWindowOutOfRange),
        (entry_of({10: {"red": 1}}, final_through=12), UsageWindowOutOfRange),
        (replace(entry_of({}), first_window=12), UsageWindowOutOfRange),
        (entry_of({10: {"red": 1, "blue": -1}}), InvalidUsageCount),
    ],
)
def test_bad_entries_are_rejected_as_a_whole(entry, error):
    """Guards against window numbers that jump, and negative counts."""
    tally = UsageTally()
    with pytest.raises(error):
        tally.merge(entry, 10)
    assert tally.totals(10) == {}


def test_unknown_teams_are_named():
    """Guards against reports of teams that the platform doesn't know."""
    with pytest.raises(UnknownUsageTeam) as raised:
        check_teams({"red": 1, "ghost": 2}, {"red"})
    assert raised.value.count_by_team == {"ghost": 2}


def test_a_process_has_no_data_of_windows_before_its_start():
    """Guards against empty reports of windows before all VMs lost power."""
    tally = UsageTally()
    tally.merge(entry_of({}, final_through=10), 10)
    assert [tally.has_data(window) for window in (7, 8, 10, 11)] == [
        False,
        True,
        True,
        False,
    ]
