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


def links(members: dict[str, MemberRow], holder: str = "") -> set[frozenset[str]]:
    return {
        frozenset({vm, peer})
        for vm, member in members.items()
        for peer in peers_to_link(vm, member.domain, members, holder)
    }


def test_a_small_fleet_forms_a_full_mesh():
    members = fleet(3, 3, 3)
    assert len(links(members)) == 9 * 8 / 2


@pytest.mark.parametrize("holder", ["", "north-00", "south-20"])
def test_links_are_symmetric(holder):
    members = fleet(24, 24, 25)
    for vm, member in members.items():
        for peer in peers_to_link(vm, member.domain, members, holder):
            reverse = peers_to_link(peer, members[peer].domain, members, holder)
            assert vm in reverse


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
    assert len(peers_to_link("south-20", "south", members, "south-20")) == 72
    assert "south-20" in peers_to_link("west-24", "west", members, "south-20")


def test_unavailable_hubs_are_replaced():
    out = frozenset({"north-00", "north-02"})
    hubs = hubs_by_domain(fleet(5, 3, 1, out=out))
    assert hubs["north"] == ("north-01", "north-03", "north-04")
    assert hubs["west"] == ("west-00",)


def test_a_domain_without_available_vms_has_no_hub():
    out = frozenset({"west-00"})
    assert "west" not in hubs_by_domain(fleet(1, 1, 1, out=out))
