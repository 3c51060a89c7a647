"""Bounds on the store's steady clock, as seen from this VM's clock.

An answer that carries the store's time was computed between the moment its call was
sent and the moment it arrived. Every call therefore bounds the difference of the two
clocks from both sides; the tightest bounds are kept.
"""

from __future__ import annotations

from dataclasses import dataclass

INFINITY = float("inf")


@dataclass(slots=True)
class StoreClock:
    """Converts store times to this VM's clock.

    Examples
    --------
    >>> clock = StoreClock()
    >>> clock.observe(store_s=100.0, sent_at=5.0, received_at=5.25)
    >>> clock.earliest_local(101.0), clock.latest_local(101.0)
    (6.0, 6.25)
    """

    _low_offset_s: float = -INFINITY
    _high_offset_s: float = INFINITY

    @property
    def is_set(self) -> bool:
        """Whether any answer was seen."""
        return self._low_offset_s > -INFINITY

    def observe(self, *, store_s: float, sent_at: float, received_at: float) -> None:
        """Take the time in one answer.

        Parameters
        ----------
        store_s : float
            Store time in the answer, in s.
        sent_at, received_at : float
            Local times around the call, in s.
        """
        self._low_offset_s = max(self._low_offset_s, sent_at - store_s)
        self._high_offset_s = min(self._high_offset_s, received_at - store_s)
        if self._low_offset_s > self._high_offset_s:
            # One of the clocks was set; start anew from this answer.
            self._low_offset_s = sent_at - store_s
            self._high_offset_s = received_at - store_s

    def earliest_local(self, store_s: float) -> float:
        """Return a local time that is not after the store time."""
        return store_s + self._low_offset_s

    def latest_local(self, store_s: float) -> float:
        """Return a local time that is not before the store time."""
        return store_s + self._high_offset_s

    def latest_store(self, local: float) -> float:
        """Return a store time that is not before the local time."""
        return local - self._low_offset_s
