"""Election of the promotion duty's holder, without a network and under virtual time."""

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
from guavabarrow_core.peer_topology import hubs_by_domain
from guavabarrow_daemon.fleet import contact_service, duty_service
from guavabarrow_daemon.fleet.contact_service import ContactService
from guavabarrow_daemon.fleet.duty_service import (
    CHECK_INTERVAL_S,
    HOLDER_TIMEOUT_S,
    MINORITY_DELAY_S,
    RELEASE_AFTER_S,
    STARTUP_GRACE_S,
    TAKEOVER_STAGGER_S,
    UNAVAILABLE_AFTER_S,
    VACANT_DELAY_S,
    DutyService,
)
from guavabarrow_daemon.fleet.fleet_messages import PeerHeartbeat
from guavabarrow_daemon.fleet.fleet_service import FleetService, HeartbeatDraft
from guavabarrow_daemon.fleet.peer_links import PeerLinks
from guavabarrow_daemon.kernel import Kernel, Service
from guavabarrow_daemon.store.watched_table import TableWriteResult

OWN, HOLDER, UNREACHABLE = "a", "b", "c"
OTHERS = frozenset({"d", "e"})
"""Peers that stay reachable unless a test disconnects this VM."""

MAX_RANK = 3
"""Number of candidates for the duty besides its holder and this VM."""


class FakeLinks(PeerLinks):
    def __init__(self, kernel: Kernel) -> None:
        Service.__init__(self, kernel)
        self.reachable = OTHERS | {HOLDER, UNREACHABLE}

    def live_peers(self) -> frozenset[str]:
        return self.reachable

    def incarnation_of(self, vm: str) -> str:
        return "1"

    def is_peer(self, vm: str) -> bool:
        return vm != OWN


class FakeFleet(FleetService):
    def __init__(self, kernel: Kernel) -> None:
        Service.__init__(self, kernel)
        self.state = FleetState(OWN, "1")
        self.domain = "north"
        self.hubs_by_domain = {}
        self.is_stopping = False
        self.on_rows = []
        self.heartbeat_fillers = []
        self.store_lost_at = None
        self.heartbeat_by_vm: dict[str, PeerHeartbeat] = {}
        self.age_s = 0.0
        self.written: list = []
        self.put_row(DUTY_KEY, DutyRow(HOLDER, "1"))
        for vm in (OWN, HOLDER, UNREACHABLE, *sorted(OTHERS)):
            row = MemberRow(vm, "north", "10.0.0.1", 1, "1")
            self.put_row(member_key(vm), row)

    def put_row(self, key: str, row) -> None:
        version = self.state.version + 1
        self.state.apply([VersionedRow(key, version, row)], version, as_of=0.0, now=0.0)
        self.hubs_by_domain = hubs_by_domain(self.state.member_by_vm())

    def send_heartbeat_now(self) -> None:
        pass

    def last_heartbeat(self, vm: str) -> tuple[float, PeerHeartbeat]:
        return 0.0, self.heartbeat_by_vm.get(vm, PeerHeartbeat())

    def notify(self, key: str) -> None:
        for callback in self.on_rows:
            callback([self.state.row_by_key[key]])

    def table_age_s(self) -> float:
        return self.age_s

    async def write(self, key: str, row) -> TableWriteResult:
        self.written.append((key, row))
        self.put_row(key, row)
        return TableWriteResult(True, self.state.version, 0.0)


class Harness:
    """Duty service with fake peers and shared table, on a clock that tests advance."""

    def __init__(self, monkeypatch, reachable: frozenset[str] | None = None) -> None:
        self.clock = Clock()
        for module in (contact_service, duty_service):
            monkeypatch.setattr(module, "now_s", self.clock.seconds)
        self.kernel = Kernel()
        self.links = FakeLinks(self.kernel)
        if reachable is not None:
            self.links.reachable = reachable
        self.fleet = FakeFleet(self.kernel)
        self.kernel.register(self.links)
        self.kernel.register(self.fleet)
        self.kernel.register(ContactService(self.kernel))
        self.duty = DutyService(self.kernel, self.clock)
        for _ in self.duty.start().__await__():
            raise AssertionError("start() must not wait")
        self.advance(STARTUP_GRACE_S + CHECK_INTERVAL_S)

    def advance(self, duration_s: float) -> None:
        for _ in range(round(duration_s / CHECK_INTERVAL_S)):
            self.clock.advance(CHECK_INTERVAL_S)
            self.fleet.state.as_of = self.clock.seconds() - self.fleet.age_s


