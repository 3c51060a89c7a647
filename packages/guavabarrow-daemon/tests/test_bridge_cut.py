"""Partial cuts, in virtual time.

First, two failure domains lose each other while a third one still reaches both. The
users' story: during such a cut a booking was acknowledged and later gone, because
a replica was promoted although the primary was alive and in use.
"""

from __future__ import annotations

import pytest
from sim_fleet import SimFleet

from guavabarrow_daemon.fleet.rate_service import RateService

CUT_S = 8.0
"""Longer than all detection times and than the lease on primaries."""

FAILOVER_S = 4.0
"""Limit for a failover with all VMs reachable by some path."""


def cut_between(fleet: SimFleet, one: str, other: str) -> None:
    """Cut two failure domains off from each other, their targets included."""

    def domain_of(host: str) -> str:
        return host.removeprefix("target-").partition("-")[0]

    fleet.network.is_blocked = lambda source, destination: (
        {domain_of(source), domain_of(destination)} == {one, other}
    )


def started_fleet(monkeypatch, per_domain: int) -> SimFleet:
    fleet = SimFleet(monkeypatch, per_domain)
    fleet.wait_until_serving()
    fleet.run(3.0)
    return fleet


@pytest.mark.parametrize("per_domain", [3, 6])
@pytest.mark.parametrize("resets", [False, True])
def test_nothing_changes_if_only_two_domains_lose_each_other(
    monkeypatch, per_domain, resets
):
    """No promotion, no new duty holder, no VM marked, and all primaries in use."""
    fleet = started_fleet(monkeypatch, per_domain)
    fleet.network.resets_connections = resets
    holder = fleet.holder()
    holder_domain = holder.partition("-")[0]
    others = [domain for domain in ("east", "north", "west") if domain != holder_domain]
    version = fleet.store.version
    for other in others:
        cut_between(fleet, holder_domain, other)
        fleet.run(CUT_S)
        fleet.heal()
        fleet.run(3.0)
    assert fleet.group.promotion_calls == []
    assert fleet.store.version == version
    assert fleet.holder() == holder
    assert fleet.is_serving()
    fleet.assert_invariants()


@pytest.mark.parametrize("per_domain", [3, 6])
def test_a_crashed_primary_is_replaced_during_a_bridge_cut(monkeypatch, per_domain):
    """VMs that the duty holder does not reach confirm through the third domain."""
    fleet = started_fleet(monkeypatch, per_domain)
    holder_domain = fleet.holder().partition("-")[0]
    other = "west" if holder_domain != "west" else "east"
    cut_between(fleet, holder_domain, other)
    fleet.run(3.0)
    fleet.group.crash(fleet.target("north"))
    fleet.run_until(lambda: fleet.group.leader.domain != "north", FAILOVER_S)
    fleet.run_until(fleet.is_serving, FAILOVER_S)
    fleet.assert_invariants()


def test_the_duty_of_a_holder_that_ends_during_a_bridge_cut_is_taken_over(monkeypatch):
    fleet = started_fleet(monkeypatch, 6)
    holder = fleet.holder()
    holder_domain = holder.partition("-")[0]
    other = "west" if holder_domain != "west" else "east"
    cut_between(fleet, holder_domain, other)
    fleet.run(4.0)
    fleet.kill(holder)
    fleet.run_until(lambda: bool(fleet.holder()), 6.0)
    fleet.assert_invariants()


def test_vms_that_are_cut_off_from_all_hubs_share_a_pool(monkeypatch):
    """A cut may run through domains; callers of VMs without a pool were refused.

    A VM's own share of a team's rate is a two-hundredth in a large fleet.
    """
    fleet = started_fleet(monkeypatch, 8)
    inside = {
        f"{domain}-{number}" for domain in ("east", "west") for number in range(5)
    }
    fleet.network.is_blocked = lambda source, destination: (
        (source in inside) != (destination in inside)
    )
    fleet.run(6.0)
    outside = [f"{domain}-{number}" for domain in ("east", "west") for number in (5, 6)]
    hosts = {
        name: fleet.vm_by_name[name].kernel.find(RateService).rates.host
        for name in outside
    }
    assert hosts == {name: f"{name.partition('-')[0]}-5" for name in outside}
    fleet.heal()
    fleet.run(6.0)
    rates = fleet.vm_by_name["east-6"].kernel.find(RateService).rates
    assert rates.host == "east-0"
    assert fleet.is_serving()
    fleet.assert_invariants()
