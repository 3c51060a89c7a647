"""The clock of all rights and ages: steady, and running on while a VM is suspended."""

from __future__ import annotations

import time


def now_s() -> float:
    """Return seconds since an arbitrary start, suspension included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
