"""Rendezvous hashing: assigns a duty to a member without communication.

Source: Thaler and Ravishankar, "Using name-based mappings to increase hit rates",
IEEE/ACM Transactions on Networking 6(1), 1998.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from xxhash import xxh3_64_intdigest

if TYPE_CHECKING:
    from collections.abc import Iterable


def rank_members(duty: str, members: Iterable[str]) -> list[str]:
    """Rank members for a duty, the preferred one first.

    Parameters
    ----------
    duty : str
        Name of the duty.
    members : iterable of str
        Candidate VMs.

    Returns
    -------
    list of str
        All members, by descending hash weight.

    Examples
    --------
    >>> before = rank_members("ledger", ["a", "b", "c"])
    >>> after = rank_members("ledger", before[1:])
    >>> after == before[1:]
    True
    """
    return sorted(
        members,
        key=lambda member: (xxh3_64_intdigest(f"{duty}\0{member}".encode()), member),
        reverse=True,
    )


def rank_of(duty: str, member: str, members: Iterable[str]) -> int:
    """Return the rank of ``member`` for ``duty``, 0 for the preferred member."""
    return rank_members(duty, {*members, member}).index(member)
