"""Directory of registered targets, updated from an eventually consistent listing."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from ipaddress import IPv4Address

from guavabarrow_core.exceptions import InvalidEntry

MAX_NAME_LENGTH = 200
"""Length of the longest key in the store, in characters."""

MAX_PORT = 65535
BROADCAST = IPv4Address("255.255.255.255")

RECOVERY_GRACE_S = 2.5
"""Entries that expired during an outage of the store reappear within about two seconds
of its recovery."""

RETURNED_ENTRY_S = 5.0
"""Time for which an entry of an older copy of the store may be listed: an entry expires
after three intervals of silence, and the listing is only polled."""

REMOVED_KEPT_S = 60.0
"""Time for which a removed entry is remembered; copies of the store are younger."""

CONFIRMED_S = 5.0
"""How long a target that answered is kept without an entry: the target has to write its
entry again, the listing shows it with a delay, and the listing is only polled."""


@dataclass(frozen=True, slots=True)
class TargetEntry:
    """Registration that a target published.

    Parameters
    ----------
    target_id, service, domain : str
        Name, service and failure domain.
    host, port : str, int
        Address, which other targets may reuse once this one is gone.
    is_draining : bool
        Whether it accepts no new work.
    is_primary : bool
        Whether it considers itself the primary.
    slots : int
        Statements that it runs concurrently.
    born_ms : int
        Start time, in Unix ms.
    """

    target_id: str
    service: str
    domain: str
    host: str
    port: int
    is_draining: bool
    is_primary: bool
    slots: int = 1
    born_ms: int = 0

    def validate(self) -> None:
        """Check the names and the address.

        Raises
        ------
        InvalidEntry
            If a target can't be told a name, or no target can have the address.
        """
        for word in (self.target_id, self.service):
            if not _is_name(word) or " " in word:
                raise InvalidEntry(f"invalid id or service: {word!r}")
        if not _is_name(self.domain):
            raise InvalidEntry(f"invalid failure domain: {self.domain!r}")
        if not is_target_address(self.host, self.port):
            raise InvalidEntry(f"invalid address: {self.host!r} {self.port}")


@dataclass(slots=True)
class TargetDirectory:
    """Known targets; entries survive an outage of the store.

    Examples
    --------
    >>> entry = TargetEntry("t1", "s", "z", "10.0.0.1", 1, False, True)
    >>> directory = TargetDirectory()
    >>> directory.apply_listing([entry], now=1.0)
    (['t1'], [])
    >>> directory.record_outage(2.0)
    >>> directory.apply_listing([], now=3.0)
    ([], [])
    >>> directory.apply_listing([], now=5.6)
    ([], ['t1'])
    """

    entry_by_id: dict[str, TargetEntry] = field(default_factory=dict)
    as_of: float = float("-inf")
    _confirmed_at: dict[str, float] = field(default_factory=dict)
    _outage_at: float = float("-inf")
    _recovered_at: float = float("-inf")
    _returned_at: float = float("-inf")
    _removed_by_id: dict[str, tuple[TargetEntry, float]] = field(default_factory=dict)
    _listed_ids: frozenset[str] = frozenset()

    def record_outage(self, now: float) -> None:
        """Record that the store did not respond."""
        self._outage_at = now

    def record_return(self, now: float) -> None:
        """Record that the store has returned from an older copy."""
        self._outage_at = self._returned_at = now

    def confirm(self, entry: TargetEntry, now: float) -> bool:
        """Keep a target that answered although its entry expired.

        Targets that were partitioned from the store stay missing from the listing for
        a moment after they can reach it again.

        Returns
        -------
        bool
            Whether it was missing from the directory.
        """
        self._confirmed_at[entry.target_id] = now
        if entry.target_id in self.entry_by_id:
            return False
        self.entry_by_id[entry.target_id] = entry
        return True

    def apply_listing(
        self, entries: list[TargetEntry], now: float
    ) -> tuple[list[str], list[str]]:
        """Update the directory from a complete listing.

        Parameters
        ----------
        entries : list of TargetEntry
            All entries that name a usable target.
        now : float
            Local time, in s.

        Returns
        -------
        tuple of (list of str, list of str)
            Ids of new or changed targets, and ids of removed ones.
        """
        if self._outage_at > self.as_of:
            self._recovered_at = now
        self.as_of = now
        current = {entry.target_id: entry for entry in entries}
        if now - self._returned_at < RETURNED_ENTRY_S:
            current = self._without_reverted(current)
        self._listed_ids = frozenset(current)
        changed = [
            target_id
            for target_id, entry in current.items()
            if self.entry_by_id.get(target_id) != entry
        ]
        missing = [key for key in self.entry_by_id if key not in current]
        if now - self._recovered_at < RECOVERY_GRACE_S:
            missing = [key for key in missing if self._is_replaced(key, current)]
        missing = [
            key
            for key in missing
            if now - self._confirmed_at.get(key, float("-inf")) > CONFIRMED_S
        ]
        self._removed_by_id = {
            key: (entry, at)
            for key, (entry, at) in self._removed_by_id.items()
            if key not in current and now - at < REMOVED_KEPT_S
        }
        for target_id in missing:
            self._removed_by_id[target_id] = (self.entry_by_id.pop(target_id), now)
            self._confirmed_at.pop(target_id, None)
        self.entry_by_id.update(current)
        return changed, missing

    def _without_reverted(
        self, current: dict[str, TargetEntry]
    ) -> dict[str, TargetEntry]:
        """Undo what an older copy takes back: a target that left, and one that drains.

        A target that starts again has another time of birth.
        """
        reverted = {}
        for key, entry in current.items():
            removed, _ = self._removed_by_id.get(key, (None, 0.0))
            if removed is not None and removed.born_ms == entry.born_ms:
                continue
            known = self.entry_by_id.get(key)
            drained_ms = known.born_ms if known and known.is_draining else None
            is_draining = entry.is_draining or drained_ms == entry.born_ms
            reverted[key] = replace(entry, is_draining=is_draining)
        return reverted

    def is_listed(self, target_id: str) -> bool:
        """Return whether the newest listing has a target's entry."""
        return target_id in self._listed_ids

    def of_service(self, service: str) -> list[TargetEntry]:
        """Return the targets of a service."""
        return [
            entry for entry in self.entry_by_id.values() if entry.service == service
        ]

    def _is_replaced(self, target_id: str, current: dict[str, TargetEntry]) -> bool:
        old = self.entry_by_id[target_id]
        address = (old.host, old.port)
        return any((entry.host, entry.port) == address for entry in current.values())


def is_target_address(host: str, port: int) -> bool:
    """Return whether a host and a TCP port are an address of one machine.

    Host names are not resolved.

    Examples
    --------
    >>> is_target_address("10.0.0.1", 5432), is_target_address("10.0.0.1", 0)
    (True, False)
    >>> is_target_address("db.local", 5432), is_target_address("0.0.0.0", 5432)
    (False, False)
    """
    try:
        address = IPv4Address(host)
    except ValueError:
        return False
    is_group = address.is_multicast or address == BROADCAST
    return not (address.is_unspecified or is_group) and 0 < port <= MAX_PORT


def _is_name(text: str) -> bool:
    return 0 < len(text) <= MAX_NAME_LENGTH and text.isprintable()
