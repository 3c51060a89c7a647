"""Use of a primary while it is being replaced, under virtual time.

In a planned replacement running work may finish. A write whose answer came after the
row had been marked was reported as in doubt, although the replacement still waited for
this VM's confirmation.
"""

from __future__ import annotations

import pytest
from twisted.internet.task import Clock

from guavabarrow_core.fleet_state import (
    DUTY_KEY,
    PRIMARY_LEASE_S,
    DutyRow,
    FleetState,
    LeadPhase,
    LeadRow,
    MemberRow,
    VersionedRow,
    member_key,
    primary_row_key,
)
from guavabarrow_core.log_position import LogPosition
from guavabarrow_daemon.fleet import primary_service
from guavabarrow_daemon.fleet.directory_service import DirectoryService
from guavabarrow_daemon.fleet.fleet_messages import PrimaryUseStopped
from guavabarrow_daemon.fleet.fleet_service import FleetService, HeartbeatDraft
from guavabarrow_daemon.fleet.peer_links import PeerLinks
from guavabarrow_daemon.fleet.primary_service import (
    DRAIN_CHECK_INTERVAL_S,
    REPEAT_INTERVAL_S,
    PrimaryService,
)
from guavabarrow_daemon.kernel import Kernel, Service

SERVICE, OLD, HOLDER, OWN = "orders", "t1", "a", "b"


class FakeLinks(PeerLinks):
    def __init__(self, kernel: Kernel) -> None:
        Service.__init__(self, kernel)
        self.linked = {HOLDER}
        self.sent: list = []
        self.on_peer_up = []
        self.on_peer_message = []

    def is_linked(self, vm: str) -> bool:
        return vm in self.linked

    def send(self, vm: str, message) -> None:
        self.sent.append((vm, message))

    def send_to(self, vms, message) -> None:
        self.sent += [(vm, message) for vm in vms]


class FakeFleet(FleetService):
    def __init__(self, kernel: Kernel) -> None:
        Service.__init__(self, kernel)
        self.state = FleetState(OWN, "1")
        self.domain = "north"
        self.hubs_by_domain = {"north": ("h1",), "south": ("s1", "s2")}
        self.sponsoring_until = float("-inf")
        self.on_rows = []
        self.heartbeat_fillers = []
        self.put(member_key(OWN), MemberRow(OWN, "north", "10.0.0.1", 1, "1"))
        self.put(DUTY_KEY, DutyRow(HOLDER, "1"))
        self.put(primary_row_key(SERVICE), LeadRow(SERVICE, LeadPhase.SETTLED, OLD, 1))

    def put(self, key: str, row) -> None:
        version = self.state.version + 1
        changed = self.state.apply(
            [VersionedRow(key, version, row)], version, as_of=0.0, now=0.0
        )
        for callback in self.on_rows:
            callback(changed)

    def mark_moving(self, *, is_planned: bool) -> None:
        row = LeadRow(SERVICE, LeadPhase.MOVING, OLD, 1, is_planned)
        self.put(primary_row_key(SERVICE), row)


class FakeDirectory(DirectoryService):
    def __init__(self, kernel: Kernel) -> None:
        Service.__init__(self, kernel)
        self.pool_by_id = {}


class Harness:
    """Primary service of one VM on a clock that tests advance."""

    def __init__(self, monkeypatch) -> None:
        self.clock = Clock()
        monkeypatch.setattr(primary_service, "now_s", self.clock.seconds)
        self.kernel = Kernel()
        self.links = FakeLinks(self.kernel)
        self.fleet = FakeFleet(self.kernel)
        for service in (self.links, self.fleet, FakeDirectory(self.kernel)):
            self.kernel.register(service)
        self.primaries = PrimaryService(self.kernel, self.clock)
        for _ in self.primaries.start().__await__():
            raise AssertionError("start() must not wait")

    def confirmations(self) -> list[str]:
        return [vm for vm, m in self.links.sent if isinstance(m, PrimaryUseStopped)]


@pytest.fixture
def harness(monkeypatch) -> Harness:
    return Harness(monkeypatch)


