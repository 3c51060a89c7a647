"""Structured log of decisions: one JSON line each, bounded, never blocking.

Lines go to standard output. A budget of lines per second bounds the volume; what
exceeds it is counted and the count is written with the next line. If the reader of the
output is slow, lines are dropped rather than waited for.
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
"""A VM's failures and beliefs in a bad second; a line costs about 30 us."""

BURST_LINES = 300.0
SUCCESS_SAMPLE = 50
"""One success in this many is written in full; all are counted."""


class LineBudget:
    """Bounds the lines per second.

    Examples
    --------
    >>> budget = LineBudget(per_s=1.0, burst=1.0)
    >>> budget.take(0.0), budget.take(0.1), budget.take(1.2)
    (True, False, True)
    >>> budget.dropped
    1
    """

    def __init__(self, per_s: float = LINES_PER_S, burst: float = BURST_LINES) -> None:
        self._per_s = per_s
        self._burst = burst
        self._tokens = burst
        self._filled_at: float | None = None
        self.dropped = 0

    def take(self, now: float) -> bool:
        """Take a line, False if the budget is spent."""
        if self._filled_at is not None:
            elapsed_s = max(0.0, now - self._filled_at)
            self._tokens = min(self._burst, self._tokens + elapsed_s * self._per_s)
        self._filled_at = now
        if self._tokens < 1.0:
            self.dropped += 1
            return False
        self._tokens -= 1.0
        return True


class LineSink:
    """Writes records to standard output without ever waiting."""

    def __init__(self, vm: str) -> None:
        self._vm = vm
        self._budget = LineBudget()
        self._fd = sys.stdout.fileno()
        os.set_blocking(self._fd, False)

    def write(self, message: Message) -> None:
        """Write one record as a JSON line."""
        record = message.record
        if not self._budget.take(time.monotonic()):
            return
        line = {
            "time": f"{time.time():.3f}",
            "level": record["level"].name,
            "vm": self._vm,
            "event": record["message"],
            **record["extra"],
        }
        if self._budget.dropped:
            line["dropped_lines"] = self._budget.dropped
        data = msgspec.json.encode(line, enc_hook=str) + b"\n"
        try:
            os.write(self._fd, data)
            self._budget.dropped = 0
        except BlockingIOError:
            self._budget.dropped += 1


def configure_decision_log(vm: str) -> None:
    """Replace all sinks by the one on standard output."""
    logger.remove()
    logger.add(LineSink(vm).write, level="INFO", format="{message}")


def log_decision(event: str, **fields: object) -> None:
    """Log one decision.

    Parameters
    ----------
    event : str
        Stable name.
    **fields : object
        Request id, inputs, their age or version, and the outcome; never keys.
    """
    logger.bind(**fields).info(event)
