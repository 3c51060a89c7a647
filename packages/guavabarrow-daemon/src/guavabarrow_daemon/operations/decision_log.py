"""Structured log of decisions: rate-limited JSON lines, written without blocking.

Lines go to standard output. Lines above the rate limit are dropped; their number is
written with the next line. If the reader of the output is slow, lines are dropped
rather than block the process.
"""

from __future__ import annotations

import os
import sys
import time
from typing import TYPE_CHECKING

import msgspec
from loguru import logger

if TYPE_CHECKING:
    from loguru import Message

LINES_PER_S = 60.0
"""Covers the failures and state changes that a VM logs in a second during an incident.

Writing a line takes about 30 us.
"""

BURST_LINES = 300.0
SUCCESS_LOG_INTERVAL = 50
"""One of this many successes is logged in full; metrics count all of them."""


class LineRateLimit:
    """Token bucket that limits the lines per second.

    Examples
    --------
    >>> limit = LineRateLimit(per_s=1.0, burst=1.0)
    >>> limit.try_acquire(0.0), limit.try_acquire(0.1), limit.try_acquire(1.2)
    (True, False, True)
    >>> limit.dropped
    1
    """

    def __init__(self, per_s: float = LINES_PER_S, burst: float = BURST_LINES) -> None:
        self._per_s = per_s
        self._burst = burst
        self._tokens = burst
        self._refilled_at: float | None = None
        self.dropped = 0

    def try_acquire(self, now: float) -> bool:
        """Return whether a line may be written now, and count it if not."""
        if self._refilled_at is not None:
            elapsed_s = max(0.0, now - self._refilled_at)
            self._tokens = min(self._burst, self._tokens + elapsed_s * self._per_s)
        self._refilled_at = now
        if self._tokens < 1.0:
            self.dropped += 1
            return False
        self._tokens -= 1.0
        return True


class LineSink:
    """Writes records to standard output without blocking."""

    def __init__(self, vm: str) -> None:
        self._vm = vm
        self._rate_limit = LineRateLimit()
        self._fd = sys.stdout.fileno()
        os.set_blocking(self._fd, False)

    def write(self, message: Message) -> None:
        """Write one record as a JSON line."""
        record = message.record
        if not self._rate_limit.try_acquire(time.monotonic()):
            return
        line = {
            "time": f"{time.time():.3f}",
            "level": record["level"].name,
            "vm": self._vm,
            "event": record["message"],
            **record["extra"],
        }
        if self._rate_limit.dropped:
            line["dropped_lines"] = self._rate_limit.dropped
        data = msgspec.json.encode(line, enc_hook=str) + b"\n"
        try:
            os.write(self._fd, data)
            self._rate_limit.dropped = 0
        except BlockingIOError:
            self._rate_limit.dropped += 1


def configure_decision_log(vm: str) -> None:
    """Replace all log sinks with one on standard output."""
    logger.remove()
    logger.add(LineSink(vm).write, level="INFO", format="{message}")


def log_decision(event: str, **fields: object) -> None:
    """Log one decision.

    Parameters
    ----------
    event : str
        Stable name of the event.
    **fields : object
        Request id, inputs, their age or version, and the outcome; never keys.
    """
    logger.bind(**fields).info(event)
