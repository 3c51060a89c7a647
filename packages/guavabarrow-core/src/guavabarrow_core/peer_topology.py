"""Topology of the links between VMs.

In a full mesh, the periodic messages grow with the square of the fleet's size and
saturate the slow network links between failure domains. Therefore the VMs of a failure
domain form a full mesh, and every VM is also linked to a few hubs of each other domain
and to the holder of the promotion duty. Small fleets, whose domains have no more VMs
than hubs, form a full mesh.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from guavabarrow_core.fleet_state import MemberRow

HUBS_PER_DOMAIN = 3
"""Two hubs of a domain can fail at once without cutting it off from other domains."""


def hubs_by_domain(members: dict[str, MemberRow]) -> dict[str, tuple[str, ...]]:
    """Return the hubs of each failure domain, which VMs of other domains link to.

    Parameters
    ----------
    members : dict of str to MemberRow
        Registered VMs by name.

    Returns
    -------
    dict of str to tuple of str
        Names in sorted order, without VMs that are marked as unavailable.
    """
    names_by_domain: dict[str, list[str]] = {}
    for vm in sorted(members):
        if not members[vm].is_out:
            names_by_domain.setdefault(members[vm].domain, []).append(vm)
    return {
        domain: tuple(names[:HUBS_PER_DOMAIN])
        for domain, names in names_by_domain.items()
    }


def peers_to_link(
    vm: str, domain: str, members: dict[str, MemberRow], holder: str
) -> frozenset[str]:
    """Return the VMs that a VM maintains a link to; the relation is symmetric.

    Parameters
    ----------
    vm, domain : str
        This VM and its failure domain.
    members : dict of str to MemberRow
        Registered VMs by name.
    holder : str
        VM that orders promotions, empty if there is none.

    Examples
    --------
    >>> peers_to_link("a", "north", {}, "")
    frozenset()
    """
    hubs = hubs_by_domain(members)
    linked_to_all = {name for names in hubs.values() for name in names} | {holder}
    if vm in linked_to_all:
        return frozenset(members) - {vm}
    return frozenset(
        name
        for name, member in members.items()
        if name != vm and (member.domain == domain or name in linked_to_all)
    )
