"""The duty of ordering promotions, without a network and under virtual time."""

from __future__ import annotations

from dataclasses import replace

import pytest
from twisted.internet.task import Clock

from guavabarrow_core.fleet_state import (
    DUTY_KEY,
    DUTY_LEASE_S,
    DutyRow,
    FleetState,
    MemberRow,
    VersionedRow,
    member_key,
)
from guavabarrow_daemon.fleet import duty_service
from guavabarrow_daemon.fleet.duty_service import (
    CHECK_S,
    HOLDER_SILENT_S,
    LEARN_S,
    MINORITY_S,
    OUT_AFTER_S,
    TAKEOVER_STEP_S,
    DutyService,
)
from guavabarrow_daemon.fleet.fleet_service import FleetService
from guavabarrow_daemon.fleet.peer_links import PeerLinks
from guavabarrow_daemon.kernel import Kernel, Service
from guavabarrow_daemon.store.watched_table import Written

OWN, HOLDER, GONE = "a", "b", "c"
OTHERS = frozenset({"d", "e"})
"""VMs that stay in contact."""

MOST_RANKS = 3
"""Candidates for the duty besides its holder and this VM."""


class FakeLinks(PeerLinks):
    def __init__(self, kernel: Kernel) -> None:
        Service.__init__(self, kernel)
        self.in_contact = OTHERS | {HOLDER, GONE}

    def live_peers(self) -> frozenset[str]:
        return self.in_contact

    def incarnation_of(self, vm: str) -> str:
        return "1"

    def is_peer(self, vm: str) -> bool:
        return vm != OWN


class FakeFleet(FleetService):
    def __init__(self, kernel: Kernel) -> None:
        Service.__init__(self, kernel)
        self.state = FleetState(OWN, "1")
        self.is_stopping = False
        self.on_rows = []
        self.age_s = 0.0
        self.written: list = []
        self.put(DUTY_KEY, DutyRow(HOLDER, "1"))
        for vm in (OWN, HOLDER, GONE, *sorted(OTHERS)):
            row = MemberRow(vm, "north", "10.0.0.1", 1, "1")
            self.put(member_key(vm), row)

    def put(self, key: str, row) -> None:
        version = self.state.version + 1
        self.state.apply([VersionedRow(key, version, row)], version, as_of=0.0, now=0.0)

    def tell(self, key: str) -> None:
        for callback in self.on_rows:
            callback([self.state.row_by_key[key]])

    def table_age_s(self) -> float:
        return self.age_s

    async def write(self, key: str, row) -> Written:
        self.written.append((key, row))
        self.put(key, row)
        return Written(True, self.state.version, 0.0)


class World:
    """One VM whose clock the test moves."""

    def __init__(self, monkeypatch, in_contact: frozenset[str] | None = None) -> None:
        self.clock = Clock()
        monkeypatch.setattr(duty_service, "now_s", self.clock.seconds)
        self.kernel = Kernel()
        self.links = FakeLinks(self.kernel)
        if in_contact is not None:
            self.links.in_contact = in_contact
        self.fleet = FakeFleet(self.kernel)
        self.kernel.register(self.links)
        self.kernel.register(self.fleet)
        self.duty = DutyService(self.kernel, self.clock)
        for _ in self.duty.start().__await__():
            raise AssertionError("starting the service must not wait")
        self.pass_time(LEARN_S + CHECK_S)

    def pass_time(self, duration_s: float) -> None:
        for _ in range(round(duration_s / CHECK_S)):
            self.clock.advance(CHECK_S)
            self.fleet.state.as_of = self.clock.seconds() - self.fleet.age_s


@pytest.fixture
def world(monkeypatch) -> World:
    return World(monkeypatch)


def test_a_holder_in_contact_keeps_the_duty(world):
    world.pass_time(20.0)
    assert world.fleet.written == []


