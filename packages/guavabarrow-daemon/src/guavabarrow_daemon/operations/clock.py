"""Monotonic clock for leases and ages that includes time spent suspended."""

from __future__ import annotations

import time


def now_s() -> float:
    """Return the time since an arbitrary origin, in s, including suspended time."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
