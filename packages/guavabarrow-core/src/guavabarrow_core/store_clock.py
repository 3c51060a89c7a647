"""Bounds on the offset between the store's monotonic clock and this VM's clock.

The store reads its clock for a response after the request was sent and before the
response arrives. Every request therefore bounds the offset of the two clocks from both
sides; the tightest bounds are kept.
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
        """Whether any response was observed."""
        return self._low_offset_s > -INFINITY

    def observe(self, *, store_s: float, sent_at: float, received_at: float) -> None:
        """Update the bounds with the store time of one response.

        Parameters
        ----------
        store_s : float
            Store time in the response, in s.
        sent_at, received_at : float
            Local times of request and response, in s.
        """
        self._low_offset_s = max(self._low_offset_s, sent_at - store_s)
        self._high_offset_s = min(self._high_offset_s, received_at - store_s)
        if self._low_offset_s > self._high_offset_s:
            # One of the clocks was stepped; restart from this response.
            self._low_offset_s = sent_at - store_s
            self._high_offset_s = received_at - store_s

    def reset(self) -> None:
        """Discard the bounds, for a store whose clock may have been set."""
        self._low_offset_s = -INFINITY
        self._high_offset_s = INFINITY

    def earliest_local(self, store_s: float) -> float:
        """Return a local time that is not after the store time."""
        return store_s + self._low_offset_s

    def latest_local(self, store_s: float) -> float:
        """Return a local time that is not before the store time."""
        return store_s + self._high_offset_s

    def latest_store(self, local: float) -> float:
        """Return a store time that is not before the local time."""
        return local - self._low_offset_s

    def estimate_store(self, local: float) -> float:
        """Return the store time at a local time, as the middle of its bounds.

        Examples
        --------
        >>> clock = StoreClock()
        >>> clock.observe(store_s=100.0, sent_at=5.0, received_at=5.25)
        >>> clock.estimate_store(5.125)
        100.0
        """
        if self._high_offset_s == INFINITY:
            # Only relayed answers were received; they give no upper bound.
            return local - self._low_offset_s
        return local - (self._low_offset_s + self._high_offset_s) / 2.0