@pytest.fixture
def harness(monkeypatch) -> Harness:
    return Harness(monkeypatch)


def test_reachable_holder_keeps_the_duty(harness):
    harness.advance(20.0)
    assert harness.fleet.written == []


def test_duty_of_unreachable_holder_is_taken_over_and_used_after_its_lease(harness):
    harness.links.reachable = OTHERS | {UNREACHABLE}
    harness.advance(
        HOLDER_TIMEOUT_S + MAX_RANK * TAKEOVER_STAGGER_S + 2 * CHECK_INTERVAL_S
    )
    assert harness.fleet.written[0] == (DUTY_KEY, DutyRow(OWN, "1"))
    assert not harness.duty.may_order_promotions()
    harness.advance(DUTY_LEASE_S + CHECK_INTERVAL_S)
    assert harness.duty.may_order_promotions()


def test_starting_vm_does_not_take_over_before_it_is_connected(monkeypatch):
    """After a power loss, five unconnected VMs took the duty from each other."""
    harness = Harness(monkeypatch, reachable=frozenset())
    assert harness.fleet.written == []


def test_reconnected_vm_does_not_take_over(harness):
    """A takeover after a healed partition delayed a running promotion by 3 s."""
    harness.links.reachable = frozenset()
    harness.fleet.age_s = 5.0
    harness.advance(10.0)
    harness.links.reachable = OTHERS | {HOLDER, UNREACHABLE}
    harness.fleet.age_s = 0.0
    harness.advance(10.0)
    assert harness.fleet.written == []


def test_vm_unreachable_since_before_a_takeover_is_marked_unavailable(harness):
    """A new holder must mark a VM that was unreachable before the takeover.

    Otherwise a promotion waits for that VM; 4.5 s were seen in a simulated day.
    """
    harness.links.reachable = OTHERS | {HOLDER}
    harness.advance(UNAVAILABLE_AFTER_S + 1.0)
    assert harness.fleet.written == []
    harness.links.reachable = OTHERS
    harness.advance(
        HOLDER_TIMEOUT_S + MAX_RANK * TAKEOVER_STAGGER_S + 4 * CHECK_INTERVAL_S
    )
    keys = [key for key, _ in harness.fleet.written]
    assert keys[:2] == [DUTY_KEY, member_key(UNREACHABLE)]
    assert harness.fleet.written[1][1].is_out


def test_minority_leaves_the_duty_to_the_majority(harness):
    """Both sides reach the store, and the majority marks the minority unavailable."""
    harness.links.reachable = frozenset({UNREACHABLE})
    harness.advance(HOLDER_TIMEOUT_S + MINORITY_DELAY_S - 1.0)
    out = MemberRow(OWN, "north", "10.0.0.1", 1, "1", is_out=True)
    harness.fleet.put_row(member_key(OWN), out)
    harness.fleet.notify(member_key(OWN))
    harness.fleet.put_row(member_key(OWN), replace(out, is_out=False))
    harness.advance(5.0)
    assert harness.fleet.written == []


def test_minority_takes_over_if_it_is_not_marked_unavailable(harness):
    harness.links.reachable = frozenset()
    harness.advance(
        HOLDER_TIMEOUT_S + MINORITY_DELAY_S + MAX_RANK * TAKEOVER_STAGGER_S + 0.2
    )
    assert harness.fleet.written[0] == (DUTY_KEY, DutyRow(OWN, "1"))


def test_duty_is_used_if_the_reply_to_the_write_was_lost(harness):
    """The write was applied and its reply lost; the table shows the new holder."""
    written = harness.fleet.write

    async def write(key: str, row):
        await written(key, row)

    harness.fleet.write = write
    harness.links.reachable = OTHERS | {UNREACHABLE}
    harness.advance(
        HOLDER_TIMEOUT_S + MAX_RANK * TAKEOVER_STAGGER_S + 2 * CHECK_INTERVAL_S
    )
    assert not harness.duty.may_order_promotions()
    harness.advance(DUTY_LEASE_S + 2 * CHECK_INTERVAL_S)
    assert harness.duty.may_order_promotions()


