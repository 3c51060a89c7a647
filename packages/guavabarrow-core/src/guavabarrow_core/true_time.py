"""True time from the store's steady clock and the wall clocks of several VMs.

A VM reports its wall clock as an offset from the store's clock. The store's clock is
steady and known to all VMs, so the offsets of correct wall clocks agree, and their
median is right while fewer than half of the clocks are wrong.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from statistics import median

OFFSET_VALID_S = 3.0
"""Age up to which a reported offset counts: four heartbeat intervals."""

MIN_REPORTERS = 3
"""Fewer offsets can't outvote a wrong one; an earlier median is then kept."""


@dataclass(slots=True)
class TrueTime:
    """Median of the wall clock offsets that VMs have reported recently.

    Examples
    --------
    >>> time = TrueTime()
    >>> for vm, offset_s in (("a", 100.0), ("b", 100.2), ("c", 90.0)):
    ...     time.record(vm, offset_s, now=0.0)
    >>> time.offset_s(now=1.0)
    100.0
    """

    _report_by_vm: dict[str, tuple[float, float]] = field(default_factory=dict)
    _agreed_offset_s: float | None = None

    def record(self, vm: str, offset_s: float, now: float) -> None:
        """Record a VM's offset.

        Parameters
        ----------
        vm : str
            The VM.
        offset_s : float
            Its wall clock minus the store's clock, in s.
        now : float
            Local time, in s.
        """
        self._report_by_vm[vm] = (offset_s, now)

    def offset_s(self, now: float) -> float | None:
        """Return true time minus the store's clock, in s, None if it is unknown."""
        for vm, (_, at) in list(self._report_by_vm.items()):
            if now - at > OFFSET_VALID_S:
                del self._report_by_vm[vm]
        offsets = [offset_s for offset_s, _ in self._report_by_vm.values()]
        if len(offsets) >= MIN_REPORTERS:
            self._agreed_offset_s = median(offsets)
        if self._agreed_offset_s is not None:
            return self._agreed_offset_s
        return median(offsets) if offsets else None
