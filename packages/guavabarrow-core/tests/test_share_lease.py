"""Leases on shares of a rate that VMs transfer to the host of a pool."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from guavabarrow_core.pooled_rate_limiter import (
    LOCAL_FALLBACK_S,
    AdmissionDecision,
    PeerPoolState,
    PooledRateLimiter,
)
from guavabarrow_core.rate_limiter import RateLimit, RateTolerance
from guavabarrow_core.share_lease import (
    JOIN_S,
    LEASE_MARGIN_S,
    LEASE_TERM_S,
    ArrivalClock,
    PoolLeases,
    TransferredShare,
)

if TYPE_CHECKING:
    from collections.abc import Callable

TEAM = "north-team"
RATE = RateLimit(100.0, 100.0)
VMS = frozenset({"vm-0", "vm-1", "vm-2"})
FREE_AFTER_S = LEASE_TERM_S + LEASE_MARGIN_S


def create(name: str) -> PooledRateLimiter:
    rates = PooledRateLimiter(name, "north", RateTolerance(5.0, 0.1, 20.0))
    rates.configure({TEAM: RATE})
    rates.set_members(VMS, {})
    return rates


def create_user(now: float = 0.0) -> PooledRateLimiter:
    """A VM that uses the pool of vm-0 and has just told it so."""
    rates = create("vm-1")
    rates.update_pool("vm-0", {"vm-0": PeerPoolState("vm-0", True)}, now)
    rates.local.publish_demand(now)
    return rates


def create_host(now: float = 0.0) -> PooledRateLimiter:
    rates = create("vm-0")
    hear(rates, now, *VMS - {"vm-0"})
    rates.update_pool("vm-0", dict.fromkeys(("vm-1", "vm-2"), using("vm-0")), now)
    return rates


def using(host: str) -> PeerPoolState:
    return PeerPoolState(host, False)


def hear(rates: PooledRateLimiter, now: float, *vms: str) -> None:
    for vm in vms:
        rates.local.update_peer_demand(vm, {}, now)


def pool_share(rates: PooledRateLimiter, now: float) -> float:
    rates.grant(TEAM, 0, now)
    assert rates.pool is not None
    return rates.pool.share(TEAM)


def admitted(rates: PooledRateLimiter, now: float) -> int:
    decisions = [rates.admit(TEAM, now) for _ in range(100)]
    return decisions.count(AdmissionDecision.ADMITTED)


def test_a_host_gives_up_the_shares_of_vms_that_it_stopped_hearing():
    """Guards against an isolated host that admits for VMs that do so themselves."""
    host = create_host()
    assert pool_share(host, LEASE_TERM_S - 0.01) == pytest.approx(1.0)
    hear(host, 0.5, "vm-2")
    assert pool_share(host, LEASE_TERM_S) == pytest.approx(2 / 3)
    assert pool_share(host, 0.5 + LEASE_TERM_S) == pytest.approx(1 / 3)


def test_a_host_gives_up_the_share_of_a_vm_that_says_it_left():
    host = create_host()
    hear(host, 1.0, "vm-1", "vm-2")
    states = {"vm-1": using(""), "vm-2": using("vm-0")}
    host.update_pool("vm-0", states, 1.0)
    assert pool_share(host, 1.0) == pytest.approx(2 / 3)
    assert not host.is_pool_user("vm-1")


@pytest.mark.parametrize("lost", [0.1, 0.9])
def test_a_vm_that_lost_its_host_admits_nothing_until_the_lease_has_ended(lost):
    """Guards against both sides of a cut admitting one share; any loss of messages."""
    rates = create_user()
    rates.on_host_unreachable(lost)
    assert admitted(rates, FREE_AFTER_S - 0.01) == 0
    assert rates.wait_s(TEAM, FREE_AFTER_S - 0.5) >= 0.5
    assert 10 <= admitted(rates, FREE_AFTER_S + 0.5) <= 100 / 3 * 1.1


@pytest.mark.parametrize("host_departed", [True, False])
def test_a_share_is_free_at_once_when_its_host_closed_the_pool(host_departed):
    """A planned stop or a handover refuses no callers."""
    rates = create_user()
    if host_departed:
        rates.set_members(VMS - {"vm-0"}, {})
        rates.update_pool("vm-2", {"vm-2": using("")}, 0.2)
    else:
        rates.update_pool("vm-0", {"vm-0": using("")}, 0.2)
    assert rates.host == ""
    assert rates.free_at < 0.2
    assert admitted(rates, 0.7) > 0


def test_a_host_that_was_slow_once_is_used_again_at_its_next_heartbeat():
    rates = create_user()
    states = {"vm-0": PeerPoolState("vm-0", True)}
    rates.on_host_unreachable(0.1)
    rates.update_pool("vm-0", states, 0.2)
    assert rates.host == ""
    hear(rates, 0.7, "vm-0")
    rates.update_pool("vm-0", states, 0.7)
    assert rates.host == "vm-0"
    assert rates.free_at < 0.7


def test_a_host_that_only_sends_is_left_for_a_while():
    """Guards against a VM that waits for one lease after another."""
    rates = create_user()
    states = {"vm-0": PeerPoolState("vm-0", True)}
    for now in (0.1, 0.8):
        rates.on_host_unreachable(now)
        hear(rates, now + 0.1, "vm-0")
        rates.update_pool("vm-0", states, now + 0.1)
    assert rates.host == ""
    rates.update_pool("vm-0", states, 0.8 + LEASE_TERM_S + LOCAL_FALLBACK_S)
    assert rates.host == "vm-0"


def test_a_new_pool_excludes_shares_that_the_former_one_may_still_admit():
    """Its own share and those of its VMs come free when the old leases have ended."""
    rates = create_user()
    hear(rates, 0.1, "vm-2")
    states = {"vm-2": PeerPoolState("", False, free_at=1.0)}
    rates.update_pool("vm-1", states, 0.1)
    hear(rates, 0.9, "vm-2")
    rates.update_pool("vm-1", {"vm-2": PeerPoolState("vm-1", False, 1.0)}, 0.9)
    assert pool_share(rates, 0.95) == pytest.approx(0.0)
    assert rates.wait_s(TEAM, 0.95) < 0.5
    assert pool_share(rates, 1.1) == pytest.approx(1 / 3)
    assert pool_share(rates, FREE_AFTER_S) == pytest.approx(2 / 3)


def leases(heard_at: Callable[[str], float] = lambda vm: 0.0) -> PoolLeases:
    return PoolLeases("vm-0", 0.0, heard_at)


def test_a_vm_that_does_not_join_an_opened_pool_is_not_counted():
    """Guards against a VM that can't hear the host and admits its own share."""
    pool = leases(lambda vm: 1.0)
    pool.update({"vm-1": using("")})
    assert pool.is_leased("vm-1", JOIN_S - 0.01)
    assert not pool.is_leased("vm-1", JOIN_S)
    pool.update({"vm-1": using("vm-0")})
    assert pool.is_leased("vm-1", JOIN_S)