def test_duty_that_was_handed_over_is_not_taken_again(harness):
    harness.fleet.put_row(DUTY_KEY, DutyRow(OWN, "1"))
    harness.advance(DUTY_LEASE_S + 1.0)
    assert harness.duty.may_order_promotions()
    for _ in harness.duty.hand_over().__await__():
        raise AssertionError("hand_over() must not wait for the fake store")
    harness.advance(5.0)
    assert harness.fleet.state.duty() == DutyRow("", "")
    assert not harness.duty.may_order_promotions()


def hold_duty(harness) -> int:
    harness.fleet.put_row(DUTY_KEY, DutyRow(OWN, "1"))
    harness.advance(DUTY_LEASE_S + 1.0)
    assert harness.duty.may_order_promotions()
    return harness.fleet.state.version_of(DUTY_KEY)


def test_a_holder_without_access_to_the_store_releases_the_duty(harness):
    """The store turned the holder away, which began the same replacement 13 times.

    Its table stayed recent, because other VMs relayed it.
    """
    version = hold_duty(harness)
    harness.fleet.store_lost_at = harness.clock.seconds()
    harness.advance(RELEASE_AFTER_S + 2 * CHECK_INTERVAL_S)
    assert not harness.duty.may_order_promotions()
    draft = HeartbeatDraft({})
    for fill in harness.fleet.heartbeat_fillers:
        fill(draft)
    assert draft.common["released_duty"] == version
    assert harness.fleet.written == []


def test_a_holder_keeps_the_duty_in_an_outage_of_the_whole_store(harness):
    hold_duty(harness)
    harness.fleet.store_lost_at = harness.clock.seconds()
    harness.fleet.age_s = 0.0
    as_of = harness.clock.seconds() - 0.01
    for _ in range(10):
        harness.clock.advance(CHECK_INTERVAL_S)
        harness.fleet.state.as_of = as_of
    harness.fleet.store_lost_at = None
    harness.advance(2 * CHECK_INTERVAL_S)
    assert harness.duty.may_order_promotions()
    assert harness.fleet.written == []


def test_a_holder_with_a_pending_request_keeps_the_duty(harness):
    """Its request may arrive after a successor's, with an older fencing token."""
    hold_duty(harness)
    harness.duty.is_request_pending = lambda: True
    harness.fleet.store_lost_at = harness.clock.seconds()
    harness.advance(RELEASE_AFTER_S + 1.0)
    assert harness.duty.may_order_promotions()


def test_a_released_duty_is_taken_over_and_used_at_once(harness):
    version = harness.fleet.state.version_of(DUTY_KEY)
    harness.fleet.heartbeat_by_vm[HOLDER] = PeerHeartbeat(released_duty=version)
    harness.advance(
        VACANT_DELAY_S + MAX_RANK * TAKEOVER_STAGGER_S + 2 * CHECK_INTERVAL_S
    )
    assert harness.fleet.written == [(DUTY_KEY, DutyRow(OWN, "1"))]
    assert harness.duty.may_order_promotions()


def test_a_release_of_an_older_row_does_not_count(harness):
    version = harness.fleet.state.version_of(DUTY_KEY)
    harness.fleet.heartbeat_by_vm[HOLDER] = PeerHeartbeat(released_duty=version - 1)
    harness.advance(3.0)
    assert harness.fleet.written == []


def test_a_vm_without_access_to_the_store_leaves_a_released_duty(harness):
    version = harness.fleet.state.version_of(DUTY_KEY)
    harness.fleet.heartbeat_by_vm[HOLDER] = PeerHeartbeat(released_duty=version)
    harness.fleet.store_lost_at = harness.clock.seconds()
    harness.advance(3.0)
    assert harness.fleet.written == []


def test_a_holder_takes_the_duty_back_when_it_reaches_the_store_again(harness):
    hold_duty(harness)
    harness.fleet.store_lost_at = harness.clock.seconds()
    harness.advance(RELEASE_AFTER_S + 2 * CHECK_INTERVAL_S)
    harness.fleet.store_lost_at = None
    harness.advance(2 * CHECK_INTERVAL_S)
    assert harness.fleet.written == [(DUTY_KEY, DutyRow(OWN, "1"))]
    assert harness.duty.may_order_promotions()
