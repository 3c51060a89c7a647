"""Changes of a keyed collection since the heartbeat before."""

from __future__ import annotations

from typing import Generic, TypeVar

FULL_HEARTBEAT_EVERY = 8
"""Every so many heartbeats contain the whole collection, in case changes were lost."""

Value = TypeVar("Value")


class HeartbeatDelta(Generic[Value]):
    """Computes which entries of a collection the next heartbeat contains.

    Parameters
    ----------
    removed : object
        Value that stands for an entry that no longer exists.

    Examples
    --------
    >>> delta = HeartbeatDelta(removed=0.0)
    >>> delta.next_changes({"a": 1.0, "b": 2.0}) == (True, {"a": 1.0, "b": 2.0})
    True
    >>> delta.next_changes({"a": 1.0, "c": 3.0}) == (False, {"b": 0.0, "c": 3.0})
    True
    """

    def __init__(self, removed: Value) -> None:
        self._removed = removed
        self._last_sent: dict[str, Value] | None = None
        self._sent_count = 0

    def reset(self) -> None:
        """Send the whole collection in the next heartbeat."""
        self._last_sent = None

    def next_changes(
        self, value_by_key: dict[str, Value]
    ) -> tuple[bool, dict[str, Value]]:
        """Return whether all entries are sent, and those to send; record them as sent.

        Parameters
        ----------
        value_by_key : dict of str to object
            The whole collection.

        Returns
        -------
        tuple of bool and dict of str to object
            Whether keys that are missing have no entry, and the entries.
        """
        self._sent_count += 1
        if self._sent_count % FULL_HEARTBEAT_EVERY == 0:
            self._last_sent = None
        last_sent, self._last_sent = self._last_sent, dict(value_by_key)
        previous = last_sent or {}
        changed = {
            key: value_by_key.get(key, self._removed)
            for key in {*value_by_key, *previous}
            if value_by_key.get(key, self._removed) != previous.get(key, self._removed)
        }
        return last_sent is None, changed
