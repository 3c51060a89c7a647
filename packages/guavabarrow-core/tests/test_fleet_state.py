"""Leases granted by the shared table, under virtual time."""

from __future__ import annotations

from dataclasses import replace

import pytest

from guavabarrow_core.fleet_state import (
    DUTY_KEY,
    DUTY_LEASE_S,
    PRIMARY_LEASE_S,
    SPONSORSHIP_S,
    DutyRow,
    FleetState,
    LeadPhase,
    LeadRow,
    MemberRow,
    VersionedRow,
    member_key,
    primary_row_key,
)
from guavabarrow_core.store_position import StorePosition

SERVICE = "orders"


def member_row(vm: str, incarnation: str = "1", *, is_out: bool = False) -> MemberRow:
    return MemberRow(vm, "north", "10.0.0.1", 7560, incarnation, is_out)


def primary_row(phase: LeadPhase = LeadPhase.SETTLED, primary: str = "t1") -> LeadRow:
    return LeadRow(SERVICE, phase, primary, 1)


def versioned_rows(*pairs) -> list[VersionedRow]:
    return [VersionedRow(key, version, row) for key, version, row in pairs]


@pytest.fixture
def state() -> FleetState:
    state = FleetState("a", "1")
    table = versioned_rows(
        (member_key("a"), 1, member_row("a")),
        (member_key("b"), 2, member_row("b")),
        (DUTY_KEY, 3, DutyRow("a", "1")),
        (primary_row_key(SERVICE), 4, primary_row()),
    )
    state.apply(table, 4, as_of=10.0, now=10.0, is_full=True)
    return state


def test_leases_expire_when_the_cached_table_is_old(state):
    assert state.may_use_primary(SERVICE, 10.0 + PRIMARY_LEASE_S - 0.01)
    assert not state.may_use_primary(SERVICE, 10.0 + PRIMARY_LEASE_S)
    assert state.holds_duty(10.0 + DUTY_LEASE_S - 0.01)
    assert not state.holds_duty(10.0 + DUTY_LEASE_S)


def test_an_update_without_changes_renews_the_lease(state):
    state.apply([], 9, as_of=14.0, now=14.1)
    assert state.may_use_primary(SERVICE, 14.0 + PRIMARY_LEASE_S - 0.01)


def test_marking_a_row_as_moving_ends_the_lease_at_once(state):
    state.merge(
        versioned_rows((primary_row_key(SERVICE), 5, primary_row(LeadPhase.MOVING))),
        10.1,
    )
    assert not state.may_use_primary(SERVICE, 10.1)


def test_an_older_row_is_ignored(state):
    assert not state.merge(
        versioned_rows((primary_row_key(SERVICE), 3, primary_row(primary="t9"))), 10.1
    )
    assert state.primary_row(SERVICE).primary_id == "t1"


@pytest.mark.parametrize("own", [member_row("a", "2"), member_row("a", is_out=True)])
def test_no_lease_unless_this_incarnation_is_registered(state, own):
    state.merge(versioned_rows((member_key("a"), 5, own)), 10.1)
    assert not state.may_use_primary(SERVICE, 10.1)


def test_no_duty_for_an_earlier_incarnation(state):
    state.merge(versioned_rows((DUTY_KEY, 5, DutyRow("a", "0"))), 10.1)
    assert not state.holds_duty(10.1)


def test_promotion_waits_until_the_lease_of_an_unreachable_vm_expires(state):
    """A VM that read the table just before the mark uses its lease to the end."""
    marked_at = 20.0
    last_read_at = 19.999
    other = FleetState(
        "b", "1", row_by_key=dict(state.row_by_key), version=4, as_of=last_read_at
    )
    assert other.may_use_primary(SERVICE, 25.998)
    for now in (20.0, 23.0, 25.998, 26.0, 27.0):
        if state.lease_has_expired(member_row("b"), marked_at, now):
            assert not other.may_use_primary(SERVICE, now)
    assert state.lease_has_expired(
        member_row("b"), marked_at, marked_at + PRIMARY_LEASE_S
    )


