"""Topology of the links between VMs.

Periodic messages on all pairs of VMs grow with the square of the fleet's size: with 195
VMs in five failure domains they took most of the processor time and of the bytes
between domains. Therefore a few VMs of each domain, its hubs, are linked to all VMs of
their domain and to the hubs of the other domains. Any other VM is linked to the hubs of
its domain and to the holder of the promotion duty, which is linked to all VMs. Small
fleets, whose domains have no more VMs than hubs, form a full mesh.

A network partition may run through a domain and separate VMs from all of its hubs.
Such a VM links to its whole domain, so that those on its side share a pool of tokens.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from guavabarrow_core.fleet_state import MemberRow

HUBS_PER_DOMAIN = 3
"""Two hubs of a domain can fail at once without cutting it off from other domains."""


def hubs_by_domain(members: Mapping[str, MemberRow]) -> dict[str, tuple[str, ...]]:
    """Return the hubs of each failure domain: its largest available VMs.

    Parameters
    ----------
    members : mapping of str to MemberRow
        Registered VMs by name.

    Returns
    -------
    dict of str to tuple of str
        Names in relay order, without VMs that are marked as unavailable.
    """
    orders_by_domain: dict[str, list[tuple[float, str]]] = {}
    for member in members.values():
        if not member.is_out:
            orders = orders_by_domain.setdefault(member.domain, [])
            orders.append(member.relay_order)
    return {
        domain: tuple(vm for _, vm in sorted(orders)[:HUBS_PER_DOMAIN])
        for domain, orders in orders_by_domain.items()
    }


def peers_to_link(
    vm: str,
    domain: str,
    members: Mapping[str, MemberRow],
    holder: str,
    hubs: Mapping[str, tuple[str, ...]],
    *,
    has_lost_hubs: bool = False,
) -> frozenset[str]:
    """Return the VMs that a VM maintains a link to.

    The relation is symmetric among VMs that have not lost their hubs.

    Parameters
    ----------
    vm, domain : str
        This VM and its failure domain.
    members : mapping of str to MemberRow
        Registered VMs by name.
    holder : str
        VM that orders promotions, empty if there is none.
    hubs : mapping of str to tuple of str
        Hubs of each failure domain.
    has_lost_hubs : bool
        Whether the VM reaches no hub of its failure domain.

    Examples
    --------
    >>> peers_to_link("a", "north", {}, "", {})
    frozenset()
    """
    if vm == holder:
        return frozenset(members) - {vm}
    own_hubs = hubs.get(domain, ())
    peers = {*own_hubs, holder}
    if vm in own_hubs:
        peers.update(name for names in hubs.values() for name in names)
    if vm in own_hubs or has_lost_hubs:
        peers.update(
            name for name, member in members.items() if member.domain == domain
        )
    return frozenset(name for name in peers if name != vm and name in members)