def test_an_answer_is_accepted_until_this_vm_has_stopped(harness):
    harness.primaries.begin_work(SERVICE)
    harness.fleet.mark_moving(is_planned=True)
    assert not harness.primaries.may_use(SERVICE, OLD)
    assert harness.primaries.may_accept_answer(SERVICE, OLD)
    assert harness.confirmations() == []
    harness.primaries.end_work(SERVICE)
    harness.clock.advance(DRAIN_CHECK_INTERVAL_S)
    assert harness.confirmations() == [HOLDER]
    assert not harness.primaries.may_accept_answer(SERVICE, OLD)


def test_an_answer_is_not_accepted_after_the_lease(harness):
    harness.primaries.begin_work(SERVICE)
    harness.clock.advance(PRIMARY_LEASE_S - 0.1)
    harness.fleet.mark_moving(is_planned=True)
    assert harness.primaries.may_accept_answer(SERVICE, OLD)
    harness.clock.advance(0.1)
    assert not harness.primaries.may_accept_answer(SERVICE, OLD)


def test_an_answer_is_not_accepted_in_an_unplanned_replacement(harness):
    harness.primaries.begin_work(SERVICE)
    harness.fleet.mark_moving(is_planned=False)
    assert not harness.primaries.may_accept_answer(SERVICE, OLD)
    assert harness.confirmations() == [HOLDER]


def test_a_confirmation_waits_for_the_sponsorships_granted_before(harness):
    harness.fleet.sponsoring_until = 0.8
    harness.fleet.mark_moving(is_planned=False)
    harness.fleet.sponsoring_until = 5.0
    harness.clock.advance(0.79)
    assert harness.confirmations() == []
    harness.clock.advance(0.02)
    assert harness.confirmations() == [HOLDER]


def test_a_confirmation_without_a_link_to_the_holder_goes_through_hubs(harness):
    harness.links.linked = set()
    harness.fleet.mark_moving(is_planned=False)
    assert harness.confirmations() == ["h1"]
    assert harness.links.sent[0][1].relays_left == 1


def test_a_hub_relays_confirmations_of_others(harness):
    harness.fleet.hubs_by_domain["north"] = (OWN,)
    message = PrimaryUseStopped("c", "1", SERVICE, 9, relays_left=1)
    for receive in harness.links.on_peer_message:
        receive("c", message)
    assert harness.confirmations() == [HOLDER]
    harness.links.linked = set()
    for receive in harness.links.on_peer_message:
        receive("c", message)
    assert harness.confirmations()[1:] == ["s1", "s2"]
    assert harness.links.sent[-1][1].relays_left == 0


def test_a_confirmation_is_repeated_until_the_replacement_ends(harness):
    harness.fleet.mark_moving(is_planned=False)
    for _ in range(3):
        harness.clock.advance(REPEAT_INTERVAL_S)
        for fill in harness.fleet.heartbeat_fillers:
            fill(HeartbeatDraft({}))
    assert harness.confirmations() == [HOLDER] * 4
    harness.fleet.put(
        primary_row_key(SERVICE), LeadRow(SERVICE, LeadPhase.SETTLED, "t2", 2)
    )
    harness.clock.advance(REPEAT_INTERVAL_S)
    for fill in harness.fleet.heartbeat_fillers:
        fill(HeartbeatDraft({}))
    assert harness.confirmations() == [HOLDER] * 4


def test_the_known_end_of_a_primary_belongs_to_its_term(harness):
    """Positions of a former primary would make a shorter log look incomplete."""
    service = harness.primaries
    assert service.known_end(SERVICE, OLD) is None
    for index in (7, 9, 8):
        service.observe(SERVICE, OLD, 0.0, LogPosition(1, index))
    assert service.known_end(SERVICE, OLD) == LogPosition(1, 9)
    assert service.known_end(SERVICE, "t2") is None
    harness.fleet.put(
        primary_row_key(SERVICE), LeadRow(SERVICE, LeadPhase.SETTLED, OLD, 3)
    )
    assert service.known_end(SERVICE, OLD) is None
