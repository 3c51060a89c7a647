"""Clocks: a monotonic one for leases and ages, and the wall clock."""

from __future__ import annotations

import time


def now_s() -> float:
    """Return the time since an arbitrary origin, in s, including suspended time."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_s() -> float:
    """Return the wall clock, in s since the start of 1970; it may be stepped."""
    return time.time()