def test_no_further_wait_for_a_vm_already_marked_unavailable(state):
    out = member_row("b", is_out=True)
    state.merge(versioned_rows((member_key("b"), 5, out)), 12.0)
    marked_at = 12.0 + PRIMARY_LEASE_S
    assert state.lease_has_expired(out, marked_at, marked_at)
    state.merge(versioned_rows((member_key("b"), 6, member_row("b"))), 19.0)
    assert not state.lease_has_expired(member_row("b"), 19.0, 19.0)


def test_rows_missing_from_a_full_read_are_deleted(state):
    state.apply(
        versioned_rows((member_key("a"), 1, member_row("a"))),
        7,
        as_of=11.0,
        now=11.0,
        is_full=True,
    )
    assert state.primary_row(SERVICE) is None
    assert state.version_of(primary_row_key(SERVICE)) == 0


def test_a_single_pushed_row_does_not_advance_rows_version(state):
    state.merge(
        versioned_rows((primary_row_key(SERVICE), 9, primary_row(LeadPhase.MOVING))),
        10.1,
    )
    assert state.rows_version == 4


def test_one_observer_per_failure_domain(state):
    assert state.observer("north", frozenset({"b"})) == "a"
    other = FleetState("b", "1", row_by_key=state.row_by_key)
    assert other.observer("north", frozenset({"a"})) == "a"
    assert other.observer("north", frozenset()) == "b"


def test_a_sponsored_vm_may_use_primaries_for_a_limited_time(state):
    """A VM that starts while the store is unavailable can't register."""
    other = FleetState("c", "9", row_by_key=dict(state.row_by_key), as_of=10.0)
    assert not other.may_use_primary("orders", 10.5)
    other.accept_sponsorship("b", "1", 10.2)
    assert other.may_use_primary("orders", 10.2 + SPONSORSHIP_S - 0.01)
    assert not other.may_use_primary("orders", 10.2 + SPONSORSHIP_S)
    other.accept_sponsorship("b", "1", 10.0 + PRIMARY_LEASE_S - 0.1)
    assert not other.may_use_primary("orders", 10.0 + PRIMARY_LEASE_S)


@pytest.mark.parametrize("change", [{"is_out": True}, {"incarnation": "2"}])
def test_a_sponsorship_ends_with_the_registration_of_the_sponsor(state, change):
    other = FleetState("c", "9", row_by_key=dict(state.row_by_key), as_of=10.0)
    other.accept_sponsorship("b", "1", 10.2)
    sponsor = replace(other.member_by_vm()["b"], **change)
    other.merge([VersionedRow("vm/b", 99, sponsor)], 10.3)
    assert not other.may_use_primary("orders", 10.4)


# A store that returned from an older copy


def test_a_lease_under_rows_of_a_former_era_ends_and_is_not_renewed(state):
    """Each answer of the restored store renewed leases on primaries that it forgot."""
    state.enter_era(1, 11.0)
    position = StorePosition.at(1, 3)
    own = (member_key("a"), position, member_row("a"))
    state.apply(versioned_rows(own), position, as_of=15.9, now=15.9, is_full=True)
    assert state.is_registered()
    assert state.may_use_primary(SERVICE, 10.0 + PRIMARY_LEASE_S - 0.01)
    assert not state.may_use_primary(SERVICE, 10.0 + PRIMARY_LEASE_S)
    again = (primary_row_key(SERVICE), StorePosition.at(1, 4), primary_row())
    state.merge(versioned_rows(again), 16.1)
    assert state.may_use_primary(SERVICE, 16.1)


def test_no_duty_and_no_registration_of_a_former_era_holds(state):
    state.enter_era(1, 10.1)
    assert not state.is_registered()
    assert not state.holds_duty(10.2)
    assert state.version_of(DUTY_KEY) == 0
    assert state.duty() == DutyRow("a", "1")


def test_a_full_read_of_the_copy_hides_no_remembered_row(state):
    state.enter_era(1, 10.1)
    state.apply([], StorePosition.at(1, 2), as_of=10.2, now=10.2, is_full=True)
    assert state.primary_row(SERVICE) == primary_row()
    assert set(state.member_by_vm()) == {"a", "b"}
    state.forget_former_members({"b"})
    assert set(state.member_by_vm()) == {"a", "b"}
    state.forget_former_members(())
    assert set(state.member_by_vm()) == {"a"}
    assert [row.key for row in state.former_primary_rows()] == [
        primary_row_key(SERVICE)
    ]
