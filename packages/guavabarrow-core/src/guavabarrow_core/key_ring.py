"""Lookup of the team that owns a key."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavabarrow_core.fleet import hash_key

if TYPE_CHECKING:
    from guavabarrow_core.fleet import Fleet


@dataclass(frozen=True, slots=True)
class KeyOwner:
    """Team and id of a valid key."""

    team: str
    key_id: str


class KeyRing:
    """Valid keys of one configuration version.

    Parameters
    ----------
    owner_by_hash : dict of str to KeyOwner
        Owners, keyed by the hash of their key.
    """

    def __init__(self, owner_by_hash: dict[str, KeyOwner]) -> None:
        self._owner_by_hash = owner_by_hash
        self._owners = frozenset(owner_by_hash.values())

    @classmethod
    def from_fleet(cls, fleet: Fleet) -> KeyRing:
        """Create a key ring from the keys of all teams."""
        return cls(
            {
                key_hash: KeyOwner(team.name, key_id)
                for team in fleet.teams.values()
                for key_id, key_hash in team.key_hash_by_id.items()
            }
        )

    def find(self, key: str) -> KeyOwner | None:
        """Return the owner of a key, None if the key is unknown or revoked."""
        return self._owner_by_hash.get(hash_key(key))

    def contains(self, owner: KeyOwner) -> bool:
        """Return whether the key of ``owner`` is still valid."""
        return owner in self._owners
