"""Which VMs keep a link to each other.

Pattern: with a link between any two VMs, regular messages grow with the square of the
fleet and fill the slow links between failure domains. Here the VMs of one failure
domain are linked to each other, and everybody is linked to a few anchors of each other
domain and to the holder of the duty. Small fleets, whose domains hold no more VMs than
anchors, are fully linked.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from guavabarrow_core.fleet_state import MemberRow

HUBS_PER_DOMAIN = 3
"""Two may be lost at the same moment before other domains lose touch with one."""


def hubs_by_domain(members: dict[str, MemberRow]) -> dict[str, tuple[str, ...]]:
    """Return the VMs of each failure domain that other domains are linked to.

    Parameters
    ----------
    members : dict of str to MemberRow
        Registered VMs by name.

    Returns
    -------
    dict of str to tuple of str
        Names in order, without VMs that are marked as out.
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
    """Return the VMs that a VM keeps a link to; the relation is symmetric.

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
