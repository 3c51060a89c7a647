"""Topology of the links between VMs.

Sized after 73 VMs in three failure domains, where the periodic messages of a full mesh
saturated links of 5 Mbit/s.
"""

from __future__ import annotations

import pytest

from guavabarrow_core.fleet_state import MemberRow
from guavabarrow_core.peer_topology import hubs_by_domain, peers_to_link

DOMAINS = ("north", "south", "west")


def fleet(*sizes: int, out: frozenset[str] = frozenset()) -> dict[str, MemberRow]:
    names = [
        (f"{domain}-{number:02}", domain)
        for domain, size in zip(DOMAINS, sizes, strict=True)
        for number in range(size)
    ]
    return {
        name: MemberRow(name, domain, "10.0.0.1", 1, "1", is_out=name in out)
        for name, domain in names
    }


def peers_of(vm: str, members: dict[str, MemberRow], holder: str) -> frozenset[str]:
    hubs = hubs_by_domain(members)
    return peers_to_link(vm, members[vm].domain, members, holder, hubs)


def links(members: dict[str, MemberRow], holder: str = "") -> set[frozenset[str]]:
    return {
        frozenset({vm, peer})
        for vm, member in members.items()
        for peer in peers_of(vm, members, holder)
    }


def test_a_small_fleet_forms_a_full_mesh():
    members = fleet(3, 3, 3)
    assert len(links(members)) == 9 * 8 / 2


@pytest.mark.parametrize("holder", ["", "north-00", "south-20"])
def test_links_are_symmetric(holder):
    members = fleet(24, 24, 25)
    for vm in members:
        for peer in peers_of(vm, members, holder):
            assert vm in peers_of(peer, members, holder)


def test_links_between_domains_grow_linearly_with_the_fleet():
    members = fleet(24, 24, 25)
    between = [
        link for link in links(members) if len({members[vm].domain for vm in link}) == 2
    ]
    full_mesh = 24 * 24 + 2 * 24 * 25
    hubs = 9
    assert len(between) <= hubs * len(members)
    assert len(between) < full_mesh / 3


def test_the_duty_holder_is_linked_to_all_vms():
    members = fleet(24, 24, 25)
    assert len(peers_of("south-20", members, "south-20")) == 72
    assert "south-20" in peers_of("west-24", members, "south-20")


def test_unavailable_hubs_are_replaced():
    out = frozenset({"north-00", "north-02"})
    hubs = hubs_by_domain(fleet(5, 3, 1, out=out))
    assert hubs["north"] == ("north-01", "north-03", "north-04")
    assert hubs["west"] == ("west-00",)


def test_a_domain_without_available_vms_has_no_hub():
    out = frozenset({"west-00"})
    assert "west" not in hubs_by_domain(fleet(1, 1, 1, out=out))


def large_fleet() -> dict[str, MemberRow]:
    """Return 195 VMs in five domains, three of each larger than the others."""
    return {
        f"{domain}-{number:02}": MemberRow(
            f"{domain}-{number:02}",
            domain,
            "10.0.0.1",
            1,
            "1",
            cpu_cores=2.15 if number >= 36 else 0.52,
        )
        for domain in ("east", "north", "south", "west", "west2")
        for number in range(39)
    }


def test_the_largest_vms_are_the_hubs():
    assert hubs_by_domain(large_fleet())["south"] == (
        "south-36",
        "south-37",
        "south-38",
    )


def test_most_vms_of_a_large_fleet_have_few_links():
    """Links carry heartbeats: 51 on each of 195 VMs took most processor time."""
    members = large_fleet()
    holder = "north-36"
    sizes = {vm: len(peers_of(vm, members, holder)) for vm in members}
    hubs = {vm for names in hubs_by_domain(members).values() for vm in names}
    assert {sizes[vm] for vm in members if vm not in hubs} <= {3, 4}
    assert {sizes[vm] for vm in hubs if vm != holder} == {38 + 12}
    assert sizes[holder] == 194