def test_a_vm_that_uses_another_pool_is_not_counted():
    pool = leases()
    pool.update({"vm-1": using("vm-2")})
    assert not pool.is_leased("vm-1", 0.1)


def test_a_vm_waits_for_the_longest_of_several_leases():
    transferred = TransferredShare()
    transferred.on_left("vm-0", 1.0)
    transferred.on_left("vm-2", 2.0)
    transferred.on_joined("vm-2")
    assert transferred.free_at == pytest.approx(1.0 + FREE_AFTER_S)
    transferred.update(VMS, {"vm-0": PeerPoolState("vm-0", True)})
    assert transferred.free_at == pytest.approx(1.0 + FREE_AFTER_S)


def test_a_delayed_heartbeat_counts_from_its_sending():
    """Guards against leases renewed by heartbeats that a suspended host reads late."""
    clock = ArrivalClock()
    assert clock.undelayed(1000.0, 5.0) == 5.0
    assert clock.undelayed(1000.7, 7.0) == pytest.approx(5.7, abs=0.001)
    assert clock.undelayed(1007.0, 11.99) == pytest.approx(11.99)


def test_clocks_of_different_speed_do_not_look_like_a_delay():
    clock = ArrivalClock()
    for second in range(3600):
        arrived_at = clock.undelayed(second * (1 - 1e-4), float(second))
    assert arrived_at == pytest.approx(3599.0, abs=0.01)


def test_the_share_reserved_for_a_late_vm_is_not_recorded_anew():
    """Guards against reserving less than the VM uses, by demand it never learned."""
    rates = create("vm-1")
    rates.local.update_peer_demand("vm-0", {TEAM: 10.0}, 0.0)
    rates.local.update_peer_demand("vm-2", {TEAM: 10.0}, 0.0)
    rates.local.publish_demand(0.1)
    reserved = rates.local.share_of(["vm-0"], TEAM)
    rates.local.update_peer_demand("vm-2", {TEAM: 90.0}, 1.0)
    rates.local.publish_demand(1.0)
    assert rates.local.share_of(["vm-0"], TEAM) == pytest.approx(reserved)
