"""One lease and three VMs in virtual time, with pauses, outages and lost responses."""

from dataclasses import replace

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from guavabarrow_core.lease import (
    LEASE_S,
    Claim,
    Lease,
    LeaseRow,
    LeaseTick,
    ReadRow,
    RowRead,
    StoreFailed,
    WriteRow,
)

TICK_S = 0.1
HEARTBEAT_TIMEOUT_S = 1.0
VMS = ("a", "b", "c")


class Node:
    """A VM and the heartbeats that it received while it was running."""

    def __init__(self, vm):
        self.lease = Lease(vm)
        self.vm = vm
        self.paused = False
        self.heartbeat_at = {}
        self.claim_by_vm = {}


class Leases(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.store = LeaseRow()
        self.store_up = True
        self.responses_to_lose = 0
        self.nodes = {vm: Node(vm) for vm in VMS}
        self.holders_seen = set()

    @rule(ticks=st.integers(1, 30))
    def run(self, ticks):
        for _ in range(ticks):
            self.now += TICK_S
            for node in self.nodes.values():
                if not node.paused:
                    self.tick(node)
            self.check()

    def tick(self, node):
        self.exchange_heartbeats(node)
        claims = [
            Claim(other.lease.epoch, vm)
            for vm, other in self.nodes.items()
            if vm != node.vm
            and self.now - node.heartbeat_at.get(vm, -99.0) < HEARTBEAT_TIMEOUT_S
            and node.claim_by_vm.get(vm, (0, False))[1]
        ]
        alive = [
            vm
            for vm in VMS
            if vm == node.vm
            or self.now - node.heartbeat_at.get(vm, -99.0) < HEARTBEAT_TIMEOUT_S
        ]
        rank = alive.index(node.vm)
        holder = node.lease.row.holder
        is_timed_out = (
            self.now - node.heartbeat_at.get(holder, -99.0) >= HEARTBEAT_TIMEOUT_S
        )
        event = LeaseTick(
            is_candidate=rank < 2,
            is_preferred=rank == 0,
            holder_unreachable=not claims and is_timed_out and holder != node.vm,
            max_heartbeat_epoch=max(
                (e for e, _ in node.claim_by_vm.values()), default=0
            ),
            rival_claim=max(claims, default=None),
        )
        for action in node.lease.step(event, self.now):
            node.lease.step(self.perform(action), self.now)

    def exchange_heartbeats(self, node):
        resumed = node.lease._ticked_at is not None and (
            self.now - node.lease._ticked_at > 0.6
        )
        for vm, other in self.nodes.items():
            if vm == node.vm:
                continue
            if resumed and vm in node.heartbeat_at:
                node.heartbeat_at[vm] = self.now
            if not other.paused:
                node.heartbeat_at[vm] = self.now
                claims = other.lease.holds(self.now)
                node.claim_by_vm[vm] = (other.lease.epoch, claims)

    def perform(self, action):
        if not self.store_up:
            return StoreFailed()
        written = False
        if isinstance(action, WriteRow) and action.row.revision == self.store.revision:
            self.store = replace(action.row, revision=self.store.revision + 1)
            written = True
        else:
            assert isinstance(action, ReadRow | WriteRow)
        if self.responses_to_lose:
            self.responses_to_lose -= 1
            return StoreFailed()
        return RowRead(self.store, self.now, written)

    @rule(up=st.booleans())
    def switch_store(self, up):
        self.store_up = up

    @rule(count=st.integers(1, 3))
    def lose_responses(self, count):
        self.responses_to_lose = count

    @rule(vm=st.sampled_from(VMS))
    def pause(self, vm):
        self.nodes[vm].paused = True

    @precondition(lambda self: any(node.paused for node in self.nodes.values()))
    @rule()
    def resume_all(self):
        for node in self.nodes.values():
            node.paused = False

    @rule(vm=st.sampled_from(VMS))
    def replace_vm(self, vm):
        """The VM fails and a new process replaces it."""
        self.nodes[vm] = Node(vm)

    def check(self):
        holders = [
            node.vm
            for node in self.nodes.values()
            if not node.paused and node.lease.holds(self.now)
        ]
        assert len(holders) <= 1, holders
        self.holders_seen.update(holders)

    @invariant()
    def one_holder(self):
        self.check()


Leases.TestCase.settings = settings(
    max_examples=100, stateful_step_count=30, deadline=None, derandomize=True
)
TestLeases = Leases.TestCase


def run_isolated(lease, store, start, count, *, up=True):
    """Tick a VM that receives no heartbeats of others."""
    now = start
    for _ in range(count):
        now += TICK_S
        event = LeaseTick(is_candidate=True, is_preferred=True, holder_unreachable=True)
        for action in lease.step(event, now):
            if not up:
                lease.step(StoreFailed(), now)
                continue
            written = False
            if isinstance(action, WriteRow) and action.row.revision == store.revision:
                store = replace(action.row, revision=store.revision + 1)
                written = True
            lease.step(RowRead(store, now, written), now)
    return store, now


def test_lease_is_acquired_and_kept():
    lease = Lease("a")
    store, now = run_isolated(lease, LeaseRow(), 0.0, 30)
    assert lease.holds(now)
    assert store.holder == "a"


def test_holder_keeps_the_lease_while_the_store_is_down():
    lease = Lease("a")
    store, now = run_isolated(lease, LeaseRow(), 0.0, 30)
    _, now = run_isolated(lease, store, now, 100, up=False)
    assert lease.holds(now)


def test_successor_takes_over_without_a_store_only_after_waiting():
    lease = Lease("b")
    store = LeaseRow("a", 4, 9, 7)
    _, now = run_isolated(lease, store, 0.0, 30, up=False)
    assert not lease.holds(now)
    _, now = run_isolated(lease, store, now, 10, up=False)
    assert lease.holds(now)


def test_resumed_holder_waits_for_claims_while_the_store_is_down():
    lease = Lease("a")
    store, now = run_isolated(lease, LeaseRow(), 0.0, 30)
    _, now = run_isolated(lease, store, now, 40, up=False)
    assert lease.holds(now)
    now += 5.0
    assert not lease.holds(now)
    lease.step(
        LeaseTick(is_candidate=True, is_preferred=True, holder_unreachable=True), now
    )
    assert not lease.holds(now)
    tick = LeaseTick(
        False, False, False, max_heartbeat_epoch=2, rival_claim=Claim(2, "b")
    )
    lease.step(tick, now + TICK_S)
    _, now = run_isolated(lease, store, now + TICK_S, 20, up=False)
    assert not lease.holds(now)


def test_reading_the_own_row_does_not_grant_the_lease():
    lease = Lease("a")
    lease.step(
        LeaseTick(is_candidate=True, is_preferred=True, holder_unreachable=True), 0.0
    )
    lease.step(RowRead(LeaseRow("a", 1, 3, 9), 0.0, written=False), 0.01)
    assert not lease.holds(0.02)


class TakesOverFromLiveHolder(Lease):
    """Faulty variant: takes over the lease of a holder that is still alive."""

    def _may_take_over(self, event, now):
        return self._row_changed_at is not None


def test_faulty_lease_is_detected(monkeypatch):
    monkeypatch.setattr(f"{__name__}.Lease", TakesOverFromLiveHolder)
    search = settings(
        Leases.TestCase.settings,
        max_examples=1000,
        print_blob=False,
        phases=[Phase.generate],
    )
    with pytest.raises(AssertionError):
        run_state_machine_as_test(Leases, settings=search)


@pytest.mark.parametrize("fraction", [0.35, 0.7, 0.99])
def test_a_lease_is_not_taken_over_before_it_expires(fraction):
    lease = Lease("b")
    tick = LeaseTick(is_candidate=True, is_preferred=True, holder_unreachable=True)
    lease.step(tick, 0.0)
    lease.step(RowRead(LeaseRow("a", 1, 0, 7), 0.0), 0.0)
    now = 0.0
    while now + TICK_S < LEASE_S * fraction:
        now += TICK_S
        actions = lease.step(tick, now)
        assert not any(isinstance(action, WriteRow) for action in actions)
        if actions:
            lease.step(RowRead(LeaseRow("a", 1, 0, 7), now), now)