def test_the_duty_of_a_silent_holder_is_taken_and_waited_for(world):
    world.links.in_contact = OTHERS | {GONE}
    world.pass_time(HOLDER_SILENT_S + MOST_RANKS * TAKEOVER_STEP_S + 2 * CHECK_S)
    assert world.fleet.written[0] == (DUTY_KEY, DutyRow(OWN, "1"))
    assert not world.duty.may_order_promotions()
    world.pass_time(DUTY_LEASE_S + CHECK_S)
    assert world.duty.may_order_promotions()


def test_a_vm_that_just_started_does_not_take_the_duty_for_want_of_links(monkeypatch):
    """Seen after a loss of power: five VMs took the duty from one another."""
    world = World(monkeypatch, in_contact=frozenset())
    assert world.fleet.written == []


def test_a_vm_that_was_cut_off_takes_nothing_over(world):
    """Seen when a cut healed: a takeover stalled a promotion for 3 s."""
    world.links.in_contact = frozenset()
    world.fleet.age_s = 5.0
    world.pass_time(10.0)
    world.links.in_contact = OTHERS | {HOLDER, GONE}
    world.fleet.age_s = 0.0
    world.pass_time(10.0)
    assert world.fleet.written == []


def test_silence_from_before_the_duty_moved_counts(world):
    """Seen on a played day: a promotion waited 4.5 s for a VM that was long gone."""
    world.links.in_contact = OTHERS | {HOLDER}
    world.pass_time(OUT_AFTER_S + 1.0)
    assert world.fleet.written == []
    world.links.in_contact = OTHERS
    world.pass_time(HOLDER_SILENT_S + MOST_RANKS * TAKEOVER_STEP_S + 4 * CHECK_S)
    keys = [key for key, _ in world.fleet.written]
    assert keys[:2] == [DUTY_KEY, member_key(GONE)]
    assert world.fleet.written[1][1].is_out


def test_the_smaller_side_of_a_cut_leaves_the_duty_to_the_larger_one(world):
    """Both sides reach the store; the larger one marks these VMs as out."""
    world.links.in_contact = frozenset({GONE})
    world.pass_time(HOLDER_SILENT_S + MINORITY_S - 1.0)
    out = MemberRow(OWN, "north", "10.0.0.1", 1, "1", is_out=True)
    world.fleet.put(member_key(OWN), out)
    world.fleet.tell(member_key(OWN))
    world.fleet.put(member_key(OWN), replace(out, is_out=False))
    world.pass_time(5.0)
    assert world.fleet.written == []


def test_the_last_vms_take_the_duty_if_nobody_marks_them(world):
    world.links.in_contact = frozenset()
    world.pass_time(HOLDER_SILENT_S + MINORITY_S + MOST_RANKS * TAKEOVER_STEP_S + 0.2)
    assert world.fleet.written[0] == (DUTY_KEY, DutyRow(OWN, "1"))


def test_a_duty_whose_answer_was_lost_is_acted_on(world):
    """The write was done, its answer lost: the table says who holds the duty."""
    written = world.fleet.write

    async def write(key: str, row):
        await written(key, row)

    world.fleet.write = write
    world.links.in_contact = OTHERS | {GONE}
    world.pass_time(HOLDER_SILENT_S + MOST_RANKS * TAKEOVER_STEP_S + 2 * CHECK_S)
    assert not world.duty.may_order_promotions()
    world.pass_time(DUTY_LEASE_S + 2 * CHECK_S)
    assert world.duty.may_order_promotions()


def test_a_duty_that_was_handed_over_is_not_taken_again(world):
    world.fleet.put(DUTY_KEY, DutyRow(OWN, "1"))
    world.pass_time(DUTY_LEASE_S + 1.0)
    assert world.duty.may_order_promotions()
    for _ in world.duty.hand_over().__await__():
        raise AssertionError("the fake store answers at once")
    world.pass_time(5.0)
    assert world.fleet.state.duty() == DutyRow("", "")
    assert not world.duty.may_order_promotions()
