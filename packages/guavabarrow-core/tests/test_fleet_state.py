"""Rights that follow from the shared table, under virtual time."""

from __future__ import annotations

import pytest

from guavabarrow_core.fleet_state import (
    DUTY_KEY,
    DUTY_LEASE_S,
    PRIMARY_LEASE_S,
    DutyRow,
    FleetState,
    MemberRow,
    PrimaryPhase,
    PrimaryRow,
    VersionedRow,
    member_key,
    primary_row_key,
)

SERVICE = "orders"


def member(vm: str, incarnation: str = "1", *, is_out: bool = False) -> MemberRow:
    return MemberRow(vm, "north", "10.0.0.1", 7560, incarnation, is_out)


def lead(phase: PrimaryPhase = PrimaryPhase.SETTLED, primary: str = "t1") -> PrimaryRow:
    return PrimaryRow(SERVICE, phase, primary, 1)


def rows(*pairs) -> list[VersionedRow]:
    return [VersionedRow(key, version, row) for key, version, row in pairs]


@pytest.fixture
def state() -> FleetState:
    state = FleetState("a", "1")
    table = rows(
        (member_key("a"), 1, member("a")),
        (member_key("b"), 2, member("b")),
        (DUTY_KEY, 3, DutyRow("a", "1")),
        (primary_row_key(SERVICE), 4, lead()),
    )
    state.apply(table, 4, as_of=10.0, now=10.0, is_full=True)
    return state


def test_a_right_ends_when_the_table_is_old(state):
    assert state.may_use_primary(SERVICE, 10.0 + PRIMARY_LEASE_S - 0.01)
    assert not state.may_use_primary(SERVICE, 10.0 + PRIMARY_LEASE_S)
    assert state.holds_duty(10.0 + DUTY_LEASE_S - 0.01)
    assert not state.holds_duty(10.0 + DUTY_LEASE_S)


def test_hearing_nothing_new_extends_a_right(state):
    state.apply([], 9, as_of=14.0, now=14.1)
    assert state.may_use_primary(SERVICE, 14.0 + PRIMARY_LEASE_S - 0.01)


def test_a_marked_row_ends_the_right_at_once(state):
    state.merge(rows((primary_row_key(SERVICE), 5, lead(PrimaryPhase.MOVING))), 10.1)
    assert not state.may_use_primary(SERVICE, 10.1)


def test_an_older_row_changes_nothing(state):
    assert not state.merge(
        rows((primary_row_key(SERVICE), 3, lead(primary="t9"))), 10.1
    )
    assert state.primary_row(SERVICE).primary_id == "t1"


@pytest.mark.parametrize("own", [member("a", "2"), member("a", is_out=True)])
def test_no_right_without_a_registration_of_this_lifetime(state, own):
    state.merge(rows((member_key("a"), 5, own)), 10.1)
    assert not state.may_use_primary(SERVICE, 10.1)


def test_no_duty_for_an_earlier_lifetime(state):
    state.merge(rows((DUTY_KEY, 5, DutyRow("a", "0"))), 10.1)
    assert not state.holds_duty(10.1)


def test_the_promoter_waits_as_long_as_a_silent_vm_may_act(state):
    """A VM that heard the table just before the mark acts until its right ends."""
    marked_at = 20.0
    last_heard_at = 19.999
    other = FleetState("b", "1")
    other.row_by_key = dict(state.row_by_key)
    other.version, other.as_of = 4, last_heard_at
    for now in (20.0, 23.0, 25.998, 26.0, 27.0):
        if state.lease_has_expired(member("b"), marked_at, now):
            assert not other.may_use_primary(SERVICE, now)
    assert state.lease_has_expired(member("b"), marked_at, marked_at + PRIMARY_LEASE_S)


def test_a_vm_marked_out_earlier_is_not_waited_for_again(state):
    out = member("b", is_out=True)
    state.merge(rows((member_key("b"), 5, out)), 12.0)
    marked_at = 12.0 + PRIMARY_LEASE_S
    assert state.lease_has_expired(out, marked_at, marked_at)
    state.merge(rows((member_key("b"), 6, member("b"))), 19.0)
    assert not state.lease_has_expired(member("b"), 19.0, 19.0)


def test_rows_that_a_full_read_lacks_are_gone(state):
    state.apply(
        rows((member_key("a"), 1, member("a"))),
        7,
        as_of=11.0,
        now=11.0,
        is_full=True,
    )
    assert state.primary_row(SERVICE) is None
    assert state.version_of(primary_row_key(SERVICE)) == 0


def test_a_pushed_row_does_not_pretend_that_the_table_is_complete(state):
    state.merge(rows((primary_row_key(SERVICE), 9, lead(PrimaryPhase.MOVING))), 10.1)
    assert state.rows_version == 4


def test_one_observer_in_each_domain(state):
    assert state.observer("north", frozenset({"b"})) == "a"
    other = FleetState("b", "1", row_by_key=state.row_by_key)
    assert other.observer("north", frozenset({"a"})) == "a"
    assert other.observer("north", frozenset()) == "b"
